#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>

#include "carobhall/routing.h"

#include <algorithm>
#include <rapidcheck.h>
#include <set>

using namespace Carobhall;

namespace
{

std::vector<PrefixHash> hashesOf(std::string_view prompt, const Salt &salt)
{
    std::vector<PrefixHash> hashes;
    hashPrefix(prompt, salt, hashes);
    return hashes;
}

/// A prompt of \p pieces complete pieces, all bytes \p fill.
std::string promptOf(std::size_t pieces, char fill)
{
    return std::string(pieces * PieceBytes, fill);
}

std::vector<Server> fleet(std::size_t count)
{
    std::vector<Server> servers;
    for (std::size_t i = 0; i < count; ++i) {
        Server server;
        server.name = "engine-" + std::to_string(i);
        server.region = "hr-kontinent";
        server.route = "needle-large";
        servers.push_back(server);
    }
    return servers;
}

} // namespace

// Guards against cache hits between requests of different accounts, models, weights versions or adapters. They occur when two sets of
// salt parts give the same salt, for example because the parts are concatenated without their lengths.
BOOST_AUTO_TEST_CASE(saltsSeparateAccountsAndVersions)
{
    const Salt a = saltOf({ .account = "guild", .model = "m", .weightsVersion = "1", .adapter = "" });
    std::set<std::uint64_t> firstHashes;
    firstHashes.insert(hashesOf(promptOf(1, 'x'), a).front());
    firstHashes.insert(hashesOf(promptOf(1, 'x'), saltOf({ .account = "guil", .model = "dm", .weightsVersion = "1", .adapter = "" })).front());
    firstHashes.insert(hashesOf(promptOf(1, 'x'), saltOf({ .account = "guild", .model = "m", .weightsVersion = "2", .adapter = "" })).front());
    firstHashes.insert(hashesOf(promptOf(1, 'x'), saltOf({ .account = "guild", .model = "m", .weightsVersion = "", .adapter = "1" })).front());
    BOOST_TEST(firstHashes.size() == 4);
}

// Guards against equal hashes for pieces that follow different prefixes, which occur when a hash does not include the previous one, and
// against a hash for an incomplete piece.
BOOST_AUTO_TEST_CASE(hashesChainOverCompletePieces)
{
    const Salt salt{ .seed = 5, .check = 6 };
    const auto one = hashesOf(promptOf(3, 'a') + "tail", salt);
    const auto two = hashesOf("b" + promptOf(3, 'a').substr(1), salt);
    BOOST_TEST(one.size() == 3);
    for (std::size_t i = 0; i < 3; ++i) {
        BOOST_TEST(one[i] != two[i]);
    }
}

// Guards against probes with more than MaxSamples samples, and against samples so far apart that a held prefix is underestimated by more
// than an eighth of the prompt.
BOOST_AUTO_TEST_CASE(samplesAreLimitedAscendingAndClose)
{
    for (std::size_t pieces = 0; pieces < 6000; pieces += pieces < 100 ? 1 : 37) {
        const std::vector<PrefixHash> hashes(pieces, 1);
        const auto samples = sampleHashes(hashes);
        BOOST_REQUIRE(samples.size() <= MaxSamples);
        std::uint32_t previous = 0;
        for (const PrefixSample &sample : samples) {
            BOOST_REQUIRE(sample.pieces > previous);
            BOOST_REQUIRE(pieces <= MaxSamples || sample.pieces - previous <= pieces / 8);
            previous = sample.pieces;
        }
        BOOST_REQUIRE(previous == pieces);
    }
}

// Guards against an index that differs from the engine's cache after delayed, duplicated, reordered or lost events and engine restarts.
// Random event streams are applied to the index and, in order and complete, to a reference set.
BOOST_AUTO_TEST_CASE(indexMatchesEngineAfterUnreliableEvents)
{
    const bool ok = rc::check([] {
        CacheIndex index({ .capacity = 200, .reorderEvents = 16, .reorderHashes = 64, .gapTimeout = 50 });
        std::set<PrefixHash> engine;
        std::vector<std::pair<CacheEvent, std::vector<PrefixHash>>> events;
        Incarnation incarnation = 1;
        std::uint64_t sequence = 0;
        Micros now = 0;
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            const int action = *rc::gen::inRange(0, 20);
            now += 10;
            if (action == 0) {
                ++incarnation;
                engine.clear();
                events.clear();
                sequence = 0;
                index.setIncarnation(incarnation);
            } else if (action == 1) {
                const std::vector<PrefixHash> held(engine.begin(), engine.end());
                index.loadSnapshot(incarnation, sequence, held, now);
            } else {
                const PrefixHash hash = *rc::gen::inRange<PrefixHash>(0, 50) * 0x100000001ULL;
                const bool stored = *rc::gen::arbitrary<bool>();
                stored ? (void)engine.insert(hash) : (void)engine.erase(hash);
                events.push_back({ { .sequence = ++sequence, .stored = stored, .hashes = {} }, { hash } });
                const int delivery = *rc::gen::inRange(0, 10);
                // 0: the new event is not delivered now. 1 to 3: the last four events are delivered, so that earlier ones arrive late or
                // twice. Otherwise only the new event is delivered.
                const std::size_t resendFrom = events.size() > 4 ? events.size() - 4 : 0;
                for (std::size_t i = delivery == 0 ? events.size() : (delivery < 4 ? resendFrom : events.size() - 1); i < events.size(); ++i) {
                    auto event = events[i].first;
                    event.hashes = events[i].second;
                    index.apply(incarnation, event, now);
                }
                if (incarnation > 1 && delivery == 9) {
                    // An event of the previous incarnation arrives late.
                    const std::array<PrefixHash, 1> stale{ 7 };
                    index.apply(incarnation - 1, { .sequence = 1, .stored = true, .hashes = stale }, now);
                }
            }
            index.tick(now);
            // If the index is exact and has all events, its contents must equal those of the engine.
            if (index.state() == IndexState::Exact && index.nextSequence() == sequence + 1) {
                RC_ASSERT(index.size() == engine.size());
                for (const PrefixHash hash : engine) {
                    RC_ASSERT(index.holds(hash));
                }
            }
            if (index.state() == IndexState::OutOfSync) {
                const std::array<PrefixSample, 1> sample{ PrefixSample{ .pieces = 1, .hash = engine.empty() ? 1 : *engine.begin() } };
                RC_ASSERT(index.heldPieces(sample) == 0);
            }
        }
        const std::vector<PrefixHash> held(engine.begin(), engine.end());
        index.loadSnapshot(incarnation, sequence, held, now);
        RC_ASSERT(index.state() == IndexState::Exact);
        RC_ASSERT(index.size() == engine.size());
    });
    BOOST_TEST(ok);
}

// Guards against probing or choosing a server that is not accepting, against more probes than the policy's limit, and against a plan
// for an unknown route. Runs with each policy.
BOOST_AUTO_TEST_CASE(plansContainOnlyEligibleServersWithinLimit)
{
    for (const PolicyKind kind : { PolicyKind::Random, PolicyKind::LeastLoaded, PolicyKind::BoundedRendezvous, PolicyKind::Probe }) {
        Router router({ .policy = kind, .options = {}, .region = "hr-kontinent", .seed = 3, .transferLink = {} });
        router.setServers(fleet(12));
        router.setAccepting(4, false);
        const auto hashes = hashesOf(promptOf(300, 'p'), { .seed = 1, .check = 2 });
        const RouteQuery query{ .route = "needle-large", .weightsVersion = {}, .adapter = {}, .promptBytes = 300 * PieceBytes, .hashes = hashes };
        for (int i = 0; i < 200; ++i) {
            Plan plan;
            BOOST_REQUIRE(router.plan(query, i, plan));
            BOOST_REQUIRE(plan.count <= 4);
            for (const ServerIndex server : plan.servers()) {
                BOOST_REQUIRE(server != 4);
            }
            const Choice choice = router.choose(query, plan, {}, i);
            BOOST_REQUIRE(choice.server != 4);
            router.onDispatched(query, choice, i);
        }
        Plan plan;
        BOOST_TEST(!router.plan({ .route = "unknown", .weightsVersion = {}, .adapter = {}, .promptBytes = 0, .hashes = {} }, 0, plan));
    }
}

// Guards against computing a prefix again on another server although the server that holds it is cheaper. It occurs when that server is
// not probed, also by a second router that did not route the first request, or when its quote is not preferred.
BOOST_AUTO_TEST_CASE(probePolicyChoosesPrefixHolder)
{
    Router first({ .policy = PolicyKind::Probe, .options = {}, .region = "hr-kontinent", .seed = 3, .transferLink = {} });
    Router second({ .policy = PolicyKind::Probe, .options = {}, .region = "hr-kontinent", .seed = 99, .transferLink = {} });
    const auto hashes = hashesOf(promptOf(300, 'p'), { .seed = 1, .check = 2 });
    const RouteQuery query{ .route = "needle-large", .weightsVersion = {}, .adapter = {}, .promptBytes = 300 * PieceBytes, .hashes = hashes };
    first.setServers(fleet(12));
    second.setServers(fleet(12));
    ServerIndex holder = NoServer;
    for (int i = 0; i < 100; ++i) {
        Router &router = i % 2 == 0 ? first : second;
        Plan plan;
        BOOST_REQUIRE(router.plan(query, i, plan));
        std::vector<Quote> quotes;
        for (const ServerIndex server : plan.servers()) {
            quotes.push_back(
                { .server = server, .heldPieces = server == holder ? 300U : 0U, .expectedWait = 1000, .prefillPerPiece = 1000, .accepting = true });
        }
        const Choice choice = router.choose(query, plan, quotes, i);
        if (i > 0) {
            BOOST_REQUIRE(choice.server == holder);
        }
        holder = i == 0 ? choice.server : holder;
        router.onDispatched(query, choice, i);
        router.onEnded(choice, i);
    }
}
