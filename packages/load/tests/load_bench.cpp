// Benchmarks of the admission queue and of the account limits: time per operation, memory per account and per queued item.
//
//     load_bench [--benchmark_filter=REGEX]

#include "carobhall/admission.h"
#include "carobhall/limits.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace Carobhall;

namespace
{

std::size_t bytesInUse()
{
    return mallinfo2().uordblks;
}

std::vector<std::string> accountNames(std::size_t count)
{
    std::vector<std::string> names(count);
    for (std::size_t i = 0; i < count; ++i) {
        names[i] = "account-" + std::to_string(i);
    }
    return names;
}

Work makeWork(const std::vector<std::string> &names, std::uint64_t n)
{
    return { .account = names[n * 7919 % names.size()], .rank = n % 2 == 0 ? Rank::Paying : Rank::Free, .cost = 100.0 + static_cast<double>(n % 400) };
}

AdmissionOptions options()
{
    return { .slots = 32, .ranks = { RankSpec{ .floor = 0.5 }, RankSpec{ .floor = 0.2 } }, .reservedSlots = 2, .refuseEarly = false };
}

/// Offers, starts and finishes one item per iteration. Arguments: number of accounts, number of items that wait in the queue.
void offerStartFinish(benchmark::State &state)
{
    const auto names = accountNames(static_cast<std::size_t>(state.range(0)));
    const std::size_t before = bytesInUse();
    Admission<FairOrder> queue(options(), 1);
    for (std::uint64_t i = 0; i < names.size(); ++i) { // Creates the state of each account, in one rank.
        queue.offer(makeWork(names, i), 1);
        queue.finish(queue.startNext(1), 100, 1);
    }
    const std::size_t withAccounts = bytesInUse();
    std::uint64_t n = 0;
    while (queue.queued(Rank::Paying) + queue.queued(Rank::Free) < static_cast<std::uint64_t>(state.range(1))) {
        queue.offer(makeWork(names, n++), 1);
    }
    const std::size_t withItems = bytesInUse();
    Micros now = 1;
    for (auto _ : state) {
        ++now;
        queue.offer(makeWork(names, n++), now);
        queue.finish(queue.startNext(now), 150, now);
    }
    state.counters["bytes/account"] = static_cast<double>(withAccounts - before) / static_cast<double>(names.size());
    state.counters["bytes/queued"] = static_cast<double>(withItems - withAccounts) / static_cast<double>(state.range(1));
}
BENCHMARK(offerStartFinish)->Args({ 8, 100 })->Args({ 17'000, 100 })->Args({ 17'000, 10'000 });

/// Estimates the wait for a probe. Argument: number of items that wait in the queue.
void expectedWait(benchmark::State &state)
{
    const auto names = accountNames(17'000);
    Admission<FairOrder> queue(options(), 1);
    for (std::uint64_t i = 0; i < static_cast<std::uint64_t>(state.range(0)); ++i) {
        queue.offer(makeWork(names, i), 1);
    }
    std::uint64_t n = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(queue.expectedWait(Rank::Free, names[++n % names.size()], 2));
    }
}
BENCHMARK(expectedWait)->Arg(100)->Arg(10'000);

/// Takes and settles one request of an account with a sufficient allowance.
void takeAndSettle(benchmark::State &state)
{
    const auto names = accountNames(17'000);
    AccountLimits limits;
    limits.setEntryProcesses({ 1, 2, 3 });
    const AccountLimit limit{ .tokensPerSecond = 1e12 };
    const std::size_t before = bytesInUse();
    for (const std::string &name : names) {
        limits.settle(name, 1, limits.take(name, limit, 1, 1).decision == LimitDecision::Allowed ? 1 : 0);
    }
    state.counters["bytes/account"] = static_cast<double>(bytesInUse() - before) / static_cast<double>(names.size());
    std::uint64_t n = 0;
    for (auto _ : state) {
        const std::string &name = names[++n % names.size()];
        benchmark::DoNotOptimize(limits.take(name, limit, 300, 2).decision);
        limits.settle(name, 300, 300);
    }
}
BENCHMARK(takeAndSettle);

/// Answers one grant request at the coordinator of an account. Argument: number of entry processes that use the account.
void answerAsk(benchmark::State &state)
{
    GrantCoordinator coordinator;
    const AccountLimit limit{ .tokensPerSecond = 1e6, .maxConcurrent = 1'000 };
    const GrantRequest request{ .account = "account", .wanted = 300, .concurrent = 2 };
    Micros now = 1;
    Incarnation requester = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(coordinator.grant(1 + ++requester % static_cast<Incarnation>(state.range(0)), request, limit, ++now).tokens);
    }
}
BENCHMARK(answerAsk)->Arg(3)->Arg(350);

} // namespace

BENCHMARK_MAIN();
