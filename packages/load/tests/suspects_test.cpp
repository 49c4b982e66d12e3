#include <boost/test/unit_test.hpp>

#include "carobhall/suspects.h"

#include <rapidcheck.h>

#include <set>

using namespace Carobhall;

namespace
{

constexpr std::uint64_t Poison = 7;

SuspectFact anyFact()
{
    return { .fingerprint = 1,
             .episode = *rc::gen::inRange<std::uint32_t>(1, 3),
             .firstEngine = *rc::gen::inRange<Incarnation>(0, 3),
             .secondEngine = 0,
             .aloneStarted = *rc::gen::arbitrary<bool>(),
             .aloneCrashed = *rc::gen::arbitrary<bool>(),
             .exonerated = *rc::gen::arbitrary<bool>(),
             .age = *rc::gen::inRange<Micros>(0, 5) };
}

bool same(const SuspectFact &a, const SuspectFact &b)
{
    return std::tuple(a.episode, a.firstEngine, a.secondEngine, a.aloneStarted, a.aloneCrashed, a.exonerated)
        == std::tuple(b.episode, b.firstEngine, b.secondEngine, b.aloneStarted, b.aloneCrashed, b.exonerated);
}

/// Agents with an engine each. An entry process probes all of them, as design.md 7 describes for one prompt's candidates.
struct Fleet {
    static constexpr std::size_t Size = 5;
    std::array<Suspects, Size> agents;
    std::array<Incarnation, Size> engines{ 101, 102, 103, 104, 105 };
    std::vector<std::string> names{ "a", "b", "c", "d", "e" };
    int crashes = 0;

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
        ++crashes;
        agents[agent].recordCrash(engines[agent], inFlight, now);
        engines[agent] += 100;
    }

    /// Sends a request that shares the engine with \p company; returns whether it completed.
    bool send(std::uint64_t fingerprint, std::size_t agent, std::vector<std::uint64_t> company, Micros now)
    {
        const Suspicion suspicion = probe(fingerprint, now);
        if (suspicion == Suspicion::Condemned) {
            return false;
        }
        const bool poison = fingerprint == Poison;
        if (suspicion == Suspicion::None) {
            company.push_back(fingerprint);
            if (poison) {
                crash(agent, company, now);
            }
            return !poison;
        }
        const std::size_t home = exclusiveRunTarget(fingerprint, names);
        if (!agents[home].beginExclusiveRun(fingerprint, now)) {
            return false;
        }
        if (poison) {
            crash(home, { fingerprint }, now);
            return false;
        }
        agents[home].endExclusiveRun(fingerprint, true, now);
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

// Guards against facts whose meaning depends on the order in which gossip delivers them.
BOOST_AUTO_TEST_CASE(mergingIsAUnion)
{
    const bool holds = rc::check([] {
        const SuspectFact a = anyFact();
        const SuspectFact b = anyFact();
        const SuspectFact c = anyFact();
        RC_ASSERT(same(mergeFacts(a, b), mergeFacts(b, a)));
        RC_ASSERT(same(mergeFacts(a, mergeFacts(b, c)), mergeFacts(mergeFacts(a, b), c)));
        RC_ASSERT(same(mergeFacts(a, a), a));
    });
    BOOST_TEST(holds);
}

// Guards against a request that takes down one engine after the other while its caller resends it, and against innocent
// requests that are refused because they shared its engine.
BOOST_AUTO_TEST_CASE(aResentRequestStopsAtTheSecondEngine)
{
    const bool holds = rc::check([] {
        Fleet fleet;
        const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
        Micros now = 1;
        for (const int step : steps) {
            now += MicrosPerSecond;
            const auto agent = static_cast<std::size_t>(step) % Fleet::Size;
            const auto innocent = static_cast<std::uint64_t>(100 + step % 4);
            if (step < 400) {
                fleet.send(Poison, agent, { innocent, innocent + 10 }, now);
            } else if (step < 700) {
                RC_ASSERT(fleet.send(innocent, agent, {}, now));
            } else {
                fleet.gossip(agent, static_cast<std::size_t>(step / 5) % Fleet::Size, now);
            }
            RC_ASSERT(fleet.crashes <= 2);
            for (std::uint64_t fingerprint = 100; fingerprint < 114; ++fingerprint) {
                RC_ASSERT(fleet.probe(fingerprint, now) != Suspicion::Condemned);
            }
        }
    });
    BOOST_TEST(holds);
}

// Guards against a permit for the alone run that two agents or two copies both get.
BOOST_AUTO_TEST_CASE(theAloneRunIsGivenOutOnce)
{
    Suspects here;
    Suspects there;
    here.recordCrash(1, std::array{ Poison }, 1);
    BOOST_TEST((here.suspicion(Poison, 1) == Suspicion::Suspected));
    BOOST_TEST(here.beginExclusiveRun(Poison, 1));
    BOOST_TEST(!here.beginExclusiveRun(Poison, 1));
    for (const SuspectFact &fact : here.takeChanged(1)) {
        there.merge(fact, 1);
    }
    BOOST_TEST(!there.beginExclusiveRun(Poison, 2));
    here.endExclusiveRun(Poison, false, 2); // Cancelled: proves nothing.
    BOOST_TEST((here.suspicion(Poison, 2) == Suspicion::Suspected));
    BOOST_TEST(!here.beginExclusiveRun(Poison, 2));
}

// Guards against a second alone run when the first crash has not been heard of where the request runs alone.
BOOST_AUTO_TEST_CASE(aCrashAloneCondemnsByItself)
{
    Suspects home;
    BOOST_TEST(home.beginExclusiveRun(Poison, 1));
    home.recordCrash(1, std::array{ Poison }, 2);
    BOOST_TEST((home.suspicion(Poison, 2) == Suspicion::Condemned));
}

// Guards against an exoneration that excuses every later crash, and against old facts that restore it.
BOOST_AUTO_TEST_CASE(anExoneratedRequestIsSuspectedAnew)
{
    Suspects suspects;
    suspects.recordCrash(1, std::array{ Poison }, 1);
    BOOST_TEST(suspects.beginExclusiveRun(Poison, 1));
    suspects.endExclusiveRun(Poison, true, 2);
    BOOST_TEST((suspects.suspicion(Poison, 2) == Suspicion::None));
    const std::vector<SuspectFact> old = suspects.takeChanged(2);
    suspects.recordCrash(1, std::array{ Poison }, 3); // The same crash, reported again.
    BOOST_TEST((suspects.suspicion(Poison, 3) == Suspicion::None));
    suspects.recordCrash(2, std::array{ Poison }, 4);
    suspects.merge(old.front(), 5);
    BOOST_TEST((suspects.suspicion(Poison, 5) == Suspicion::Suspected));
}

// Guards against a refusal that never ends, and against a table that grows without bound.
BOOST_AUTO_TEST_CASE(factsExpireAndAreBounded)
{
    Suspects suspects({ .suspectedLifetime = 10, .condemnedLifetime = 100, .maxFacts = 8 });
    for (std::uint64_t fingerprint = 1; fingerprint <= 20; ++fingerprint) {
        suspects.recordCrash(fingerprint, std::array{ fingerprint }, 1);
    }
    BOOST_TEST(suspects.size() == 8);
    suspects.recordCrash(30, std::array{ Poison }, 2);
    suspects.recordCrash(31, std::array{ Poison }, 2);
    BOOST_TEST((suspects.suspicion(Poison, 20) == Suspicion::Condemned));
    BOOST_TEST((suspects.suspicion(Poison, 102) == Suspicion::None));
    suspects.expire(102);
    BOOST_TEST(suspects.size() == 0);
    // An old fact from a slow peer does not start a new lifetime.
    BOOST_TEST(!suspects.merge({ .fingerprint = Poison, .firstEngine = 1, .age = 10 }, 200));
}

// Guards against an alone home that moves when another candidate joins or leaves.
BOOST_AUTO_TEST_CASE(aloneHomeMovesOnlyWithItsCandidate)
{
    const std::vector<std::string> all{ "a", "b", "c", "d" };
    const std::vector<std::string> fewer{ "a", "b", "d" };
    std::set<std::size_t> used;
    for (std::uint64_t fingerprint = 1; fingerprint < 200; ++fingerprint) {
        const std::size_t home = exclusiveRunTarget(fingerprint, all);
        used.insert(home);
        if (all[home] != "c") {
            BOOST_TEST(fewer[exclusiveRunTarget(fingerprint, fewer)] == all[home]);
        }
    }
    BOOST_TEST(used.size() == all.size());
    BOOST_TEST(exclusiveRunTarget(1, {}) == NoCandidate);
}
