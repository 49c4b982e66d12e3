#pragma once

// A fleet in virtual time: engines with LRU caches, their agents, and entry processes with routers of their own.
//
// An engine computes prompts in a few lanes and then holds a slot while it generates. A prompt's blocks enter the cache when
// its computation ends. Prompts are a nested family: account, template, dossier, and a tail of their own.

#include "carobhall/routing.h"

#include <deque>
#include <list>
#include <memory>
#include <queue>

namespace Carobhall::Test
{

enum class Phase : std::uint8_t { Warmup, Skew, Shift, Crash };
inline constexpr std::size_t PhaseCount = 4;

struct FleetOptions {
    PolicyKind policy = PolicyKind::Probe;
    bool oracle = false; ///< Instead of the policy: the least cost by the exact state of every engine.
    PolicyOptions options{};
    bool singleFlight = true;     ///< A request waits at its engine for one that computes the same prefix.
    bool pendingInQuotes = false; ///< What is being computed counts as held in quotes, with its wait.
    std::uint64_t seed = 1;
    std::size_t engines = 12;
    std::size_t entries = 3;
    std::size_t zones = 3;
    std::size_t regions = 1; ///< Zones are spread over them in turn.
    std::size_t dossiers = 400;
    double zipf = 1.0;
    double requestsPerSecond = 60.0;
    double longShare = 0.7;          ///< Of the requests; the others are short.
    std::size_t cacheBlocks = 6'000; ///< Of an engine.
    std::size_t lanes = 2;           ///< Prompts that an engine computes at once.
    std::size_t slots = 24;
    Micros prefillPerPiece = 1'000;
    Micros phaseTime = 20 * MicrosPerSecond; ///< The hot set shifts at the start of Shift, an engine crashes at the start of Crash.
    bool shift = true;
    bool crash = true;
};

struct PhaseResult {
    std::vector<double> longTimes; ///< To the first token, in milliseconds.
    std::vector<double> shortTimes;
    double pieces = 0;    ///< Of the prompts.
    double hit = 0;       ///< Found in the cache.
    double avoidable = 0; ///< Computed although another reachable engine held them when the request was routed.
    double busy = 0;      ///< Lane seconds.
};

class Fleet
{
public:
    explicit Fleet(FleetOptions options);
    ~Fleet();
    std::array<PhaseResult, PhaseCount> run();

private:
    struct Engine;
    struct Entry;
    struct Request;
    using Handle = std::shared_ptr<Request>;
    struct Event {
        Micros at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    void later(Micros delay, std::function<void()> action);
    void arrive();
    Handle makeRequest();
    void route(const Handle &request);
    void decide(const Handle &request);
    [[nodiscard]] Choice oracleChoice(const Handle &request);
    void submit(const Handle &request);
    void pump(std::size_t engine);
    void finishPrefill(std::size_t engine, const Handle &request);
    void end(const Handle &request);
    void crashEngine(std::size_t engine);
    void report();
    [[nodiscard]] Quote quote(std::size_t engine, const Request &request);
    [[nodiscard]] Micros roundTrip(std::size_t entry, std::size_t engine) const;
    [[nodiscard]] Phase phaseAt(Micros at) const;

    FleetOptions options_;
    std::mt19937_64 random_;
    std::mt19937_64 workload_; ///< Of its own, so that every policy gets the same requests.
    std::vector<std::unique_ptr<Engine>> engines_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::vector<std::vector<PrefixHash>> dossiers_;
    std::vector<std::size_t> popularity_; ///< Rank to dossier.
    std::vector<double> cumulative_;      ///< Of the Zipf distribution.
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::array<PhaseResult, PhaseCount> results_;
    std::uint64_t order_ = 0;
    Micros now_ = 0;
};

} // namespace Carobhall::Test
