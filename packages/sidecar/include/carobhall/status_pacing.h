#pragma once

// How often a sidecar sends the load of its engine to the gateways.
//
// Every sidecar sends to every gateway, so the messages of the fleet grow with the product of both counts. The intervals keep the
// messages that one sidecar sends per second within a fixed rate: with more gateways, each of them makes fewer decisions per second
// and needs the load less often.

#include "carobhall/base.h"

namespace Carobhall
{

/// What has happened since the last status.
enum class StatusUrgency : std::uint8_t {
    Idle,    ///< Nothing has changed; the status serves as a heartbeat.
    Changed, ///< The load or the cache has changed.
    Demand,  ///< One gateway has sent prompts that the others do not know of yet.
};

template<>
struct EnumNames<StatusUrgency> {
    static constexpr std::array rows{
        EnumName{ StatusUrgency::Idle, "idle" },
        EnumName{ StatusUrgency::Changed, "changed" },
        EnumName{ StatusUrgency::Demand, "demand" },
    };
};

/// Gateways reconnect a link that is silent for two and a half times this long.
inline constexpr Micros MaxStatusInterval = MicrosPerSecond;

/// The minimum time between two statuses for a sidecar that is connected to \p gateways gateways. Thread-safe.
[[nodiscard]] Micros statusInterval(StatusUrgency urgency, std::size_t gateways);

} // namespace Carobhall
