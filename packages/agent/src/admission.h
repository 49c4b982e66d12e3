#pragma once

// Which of the waiting attempts runs next, and which are refused because they would wait too long.

#include "carobhall/messages.h"

#include <concepts>
#include <deque>

namespace Carobhall
{

/// What the queue knows of an attempt.
struct QueueItem {
    AttemptId id;
    std::string account;
    std::uint8_t rank = 0;
    Micros startBy = 0;     ///< The attempt is useless after this time.
    std::uint64_t cost = 1; ///< Tokens: prompt and generated.
};

struct QueueRefusal {
    Errc error = Errc::Overloaded;
    Micros retryAfter = 0;
};

/// An admission queue for one upstream. `now` is always monotonicNow() of the caller.
template<typename Queue>
concept AdmissionQueue = requires(Queue queue, const Queue constQueue, QueueItem item, const AttemptId &id, Micros time)
{
    // Takes the item, or says why not.
    {
        queue.push(item, time)
        } -> std::same_as<std::optional<QueueRefusal>>;
    // The item that runs next when a slot is free; it leaves the queue.
    {
        queue.pop(time)
        } -> std::same_as<std::optional<QueueItem>>;
    // Takes out an item that was cancelled. False when it is not queued.
    {
        queue.remove(id)
        } -> std::same_as<bool>;
    // An attempt that pop() returned has ended after running this long.
    queue.finished(id, time, time);
    queue.setSlots(std::uint32_t{});
    // Wait of a further item of the rank.
    {
        constQueue.expectedWait(std::uint8_t{}, time)
        } -> std::same_as<Micros>;
    {
        constQueue.size()
        } -> std::same_as<std::size_t>;
};

/// First in, first out, bounded by the expected wait.
class FifoQueue
{
public:
    std::optional<QueueRefusal> push(QueueItem item, Micros now);
    std::optional<QueueItem> pop(Micros now);
    bool remove(const AttemptId &id);
    void finished(const AttemptId &id, Micros ran, Micros now);
    void setSlots(std::uint32_t slots);
    [[nodiscard]] Micros expectedWait(std::uint8_t rank, Micros now) const;
    [[nodiscard]] std::size_t size() const;

private:
    std::deque<QueueItem> items_;
    std::uint32_t slots_ = 1;
    std::uint32_t running_ = 0;
    double meanServiceTime_ = 0.0; ///< Microseconds.
};

static_assert(AdmissionQueue<FifoQueue>);

} // namespace Carobhall
