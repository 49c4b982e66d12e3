#pragma once

// How many requests a gateway may send to a second upstream, so that all gateways together stay under a limit without
// asking one another.
//
// The limit is per service and sliding window: ratio x requests + allowance, over the whole fleet. Each gateway spends from
// its own requests, and from its share of the allowance.

#include "carobhall/gateway_config.h"

namespace Carobhall
{

struct RepeatBudgetOptions {
    double ratio = 0.1;                   ///< Repeats for each request, from the settings.
    double allowance = 0.0;               ///< Repeats that the fleet has beyond them, from the settings.
    Micros window = 10 * MicrosPerSecond; ///< From the settings.
    double margin = 0.75;                 ///< Share of both that is used: windows slide and gateways restart with an empty record.
    std::uint32_t gateways = 8;           ///< Processes that share the allowance.
};

/// Not thread-safe.
class RepeatBudget
{
public:
    explicit RepeatBudget(const RepeatBudgetOptions &options);

    /// A caller's request for \p service arrived.
    void noteRequest(std::string_view service, Micros now);
    /// Takes one repeat. False: the request may not be sent again.
    [[nodiscard]] bool take(std::string_view service, Micros now);
    void setGateways(std::uint32_t gateways);
    [[nodiscard]] std::uint64_t taken() const;

private:
    static constexpr std::size_t Slices = 10; ///< Parts of the window; one more is kept, so that the count covers at least a window.

    struct Counts {
        std::int64_t slice = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    using Ring = std::array<Counts, Slices + 1>;

    Counts &countsAt(std::string_view service, Micros now);

    RepeatBudgetOptions options_;
    NameMap<Ring> rings_;
    std::uint64_t taken_ = 0;
};

} // namespace Carobhall
