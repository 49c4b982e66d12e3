#define BOOST_TEST_MODULE leases
#include <boost/test/unit_test.hpp>

#include "carobhall/leases.h"
#include "fake_platform.h"

#include <rapidcheck/boost_test.h>

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

constexpr Micros MaxLoadTime = 4 * MicrosPerSecond;
constexpr Micros LongPause = 65 * MicrosPerSecond; ///< Longer than any lease duration in this test.
constexpr const char *NoLoad = "-3";               ///< Suffix of orders that do not load weights.
constexpr Micros ShortPause = 2 * MicrosPerSecond; ///< After this pause the remaining lease time of a slot is shorter than a load.
constexpr int ServerCount = 4;
constexpr int ProcessCount = 6;

/// Simulated engine. Deduplicates orders by identity, and may ignore fencing tokens.
struct Engine {
    bool checksFencing = false;
    FencingToken highest = 0;
    std::map<std::string, Micros> orders; ///< Time at which each order has taken effect.
};

class Simulation;

/// A process with an order runner for one server. Processes 4 and 5 are second agents of servers 0 and 1.
class Agent : public SimulatedProcess
{
public:
    Agent(Simulation &owner, FakePlatform &fakePlatform, int index)
        : SimulatedProcess(fakePlatform, static_cast<Incarnation>(index) + 1)
        , simulation(owner)
        , server(index % ServerCount)
    {
        transport.clockOffset = index * Micros{ 1'000'000'000 };
        pauseDuration = LongPause;
        start();
    }
    void pause() override
    {
        staleNow = now();
        SimulatedProcess::pause();
    }

    Simulation &simulation;
    int server;
    std::unique_ptr<Leases> leases;
    std::unique_ptr<OrderRunner> runner;
    Micros staleNow = 0;            ///< Clock value that the process read before it was paused; 0: none.
    std::uint64_t pauseAtGrant = 0; ///< Pause the process before it acts on the grant with this number; 0: never.

private:
    void create() override;
    void destroy() override
    {
        runner.reset();
        leases.reset();
        pauseAtGrant = 0;
    }
    void onTick() override
    {
        if (staleNow != 0) {
            runner->tick(std::exchange(staleNow, 0));
        }
        leases->tick(now());
        if (pauseAtGrant != 0 && leases->stats().granted >= pauseAtGrant) {
            pauseAtGrant = 0;
            pause();
            return;
        }
        runner->tick(now());
    }
};

/// Simulates agents and engines. Asserts the invariants at each order and each change of an object.
class Simulation
{
public:
    Simulation()
        : platform(time)
    {
        for (int i = 0; i < ProcessCount; ++i) {
            agents.push_back(std::make_unique<Agent>(*this, platform, i));
        }
        engines[1].checksFencing = true;
        platform.onChange = [this](const PlatformObject &) { checkHolders(); };
    }

    /// Asserts that no more holders than the capacity may act at the same time, and never two under one token.
    void checkHolders()
    {
        std::map<std::string, std::set<Incarnation>> holders;
        for (const std::unique_ptr<Agent> &agent : agents) {
            for (const auto &[name, object] : platform.objects) {
                const std::optional<LeaseTable> table = decodeLeases(object.spec);
                const std::string lease = object.name.substr(std::string("guild-").size());
                for (FencingToken token = 1; table && agent->leases && token <= table->lastToken; ++token) {
                    if (agent->leases->isValid(lease, token, agent->now())) {
                        holders[lease].insert(agent->incarnation);
                        const auto [known, fresh] = tokens.try_emplace({ lease, token }, agent->incarnation);
                        RC_ASSERT(fresh || known->second == agent->incarnation);
                    }
                }
            }
        }
        for (const auto &[lease, holderSet] : holders) {
            RC_ASSERT(holderSet.size() <= (lease == "load-slots" ? LoadSlotCount : 1));
        }
    }

    void receive(Agent &agent, const EngineOrder &order, const OrderHandler &done)
    {
        checkHolders();
        Engine &engine = engines[static_cast<std::size_t>(agent.server)];
        // An order of a process that has lost its lease must not reach the engine.
        RC_ASSERT(order.leaseToken >= engine.highest);
        engine.highest = order.leaseToken;
        if (order.loadsWeights) {
            RC_ASSERT(slotOutlastsLoad(agent));
        }
        ++sent[order.id];
        const auto [found, fresh] = engine.orders.try_emplace(order.id, time.now() + loadTime(order));
        std::size_t loads = 0;
        for (const Engine &each : engines) {
            loads += static_cast<std::size_t>(std::count_if(each.orders.begin(), each.orders.end(),
                                                            [&](const auto &entry) { return !entry.first.ends_with(NoLoad) && entry.second > time.now(); }));
        }
        maxConcurrentLoads = std::max(maxConcurrentLoads, loads);
        RC_ASSERT(loads <= LoadSlotCount);
        const bool answerLost = ++replyCount % 5 == 0;
        const Incarnation incarnation = agent.incarnation;
        time.at(answerLost ? time.now() + MicrosPerMilli : found->second, [&agent, incarnation, done, answerLost] {
            if (agent.runner && agent.incarnation == incarnation) {
                done(answerLost ? Verdict::MayHaveRun : Verdict::Ran, {}, agent.now());
            }
        });
    }

    /// Whether the agent's load slot outlasts a load that starts now. This must hold even if the agent crashes during the load.
    [[nodiscard]] bool slotOutlastsLoad(const Agent &agent) const
    {
        const std::optional<LeaseTable> table = decodeLeases(platform.objects.at({ LeaseKind, "guild-load-slots" }).spec);
        return std::any_of(table->records.begin(), table->records.end(),
                           [&](const LeaseRecord &record) { return agent.leases->isValid("load-slots", record.token, agent.now(), MaxLoadTime); });
    }

    Micros loadTime(const EngineOrder &order) const
    {
        return order.loadsWeights ? MaxLoadTime - MicrosPerMilli * static_cast<Micros>(order.id.back() - '0') * 100 : MicrosPerMilli;
    }

    /// Runs order \p number on the agent's server.
    void order(Agent &agent, int number)
    {
        if (!agent.isUp()) {
            return;
        }
        const std::string id = "server-" + std::to_string(agent.server) + "-order-" + std::to_string(number);
        EngineOrder order{ .id = id, .action = "load_model", .model = "m", .weightsVersion = "1", .loadsWeights = !id.ends_with(NoLoad) };
        agent.runner->run(order, agent.now(), [this, id](Verdict verdict, std::error_code, Micros) {
            if (verdict == Verdict::Ran) {
                RC_ASSERT(sent[id] > 0);
                ran.insert(id);
            }
        });
    }

    void apply(int process, int action, int number)
    {
        Agent &agent = *agents[static_cast<std::size_t>(process)];
        if (action == 0) {
            agent.crash();
        } else if (action == 1 && !agent.client) {
            agent.restart();
        } else if (action == 2) {
            agent.pause();
        } else if (action == 3) {
            platform.outage = !platform.outage;
        } else if (action == 4 && agent.client) {
            agent.pauseAtGrant = agent.leases->stats().granted + 2;
            agent.pauseDuration = number % 2 == 0 ? LongPause : ShortPause;
        } else {
            order(agent, number);
        }
    }

    VirtualTime time;
    FakePlatform platform;
    std::vector<std::unique_ptr<Agent>> agents;
    std::array<Engine, ServerCount> engines;
    std::map<std::pair<std::string, FencingToken>, Incarnation> tokens;
    std::map<std::string, int> sent;
    std::set<std::string> ran;
    std::size_t maxConcurrentLoads = 0;
    int replyCount = 0;
};

void Agent::create()
{
    leases = std::make_unique<Leases>(*client, LeasesOptions{ .environment = "guild", .holder = incarnation, .seed = incarnation, .onLost = {} });
    OrderRunnerOptions options{ .server = std::to_string(server), .maxLoadTime = MaxLoadTime, .clock = [this] { return now(); }, .send = {} };
    options.send = [this](const EngineOrder &order, const OrderHandler &done) { simulation.receive(*this, order, done); };
    runner = std::make_unique<OrderRunner>(*leases, options);
}

struct Step {
    int process = 0;
    int action = 0;
    int number = 0;
    int delay = 0; ///< Milliseconds after the previous step.
};

void runSimulation(const std::vector<Step> &steps, const std::vector<int> &faults, int crashAtCall, bool crashAfter)
{
    Simulation simulation;
    std::size_t calls = 0;
    bool crashed = false;
    for (const std::unique_ptr<Agent> &agent : simulation.agents) {
        injectFaults(*agent, calls, faults, crashAtCall, crashAfter, crashed);
    }
    Micros at = simulation.time.now();
    for (const Step &step : steps) {
        at += step.delay * MicrosPerMilli;
        simulation.time.at(at, [&simulation, step] { simulation.apply(step.process, step.action, step.number); });
    }
    simulation.time.runUntil(at + 5 * MicrosPerSecond);

    // No more faults. Records of crashed holders expire, and every order must complete.
    simulation.platform.outage = false;
    for (const std::unique_ptr<Agent> &agent : simulation.agents) {
        agent->transport.faultFor = nullptr;
        if (!agent->client) {
            agent->restart();
        }
    }
    const auto orderAll = [&](Micros limit) {
        simulation.ran.clear();
        const auto allRan = [&] {
            return std::count_if(simulation.ran.begin(), simulation.ran.end(), [](const std::string &id) { return id.ends_with("-0"); });
        };
        for (const Micros end = simulation.time.now() + limit; allRan() < ServerCount && simulation.time.now() < end;) {
            for (const std::unique_ptr<Agent> &agent : simulation.agents) {
                simulation.order(*agent, 0);
            }
            simulation.time.runUntil(simulation.time.now() + MicrosPerSecond);
        }
        RC_ASSERT(allRan() == ServerCount);
    };
    orderAll(240 * MicrosPerSecond);
    simulation.time.runUntil(simulation.time.now() + 60 * MicrosPerSecond);

    // An order that is recorded as done must not be sent to the engine again, regardless of which process requests it.
    const std::map<std::string, int> before = simulation.sent;
    orderAll(60 * MicrosPerSecond);
    simulation.time.runUntil(simulation.time.now() + 30 * MicrosPerSecond);
    RC_ASSERT(simulation.sent == before);
}

} // namespace

// Guards against two concurrent holders of a server lease, more than two concurrent loads, a holder that acts after a pause although
// its lease has expired, and load slots that are never freed. Faults are injected at random.
RC_BOOST_PROP(leasesHoldUnderFaults, ())
{
    const auto step = rc::gen::apply(
        [](int process, int action, int number, int delay) {
            return Step{ process, action, number, delay };
        },
        rc::gen::inRange(0, ProcessCount), rc::gen::inRange(0, 12), rc::gen::inRange(0, 4), rc::gen::inRange(0, 3000));
    const auto list = *rc::gen::noShrink(rc::gen::container<std::vector<Step>>(25, step));
    const auto faults = *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 12));
    runSimulation(list, faults, *rc::gen::inRange(-20, 60), *rc::gen::arbitrary<bool>());
}

// Guards against violations of these invariants by a fault at one step of the protocol. Each call to the platform gets each fault in
// turn, with and without a crash.
BOOST_AUTO_TEST_CASE(everyStepSurvivesEachFault)
{
    const std::vector<Step> list = { { 0, 4, 0, 0 },  { 2, 4, 1, 0 },  { 0, 5, 0, 0 },   { 4, 5, 0, 10 },  { 1, 5, 1, 10 },
                                     { 2, 5, 0, 10 }, { 3, 5, 2, 10 }, { 1, 2, 0, 300 }, { 5, 5, 1, 4000 } };
    withEachFaultAtEachCall([&list](const std::vector<int> &faults, int crashCall, bool crashAfter) { runSimulation(list, faults, crashCall, crashAfter); });
}

// Guards against a restarted agent that forwards a stale order to an engine that does not check fencing tokens.
BOOST_AUTO_TEST_CASE(gateRefusesStaleTokens)
{
    OrderGate gate;
    BOOST_TEST((gate.admit(7, "a") == Errc::PlatformUnavailable));
    gate.observeToken(7);
    BOOST_TEST((gate.admit(6, "b") == Errc::StaleFencingToken));
    BOOST_TEST(!gate.admit(7, "a"));
    BOOST_TEST(!gate.admit(7, "a"));
    BOOST_TEST((gate.admit(7, "b") == Errc::Conflict));
    BOOST_TEST(!gate.admit(9, "b"));
    BOOST_TEST((gate.admit(7, "a") == Errc::StaleFencingToken));
}

// Guards against fencing tokens that restart below earlier ones when an operator deletes a lease object, and against records that
// remain until they expire although their orders are done.
BOOST_AUTO_TEST_CASE(tokensGrowAcrossDeletion)
{
    Simulation simulation;
    Agent &agent = *simulation.agents[2];
    FencingToken last = 0;
    for (int round = 0; round < 3; ++round) {
        simulation.order(agent, round);
        simulation.time.runUntil(simulation.time.now() + MaxLoadTime + MicrosPerSecond);
        BOOST_TEST(simulation.engines[2].highest > last);
        for (const auto &[key, object] : simulation.platform.objects) {
            BOOST_TEST(decodeLeases(object.spec)->records.empty());
        }
        last = simulation.engines[2].highest;
        PlatformReply reply;
        simulation.platform.put({ .verb = PlatformVerb::Delete, .kind = LeaseKind, .name = leaseObjectName("guild", "server-2"), .spec = {} }, reply);
    }
}

// Guards against a lease that is lost despite renewals, and against a holder that continues to act during an outage in which it
// cannot renew.
BOOST_AUTO_TEST_CASE(heldLeaseIsRenewedAndEndsInAnOutage)
{
    Simulation simulation;
    Agent &agent = *simulation.agents[2];
    FencingToken token = 0;
    agent.leases->acquire(serverLease("2", "inspection"), agent.now(), [&](LeaseAnswer answer, Micros) { token = answer.token; });
    const auto isValidAfter = [&](Micros duration) {
        simulation.time.runUntil(simulation.time.now() + duration);
        return agent.leases->isValid("server-2", token, agent.now());
    };
    BOOST_TEST(isValidAfter(MicrosPerSecond));
    BOOST_TEST(isValidAfter(180 * MicrosPerSecond));
    simulation.platform.outage = true;
    BOOST_TEST(!isValidAfter(60 * MicrosPerSecond));
    simulation.platform.outage = false;
    BOOST_TEST(isValidAfter(20 * MicrosPerSecond)); // No other process has taken the record, so the token is still the newest.
}

// Guards against a lease duration that is measured from the arrival of the reply. The process is paused after the write, and another
// process takes over the record before the reply is handled.
BOOST_AUTO_TEST_CASE(lateAnswerGrantsNothing)
{
    Simulation simulation;
    Agent &paused = *simulation.agents[0];
    Agent &other = *simulation.agents[4];
    std::map<Agent *, FencingToken> tokens;
    for (Agent *agent : { &paused, &other }) {
        LeaseRequest request = serverLease("0", "inspection by " + std::to_string(agent->incarnation));
        request.timeout = 200 * MicrosPerSecond;
        agent->leases->acquire(request, agent->now(), [&tokens, agent](LeaseAnswer answer, Micros) { tokens[agent] = answer.token; });
        simulation.time.runUntil(simulation.time.now() + 12 * MicrosPerMilli);
        if (agent == &paused) {
            paused.pauseDuration = 100 * MicrosPerSecond;
            paused.transport.faultFor = [&](const PlatformCall &call) {
                if (call.verb == PlatformVerb::Update) {
                    paused.pause();
                }
                return CallFault{};
            };
        }
    }
    simulation.time.runUntil(simulation.time.now() + 110 * MicrosPerSecond);
    BOOST_TEST(other.leases->isValid("server-0", tokens[&other], other.now()));
    BOOST_TEST(!paused.leases->isValid("server-0", tokens[&paused], paused.now()));
}
