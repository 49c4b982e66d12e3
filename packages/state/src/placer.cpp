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
    void giveOrders(Micros now);

    PlatformClient &client;
    PlacerOptions options;
    Generator generator;
    PlacerStats stats;
    std::vector<PlacementServer> servers;
    std::vector<ModelDemand> demand;
    PlatformObject object;
    PlacementTable table;
    bool active = false;
    bool busy = false;
    bool seenBefore = false;
    Micros readAt = 0;
    Micros changedAt = 0; ///< When the present version was first seen here.
    std::string wanted;   ///< The model that asks for a server.
    Micros wantedSince = 0;
};

void Placer::Impl::read(Micros now)
{
    busy = true;
    readAt = now + std::uniform_int_distribution<Micros>(options.readEvery / 2, options.readEvery)(generator);
    client.call(getCall(object.kind, object.name), now, [weak = weak_from_this()](const PlatformReply &reply, Micros when) {
        if (const auto impl = weak.lock()) {
            impl->onRead(reply, when);
        }
    });
}

void Placer::Impl::onRead(const PlatformReply &reply, Micros now)
{
    busy = false;
    if (reply.error == Errc::NotFound) {
        object.version = 0;
        object.spec = Json::Value(Json::objectValue);
        table = {};
        if (!seenBefore) {
            changedAt = now;
        }
        seenBefore = true;
    } else if (reply.error || reply.object.version < object.version || !observe(reply.object, now)) {
        return;
    }
    giveOrders(now);
    decide(now);
}

bool Placer::Impl::observe(const PlatformObject &seen, Micros now)
{
    std::optional<PlacementTable> decoded = decodePlacement(seen.spec);
    if (!decoded) {
        logEvent(LogLevel::Error, "placement_malformed", { { "object", seen.name }, { "version", seen.version } });
        return false;
    }
    // An actor that starts waits a whole cooldown, because it does not know how old the version is.
    if (!seenBefore || seen.version != object.version) {
        changedAt = now;
    }
    seenBefore = true;
    object = seen;
    table = std::move(*decoded);
    return true;
}

bool Placer::Impl::isSustained(const std::optional<PlacementMove> &move, Micros now)
{
    const std::string &model = move ? move->to : std::string();
    if (model != wanted) {
        wanted = model;
        wantedSince = now;
    }
    return move && now - wantedSince >= options.sustain;
}

void Placer::Impl::decide(Micros now)
{
    const std::optional<PlacementMove> move = nextMove(table, servers, demand, options.limits);
    if (!isSustained(move, now) || now - changedAt < options.cooldown) {
        return;
    }
    makeMove(*move, now);
}

void Placer::Impl::makeMove(const PlacementMove &move, Micros now)
{
    PlacementTable next = table;
    // Rows of servers that left the document, or whose model operators have changed, have no effect any more.
    std::erase_if(next.rows, [&](const auto &row) {
        return std::none_of(servers.begin(), servers.end(),
                            [&](const PlacementServer &server) { return server.name == row.first && server.base == row.second.base; });
    });
    const auto server = std::find_if(servers.begin(), servers.end(), [&](const PlacementServer &each) { return each.name == move.server; });
    ensure(server != servers.end(), "a move names a server of the document");
    // The row stays when the server returns to its own model, so that its order has a new identity.
    next.rows[move.server] = { .model = move.to, .base = server->base, .change = ++next.lastChange };
    busy = true;
    client.update(object, encodePlacement(next), now, now + options.writeTimeout, [weak = weak_from_this()](const PlatformReply &reply, Micros when) {
        if (const auto impl = weak.lock()) {
            impl->onWritten(reply, when);
        }
    });
    logEvent(LogLevel::Info, "placement_move", { { "server", move.server }, { "to", move.to }, { "change", next.lastChange } });
}

void Placer::Impl::onWritten(const PlatformReply &reply, Micros now)
{
    busy = false;
    if (reply.error) {
        ++(reply.verdict == Verdict::MayHaveRun ? stats.unknown : stats.conflicts);
        return;
    }
    ++stats.moves;
    if (observe(reply.object, now)) {
        giveOrders(now);
    }
}

void Placer::Impl::giveOrders(Micros now)
{
    for (const PlacementServer &server : servers) {
        const std::string &model = modelOf(table, server);
        if (!server.live || server.loaded.empty() || server.loaded == model || !options.onOrder) {
            continue;
        }
        const auto row = table.rows.find(server.name);
        const std::uint64_t change = row == table.rows.end() ? 0 : row->second.change;
        ++stats.orders;
        options.onOrder(server.name,
                        { .id = server.name + "/" + model + "/" + std::to_string(change) + "/" + toHex(server.engine),
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
    if (impl_->active && !impl_->busy && now >= impl_->readAt) {
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
