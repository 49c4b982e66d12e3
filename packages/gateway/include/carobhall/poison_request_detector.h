#pragma once

// Detects poison requests: requests that crash every upstream that runs them. They are refused at all gateways.
//
//     PoisonRequestDetector detector;
//     if (detector.isBlocked(fingerprint, now)) { ... refuse the request as not run ... }
//     detector.noteConnectionLost(process, fingerprint, now); // while the upstream may have been running the request
//     detector.noteProcessCrashed(process, now);              // the platform's list no longer shows the process
//     detector.noteCompleted(fingerprint, now);
//     send(detector.takeNewFacts(now)); detector.merge(facts, now);
//
// A lost connection alone proves nothing, because faulty servers reset connections too. It counts only once the platform's list
// shows that the process has ended. A request is blocked after it was in flight at two crashes and did not complete in between.
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/suspects.h"

#include <string_view>

namespace Carobhall
{

/// Hash of the path, the caller's API key and the body. All attempts of a request have the same fingerprint, because it does not
/// include the id of the attempt. Thread-safe.
[[nodiscard]] std::uint64_t requestFingerprint(std::string_view target, std::string_view apiKey, std::string_view body);

/// Identifies one process of the upstream \p id. Thread-safe.
[[nodiscard]] Incarnation upstreamIncarnation(std::string_view id, std::int64_t startedAtMs);

/// Not thread-safe.
class PoisonRequestDetector
{
public:
    PoisonRequestDetector();

    /// Whether the request must not be sent to any upstream.
    [[nodiscard]] bool isBlocked(std::uint64_t fingerprint, Micros now) const;
    /// True when no request is suspected; the caller need not compute a fingerprint then.
    [[nodiscard]] bool isEmpty() const;

    void noteConnectionLost(Incarnation process, std::uint64_t fingerprint, Micros now);
    void noteProcessCrashed(Incarnation process, Micros now);
    void noteCompleted(std::uint64_t fingerprint, Micros now);

    /// Facts that this process has learned itself since the last call, to send to the other gateways.
    [[nodiscard]] std::vector<SuspectFact> takeNewFacts(Micros now);
    /// Adds facts from other gateways.
    void merge(std::span<const SuspectFact> facts, Micros now);
    /// Removes expired entries. Call every few seconds.
    void expire(Micros now);

private:
    /// How long after a lost connection the end of its process counts as a crash caused by the request. The list shows the end
    /// after three missed reports of 1.2 s, and later while the platform is slow.
    static constexpr Micros CrashConfirmationTimeout = 10 * MicrosPerSecond;
    /// How long a poison request is blocked. Each expiry costs two servers again, but a harmless request that was in flight at two
    /// crashes is refused for this time, too.
    static constexpr Micros BlockDuration = 120 * MicrosPerSecond;
    static constexpr std::size_t MaxLostRequestsPerProcess = 128; ///< Somewhat more than the slots of a server.

    /// A request that was in flight on a connection that broke.
    struct LostRequest {
        std::uint64_t fingerprint = 0;
        Micros lostAt = 0;
    };

    Suspects suspects_;
    std::vector<SuspectFact> newFacts_;                                      ///< Own facts that takeNewFacts() has not returned yet.
    std::unordered_map<Incarnation, std::vector<LostRequest>> lostRequests_; ///< By the process that may have been running them.
};

} // namespace Carobhall
