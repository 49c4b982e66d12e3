#pragma once

// Selection of an upstream for a request: prefix hashes, an index of an engine's prefix cache, candidate costs and routing policies.
//
// The code does no I/O and reads no clock: callers pass the current time as an argument, and random numbers come from a generator
// with a given seed. Unless stated otherwise nothing here is thread-safe; call it from the main loop's thread.
//
// An agent keeps one CacheIndex and one SingleFlight, and answers probes:
//
//     index.apply(incarnation, {.sequence = 7, .stored = true, .hashes = hashes}, now);
//     reply.heldPieces = index.heldPieces(probe.samples);
//     PrefixReuse reuse = flights.reusablePrefix(samples, held, prefillPerPiece, now);  // before a request is submitted to the engine
//     if (reuse.wait > 0) ... keep the request queued and check again after at most reuse.wait
//
// Probe replies do not count prefixes that are still being computed as held. routing_compare measures a higher tail latency when
// they do, because every request for such a prefix then waits for its first computation.
//
// An entry process keeps one Router for all routes:
//
//     router.setServers(servers);                                    // from the configuration document and the membership
//     Salt salt = saltOf({account, model, version, adapter});
//     hashPrefix(prompt, salt, hashes);
//     RouteQuery query{.route = model, .weightsVersion = version, .promptBytes = ..., .hashes = hashes};
//     router.plan(query, now, plan);                                 // plan.probes: the servers to probe; false: no server is eligible
//     ... send Probe{.samples = sampleHashes(hashes)} to them, collect quotes until all have answered or the timeout expires ...
//     Choice choice = router.choose(query, plan, quotes, now);       // choice.server: the server to submit to
//     router.onDispatched(query, choice, now);
//     router.onFirstToken(query, choice, elapsed, now);              // once, if the answer has started
//     router.onEnded(choice, now);                                   // exactly once, whether the request succeeded or failed
//
// Index
//   1. Prefix identity    salts, chained hashes, samples, fingerprints
//   2. Cache index        the prefixes that one engine holds in its cache
//   3. Single-flight      coalescing of concurrent cache misses for one prefix
//   4. Costs              learned parameters, the cost of a candidate in microseconds
//   5. Servers            the table of servers that an entry process routes to
//   6. Hot prefixes       the number of home servers of a prefix
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

/// Length of a piece, the block of prompt bytes that one hash covers. An incomplete piece at the end of the prompt has no hash.
inline constexpr std::size_t PieceBytes = 64;
inline constexpr std::size_t MaxSamples = 24; ///< Maximum number of prefix samples in a probe.
using PrefixHash = std::uint64_t;

struct SaltParts {
    std::string_view account{};
    std::string_view model{};
    std::string_view weightsVersion{};
    std::string_view adapter{};
};

/// Keeps the prefix hashes of different accounts, models, weights versions and adapters distinct.
struct Salt {
    std::uint64_t seed = 0;  ///< Seeds the prefix hashes.
    std::uint64_t check = 0; ///< Independent of `seed`; two salts are equal only if both values match.

    auto operator<=>(const Salt &) const = default;
};

/// Derives the salt from the length-prefixed parts, so that different sets of parts never give the same hash input. Thread-safe.
[[nodiscard]] Salt saltOf(const SaltParts &parts);

/// Writes one hash for each complete piece of \p prompt to \p hashes. Hash i covers the pieces 0 to i. It is
/// XXH3_64bits_withSeed(previous + bytes of piece i, salt.seed), where `+` concatenates and `previous` is hash i-1 (the seed for the
/// first piece) as 8 bytes in little-endian order. Thread-safe.
void hashPrefix(std::string_view prompt, const Salt &salt, std::vector<PrefixHash> &hashes);

/// Selects at most MaxSamples of \p hashes, in ascending order of depth: the placement levels, the whole prompt, and multiples of a
/// stride. The stride is a power of two and at most an eighth of the prompt; it bounds the error by which the samples underestimate a
/// held prefix. A prompt of at most MaxSamples pieces is sampled completely. Thread-safe.
[[nodiscard]] std::vector<PrefixSample> sampleHashes(std::span<const PrefixHash> hashes);

/// Identifies a request by its account and content. Retries of a request have the same fingerprint, so that requests which crash
/// engines can be recognised. Thread-safe.
[[nodiscard]] std::uint64_t fingerprintOf(std::string_view account, std::string_view content);

// 2. Cache index ----------------------------------------------------------------------------------

/// One event of an engine's cache event stream.
struct CacheEvent {
    std::uint64_t sequence = 0; ///< Sequence number of the event; the engine's first event has 1.
    bool stored = false;        ///< True: the blocks were stored; false: they were evicted.
    std::span<const PrefixHash> hashes{};
};

enum class IndexState : std::uint8_t {
    Empty,     ///< No engine incarnation is known.
    Exact,     ///< All received events are applied.
    Waiting,   ///< An event is missing. Later events are buffered, and lookups use the contents from before the gap.
    OutOfSync, ///< Events were lost. heldPieces() returns 0 until a snapshot closes the gap.
};

/// The names in the agent's state document. They must not change, so OutOfSync keeps the name "doubted".
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
    std::size_t capacity = 150'000;           ///< Maximum number of recorded blocks; further ones are only counted as overflow.
    std::size_t reorderEvents = 1024;         ///< Maximum number of events buffered after a gap.
    std::size_t reorderHashes = 16'384;       ///< Maximum number of hashes in the buffered events.
    Micros gapTimeout = 300 * MicrosPerMilli; ///< Missing events are taken as lost after this time.
};

struct CacheIndexCounters {
    std::uint64_t applied = 0;
    std::uint64_t duplicates = 0;       ///< Events that had been received before.
    std::uint64_t staleIncarnation = 0; ///< Events and snapshots of an earlier incarnation, which are ignored.
    std::uint64_t gaps = 0;             ///< Transitions to OutOfSync.
    std::uint64_t overflow = 0;         ///< Stored hashes that exceeded the capacity and were not recorded.
    std::uint64_t unknownEvictions = 0; ///< Evicted hashes that were not recorded.
};

/// The hashes of the blocks in one engine's prefix cache, built from an event stream that may be delayed, reordered, duplicated and
/// incomplete. A block is the KV cache of one piece; its hash is the prefix hash up to that piece.
///
/// Allocates memory only in its constructor. Storing, evicting and looking up a hash take constant time.
class CacheIndex
{
public:
    /// Precondition: every option is positive.
    explicit CacheIndex(CacheIndexOptions options = {});

    /// Sets the engine's current incarnation; a new incarnation empties the index. Returns false and changes nothing if
    /// \p incarnation is 0, or is one of the last RetiredCount incarnations that were replaced or reset.
    bool setIncarnation(Incarnation incarnation);

    /// Empties the index because the engine has gone or no longer answers. Events of the current incarnation are ignored from now on.
    void reset();

    /// Applies an event, or buffers it if an earlier event is missing; without room in the buffer the state becomes OutOfSync. Duplicates
    /// and events of earlier incarnations are ignored, and a new incarnation empties the index first.
    void apply(Incarnation incarnation, const CacheEvent &event, Micros now);

    /// Replaces the contents by \p hashes, the engine's list after event \p sequence, and applies the buffered events that follow it.
    /// A snapshot older than the last applied event is ignored.
    void loadSnapshot(Incarnation incarnation, std::uint64_t sequence, std::span<const PrefixHash> hashes, Micros now);

    /// Changes the state from Waiting to OutOfSync once a gap has been open for `gapTimeout`. Call it periodically.
    void tick(Micros now);

    /// The length in pieces of the longest sampled prefix for which all samples up to its end are held; 0 while Empty or OutOfSync.
    /// \p samples are in ascending order of depth.
    [[nodiscard]] std::uint32_t heldPieces(std::span<const PrefixSample> samples) const;

    [[nodiscard]] bool holds(PrefixHash hash) const;

    [[nodiscard]] IndexState state() const
    {
        return state_;
    }
    /// Whether a snapshot must be fetched. While Waiting, fetching the events after nextSequence() - 1 again may still close the gap.
    [[nodiscard]] bool needsSnapshot() const
    {
        return state_ == IndexState::OutOfSync;
    }
    /// Sequence number of the event that is applied next.
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
    /// Allocated memory in bytes.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    struct Buffered {
        std::uint64_t sequence = 0; ///< 0: the slot is free.
        std::uint32_t offset = 0;   ///< Index of the event's first hash in bufferedHashes_.
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

    static constexpr std::size_t RetiredCount = 8; ///< Number of earlier incarnations whose late events are recognised.

    CacheIndexOptions options_;
    std::vector<PrefixHash> slots_; ///< Hash table with open addressing and linear probing; 0 marks a free slot.
    std::size_t mask_ = 0;
    std::size_t size_ = 0;
    bool holdsZero_ = false;       ///< Whether the hash 0 is held, which slots_ cannot record.
    std::vector<Buffered> buffer_; ///< Reorder buffer; the event with sequence s is at s modulo the size.
    std::vector<PrefixHash> bufferedHashes_;
    std::size_t bufferedCount_ = 0;
    std::uint64_t highestSeen_ = 0; ///< Highest sequence number received.
    std::uint64_t next_ = 1;        ///< Sequence number of the event that is applied next.
    Micros gapSince_ = 0;           ///< Start of the current gap, while Waiting.
    Incarnation incarnation_ = 0;
    std::array<Incarnation, RetiredCount> retired_{}; ///< Ring buffer of earlier incarnations.
    std::size_t retiredNext_ = 0;
    IndexState state_ = IndexState::Empty;
    CacheIndexCounters counters_;
};

// 3. Single-flight --------------------------------------------------------------------------------

/// The prefix that a request can reuse from the engine's cache if it starts after `wait`.
struct PrefixReuse {
    std::uint32_t pieces = 0;
    Micros wait = 0;
};

/// Tracks the prefixes that an engine is computing, so that concurrent cache misses for one prefix compute it only once.
///
/// An agent begins a flight when it submits a request to its engine and ends it at the first token. A request whose prompt shares a
/// prefix with a flight waits for the flight, but not beyond the flight's limit.
class SingleFlight
{
public:
    struct Options {
        std::size_t maxFlights = 256;         ///< Further flights are not tracked.
        Micros maxWait = 2 * MicrosPerSecond; ///< A flight is ignored after this time, even if it was not ended.
    };
    explicit SingleFlight(Options options);
    SingleFlight();

    /// Begins a flight that computes the prefixes in \p samples, which are in ascending order of depth, and is expected to take
    /// \p expected. Returns the flight's number, or 0 if it is not tracked.
    std::uint64_t begin(std::span<const PrefixSample> samples, Micros expected, Micros now);

    /// Ends a flight: its prefix is now in the cache, or its request has failed.
    void end(std::uint64_t flight);

    /// Length in pieces of the longest prefix of the prompt that a flight is computing; 0 if there is none.
    [[nodiscard]] std::uint32_t pendingPieces(std::span<const PrefixSample> samples, Micros now) const;

    /// The time that a request would wait for the flight which shares the longest prefix with it: the time left to the flight's expected
    /// end, at most to its limit. 0 if no flight shares more than \p heldPieces.
    [[nodiscard]] Micros waitFor(std::span<const PrefixSample> samples, std::uint32_t heldPieces, Micros now) const;

    /// Decides whether a request should wait for a flight. It should if the wait is shorter than twice the time to compute the pieces
    /// that the flight adds to \p heldPieces. Otherwise the result is \p heldPieces without a wait. \p prefillPerPiece is the prefill
    /// time per piece.
    [[nodiscard]] PrefixReuse reusablePrefix(std::span<const PrefixSample> samples, std::uint32_t heldPieces, Micros prefillPerPiece, Micros now) const;

    [[nodiscard]] std::size_t size() const
    {
        return flights_.size();
    }

private:
    struct Flight {
        std::uint64_t number = 0;
        std::uint32_t count = 0; ///< Number of used entries in `samples`.
        Micros expectedEnd = 0;
        Micros limit = 0; ///< Time from which the flight is ignored.
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

/// A parameter learned from samples as an exponentially weighted moving average. The published value is set to the average only after
/// the two have differed by more than the deadband for several consecutive samples, so that routing decisions do not react to noise.
/// The value stays between `low` and `high`.
class LearnedValue
{
public:
    struct Options {
        double initial = 1.0;
        double low = 0.0;
        double high = 1e12;
        double weight = 0.1;              ///< Weight of a new sample in the average.
        double deadband = 0.15;           ///< Relative difference between average and published value that is ignored.
        std::uint32_t confirmSamples = 3; ///< Consecutive samples outside the deadband before the value changes.
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
    std::uint32_t outside_ = 0; ///< Consecutive samples outside the deadband so far.
};

/// The network path from an entry process to a server, or between two servers.
struct LinkCost {
    Micros roundTrip = 0;
    double bytesPerSecond = 0.0;   ///< 0: unlimited.
    double pricePerGigabyte = 0.0; ///< In the operator's currency.
};

struct CostOptions {
    double microsPerCurrencyUnit = 0.0; ///< Caller's time that one unit of the operator's currency is worth.
    double kvBytesPerPiece = 2.0e6;     ///< Size of the KV cache of one piece.
    Micros kvTransferOverhead = 20'000; ///< Time to export and import, in addition to the transfer of the bytes.
};

/// The values from which the cost of a candidate is computed.
struct CostInput {
    Micros expectedWait = 0;
    Micros prefillPerPiece = 0;
    std::uint32_t promptPieces = 0;
    std::uint32_t heldPieces = 0;
    std::uint64_t promptBytes = 0;
    LinkCost link{};
    std::uint32_t transferPieces = 0; ///< Pieces held by the other server that holds most of the prefix; 0: no transfer is possible.
    LinkCost transferLink{};          ///< Path from that server to the candidate.
};

/// The components of a candidate's cost, in microseconds.
struct Cost {
    Micros wait = 0;
    Micros prefill = 0;
    Micros transfer = 0; ///< Greater than 0 if importing the KV cache is cheaper than computing it.
    Micros link = 0;
    Micros price = 0;

    [[nodiscard]] Micros total() const
    {
        return wait + prefill + transfer + link + price;
    }
};

/// Negative and excessive inputs are clamped, so that the total never overflows. Thread-safe.
[[nodiscard]] Cost costOf(const CostInput &input, const CostOptions &options);

// 5. Servers --------------------------------------------------------------------------------------

/// A server that an entry process may route to.
struct Server {
    std::string name{}; ///< Unique; its hash is the server's key in rendezvous hashing.
    std::string zone{};
    std::string region{};
    std::string route{};          ///< Name of the model or of the plain service.
    std::string weightsVersion{}; ///< Empty if the route has no versions.
    std::vector<std::string> adapters{};
    std::uint32_t slots = 1; ///< Requests that the server runs at the same time.
    bool accepting = true;   ///< Alive, reachable and not shutting down.
    LinkCost link{};         ///< Path from this process.
};

using ServerIndex = std::uint32_t; ///< Position in the router's table; valid until the next setServers().
inline constexpr ServerIndex NoServer = ~ServerIndex{ 0 };

/// The load of a server as an entry process knows it without a probe.
struct ServerLoad {
    std::uint32_t inFlight = 0;       ///< Requests of this process that have not ended.
    Micros reportedWait = 0;          ///< Expected wait from the last probe reply or load report.
    Micros reportedAt = 0;            ///< Time of that reply or report; 0: none was received.
    std::uint32_t reportedActive = 0; ///< Requests of all entry processes, from the last load report and updated by this process's own requests.
};

/// Half-life of a server's wait bias. A server that is avoided because it was slower than predicted is tried again after a few half-lives.
inline constexpr Micros BiasHalfLife = 2 * MicrosPerSecond;

/// An entry of the router's server table.
struct ServerRow {
    Server server;
    std::uint64_t key = 0; ///< Hash of the name.
    ServerLoad load;
    double waitBias = 0.0; ///< Average of observed minus predicted time to first token, in microseconds; decays with BiasHalfLife.
    Micros biasAt = 0;     ///< Time of the last update of `waitBias`.
};

// 6. Hot prefixes ---------------------------------------------------------------------------------

/// Tracks how many home servers each hot prefix has. The homes of a prefix are the first servers in its rendezvous order, so that
/// entry processes with different numbers still agree on a common subset. A prefix that is not tracked has one home.
///
/// The number grows when the wait at the homes exceeds a share of the cost of computing another copy of the prefix. A process then
/// grows it with probability one half and at most once per `minGrowInterval`, so that processes do not all change at the same time. The
/// number first shrinks by one when no such wait was reported for a random time in [shrinkDelay, 2 shrinkDelay), and then by one for
/// each further `shrinkDelay`.
class HotPrefixes
{
public:
    struct Options {
        std::size_t capacity = 1024; ///< Maximum number of tracked prefixes; further ones keep one home.
        std::uint32_t maxHomes = 64;
        double growWaitShare = 0.1; ///< Wait above which homes are added, as a share of a copy's cost; below 1, because many requests share the copy.
        Micros minGrowInterval = 50 * MicrosPerMilli;
        Micros shrinkDelay = 10 * MicrosPerSecond; ///< Must be positive.
    };
    explicit HotPrefixes(Options options);
    HotPrefixes();

    /// The number of homes of \p prefix, at least 1.
    [[nodiscard]] std::uint32_t homes(PrefixHash prefix, Micros now) const;

    /// Reports the shortest wait among the servers that hold the prefix, and the time to compute another copy of it.
    void reportWait(PrefixHash prefix, Micros shortestWait, Micros copyCost, Micros now, std::mt19937_64 &random);

    [[nodiscard]] std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct Entry {
        std::uint32_t homes = 1;
        Micros changedAt = 0; ///< Time of the last increase; 0: none.
        Micros shrinkAt = 0;  ///< Time from which the number of homes decreases.
    };
    void evictSingleHome(Micros now); ///< Removes the entries that have shrunk to one home.

    Options options_;
    std::unordered_map<PrefixHash, Entry> entries_;
};

// 7. Policies -------------------------------------------------------------------------------------

/// Depths in pieces at which the hash of a prompt selects its home servers. For a prompt shorter than the first level, the hash of all
/// its complete pieces is used.
inline constexpr std::array<std::uint32_t, 7> PlacementLevels{ 8, 32, 128, 256, 512, 1024, 4096 };

/// The properties of a request that routing depends on. The views and spans must stay valid during the calls that take the query.
struct RouteQuery {
    std::string_view route{};
    std::string_view weightsVersion{}; ///< Empty: any version.
    std::string_view adapter{};        ///< Empty: no adapter.
    std::uint64_t promptBytes = 0;
    std::span<const PrefixHash> hashes{};
};

/// The answer of a probed server.
struct Quote {
    ServerIndex server = NoServer;
    std::uint32_t heldPieces = 0;
    Micros expectedWait = 0;
    Micros prefillPerPiece = 0;
    bool accepting = true;
};

/// Converts a probe reply to a quote. The quote is accepting only if the upstream is in the state Accepting.
[[nodiscard]] Quote quoteOf(const ProbeReply &reply, ServerIndex server);

inline constexpr std::size_t MaxProbes = 8;

/// The servers to probe for a request.
struct Plan {
    std::array<ServerIndex, MaxProbes> probes{};
    std::size_t count = 0;

    [[nodiscard]] std::span<const ServerIndex> servers() const
    {
        return { probes.data(), count };
    }
    bool add(ServerIndex server); ///< Returns false if the plan is full or contains the server already.
};

/// The server that a policy chose for a request.
struct Choice {
    ServerIndex server = NoServer;
    Cost cost;
    std::uint32_t heldPieces = 0;
    ServerIndex transferFrom = NoServer; ///< Server to import the KV cache from if `cost.transfer` is greater than 0.
    bool withoutQuotes = false;          ///< No quote was used: the choice is based on hashing and known loads, and `cost` is unset.
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

/// The input of a policy: the server table, the servers that are eligible for the query, the random number generator and the time.
struct PolicyContext {
    std::span<ServerRow> rows;
    std::span<const ServerIndex> eligible; ///< Accepting servers of the route, version and adapter; servers in the local region come first.
    std::size_t localCount = 0;            ///< Number of servers in `eligible` that are in the local region.
    std::mt19937_64 &random;
    Micros now = 0;
};

/// A policy selects the servers to probe, possibly none, and chooses one server from the quotes. Both `plan` and `choose` get at least
/// one eligible server; the sets may differ by servers that failed or whose state changed in between.
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
    std::size_t probes = 4;             ///< Number of servers probed for a request, from 1 to MaxProbes.
    double boundedLoad = 1.25;          ///< Bounded-rendezvous: maximum load of a server relative to the mean; above it the next server is taken.
    std::size_t lastServerSlots = 4096; ///< Number of prefixes for which the last server is stored.
    Micros lastServerTtl = 30 * MicrosPerSecond;
    Micros remoteProbeWait = 200 * MicrosPerMilli; ///< Another region is probed too when every local server reports a longer wait than this.
    double nonHomePenalty = 0.1;                   ///< Share of the remaining prefill cost that is added for a server that is not a home of the prefix.
    double tieBand = 0.02; ///< Relative cost difference up to which candidates that hold equally many pieces are tied; a random one is taken.
    CostOptions cost{};
    HotPrefixes::Options hot{};
};

// 8. Router ---------------------------------------------------------------------------------------

struct RouterOptions {
    PolicyKind policy = PolicyKind::Probe;
    PolicyOptions options{};
    std::string region{}; ///< Region of this process.
    std::uint64_t seed = 1;
    /// Returns the network path between two servers for KV cache transfers. If empty, transfers are not considered.
    std::function<LinkCost(const Server &from, const Server &to)> transferLink{};
};

/// Chooses servers for the requests of one entry process and learns from the results.
class Router
{
public:
    /// Precondition: 1 <= options.options.probes <= MaxProbes.
    explicit Router(RouterOptions options);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Replaces the server table and invalidates every ServerIndex. Load and wait bias of servers with an unchanged name are kept.
    void setServers(std::vector<Server> servers);

    [[nodiscard]] std::span<const ServerRow> servers() const;
    [[nodiscard]] ServerIndex find(std::string_view name) const; ///< NoServer if there is no server with this name.

    void setAccepting(ServerIndex server, bool accepting);

    /// Records a load report that did not come with a quote. \p wait is the expected wait at the server, \p active the number of its
    /// requests from all entry processes.
    void reportLoad(ServerIndex server, Micros wait, std::uint32_t active, Micros now);

    /// Selects the servers to probe for \p query. Returns false if no server can serve the query. If the result is true and \p plan is
    /// empty, call choose() at once without quotes.
    bool plan(const RouteQuery &query, Micros now, Plan &plan);

    /// Chooses the server to submit the request to, based on the received quotes. Servers in \p exclude, where the request failed
    /// before, are not chosen. The result's `server` is NoServer if no server is left.
    [[nodiscard]] Choice choose(const RouteQuery &query, const Plan &plan, std::span<const Quote> quotes, Micros now,
                                std::span<const ServerIndex> exclude = {});

    void onDispatched(const RouteQuery &query, const Choice &choice, Micros now);
    /// \p elapsed is the time from dispatch to the first token.
    void onFirstToken(const RouteQuery &query, const Choice &choice, Micros elapsed, Micros now);
    void onEnded(const Choice &choice, Micros now);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Carobhall
