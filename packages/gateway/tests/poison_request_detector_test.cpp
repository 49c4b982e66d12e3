#include <boost/test/unit_test.hpp>

#include "carobhall/poison_request_detector.h"

#include <rapidcheck.h>

#include <set>

using namespace Carobhall;

namespace
{

constexpr Micros Second = MicrosPerSecond;
using Features = std::vector<RequestFeature>;
const Features Poison{ 7 };
const Features Harmless{ 8 };

/// A request is in flight when its process crashes. The platform's list shows the end of the process 4 s later.
void crashDuringRequest(PoisonRequestDetector &detector, Incarnation process, const Features &features, Micros now)
{
    detector.noteConnectionLost(process, features, now - 100 * MicrosPerMilli, now);
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
    BOOST_TEST(!first.isBlocked(Poison));
    second.merge(first.takeNews(6 * Second), 6 * Second);
    crashDuringRequest(second, 200, Poison, 7 * Second);
    BOOST_TEST(second.isBlocked(Poison));
    first.merge(second.takeNews(12 * Second), 12 * Second);
    BOOST_TEST(first.isBlocked(Poison));
    BOOST_TEST(!first.isBlocked(Harmless));
    BOOST_TEST(first.takeNews(12 * Second).crashes.empty());
}

// Guards against blocking harmless requests because of a faulty server that resets connections but does not crash.
BOOST_AUTO_TEST_CASE(connectionResetsWithoutACrashBlockNothing)
{
    PoisonRequestDetector detector;
    for (Incarnation process = 1; process < 20; ++process) {
        detector.noteConnectionLost(process, Harmless, 0, Second);
    }
    BOOST_TEST(!detector.isBlocked(Harmless));
    BOOST_TEST(detector.isEmpty());
    // The processes end much later, for an unrelated reason.
    for (Incarnation process = 1; process < 20; ++process) {
        detector.noteProcessCrashed(process, 30 * Second);
    }
    BOOST_TEST(!detector.isBlocked(Harmless));
}

// Guards against blocking a frequent request that happens to be in flight whenever a server crashes for another reason: it
// completes between the crashes.
BOOST_AUTO_TEST_CASE(aRequestThatCompletesBetweenCrashesIsNotBlocked)
{
    PoisonRequestDetector detector;
    for (Incarnation process = 1; process < 10; ++process) {
        const Micros now = static_cast<Micros>(process) * 10 * Second;
        crashDuringRequest(detector, process, Harmless, now);
        detector.noteSound(Harmless, now + 5 * Second);
    }
    BOOST_TEST(!detector.isBlocked(Harmless));
}

// Guards against blocking other requests together with a poison request because their fingerprints collide.
BOOST_AUTO_TEST_CASE(fingerprintsDifferByPathCallerAndBody)
{
    const auto fingerprint = [](std::string_view target, std::string_view key, std::string_view body) {
        return requestFingerprint({ .target = target, .apiKey = key, .body = body });
    };
    const RequestFeature one = fingerprint("/a/1", "key", "body");
    BOOST_TEST(one == fingerprint("/a/1", "key", "body"));
    BOOST_TEST(one != fingerprint("/a/2", "key", "body"));
    BOOST_TEST(one != fingerprint("/a/1", "yek", "body"));
    BOOST_TEST(one != fingerprint("/a/1", "key", "bod"));
    BOOST_TEST(upstreamIncarnation("i-1", 5) != upstreamIncarnation("i-1", 6));
}

// Guards against two processes that are taken for one, so that what one of them announces counts for the other.
BOOST_AUTO_TEST_CASE(processesWithSimilarIdsAndStartTimesAreToldApart)
{
    constexpr int Ids = 40;
    constexpr std::int64_t Starts = 200;
    std::set<Incarnation> seen;
    for (int id = 0; id < Ids; ++id) {
        for (std::int64_t start = 0; start < Starts; ++start) {
            seen.insert(upstreamIncarnation("i-" + std::to_string(id), 1'764'900'000'000 + start));
        }
    }
    BOOST_TEST(seen.size() == static_cast<std::size_t>(Ids * Starts));
}

// Guards against gateways that disagree on blocked requests because they received facts in different orders or more than once.
BOOST_AUTO_TEST_CASE(gatewaysConvergeRegardlessOfTheOrderOfFacts)
{
    const bool passed = rc::check([] {
        std::vector<PoisonRequestDetector> gateways(4);
        std::vector<CrashEvidence> sent;
        std::map<RequestFeature, std::set<Incarnation>> crashes;
        const int count = *rc::gen::inRange(1, 30);
        for (int i = 0; i < count; ++i) {
            PoisonRequestDetector &gateway = gateways[*rc::gen::inRange<std::size_t>(0, 4)];
            const auto fingerprint = *rc::gen::inRange<std::uint64_t>(1, 5);
            const auto process = *rc::gen::inRange<Incarnation>(1, 6);
            // Each process crashes once, at a time of its own.
            crashDuringRequest(gateway, process, { fingerprint }, static_cast<Micros>(process) * Second);
            crashes[fingerprint].insert(process);
            sent.push_back(gateway.takeNews(10 * Second));
        }
        for (PoisonRequestDetector &gateway : gateways) {
            for (int i = 0; i < 3 * count; ++i) {
                gateway.merge(sent[*rc::gen::inRange<std::size_t>(0, sent.size())], 10 * Second);
            }
            for (const auto &facts : sent) {
                gateway.merge(facts, 10 * Second);
            }
            for (const auto &[fingerprint, processes] : crashes) {
                // One that was in flight at the same crashes may be the cause instead, and one with more crashes accounts for those it has in
                // common with this one.
                std::set<Incarnation> against = processes;
                bool hasTwin = false;
                for (const auto &other : crashes) {
                    hasTwin = hasTwin || (other.first != fingerprint && other.second == processes);
                    if (other.second.size() > processes.size()) {
                        std::erase_if(against, [&](Incarnation process) { return other.second.contains(process); });
                    }
                }
                RC_ASSERT(gateway.isBlocked(Features{ fingerprint }) == (against.size() >= 2 && !hasTwin));
            }
        }
    });
    BOOST_TEST(passed);
}

// Guards against refusing sound requests that share a part with those that crash servers: a part that is always beside the deadly one is no
// reason to refuse a request without it, and is cleared by that request.
BOOST_AUTO_TEST_CASE(aPartBesideTheDeadlyOneIsNotBlocked)
{
    constexpr RequestFeature Deadly = 1;
    constexpr RequestFeature Beside = 2;
    PoisonRequestDetector detector;
    crashDuringRequest(detector, 100, { 11, Beside, Deadly }, Second);
    crashDuringRequest(detector, 200, { 12, Beside, Deadly }, 6 * Second);
    BOOST_TEST(detector.isBlocked(Features{ 13, Beside, Deadly }));
    BOOST_TEST(!detector.isBlocked(Features{ 14, Beside }));
    BOOST_TEST(!detector.isBlocked(Features{ 15, Deadly }));
    // A request without the other part shows which of the two it is.
    crashDuringRequest(detector, 300, { 15, Deadly }, 12 * Second);
    BOOST_TEST(detector.isBlocked(Features{ 16, Deadly }));
    BOOST_TEST(!detector.isBlocked(Features{ 17, Beside }));
    detector.noteSound(Features{ 17, Beside }, 13 * Second);
    BOOST_TEST(detector.isBlocked(Features{ 18, Beside, Deadly }));
}

// Guards against blocking what most requests share because several servers end at the same moment, or one after the other for another reason.
BOOST_AUTO_TEST_CASE(crashesWithAnotherCauseBlockNoSharedPart)
{
    constexpr RequestFeature Shared = 1;
    PoisonRequestDetector detector;
    for (Incarnation process = 1; process <= 5; ++process) {
        detector.noteConnectionLost(process, Features{ Shared }, Second, 2 * Second + static_cast<Micros>(process) * 20 * MicrosPerMilli);
        detector.noteProcessCrashed(process, 3 * Second);
    }
    BOOST_TEST(!detector.isBlocked(Features{ Shared }));
    detector.noteSound(Features{ Shared }, 4 * Second);
    for (Incarnation process = 11; process <= 15; ++process) {
        const Micros now = 4 * Second + static_cast<Micros>(process - 10) * 300 * MicrosPerMilli;
        crashDuringRequest(detector, process, { Shared }, now);
    }
    BOOST_TEST(!detector.isBlocked(Features{ Shared }));
}

// Guards against a false suspicion that lasts: after a while one request is let through, and its sound run clears the part. A part that does crash
// servers gets a trial ever more seldom.
BOOST_AUTO_TEST_CASE(aSuspicionIsTriedEverMoreSeldom)
{
    PoisonRequestDetector detector;
    crashDuringRequest(detector, 1, Poison, Second);
    crashDuringRequest(detector, 2, Poison, 6 * Second);
    Micros now = 10 * Second;
    BOOST_TEST(!detector.admit(Poison, now));
    std::vector<Micros> trials;
    for (Incarnation process = 3; now < 3'600 * Second; now += Second) {
        if (detector.admit(Poison, now)) {
            trials.push_back(now);
            BOOST_TEST(!detector.admit(Poison, now));
            crashDuringRequest(detector, process++, Poison, now);
        }
    }
    BOOST_TEST(trials.size() >= 3U);
    BOOST_TEST(trials.size() <= 8U);
    BOOST_TEST(trials[0] - 6 * Second >= 5 * Second);
    for (std::size_t i = 2; i < trials.size(); ++i) {
        BOOST_TEST(trials[i] - trials[i - 1] > trials[i - 1] - trials[i - 2]);
    }
    detector.noteSound(Poison, now);
    BOOST_TEST(detector.admit(Poison, now));
    BOOST_TEST(detector.isEmpty());
}
