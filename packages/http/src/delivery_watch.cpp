#include "carobhall/delivery_watch.h"

#include <utility>

namespace Carobhall
{

void DeliveryWatch::note(const DeliveryState &state, Micros now)
{
    const std::uint64_t taken = state.written - state.undelivered;
    const bool beginsToWait = undelivered_ == 0 && state.undelivered > 0;
    if (taken > taken_ || beginsToWait || !std::exchange(isNoted_, true)) {
        progressAt_ = now;
    }
    taken_ = taken;
    undelivered_ = state.undelivered;
}

bool DeliveryWatch::isDelivered() const
{
    return undelivered_ == 0;
}

Micros DeliveryWatch::timeWithoutProgress(Micros now) const
{
    return now - progressAt_;
}

bool DeliveryWatch::isStalled(Micros limit, Micros now) const
{
    return undelivered_ > 0 && timeWithoutProgress(now) > limit;
}

} // namespace Carobhall
