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

/// A tenth of the production values, to keep the tests short.
constexpr Micros Sustain = 3 * MicrosPerSecond;
constexpr Micros Cooldown = 6 * MicrosPerSecond;

struct Simulation;

class PlacerProcess : public SimulatedProcess
{
public:
    PlacerProcess(Simulation &owner, FakePlatform &fakePlatform, int index)
        : SimulatedProcess(fakePlatform, static_cast<Incarnation>(index) + 1)
        , simulation(owner)
    {
        transport.clockOffset = index * Micros{ 1'000'000'000 };
        pauseDuration = Cooldown + MicrosPerSecond;
        start();
    }

    Simulation &simulation;
    std::unique_ptr<Placer> placer;

private:
    void create() override;
    void destroy() override
    {
        placer.reset();
    }
    void onTick() override;
};

/// Three concurrent placers on one table. Asserts the invariants at each change and each order.
struct Simulation {
    Simulation()
        : platform(time)
    {
        for (int i = 0; i < ServerCount; ++i) {
            const std::string model = "model-" + std::to_string(i % ModelCount);
            servers.push_back({ .name = "server-" + std::to_string(i),
                                .zone = "zone-" + std::to_string(i % 2),
                                .documentModel = model,
                                .reportedModel = model,
                                .slots = SlotsPerServer });
        }
        for (int i = 0; i < 3; ++i) {
            processes.push_back(std::make_unique<PlacerProcess>(*this, platform, i));
        }
        platform.onChange = [this](const PlatformObject &object) { onChange(object); };
    }

    void onChange(const PlatformObject &object)
    {
        const std::optional<PlacementTable> table = decodePlacement(object.spec);
        RC_ASSERT(table);
        std::map<std::string, std::size_t> remaining;
        int moved = 0;
        for (const PlacementServer &server : servers) {
            ++remaining[modelOf(*table, server)];
            moved += modelOf(*table, server) == modelOf(current, server) ? 0 : 1;
        }
        RC_ASSERT(moved == 1);
        RC_ASSERT(remaining.size() == static_cast<std::size_t>(ModelCount));
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
        // Simulates the effect of the server's lease: an order with a known identity is not carried out again.
        if (fresh) {
            server.reportedModel = order.model;
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
    std::array<double, ModelCount> demand{ 1, 1, 1 }; ///< By model, in servers.
    std::vector<std::unique_ptr<PlacerProcess>> processes;
    std::map<std::string, std::string> orders;
    PlacementTable current;
    Micros changedAt = 0;
    int changes = 0;
};

void PlacerProcess::create()
{
    PlacerOptions options{ .environment = "guild", .seed = incarnation, .onOrder = {} };
    options.readEvery = Cooldown / 12;
    options.sustainedFor = Sustain;
    options.cooldown = Cooldown;
    options.onOrder = [this](const std::string &server, const EngineOrder &order, Micros) { simulation.onOrder(server, order); };
    placer = std::make_unique<Placer>(*client, options);
    placer->setActive(true);
}

void PlacerProcess::onTick()
{
    placer->setInput(simulation.servers, simulation.demandNow());
    placer->tick(now());
}

} // namespace

// Guards against concurrent placers that move two servers at once, move the last server of a model, or stop making moves after
// crashes, pauses and lost replies.
RC_BOOST_PROP(concurrentPlacersKeepInvariants, ())
{
    Simulation simulation;
    const auto faults = *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 8));
    const auto actions = *rc::gen::container<std::vector<std::pair<int, int>>>(20, rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 3)));
    std::size_t calls = 0;
    bool crashed = false;
    for (const std::unique_ptr<PlacerProcess> &process : simulation.processes) {
        injectFaults(*process, calls, faults, *rc::gen::inRange(-20, 60), *rc::gen::arbitrary<bool>(), crashed);
    }
    for (const auto &[action, target] : actions) {
        PlacerProcess &process = *simulation.processes[static_cast<std::size_t>(target)];
        if (action == 0) {
            process.restart();
        } else if (action == 1) {
            process.pause();
        } else if (action == 2) {
            simulation.platform.outage = !simulation.platform.outage;
        } else {
            simulation.demand = { 1, 1, 1 };
            simulation.demand[static_cast<std::size_t>(target)] = action;
        }
        simulation.time.runUntil(simulation.time.now() + 2 * MicrosPerSecond);
    }
    // No more faults. A model with a demand of 6 servers must get at least 8, which keeps it below the high watermark.
    simulation.platform.outage = false;
    for (const std::unique_ptr<PlacerProcess> &process : simulation.processes) {
        process->transport.faultFor = nullptr;
        process->transport.pausedUntil = 0;
        if (!process->client) {
            process->restart();
        }
    }
    simulation.demand = { 0.5, 6, 0.5 };
    simulation.time.runUntil(simulation.time.now() + 120 * MicrosPerSecond);
    const auto serving = std::count_if(simulation.servers.begin(), simulation.servers.end(),
                                       [](const PlacementServer &server) { return server.reportedModel == "model-1"; });
    RC_ASSERT(serving >= 8);
    const int before = simulation.changes;
    simulation.time.runUntil(simulation.time.now() + 60 * MicrosPerSecond);
    RC_ASSERT(simulation.changes == before);
}

// Guards against oscillating moves when the demand varies around a watermark or peaks briefly.
BOOST_AUTO_TEST_CASE(demandVariationCausesNoMoves)
{
    Simulation simulation;
    Generator generator(1);
    for (int step = 0; step < 3600; ++step) {
        for (double &demand : simulation.demand) {
            demand = std::uniform_real_distribution<double>(1.6, 3.6)(generator);
        }
        if (step % 120 < 20) {
            simulation.demand[0] = 8;
        }
        simulation.time.runUntil(simulation.time.now() + 100 * MicrosPerMilli);
    }
    BOOST_TEST(simulation.changes == 0);
}

// Guards against a restarted engine that does not receive its order again, and against an override that remains in effect after
// operators have changed the document model.
BOOST_AUTO_TEST_CASE(ordersFollowEngineRestartsAndDocumentChanges)
{
    Simulation simulation;
    simulation.demand = { 0.5, 6, 0.5 };
    simulation.time.runUntil(simulation.time.now() + 12 * MicrosPerSecond);
    BOOST_REQUIRE(!simulation.current.overrides.empty());
    const std::string moved = simulation.current.overrides.begin()->first;
    PlacementServer &server = *std::find_if(simulation.servers.begin(), simulation.servers.end(),
                                            [&](const PlacementServer &each) { return each.name == moved; });
    BOOST_TEST(server.reportedModel == "model-1");
    server.reportedModel = server.documentModel;
    server.engineIncarnation = 2;
    simulation.time.runUntil(simulation.time.now() + 20 * MicrosPerSecond);
    BOOST_TEST(server.reportedModel == "model-1");
    server.documentModel = "model-3";
    BOOST_TEST(modelOf(simulation.current, server) == "model-3");
}

// Guards against a move that takes the last server of a model, or that overloads the donor.
BOOST_AUTO_TEST_CASE(donorsKeepRequiredServers)
{
    const auto server = [](const std::string &name, const std::string &model) {
        return PlacementServer{ .name = name, .zone = "zone-0", .documentModel = model, .reportedModel = model, .slots = 10.0 };
    };
    const std::vector<PlacementServer> servers = { server("s1", "idle"), server("s2", "busy"), server("s3", "busy"), server("s4", "hot") };
    const auto move = [&](double busy) { return nextMove({}, servers, { { .model = "busy", .slots = busy }, { .model = "hot", .slots = 40 } }, {}); };
    BOOST_TEST(!move(9)); // The busy model would keep one server at 90% utilization, and the idle model has only one server.
    BOOST_REQUIRE(move(5));
    BOOST_TEST(move(5)->server == "s2");
}
