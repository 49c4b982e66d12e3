#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>

#include "carobhall/membership_udp.h"
#include "cluster.h"

#include <algorithm>
#include <glib.h>
#include <rapidcheck.h>

using namespace Carobhall;
using Test::Cluster;

namespace
{

constexpr Micros Second = MicrosPerSecond;

bool sawEvent(const Cluster &cluster, std::size_t node, MemberEventKind kind)
{
    const auto &events = cluster.nodes[node].events;
    return std::find(events.begin(), events.end(), kind) != events.end();
}

} // namespace

// Guards against members that never learn of each other. All 50 nodes start at once and know only three seed addresses.
BOOST_AUTO_TEST_CASE(membersJoinThroughSeeds)
{
    Cluster cluster({ .nodes = 50, .seed = 2 });
    BOOST_TEST(cluster.runUntil([&] { return cluster.converged(); }, 5 * Second) >= 0);
}

// Guards against crashed members that stay in the tables: after a crash the other members must declare the member dead.
BOOST_AUTO_TEST_CASE(crashedMembersDie)
{
    Cluster cluster({ .nodes = 20, .seed = 3 });
    BOOST_REQUIRE(cluster.runUntil([&] { return cluster.converged(); }, 5 * Second) >= 0);
    cluster.crash(7);
    BOOST_TEST(cluster.runUntil([&] { return cluster.converged(); }, 15 * Second) >= 0);
    BOOST_TEST(sawEvent(cluster, 3, MemberEventKind::Died));
}

// Guards against new work for a member that is shutting down (invariant I7), which happens while some processes have not
// received its announcement. With 5% datagram loss, all 50 members must know of it within 3 s.
BOOST_AUTO_TEST_CASE(leavingIsDisseminated)
{
    Cluster cluster({ .nodes = 50, .seed = 4, .loss = 0.05 });
    BOOST_REQUIRE(cluster.runUntil([&] { return cluster.converged(); }, 10 * Second) >= 0);
    cluster.nodes[9].membership->leave(cluster.now());
    const Incarnation leaver = cluster.incarnationOf(9);
    const auto allKnow = [&] { return cluster.countFailing([&](const Membership &m) { return m.find(leaver) != nullptr && m.find(leaver)->leaving; }) == 0; };
    BOOST_TEST(cluster.runUntil(allKnow, 3 * Second) >= 0);
}

// Guards against accepting datagrams that were sealed with another key or modified in transit, and against a key rotation in
// which datagrams sealed with the previous key are rejected.
BOOST_AUTO_TEST_CASE(datagramsAreAuthenticated)
{
    FleetKeys one;
    one.entries.push_back({ .id = 1, .key = {} });
    FleetKeys two = one;
    two.entries.front().key[0] = 1;
    const std::string sealed = sealDatagram("payload", one);
    BOOST_TEST((openDatagram(sealed, one) == "payload"));
    BOOST_TEST(!openDatagram(sealed, two).has_value());
    for (std::size_t i = 0; i < sealed.size(); ++i) {
        std::string altered = sealed;
        altered[i] = static_cast<char>(altered[i] ^ 1);
        BOOST_TEST(!openDatagram(altered, one).has_value());
    }
    FleetKeys both;
    both.entries.push_back({ .id = 2, .key = { 7 } });
    both.entries.push_back(one.entries.front());
    BOOST_TEST((openDatagram(sealed, both) == "payload"));
}

// Guards against a MembershipUdp that does not send, receive or authenticate datagrams on real sockets. Two processes with the
// same key must find each other; a third one with another key must be rejected. Binding a port in use must fail.
BOOST_AUTO_TEST_CASE(udpMembersFindEachOtherOnLoopback)
{
    FleetKeys keys;
    keys.entries.push_back({ .id = 1, .key = { 5 } });
    const auto optionsFor = [&](const std::string &name, Incarnation incarnation, std::vector<std::string> seeds) {
        MembershipUdpOptions options;
        options.keys = keys;
        options.membership.self.name = name;
        options.membership.self.incarnation = incarnation;
        options.membership.seeds = std::move(seeds);
        return options;
    };
    MembershipUdp first(optionsFor("first", 11, {}));
    BOOST_REQUIRE(!first.start("127.0.0.1:0"));
    const std::string seed = "127.0.0.1:" + std::to_string(first.port());
    MembershipUdp second(optionsFor("second", 12, { seed }));
    BOOST_REQUIRE(!second.start("127.0.0.1:0"));
    MembershipUdp otherKey([&] {
        auto options = optionsFor("stranger", 13, { seed });
        options.keys.entries.front().key[0] = 6;
        return options;
    }());
    BOOST_REQUIRE(!otherKey.start("127.0.0.1:0"));
    const Micros limit = monotonicNow() + 5 * Second;
    while ((first.membership().aliveCount() < 2 || second.membership().aliveCount() < 2 || first.rejectedDatagrams() == 0) && monotonicNow() < limit) {
        g_main_context_iteration(nullptr, FALSE);
    }
    BOOST_TEST(first.membership().aliveCount() == 2);
    BOOST_TEST(second.membership().aliveCount() == 2);
    BOOST_TEST(first.rejectedDatagrams() > 0);
    BOOST_TEST(otherKey.membership().aliveCount() == 1);
    MembershipUdp taken(optionsFor("taken", 14, {}));
    BOOST_TEST((taken.start(seed) == std::errc::address_in_use));
}
