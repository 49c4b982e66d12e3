#pragma once

// Discrete-event simulation of a fleet in virtual time: engines with LRU prefix caches, their agents, and entry processes with one
// router each.
//
// An engine computes the prefill of a few prompts at once, one in each lane; a request then holds a slot while its answer is generated.
// The blocks of a prompt enter the cache when its prefill ends. A long prompt consists of the parts account, template and dossier, which
// it shares with other prompts, and a tail of its own. A short prompt is only a tail.

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
    bool oracle = false; ///< Replaces the policy: chooses the lowest cost with the exact state of every engine.
    PolicyOptions options{};
    bool singleFlight = true;     ///< A request waits at its engine for another one that computes the same prefix.
    bool pendingInQuotes = false; ///< Quotes count a prefix that is being computed as held and include the wait for it.
    std::uint64_t seed = 1;
    std::size_t engines = 12;
    std::size_t entries = 3;
    std::size_t zones = 3;
    std::size_t regions = 1; ///< Zones are assigned to the regions round-robin.
    std::size_t dossiers = 400;
    double zipfExponent = 1.0; ///< Exponent of the Zipf distribution of dossier popularity.
    double requestsPerSecond = 60.0;
    double longShare = 0.7;          ///< Share of requests with a long prompt.
    std::size_t cacheBlocks = 6'000; ///< Cache capacity of an engine.
    std::size_t lanes = 2;           ///< Prompts that an engine computes at the same time.
    std::size_t slots = 24;          ///< Requests that an engine computes or generates at the same time.
    Micros prefillPerPiece = 1'000;
    Micros phaseTime = 20 * MicrosPerSecond; ///< Duration of each phase.
    bool shift = true;                       ///< The popularity of the dossiers is shuffled at the start of the phase Shift.
    bool crash = true;                       ///< An engine crashes at the start of the phase Crash.
};

/// Results for the requests that arrived in one phase.
struct PhaseResult {
    std::vector<double> longTimesMs;  ///< Times to first token of the long prompts.
    std::vector<double> shortTimesMs; ///< Times to first token of the short prompts.
    double pieces = 0;                ///< Prompt pieces.
    double cachedPieces = 0;          ///< Prompt pieces found in the engine's cache.
    double avoidablePieces = 0;       ///< Prompt pieces computed although another reachable engine held them at routing time.
    double busyLaneSeconds = 0;       ///< Prefill time, summed over the lanes.
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
        std::uint64_t order = 0; ///< Events at the same time run in the order in which they were scheduled.
        std::function<void()> action;
        bool operator>(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    /// Schedules \p action after \p delay.
    void schedule(Micros delay, std::function<void()> action);
    void arrive();
    Handle makeRequest();
    void route(const Handle &request);
    void chooseEngine(const Handle &request);
    [[nodiscard]] Choice oracleChoice(const Handle &request);
    void submit(const Handle &request);
    /// Starts queued requests while the engine has a free lane and slot.
    void startQueued(std::size_t engine);
    void finishPrefill(std::size_t engine, const Handle &request);
    void finishGeneration(const Handle &request);
    void crashEngine(std::size_t engine);
    /// Sends a load report of every engine to all entry processes.
    void reportLoads();
    [[nodiscard]] Quote quote(std::size_t engine, const Request &request);
    [[nodiscard]] Micros roundTrip(std::size_t entry, std::size_t engine) const;
    [[nodiscard]] Phase phaseAt(Micros at) const;

    FleetOptions options_;
    std::mt19937_64 random_;
    std::mt19937_64 workload_; ///< Separate generator for the requests, so that every policy gets the same ones.
    std::vector<std::unique_ptr<Engine>> engines_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::vector<std::vector<PrefixHash>> dossiers_;
    std::vector<std::size_t> popularity_; ///< Dossier at each popularity rank.
    std::vector<double> cumulative_;      ///< Cumulative, unnormalised Zipf distribution over the ranks.
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::array<PhaseResult, PhaseCount> results_;
    std::uint64_t order_ = 0;
    Micros now_ = 0;
};

} // namespace Carobhall::Test
