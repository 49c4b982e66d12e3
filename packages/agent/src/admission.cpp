#include "admission.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

/// Weight of the newest sample; about the last ten calls count.
constexpr double ServiceTimeGain = 0.1;
constexpr double InitialServiceTime = 100.0 * MicrosPerMilli;

} // namespace

std::optional<QueueRefusal> FifoQueue::push(QueueItem item, Micros now)
{
    const Micros wait = expectedWait(item.rank, now);
    if (now + wait > item.startBy) {
        return QueueRefusal{ .error = Errc::Overloaded, .retryAfter = wait };
    }
    items_.push_back(std::move(item));
    return std::nullopt;
}

std::optional<QueueItem> FifoQueue::pop(Micros /*now*/)
{
    if (items_.empty() || running_ >= slots_) {
        return std::nullopt;
    }
    QueueItem item = std::move(items_.front());
    items_.pop_front();
    ++running_;
    return item;
}

bool FifoQueue::remove(const AttemptId &id)
{
    return std::erase_if(items_, [&](const QueueItem &item) { return item.id == id; }) > 0;
}

void FifoQueue::finished(const AttemptId & /*id*/, Micros ran, Micros /*now*/)
{
    --running_;
    const auto sample = static_cast<double>(ran);
    meanServiceTime_ = meanServiceTime_ == 0.0 ? sample : meanServiceTime_ + ServiceTimeGain * (sample - meanServiceTime_);
}

void FifoQueue::setSlots(std::uint32_t slots)
{
    slots_ = std::max<std::uint32_t>(slots, 1);
}

Micros FifoQueue::expectedWait(std::uint8_t /*rank*/, Micros /*now*/) const
{
    if (running_ + items_.size() < slots_) {
        return 0;
    }
    const double serviceTime = meanServiceTime_ == 0.0 ? InitialServiceTime : meanServiceTime_;
    const auto ahead = static_cast<double>(running_ + items_.size() + 1 - slots_);
    return static_cast<Micros>(serviceTime * ahead / slots_);
}

std::size_t FifoQueue::size() const
{
    return items_.size();
}

} // namespace Carobhall
