// Tests single-flight and hot prefixes, each with the mechanism enabled and disabled.

#include <boost/test/unit_test.hpp>

#include "fleet_model.h"

#include <algorithm>
#include <numeric>

using namespace Carobhall;
using namespace Carobhall::Test;

namespace
{

/// Options for a fleet in which all prompts share one dossier.
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

/// Prompt pieces that one engine computes in the warm-up phase, which starts with an empty cache.
double piecesComputedInWarmup(bool singleFlight)
{
    FleetOptions options = oneDossier(3);
    options.engines = 1;
    options.requestsPerSecond = 50;
    options.singleFlight = singleFlight;
    const auto results = Fleet(options).run();
    const PhaseResult &warmup = results[static_cast<std::size_t>(Phase::Warmup)];
    return warmup.pieces - warmup.cachedPieces;
}

/// Counts the servers, of 60, that are probed for more than 20 of 200 requests with the same prefix. The first result is counted while the
/// servers report \p wait, after 200 earlier requests with the same reports; the second after a pause of \p idleTime, without a wait.
std::pair<std::size_t, std::size_t> countOftenProbedServers(std::uint32_t maxHomes, Micros wait, Micros idleTime)
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
    const auto countOftenProbed = [&](Micros reportedWait) {
        std::vector<int> probed(60);
        for (int i = 0; i < 200; ++i) {
            now += 10 * MicrosPerMilli;
            Plan plan;
            (void)router.plan(query, now, plan);
            std::vector<Quote> quotes;
            for (const ServerIndex server : plan.servers()) {
                ++probed[server];
                quotes.push_back({ .server = server, .heldPieces = 300, .expectedWait = reportedWait, .prefillPerPiece = 1'000, .accepting = true });
            }
            (void)router.choose(query, plan, quotes, now);
        }
        return static_cast<std::size_t>(std::count_if(probed.begin(), probed.end(), [](int count) { return count > 20; }));
    };
    (void)countOftenProbed(wait);
    const std::size_t busy = countOftenProbed(wait);
    now += idleTime;
    return { busy, countOftenProbed(0) };
}

} // namespace

// Guards against computing one prefix several times when requests with the same prefix miss the cache at the same time.
BOOST_AUTO_TEST_CASE(concurrentMissesComputePrefixOnce)
{
    // The dossier has over 300 pieces. The engine has two prefill lanes and computes the dossier twice without single-flight.
    BOOST_TEST(piecesComputedInWarmup(true) + 300 < piecesComputedInWarmup(false));
}

// Guards against overloading the only home of a prefix that more requests share than one engine can serve, and against additional homes
// that are kept after the load has gone.
BOOST_AUTO_TEST_CASE(hotPrefixesGetMoreHomesWhileBusy)
{
    const Micros wait = 500 * MicrosPerMilli;
    const auto [busy, afterIdle] = countOftenProbedServers(8, wait, 300 * MicrosPerSecond);
    const auto [busyWithOneHome, afterIdleWithOneHome] = countOftenProbedServers(1, wait, 300 * MicrosPerSecond);
    // For each of up to three placement levels one home is always probed. Any further servers are additional homes of the hot prefix.
    BOOST_TEST(busy >= 6);
    BOOST_TEST(afterIdle <= 3);
    BOOST_TEST(busyWithOneHome <= 3);
    BOOST_TEST(afterIdleWithOneHome <= 3);
    BOOST_TEST(countOftenProbedServers(8, 0, 0).first <= 3);
}
