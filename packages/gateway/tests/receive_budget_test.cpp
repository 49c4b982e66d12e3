#include <boost/test/unit_test.hpp>

#include "carobhall/receive_budget.h"
#include "carobhall/receive_pressure.h"

#include <algorithm>
#include <random>

// The load of clients that nobody controls: many large bodies at once, most of which stop just short of their end, beside small requests.

using namespace Carobhall;

namespace
{

constexpr std::size_t Limit = std::size_t{ 40 } << 20U;
constexpr std::size_t Large = std::size_t{ 1 } << 20U;

} // namespace

BOOST_AUTO_TEST_SUITE(ReceiveBudgetLoad)

// Guards against grants that exceed the budget, and against large requests that leave no room for small ones, over random arrivals and ends.
BOOST_AUTO_TEST_CASE(grantsStayWithinTheBudget)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        ReceiveBudget budget({ .memoryLimit = Limit });
        std::vector<ReceiveGrant> grants;
        for (int step = 0; step < 5'000; ++step) {
            const std::size_t size = random() % 3 == 0 ? 1 + random() % (std::size_t{ 4 } << 20U) : 1 + random() % budget.smallBytes();
            switch (random() % 4) {
            case 0:
            case 1:
                if (ReceiveGrant grant = budget.take(size)) {
                    grants.push_back(std::move(grant));
                }
                break;
            case 2:
                if (!grants.empty()) {
                    (void)grants[random() % grants.size()].resize(size);
                }
                break;
            default:
                if (!grants.empty()) {
                    std::swap(grants[random() % grants.size()], grants.back());
                    grants.pop_back();
                }
            }
            std::size_t held = 0;
            for (const ReceiveGrant &grant : grants) {
                held += grant.bodyBytes() * ReceiveCopies;
            }
            BOOST_REQUIRE(held == budget.held());
            // A single large request may exceed what small ones have left.
            BOOST_REQUIRE(held <= budget.limit() + (std::size_t{ 4 } << 20U) * ReceiveCopies);
        }
        grants.clear();
        BOOST_TEST(budget.held() == 0U);
    }
}

// Guards against a budget in which large bodies that stay open leave nothing to ordinary requests, and against one that no single body fits.
BOOST_AUTO_TEST_CASE(smallRequestsKeepAReserve)
{
    ReceiveBudget budget({ .memoryLimit = Limit });
    std::vector<ReceiveGrant> grants;
    while (ReceiveGrant grant = budget.take(Large)) {
        grants.push_back(std::move(grant));
    }
    BOOST_TEST(grants.size() >= 2U);
    BOOST_TEST(!budget.take(Large));
    for (int i = 0; i < 20; ++i) {
        grants.push_back(budget.take(budget.smallBytes()));
        BOOST_TEST(static_cast<bool>(grants.back()));
    }
    grants.clear();
    ReceiveBudget tiny({ .memoryLimit = std::size_t{ 1 } << 20U });
    const ReceiveGrant single = tiny.take(Large);
    BOOST_TEST(static_cast<bool>(single));
    BOOST_TEST(!tiny.take(Large));
}

// Guards against a caller that sends steadily and is closed before one that has stopped, and against requests that wait without end.
BOOST_AUTO_TEST_CASE(theSilentGiveWayFirst)
{
    constexpr Micros Now = 100 * MicrosPerSecond;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        const ReceivePressureOptions options{ .maxHeld = 4 };
        std::vector<ReceiveState> states(40);
        for (ReceiveState &state : states) {
            state = { .phase = static_cast<ReceivePhase>(random() % 4),
                      .lastBytesAt = Now - static_cast<Micros>(random() % (3 * MicrosPerSecond)),
                      .since = Now - static_cast<Micros>(random() % (6 * MicrosPerSecond)),
                      .bytes = random() % (std::size_t{ 1 } << 20U),
                      .grantedBytes = Large };
        }
        const std::vector<std::size_t> refused = bodiesToRefuse(states, Now, options);
        const auto isRefused = [&](std::size_t i) { return std::ranges::find(refused, i) != refused.end(); };
        std::size_t waiting = 0;
        for (std::size_t i = 0; i < states.size(); ++i) {
            const ReceiveState &state = states[i];
            BOOST_REQUIRE(!(isRefused(i) && (state.phase == ReceivePhase::Busy || state.phase == ReceivePhase::Idle)));
            if (state.phase == ReceivePhase::Held) {
                waiting += isRefused(i) ? 0 : 1;
                BOOST_REQUIRE((isRefused(i) || Now - state.since < options.holdLimit));
            }
            const bool isSteady = state.phase == ReceivePhase::Receiving && Now - state.lastBytesAt < options.stallTime;
            for (std::size_t other = 0; isSteady && isRefused(i) && other < states.size(); ++other) {
                const bool hasStopped = states[other].phase == ReceivePhase::Receiving && Now - states[other].lastBytesAt >= options.stallTime;
                BOOST_REQUIRE((!hasStopped || isRefused(other)));
            }
        }
        BOOST_REQUIRE(waiting <= options.maxHeld);
        const auto closed = connectionToClose(states);
        BOOST_REQUIRE(closed);
        for (const ReceiveState &state : states) {
            const bool mayClose = state.phase == ReceivePhase::Idle || state.phase == ReceivePhase::Receiving;
            BOOST_REQUIRE((!mayClose || state.lastBytesAt >= states[*closed].lastBytesAt));
        }
    }
    BOOST_TEST(!connectionToClose({}));
}

BOOST_AUTO_TEST_SUITE_END()
