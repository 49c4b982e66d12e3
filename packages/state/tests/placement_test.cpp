#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>

#include "carobhall/placement.h"
#include "fake_platform.h"

#include <rapidcheck/boost_test.h>
#include <set>

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

constexpr int ModelCount = 3;
constexpr int ServerCount = 12;
constexpr double SlotsPerServer = 8;

/// A tenth of the real times, so that runs are short.
constexpr Micros Sustain = 3 * MicrosPerSecond;
constexpr Micros Cooldown = 6 * MicrosPerSecond;

struct World;

class Actor : public SimulatedProcess
{
public:
    Actor(World &owner, FakePlatform &fakePlatform, int index)
        : SimulatedProcess(fakePlatform, static_cast<Incarnation>(index) + 1)
        , world(owner)
    {
        transport.clockShift = index * Micros{ 1'000'000'000 };
        pauseDuration = Cooldown + MicrosPerSecond;
        start();
    }

    World &world;
    std::unique_ptr<Placer> placer;

private:
    void create() override;
    void destroy() override
    {
        placer.reset();
    }
    void onTick() override;
};

/// Three actors at once over one table, with the invariants asserted at each change and each order.
struct World {
    World()
        : platform(time)
    {
        for (int i = 0; i < ServerCount; ++i) {
            const std::string model = "model-" + std::to_string(i % ModelCount);
            servers.push_back(
                { .name = "server-" + std::to_string(i), .zone = "zone-" + std::to_string(i % 2), .base = model, .loaded = model, .slots = SlotsPerServer });
        }
        for (int i = 0; i < 3; ++i) {
            actors.push_back(std::make_unique<Actor>(*this, platform, i));
        }
        platform.onChange = [this](const PlatformObject &object) { onChange(object); };
    }

    void onChange(const PlatformObject &object)
    {
        const std::optional<PlacementTable> table = decodePlacement(object.spec);
        RC_ASSERT(table);
        std::map<std::string, std::size_t> left;
        int moved = 0;
        for (const PlacementServer &server : servers) {
            ++left[modelOf(*table, server)];
            moved += modelOf(*table, server) == modelOf(current, server) ? 0 : 1;
        }
        RC_ASSERT(moved == 1);
        RC_ASSERT(left.size() == static_cast<std::size_t>(ModelCount));
        RC_ASSERT(changedAt == 0 || time.now() - changedAt >= Cooldown);
        changedAt = time.now();
        current = *table;
        ++changes;
    }

    void onOrder(const std::string &name, const EngineOrder &order)
    {
        const auto [known, fresh] = orders.try_emplace(order.id, order.model);
        RC_ASSERT(known->second == order.model);
        PlacementServer &server = *std::find_if(servers.begin(), servers.end(), [&](const PlacementServer &each) { return each.name == name; });
        // What the server's lease sees to: an order whose identity is known is not carried out again.
        if (fresh) {
            server.loaded = order.model;
        }
    }

    [[nodiscard]] std::vector<ModelDemand> demandNow() const
    {
        std::vector<ModelDemand> list;
        list.reserve(ModelCount);
        for (int i = 0; i < ModelCount; ++i) {
            list.push_back({ .model = "model-" + std::to_string(i), .slots = demand[static_cast<std::size_t>(i)] * SlotsPerServer });
        }
        return list;
    }

    VirtualTime time;
    FakePlatform platform;
    std::vector<PlacementServer> servers;
    std::array<double, ModelCount> demand{ 1, 1, 1 }; ///< In servers.
    std::vector<std::unique_ptr<Actor>> actors;
    std::map<std::string, std::string> orders;
    PlacementTable current;
    Micros changedAt = 0;
    int changes = 0;
};

void Actor::create()
{
    PlacerOptions options{ .environment = "guild", .seed = incarnation, .onOrder = {} };
    options.readEvery = Cooldown / 12;
    options.sustain = Sustain;
    options.cooldown = Cooldown;
    options.onOrder = [this](const std::string &server, const EngineOrder &order, Micros) { world.onOrder(server, order); };
    placer = std::make_unique<Placer>(*client, options);
    placer->setActive(true);
}

void Actor::onTick()
{
    placer->setInput(world.servers, world.demandNow());
    placer->tick(now());
}

} // namespace

// Guards against actors that move two servers at once, empty a model, or give up after crashes, pauses and lost answers.
RC_BOOST_PROP(concurrentActorsDoNoHarm, ())
{
    World world;
    const auto faults = *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 8));
    const auto actions = *rc::gen::container<std::vector<std::pair<int, int>>>(20, rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 3)));
    std::size_t calls = 0;
    bool crashed = false;
    for (const std::unique_ptr<Actor> &actor : world.actors) {
        injectFaults(*actor, calls, faults, *rc::gen::inRange(-20, 60), *rc::gen::arbitrary<bool>(), crashed);
    }
    for (const auto &[action, target] : actions) {
        Actor &actor = *world.actors[static_cast<std::size_t>(target)];
        if (action == 0) {
            actor.restart();
        } else if (action == 1) {
            actor.pause();
        } else if (action == 2) {
            world.platform.outage = !world.platform.outage;
        } else {
            world.demand = { 1, 1, 1 };
            world.demand[static_cast<std::size_t>(target)] = action;
        }
        world.time.runUntil(world.time.now() + 2 * MicrosPerSecond);
    }
    // Faults end. The demand of 6 servers for one model gets at least the 8 that keep it under the limit.
    world.platform.outage = false;
    for (const std::unique_ptr<Actor> &actor : world.actors) {
        actor->transport.decide = nullptr;
        actor->transport.pausedUntil = 0;
        if (!actor->client) {
            actor->restart();
        }
    }
    world.demand = { 0.5, 6, 0.5 };
    world.time.runUntil(world.time.now() + 120 * MicrosPerSecond);
    const auto serving = std::count_if(world.servers.begin(), world.servers.end(), [](const PlacementServer &server) { return server.loaded == "model-1"; });
    RC_ASSERT(serving >= 8);
    const int before = world.changes;
    world.time.runUntil(world.time.now() + 60 * MicrosPerSecond);
    RC_ASSERT(world.changes == before);
}

// Guards against servers that move to and fro when the demand varies around a limit or surges for a moment.
BOOST_AUTO_TEST_CASE(variationMovesNothing)
{
    World world;
    Generator generator(1);
    for (int step = 0; step < 3600; ++step) {
        for (double &demand : world.demand) {
            demand = std::uniform_real_distribution<double>(1.6, 3.6)(generator);
        }
        if (step % 120 < 20) {
            world.demand[0] = 8;
        }
        world.time.runUntil(world.time.now() + 100 * MicrosPerMilli);
    }
    BOOST_TEST(world.changes == 0);
}

// Guards against an order that a restarted engine does not get again, and against a table that overrules the operators.
BOOST_AUTO_TEST_CASE(ordersFollowTheEngineAndTheDocument)
{
    World world;
    world.demand = { 0.5, 6, 0.5 };
    world.time.runUntil(world.time.now() + 12 * MicrosPerSecond);
    BOOST_REQUIRE(!world.current.rows.empty());
    const std::string moved = world.current.rows.begin()->first;
    PlacementServer &server = *std::find_if(world.servers.begin(), world.servers.end(), [&](const PlacementServer &each) { return each.name == moved; });
    BOOST_TEST(server.loaded == "model-1");
    server.loaded = server.base;
    server.engine = 2;
    world.time.runUntil(world.time.now() + 20 * MicrosPerSecond);
    BOOST_TEST(server.loaded == "model-1");
    server.base = "model-3";
    BOOST_TEST(modelOf(world.current, server) == "model-3");
}

// Guards against a move that takes a model's last server, or only passes the shortage on.
BOOST_AUTO_TEST_CASE(donorsKeepWhatTheyNeed)
{
    const auto server = [](const std::string &name, const std::string &model) {
        return PlacementServer{ .name = name, .zone = "zone-0", .base = model, .loaded = model, .slots = 10.0 };
    };
    const std::vector<PlacementServer> servers = { server("s1", "idle"), server("s2", "busy"), server("s3", "busy"), server("s4", "hot") };
    const auto move = [&](double busy) { return nextMove({}, servers, { { .model = "busy", .slots = busy }, { .model = "hot", .slots = 40 } }, {}); };
    BOOST_TEST(!move(9)); // One server is left with 90% of its slots in use; the idle model has one server only.
    BOOST_REQUIRE(move(5));
    BOOST_TEST(move(5)->server == "s2");
}
