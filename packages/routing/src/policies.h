#pragma once

// The routing policies and their state. Index: last-server table, helpers, the four policies.

#include "routing_internal.h"

namespace Carobhall::RoutingInternal
{

// Last-server table -------------------------------------------------------------------------------

/// Records which server last computed a prefix. The table has a fixed size; a new prefix replaces the older one in its slot.
class LastServerTable
{
public:
    LastServerTable(std::size_t slots, Micros ttl);

    void store(PrefixHash prefix, std::uint64_t serverKey, Micros now);
    /// Returns the key of the server, or 0 if the prefix is not recorded or its entry is older than the TTL.
    [[nodiscard]] std::uint64_t find(PrefixHash prefix, Micros now) const;

private:
    struct Slot {
        PrefixHash prefix = 0;
        std::uint64_t serverKey = 0;
        Micros storedAt = 0;
    };
    std::vector<Slot> slots_;
    Micros ttl_;
};

// Helpers -----------------------------------------------------------------------------------------

/// Orders servers by rendezvous hashing. Reuses its buffers between calls.
class RendezvousOrder
{
public:
    /// Returns the first \p count servers of \p eligible in the rendezvous order of \p key. The result is valid until the next call.
    std::span<const ServerIndex> top(std::span<const ServerRow> rows, std::span<const ServerIndex> eligible, std::uint64_t key, std::size_t count);

private:
    std::vector<std::pair<std::uint64_t, ServerIndex>> scored_;
    std::vector<ServerIndex> order_;
};

/// Returns one of \p servers, chosen uniformly at random. \p servers must not be empty.
[[nodiscard]] ServerIndex drawOne(std::span<const ServerIndex> servers, std::mt19937_64 &random);

// Policies ----------------------------------------------------------------------------------------

/// Chooses a random eligible server in the local region.
class RandomPolicy
{
public:
    void plan(const RouteQuery &query, PolicyContext &context, Plan &plan);
    Choice choose(const RouteQuery &query, PolicyContext &context, const Plan &plan, std::span<const Quote> quotes);
    void onDispatched(const RouteQuery &query, PolicyContext &context, const Choice &choice);
};

/// Chooses the server in the local region with the fewest active requests per slot.
class LeastLoadedPolicy
{
public:
    void plan(const RouteQuery &query, PolicyContext &context, Plan &plan);
    Choice choose(const RouteQuery &query, PolicyContext &context, const Plan &plan, std::span<const Quote> quotes);
    void onDispatched(const RouteQuery &query, PolicyContext &context, const Choice &choice);
};

/// Rendezvous hashing with bounded load: takes the placement key of the deepest level and chooses the first server in its rendezvous
/// order whose load does not exceed the mean load times `boundedLoad`.
class BoundedRendezvousPolicy
{
public:
    explicit BoundedRendezvousPolicy(const PolicyOptions &options);
    void plan(const RouteQuery &query, PolicyContext &context, Plan &plan);
    Choice choose(const RouteQuery &query, PolicyContext &context, const Plan &plan, std::span<const Quote> quotes);
    void onDispatched(const RouteQuery &query, PolicyContext &context, const Choice &choice);

private:
    PolicyOptions options_;
    RendezvousOrder order_;
};

/// Probes the prefix's last server, its rendezvous homes at several placement levels and a random server, and chooses the server with the
/// lowest cost.
class ProbePolicy
{
public:
    ProbePolicy(const PolicyOptions &options, std::function<LinkCost(const Server &, const Server &)> transferLink);
    void plan(const RouteQuery &query, PolicyContext &context, Plan &plan);
    Choice choose(const RouteQuery &query, PolicyContext &context, const Plan &plan, std::span<const Quote> quotes);
    void onDispatched(const RouteQuery &query, PolicyContext &context, const Choice &choice);

private:
    /// Adds the server that last computed the deepest recorded prefix of the prompt, if it is eligible.
    void planLastServer(const RouteQuery &query, PolicyContext &context, Plan &plan);
    /// Adds the homes of \p key: all of them if there are at most \p maxAll, otherwise two that are drawn at random.
    void planHomes(const PlacementKey &key, PolicyContext &context, std::size_t maxAll, Plan &plan);
    /// Chooses the least loaded server of the plan, or of the local region if none of the planned servers is eligible any more.
    [[nodiscard]] Choice chooseWithoutQuotes(PolicyContext &context, const Plan &plan) const;
    /// The choice of the server that gave \p quote, with its cost. The other quotes are possible sources of a KV cache transfer.
    [[nodiscard]] Choice costedChoice(const RouteQuery &query, const PolicyContext &context, std::span<const Quote> quotes, const Quote &quote) const;
    /// Reports the shortest wait among the quoted servers that hold the deepest placement prefix, so that its number of homes can grow.
    void updateHotPrefix(const RouteQuery &query, PolicyContext &context, std::span<const Quote> quotes);

    PolicyOptions options_;
    std::function<LinkCost(const Server &, const Server &)> transferLink_;
    LastServerTable lastServers_;
    HotPrefixes hot_;
    RendezvousOrder order_;
};

} // namespace Carobhall::RoutingInternal
