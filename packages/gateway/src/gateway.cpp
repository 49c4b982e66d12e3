#include "carobhall/gateway.h"

#include "crash_evidence_store.h"
#include "crash_probe.h"
#include "exchange.h"
#include "sidecar_links.h"

#include <sodium.h>

#include <algorithm>
#include <unordered_set>

namespace Carobhall
{

namespace
{

/// Responses of the KV cache store may cross regions. A long delay collects more events into each of them.
constexpr Micros StorePollDelay = 200 * MicrosPerMilli;
constexpr Micros TickInterval = 50 * MicrosPerMilli; ///< Interval of Impl::tick().
/// After a restore of the platform, the operator has this long to write again what was acknowledged. Then the platform's
/// configuration is authoritative, whatever was held before.
constexpr Micros ConfigRestoreGrace = 5 * MicrosPerSecond;

/// How long a gateway that starts on a store that was restored waits for what its peers hold, and how many of them suffice.
constexpr Micros ConfigConfirmLimit = MicrosPerSecond;
constexpr unsigned ConfigConfirmingPeers = 3;
/// Era of a platform that was never restored.
constexpr std::uint64_t FirstEra = 1;
/// Interval at which newly blocked features are looked for. A restart of all processes within less of a crash is a rare accident.
constexpr Micros EvidenceSaveInterval = 250 * MicrosPerMilli;

/// Minimum time for which connections are accepted after SIGTERM. The platform routes connections to the process until two
/// readiness checks, a second apart, have failed; in a zone without other gateways even longer.
constexpr Micros AcceptTimeAfterStop = 3 * MicrosPerSecond;
/// Time reserved at the end of the grace period for ending the process.
constexpr Micros ExitTime = 150 * MicrosPerMilli;

} // namespace

FleetKeys installationKeys(const std::string &platformAddress)
{
    FleetKeys keys;
    FleetKeys::Entry entry{ .id = 1 };
    const std::string text = "carobhall " + platformAddress;
    crypto_generichash(entry.key.data(), entry.key.size(), reinterpret_cast<const unsigned char *>(text.data()), text.size(), nullptr, 0);
    keys.entries.push_back(entry);
    return keys;
}

struct Gateway::Impl {
    explicit Impl(GatewayOptions gatewayOptions);

    std::error_code start();
    void beginShutdown();
    void tick();
    void checkStop(Micros now);
    /// Counts the bytes of responses that are held, and lets exchanges read and forward as much as that allows.
    void checkResponseBudget();
    /// \p elapsed: time since the beginning of the shutdown.
    void endProcess(Micros elapsed);
    void onAccept(int descriptor);
    void onRequest(const std::shared_ptr<CallerConnection> &caller, RequestHead head, std::string body);
    void onCallerClosed(CallerConnection &caller, ConnectionEnd end);
    /// Logs and counts a response that the caller has not taken whole, if there is one.
    void reportCut(const CallerConnection &caller);
    /// Forgets the closed connections that have ended, and logs those whose callers did not get all bytes.
    void removeEnded();
    /// Logs the idle connections that were closed since the last call, in one line.
    void reportIdleCloses(Micros now);
    /// Takes \p spec into use if it is newer than what is held. \p stamp: what the source tells of it; the version is that of the spec.
    void adoptConfig(const Json::Value &spec, ConfigStamp stamp, std::string_view source);
    void onConfigObject(const PlatformObject &object, bool isSettled);
    void onPeerConfig(const ConfigData &data);
    /// Uses the first configuration once peers have confirmed it, or after a limit.
    void confirmConfig(Micros now);
    void subscribeToCacheStore();
    void onUpstream(const PlatformObject &object, Micros now);
    /// The list shows a process of upstream \p id that started at \p startedAtMs, or nothing more of \p id. Reports a crash of the known one if
    /// that follows.
    void noteIfCrashed(const std::string &id, std::optional<std::int64_t> startedAtMs, Micros now);
    void noteCrashed(const UpstreamRecord &record, std::string_view evidence, Micros now);
    /// Sends what this gateway has learned of requests that crash upstreams to the others.
    void shareCrashEvidence(Micros now);
    /// Removes the features that had sound runs from the platform's store.
    void removeDisproved(const CrashEvidence &evidence, Micros now);
    [[nodiscard]] bool isReady() const;
    static void onReadiness(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self);

    GatewayOptions options;
    Metrics ownMetrics;
    Metrics &metrics;
    std::mt19937_64 random;
    UpstreamTable upstreams;
    UpstreamPool pool;
    RetryBudget retries;
    ResponseBudget responseBudget;
    bool wasBudgetTight = false;
    PoisonRequestDetector poisonRequests;
    CrashProbe crashProbe;
    ShutdownAdmission admission;
    ExchangeContext context;
    std::shared_ptr<const RouteTable> routes;
    CallerLimitHistory callerLimits;
    HeldConfig heldConfig; ///< Stamp of `routes`.
    /// `routes` may be the older copy of a restored store and are not used until then; 0: they are used.
    Micros configUnconfirmedUntil = 0;
    unsigned configConfirmations = 0; ///< Offers of peers that were not newer than `routes`.
    ChannelListener listener;
    ObjectRef<SoupServer> readiness;
    std::unique_ptr<AdminListener> admin;
    std::unordered_set<std::shared_ptr<CallerConnection>> callers;
    std::unordered_set<std::shared_ptr<CallerConnection>> closing; ///< Closed connections whose last bytes are in transit.
    std::unordered_set<std::shared_ptr<Exchange>> exchanges;
    std::unique_ptr<ObjectWatcher> configWatcher;
    std::unique_ptr<ObjectWatcher> upstreamWatcher;
    std::unique_ptr<SidecarLinks> links;
    std::unique_ptr<CrashEvidenceStore> crashEvidenceStore;
    Micros nextEvidenceSaveAt = 0;
    HttpClient http;
    std::unique_ptr<CacheFeed> cacheStoreFeed;
    std::string cacheStoreAddress;
    Timer ticker;
    Micros nextLimitReportAt = 0;
    std::uint64_t idleCloses = 0; ///< Since the last line about them.
    std::uint64_t stopCloses = 0;
    Micros stoppingSince = 0;
    bool listenerStopped = false;
    bool stopped = false; ///< All connections were closed; their last bytes may be in transit.
    bool ended = false;   ///< onStopped was called.
    bool platformReachable = true;
    bool wasReady = false;
};

Gateway::Impl::Impl(GatewayOptions gatewayOptions)
    : options(std::move(gatewayOptions))
    , metrics(options.metrics != nullptr ? *options.metrics : ownMetrics)
    , random(drawIncarnation())
    , upstreams({ .zone = options.settings.zone, .regionOfZone = options.settings.regionOfZone }, random(), options.settings.weightsDeadline,
                options.settings.name)
    , pool({ .maySend = [this](const Upstream &upstream) { return upstreams.isUsable(upstream, monotonicNow()); } })
    , retries({ .ratio = options.settings.retryRatio, .allowance = options.settings.retryAllowance, .window = options.settings.retryWindow })
    , responseBudget({ .memoryLimit = options.settings.memoryLimit })
    , poisonRequests(random())
    , crashProbe([this](const Upstream &upstream) { noteCrashed(upstream.record, "refused", monotonicNow()); })
    , admission({ .grace = options.settings.stopGrace })
    , context({ .upstreams = &upstreams,
                .pool = &pool,
                .retries = &retries,
                .responseBudget = &responseBudget,
                .poisonRequests = &poisonRequests,
                .metrics = &metrics,
                .codec = &options.codec,
                .onPrefillQueued = [this](Upstream &engine) { links->reportPendingPrefill(engine); },
                .onConnectionLost = [this](const UpstreamRef &upstream) { crashProbe.start(upstream, monotonicNow()); },
                .currentRoutes = [this] { return routes; },
                .admission = &admission,
                .random = &random })
    , listener([this](int descriptor) { onAccept(descriptor); })
    , readiness(soup_server_new("server-header", "carobhall", nullptr))
    , http({})
{
}

std::error_code Gateway::Impl::start()
{
    soup_server_add_handler(readiness.get(), nullptr, &Impl::onReadiness, this, nullptr);
    std::uint16_t port = 0;
    if (const std::error_code error = listenHttp(readiness.get(), options.settings.readinessAddress, port)) {
        return error;
    }
    if (const std::error_code error = listener.listen(options.settings.callerAddress)) {
        return error;
    }
    if (options.settings.metricsPort != 0) {
        admin = std::make_unique<AdminListener>(AdminListener::Options{
            .metrics = [this] { return metrics.prometheusText(); }, .dump = [] { return Json::Value(); }, .ready = [this] { return isReady(); } });
        if (const std::error_code error = admin->listen(options.settings.ip + ":" + std::to_string(options.settings.metricsPort))) {
            // Metrics are optional: the gateway runs without them.
            logEvent(LogLevel::Warning, "metrics_unavailable", { { "port", options.settings.metricsPort }, { "error", error } });
            admin.reset();
        }
    }
    configWatcher = std::make_unique<ObjectWatcher>(
        *options.platform,
        WatcherOptions{ .kind = options.objectCodec.configKind,
                        .name = options.objectCodec.configName,
                        .restoreGrace = ConfigRestoreGrace,
                        .onObject = [this](const PlatformObject &object, Micros) { onConfigObject(object, false); },
                        .onSettled = [this](const PlatformObject &object, Micros) { onConfigObject(object, true); } });
    options.platform->onRestored([this](Micros) { links->announceVersions(); });
    upstreamWatcher = std::make_unique<ObjectWatcher>(
        *options.platform,
        WatcherOptions{ .kind = options.objectCodec.upstreamKind,
                        .name = {},
                        .onObject = [this](const PlatformObject &object, Micros now) { onUpstream(object, now); },
                        .onDeleted =
                            [this](const std::string &name, Micros now) {
                                logEvent(LogLevel::Info, "upstream_gone", { { "upstream", name } });
                                noteIfCrashed(name, std::nullopt, now);
                                upstreams.remove(name, now);
                            },
                        .onLost =
                            [this](const std::string &name, Micros now) {
                                logEvent(LogLevel::Info, "upstream_gone", { { "upstream", name }, { "lost", true } });
                                upstreams.remove(name, now);
                            },
                        .onUnchanged =
                            [this](const PlatformObject &object, Micros) {
                                if (const auto record = options.objectCodec.decodeUpstream(object)) {
                                    upstreams.noteUnchanged(*record);
                                }
                            } });
    links = std::make_unique<SidecarLinks>(SidecarLinksOptions{
        .keys = installationKeys(options.settings.platformAddress),
        .self = { .name = options.settings.name,
                  .zone = options.settings.zone,
                  .incarnation = drawIncarnation(),
                  .kind = static_cast<std::uint8_t>(ProcessKind::Entry) },
        .port = options.settings.peerPort,
        .upstreams = &upstreams,
        .configuration = [this] { return heldConfig.stamp(); },
        .configurationText = [this] { return routes ? routes->config().text : std::string(); },
        // While the configuration is unconfirmed, a newer one of a peer is requested at once.
        .platformAvailable = [this] { return options.platform->available() && configUnconfirmedUntil == 0; },
        .platformEra = [this] { return options.platform->era(); },
        .onPlatformEra = [this](std::uint64_t era) { options.platform->noteEra(era, monotonicNow()); },
        .onConfigurationOffer =
            [this](const ConfigStamp &stamp) {
                const ConfigRelation relation = compareConfigs(stamp, heldConfig.stamp());
                configConfirmations += relation != ConfigRelation::Newer && stamp.version != 0 ? 1 : 0;
                if (relation == ConfigRelation::Same) {
                    heldConfig.offer(stamp);
                }
            },
        .onConfiguration = [this](const ConfigData &data) { onPeerConfig(data); },
        .onGatewayCount =
            [this](std::uint32_t count) {
                retries.setGatewayCount(count);
                poisonRequests.setGatewayCount(count);
                upstreams.limits().setGatewayCount(count, monotonicNow());
                if (options.onFleetSize) {
                    options.onFleetSize(count);
                }
            },
        .onLimitReports = [this](const LimitReports &reports) { upstreams.limits().merge(reports, monotonicNow()); },
        .crashEvidence = [this] { return poisonRequests.all(monotonicNow()); },
        .onCrashEvidence =
            [this](const CrashEvidence &evidence) {
                const Micros now = monotonicNow();
                poisonRequests.merge(evidence, now);
                removeDisproved(evidence, now);
            },
    });
    crashEvidenceStore = std::make_unique<CrashEvidenceStore>(CrashEvidenceStoreOptions{
        .platform = options.platform,
        .codec = &options.objectCodec,
        .onEvidence = [this](const CrashEvidence &evidence) { poisonRequests.merge(evidence, monotonicNow()); },
    });
    ticker.startRepeating(TickInterval, [this] { tick(); });
    tick();
    logEvent(LogLevel::Info, "started", { { "callers", options.settings.callerAddress }, { "zone", options.settings.zone } });
    return {};
}

void Gateway::Impl::tick()
{
    const Micros now = monotonicNow();
    options.platform->tick(now);
    configWatcher->tick(now);
    upstreamWatcher->tick(now);
    links->tick(routes.get(), now);
    confirmConfig(now);
    if (options.onFleetSize && links->openCount() == 0) {
        // Without a link, nobody passes on configurations.
        options.onFleetSize(1);
    }
    if (cacheStoreFeed) {
        cacheStoreFeed->tick(now);
    }
    shareCrashEvidence(now);
    crashEvidenceStore->tick(links->openCount() > 0, now);
    if (!poisonRequests.isEmpty() && now >= nextEvidenceSaveAt) {
        nextEvidenceSaveAt = now + EvidenceSaveInterval;
        for (const RequestFeature feature : poisonRequests.ownBlockedFeatures()) {
            crashEvidenceStore->save(feature, poisonRequests.evidenceOf(feature, now));
        }
    }
    if (now >= nextLimitReportAt) {
        nextLimitReportAt = now + LimitReportInterval;
        if (const LimitReport report = upstreams.limits().report(now); !report.entries.empty()) {
            links->broadcast(report);
        }
    }
    poisonRequests.expire(now);
    crashProbe.expire(now);
    pool.expire(now);
    // Iterates over a copy, because a timeout removes the connection from `callers`.
    const std::vector<std::shared_ptr<CallerConnection>> all(callers.begin(), callers.end());
    for (const std::shared_ptr<CallerConnection> &caller : all) {
        caller->checkTimeouts(now);
    }
    removeEnded();
    checkResponseBudget();
    reportIdleCloses(now);
    if (const bool reachable = options.platform->available(); reachable != platformReachable) {
        platformReachable = reachable;
        logEvent(LogLevel::Warning, reachable ? "platform_regained" : "platform_lost", { { "address", options.settings.platformAddress } });
    }
    if (const bool ready = isReady(); ready != wasReady) {
        wasReady = ready;
        logEvent(LogLevel::Info, "readiness",
                 { { "ready", ready }, { "config", routes ? routes->config().version : 0 }, { "upstreams", upstreams.readyCount({}) } });
    }
    checkStop(now);
}

void Gateway::Impl::checkResponseBudget()
{
    std::size_t held = 0;
    for (const auto *const connections : { &callers, &closing }) {
        for (const std::shared_ptr<CallerConnection> &caller : *connections) {
            held += caller->unsentBytes();
        }
    }
    for (const std::shared_ptr<Exchange> &exchange : exchanges) {
        held += exchange->heldBytes();
    }
    // Before the count, what was received since the last one is included, so that a short peak is reported too.
    const bool peaked = responseBudget.isTight();
    responseBudget.setHeld(held);
    metrics.setGauge("carobhall_response_bytes_held", {}, static_cast<double>(held));
    if (const bool tight = peaked || responseBudget.isTight(); tight != wasBudgetTight) {
        wasBudgetTight = tight;
        logEvent(LogLevel::Warning, tight ? "response_budget_tight" : "response_budget_relieved",
                 { { "held_bytes", held }, { "limit_bytes", responseBudget.highWatermark() }, { "requests", exchanges.size() } });
    }
    const std::vector<std::shared_ptr<Exchange>> all(exchanges.begin(), exchanges.end());
    for (const std::shared_ptr<Exchange> &exchange : all) {
        exchange->checkBudget();
    }
}

bool Gateway::Impl::isReady() const
{
    return stoppingSince == 0 && routes && configUnconfirmedUntil == 0 && upstreams.readyCount({}) > 0;
}

void Gateway::Impl::beginShutdown()
{
    if (stoppingSince != 0) {
        return;
    }
    stoppingSince = monotonicNow();
    admission.begin(stoppingSince);
    logEvent(LogLevel::Info, "stopping", { { "requests", exchanges.size() }, { "connections", callers.size() } });
    for (const std::shared_ptr<CallerConnection> &caller : callers) {
        caller->beginShutdown();
    }
}

void Gateway::Impl::checkStop(Micros now)
{
    if (stoppingSince == 0 || ended) {
        return;
    }
    const Micros elapsed = now - stoppingSince;
    const auto isBusy = [](const auto &caller) { return caller->isBusy(); };
    const bool inTransit = std::ranges::any_of(closing, isBusy);
    if (stopped) {
        if (!inTransit || elapsed > options.settings.stopGrace - ExitTime) {
            endProcess(elapsed);
        }
        return;
    }
    const bool graceExpiring = admission.isCutDue(now);
    if (elapsed < AcceptTimeAfterStop || (!exchanges.empty() && !graceExpiring)) {
        return;
    }
    const bool isIdle = !inTransit && std::ranges::none_of(callers, isBusy);
    if (!isIdle && !graceExpiring) {
        return;
    }
    if (!std::exchange(listenerStopped, true)) {
        // A busy process may not have accepted all connections, or read their requests, by now. They are handled before it stops.
        listener.acceptPending();
        listener.stop();
        if (!graceExpiring) {
            return;
        }
    }
    stopped = true;
    admission.end();
    // Each request that has arrived is answered or refused; a started stream is truncated. From now on new requests are refused.
    const std::vector<std::shared_ptr<CallerConnection>> all(callers.begin(), callers.end());
    for (const std::shared_ptr<CallerConnection> &caller : all) {
        caller->readWaiting();
    }
    const std::vector<std::shared_ptr<Exchange>> unfinished(exchanges.begin(), exchanges.end());
    for (const std::shared_ptr<Exchange> &exchange : unfinished) {
        exchange->abortForShutdown();
    }
    for (const std::shared_ptr<CallerConnection> &caller : all) {
        caller->endForShutdown();
    }
    logEvent(LogLevel::Info, "stopped",
             { { "requests_cut", unfinished.size() }, { "idle_connections_closed", stopCloses }, { "after_ms", elapsed / MicrosPerMilli } });
    // The following ticks wait until the last bytes of the closed connections have been taken.
}

void Gateway::Impl::endProcess(Micros elapsed)
{
    ended = true;
    std::size_t inTransit = 0;
    std::size_t undelivered = 0;
    for (const std::shared_ptr<CallerConnection> &caller : closing) {
        if (caller->isBusy()) {
            ++inTransit;
            undelivered += caller->undeliveredBytes();
            reportCut(*caller);
        }
    }
    logEvent(LogLevel::Info, "ended",
             { { "responses_in_transit", inTransit }, { "undelivered_bytes", undelivered }, { "after_ms", elapsed / MicrosPerMilli } });
    options.onStopped();
}

void Gateway::Impl::onAccept(int descriptor)
{
    const auto caller = std::make_shared<CallerConnection>(CallerConnectionOptions{
        .descriptor = descriptor,
        .limits = &callerLimits,
        .onRequest = [this](const std::shared_ptr<CallerConnection> &from, RequestHead head,
                            std::string body) { onRequest(from, std::move(head), std::move(body)); },
        .onRejected =
            [this](CallerConnection &, std::string_view reason) {
                metrics.count("carobhall_rejected_messages_total", "reason=\"" + std::string(reason) + "\"");
                logEvent(LogLevel::Info, "message_rejected", { { "reason", reason } });
            },
        .onClosed = [this](CallerConnection &closed, ConnectionEnd end) { onCallerClosed(closed, end); },
    });
    callers.insert(caller);
    if (stoppingSince != 0) {
        caller->beginShutdown();
    }
    caller->open(monotonicNow());
}

void Gateway::Impl::onRequest(const std::shared_ptr<CallerConnection> &caller, RequestHead head, std::string body)
{
    const Micros now = monotonicNow();
    const auto exchange = std::make_shared<Exchange>(ExchangeOptions{ .context = &context,
                                                                      .routes = configUnconfirmedUntil == 0 ? routes : nullptr,
                                                                      .caller = caller,
                                                                      .head = std::move(head),
                                                                      .body = std::move(body),
                                                                      .onFinished = [this](Exchange &done) { exchanges.erase(done.shared_from_this()); } });
    exchanges.insert(exchange);
    exchange->begin(now);
}

void Gateway::Impl::reportIdleCloses(Micros now)
{
    if (idleCloses > 0) {
        logEvent(
            LogLevel::Info, "connections_closed",
            { { "reason", ConnectionEnd::Idle }, { "count", std::exchange(idleCloses, 0) }, { "limit_ms", callerLimits.idleTimeout(now) / MicrosPerMilli } });
    }
}

void Gateway::Impl::reportCut(const CallerConnection &caller)
{
    if (const std::size_t undelivered = caller.undeliveredBytes(); undelivered > 0) {
        metrics.count("carobhall_responses_cut_total", "reason=\"" + std::string(nameOf(caller.end())) + "\"");
        logEvent(LogLevel::Info, "response_cut", { { "reason", caller.end() }, { "undelivered_bytes", undelivered } });
    }
}

void Gateway::Impl::removeEnded()
{
    std::erase_if(closing, [this](const std::shared_ptr<CallerConnection> &caller) {
        if (!caller->isEnded()) {
            return false;
        }
        reportCut(*caller);
        return true;
    });
}

void Gateway::Impl::onCallerClosed(CallerConnection &caller, ConnectionEnd end)
{
    metrics.count("carobhall_connections_closed_total", "reason=\"" + std::string(nameOf(end)) + "\"");
    idleCloses += end == ConnectionEnd::Idle ? 1 : 0;
    stopCloses += end == ConnectionEnd::Stop ? 1 : 0;
    closing.insert(caller.shared_from_this());
    callers.erase(caller.shared_from_this());
    if (end != ConnectionEnd::CallerLeft && end != ConnectionEnd::Stalled) {
        // The exchange has ended the connection with its response.
        return;
    }
    std::vector<std::shared_ptr<Exchange>> affected;
    for (const std::shared_ptr<Exchange> &exchange : exchanges) {
        if (exchange->caller() == &caller) {
            affected.push_back(exchange);
        }
    }
    for (const std::shared_ptr<Exchange> &exchange : affected) {
        exchange->onCallerDisconnected();
    }
}

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

void Gateway::Impl::onReadiness(SoupServer * /*server*/, SoupServerMessage *message, const char *path, GHashTable * /*query*/, gpointer self)
{
    const auto &impl = *static_cast<Impl *>(self);
    const bool known = impl.options.objectCodec.readinessPath == path;
    const SoupStatus status = !known ? SOUP_STATUS_NOT_FOUND : impl.isReady() ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE;
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "text/plain", SOUP_MEMORY_STATIC, "", 0);
}

Gateway::Gateway(GatewayOptions options)
    : impl_(std::make_shared<Impl>(std::move(options)))
{
}

Gateway::~Gateway() = default;

std::error_code Gateway::start()
{
    return impl_->start();
}

void Gateway::beginShutdown()
{
    impl_->beginShutdown();
}

Json::Value Gateway::dump() const
{
    Json::Value state(Json::objectValue);
    state["requests"] = Json::UInt64(impl_->exchanges.size());
    state["connections"] = Json::UInt64(impl_->callers.size());
    state["idle_upstream_connections"] = Json::UInt64(impl_->pool.idleCount());
    state["prompt_parts"] = Json::UInt64(impl_->upstreams.cacheIndex().size());
    for (const auto &[id, upstream] : impl_->upstreams.byId()) {
        Json::Value &entry = state["upstreams"][id];
        entry["service"] = upstream->record.service;
        entry["present"] = upstream->present;
        entry["draining"] = upstream->record.draining;
        entry["leaving"] = impl_->upstreams.isShuttingDown(*upstream);
        entry["in_flight"] = upstream->inFlight;
        entry["model"] = upstream->model();
        entry["weights"] = Json::UInt64(upstream->weightsVersion());
        entry["closed"] = upstream->load.closed;
        entry["failure_share"] = upstream->failureShare;
    }
    return state;
}

} // namespace Carobhall
