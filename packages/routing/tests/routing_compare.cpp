// Compares the routing policies with each other and with an oracle that sees every cache, in virtual time.
//
//     routing_compare [guild|large] [SEEDS] [no-hot] [no-single-flight]
//
// Figures are min / median / max over the seeds. The share of avoidable tokens is that of prompt tokens that were computed
// although another reachable engine held them when the request was routed.

#include "fleet_model.h"

#include <algorithm>
#include <cstring>
#include <iomanip>
#include <iostream>

using namespace Carobhall;
using namespace Carobhall::Test;

namespace
{

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

constexpr std::array columns{ "hit %", "avoidable %", "lanes busy %", "long p50", "long p95", "long p99", "short p50", "short p95", "short p99" };
using Figures = std::array<double, columns.size()>;

Figures figuresOf(const PhaseResult &result, const FleetOptions &options)
{
    const double laneSeconds = static_cast<double>(options.engines * options.lanes) * static_cast<double>(options.phaseTime) / MicrosPerSecond;
    return { 100 * result.hit / result.pieces,
             100 * result.avoidable / result.pieces,
             100 * result.busy / laneSeconds,
             percentile(result.longTimes, 0.5),
             percentile(result.longTimes, 0.95),
             percentile(result.longTimes, 0.99),
             percentile(result.shortTimes, 0.5),
             percentile(result.shortTimes, 0.95),
             percentile(result.shortTimes, 0.99) };
}

void print(std::vector<Figures> figures)
{
    for (std::size_t column = 0; column < columns.size(); ++column) {
        std::sort(figures.begin(), figures.end(), [column](const Figures &a, const Figures &b) { return a[column] < b[column]; });
        std::cout << std::setw(22) << columns[column] << std::fixed << std::setprecision(1);
        std::cout << std::setw(9) << figures.front()[column] << std::setw(9) << figures[figures.size() / 2][column] << std::setw(9)
                  << figures.back()[column] << "\n";
    }
}

} // namespace

int main(int argc, char **argv)
{
    FleetOptions base;
    std::uint64_t seeds = 5;
    for (int i = 1; i < argc; ++i) {
        if (std::strcmp(argv[i], "large") == 0) {
            base.engines = 200;
            base.entries = 54;
            base.zones = 8;
            base.dossiers = 6'700;
            base.requestsPerSecond *= 200.0 / 12;
        } else if (std::strcmp(argv[i], "no-hot") == 0) {
            base.options.hot.maxHomes = 1;
        } else if (std::strcmp(argv[i], "no-single-flight") == 0) {
            base.singleFlight = false;
        } else if (std::atoi(argv[i]) > 0) {
            seeds = static_cast<std::uint64_t>(std::atoi(argv[i]));
        }
    }
    for (int policy = 0; policy < 5; ++policy) {
        std::array<std::vector<Figures>, PhaseCount> figures;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            FleetOptions options = base;
            options.seed = seed;
            options.oracle = policy == 4;
            options.policy = options.oracle ? PolicyKind::LeastLoaded : static_cast<PolicyKind>(policy);
            const auto results = Fleet(options).run();
            for (std::size_t phase = 1; phase < PhaseCount; ++phase) {
                figures[phase].push_back(figuresOf(results[phase], options));
            }
        }
        for (std::size_t phase = 1; phase < PhaseCount; ++phase) {
            constexpr std::array phases{ "warmup", "skew", "shift", "crash" };
            std::cout << (policy == 4 ? "oracle" : nameOf(static_cast<PolicyKind>(policy))) << ", " << phases[phase] << ": min / median / max; times in ms\n";
            print(figures[phase]);
        }
    }
    return 0;
}
