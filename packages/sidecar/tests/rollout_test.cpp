#define BOOST_TEST_MODULE weights_rollout
#include <boost/test/unit_test.hpp>

#include "carobhall/weights_rollout.h"

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>

using namespace Carobhall;

namespace
{

constexpr Micros Step = 50 * MicrosPerMilli;
constexpr Micros LoadTime = 380 * MicrosPerMilli;

/// A model server that takes orders, some of them late or without an answer.
struct ServerModel {
    EngineReport report{ .weightsVersion = 1, .instance = "0" };
    int starts = 0;
    Micros loadedAt = 0;
    std::uint64_t loading = 0;
    std::uint64_t lastToken = 0;
    bool tokenWentBack = false;

    OrderResult order(std::uint64_t version, std::uint64_t sequence, const std::string &instance, Micros now)
    {
        if (instance != report.instance) {
            return OrderResult::Misdirected;
        }
        tokenWentBack = tokenWentBack || version < lastToken;
        lastToken = std::max(lastToken, version);
        if (report.busy || sequence != report.sequence) {
            return OrderResult::Conflict;
        }
        // It takes any other version, also an older one: only the count of orders holds a late order back.
        if (report.weightsVersion == version) {
            return OrderResult::AlreadyHolds;
        }
        ++report.sequence;
        report.busy = true;
        loading = version;
        loadedAt = now + LoadTime;
        return OrderResult::Accepted;
    }
    void advance(Micros now)
    {
        if (report.busy && now >= loadedAt) {
            report.busy = false;
            report.weightsVersion = loading;
        }
    }
    void restart()
    {
        report.busy = false;
        report.sequence = 0;
        report.instance = std::to_string(++starts);
        lastToken = 0;
    }
};

} // namespace

// Guards against a zone that loses all its servers at once, and against more than two loads at a time.
BOOST_AUTO_TEST_CASE(wavesTakeTwoServersOfDifferentZones)
{
    std::vector<RolloutMember> members;
    for (const char *const zone : { "a", "b", "c" }) {
        for (int i = 0; i < 4; ++i) {
            const std::string id = std::string(zone) + std::to_string(i);
            members.push_back({ .id = id, .zone = zone, .address = id + ":1" });
        }
    }
    std::map<std::uint32_t, std::vector<std::string>> waves;
    for (const RolloutMember &member : members) {
        const auto wave = waveOf(members, member.address);
        BOOST_REQUIRE(wave);
        waves[*wave].push_back(member.zone);
    }
    BOOST_TEST(waves.size() == 6U);
    for (const auto &[wave, zones] : waves) {
        BOOST_TEST(zones.size() == 2U);
        BOOST_TEST(zones.front() != zones.back());
    }
    BOOST_TEST(!waveOf(members, "elsewhere:1"));
}

// Guards against a rollout that outlasts its deadline in a large fleet: with two servers a wave, 41 servers took 9.4 s of the
// 10 s that the platform allows, and requests began on weights that had been replaced.
BOOST_AUTO_TEST_CASE(aLargeFleetIsDoneInAsManyWavesAsASmallOne)
{
    for (const std::size_t count : { 41U, 120U, 1300U }) {
        std::vector<RolloutMember> members;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string id = "s" + std::to_string(i);
            members.push_back({ .id = id, .zone = "z" + std::to_string(i % 6), .address = id + ":1" });
        }
        std::map<std::uint32_t, std::size_t> waves;
        for (const RolloutMember &member : members) {
            ++waves[waveOf(members, member.address).value_or(UINT32_MAX)];
        }
        BOOST_TEST(waves.size() <= MaxWaves);
        for (const auto &[wave, size] : waves) {
            BOOST_TEST(wave < MaxWaves);
            BOOST_TEST(size <= (count + MaxWaves - 1) / MaxWaves);
        }
    }
}

// Guards against a load that rejects requests: gateways hear of it before the order, and running streams get time to end.
BOOST_AUTO_TEST_CASE(theServerClosesBeforeItsOrder)
{
    WeightsRollout rollout;
    EngineReport report{ .running = 3, .weightsVersion = 1 };
    rollout.setTarget(2, 0, 0);
    Micros closedAt = -1;
    Micros orderedAt = -1;
    for (Micros now = 0; now < 3 * MicrosPerSecond && orderedAt < 0; now += Step) {
        const RolloutStep step = rollout.step(report, now);
        if (step.closed && closedAt < 0) {
            closedAt = now;
        }
        if (step.order) {
            orderedAt = now;
        }
    }
    const RolloutOptions options;
    BOOST_TEST(closedAt >= options.closeTime);
    BOOST_TEST(orderedAt - closedAt >= options.closedTime);
    BOOST_TEST(orderedAt <= options.closeTime + options.closedTime + 4 * Step);
}

BOOST_AUTO_TEST_CASE(anIdleServerIsOrderedSoon)
{
    WeightsRollout rollout;
    rollout.setTarget(2, 0, 0);
    Micros orderedAt = -1;
    for (Micros now = 0; now < MicrosPerSecond && orderedAt < 0; now += Step) {
        if (rollout.step({ .weightsVersion = 1 }, now).order) {
            orderedAt = now;
        }
    }
    BOOST_TEST(orderedAt >= 0);
    BOOST_TEST(orderedAt <= 250 * MicrosPerMilli);
}

// Seeded state machine: versions named in quick succession, orders without answer, orders carried out late, restarts. The
// token never goes back within one life of the server, weights never go back, and the newest version is reached.
BOOST_AUTO_TEST_CASE(theNewestVersionIsReachedWhateverHappensToOrders)
{
    const bool passed = rc::check([] {
        WeightsRollout rollout;
        ServerModel server;
        struct Late {
            Micros at = 0;
            std::uint64_t version = 0;
            std::uint64_t sequence = 0;
            std::string instance;
        };
        std::deque<Late> late;
        std::uint64_t named = 1;
        std::uint64_t seen = 1;
        Micros now = 0;
        constexpr Micros Faulty = 20 * MicrosPerSecond;
        for (; now < Faulty + 15 * MicrosPerSecond; now += Step) {
            server.advance(now);
            RC_ASSERT(server.report.weightsVersion >= seen);
            seen = server.report.weightsVersion;
            const bool faults = now < Faulty;
            if (faults && *rc::gen::inRange(0, 40) == 0) {
                rollout.setTarget(++named, *rc::gen::inRange(0U, 6U), now);
            }
            if (faults && *rc::gen::inRange(0, 200) == 0) {
                server.restart();
            }
            while (!late.empty() && late.front().at <= now) {
                // Answers to late orders reach nobody.
                (void)server.order(late.front().version, late.front().sequence, late.front().instance, now);
                late.pop_front();
            }
            const RolloutStep step = rollout.step(server.report, now);
            if (!step.order) {
                continue;
            }
            const int fate = faults ? *rc::gen::inRange(0, 4) : 3;
            if (fate == 0) {
                rollout.ordered(OrderResult::Unknown, now);
            } else if (fate == 1) {
                late.push_back({ .at = now + 2 * MicrosPerSecond, .version = step.version, .sequence = step.sequence, .instance = step.instance });
                rollout.ordered(OrderResult::Unknown, now);
            } else {
                rollout.ordered(server.order(step.version, step.sequence, step.instance, now), now);
            }
        }
        RC_ASSERT(server.report.weightsVersion == named);
    });
    BOOST_TEST(passed);
}
