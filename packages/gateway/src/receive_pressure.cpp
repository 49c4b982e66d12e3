#include "carobhall/receive_pressure.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

double bytesPerSecond(const ReceiveState &state, Micros now)
{
    return static_cast<double>(state.bytes) * MicrosPerSecond / static_cast<double>(std::max<Micros>(1, now - state.since));
}

} // namespace

std::optional<std::size_t> connectionToClose(std::span<const ReceiveState> states)
{
    std::optional<std::size_t> silent;
    for (std::size_t i = 0; i < states.size(); ++i) {
        const bool mayClose = states[i].phase == ReceivePhase::Idle || states[i].phase == ReceivePhase::Receiving;
        if (mayClose && (!silent || states[i].lastBytesAt < states[*silent].lastBytesAt)) {
            silent = i;
        }
    }
    return silent;
}

std::vector<std::size_t> bodiesToRefuse(std::span<const ReceiveState> states, Micros now, const ReceivePressureOptions &options)
{
    std::vector<std::size_t> held;
    std::vector<std::size_t> stalled;
    std::vector<std::size_t> slow;
    for (std::size_t i = 0; i < states.size(); ++i) {
        const ReceiveState &state = states[i];
        if (state.phase == ReceivePhase::Held) {
            held.push_back(i);
        } else if (state.phase == ReceivePhase::Receiving && state.grantedBytes > 0) {
            if (now - state.lastBytesAt >= options.stallTime) {
                stalled.push_back(i);
            } else if (now - state.since >= options.slowTime && bytesPerSecond(state, now) < options.slowBytesPerSecond) {
                slow.push_back(i);
            }
        }
    }
    std::ranges::sort(held, {}, [&](std::size_t i) { return states[i].since; });
    std::ranges::sort(stalled, {}, [&](std::size_t i) { return states[i].lastBytesAt; });
    std::ranges::sort(slow, {}, [&](std::size_t i) { return bytesPerSecond(states[i], now); });
    std::vector<std::size_t> refused;
    std::size_t waiting = 0;
    for (const std::size_t i : held) {
        if (now - states[i].since >= options.holdLimit || waiting >= options.maxHeld) {
            refused.push_back(i);
        } else {
            ++waiting;
        }
    }
    stalled.insert(stalled.end(), slow.begin(), slow.end());
    stalled.resize(std::min(stalled.size(), waiting));
    refused.insert(refused.end(), stalled.begin(), stalled.end());
    return refused;
}

} // namespace Carobhall
