#pragma once

// The policies and the soft state that they share. Index: memory, scratch helpers, the four policies.

#include "routing_internal.h"

namespace Carobhall::RoutingInternal
{

// Memory ------------------------------------------------------------------------------------------

/// Which server last computed a prefix. A fixed table in which a newer prefix displaces the older one in its slot.
class LastServerTable
{
public:
    LastServerTable(std::size_t rows, Micros ttl);

    void store(PrefixHash prefix, std::uint64_t serverKey, Micros now);
    /// The server's key, 0 when unknown or too old.
    [[nodiscard]] std::uint64_t find(PrefixHash prefix, Micros now) const;

private:
    struct Row {
        PrefixHash prefix = 0;
        std::uint64_t serverKey = 0;
        Micros at = 0;
    };
    std::vector<Row> rows_;
    Micros ttl_;
};

// Helpers -----------------------------------------------------------------------------------------

/// The eligible servers in rendezvous order. Keeps its memory between calls.
class RendezvousOrder
{
public:
    /// The first \p count of \p eligible for \p key.
    std::span<const ServerIndex> top(std::span<const ServerRow> rows, std::span<const ServerIndex> eligible, std::uint64_t key, std::size_t count);

private:
    std::vector<std::pair<std::uint64_t, ServerIndex>> scored_;
    std::vector<ServerIndex> order_;
};

[[nodiscard]] ServerIndex drawOne(std::span<const ServerIndex> servers, std::mt19937_64 &random);

// Policies ----------------------------------------------------------------------------------------

/// Any eligible server of the own region.
class RandomPolicy
{
public:
    void plan(const RouteQuery &query, PolicyContext &context, Plan &plan);
    Choice choose(const RouteQuery &query, PolicyContext &context, const Plan &plan, std::span<const Quote> quotes);
    void onDispatched(const RouteQuery &query, PolicyContext &context, const Choice &choice);
};

/// The server of the own region with the least reported and own load for its slots.
class LeastLoadedPolicy
{
public:
    void plan(const RouteQuery &query, PolicyContext &context, Plan &plan);
    Choice choose(const RouteQuery &query, PolicyContext &context, const Plan &plan, std::span<const Quote> quotes);
    void onDispatched(const RouteQuery &query, PolicyContext &context, const Choice &choice);
};

/// The first server in rendezvous order of the deepest level whose load is within a factor of the mean.
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

/// Rendezvous candidates at several levels, the remembered server and a random one are probed; the least cost wins.
class ProbePolicy
{
public:
    ProbePolicy(const PolicyOptions &options, std::function<LinkCost(const Server &, const Server &)> transferLink);
    void plan(const RouteQuery &query, PolicyContext &context, Plan &plan);
    Choice choose(const RouteQuery &query, PolicyContext &context, const Plan &plan, std::span<const Quote> quotes);
    void onDispatched(const RouteQuery &query, PolicyContext &context, const Choice &choice);

private:
    void planLastServer(const RouteQuery &query, PolicyContext &context, Plan &plan);
    void planHomes(const PlacementKey &key, PolicyContext &context, std::size_t wanted, Plan &plan);
    [[nodiscard]] Choice chooseWithoutQuotes(PolicyContext &context, const Plan &plan) const;
    [[nodiscard]] Choice costedChoice(const RouteQuery &query, const PolicyContext &context, std::span<const Quote> quotes, const Quote &quote) const;
    void updateHotPrefix(const RouteQuery &query, PolicyContext &context, std::span<const Quote> quotes);

    PolicyOptions options_;
    std::function<LinkCost(const Server &, const Server &)> transferLink_;
    LastServerTable lastServers_;
    HotPrefixes hot_;
    RendezvousOrder order_;
};

} // namespace Carobhall::RoutingInternal
