#include "carobhall/overload.h"

#include <algorithm>
#include <cmath>

namespace Carobhall
{

// UpstreamLoads -----------------------------------------------------------------------------------

UpstreamLoads::UpstreamLoads(const UpstreamLoadOptions &options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{
}

void UpstreamLoads::recordReport(Incarnation agent, const LoadReport &report, Micros measuredAt)
{
    AgentState &state = agents_[agent];
    if (measuredAt < state.measuredAt) {
        return;
    }
    state.report = report;
    state.measuredAt = measuredAt;
    std::erase_if(state.sent, [this, measuredAt](const SentWork &work) { return work.sentAt < measuredAt - options_.reportLag; });
}

void UpstreamLoads::recordSent(Incarnation agent, double cost, Micros now)
{
    AgentState &state = agents_[agent];
    // Work this old has left the queue. Without this the list would grow without bound while no reports arrive.
    std::erase_if(state.sent, [this, now](const SentWork &work) { return work.sentAt < now - options_.reportLifetime; });
    state.sent.push_back({ .sentAt = now, .cost = cost });
}

Micros UpstreamLoads::expectedWait(Incarnation agent, Micros now) const
{
    const auto found = agents_.find(agent);
    if (found == agents_.end()) {
        return 0;
    }
    const AgentState &state = found->second;
    double tokens = 0.0;
    for (const SentWork &work : state.sent) {
        tokens += work.sentAt >= now - options_.reportLifetime ? work.cost : 0.0;
    }
    const double microsPerToken = state.report.microsPerToken > 0.0 ? state.report.microsPerToken : options_.defaultMicrosPerToken;
    const Micros age = now - state.measuredAt;
    const Micros remainingWait = age > options_.reportLifetime ? 0 : std::max<Micros>(0, state.report.queueWait - age);
    return remainingWait + static_cast<Micros>(tokens * microsPerToken);
}

std::size_t UpstreamLoads::choose(std::span<const Incarnation> agents, Micros now)
{
    std::uniform_int_distribution<std::size_t> candidate(0, agents.size() - 1);
    const std::size_t first = candidate(random_);
    const std::size_t second = candidate(random_);
    return expectedWait(agents[second], now) < expectedWait(agents[first], now) ? second : first;
}

void UpstreamLoads::forget(Incarnation agent)
{
    agents_.erase(agent);
}

// Throttle ----------------------------------------------------------------------------------------

Throttle::Throttle(const ThrottleOptions &options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{
}

void Throttle::decay(Micros now)
{
    const double factor = std::exp(-static_cast<double>(now - decayedAt_) / static_cast<double>(options_.timeConstant));
    requests_ *= factor;
    offers_ *= factor;
    accepted_ *= factor;
    decayedAt_ = now;
}

double Throttle::refusalProbability() const
{
    if (offers_ < options_.minOffers) {
        return 0.0;
    }
    return std::max(0.0, (requests_ - options_.headroom * accepted_) / (requests_ + 1.0));
}

Micros Throttle::refuse(Micros now)
{
    decay(now);
    requests_ += 1.0;
    if (std::uniform_real_distribution<double>(0.0, 1.0)(random_) >= refusalProbability()) {
        return 0;
    }
    return std::uniform_int_distribution<Micros>(options_.minRetryAfter, options_.maxRetryAfter)(random_);
}

void Throttle::recordOffer(bool accepted, Micros now)
{
    decay(now);
    offers_ += 1.0;
    accepted_ += accepted ? 1.0 : 0.0;
}

} // namespace Carobhall
