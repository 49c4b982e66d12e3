#pragma once

// Detects that a caller has closed its connection while its request waits for an answer.

#include "carobhall/runtime.h"

namespace Carobhall
{

/// libsoup detects a closed connection only when it reads or writes, and it does neither while a request waits for its answer.
/// Not thread-safe.
class CallerWatch
{
public:
    CallerWatch() = default;
    ~CallerWatch();
    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;

    /// Calls \p onDisconnected at most once, when the peer has closed \p socket. Data that arrives, such as a pipelined request, ends the
    /// watch without a call. Replaces any earlier watch.
    void start(GSocket *socket, std::function<void()> onDisconnected);
    void stop();

private:
    static gboolean onReadable(GSocket *socket, GIOCondition condition, gpointer self);

    GSource *source_ = nullptr;
    std::function<void()> onDisconnected_;
};

} // namespace Carobhall
