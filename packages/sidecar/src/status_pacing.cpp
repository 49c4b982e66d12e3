#include "carobhall/status_pacing.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

/// Bounds the age of the load that a gateway of a small fleet knows.
constexpr Micros MinChangedInterval = 120 * MicrosPerMilli;
/// All gateways route by the same status, and would all choose the server that was idle in the last one.
constexpr Micros MinDemandInterval = 20 * MicrosPerMilli;
/// Messages that one sidecar sends per second, to all gateways together.
constexpr Micros ChangedMessagesPerSecond = 350;
constexpr Micros DemandMessagesPerSecond = 1'500;

Micros intervalFor(std::size_t gateways, Micros messagesPerSecond, Micros minimum)
{
    return std::clamp(static_cast<Micros>(gateways) * MicrosPerSecond / messagesPerSecond, minimum, MaxStatusInterval);
}

} // namespace

Micros statusInterval(StatusUrgency urgency, std::size_t gateways)
{
    switch (urgency) {
    case StatusUrgency::Demand:
        return intervalFor(gateways, DemandMessagesPerSecond, MinDemandInterval);
    case StatusUrgency::Changed:
        return intervalFor(gateways, ChangedMessagesPerSecond, MinChangedInterval);
    case StatusUrgency::Idle:
        break;
    }
    return MaxStatusInterval;
}

} // namespace Carobhall
