#include "carobhall/caller_limits.h"

#include <algorithm>
#include <utility>

namespace Carobhall
{

CallerLimits widest(const CallerLimits &a, const CallerLimits &b)
{
    return { .maxHeaderBytes = std::max(a.maxHeaderBytes, b.maxHeaderBytes),
             .maxBodyBytes = std::max(a.maxBodyBytes, b.maxBodyBytes),
             .headerTimeout = std::max(a.headerTimeout, b.headerTimeout),
             .idleTimeout = std::max(a.idleTimeout, b.idleTimeout) };
}

void CallerLimitHistory::adopt(const CallerLimits &limits, Micros now)
{
    while (!replaced_.empty() && replaced_.front().until <= now) {
        replaced_.pop_front();
    }
    if (std::exchange(adopted_, true) && current_ != limits) {
        replaced_.push_back({ .limits = current_, .until = now + ChangeTime });
    }
    current_ = limits;
}

CallerLimits CallerLimitHistory::forRequest(Micros now) const
{
    CallerLimits result = current_;
    for (const Replaced &replaced : replaced_) {
        if (now < replaced.until) {
            result = widest(result, replaced.limits);
        }
    }
    return result;
}

Micros CallerLimitHistory::idleTimeout(Micros now) const
{
    return forRequest(now).idleTimeout;
}

} // namespace Carobhall
