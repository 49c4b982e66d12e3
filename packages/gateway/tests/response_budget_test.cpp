// Tests of ResponseBudget without a network.

#include <boost/test/unit_test.hpp>

#include "carobhall/response_budget.h"

#include <algorithm>
#include <cstdlib>
#include <random>
#include <vector>

using namespace Carobhall;

namespace
{

constexpr std::size_t ReadBytes = std::size_t{ 64 } << 10U;
constexpr std::size_t ResponseLimit = std::size_t{ 4 } << 20U;

struct SimulatedResponse {
    std::size_t toReceive = 0;
    std::size_t held = 0;
    std::size_t readsPerTick = 0; ///< Speed of the upstream.
    std::size_t takenPerTick = 0; ///< Speed of the caller.
    bool isForwarding = false;    ///< Its caller gets bytes before all are received.
    unsigned pausedTicks = 0;     ///< In the current pause.
};

} // namespace

// Guards against a sum without a bound, and against a response that is paused for longer than its caller needs to take a window.
BOOST_AUTO_TEST_CASE(theBytesHeldAreBoundedAndEachPauseEnds)
{
    const char *const count = std::getenv("CAROBHALL_SEEDS");
    const std::uint64_t seeds = count != nullptr ? std::strtoull(count, nullptr, 10) : 40;
    std::size_t tightRuns = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed);
            const ResponseBudgetOptions options{ .memoryLimit = (std::size_t{ 64 } + random() % 64) << 20U };
            ResponseBudget budget(options);
            std::vector<SimulatedResponse> responses;
            bool wasTight = false;
            const std::size_t rising = 100 + random() % 300;
            for (std::size_t tick = 0; tick < rising || !responses.empty(); ++tick) {
                BOOST_REQUIRE(tick < 200'000);
                if (tick < rising && random() % 2 == 0) {
                    responses.push_back(
                        { .toReceive = 1 + random() % ResponseLimit, .readsPerTick = 1 + random() % 64, .takenPerTick = 1'000 + random() % 100'000 });
                }
                // Reads of all responses, in any order.
                for (std::size_t round = 0; round < 64; ++round) {
                    std::ranges::shuffle(responses, random);
                    for (SimulatedResponse &response : responses) {
                        if (round >= response.readsPerTick || response.toReceive == 0) {
                            continue;
                        }
                        response.isForwarding = response.isForwarding || (budget.isTight() && response.held > budget.window());
                        if (response.isForwarding && response.held > budget.window()) {
                            continue;
                        }
                        const std::size_t bytes = std::min(ReadBytes, response.toReceive);
                        response.toReceive -= bytes;
                        response.held += bytes;
                        budget.noteReceived(bytes);
                        wasTight = wasTight || budget.isTight();
                    }
                }
                std::size_t sum = 0;
                for (const SimulatedResponse &response : responses) {
                    sum += response.held;
                }
                // The response that passes the watermark may do so by one read.
                BOOST_REQUIRE(sum <= budget.highWatermark() + ReadBytes + responses.size() * (options.tightWindow + ReadBytes));
                for (SimulatedResponse &response : responses) {
                    if (response.toReceive == 0 || response.isForwarding) {
                        response.held -= std::min(response.held, response.takenPerTick);
                    }
                    const bool paused = response.isForwarding && response.held > budget.window();
                    response.pausedTicks = paused ? response.pausedTicks + 1 : 0;
                    BOOST_REQUIRE(response.pausedTicks <= ResponseLimit / response.takenPerTick + 1);
                }
                std::erase_if(responses, [](const SimulatedResponse &response) { return response.toReceive == 0 && response.held == 0; });
                std::size_t held = 0;
                for (const SimulatedResponse &response : responses) {
                    held += response.held;
                }
                budget.setHeld(held);
            }
            BOOST_TEST(!budget.isTight());
            BOOST_TEST(budget.window() == options.normalWindow);
            tightRuns += wasTight ? 1 : 0;
        }
    }
    BOOST_TEST(tightRuns > seeds / 4);
}

// Guards against a window that changes with each byte around one watermark.
BOOST_AUTO_TEST_CASE(theBudgetIsRelievedBelowTheLowWatermark)
{
    ResponseBudget budget({ .memoryLimit = 1'000'000, .highShare = 0.5, .lowShare = 0.25, .normalWindow = 100, .tightWindow = 10 });
    budget.noteReceived(500'000);
    BOOST_TEST(budget.window() == 100U);
    budget.noteReceived(1);
    BOOST_TEST(budget.window() == 10U);
    budget.setHeld(250'001);
    BOOST_TEST(budget.isTight());
    budget.setHeld(250'000);
    BOOST_TEST(!budget.isTight());
    BOOST_TEST(budget.held() == 250'000U);
}
