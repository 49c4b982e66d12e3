#include "fleet_model.h"

#include <algorithm>
#include <cmath>

namespace Carobhall::Test
{

namespace
{

constexpr Micros IntraRegionRoundTrip = MicrosPerMilli;
constexpr Micros InterRegionRoundTrip = 12 * MicrosPerMilli;
constexpr double InterRegionBytesPerSecond = 30e6 / 8; // 30 Mbit/s.
constexpr Micros ReportPeriod = 100 * MicrosPerMilli;
constexpr Micros FailureDetectionTime = 500 * MicrosPerMilli; // From an engine's crash until every router knows of it.
constexpr Micros RestartTime = 5 * MicrosPerSecond;
constexpr Micros MinGenerationTime = 100 * MicrosPerMilli;
constexpr Micros MeanGenerationTime = 350 * MicrosPerMilli; // Uniformly distributed from MinGenerationTime to six times as long.
constexpr std::string_view Route = "needle-large";

std::string zoneOf(std::size_t number)
{
    return "zone-" + std::to_string(number);
}

/// An engine's prefix cache with LRU eviction. The deeper blocks of a prompt are evicted before its shallower ones.
class LruCache
{
public:
    explicit LruCache(std::size_t capacity)
        : capacity_(capacity)
    {
    }
    /// Inserts the hashes, or marks them as recently used, and evicts blocks beyond the capacity.
    void insert(std::span<const PrefixHash> hashes)
    {
        for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
            if (const auto found = where_.find(*hash); found != where_.end()) {
                order_.splice(order_.begin(), order_, found->second);
                continue;
            }
            order_.push_front(*hash);
            where_[*hash] = order_.begin();
        }
        while (order_.size() > capacity_) {
            where_.erase(order_.back());
            order_.pop_back();
        }
    }
    [[nodiscard]] std::uint32_t held(std::span<const PrefixHash> hashes) const
    {
        const auto end = std::partition_point(hashes.begin(), hashes.end(), [this](PrefixHash hash) { return where_.contains(hash); });
        return static_cast<std::uint32_t>(end - hashes.begin());
    }
    [[nodiscard]] std::uint32_t held(std::span<const PrefixSample> samples) const
    {
        const auto end = std::partition_point(samples.begin(), samples.end(), [this](const PrefixSample &sample) { return where_.contains(sample.hash); });
        return end == samples.begin() ? 0 : std::prev(end)->pieces;
    }
    void clear()
    {
        order_.clear();
        where_.clear();
    }

private:
    std::size_t capacity_;
    std::list<PrefixHash> order_;
    std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> where_;
};

} // namespace

struct Fleet::Request {
    std::vector<PrefixHash> hashes;
    std::vector<PrefixSample> samples;
    RouteQuery query;
    Plan plan;
    std::vector<Quote> quotes;
    std::vector<ServerIndex> failed;
    Choice choice;
    std::size_t entry = 0;
    Micros arrived = 0;
    Micros dispatched = 0;
    Micros prefillEnd = 0;
    std::uint32_t bestHeld = 0; ///< Most pieces of the prompt that any reachable engine held when the request was routed.
    std::uint32_t held = 0;     ///< Pieces of the prompt that the chosen engine holds, or is expected to hold when the request starts.
    std::uint64_t flight = 0;
    std::uint64_t incarnation = 0; ///< Incarnation of the engine that the request was submitted to.
    bool isLong = false;
};

struct Fleet::Engine {
    explicit Engine(std::size_t blocks)
        : cache(blocks)
    {
    }
    LruCache cache;
    SingleFlight flights;
    std::deque<Handle> queue;
    std::vector<Handle> computing;
    std::vector<Handle> generating;
    std::uint64_t incarnation = 1; ///< Changes when the engine crashes.
    bool up = true;
    bool startPending = false;
};

struct Fleet::Entry {
    std::unique_ptr<Router> router;
};

Fleet::~Fleet() = default;

Fleet::Fleet(FleetOptions options)
    : options_(options)
    , random_(options.seed)
    , workload_(options.seed + 1'000)
{
    for (std::size_t i = 0; i < options_.engines; ++i) {
        engines_.push_back(std::make_unique<Engine>(options_.cacheBlocks));
    }
    for (std::size_t i = 0; i < options_.entries; ++i) {
        std::vector<Server> servers;
        for (std::size_t engine = 0; engine < options_.engines; ++engine) {
            const std::size_t zone = engine % options_.zones;
            const bool remote = zone % options_.regions != i % options_.zones % options_.regions;
            Server server;
            server.name = "engine-" + std::to_string(engine);
            server.zone = zoneOf(zone);
            server.region = "region-" + std::to_string(zone % options_.regions);
            server.route = Route;
            server.slots = static_cast<std::uint32_t>(options_.slots);
            server.link = { .roundTrip = roundTrip(i, engine), .bytesPerSecond = remote ? InterRegionBytesPerSecond : 0.0, .pricePerGigabyte = 0.0 };
            servers.push_back(server);
        }
        auto entry = std::make_unique<Entry>();
        entry->router = std::make_unique<Router>(RouterOptions{ .policy = options_.policy,
                                                                .options = options_.options,
                                                                .region = "region-" + std::to_string(i % options_.zones % options_.regions),
                                                                .seed = random_(),
                                                                .transferLink = {} });
        entry->router->setServers(std::move(servers));
        entries_.push_back(std::move(entry));
    }
    const auto appendRandom = [this](std::vector<PrefixHash> &into, std::size_t count) {
        std::generate_n(std::back_inserter(into), count, std::ref(workload_));
    };
    std::vector<std::vector<PrefixHash>> templates(std::max<std::size_t>(options_.dossiers / 20, 1));
    std::vector<PrefixHash> account;
    for (std::size_t i = 0; i < templates.size(); ++i) {
        if (i % 5 == 0) {
            account.clear();
            appendRandom(account, 40);
        }
        templates[i] = account;
        appendRandom(templates[i], 100);
    }
    double sum = 0;
    for (std::size_t i = 0; i < options_.dossiers; ++i) {
        dossiers_.push_back(templates[workload_() % templates.size()]);
        appendRandom(dossiers_.back(), 200 + workload_() % 400);
        popularity_.push_back(i);
        cumulative_.push_back(sum += std::pow(static_cast<double>(i + 1), -options_.zipfExponent));
    }
}

Micros Fleet::roundTrip(std::size_t entry, std::size_t engine) const
{
    const std::size_t zone = engine % options_.zones;
    return zone % options_.regions == entry % options_.zones % options_.regions ? IntraRegionRoundTrip : InterRegionRoundTrip;
}

Phase Fleet::phaseAt(Micros at) const
{
    return static_cast<Phase>(std::min<Micros>(at / options_.phaseTime, PhaseCount - 1));
}

void Fleet::schedule(Micros delay, std::function<void()> action)
{
    events_.push({ .at = now_ + delay, .order = ++order_, .action = std::move(action) });
}

std::array<PhaseResult, PhaseCount> Fleet::run()
{
    schedule(0, [this] { arrive(); });
    schedule(0, [this] { reportLoads(); });
    if (options_.shift) {
        schedule(2 * options_.phaseTime, [this] { std::shuffle(popularity_.begin(), popularity_.end(), workload_); });
    }
    if (options_.crash) {
        schedule(3 * options_.phaseTime, [this] { crashEngine(0); });
    }
    while (!events_.empty()) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
    return std::move(results_);
}

// Entry processes ---------------------------------------------------------------------------------

void Fleet::arrive()
{
    if (now_ >= static_cast<Micros>(PhaseCount) * options_.phaseTime) {
        return;
    }
    route(makeRequest());
    const double gap = std::exponential_distribution<>(options_.requestsPerSecond)(workload_);
    schedule(static_cast<Micros>(gap * static_cast<double>(MicrosPerSecond)), [this] { arrive(); });
}

Fleet::Handle Fleet::makeRequest()
{
    auto request = std::make_shared<Request>();
    request->isLong = std::uniform_real_distribution<>(0, 1)(workload_) < options_.longShare;
    const double drawn = std::uniform_real_distribution<>(0, cumulative_.back())(workload_);
    const auto rank = static_cast<std::size_t>(std::lower_bound(cumulative_.begin(), cumulative_.end(), drawn) - cumulative_.begin());
    if (request->isLong) {
        request->hashes = dossiers_[popularity_[rank]];
    }
    const std::size_t tail = 4 + workload_() % 16;
    std::generate_n(std::back_inserter(request->hashes), tail, std::ref(workload_));
    request->samples = sampleHashes(request->hashes);
    request->query = { .route = Route, .weightsVersion = {}, .adapter = {}, .promptBytes = request->hashes.size() * PieceBytes, .hashes = request->hashes };
    request->entry = workload_() % entries_.size();
    request->arrived = now_;
    return request;
}

void Fleet::route(const Handle &request)
{
    request->bestHeld = 0;
    for (const auto &engine : engines_) {
        request->bestHeld = std::max(request->bestHeld, engine->up ? engine->cache.held(std::span<const PrefixHash>(request->hashes)) : 0);
    }
    Router &router = *entries_[request->entry]->router;
    request->quotes.clear();
    if (options_.oracle || !router.plan(request->query, now_, request->plan) || request->plan.count == 0) {
        chooseEngine(request);
        return;
    }
    Micros longestRoundTrip = 0;
    for (const ServerIndex server : request->plan.servers()) {
        const Micros roundTripTime = roundTrip(request->entry, server);
        longestRoundTrip = std::max(longestRoundTrip, roundTripTime);
        schedule(roundTripTime / 2, [this, request, server] { request->quotes.push_back(quote(server, *request)); });
    }
    schedule(longestRoundTrip, [this, request] { chooseEngine(request); });
}

void Fleet::chooseEngine(const Handle &request)
{
    Router &router = *entries_[request->entry]->router;
    request->choice = options_.oracle ? oracleChoice(request) : router.choose(request->query, request->plan, request->quotes, now_, request->failed);
    if (request->choice.server == NoServer) {
        request->failed.clear();
        schedule(100 * MicrosPerMilli, [this, request] { route(request); });
        return;
    }
    router.onDispatched(request->query, request->choice, now_);
    request->dispatched = now_;
    const LinkCost &link = router.servers()[request->choice.server].server.link;
    const double seconds = link.bytesPerSecond > 0 ? static_cast<double>(request->query.promptBytes) / link.bytesPerSecond : 0.0;
    schedule(link.roundTrip / 2 + static_cast<Micros>(seconds * static_cast<double>(MicrosPerSecond)), [this, request] { submit(request); });
}

Choice Fleet::oracleChoice(const Handle &request)
{
    Choice best;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        if (!engines_[i]->up) {
            continue;
        }
        Quote exact = quote(i, *request);
        exact.heldPieces = std::max(exact.heldPieces, engines_[i]->cache.held(std::span<const PrefixHash>(request->hashes)));
        const Cost cost = costOf({ .expectedWait = exact.expectedWait,
                                   .prefillPerPiece = exact.prefillPerPiece,
                                   .promptPieces = static_cast<std::uint32_t>(request->hashes.size()),
                                   .heldPieces = exact.heldPieces,
                                   .promptBytes = request->query.promptBytes,
                                   .link = entries_[request->entry]->router->servers()[i].server.link },
                                 {});
        if (best.server == NoServer || cost.total() < best.cost.total()) {
            best.server = static_cast<ServerIndex>(i);
            best.cost = cost;
        }
    }
    return best;
}

void Fleet::reportLoads()
{
    if (now_ >= static_cast<Micros>(PhaseCount) * options_.phaseTime) {
        return;
    }
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        const Engine &engine = *engines_[i];
        const auto active = static_cast<std::uint32_t>(engine.queue.size() + engine.computing.size() + engine.generating.size());
        for (const auto &entry : entries_) {
            entry->router->reportLoad(static_cast<ServerIndex>(i), quote(i, {}).expectedWait, active, now_);
        }
    }
    schedule(ReportPeriod, [this] { reportLoads(); });
}

// Agents and engines ------------------------------------------------------------------------------

Quote Fleet::quote(std::size_t engine, const Request &request)
{
    Engine &state = *engines_[engine];
    Micros computing = 0;
    for (const Handle &running : state.computing) {
        computing += std::max<Micros>(running->prefillEnd - now_, 0);
    }
    Micros queued = 0;
    for (const Handle &waiting : state.queue) {
        queued += options_.prefillPerPiece * (static_cast<Micros>(waiting->hashes.size()) - waiting->held);
    }
    PrefixReuse shared{ .pieces = state.cache.held(std::span<const PrefixSample>(request.samples)), .wait = 0 };
    if (options_.singleFlight && options_.pendingInQuotes) {
        shared = state.flights.reusablePrefix(request.samples, shared.pieces, options_.prefillPerPiece, now_);
    }
    const auto lanes = static_cast<Micros>(options_.lanes);
    const Micros laneWait = state.computing.size() < options_.lanes ? 0 : computing / lanes;
    const std::size_t present = state.computing.size() + state.generating.size() + state.queue.size();
    const Micros slotWait = present < options_.slots
        ? 0
        : MeanGenerationTime * static_cast<Micros>(present - options_.slots + 1) / static_cast<Micros>(options_.slots);
    return { .server = static_cast<ServerIndex>(engine),
             .heldPieces = shared.pieces,
             .expectedWait = std::max(std::max(shared.wait, laneWait) + queued / lanes, slotWait),
             .prefillPerPiece = options_.prefillPerPiece,
             .accepting = state.up };
}

void Fleet::submit(const Handle &request)
{
    const std::size_t engine = request->choice.server;
    Engine &state = *engines_[engine];
    if (!state.up) {
        entries_[request->entry]->router->onEnded(request->choice, now_);
        request->failed.push_back(request->choice.server);
        route(request);
        return;
    }
    request->incarnation = state.incarnation;
    // The pieces expected in the cache when the prefill starts: those held now and those that a flight computes.
    request->held = state.cache.held(std::span<const PrefixHash>(request->hashes));
    if (options_.singleFlight) {
        request->held = state.flights.reusablePrefix(request->samples, request->held, options_.prefillPerPiece, now_).pieces;
    }
    state.queue.push_back(request);
    startQueued(engine);
}

void Fleet::startQueued(std::size_t engine)
{
    Engine &state = *engines_[engine];
    for (auto queued = state.queue.begin();
         queued != state.queue.end() && state.computing.size() < options_.lanes && state.computing.size() + state.generating.size() < options_.slots;) {
        const Handle request = *queued;
        const std::uint32_t held = state.cache.held(std::span<const PrefixHash>(request->hashes));
        if (options_.singleFlight && state.flights.reusablePrefix(request->samples, held, options_.prefillPerPiece, now_).wait > 0) {
            // Another request computes the shared prefix. finishPrefill() calls this function again when it is done.
            ++queued;
            continue;
        }
        queued = state.queue.erase(queued);
        request->held = held;
        const Micros duration = options_.prefillPerPiece * (static_cast<Micros>(request->hashes.size()) - held);
        request->prefillEnd = now_ + duration;
        request->flight = state.flights.begin(request->samples, duration, now_);
        state.computing.push_back(request);
        schedule(duration, [this, engine, request] { finishPrefill(engine, request); });
    }
}

void Fleet::finishPrefill(std::size_t engine, const Handle &request)
{
    Engine &state = *engines_[engine];
    if (request->incarnation != state.incarnation) {
        return;
    }
    state.flights.end(request->flight);
    std::erase(state.computing, request);
    state.generating.push_back(request);
    state.cache.insert(request->hashes);
    PhaseResult &result = results_[static_cast<std::size_t>(phaseAt(request->arrived))];
    const Micros elapsed = now_ + roundTrip(request->entry, engine) / 2 - request->arrived;
    (request->isLong ? result.longTimesMs : result.shortTimesMs).push_back(static_cast<double>(elapsed) / MicrosPerMilli);
    const double pieces = static_cast<double>(request->hashes.size());
    result.pieces += pieces;
    result.cachedPieces += request->held;
    result.avoidablePieces += request->bestHeld > request->held ? request->bestHeld - request->held : 0;
    result.busyLaneSeconds += (pieces - request->held) * static_cast<double>(options_.prefillPerPiece) / MicrosPerSecond;
    entries_[request->entry]->router->onFirstToken(request->query, request->choice, now_ - request->dispatched, now_);
    const auto generation = MinGenerationTime + static_cast<Micros>(random_() % (5 * MinGenerationTime));
    schedule(generation, [this, request] { finishGeneration(request); });
    startQueued(engine);
}

void Fleet::finishGeneration(const Handle &request)
{
    Engine &state = *engines_[request->choice.server];
    if (request->incarnation != state.incarnation) {
        return;
    }
    std::erase(state.generating, request);
    entries_[request->entry]->router->onEnded(request->choice, now_);
    startQueued(request->choice.server);
}

void Fleet::crashEngine(std::size_t engine)
{
    Engine &state = *engines_[engine];
    std::vector<Handle> lost(state.queue.begin(), state.queue.end());
    lost.insert(lost.end(), state.computing.begin(), state.computing.end());
    for (const Handle &request : state.generating) {
        entries_[request->entry]->router->onEnded(request->choice, now_);
    }
    ++state.incarnation;
    state.up = false;
    state.queue.clear();
    state.computing.clear();
    state.generating.clear();
    state.cache.clear();
    state.flights = SingleFlight();
    for (const Handle &request : lost) {
        entries_[request->entry]->router->onEnded(request->choice, now_);
        request->failed.push_back(request->choice.server);
        route(request);
    }
    const auto setAcceptingEverywhere = [this, engine](bool accepting) {
        for (const auto &entry : entries_) {
            entry->router->setAccepting(static_cast<ServerIndex>(engine), accepting);
        }
    };
    schedule(FailureDetectionTime, [setAcceptingEverywhere] { setAcceptingEverywhere(false); });
    schedule(RestartTime, [this, engine, setAcceptingEverywhere] {
        engines_[engine]->up = true;
        setAcceptingEverywhere(true);
    });
}

} // namespace Carobhall::Test
