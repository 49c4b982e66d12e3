#include <boost/test/unit_test.hpp>

#include "carobhall/poison_request_detector.h"

#include <rapidcheck.h>

using namespace Carobhall;

namespace
{

constexpr Micros Second = MicrosPerSecond;
constexpr std::uint64_t Poison = 7;
constexpr std::uint64_t Harmless = 8;

/// A request is in flight when its process crashes. The platform's list shows the end of the process 4 s later.
void crashDuringRequest(PoisonRequestDetector &detector, Incarnation process, std::uint64_t fingerprint, Micros now)
{
    detector.noteConnectionLost(process, fingerprint, now);
    detector.noteProcessCrashed(process, now + 4 * Second);
}

} // namespace

// Guards against losing one server after the other to a request that crashes each server and is sent again through other gateways:
// after the second crash every gateway blocks it.
BOOST_AUTO_TEST_CASE(aRequestThatCrashesServersIsBlockedByAllGateways)
{
    PoisonRequestDetector first;
    PoisonRequestDetector second;
    crashDuringRequest(first, 100, Poison, Second);
    BOOST_TEST(!first.isBlocked(Poison, 6 * Second));
    second.merge(first.takeNewFacts(6 * Second), 6 * Second);
    crashDuringRequest(second, 200, Poison, 7 * Second);
    BOOST_TEST(second.isBlocked(Poison, 12 * Second));
    first.merge(second.takeNewFacts(12 * Second), 12 * Second);
    BOOST_TEST(first.isBlocked(Poison, 12 * Second));
    BOOST_TEST(!first.isBlocked(Harmless, 12 * Second));
    BOOST_TEST(first.takeNewFacts(12 * Second).empty());
}

// Guards against blocking harmless requests because of a faulty server that resets connections but does not crash.
BOOST_AUTO_TEST_CASE(connectionResetsWithoutACrashBlockNothing)
{
    PoisonRequestDetector detector;
    for (Incarnation process = 1; process < 20; ++process) {
        detector.noteConnectionLost(process, Harmless, Second);
    }
    BOOST_TEST(!detector.isBlocked(Harmless, 2 * Second));
    BOOST_TEST(detector.isEmpty());
    // The processes end much later, for an unrelated reason.
    for (Incarnation process = 1; process < 20; ++process) {
        detector.noteProcessCrashed(process, 30 * Second);
    }
    BOOST_TEST(!detector.isBlocked(Harmless, 30 * Second));
}

// Guards against blocking a frequent request that happens to be in flight whenever a server crashes for another reason: it
// completes between the crashes.
BOOST_AUTO_TEST_CASE(aRequestThatCompletesBetweenCrashesIsNotBlocked)
{
    PoisonRequestDetector detector;
    for (Incarnation process = 1; process < 10; ++process) {
        const Micros now = static_cast<Micros>(process) * 10 * Second;
        crashDuringRequest(detector, process, Harmless, now);
        detector.noteCompleted(Harmless, now + 5 * Second);
    }
    BOOST_TEST(!detector.isBlocked(Harmless, 100 * Second));
}

// Guards against blocking other requests together with a poison request because their fingerprints collide.
BOOST_AUTO_TEST_CASE(fingerprintsDifferByPathCallerAndBody)
{
    const std::uint64_t one = requestFingerprint("/a/1", "key", "body");
    BOOST_TEST(one == requestFingerprint("/a/1", "key", "body"));
    BOOST_TEST(one != requestFingerprint("/a/2", "key", "body"));
    BOOST_TEST(one != requestFingerprint("/a/1", "yek", "body"));
    BOOST_TEST(one != requestFingerprint("/a/1", "key", "bod"));
    BOOST_TEST(upstreamIncarnation("i-1", 5) != upstreamIncarnation("i-1", 6));
}

// Guards against gateways that disagree on blocked requests because they received facts in different orders or more than once.
BOOST_AUTO_TEST_CASE(gatewaysConvergeRegardlessOfTheOrderOfFacts)
{
    const bool passed = rc::check([] {
        std::vector<PoisonRequestDetector> gateways(4);
        std::vector<std::vector<SuspectFact>> sent;
        std::map<std::uint64_t, std::set<Incarnation>> crashes;
        const int count = *rc::gen::inRange(1, 30);
        for (int i = 0; i < count; ++i) {
            PoisonRequestDetector &gateway = gateways[*rc::gen::inRange<std::size_t>(0, 4)];
            const auto fingerprint = *rc::gen::inRange<std::uint64_t>(1, 5);
            const auto process = *rc::gen::inRange<Incarnation>(1, 6);
            crashDuringRequest(gateway, process, fingerprint, Second);
            crashes[fingerprint].insert(process);
            sent.push_back(gateway.takeNewFacts(6 * Second));
        }
        for (PoisonRequestDetector &gateway : gateways) {
            for (int i = 0; i < 3 * count; ++i) {
                gateway.merge(sent[*rc::gen::inRange<std::size_t>(0, sent.size())], 6 * Second);
            }
            for (const auto &facts : sent) {
                gateway.merge(facts, 6 * Second);
            }
            for (const auto &[fingerprint, processes] : crashes) {
                RC_ASSERT(gateway.isBlocked(fingerprint, 7 * Second) == (processes.size() >= 2));
            }
        }
    });
    BOOST_TEST(passed);
}
