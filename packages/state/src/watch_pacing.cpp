#include "carobhall/watch_pacing.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

/// Fleets of up to this many processes use the shortest wait.
constexpr std::uint32_t SmallFleetProcesses = 6;

} // namespace

Micros watchWait(const WatchPacing &pacing, std::mt19937_64 &generator)
{
    const Micros scaled = pacing.shortestWait * std::max(pacing.processes, SmallFleetProcesses) / SmallFleetProcesses;
    const Micros longest = std::clamp(scaled, pacing.shortestWait, std::max(pacing.shortestWait, pacing.longestWait));
    return std::uniform_int_distribution<Micros>(pacing.shortestWait, longest)(generator);
}

} // namespace Carobhall
