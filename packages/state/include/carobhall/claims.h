#pragma once

// Claims: calls that must not be repeated run at most once for each Idempotency-Key, and a repeat gets the first answer.
//
//     Claims claims(client, {.environment = "guild", .holder = incarnation});
//     claims.claim(key, digest, now, [&](ClaimAnswer answer, Micros now) {
//         // Run: call the upstream, then exactly one of finish(), markOutcomeUnknown() or release().
//         // Replay: answer.result is the first answer.  Refused: answer.verdict and answer.error.
//     });
//     claims.tick(now, wallClockNow());   // every 10 ms
//
// A claim is a row in one of 64 shards, which are objects of the platform. Run is reported only after the row was seen in the
// platform, either in the answer to the conditional write that holds it or in a later read. Rows are only ever added by
// conditional writes, so of several processes that claim one key, one sees its own row and the others see that row.
// All waiting claims and results of a shard go into one conditional write.
//
// A row without a result whose holder is not this process is never run again: its holder may have run it, or may yet do so.
//
// Index
//   1. Keys, results and answers
//   2. Claims
//   3. Shard values     for the operators' tools and for tests

#include "carobhall/platform.h"

#include <set>

namespace Carobhall
{

// 1. Keys, results and answers --------------------------------------------------------------------

inline constexpr std::size_t ClaimShards = 64; ///< Per environment. Changing it strands the claims that exist.
inline constexpr const char *ClaimKind = "claims";

/// Keys of different accounts or services never meet.
struct ClaimKey {
    std::string account;
    std::string service;
    std::string key; ///< The caller's Idempotency-Key.
};

struct ClaimResult {
    int status = 0; ///< HTTP status, never 0 in a result.
    std::string contentType;
    std::string body;
};

enum class ClaimDecision : std::uint8_t { Run, Replay, Refused };

template<>
struct EnumNames<ClaimDecision> {
    static constexpr std::array rows{
        EnumName{ ClaimDecision::Run, "run" },
        EnumName{ ClaimDecision::Replay, "repeat" },
        EnumName{ ClaimDecision::Refused, "refused" },
    };
};

/// What a claim came to. Refusals:
///
///     NotRun      PlatformUnavailable  the claim could not be made durable in time; this attempt never runs
///     NotRun      Conflict             the key belongs to a request with another digest
///     NotRun      Overloaded           the shard has no room for a new key
///     MayHaveRun  AlreadyExists        another holder claimed the key and has left no result yet
///     MayHaveRun  UpstreamFailed       this process ran the request and did not learn its outcome
///     MayHaveRun  KeyExpired           the key is older than the window, or was used before its result was dropped
///     Ran         KeyExpired           the same, and it did run
///     Ran         TooLarge             it ran, and its result was too large to keep
struct ClaimAnswer {
    ClaimDecision decision = ClaimDecision::Refused;
    Verdict verdict = Verdict::NotRun;
    std::error_code error;
    ClaimResult result;    ///< Of Replay.
    Micros retryAfter = 0; ///< 0: no advice.
};

using ClaimHandler = std::function<void(ClaimAnswer, Micros now)>;

// 2. Claims ---------------------------------------------------------------------------------------

struct ClaimsOptions {
    std::string environment;
    Incarnation holder = 0;                                ///< Of this process.
    Micros claimTimeout = 2 * MicrosPerSecond;             ///< A claim that is not durable by then is refused as not run.
    Micros window = Micros{ 24 } * 3600 * MicrosPerSecond; ///< Results are kept this long.
    Micros clockSkew = Micros{ 600 } * MicrosPerSecond;    ///< Rows outlive the window by this much, for processes whose clock is behind.
    std::size_t valueLimit = PlatformValueLimit;           ///< Bytes of a shard.
    std::size_t spentLimit = PlatformValueLimit / 2;       ///< Bytes that digests of keys without a time may take of a shard.
    std::size_t resultReserve = 2'048;                     ///< Bytes set aside in a shard for each claim without a result.
    std::size_t maxResultBytes = 16'384;                   ///< A larger result is not kept, only that the request ran.
    Micros retryBase = 5 * MicrosPerMilli;                 ///< First bound of the backoff between the steps of a shard.
    Micros retryCap = 500 * MicrosPerMilli;
    Micros idleShard = 60 * MicrosPerSecond; ///< A shard that nobody asked for this long leaves memory.
    std::uint64_t seed = 1;
};

struct ClaimsStats {
    std::uint64_t commits = 0; ///< Confirmed conditional writes.
    std::uint64_t claimed = 0; ///< Claims that were decided as Run.
    std::uint64_t repeats = 0;
    std::uint64_t refused = 0;
    std::uint64_t conflicts = 0; ///< Conditional writes that found another version.
    std::uint64_t inDoubt = 0;   ///< Conditional writes whose answer was lost.
    std::uint64_t withdrawn = 0; ///< Rows of refused claims that took effect late and were removed.
};

/// The claims that one process makes. Not thread-safe. The client must outlive it.
class Claims
{
public:
    Claims(PlatformClient &client, ClaimsOptions options);
    ~Claims();
    Claims(const Claims &) = delete;
    Claims &operator=(const Claims &) = delete;

    /// Asks to run the request under \p key. \p requestDigest covers what the request does: method, path and body. The handler
    /// runs exactly once, possibly before claim() returns. A repeat of a key that runs here waits for its end.
    /// Precondition: tick() ran before, so that the wall clock is known.
    void claim(const ClaimKey &key, std::string_view requestDigest, Micros now, ClaimHandler done);

    /// The request ran and this is its answer, which may be given to the caller at once; it is kept as soon as the platform
    /// allows. Precondition: the key was decided as Run here and not ended yet.
    void finish(const ClaimKey &key, ClaimResult result, Micros now);

    /// The request was handed to the upstream and its outcome is unknown. The claim stays. Precondition: as for finish().
    void markOutcomeUnknown(const ClaimKey &key, Micros now);

    /// The upstream certainly never started the request; the claim is withdrawn, so that a repeat can run.
    /// Precondition: as for finish().
    void release(const ClaimKey &key, Micros now);

    /// Commits, retries and times out. \p wall is microseconds since the Unix epoch.
    void tick(Micros now, Micros wall);

    /// Whether everything is durable and nothing runs; a graceful shutdown waits for it.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] const ClaimsStats &stats() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

// 3. Shard values ---------------------------------------------------------------------------------

/// One claim. A row without a status has no result yet.
struct ClaimRow {
    std::string holder;         ///< Incarnation of the process that claimed, hexadecimal.
    std::uint64_t number = 0;   ///< Counts that process's claims.
    std::string request;        ///< Digest of the request.
    std::int64_t keyMillis = 0; ///< Time in a UUID version 7 key, since the Unix epoch; 0 for other keys.
    std::int64_t claimMillis = 0;
    int status = 0;
    bool bodyKept = true;
    std::string contentType;
    std::string body;
};

struct ClaimShard {
    std::map<std::string, ClaimRow> rows; ///< By key digest.
    std::map<std::string, bool> spent;    ///< Digests of keys without a time after the window; whether they ran for certain.
    std::int64_t droppedUpTo = 0;         ///< Rows of keys with a time up to this one, in milliseconds, may have been dropped.
};

/// BLAKE2b-128 digest of a key with its account and service, hexadecimal. Thread-safe.
[[nodiscard]] std::string claimDigest(const ClaimKey &key);
/// The shard that a key digest belongs to. Thread-safe.
[[nodiscard]] std::size_t shardOf(const std::string &digest);
/// Name of a shard's object. Thread-safe.
[[nodiscard]] std::string shardName(const std::string &environment, std::size_t shard);
/// Milliseconds in a key in the form of a UUID version 7, or nothing. Thread-safe.
[[nodiscard]] std::optional<std::int64_t> uuidMillis(std::string_view key);

/// Nothing when \p spec is not a shard. Thread-safe.
[[nodiscard]] std::optional<ClaimShard> decodeShard(const Json::Value &spec);
[[nodiscard]] Json::Value encodeShard(const ClaimShard &shard);
/// An upper bound of the bytes that encodeShard() takes as text. Thread-safe.
[[nodiscard]] std::size_t shardBytes(const ClaimShard &shard);

} // namespace Carobhall
