#include "gateway_impl.h"

#include <sodium.h>

#include <algorithm>
#include <unistd.h>

namespace Carobhall
{

namespace
{

/// Descriptors that the platform keeps for files. Of the others, callers get half; the rest is for upstreams, sidecars and the platform.
constexpr std::size_t FileDescriptors = 200;
constexpr std::size_t MinCallers = 32;
constexpr Micros TickInterval = 50 * MicrosPerMilli; ///< Interval of Impl::tick().
/// After a restore of the platform, the operator has this long to write again what was acknowledged. Then the platform's
/// configuration is authoritative, whatever was held before.
constexpr Micros ConfigRestoreGrace = 5 * MicrosPerSecond;
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

Gateway::Impl::Impl(GatewayOptions gatewayOptions)
    : options(std::move(gatewayOptions))
    , metrics(options.metrics != nullptr ? *options.metrics : ownMetrics)
    , random(drawIncarnation())
    , upstreams({ .zone = options.settings.zone, .regionOfZone = options.settings.regionOfZone }, random(), options.settings.weightsDeadline,
                options.settings.name)
    , pool({ .maySend = [this](const Upstream &upstream) { return upstreams.isUsable(upstream, monotonicNow()); } })
    , retries({ .ratio = options.settings.retryRatio, .allowance = options.settings.retryAllowance, .window = options.settings.retryWindow })
    , quotas({ .gateway = options.settings.name, .tolerance = options.settings.quotaTolerance })
    , responseBudget({ .memoryLimit = options.settings.memoryLimit })
    , receiveBudget({ .memoryLimit = options.settings.memoryLimit })
    , poisonRequests(random())
    , crashProbe([this](const Upstream &upstream) { noteCrashed(upstream.record, "refused", monotonicNow()); })
    , admission({ .grace = options.settings.stopGrace })
    , context({ .upstreams = &upstreams,
                .pool = &pool,
                .retries = &retries,
                .quotas = &quotas,
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
    , http({ .metrics = &metrics })
{
}

std::error_code Gateway::Impl::start()
{
    dropRequestBodies(readiness.get());
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
                quotas.setGatewayCount(count, monotonicNow());
                if (options.onFleetSize) {
                    options.onFleetSize(count);
                }
            },
        .onLimitReports = [this](const LimitReports &reports) { upstreams.limits().merge(reports, monotonicNow()); },
        .onQuotaSums = [this](std::string_view sidecar, const QuotaSums &sums) { quotas.merge(sidecar, sums, monotonicNow()); },
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
    shareQuotaDemand(now);
    poisonRequests.expire(now);
    crashProbe.expire(now);
    pool.expire(now);
    // Iterates over a copy, because a timeout removes the connection from `callers`.
    const std::vector<std::shared_ptr<CallerConnection>> all(callers.begin(), callers.end());
    for (const std::shared_ptr<CallerConnection> &caller : all) {
        caller->checkTimeouts(now);
    }
    checkReceiveBudget(now);
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

bool Gateway::Impl::makeRoomForCaller()
{
    const std::size_t most = (options.settings.maxDescriptors - std::min(options.settings.maxDescriptors, FileDescriptors)) / 2;
    if (callers.size() + closing.size() < std::max(MinCallers, most)) {
        wasFull = false;
        return true;
    }
    const std::vector<std::shared_ptr<CallerConnection>> all(callers.begin(), callers.end());
    std::vector<ReceiveState> states;
    states.reserve(all.size());
    for (const std::shared_ptr<CallerConnection> &caller : all) {
        states.push_back(caller->receiveState());
    }
    if (!std::exchange(wasFull, true)) {
        logEvent(LogLevel::Warning, "connections_full", { { "connections", callers.size() }, { "closing", closing.size() }, { "limit", most } });
    }
    const auto spared = connectionToClose(states);
    if (spared) {
        all[*spared]->closeForRoom();
        removeEnded();
    }
    return spared.has_value();
}

void Gateway::Impl::checkReceiveBudget(Micros now)
{
    std::vector<std::pair<Micros, std::shared_ptr<CallerConnection>>> held;
    for (const std::shared_ptr<CallerConnection> &caller : callers) {
        if (const ReceiveState state = caller->receiveState(); state.phase == ReceivePhase::Held) {
            held.emplace_back(state.since, caller);
        }
    }
    const bool isTight = !held.empty();
    // Those that have waited for longest come first.
    std::ranges::sort(held, {}, [](const auto &entry) { return entry.first; });
    for (const auto &[since, caller] : held) {
        caller->continueHeld();
    }
    if (isTight) {
        const std::vector<std::shared_ptr<CallerConnection>> all(callers.begin(), callers.end());
        std::vector<ReceiveState> states;
        states.reserve(all.size());
        for (const std::shared_ptr<CallerConnection> &caller : all) {
            states.push_back(caller->receiveState());
        }
        for (const std::size_t index : bodiesToRefuse(states, now)) {
            all[index]->refuseIncomplete();
        }
    }
    metrics.setGauge("carobhall_request_bytes_held", {}, static_cast<double>(receiveBudget.held()));
    if (isTight != std::exchange(wasReceiveTight, isTight)) {
        logEvent(LogLevel::Warning, isTight ? "receive_budget_tight" : "receive_budget_relieved",
                 { { "held_bytes", receiveBudget.held() }, { "limit_bytes", receiveBudget.limit() }, { "connections", callers.size() } });
    }
}

void Gateway::Impl::onAccept(int descriptor)
{
    if (!makeRoomForCaller()) {
        metrics.count("carobhall_connections_refused_total");
        close(descriptor);
        return;
    }
    const auto caller = std::make_shared<CallerConnection>(CallerConnectionOptions{
        .descriptor = descriptor,
        .limits = &callerLimits,
        .budget = &receiveBudget,
        .onRequest = [this](const std::shared_ptr<CallerConnection> &from, ReceivedRequest request) { onRequest(from, std::move(request)); },
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

void Gateway::Impl::onRequest(const std::shared_ptr<CallerConnection> &caller, ReceivedRequest request)
{
    const Micros now = monotonicNow();
    const auto exchange = std::make_shared<Exchange>(ExchangeOptions{ .context = &context,
                                                                      .routes = configUnconfirmedUntil == 0 ? routes : nullptr,
                                                                      .caller = caller,
                                                                      .head = std::move(request.head),
                                                                      .body = std::move(request.body),
                                                                      .grant = std::move(request.grant),
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
