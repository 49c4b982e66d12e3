#pragma once

// Declarations shared by the source files of the routing package.

#include "carobhall/routing.h"

#include <cstdlib>

namespace Carobhall::RoutingInternal
{

/// Aborts the process if \p condition is false. Also active in release builds, because requests must not be routed by a corrupt index or
/// server table.
inline void ensure(bool condition, std::string_view invariant)
{
    if (!condition) [[unlikely]] {
        logEvent(LogLevel::Error, "invariant_violated", { { "package", "routing" }, { "invariant", invariant } });
        std::abort();
    }
}

/// Combines two 64-bit values to a hash in which every bit of both affects every bit of the result.
[[nodiscard]] constexpr std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    // The finalizer of SplitMix64.
    std::uint64_t x = a ^ (b * 0x9E3779B97F4A7C15ULL);
    x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27U)) * 0x94D049BB133111EBULL;
    return x ^ (x >> 31U);
}

[[nodiscard]] std::uint64_t hashName(std::string_view name);

/// The prefix hash that selects the home servers of a prompt at one placement level.
struct PlacementKey {
    std::uint32_t pieces = 0; ///< Length of the prefix; 0: the prompt has no such level.
    PrefixHash hash = 0;
};

/// The placement key of a prompt with the given hashes. \p levelsUp selects the level: 0 is the deepest level that the prompt reaches,
/// 1 the next shallower one, and so on.
[[nodiscard]] PlacementKey placementKey(std::span<const PrefixHash> hashes, std::size_t levelsUp);

/// The load of a server as known without a probe: its active requests, from load reports and local counts, divided by its slots.
[[nodiscard]] double localLoad(const ServerRow &row);

/// The wait bias of a server, decayed to the time \p now.
[[nodiscard]] Micros biasOf(const ServerRow &row, Micros now);

} // namespace Carobhall::RoutingInternal
