#include "policies.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Carobhall::RoutingInternal
{

// Last-server table -------------------------------------------------------------------------------

LastServerTable::LastServerTable(std::size_t slots, Micros ttl)
    : slots_(std::max<std::size_t>(slots, 1))
    , ttl_(ttl)
{
}

void LastServerTable::store(PrefixHash prefix, std::uint64_t serverKey, Micros now)
{
    slots_[prefix % slots_.size()] = { .prefix = prefix, .serverKey = serverKey, .storedAt = now };
}

std::uint64_t LastServerTable::find(PrefixHash prefix, Micros now) const
{
    const Slot &slot = slots_[prefix % slots_.size()];
    return slot.prefix == prefix && now - slot.storedAt < ttl_ ? slot.serverKey : 0;
}

// Helpers -----------------------------------------------------------------------------------------

std::span<const ServerIndex> RendezvousOrder::top(std::span<const ServerRow> rows, std::span<const ServerIndex> eligible, std::uint64_t key, std::size_t count)
{
    count = std::min(count, eligible.size());
    scored_.clear();
    for (const ServerIndex index : eligible) {
        scored_.emplace_back(mix(rows[index].key, key), index);
    }
    std::partial_sort(scored_.begin(), scored_.begin() + static_cast<std::ptrdiff_t>(count), scored_.end(), std::greater<>());
    order_.clear();
    for (std::size_t i = 0; i < count; ++i) {
        order_.push_back(scored_[i].second);
    }
    return order_;
}

ServerIndex drawOne(std::span<const ServerIndex> servers, std::mt19937_64 &random)
{
    return servers[random() % servers.size()];
}

double localLoad(const ServerRow &row)
{
    const double active = std::max(row.load.reportedActive, row.load.inFlight);
    return active / std::max(row.server.slots, 1U);
}

Micros biasOf(const ServerRow &row, Micros now)
{
    if (row.waitBias == 0.0) {
        return 0;
    }
    const double halvings = static_cast<double>(now - row.biasAt) / static_cast<double>(BiasHalfLife);
    return static_cast<Micros>(row.waitBias * std::exp2(-halvings));
}

namespace
{

/// The eligible servers in the local region, or all eligible servers if the local region has none.
std::span<const ServerIndex> localServers(const PolicyContext &context)
{
    return context.localCount > 0 ? context.eligible.first(context.localCount) : context.eligible;
}

ServerIndex leastLoaded(const PolicyContext &context, std::span<const ServerIndex> servers)
{
    ServerIndex best = NoServer;
    double bestLoad = std::numeric_limits<double>::infinity();
    // Starts at a random position, so that processes with the same load reports do not all choose the same of several equally loaded
    // servers.
    const std::size_t start = context.random() % servers.size();
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const ServerIndex index = servers[(start + i) % servers.size()];
        if (const double load = localLoad(context.rows[index]); load < bestLoad) {
            best = index;
            bestLoad = load;
        }
    }
    return best;
}

Choice choiceWithoutQuotes(ServerIndex server)
{
    Choice choice;
    choice.server = server;
    choice.withoutQuotes = true;
    return choice;
}

} // namespace

// Random and least-loaded -------------------------------------------------------------------------

void RandomPolicy::plan(const RouteQuery & /*query*/, PolicyContext & /*context*/, Plan & /*plan*/)
{
}

Choice RandomPolicy::choose(const RouteQuery & /*query*/, PolicyContext &context, const Plan & /*plan*/, std::span<const Quote> /*quotes*/)
{
    return choiceWithoutQuotes(drawOne(localServers(context), context.random));
}

void RandomPolicy::onDispatched(const RouteQuery & /*query*/, PolicyContext & /*context*/, const Choice & /*choice*/)
{
}

void LeastLoadedPolicy::plan(const RouteQuery & /*query*/, PolicyContext & /*context*/, Plan & /*plan*/)
{
}

Choice LeastLoadedPolicy::choose(const RouteQuery & /*query*/, PolicyContext &context, const Plan & /*plan*/, std::span<const Quote> /*quotes*/)
{
    return choiceWithoutQuotes(leastLoaded(context, localServers(context)));
}

void LeastLoadedPolicy::onDispatched(const RouteQuery & /*query*/, PolicyContext & /*context*/, const Choice & /*choice*/)
{
}

// Rendezvous with bounded load --------------------------------------------------------------------

BoundedRendezvousPolicy::BoundedRendezvousPolicy(const PolicyOptions &options)
    : options_(options)
{
}

void BoundedRendezvousPolicy::plan(const RouteQuery & /*query*/, PolicyContext & /*context*/, Plan & /*plan*/)
{
}

Choice BoundedRendezvousPolicy::choose(const RouteQuery &query, PolicyContext &context, const Plan & /*plan*/, std::span<const Quote> /*quotes*/)
{
    const PlacementKey key = placementKey(query.hashes, 0);
    const auto servers = localServers(context);
    if (key.pieces == 0) {
        return choiceWithoutQuotes(leastLoaded(context, servers));
    }
    double sum = 0.0;
    for (const ServerIndex index : servers) {
        sum += localLoad(context.rows[index]) * context.rows[index].server.slots;
    }
    // The bound includes this request. Otherwise it would be 0 in an idle fleet, and every server would exceed it.
    const double bound = std::ceil(options_.boundedLoad * (sum + 1.0) / static_cast<double>(servers.size()));
    for (const ServerIndex index : order_.top(context.rows, servers, key.hash, servers.size())) {
        if (localLoad(context.rows[index]) * context.rows[index].server.slots + 1.0 <= bound) {
            return choiceWithoutQuotes(index);
        }
    }
    return choiceWithoutQuotes(leastLoaded(context, servers));
}

void BoundedRendezvousPolicy::onDispatched(const RouteQuery & /*query*/, PolicyContext & /*context*/, const Choice & /*choice*/)
{
}

// Probe -------------------------------------------------------------------------------------------

ProbePolicy::ProbePolicy(const PolicyOptions &options, std::function<LinkCost(const Server &, const Server &)> transferLink)
    : options_(options)
    , transferLink_(std::move(transferLink))
    , lastServers_(options.lastServerSlots, options.lastServerTtl)
    , hot_(options.hot)
{
    ensure(options.probes >= 1 && options.probes <= MaxProbes, "the number of probes must be between 1 and MaxProbes");
}

void ProbePolicy::plan(const RouteQuery &query, PolicyContext &context, Plan &plan)
{
    const std::size_t budget = std::min(options_.probes, context.eligible.size());
    const auto servers = localServers(context);
    planLastServer(query, context, plan);
    // The deepest level finds servers that hold most of the prompt, the shallower levels servers that hold a shared beginning of it. One
    // probe is reserved for a random server.
    for (std::size_t levelsUp = 0; levelsUp < PlacementLevels.size() && plan.count + 1 < budget; ++levelsUp) {
        planHomes(placementKey(query.hashes, levelsUp), context, 1, plan);
    }
    // If all local servers are busy, the random probes go to other regions.
    const bool localBusy = context.localCount > 0 && context.localCount < context.eligible.size()
        && std::all_of(servers.begin(), servers.end(), [&](ServerIndex index) { return context.rows[index].load.reportedWait > options_.remoteProbeWait; });
    const auto pool = localBusy ? context.eligible.subspan(context.localCount) : servers;
    for (std::size_t tries = 0; plan.count < budget && tries < 4 * MaxProbes; ++tries) {
        plan.add(drawOne(pool, context.random));
    }
}

void ProbePolicy::planLastServer(const RouteQuery &query, PolicyContext &context, Plan &plan)
{
    for (std::size_t levelsUp = 0; levelsUp < PlacementLevels.size(); ++levelsUp) {
        const PlacementKey key = placementKey(query.hashes, levelsUp);
        const std::uint64_t serverKey = key.pieces > 0 ? lastServers_.find(key.hash, context.now) : 0;
        if (serverKey == 0) {
            continue;
        }
        const auto found = std::find_if(context.eligible.begin(), context.eligible.end(),
                                        [&](ServerIndex index) { return context.rows[index].key == serverKey; });
        if (found != context.eligible.end()) {
            plan.add(*found);
            return;
        }
    }
}

void ProbePolicy::planHomes(const PlacementKey &key, PolicyContext &context, std::size_t maxAll, Plan &plan)
{
    if (key.pieces == 0) {
        return;
    }
    const std::uint32_t homes = hot_.homes(key.hash, context.now);
    const auto top = order_.top(context.rows, localServers(context), key.hash, homes);
    if (top.size() <= maxAll) {
        for (const ServerIndex index : top) {
            plan.add(index);
        }
        return;
    }
    // A hot prefix with several homes: probes two of them at random (power of two choices), so that the load spreads over all homes.
    plan.add(drawOne(top, context.random));
    plan.add(drawOne(top, context.random));
}

Choice ProbePolicy::choose(const RouteQuery &query, PolicyContext &context, const Plan &plan, std::span<const Quote> quotes)
{
    const PlacementKey key = placementKey(query.hashes, 0);
    const auto homes = key.pieces > 0 ? order_.top(context.rows, localServers(context), key.hash, hot_.homes(key.hash, context.now))
                                      : std::span<const ServerIndex>();
    Choice best;
    Micros bestTotal = 0;
    std::size_t ties = 0;
    for (const Quote &quote : quotes) {
        if (!quote.accepting) {
            continue;
        }
        const Choice candidate = costedChoice(query, context, quotes, quote);
        Micros total = candidate.cost.total();
        if (quote.heldPieces < key.pieces && std::find(homes.begin(), homes.end(), quote.server) == homes.end()) {
            // The server would compute a copy of the prefix without being one of its homes. Other entry processes probe the homes, so they
            // are less likely to reuse this copy.
            total += static_cast<Micros>(options_.nonHomePenalty * static_cast<double>(candidate.cost.prefill));
        }
        const Micros band = best.server == NoServer ? 0 : static_cast<Micros>(options_.tieBand * static_cast<double>(bestTotal));
        if (best.server == NoServer || total + band < bestTotal) {
            best = candidate;
            bestTotal = total;
            ties = 1;
        } else if (total <= bestTotal + band && candidate.heldPieces == best.heldPieces && context.random() % ++ties == 0) {
            best = candidate;
            bestTotal = total;
        }
    }
    if (best.server == NoServer) {
        return chooseWithoutQuotes(context, plan);
    }
    updateHotPrefix(query, context, quotes);
    return best;
}

Choice ProbePolicy::chooseWithoutQuotes(PolicyContext &context, const Plan &plan) const
{
    std::vector<ServerIndex> servers;
    std::copy_if(plan.servers().begin(), plan.servers().end(), std::back_inserter(servers),
                 [&](ServerIndex index) { return std::find(context.eligible.begin(), context.eligible.end(), index) != context.eligible.end(); });
    return choiceWithoutQuotes(leastLoaded(context, servers.empty() ? localServers(context) : std::span<const ServerIndex>(servers)));
}

Choice ProbePolicy::costedChoice(const RouteQuery &query, const PolicyContext &context, std::span<const Quote> quotes, const Quote &quote) const
{
    const ServerRow &row = context.rows[quote.server];
    CostInput input{
        .expectedWait = quote.expectedWait + biasOf(row, context.now),
        .prefillPerPiece = quote.prefillPerPiece,
        .promptPieces = static_cast<std::uint32_t>(query.hashes.size()),
        .heldPieces = quote.heldPieces,
        .promptBytes = query.promptBytes,
        .link = row.server.link,
        .transferPieces = 0,
        .transferLink = {},
    };
    Choice choice;
    choice.server = quote.server;
    choice.heldPieces = quote.heldPieces;
    for (const Quote &other : quotes) {
        if (transferLink_ && other.accepting && other.heldPieces > std::max(quote.heldPieces, input.transferPieces)) {
            input.transferPieces = other.heldPieces;
            input.transferLink = transferLink_(context.rows[other.server].server, row.server);
            choice.transferFrom = other.server;
        }
    }
    choice.cost = costOf(input, options_.cost);
    if (choice.cost.transfer == 0) {
        choice.transferFrom = NoServer;
    }
    return choice;
}

void ProbePolicy::updateHotPrefix(const RouteQuery &query, PolicyContext &context, std::span<const Quote> quotes)
{
    const PlacementKey key = placementKey(query.hashes, 0);
    Micros shortestWait = std::numeric_limits<Micros>::max();
    Micros prefillPerPiece = 0;
    for (const Quote &quote : quotes) {
        if (quote.accepting && quote.heldPieces >= key.pieces && key.pieces > 0) {
            shortestWait = std::min(shortestWait, quote.expectedWait);
            prefillPerPiece = std::max(prefillPerPiece, quote.prefillPerPiece);
        }
    }
    if (shortestWait != std::numeric_limits<Micros>::max()) {
        hot_.reportWait(key.hash, shortestWait, prefillPerPiece * key.pieces, context.now, context.random);
    }
}

void ProbePolicy::onDispatched(const RouteQuery &query, PolicyContext &context, const Choice &choice)
{
    const std::uint64_t serverKey = context.rows[choice.server].key;
    for (std::size_t levelsUp = 0; levelsUp < PlacementLevels.size(); ++levelsUp) {
        const PlacementKey key = placementKey(query.hashes, levelsUp);
        if (key.pieces == 0) {
            return;
        }
        lastServers_.store(key.hash, serverKey, context.now);
    }
}

} // namespace Carobhall::RoutingInternal
