#pragma once

// Overload control of an entry process: how loaded each upstream is now, and which requests are not worth sending.
//
//     UpstreamLoads loads({}, seed);
//     loads.report(agent, {.wait = reply.expectedWait, .microsPerToken = ...}, measuredAt);   // probe replies, gossip: they lag
//     loads.sent(agent, cost, now);                                    // own work, counted until a later report contains it
//     std::size_t i = loads.choose(candidates, now);                   // the better of two at random
//
//     Throttle throttle({}, seed);                                     // one for each rank and route
//     if (Micros retryAfter = throttle.refuse(now)) { ... 503, not run, Retry-After ... }
//     throttle.note(accepted, now);                                    // what became of an offer to the agents
//
// The agents decide what is admitted; they alone know their queues. The entry process only avoids offers that would be
// refused. It does not refuse by a threshold on reported waits: all entry processes would cross it at the same time, stop
// together, and start together when the lagging reports show idle upstreams. Instead each one refuses at random, with a
// probability that follows from its own count of accepted offers, and always lets through somewhat more than is accepted,
// so that the end of an overload is noticed. A process that has just started has counted nothing and refuses nothing.
//
// Not thread-safe. No I/O and no clock.
//
// Index
//   1. UpstreamLoads    waits from lagging reports and own counts
//   2. Throttle         early refusals

#include "carobhall/base.h"

#include <random>
#include <span>
#include <unordered_map>

namespace Carobhall
{

// 1. UpstreamLoads --------------------------------------------------------------------------------

/// What an agent said of its queue.
struct LoadReport {
    Micros wait = 0;             ///< For new work.
    double microsPerToken = 0.0; ///< Of the whole upstream when it is busy.
};

struct UpstreamLoadOptions {
    Micros lag = 100 * MicrosPerMilli;           ///< Work sent this long before a report was measured may be missing in it.
    Micros reportLifetime = 5 * MicrosPerSecond; ///< An older report says nothing; only own counts remain.
    double defaultMicrosPerToken = 1'000.0;      ///< Until an agent has reported.
};

/// Estimates of the waiting times at upstreams, by agent.
class UpstreamLoads
{
public:
    UpstreamLoads(const UpstreamLoadOptions &options, std::uint64_t seed);

    /// Takes a report that was measured at \p measuredAt on this process's clock. Older ones than the last are ignored.
    void report(Incarnation agent, const LoadReport &report, Micros measuredAt);

    /// Counts own work of \p cost tokens until a report measured later contains it.
    void sent(Incarnation agent, double cost, Micros now);

    /// The reported wait less the time since, plus own work sent since.
    [[nodiscard]] Micros expectedWait(Incarnation agent, Micros now) const;

    /// The place of the better of two random candidates. Two choices spread the work of many processes that know the same
    /// outdated reports; the best of all would send them to one upstream. Precondition: not empty.
    std::size_t choose(std::span<const Incarnation> agents, Micros now);

    /// The agent is gone.
    void forget(Incarnation agent);

private:
    struct Sent {
        Micros at = 0;
        double cost = 0.0;
    };

    struct Row {
        LoadReport report;
        Micros measuredAt = 0;
        std::vector<Sent> sent; ///< Own work that the report may not contain, oldest first.
    };

    UpstreamLoadOptions options_;
    std::mt19937_64 random_;
    std::unordered_map<Incarnation, Row> rows_;
};

// 2. Throttle -------------------------------------------------------------------------------------

struct ThrottleOptions {
    double headroom = 1.2;                           ///< Offers let through for each accepted one; above 1 so that free capacity is found.
    Micros window = MicrosPerSecond;                 ///< Time constant of the counts; recovery from a tenfold overload takes four of them.
    double leastOffers = 5.0;                        ///< Within the window; fewer say nothing about the upstreams.
    Micros shortestRetryAfter = MicrosPerSecond;     ///< The advice is drawn between the two,
    Micros longestRetryAfter = 10 * MicrosPerSecond; ///< so that refused callers do not return together.
};

/// Refuses requests whose offers would most likely be refused, from own counts of offers and acceptances.
class Throttle
{
public:
    Throttle(const ThrottleOptions &options, std::uint64_t seed);

    /// Decides on a new request: 0 lets it through, otherwise refuse it as not run with this Retry-After.
    Micros refuse(Micros now);

    /// An offer that was let through was accepted by an agent, or refused by all that were asked.
    void note(bool accepted, Micros now);

    /// The probability with which refuse() refuses.
    [[nodiscard]] double probability() const;

private:
    void decay(Micros now);

    ThrottleOptions options_;
    std::mt19937_64 random_;
    double requests_ = 0.0; ///< Decayed counts: all requests, those refused here included,
    double offers_ = 0.0;   ///< those whose answer is known,
    double accepted_ = 0.0; ///< and the accepted ones.
    Micros decayedAt_ = 0;
};

} // namespace Carobhall
