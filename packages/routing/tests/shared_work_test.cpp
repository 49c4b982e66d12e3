// Hot prefixes and single-flight on a small fleet, each with the mechanism on and off.

#include <boost/test/unit_test.hpp>

#include "fleet_model.h"

#include <algorithm>
#include <numeric>

using namespace Carobhall;
using namespace Carobhall::Test;

namespace
{

/// One dossier that everybody asks about.
FleetOptions oneDossier(std::uint64_t seed)
{
    FleetOptions options;
    options.seed = seed;
    options.dossiers = 1;
    options.longShare = 1.0;
    options.phaseTime = 5 * MicrosPerSecond;
    options.shift = false;
    options.crash = false;
    return options;
}

double computedWhileCold(bool singleFlight)
{
    FleetOptions options = oneDossier(3);
    options.engines = 1;
    options.requestsPerSecond = 50;
    options.singleFlight = singleFlight;
    const auto results = Fleet(options).run();
    const PhaseResult &cold = results[static_cast<std::size_t>(Phase::Warmup)];
    return cold.pieces - cold.hit;
}

/// How many of 60 servers get a fair share of the probes for one prefix after its home has reported \p wait for a while, and
/// how many after \p quiet time.
std::pair<std::size_t, std::size_t> serversProbedOften(std::uint32_t maxHomes, Micros wait, Micros quiet)
{
    RouterOptions options{ .policy = PolicyKind::Probe, .options = {}, .region = "r", .seed = 5, .transferLink = {} };
    options.options.hot.maxHomes = maxHomes;
    Router router(options);
    std::vector<Server> servers(60);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].name = "engine-" + std::to_string(i);
        servers[i].region = "r";
        servers[i].route = "m";
    }
    router.setServers(std::move(servers));
    std::vector<PrefixHash> hashes(300);
    std::iota(hashes.begin(), hashes.end(), 1);
    const RouteQuery query{ .route = "m", .weightsVersion = {}, .adapter = {}, .promptBytes = hashes.size() * PieceBytes, .hashes = hashes };
    Micros now = 0;
    const auto countOften = [&](Micros reported) {
        std::vector<int> probed(60);
        for (int i = 0; i < 200; ++i) {
            now += 10 * MicrosPerMilli;
            Plan plan;
            (void)router.plan(query, now, plan);
            std::vector<Quote> quotes;
            for (const ServerIndex server : plan.servers()) {
                ++probed[server];
                quotes.push_back({ .server = server, .heldPieces = 300, .expectedWait = reported, .prefillPerPiece = 1'000, .accepting = true });
            }
            (void)router.choose(query, plan, quotes, now);
        }
        return static_cast<std::size_t>(std::count_if(probed.begin(), probed.end(), [](int count) { return count > 20; }));
    };
    (void)countOften(wait);
    const std::size_t busy = countOften(wait);
    now += quiet;
    return { busy, countOften(0) };
}

} // namespace

// Guards against concurrent misses that compute one prefix several times.
BOOST_AUTO_TEST_CASE(concurrentMissesComputeOnce)
{
    // A copy of the dossier is over 300 pieces; the engine has two lanes, so that without the mechanism it is computed twice.
    BOOST_TEST(computedWhileCold(true) + 300 < computedWhileCold(false));
}

// Guards against a prefix that more requests share than one engine can serve, and against homes that never go away again.
BOOST_AUTO_TEST_CASE(hotPrefixesGetMoreHomes)
{
    const Micros wait = 500 * MicrosPerMilli;
    const auto [busy, later] = serversProbedOften(8, wait, 300 * MicrosPerSecond);
    const auto [busyWithout, laterWithout] = serversProbedOften(1, wait, 300 * MicrosPerSecond);
    // One home at each of up to three levels is probed always; more than that are homes of a hot prefix.
    BOOST_TEST(busy >= 6);
    BOOST_TEST(later <= 3);
    BOOST_TEST(busyWithout <= 3);
    BOOST_TEST(laterWithout <= 3);
    BOOST_TEST(serversProbedOften(8, 0, 0).first <= 3);
}
