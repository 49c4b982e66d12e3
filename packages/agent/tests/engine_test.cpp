#define BOOST_TEST_MODULE agent
#include <boost/test/unit_test.hpp>

#include "agent_harness.h"
#include "carobhall/suspect_facts.h"

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

/// An engine, the agent beside it, and a client of the agent.
struct EngineFixture {
    explicit EngineFixture(
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

Submit withFingerprint(Submit submit, std::uint64_t fingerprint, bool exclusive = false)
{
    submit.fingerprint = fingerprint;
    submit.exclusive = exclusive;
    return submit;
}

Suspicion suspicionAt(EngineFixture &fixture, std::uint64_t fingerprint)
{
    return static_cast<Suspicion>(fixture.client->probe(withFingerprint(completion(""), fingerprint)).suspicion);
}

} // namespace

// Guards against paying work that waits behind free work, and against attempts that are queued although they cannot start
// before their deadline.
BOOST_AUTO_TEST_CASE(payingWorkStartsFirstAndUnreachableDeadlinesAreRefused)
{
    EngineFixture fixture("needle-1", { "--decode-ms=10" });
    const AttemptResult &running = fixture.client->submit(completion("a", 30));
    BOOST_TEST(runUntil([&] { return running.head.has_value(); }));
    // The first free attempt starts before the paying one, because the free rank has not used its floor yet.
    const AttemptResult &floor = fixture.client->submit(completion("b", 30, Rank::Free));
    const AttemptResult &free = fixture.client->submit(completion("e", 30, Rank::Free));
    const AttemptResult &paying = fixture.client->submit(completion("c", 30));
    Submit shortDeadline = completion("d", 30);
    shortDeadline.timeout = 20 * MicrosPerMilli;
    const AttemptResult &late = fixture.client->submit(shortDeadline);
    BOOST_TEST(runUntil([&] { return late.isOver(); }));
    BOOST_TEST(late.isRefused(Verdict::NotRun, Errc::DeadlineUnreachable));
    BOOST_TEST(late.refused->retryAfter > 0);
    BOOST_TEST(runUntil([&] { return paying.isComplete() || free.isComplete(); }));
    BOOST_TEST(paying.isComplete());
    BOOST_TEST(floor.isComplete());
    BOOST_TEST(!free.isOver());
    BOOST_TEST(runUntil([&] { return free.isComplete(); }));
}

// Guards against an expected wait of 0 from an agent that has a free slot while its engine still computes long prompts one after
// the other. Every entry process would then send its next long prompt to the same engine.
BOOST_AUTO_TEST_CASE(expectedWaitIncludesEnginePrefillBacklog)
{
    constexpr Micros perPiece = 5 * MicrosPerMilli;
    constexpr std::size_t pieces = 40;
    EngineFixture fixture("needle-2", { "--prefill-ms=5" });
    BOOST_TEST(fixture.client->probe(completion("")).expectedWait == 0);
    const AttemptResult &first = fixture.client->submit(completion(promptOfPieces(pieces, 'p')));
    const AttemptResult &second = fixture.client->submit(completion(promptOfPieces(pieces, 'q')));
    runFor(50 * MicrosPerMilli);
    const Micros wait = fixture.client->probe(completion("")).expectedWait;
    BOOST_TEST(wait > perPiece * static_cast<Micros>(pieces));
    BOOST_TEST(wait < perPiece * static_cast<Micros>(2 * pieces));
    BOOST_TEST(runUntil([&] { return first.isComplete() && second.isComplete(); }));
    BOOST_TEST(fixture.client->probe(completion("")).expectedWait == 0);
}

// Guards against cache hits reported for an engine that has restarted with an empty cache, and against attempts that were meant
// for the previous incarnation and run on the new one.
BOOST_AUTO_TEST_CASE(engineRestartClearsCacheIndex)
{
    EngineFixture fixture("needle-2");
    const std::string prompt = promptOfPieces(10, 'p');
    const AttemptResult &first = fixture.client->submit(completion(prompt));
    BOOST_TEST(runUntil([&] { return first.isComplete(); }));
    BOOST_TEST(runUntil([&] { return fixture.client->probe(completion(""), prompt).heldPieces == 10U; }));
    const Incarnation formerIncarnation = fixture.client->probe(completion("")).upstream;
    fixture.restartEngine();
    std::size_t staleHits = 0;
    BOOST_TEST(runUntil([&] {
        const ProbeReply reply = fixture.client->probe(completion(""), prompt);
        staleHits += reply.heldPieces > 0 ? 1 : 0;
        return reply.upstream != formerIncarnation;
    }));
    BOOST_TEST(staleHits == 0U);
    Submit outdated = completion(prompt);
    outdated.upstream = formerIncarnation;
    const AttemptResult &refused = fixture.client->submit(outdated);
    BOOST_TEST(runUntil([&] { return refused.isOver(); }));
    BOOST_TEST(refused.isRefused(Verdict::NotRun, Errc::IncarnationMismatch));
}

// Guards against a cache index that stays wrong or empty after events have been lost.
BOOST_AUTO_TEST_CASE(snapshotsRepairLostCacheEvents)
{
    EngineFixture fixture("needle-2", { "--event-loss=0.5", "--seed=3" });
    const auto run = [&](char letter) {
        const AttemptResult &call = fixture.client->submit(completion(promptOfPieces(4, letter)));
        BOOST_TEST(runUntil([&] { return call.isComplete(); }));
    };
    const auto allHeld = [&] {
        return std::all_of(Letters.begin(), Letters.end(),
                           [&](char letter) { return fixture.client->probe(completion(""), promptOfPieces(4, letter)).heldPieces == 4U; });
    };
    std::for_each(Letters.begin(), Letters.end(), run);
    // A loss is detected only when a later event arrives, so more requests are needed.
    bool held = false;
    for (char extraLetter = 'A'; extraLetter <= 'J' && !held; ++extraLetter) {
        run(extraLetter);
        held = runUntil(allHeld, MicrosPerSecond);
    }
    BOOST_TEST(held);
}

// Guards against concurrent requests with a shared prefix that each compute the prefix.
BOOST_AUTO_TEST_CASE(sharedPrefixIsComputedOnce)
{
    EngineFixture fixture("needle-2", { "--prefill-ms=10", "--decode-ms=50" });
    BOOST_TEST(runUntil([&] { return fixture.client->probe(completion("")).prefillPerPiece == 10 * MicrosPerMilli; }));
    const std::string prompt = promptOfPieces(32, 's');
    const AttemptResult &leader = fixture.client->submit(completion(prompt));
    const AttemptResult &follower = fixture.client->submit(completion(prompt));
    // The stand-in engine computes one prompt at a time, but a real one may compute both at once. The agent must therefore hold
    // the second request back, so that at most one is at the engine.
    std::uint64_t maxRequestsAtEngine = 0;
    const auto sampleLoad = [&] {
        const Json::Value load = requestJson(*fixture.engine, "/load");
        maxRequestsAtEngine = std::max(maxRequestsAtEngine, load["running"].asUInt64() + load["waiting"].asUInt64());
        return false;
    };
    // The prefill takes 320 ms.
    runUntil(sampleLoad, 200 * MicrosPerMilli);
    BOOST_TEST(maxRequestsAtEngine == 1U);
    BOOST_TEST(runUntil([&] { return leader.isComplete() && follower.isComplete(); }));
    BOOST_TEST(leader.head->cachedPieces == 0U);
    BOOST_TEST(follower.head->cachedPieces == 32U);
}

// Guards against a request that crashes one engine after the other when several entry processes send it again, and against
// a bystander, in flight at the same crash, that stays suspected after it has completed an exclusive run.
BOOST_AUTO_TEST_CASE(crashingRequestCrashesAtMostTwoEngines)
{
    constexpr std::uint64_t crashingFingerprint = 5;
    constexpr std::uint64_t bystanderFingerprint = 7;
    const std::vector<std::string> options{ "--crash-marker=BOOM", "--crash-after-tokens=2", "--decode-ms=30" };
    EngineFixture first("needle-2", options);
    const auto joinFirst = [&](AgentOptions &agent) { agent.settings.process.seeds = { first.address() }; };
    EngineFixture second("needle-3", options, joinFirst);
    EngineFixture third("needle-1", options, joinFirst);
    const AttemptResult &concurrent = first.client->submit(withFingerprint(completion("quiet", 100), bystanderFingerprint));
    BOOST_TEST(runUntil([&] { return concurrent.head.has_value(); }));
    const AttemptResult &crash = first.client->submit(withFingerprint(completion("BOOM", 9), crashingFingerprint));
    BOOST_TEST(runUntil([&] { return crash.isOver(); }));
    BOOST_TEST(!crash.isComplete());
    // The suspicion must be recorded by the time the outcome arrives, before any retry can run.
    BOOST_CHECK(suspicionAt(first, crashingFingerprint) == Suspicion::Suspected);
    BOOST_TEST(runUntil(
        [&] { return suspicionAt(second, crashingFingerprint) == Suspicion::Suspected && suspicionAt(third, bystanderFingerprint) == Suspicion::Suspected; }));

    const AttemptResult &notExclusive = second.client->submit(withFingerprint(completion("BOOM", 9), crashingFingerprint));
    BOOST_TEST(runUntil([&] { return notExclusive.isOver(); }));
    BOOST_TEST(notExclusive.isRefused(Verdict::NotRun, Errc::Overloaded));
    const AttemptResult &exonerated = second.client->submit(withFingerprint(completion("quiet", 3), bystanderFingerprint, true));
    BOOST_TEST(runUntil([&] { return exonerated.isOver(); }));
    BOOST_TEST(exonerated.isComplete());
    BOOST_CHECK(suspicionAt(second, bystanderFingerprint) == Suspicion::None);

    Client otherEntry(second.agent->wirePort());
    const AttemptResult &exclusiveRun = otherEntry.submit(withFingerprint(completion("BOOM", 9), crashingFingerprint, true));
    BOOST_TEST(runUntil([&] { return exclusiveRun.isOver(); }));
    BOOST_TEST(!second.engine->isAlive());
    BOOST_TEST(runUntil([&] { return suspicionAt(third, crashingFingerprint) == Suspicion::Condemned; }));
    for (const bool runsExclusively : { false, true }) {
        const AttemptResult &refused = third.client->submit(withFingerprint(completion("BOOM", 9), crashingFingerprint, runsExclusively));
        BOOST_TEST(runUntil([&] { return refused.isOver(); }));
        BOOST_TEST(refused.isRefused(Verdict::NotRun, Errc::Condemned));
    }
    BOOST_TEST(third.engine->isAlive());
}

// Guards against facts about one request that differ but have the same value: membership keeps the fact with the greater value
// and would drop one of them arbitrarily. Also guards against a merged fact that has no greater value than the facts merged into it.
BOOST_AUTO_TEST_CASE(suspectFactsWithEqualKnowledgeAreOrdered)
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

// Guards against a request that crashes two engines at the same time and is not condemned, because each agent knows only its
// own crash and their facts are not merged.
BOOST_AUTO_TEST_CASE(simultaneousCrashesAddUp)
{
    const std::vector<std::string> options{ "--crash-marker=BOOM", "--crash-after-tokens=2" };
    EngineFixture first("needle-2", options);
    EngineFixture second("needle-3", options, [&](AgentOptions &agent) { agent.settings.process.seeds = { first.address() }; });
    const auto members = [](const EngineFixture &fixture) { return fixture.agent->dump()["fleet"]["members"].size(); };
    BOOST_TEST(runUntil([&] { return members(first) == 2 && members(second) == 2; }));
    const Submit crashing = withFingerprint(completion("BOOM", 9), 11);
    const AttemptResult &one = first.client->submit(crashing);
    const AttemptResult &other = second.client->submit(crashing);
    BOOST_TEST(runUntil([&] { return one.isOver() && other.isOver(); }));
    BOOST_TEST(runUntil([&] { return suspicionAt(first, 11) == Suspicion::Condemned && suspicionAt(second, 11) == Suspicion::Condemned; }));
}

// Guards against a request that becomes suspected because its call failed, although the engine has not crashed.
BOOST_AUTO_TEST_CASE(failedCallIsNotACrash)
{
    // The engine answers with status 503.
    EngineFixture fixture("needle-2", { "--max-waiting=0" });
    const AttemptResult &failed = fixture.client->submit(withFingerprint(completion("y", 50), 9));
    BOOST_TEST(runUntil([&] { return failed.isOver(); }));
    BOOST_TEST(failed.isRefused(Verdict::MayHaveRun, Errc::UpstreamFailed));
    BOOST_CHECK(suspicionAt(fixture, 9) == Suspicion::None);
}

// Guards against a caller that stops reading and thereby holds the engine's slot indefinitely.
BOOST_AUTO_TEST_CASE(stalledReaderLosesItsSlot)
{
    EngineFixture fixture("needle-1", { "--decode-ms=20" }, [](AgentOptions &options) { options.stallLimit = 300 * MicrosPerMilli; });
    Submit slowReader = completion("x", 500);
    slowReader.creditTotal = 1000;
    slowReader.creditWindow = 1000;
    const AttemptResult &stalled = fixture.client->submit(slowReader);
    BOOST_TEST(runUntil([&] { return stalled.head.has_value(); }));
    const AttemptResult &next = fixture.client->submit(completion("y"));
    BOOST_TEST(runUntil([&] { return next.isOver(); }, 5 * MicrosPerSecond));
    BOOST_TEST(next.isComplete());
    BOOST_REQUIRE(stalled.end.has_value());
    BOOST_TEST(!stalled.end->complete);
    BOOST_TEST(stalled.end->error == static_cast<int>(Errc::Timeout));
    BOOST_TEST(stalled.end->verdict == static_cast<std::uint8_t>(Verdict::MayHaveRun));
}
