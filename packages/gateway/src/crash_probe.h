#pragma once

// Finds out whether an upstream has crashed after a connection to it broke: a process that has ended refuses connections. The platform's list
// shows a crash only seconds later.

#include "carobhall/channel.h"
#include "carobhall/runtime.h"
#include "carobhall/upstream_table.h"

namespace Carobhall
{

/// Not thread-safe.
class CrashProbe
{
public:
    /// \p onCrashed is called for an upstream that refuses a connection.
    explicit CrashProbe(std::function<void(const Upstream &)> onCrashed);

    /// Tries to connect to \p upstream, unless a probe is under way or was made within MinInterval. Sends nothing.
    void start(const UpstreamRef &upstream, Micros now);
    /// Ends probes without a result and forgets old ones. Call every 50 to 100 ms.
    void expire(Micros now);

private:
    /// A faulty upstream may reset many connections; a probe costs it a connection.
    static constexpr Micros MinInterval = 500 * MicrosPerMilli;
    /// A path that is cut gives no answer, and no answer proves nothing.
    static constexpr Micros Timeout = MicrosPerSecond;

    struct Probe {
        std::shared_ptr<Channel> channel; ///< Null: ended.
        Micros startedAt = 0;
    };

    std::function<void(const Upstream &)> onCrashed_;
    std::unordered_map<UpstreamNumber, Probe> probes_;
};

} // namespace Carobhall
