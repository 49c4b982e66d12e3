#include "carobhall/sidecar.h"

#include "carobhall/config_pull_scheduler.h"
#include "carobhall/crash_evidence.h"
#include "carobhall/quota_relay.h"
#include "carobhall/status_pacing.h"
#include "carobhall/upstream_limits.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Carobhall
{

namespace
{

constexpr Micros TickInterval = 50 * MicrosPerMilli;
constexpr Micros ReportInterval = 150 * MicrosPerMilli;  ///< A report on the server's own machine causes no network traffic, but costs CPU time.
constexpr std::uint64_t MinDemandIncreaseTokens = 2'000; ///< For StatusUrgency::Demand; an engine prefills them in 50 ms.
/// Time to collect the gateways' offers of a newer configuration, so that the nearest gateway is asked.
constexpr Micros ConfigPullDelay = 100 * MicrosPerMilli;
constexpr Micros EngineCallTimeout = 800 * MicrosPerMilli;
constexpr std::size_t MaxChangesPerMessage = 500; ///< About 20 KB.

} // namespace

struct Sidecar::Impl {
    explicit Impl(SidecarOptions sidecarOptions);

    std::error_code start();
    void beginShutdown();
    void tick();
    void requestReport();
    void onReport(const HttpReply &reply);
    /// Tells the gateways if \p reply announces the shutdown of the server process that `report` describes.
    void noteLeaving(const HttpReply &reply);
    void sendOrder(const RolloutStep &step);
    /// The server has reported that it serves \p served.
    void onModel(const std::string &served);
    void onWeightsAnnounced(const std::string &announcedModel, std::uint64_t version, std::string_view source);
    /// Begins the rollout of the newest announced version of the server's model, unless it has begun.
    void computeWave(Micros now);
    /// The newest announced version of the server's model; 0: none, or the model is not known yet.
    [[nodiscard]] std::uint64_t announcedVersion() const;
    void adoptConfig(const Json::Value &spec, ConfigStamp stamp);
    /// Tells the gateways the known versions.
    void announceVersions();
    void onMessage(ConnectionId connection, Message message);
    void sendStatus(bool force);
    void sendSnapshot(ConnectionId connection);
    /// Passes on the reports of the gateways, if there are any, every LimitReportInterval.
    void distributeLimitReports(Micros now);
    /// Passes on the sums of the demand of accounts, if gateways have reported it, every QuotaReportInterval.
    void distributeQuotaSums(Micros now);
    [[nodiscard]] LimitReports currentLimitReports(Micros now) const;
    [[nodiscard]] KnownVersions knownVersions() const;
    [[nodiscard]] EngineStatus engineStatus() const;

    SidecarOptions options;
    HttpClient http;
    Endpoint endpoint;
    /// Prompt tokens that each connected gateway has sent to the server and not yet seen the first token of.
    std::map<ConnectionId, std::uint64_t> gateways;
    std::map<ConnectionId, PeerInfo> gatewayPeers;
    ConfigPullScheduler configPulls;
    std::unique_ptr<ObjectWatcher> weightsWatcher;
    WeightsRollout rollout;
    EngineReport report;
    bool hasReport = false;
    bool reportInFlight = false;
    bool orderInFlight = false;
    bool closed = false;
    bool closing = false;
    std::int64_t leavingStartMs = 0; ///< Start time of the last server process that announced its shutdown; 0: none did.
    Micros nextReportAt = 0;
    Micros lastStatusAt = 0;
    EngineStatus lastStatus;
    std::uint64_t lastPendingPrefill = 0; ///< Sum of the values in `gateways` when lastStatus was sent.
    CacheFeed feed;
    std::vector<CacheChange> pendingChanges;
    bool pendingCacheReset = false;
    std::string model;          ///< Of the server; empty until its first report.
    std::string engineInstance; ///< Id of the server process, from the platform's server list or the server's replies.
    /// Newest announced version of each model; that of `model` is passed to the rollout once its wave is computed.
    std::map<std::string, std::uint64_t, std::less<>> announcedVersions;
    HeldConfig heldConfig; ///< Stamp of configText.
    std::string configText;
    /// The reports of the gateways on limits of upstreams, by gateway, and when each was received.
    std::map<std::string, std::pair<LimitReport, Micros>, std::less<>> limitReports;
    Micros nextLimitReportsAt = 0;
    QuotaRelay quotaRelay;
    Micros nextQuotaSumsAt = 0;
    CrashEvidenceTable crashEvidence; ///< Of requests that crash upstreams; relayed between the gateways.
    Timer tickTimer;
    Timer stopTimer;
};

Sidecar::Impl::Impl(SidecarOptions sidecarOptions)
    : options(std::move(sidecarOptions))
    , http({ .metrics = options.metrics })
    , endpoint({ .context = nullptr,
                 .keys = installationKeys(options.settings.platformAddress),
                 .self = { .name = options.settings.name,
                           .zone = options.settings.zone,
                           .incarnation = drawIncarnation(),
                           .kind = static_cast<std::uint8_t>(ProcessKind::Agent) },
                 .onOpen =
                     [this](ConnectionId connection, const PeerInfo &peer) {
                         gateways[connection] = 0;
                         gatewayPeers[connection] = peer;
                         logEvent(LogLevel::Info, "gateway_connected", { { "peer", peer.name }, { "gateways", gateways.size() } });
                         sendSnapshot(connection);
                     },
                 .onMessage = [this](ConnectionId connection, Message message) { onMessage(connection, std::move(message)); },
                 .onClosed =
                     [this](ConnectionId connection, std::error_code error) {
                         configPulls.removePeer(connection);
                         gatewayPeers.erase(connection);
                         if (gateways.erase(connection) > 0) {
                             logEvent(LogLevel::Info, "gateway_lost", { { "error", error }, { "gateways", gateways.size() } });
                         }
                     } })
    , feed({ .http = &http,
             .codec = options.engine.feed,
             .address = options.settings.engineAddress,
             .onChange = [this](const CacheChange &change) { pendingChanges.push_back(change); },
             .onReset =
                 [this] {
                     pendingChanges.clear();
                     pendingCacheReset = true;
                 } })
{
}

std::error_code Sidecar::Impl::start()
{
    if (const std::error_code error = endpoint.listen(options.settings.ip + ":" + std::to_string(options.settings.peerPort))) {
        return error;
    }
    weightsWatcher = std::make_unique<ObjectWatcher>(
        *options.platform, WatcherOptions{ .kind = options.objectCodec.weightsKind, .name = {}, .onObject = [this](const PlatformObject &object, Micros) {
                                              if (const auto announcement = options.objectCodec.decodeWeights(object)) {
                                                  onWeightsAnnounced(announcement->first, announcement->second, "platform");
                                              } else {
                                                  logEvent(LogLevel::Warning, "weights_unreadable", { { "name", object.name } });
                                              }
                                          } });
    options.platform->onRestored([this](Micros) { announceVersions(); });
    tickTimer.startRepeating(TickInterval, [this] { tick(); });
    logEvent(LogLevel::Info, "started", { { "engine", options.settings.engineAddress }, { "service", options.settings.engineService } });
    return {};
}

void Sidecar::Impl::beginShutdown()
{
    logEvent(LogLevel::Info, "stopping", { { "gateways", gateways.size() } });
    stopTimer.startOnce(50 * MicrosPerMilli, [this] { options.onStopped(); });
}

void Sidecar::Impl::tick()
{
    const Micros now = monotonicNow();
    options.platform->tick(now);
    weightsWatcher->tick(now);
    if (const auto peer = configPulls.nextPeer(heldConfig.stamp(), ConfigPullDelay, now)) {
        endpoint.send(*peer, ConfigPull{ .heldVersion = heldConfig.stamp().version });
    }
    if (!reportInFlight && now >= nextReportAt) {
        requestReport();
    }
    feed.tick(now);
    distributeLimitReports(now);
    distributeQuotaSums(now);
    if (hasReport && !orderInFlight) {
        report.instance = engineInstance;
        const RolloutStep step = rollout.step(report, now);
        if (step.closed != closed || step.closing != closing) {
            closed = step.closed;
            closing = step.closing;
            logEvent(LogLevel::Info,
                     closed        ? "engine_closed"
                         : closing ? "engine_closing"
                                   : "engine_opened",
                     { { "weights", report.weightsVersion }, { "target", rollout.target() }, { "running", report.running }, { "queued", report.queued } });
            sendStatus(true);
        }
        if (step.order) {
            sendOrder(step);
        }
    }
    sendStatus(false);
}

void Sidecar::Impl::requestReport()
{
    reportInFlight = true;
    HttpCall call = options.engine.reportCall(options.settings.engineAddress);
    call.timeout = EngineCallTimeout;
    http.send(std::move(call), [this](const HttpReply &reply) { onReport(reply); });
}

void Sidecar::Impl::onReport(const HttpReply &reply)
{
    reportInFlight = false;
    nextReportAt = monotonicNow() + ReportInterval;
    const std::optional<EngineReport> decoded = options.engine.decodeReport(reply);
    if (!decoded) {
        if (hasReport) {
            logEvent(LogLevel::Warning, "engine_lost", { { "error", reply.error }, { "status", reply.status } });
        }
        hasReport = false;
        return;
    }
    if (!hasReport) {
        logEvent(LogLevel::Info, "engine_found", { { "weights", decoded->weightsVersion }, { "sequence", decoded->sequence }, { "model", decoded->model } });
    }
    if (hasReport && decoded->weightsVersion != report.weightsVersion) {
        logEvent(LogLevel::Info, "engine_weights",
                 { { "weights", decoded->weightsVersion }, { "before", report.weightsVersion }, { "target", rollout.target() } });
        // Loading new weights invalidates the KV cache.
        feed.clear();
    }
    if (!decoded->model.empty() && decoded->model != model) {
        onModel(decoded->model);
    }
    hasReport = true;
    report = *decoded;
    noteLeaving(reply);
}

void Sidecar::Impl::onModel(const std::string &served)
{
    logEvent(LogLevel::Info, "engine_model", { { "model", served }, { "before", model.empty() ? std::string("-") : model } });
    if (!model.empty()) {
        feed.clear();
        rollout = WeightsRollout();
    }
    model = served;
    // Gateways relate the versions in later statuses to this model.
    announceVersions();
    if (announcedVersion() > 0) {
        computeWave(monotonicNow());
    }
}

std::uint64_t Sidecar::Impl::announcedVersion() const
{
    const auto found = announcedVersions.find(model);
    return found == announcedVersions.end() ? 0 : found->second;
}

void Sidecar::Impl::noteLeaving(const HttpReply &reply)
{
    if (reply.error || !options.engine.decodeLeaving(reply) || report.startedAtMs == 0 || report.startedAtMs == leavingStartMs) {
        return;
    }
    leavingStartMs = report.startedAtMs;
    logEvent(LogLevel::Info, "engine_leaving", { { "started_at_ms", leavingStartMs }, { "running", report.running }, { "queued", report.queued } });
    sendStatus(true);
}

void Sidecar::Impl::sendOrder(const RolloutStep &step)
{
    orderInFlight = true;
    // The version serves as the fencing token: it never decreases, and no other process sends orders to this server.
    HttpCall call = options.engine.orderCall(options.settings.engineAddress, options.settings.name, model, step, step.version);
    call.timeout = EngineCallTimeout;
    http.send(std::move(call), [this, orderedModel = model, version = step.version, sequence = step.sequence](const HttpReply &reply) {
        orderInFlight = false;
        const OrderResult result = options.engine.decodeOrder(reply);
        logEvent(LogLevel::Info, "weights_ordered",
                 { { "model", orderedModel },
                   { "version", version },
                   { "sequence", sequence },
                   { "result", result },
                   { "status", reply.status },
                   { "instance", engineInstance },
                   { "running", report.running } });
        if (result == OrderResult::Misdirected) {
            // The server has restarted. If its reply does not name the new process, the next orders name no process either, and only
            // their sequence guards against a stale order until the platform's server list is read again.
            engineInstance = options.engine.decodeInstance(reply);
        }
        if (result != OrderResult::Misdirected) {
            noteLeaving(reply);
        }
        if (orderedModel == model) {
            rollout.onOrderResult(result, monotonicNow());
        }
        nextReportAt = 0;
    });
}

void Sidecar::Impl::onWeightsAnnounced(const std::string &announcedModel, std::uint64_t version, std::string_view source)
{
    std::uint64_t &newest = announcedVersions[announcedModel];
    if (version <= newest) {
        return;
    }
    if (announcedModel == model || model.empty()) {
        logEvent(LogLevel::Info, "weights_named", { { "model", announcedModel }, { "version", version }, { "before", newest }, { "source", source } });
    }
    newest = version;
    if (announcedModel == model) {
        computeWave(monotonicNow());
    }
}

void Sidecar::Impl::computeWave(Micros now)
{
    // A wave is only a share of the time, so a list that is seconds old is good enough.
    options.platform->call(
        staleListCall(options.objectCodec.upstreamKind), now, [this, rolledOut = model, version = announcedVersion()](const PlatformReply &reply, Micros at) {
            if (rolledOut != model) {
                return;
            }
            const auto isMember = [this](const UpstreamRecord &record) {
                const bool hasModel = record.model.empty() || record.model == model;
                return hasModel && record.service == options.settings.engineService && !record.draining;
            };
            std::vector<RolloutMember> members;
            for (const PlatformObject &object : reply.items) {
                if (const auto record = options.objectCodec.decodeUpstream(object); record && isMember(*record)) {
                    members.push_back({ .id = record->id, .zone = record->zone, .address = record->address });
                    if (record->address == options.settings.engineAddress) {
                        engineInstance = record->id;
                    }
                }
            }
            std::optional<std::uint32_t> wave = waveOf(members, options.settings.engineAddress);
            if (!wave) {
                // The server is not listed or the list is unavailable. A wave derived from the hash of the address spreads the orders too.
                wave = static_cast<std::uint32_t>(std::hash<std::string>{}(options.settings.engineAddress) % MaxWaves);
            }
            logEvent(LogLevel::Info, "weights_wave",
                     { { "model", model }, { "version", version }, { "wave", *wave }, { "members", members.size() }, { "error", reply.error } });
            if (options.onFleetSize && !members.empty()) {
                options.onFleetSize(static_cast<std::uint32_t>(members.size()));
            }
            rollout.setTarget(version, *wave, at);
            announceVersions();
        });
}

void Sidecar::Impl::adoptConfig(const Json::Value &spec, ConfigStamp stamp)
{
    const std::optional<GatewayConfig> config = options.objectCodec.decodeConfig(spec);
    if (!config) {
        logEvent(LogLevel::Error, "configuration_unreadable", { { "source", "peer" } });
        return;
    }
    std::string text = writeJson(spec);
    stamp.version = config->version;
    stamp.digest = configDigest(text);
    if (heldConfig.offer(stamp) != ConfigRelation::Newer) {
        return;
    }
    configText = std::move(text);
    logEvent(LogLevel::Info, "configuration_known",
             { { "version", stamp.version }, { "era", stamp.era }, { "era_certain", heldConfig.stamp().isEraCertain }, { "bytes", configText.size() } });
    announceVersions();
}

void Sidecar::Impl::announceVersions()
{
    for (const auto &[gateway, pendingPrefill] : std::map(gateways)) {
        endpoint.send(gateway, knownVersions());
    }
}

KnownVersions Sidecar::Impl::knownVersions() const
{
    return { .configuration = heldConfig.stamp().version,
             .model = model,
             .weights = announcedVersion(),
             .platformEra = options.platform->era(),
             .origin = originOf(heldConfig.stamp()) };
}

void Sidecar::Impl::onMessage(ConnectionId connection, Message message)
{
    if (const auto *const peer = std::get_if<KnownVersions>(&message)) {
        const Locality here{ .zone = options.settings.zone, .regionOfZone = options.settings.regionOfZone };
        options.platform->noteEra(peer->platformEra, monotonicNow());
        const ConfigStamp offer = stampOf(peer->configuration, peer->origin);
        const ConfigStamp before = heldConfig.stamp();
        if (compareConfigs(offer, before) == ConfigRelation::Same && heldConfig.offer(offer) == ConfigRelation::Same && heldConfig.stamp() != before) {
            announceVersions();
        }
        configPulls.addOffer(connection, offer, distanceBetween(here, gatewayPeers[connection].zone));
        if (peer->weights > 0 && !peer->model.empty()) {
            onWeightsAnnounced(peer->model, peer->weights, "peer");
        }
    } else if (const auto *const demand = std::get_if<PendingPrefill>(&message)) {
        if (const auto found = gateways.find(connection); found != gateways.end()) {
            found->second = demand->pendingPrefillTokens;
            sendStatus(false);
        }
    } else if (std::holds_alternative<ConfigPull>(message)) {
        endpoint.send(connection,
                      ConfigData{ .version = heldConfig.stamp().version, .digest = {}, .text = configText, .origin = originOf(heldConfig.stamp()) });
    } else if (auto *const limits = std::get_if<LimitReport>(&message)) {
        std::string gateway = limits->gateway;
        limitReports.insert_or_assign(std::move(gateway), std::pair(std::move(*limits), monotonicNow()));
    } else if (auto *const quotas = std::get_if<QuotaReport>(&message)) {
        quotaRelay.note(std::move(*quotas), monotonicNow());
    } else if (const auto *const evidence = std::get_if<CrashEvidence>(&message)) {
        const Micros now = monotonicNow();
        crashEvidence.merge(*evidence, now);
        crashEvidence.expire(now);
        if (const CrashEvidence news = crashEvidence.takeNews(now); !news.crashes.empty() || !news.sound.empty()) {
            // Also to the sender, which may not know of a sound run.
            for (const auto &[gateway, pendingPrefill] : std::map(gateways)) {
                endpoint.send(gateway, news);
            }
        }
    } else if (const auto *const data = std::get_if<ConfigData>(&message)) {
        if (const auto spec = parseJson(data->text)) {
            adoptConfig(*spec, stampOf(data->version, data->origin));
        } else {
            logEvent(LogLevel::Error, "configuration_unreadable", { { "source", "peer" }, { "version", data->version }, { "bytes", data->text.size() } });
        }
    }
}

void Sidecar::Impl::distributeLimitReports(Micros now)
{
    if (now < nextLimitReportsAt || limitReports.empty()) {
        return;
    }
    nextLimitReportsAt = now + LimitReportInterval;
    std::erase_if(limitReports, [now](const auto &entry) { return now - entry.second.second > LimitReportLifetime; });
    const LimitReports reports = currentLimitReports(now);
    for (const auto &[gateway, pendingPrefill] : std::map(gateways)) {
        endpoint.send(gateway, reports);
    }
}

void Sidecar::Impl::distributeQuotaSums(Micros now)
{
    if (now < nextQuotaSumsAt || quotaRelay.isEmpty()) {
        return;
    }
    nextQuotaSumsAt = now + QuotaReportInterval;
    quotaRelay.expire(now);
    // A copy, because sending closes a connection whose peer does not read.
    const std::map<ConnectionId, PeerInfo> receivers = gatewayPeers;
    for (const auto &[gateway, peer] : receivers) {
        endpoint.send(gateway, quotaRelay.sumsFor(peer.name, now));
    }
}

LimitReports Sidecar::Impl::currentLimitReports(Micros now) const
{
    LimitReports reports;
    for (const auto &[gateway, received] : limitReports) {
        reports.reports.push_back(received.first);
        reports.reports.back().age = now - received.second;
    }
    return reports;
}

EngineStatus Sidecar::Impl::engineStatus() const
{
    return { .queued = report.queued,
             .running = report.running,
             .usedTokens = report.usedTokens,
             .totalTokens = report.totalTokens,
             .weightsVersion = hasReport ? report.weightsVersion : 0,
             .closed = closed || !hasReport,
             .closing = closing,
             .changes = {},
             .gateways = static_cast<std::uint32_t>(gateways.size()),
             .pendingPrefillTokens = 0,
             .leavingStartMs = leavingStartMs };
}

void Sidecar::Impl::sendStatus(bool force)
{
    const Micros now = monotonicNow();
    EngineStatus status = engineStatus();
    std::uint64_t pendingPrefill = 0;
    for (const auto &[gateway, tokens] : gateways) {
        pendingPrefill += tokens;
    }
    const bool changed = !pendingChanges.empty() || pendingCacheReset || status.queued != lastStatus.queued || status.running != lastStatus.running
        || status.usedTokens != lastStatus.usedTokens || pendingPrefill != lastPendingPrefill || status.closed != lastStatus.closed
        || status.weightsVersion != lastStatus.weightsVersion;
    const bool moreDemand = pendingPrefill >= lastPendingPrefill + MinDemandIncreaseTokens;
    const StatusUrgency urgency = moreDemand ? StatusUrgency::Demand : changed ? StatusUrgency::Changed : StatusUrgency::Idle;
    const Micros interval = statusInterval(urgency, gateways.size());
    const bool urgent = force || status.closed != lastStatus.closed || status.weightsVersion != lastStatus.weightsVersion;
    if (gateways.empty() || (!urgent && now - lastStatusAt < interval)) {
        return;
    }
    lastStatusAt = now;
    lastStatus = status;
    lastPendingPrefill = pendingPrefill;
    status.cacheReset = std::exchange(pendingCacheReset, false);
    const std::size_t count = std::min(pendingChanges.size(), MaxChangesPerMessage);
    status.changes.assign(pendingChanges.begin(), pendingChanges.begin() + static_cast<std::ptrdiff_t>(count));
    pendingChanges.erase(pendingChanges.begin(), pendingChanges.begin() + static_cast<std::ptrdiff_t>(count));
    for (const auto &[gateway, tokens] : std::map(gateways)) {
        status.pendingPrefillTokens = pendingPrefill - tokens;
        endpoint.send(gateway, status);
    }
}

void Sidecar::Impl::sendSnapshot(ConnectionId connection)
{
    // First, because the gateway relates the weights version in a status to the model.
    endpoint.send(connection, knownVersions());
    EngineStatus message = engineStatus();
    message.cacheReset = true;
    for (const auto &[salt, part] : feed.cachedParts()) {
        message.changes.push_back({ .salt = salt, .part = part, .held = true });
        if (message.changes.size() >= MaxChangesPerMessage) {
            endpoint.send(connection, message);
            message.changes.clear();
            message.cacheReset = false;
        }
    }
    endpoint.send(connection, message);
    if (const CrashEvidence evidence = crashEvidence.all(monotonicNow()); !evidence.crashes.empty()) {
        endpoint.send(connection, evidence);
    }
    if (const LimitReports reports = currentLimitReports(monotonicNow()); !reports.reports.empty()) {
        endpoint.send(connection, reports);
    }
    if (const auto peer = gatewayPeers.find(connection); peer != gatewayPeers.end() && !quotaRelay.isEmpty()) {
        endpoint.send(connection, quotaRelay.sumsFor(peer->second.name, monotonicNow()));
    }
}

Sidecar::Sidecar(SidecarOptions options)
    : impl_(std::make_shared<Impl>(std::move(options)))
{
}

Sidecar::~Sidecar() = default;

std::error_code Sidecar::start()
{
    return impl_->start();
}

void Sidecar::beginShutdown()
{
    impl_->beginShutdown();
}

Json::Value Sidecar::dump() const
{
    Json::Value state(Json::objectValue);
    state["model"] = impl_->model;
    state["weights"] = Json::UInt64(impl_->report.weightsVersion);
    state["target"] = Json::UInt64(impl_->rollout.target());
    state["closed"] = impl_->closed;
    state["gateways"] = Json::UInt64(impl_->gateways.size());
    state["parts"] = Json::UInt64(impl_->feed.cachedParts().size());
    state["configuration"] = Json::UInt64(impl_->heldConfig.stamp().version);
    return state;
}

} // namespace Carobhall
