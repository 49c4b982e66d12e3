#include "carobhall/upstream_availability.h"

namespace Carobhall
{

bool UpstreamAvailability::noteLeaving(Incarnation process, Micros now)
{
    expire(now);
    State &state = states_[process];
    const bool isNew = !state.leavingSince;
    state.leavingSince = now;
    return isNew;
}

bool UpstreamAvailability::isLeaving(Incarnation process) const
{
    const auto found = states_.find(process);
    return found != states_.end() && found->second.leavingSince;
}

bool UpstreamAvailability::isAvailable(Incarnation process, Micros /*now*/) const
{
    return !isLeaving(process);
}

std::size_t UpstreamAvailability::size() const
{
    return states_.size();
}

void UpstreamAvailability::expire(Micros now)
{
    if (now < nextExpiryAt_) {
        return;
    }
    nextExpiryAt_ = now + ExpiryInterval;
    std::erase_if(states_, [now](const auto &entry) { return entry.second.leavingSince && now - *entry.second.leavingSince > LeavingRetention; });
}

} // namespace Carobhall
