// One scenario for each member of MembershipMechanisms. A scenario must succeed with the mechanism and fail without it. The
// second check finds mechanisms that no longer serve a purpose.

#include <boost/test/unit_test.hpp>

#include "cluster.h"

#include <algorithm>

using namespace Carobhall;
using Test::Cluster;

namespace
{

constexpr Micros Second = MicrosPerSecond;

bool anyNodeSaw(const Cluster &cluster, MemberEventKind kind)
{
    return std::any_of(cluster.nodes.begin(), cluster.nodes.end(),
                       [kind](const auto &node) { return std::find(node.events.begin(), node.events.end(), kind) != node.events.end(); });
}

bool waitUntilConverged(Cluster &cluster)
{
    return cluster.runUntil([&] { return cluster.converged(); }, 20 * Second) >= 0;
}

using Scenario = bool (*)(const MembershipMechanisms &);

/// A broken network path between two healthy members must not cause a suspicion.
bool brokenPath(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 8, .seed = 5, .mechanisms = mechanisms });
    cluster.blockPath(2, 6);
    return waitUntilConverged(cluster) && (cluster.run(30 * Second), !anyNodeSaw(cluster, MemberEventKind::Suspected));
}

/// A member that does not run for 1.5 s becomes a suspect, but must not be declared dead.
bool shortPause(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 20, .seed = 6, .mechanisms = mechanisms });
    if (!waitUntilConverged(cluster)) {
        return false;
    }
    cluster.pause(5);
    cluster.run(Second * 3 / 2);
    cluster.resume(5);
    cluster.run(10 * Second);
    return anyNodeSaw(cluster, MemberEventKind::Suspected) && !anyNodeSaw(cluster, MemberEventKind::Died);
}

/// All members must know that a member is leaving within 1.5 s, half of the limit of 3 s.
bool fastDissemination(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 200, .seed = 7, .mechanisms = mechanisms });
    if (!waitUntilConverged(cluster)) {
        return false;
    }
    cluster.run(60 * Second);
    cluster.nodes[9].membership->leave(cluster.now());
    const Incarnation leaver = cluster.incarnationOf(9);
    const auto knows = [&](const Membership &m) { return m.find(leaver)->leaving; };
    return cluster.runUntil([&] { return cluster.countFailing(knows) == 0; }, Second * 3 / 2) >= 0;
}

/// A fact published on one side of a network partition must be known on the other side within 10 s after the partition ends.
bool syncAfterPartition(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 10, .seed = 8, .regions = 2, .mechanisms = mechanisms });
    if (!waitUntilConverged(cluster)) {
        return false;
    }
    cluster.setRegionPartitioned(1, true);
    cluster.run(5 * Second);
    cluster.nodes[0].membership->publish({ .kind = 0, .key = 0, .value = 9, .text = "digest", .ttl = 0 }, cluster.now());
    cluster.run(60 * Second);
    cluster.setRegionPartitioned(1, false);
    const auto knows = [&](const Membership &m) { return m.fact(FactKind::ConfigVersion, 0, cluster.now()).has_value(); };
    return cluster.runUntil([&] { return cluster.countFailing(knows) == 0; }, 10 * Second) >= 0;
}

/// Members behind a broken link must become unreachable but not dead, and must be usable again within 10 s after the link works.
bool partitionedRegion(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 12, .seed = 9, .regions = 2, .mechanisms = mechanisms });
    if (!waitUntilConverged(cluster)) {
        return false;
    }
    cluster.setRegionPartitioned(1, true);
    cluster.run(60 * Second);
    const Member *remote = cluster.nodes[0].membership->find(cluster.incarnationOf(1));
    const bool excluded = remote != nullptr && !remote->usable();
    cluster.setRegionPartitioned(1, false);
    return excluded && cluster.runUntil([&] { return cluster.converged(); }, 10 * Second) >= 0 && !anyNodeSaw(cluster, MemberEventKind::Died);
}

/// A member whose VM was frozen must not suspect others because of the answers that it lost meanwhile.
bool frozenVm(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 10, .seed = 10, .minDelay = 30 * MicrosPerMilli, .maxDelay = 60 * MicrosPerMilli, .mechanisms = mechanisms });
    if (!waitUntilConverged(cluster)) {
        return false;
    }
    for (int i = 0; i < 20; ++i) {
        cluster.pause(4, true);
        cluster.run(Second * 3 / 2);
        cluster.resume(4);
        cluster.run(Second + Micros{ i } * 30 * MicrosPerMilli);
    }
    return cluster.nodes[4].membership->counters().suspicions == 0;
}

/// When a process takes over the address of a crashed one, the row of the crashed process must become dead within 10 s.
bool reusedAddress(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 12, .seed = 11, .mechanisms = mechanisms });
    if (!waitUntilConverged(cluster)) {
        return false;
    }
    cluster.crash(3);
    cluster.restart(3);
    return cluster.runUntil([&] { return cluster.converged(); }, 10 * Second) >= 0;
}

/// Datagrams replayed by a third party must not make members of an unreachable region reachable again.
bool replayedDatagrams(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 8, .seed = 12, .regions = 2, .mechanisms = mechanisms });
    if (!waitUntilConverged(cluster)) {
        return false;
    }
    cluster.setRegionPartitioned(1, true);
    cluster.run(10 * Second);
    const auto excludes = [&] { return !cluster.nodes[0].membership->find(cluster.incarnationOf(1))->usable(); };
    const bool before = excludes();
    cluster.replayHistory();
    return before && excludes();
}

struct MechanismCase {
    const char *name;
    Scenario scenario;
    bool MembershipMechanisms::*mechanism;
};

constexpr std::array cases{
    MechanismCase{ "indirectPings", brokenPath, &MembershipMechanisms::indirectPings },
    MechanismCase{ "refutation", shortPause, &MembershipMechanisms::refutation },
    MechanismCase{ "eagerPush", fastDissemination, &MembershipMechanisms::eagerPush },
    MechanismCase{ "sync", syncAfterPartition, &MembershipMechanisms::sync },
    MechanismCase{ "regionReachability", partitionedRegion, &MembershipMechanisms::regionReachability },
    MechanismCase{ "pauseDetection", frozenVm, &MembershipMechanisms::pauseDetection },
    MechanismCase{ "addressCheck", reusedAddress, &MembershipMechanisms::addressCheck },
    MechanismCase{ "replayWindow", replayedDatagrams, &MembershipMechanisms::replayWindow },
};

} // namespace

// Guards against a mechanism that no longer prevents the failure it is meant for, and against one that prevents nothing, so that
// its scenario also succeeds without it.
BOOST_AUTO_TEST_CASE(everyMechanismIsNeeded)
{
    for (const MechanismCase &test : cases) {
        MembershipMechanisms mechanisms;
        BOOST_TEST(test.scenario(mechanisms), test.name << " is enabled but its scenario fails");
        mechanisms.*test.mechanism = false;
        BOOST_TEST(!test.scenario(mechanisms), test.name << " is disabled but its scenario succeeds");
    }
}
