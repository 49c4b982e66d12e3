#pragma once

// Overload control of an entry process: estimates the load of each upstream and refuses requests that would most likely be refused
// by the agents anyway.
//
//     UpstreamLoads loads({}, seed);
//     loads.recordReport(agent, {.queueWait = reply.expectedWait, .microsPerToken = ...}, measuredAt); // delayed: probe replies, gossip
//     loads.recordSent(agent, cost, now);                              // own work, counted until a later report includes it
//     std::size_t i = loads.choose(candidates, now);                   // the better of two random candidates
//
//     Throttle throttle({}, seed);                                     // one for each rank and route
//     if (Micros retryAfter = throttle.refuse(now)) { ... 503, not run, Retry-After ... }
//     throttle.recordOffer(accepted, now);                             // whether the agents accepted the request
//
// Admission is decided by the agents, which alone know their queues. The entry process only avoids offers that would be refused. It
// does not compare reported waits with a threshold: all entry processes would cross it at the same time, stop together, and start
// together when the delayed reports show idle upstreams. Instead, each process refuses at random, with a probability derived from
// its own count of accepted offers. It always lets through somewhat more than is accepted, so that it notices the end of an
// overload. A process that has just started has no counts and refuses nothing.
//
// Not thread-safe. No I/O and no clock.
//
// Index
//   1. UpstreamLoads    wait estimates from delayed reports and own counts
//   2. Throttle         early refusals

#include "carobhall/base.h"

#include <random>
#include <span>
#include <unordered_map>

namespace Carobhall
{

// 1. UpstreamLoads --------------------------------------------------------------------------------

/// Queue state reported by an agent.
struct LoadReport {
    Micros queueWait = 0;        ///< Expected wait of new work.
    double microsPerToken = 0.0; ///< Of the whole upstream under full load.
};

struct UpstreamLoadOptions {
    Micros reportLag = 100 * MicrosPerMilli;     ///< Work sent this long before a report was measured may be missing in it.
    Micros reportLifetime = 5 * MicrosPerSecond; ///< Older reports are ignored; only own work counts then.
    double defaultMicrosPerToken = 1'000.0;      ///< Used until an agent has reported.
};

/// Estimates the queue wait at each upstream, by agent.
class UpstreamLoads
{
public:
    UpstreamLoads(const UpstreamLoadOptions &options, std::uint64_t seed);

    /// Stores a report that was measured at \p measuredAt on this process's clock. Reports older than the last one are ignored.
    void recordReport(Incarnation agent, const LoadReport &report, Micros measuredAt);

    /// Counts own work of \p cost tokens until a report that was measured later includes it.
    void recordSent(Incarnation agent, double cost, Micros now);

    /// The reported wait minus the time since it was measured, plus the time for own work sent since.
    [[nodiscard]] Micros expectedWait(Incarnation agent, Micros now) const;

    /// The index of the better of two random candidates (power of two choices). Many processes hold the same outdated reports;
    /// picking the best of all candidates would make them all choose the same upstream. Precondition: \p agents is not empty.
    std::size_t choose(std::span<const Incarnation> agents, Micros now);

    /// Removes an agent that has left.
    void forget(Incarnation agent);

private:
    struct SentWork {
        Micros sentAt = 0;
        double cost = 0.0;
    };

    struct AgentState {
        LoadReport report;
        Micros measuredAt = 0;
        std::vector<SentWork> sent; ///< Own work that the report may not include, oldest first.
    };

    UpstreamLoadOptions options_;
    std::mt19937_64 random_;
    std::unordered_map<Incarnation, AgentState> agents_;
};

// 2. Throttle -------------------------------------------------------------------------------------

struct ThrottleOptions {
    double headroom = 1.2;                       ///< Offers let through for each accepted one; above 1 so that free capacity is noticed.
    Micros timeConstant = MicrosPerSecond;       ///< Of the decay of the counts; recovery from a tenfold overload takes four of them.
    double minOffers = 5.0;                      ///< Nothing is refused below this decayed count: too few offers to judge the upstreams.
    Micros minRetryAfter = MicrosPerSecond;      ///< Retry-After is drawn at random between minRetryAfter and maxRetryAfter,
    Micros maxRetryAfter = 10 * MicrosPerSecond; ///< so that refused callers do not return at the same time.
};

/// Refuses requests that the agents would most likely refuse, based on own counts of offers and acceptances.
class Throttle
{
public:
    Throttle(const ThrottleOptions &options, std::uint64_t seed);

    /// Decides on a new request: 0 lets it through; any other value is the Retry-After with which to refuse it as not run.
    Micros refuse(Micros now);

    /// Counts a request that was let through: \p accepted by an agent, or refused by all agents to which it was offered.
    void recordOffer(bool accepted, Micros now);

    /// The probability with which refuse() refuses a request.
    [[nodiscard]] double refusalProbability() const;

private:
    void decay(Micros now);

    ThrottleOptions options_;
    std::mt19937_64 random_;
    double requests_ = 0.0; ///< Decayed count of all requests, including those refused here.
    double offers_ = 0.0;   ///< Decayed count of offers whose result is known.
    double accepted_ = 0.0; ///< Decayed count of accepted offers.
    Micros decayedAt_ = 0;
};

} // namespace Carobhall
