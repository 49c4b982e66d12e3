#pragma once

// Shared by the source files of the package.

#include "carobhall/routing.h"

#include <cstdlib>

namespace Carobhall::RoutingInternal
{

/// Stops the process when an invariant does not hold. Stays active in release builds: a wrong index or table must not route requests.
inline void ensure(bool condition, std::string_view invariant)
{
    if (!condition) [[unlikely]] {
        logEvent(LogLevel::Error, "invariant_violated", { { "package", "routing" }, { "invariant", invariant } });
        std::abort();
    }
}

/// Mixes two 64-bit values; every bit of both affects every bit of the result.
[[nodiscard]] constexpr std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    // The finaliser of splitmix64.
    std::uint64_t x = a ^ (b * 0x9E3779B97F4A7C15ULL);
    x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27U)) * 0x94D049BB133111EBULL;
    return x ^ (x >> 31U);
}

[[nodiscard]] std::uint64_t hashName(std::string_view name);

/// The hash that places a prompt of at least one whole piece at a level: the deepest level is 0, the next shallower one 1, and so on.
struct PlacementKey {
    std::uint32_t pieces = 0; ///< 0: there is no such level.
    PrefixHash hash = 0;
};
[[nodiscard]] PlacementKey placementKey(std::span<const PrefixHash> hashes, std::size_t levelsUp);

/// The expected wait of a row without a probe, from local counts and reports.
[[nodiscard]] double localLoad(const ServerRow &row);

[[nodiscard]] Micros biasOf(const ServerRow &row, Micros now);

} // namespace Carobhall::RoutingInternal
