#pragma once

// Which upstream processes take requests, by what they have said in their answers and in the platform's list.
//
//     UpstreamAvailability availability(seed);
//     availability.noteLeaving(process, now);                 // an answer announced the shutdown of the process
//     availability.notePause(process, 2 * MicrosPerSecond, now); // an answer asked for no requests for two seconds
//     if (availability.isAvailable(process, now)) { ... }
//
// Knowledge is kept by process, not by entry of the platform's list: an entry may still show the process as ready, disappear and return,
// or be restored from an older copy. A new process with the same id or address is not affected.
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/base.h"

#include <random>
#include <unordered_map>

namespace Carobhall
{

/// Not thread-safe.
class UpstreamAvailability
{
public:
    /// The longest pause that is accepted. A longer one is a mistake: the process would be lost until somebody restarts it.
    static constexpr Micros MaxPause = 600 * MicrosPerSecond;
    /// The return of this process to an upstream is drawn from this share of the pause after its end, and at most from MaxReturnSpread, so
    /// that the gateways do not all return at once.
    static constexpr double ReturnSpreadShare = 0.25;
    static constexpr Micros MaxReturnSpread = MicrosPerSecond;

    explicit UpstreamAvailability(std::uint64_t seed = 1);

    /// \p process shuts down and takes no new requests, for ever. Returns false if that was known.
    bool noteLeaving(Incarnation process, Micros now);
    /// The list lacks the entry of \p process. The process may still be running, so that this alone does not make it unavailable.
    void noteUnlisted(Incarnation process, Micros now);
    /// The list contains \p process, with \p sequence, which rises with each report of the process. \p mayBeCopied: the entry may come from
    /// the copy that the platform was restored from. If that is all that speaks for a process that the list lacked before, it is unavailable
    /// until the sequence rises.
    void noteListed(Incarnation process, std::uint64_t sequence, bool mayBeCopied);
    /// \p process takes no requests for \p duration; at most MaxPause counts, and nothing if it is not positive. The end never moves
    /// forward. Returns true if \p process was not paused before.
    bool notePause(Incarnation process, Micros duration, Micros now);
    [[nodiscard]] bool isLeaving(Incarnation process) const;
    /// Whether \p process was removed from the list and nothing but a copy of its entry speaks for it.
    [[nodiscard]] bool isUnconfirmed(Incarnation process) const;
    /// Whether requests may be sent to \p process.
    [[nodiscard]] bool isAvailable(Incarnation process, Micros now) const;
    /// Time until requests may be sent to \p process again; 0: now; empty: never.
    [[nodiscard]] std::optional<Micros> timeToAvailable(Incarnation process, Micros now) const;
    /// Number of processes of which something is known.
    [[nodiscard]] std::size_t size() const;

private:
    /// How long a process that leaves, or that the list lacks, is remembered. It has exited long before; this only bounds the memory used.
    static constexpr Micros LeavingRetention = Micros{ 24 } * 3600 * MicrosPerSecond;
    static constexpr Micros ExpiryInterval = 60 * MicrosPerSecond;

    struct State {
        std::optional<Micros> leavingSince{};
        std::optional<Micros> unlistedSince{};
        std::optional<std::uint64_t> copiedSequence{}; ///< Of the entry that came back with a copy; set while the process is unconfirmed.
        Micros pausedUntil = 0;                        ///< Includes this gateway's part of the spread.
        double returnPoint = 0.0;                      ///< Where in the spread this gateway returns, 0 to 1; drawn once a pause.
    };

    void expire(Micros now);

    std::mt19937_64 random_;
    std::unordered_map<Incarnation, State> states_;
    Micros nextExpiryAt_ = 0;
};

} // namespace Carobhall
