#include "carobhall/sidecar.h"

#include "carobhall/config_pull_scheduler.h"
#include "carobhall/suspects.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Carobhall
{

namespace
{

constexpr Micros TickInterval = 50 * MicrosPerMilli;
constexpr Micros ReportInterval = 150 * MicrosPerMilli; ///< A report is free on the server's own machine, but costs processor time.
constexpr Micros NewsInterval = 120 * MicrosPerMilli;   ///< When the load has changed; it is that old at a gateway at most.
/// When prompts are waiting that gateways do not know of yet. Gateways decide by the same news, and would all choose the server
/// that was idle last.
constexpr Micros DemandNewsInterval = 20 * MicrosPerMilli;
constexpr std::uint64_t LeastDemandNews = 2'000;     ///< Tokens; an engine reads them in 50 ms.
constexpr Micros IdleNewsInterval = MicrosPerSecond; ///< Also tells gateways that the connection is alive.
/// Several gateways offer a configuration within this time, and the nearest is asked.
constexpr Micros ConfigPatience = 100 * MicrosPerMilli;
constexpr Micros EngineCallTimeout = 800 * MicrosPerMilli;
constexpr std::size_t MaxChangesPerMessage = 500; ///< About 20 KB.

} // namespace

struct Sidecar::Impl {
    explicit Impl(SidecarOptions sidecarOptions);

    std::error_code start();
    void beginShutdown();
    void tick();
    void readReport();
    void onReport(const HttpReply &reply);
    void giveOrder(const RolloutStep &step);
    void onWeights(const std::string &model, std::uint64_t version, std::string_view source);
    void findWave(std::uint64_t version, Micros now);
    void adoptConfig(const Json::Value &spec);
    void onMessage(ConnectionId connection, Message message);
    void sendNews(bool force);
    void sendSnapshot(ConnectionId connection);
    [[nodiscard]] KnownVersions known() const;
    [[nodiscard]] EngineStatus news() const;

    SidecarOptions options;
    HttpClient http;
    Endpoint endpoint;
    std::map<ConnectionId, std::uint64_t> gateways; ///< With the tokens that each waits for.
    std::map<ConnectionId, std::string> zoneOf;
    ConfigPullScheduler pulls;
    std::unique_ptr<ObjectWatcher> weightsWatcher;
    WeightsRollout rollout;
    EngineReport report;
    bool reportKnown = false;
    bool reporting = false;
    bool ordering = false;
    bool closed = false;
    bool closing = false;
    Micros nextReport = 0;
    Micros lastNews = 0;
    EngineStatus lastSent;
    std::uint64_t lastUnread = 0; ///< Tokens that all gateways waited for when lastSent was sent.
    CacheFeed feed;
    std::vector<CacheChange> pending;
    bool pendingReset = false;
    std::string model;
    std::string knownInstance;   ///< Of the server's process, from the platform's list or the server's own answers.
    std::uint64_t requested = 0; ///< Newest version that was named; the rollout learns it with its wave.
    std::uint64_t configVersion = 0;
    std::string configText;
    Suspects suspects; ///< Requests that crash upstreams, passed on between gateways.
    Timer ticker;
    Timer stopTimer;
};

Sidecar::Impl::Impl(SidecarOptions sidecarOptions)
    : options(std::move(sidecarOptions))
    , http({})
    , endpoint({ .context = nullptr,
                 .keys = installationKeys(options.settings.platformAddress),
                 .self = { .name = options.settings.name,
                           .zone = options.settings.zone,
                           .incarnation = drawIncarnation(),
                           .kind = static_cast<std::uint8_t>(ProcessKind::Agent) },
                 .onOpen =
                     [this](ConnectionId connection, const PeerInfo &peer) {
                         gateways[connection] = 0;
                         zoneOf[connection] = peer.zone;
                         logEvent(LogLevel::Info, "gateway_connected", { { "peer", peer.name }, { "gateways", gateways.size() } });
                         sendSnapshot(connection);
                     },
                 .onMessage = [this](ConnectionId connection, Message message) { onMessage(connection, std::move(message)); },
                 .onClosed =
                     [this](ConnectionId connection, std::error_code error) {
                         pulls.removePeer(connection);
                         zoneOf.erase(connection);
                         if (gateways.erase(connection) > 0) {
                             logEvent(LogLevel::Info, "gateway_lost", { { "error", error }, { "gateways", gateways.size() } });
                         }
                     } })
    , feed({ .http = &http,
             .codec = options.engine.feed,
             .address = options.settings.engineAddress,
             .onChange = [this](const CacheChange &change) { pending.push_back(change); },
             .onReset =
                 [this] {
                     pending.clear();
                     pendingReset = true;
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
                                              if (const auto named = options.objectCodec.decodeWeights(object)) {
                                                  onWeights(named->first, named->second, "platform");
                                              } else {
                                                  logEvent(LogLevel::Warning, "weights_unreadable", { { "name", object.name } });
                                              }
                                          } });
    ticker.startRepeating(TickInterval, [this] { tick(); });
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
    if (const auto peer = pulls.nextPeer(configVersion, ConfigPatience, now)) {
        endpoint.send(*peer, ConfigPull{ .heldVersion = configVersion });
    }
    if (!reporting && now >= nextReport) {
        readReport();
    }
    feed.tick(now);
    if (reportKnown && !ordering) {
        report.instance = knownInstance;
        const RolloutStep step = rollout.step(report, now);
        if (step.closed != closed || step.closing != closing) {
            closed = step.closed;
            closing = step.closing;
            logEvent(LogLevel::Info,
                     closed        ? "engine_closed"
                         : closing ? "engine_closing"
                                   : "engine_opened",
                     { { "weights", report.weightsVersion }, { "target", rollout.target() }, { "running", report.running }, { "queued", report.queued } });
            sendNews(true);
        }
        if (step.order) {
            giveOrder(step);
        }
    }
    sendNews(false);
}

void Sidecar::Impl::readReport()
{
    reporting = true;
    HttpCall call = options.engine.reportCall(options.settings.engineAddress);
    call.timeout = EngineCallTimeout;
    http.send(std::move(call), [this](const HttpReply &reply) { onReport(reply); });
}

void Sidecar::Impl::onReport(const HttpReply &reply)
{
    reporting = false;
    nextReport = monotonicNow() + ReportInterval;
    const std::optional<EngineReport> read = options.engine.decodeReport(reply);
    if (!read) {
        if (reportKnown) {
            logEvent(LogLevel::Warning, "engine_lost", { { "error", reply.error }, { "status", reply.status } });
        }
        reportKnown = false;
        return;
    }
    if (!reportKnown) {
        logEvent(LogLevel::Info, "engine_found", { { "weights", read->weightsVersion }, { "sequence", read->sequence }, { "model", read->model } });
    }
    if (reportKnown && read->weightsVersion != report.weightsVersion) {
        logEvent(LogLevel::Info, "engine_weights",
                 { { "weights", read->weightsVersion }, { "before", report.weightsVersion }, { "target", rollout.target() } });
        // New weights empty the cache.
        feed.clear();
    }
    reportKnown = true;
    report = *read;

    if (!read->model.empty()) {
        model = read->model;
    }
}

void Sidecar::Impl::giveOrder(const RolloutStep &step)
{
    ordering = true;
    // The version itself is the fencing token: it never decreases, and the server has no other holder.
    HttpCall call = options.engine.orderCall(options.settings.engineAddress, options.settings.name, model, step, step.version);
    call.timeout = EngineCallTimeout;
    http.send(std::move(call), [this, version = step.version, sequence = step.sequence](const HttpReply &reply) {
        ordering = false;
        const OrderResult result = options.engine.decodeOrder(reply);
        logEvent(LogLevel::Info, "weights_ordered",
                 { { "version", version },
                   { "sequence", sequence },
                   { "result", result },
                   { "status", reply.status },
                   { "instance", knownInstance },
                   { "running", report.running } });
        if (result == OrderResult::Misdirected) {
            // The server has restarted. If its answer does not name the new process, the next order names none and is held back
            // by the count of orders alone until the platform's list is read again.
            knownInstance = options.engine.decodeInstance(reply);
        }
        rollout.ordered(result, monotonicNow());
        nextReport = 0;
    });
}

void Sidecar::Impl::onWeights(const std::string &named, std::uint64_t version, std::string_view source)
{
    if (version <= std::max(rollout.target(), requested) || (!model.empty() && named != model)) {
        return;
    }
    logEvent(LogLevel::Info, "weights_named", { { "model", named }, { "version", version }, { "before", rollout.target() }, { "source", source } });
    if (model.empty()) {
        model = named;
    }
    requested = version;
    findWave(version, monotonicNow());
}

void Sidecar::Impl::findWave(std::uint64_t version, Micros now)
{
    options.platform->call(listCall(options.objectCodec.upstreamKind), now, [this, version](const PlatformReply &reply, Micros at) {
        std::vector<RolloutMember> members;
        for (const PlatformObject &object : reply.items) {
            if (const auto record = options.objectCodec.decodeUpstream(object);
                record && record->service == options.settings.engineService && !record->draining) {
                members.push_back({ .id = record->id, .zone = record->zone, .address = record->address });
                if (record->address == options.settings.engineAddress) {
                    knownInstance = record->id;
                }
            }
        }
        std::optional<std::uint32_t> wave = waveOf(members, options.settings.engineAddress);
        if (!wave) {
            // Without a list the waves cannot be computed; a wave drawn from the address spreads the orders too.
            wave = static_cast<std::uint32_t>(std::hash<std::string>{}(options.settings.engineAddress) % MaxWaves);
        }
        logEvent(LogLevel::Info, "weights_wave", { { "version", version }, { "wave", *wave }, { "members", members.size() }, { "error", reply.error } });
        rollout.setTarget(version, *wave, at);
        for (const auto &[gateway, unread] : gateways) {
            endpoint.send(gateway, known());
        }
    });
}

void Sidecar::Impl::adoptConfig(const Json::Value &spec)
{
    const std::optional<GatewayConfig> config = options.objectCodec.decodeConfig(spec);
    if (!config) {
        logEvent(LogLevel::Error, "configuration_unreadable", { { "source", "peer" } });
        return;
    }
    if (config->version <= configVersion) {
        return;
    }
    configVersion = config->version;
    configText = writeJson(spec);
    logEvent(LogLevel::Info, "configuration_known", { { "version", configVersion }, { "bytes", configText.size() } });
    for (const auto &[gateway, unread] : gateways) {
        endpoint.send(gateway, known());
    }
}

KnownVersions Sidecar::Impl::known() const
{
    return { .configuration = configVersion, .model = model, .weights = std::max(requested, rollout.target()) };
}

void Sidecar::Impl::onMessage(ConnectionId connection, Message message)
{
    if (const auto *const peer = std::get_if<KnownVersions>(&message)) {
        const Locality here{ .zone = options.settings.zone, .regionOfZone = options.settings.regionOfZone };
        pulls.addOffer(connection, peer->configuration, distanceBetween(here, zoneOf[connection]));
        if (peer->weights > rollout.target() && !peer->model.empty()) {
            onWeights(peer->model, peer->weights, "peer");
        }
    } else if (const auto *const demand = std::get_if<PendingPrefill>(&message)) {
        if (const auto found = gateways.find(connection); found != gateways.end()) {
            found->second = demand->pendingPrefillTokens;
            sendNews(false);
        }
    } else if (std::holds_alternative<ConfigPull>(message)) {
        endpoint.send(connection, ConfigData{ .version = configVersion, .digest = {}, .text = configText });
    } else if (const auto *const news = std::get_if<SuspectUpdate>(&message)) {
        const Micros now = monotonicNow();
        for (const SuspectFact &fact : news->facts) {
            suspects.merge(fact, now);
        }
        suspects.expire(now);
        if (const SuspectUpdate changed{ .facts = suspects.takeChanged(now) }; !changed.facts.empty()) {
            for (const auto &[gateway, unread] : gateways) {
                if (gateway != connection) {
                    endpoint.send(gateway, changed);
                }
            }
        }
    } else if (const auto *const data = std::get_if<ConfigData>(&message)) {
        if (const auto spec = parseJson(data->text)) {
            adoptConfig(*spec);
        } else {
            logEvent(LogLevel::Error, "configuration_unreadable", { { "source", "peer" }, { "version", data->version }, { "bytes", data->text.size() } });
        }
    }
}

EngineStatus Sidecar::Impl::news() const
{
    return { .queued = report.queued,
             .running = report.running,
             .usedTokens = report.usedTokens,
             .totalTokens = report.totalTokens,
             .weightsVersion = reportKnown ? report.weightsVersion : 0,
             .closed = closed || !reportKnown,
             .closing = closing,
             .changes = {},
             .gateways = static_cast<std::uint32_t>(gateways.size()),
             .pendingPrefillTokens = 0 };
}

void Sidecar::Impl::sendNews(bool force)
{
    const Micros now = monotonicNow();
    EngineStatus next = news();
    std::uint64_t unread = 0;
    for (const auto &[gateway, tokens] : gateways) {
        unread += tokens;
    }
    const bool changed = !pending.empty() || pendingReset || next.queued != lastSent.queued || next.running != lastSent.running
        || next.usedTokens != lastSent.usedTokens || unread != lastUnread || next.closed != lastSent.closed || next.weightsVersion != lastSent.weightsVersion;
    const Micros interval = unread >= lastUnread + LeastDemandNews ? DemandNewsInterval : changed ? NewsInterval : IdleNewsInterval;
    const bool urgent = force || next.closed != lastSent.closed || next.weightsVersion != lastSent.weightsVersion;
    if (gateways.empty() || (!urgent && now - lastNews < interval)) {
        return;
    }
    lastNews = now;
    lastSent = next;
    lastUnread = unread;
    next.cacheReset = std::exchange(pendingReset, false);
    const std::size_t count = std::min(pending.size(), MaxChangesPerMessage);
    next.changes.assign(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count));
    pending.erase(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count));
    for (const auto &[gateway, tokens] : gateways) {
        next.pendingPrefillTokens = unread - tokens;
        endpoint.send(gateway, next);
    }
}

void Sidecar::Impl::sendSnapshot(ConnectionId connection)
{
    EngineStatus first = news();
    first.cacheReset = true;
    for (const auto &[salt, part] : feed.cachedParts()) {
        first.changes.push_back({ .salt = salt, .part = part, .held = true });
        if (first.changes.size() >= MaxChangesPerMessage) {
            endpoint.send(connection, first);
            first.changes.clear();
            first.cacheReset = false;
        }
    }
    endpoint.send(connection, first);
    endpoint.send(connection, known());
    if (const SuspectUpdate suspected{ .facts = suspects.facts(monotonicNow()) }; !suspected.facts.empty()) {
        endpoint.send(connection, suspected);
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
    state["weights"] = Json::UInt64(impl_->report.weightsVersion);
    state["target"] = Json::UInt64(impl_->rollout.target());
    state["closed"] = impl_->closed;
    state["gateways"] = Json::UInt64(impl_->gateways.size());
    state["parts"] = Json::UInt64(impl_->feed.cachedParts().size());
    state["configuration"] = Json::UInt64(impl_->configVersion);
    return state;
}

} // namespace Carobhall
