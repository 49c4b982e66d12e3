#pragma once

// Simulated versions (stand-ins) of the systems that Carobhall talks to: a model engine, a plain HTTP service and the
// platform's object API.
//
// The models do no I/O and read no clock, so that tests can drive them with virtual time:
//
//     EngineModel engine({.slots = 4}, incarnation);
//     engine.submit(now, {.id = "r1", .prompt = text, .maxTokens = 16});
//     for (const EngineOutput &output : engine.advance(now)) { ... }
//
// The servers expose a model over HTTP as described in sections 7.2 and 7.3 of docs/design.md. They run on the thread-default
// GMainContext. Nothing in this header is thread-safe.
//
// Index
//   1. Prefix hashes    chained hashes of a prompt's pieces
//   2. Engine           batching, prefix cache, cache events, load reports, orders
//   3. Platform         objects, watches, rate limits, injected faults
//   4. Servers          HTTP servers for the models

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

inline constexpr std::size_t PieceBytes = 64; ///< Prompt bytes in one piece, the unit of the prefix cache.
inline constexpr std::size_t TokenBytes = 4;  ///< Text bytes in one token.

/// Returns the hash of each complete piece of \p prompt. Each hash is XXH3, seeded with the salt, over the previous hash (8 bytes,
/// little endian; the salt itself for the first piece) followed by the piece.
[[nodiscard]] std::vector<std::uint64_t> pieceHashes(std::string_view prompt, std::uint64_t salt);

/// Returns the text of token \p index in the answer to \p prompt. The text depends on these two arguments only, so that any engine can
/// resume an answer that another engine started.
[[nodiscard]] std::string tokenText(std::string_view prompt, std::uint64_t index);

/// Parses a 64-bit number: decimal, or hexadecimal with the prefix "0x". Returns nullopt for any other text.
[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text);

// 2. Engine ---------------------------------------------------------------------------------------

// The string members have default initialisers because GCC otherwise warns when a designated initialiser omits them.
struct EngineOptions {
    std::string model = "needle-7b";
    std::string weightsVersion = "1";
    std::uint32_t slots = 8;                  ///< Maximum number of requests in the batch.
    std::size_t maxWaiting = 1024;            ///< Queue limit; further requests are rejected.
    std::size_t cacheBlocks = 4096;           ///< Capacity of the prefix cache in pieces.
    std::size_t prefillChunkPieces = 32;      ///< Pieces per prefill chunk; a request with higher priority can run between chunks.
    Micros prefillPerPiece = 500;             ///< Prefill time per piece that is not cached.
    Micros decodePerToken = 20'000;           ///< Time between two tokens of a request in the batch.
    std::uint64_t answerTokens = 0;           ///< Answers end after this many tokens; 0: at the request's max_tokens.
    Micros loadReportLag = 0;                 ///< Age of the state that GET /load reports.
    Micros eventDelay = 0;                    ///< Time from a cache change until its event becomes visible.
    double eventLossShare = 0.0;              ///< Share of cache events that are lost; their sequence numbers are skipped.
    double eventDuplicateShare = 0.0;         ///< Share of cache events that are delivered twice.
    std::size_t eventLogSize = 4096;          ///< Number of cache events kept; older ones are discarded.
    Micros weightsLoadTime = MicrosPerSecond; ///< Time from accepting a load order until it takes effect.
    bool checksFencing = true;                ///< Reject orders with a stale fencing token.
    std::string crashMarker = {};             ///< A prompt that contains this text crashes the engine; empty: disabled.
    std::uint64_t crashAfterTokens = 0;       ///< Tokens generated for a request with crashMarker before the crash.
    std::size_t exportBytesPerBlock = 64;     ///< Data size of one exported cache block in bytes.
    std::uint64_t seed = 1;                   ///< Random seed for lost and duplicated events.
};

struct EngineRequest {
    std::string id;
    std::string prompt;
    std::uint64_t salt = 0;
    std::uint64_t maxTokens = 16; ///< Limit for the whole answer, including the tokens before resumeFrom.
    int priority = 0;             ///< Requests with lower values run first.
    std::uint64_t resumeFrom = 0; ///< Number of answer tokens that the caller already has.
    std::string resumeText = {};  ///< Text of the tokens before resumeFrom; it is prefilled after the prompt.
};

/// Identifies a request within one engine.
using EngineHandle = std::uint64_t;

struct EngineOutput {
    enum class Kind : std::uint8_t {
        Started,  ///< Prefill begins; cachedPieces is set.
        Token,    ///< One token; index and text are set.
        Finished, ///< The last output of the request; text is the finish reason: "stop", "length" or "abort".
        Crashed,  ///< The engine's process is to exit immediately.
    };
    EngineHandle handle = 0;
    Kind kind = Kind::Token;
    std::uint64_t index = 0;
    std::string text;
    std::size_t cachedPieces = 0;
};

struct EngineLoad {
    Micros at = 0; ///< Time of the state.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

struct CacheEvent {
    std::uint64_t seq = 0;
    bool stored = false; ///< True: the pieces were stored; false: they were evicted.
    std::vector<std::uint64_t> hashes;
    Micros visibleAt = 0;
};

enum class OrderResult : std::uint8_t {
    Accepted,
    Repeated, ///< An order with this id was accepted before; it is not applied again.
    Stale,    ///< The fencing token is lower than one accepted before.
    Malformed,
};

struct EngineOrder {
    std::string id;
    std::uint64_t fencing = 0;
    std::string action; ///< "load_model", "load_adapter", "set_version" or "set_role".
    std::string value;  ///< Name of the model, adapter, weights version or role.
};

/// Simulates an engine with continuous batching: requests get slots in the order of (priority, arrival), one prefill runs at a
/// time, and each decoding request in the batch generates a token every decodePerToken.
class EngineModel
{
public:
    EngineModel(EngineOptions options, Incarnation incarnation);

    [[nodiscard]] Incarnation incarnation() const;
    [[nodiscard]] const EngineOptions &options() const;
    /// Changes the delays and injected faults of a running engine. The cache keeps its contents.
    void setOptions(EngineOptions options);

    /// Queues a request. Returns nullopt when maxWaiting requests are already waiting.
    std::optional<EngineHandle> submit(Micros now, EngineRequest request);
    /// Cancels all requests with this id and returns their number. The last output of each is Finished with "abort".
    std::size_t cancel(Micros now, std::string_view id);
    void cancel(Micros now, EngineHandle handle);
    /// Returns all outputs up to \p now, in the order of time. Precondition: \p now does not decrease between calls.
    [[nodiscard]] std::vector<EngineOutput> advance(Micros now);
    /// The next time at which advance() or events() returns something new; nullopt while idle.
    [[nodiscard]] std::optional<Micros> nextAt() const;

    /// The numbers of running and waiting requests at now - loadReportLag.
    [[nodiscard]] EngineLoad load(Micros now) const;

    /// Visible events with a sequence number greater than \p after, in order.
    [[nodiscard]] std::vector<CacheEvent> events(Micros now, std::uint64_t after) const;
    /// The oldest sequence number that the event log still covers.
    [[nodiscard]] std::uint64_t firstEvent() const;
    /// The last assigned sequence number, including those of events that are lost or not yet visible.
    [[nodiscard]] std::uint64_t lastEvent() const;
    /// All cached hashes, as of event lastEvent().
    [[nodiscard]] std::vector<std::uint64_t> cachedHashes() const;
    /// The number of leading hashes that are cached.
    [[nodiscard]] std::size_t cachedPrefix(std::span<const std::uint64_t> hashes) const;
    /// Adds blocks exported by another engine to the cache.
    void importBlocks(Micros now, std::span<const std::uint64_t> hashes);

    /// Accepts or rejects an order. Load orders take effect after weightsLoadTime; a new model or weights version then clears the cache.
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
        std::size_t piecesLeft = 0; ///< Pieces still to prefill.
        Micros nextToken = 0;
        std::uint64_t nextIndex = 0;
    };
    struct PendingOrder {
        EngineOrder order;
        Micros at = 0;
    };

    /// Runs all steps that are due up to \p now.
    void runSteps(Micros now);
    void fillBatch();
    void startPrefillChunk(Micros now);
    void finishPrefillChunk(Micros now);
    void step(Micros now);
    void decodeToken(Micros now, Job &job);
    void finish(Job &job, std::string reason);
    void removeEndedJobs();
    void applyOrder(Micros now, const EngineOrder &order);
    void recordLoad(Micros now);
    void markRecentlyUsed(std::span<const std::uint64_t> hashes);
    void store(Micros now, std::span<const std::uint64_t> hashes);
    void publishEvent(Micros now, bool stored, std::vector<std::uint64_t> hashes);
    [[nodiscard]] std::optional<Micros> nextStep() const;
    /// The token index at which the answer ends.
    [[nodiscard]] std::uint64_t endIndex(const Job &job) const;
    [[nodiscard]] bool crashes(const Job &job) const;

    EngineOptions options_;
    Incarnation incarnation_ = 0;
    std::mt19937_64 random_;
    EngineHandle lastHandle_ = 0;
    std::list<Job> waiting_;
    std::list<Job> batch_;
    EngineHandle prefilling_ = 0; ///< The job whose prefill chunk is running; 0: none.
    std::size_t chunkPieces_ = 0;
    Micros chunkEndsAt_ = 0;
    std::vector<EngineOutput> outputs_;
    std::set<EngineHandle> endedHandles_;

    std::list<std::uint64_t> lruHashes_; ///< LRU order, most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
    std::deque<CacheEvent> eventLog_;
    std::uint64_t lastSeq_ = 0;
    Micros lastAdvanceAt_ = -1; ///< Time of the last advance() call.

    std::deque<EngineLoad> loadHistory_;
    std::uint64_t highestFencing_ = 0;
    std::vector<EngineOrder> acceptedOrders_;
    std::vector<PendingOrder> pendingOrders_;
    std::string model_;
    std::string weightsVersion_;
    std::string role_ = "serve";
    std::set<std::string> adapters_;
};

// 3. Platform -------------------------------------------------------------------------------------

enum class Outage : std::uint8_t {
    None,
    Refuse, ///< Every call is answered with 503.
    Hang,   ///< Calls are never answered.
};

struct PlatformOptions {
    double writesPerSecond = 300.0;
    double readsPerSecond = 2000.0;
    std::size_t maxValueBytes = std::size_t{ 1 } << 20U;
    std::size_t historySize = 1000;    ///< Number of changes kept for watches that start at an older version.
    Micros delay = 2 * MicrosPerMilli; ///< Delay before each answer.
    Micros vmListLag = 0;              ///< Age of the list that GET /vms returns.
    Outage outage = Outage::None;
    std::uint64_t loseAnswers = 0; ///< Number of next writes that take effect but whose answers are dropped.
    double loseAnswerShare = 0.0;  ///< Share of later writes that take effect but whose answers are dropped.
    std::uint64_t seed = 1;        ///< Random seed for dropped answers.
};

struct PlatformAnswer {
    int status = 0;
    Json::Value body;
    bool lost = false; ///< The connection is closed without sending this answer.
};

struct PlatformCounts {
    std::uint64_t reads = 0; ///< An open watch counts as one.
    std::uint64_t writes = 0;
    std::uint64_t refused = 0; ///< Calls rejected by the rate limits.
};

/// One object change, as reported to a watch.
struct PlatformChange {
    std::uint64_t version = 0;
    std::string kind;
    std::string name;
    Json::Value line; ///< {"type", "object"}
};

/// The object API without HTTP. Versions are positive numbers that increase with each change, across all kinds of objects.
class PlatformModel
{
public:
    explicit PlatformModel(PlatformOptions options);

    [[nodiscard]] PlatformOptions &options();
    [[nodiscard]] const PlatformCounts &counts() const;

    /// Handles GET, PUT, POST or DELETE of one object. \p condition is the expected version of a conditional DELETE.
    PlatformAnswer object(Micros now, std::string_view method, const std::string &kind, const std::string &name, std::string_view body,
                          std::optional<std::uint64_t> condition = std::nullopt);
    PlatformAnswer list(Micros now, const std::string &kind);
    /// Checks whether a watch can start at \p version. Answers 410 when the history no longer holds all changes after it, or when it
    /// is newer than the current version.
    PlatformAnswer openWatch(Micros now, std::uint64_t version);
    /// Changes after \p version to objects of one kind; with a non-empty \p name, to that object only.
    [[nodiscard]] std::vector<PlatformChange> changes(std::uint64_t version, const std::string &kind, const std::string &name) const;
    /// The current objects as ADDED changes, for a watch that starts without a version.
    [[nodiscard]] std::vector<PlatformChange> current(const std::string &kind, const std::string &name) const;
    [[nodiscard]] std::uint64_t version() const;

    void setVms(Micros now, Json::Value vms);
    PlatformAnswer vms(Micros now);

private:
    struct Bucket {
        double tokens = 1.0;
        Micros at = 0;
    };

    [[nodiscard]] bool takeToken(Micros now, Bucket &bucket, double ratePerSecond);
    [[nodiscard]] std::optional<PlatformAnswer> admit(Micros now, bool write);
    PlatformAnswer write(std::string_view method, const std::string &kind, const std::string &name, std::string_view body);
    PlatformAnswer erase(const std::string &kind, const std::string &name, std::optional<std::uint64_t> condition);
    void record(const char *type, const std::string &kind, const std::string &name, const Json::Value &object);
    /// Decides whether the next write's answer is dropped.
    [[nodiscard]] bool drawAnswerLoss();

    PlatformOptions options_;
    PlatformCounts counts_;
    std::mt19937_64 random_;
    Bucket reads_;
    Bucket writes_;
    std::uint64_t version_ = 0;
    std::map<std::string, std::map<std::string, Json::Value>> objects_;
    std::deque<PlatformChange> history_;
    std::uint64_t compactedVersion_ = 0;             ///< Version of the newest change that was removed from history_.
    std::deque<std::pair<Micros, Json::Value>> vms_; ///< VM lists with the time at which each was set.
};

// 4. Servers --------------------------------------------------------------------------------------

struct ServiceOptions {
    std::string name = "service";
    Micros delay = 5 * MicrosPerMilli;
    std::string crashBefore = {}; ///< A call whose body contains this text ends the process before the call runs; empty: disabled.
    std::string crashAfter = {};  ///< A call whose body contains this text ends the process after the call ran, before the answer; empty: disabled.
    std::string loseAnswer = {};  ///< A call whose body contains this text runs but its answer is dropped; empty: disabled.
};

/// A running server. Destroying it stops the server.
class Server
{
public:
    virtual ~Server() = default;
    [[nodiscard]] virtual std::uint16_t port() const = 0;
};

/// Each function starts a server on a port of 127.0.0.1 (0: any free port) and returns nullptr when the port is in use. A simulated
/// crash ends the whole process by _exit().
[[nodiscard]] std::unique_ptr<Server> startEngine(std::uint16_t port, EngineOptions options);
[[nodiscard]] std::unique_ptr<Server> startService(std::uint16_t port, ServiceOptions options);
[[nodiscard]] std::unique_ptr<Server> startPlatform(std::uint16_t port, PlatformOptions options);

} // namespace Carobhall::Standin
