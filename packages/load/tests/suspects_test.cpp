#include <boost/test/unit_test.hpp>

#include "carobhall/suspects.h"

#include <rapidcheck.h>

#include <set>

using namespace Carobhall;

namespace
{

constexpr std::uint64_t CrashingRequest = 7;

SuspectFact anyFact()
{
    return { .fingerprint = 1,
             .episode = *rc::gen::inRange<std::uint32_t>(1, 3),
             .firstEngine = *rc::gen::inRange<Incarnation>(0, 3),
             .secondEngine = 0,
             .exclusiveRunStarted = *rc::gen::arbitrary<bool>(),
             .exclusiveRunCrashed = *rc::gen::arbitrary<bool>(),
             .exonerated = *rc::gen::arbitrary<bool>(),
             .age = *rc::gen::inRange<Micros>(0, 5) };
}

bool sameExceptAge(const SuspectFact &a, const SuspectFact &b)
{
    return std::tuple(a.episode, a.firstEngine, a.secondEngine, a.exclusiveRunStarted, a.exclusiveRunCrashed, a.exonerated)
        == std::tuple(b.episode, b.firstEngine, b.secondEngine, b.exclusiveRunStarted, b.exclusiveRunCrashed, b.exonerated);
}

/// Agents with one engine each. An entry process probes all of them, as design.md 7 describes for the candidates of one prompt.
struct Fleet {
    static constexpr std::size_t Size = 5;
    std::array<Suspects, Size> agents;
    std::array<Incarnation, Size> engines{ 101, 102, 103, 104, 105 };
    std::vector<std::string> names{ "a", "b", "c", "d", "e" };
    int crashCount = 0;

    Suspicion probe(std::uint64_t fingerprint, Micros now) const
    {
        Suspicion worst = Suspicion::None;
        for (const Suspects &agent : agents) {
            worst = combine(worst, agent.suspicion(fingerprint, now));
        }
        return worst;
    }

    void crash(std::size_t agent, const std::vector<std::uint64_t> &inFlight, Micros now)
    {
        ++crashCount;
        agents[agent].recordCrash(engines[agent], inFlight, now);
        engines[agent] += 100;
    }

    /// Sends a request while \p otherRequests are in flight on the same engine. Returns whether it completed.
    bool send(std::uint64_t fingerprint, std::size_t agent, std::vector<std::uint64_t> otherRequests, Micros now)
    {
        const Suspicion suspicion = probe(fingerprint, now);
        if (suspicion == Suspicion::Condemned) {
            return false;
        }
        const bool crashesEngine = fingerprint == CrashingRequest;
        if (suspicion == Suspicion::None) {
            otherRequests.push_back(fingerprint);
            if (crashesEngine) {
                crash(agent, otherRequests, now);
            }
            return !crashesEngine;
        }
        const std::size_t target = exclusiveRunTarget(fingerprint, names);
        if (!agents[target].beginExclusiveRun(fingerprint, now)) {
            return false;
        }
        if (crashesEngine) {
            crash(target, { fingerprint }, now);
            return false;
        }
        agents[target].endExclusiveRun(fingerprint, true, now);
        return true;
    }

    void gossip(std::size_t from, std::size_t to, Micros now)
    {
        for (const SuspectFact &fact : agents[from].takeChanged(now)) {
            agents[to].merge(fact, now);
        }
    }
};

} // namespace

// Guards against merged facts that depend on the order or the number of deliveries by gossip.
BOOST_AUTO_TEST_CASE(mergeIsCommutativeAssociativeAndIdempotent)
{
    const bool holds = rc::check([] {
        const SuspectFact a = anyFact();
        const SuspectFact b = anyFact();
        const SuspectFact c = anyFact();
        RC_ASSERT(sameExceptAge(mergeFacts(a, b), mergeFacts(b, a)));
        RC_ASSERT(sameExceptAge(mergeFacts(a, mergeFacts(b, c)), mergeFacts(mergeFacts(a, b), c)));
        RC_ASSERT(sameExceptAge(mergeFacts(a, a), a));
    });
    BOOST_TEST(holds);
}

// Guards against a request that crashes one engine after another while its caller resends it, and against harmless requests that are
// condemned because they were in flight on the same engines.
BOOST_AUTO_TEST_CASE(resentRequestCrashesAtMostTwoEngines)
{
    const bool holds = rc::check([] {
        Fleet fleet;
        const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
        Micros now = 1;
        for (const int step : steps) {
            now += MicrosPerSecond;
            const auto agent = static_cast<std::size_t>(step) % Fleet::Size;
            const auto harmless = static_cast<std::uint64_t>(100 + step % 4);
            if (step < 400) {
                fleet.send(CrashingRequest, agent, { harmless, harmless + 10 }, now);
            } else if (step < 700) {
                RC_ASSERT(fleet.send(harmless, agent, {}, now));
            } else {
                fleet.gossip(agent, static_cast<std::size_t>(step / 5) % Fleet::Size, now);
            }
            RC_ASSERT(fleet.crashCount <= 2);
            for (std::uint64_t fingerprint = 100; fingerprint < 114; ++fingerprint) {
                RC_ASSERT(fleet.probe(fingerprint, now) != Suspicion::Condemned);
            }
        }
    });
    BOOST_TEST(holds);
}

// Guards against a second exclusive run of a suspected request, for another copy of it on the same agent or on another agent that has
// received the fact, also when the first run was cancelled.
BOOST_AUTO_TEST_CASE(exclusiveRunIsGrantedOnce)
{
    Suspects here;
    Suspects there;
    here.recordCrash(1, std::array{ CrashingRequest }, 1);
    BOOST_TEST((here.suspicion(CrashingRequest, 1) == Suspicion::Suspected));
    BOOST_TEST(here.beginExclusiveRun(CrashingRequest, 1));
    BOOST_TEST(!here.beginExclusiveRun(CrashingRequest, 1));
    for (const SuspectFact &fact : here.takeChanged(1)) {
        there.merge(fact, 1);
    }
    BOOST_TEST(!there.beginExclusiveRun(CrashingRequest, 2));
    here.endExclusiveRun(CrashingRequest, false, 2); // Cancelled, so it does not exonerate.
    BOOST_TEST((here.suspicion(CrashingRequest, 2) == Suspicion::Suspected));
    BOOST_TEST(!here.beginExclusiveRun(CrashingRequest, 2));
}

// Guards against a second exclusive run after a crash, when the agent of the exclusive run had not been informed of the crash that made
// the request suspected.
BOOST_AUTO_TEST_CASE(crashDuringExclusiveRunCondemns)
{
    Suspects suspects;
    BOOST_TEST(suspects.beginExclusiveRun(CrashingRequest, 1));
    suspects.recordCrash(1, std::array{ CrashingRequest }, 2);
    BOOST_TEST((suspects.suspicion(CrashingRequest, 2) == Suspicion::Condemned));
}

// Guards against an exoneration that hides a later crash of another engine, and against outdated facts that restore the exoneration.
BOOST_AUTO_TEST_CASE(exoneratedRequestIsSuspectedAfterAnotherCrash)
{
    Suspects suspects;
    suspects.recordCrash(1, std::array{ CrashingRequest }, 1);
    BOOST_TEST(suspects.beginExclusiveRun(CrashingRequest, 1));
    suspects.endExclusiveRun(CrashingRequest, true, 2);
    BOOST_TEST((suspects.suspicion(CrashingRequest, 2) == Suspicion::None));
    const std::vector<SuspectFact> outdated = suspects.takeChanged(2);
    suspects.recordCrash(1, std::array{ CrashingRequest }, 3); // The same crash, reported again.
    BOOST_TEST((suspects.suspicion(CrashingRequest, 3) == Suspicion::None));
    suspects.recordCrash(2, std::array{ CrashingRequest }, 4);
    suspects.merge(outdated.front(), 5);
    BOOST_TEST((suspects.suspicion(CrashingRequest, 5) == Suspicion::Suspected));
}

// Guards against a request that is refused forever, and against a table that grows without bound.
BOOST_AUTO_TEST_CASE(factsExpireAndAreBounded)
{
    Suspects suspects({ .suspectedLifetime = 10, .condemnedLifetime = 100, .maxFacts = 8 });
    for (std::uint64_t fingerprint = 1; fingerprint <= 20; ++fingerprint) {
        suspects.recordCrash(fingerprint, std::array{ fingerprint }, 1);
    }
    BOOST_TEST(suspects.size() == 8);
    suspects.recordCrash(30, std::array{ CrashingRequest }, 2);
    suspects.recordCrash(31, std::array{ CrashingRequest }, 2);
    BOOST_TEST((suspects.suspicion(CrashingRequest, 20) == Suspicion::Condemned));
    BOOST_TEST((suspects.suspicion(CrashingRequest, 102) == Suspicion::None));
    suspects.expire(102);
    BOOST_TEST(suspects.size() == 0);
    // A fact that has already expired at its sender does not start a new lifetime.
    BOOST_TEST(!suspects.merge({ .fingerprint = CrashingRequest, .firstEngine = 1, .age = 10 }, 200));
}

// Guards against an exclusive run target that changes when another candidate joins or leaves.
BOOST_AUTO_TEST_CASE(exclusiveRunTargetChangesOnlyWithItsCandidate)
{
    const std::vector<std::string> all{ "a", "b", "c", "d" };
    const std::vector<std::string> fewer{ "a", "b", "d" };
    std::set<std::size_t> used;
    for (std::uint64_t fingerprint = 1; fingerprint < 200; ++fingerprint) {
        const std::size_t target = exclusiveRunTarget(fingerprint, all);
        used.insert(target);
        if (all[target] != "c") {
            BOOST_TEST(fewer[exclusiveRunTarget(fingerprint, fewer)] == all[target]);
        }
    }
    BOOST_TEST(used.size() == all.size());
    BOOST_TEST(exclusiveRunTarget(1, {}) == NoCandidate);
}
