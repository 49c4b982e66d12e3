#include "carobhall/upstream_table.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Carobhall
{

namespace
{

// Costs are compared in microseconds of delay to the first byte.

/// Bytes between zones and regions are billed, and a link between regions is narrow: a request goes elsewhere only when its
/// own zone is busier by this much.
constexpr double SameRegionPenalty = 25'000.0;
constexpr double OtherRegionPenalty = 80'000.0;

/// Prompt tokens that an engine reads per microsecond, for estimates. Engines of the described installations read 41 a ms.
constexpr double ReadTokensPerMicro = 0.0414;
/// Reading a part again that another engine holds costs the fleet capacity that others need; counted on top of the time.
constexpr double RereadPenaltyPerToken = 150.0;
/// A transferred part takes memory in which another part is kept, which is then read again later by some chance.
constexpr double CopyPenaltyPerToken = 30.0;
/// Reads that several processes start at once go to one engine if its wait is at most this much longer.
constexpr double SharedReadBonus = 60'000.0;
/// A transfer of KV cache: its start, and the factors between zones and regions.
constexpr double FetchSetupMicros = 4'000.0;
constexpr double FetchZoneFactor = 2.0;
constexpr double FetchRegionFactor = 10.0;
/// Each running request lengthens a step for all: 12 us per token, over a prompt's wait of some steps.
constexpr double RunningPenalty = 1'500.0;
/// Shorter parts are read as quickly as they are fetched.
constexpr std::uint64_t LeastSavedTokens = 1'000;
/// During a change of weights, servers that have the new ones go first: the others are about to close.
constexpr double OldWeightsPenalty = 130'000.0;
/// A stream that is running when weights change loses most of its worth.
constexpr double ClosingPenalty = 250'000.0;
/// A model server whose agent has not reported yet may have any weights; it is used only if no other is.
constexpr double UnknownEnginePenalty = 1'000'000.0;
/// Share of the time allowed for a change of weights after which a server with older ones is not used any more.
constexpr double OldWeightsShare = 0.8;
/// Prompts of up to this size are read within a step or two; longer ones are read in pieces between the tokens of others, which
/// makes the streams of these take five times as long.
constexpr std::uint64_t ShortPromptTokens = 2'500;
/// One engine in so many is kept for short prompts: these are half of the requests and a tenth of the tokens.
constexpr std::size_t EnginesPerLaneEngine = 5;
/// Cost of a long prompt on an engine for short ones, and of the reverse: used when the others are that much busier.
constexpr double LongInShortLanePenalty = 600'000.0;
constexpr double ShortInLongLanePenalty = 100'000.0;
/// Share of an engine's memory that new requests may fill. Above it running requests are pre-empted and read again.
constexpr double MemoryShare = 0.9;
constexpr double FullMemoryPenalty = 300'000.0;

/// Weight of a new sample in the moving averages of health: the last ten responses count for two thirds.
constexpr double HealthSampleWeight = 0.1;
/// A failure share of 1 counts like this much delay.
constexpr double FailurePenalty = 400'000.0;
constexpr std::uint32_t FailuresToAvoid = 3;
constexpr Micros AvoidBase = 500 * MicrosPerMilli;
constexpr Micros AvoidCap = 4 * MicrosPerSecond;

/// An entry that lapsed while the platform's list was away is back within two seconds, if the upstream lives.
constexpr Micros VanishedGrace = 2 * MicrosPerSecond;

std::string_view ipOf(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

Distance distanceBetween(const Locality &here, std::string_view zone)
{
    if (zone == here.zone) {
        return Distance::SameZone;
    }
    const auto own = here.regionOfZone.find(here.zone);
    const auto other = here.regionOfZone.find(zone);
    const bool known = own != here.regionOfZone.end() && other != here.regionOfZone.end();
    return known && own->second == other->second ? Distance::SameRegion : Distance::OtherRegion;
}

UpstreamTable::UpstreamTable(Locality locality, std::uint64_t seed, Micros weightsDeadline)
    : locality_(std::move(locality))
    , random_(seed)
    , weightsDeadline_(weightsDeadline)
{
}

void UpstreamTable::update(UpstreamRecord record)
{
    UpstreamRef &entry = byId_[record.id];
    const bool restarted = entry && entry->record.startedAtMs != record.startedAtMs;
    if (!entry || restarted || entry->record.address != record.address) {
        // Another process: what was known of the one before does not hold.
        if (entry) {
            directory_.removeHolder(entry->number);
        }
        entry = std::make_shared<Upstream>();
        entry->number = static_cast<UpstreamNumber>(byNumber_.size());
        byNumber_.push_back(entry);
    }
    entry->record = std::move(record);
    entry->present = true;
    entry->vanishedAt = 0;
    for (const auto &[id, other] : byId_) {
        if (other == entry || other->record.address != entry->record.address) {
            continue;
        }
        if (other->record.startedAtMs < entry->record.startedAtMs) {
            other->replaced = true;
        } else if (other->present && other->record.startedAtMs > entry->record.startedAtMs) {
            entry->replaced = true;
        }
    }
}

void UpstreamTable::noteReplaced(Upstream &upstream)
{
    upstream.replaced = true;
}

void UpstreamTable::noteOtherWeights(Upstream &upstream, std::uint64_t weightsVersion, Micros now)
{
    if (weightsVersion == 0 || weightsVersion == upstream.weightsVersion()) {
        upstream.avoidUntil = std::max(upstream.avoidUntil, now + AvoidBase);
        return;
    }
    directory_.removeHolder(upstream.number);
    upstream.load.weightsVersion = weightsVersion;
}

void UpstreamTable::noteWeightsTarget(std::uint64_t version, Micros now)
{
    if (version > weightsTarget_) {
        weightsTarget_ = version;
        weightsTargetSince_ = now;
    }
}

void UpstreamTable::remove(std::string_view id, Micros now)
{
    if (const auto found = byId_.find(id); found != byId_.end() && found->second->present) {
        found->second->present = false;
        found->second->vanishedAt = now;
    }
    for (auto it = byId_.begin(); it != byId_.end();) {
        const Upstream &upstream = *it->second;
        if (!upstream.present && upstream.inFlight == 0 && now - upstream.vanishedAt > 10 * VanishedGrace) {
            directory_.removeHolder(upstream.number);
            byNumber_[upstream.number] = nullptr;
            it = byId_.erase(it);
        } else {
            ++it;
        }
    }
}

UpstreamRef UpstreamTable::engineAt(std::string_view ip) const
{
    UpstreamRef newest{};
    for (const auto &[id, upstream] : byId_) {
        if (ipOf(upstream->record.address) == ip && upstream->present && (!newest || upstream->record.startedAtMs > newest->record.startedAtMs)) {
            newest = upstream;
        }
    }
    return newest;
}

bool UpstreamTable::noteEngine(std::string_view ip, const EngineLoad &load, Micros now)
{
    const UpstreamRef upstream = engineAt(ip);
    if (!upstream) {
        return false;
    }
    if (upstream->load.weightsVersion != 0 && upstream->load.weightsVersion != load.weightsVersion) {
        directory_.removeHolder(upstream->number);
    }
    upstream->load = load;
    upstream->loadAt = now;
    upstream->recentTokens = 0;
    return true;
}

void UpstreamTable::noteCached(std::string_view ip, std::string_view salt, std::string_view partId, bool held, Micros now)
{
    if (const UpstreamRef upstream = engineAt(ip)) {
        if (held) {
            directory_.add(partKey(salt, partId), upstream->number, now);
        } else {
            directory_.remove(partKey(salt, partId), upstream->number);
        }
    }
}

void UpstreamTable::clearCached(std::string_view ip)
{
    if (const UpstreamRef upstream = engineAt(ip)) {
        directory_.removeHolder(upstream->number);
    }
}

void UpstreamTable::setCacheStore(const Service &store)
{
    if (store_ && store_->record.address == store.cacheStoreAddress) {
        return;
    }
    clearStored();
    store_ = std::make_shared<Upstream>();
    store_->number = static_cast<UpstreamNumber>(byNumber_.size());
    store_->record = { .id = store.name, .service = store.name, .address = store.cacheStoreAddress, .zone = store.cacheStoreZone };
    storeLinkMbps_ = store.cacheStoreLinkMbps;
    byNumber_.push_back(store_);
}

void UpstreamTable::noteStored(std::string_view salt, std::string_view partId, bool held, Micros now)
{
    if (store_ && held) {
        directory_.add(partKey(salt, partId), store_->number, now);
    } else if (store_) {
        directory_.remove(partKey(salt, partId), store_->number);
    }
}

void UpstreamTable::clearStored()
{
    if (store_) {
        directory_.removeHolder(store_->number);
    }
}

bool UpstreamTable::sameRegion(std::string_view zone, std::string_view other) const
{
    const auto a = locality_.regionOfZone.find(zone);
    const auto b = locality_.regionOfZone.find(other);
    return zone == other || (a != locality_.regionOfZone.end() && b != locality_.regionOfZone.end() && a->second == b->second);
}

Distance UpstreamTable::distanceTo(std::string_view zone) const
{
    return distanceBetween(locality_, zone);
}

double UpstreamTable::distancePenalty(std::string_view zone) const
{
    switch (distanceTo(zone)) {
    case Distance::SameZone:
        return 0.0;
    case Distance::SameRegion:
        return SameRegionPenalty;
    case Distance::OtherRegion:
        return OtherRegionPenalty;
    }
    return 0.0;
}

std::vector<UpstreamRef> UpstreamTable::candidates(std::string_view service, std::span<const UpstreamRef> tried, Micros now) const
{
    std::vector<UpstreamRef> ready{};
    std::vector<UpstreamRef> avoided{};
    std::vector<UpstreamRef> vanished{};
    for (const auto &[id, upstream] : byId_) {
        const bool used = std::ranges::find(tried, upstream) != tried.end();
        if (upstream->record.service != service || upstream->record.draining || upstream->replaced || used) {
            continue;
        }
        if (!upstream->present) {
            if (now - upstream->vanishedAt < VanishedGrace) {
                vanished.push_back(upstream);
            }
        } else if (upstream->avoidUntil > now) {
            avoided.push_back(upstream);
        } else {
            ready.push_back(upstream);
        }
    }
    if (!ready.empty()) {
        return ready;
    }
    return avoided.empty() ? vanished : avoided;
}

UpstreamRef UpstreamTable::choosePlain(const Service &service, std::span<const UpstreamRef> tried, Micros now)
{
    UpstreamRef best{};
    double bestCost = std::numeric_limits<double>::max();
    for (const UpstreamRef &upstream : candidates(service.name, tried, now)) {
        const double wait = upstream->latency * upstream->inFlight / std::max<double>(1.0, upstream->record.slots);
        const double jitter = std::uniform_real_distribution<double>(0.0, 2'000.0)(random_);
        const double cost = wait + distancePenalty(upstream->record.zone) + upstream->failureShare * FailurePenalty + jitter;
        if (cost < bestCost) {
            bestCost = cost;
            best = upstream;
        }
    }
    return best;
}

struct UpstreamTable::Fetch {
    UpstreamRef source{};
    std::size_t depth = 0; ///< Parts that the source holds from the start.
    double micros = 0.0;
};

UpstreamTable::Fetch UpstreamTable::bestFetch(const Upstream &target, std::span<const PartKey> keys, std::span<const std::uint32_t> tokens, std::size_t held,
                                              const EngineTraits &engine) const
{
    Fetch best{ .depth = held };
    if (held >= keys.size() || engine.linkMbps <= 0.0) {
        return best;
    }
    for (const UpstreamNumber number : directory_.holdersOf(keys[held])) {
        const UpstreamRef &source = byNumber_[number];
        const bool isStore = source && source == store_;
        if (!source || number == target.number) {
            continue;
        }
        const bool near = sameRegion(target.record.zone, source->record.zone);
        // A transfer from the store holds up its one link, between regions for ten times as long. A server with other weights
        // may hold parts that these have made, and one that is gone costs a time-out.
        if (isStore ? !near : !source->present || source->record.draining || source->weightsVersion() != target.weightsVersion()) {
            continue;
        }
        std::size_t depth = 0;
        while (depth < keys.size() && directory_.holds(keys[depth], number)) {
            ++depth;
        }
        double moved = 0.0;
        for (std::size_t i = held; i < depth; ++i) {
            moved += tokens[i];
        }
        if (depth <= held) {
            continue;
        }
        const double factor = target.record.zone == source->record.zone ? 1.0 : near ? FetchZoneFactor : FetchRegionFactor;
        const double mbps = isStore && storeLinkMbps_ > 0.0 ? std::min(storeLinkMbps_, engine.linkMbps) : engine.linkMbps;
        const double micros = FetchSetupMicros + moved * engine.bytesPerToken * 8.0 / mbps * factor;
        if (depth > best.depth || (depth == best.depth && micros < best.micros)) {
            best = { .source = source, .depth = depth, .micros = micros };
        }
    }
    return best;
}

std::vector<const Upstream *> UpstreamTable::shortLane(std::string_view service) const
{
    std::map<std::string_view, std::vector<const Upstream *>> zones;
    for (const auto &[id, upstream] : byId_) {
        if (upstream->record.service == service && upstream->present && !upstream->record.draining) {
            zones[upstream->record.zone].push_back(upstream.get());
        }
    }
    std::vector<const Upstream *> lane;
    std::size_t zoneRank = 0;
    for (const auto &[zone, members] : zones) {
        // A zone with a single server needs it for everything.
        const std::size_t count = members.size() < 2 ? 0 : (members.size() + EnginesPerLaneEngine - 1) / EnginesPerLaneEngine;
        for (std::size_t i = 0; i < count; ++i) {
            lane.push_back(members[(zoneRank + i * EnginesPerLaneEngine) % members.size()]);
        }
        ++zoneRank;
    }
    return lane;
}

std::string UpstreamTable::homeOf(const PromptPart &part, std::span<const UpstreamRef> among) const
{
    std::string home;
    std::uint64_t highest = 0;
    for (const UpstreamRef &upstream : among) {
        const std::uint64_t weight = partKey(upstream->record.id, part.id);
        if (distanceTo(upstream->record.zone) != Distance::OtherRegion && weight >= highest) {
            highest = weight;
            home = upstream->record.id;
        }
    }
    return home;
}

std::variant<EngineChoice, RefusalReason> UpstreamTable::chooseEngine(const PromptDemand &demand, const Service &service, std::span<const UpstreamRef> tried,
                                                                      Micros now)
{
    const EngineTraits &engine = *service.engine;
    const std::size_t shared = demand.parts.empty() ? 0 : demand.parts.size() - 1;
    std::uint64_t promptTokens = 0;
    std::vector<std::uint32_t> tokens{};
    for (std::size_t i = 0; i < demand.parts.size(); ++i) {
        promptTokens += demand.parts[i].tokens;
        if (i < shared) {
            tokens.push_back(demand.parts[i].tokens);
        }
    }
    const std::uint64_t memory = promptTokens + demand.outputTokens;

    EngineChoice best;
    double bestCost = std::numeric_limits<double>::max();
    bool anyOpen = false;
    std::vector<PartKey> keys(shared);
    std::uint64_t keyedVersion = 0;
    std::string salt;
    const std::vector<UpstreamRef> all = candidates(demand.service, tried, now);
    const std::vector<const Upstream *> lane = shortLane(demand.service);
    const bool isShort = promptTokens <= ShortPromptTokens;
    const std::string home = shared == 0 ? std::string() : homeOf(demand.parts[shared - 1], all);
    const bool oldIsBarred = now - weightsTargetSince_ > static_cast<Micros>(static_cast<double>(weightsDeadline_) * OldWeightsShare);
    for (const UpstreamRef &upstream : all) {
        const std::uint64_t version = upstream->weightsVersion();
        const bool old = version < weightsTarget_;
        const double capacity = static_cast<double>(upstream->load.totalTokens != 0 ? upstream->load.totalTokens : engine.cacheTokens);
        if (upstream->load.closed || version == 0 || (old && oldIsBarred) || static_cast<double>(memory) > capacity) {
            continue;
        }
        anyOpen = true;
        if (version != keyedVersion || salt.empty()) {
            keyedVersion = version;
            salt = cacheSalt(keyedVersion, demand.isolatedAccount);
            for (std::size_t i = 0; i < shared; ++i) {
                keys[i] = partKey(salt, demand.parts[i].id);
            }
        }
        std::size_t held = 0;
        while (held < shared && directory_.holds(keys[held], upstream->number)) {
            ++held;
        }
        const Fetch fetch = bestFetch(*upstream, keys, tokens, held, engine);
        double copied = 0.0;
        double reread = 0.0;
        std::uint64_t unread = 0;
        std::uint64_t missing = 0;
        for (std::size_t i = held; i < shared; ++i) {
            missing += tokens[i];
            if (i < fetch.depth) {
                copied += tokens[i];
                continue;
            }
            unread += tokens[i];
            const std::optional<UpstreamNumber> reader = directory_.readerOf(keys[i], now);
            const bool elsewhere = reader ? *reader != upstream->number : !directory_.holdersOf(keys[i]).empty();
            reread += elsewhere ? tokens[i] : 0;
        }
        const std::uint64_t reads = unread + (demand.parts.empty() ? 0 : demand.parts.back().tokens);
        const double backlog = static_cast<double>(upstream->pendingPrefillTokens + upstream->load.pendingPrefillTokens);
        const double wait = (backlog + static_cast<double>(reads)) / ReadTokensPerMicro + fetch.micros + upstream->load.running * RunningPenalty;
        const bool inLane = std::ranges::find(lane, upstream.get()) != lane.end();
        const double lanePenalty = lane.empty() || inLane == isShort ? 0.0 : isShort ? ShortInLongLanePenalty : LongInShortLanePenalty;
        double cost = wait + lanePenalty + reread * RereadPenaltyPerToken + copied * CopyPenaltyPerToken + distancePenalty(upstream->record.zone)
            + upstream->failureShare * FailurePenalty + (old ? OldWeightsPenalty : 0.0) + (upstream->load.closing ? ClosingPenalty : 0.0)
            + (upstream->loadAt == 0 ? UnknownEnginePenalty : 0.0);
        // Beyond its share of memory the request waits for others to end, or makes them wait.
        const double used = static_cast<double>(upstream->load.usedTokens + upstream->recentTokens);
        const double excess = std::max(0.0, used + static_cast<double>(memory) - capacity * MemoryShare);
        cost += excess > 0.0 ? FullMemoryPenalty + excess / ReadTokensPerMicro : 0.0;
        if (unread > 0 && upstream->record.id == home) {
            cost -= SharedReadBonus;
        }
        if (cost < bestCost) {
            bestCost = cost;
            best = { .upstream = upstream,
                     .salt = salt,
                     .weightsVersion = keyedVersion,
                     .saveTo = store_ && unread >= LeastSavedTokens && sameRegion(upstream->record.zone, store_->record.zone) ? store_->record.address
                                                                                                                              : std::string(),
                     .fetchFrom = fetch.source ? fetch.source->record.address : std::string(),
                     .missingTokens = missing,
                     .rereadTokens = static_cast<std::uint64_t>(reread),
                     .readTokens = reads,
                     .queue = static_cast<Micros>(backlog / ReadTokensPerMicro),
                     .expected = static_cast<Micros>(wait + excess / ReadTokensPerMicro),
                     .load = upstream->load,
                     .loadAge = now - upstream->loadAt };
        }
    }
    if (!best.upstream) {
        return anyOpen ? RefusalReason::Full : RefusalReason::NoUpstream;
    }
    if (!isShort) {
        patience_.noteQueue(best.queue);
    }
    if (best.expected > patience_.limit(demand.shortLimit, demand.longLimit)) {
        return RefusalReason::Full;
    }
    return best;
}

void UpstreamTable::began(Upstream &upstream, std::uint64_t readTokens, std::uint64_t memoryTokens)
{
    ++upstream.inFlight;
    upstream.pendingPrefillTokens += readTokens;
    upstream.recentTokens += memoryTokens;
}

void UpstreamTable::firstToken(Upstream &upstream, std::uint64_t readTokens)
{
    upstream.pendingPrefillTokens -= std::min(upstream.pendingPrefillTokens, readTokens);
}

void UpstreamTable::ended(Upstream &upstream, AttemptResult result, Micros elapsed, Micros now)
{
    upstream.inFlight -= std::min<std::uint32_t>(upstream.inFlight, 1);
    switch (result) {
    case AttemptResult::Served:
        upstream.failuresInRow = 0;
        upstream.failureShare *= 1.0 - HealthSampleWeight;
        upstream.latency += HealthSampleWeight * (static_cast<double>(elapsed) - upstream.latency);
        return;
    case AttemptResult::Failed:
    case AttemptResult::Unreachable:
        upstream.failureShare += HealthSampleWeight * (1.0 - upstream.failureShare);
        ++upstream.failuresInRow;
        if (upstream.failuresInRow >= FailuresToAvoid || result == AttemptResult::Unreachable) {
            const auto shift = std::min<std::uint32_t>(upstream.failuresInRow, 4);
            upstream.avoidUntil = now + std::min<Micros>(AvoidCap, AvoidBase << (shift > 0 ? shift - 1 : 0));
        }
        return;
    case AttemptResult::Rejected:
    case AttemptResult::Abandoned:
        return;
    }
}

void UpstreamTable::notePrompt(const Upstream &upstream, std::string_view salt, std::span<const PromptPart> parts, Micros now)
{
    for (const PromptPart &part : parts) {
        directory_.add(partKey(salt, part.id), upstream.number, now);
    }
}

void UpstreamTable::noteReading(const Upstream &upstream, std::string_view salt, std::span<const PromptPart> parts, Micros now)
{
    for (const PromptPart &part : parts) {
        const PartKey key = partKey(salt, part.id);
        if (!directory_.holds(key, upstream.number)) {
            directory_.noteReading(key, upstream.number, now);
        }
    }
}

const std::map<std::string, UpstreamRef, std::less<>> &UpstreamTable::byId() const
{
    return byId_;
}

std::size_t UpstreamTable::readyCount(std::string_view service) const
{
    return static_cast<std::size_t>(std::ranges::count_if(byId_, [&](const auto &entry) {
        const Upstream &upstream = *entry.second;
        return upstream.present && !upstream.replaced && !upstream.record.draining && (service.empty() || upstream.record.service == service);
    }));
}

const PatienceLimit &UpstreamTable::patience() const
{
    return patience_;
}

const PromptDirectory &UpstreamTable::directory() const
{
    return directory_;
}

} // namespace Carobhall
