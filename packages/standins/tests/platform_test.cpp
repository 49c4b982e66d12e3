#include <boost/test/unit_test.hpp>

#include "carobhall/standins.h"

using namespace Carobhall;
using namespace Carobhall::Standin;

namespace
{

std::string value(const std::string &spec, std::uint64_t version = 0)
{
    const std::string metadata = version == 0 ? "{}" : "{\"resourceVersion\": " + std::to_string(version) + "}";
    return "{\"metadata\": " + metadata + ", \"spec\": " + spec + "}";
}

std::uint64_t versionOf(const PlatformAnswer &answer)
{
    return answer.body["metadata"]["resourceVersion"].asUInt64();
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform)

// Guards against accepting two writes that expect the same version, so that both writers believe that their update took effect.
BOOST_AUTO_TEST_CASE(updatesAreConditional)
{
    PlatformModel model({});
    const PlatformAnswer created = model.object(0, "POST", "leases", "a", value("1"));
    BOOST_TEST(created.status == 201);
    BOOST_TEST(model.object(0, "POST", "leases", "a", value("2")).status == 409);
    const PlatformAnswer updated = model.object(0, "PUT", "leases", "a", value("3", versionOf(created)));
    BOOST_TEST(updated.status == 200);
    BOOST_TEST(versionOf(updated) > versionOf(created));
    BOOST_TEST((updated.body["metadata"]["uid"] == created.body["metadata"]["uid"]));
    BOOST_TEST(model.object(0, "PUT", "leases", "a", value("4", versionOf(created))).status == 409);
    BOOST_TEST(model.object(0, "PUT", "leases", "b", value("4", versionOf(created))).status == 404);
    BOOST_TEST(model.object(0, "GET", "leases", "a", "").body["spec"].asInt() == 3);
    BOOST_TEST(model.object(0, "DELETE", "leases", "a", "", versionOf(created)).status == 409);
    BOOST_TEST(model.object(0, "DELETE", "leases", "a", "", versionOf(updated)).status == 200);
    BOOST_TEST(model.object(0, "GET", "leases", "a", "").status == 404);
}

// Guards against dropping the answer of a write that did not take effect: the fault to simulate is a write whose answer is lost.
BOOST_AUTO_TEST_CASE(lostAnswersBelongToWritesThatTookEffect)
{
    PlatformModel model({ .loseAnswers = 1 });
    BOOST_TEST(model.object(0, "PUT", "claims", "a", value("1")).lost);
    const PlatformAnswer read = model.object(0, "GET", "claims", "a", "");
    BOOST_TEST(read.status == 200);
    BOOST_TEST(!read.lost);
    BOOST_TEST(!model.object(0, "PUT", "claims", "a", value("2")).lost);
}

// Guards against a watch that misses a change, and against one that starts at a version whose changes are no longer kept without
// getting an error.
BOOST_AUTO_TEST_CASE(watchesGetAllChangesOrAnError)
{
    PlatformModel model({ .historySize = 2 });
    const std::uint64_t first = versionOf(model.object(0, "PUT", "environments", "a", value("1")));
    model.object(0, "PUT", "leases", "x", value("1"));
    const std::uint64_t third = versionOf(model.object(0, "PUT", "environments", "a", value("2")));
    BOOST_TEST(model.openWatch(0, first).status == 200);
    BOOST_TEST(model.changes(first, "environments", "").size() == 1U);
    BOOST_TEST(model.changes(first, "environments", "").front().line["type"].asString() == "MODIFIED");
    BOOST_TEST(model.changes(third, "environments", "").empty());
    BOOST_TEST(model.openWatch(0, first - 1).status == 410);
    BOOST_TEST(model.openWatch(0, third + 1).status == 410);
}

// Guards against a stand-in that accepts more calls or larger objects than the real platform does, or calls during an outage.
BOOST_AUTO_TEST_CASE(rateLimitsSizeLimitsAndOutagesApply)
{
    PlatformModel model({ .writesPerSecond = 100.0, .maxValueBytes = 100 });
    int accepted = 0;
    for (Micros now = 0; now < MicrosPerSecond; now += MicrosPerMilli) {
        accepted += model.object(now, "PUT", "claims", "a", value("1")).status < 300 ? 1 : 0;
    }
    // The calls of one second plus the initial burst of a tenth of a second.
    BOOST_TEST(accepted >= 100);
    BOOST_TEST(accepted <= 111);
    BOOST_TEST(model.counts().writes == static_cast<std::uint64_t>(accepted));
    const Micros later = 10 * MicrosPerSecond;
    BOOST_TEST(model.object(later, "PUT", "claims", "a", value("\"" + std::string(200, 'x') + "\"")).status == 413);
    BOOST_TEST(model.object(later, "PUT", "claims", "a", "{\"metadata\": 1}").status == 400);
    model.options().outage = Outage::Refuse;
    BOOST_TEST(model.object(later, "GET", "claims", "a", "").status == 503);
}

// Guards against a VM list that ignores the configured lag, so that tests would see a more current list than on the real platform.
BOOST_AUTO_TEST_CASE(vmListLags)
{
    PlatformModel model({ .vmListLag = 1'000 });
    Json::Value vms(Json::arrayValue);
    vms.append("vm-1");
    model.setVms(5'000, vms);
    BOOST_TEST(model.vms(5'999).body["items"].empty());
    BOOST_TEST(model.vms(6'000).body["items"].size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
