#include "carobhall/placement.h"

#include "ensure.h"

#include <algorithm>

namespace Carobhall
{

struct Placer::Impl : std::enable_shared_from_this<Impl> {
    Impl(PlatformClient &platform, PlacerOptions placerOptions)
        : client(platform)
        , options(std::move(placerOptions))
        , generator(options.seed)
        , object{ .kind = PlacementKind, .name = options.environment, .uid = {}, .version = 0, .spec = {} }
    {
    }

    void read(Micros now);
    void onRead(const PlatformReply &reply, Micros now);
    bool observe(const PlatformObject &seen, Micros now);
    void decide(Micros now);
    bool isSustained(const std::optional<PlacementMove> &move, Micros now);
    void makeMove(const PlacementMove &move, Micros now);
    void onWritten(const PlatformReply &reply, Micros now);
    void issueOrders(Micros now);

    PlatformClient &client;
    PlacerOptions options;
    Generator generator;
    PlacerStats stats;
    std::vector<PlacementServer> servers;
    std::vector<ModelDemand> demand;
    PlatformObject object;
    PlacementTable table;
    bool active = false;
    bool callInFlight = false;
    bool hasRead = false;
    Micros readAt = 0;
    Micros versionSeenAt = 0;   ///< When this process first saw the current version of the table.
    std::string requestedModel; ///< Model that currently needs another server.
    Micros requestedSince = 0;
};

void Placer::Impl::read(Micros now)
{
    callInFlight = true;
    readAt = now + std::uniform_int_distribution<Micros>(options.readEvery / 2, options.readEvery)(generator);
    client.call(getCall(object.kind, object.name), now, [weak = weak_from_this()](const PlatformReply &reply, Micros when) {
        if (const auto impl = weak.lock()) {
            impl->onRead(reply, when);
        }
    });
}

void Placer::Impl::onRead(const PlatformReply &reply, Micros now)
{
    callInFlight = false;
    if (reply.error == Errc::NotFound) {
        object.version = 0;
        object.spec = Json::Value(Json::objectValue);
        table = {};
        if (!hasRead) {
            versionSeenAt = now;
        }
        hasRead = true;
    } else if (reply.error || reply.object.version < object.version || !observe(reply.object, now)) {
        return;
    }
    issueOrders(now);
    decide(now);
}

bool Placer::Impl::observe(const PlatformObject &seen, Micros now)
{
    std::optional<PlacementTable> decoded = decodePlacement(seen.spec);
    if (!decoded) {
        logEvent(LogLevel::Error, "placement_malformed", { { "object", seen.name }, { "version", seen.version } });
        return false;
    }
    // After a start a full cooldown is observed, because the age of the version is unknown.
    if (!hasRead || seen.version != object.version) {
        versionSeenAt = now;
    }
    hasRead = true;
    object = seen;
    table = std::move(*decoded);
    return true;
}

bool Placer::Impl::isSustained(const std::optional<PlacementMove> &move, Micros now)
{
    const std::string &model = move ? move->model : std::string();
    if (model != requestedModel) {
        requestedModel = model;
        requestedSince = now;
    }
    return move && now - requestedSince >= options.sustainedFor;
}

void Placer::Impl::decide(Micros now)
{
    const std::optional<PlacementMove> move = nextMove(table, servers, demand, options.limits);
    if (!isSustained(move, now) || now - versionSeenAt < options.cooldown) {
        return;
    }
    makeMove(*move, now);
}

void Placer::Impl::makeMove(const PlacementMove &move, Micros now)
{
    PlacementTable next = table;
    // Removes overrides without effect: those of servers that are no longer in the document or whose document model has changed.
    std::erase_if(next.overrides, [&](const auto &entry) {
        return std::none_of(servers.begin(), servers.end(),
                            [&](const PlacementServer &server) { return server.name == entry.first && server.documentModel == entry.second.documentModel; });
    });
    const auto server = std::find_if(servers.begin(), servers.end(), [&](const PlacementServer &each) { return each.name == move.server; });
    ensure(server != servers.end(), "a move must name a server of the document");
    // An override is stored even when the server returns to its document model, so that the order gets a new identity.
    next.overrides[move.server] = { .model = move.model, .documentModel = server->documentModel, .moveNumber = ++next.lastMoveNumber };
    callInFlight = true;
    client.update(object, encodePlacement(next), now, now + options.writeTimeout, [weak = weak_from_this()](const PlatformReply &reply, Micros when) {
        if (const auto impl = weak.lock()) {
            impl->onWritten(reply, when);
        }
    });
    logEvent(LogLevel::Info, "placement_move", { { "server", move.server }, { "to", move.model }, { "change", next.lastMoveNumber } });
}

void Placer::Impl::onWritten(const PlatformReply &reply, Micros now)
{
    callInFlight = false;
    if (reply.error) {
        ++(reply.verdict == Verdict::MayHaveRun ? stats.unknown : stats.conflicts);
        return;
    }
    ++stats.moves;
    if (observe(reply.object, now)) {
        issueOrders(now);
    }
}

void Placer::Impl::issueOrders(Micros now)
{
    for (const PlacementServer &server : servers) {
        const std::string &model = modelOf(table, server);
        if (!server.live || server.reportedModel.empty() || server.reportedModel == model || !options.onOrder) {
            continue;
        }
        const auto entry = table.overrides.find(server.name);
        const std::uint64_t moveNumber = entry == table.overrides.end() ? 0 : entry->second.moveNumber;
        ++stats.orders;
        options.onOrder(server.name,
                        { .id = server.name + "/" + model + "/" + std::to_string(moveNumber) + "/" + toHex(server.engineIncarnation),
                          .action = "load_model",
                          .model = model,
                          .weightsVersion = {},
                          .loadsWeights = true },
                        now);
    }
}

// Public interface

Placer::Placer(PlatformClient &client, PlacerOptions options)
    : impl_(std::make_shared<Impl>(client, std::move(options)))
{
}

Placer::~Placer() = default;

void Placer::setActive(bool active)
{
    impl_->active = active;
}

void Placer::setInput(std::vector<PlacementServer> servers, std::vector<ModelDemand> demand)
{
    impl_->servers = std::move(servers);
    impl_->demand = std::move(demand);
}

void Placer::tick(Micros now)
{
    if (impl_->active && !impl_->callInFlight && now >= impl_->readAt) {
        impl_->read(now);
    }
}

const PlacementTable &Placer::table() const
{
    return impl_->table;
}

const PlacerStats &Placer::stats() const
{
    return impl_->stats;
}

} // namespace Carobhall
