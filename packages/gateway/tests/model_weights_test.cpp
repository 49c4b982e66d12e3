#include <boost/test/unit_test.hpp>

#include "carobhall/upstream_table.h"

#include <map>
#include <random>
#include <vector>

// Which engines take requests while weights of several models are rolled out, each with its own versions.

using namespace Carobhall;

namespace
{

constexpr Micros Second = MicrosPerSecond;
constexpr Micros WeightsDeadline = 8 * Second;
constexpr std::size_t EnginesPerService = 3;

struct ModelService {
    std::string name;
    std::string model;
};

/// Three models; two services serve the first one. The versions of a model do not compare with those of another.
const std::vector<ModelService> &modelServices()
{
    static const std::vector<ModelService> services{ { "chat", "m0" }, { "draft", "m0" }, { "review", "m1" }, { "check", "m2" } };
    return services;
}

struct FleetEngine {
    std::string id;
    std::string ip;
    const ModelService *service = nullptr;
    std::uint64_t weights = 1;
};

/// Engines of all services, and the table of a gateway that hears of them.
class ModelFleet
{
public:
    explicit ModelFleet(std::uint64_t seed)
        : table({ .zone = "a", .regionOfZone = { { "a", "east" } } }, seed, WeightsDeadline)
    {
        for (const ModelService &service : modelServices()) {
            for (std::size_t i = 0; i < EnginesPerService; ++i) {
                const std::string number = std::to_string(engines.size() + 1);
                engines.push_back({ .id = "i-" + number, .ip = "10.1.0." + number, .service = &service });
                table.update({ .id = "i-" + number,
                               .service = service.name,
                               .address = "10.1.0." + number + ":80",
                               .zone = "a",
                               .slots = 96,
                               .model = service.model,
                               .weightsVersion = 1 });
                report(engines.back(), 0);
            }
        }
    }

    void report(const FleetEngine &engine, Micros now)
    {
        BOOST_REQUIRE(table.noteEngineLoad(engine.ip, { .totalTokens = 80'000, .model = engine.service->model, .weightsVersion = engine.weights }, now));
    }

    UpstreamRef choose(const ModelService &service, Micros now)
    {
        const Service engineService{ .name = service.name, .engine = EngineTraits{ .slots = 96, .cacheTokens = 80'000 } };
        const PromptDemand demand{
            .service = service.name, .parts = { { "own", 100 } }, .outputTokens = 10, .overloadWaitLimit = 10 * Second, .normalWaitLimit = 10 * Second
        };
        const auto chosen = table.chooseEngine(demand, engineService, {}, now);
        const auto *const choice = std::get_if<EngineChoice>(&chosen);
        return choice != nullptr ? choice->upstream : nullptr;
    }

    UpstreamTable table;
    std::vector<FleetEngine> engines;
};

} // namespace

// Guards against a service that is left out because weights with a higher number of another model were named.
BOOST_AUTO_TEST_CASE(weightsOfOneModelDoNotCloseTheServersOfAnother)
{
    ModelFleet fleet(1);
    fleet.table.noteWeightsTarget("m0", 5, Second);
    for (const ModelService &service : modelServices()) {
        BOOST_TEST((fleet.choose(service, 2 * WeightsDeadline) != nullptr) == (service.model != "m0"), service.name);
    }
}

// Guards against the same, and against the use of replaced weights, in rollouts of several models that overlap; engines load late, out of
// step, and restart with what they had.
BOOST_AUTO_TEST_CASE(eachModelIsHeldToItsOwnTarget)
{
    constexpr unsigned Seeds = 50;
    constexpr int Steps = 2'000;
    constexpr Micros StepTime = 100 * MicrosPerMilli;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        std::mt19937_64 random(seed);
        ModelFleet fleet(seed);
        std::map<std::string, std::uint64_t> targets;
        std::map<std::string, Micros> targetSince;
        unsigned refused = 0;
        unsigned expired = 0;
        Micros now = 0;
        for (int step = 0; step < Steps; ++step) {
            now += StepTime;
            if (random() % 60 == 0) {
                const std::string model = "m" + std::to_string(random() % 3);
                targets[model] = std::max<std::uint64_t>(targets[model], 1) + 1 + random() % 9;
                targetSince[model] = now;
            }
            for (const auto &[model, version] : targets) {
                // Sidecars repeat the target; a late one may name an older version.
                fleet.table.noteWeightsTarget(model, random() % 4 == 0 ? 1 : version, now);
            }
            FleetEngine &engine = fleet.engines[random() % fleet.engines.size()];
            engine.weights = std::max(engine.weights, random() % 3 == 0 ? targets[engine.service->model] : 0);
            fleet.report(engine, now);
            for (const ModelService &service : modelServices()) {
                const std::uint64_t target = targets[service.model];
                const UpstreamRef chosen = fleet.choose(service, now);
                const bool hasCurrent = std::ranges::any_of(
                    fleet.engines, [&](const FleetEngine &known) { return known.service->name == service.name && known.weights >= target; });
                refused += hasCurrent && !chosen ? 1 : 0;
                // The second step covers the interval at which this test repeats the target.
                expired += chosen && chosen->weightsVersion() < target && now - targetSince[service.model] > WeightsDeadline + StepTime ? 1 : 0;
            }
        }
        BOOST_TEST(refused == 0U, "seed " << seed << ": " << refused << " requests refused beside a server with the newest weights");
        BOOST_TEST(expired == 0U, "seed " << seed << ": " << expired << " requests sent to replaced weights");
    }
}

// Guards against KV cache that is fetched from a server of another model, which has the same number of version.
BOOST_AUTO_TEST_CASE(aHolderOfAnotherModelIsNotATransferSource)
{
    ModelFleet fleet(1);
    const std::vector<PromptPart> parts{ { "manual", 4'000 }, { "own", 100 } };
    const auto *const holder = fleet.table.engineAt(fleet.engines.back().ip).get();
    fleet.table.notePromptCached(*holder, cacheSalt(1, ""), parts, Second);
    const Service chat{ .name = "chat", .engine = EngineTraits{ .slots = 96, .cacheTokens = 80'000, .bytesPerToken = 1'000.0, .linkMbps = 550'000.0 } };
    const auto chosen = fleet.table.chooseEngine(
        { .service = "chat", .parts = parts, .outputTokens = 10, .overloadWaitLimit = 10 * Second, .normalWaitLimit = 10 * Second }, chat, {}, Second);
    BOOST_REQUIRE(std::holds_alternative<EngineChoice>(chosen));
    BOOST_TEST(std::get<EngineChoice>(chosen).fetchFrom.empty());
}
