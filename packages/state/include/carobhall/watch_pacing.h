#pragma once

// How long one call of a watch waits for changes, in a fleet whose processes tell each other what they have read.
//
// Each call is billed, also one that ends without a change. A store that has lost its history reports that to a waiting call only with
// the next change, so a change can be missed until the wait ends. It is enough that one process of the fleet ends its wait soon and
// passes on what it finds. Therefore the longest wait grows with the number of processes, up to a limit, and the waits are drawn at
// random: the first process reads anew as soon as in a small fleet, while the calls per process fall.

#include "carobhall/base.h"

#include <random>

namespace Carobhall
{

struct WatchPacing {
    Micros shortestWait = 3 * MicrosPerSecond;
    Micros longestWait = 12 * MicrosPerSecond; ///< For a large fleet.
    std::uint32_t processes = 1;               ///< Processes of this kind that pass on what they read, this one included.
};

/// The wait of the next call. Thread-safe for distinct generators.
[[nodiscard]] Micros watchWait(const WatchPacing &pacing, std::mt19937_64 &generator);

} // namespace Carobhall
