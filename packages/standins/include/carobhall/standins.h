#pragma once

// Stand-ins for the systems outside Carobhall: a model engine, a plain service and the platform's object API.
//
// The models have no I/O and no clock, so that a test drives them with virtual time:
//
//     EngineModel engine({.slots = 4}, incarnation);
//     engine.submit(now, {.id = "r1", .prompt = text, .maxTokens = 16});
//     for (const EngineOutput &output : engine.advance(now)) { ... }
//
// The servers put a model behind HTTP as sections 7.2 and 7.3 of docs/design.md describe, on the thread-default GMainContext.
// Nothing here is thread-safe.
//
// Index
//   1. Prefix hashes    the chained hashes of a prompt's pieces
//   2. Engine           batching, prefix cache, events, load reports, orders
//   3. Platform         objects, watches, call rates, faults
//   4. Servers          HTTP

#include "carobhall/base.h"

#include <json/json.h>

#include <deque>
#include <functional>
#include <list>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>

namespace Carobhall::Standin
{

// 1. Prefix hashes --------------------------------------------------------------------------------

inline constexpr std::size_t PieceBytes = 64; ///< Prompt text in one cached piece.
inline constexpr std::size_t TokenBytes = 4;  ///< Prompt text in one token.

/// The hash of each whole piece of \p prompt: XXH3 over the previous hash (the salt before the first piece, 8 bytes little
/// endian) and the piece, seeded with the salt.
[[nodiscard]] std::vector<std::uint64_t> pieceHashes(std::string_view prompt, std::uint64_t salt);

/// The text of token \p index of the answer to \p prompt. It depends on nothing else, so that any engine can continue an answer.
[[nodiscard]] std::string tokenText(std::string_view prompt, std::uint64_t index);

/// A 64-bit number in decimal, or in hexadecimal after "0x". Nothing for any other text.
[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text);

// 2. Engine ---------------------------------------------------------------------------------------

// Texts have initialisers so that GCC does not ask for them in designated initialisers.
struct EngineOptions {
    std::string model = "needle-7b";
    std::string weightsVersion = "1";
    std::uint32_t slots = 8;                  ///< Requests in the batch at once.
    std::size_t maxWaiting = 1024;            ///< Further requests are refused.
    std::size_t cacheBlocks = 4096;           ///< Pieces that fit into the prefix cache.
    std::size_t prefillChunkPieces = 32;      ///< Prefill yields to a more urgent request after this many pieces.
    Micros prefillPerPiece = 500;             ///< For each piece that is not cached.
    Micros decodePerToken = 20'000;           ///< For each request in the batch.
    std::uint64_t answerTokens = 0;           ///< Answers end after this many tokens; 0: at the request's limit.
    Micros loadReportLag = 0;                 ///< GET /load tells the state of this long ago.
    Micros eventDelay = 0;                    ///< Cache events appear this late.
    double eventLossShare = 0.0;              ///< Share of cache events that never appear; their sequence numbers are skipped.
    double eventDuplicateShare = 0.0;         ///< Share of cache events that appear twice.
    std::size_t eventLogSize = 4096;          ///< Older events are forgotten.
    Micros weightsLoadTime = MicrosPerSecond; ///< Until an order to load takes effect.
    bool checksFencing = true;                ///< Refuses orders with a stale fencing token.
    std::string crashMarker = {};             ///< A prompt that contains this text crashes the engine; empty: none.
    std::uint64_t crashAfterTokens = 0;       ///< Tokens that such a request generates before the crash.
    std::size_t exportBytesPerBlock = 64;     ///< Size of one exported block.
    std::uint64_t seed = 1;                   ///< Of the lost and duplicated events.
};

struct EngineRequest {
    std::string id;
    std::string prompt;
    std::uint64_t salt = 0;
    std::uint64_t maxTokens = 16; ///< Of the whole answer, including the tokens before resumeFrom.
    int priority = 0;             ///< Lower values run first.
    std::uint64_t resumeFrom = 0; ///< Tokens that the caller already has.
    std::string resumeText = {};  ///< Their text; it is prefilled after the prompt.
};

/// Names a request within one engine.
using EngineHandle = std::uint64_t;

struct EngineOutput {
    enum class Kind : std::uint8_t {
        Started,  ///< Prefill begins; cachedPieces is known.
        Token,    ///< One token, with its index.
        Finished, ///< No further output; text is the finish reason: "stop", "length" or "abort".
        Crashed,  ///< The engine's process ends now.
    };
    EngineHandle handle = 0;
    Kind kind = Kind::Token;
    std::uint64_t index = 0;
    std::string text;
    std::size_t cachedPieces = 0;
};

struct EngineLoad {
    Micros at = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

struct CacheEvent {
    std::uint64_t seq = 0;
    bool stored = false; ///< Otherwise evicted.
    std::vector<std::uint64_t> hashes;
    Micros visibleAt = 0;
};

enum class OrderResult : std::uint8_t {
    Accepted,
    Repeated, ///< The same order_id again; nothing more happens.
    Stale,    ///< The fencing token is older than one seen before.
    Malformed,
};

struct EngineOrder {
    std::string id;
    std::uint64_t fencing = 0;
    std::string action; ///< "load_model", "load_adapter", "set_version" or "set_role".
    std::string value;  ///< Name of the model, adapter, version or role.
};

/// An engine that batches continuously: requests take slots by (priority, arrival), one prefill runs at a time, and each
/// request in the batch generates a token every decodePerToken.
class EngineModel
{
public:
    EngineModel(EngineOptions options, Incarnation incarnation);

    [[nodiscard]] Incarnation incarnation() const;
    [[nodiscard]] const EngineOptions &options() const;
    /// Changes delays and faults of a running engine. The cache keeps its contents.
    void setOptions(EngineOptions options);

    /// Queues a request; nothing when too many are waiting.
    std::optional<EngineHandle> submit(Micros now, EngineRequest request);
    /// Ends the requests with this id; their last output is Finished with "abort". Returns how many there were.
    std::size_t cancel(Micros now, std::string_view id);
    void cancel(Micros now, EngineHandle handle);
    /// Everything that happens up to \p now, in order. \p now never decreases over all calls.
    [[nodiscard]] std::vector<EngineOutput> advance(Micros now);
    /// When advance() or events() next has something new; nothing while idle.
    [[nodiscard]] std::optional<Micros> nextAt() const;

    /// Running and waiting requests as of now - loadReportLag.
    [[nodiscard]] EngineLoad load(Micros now) const;

    /// Visible events with a greater sequence number, in order.
    [[nodiscard]] std::vector<CacheEvent> events(Micros now, std::uint64_t after) const;
    /// The oldest sequence number that the log can still hold.
    [[nodiscard]] std::uint64_t firstEvent() const;
    /// The last sequence number given out, also to events that are lost or not yet visible.
    [[nodiscard]] std::uint64_t lastEvent() const;
    /// All cached hashes, valid at lastEvent().
    [[nodiscard]] std::vector<std::uint64_t> cachedHashes() const;
    /// Leading hashes that are cached.
    [[nodiscard]] std::size_t cachedPrefix(std::span<const std::uint64_t> hashes) const;
    /// Puts blocks from another engine into the cache.
    void importBlocks(Micros now, std::span<const std::uint64_t> hashes);

    /// Loading takes weightsLoadTime. A new model or version empties the cache when it takes effect.
    OrderResult order(Micros now, const EngineOrder &order);
    [[nodiscard]] const std::vector<EngineOrder> &acceptedOrders() const;
    [[nodiscard]] const std::string &model() const;
    [[nodiscard]] const std::string &weightsVersion() const;
    [[nodiscard]] const std::string &role() const;
    [[nodiscard]] const std::set<std::string> &adapters() const;
    [[nodiscard]] bool loading() const;

private:
    struct Job {
        EngineHandle handle = 0;
        EngineRequest request;
        std::vector<std::uint64_t> hashes;
        bool started = false;
        bool decoding = false;
        std::size_t cachedPieces = 0;
        std::size_t piecesLeft = 0; ///< To prefill.
        Micros nextToken = 0;
        std::uint64_t nextIndex = 0;
    };
    struct PendingOrder {
        EngineOrder order;
        Micros at = 0;
    };

    void catchUp(Micros now);
    void fillBatch();
    void startChunk(Micros now);
    void finishChunk(Micros now);
    void step(Micros now);
    void decodeToken(Micros now, Job &job);
    void finish(Job &job, std::string reason);
    void removeEnded();
    void applyOrder(Micros now, const EngineOrder &order);
    void noteLoad(Micros now);
    void touch(std::span<const std::uint64_t> hashes);
    void store(Micros now, std::span<const std::uint64_t> hashes);
    void publish(Micros now, bool stored, std::vector<std::uint64_t> hashes);
    [[nodiscard]] std::optional<Micros> nextStep() const;
    [[nodiscard]] std::uint64_t endIndex(const Job &job) const;
    [[nodiscard]] bool crashes(const Job &job) const;

    EngineOptions options_;
    Incarnation incarnation_ = 0;
    std::mt19937_64 random_;
    EngineHandle lastHandle_ = 0;
    std::list<Job> waiting_;
    std::list<Job> batch_;
    EngineHandle prefilling_ = 0; ///< The job whose chunk runs; 0: none.
    std::size_t chunkPieces_ = 0;
    Micros chunkEnd_ = 0;
    std::vector<EngineOutput> outputs_;
    std::set<EngineHandle> ended_;

    std::list<std::uint64_t> recency_; ///< Most recent first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
    std::deque<CacheEvent> log_;
    std::uint64_t lastSeq_ = 0;
    Micros polledAt_ = -1; ///< Last time that advance() saw.

    std::deque<EngineLoad> loads_;
    std::uint64_t highestFencing_ = 0;
    std::vector<EngineOrder> accepted_;
    std::vector<PendingOrder> pending_;
    std::string model_;
    std::string weightsVersion_;
    std::string role_ = "serve";
    std::set<std::string> adapters_;
};

// 3. Platform -------------------------------------------------------------------------------------

enum class Outage : std::uint8_t {
    None,
    Refuse, ///< Answers 503.
    Hang,   ///< Never answers.
};

struct PlatformOptions {
    double writesPerSecond = 300.0;
    double readsPerSecond = 2000.0;
    std::size_t maxValueBytes = std::size_t{ 1 } << 20U;
    std::size_t historySize = 1000;    ///< Changes that a watch can catch up on.
    Micros delay = 2 * MicrosPerMilli; ///< Before each answer.
    Micros vmListLag = 0;              ///< GET /vms tells the list of this long ago.
    Outage outage = Outage::None;
    std::uint64_t loseAnswers = 0; ///< Answers to the next writes that are dropped after the write took effect.
    double loseAnswerShare = 0.0;  ///< Share of further writes whose answer is dropped.
    std::uint64_t seed = 1;        ///< Of the lost answers.
};

struct PlatformAnswer {
    int status = 0;
    Json::Value body;
    bool lost = false; ///< The connection closes without this answer.
};

struct PlatformCounts {
    std::uint64_t reads = 0; ///< An open watch counts as one.
    std::uint64_t writes = 0;
    std::uint64_t refused = 0; ///< Over the call rates.
};

/// One change, as a watch reports it.
struct PlatformChange {
    std::uint64_t version = 0;
    std::string kind;
    std::string name;
    Json::Value line; ///< {"type", "object"}
};

/// The object API without HTTP. Versions are positive numbers that grow over all kinds.
class PlatformModel
{
public:
    explicit PlatformModel(PlatformOptions options);

    [[nodiscard]] PlatformOptions &options();
    [[nodiscard]] const PlatformCounts &counts() const;

    /// GET, PUT, POST or DELETE of one object. \p condition: the version in the query of a conditional DELETE.
    PlatformAnswer object(Micros now, std::string_view method, const std::string &kind, const std::string &name, std::string_view body,
                          std::optional<std::uint64_t> condition = std::nullopt);
    PlatformAnswer list(Micros now, const std::string &kind);
    /// Checks that a watch may start; 410 when the changes after \p version are no longer known.
    PlatformAnswer openWatch(Micros now, std::uint64_t version);
    /// Changes after \p version, of one kind and, unless empty, one name.
    [[nodiscard]] std::vector<PlatformChange> changes(std::uint64_t version, const std::string &kind, const std::string &name) const;
    /// The objects as ADDED lines, for a watch that starts without a version.
    [[nodiscard]] std::vector<PlatformChange> current(const std::string &kind, const std::string &name) const;
    [[nodiscard]] std::uint64_t version() const;

    void setVms(Micros now, Json::Value vms);
    PlatformAnswer vms(Micros now);

private:
    struct Bucket {
        double tokens = 1.0;
        Micros at = 0;
    };

    [[nodiscard]] bool take(Micros now, Bucket &bucket, double rate);
    [[nodiscard]] std::optional<PlatformAnswer> admit(Micros now, bool write);
    PlatformAnswer write(std::string_view method, const std::string &kind, const std::string &name, std::string_view body);
    PlatformAnswer erase(const std::string &kind, const std::string &name, std::optional<std::uint64_t> condition);
    void record(const char *type, const std::string &kind, const std::string &name, const Json::Value &object);
    [[nodiscard]] bool losesAnswer();

    PlatformOptions options_;
    PlatformCounts counts_;
    std::mt19937_64 random_;
    Bucket reads_;
    Bucket writes_;
    std::uint64_t version_ = 0;
    std::map<std::string, std::map<std::string, Json::Value>> objects_;
    std::deque<PlatformChange> history_;
    std::uint64_t forgotten_ = 0; ///< Version of the newest change that history_ no longer holds.
    std::deque<std::pair<Micros, Json::Value>> vms_;
};

// 4. Servers --------------------------------------------------------------------------------------

struct ServiceOptions {
    std::string name = "service";
    Micros delay = 5 * MicrosPerMilli;
    std::string crashBefore = {}; ///< A call whose body contains this text ends the process before it runs; empty: none.
    std::string crashAfter = {};  ///< The same, after it ran and before the answer.
    std::string loseAnswer = {};  ///< A call whose body contains this text runs and gets no answer; empty: none.
};

/// A running server. It stops when it is destroyed.
class Server
{
public:
    virtual ~Server() = default;
    [[nodiscard]] virtual std::uint16_t port() const = 0;
};

/// Each takes a port of 127.0.0.1, 0 for a free one; returns nothing when it is in use. A crash ends the whole process by _exit().
[[nodiscard]] std::unique_ptr<Server> startEngine(std::uint16_t port, EngineOptions options);
[[nodiscard]] std::unique_ptr<Server> startService(std::uint16_t port, ServiceOptions options);
[[nodiscard]] std::unique_ptr<Server> startPlatform(std::uint16_t port, PlatformOptions options);

} // namespace Carobhall::Standin
