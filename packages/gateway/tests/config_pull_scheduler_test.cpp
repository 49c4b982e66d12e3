#include <boost/test/unit_test.hpp>

#include "carobhall/config_pull_scheduler.h"

using namespace Carobhall;

namespace
{

constexpr Micros OfferDelay = 350 * MicrosPerMilli;

} // namespace

// Guards against 41 transfers of a configuration of 2,000 routes over the link between regions, which delayed all other traffic by
// seconds. It happens when 41 peers offer a new configuration at almost the same time.
BOOST_AUTO_TEST_CASE(requestsAConfigurationFromOnePeerAtATime)
{
    ConfigPullScheduler scheduler;
    std::vector<ConnectionId> requested;
    for (Micros now = 0; now < MicrosPerSecond; now += 50 * MicrosPerMilli) {
        for (ConnectionId peer = 1; peer <= 41; ++peer) {
            scheduler.addOffer(peer, 2, peer == 7 ? Distance::SameZone : Distance::OtherRegion);
        }
        if (const auto peer = scheduler.nextPeer(1, OfferDelay, now)) {
            requested.push_back(*peer);
        }
    }
    BOOST_REQUIRE(requested.size() == 1U);
    BOOST_TEST(requested.front() == 7U);
}

// Guards against needless transfers between peers when the platform delivers the configuration itself within the offer delay.
BOOST_AUTO_TEST_CASE(doesNotRequestAConfigurationThatThePlatformDelivers)
{
    ConfigPullScheduler scheduler;
    scheduler.addOffer(1, 2, Distance::SameZone);
    BOOST_TEST(!scheduler.nextPeer(1, OfferDelay, 0));
    BOOST_TEST(!scheduler.nextPeer(2, OfferDelay, 2 * OfferDelay));
    // A process without access to the platform uses no delay.
    scheduler.addOffer(1, 3, Distance::SameZone);
    BOOST_TEST(scheduler.nextPeer(2, 0, 2 * OfferDelay).value_or(0) == 1U);
}

// Guards against waiting forever for a peer that hangs, is unreachable or has exited.
BOOST_AUTO_TEST_CASE(requestsFromAnotherPeerAfterATimeoutOrDisconnect)
{
    ConfigPullScheduler scheduler;
    scheduler.addOffer(1, 2, Distance::SameZone);
    scheduler.addOffer(2, 2, Distance::SameRegion);
    scheduler.addOffer(3, 2, Distance::OtherRegion);
    BOOST_TEST(scheduler.nextPeer(1, 0, 0).value_or(0) == 1U);
    scheduler.removePeer(1);
    BOOST_TEST(scheduler.nextPeer(1, 0, 1).value_or(0) == 2U);
    BOOST_TEST(!scheduler.nextPeer(1, 0, MicrosPerSecond));
    BOOST_TEST(scheduler.nextPeer(1, 0, 2 * MicrosPerSecond).value_or(0) == 3U);
}

// Guards against a pending request that blocks the next one: a newer version is offered while an older one is being transferred.
BOOST_AUTO_TEST_CASE(requestsANewerVersionAfterTheOlderOneHasArrived)
{
    ConfigPullScheduler scheduler;
    scheduler.addOffer(1, 2, Distance::SameZone);
    BOOST_TEST(scheduler.nextPeer(1, 0, 0).value_or(0) == 1U);
    scheduler.addOffer(1, 3, Distance::SameZone);
    scheduler.addOffer(2, 3, Distance::SameRegion);
    BOOST_TEST(!scheduler.nextPeer(1, 0, 10));
    BOOST_TEST(scheduler.nextPeer(2, 0, 20).value_or(0) == 1U);
}
