#include "gateway_impl.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

/// Responses of the KV cache store may cross regions. A long delay collects more events into each of them.
constexpr Micros StorePollDelay = 200 * MicrosPerMilli;

/// How long a gateway that starts on a store that was restored waits for what its peers hold, and how many of them suffice.
constexpr Micros ConfigConfirmLimit = MicrosPerSecond;
constexpr unsigned ConfigConfirmingPeers = 3;
/// Era of a platform that was never restored.
constexpr std::uint64_t FirstEra = 1;

} // namespace

void Gateway::Impl::onConfigObject(const PlatformObject &object, bool isSettled)
{
    adoptConfig(object.spec, { .era = eraOf(object.version), .isEraCertain = object.isWrittenInEra || isSettled }, "platform");
}

void Gateway::Impl::onPeerConfig(const ConfigData &data)
{
    if (const auto spec = parseJson(data.text)) {
        adoptConfig(*spec, stampOf(data.version, data.origin), "peer");
    } else {
        logEvent(LogLevel::Error, "configuration_unreadable", { { "source", "peer" }, { "bytes", data.text.size() } });
    }
}

void Gateway::Impl::adoptConfig(const Json::Value &spec, ConfigStamp stamp, std::string_view source)
{
    std::optional<GatewayConfig> config = options.objectCodec.decodeConfig(spec);
    if (!config) {
        logEvent(LogLevel::Error, "configuration_unreadable", { { "source", source } });
        return;
    }
    config->text = writeJson(spec);
    stamp.version = config->version;
    stamp.digest = configDigest(config->text);
    const ConfigStamp before = heldConfig.stamp();
    const ConfigRelation relation = heldConfig.offer(stamp);
    if (relation == ConfigRelation::Older && source == "platform") {
        logEvent(LogLevel::Warning, "configuration_held_back",
                 { { "version", stamp.version }, { "era", stamp.era }, { "held", before.version }, { "held_era", before.era } });
    }
    if (relation == ConfigRelation::Newer) {
        logEvent(LogLevel::Info, "configuration_in_effect",
                 { { "version", config->version },
                   { "before", before.version },
                   { "source", source },
                   { "era", stamp.era },
                   { "era_certain", heldConfig.stamp().isEraCertain },
                   { "routes", config->routes.size() },
                   { "accounts", config->accounts.size() } });
        callerLimits.adopt(config->limits, monotonicNow());
        quotas.configure(config->accounts, monotonicNow());
        routes = std::make_shared<RouteTable>(std::move(*config));
        const bool mayBeCopy = before.version == 0 && source == "platform" && stamp.era > FirstEra && !stamp.isEraCertain;
        configUnconfirmedUntil = mayBeCopy ? monotonicNow() + ConfigConfirmLimit : 0;
        configConfirmations = 0;
        subscribeToCacheStore();
    }
    if (source == "platform" && heldConfig.stamp() != before) {
        links->announceVersions();
    }
}

void Gateway::Impl::confirmConfig(Micros now)
{
    if (configUnconfirmedUntil == 0) {
        return;
    }
    const bool hasNoPeers = upstreams.readyCount({}) > 0 && !links->hasLinks();
    if (hasNoPeers || configConfirmations >= ConfigConfirmingPeers || now >= configUnconfirmedUntil) {
        logEvent(LogLevel::Info, "configuration_confirmed", { { "version", heldConfig.stamp().version }, { "peers", configConfirmations } });
        configUnconfirmedUntil = 0;
    }
}

void Gateway::Impl::subscribeToCacheStore()
{
    const Service *const store = routes->cacheStore();
    if (store == nullptr || store->cacheStoreAddress == cacheStoreAddress) {
        return;
    }
    cacheStoreAddress = store->cacheStoreAddress;
    upstreams.setCacheStore(*store);
    cacheStoreFeed = std::make_unique<CacheFeed>(CacheFeedOptions{
        .http = &http,
        .codec = options.feed,
        .address = cacheStoreAddress,
        .pollDelay = StorePollDelay,
        .onChange = [this](const CacheChange &change) { upstreams.noteStoredPart(change.salt, change.part, change.held, monotonicNow()); },
        .onReset = [this] { upstreams.clearStoredParts(); },
    });
}

void Gateway::Impl::onUpstream(const PlatformObject &object, Micros now)
{
    std::optional<UpstreamRecord> record = options.objectCodec.decodeUpstream(object);
    if (!record) {
        logEvent(LogLevel::Warning, "upstream_unreadable", { { "name", object.name }, { "revision", revisionOf(object.version) } });
        upstreams.remove(object.name, now);
        return;
    }
    logEvent(LogLevel::Info, "upstream",
             { { "upstream", record->id },
               { "service", record->service },
               { "address", record->address },
               { "zone", record->zone },
               { "draining", record->draining },
               { "model", record->model.empty() ? std::string("-") : record->model },
               { "weights", record->weightsVersion },
               { "revision", revisionOf(object.version) } });
    noteIfCrashed(record->id, record->startedAtMs, now);
    record->mayBeCopied = !object.isWrittenInEra;
    upstreams.update(std::move(*record), now);
}

void Gateway::Impl::noteIfCrashed(const std::string &id, std::optional<std::int64_t> startedAtMs, Micros now)
{
    if (const UpstreamRef crashed = upstreams.crashedProcess(id, startedAtMs)) {
        noteCrashed(crashed->record, "list", now);
    }
}

void Gateway::Impl::noteCrashed(const UpstreamRecord &record, std::string_view evidence, Micros now)
{
    logEvent(LogLevel::Info, "upstream_crashed", { { "upstream", record.id }, { "address", record.address }, { "evidence", evidence } });
    poisonRequests.noteProcessCrashed(upstreamIncarnation(record.id, record.startedAtMs), now);
    shareCrashEvidence(now);
}

void Gateway::Impl::shareQuotaDemand(Micros now)
{
    if (now < nextQuotaReportAt || (!quotas.hasQuotas() && limitedAccounts.empty())) {
        return;
    }
    nextQuotaReportAt = now + QuotaReportInterval;
    links->broadcast(quotas.report(now));
    const std::vector<QuotaState> states = quotas.states(now);
    std::erase_if(limitedAccounts, [&](const std::string &account) {
        const bool hasQuota = std::ranges::any_of(states, [&](const QuotaState &state) { return state.account == account; });
        if (!hasQuota) {
            logEvent(LogLevel::Info, "account_unlimited", { { "account", account }, { "per_s", 0.0 } });
        }
        return !hasQuota;
    });
    for (const QuotaState &state : states) {
        const std::string label = "account=\"" + state.account + "\"";
        metrics.setGauge("carobhall_quota_per_second", label, state.perSecond);
        metrics.setGauge("carobhall_quota_share_per_second", label, state.share);
        metrics.setGauge("carobhall_quota_demand_per_second", label, state.demand);
        metrics.setGauge("carobhall_quota_used_total", label, state.used);
        metrics.setGauge("carobhall_quota_refused_total", label, state.refused);
        const bool wasLimited = limitedAccounts.contains(state.account);
        if (state.limited == wasLimited) {
            continue;
        }
        if (state.limited) {
            limitedAccounts.insert(state.account);
        } else {
            limitedAccounts.erase(state.account);
        }
        logEvent(LogLevel::Info, state.limited ? "account_limited" : "account_unlimited",
                 { { "account", state.account },
                   { "per_s", state.perSecond },
                   { "share_per_s", state.share },
                   { "demand_per_s", state.demand },
                   { "used", state.used },
                   { "refused", state.refused } });
    }
}

void Gateway::Impl::shareCrashEvidence(Micros now)
{
    const CrashEvidence news = poisonRequests.takeNews(now);
    if (news.crashes.empty() && news.sound.empty()) {
        return;
    }
    logEvent(LogLevel::Info, "crash_evidence",
             { { "suspected", news.crashes.size() },
               { "first_suspected", news.crashes.empty() ? std::string("-") : toHex(news.crashes.front().feature) },
               { "cleared", news.sound.size() },
               { "first_cleared", news.sound.empty() ? std::string("-") : toHex(news.sound.front().feature) } });
    links->broadcast(news);
    removeDisproved(news, now);
}

void Gateway::Impl::removeDisproved(const CrashEvidence &evidence, Micros now)
{
    for (const SoundRecord &record : evidence.sound) {
        crashEvidenceStore->remove(record.feature, now);
    }
}

} // namespace Carobhall
