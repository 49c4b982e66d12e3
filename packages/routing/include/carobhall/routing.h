#pragma once

// Choice of an upstream for a request: prefix hashes, the index of an engine's cache, candidates, costs and policies.
//
// No I/O and no clock: time is an argument, randomness comes from a generator with a given seed. Nothing here is
// thread-safe unless stated; use it from the main loop's thread.
//
// An agent keeps one CacheIndex and one SingleFlight, and answers probes:
//
//     index.apply(incarnation, {.sequence = 7, .stored = true, .hashes = hashes}, now);
//     reply.heldPieces = index.heldPieces(probe.samples);
//     PrefixReuse shared = flights.reusablePrefix(samples, held, prefillPerPiece, now);  // before a request is handed to the engine
//     if (shared.wait > 0) ... keep it queued, look again after at most shared.wait
//
// What is being computed does not count as held in probe replies: routing_compare measures a worse tail with it, because
// every request for a prefix then waits for its first computation.
//
// An entry process keeps one Router for all routes:
//
//     router.setServers(servers);                                    // from the document and membership
//     Salt salt = saltOf({account, model, version, adapter});
//     hashPrefix(prompt, salt, hashes);
//     RouteQuery query{.route = model, .weightsVersion = version, .promptBytes = ..., .hashes = hashes};
//     router.plan(query, now, plan);                                 // plan.probes: whom to probe; empty: no upstream
//     ... send Probe{.samples = sampleHashes(hashes)} to them, collect quotes until all answered or time is up ...
//     Choice choice = router.choose(query, plan, quotes, now);       // choice.server: whom to submit to
//     router.onDispatched(query, choice, now);
//     router.onFirstToken(query, choice, elapsed, now);              // once, if the answer began
//     router.onEnded(choice, now);                                   // once, in any case
//
// Index
//   1. Prefix identity    salts, chained hashes, samples, fingerprints
//   2. Cache index        what one engine holds
//   3. Single-flight      concurrent misses of one prefix
//   4. Costs              learned parameters, the cost of a candidate in microseconds
//   5. Servers            the table that an entry process routes by
//   6. Hot prefixes       the number of homes of a prefix
//   7. Policies           random, least-loaded, rendezvous with bounded load, probe
//   8. Router

#include "carobhall/messages.h"

#include <functional>
#include <random>
#include <span>
#include <unordered_map>

namespace Carobhall
{

// 1. Prefix identity ------------------------------------------------------------------------------

inline constexpr std::size_t PieceBytes = 64; ///< Bytes of prompt for each hash; a shorter rest has no hash.
inline constexpr std::size_t MaxSamples = 24; ///< Of a probe.
using PrefixHash = std::uint64_t;

struct SaltParts {
    std::string_view account{};
    std::string_view model{};
    std::string_view weightsVersion{};
    std::string_view adapter{};
};

/// Separates the prefixes of accounts, models, weights versions and adapters from each other.
struct Salt {
    std::uint64_t seed = 0;  ///< Seeds the prefix hashes.
    std::uint64_t check = 0; ///< Independent of `seed`: two salts are the same only when both agree.

    auto operator<=>(const Salt &) const = default;
};

/// Parts are length-prefixed, so that no two different sets of parts give the same input. Thread-safe.
[[nodiscard]] Salt saltOf(const SaltParts &parts);

/// Writes the hash of each whole piece of \p prompt to \p hashes. Hash i covers the pieces 0 to i:
/// XXH3_64bits_withSeed(hash of piece i-1 as 8 bytes little endian, for the first piece the seed + bytes of piece i, seed). Thread-safe.
void hashPrefix(std::string_view prompt, const Salt &salt, std::vector<PrefixHash> &hashes);

/// At most MaxSamples of \p hashes, ascending: the levels that candidates are selected by, the whole prompt, and the multiples of
/// a power of two that is at most an eighth of the prompt. A held prefix is underestimated by less than that. Thread-safe.
[[nodiscard]] std::vector<PrefixSample> sampleHashes(std::span<const PrefixHash> hashes);

/// Identifies account and content of a request over resends, to find requests that crash engines. Thread-safe.
[[nodiscard]] std::uint64_t fingerprintOf(std::string_view account, std::string_view content);

// 2. Cache index ----------------------------------------------------------------------------------

/// One entry of an engine's event stream.
struct CacheEvent {
    std::uint64_t sequence = 0; ///< Counts the engine's events from 1.
    bool stored = false;        ///< False: evicted.
    std::span<const PrefixHash> hashes{};
};

enum class IndexState : std::uint8_t {
    Empty,     ///< No engine seen yet.
    Exact,     ///< Up to date with all events received.
    Waiting,   ///< Events after a gap are buffered; what is held is as of before the gap and still counts.
    OutOfSync, ///< Events were lost: nothing counts until a snapshot closes the gap.
};

template<>
struct EnumNames<IndexState> {
    static constexpr std::array rows{
        EnumName{ IndexState::Empty, "empty" },
        EnumName{ IndexState::Exact, "exact" },
        EnumName{ IndexState::Waiting, "waiting" },
        EnumName{ IndexState::OutOfSync, "doubted" },
    };
};

struct CacheIndexOptions {
    std::size_t capacity = 150'000;           ///< Blocks; further ones are not recorded and counted as overflow.
    std::size_t reorderEvents = 1024;         ///< Events buffered behind a gap.
    std::size_t reorderHashes = 16'384;       ///< Hashes of the buffered events.
    Micros gapTimeout = 300 * MicrosPerMilli; ///< A gap that stays open this long is a loss.
};

struct CacheIndexCounters {
    std::uint64_t applied = 0;
    std::uint64_t duplicates = 0;       ///< Events seen before.
    std::uint64_t staleIncarnation = 0; ///< Events and snapshots of an earlier incarnation.
    std::uint64_t gaps = 0;             ///< Times the index became OutOfSync.
    std::uint64_t overflow = 0;         ///< Stored hashes not recorded for lack of room.
    std::uint64_t unknownEvictions = 0; ///< Evicted hashes that were not recorded.
};

/// The hashes that one engine holds, from events that arrive late, reordered, duplicated and with gaps.
///
/// Allocates only in its constructor. Store, evict and lookup take constant time.
class CacheIndex
{
public:
    /// Precondition: every option is positive.
    explicit CacheIndex(CacheIndexOptions options = {});

    /// The engine says that it is \p incarnation. A new one empties the index. Returns false, and changes nothing, for one that was replaced before.
    bool setIncarnation(Incarnation incarnation);

    /// The engine is gone, or answers no longer: empties the index until another incarnation is observed.
    void reset();

    void apply(Incarnation incarnation, const CacheEvent &event, Micros now);

    /// Replaces the contents by the engine's own list, valid after event \p sequence, and applies what is buffered behind it.
    /// A list older than what was applied already is ignored.
    void loadSnapshot(Incarnation incarnation, std::uint64_t sequence, std::span<const PrefixHash> hashes, Micros now);

    /// Turns a gap that is open for too long into a loss. Call it regularly.
    void tick(Micros now);

    /// The pieces of the deepest sample such that it and all samples before it are held; 0 while OutOfSync. \p samples ascend.
    [[nodiscard]] std::uint32_t heldPieces(std::span<const PrefixSample> samples) const;

    [[nodiscard]] bool holds(PrefixHash hash) const;

    [[nodiscard]] IndexState state() const
    {
        return state_;
    }
    /// Whether a snapshot should be fetched. While Waiting, asking for events after nextSequence() - 1 again may close the gap instead.
    [[nodiscard]] bool needsSnapshot() const
    {
        return state_ == IndexState::OutOfSync;
    }
    /// The event that is applied next.
    [[nodiscard]] std::uint64_t nextSequence() const
    {
        return next_;
    }
    [[nodiscard]] Incarnation incarnation() const
    {
        return incarnation_;
    }
    [[nodiscard]] std::size_t size() const
    {
        return size_;
    }
    [[nodiscard]] const CacheIndexCounters &counters() const
    {
        return counters_;
    }
    /// Bytes allocated.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    struct Buffered {
        std::uint64_t sequence = 0; ///< 0: free.
        std::uint32_t offset = 0;   ///< Into bufferedHashes_.
        std::uint32_t count = 0;
        bool stored = false;
    };

    void clearTable();
    void clearBuffer();
    void insert(PrefixHash hash);
    void erase(PrefixHash hash);
    [[nodiscard]] std::size_t slotOf(PrefixHash hash) const;
    void applyInOrder(const CacheEvent &event);
    void buffer(const CacheEvent &event, Micros now);
    void applyBuffered();
    void markOutOfSync();
    void updateState(Micros now);
    void checkInvariants() const;

    static constexpr std::size_t RetiredCount = 8;

    CacheIndexOptions options_;
    std::vector<PrefixHash> slots_; ///< Open addressing with linear probing; 0: free.
    std::size_t mask_ = 0;
    std::size_t size_ = 0;
    bool holdsZero_ = false;       ///< The hash 0 is recorded here, because it marks free slots.
    std::vector<Buffered> buffer_; ///< Event s at s modulo the size.
    std::vector<PrefixHash> bufferedHashes_;
    std::size_t bufferedCount_ = 0;
    std::uint64_t highestSeen_ = 0;
    std::uint64_t next_ = 1;
    Micros gapSince_ = 0;
    Incarnation incarnation_ = 0;
    std::array<Incarnation, RetiredCount> retired_{};
    std::size_t retiredNext_ = 0;
    IndexState state_ = IndexState::Empty;
    CacheIndexCounters counters_;
};

// 3. Single-flight --------------------------------------------------------------------------------

/// What a request finds when it is started after `wait`.
struct PrefixReuse {
    std::uint32_t pieces = 0;
    Micros wait = 0;
};

/// Prefixes that are being computed, so that concurrent misses of one prefix compute it once.
///
/// An agent begins a flight when it hands a request to its engine and ends it at the first token. A request whose prompt
/// shares a prefix with a flight waits for it, but never longer than the flight's limit.
class SingleFlight
{
public:
    struct Options {
        std::size_t maxFlights = 256;         ///< Further ones are not tracked.
        Micros maxWait = 2 * MicrosPerSecond; ///< A flight counts no longer than this, whatever its request does.
    };
    explicit SingleFlight(Options options);
    SingleFlight();

    /// Starts a flight that computes \p samples, ascending, and is expected to last \p expected. Returns its number, 0 when not tracked.
    std::uint64_t begin(std::span<const PrefixSample> samples, Micros expected, Micros now);

    /// The prefix is computed, or will not be.
    void end(std::uint64_t flight);

    /// Pieces of the prompt that some flight is computing; 0 for none.
    [[nodiscard]] std::uint32_t pendingPieces(std::span<const PrefixSample> samples, Micros now) const;

    /// How long a request should wait for the flight that shares most pieces with it: 0 when none shares more than \p heldPieces.
    /// The remaining time to the flight's expected end, at most to its limit.
    [[nodiscard]] Micros waitFor(std::span<const PrefixSample> samples, std::uint32_t heldPieces, Micros now) const;

    /// Whether to wait for a flight: when the wait is less than twice what the pieces that it adds to \p heldPieces cost to compute.
    /// Otherwise the result is \p heldPieces and no wait. \p prefillPerPiece in microseconds.
    [[nodiscard]] PrefixReuse reusablePrefix(std::span<const PrefixSample> samples, std::uint32_t heldPieces, Micros prefillPerPiece, Micros now) const;

    [[nodiscard]] std::size_t size() const
    {
        return flights_.size();
    }

private:
    struct Flight {
        std::uint64_t number = 0;
        std::uint32_t count = 0;
        Micros expectedEnd = 0;
        Micros limit = 0;
        std::array<PrefixSample, MaxSamples> samples;
    };
    struct SharedPrefix {
        std::uint32_t pieces = 0;
        const Flight *flight = nullptr;
    };
    [[nodiscard]] SharedPrefix deepestShared(std::span<const PrefixSample> samples, Micros now) const;

    Options options_;
    std::vector<Flight> flights_;
    std::uint64_t next_ = 1;
};

// 4. Costs ----------------------------------------------------------------------------------------

/// A parameter learned from samples. The published value follows the average only after the two have differed by more than
/// the band for a number of samples in a row, so that decisions do not follow noise, and never leaves its range.
class LearnedValue
{
public:
    struct Options {
        double initial = 1.0;
        double low = 0.0;
        double high = 1e12;
        double weight = 0.1;              ///< Of one sample in the average.
        double deadband = 0.15;           ///< Relative difference that is ignored.
        std::uint32_t confirmSamples = 3; ///< Samples in a row outside the band.
    };
    explicit LearnedValue(Options options);

    void add(double sample);

    [[nodiscard]] double value() const
    {
        return published_;
    }

private:
    Options options_;
    double average_;
    double published_;
    std::uint32_t outside_ = 0;
};

/// The path from an entry process to a server, or between two servers.
struct LinkCost {
    Micros roundTrip = 0;
    double bytesPerSecond = 0.0;   ///< 0: not a limit.
    double pricePerGigabyte = 0.0; ///< In the operator's currency.
};

struct CostOptions {
    double microsPerCurrencyUnit = 0.0; ///< What one unit of currency is worth in microseconds of a caller's time.
    double kvBytesPerPiece = 2.0e6;     ///< KV cache of one piece.
    Micros kvTransferOverhead = 20'000; ///< Export and import, beside the bytes.
};

/// What is known of one candidate.
struct CostInput {
    Micros expectedWait = 0;
    Micros prefillPerPiece = 0;
    std::uint32_t promptPieces = 0;
    std::uint32_t heldPieces = 0;
    std::uint64_t promptBytes = 0;
    LinkCost link{};
    std::uint32_t transferPieces = 0; ///< Pieces that the best other holder has; 0: no transfer possible.
    LinkCost transferLink{};          ///< From that holder to the candidate.
};

/// The parts of a candidate's cost, each in microseconds.
struct Cost {
    Micros wait = 0;
    Micros prefill = 0;
    Micros transfer = 0; ///< Over 0: importing the KV cache is cheaper than computing it.
    Micros link = 0;
    Micros price = 0;

    [[nodiscard]] Micros total() const
    {
        return wait + prefill + transfer + link + price;
    }
};

/// Thread-safe. Negative and excessive inputs are clamped, so that the total never overflows.
[[nodiscard]] Cost costOf(const CostInput &input, const CostOptions &options);

// 5. Servers --------------------------------------------------------------------------------------

/// A server that an entry process may route to.
struct Server {
    std::string name{}; ///< Unique; its hash places the server in rendezvous hashing.
    std::string zone{};
    std::string region{};
    std::string route{};          ///< Model, or plain service.
    std::string weightsVersion{}; ///< Empty: not versioned.
    std::vector<std::string> adapters{};
    std::uint32_t slots = 1;
    bool accepting = true; ///< Alive, reachable and not leaving.
    LinkCost link{};       ///< From this process.
};

using ServerIndex = std::uint32_t; ///< Position in the router's table; valid until the next setServers().
inline constexpr ServerIndex NoServer = ~ServerIndex{ 0 };

/// What an entry process knows of a server's load without probing it.
struct ServerLoad {
    std::uint32_t inFlight = 0;       ///< Requests of this process.
    Micros reportedWait = 0;          ///< From the last reply or report.
    Micros reportedAt = 0;            ///< 0: never.
    std::uint32_t reportedActive = 0; ///< Requests of all entry processes, from the last report.
};

/// A server whose estimates were wrong is tried again after a few of these.
inline constexpr Micros BiasHalfLife = 2 * MicrosPerSecond;

struct ServerRow {
    Server server;
    std::uint64_t key = 0; ///< Hash of the name.
    ServerLoad load;
    double waitBias = 0.0; ///< Average of observed minus predicted time to first token, in microseconds; halves every BiasHalfLife without samples.
    Micros biasAt = 0;
};

// 6. Hot prefixes ---------------------------------------------------------------------------------

/// The number of homes of each prefix that needs more than one. Homes are the first ones in rendezvous order, so that entry
/// processes that hold different numbers still agree on a common subset.
///
/// Grows when the homes' wait exceeds a share of what another copy costs to compute; each process then grows with probability one half
/// and at most once per `minGrowInterval`, so that processes do not all switch at once. Shrinks by one after a quiet time that is
/// drawn at random from [quiet, 2 quiet).
class HotPrefixes
{
public:
    struct Options {
        std::size_t capacity = 1024; ///< Prefixes with more than one home; further ones keep one.
        std::uint32_t maxHomes = 64;
        double growWaitShare = 0.1; ///< Of a copy's cost: a longer wait makes the prefix grow, because many requests share the copy.
        Micros minGrowInterval = 50 * MicrosPerMilli;
        Micros shrinkDelay = 10 * MicrosPerSecond;
    };
    explicit HotPrefixes(Options options);
    HotPrefixes();

    /// At least 1.
    [[nodiscard]] std::uint32_t homes(PrefixHash prefix, Micros now) const;

    /// Reports the least wait among the prefix's homes, and what another copy of the prefix costs to compute.
    void reportWait(PrefixHash prefix, Micros leastWait, Micros copyCost, Micros now, std::mt19937_64 &random);

    [[nodiscard]] std::size_t size() const
    {
        return rows_.size();
    }

private:
    struct Row {
        std::uint32_t homes = 1;
        Micros changedAt = 0;
        Micros shrinkAt = 0;
    };
    void makeRoom(Micros now);

    Options options_;
    std::unordered_map<PrefixHash, Row> rows_;
};

// 7. Policies -------------------------------------------------------------------------------------

/// Depths, in pieces, whose hashes place a prompt. A prompt shorter than the first one is placed by all of its whole pieces.
inline constexpr std::array<std::uint32_t, 7> PlacementLevels{ 8, 32, 128, 256, 512, 1024, 4096 };

/// One request, for routing. The spans must outlive the calls that take the query.
struct RouteQuery {
    std::string_view route{};
    std::string_view weightsVersion{}; ///< Empty: any.
    std::string_view adapter{};        ///< Empty: none.
    std::uint64_t promptBytes = 0;
    std::span<const PrefixHash> hashes{};
};

/// What a probed server answered.
struct Quote {
    ServerIndex server = NoServer;
    std::uint32_t heldPieces = 0;
    Micros expectedWait = 0;
    Micros prefillPerPiece = 0;
    bool accepting = true;
};

/// The quote in a probe reply. An unknown or closed upstream is not accepting.
[[nodiscard]] Quote quoteOf(const ProbeReply &reply, ServerIndex server);

inline constexpr std::size_t MaxProbes = 8;

/// Whom to probe.
struct Plan {
    std::array<ServerIndex, MaxProbes> probes{};
    std::size_t count = 0;

    [[nodiscard]] std::span<const ServerIndex> servers() const
    {
        return { probes.data(), count };
    }
    bool add(ServerIndex server); ///< False when full or present.
};

struct Choice {
    ServerIndex server = NoServer;
    Cost cost;
    std::uint32_t heldPieces = 0;
    ServerIndex transferFrom = NoServer; ///< Import the KV cache from there, when `cost.transfer` is over 0.
    bool withoutQuotes = false;          ///< No quote was at hand: the choice rests on hashing and local counts.
};

enum class PolicyKind : std::uint8_t { Random, LeastLoaded, BoundedRendezvous, Probe };

template<>
struct EnumNames<PolicyKind> {
    static constexpr std::array rows{
        EnumName{ PolicyKind::Random, "random" },
        EnumName{ PolicyKind::LeastLoaded, "least-loaded" },
        EnumName{ PolicyKind::BoundedRendezvous, "bounded-rendezvous" },
        EnumName{ PolicyKind::Probe, "probe" },
    };
};

/// What policies work on: the rows that can serve a query, and the shared soft state.
struct PolicyContext {
    std::span<ServerRow> rows;
    std::span<const ServerIndex> eligible; ///< Accepting servers of the route, version and adapter; those of the own region first.
    std::size_t localCount = 0;            ///< How many of `eligible` are in the own region.
    std::mt19937_64 &random;
    Micros now = 0;
};

/// A policy names servers to probe, possibly none, and chooses one. `plan` and `choose` get the same eligible servers, at least one.
template<typename Policy>
concept RoutingPolicy = requires(Policy policy, const RouteQuery &query, PolicyContext &context, Plan &plan, std::span<const Quote> quotes,
                                 const Choice &choice)
{
    policy.plan(query, context, plan);
    {
        policy.choose(query, context, plan, quotes)
        } -> std::same_as<Choice>;
    policy.onDispatched(query, context, choice);
};

struct PolicyOptions {
    std::size_t probes = 4;             ///< Servers probed for a request, at most MaxProbes.
    double boundedLoad = 1.25;          ///< Load of a rendezvous home over the mean, from which the next one is taken.
    std::size_t lastServerSlots = 4096; ///< Deep prefixes whose last server is remembered.
    Micros lastServerTtl = 30 * MicrosPerSecond;
    Micros remoteProbeWait = 200 * MicrosPerMilli; ///< Wait in the own region from which another region is probed too.
    double nonHomePenalty = 0.1;                   ///< Of the prefill that a server which is no home of the prefix would do anew; added to its cost.
    double tieBand = 0.02;                         ///< Candidates this close to the cheapest one are drawn at random.
    CostOptions cost{};
    HotPrefixes::Options hot{};
};

// 8. Router ---------------------------------------------------------------------------------------

struct RouterOptions {
    PolicyKind policy = PolicyKind::Probe;
    PolicyOptions options{};
    std::string region{}; ///< Of this process.
    std::uint64_t seed = 1;
    /// The path between two servers for KV cache transfer; empty: transfers are not considered.
    std::function<LinkCost(const Server &from, const Server &to)> transferLink{};
};

class Router
{
public:
    /// Precondition: 1 <= options.options.probes <= MaxProbes.
    explicit Router(RouterOptions options);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Replaces the table. Soft state of servers that keep their name is kept. Invalidates every ServerIndex.
    void setServers(std::vector<Server> servers);

    /// The table.
    [[nodiscard]] std::span<const ServerRow> servers() const;
    [[nodiscard]] ServerIndex find(std::string_view name) const; ///< NoServer when unknown.

    void setAccepting(ServerIndex server, bool accepting);

    /// A load report that did not come with a quote. \p active: requests at the server of all entry processes.
    void reportLoad(ServerIndex server, Micros wait, std::uint32_t active, Micros now);

    /// Servers to probe for \p query. An empty plan with planned() servers means: choose() at once without quotes.
    /// Returns false when no server can serve the query.
    bool plan(const RouteQuery &query, Micros now, Plan &plan);

    /// The server to submit to, from the quotes that arrived; servers in \p exclude failed before. `server` is NoServer when none is left.
    [[nodiscard]] Choice choose(const RouteQuery &query, const Plan &plan, std::span<const Quote> quotes, Micros now,
                                std::span<const ServerIndex> exclude = {});

    void onDispatched(const RouteQuery &query, const Choice &choice, Micros now);
    /// \p elapsed from dispatch to the first token.
    void onFirstToken(const RouteQuery &query, const Choice &choice, Micros elapsed, Micros now);
    void onEnded(const Choice &choice, Micros now);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Carobhall
