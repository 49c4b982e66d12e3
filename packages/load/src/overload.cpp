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

void UpstreamLoads::report(Incarnation agent, const LoadReport &report, Micros measuredAt)
{
    Row &row = rows_[agent];
    if (measuredAt < row.measuredAt) {
        return;
    }
    row.report = report;
    row.measuredAt = measuredAt;
    std::erase_if(row.sent, [this, measuredAt](const Sent &sent) { return sent.at < measuredAt - options_.lag; });
}

void UpstreamLoads::sent(Incarnation agent, double cost, Micros now)
{
    Row &row = rows_[agent];
    // Without reports the list would grow; work this old no longer waits.
    std::erase_if(row.sent, [this, now](const Sent &sent) { return sent.at < now - options_.reportLifetime; });
    row.sent.push_back({ .at = now, .cost = cost });
}

Micros UpstreamLoads::expectedWait(Incarnation agent, Micros now) const
{
    const auto found = rows_.find(agent);
    if (found == rows_.end()) {
        return 0;
    }
    const Row &row = found->second;
    double tokens = 0.0;
    for (const Sent &sent : row.sent) {
        tokens += sent.at >= now - options_.reportLifetime ? sent.cost : 0.0;
    }
    const double perToken = row.report.microsPerToken > 0.0 ? row.report.microsPerToken : options_.defaultMicrosPerToken;
    const Micros age = now - row.measuredAt;
    const Micros reported = age > options_.reportLifetime ? 0 : std::max<Micros>(0, row.report.wait - age);
    return reported + static_cast<Micros>(tokens * perToken);
}

std::size_t UpstreamLoads::choose(std::span<const Incarnation> agents, Micros now)
{
    std::uniform_int_distribution<std::size_t> any(0, agents.size() - 1);
    const std::size_t first = any(random_);
    const std::size_t second = any(random_);
    return expectedWait(agents[second], now) < expectedWait(agents[first], now) ? second : first;
}

void UpstreamLoads::forget(Incarnation agent)
{
    rows_.erase(agent);
}

// Throttle ----------------------------------------------------------------------------------------

Throttle::Throttle(const ThrottleOptions &options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{
}

void Throttle::decay(Micros now)
{
    const double factor = std::exp(-static_cast<double>(now - decayedAt_) / static_cast<double>(options_.window));
    requests_ *= factor;
    offers_ *= factor;
    accepted_ *= factor;
    decayedAt_ = now;
}

double Throttle::probability() const
{
    if (offers_ < options_.leastOffers) {
        return 0.0;
    }
    return std::max(0.0, (requests_ - options_.headroom * accepted_) / (requests_ + 1.0));
}

Micros Throttle::refuse(Micros now)
{
    decay(now);
    requests_ += 1.0;
    if (std::uniform_real_distribution<double>(0.0, 1.0)(random_) >= probability()) {
        return 0;
    }
    return std::uniform_int_distribution<Micros>(options_.shortestRetryAfter, options_.longestRetryAfter)(random_);
}

void Throttle::note(bool accepted, Micros now)
{
    decay(now);
    offers_ += 1.0;
    accepted_ += accepted ? 1.0 : 0.0;
}

} // namespace Carobhall
