#pragma once

// Notices a caller that closes its connection while nothing is being written to it.

#include "carobhall/runtime.h"

namespace Carobhall
{

/// libsoup notices a closed connection only when it reads or writes, which it does not while a request waits for its answer.
/// Not thread-safe.
class CallerWatch
{
public:
    CallerWatch() = default;
    ~CallerWatch();
    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;

    /// Calls \p onLeft at most once, when the other end of \p socket has closed. Data that arrives, such as a pipelined request, ends
    /// the watch. Replaces what was watched before.
    void start(GSocket *socket, std::function<void()> onLeft);
    void stop();

private:
    static gboolean onReadable(GSocket *socket, GIOCondition condition, gpointer self);

    GSource *source_ = nullptr;
    std::function<void()> onLeft_;
};

} // namespace Carobhall
