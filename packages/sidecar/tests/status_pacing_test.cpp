// Tests of the message rates between sidecars and gateways, without a network.

#include <boost/test/unit_test.hpp>

#include "carobhall/status_pacing.h"

using namespace Carobhall;

namespace
{

double messagesPerSecond(StatusUrgency urgency, std::size_t gateways)
{
    return static_cast<double>(gateways) * MicrosPerSecond / static_cast<double>(statusInterval(urgency, gateways));
}

} // namespace

// Load pattern: steady traffic on every engine of a fleet of hundreds of machines. Guards against messages that grow with the product
// of sidecars and gateways: what a sidecar sends, and what a gateway receives per engine, stay bounded.
BOOST_AUTO_TEST_CASE(aSidecarSendsABoundedNumberOfStatusesInAnyFleet)
{
    constexpr double MaxMessagesPerSecond = 400.0;
    for (const std::size_t gateways : { 4U, 22U, 29U, 103U, 350U }) {
        BOOST_TEST_CONTEXT("gateways " << gateways)
        {
            BOOST_TEST(messagesPerSecond(StatusUrgency::Changed, gateways) <= MaxMessagesPerSecond);
            BOOST_TEST(messagesPerSecond(StatusUrgency::Changed, gateways) / static_cast<double>(gateways) <= 1e6 / 120'000.0 + 0.01);
        }
    }
}

// Load pattern: one gateway gets a burst of long prompts. Guards against other gateways that learn of it too late, and against a
// storm of messages in a large fleet.
BOOST_AUTO_TEST_CASE(moreDemandIsReportedSoonerThanOtherChanges)
{
    for (const std::size_t gateways : { 1U, 6U, 29U, 103U, 350U }) {
        BOOST_TEST_CONTEXT("gateways " << gateways)
        {
            BOOST_TEST(statusInterval(StatusUrgency::Demand, gateways) < statusInterval(StatusUrgency::Changed, gateways));
            BOOST_TEST(statusInterval(StatusUrgency::Demand, gateways) <= 250 * MicrosPerMilli);
        }
    }
    BOOST_TEST(statusInterval(StatusUrgency::Demand, 6) == 20 * MicrosPerMilli);
}

// Guards against links that a gateway takes for dead because the sidecar's interval exceeds the heartbeat.
BOOST_AUTO_TEST_CASE(noIntervalExceedsTheHeartbeat)
{
    for (std::size_t gateways = 0; gateways < 5'000; gateways += 50) {
        BOOST_TEST(statusInterval(StatusUrgency::Changed, gateways) <= MaxStatusInterval);
        BOOST_TEST(statusInterval(StatusUrgency::Idle, gateways) <= MaxStatusInterval);
    }
}
