#pragma once

// Limits how long a request may wait in an engine's queue before it is refused. The limit depends on recent queue delays.
//
// Two load patterns need opposite limits. While servers change weights one after the other, queues are long only for a moment,
// and a refused request would have been served in time. Under a sustained flood of long prompts queues stay long: each admitted
// prompt evicts cached parts and delays more urgent requests, so that a short limit serves more requests of both kinds.

#include "carobhall/base.h"

#include <algorithm>

namespace Carobhall
{

struct QueueWaitLimitOptions {
    /// Up to this mean the normal limit applies: twice the prefill of a long prompt's own part.
    Micros lowQueueDelay = 80 * MicrosPerMilli;
    /// From this mean on the overload limit applies: half of the most urgent latency target.
    Micros highQueueDelay = 250 * MicrosPerMilli;
    /// Weight of one request in the moving average, which then covers about fifteen requests: a second or two for one gateway.
    double sampleWeight = 0.06;
};

/// Not thread-safe.
class QueueWaitLimit
{
public:
    explicit QueueWaitLimit(const QueueWaitLimitOptions &options = {})
        : options_(options)
    {
    }

    /// Adds the queue delay of the engine that was chosen for a request.
    void noteQueueDelay(Micros delay)
    {
        meanMicros_ += options_.sampleWeight * (static_cast<double>(delay) - meanMicros_);
    }

    /// The current limit: \p normalLimit at low queue delays, \p overloadLimit at high ones, interpolated in between.
    /// Precondition: overloadLimit <= normalLimit.
    [[nodiscard]] Micros limit(Micros overloadLimit, Micros normalLimit) const
    {
        const double low = static_cast<double>(options_.lowQueueDelay);
        const double high = static_cast<double>(options_.highQueueDelay);
        const double overload = std::clamp((meanMicros_ - low) / (high - low), 0.0, 1.0);
        return normalLimit - static_cast<Micros>(overload * static_cast<double>(normalLimit - overloadLimit));
    }

    [[nodiscard]] Micros meanQueueDelay() const
    {
        return static_cast<Micros>(meanMicros_);
    }

private:
    QueueWaitLimitOptions options_;
    double meanMicros_ = 0.0; ///< Moving average of the queue delay.
};

} // namespace Carobhall
