#pragma once

// The waiting and running attempts of one upstream: Admission by attempt identity, with floors and shares of the document.

#include "carobhall/admission.h"
#include "carobhall/runtime.h"

namespace Carobhall
{

/// What the queue knows of an attempt.
struct QueueItem {
    AttemptId id;
    std::string_view account{};
    Rank rank = Rank::Free;
    double cost = 1.0;  ///< Tokens: uncached prefill and generated.
    Micros startBy = 0; ///< The attempt is useless after this time.
    bool alone = false; ///< Runs with nothing else on the upstream.
};

struct QueueRefusal {
    Errc error = Errc::Overloaded;
    Micros retryAfter = 0;
};

/// Not thread-safe. `now` is always monotonicNow() of the caller. Unknown attempts are ignored.
class AttemptQueue
{
public:
    /// \p seed spreads the Retry-After values.
    AttemptQueue(const EnvironmentDocument &document, const UpstreamRole &role, std::uint64_t seed);

    /// Applies a new document.
    void configure(const EnvironmentDocument &document, const UpstreamRole &role);

    /// Takes the item, or says why not.
    std::optional<QueueRefusal> push(const QueueItem &item, Micros now);
    /// The attempt that runs next when a slot is free. Call it until there is none, after each event.
    std::optional<AttemptId> startNext(Micros now);
    /// Takes out an attempt whose time to start has passed.
    std::optional<AttemptId> takeExpired(Micros now);
    /// Takes out a waiting attempt. False when it does not wait.
    bool cancel(const AttemptId &id);
    /// The cost of a waiting or running attempt has become known.
    void correctCost(const AttemptId &id, double cost);
    /// A running attempt has ended; its slot is free.
    void finish(const AttemptId &id, double trueCost, Micros now);

    /// Wait of a further attempt of \p account.
    [[nodiscard]] Micros expectedWait(Rank rank, std::string_view account, Micros now);
    [[nodiscard]] std::uint32_t queued() const;
    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::string violation() const;

private:
    std::optional<AttemptId> forget(Ticket ticket);

    std::uint64_t seed_;
    std::unique_ptr<Admission<FairOrder>> admission_;
    std::unordered_map<std::string, double> shares_; ///< By account.
    std::unordered_map<AttemptId, Ticket> tickets_;
    std::unordered_map<Ticket, AttemptId> ids_;
};

} // namespace Carobhall
