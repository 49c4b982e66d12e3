#pragma once

// Several memberships in one process, with virtual time and a network that loses, delays, duplicates and cuts.

#include "carobhall/membership.h"

#include <queue>

namespace Carobhall::Test
{

struct ClusterOptions {
    std::size_t nodes = 5;
    std::uint64_t seed = 1;
    double loss = 0.0;
    double duplication = 0.0;
    Micros minDelay = 500;
    Micros maxDelay = 3'000;
    std::size_t regions = 1; ///< Nodes are spread over regions in turn; each region is one zone.
    MembershipMechanisms mechanisms{};
};

class Cluster
{
public:
    explicit Cluster(ClusterOptions options);

    struct Node {
        std::unique_ptr<Membership> membership;
        std::string address;
        std::size_t region = 0;
        bool running = true;
        bool paused = false;
        bool frozenVm = false;
        std::vector<std::pair<std::string, std::string>> inbox; ///< Datagrams (from, payload) that arrived during a pause.
        std::uint64_t sentDatagrams = 0;
        std::uint64_t sentBytes = 0; ///< Sealed.
        std::uint64_t receivedBytes = 0;
        std::vector<MemberEventKind> events;
    };

    void run(Micros duration);
    /// Runs until \p condition holds, at most \p limit. Returns the time it took, or -1.
    Micros runUntil(const std::function<bool()> &condition, Micros limit);

    void crash(std::size_t node);
    /// Another process at the same address.
    void restart(std::size_t node);
    /// The process stops running. Datagrams wait for it, or are lost when the whole VM is frozen.
    void pause(std::size_t node, bool frozenVm = false);
    void resume(std::size_t node);
    void cutRegion(std::size_t region, bool cut);
    /// Cuts the path between two nodes for good.
    void cutPath(std::size_t one, std::size_t other);
    void setLoss(double loss)
    {
        options_.loss = loss;
    }
    /// Delivers every datagram of the past again.
    void replayHistory();

    std::vector<Node> nodes;
    [[nodiscard]] Micros now() const
    {
        return now_;
    }
    [[nodiscard]] Incarnation incarnationOf(std::size_t node) const;
    /// How a node sees another one; Dead when it does not know it.
    [[nodiscard]] MemberState stateAt(std::size_t observer, std::size_t subject) const;
    /// Whether every running node knows exactly the running nodes as not dead and reachable.
    [[nodiscard]] bool converged() const;
    /// Running nodes for which \p condition does not hold.
    [[nodiscard]] std::size_t countNot(const std::function<bool(const Membership &)> &condition) const;

private:
    struct Flying {
        Micros at = 0;
        std::uint64_t order = 0;
        std::size_t to = 0;
        std::string from;
        std::string payload;

        bool operator>(const Flying &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    void start(std::size_t node);
    void submit(std::size_t from, const std::string &to, std::string_view payload);
    void deliver(const Flying &flying);
    [[nodiscard]] bool chance(double probability);

    ClusterOptions options_;
    std::mt19937_64 random_;
    std::priority_queue<Flying, std::vector<Flying>, std::greater<>> flying_;
    std::vector<Flying> history_;
    std::vector<bool> regionCut_;
    std::pair<std::size_t, std::size_t> pathCut_{};
    std::unordered_map<std::string, std::size_t> addresses_;
    std::uint64_t order_ = 0;
    Micros now_ = 0;
    bool keepHistory_ = false;
};

} // namespace Carobhall::Test
