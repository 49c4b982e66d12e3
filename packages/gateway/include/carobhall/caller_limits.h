#pragma once

// Which limits apply to the connections of callers around a change of the configuration.
//
//     limits.adopt(config.limits, now);
//     RequestReader reader(limits.forRequest(now));     // a request that begins now
//     if (idleFor > limits.idleTimeout(now)) { ... }    // a connection that is idle now
//
// Callers follow the newest configuration that they know, which may be older than the gateway's for as long as a change takes to reach
// everybody. For that time both the old and the new limits are allowed. Raised limits apply at once.
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/gateway_config.h"

#include <deque>

namespace Carobhall
{

/// The limits that allow whatever \p a or \p b allows. Thread-safe.
[[nodiscard]] CallerLimits widest(const CallerLimits &a, const CallerLimits &b);

/// Not thread-safe.
class CallerLimitHistory
{
public:
    /// Time after a change for which callers may still follow the limits before it: 2.5 s until a configuration is in effect
    /// everywhere, and half a second for requests on the way.
    static constexpr Micros ChangeTime = 3 * MicrosPerSecond;

    /// \p limits are in force from \p now on. The first call replaces the defaults.
    void adopt(const CallerLimits &limits, Micros now);
    /// The limits of a request whose first byte arrives at \p now. They stay the same until it is read whole.
    [[nodiscard]] CallerLimits forRequest(Micros now) const;
    /// How long a connection may be idle at \p now, whenever it was accepted.
    [[nodiscard]] Micros idleTimeout(Micros now) const;

private:
    struct Replaced {
        CallerLimits limits{};
        Micros until = 0; ///< Callers may follow these limits up to this time.
    };
    bool adopted_ = false;
    CallerLimits current_{};
    std::deque<Replaced> replaced_; ///< Oldest first.
};

} // namespace Carobhall
