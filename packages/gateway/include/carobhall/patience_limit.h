#pragma once

// How long requests may wait behind others before they are refused, depending on how long queues have been lately.
//
// Two loads need opposite answers. While servers change weights one after the other, queues are long for a moment, and a
// refused request would have been served in time. In a flood of long prompts queues stay long: each admitted prompt drives
// cached parts out of memory and delays the more urgent ones, and a short limit serves more of both.

#include "carobhall/base.h"

#include <algorithm>

namespace Carobhall
{

struct PatienceOptions {
    Micros calmQueue = 80 * MicrosPerMilli;  ///< Mean queue up to which the long limit holds: two reads of a long prompt's own part.
    Micros busyQueue = 250 * MicrosPerMilli; ///< From here on the short limit holds: half of the most urgent target.
    double sampleWeight = 0.06;              ///< Of one request in the mean; some fifteen requests, a second or two for one gateway.
};

/// Not thread-safe.
class PatienceLimit
{
public:
    explicit PatienceLimit(const PatienceOptions &options = {})
        : options_(options)
    {
    }

    /// The shortest queue that a request met.
    void noteQueue(Micros queue)
    {
        mean_ += options_.sampleWeight * (static_cast<double>(queue) - mean_);
    }

    /// A limit between \p longLimit (calm) and \p shortLimit (flood). Precondition: shortLimit <= longLimit.
    [[nodiscard]] Micros limit(Micros shortLimit, Micros longLimit) const
    {
        const double calm = static_cast<double>(options_.calmQueue);
        const double busy = static_cast<double>(options_.busyQueue);
        const double flood = std::clamp((mean_ - calm) / (busy - calm), 0.0, 1.0);
        return longLimit - static_cast<Micros>(flood * static_cast<double>(longLimit - shortLimit));
    }

    [[nodiscard]] Micros meanQueue() const
    {
        return static_cast<Micros>(mean_);
    }

private:
    PatienceOptions options_;
    double mean_ = 0.0; ///< Microseconds.
};

} // namespace Carobhall
