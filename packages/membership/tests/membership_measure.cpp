// Measures the membership protocol in virtual time: the cost per member and the time until a fact, a leaving member, a crash and
// a restart are known to all members.
//
//     membership_measure [MEMBERS] [SEEDS]
//
// MEMBERS is the number of processes (default 50), SEEDS the number of runs with different random seeds (default 3). 1% of the
// datagrams is lost and the members are spread over three regions. Each time is that of the slowest member.

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
constexpr Micros SettleTime = 120 * Second; // Updates about the joins are piggybacked on pings for this long.
constexpr Micros QuietTime = 10 * Second;
constexpr int Trials = 5;

struct Samples {
    std::vector<double> values;

    void addTime(Micros time)
    {
        values.push_back(time < 0 ? 1e9 : static_cast<double>(time) / static_cast<double>(Second));
    }
};

std::ostream &operator<<(std::ostream &out, Samples samples)
{
    std::sort(samples.values.begin(), samples.values.end());
    return out << samples.values.front() << " / " << samples.values[samples.values.size() / 2] << " / " << samples.values.back();
}

struct Results {
    Samples join, leave, crash, fact, rejoin, datagrams, meanBytes, worstBytes, joinBytes, settleBytes, busyBytes, cpu, memory;
};

/// Measures the traffic of each node since the previous call: datagrams sent, and the greater of the bytes sent and received.
struct Traffic {
    std::vector<std::uint64_t> sent, received, count;

    void measure(const Cluster &cluster, double seconds, Samples &datagrams, Samples &mean, Samples &worst)
    {
        double totalBytesPerSecond = 0;
        double maxBytesPerSecond = 0;
        double datagramRate = 0;
        const std::size_t size = cluster.nodes.size();
        sent.resize(size), received.resize(size), count.resize(size);
        for (std::size_t i = 0; i < size; ++i) {
            const auto &node = cluster.nodes[i];
            const auto bytesPerSecond = static_cast<double>(std::max(node.sentBytes - sent[i], node.receivedBytes - received[i])) / seconds;
            totalBytesPerSecond += bytesPerSecond;
            maxBytesPerSecond = std::max(maxBytesPerSecond, bytesPerSecond);
            datagramRate += static_cast<double>(node.sentDatagrams - count[i]) / seconds;
            sent[i] = node.sentBytes;
            received[i] = node.receivedBytes;
            count[i] = node.sentDatagrams;
        }
        datagrams.values.push_back(datagramRate / static_cast<double>(size));
        mean.values.push_back(totalBytesPerSecond / static_cast<double>(size));
        worst.values.push_back(maxBytesPerSecond);
    }
};

void measure(std::size_t members, std::uint64_t seed, Results &results)
{
    const std::size_t before = mallinfo2().uordblks;
    Cluster cluster({ .nodes = members, .seed = seed, .loss = 0.01, .regions = 3 });
    const auto waitUntilConverged = [&] { return cluster.runUntil([&] { return cluster.converged(); }, Limit); };
    results.join.addTime(waitUntilConverged());
    Samples ignored;
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
        results.fact.addTime(cluster.runUntil([&] { return cluster.countFailing(knows) == 0; }, Limit));
        const Incarnation leaver = cluster.incarnationOf(node);
        cluster.nodes[node].membership->leave(cluster.now());
        const auto sawLeave = [&](const Membership &m) { return m.find(leaver) != nullptr && m.find(leaver)->leaving; };
        results.leave.addTime(cluster.runUntil([&] { return cluster.countFailing(sawLeave) == 0; }, Limit));
        cluster.crash(node);
        const auto sawDeath = [&](const Membership &m) { return m.find(leaver) == nullptr || m.find(leaver)->state == MemberState::Dead; };
        results.crash.addTime(cluster.runUntil([&] { return cluster.countFailing(sawDeath) == 0; }, Limit));
        cluster.restart(node);
        results.rejoin.addTime(waitUntilConverged());
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
              << "CPU, % of a core per member     " << results.cpu << " (including the simulated network)\n"
              << "heap bytes per row              " << results.memory << " (per member and table entry)\n";
    return 0;
}
