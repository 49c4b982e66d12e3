#include "carobhall/caller_limits.h"

#include <algorithm>
#include <utility>

namespace Carobhall
{

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
            result.maxHeaderBytes = std::max(result.maxHeaderBytes, replaced.limits.maxHeaderBytes);
            result.maxBodyBytes = std::max(result.maxBodyBytes, replaced.limits.maxBodyBytes);
            result.headerTimeout = std::max(result.headerTimeout, replaced.limits.headerTimeout);
            result.idleTimeout = std::max(result.idleTimeout, replaced.limits.idleTimeout);
        }
    }
    return result;
}

Micros CallerLimitHistory::idleTimeout(Micros now) const
{
    return forRequest(now).idleTimeout;
}

} // namespace Carobhall
