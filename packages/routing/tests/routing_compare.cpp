// Simulates a fleet in virtual time and compares the routing policies with each other and with an oracle that knows the exact state of
// every engine.
//
//     routing_compare [guild|large|hot] [SEEDS] [rate=N] [phase=SECONDS] [bias=SHARE] [probes=N] [no-hot] [no-single-flight] [offer-in-quotes]
//
// `rate` is the number of requests per second for 12 engines; the default is 60. `large` scales it to its 200 engines. `phase` is the
// duration of a phase, `bias` the penalty for a server that is not a home of the prefix (PolicyOptions::nonHomePenalty).
//
// Prints the minimum, median and maximum over the seeds. Avoidable tokens are prompt tokens that were computed although another
// reachable engine held them when the request was routed; they are shown as a share of all prompt tokens.

#include "fleet_model.h"

#include <algorithm>
#include <cstring>
#include <iomanip>
#include <iostream>

using namespace Carobhall;
using namespace Carobhall::Test;

namespace
{

/// The value at rank \p share, from 0 to 1, of \p values; 0 if there are none.
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
    return { 100 * result.cachedPieces / result.pieces, 100 * result.avoidablePieces / result.pieces, 100 * result.busyLaneSeconds / laneSeconds,
             percentile(result.longTimesMs, 0.5),       percentile(result.longTimesMs, 0.95),         percentile(result.longTimesMs, 0.99),
             percentile(result.shortTimesMs, 0.5),      percentile(result.shortTimesMs, 0.95),        percentile(result.shortTimesMs, 0.99) };
}

void print(std::vector<Figures> figures)
{
    for (std::size_t column = 0; column < columns.size(); ++column) {
        std::sort(figures.begin(), figures.end(), [column](const Figures &a, const Figures &b) { return a[column] < b[column]; });
        std::cout << std::setw(22) << columns[column] << std::fixed << std::setprecision(1);
        std::cout << std::setw(9) << figures.front()[column] << std::setw(9) << figures[figures.size() / 2][column] << std::setw(9) << figures.back()[column]
                  << "\n";
    }
}

constexpr std::array phases{ "warmup", "skew", "shift", "crash" };

/// Prints how the probe policy meets its targets. Each seed is compared with the same seed of the other policies.
void printTargets(const std::array<std::array<std::vector<Figures>, PhaseCount>, 5> &all, std::size_t phase)
{
    constexpr std::size_t hit = 0;
    constexpr std::size_t avoidable = 1;
    constexpr std::size_t longP99 = 5;
    const auto &probe = all[3][phase];
    const auto show = [&](const char *name, double limit, const std::function<double(std::size_t)> &value) {
        std::vector<double> values;
        for (std::size_t seed = 0; seed < probe.size(); ++seed) {
            values.push_back(value(seed));
        }
        std::sort(values.begin(), values.end());
        std::cout << std::setw(7) << phases[phase] << std::setw(40) << name << std::fixed << std::setprecision(2) << std::setw(8) << values.front()
                  << std::setw(8) << values[values.size() / 2] << std::setw(8) << values.back() << "  at most " << limit << "\n";
    };
    show("points of hit rate below the oracle", 5, [&](std::size_t seed) { return all[4][phase][seed][hit] - probe[seed][hit]; });
    show("long p99 / least-loaded", 0.5, [&](std::size_t seed) { return probe[seed][longP99] / all[1][phase][seed][longP99]; });
    show("oracle's long p99 / least-loaded", 0.5, [&](std::size_t seed) { return all[4][phase][seed][longP99] / all[1][phase][seed][longP99]; });
    show("long p99 / bounded-rendezvous", 0.8, [&](std::size_t seed) { return probe[seed][longP99] / all[2][phase][seed][longP99]; });
    show("avoidable tokens, %", 5, [&](std::size_t seed) { return probe[seed][avoidable]; });
}

} // namespace

int main(int argc, char **argv)
{
    std::cout << std::unitbuf; // Unbuffered, so that a long run shows the results of each policy at once.
    FleetOptions base;
    std::uint64_t seeds = 5;
    double scale = 1;
    for (int i = 1; i < argc; ++i) {
        if (std::strcmp(argv[i], "large") == 0) {
            base.engines = 200;
            base.entries = 54;
            base.zones = 8;
            base.dossiers = 6'700;
            scale = 200.0 / 12;
        } else if (std::strcmp(argv[i], "hot") == 0) {
            base.dossiers = 20;
            base.zipfExponent = 2.0;
            base.requestsPerSecond = 400;
        } else if (std::strncmp(argv[i], "rate=", 5) == 0) {
            base.requestsPerSecond = std::atof(argv[i] + 5);
        } else if (std::strncmp(argv[i], "phase=", 6) == 0) {
            base.phaseTime = std::atoi(argv[i] + 6) * MicrosPerSecond;
        } else if (std::strncmp(argv[i], "bias=", 5) == 0) {
            base.options.nonHomePenalty = std::atof(argv[i] + 5);
        } else if (std::strncmp(argv[i], "probes=", 7) == 0) {
            base.options.probes = static_cast<std::size_t>(std::atoi(argv[i] + 7));
        } else if (std::strcmp(argv[i], "no-hot") == 0) {
            base.options.hot.maxHomes = 1;
        } else if (std::strcmp(argv[i], "offer-in-quotes") == 0) {
            base.pendingInQuotes = true;
        } else if (std::strcmp(argv[i], "no-single-flight") == 0) {
            base.singleFlight = false;
        } else if (std::atoi(argv[i]) > 0) {
            seeds = static_cast<std::uint64_t>(std::atoi(argv[i]));
        }
    }
    base.requestsPerSecond *= scale;
    std::array<std::array<std::vector<Figures>, PhaseCount>, 5> all;
    for (std::size_t policy = 0; policy < all.size(); ++policy) {
        auto &figures = all[policy];
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
            std::cout << (policy == 4 ? "oracle" : nameOf(static_cast<PolicyKind>(policy))) << ", " << phases[phase] << ": min / median / max; times in ms\n";
            print(figures[phase]);
        }
    }
    for (std::size_t phase = 1; phase < PhaseCount; ++phase) {
        printTargets(all, phase);
    }
    return 0;
}
