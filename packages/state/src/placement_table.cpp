#include "carobhall/placement.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace Carobhall
{

namespace
{

/// Positions in the array that encodes an override.
enum OverrideField : Json::ArrayIndex { Model, DocumentModel, MoveNumber, OverrideFieldCount };

struct ModelLoad {
    double demand = 0.0;
    double slots = 0.0; ///< Total slots of live servers.
    std::size_t servers = 0;
    std::map<std::string, std::size_t> byZone;
};

double utilization(double demand, double slots)
{
    if (slots <= 0.0) {
        return demand > 0.0 ? std::numeric_limits<double>::infinity() : 0.0;
    }
    return demand / slots;
}

std::map<std::string, ModelLoad> modelLoads(const PlacementTable &table, const std::vector<PlacementServer> &servers, const std::vector<ModelDemand> &demand)
{
    std::map<std::string, ModelLoad> models;
    for (const PlacementServer &server : servers) {
        ModelLoad &model = models[modelOf(table, server)];
        if (server.live) {
            model.slots += server.slots;
            ++model.servers;
            ++model.byZone[server.zone];
        }
    }
    for (const ModelDemand &entry : demand) {
        // Demand for a model that no server should run is ignored.
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
    table.lastMoveNumber = spec["last_change"].asUInt64();
    const Json::Value &overrides = spec["rows"];
    for (auto it = overrides.begin(); it != overrides.end(); ++it) {
        const Json::Value &fields = *it;
        const bool wellFormed = fields.isArray() && fields.size() >= OverrideFieldCount && fields[Model].isString() && fields[DocumentModel].isString()
            && fields[MoveNumber].isUInt64();
        if (!wellFormed) {
            return std::nullopt;
        }
        table.overrides[it.name()] = { .model = fields[Model].asString(),
                                       .documentModel = fields[DocumentModel].asString(),
                                       .moveNumber = fields[MoveNumber].asUInt64() };
    }
    return table;
}

Json::Value encodePlacement(const PlacementTable &table)
{
    Json::Value spec(Json::objectValue);
    spec["last_change"] = Json::UInt64{ table.lastMoveNumber };
    Json::Value &overrides = spec["rows"] = Json::Value(Json::objectValue);
    for (const auto &[server, entry] : table.overrides) {
        Json::Value fields(Json::arrayValue);
        fields.append(entry.model);
        fields.append(entry.documentModel);
        fields.append(Json::UInt64{ entry.moveNumber });
        overrides[server] = std::move(fields);
    }
    return spec;
}

const std::string &modelOf(const PlacementTable &table, const PlacementServer &server)
{
    const auto entry = table.overrides.find(server.name);
    return entry != table.overrides.end() && entry->second.documentModel == server.documentModel ? entry->second.model : server.documentModel;
}

std::optional<PlacementMove> nextMove(const PlacementTable &table, const std::vector<PlacementServer> &servers, const std::vector<ModelDemand> &demand,
                                      const PlacementLimits &limits)
{
    const std::map<std::string, ModelLoad> models = modelLoads(table, servers, demand);
    const auto mostUtilized = std::max_element(models.begin(), models.end(), [](const auto &a, const auto &b) {
        return utilization(a.second.demand, a.second.slots) < utilization(b.second.demand, b.second.slots);
    });
    if (mostUtilized == models.end() || utilization(mostUtilized->second.demand, mostUtilized->second.slots) <= limits.highWatermark) {
        return std::nullopt;
    }
    const ModelLoad &receiver = mostUtilized->second;
    std::optional<std::tuple<double, bool, std::size_t, std::string>> best;
    for (const PlacementServer &server : servers) {
        const std::string &model = modelOf(table, server);
        const ModelLoad &donor = models.at(model);
        if (!server.live || model == mostUtilized->first || donor.servers <= limits.minServers) {
            continue;
        }
        const double after = utilization(donor.demand, donor.slots - server.slots);
        if (after >= limits.lowWatermark || after >= utilization(receiver.demand, receiver.slots + server.slots)) {
            continue;
        }
        // Prefers the donor with the lowest utilization after the move, then a server that returns to its document model, then the
        // zone in which the receiving model has the fewest servers.
        const auto zone = receiver.byZone.find(server.zone);
        auto candidate = std::tuple(after, server.documentModel != mostUtilized->first, zone == receiver.byZone.end() ? 0 : zone->second, server.name);
        if (!best || candidate < *best) {
            best = std::move(candidate);
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return PlacementMove{ .server = std::get<std::string>(*best), .model = mostUtilized->first };
}

} // namespace Carobhall
