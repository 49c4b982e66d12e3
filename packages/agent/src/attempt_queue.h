#pragma once

// Admission control for the attempts of one upstream. Wraps Admission: identifies work by AttemptId instead of by ticket, and
// takes the floors of the ranks and the shares of the accounts from the environment document.

#include "carobhall/admission.h"
#include "carobhall/runtime.h"

namespace Carobhall
{

/// Scheduling parameters of one attempt.
struct QueueItem {
    AttemptId id;
    std::string_view account{};
    Rank rank = Rank::Free;
    double cost = 1.0;      ///< In tokens: uncached prefill plus expected generation.
    Micros startBy = 0;     ///< Latest start, on the clock of `now`.
    bool exclusive = false; ///< Runs with no other work on the upstream.
};

struct QueueRefusal {
    Errc error = Errc::Overloaded;
    Micros retryAfter = 0;
};

/// Not thread-safe. All `now` parameters are the current monotonicNow(). Calls for unknown attempts have no effect.
class AttemptQueue
{
public:
    /// \p seed initialises the random spread of the Retry-After values.
    AttemptQueue(const EnvironmentDocument &document, const UpstreamRole &role, std::uint64_t seed);

    /// Applies a new document.
    void configure(const EnvironmentDocument &document, const UpstreamRole &role);

    /// Enqueues \p item, or returns the reason for the refusal.
    std::optional<QueueRefusal> push(const QueueItem &item, Micros now);
    /// Dequeues the next attempt and gives it a slot; nothing when no attempt can start. After each event that may free a slot
    /// or add work, call it until it returns nothing.
    std::optional<AttemptId> startNext(Micros now);
    /// Removes and returns a queued attempt whose startBy has passed, if there is one.
    std::optional<AttemptId> takeExpired(Micros now);
    /// Removes a queued attempt. False when it is not queued.
    bool cancel(const AttemptId &id);
    /// Replaces the estimated cost of a queued or running attempt.
    void correctCost(const AttemptId &id, double cost);
    /// Ends a running attempt and frees its slot. \p actualCost is in tokens.
    void finish(const AttemptId &id, double actualCost, Micros now);

    /// Expected queueing time of one more attempt of \p account.
    [[nodiscard]] Micros expectedWait(Rank rank, std::string_view account, Micros now);
    [[nodiscard]] std::uint32_t queued() const;
    [[nodiscard]] std::uint32_t running() const;
    /// Describes a violated invariant of the queue; empty when there is none.
    [[nodiscard]] std::string violation() const;

private:
    std::optional<AttemptId> removeTicket(Ticket ticket);

    std::uint64_t seed_;
    std::unique_ptr<Admission<FairOrder>> admission_;
    std::unordered_map<std::string, double> shares_; ///< By account name.
    std::unordered_map<AttemptId, Ticket> tickets_;
    std::unordered_map<Ticket, AttemptId> ids_;
};

} // namespace Carobhall
