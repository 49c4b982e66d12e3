#pragma once

// Placement decides which model each server runs, based on demand.
//
//     Placer placer(client, {.environment = "guild", .seed = incarnation, .onOrder = ...});
//     placer.setActive(isAmongTheFirstTwo);      // by rendezvous hashing over the members; only reduces the number of calls
//     placer.setInput(servers, demand);          // from the document and from the load reports of agents
//     placer.tick(now);                          // every 10 ms
//
// The document names the initial model of each server. Deviations from it are overrides, which are stored in one object of the
// platform. A move is a conditional update of that object. When several placers decide on the same version, one update succeeds;
// the others see the new version and wait for the cooldown that follows it. There is no leader, and any number of placers may be
// active.
//
// Orders are derived from the table alone. The identity of an order contains the number of the move and the incarnation of the
// engine. All placers therefore issue the same order for as long as a server reports a different model, and the lease of the
// server determines which process carries it out.
//
// Index
//   1. Input
//   2. Table and moves
//   3. Placer

#include "carobhall/leases.h"

namespace Carobhall
{

// 1. Input ----------------------------------------------------------------------------------------

inline constexpr const char *PlacementKind = "placements";

struct PlacementServer {
    std::string name;
    std::string zone;
    std::string documentModel; ///< Model and weights version according to the document.
    std::string reportedModel; ///< Model and weights version that the engine reports; empty if unknown.
    double slots = 1.0;        ///< Requests that the engine processes in one batch.
    bool live = true;
    Incarnation engineIncarnation = 0; ///< Part of the order identity, because a restarted engine needs its order again.
};

struct ModelDemand {
    std::string model;
    double slots = 0.0; ///< Running and queued work, in slots.
};

// 2. Table and moves ------------------------------------------------------------------------------

struct PlacementOverride {
    std::string model;
    std::string documentModel;    ///< Model in the document at the time of the move. The override is void once operators change the document's model.
    std::uint64_t moveNumber = 0; ///< Number of the move that created the override.
};

struct PlacementTable {
    std::uint64_t lastMoveNumber = 0;
    std::map<std::string, PlacementOverride> overrides; ///< By server name.
};

struct PlacementMove {
    std::string server;
    std::string model;
};

struct PlacementLimits {
    double highWatermark = 0.85; ///< A model whose demand exceeds this fraction of its slots gets another server.
    double lowWatermark = 0.6;   ///< A model gives up a server only if its demand stays below this fraction of the remaining slots.
    std::size_t minServers = 1;  ///< Minimum number of live servers that a model keeps when one is moved away.
};

/// Returns nothing when \p spec is malformed. Thread-safe.
[[nodiscard]] std::optional<PlacementTable> decodePlacement(const Json::Value &spec);
[[nodiscard]] Json::Value encodePlacement(const PlacementTable &table);
/// The model that \p server should run. Thread-safe.
[[nodiscard]] const std::string &modelOf(const PlacementTable &table, const PlacementServer &server);
/// The next move that the demand requires, or nothing. Thread-safe.
[[nodiscard]] std::optional<PlacementMove> nextMove(const PlacementTable &table, const std::vector<PlacementServer> &servers,
                                                    const std::vector<ModelDemand> &demand, const PlacementLimits &limits);

// 3. Placer ---------------------------------------------------------------------------------------

struct PlacerOptions {
    std::string environment;
    PlacementLimits limits{};
    Micros readEvery = 5 * MicrosPerSecond;
    Micros sustainedFor = 30 * MicrosPerSecond; ///< A model must need another server for this long before a move is made.
    Micros cooldown = 60
        * MicrosPerSecond; ///< Minimum time after any move, by this or another placer. Loading a model and the effect on load take about this long.
    Micros writeTimeout = 5 * MicrosPerSecond;
    std::uint64_t seed = 1;
    std::function<void(const std::string &server, const EngineOrder &order, Micros now)>
        onOrder; ///< Sends an order to the server's agent. May be called repeatedly for the same order.
};

struct PlacerStats {
    std::uint64_t moves = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknown = 0; ///< Moves whose outcome remained unknown; the next read of the table shows it.
    std::uint64_t orders = 0;
};

/// Makes moves and issues orders, on behalf of one process. Not thread-safe. The client must outlive it.
class Placer
{
public:
    Placer(PlatformClient &client, PlacerOptions options);
    ~Placer();
    Placer(const Placer &) = delete;
    Placer &operator=(const Placer &) = delete;

    void setActive(bool active);
    void setInput(std::vector<PlacementServer> servers, std::vector<ModelDemand> demand);
    void tick(Micros now);
    [[nodiscard]] const PlacementTable &table() const;
    [[nodiscard]] const PlacerStats &stats() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace Carobhall
