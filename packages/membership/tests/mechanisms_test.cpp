// One scenario for each mechanism. Each must hold with the mechanism and fail without it, so that none is kept for nothing.

#include <boost/test/unit_test.hpp>

#include "cluster.h"

#include <algorithm>

using namespace Carobhall;
using Test::Cluster;

namespace
{

constexpr Micros Second = MicrosPerSecond;

bool anySaw(const Cluster &cluster, MemberEventKind kind)
{
    return std::any_of(cluster.nodes.begin(), cluster.nodes.end(),
                       [kind](const auto &node) { return std::find(node.events.begin(), node.events.end(), kind) != node.events.end(); });
}

bool settle(Cluster &cluster)
{
    return cluster.runUntil([&] { return cluster.converged(); }, 20 * Second) >= 0;
}

using Scenario = bool (*)(const MembershipMechanisms &);

/// A broken path between two healthy members raises no suspicion.
bool brokenPath(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 8, .seed = 5, .mechanisms = mechanisms });
    cluster.cutPath(2, 6);
    return settle(cluster) && (cluster.run(30 * Second), !anySaw(cluster, MemberEventKind::Suspected));
}

/// A member that did not run for a moment is not declared dead.
bool shortPause(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 20, .seed = 6, .mechanisms = mechanisms });
    if (!settle(cluster)) {
        return false;
    }
    cluster.pause(5);
    cluster.run(Second * 3 / 2);
    cluster.resume(5);
    cluster.run(10 * Second);
    return anySaw(cluster, MemberEventKind::Suspected) && !anySaw(cluster, MemberEventKind::Died);
}

/// News of a leaving member is everywhere within half of the limit of 3 s.
bool quickNews(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 200, .seed = 7, .mechanisms = mechanisms });
    if (!settle(cluster)) {
        return false;
    }
    cluster.run(60 * Second);
    cluster.nodes[9].membership->leave(cluster.now());
    const Incarnation leaver = cluster.incarnationOf(9);
    const auto knows = [&](const Membership &m) { return m.find(leaver)->leaving; };
    return cluster.runUntil([&] { return cluster.countNot(knows) == 0; }, Second * 3 / 2) >= 0;
}

/// What happened on one side of a cut is known on the other side soon after it heals.
bool missedNews(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 10, .seed = 8, .regions = 2, .mechanisms = mechanisms });
    if (!settle(cluster)) {
        return false;
    }
    cluster.cutRegion(1, true);
    cluster.run(5 * Second);
    cluster.nodes[0].membership->publish({ .kind = 0, .key = 0, .value = 9, .text = "digest", .ttl = 0 }, cluster.now());
    cluster.run(60 * Second);
    cluster.cutRegion(1, false);
    const auto knows = [&](const Membership &m) { return m.fact(FactKind::ConfigVersion, 0, cluster.now()).has_value(); };
    return cluster.runUntil([&] { return cluster.countNot(knows) == 0; }, 10 * Second) >= 0;
}

/// Members beyond a broken link are unreachable, not dead, and count again as soon as it heals.
bool cutLink(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 12, .seed = 9, .regions = 2, .mechanisms = mechanisms });
    if (!settle(cluster)) {
        return false;
    }
    cluster.cutRegion(1, true);
    cluster.run(60 * Second);
    const Member *beyond = cluster.nodes[0].membership->find(cluster.incarnationOf(1));
    const bool excluded = beyond != nullptr && !beyond->usable();
    cluster.cutRegion(1, false);
    return excluded && cluster.runUntil([&] { return cluster.converged(); }, 10 * Second) >= 0 && !anySaw(cluster, MemberEventKind::Died);
}

/// A member whose VM was frozen suspects no one for the answers that it missed.
bool frozenVm(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 10, .seed = 10, .minDelay = 30 * MicrosPerMilli, .maxDelay = 60 * MicrosPerMilli, .mechanisms = mechanisms });
    if (!settle(cluster)) {
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

/// A process that takes over an address ends the row of the process before it.
bool reusedAddress(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 12, .seed = 11, .mechanisms = mechanisms });
    if (!settle(cluster)) {
        return false;
    }
    cluster.crash(3);
    cluster.restart(3);
    return cluster.runUntil([&] { return cluster.converged(); }, 10 * Second) >= 0;
}

/// Datagrams that are sent again by somebody else do not count as signs of life.
bool replayedDatagrams(const MembershipMechanisms &mechanisms)
{
    Cluster cluster({ .nodes = 8, .seed = 12, .regions = 2, .mechanisms = mechanisms });
    if (!settle(cluster)) {
        return false;
    }
    cluster.cutRegion(1, true);
    cluster.run(10 * Second);
    const auto excludes = [&] { return !cluster.nodes[0].membership->find(cluster.incarnationOf(1))->usable(); };
    const bool before = excludes();
    cluster.replayHistory();
    return before && excludes();
}

struct Row {
    const char *name;
    Scenario scenario;
    bool MembershipMechanisms::*mechanism;
};

constexpr std::array rows{
    Row{ "indirectPings", brokenPath, &MembershipMechanisms::indirectPings },
    Row{ "refutation", shortPause, &MembershipMechanisms::refutation },
    Row{ "eagerPush", quickNews, &MembershipMechanisms::eagerPush },
    Row{ "sync", missedNews, &MembershipMechanisms::sync },
    Row{ "regionReachability", cutLink, &MembershipMechanisms::regionReachability },
    Row{ "pauseDetection", frozenVm, &MembershipMechanisms::pauseDetection },
    Row{ "addressCheck", reusedAddress, &MembershipMechanisms::addressCheck },
    Row{ "replayWindow", replayedDatagrams, &MembershipMechanisms::replayWindow },
};

} // namespace

// Guards against a mechanism that no longer does its work, and against one that nothing depends on.
BOOST_AUTO_TEST_CASE(everyMechanismIsNeeded)
{
    for (const Row &row : rows) {
        MembershipMechanisms mechanisms;
        BOOST_TEST(row.scenario(mechanisms), row.name << " is on and its scenario fails");
        mechanisms.*row.mechanism = false;
        BOOST_TEST(!row.scenario(mechanisms), row.name << " is off and its scenario holds");
    }
}
