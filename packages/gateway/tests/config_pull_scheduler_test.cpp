#include <boost/test/unit_test.hpp>

#include "carobhall/config_pull_scheduler.h"

using namespace Carobhall;

namespace
{

constexpr Micros Patience = 350 * MicrosPerMilli;

} // namespace

// Pattern: a configuration of 2,000 routes reaches some gateways, and 41 peers offer it within a moment. Guards against 41 copies
// over the link between regions, which delayed everything else by seconds.
BOOST_AUTO_TEST_CASE(aConfigurationIsAskedOfOnePeerAtATime)
{
    ConfigPullScheduler pulls;
    std::vector<ConnectionId> asked;
    for (Micros now = 0; now < MicrosPerSecond; now += 50 * MicrosPerMilli) {
        for (ConnectionId peer = 1; peer <= 41; ++peer) {
            pulls.addOffer(peer, 2, peer == 7 ? Distance::SameZone : Distance::OtherRegion);
        }
        if (const auto peer = pulls.nextPeer(1, Patience, now)) {
            asked.push_back(*peer);
        }
    }
    BOOST_REQUIRE(asked.size() == 1U);
    BOOST_TEST(asked.front() == 7U);
}

BOOST_AUTO_TEST_CASE(nobodyIsAskedForWhatThePlatformDelivers)
{
    ConfigPullScheduler pulls;
    pulls.addOffer(1, 2, Distance::SameZone);
    BOOST_TEST(!pulls.nextPeer(1, Patience, 0));
    BOOST_TEST(!pulls.nextPeer(2, Patience, 2 * Patience));
    // A process that the platform turns away asks at once.
    pulls.addOffer(1, 3, Distance::SameZone);
    BOOST_TEST(pulls.nextPeer(2, 0, 2 * Patience).value_or(0) == 1U);
}

// Guards against waiting forever for a peer that hangs, was cut off or has ended.
BOOST_AUTO_TEST_CASE(anotherPeerIsAskedWhenOneDoesNotAnswer)
{
    ConfigPullScheduler pulls;
    pulls.addOffer(1, 2, Distance::SameZone);
    pulls.addOffer(2, 2, Distance::SameRegion);
    pulls.addOffer(3, 2, Distance::OtherRegion);
    BOOST_TEST(pulls.nextPeer(1, 0, 0).value_or(0) == 1U);
    pulls.removePeer(1);
    BOOST_TEST(pulls.nextPeer(1, 0, 1).value_or(0) == 2U);
    BOOST_TEST(!pulls.nextPeer(1, 0, MicrosPerSecond));
    BOOST_TEST(pulls.nextPeer(1, 0, 2 * MicrosPerSecond).value_or(0) == 3U);
}

BOOST_AUTO_TEST_CASE(aNewerVersionIsAskedForAfterTheOlderOneHasArrived)
{
    ConfigPullScheduler pulls;
    pulls.addOffer(1, 2, Distance::SameZone);
    BOOST_TEST(pulls.nextPeer(1, 0, 0).value_or(0) == 1U);
    pulls.addOffer(1, 3, Distance::SameZone);
    pulls.addOffer(2, 3, Distance::SameRegion);
    BOOST_TEST(!pulls.nextPeer(1, 0, 10));
    BOOST_TEST(pulls.nextPeer(2, 0, 20).value_or(0) == 1U);
}
