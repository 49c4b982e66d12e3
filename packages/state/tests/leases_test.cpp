#define BOOST_TEST_MODULE leases
#include <boost/test/unit_test.hpp>

#include "carobhall/leases.h"
#include "fake_platform.h"

#include <rapidcheck/boost_test.h>

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

constexpr Micros LoadBound = 4 * MicrosPerSecond;
constexpr Micros LongPause = 65 * MicrosPerSecond; ///< Longer than every lease.
constexpr const char *NoLoad = "-3";               ///< Orders with this number load no weights.
constexpr Micros ShortPause = 2 * MicrosPerSecond; ///< Leaves a slot less time than a load takes.
constexpr int ServerCount = 4;
constexpr int ProcessCount = 6;

/// Loads weights; recognises the identity of an order, and may ignore its fencing token.
struct Engine {
    bool checksFencing = false;
    FencingToken highest = 0;
    std::map<std::string, Micros> orders; ///< When each one has taken effect.
};

class World;

/// An agent with a runner; processes 4 and 5 are a second agent beside servers 0 and 1.
class Agent : public SimulatedProcess
{
public:
    Agent(World &owner, FakePlatform &fakePlatform, int index)
        : SimulatedProcess(fakePlatform, static_cast<Incarnation>(index) + 1)
        , world(owner)
        , server(index % ServerCount)
    {
        transport.clockShift = index * Micros{ 1'000'000'000 };
        pauseDuration = LongPause;
        start();
    }
    void pause() override
    {
        staleNow = now();
        SimulatedProcess::pause();
    }

    World &world;
    int server;
    std::unique_ptr<Leases> leases;
    std::unique_ptr<OrderRunner> runner;
    Micros staleNow = 0;            ///< The process was paused after it had read this time.
    std::uint64_t pauseAtGrant = 0; ///< The process is paused before it acts on this grant; 0: not at all.

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

/// A whole run, with the invariants asserted at each order and each change.
class World
{
public:
    World()
        : platform(time)
    {
        for (int i = 0; i < ProcessCount; ++i) {
            agents.push_back(std::make_unique<Agent>(*this, platform, i));
        }
        engines[1].checksFencing = true;
        platform.onChange = [this](const PlatformObject &) { checkHolders(); };
    }

    /// No more holders may act at once than the capacity, and never two under one token.
    void checkHolders()
    {
        std::map<std::string, std::set<Incarnation>> holders;
        for (const std::unique_ptr<Agent> &agent : agents) {
            for (const auto &[name, object] : platform.objects) {
                const std::optional<LeaseTable> table = decodeLeases(object.spec);
                const std::string lease = object.name.substr(std::string("guild-").size());
                for (FencingToken token = 1; table && agent->leases && token <= table->lastToken; ++token) {
                    if (agent->leases->mayAct(lease, token, agent->now())) {
                        holders[lease].insert(agent->incarnation);
                        const auto [known, fresh] = tokens.try_emplace({ lease, token }, agent->incarnation);
                        RC_ASSERT(fresh || known->second == agent->incarnation);
                    }
                }
            }
        }
        for (const auto &[lease, who] : holders) {
            RC_ASSERT(who.size() <= (lease == "load-slots" ? LoadSlots : 1));
        }
    }

    void receive(Agent &agent, const EngineOrder &order, const OrderHandler &done)
    {
        checkHolders();
        Engine &engine = engines[static_cast<std::size_t>(agent.server)];
        // A holder whose lease has gone to another one never gets as far as the engine.
        RC_ASSERT(order.fencing >= engine.highest);
        engine.highest = order.fencing;
        if (order.loadsWeights) {
            RC_ASSERT(outlastsLoad(agent));
        }
        ++sent[order.id];
        const auto [found, fresh] = engine.orders.try_emplace(order.id, time.now() + loadTime(order));
        std::size_t loads = 0;
        for (const Engine &each : engines) {
            loads += static_cast<std::size_t>(std::count_if(each.orders.begin(), each.orders.end(),
                                                            [&](const auto &entry) { return !entry.first.ends_with(NoLoad) && entry.second > time.now(); }));
        }
        mostLoads = std::max(mostLoads, loads);
        RC_ASSERT(loads <= LoadSlots);
        const bool answerLost = ++answers % 5 == 0;
        const Incarnation incarnation = agent.incarnation;
        time.at(answerLost ? time.now() + MicrosPerMilli : found->second, [&agent, incarnation, done, answerLost] {
            if (agent.runner && agent.incarnation == incarnation) {
                done(answerLost ? Verdict::MayHaveRun : Verdict::Ran, {}, agent.now());
            }
        });
    }

    /// Whether the agent's slot lasts as long as a load that starts now, so that it does so when the agent crashes.
    [[nodiscard]] bool outlastsLoad(const Agent &agent) const
    {
        const std::optional<LeaseTable> table = decodeLeases(platform.objects.at({ LeaseKind, "guild-load-slots" }).spec);
        return std::any_of(table->rows.begin(), table->rows.end(),
                           [&](const LeaseRow &row) { return agent.leases->mayAct("load-slots", row.token, agent.now(), LoadBound); });
    }

    Micros loadTime(const EngineOrder &order) const
    {
        return order.loadsWeights ? LoadBound - MicrosPerMilli * static_cast<Micros>(order.id.back() - '0') * 100 : MicrosPerMilli;
    }

    /// Orders \p number of the process's server.
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

    void act(int process, int action, int number)
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
    std::size_t mostLoads = 0;
    int answers = 0;
};

void Agent::create()
{
    leases = std::make_unique<Leases>(*client, LeasesOptions{ .environment = "guild", .holder = incarnation, .seed = incarnation, .onLost = {} });
    OrderRunnerOptions options{ .server = std::to_string(server), .loadBound = LoadBound, .clock = [this] { return now(); }, .send = {} };
    options.send = [this](const EngineOrder &order, const OrderHandler &done) { world.receive(*this, order, done); };
    runner = std::make_unique<OrderRunner>(*leases, options);
}

struct Step {
    int process = 0;
    int action = 0;
    int number = 0;
    int delay = 0; ///< Milliseconds after the step before.
};

void runWorld(const std::vector<Step> &steps, const std::vector<int> &faults, int crashAtCall, bool crashAfter)
{
    World world;
    std::size_t calls = 0;
    bool crashed = false;
    for (const std::unique_ptr<Agent> &agent : world.agents) {
        injectFaults(*agent, calls, faults, crashAtCall, crashAfter, crashed);
    }
    Micros at = world.time.now();
    for (const Step &step : steps) {
        at += step.delay * MicrosPerMilli;
        world.time.at(at, [&world, step] { world.act(step.process, step.action, step.number); });
    }
    world.time.runUntil(at + 5 * MicrosPerSecond);

    // Faults end. Rows of crashed holders expire, and every order gets done.
    world.platform.outage = false;
    for (const std::unique_ptr<Agent> &agent : world.agents) {
        agent->transport.decide = nullptr;
        if (!agent->client) {
            agent->restart();
        }
    }
    const auto orderAll = [&](Micros limit) {
        world.ran.clear();
        const auto allRan = [&] { return std::count_if(world.ran.begin(), world.ran.end(), [](const std::string &id) { return id.ends_with("-0"); }); };
        for (const Micros end = world.time.now() + limit; allRan() < ServerCount && world.time.now() < end;) {
            for (const std::unique_ptr<Agent> &agent : world.agents) {
                world.order(*agent, 0);
            }
            world.time.runUntil(world.time.now() + MicrosPerSecond);
        }
        RC_ASSERT(allRan() == ServerCount);
    };
    orderAll(240 * MicrosPerSecond);
    world.time.runUntil(world.time.now() + 60 * MicrosPerSecond);

    // An order that was recorded as done is not given to the engine again, whoever asks.
    const std::map<std::string, int> before = world.sent;
    orderAll(60 * MicrosPerSecond);
    world.time.runUntil(world.time.now() + 30 * MicrosPerSecond);
    RC_ASSERT(world.sent == before);
}

} // namespace

// Guards against two holders that act at once, a third load, a paused holder that acts late, and slots that stay taken.
RC_BOOST_PROP(leasesHoldUnderFaults, ())
{
    const auto step = rc::gen::apply(
        [](int process, int action, int number, int delay) {
            return Step{ process, action, number, delay };
        },
        rc::gen::inRange(0, ProcessCount), rc::gen::inRange(0, 12), rc::gen::inRange(0, 4), rc::gen::inRange(0, 3000));
    const auto list = *rc::gen::noShrink(rc::gen::container<std::vector<Step>>(25, step));
    const auto faults = *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 12));
    runWorld(list, faults, *rc::gen::inRange(-20, 60), *rc::gen::arbitrary<bool>());
}

// Guards against a step of the protocol where a crash or a lost or late answer does harm: each call in turn gets each fault.
BOOST_AUTO_TEST_CASE(everyStepSurvivesEachFault)
{
    const std::vector<Step> list = { { 0, 4, 0, 0 },  { 2, 4, 1, 0 },  { 0, 5, 0, 0 },   { 4, 5, 0, 10 },  { 1, 5, 1, 10 },
                                     { 2, 5, 0, 10 }, { 3, 5, 2, 10 }, { 1, 2, 0, 300 }, { 5, 5, 1, 4000 } };
    withEachFaultAtEachCall([&list](const std::vector<int> &faults, int crashCall, bool crashAfter) { runWorld(list, faults, crashCall, crashAfter); });
}

// Guards against an engine that does not check tokens and gets a stale order through a restarted agent.
BOOST_AUTO_TEST_CASE(gateRefusesStaleTokens)
{
    OrderGate gate;
    BOOST_TEST((gate.admit(7, "a") == Errc::PlatformUnavailable));
    gate.learn(7);
    BOOST_TEST((gate.admit(6, "b") == Errc::StaleFencingToken));
    BOOST_TEST(!gate.admit(7, "a"));
    BOOST_TEST(!gate.admit(7, "a"));
    BOOST_TEST((gate.admit(7, "b") == Errc::Conflict));
    BOOST_TEST(!gate.admit(9, "b"));
    BOOST_TEST((gate.admit(7, "a") == Errc::StaleFencingToken));
}

// Guards against fencing tokens that start again below earlier ones when an operator deletes a lease's object, and against rows
// that stay until they expire although their orders are done.
BOOST_AUTO_TEST_CASE(tokensGrowAcrossDeletion)
{
    World world;
    Agent &agent = *world.agents[2];
    FencingToken last = 0;
    for (int round = 0; round < 3; ++round) {
        world.order(agent, round);
        world.time.runUntil(world.time.now() + LoadBound + MicrosPerSecond);
        BOOST_TEST(world.engines[2].highest > last);
        for (const auto &[key, object] : world.platform.objects) {
            BOOST_TEST(decodeLeases(object.spec)->rows.empty());
        }
        last = world.engines[2].highest;
        PlatformReply reply;
        world.platform.put({ .verb = PlatformVerb::Delete, .kind = LeaseKind, .name = leaseObjectName("guild", "server-2"), .spec = {} }, reply);
    }
}

// Guards against a holder that loses its lease while it renews, and one that goes on acting in an outage.
BOOST_AUTO_TEST_CASE(heldLeaseIsRenewedAndEndsInAnOutage)
{
    World world;
    Agent &agent = *world.agents[2];
    FencingToken token = 0;
    agent.leases->acquire(serverLease("2", "inspection"), agent.now(), [&](LeaseAnswer answer, Micros) { token = answer.token; });
    const auto actsAfter = [&](Micros duration) {
        world.time.runUntil(world.time.now() + duration);
        return agent.leases->mayAct("server-2", token, agent.now());
    };
    BOOST_TEST(actsAfter(MicrosPerSecond));
    BOOST_TEST(actsAfter(180 * MicrosPerSecond));
    world.platform.outage = true;
    BOOST_TEST(!actsAfter(60 * MicrosPerSecond));
    world.platform.outage = false;
    BOOST_TEST(actsAfter(20 * MicrosPerSecond)); // Nobody has taken the row, so the token is still the newest.
}

// Guards against a holder that counts from a late answer: its process was paused after the write, and another one took the row.
BOOST_AUTO_TEST_CASE(lateAnswerGrantsNothing)
{
    World world;
    Agent &paused = *world.agents[0];
    Agent &other = *world.agents[4];
    std::map<Agent *, FencingToken> tokens;
    for (Agent *agent : { &paused, &other }) {
        LeaseRequest request = serverLease("0", "inspection by " + std::to_string(agent->incarnation));
        request.timeout = 200 * MicrosPerSecond;
        agent->leases->acquire(request, agent->now(), [&tokens, agent](LeaseAnswer answer, Micros) { tokens[agent] = answer.token; });
        world.time.runUntil(world.time.now() + 12 * MicrosPerMilli);
        if (agent == &paused) {
            paused.pauseDuration = 100 * MicrosPerSecond;
            paused.transport.decide = [&](const PlatformCall &call) {
                if (call.verb == PlatformVerb::Update) {
                    paused.pause();
                }
                return Fate{};
            };
        }
    }
    world.time.runUntil(world.time.now() + 110 * MicrosPerSecond);
    BOOST_TEST(other.leases->mayAct("server-0", tokens[&other], other.now()));
    BOOST_TEST(!paused.leases->mayAct("server-0", tokens[&paused], paused.now()));
}
