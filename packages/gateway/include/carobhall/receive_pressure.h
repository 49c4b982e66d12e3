#pragma once

// Which connections of callers give way when requests wait for room in the receive budget, or connections for a descriptor.
//
//     std::vector<ReceiveState> states = ...;                      // one for each connection
//     if (auto index = connectionToClose(states)) { ... }          // a new connection finds no descriptor
//     for (std::size_t index : bodiesToRefuse(states, now)) { ... } // on each tick
//
// A caller that sends steadily is never closed before one that has stopped.
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/base.h"

#include <span>

namespace Carobhall
{

enum class ReceivePhase : std::uint8_t {
    Idle,      ///< No request has begun.
    Receiving, ///< A request is incomplete.
    Held,      ///< A request is incomplete, and its input waits for room in the budget.
    Busy,      ///< A request is complete and is being handled, or its response is being sent.
};

struct ReceiveState {
    ReceivePhase phase = ReceivePhase::Idle;
    Micros lastBytesAt = 0;
    Micros since = 0;             ///< Held: when the input was held. Receiving: arrival of the first byte, later by the time for which it was held.
    std::size_t bytes = 0;        ///< Receiving: bytes of the body so far.
    std::size_t grantedBytes = 0; ///< Of the budget.
};

struct ReceivePressureOptions {
    Micros stallTime = MicrosPerSecond;        ///< Without bytes for so long, a body gives way to others that wait.
    Micros slowTime = 2 * MicrosPerSecond;     ///< From this age on, a slow body gives way too.
    double slowBytesPerSecond = 64.0 * 1024.0; ///< A body is slow below this mean rate.
    Micros holdLimit = 2 * MicrosPerSecond;    ///< A request waits for room at most for so long, then it is refused.
    std::size_t maxHeld = 64;                  ///< Requests that wait at once: the system holds received bytes of each of them.
};

/// The connection that has been silent for longest and has no complete request, or nothing. Thread-safe.
[[nodiscard]] std::optional<std::size_t> connectionToClose(std::span<const ReceiveState> states);

/// The incomplete requests to refuse now: those that have waited for too long, the latest of too many that wait, and, for each that goes on to
/// wait, one body that has stopped or is slow. Thread-safe.
[[nodiscard]] std::vector<std::size_t> bodiesToRefuse(std::span<const ReceiveState> states, Micros now, const ReceivePressureOptions &options = {});

} // namespace Carobhall
