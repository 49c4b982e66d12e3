// Measures membership in virtual time: cost per member, time until a leaving member, a crash and a fact are known everywhere.
//
//     membership_measure [MEMBERS] [SEEDS]
//
// One percent of the datagrams is lost; members are spread over three regions. Every time is the one of the slowest member.

#include "cluster.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <malloc.h>

using namespace Carobhall;
using Test::Cluster;

namespace
{

constexpr Micros Second = MicrosPerSecond;
constexpr Micros Limit = 60 * Second;
constexpr Micros SettleTime = 120 * Second; // News of the joins rides on pings for this long.
constexpr Micros QuietTime = 10 * Second;
constexpr int Trials = 5;

struct Range {
    std::vector<double> values;

    void addTime(Micros time)
    {
        values.push_back(time < 0 ? 1e9 : static_cast<double>(time) / static_cast<double>(Second));
    }
};

std::ostream &operator<<(std::ostream &out, Range range)
{
    std::sort(range.values.begin(), range.values.end());
    return out << range.values.front() << " / " << range.values[range.values.size() / 2] << " / " << range.values.back();
}

struct Results {
    Range join, leave, crash, fact, rejoin, datagrams, meanBytes, worstBytes, joinBytes, settleBytes, busyBytes, cpu, memory;
};

/// Sent datagrams, and the greater of sent and received bytes, of each node since the last call.
struct Traffic {
    std::vector<std::uint64_t> sent, received, count;

    void measure(const Cluster &cluster, double seconds, Range &datagrams, Range &mean, Range &worst)
    {
        double total = 0;
        double most = 0;
        double number = 0;
        const std::size_t size = cluster.nodes.size();
        sent.resize(size), received.resize(size), count.resize(size);
        for (std::size_t i = 0; i < size; ++i) {
            const auto &node = cluster.nodes[i];
            const auto bytes = static_cast<double>(std::max(node.sentBytes - sent[i], node.receivedBytes - received[i])) / seconds;
            total += bytes;
            most = std::max(most, bytes);
            number += static_cast<double>(node.sentDatagrams - count[i]) / seconds;
            sent[i] = node.sentBytes;
            received[i] = node.receivedBytes;
            count[i] = node.sentDatagrams;
        }
        datagrams.values.push_back(number / static_cast<double>(size));
        mean.values.push_back(total / static_cast<double>(size));
        worst.values.push_back(most);
    }
};

void measure(std::size_t members, std::uint64_t seed, Results &results)
{
    const std::size_t before = mallinfo2().uordblks;
    Cluster cluster({ .nodes = members, .seed = seed, .loss = 0.01, .regions = 3 });
    const auto settle = [&] { return cluster.runUntil([&] { return cluster.converged(); }, Limit); };
    results.join.addTime(settle());
    Range ignored;
    Traffic traffic;
    traffic.measure(cluster, static_cast<double>(cluster.now()) / static_cast<double>(Second), ignored, ignored, results.joinBytes);
    cluster.run(SettleTime);
    traffic.measure(cluster, static_cast<double>(SettleTime) / static_cast<double>(Second), ignored, ignored, results.settleBytes);
    const std::clock_t cpuBefore = std::clock();
    cluster.run(QuietTime);
    const double seconds = static_cast<double>(QuietTime) / static_cast<double>(Second);
    const double cpu = static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
    results.cpu.values.push_back(cpu / static_cast<double>(members) / seconds * 100);
    results.memory.values.push_back(static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(members * members));
    traffic.measure(cluster, seconds, results.datagrams, results.meanBytes, results.worstBytes);

    const Micros busyBegin = cluster.now();
    for (std::uint64_t trial = 0; trial < Trials; ++trial) {
        const std::size_t node = 3 + trial * 7;
        cluster.nodes[node].membership->publish({ .kind = 0, .key = 0, .value = trial + 1, .text = std::string(32, 'd'), .ttl = 0 }, cluster.now());
        const auto knows = [&](const Membership &m) {
            const auto fact = m.fact(FactKind::ConfigVersion, 0, cluster.now());
            return fact && fact->value > trial;
        };
        results.fact.addTime(cluster.runUntil([&] { return cluster.countNot(knows) == 0; }, Limit));
        const Incarnation leaver = cluster.incarnationOf(node);
        cluster.nodes[node].membership->leave(cluster.now());
        const auto sawLeave = [&](const Membership &m) { return m.find(leaver) != nullptr && m.find(leaver)->leaving; };
        results.leave.addTime(cluster.runUntil([&] { return cluster.countNot(sawLeave) == 0; }, Limit));
        cluster.crash(node);
        const auto sawDeath = [&](const Membership &m) { return m.find(leaver) == nullptr || m.find(leaver)->state == MemberState::Dead; };
        results.crash.addTime(cluster.runUntil([&] { return cluster.countNot(sawDeath) == 0; }, Limit));
        cluster.restart(node);
        results.rejoin.addTime(settle());
    }
    const double busySeconds = static_cast<double>(cluster.now() - busyBegin) / static_cast<double>(Second);
    traffic.measure(cluster, busySeconds, ignored, ignored, results.busyBytes);
}

} // namespace

int main(int argc, char **argv)
{
    const auto members = static_cast<std::size_t>(argc > 1 ? std::atoi(argv[1]) : 50);
    const auto seeds = static_cast<std::uint64_t>(argc > 2 ? std::atoi(argv[2]) : 3);
    Results results;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        measure(members, seed, results);
    }
    std::cout << "members " << members << ", seeds " << seeds << ", loss 1%; min / median / max\n"
              << "all join, s                     " << results.join << "\n"
              << "joining: bytes/s, worst member  " << results.joinBytes << "\n"
              << "2 min after: bytes/s, worst     " << results.settleBytes << "\n"
              << "fact known everywhere, s        " << results.fact << "\n"
              << "leaving known everywhere, s     " << results.leave << "\n"
              << "crash known everywhere, s       " << results.crash << "\n"
              << "restart known everywhere, s     " << results.rejoin << "\n"
              << "quiet: datagrams per member/s   " << results.datagrams << "\n"
              << "quiet: bytes per member/s       " << results.meanBytes << "\n"
              << "quiet: bytes/s, worst member    " << results.worstBytes << "\n"
              << "changes: bytes/s, worst member  " << results.busyBytes << "\n"
              << "CPU, % of a core per member     " << results.cpu << " (with the network's simulation)\n"
              << "heap bytes per row              " << results.memory << " (per member and member it knows)\n";
    return 0;
}
