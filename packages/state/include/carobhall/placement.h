#pragma once

// Placement: which model each server runs, by demand.
//
//     Placer placer(client, {.environment = "guild", .seed = incarnation, .onOrder = ...});
//     placer.setActive(isAmongTheFirstTwo);      // by rendezvous hashing over the members; a hint that saves calls
//     placer.setInput(servers, demand);          // from the document and from the agents' load reports
//     placer.tick(now);                          // every 10 ms
//
// The document names the model that each server starts with. Moves away from it are rows of one object of the platform. A
// move is a conditional update of that object, so of several actors that decide on the same version one succeeds, and the
// others see a new version and wait for its cooldown. There is no leader: any number of actors may be active.
//
// An order follows from the table alone, and its identity contains the number of the move and the engine's incarnation. So every actor gives the same
// order for as long as a server reports another model, and the server's lease decides who carries it out.
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
    std::string base;   ///< Model and weights version in the document.
    std::string loaded; ///< What the engine reports; empty when it is not known.
    double slots = 1.0; ///< Requests that the engine batches at once.
    bool live = true;
    Incarnation engine = 0; ///< Of the engine; a restarted one needs its order again.
};

struct ModelDemand {
    std::string model;
    double slots = 0.0; ///< Running and waiting work, in slots.
};

// 2. Table and moves ------------------------------------------------------------------------------

struct PlacementRow {
    std::string model;
    std::string base;         ///< The document's model at the time of the move; the row ends when operators change that.
    std::uint64_t change = 0; ///< Number of the move.
};

struct PlacementTable {
    std::uint64_t lastChange = 0;
    std::map<std::string, PlacementRow> rows; ///< By server.
};

struct PlacementMove {
    std::string server;
    std::string to;
};

struct PlacementLimits {
    double high = 0.85;         ///< A model whose demand exceeds this share of its slots gets another server.
    double low = 0.6;           ///< A model gives a server up when its demand then stays below this share.
    std::size_t minServers = 1; ///< Of each model.
};

/// Nothing when \p spec is not a placement table. Thread-safe.
[[nodiscard]] std::optional<PlacementTable> decodePlacement(const Json::Value &spec);
[[nodiscard]] Json::Value encodePlacement(const PlacementTable &table);
/// The model that \p server is to run. Thread-safe.
[[nodiscard]] const std::string &modelOf(const PlacementTable &table, const PlacementServer &server);
/// The move that the demand asks for, or nothing. Thread-safe.
[[nodiscard]] std::optional<PlacementMove> nextMove(const PlacementTable &table, const std::vector<PlacementServer> &servers,
                                                    const std::vector<ModelDemand> &demand, const PlacementLimits &limits);

// 3. Placer ---------------------------------------------------------------------------------------

struct PlacerOptions {
    std::string environment;
    PlacementLimits limits{};
    Micros readEvery = 5 * MicrosPerSecond;
    Micros sustain = 30 * MicrosPerSecond;  ///< A model must ask for a server this long.
    Micros cooldown = 60 * MicrosPerSecond; ///< After a move that this or another actor made; a load and its effect take about that long.
    Micros writeTimeout = 5 * MicrosPerSecond;
    std::uint64_t seed = 1;
    std::function<void(const std::string &server, const EngineOrder &order, Micros now)> onOrder; ///< To the server's agent; may repeat.
};

struct PlacerStats {
    std::uint64_t moves = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknown = 0; ///< Moves whose outcome stayed unknown; the next read shows it.
    std::uint64_t orders = 0;
};

/// One actor. Not thread-safe. The client must outlive it.
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
