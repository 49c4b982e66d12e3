// Benchmarks for docs/CAPACITY.md: routing time by number of servers and prompt length, operations on a full cache index, and the sizes
// of probes and replies.

#include "carobhall/routing.h"

#include <algorithm>
#include <benchmark/benchmark.h>

using namespace Carobhall;

namespace
{

constexpr std::size_t IndexCapacity = 150'000; // Blocks.

std::vector<PrefixHash> randomHashes(std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<PrefixHash> hashes(count);
    std::generate(hashes.begin(), hashes.end(), std::ref(random));
    return hashes;
}

/// Measures plan() and choose() with a quote from each probed server. Arguments: number of servers, prompt length in pieces.
void decide(benchmark::State &state)
{
    Router router(RouterOptions{ .policy = PolicyKind::Probe, .options = {}, .region = "r", .seed = 1, .transferLink = {} });
    std::vector<Server> servers(static_cast<std::size_t>(state.range(0)));
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].name = "engine-" + std::to_string(i);
        servers[i].region = "r";
        servers[i].route = "m";
    }
    router.setServers(std::move(servers));
    const auto hashes = randomHashes(static_cast<std::size_t>(state.range(1)), 1);
    const RouteQuery query{ .route = "m", .weightsVersion = {}, .adapter = {}, .promptBytes = hashes.size() * PieceBytes, .hashes = hashes };
    Micros now = 0;
    for (auto _ : state) {
        Plan plan;
        router.plan(query, ++now, plan);
        std::array<Quote, MaxProbes> quotes;
        for (std::size_t i = 0; i < plan.count; ++i) {
            quotes[i] = { .server = plan.probes[i], .heldPieces = 0, .expectedWait = 1'000, .prefillPerPiece = 1'000, .accepting = true };
        }
        benchmark::DoNotOptimize(router.choose(query, plan, std::span(quotes).first(plan.count), now));
    }
}
BENCHMARK(decide)->ArgsProduct({ { 12, 34, 200, 1'300 }, { 600 } })->ArgsProduct({ { 34 }, { 8, 100, 4'000 } });

/// Measures hashing and sampling of a prompt. Argument: prompt length in pieces.
void hashAndSample(benchmark::State &state)
{
    const std::string prompt(static_cast<std::size_t>(state.range(0)) * PieceBytes, 'p');
    std::vector<PrefixHash> hashes;
    for (auto _ : state) {
        hashPrefix(prompt, { .seed = 1, .check = 2 }, hashes);
        benchmark::DoNotOptimize(sampleHashes(hashes));
    }
}
BENCHMARK(hashAndSample)->Arg(10)->Arg(600)->Arg(4'000);

/// Measures evicting one block and storing another in a full index.
void indexReplace(benchmark::State &state)
{
    const auto hashes = randomHashes(2 * IndexCapacity, 2);
    CacheIndex index({ .capacity = IndexCapacity });
    std::uint64_t sequence = 0;
    index.apply(1, { .sequence = ++sequence, .stored = true, .hashes = std::span(hashes).first(IndexCapacity) }, 0);
    std::size_t evicted = 0;
    for (auto _ : state) {
        const std::size_t stored = (evicted + IndexCapacity) % hashes.size();
        index.apply(1, { .sequence = ++sequence, .stored = false, .hashes = std::span(hashes).subspan(evicted, 1) }, 0);
        index.apply(1, { .sequence = ++sequence, .stored = true, .hashes = std::span(hashes).subspan(stored, 1) }, 0);
        evicted = (evicted + 1) % hashes.size();
    }
    state.counters["bytes_per_block"] = static_cast<double>(index.memoryBytes()) / IndexCapacity;
}
BENCHMARK(indexReplace);

/// Measures heldPieces() for a prompt of 600 pieces that a full index holds completely.
void indexLookup(benchmark::State &state)
{
    const auto hashes = randomHashes(IndexCapacity, 3);
    CacheIndex index({ .capacity = IndexCapacity });
    index.apply(1, { .sequence = 1, .stored = true, .hashes = hashes }, 0);
    const auto samples = sampleHashes(std::span(hashes).first(600));
    for (auto _ : state) {
        benchmark::DoNotOptimize(index.heldPieces(samples));
    }
    state.counters["samples"] = static_cast<double>(samples.size());
}
BENCHMARK(indexLookup);

/// Measures encoding and decoding of a probe, and the encoded sizes of probe and reply. Argument: prompt length in pieces.
void probeBytes(benchmark::State &state)
{
    const auto hashes = randomHashes(static_cast<std::size_t>(state.range(0)), 4);
    Probe probe;
    probe.id = 1'000'000;
    probe.route = "needle-large-70b";
    probe.weightsVersion = "2026-11-03";
    probe.saltCheck = hashes.front();
    probe.fingerprint = hashes.back();
    probe.promptPieces = static_cast<std::uint32_t>(hashes.size());
    probe.samples = sampleHashes(hashes);
    probe.account = "guild-members";
    ProbeReply reply;
    reply.id = probe.id;
    reply.agent = hashes.front();
    reply.upstream = hashes.back();
    reply.heldPieces = 512;
    reply.expectedWait = 250'000;
    reply.prefillPerPiece = 1'000;
    reply.configVersion = 2'000;
    reply.weightsVersion = probe.weightsVersion;
    for (auto _ : state) {
        benchmark::DoNotOptimize(decode(encode(probe)));
    }
    state.counters["samples"] = static_cast<double>(probe.samples.size());
    state.counters["probe_bytes"] = static_cast<double>(encode(probe).size());
    state.counters["reply_bytes"] = static_cast<double>(encode(reply).size());
}
BENCHMARK(probeBytes)->Arg(10)->Arg(100)->Arg(600)->Arg(1'000)->Arg(4'000);

} // namespace

BENCHMARK_MAIN();
