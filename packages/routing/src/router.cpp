#include "policies.h"

#include <algorithm>

namespace Carobhall
{

using namespace RoutingInternal;

static_assert(RoutingPolicy<RandomPolicy> && RoutingPolicy<LeastLoadedPolicy> && RoutingPolicy<BoundedRendezvousPolicy> && RoutingPolicy<ProbePolicy>);

namespace
{

using AnyPolicy = std::variant<RandomPolicy, LeastLoadedPolicy, BoundedRendezvousPolicy, ProbePolicy>;

// Share of an observed prediction error that is added to a server's wait bias.
constexpr double BiasWeight = 0.2;
// Prediction errors below this are taken as scheduling noise and ignored.
constexpr Micros MinBiasError = 10 * MicrosPerMilli;
constexpr Micros MaxBias = 10 * MicrosPerSecond;

AnyPolicy makePolicy(const RouterOptions &options)
{
    switch (options.policy) {
    case PolicyKind::Random:
        return RandomPolicy();
    case PolicyKind::LeastLoaded:
        return LeastLoadedPolicy();
    case PolicyKind::BoundedRendezvous:
        return BoundedRendezvousPolicy(options.options);
    case PolicyKind::Probe:
        break;
    }
    return ProbePolicy(options.options, options.transferLink);
}

bool canServe(const Server &server, const RouteQuery &query)
{
    return server.accepting && server.route == query.route && (query.weightsVersion.empty() || server.weightsVersion == query.weightsVersion)
        && (query.adapter.empty() || std::find(server.adapters.begin(), server.adapters.end(), query.adapter) != server.adapters.end());
}

} // namespace

struct Router::Impl {
    explicit Impl(RouterOptions routerOptions)
        : options(std::move(routerOptions))
        , policy(makePolicy(options))
        , random(options.seed)
    {
    }

    /// Collects the servers that are eligible for \p query and not in \p exclude, with those in the local region first.
    PolicyContext contextFor(const RouteQuery &query, std::span<const ServerIndex> exclude, Micros now)
    {
        eligible.clear();
        std::size_t local = 0;
        const auto group = serversByRoute.find(std::string(query.route));
        if (group != serversByRoute.end()) {
            for (const ServerIndex index : group->second) {
                if (!canServe(rows[index].server, query) || std::find(exclude.begin(), exclude.end(), index) != exclude.end()) {
                    continue;
                }
                eligible.push_back(index);
                if (rows[index].server.region == options.region) {
                    std::swap(eligible[local++], eligible.back());
                }
            }
        }
        return { .rows = rows, .eligible = eligible, .localCount = local, .random = random, .now = now };
    }

    void checkIndex(ServerIndex index) const
    {
        ensure(index < rows.size(), "a server index must be within the server table");
    }

    RouterOptions options;
    AnyPolicy policy;
    std::mt19937_64 random;
    std::vector<ServerRow> rows;
    std::unordered_map<std::string, std::vector<ServerIndex>> serversByRoute;
    std::vector<ServerIndex> eligible; ///< Buffer that contextFor() fills.
};

Router::Router(RouterOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

Router::~Router() = default;

void Router::setServers(std::vector<Server> servers)
{
    std::unordered_map<std::string, ServerRow> previousRows;
    for (ServerRow &row : impl_->rows) {
        previousRows.emplace(row.server.name, std::move(row));
    }
    impl_->rows.clear();
    impl_->serversByRoute.clear();
    for (Server &server : servers) {
        ServerRow row;
        if (const auto found = previousRows.find(server.name); found != previousRows.end()) {
            row = std::move(found->second);
        }
        row.key = hashName(server.name);
        row.server = std::move(server);
        impl_->serversByRoute[row.server.route].push_back(static_cast<ServerIndex>(impl_->rows.size()));
        impl_->rows.push_back(std::move(row));
    }
}

std::span<const ServerRow> Router::servers() const
{
    return impl_->rows;
}

ServerIndex Router::find(std::string_view name) const
{
    const auto found = std::find_if(impl_->rows.begin(), impl_->rows.end(), [name](const ServerRow &row) { return row.server.name == name; });
    return found == impl_->rows.end() ? NoServer : static_cast<ServerIndex>(found - impl_->rows.begin());
}

void Router::setAccepting(ServerIndex server, bool accepting)
{
    impl_->checkIndex(server);
    impl_->rows[server].server.accepting = accepting;
}

void Router::reportLoad(ServerIndex server, Micros wait, std::uint32_t active, Micros now)
{
    impl_->checkIndex(server);
    ServerLoad &load = impl_->rows[server].load;
    load.reportedWait = wait;
    load.reportedAt = now;
    load.reportedActive = active;
}

bool Router::plan(const RouteQuery &query, Micros now, Plan &plan)
{
    plan.count = 0;
    PolicyContext context = impl_->contextFor(query, {}, now);
    if (context.eligible.empty()) {
        return false;
    }
    std::visit([&](auto &policy) { policy.plan(query, context, plan); }, impl_->policy);
    return true;
}

Choice Router::choose(const RouteQuery &query, const Plan &plan, std::span<const Quote> quotes, Micros now, std::span<const ServerIndex> exclude)
{
    PolicyContext context = impl_->contextFor(query, exclude, now);
    if (context.eligible.empty()) {
        return {};
    }
    std::vector<Quote> usable;
    for (const Quote &quote : quotes) {
        impl_->checkIndex(quote.server);
        ServerLoad &load = impl_->rows[quote.server].load;
        load.reportedWait = quote.expectedWait;
        load.reportedAt = now;
        if (std::find(context.eligible.begin(), context.eligible.end(), quote.server) != context.eligible.end()) {
            usable.push_back(quote);
        }
    }
    const Choice choice = std::visit([&](auto &policy) { return policy.choose(query, context, plan, usable); }, impl_->policy);
    ensure(choice.server < impl_->rows.size() && canServe(impl_->rows[choice.server].server, query), "the chosen server must be able to serve the request");
    return choice;
}

void Router::onDispatched(const RouteQuery &query, const Choice &choice, Micros now)
{
    impl_->checkIndex(choice.server);
    ServerLoad &load = impl_->rows[choice.server].load;
    ++load.inFlight;
    ++load.reportedActive;
    PolicyContext context{ .rows = impl_->rows, .eligible = {}, .localCount = 0, .random = impl_->random, .now = now };
    std::visit([&](auto &policy) { policy.onDispatched(query, context, choice); }, impl_->policy);
}

void Router::onFirstToken(const RouteQuery & /*query*/, const Choice &choice, Micros elapsed, Micros now)
{
    impl_->checkIndex(choice.server);
    if (choice.withoutQuotes) {
        return;
    }
    ServerRow &row = impl_->rows[choice.server];
    const Cost &cost = choice.cost;
    // The predicted time includes the wait bias at the time of the choice, so `error` is the part that this bias does not explain.
    const Micros predicted = cost.total() - cost.price;
    const Micros error = elapsed - predicted;
    const Micros countedError = std::abs(error) < MinBiasError ? 0 : std::clamp(error, -MaxBias, MaxBias);
    const auto currentBias = static_cast<double>(biasOf(row, now));
    row.waitBias = std::clamp(currentBias + BiasWeight * static_cast<double>(countedError), 0.0, static_cast<double>(MaxBias));
    row.biasAt = now;
}

void Router::onEnded(const Choice &choice, Micros /*now*/)
{
    impl_->checkIndex(choice.server);
    ServerLoad &load = impl_->rows[choice.server].load;
    ensure(load.inFlight > 0, "onEnded() must be called only once for a request");
    --load.inFlight;
    if (load.reportedActive > 0) {
        --load.reportedActive;
    }
}

bool Plan::add(ServerIndex server)
{
    const auto end = probes.begin() + static_cast<std::ptrdiff_t>(count);
    if (count == MaxProbes || std::find(probes.begin(), end, server) != end) {
        return false;
    }
    probes[count++] = server;
    return true;
}

Quote quoteOf(const ProbeReply &reply, ServerIndex server)
{
    return { .server = server,
             .heldPieces = reply.heldPieces,
             .expectedWait = reply.expectedWait,
             .prefillPerPiece = reply.prefillPerPiece,
             .accepting = reply.state == static_cast<std::uint8_t>(UpstreamState::Accepting) };
}

} // namespace Carobhall
