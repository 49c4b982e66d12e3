#pragma once

// Idempotency keys: a non-idempotent call runs at most once for each Idempotency-Key. A later call with the same key gets the
// stored result of the first one.
//
//     Claims claims(client, {.environment = "guild", .holder = incarnation});
//     claims.claim(key, digest, now, [&](ClaimAnswer answer, Micros now) {
//         // Run: call the upstream, then exactly one of finish(), markOutcomeUnknown() or release().
//         // Replay: answer.result is the stored result of the first call.
//         // Refused: see answer.verdict and answer.error.
//     });
//     claims.tick(now, wallClockNow());   // every 10 ms
//
// A claim is a record in one of 64 shards. Each shard is one object of the platform. A claim is answered with Run only after its
// record has been seen in the platform, either in the reply to the conditional write that added it or in a later read. Records
// are added by conditional writes only, so when several processes claim the same key, exactly one of them finds its own record
// and the others find that record too. All pending claims and results of a shard are batched into one conditional write.
//
// A record without a result that belongs to another process is never run again, because its holder may have run the call or may
// still run it.
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

inline constexpr std::size_t ClaimShards = 64; ///< Per environment. Changing it makes existing claims unreachable.
inline constexpr const char *ClaimKind = "claims";

/// Identifies a claim. Keys of different accounts or services are independent of each other.
struct ClaimKey {
    std::string account;
    std::string service;
    std::string key; ///< Value of the caller's Idempotency-Key header.
};

struct ClaimResult {
    int status = 0; ///< HTTP status; a stored result never has status 0.
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

/// Answer to a claim. The verdicts and errors of Refused are:
///
///     NotRun      PlatformUnavailable  the claim was not durable before the timeout; this attempt never runs
///     NotRun      Conflict             the key was used before for a request with another digest
///     NotRun      Overloaded           the shard has no space for a new key
///     MayHaveRun  AlreadyExists        another process holds the claim and has not stored a result yet
///     MayHaveRun  UpstreamFailed       this process ran the request, but its outcome is unknown
///     MayHaveRun  KeyExpired           the key is older than the retention period, or its stored result has expired
///     Ran         KeyExpired           as above, and the request is known to have run
///     Ran         TooLarge             the request ran, but its result was too large to store
struct ClaimAnswer {
    ClaimDecision decision = ClaimDecision::Refused;
    Verdict verdict = Verdict::NotRun;
    std::error_code error;
    ClaimResult result;    ///< Set for Replay.
    Micros retryAfter = 0; ///< Suggested delay before a retry; 0: none.
};

using ClaimHandler = std::function<void(ClaimAnswer, Micros now)>;

// 2. Claims ---------------------------------------------------------------------------------------

struct ClaimsOptions {
    std::string environment;
    Incarnation holder = 0;                                   ///< Incarnation of this process.
    Micros claimTimeout = 2 * MicrosPerSecond;                ///< A claim that is not durable within this time is refused with NotRun.
    Micros retention = Micros{ 24 } * 3600 * MicrosPerSecond; ///< How long results are kept.
    Micros clockSkew = Micros{ 600 } * MicrosPerSecond; ///< Records are kept this much longer than `retention`, to tolerate processes whose clock is behind.
    std::size_t shardLimitBytes = PlatformValueLimit;   ///< Maximum encoded size of a shard.
    std::size_t tombstoneLimitBytes = PlatformValueLimit / 2; ///< Maximum bytes of a shard for tombstones and records of keys without a timestamp.
    std::size_t resultReserveBytes = 2'048;                   ///< Bytes reserved in a shard for each claim that has no result yet.
    std::size_t maxResultBytes = 16'384;                      ///< For a larger result, only the fact that the request ran is stored.
    Micros retryBase = 5 * MicrosPerMilli;                    ///< Initial bound of the backoff between reads and writes of a shard.
    Micros retryCap = 500 * MicrosPerMilli;
    Micros shardIdleTimeout = 60 * MicrosPerSecond; ///< A shard without claims for this long is evicted from memory.
    std::uint64_t seed = 1;
};

struct ClaimsStats {
    std::uint64_t commits = 0; ///< Conditional writes that succeeded.
    std::uint64_t claimed = 0; ///< Claims answered with Run.
    std::uint64_t replayed = 0;
    std::uint64_t refused = 0;
    std::uint64_t conflicts = 0; ///< Conditional writes rejected because the version had changed.
    std::uint64_t inDoubt = 0;   ///< Conditional writes whose reply was lost.
    std::uint64_t withdrawn = 0; ///< Records of refused claims that were written late and removed again.
};

/// Makes and manages the claims of one process. Not thread-safe. The client must outlive it.
class Claims
{
public:
    Claims(PlatformClient &client, ClaimsOptions options);
    ~Claims();
    Claims(const Claims &) = delete;
    Claims &operator=(const Claims &) = delete;

    /// Requests permission to run the call under \p key. \p requestDigest covers everything that determines the effect of the
    /// request: method, path and body. The handler is invoked exactly once, possibly before claim() returns. If a call with the
    /// same key is already running in this process, the handler is invoked when that call ends.
    /// Precondition: tick() has been called before, so that the wall clock is known.
    void claim(const ClaimKey &key, std::string_view requestDigest, Micros now, ClaimHandler done);

    /// Records \p result as the result of the request. The caller may receive it immediately; it is stored as soon as the
    /// platform accepts the write. Precondition: the claim was answered with Run in this process and has not ended yet.
    void finish(const ClaimKey &key, ClaimResult result, Micros now);

    /// Ends the claim of a request that was sent to the upstream and whose outcome is unknown. The claim is kept, so that the
    /// request is not run again. Precondition: as for finish().
    void markOutcomeUnknown(const ClaimKey &key, Micros now);

    /// Withdraws the claim of a request that the upstream certainly never started, so that a retry can run it.
    /// Precondition: as for finish().
    void release(const ClaimKey &key, Micros now);

    /// Sends pending reads and writes, retries, and expires claims. \p wallTime is in microseconds since the Unix epoch.
    void tick(Micros now, Micros wallTime);

    /// Whether no claim is pending or running and all results are durable. A graceful shutdown waits for this.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] const ClaimsStats &stats() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

// 3. Shard values ---------------------------------------------------------------------------------

/// One claim. Status 0 means that there is no result yet.
struct ClaimRecord {
    std::string holder;             ///< Incarnation of the claiming process, hexadecimal.
    std::uint64_t sequence = 0;     ///< Sequence number of the claim within the holder.
    std::string requestDigest;      ///< Digest of method, path and body.
    std::int64_t keyTimeMillis = 0; ///< Timestamp of a UUID version 7 key, since the Unix epoch; 0 for other keys.
    std::int64_t claimedAtMillis = 0;
    int status = 0;
    bool bodyKept = true;
    std::string contentType;
    std::string body;
};

struct ClaimShard {
    std::map<std::string, ClaimRecord> records; ///< By key digest.
    std::map<std::string, bool> tombstones;     ///< Digests of expired keys without a timestamp. True: the request is known to have run.
    std::int64_t droppedUpToMillis = 0;         ///< Records of keys with timestamps up to this one may have been dropped.
};

/// Hexadecimal BLAKE2b-128 digest of account, service and key. Thread-safe.
[[nodiscard]] std::string claimDigest(const ClaimKey &key);
/// Index of the shard that holds a key digest. Thread-safe.
[[nodiscard]] std::size_t shardOf(const std::string &digest);
/// Name of the platform object that holds a shard. Thread-safe.
[[nodiscard]] std::string shardName(const std::string &environment, std::size_t shard);
/// Timestamp of a UUID version 7 key in milliseconds since the Unix epoch; nothing for other keys. Thread-safe.
[[nodiscard]] std::optional<std::int64_t> uuidTimeMillis(std::string_view key);

/// Returns nothing when \p spec is malformed. Thread-safe.
[[nodiscard]] std::optional<ClaimShard> decodeShard(const Json::Value &spec);
[[nodiscard]] Json::Value encodeShard(const ClaimShard &shard);
/// Upper bound of the size of encodeShard() as JSON text. Thread-safe.
[[nodiscard]] std::size_t shardBytes(const ClaimShard &shard);

} // namespace Carobhall
