#include "carobhall/upstream_table.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Carobhall
{

namespace
{

// The cost of an upstream is its expected delay to the first byte in microseconds, plus penalties in the same unit.

/// Traffic between zones and regions is billed, and links between regions are narrow. A request leaves its zone or region only if the
/// expected delay there is longer by this much.
constexpr double SameRegionPenalty = 25'000.0;
constexpr double OtherRegionPenalty = 80'000.0;

/// Estimated prefill rate of an engine: about 41 tokens per millisecond.
constexpr double PrefillTokensPerMicro = 0.0414;
/// A prefill of a part that another engine holds wastes capacity of the fleet. Added to the time that the prefill takes.
constexpr double DuplicatePrefillPenaltyPerToken = 150.0;
/// A transferred part evicts another part, which may have to be prefilled again later.
constexpr double TransferPenaltyPerToken = 30.0;
/// Bonus for the engine that prefillOwner() returns: gateways that start to prefill the same part at the same time choose this engine if
/// its delay is at most this much longer.
constexpr double PrefillOwnerBonus = 60'000.0;
/// Transfer of KV cache: set-up time, and factors of the duration between zones and between regions.
constexpr double TransferSetupMicros = 4'000.0;
constexpr double OtherZoneTransferFactor = 2.0;
constexpr double OtherRegionTransferFactor = 10.0;
/// Every running request makes each engine step 12 us longer per token; a prompt waits for several steps.
constexpr double RunningRequestPenalty = 1'500.0;
/// Prefills with fewer tokens are not saved to the store, because a prefill is then as fast as a transfer.
constexpr std::uint64_t MinSavedTokens = 1'000;
/// During a rollout of weights, engines with the new version are preferred: the others close soon.
constexpr double OldWeightsPenalty = 130'000.0;
/// A stream that is running while its engine changes weights is of little use to the caller.
constexpr double ClosingEnginePenalty = 250'000.0;
/// An engine whose sidecar has not reported yet may have any weights version. It is chosen only if there is no other.
constexpr double UnknownEnginePenalty = 1'000'000.0;
/// Share of the weights deadline after which engines with older weights are no longer chosen.
constexpr double OldWeightsTimeShare = 0.8;
/// Prompts of up to this size are prefilled within one or two engine steps. Longer ones are prefilled in chunks that alternate with
/// decode steps of running requests, which makes those streams take five times as long.
constexpr std::uint64_t MaxShortPromptTokens = 2'500;
/// One engine in this many is reserved for short prompts, which are half of the requests and a tenth of the tokens.
constexpr std::size_t EnginesPerShortPromptEngine = 5;
/// Penalties for a long prompt on an engine reserved for short ones, and for a short prompt on any other engine. A prompt crosses over only
/// if its own group is busier by this much.
constexpr double LongOnShortPromptEnginePenalty = 600'000.0;
constexpr double ShortOnLongPromptEnginePenalty = 100'000.0;
/// Share of an engine's KV cache memory that new requests may fill. Above it the engine preempts running requests, which are then prefilled
/// again.
constexpr double MemoryHighWatermark = 0.9;
constexpr double FullMemoryPenalty = 300'000.0;

/// Weight of a new sample in the moving averages of health. The last ten responses make up about two thirds of the average.
constexpr double HealthSampleWeight = 0.1;
/// Penalty for a failure share of 1.
constexpr double FailurePenalty = 400'000.0;
/// An upstream is avoided after this many consecutive failures, or after one failed connect. The time doubles with each consecutive
/// failure, from MinAvoidTime after the first up to MaxAvoidTime.
constexpr std::uint32_t FailuresToAvoid = 3;
constexpr Micros MinAvoidTime = 500 * MicrosPerMilli;
constexpr Micros MaxAvoidTime = 4 * MicrosPerSecond;

} // namespace

Distance distanceBetween(const Locality &local, std::string_view zone)
{
    if (zone == local.zone) {
        return Distance::SameZone;
    }
    const auto ownRegion = local.regionOfZone.find(local.zone);
    const auto otherRegion = local.regionOfZone.find(zone);
    const bool known = ownRegion != local.regionOfZone.end() && otherRegion != local.regionOfZone.end();
    return known && ownRegion->second == otherRegion->second ? Distance::SameRegion : Distance::OtherRegion;
}

UpstreamTable::UpstreamTable(Locality locality, std::uint64_t seed, Micros weightsDeadline, std::string gateway)
    : locality_(std::move(locality))
    , random_(seed)
    , weightsDeadline_(weightsDeadline)
    , limits_({ .gateway = std::move(gateway), .seed = seed })
    , availability_(seed)
{
}

void UpstreamTable::noteWeightsMismatch(Upstream &upstream, std::uint64_t weightsVersion, Micros now)
{
    if (weightsVersion == 0 || weightsVersion == upstream.weightsVersion()) {
        upstream.avoidUntil = std::max(upstream.avoidUntil, now + MinAvoidTime);
        return;
    }
    cacheIndex_.removeHolder(upstream.number);
    upstream.load.weightsVersion = weightsVersion;
}

void UpstreamTable::noteWeightsTarget(std::string_view model, std::uint64_t version, Micros now)
{
    WeightsTarget &target = weightsTargets_[std::string(model)];
    if (version > target.version) {
        target = { .version = version, .since = now };
    }
}

UpstreamTable::WeightsAge UpstreamTable::weightsAge(const Upstream &engine, Micros now) const
{
    const auto target = weightsTargets_.find(engine.model());
    if (target == weightsTargets_.end() || engine.weightsVersion() >= target->second.version) {
        return WeightsAge::Current;
    }
    const auto rolloutTime = static_cast<Micros>(static_cast<double>(weightsDeadline_) * OldWeightsTimeShare);
    return now - target->second.since > rolloutTime ? WeightsAge::Expired : WeightsAge::Old;
}

std::uint64_t UpstreamTable::revision() const
{
    return revision_;
}

UpstreamRef UpstreamTable::engineAt(std::string_view ip) const
{
    const auto found = byIp_.find(ip);
    if (found == byIp_.end()) {
        return {};
    }
    UpstreamRef newest{};
    for (const UpstreamRef &upstream : found->second) {
        if (upstream->present && (!newest || upstream->record.startedAtMs > newest->record.startedAtMs)) {
            newest = upstream;
        }
    }
    return newest;
}

bool UpstreamTable::noteEngineLoad(std::string_view ip, const EngineLoad &load, Micros now)
{
    const UpstreamRef upstream = engineAt(ip);
    if (!upstream) {
        return false;
    }
    const bool hasOtherModel = !upstream->load.model.empty() && upstream->load.model != load.model;
    if (hasOtherModel || (upstream->load.weightsVersion != 0 && upstream->load.weightsVersion != load.weightsVersion)) {
        cacheIndex_.removeHolder(upstream->number);
    }
    upstream->load = load;
    upstream->loadAt = now;
    upstream->unreportedMemoryTokens = 0;
    return true;
}

void UpstreamTable::noteCachedPart(std::string_view ip, std::string_view salt, std::string_view partId, bool held, Micros now)
{
    if (const UpstreamRef upstream = engineAt(ip)) {
        if (held) {
            cacheIndex_.add(partKey(salt, partId), upstream->number, now);
        } else {
            cacheIndex_.remove(partKey(salt, partId), upstream->number);
        }
    }
}

void UpstreamTable::clearCachedParts(std::string_view ip)
{
    if (const UpstreamRef upstream = engineAt(ip)) {
        cacheIndex_.removeHolder(upstream->number);
    }
}

void UpstreamTable::setCacheStore(const Service &store)
{
    if (store_ && store_->record.address == store.cacheStoreAddress) {
        return;
    }
    clearStoredParts();
    store_ = std::make_shared<Upstream>();
    store_->number = static_cast<UpstreamNumber>(byNumber_.size());
    store_->record = { .id = store.name, .service = store.name, .address = store.cacheStoreAddress, .zone = store.cacheStoreZone };
    storeLinkMbps_ = store.cacheStoreLinkMbps;
    byNumber_.push_back(store_);
}

void UpstreamTable::noteStoredPart(std::string_view salt, std::string_view partId, bool held, Micros now)
{
    if (store_ && held) {
        cacheIndex_.add(partKey(salt, partId), store_->number, now);
    } else if (store_) {
        cacheIndex_.remove(partKey(salt, partId), store_->number);
    }
}

void UpstreamTable::clearStoredParts()
{
    if (store_) {
        cacheIndex_.removeHolder(store_->number);
    }
}

bool UpstreamTable::sameRegion(std::string_view zone, std::string_view other) const
{
    const auto region = locality_.regionOfZone.find(zone);
    const auto otherRegion = locality_.regionOfZone.find(other);
    return zone == other || (region != locality_.regionOfZone.end() && otherRegion != locality_.regionOfZone.end() && region->second == otherRegion->second);
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
    std::vector<UpstreamRef> removed{};
    for (const auto &[id, upstream] : byId_) {
        const bool alreadyTried = std::ranges::find(tried, upstream) != tried.end();
        if (upstream->record.service != service || alreadyTried || !isUsable(*upstream, now)) {
            continue;
        }
        if (!upstream->present) {
            if (now - upstream->removedAt < RemovalGracePeriod) {
                removed.push_back(upstream);
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
    return avoided.empty() ? removed : avoided;
}

UpstreamRef UpstreamTable::choosePlainUpstream(const Service &service, std::span<const UpstreamRef> tried, Micros now)
{
    std::vector<UpstreamRef> excluded(tried.begin(), tried.end());
    while (UpstreamRef chosen = cheapestPlainUpstream(service, excluded, now)) {
        if (limits_.take(chosen->process, now)) {
            return chosen;
        }
        excluded.push_back(std::move(chosen));
    }
    return {};
}

std::variant<EngineChoice, RefusalReason> UpstreamTable::chooseEngine(const PromptDemand &demand, const Service &service, std::span<const UpstreamRef> tried,
                                                                      Micros now)
{
    std::vector<UpstreamRef> excluded(tried.begin(), tried.end());
    for (;;) {
        auto chosen = cheapestEngine(demand, service, excluded, now);
        if (const auto *const reason = std::get_if<RefusalReason>(&chosen)) {
            return excluded.size() > tried.size() && *reason == RefusalReason::NoUpstream ? RefusalReason::Limited : *reason;
        }
        const UpstreamRef &upstream = std::get<EngineChoice>(chosen).upstream;
        if (limits_.take(upstream->process, now)) {
            return chosen;
        }
        excluded.push_back(upstream);
    }
}

Micros UpstreamTable::timeToPermit(std::string_view service, Micros now)
{
    Micros shortest = std::numeric_limits<Micros>::max();
    for (const auto &[id, upstream] : byId_) {
        if (upstream->present && upstream->record.service == service) {
            if (const Micros time = limits_.timeToPermit(upstream->process, now); time > 0) {
                shortest = std::min(shortest, time);
            }
        }
    }
    return shortest == std::numeric_limits<Micros>::max() ? 0 : shortest;
}

UpstreamLimits &UpstreamTable::limits()
{
    return limits_;
}

UpstreamAvailability &UpstreamTable::availability()
{
    return availability_;
}

bool UpstreamTable::isShuttingDown(const Upstream &upstream) const
{
    return upstream.record.draining || availability_.isLeaving(upstream.process) || availability_.isUnconfirmed(upstream.process);
}

bool UpstreamTable::isUsable(const Upstream &upstream, Micros now) const
{
    return !upstream.replaced && !upstream.record.draining && availability_.isAvailable(upstream.process, now);
}

Micros UpstreamTable::timeToAvailable(std::string_view service, Micros now) const
{
    std::optional<Micros> shortest{};
    for (const auto &[id, upstream] : byId_) {
        if (upstream->present && !upstream->replaced && !upstream->record.draining && upstream->record.service == service) {
            if (const auto time = availability_.timeToAvailable(upstream->process, now)) {
                shortest = std::min(shortest.value_or(*time), *time);
            }
        }
    }
    return shortest.value_or(0);
}

UpstreamRef UpstreamTable::noteEngineLeaving(std::string_view ip, std::int64_t startedAtMs, Micros now)
{
    const auto found = byIp_.find(ip);
    if (found == byIp_.end()) {
        return {};
    }
    for (const UpstreamRef &upstream : found->second) {
        if (upstream->record.startedAtMs == startedAtMs) {
            return availability_.noteLeaving(upstream->process, now) ? upstream : nullptr;
        }
    }
    return {};
}

UpstreamRef UpstreamTable::cheapestPlainUpstream(const Service &service, std::span<const UpstreamRef> tried, Micros now)
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

struct UpstreamTable::Transfer {
    UpstreamRef source{};
    std::size_t depth = 0; ///< Number of leading parts that the target holds after the transfer.
    double micros = 0.0;
};

UpstreamTable::Transfer UpstreamTable::bestTransfer(const Upstream &target, std::span<const PartKey> keys, std::span<const std::uint32_t> tokens,
                                                    std::size_t held, const EngineTraits &engine) const
{
    Transfer best{ .depth = held };
    if (held >= keys.size() || engine.linkMbps <= 0.0) {
        return best;
    }
    for (const UpstreamNumber number : cacheIndex_.holdersOf(keys[held])) {
        const UpstreamRef &source = byNumber_[number];
        const bool isStore = source && source == store_;
        if (!source || number == target.number) {
            continue;
        }
        const bool inSameRegion = sameRegion(target.record.zone, source->record.zone);
        // The store is not used from other regions, because such a transfer occupies its single link for ten times as long. An engine
        // with other weights may hold parts computed with those weights, and one that is gone costs a timeout.
        const bool hasSameWeights = source->model() == target.model() && source->weightsVersion() == target.weightsVersion();
        if (isStore ? !inSameRegion : !source->present || isShuttingDown(*source) || !hasSameWeights) {
            continue;
        }
        std::size_t depth = 0;
        while (depth < keys.size() && cacheIndex_.holds(keys[depth], number)) {
            ++depth;
        }
        double transferredTokens = 0.0;
        for (std::size_t i = held; i < depth; ++i) {
            transferredTokens += tokens[i];
        }
        if (depth <= held) {
            continue;
        }
        const double factor = target.record.zone == source->record.zone ? 1.0 : inSameRegion ? OtherZoneTransferFactor : OtherRegionTransferFactor;
        const double mbps = isStore && storeLinkMbps_ > 0.0 ? std::min(storeLinkMbps_, engine.linkMbps) : engine.linkMbps;
        const double micros = TransferSetupMicros + transferredTokens * engine.bytesPerToken * 8.0 / mbps * factor;
        if (depth > best.depth || (depth == best.depth && micros < best.micros)) {
            best = { .source = source, .depth = depth, .micros = micros };
        }
    }
    return best;
}

std::vector<const Upstream *> UpstreamTable::shortPromptEngines(std::string_view service) const
{
    std::map<std::string_view, std::vector<const Upstream *>> zones;
    for (const auto &[id, upstream] : byId_) {
        if (upstream->record.service == service && upstream->present && !isShuttingDown(*upstream)) {
            zones[upstream->record.zone].push_back(upstream.get());
        }
    }
    std::vector<const Upstream *> reserved;
    std::size_t zoneIndex = 0;
    for (const auto &[zone, members] : zones) {
        // No engine is reserved in a zone that has only one.
        const std::size_t count = members.size() < 2 ? 0 : (members.size() + EnginesPerShortPromptEngine - 1) / EnginesPerShortPromptEngine;
        for (std::size_t i = 0; i < count; ++i) {
            reserved.push_back(members[(zoneIndex + i * EnginesPerShortPromptEngine) % members.size()]);
        }
        ++zoneIndex;
    }
    return reserved;
}

std::string UpstreamTable::prefillOwner(const PromptPart &part, std::span<const UpstreamRef> among) const
{
    std::string owner;
    std::uint64_t highest = 0;
    for (const UpstreamRef &upstream : among) {
        const std::uint64_t weight = partKey(upstream->record.id, part.id);
        if (distanceTo(upstream->record.zone) != Distance::OtherRegion && weight >= highest) {
            highest = weight;
            owner = upstream->record.id;
        }
    }
    return owner;
}

std::variant<EngineChoice, RefusalReason> UpstreamTable::cheapestEngine(const PromptDemand &demand, const Service &service, std::span<const UpstreamRef> tried,
                                                                        Micros now)
{
    const EngineTraits &engine = *service.engine;
    const std::size_t sharedCount = demand.parts.empty() ? 0 : demand.parts.size() - 1;
    std::uint64_t promptTokens = 0;
    std::vector<std::uint32_t> tokens{};
    for (std::size_t i = 0; i < demand.parts.size(); ++i) {
        promptTokens += demand.parts[i].tokens;
        if (i < sharedCount) {
            tokens.push_back(demand.parts[i].tokens);
        }
    }
    const std::uint64_t memoryTokens = promptTokens + demand.outputTokens;

    EngineChoice best;
    double bestCost = std::numeric_limits<double>::max();
    bool anyUsable = false;
    std::vector<PartKey> keys(sharedCount);
    std::uint64_t saltVersion = 0;
    std::string salt;
    const std::vector<UpstreamRef> upstreams = candidates(demand.service, tried, now);
    const std::vector<const Upstream *> reserved = shortPromptEngines(demand.service);
    const bool isShort = promptTokens <= MaxShortPromptTokens;
    const std::string owner = sharedCount == 0 ? std::string() : prefillOwner(demand.parts[sharedCount - 1], upstreams);
    for (const UpstreamRef &upstream : upstreams) {
        const std::uint64_t version = upstream->weightsVersion();
        const WeightsAge age = weightsAge(*upstream, now);
        const double capacityTokens = static_cast<double>(upstream->load.totalTokens != 0 ? upstream->load.totalTokens : engine.cacheTokens);
        if (upstream->load.closed || version == 0 || age == WeightsAge::Expired || static_cast<double>(memoryTokens) > capacityTokens) {
            continue;
        }
        anyUsable = true;
        if (version != saltVersion || salt.empty()) {
            saltVersion = version;
            salt = cacheSalt(saltVersion, demand.cacheScope);
            for (std::size_t i = 0; i < sharedCount; ++i) {
                keys[i] = partKey(salt, demand.parts[i].id);
            }
        }
        std::size_t heldCount = 0;
        while (heldCount < sharedCount && cacheIndex_.holds(keys[heldCount], upstream->number)) {
            ++heldCount;
        }
        const Transfer transfer = bestTransfer(*upstream, keys, tokens, heldCount, engine);
        double transferredTokens = 0.0;
        double duplicateTokens = 0.0;
        std::uint64_t prefillSharedTokens = 0;
        std::uint64_t uncachedTokens = 0;
        for (std::size_t i = heldCount; i < sharedCount; ++i) {
            uncachedTokens += tokens[i];
            if (i < transfer.depth) {
                transferredTokens += tokens[i];
                continue;
            }
            prefillSharedTokens += tokens[i];
            const std::optional<UpstreamNumber> prefiller = cacheIndex_.prefillerOf(keys[i], now);
            const bool availableElsewhere = prefiller ? *prefiller != upstream->number : !cacheIndex_.holdersOf(keys[i]).empty();
            duplicateTokens += availableElsewhere ? tokens[i] : 0;
        }
        const std::uint64_t prefillTokens = prefillSharedTokens + (demand.parts.empty() ? 0 : demand.parts.back().tokens);
        const double backlogTokens = static_cast<double>(upstream->pendingPrefillTokens + upstream->load.pendingPrefillTokens);
        const double delay = (backlogTokens + static_cast<double>(prefillTokens)) / PrefillTokensPerMicro + transfer.micros
            + upstream->load.running * RunningRequestPenalty;
        const bool isReserved = std::ranges::find(reserved, upstream.get()) != reserved.end();
        const double groupPenalty = reserved.empty() || isReserved == isShort ? 0.0 : isShort ? ShortOnLongPromptEnginePenalty : LongOnShortPromptEnginePenalty;
        double cost = delay + groupPenalty + duplicateTokens * DuplicatePrefillPenaltyPerToken + transferredTokens * TransferPenaltyPerToken
            + distancePenalty(upstream->record.zone) + upstream->failureShare * FailurePenalty + (age == WeightsAge::Old ? OldWeightsPenalty : 0.0)
            + (upstream->load.closing ? ClosingEnginePenalty : 0.0) + (upstream->loadAt == 0 ? UnknownEnginePenalty : 0.0);
        // Beyond the watermark the request waits until others end, or makes the engine preempt them.
        const double usedTokens = static_cast<double>(upstream->load.usedTokens + upstream->unreportedMemoryTokens);
        const double excessTokens = std::max(0.0, usedTokens + static_cast<double>(memoryTokens) - capacityTokens * MemoryHighWatermark);
        cost += excessTokens > 0.0 ? FullMemoryPenalty + excessTokens / PrefillTokensPerMicro : 0.0;
        if (prefillSharedTokens > 0 && upstream->record.id == owner) {
            cost -= PrefillOwnerBonus;
        }
        if (cost < bestCost) {
            bestCost = cost;
            best = { .upstream = upstream,
                     .salt = salt,
                     .weightsVersion = saltVersion,
                     .saveTo = store_ && prefillSharedTokens >= MinSavedTokens && sameRegion(upstream->record.zone, store_->record.zone)
                         ? store_->record.address
                         : std::string(),
                     .fetchFrom = transfer.source ? transfer.source->record.address : std::string(),
                     .uncachedTokens = uncachedTokens,
                     .duplicatePrefillTokens = static_cast<std::uint64_t>(duplicateTokens),
                     .prefillTokens = prefillTokens,
                     .queueDelay = static_cast<Micros>(backlogTokens / PrefillTokensPerMicro),
                     .timeToFirstToken = static_cast<Micros>(delay + excessTokens / PrefillTokensPerMicro),
                     .load = upstream->load,
                     .loadAge = now - upstream->loadAt };
        }
    }
    if (!best.upstream) {
        return anyUsable ? RefusalReason::Full : RefusalReason::NoUpstream;
    }
    if (!isShort) {
        queueWaitLimit_.noteQueueDelay(best.queueDelay);
    }
    if (best.timeToFirstToken > queueWaitLimit_.limit(demand.overloadWaitLimit, demand.normalWaitLimit)) {
        return RefusalReason::Full;
    }
    return best;
}

void UpstreamTable::noteAttemptStarted(Upstream &upstream, std::uint64_t prefillTokens, std::uint64_t memoryTokens)
{
    ++upstream.inFlight;
    upstream.pendingPrefillTokens += prefillTokens;
    upstream.unreportedMemoryTokens += memoryTokens;
}

void UpstreamTable::noteFirstToken(Upstream &upstream, std::uint64_t prefillTokens)
{
    upstream.pendingPrefillTokens -= std::min(upstream.pendingPrefillTokens, prefillTokens);
}

void UpstreamTable::noteAttemptEnded(Upstream &upstream, AttemptResult result, Micros elapsed, Micros now)
{
    upstream.inFlight -= std::min<std::uint32_t>(upstream.inFlight, 1);
    if (result == AttemptResult::Unreachable && !availability_.isAvailable(upstream.process, now)) {
        // The request was held back because the upstream has asked for it.
        return;
    }
    switch (result) {
    case AttemptResult::Served:
        upstream.consecutiveFailures = 0;
        upstream.failureShare *= 1.0 - HealthSampleWeight;
        upstream.latency += HealthSampleWeight * (static_cast<double>(elapsed) - upstream.latency);
        return;
    case AttemptResult::Failed:
    case AttemptResult::Unreachable:
        upstream.failureShare += HealthSampleWeight * (1.0 - upstream.failureShare);
        ++upstream.consecutiveFailures;
        if (upstream.consecutiveFailures >= FailuresToAvoid || result == AttemptResult::Unreachable) {
            const auto shift = std::min<std::uint32_t>(upstream.consecutiveFailures, 4);
            upstream.avoidUntil = now + std::min<Micros>(MaxAvoidTime, MinAvoidTime << (shift > 0 ? shift - 1 : 0));
        }
        return;
    case AttemptResult::Rejected:
    case AttemptResult::Abandoned:
        return;
    }
}

void UpstreamTable::notePromptCached(const Upstream &upstream, std::string_view salt, std::span<const PromptPart> parts, Micros now)
{
    for (const PromptPart &part : parts) {
        cacheIndex_.add(partKey(salt, part.id), upstream.number, now);
    }
}

void UpstreamTable::notePrefillStarted(const Upstream &upstream, std::string_view salt, std::span<const PromptPart> parts, Micros now)
{
    for (const PromptPart &part : parts) {
        const PartKey key = partKey(salt, part.id);
        if (!cacheIndex_.holds(key, upstream.number)) {
            cacheIndex_.notePrefill(key, upstream.number, now);
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
        return upstream.present && !upstream.replaced && !isShuttingDown(upstream) && (service.empty() || upstream.record.service == service);
    }));
}

const QueueWaitLimit &UpstreamTable::queueWaitLimit() const
{
    return queueWaitLimit_;
}

const PrefixCacheIndex &UpstreamTable::cacheIndex() const
{
    return cacheIndex_;
}

} // namespace Carobhall
