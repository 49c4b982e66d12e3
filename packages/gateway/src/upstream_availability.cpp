#include "carobhall/upstream_availability.h"

#include <algorithm>

namespace Carobhall
{

UpstreamAvailability::UpstreamAvailability(std::uint64_t seed)
    : random_(seed)
{
}

bool UpstreamAvailability::noteLeaving(Incarnation process, Micros now)
{
    expire(now);
    State &state = states_[process];
    const bool isNew = !state.leavingSince;
    state.leavingSince = now;
    return isNew;
}

void UpstreamAvailability::noteUnlisted(Incarnation process, Micros now)
{
    expire(now);
    states_[process].unlistedSince = now;
}

void UpstreamAvailability::noteListed(Incarnation process, std::uint64_t sequence, bool mayBeCopied)
{
    const auto found = states_.find(process);
    if (found == states_.end() || !found->second.unlistedSince) {
        return;
    }
    State &state = found->second;
    // The copy of another restore may be newer than that of the last one: its sequence proves nothing.
    if (mayBeCopied) {
        state.copiedSequence = sequence;
    } else if (!state.copiedSequence || sequence > *state.copiedSequence) {
        state.unlistedSince.reset();
        state.copiedSequence.reset();
    }
}

bool UpstreamAvailability::notePause(Incarnation process, Micros duration, Micros now)
{
    if (duration <= 0) {
        return false;
    }
    expire(now);
    State &state = states_[process];
    const bool isNew = state.pausedUntil <= now;
    if (isNew) {
        // Drawn once: of several answers with the same end, the latest return would count, which is late for all gateways alike.
        state.returnPoint = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    }
    const Micros pause = std::min(duration, MaxPause);
    const Micros spread = std::min(MaxReturnSpread, static_cast<Micros>(static_cast<double>(pause) * ReturnSpreadShare));
    state.pausedUntil = std::max(state.pausedUntil, now + pause + static_cast<Micros>(static_cast<double>(spread) * state.returnPoint));
    return isNew;
}

bool UpstreamAvailability::isLeaving(Incarnation process) const
{
    const auto found = states_.find(process);
    return found != states_.end() && found->second.leavingSince;
}

bool UpstreamAvailability::isUnconfirmed(Incarnation process) const
{
    const auto found = states_.find(process);
    return found != states_.end() && found->second.copiedSequence;
}

bool UpstreamAvailability::isAvailable(Incarnation process, Micros now) const
{
    return timeToAvailable(process, now) == Micros{ 0 };
}

std::optional<Micros> UpstreamAvailability::timeToAvailable(Incarnation process, Micros now) const
{
    const auto found = states_.find(process);
    if (found == states_.end()) {
        return 0;
    }
    if (found->second.leavingSince || found->second.copiedSequence) {
        return std::nullopt;
    }
    return std::max<Micros>(0, found->second.pausedUntil - now);
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
    std::erase_if(states_, [now](const auto &entry) {
        const State &state = entry.second;
        const std::optional<Micros> goneSince = std::max(state.leavingSince, state.unlistedSince);
        return goneSince ? now - *goneSince > LeavingRetention : state.pausedUntil <= now;
    });
}

} // namespace Carobhall
