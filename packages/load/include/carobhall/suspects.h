#pragma once

// Requests that were in flight when an engine crashed, so that a request which crashes every engine stops at the second.
//
// An agent, and an entry process, each keep a Suspects table and exchange its facts through membership:
//
//     suspects.recordCrash(engineIncarnation, fingerprintsInFlight, now);    // agent: the engine is gone, and nobody ordered it
//     for (SuspectFact fact : suspects.takeChanged(now)) { ... disseminate ... }
//     suspects.merge(remoteFact, now);
//     suspects.suspicion(fingerprint, now);                               // agent: into each probe reply
//     combine(replyA.suspicion, replyB.suspicion);                        // entry: the worst of all probe replies counts
//
// None runs anywhere. Suspected runs alone (Submit::alone) and only on its alone home, which exclusiveRunTarget() picks. Condemned is
// refused as not run, with Errc::Condemned. The agent asks beginExclusiveRun() right before it starts an alone run, and refuses as
// not run when the answer is false.
//
// A request is condemned after the second engine: it crashed while it ran alone, or it was in flight at two crashes. It is
// exonerated when an alone run completes. So a request that crashes each engine that runs it takes down two, provided that
// the first crash is known before its next run starts. Two things ensure this: the agent that saw the crash answers probes for the
// same content, because that content has the same candidates, and all alone runs of a request have one home. What remains
// is stated in docs/load.md: copies that are in flight at more than two engines before the first crash.
//
// Facts merge like sets (the order and the number of deliveries do not matter), and each expires.
//
// Index
//   1. Facts
//   2. Suspects
//   3. Alone home

#include "carobhall/messages.h"

#include <span>
#include <unordered_map>

namespace Carobhall
{

// 1. Facts ----------------------------------------------------------------------------------------

/// What the fact means for the next run. Thread-safe.
[[nodiscard]] Suspicion suspicionOf(const SuspectFact &fact);

/// The worse of two answers. Thread-safe.
[[nodiscard]] constexpr Suspicion combine(Suspicion a, Suspicion b)
{
    return a > b ? a : b;
}

/// The union of two facts about one fingerprint; commutative, associative and idempotent. The age is the smaller one.
[[nodiscard]] SuspectFact mergeFacts(const SuspectFact &a, const SuspectFact &b);

// 2. Suspects -------------------------------------------------------------------------------------

struct SuspectOptions {
    Micros suspectedLifetime = 600 * MicrosPerSecond;  ///< Of suspected and exonerated requests.
    Micros condemnedLifetime = 3600 * MicrosPerSecond; ///< Longer, because each expiry may cost two engines again.
    std::size_t maxFacts = 4096;                       ///< Above this the fact that expires next is dropped; some 60 crashes with 64 requests each.
};

/// A process's table of suspects. Not thread-safe.
class Suspects
{
public:
    explicit Suspects(const SuspectOptions &options = {});

    /// The engine of this incarnation crashed while \p inFlight ran on it. Repeated calls for one engine change nothing.
    /// Not for planned restarts, and not for a lost connection to an engine that is still there.
    void recordCrash(Incarnation engine, std::span<const std::uint64_t> inFlight, Micros now);

    /// Takes the permit for the one alone run. False: refuse the attempt as not run.
    bool beginExclusiveRun(std::uint64_t fingerprint, Micros now);

    /// The request has completed somewhere. Unknown fingerprints are ignored, and so are condemned ones.
    void exonerate(std::uint64_t fingerprint, Micros now);

    /// The alone run ended and the engine is still there. Only a completed run exonerates. Unknown fingerprints are ignored.
    void endExclusiveRun(std::uint64_t fingerprint, bool completed, Micros now);

    [[nodiscard]] Suspicion suspicion(std::uint64_t fingerprint, Micros now) const;

    /// Adds a fact from another process. True when it said something new; it is then disseminated further.
    bool merge(const SuspectFact &fact, Micros now);

    /// Facts that changed since the last call.
    [[nodiscard]] std::vector<SuspectFact> takeChanged(Micros now);

    /// All facts that have not expired, for a process that has just connected.
    [[nodiscard]] std::vector<SuspectFact> facts(Micros now) const;

    /// Removes expired facts. Call every few seconds.
    void expire(Micros now);

    [[nodiscard]] std::size_t size() const;

private:
    struct Row {
        SuspectFact fact;
        Micros changedAt = 0;
        bool aloneHere = false; ///< The alone run is in progress on this process's engine.
        bool changed = false;   ///< Not yet taken by takeChanged().
    };

    [[nodiscard]] Micros expiryOf(const Row &row) const;
    Row *findRow(std::uint64_t fingerprint, Micros now);
    void dropOneIfFull();
    static void touch(Row &row, Micros now);

    SuspectOptions options_;
    std::unordered_map<std::uint64_t, Row> rows_;
};

// 3. Alone home -----------------------------------------------------------------------------------

/// The candidate on which a suspected request runs alone: the first by rendezvous hashing over names, so that all entry
/// processes choose the same one and a failure moves only its own requests. NoCandidate when there are none. Thread-safe.
[[nodiscard]] std::size_t exclusiveRunTarget(std::uint64_t fingerprint, std::span<const std::string> candidates);

inline constexpr std::size_t NoCandidate = SIZE_MAX;

} // namespace Carobhall
