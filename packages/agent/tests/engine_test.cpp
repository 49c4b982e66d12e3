#define BOOST_TEST_MODULE agent
#include <boost/test/unit_test.hpp>

#include "agent_harness.h"
#include "carobhall/suspect_facts.h"

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

/// An agent beside an engine.
struct Site {
    explicit Site(
        const std::string &name, const std::vector<std::string> &engineOptions = {}, const std::function<void(AgentOptions &)> &change = [](AgentOptions &) {})
        : engineArguments(engineOptions)
    {
        engineArguments.emplace_back("--model=needle");
        engine = startStandin("engine", engineArguments);
        AgentOptions options = agentOptions(name, *engine);
        change(options);
        agent = std::make_unique<Agent>(std::move(options));
        BOOST_REQUIRE(!agent->start());
        client = std::make_unique<Client>(agent->wirePort());
        BOOST_REQUIRE(runUntil([&] { return agent->dump()["cache_index"].asString() == "exact" && client->probe(completion("")).upstream != 0; }));
    }

    void restartEngine()
    {
        const std::uint16_t port = engine->port();
        engine->kill();
        engine = startStandin("engine", engineArguments, port);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(agent->wirePort());
    }

    std::vector<std::string> engineArguments;
    std::unique_ptr<Program> engine;
    std::unique_ptr<Agent> agent;
    std::unique_ptr<Client> client;
};

constexpr std::string_view Letters = "abcdef";

std::string promptOfPieces(std::size_t pieces, char letter)
{
    return std::string(pieces * PieceBytes, letter);
}

Submit withFingerprint(Submit submit, std::uint64_t fingerprint, bool alone = false)
{
    submit.fingerprint = fingerprint;
    submit.exclusive = alone;
    return submit;
}

Suspicion suspicionAt(Site &site, std::uint64_t fingerprint)
{
    return static_cast<Suspicion>(site.client->probe(withFingerprint(completion(""), fingerprint)).suspicion);
}

} // namespace

// Guards against paying work that waits behind free work, and against work that is kept although it cannot start in time.
BOOST_AUTO_TEST_CASE(payingWorkGoesFirstAndLateWorkIsRefused)
{
    Site site("needle-1", { "--decode-ms=10" });
    const Seen &running = site.client->submit(completion("a", 30));
    BOOST_TEST(runUntil([&] { return running.head.has_value(); }));
    // The first free one has its floor to claim.
    const Seen &floor = site.client->submit(completion("b", 30, Rank::Free));
    const Seen &free = site.client->submit(completion("e", 30, Rank::Free));
    const Seen &paying = site.client->submit(completion("c", 30));
    Submit hurried = completion("d", 30);
    hurried.timeout = 20 * MicrosPerMilli;
    const Seen &late = site.client->submit(hurried);
    BOOST_TEST(runUntil([&] { return late.isOver(); }));
    BOOST_TEST(late.isRefused(Verdict::NotRun, Errc::DeadlineUnreachable));
    BOOST_TEST(late.refused->retryAfter > 0);
    BOOST_TEST(runUntil([&] { return paying.isComplete() || free.isComplete(); }));
    BOOST_TEST(paying.isComplete());
    BOOST_TEST(floor.isComplete());
    BOOST_TEST(!free.isOver());
    BOOST_TEST(runUntil([&] { return free.isComplete(); }));
}

// Guards against an agent that has a free slot and promises an immediate start although its engine computes long prompts one after
// the other: every entry process then sends the next long prompt there too.
BOOST_AUTO_TEST_CASE(expectedWaitCountsThePrefillInTheEngine)
{
    constexpr Micros perPiece = 5 * MicrosPerMilli;
    constexpr std::size_t pieces = 40;
    Site site("needle-2", { "--prefill-ms=5" });
    BOOST_TEST(site.client->probe(completion("")).expectedWait == 0);
    const Seen &first = site.client->submit(completion(promptOfPieces(pieces, 'p')));
    const Seen &second = site.client->submit(completion(promptOfPieces(pieces, 'q')));
    runFor(50 * MicrosPerMilli);
    const Micros wait = site.client->probe(completion("")).expectedWait;
    BOOST_TEST(wait > perPiece * static_cast<Micros>(pieces));
    BOOST_TEST(wait < perPiece * static_cast<Micros>(2 * pieces));
    BOOST_TEST(runUntil([&] { return first.isComplete() && second.isComplete(); }));
    BOOST_TEST(site.client->probe(completion("")).expectedWait == 0);
}

// Guards against blocks of a dead engine that count as held, and against work for the engine that is no longer there.
BOOST_AUTO_TEST_CASE(indexFollowsTheEngineAndEmptiesWithIt)
{
    Site site("needle-2");
    const std::string prompt = promptOfPieces(10, 'p');
    const Seen &first = site.client->submit(completion(prompt));
    BOOST_TEST(runUntil([&] { return first.isComplete(); }));
    BOOST_TEST(runUntil([&] { return site.client->probe(completion(""), prompt).heldPieces == 10U; }));
    const Incarnation former = site.client->probe(completion("")).upstream;
    site.restartEngine();
    std::size_t falselyHeld = 0;
    BOOST_TEST(runUntil([&] {
        const ProbeReply reply = site.client->probe(completion(""), prompt);
        falselyHeld += reply.heldPieces > 0 ? 1 : 0;
        return reply.upstream != former;
    }));
    BOOST_TEST(falselyHeld == 0U);
    Submit outdated = completion(prompt);
    outdated.upstream = former;
    const Seen &refused = site.client->submit(outdated);
    BOOST_TEST(runUntil([&] { return refused.isOver(); }));
    BOOST_TEST(refused.isRefused(Verdict::NotRun, Errc::IncarnationMismatch));
}

// Guards against an index that stays wrong or empty after events were lost.
BOOST_AUTO_TEST_CASE(lostEventsAreMadeUpBySnapshots)
{
    Site site("needle-2", { "--event-loss=0.5", "--seed=3" });
    const auto run = [&](char letter) {
        const Seen &call = site.client->submit(completion(promptOfPieces(4, letter)));
        BOOST_TEST(runUntil([&] { return call.isComplete(); }));
    };
    const auto allHeld = [&] {
        return std::all_of(Letters.begin(), Letters.end(),
                           [&](char letter) { return site.client->probe(completion(""), promptOfPieces(4, letter)).heldPieces == 4U; });
    };
    std::for_each(Letters.begin(), Letters.end(), run);
    // A loss shows only when a later event arrives, so that further work is needed.
    bool held = false;
    for (char further = 'A'; further <= 'J' && !held; ++further) {
        run(further);
        held = runUntil(allHeld, MicrosPerSecond);
    }
    BOOST_TEST(held);
}

// Guards against concurrent requests that each compute the prefix that they share.
BOOST_AUTO_TEST_CASE(sharedPrefixIsComputedOnce)
{
    Site site("needle-2", { "--prefill-ms=10", "--decode-ms=50" });
    BOOST_TEST(runUntil([&] { return site.client->probe(completion("")).prefillPerPiece == 10 * MicrosPerMilli; }));
    const std::string prompt = promptOfPieces(32, 's');
    const Seen &leader = site.client->submit(completion(prompt));
    const Seen &follower = site.client->submit(completion(prompt));
    // The engine computes one prompt at a time by itself; an engine that computes both at once must not get the second.
    std::uint64_t mostAtEngine = 0;
    const auto noteLoad = [&] {
        const Json::Value load = ask(*site.engine, "/load");
        mostAtEngine = std::max(mostAtEngine, load["running"].asUInt64() + load["waiting"].asUInt64());
        return false;
    };
    // The prefix takes 320 ms.
    runUntil(noteLoad, 200 * MicrosPerMilli);
    BOOST_TEST(mostAtEngine == 1U);
    BOOST_TEST(runUntil([&] { return leader.isComplete() && follower.isComplete(); }));
    BOOST_TEST(leader.head->cachedPieces == 0U);
    BOOST_TEST(follower.head->cachedPieces == 32U);
}

// Guards against a request that brings down one engine after the other through several entry processes and resends, and
// against a request that happened to run beside it and stays under suspicion.
BOOST_AUTO_TEST_CASE(crashingRequestTakesDownTwoEnginesAtMost)
{
    constexpr std::uint64_t culprit = 5;
    constexpr std::uint64_t bystander = 7;
    const std::vector<std::string> options{ "--crash-marker=BOOM", "--crash-after-tokens=2", "--decode-ms=30" };
    Site first("needle-2", options);
    const auto join = [&](AgentOptions &agent) { agent.settings.process.seeds = { first.address() }; };
    Site second("needle-3", options, join);
    Site third("needle-1", options, join);
    const Seen &beside = first.client->submit(withFingerprint(completion("quiet", 100), bystander));
    BOOST_TEST(runUntil([&] { return beside.head.has_value(); }));
    const Seen &crash = first.client->submit(withFingerprint(completion("BOOM", 9), culprit));
    BOOST_TEST(runUntil([&] { return crash.isOver(); }));
    BOOST_TEST(!crash.isComplete());
    // At the outcome, before any retry can run.
    BOOST_CHECK(suspicionAt(first, culprit) == Suspicion::Suspected);
    BOOST_TEST(runUntil([&] { return suspicionAt(second, culprit) == Suspicion::Suspected && suspicionAt(third, bystander) == Suspicion::Suspected; }));

    const Seen &unaware = second.client->submit(withFingerprint(completion("BOOM", 9), culprit));
    BOOST_TEST(runUntil([&] { return unaware.isOver(); }));
    BOOST_TEST(unaware.isRefused(Verdict::NotRun, Errc::Overloaded));
    const Seen &cleared = second.client->submit(withFingerprint(completion("quiet", 3), bystander, true));
    BOOST_TEST(runUntil([&] { return cleared.isOver(); }));
    BOOST_TEST(cleared.isComplete());
    BOOST_CHECK(suspicionAt(second, bystander) == Suspicion::None);

    Client otherEntry(second.agent->wirePort());
    const Seen &alone = otherEntry.submit(withFingerprint(completion("BOOM", 9), culprit, true));
    BOOST_TEST(runUntil([&] { return alone.isOver(); }));
    BOOST_TEST(!second.engine->isAlive());
    BOOST_TEST(runUntil([&] { return suspicionAt(third, culprit) == Suspicion::Condemned; }));
    for (const bool runsAlone : { false, true }) {
        const Seen &refused = third.client->submit(withFingerprint(completion("BOOM", 9), culprit, runsAlone));
        BOOST_TEST(runUntil([&] { return refused.isOver(); }));
        BOOST_TEST(refused.isRefused(Verdict::NotRun, Errc::Condemned));
    }
    BOOST_TEST(third.engine->isAlive());
}

// Guards against two facts of one request that know as much as each other, of which membership would drop either, and against
// a merged fact that loses to its parts.
BOOST_AUTO_TEST_CASE(factsOfEqualKnowledgeAreOrdered)
{
    const SuspectFact one{ .fingerprint = 11, .firstEngine = 1 };
    const SuspectFact other{ .fingerprint = 11, .firstEngine = 2 };
    BOOST_TEST(factOf(one).value != factOf(other).value);
    const SuspectFact both = mergeFacts(one, other);
    BOOST_TEST(factOf(both).value > std::max(factOf(one).value, factOf(other).value));
    BOOST_TEST(factOf(both).text.size() <= MaxFactTextBytes);
    const auto back = suspectFrom(factOf(both));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(factOf(*back).text == factOf(both).text);
    Fact damaged = factOf(one);
    damaged.text.resize(3);
    BOOST_TEST(!suspectFrom(damaged).has_value());
}

// Guards against crashes of one request at two engines that are not added up.
BOOST_AUTO_TEST_CASE(simultaneousCrashesAddUp)
{
    const std::vector<std::string> options{ "--crash-marker=BOOM", "--crash-after-tokens=2" };
    Site first("needle-2", options);
    Site second("needle-3", options, [&](AgentOptions &agent) { agent.settings.process.seeds = { first.address() }; });
    const auto members = [](const Site &site) { return site.agent->dump()["fleet"]["members"].size(); };
    BOOST_TEST(runUntil([&] { return members(first) == 2 && members(second) == 2; }));
    const Submit crashing = withFingerprint(completion("BOOM", 9), 11);
    const Seen &one = first.client->submit(crashing);
    const Seen &other = second.client->submit(crashing);
    BOOST_TEST(runUntil([&] { return one.isOver() && other.isOver(); }));
    BOOST_TEST(runUntil([&] { return suspicionAt(first, 11) == Suspicion::Condemned && suspicionAt(second, 11) == Suspicion::Condemned; }));
}

// Guards against a failed call to an engine that is still there, for which nobody is a suspect.
BOOST_AUTO_TEST_CASE(failedCallIsNotACrash)
{
    // The engine answers with status 503.
    Site site("needle-2", { "--max-waiting=0" });
    const Seen &failed = site.client->submit(withFingerprint(completion("y", 50), 9));
    BOOST_TEST(runUntil([&] { return failed.isOver(); }));
    BOOST_TEST(failed.isRefused(Verdict::MayHaveRun, Errc::UpstreamFailed));
    BOOST_CHECK(suspicionAt(site, 9) == Suspicion::None);
}

// Guards against a caller that stops reading and holds the engine's slot for ever.
BOOST_AUTO_TEST_CASE(stalledReaderLosesItsSlot)
{
    Site site("needle-1", { "--decode-ms=20" }, [](AgentOptions &options) { options.stallLimit = 300 * MicrosPerMilli; });
    Submit lazy = completion("x", 500);
    lazy.creditTotal = 1000;
    lazy.creditWindow = 1000;
    const Seen &stalled = site.client->submit(lazy);
    BOOST_TEST(runUntil([&] { return stalled.head.has_value(); }));
    const Seen &next = site.client->submit(completion("y"));
    BOOST_TEST(runUntil([&] { return next.isOver(); }, 5 * MicrosPerSecond));
    BOOST_TEST(next.isComplete());
    BOOST_REQUIRE(stalled.end.has_value());
    BOOST_TEST(!stalled.end->complete);
    BOOST_TEST(stalled.end->error == static_cast<int>(Errc::Timeout));
    BOOST_TEST(stalled.end->verdict == static_cast<std::uint8_t>(Verdict::MayHaveRun));
}
