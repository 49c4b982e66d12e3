#pragma once

// Simulates a cluster: several Membership objects in one process, with virtual time and a network that loses, delays and
// duplicates datagrams and can be partitioned.

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
    std::size_t regions = 1; ///< Nodes are assigned to regions round-robin. Each region has one zone.
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
        std::vector<std::pair<std::string, std::string>> inbox; ///< Datagrams (sender address, payload) that arrived during a pause.
        std::uint64_t sentDatagrams = 0;
        std::uint64_t sentBytes = 0; ///< Including SealOverheadBytes, as is receivedBytes.
        std::uint64_t receivedBytes = 0;
        std::vector<MemberEventKind> events;
    };

    void run(Micros duration);
    /// Runs until \p condition holds, but at most for \p limit. Returns the virtual time that this took, or -1 if the condition
    /// did not hold within the limit.
    Micros runUntil(const std::function<bool()> &condition, Micros limit);

    void crash(std::size_t node);
    /// Starts a new process, with a new incarnation, at the node's address.
    void restart(std::size_t node);
    /// Stops running the process. Datagrams that arrive meanwhile are queued, or lost if the whole VM is frozen.
    void pause(std::size_t node, bool frozenVm = false);
    void resume(std::size_t node);
    void setRegionPartitioned(std::size_t region, bool partitioned);
    /// Drops all datagrams between two nodes from now on.
    void blockPath(std::size_t one, std::size_t other);
    void setLoss(double loss)
    {
        options_.loss = loss;
    }
    /// Delivers the recorded datagrams again and clears the record. Only clusters of at most 10 nodes record datagrams.
    void replayHistory();

    std::vector<Node> nodes;
    [[nodiscard]] Micros now() const
    {
        return now_;
    }
    [[nodiscard]] Incarnation incarnationOf(std::size_t node) const;
    /// The state of \p subject in the table of \p observer; Dead if it is not in the table.
    [[nodiscard]] MemberState stateAt(std::size_t observer, std::size_t subject) const;
    /// Whether in the table of every running node exactly the running nodes are not dead, and all of these are alive and reachable.
    [[nodiscard]] bool converged() const;
    /// Number of running nodes for which \p condition does not hold.
    [[nodiscard]] std::size_t countFailing(const std::function<bool(const Membership &)> &condition) const;

private:
    struct InFlightDatagram {
        Micros at = 0;
        std::uint64_t order = 0; ///< Orders datagrams that arrive at the same time.
        std::size_t to = 0;
        std::string from;
        std::string payload;

        bool operator>(const InFlightDatagram &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    void start(std::size_t node);
    void submit(std::size_t from, const std::string &to, std::string_view payload);
    void deliver(const InFlightDatagram &datagram);
    [[nodiscard]] bool randomChance(double probability);

    ClusterOptions options_;
    std::mt19937_64 random_;
    std::priority_queue<InFlightDatagram, std::vector<InFlightDatagram>, std::greater<>> inFlight_;
    std::vector<InFlightDatagram> history_;
    std::vector<bool> regionPartitioned_;
    std::pair<std::size_t, std::size_t> blockedPath_{};
    std::unordered_map<std::string, std::size_t> addresses_;
    std::uint64_t order_ = 0;
    Micros now_ = 0;
    bool keepHistory_ = false;
};

} // namespace Carobhall::Test
