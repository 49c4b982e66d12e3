#include "carobhall/upstream_limits.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Carobhall
{

namespace
{

constexpr double Unknown = std::numeric_limits<double>::infinity();

/// The part of \p limit for one of several demands, which include \p own; infinite demands take equal parts of what the others leave. What
/// nobody wants is divided equally.
double fairShare(double limit, double own, std::vector<double> demands)
{
    std::ranges::sort(demands);
    double remaining = limit;
    std::size_t unsatisfied = demands.size();
    for (const double demand : demands) {
        const double equalPart = remaining / static_cast<double>(unsatisfied);
        if (demand > equalPart) {
            return std::min(own, equalPart);
        }
        remaining -= demand;
        --unsatisfied;
    }
    return own + remaining / static_cast<double>(demands.size());
}

} // namespace

UpstreamLimits::UpstreamLimits(UpstreamLimitsOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
{
}

double UpstreamLimits::drawPermitPart()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
}

UpstreamLimits::Limited &UpstreamLimits::addLimited(Incarnation process, Micros now)
{
    const auto [found, isNew] = limited_.try_emplace(process);
    if (isNew) {
        found->second.reported.fill(Unknown);
        found->second.lastTakeAt = now;
        found->second.reportedAt = now;
    }
    return found->second;
}

void UpstreamLimits::noteAnswer(Incarnation process, std::optional<double> requestsPerSecond, Micros now)
{
    if (!requestsPerSecond && !limited_.contains(process)) {
        return;
    }
    setLimit(addLimited(process, now), requestsPerSecond, now, now);
}

void UpstreamLimits::setLimit(Limited &limited, std::optional<double> requestsPerSecond, Micros observedAt, Micros now)
{
    if (limited.limit) {
        refill(limited, now);
    } else {
        // Nothing is saved up from the time without a limit.
        limited.permits = drawPermitPart();
        limited.refilledAt = now;
    }
    limited.limit = requestsPerSecond ? std::optional(std::max(MinRequestsPerSecond, *requestsPerSecond)) : std::nullopt;
    limited.observedAt = observedAt;
}

double UpstreamLimits::shareOf(const Limited &limited, Micros now) const
{
    const double own = *std::ranges::min_element(limited.reported);
    std::vector<double> demands{ own };
    for (const auto &[gateway, demand] : limited.peers) {
        if (now - demand.at <= LimitReportLifetime) {
            demands.push_back(demand.requestsPerSecond);
        }
    }
    demands.resize(std::max<std::size_t>(demands.size(), options_.gatewayCount), Unknown);
    return fairShare(*limited.limit, own, std::move(demands));
}

std::optional<double> UpstreamLimits::shareOf(Incarnation process, Micros now) const
{
    const auto found = limited_.find(process);
    return found == limited_.end() || !found->second.limit ? std::nullopt : std::optional(shareOf(found->second, now));
}

void UpstreamLimits::refill(Limited &limited, Micros now)
{
    const double rate = shareOf(limited, now);
    const double elapsed = static_cast<double>(now - limited.refilledAt) / MicrosPerSecond;
    limited.permits = std::min(std::max(1.0, rate * BurstSeconds), limited.permits + rate * elapsed);
    limited.refilledAt = now;
}

bool UpstreamLimits::take(Incarnation process, Micros now)
{
    const auto found = limited_.find(process);
    if (found == limited_.end() || !found->second.limit) {
        return true;
    }
    Limited &limited = found->second;
    if (now - limited.observedAt > LimitLifetime) {
        limited_.erase(found);
        return true;
    }
    refill(limited, now);
    if (now - limited.lastTakeAt > IdleTime && limited.permits >= 1.0) {
        limited.permits = std::min(1.0, drawPermitPart() + IdlePermits / options_.gatewayCount);
    }
    limited.lastTakeAt = now;
    ++limited.takes;
    if (limited.permits < 1.0) {
        return false;
    }
    limited.permits -= 1.0;
    return true;
}

Micros UpstreamLimits::timeToPermit(Incarnation process, Micros now)
{
    const auto found = limited_.find(process);
    if (found == limited_.end() || !found->second.limit) {
        return 0;
    }
    refill(found->second, now);
    const double missing = std::max(0.0, 1.0 - found->second.permits);
    const double rate = std::max(1e-3, shareOf(found->second, now));
    return static_cast<Micros>(missing / rate * MicrosPerSecond);
}

LimitReport UpstreamLimits::report(Micros now)
{
    expire(now);
    LimitReport report{ .gateway = options_.gateway, .age = 0, .entries = {} };
    for (auto &[process, limited] : limited_) {
        if (limited.limit) {
            // The permits so far are those of the share before the report.
            refill(limited, now);
        }
        const double elapsed = std::max(0.1, static_cast<double>(now - limited.reportedAt) / MicrosPerSecond);
        limited.demand += DemandSampleWeight * (limited.takes / elapsed - limited.demand);
        limited.takes = 0;
        limited.reportedAt = now;
        // Rare requests leave gaps in the average. An equal share is kept for a gateway that has any demand.
        const bool isIdle = now - limited.lastTakeAt > IdleTime;
        const double equalShare = isIdle ? 0.0 : limited.limit.value_or(0.0) / options_.gatewayCount;
        std::rotate(limited.reported.begin(), limited.reported.end() - 1, limited.reported.end());
        limited.reported.front() = std::max(limited.demand * DemandHeadroom, equalShare);
        report.entries.push_back({ .process = process,
                                   .limited = limited.limit.has_value(),
                                   .requestsPerSecond = limited.limit.value_or(0.0),
                                   .age = now - limited.observedAt,
                                   .demand = limited.reported.front() });
    }
    return report;
}

void UpstreamLimits::merge(const LimitReports &reports, Micros now)
{
    for (auto &[process, limited] : limited_) {
        if (limited.limit) {
            // The permits so far are those of the share before the reports.
            refill(limited, now);
        }
    }
    for (const LimitReport &report : reports.reports) {
        if (report.gateway == options_.gateway) {
            continue;
        }
        const Micros reportedAt = now - std::max<Micros>(0, report.age);
        for (const LimitEntry &entry : report.entries) {
            const Micros observedAt = reportedAt - std::max<Micros>(0, entry.age);
            if (!limited_.contains(entry.process) && (!entry.limited || now - observedAt > LimitLifetime)) {
                continue;
            }
            Limited &limited = addLimited(entry.process, now);
            if (observedAt > limited.observedAt) {
                setLimit(limited, entry.limited ? std::optional(entry.requestsPerSecond) : std::nullopt, observedAt, now);
            }
            if (PeerDemand &peer = limited.peers[report.gateway]; reportedAt > peer.at) {
                peer = { .requestsPerSecond = std::max(0.0, entry.demand), .at = reportedAt };
            }
        }
    }
}

void UpstreamLimits::setGatewayCount(std::uint32_t count, Micros now)
{
    const std::uint32_t counted = std::max<std::uint32_t>(1, count);
    if (!gatewaysCounted_ || counted >= options_.gatewayCount || now - gatewayCountAt_ > GatewayCountHold) {
        gatewaysCounted_ = true;
        options_.gatewayCount = counted;
        gatewayCountAt_ = now;
    }
}

void UpstreamLimits::expire(Micros now)
{
    std::erase_if(limited_, [&](const auto &entry) { return now - entry.second.observedAt > LimitLifetime; });
    for (auto &[process, limited] : limited_) {
        std::erase_if(limited.peers, [now](const auto &peer) { return now - peer.second.at > LimitReportLifetime; });
    }
}

} // namespace Carobhall
