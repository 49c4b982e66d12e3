#define BOOST_TEST_MODULE claims
#include <boost/test/unit_test.hpp>

#include "carobhall/claims.h"
#include "fake_platform.h"

#include <rapidcheck/boost_test.h>

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

constexpr Micros WallStart = Micros{ 1'800'000'000 } * MicrosPerSecond;

/// A process that claims keys and runs the calls.
class Agent : public SimulatedProcess
{
public:
    Agent(FakePlatform &fakePlatform, Incarnation first)
        : SimulatedProcess(fakePlatform, first)
    {
        start();
    }

    std::unique_ptr<Claims> claims;
    Micros wallOffset = 0;
    std::size_t shardLimitBytes = PlatformValueLimit;

private:
    void create() override
    {
        ClaimsOptions options{ .environment = "guild", .holder = incarnation, .seed = incarnation };
        options.shardLimitBytes = shardLimitBytes;
        options.tombstoneLimitBytes = shardLimitBytes / 2;
        claims = std::make_unique<Claims>(*client, options);
        onTick();
    }
    void destroy() override
    {
        claims.reset();
    }
    void onTick() override
    {
        claims->tick(now(), WallStart + wallOffset + now());
    }
};

ClaimKey keyNumber(int number)
{
    return { .account = "needle-setters", .service = "bookings", .key = "stamp-" + std::to_string(number) };
}

/// A UUID version 7 with the timestamp \p millis.
std::string uuidAt(std::int64_t millis)
{
    const std::string digits = toHex(static_cast<std::uint64_t>(millis)).substr(4);
    return digits.substr(0, 8) + "-" + digits.substr(8) + "-7000-8000-000000000001";
}

struct Step {
    int agent = 0;
    int key = 0;
    int action = 0;
    int delay = 0; ///< Milliseconds after the previous step.
};

ClaimAnswer ask(Agent &agent, const ClaimKey &key, const std::string &digest = "digest")
{
    std::optional<ClaimAnswer> answer;
    agent.claims->claim(key, digest, agent.now(), [&](ClaimAnswer given, Micros) { answer = std::move(given); });
    for (int i = 0; i < 1000 && !answer; ++i) {
        agent.platform.time.runUntil(agent.now() + Tick);
    }
    BOOST_REQUIRE(answer);
    return *answer;
}

/// Simulates three processes that claim the same keys. Records what happened to each key and asserts the invariants at each event.
struct Simulation {
    Simulation()
        : platform(time)
        , agents{ std::make_unique<Agent>(platform, 1), std::make_unique<Agent>(platform, 2), std::make_unique<Agent>(platform, 3) }
    {
    }

    void claim(int index, int key, int ending)
    {
        Agent &agent = *agents[static_cast<std::size_t>(index)];
        if (!agent.isUp()) {
            return;
        }
        const Incarnation incarnation = agent.incarnation;
        ++asked;
        agent.claims->claim(keyNumber(key), "digest", time.now(), [this, &agent, incarnation, key, ending](const ClaimAnswer &answer, Micros) {
            ++answered;
            onAnswer(agent, incarnation, key, ending, answer);
        });
    }

    void onAnswer(Agent &agent, Incarnation incarnation, int key, int ending, const ClaimAnswer &answer)
    {
        if (answer.decision == ClaimDecision::Replay) {
            RC_ASSERT(runs[key] == 1);
            RC_ASSERT(answer.result.body == results[key]);
            return;
        }
        if (answer.decision == ClaimDecision::Refused) {
            RC_ASSERT(answer.verdict != Verdict::Ran || runs[key] == 1);
            RC_ASSERT(answer.error != Errc::Conflict);
            return;
        }
        if (ending == 0) {
            // The upstream refused the connection: the call certainly did not run.
            agent.claims->release(keyNumber(key), time.now());
            return;
        }
        RC_ASSERT(++runs[key] == 1);
        time.after(50 * MicrosPerMilli, [this, &agent, incarnation, key, ending] {
            if (!agent.claims || agent.incarnation != incarnation) {
                return;
            }
            if (ending == 1) {
                agent.claims->markOutcomeUnknown(keyNumber(key), time.now());
                return;
            }
            results[key] = "booked by " + std::to_string(incarnation);
            agent.claims->finish(keyNumber(key), { .status = 201, .contentType = "text/plain", .body = results[key] }, time.now());
        });
    }

    void apply(const Step &step)
    {
        Agent &agent = *agents[static_cast<std::size_t>(step.agent)];
        if (step.action == 10) {
            crashed = true;
            agent.crash();
        } else if (step.action == 11 && !agent.claims) {
            agent.restart();
        } else if (step.action == 12) {
            agent.pause();
        } else if (step.action == 13) {
            platform.outage = !platform.outage;
        } else {
            claim(step.agent, step.key, step.action);
        }
    }

    VirtualTime time;
    FakePlatform platform;
    std::array<std::unique_ptr<Agent>, 3> agents;
    std::map<int, int> runs;
    std::map<int, std::string> results;
    int asked = 0;
    int answered = 0;
    bool crashed = false;
};

/// Runs \p steps with \p faults injected into the calls, and checks the final state of each key.
void runSimulation(const std::vector<Step> &steps, const std::vector<int> &faults, int crashAtCall, bool crashAfter)
{
    Simulation simulation;
    std::size_t calls = 0;
    for (const std::unique_ptr<Agent> &agent : simulation.agents) {
        injectFaults(*agent, calls, faults, crashAtCall, crashAfter, simulation.crashed);
    }
    Micros at = simulation.time.now();
    for (const Step &step : steps) {
        at += step.delay * MicrosPerMilli;
        simulation.time.at(at, [&simulation, step] { simulation.apply(step); });
    }
    simulation.time.runUntil(at + 10 * MicrosPerSecond);

    // No more faults. A claim of each key must now replay the first result, run, or correctly report that the call may have run.
    simulation.platform.outage = false;
    for (const std::unique_ptr<Agent> &agent : simulation.agents) {
        agent->transport.faultFor = nullptr;
        if (!agent->claims) {
            agent->restart();
        }
    }
    simulation.time.runUntil(simulation.time.now() + 10 * MicrosPerSecond);
    for (int key = 0; key < 3; ++key) {
        const int before = simulation.runs[key];
        const ClaimAnswer answer = ask(*simulation.agents[static_cast<std::size_t>(key)], keyNumber(key));
        RC_ASSERT(answer.decision != ClaimDecision::Run || before == 0);
        RC_ASSERT(answer.decision != ClaimDecision::Replay || answer.result.body == simulation.results[key]);
        RC_ASSERT(answer.decision != ClaimDecision::Refused || answer.verdict != Verdict::NotRun);
        if (!simulation.crashed && before == 0) {
            RC_ASSERT(answer.decision == ClaimDecision::Run);
        }
        if (!simulation.crashed && !simulation.results[key].empty()) {
            RC_ASSERT(answer.decision == ClaimDecision::Replay);
        }
    }
    RC_ASSERT(simulation.crashed || simulation.asked == simulation.answered);
}

rc::Gen<std::vector<Step>> steps()
{
    const auto step = rc::gen::apply(
        [](int agent, int key, int action, int delay) {
            return Step{ agent, key, action, delay };
        },
        rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 14), rc::gen::inRange(0, 700));
    return rc::gen::container<std::vector<Step>>(15, step);
}

} // namespace

// Guards against a call that runs twice. Keys are retried through other processes during random crashes, pauses, outages, and lost
// and delayed replies.
RC_BOOST_PROP(runsAtMostOnce, ())
{
    const auto faults = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 10));
    const auto list = *rc::gen::noShrink(steps());
    runSimulation(list, faults, *rc::gen::inRange(-20, 40), *rc::gen::arbitrary<bool>());
}

// Guards against a call that runs twice or loses its result because of a fault at one step of the protocol. Each call to the
// platform gets each fault in turn, with and without a crash.
BOOST_AUTO_TEST_CASE(everyStepSurvivesEachFault)
{
    const std::vector<Step> list = {
        { 0, 0, 5, 0 },  { 1, 0, 5, 5 },   { 0, 1, 5, 0 },   { 2, 1, 1, 2 },   { 1, 2, 0, 3 },   { 0, 2, 5, 300 },
        { 2, 0, 5, 80 }, { 1, 1, 5, 400 }, { 0, 0, 5, 500 }, { 2, 2, 5, 100 }, { 0, 1, 5, 900 },
    };
    withEachFaultAtEachCall([&list](const std::vector<int> &faults, int crashCall, bool crashAfter) { runSimulation(list, faults, crashCall, crashAfter); });
}

// Guards against a key that replays the result of a different request, and against lost results: they are replayed by other
// processes and during an outage.
BOOST_AUTO_TEST_CASE(laterCallsGetTheFirstResult)
{
    Simulation simulation;
    Agent &first = *simulation.agents[0];
    Agent &second = *simulation.agents[1];
    BOOST_REQUIRE(ask(first, keyNumber(1)).decision == ClaimDecision::Run);
    const ClaimAnswer early = ask(second, keyNumber(1));
    BOOST_TEST((early.verdict == Verdict::MayHaveRun));
    BOOST_TEST((early.error == Errc::AlreadyExists));
    first.claims->finish(keyNumber(1), { .status = 201, .contentType = "text/plain", .body = "stamp 7" }, first.now());
    simulation.time.runUntil(simulation.time.now() + MicrosPerSecond);
    BOOST_TEST(first.claims->isIdle());
    BOOST_TEST(ask(second, keyNumber(1)).result.body == "stamp 7");
    const ClaimAnswer other = ask(second, keyNumber(1), "another digest");
    BOOST_TEST((other.error == Errc::Conflict));
    BOOST_TEST((other.verdict == Verdict::NotRun));
    simulation.platform.outage = true;
    BOOST_TEST(ask(second, keyNumber(1)).result.body == "stamp 7");
    const ClaimAnswer refused = ask(second, keyNumber(2));
    BOOST_TEST((refused.verdict == Verdict::NotRun));
    BOOST_TEST((refused.error == Errc::PlatformUnavailable));
}

// Guards against a separate platform write for each claim; the claims of a shard must be batched.
BOOST_AUTO_TEST_CASE(claimsOfAShardAreBatched)
{
    Simulation simulation;
    constexpr int count = 2000;
    int running = 0;
    for (int i = 0; i < count; ++i) {
        simulation.agents[0]->claims->claim(keyNumber(i), "digest", simulation.time.now(),
                                            [&](const ClaimAnswer &answer, Micros) { running += answer.decision == ClaimDecision::Run ? 1 : 0; });
    }
    simulation.time.runUntil(simulation.time.now() + 4 * MicrosPerSecond);
    BOOST_TEST(running == count);
    BOOST_TEST(simulation.platform.writes <= ClaimShards);
    BOOST_TEST_MESSAGE(count << " claims: " << simulation.platform.writes << " writes, " << simulation.platform.reads << " reads");
}

// Guards against a call that runs again after its claim has expired, also in a process whose clock is behind.
BOOST_AUTO_TEST_CASE(expiredKeysNeverRunAgain)
{
    Simulation simulation;
    Agent &first = *simulation.agents[0];
    Agent &slow = *simulation.agents[1];
    const std::int64_t millis = (WallStart + simulation.time.now()) / MicrosPerMilli;
    ClaimKey timed = keyNumber(1);
    timed.key = uuidAt(millis);
    for (const ClaimKey &key : { timed, keyNumber(2) }) {
        BOOST_REQUIRE(ask(first, key).decision == ClaimDecision::Run);
        first.claims->finish(key, { .status = 201, .contentType = {}, .body = "done" }, first.now());
    }
    simulation.time.runUntil(simulation.time.now() + MicrosPerSecond);
    first.wallOffset = Micros{ 25 } * 3600 * MicrosPerSecond;
    simulation.time.runUntil(simulation.time.now() + 2 * MicrosPerSecond);
    // A write to each shard drops its expired records.
    for (int i = 10; i < 500; ++i) {
        first.claims->claim(keyNumber(i), "digest", simulation.time.now(), [](const ClaimAnswer &, Micros) {});
    }
    simulation.time.runUntil(simulation.time.now() + 3 * MicrosPerSecond);
    for (Agent *agent : { &first, &slow }) {
        for (const ClaimKey &key : { timed, keyNumber(2) }) {
            const ClaimAnswer answer = ask(*agent, key);
            BOOST_TEST_INFO("key " << key.key << ", answered " << nameOf(answer.decision) << " " << answer.error.message());
            BOOST_TEST((answer.decision == ClaimDecision::Refused));
            BOOST_TEST((answer.error == Errc::KeyExpired));
            BOOST_TEST((answer.verdict != Verdict::NotRun));
        }
    }
}

// Guards against a shard that exceeds the size limit of the platform, and against keys without a timestamp that use up the space of
// keys with one: new keys must be refused when the space is exhausted.
BOOST_AUTO_TEST_CASE(fullShardRefusesNewKeys)
{
    Simulation simulation;
    Agent &agent = *simulation.agents[0];
    agent.shardLimitBytes = 16'384;
    agent.restart();
    int full = 0;
    for (int i = 0; i < 3000; ++i) {
        agent.claims->claim(keyNumber(i), "digest", simulation.time.now(), [&](const ClaimAnswer &answer, Micros) {
            if (answer.decision == ClaimDecision::Refused) {
                BOOST_TEST((answer.verdict == Verdict::NotRun));
                BOOST_TEST((answer.error == Errc::Overloaded));
                ++full;
            }
        });
    }
    simulation.time.runUntil(simulation.time.now() + 5 * MicrosPerSecond);
    BOOST_TEST(full > 0);
    for (const auto &[name, object] : simulation.platform.objects) {
        const std::optional<ClaimShard> shard = decodeShard(object.spec);
        BOOST_REQUIRE(shard);
        BOOST_TEST(shardBytes(*shard) <= agent.shardLimitBytes);
    }
}
