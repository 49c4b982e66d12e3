#include "carobhall/placement.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace Carobhall
{

namespace
{

/// Positions in a row's array.
enum RowField : Json::ArrayIndex { Model, Base, Change, RowFieldCount };

struct Standing {
    double demand = 0.0;
    double slots = 0.0; ///< Of live servers.
    std::size_t servers = 0;
    std::map<std::string, std::size_t> byZone;
};

double pressure(double demand, double slots)
{
    if (slots <= 0.0) {
        return demand > 0.0 ? std::numeric_limits<double>::infinity() : 0.0;
    }
    return demand / slots;
}

std::map<std::string, Standing> standings(const PlacementTable &table, const std::vector<PlacementServer> &servers, const std::vector<ModelDemand> &demand)
{
    std::map<std::string, Standing> models;
    for (const PlacementServer &server : servers) {
        Standing &model = models[modelOf(table, server)];
        if (server.live) {
            model.slots += server.slots;
            ++model.servers;
            ++model.byZone[server.zone];
        }
    }
    for (const ModelDemand &entry : demand) {
        // A model that no server of the document runs cannot be placed.
        if (const auto found = models.find(entry.model); found != models.end()) {
            found->second.demand += entry.slots;
        }
    }
    return models;
}

} // namespace

std::optional<PlacementTable> decodePlacement(const Json::Value &spec)
{
    if (!spec.isObject() || !spec["last_change"].isUInt64() || !spec["rows"].isObject()) {
        return std::nullopt;
    }
    PlacementTable table;
    table.lastChange = spec["last_change"].asUInt64();
    const Json::Value &rows = spec["rows"];
    for (auto it = rows.begin(); it != rows.end(); ++it) {
        const Json::Value &fields = *it;
        const bool wellFormed = fields.isArray() && fields.size() >= RowFieldCount && fields[Model].isString() && fields[Base].isString()
            && fields[Change].isUInt64();
        if (!wellFormed) {
            return std::nullopt;
        }
        table.rows[it.name()] = { .model = fields[Model].asString(), .base = fields[Base].asString(), .change = fields[Change].asUInt64() };
    }
    return table;
}

Json::Value encodePlacement(const PlacementTable &table)
{
    Json::Value spec(Json::objectValue);
    spec["last_change"] = Json::UInt64{ table.lastChange };
    Json::Value &rows = spec["rows"] = Json::Value(Json::objectValue);
    for (const auto &[server, row] : table.rows) {
        Json::Value fields(Json::arrayValue);
        fields.append(row.model);
        fields.append(row.base);
        fields.append(Json::UInt64{ row.change });
        rows[server] = std::move(fields);
    }
    return spec;
}

const std::string &modelOf(const PlacementTable &table, const PlacementServer &server)
{
    const auto row = table.rows.find(server.name);
    return row != table.rows.end() && row->second.base == server.base ? row->second.model : server.base;
}

std::optional<PlacementMove> nextMove(const PlacementTable &table, const std::vector<PlacementServer> &servers, const std::vector<ModelDemand> &demand,
                                      const PlacementLimits &limits)
{
    const std::map<std::string, Standing> models = standings(table, servers, demand);
    const auto hottest = std::max_element(models.begin(), models.end(), [](const auto &a, const auto &b) {
        return pressure(a.second.demand, a.second.slots) < pressure(b.second.demand, b.second.slots);
    });
    if (hottest == models.end() || pressure(hottest->second.demand, hottest->second.slots) <= limits.high) {
        return std::nullopt;
    }
    const Standing &hot = hottest->second;
    std::optional<std::tuple<double, bool, std::size_t, std::string>> best;
    for (const PlacementServer &server : servers) {
        const std::string &model = modelOf(table, server);
        const Standing &donor = models.at(model);
        if (!server.live || model == hottest->first || donor.servers <= limits.minServers) {
            continue;
        }
        const double after = pressure(donor.demand, donor.slots - server.slots);
        if (after >= limits.low || after >= pressure(hot.demand, hot.slots + server.slots)) {
            continue;
        }
        // Coldest donor first, then a server that returns to its own model, then the zone where the model has fewest servers.
        const auto zone = hot.byZone.find(server.zone);
        auto candidate = std::tuple(after, server.base != hottest->first, zone == hot.byZone.end() ? 0 : zone->second, server.name);
        if (!best || candidate < *best) {
            best = std::move(candidate);
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return PlacementMove{ .server = std::get<std::string>(*best), .to = hottest->first };
}

} // namespace Carobhall
