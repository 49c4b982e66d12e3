// Random schedules of faults with invariants that hold at every moment, and agreement after the faults have ended.

#include <boost/test/unit_test.hpp>

#include "cluster.h"

#include <rapidcheck.h>

using namespace Carobhall;
using Test::Cluster;

namespace
{

constexpr Micros Second = MicrosPerSecond;

/// What each process has seen of each member. Nothing of it may go back.
class Watcher
{
public:
    explicit Watcher(Cluster &cluster)
        : cluster_(cluster)
    {
    }

    void check()
    {
        for (const auto &node : cluster_.nodes) {
            if (!node.running || node.paused) {
                continue;
            }
            const Membership &membership = *node.membership;
            const Incarnation observer = membership.self().info.incarnation;
            RC_ASSERT(!membership.self().leaving || membership.self().state == MemberState::Leaving);
            for (const Member &member : membership.members()) {
                Seen &seen = seen_[{ observer, member.info.incarnation }];
                RC_ASSERT(member.revision >= seen.revision);
                RC_ASSERT(member.leaving || !seen.leaving);
                RC_ASSERT(member.info.configVersion >= seen.configVersion);
                seen = { .revision = member.revision, .leaving = member.leaving, .configVersion = member.info.configVersion };
            }
            const auto fact = membership.fact(FactKind::ConfigVersion, 0, cluster_.now());
            std::uint64_t &known = facts_[observer];
            RC_ASSERT(!fact || fact->value >= known);
            RC_ASSERT(fact || known == 0);
            known = fact ? fact->value : 0;
        }
    }

private:
    struct Seen {
        std::uint32_t revision = 0;
        bool leaving = false;
        std::uint64_t configVersion = 0;
    };
    Cluster &cluster_;
    std::map<std::pair<Incarnation, Incarnation>, Seen> seen_;
    std::map<Incarnation, std::uint64_t> facts_;
};

void act(Cluster &cluster, std::size_t node, int action, std::uint64_t &version)
{
    auto &row = cluster.nodes[node];
    switch (action) {
    case 0:
        cluster.crash(node);
        break;
    case 1:
    case 2:
        // Also while it runs: a supervisor starts the next process at the same address at once.
        cluster.restart(node);
        break;
    case 3:
        cluster.pause(node, true);
        break;
    case 4:
        cluster.pause(node);
        break;
    case 5:
        cluster.resume(node);
        break;
    case 6:
        cluster.cutRegion(node % 2, true);
        break;
    case 7:
        cluster.cutRegion(node % 2, false);
        break;
    case 8:
        if (row.running && !row.paused) {
            row.membership->publish({ .kind = 0, .key = 0, .value = ++version, .text = {}, .ttl = 0 }, cluster.now());
            row.membership->updateSelf([&](MemberInfo &self) { self.configVersion = version; }, cluster.now());
        }
        break;
    case 9:
        if (row.running && !row.paused) {
            row.membership->updateSelf([](MemberInfo &self) { ++self.upstreamIncarnation; }, cluster.now());
        }
        break;
    case 10:
        cluster.replayHistory();
        break;
    case 11:
        if (row.running && !row.paused) {
            row.membership->leave(cluster.now());
        }
        break;
    default:
        break;
    }
}

} // namespace

// Guards against statements that go back, and against tables that disagree for good after any sequence of faults.
BOOST_AUTO_TEST_CASE(tablesAgreeAfterAnyFaults)
{
    const bool ok = rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto nodes = *rc::gen::inRange<std::size_t>(4, 24);
        const double loss = *rc::gen::inRange(0, 30) / 100.0;
        const Micros delay = *rc::gen::inRange(1, 120) * MicrosPerMilli;
        Cluster cluster({ .nodes = nodes, .seed = seed, .loss = loss, .duplication = 0.1, .minDelay = 500, .maxDelay = delay, .regions = 2 });
        Watcher watcher(cluster);
        std::uint64_t version = 0;
        const auto steps = *rc::gen::container<std::vector<std::tuple<std::size_t, int, int>>>(
            rc::gen::tuple(rc::gen::inRange<std::size_t>(0, nodes), rc::gen::inRange(0, 14), rc::gen::inRange(0, 40)));
        const auto watch = [&] {
            watcher.check();
            return false;
        };
        for (const auto &[node, action, tenths] : steps) {
            act(cluster, node, action, version);
            cluster.runUntil(watch, tenths * Second / 10);
        }
        for (std::size_t i = 0; i < nodes; ++i) {
            cluster.resume(i);
            cluster.cutRegion(i % 2, false);
            if (!cluster.nodes[i].running || cluster.nodes[i].membership->self().leaving) {
                cluster.restart(i);
            }
        }
        cluster.setLoss(0);
        const auto agreed = [&] {
            watcher.check();
            return cluster.converged();
        };
        RC_ASSERT(cluster.runUntil(agreed, 40 * Second) >= 0);
        // Once agreed, and without faults, nobody is suspected any more.
        cluster.runUntil(watch, 5 * Second);
        RC_ASSERT(cluster.converged());
    });
    BOOST_TEST(ok);
}
