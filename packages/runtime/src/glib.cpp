#include "carobhall/runtime.h"

#include <glib-unix.h>

namespace Carobhall
{

struct Timer::Slot {
    Timer *owner = nullptr; ///< Null when the timer has been stopped or a one-shot action has started.
    guint source = 0;
    bool repeats = false;
    bool expired = false; ///< The action runs in this iteration of the main loop.
    std::function<void()> action;

    static gboolean dispatch(gpointer data)
    {
        auto *const slot = static_cast<Slot *>(data);
        if (slot->repeats) {
            slot->action();
            return G_SOURCE_CONTINUE;
        }
        if (!slot->expired) {
            // Sockets that became readable while the main loop was held up are dispatched in this iteration, perhaps after this timer.
            slot->owner->runAfterInput(std::move(slot->action));
            return G_SOURCE_REMOVE;
        }
        // The action may restart or destroy the timer, so the slot is detached first.
        slot->owner->slot_ = nullptr;
        slot->owner = nullptr;
        slot->action();
        return G_SOURCE_REMOVE;
    }
};

Timer::~Timer()
{
    stop();
}

void Timer::startOnce(Micros delay, std::function<void()> action)
{
    start(delay, false, std::move(action));
}

void Timer::startRepeating(Micros interval, std::function<void()> action)
{
    start(interval, true, std::move(action));
}

void Timer::stop()
{
    if (slot_ != nullptr) {
        Slot *const slot = slot_;
        slot_ = nullptr;
        slot->owner = nullptr;
        // GLib frees the slot only after a running action has returned.
        g_source_remove(slot->source);
    }
}

bool Timer::isActive() const
{
    return slot_ != nullptr;
}

void Timer::start(Micros delay, bool repeats, std::function<void()> action)
{
    stop();
    slot_ = new Slot{ .owner = this, .source = 0, .repeats = repeats, .expired = false, .action = std::move(action) };
    const auto delayMs = static_cast<guint>((std::max<Micros>(delay, 0) + MicrosPerMilli - 1) / MicrosPerMilli);
    slot_->source = g_timeout_add_full(G_PRIORITY_DEFAULT, delayMs, &Slot::dispatch, slot_, [](gpointer data) { delete static_cast<Slot *>(data); });
}

void Timer::runAfterInput(std::function<void()> action)
{
    slot_ = new Slot{ .owner = this, .source = 0, .repeats = false, .expired = true, .action = std::move(action) };
    slot_->source = g_idle_add_full(G_PRIORITY_DEFAULT, &Slot::dispatch, slot_, [](gpointer data) { delete static_cast<Slot *>(data); });
}

SignalWatch::SignalWatch(int signalNumber, std::function<void()> action)
    : action_(std::move(action))
{
    source_ = g_unix_signal_add(
        signalNumber,
        [](gpointer data) -> gboolean {
            static_cast<SignalWatch *>(data)->action_();
            return G_SOURCE_CONTINUE;
        },
        this);
}

SignalWatch::~SignalWatch()
{
    g_source_remove(source_);
}

} // namespace Carobhall
