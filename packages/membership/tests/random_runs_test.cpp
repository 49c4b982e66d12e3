// Property test with random sequences of faults. Some invariants must hold at all times, and the tables must agree after the
// faults have ended.

#include <boost/test/unit_test.hpp>

#include "cluster.h"

#include <rapidcheck.h>

using namespace Carobhall;
using Test::Cluster;

namespace
{

constexpr Micros Second = MicrosPerSecond;

/// Records what each process has seen of each member and of the configuration version, and checks that none of it reverts to an
/// earlier state.
class MonotonicityChecker
{
public:
    explicit MonotonicityChecker(Cluster &cluster)
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

void applyAction(Cluster &cluster, std::size_t node, int action, std::uint64_t &version)
{
    auto &target = cluster.nodes[node];
    switch (action) {
    case 0:
        cluster.crash(node);
        break;
    case 1:
    case 2:
        // Also while the process runs: a supervisor may start the next process at the same address at once.
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
        cluster.setRegionPartitioned(node % 2, true);
        break;
    case 7:
        cluster.setRegionPartitioned(node % 2, false);
        break;
    case 8:
        if (target.running && !target.paused) {
            target.membership->publish({ .kind = 0, .key = 0, .value = ++version, .text = {}, .ttl = 0 }, cluster.now());
            target.membership->updateSelf([&](MemberInfo &self) { self.configVersion = version; }, cluster.now());
        }
        break;
    case 9:
        if (target.running && !target.paused) {
            target.membership->updateSelf([](MemberInfo &self) { ++self.upstreamIncarnation; }, cluster.now());
        }
        break;
    case 10:
        cluster.replayHistory();
        break;
    case 11:
        if (target.running && !target.paused) {
            target.membership->leave(cluster.now());
        }
        break;
    default:
        break;
    }
}

} // namespace

// Guards against state that reverts (revision, leaving, configuration version) and against tables that still disagree 40 s after
// the end of the faults. The random faults are crashes, restarts, pauses, region partitions, replays, and
// lost, delayed and duplicated datagrams. Members also leave and change their rows and the configuration version meanwhile.
BOOST_AUTO_TEST_CASE(tablesAgreeAfterAnyFaults)
{
    const bool ok = rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto nodes = *rc::gen::inRange<std::size_t>(4, 24);
        const double loss = *rc::gen::inRange(0, 30) / 100.0;
        const Micros delay = *rc::gen::inRange(1, 120) * MicrosPerMilli;
        Cluster cluster({ .nodes = nodes, .seed = seed, .loss = loss, .duplication = 0.1, .minDelay = 500, .maxDelay = delay, .regions = 2 });
        MonotonicityChecker checker(cluster);
        std::uint64_t version = 0;
        const auto steps = *rc::gen::container<std::vector<std::tuple<std::size_t, int, int>>>(
            rc::gen::tuple(rc::gen::inRange<std::size_t>(0, nodes), rc::gen::inRange(0, 14), rc::gen::inRange(0, 40)));
        const auto checkInvariants = [&] {
            checker.check();
            return false;
        };
        for (const auto &[node, action, tenths] : steps) {
            applyAction(cluster, node, action, version);
            cluster.runUntil(checkInvariants, tenths * Second / 10);
        }
        for (std::size_t i = 0; i < nodes; ++i) {
            cluster.resume(i);
            cluster.setRegionPartitioned(i % 2, false);
            if (!cluster.nodes[i].running || cluster.nodes[i].membership->self().leaving) {
                cluster.restart(i);
            }
        }
        cluster.setLoss(0);
        const auto agreed = [&] {
            checker.check();
            return cluster.converged();
        };
        RC_ASSERT(cluster.runUntil(agreed, 40 * Second) >= 0);
        // Once the tables agree and there are no faults, no further suspicions may arise.
        cluster.runUntil(checkInvariants, 5 * Second);
        RC_ASSERT(cluster.converged());
    });
    BOOST_TEST(ok);
}
