#pragma once

// Tracks requests that were in flight when an engine crashed, so that a request that crashes every engine is refused after the second
// crash.
//
// Agents and entry processes each keep a Suspects table and exchange its facts through membership:
//
//     suspects.recordCrash(engineIncarnation, fingerprintsInFlight, now); // agent: the engine has ended without an order to stop
//     for (SuspectFact fact : suspects.takeChanged(now)) { ... disseminate ... }
//     suspects.merge(remoteFact, now);
//     suspects.suspicion(fingerprint, now);                               // agent: included in each probe reply
//     combine(replyA.suspicion, replyB.suspicion);                        // entry process: the worst of all probe replies counts
//
// A request with suspicion None may run on any engine. A Suspected request runs exclusively, with nothing else on the engine
// (Submit::exclusive), and only on the upstream that exclusiveRunTarget() selects. A Condemned request is refused as not run, with
// Errc::Condemned. The agent calls beginExclusiveRun() immediately before it starts an exclusive run, and refuses the request as not
// run when the result is false.
//
// A request is condemned after the second engine crash: when an engine crashed while the request ran exclusively on it, or when it was
// in flight at two crashes. It is exonerated when an exclusive run completes. A request that crashes each engine that runs it
// therefore takes down two, provided that the first crash is known before its next run starts. Two things ensure this: the agent that
// saw the crash answers probes for the same content, because that content has the same candidates, and all exclusive runs of a
// request have one target. The case that remains is described in docs/load.md: copies of a request that are in flight on more than
// two engines before the first crash.
//
// Facts merge like sets, so neither the order nor the number of deliveries matters. Each fact expires.
//
// Index
//   1. Facts
//   2. Suspects
//   3. Exclusive run target

#include "carobhall/messages.h"

#include <span>
#include <unordered_map>

namespace Carobhall
{

// 1. Facts ----------------------------------------------------------------------------------------

/// The suspicion that follows from a fact. Thread-safe.
[[nodiscard]] Suspicion suspicionOf(const SuspectFact &fact);

/// The worse of two suspicions. Thread-safe.
[[nodiscard]] constexpr Suspicion combine(Suspicion a, Suspicion b)
{
    return a > b ? a : b;
}

/// The union of two facts about one fingerprint. Commutative, associative and idempotent. The result has the smaller age.
[[nodiscard]] SuspectFact mergeFacts(const SuspectFact &a, const SuspectFact &b);

// 2. Suspects -------------------------------------------------------------------------------------

struct SuspectOptions {
    Micros suspectedLifetime = 600 * MicrosPerSecond;  ///< Of facts about suspected and exonerated requests.
    Micros condemnedLifetime = 3600 * MicrosPerSecond; ///< Longer, because after the expiry the request may crash two engines again.
    std::size_t maxFacts = 4096;                       ///< About 60 crashes with 64 requests each. When full, the fact that expires first is dropped.
};

/// Table of suspected requests in one process. Not thread-safe.
class Suspects
{
public:
    explicit Suspects(const SuspectOptions &options = {});

    /// Records that an engine crashed while the requests \p inFlight ran on it. Repeated calls for the same engine have no effect.
    /// Do not call it for planned restarts, or for a lost connection to an engine that still runs.
    void recordCrash(Incarnation engine, std::span<const std::uint64_t> inFlight, Micros now);

    /// Claims the single exclusive run of a request. False: refuse the attempt as not run.
    bool beginExclusiveRun(std::uint64_t fingerprint, Micros now);

    /// Exonerates a request that has completed on some engine. Unknown and condemned fingerprints are ignored.
    void exonerate(std::uint64_t fingerprint, Micros now);

    /// Ends an exclusive run that did not crash the engine. Only a completed run exonerates. Unknown fingerprints are ignored.
    void endExclusiveRun(std::uint64_t fingerprint, bool completed, Micros now);

    [[nodiscard]] Suspicion suspicion(std::uint64_t fingerprint, Micros now) const;

    /// Merges a fact from another process. True when it added information; the merged fact is then disseminated by takeChanged().
    bool merge(const SuspectFact &fact, Micros now);

    /// The facts that have changed since the last call.
    [[nodiscard]] std::vector<SuspectFact> takeChanged(Micros now);

    /// All facts that have not expired, for a process that has just connected.
    [[nodiscard]] std::vector<SuspectFact> facts(Micros now) const;

    /// Removes expired facts. Call every few seconds.
    void expire(Micros now);

    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        SuspectFact fact;
        Micros changedAt = 0;
        bool runsExclusively = false; ///< An exclusive run is in progress on this process's engine.
        bool changed = false;         ///< Not yet returned by takeChanged().
    };

    [[nodiscard]] Micros expiryOf(const Entry &entry) const;
    Entry *findEntry(std::uint64_t fingerprint, Micros now);
    void evictIfFull();
    static void markChanged(Entry &entry, Micros now);

    SuspectOptions options_;
    std::unordered_map<std::uint64_t, Entry> entries_;
};

// 3. Exclusive run target -------------------------------------------------------------------------

/// The index of the candidate on which a suspected request runs exclusively; NoCandidate when there are none. Selected by rendezvous
/// hashing over the names, so that all entry processes choose the same candidate and the loss of a candidate moves only the requests
/// that were assigned to it. Thread-safe.
[[nodiscard]] std::size_t exclusiveRunTarget(std::uint64_t fingerprint, std::span<const std::string> candidates);

inline constexpr std::size_t NoCandidate = SIZE_MAX;

} // namespace Carobhall
