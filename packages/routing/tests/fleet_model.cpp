#include "fleet_model.h"

#include <algorithm>
#include <cmath>

namespace Carobhall::Test
{

namespace
{

constexpr Micros ZoneTrip = MicrosPerMilli;
constexpr Micros RegionTrip = 12 * MicrosPerMilli;
constexpr double RegionBytesPerSecond = 30e6 / 8;
constexpr Micros ReportPeriod = 100 * MicrosPerMilli;
constexpr Micros FailureKnown = 500 * MicrosPerMilli; // Until every router knows that an engine is down.
constexpr Micros RestartTime = 5 * MicrosPerSecond;
constexpr Micros ShortestAnswer = 100 * MicrosPerMilli;
constexpr Micros MeanAnswer = 350 * MicrosPerMilli; // From ShortestAnswer to six times as long.
constexpr std::string_view Route = "needle-large";

std::string zoneOf(std::size_t number)
{
    return "zone-" + std::to_string(number);
}

/// Blocks of an engine, the least recently used first to go. Deeper blocks of a prompt go before shallower ones.
class Lru
{
public:
    explicit Lru(std::size_t capacity)
        : capacity_(capacity)
    {
    }
    void use(std::span<const PrefixHash> hashes)
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
    std::uint32_t bestHeld = 0; ///< By any engine when it was routed.
    std::uint32_t held = 0;
    std::uint64_t flight = 0;
    std::uint64_t life = 0; ///< Of the engine that it was submitted to.
    bool isLong = false;
};

struct Fleet::Engine {
    explicit Engine(std::size_t blocks)
        : cache(blocks)
    {
    }
    Lru cache;
    SingleFlight flights;
    std::deque<Handle> queue;
    std::vector<Handle> computing;
    std::vector<Handle> generating;
    std::uint64_t life = 1;
    bool up = true;
    bool pumpPending = false;
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
            server.link = { .roundTrip = roundTrip(i, engine), .bytesPerSecond = remote ? RegionBytesPerSecond : 0.0, .pricePerGigabyte = 0.0 };
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
    const auto fresh = [this](std::vector<PrefixHash> &into, std::size_t count) { std::generate_n(std::back_inserter(into), count, std::ref(workload_)); };
    std::vector<std::vector<PrefixHash>> templates(std::max<std::size_t>(options_.dossiers / 20, 1));
    std::vector<PrefixHash> account;
    for (std::size_t i = 0; i < templates.size(); ++i) {
        if (i % 5 == 0) {
            account.clear();
            fresh(account, 40);
        }
        templates[i] = account;
        fresh(templates[i], 100);
    }
    double sum = 0;
    for (std::size_t i = 0; i < options_.dossiers; ++i) {
        dossiers_.push_back(templates[workload_() % templates.size()]);
        fresh(dossiers_.back(), 200 + workload_() % 400);
        popularity_.push_back(i);
        cumulative_.push_back(sum += std::pow(static_cast<double>(i + 1), -options_.zipf));
    }
}

Micros Fleet::roundTrip(std::size_t entry, std::size_t engine) const
{
    const std::size_t zone = engine % options_.zones;
    return zone % options_.regions == entry % options_.zones % options_.regions ? ZoneTrip : RegionTrip;
}

Phase Fleet::phaseAt(Micros at) const
{
    return static_cast<Phase>(std::min<Micros>(at / options_.phaseTime, PhaseCount - 1));
}

void Fleet::later(Micros delay, std::function<void()> action)
{
    events_.push({ .at = now_ + delay, .order = ++order_, .action = std::move(action) });
}

std::array<PhaseResult, PhaseCount> Fleet::run()
{
    later(0, [this] { arrive(); });
    later(0, [this] { report(); });
    if (options_.shift) {
        later(2 * options_.phaseTime, [this] { std::shuffle(popularity_.begin(), popularity_.end(), workload_); });
    }
    if (options_.crash) {
        later(3 * options_.phaseTime, [this] { crashEngine(0); });
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
    later(static_cast<Micros>(gap * static_cast<double>(MicrosPerSecond)), [this] { arrive(); });
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
        decide(request);
        return;
    }
    Micros last = 0;
    for (const ServerIndex server : request->plan.servers()) {
        const Micros trip = roundTrip(request->entry, server);
        last = std::max(last, trip);
        later(trip / 2, [this, request, server] { request->quotes.push_back(quote(server, *request)); });
    }
    later(last, [this, request] { decide(request); });
}

void Fleet::decide(const Handle &request)
{
    Router &router = *entries_[request->entry]->router;
    request->choice = options_.oracle ? oracleChoice(request) : router.choose(request->query, request->plan, request->quotes, now_, request->failed);
    if (request->choice.server == NoServer) {
        request->failed.clear();
        later(100 * MicrosPerMilli, [this, request] { route(request); });
        return;
    }
    router.onDispatched(request->query, request->choice, now_);
    request->dispatched = now_;
    const LinkCost &link = router.servers()[request->choice.server].server.link;
    const double seconds = link.bytesPerSecond > 0 ? static_cast<double>(request->query.promptBytes) / link.bytesPerSecond : 0.0;
    later(link.roundTrip / 2 + static_cast<Micros>(seconds * static_cast<double>(MicrosPerSecond)), [this, request] { submit(request); });
}

Choice Fleet::oracleChoice(const Handle &request)
{
    Choice best;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        if (!engines_[i]->up) {
            continue;
        }
        Quote known = quote(i, *request);
        known.heldPieces = std::max(known.heldPieces, engines_[i]->cache.held(std::span<const PrefixHash>(request->hashes)));
        const Cost cost = costOf({ .expectedWait = known.expectedWait,
                                   .prefillPerPiece = known.prefillPerPiece,
                                   .promptPieces = static_cast<std::uint32_t>(request->hashes.size()),
                                   .heldPieces = known.heldPieces,
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

void Fleet::report()
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
    later(ReportPeriod, [this] { report(); });
}

// Agents and engines ------------------------------------------------------------------------------

Quote Fleet::quote(std::size_t engine, const Request &request)
{
    Engine &row = *engines_[engine];
    Micros computing = 0;
    for (const Handle &running : row.computing) {
        computing += std::max<Micros>(running->prefillEnd - now_, 0);
    }
    Micros queued = 0;
    for (const Handle &waiting : row.queue) {
        queued += options_.prefillPerPiece * (static_cast<Micros>(waiting->hashes.size()) - waiting->held);
    }
    PrefixReuse shared{ .pieces = row.cache.held(std::span<const PrefixSample>(request.samples)), .wait = 0 };
    if (options_.singleFlight && options_.pendingInQuotes) {
        shared = row.flights.reusablePrefix(request.samples, shared.pieces, options_.prefillPerPiece, now_);
    }
    const auto lanes = static_cast<Micros>(options_.lanes);
    const Micros laneWait = row.computing.size() < options_.lanes ? 0 : computing / lanes;
    const std::size_t present = row.computing.size() + row.generating.size() + row.queue.size();
    const Micros slotWait = present < options_.slots ? 0 : MeanAnswer * static_cast<Micros>(present - options_.slots + 1) / static_cast<Micros>(options_.slots);
    return { .server = static_cast<ServerIndex>(engine),
             .heldPieces = shared.pieces,
             .expectedWait = std::max(std::max(shared.wait, laneWait) + queued / lanes, slotWait),
             .prefillPerPiece = options_.prefillPerPiece,
             .accepting = row.up };
}

void Fleet::submit(const Handle &request)
{
    const std::size_t engine = request->choice.server;
    Engine &row = *engines_[engine];
    if (!row.up) {
        entries_[request->entry]->router->onEnded(request->choice, now_);
        request->failed.push_back(request->choice.server);
        route(request);
        return;
    }
    request->life = row.life;
    // What the prompt will find: the cache, and what requests before it compute.
    request->held = row.cache.held(std::span<const PrefixHash>(request->hashes));
    if (options_.singleFlight) {
        request->held = row.flights.reusablePrefix(request->samples, request->held, options_.prefillPerPiece, now_).pieces;
    }
    row.queue.push_back(request);
    pump(engine);
}

void Fleet::pump(std::size_t engine)
{
    Engine &row = *engines_[engine];
    for (auto at = row.queue.begin();
         at != row.queue.end() && row.computing.size() < options_.lanes && row.computing.size() + row.generating.size() < options_.slots;) {
        const Handle request = *at;
        const std::uint32_t held = row.cache.held(std::span<const PrefixHash>(request->hashes));
        if (options_.singleFlight && row.flights.reusablePrefix(request->samples, held, options_.prefillPerPiece, now_).wait > 0) {
            // The computation of a shared prefix ends by itself and pumps again.
            ++at;
            continue;
        }
        at = row.queue.erase(at);
        request->held = held;
        const Micros duration = options_.prefillPerPiece * (static_cast<Micros>(request->hashes.size()) - held);
        request->prefillEnd = now_ + duration;
        request->flight = row.flights.begin(request->samples, duration, now_);
        row.computing.push_back(request);
        later(duration, [this, engine, request] { finishPrefill(engine, request); });
    }
}

void Fleet::finishPrefill(std::size_t engine, const Handle &request)
{
    Engine &row = *engines_[engine];
    if (request->life != row.life) {
        return;
    }
    row.flights.end(request->flight);
    std::erase(row.computing, request);
    row.generating.push_back(request);
    row.cache.use(request->hashes);
    PhaseResult &result = results_[static_cast<std::size_t>(phaseAt(request->arrived))];
    const Micros elapsed = now_ + roundTrip(request->entry, engine) / 2 - request->arrived;
    (request->isLong ? result.longTimes : result.shortTimes).push_back(static_cast<double>(elapsed) / MicrosPerMilli);
    const double pieces = static_cast<double>(request->hashes.size());
    result.pieces += pieces;
    result.hit += request->held;
    result.avoidable += request->bestHeld > request->held ? request->bestHeld - request->held : 0;
    result.busy += (pieces - request->held) * static_cast<double>(options_.prefillPerPiece) / MicrosPerSecond;
    entries_[request->entry]->router->onFirstToken(request->query, request->choice, now_ - request->dispatched, now_);
    const auto generation = ShortestAnswer + static_cast<Micros>(random_() % (5 * ShortestAnswer));
    later(generation, [this, request] { end(request); });
    pump(engine);
}

void Fleet::end(const Handle &request)
{
    Engine &row = *engines_[request->choice.server];
    if (request->life != row.life) {
        return;
    }
    std::erase(row.generating, request);
    entries_[request->entry]->router->onEnded(request->choice, now_);
    pump(request->choice.server);
}

void Fleet::crashEngine(std::size_t engine)
{
    Engine &row = *engines_[engine];
    std::vector<Handle> lost(row.queue.begin(), row.queue.end());
    lost.insert(lost.end(), row.computing.begin(), row.computing.end());
    for (const Handle &request : row.generating) {
        entries_[request->entry]->router->onEnded(request->choice, now_);
    }
    ++row.life;
    row.up = false;
    row.queue.clear();
    row.computing.clear();
    row.generating.clear();
    row.cache.clear();
    row.flights = SingleFlight();
    for (const Handle &request : lost) {
        entries_[request->entry]->router->onEnded(request->choice, now_);
        request->failed.push_back(request->choice.server);
        route(request);
    }
    const auto tellAll = [this, engine](bool accepting) {
        for (const auto &entry : entries_) {
            entry->router->setAccepting(static_cast<ServerIndex>(engine), accepting);
        }
    };
    later(FailureKnown, [tellAll] { tellAll(false); });
    later(RestartTime, [this, engine, tellAll] {
        engines_[engine]->up = true;
        tellAll(true);
    });
}

} // namespace Carobhall::Test
