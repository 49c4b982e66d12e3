#define BOOST_TEST_MODULE watch_pacing
#include <boost/test/unit_test.hpp>

#include "carobhall/watch_pacing.h"

#include <algorithm>
#include <vector>

using namespace Carobhall;

namespace
{

struct Fleet {
    double callsPerSecond = 0.0; ///< Of all processes, without any change in the store.
    Micros worstGap = 0;         ///< Longest time without the end of a wait in the whole fleet.
};

/// Plays idle watches of a fleet. All processes begin at the same time, as after a change that ends all waits.
Fleet play(WatchPacing pacing, Micros duration)
{
    std::mt19937_64 generator(20261204);
    std::vector<Micros> ends;
    for (std::uint32_t process = 0; process < pacing.processes; ++process) {
        for (Micros at = watchWait(pacing, generator); at < duration; at += watchWait(pacing, generator)) {
            ends.push_back(at);
        }
    }
    std::ranges::sort(ends);
    Fleet fleet{ .callsPerSecond = static_cast<double>(ends.size()) * MicrosPerSecond / static_cast<double>(duration) };
    Micros last = 0;
    for (const Micros end : ends) {
        fleet.worstGap = std::max(fleet.worstGap, end - last);
        last = end;
    }
    return fleet;
}

} // namespace

// Load pattern: a quiet day of a large fleet. Guards against calls of the store that grow with the fleet as fast as its processes:
// more than six times as many processes make less than twice the calls per second of one that waits 12 s.
BOOST_AUTO_TEST_CASE(idleWatchesOfALargeFleetCostFewCalls)
{
    const Fleet large = play({ .processes = 103 }, 600 * MicrosPerSecond);
    BOOST_TEST(large.callsPerSecond < 2.0 * 103.0 / 12.0);
}

// Guards against changes that stay unknown after a loss of history because all processes wait for a long time: somewhere in the fleet
// a wait ends early enough to pass the change on within the time that the platform allows, also right after all waits began together.
BOOST_AUTO_TEST_CASE(someProcessReadsAnewSoonInAFleetOfAnySize)
{
    // The shortest configApplyMs plus maxStretchMs of the users' sites, less the time to pass a configuration on.
    constexpr Micros TimeToApply = 2'500 * MicrosPerMilli + 6'000 * MicrosPerMilli;
    constexpr Micros TimeToPassOn = MicrosPerSecond;
    for (const std::uint32_t processes : { 1U, 6U, 7U, 12U, 22U, 29U, 103U, 350U }) {
        const WatchPacing pacing{ .processes = processes };
        const Fleet fleet = play(pacing, 120 * MicrosPerSecond);
        BOOST_TEST_CONTEXT("processes " << processes)
        {
            BOOST_TEST(fleet.worstGap <= TimeToApply - TimeToPassOn);
        }
    }
}

// Guards against a small fleet, or one without links between its processes, that waits longer than the shortest wait.
BOOST_AUTO_TEST_CASE(aSmallFleetUsesTheShortestWait)
{
    std::mt19937_64 generator(1);
    for (const std::uint32_t processes : { 0U, 1U, 6U }) {
        BOOST_TEST(watchWait({ .processes = processes }, generator) == 3 * MicrosPerSecond);
    }
}
