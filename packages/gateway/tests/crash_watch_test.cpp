#include <boost/test/unit_test.hpp>

#include "carobhall/crash_watch.h"

#include <rapidcheck.h>

using namespace Carobhall;

namespace
{

constexpr Micros Second = MicrosPerSecond;
constexpr std::uint64_t Poison = 7;
constexpr std::uint64_t Innocent = 8;

/// A request runs on a process, the process crashes with it, and the list shows that a moment later.
void crashWith(CrashWatch &watch, Incarnation process, std::uint64_t fingerprint, Micros now)
{
    watch.noteBroken(process, fingerprint, now);
    watch.noteCrashed(process, now + 4 * Second);
}

} // namespace

// Pattern: a request that crashes each server that runs it comes again at another gateway. Guards against a fleet that loses
// one server after the other: after the second crash no gateway sends it.
BOOST_AUTO_TEST_CASE(aRequestThatCrashesServersIsRefusedByAllGateways)
{
    CrashWatch first;
    CrashWatch second;
    crashWith(first, 100, Poison, Second);
    BOOST_TEST(!first.isRefused(Poison, 6 * Second));
    second.merge(first.takeNews(6 * Second), 6 * Second);
    crashWith(second, 200, Poison, 7 * Second);
    BOOST_TEST(second.isRefused(Poison, 12 * Second));
    first.merge(second.takeNews(12 * Second), 12 * Second);
    BOOST_TEST(first.isRefused(Poison, 12 * Second));
    BOOST_TEST(!first.isRefused(Innocent, 12 * Second));
    BOOST_TEST(first.takeNews(12 * Second).empty());
}

// Guards against refusing good requests on a day with a faulty server that resets connections and stays up.
BOOST_AUTO_TEST_CASE(resetsWithoutACrashAreNoReason)
{
    CrashWatch watch;
    for (Incarnation process = 1; process < 20; ++process) {
        watch.noteBroken(process, Innocent, Second);
    }
    BOOST_TEST(!watch.isRefused(Innocent, 2 * Second));
    BOOST_TEST(watch.isEmpty());
    // The processes end much later, for a reason that has nothing to do with the request.
    for (Incarnation process = 1; process < 20; ++process) {
        watch.noteCrashed(process, 30 * Second);
    }
    BOOST_TEST(!watch.isRefused(Innocent, 30 * Second));
}

// Pattern: servers go down and up by turns under a popular request. Guards against refusing it: it has completed in between.
BOOST_AUTO_TEST_CASE(aRequestThatCompletesBetweenCrashesIsNotRefused)
{
    CrashWatch watch;
    for (Incarnation process = 1; process < 10; ++process) {
        const Micros now = static_cast<Micros>(process) * 10 * Second;
        crashWith(watch, process, Innocent, now);
        watch.noteServed(Innocent, now + 5 * Second);
    }
    BOOST_TEST(!watch.isRefused(Innocent, 100 * Second));
}

BOOST_AUTO_TEST_CASE(fingerprintsDifferByPathCallerAndBody)
{
    const std::uint64_t one = requestFingerprint("/a/1", "key", "body");
    BOOST_TEST(one == requestFingerprint("/a/1", "key", "body"));
    BOOST_TEST(one != requestFingerprint("/a/2", "key", "body"));
    BOOST_TEST(one != requestFingerprint("/a/1", "yek", "body"));
    BOOST_TEST(one != requestFingerprint("/a/1", "key", "bod"));
    BOOST_TEST(upstreamProcess("i-1", 5) != upstreamProcess("i-1", 6));
}

// Gateways hear of crashes in any order and more than once; whoever has heard all of it refuses the same requests.
BOOST_AUTO_TEST_CASE(theOrderOfNewsDoesNotMatter)
{
    const bool passed = rc::check([] {
        std::vector<CrashWatch> gateways(4);
        std::vector<std::vector<SuspectFact>> sent;
        std::map<std::uint64_t, std::set<Incarnation>> crashes;
        const int count = *rc::gen::inRange(1, 30);
        for (int i = 0; i < count; ++i) {
            CrashWatch &gateway = gateways[*rc::gen::inRange<std::size_t>(0, 4)];
            const auto fingerprint = *rc::gen::inRange<std::uint64_t>(1, 5);
            const auto process = *rc::gen::inRange<Incarnation>(1, 6);
            crashWith(gateway, process, fingerprint, Second);
            crashes[fingerprint].insert(process);
            sent.push_back(gateway.takeNews(6 * Second));
        }
        for (CrashWatch &gateway : gateways) {
            for (int i = 0; i < 3 * count; ++i) {
                gateway.merge(sent[*rc::gen::inRange<std::size_t>(0, sent.size())], 6 * Second);
            }
            for (const auto &facts : sent) {
                gateway.merge(facts, 6 * Second);
            }
            for (const auto &[fingerprint, processes] : crashes) {
                RC_ASSERT(gateway.isRefused(fingerprint, 7 * Second) == (processes.size() >= 2));
            }
        }
    });
    BOOST_TEST(passed);
}
