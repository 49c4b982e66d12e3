#include "carobhall/agent.h"
#include "attempt_runner.h"
#include "cache_feed.h"

namespace Carobhall
{

namespace
{

constexpr Micros TickInterval = 10 * MicrosPerMilli;

/// Agents that may make claims: those beside servers of services with calls that must not be repeated.
double countClaimers(const EnvironmentDocument &document)
{
    std::size_t count = 0;
    for (const PlainServiceSpec &service : document.services) {
        const bool claims = std::any_of(service.routes.begin(), service.routes.end(), [](const RouteSpec &route) { return !route.repeatable; });
        count += claims ? service.servers.size() : 0;
    }
    return static_cast<double>(std::max<std::size_t>(count, 1));
}

std::unique_ptr<ClaimStep> makeClaims(const AgentSettings &settings, const EnvironmentDocument &document, Incarnation holder)
{
    const ProcessSettings &process = settings.process;
    if (process.platformAddress.empty()) {
        return std::make_unique<NoClaims>();
    }
    return std::make_unique<PlatformClaims>(PlatformClaims::Options{
        .address = process.platformAddress,
        .environment = process.environment.empty() ? document.name : process.environment,
        .holder = holder,
        .callers = countClaimers(document),
    });
}

} // namespace

struct Agent::Impl {
    explicit Impl(AgentOptions agentOptions);

    void onMessage(ConnectionId connection, Message message);
    void tick();
    [[nodiscard]] Json::Value dump() const;

    AgentOptions options;
    Incarnation incarnation = drawIncarnation();
    Metrics metrics;
    DocumentHolder document;
    std::unique_ptr<ClaimStep> claims;
    PrefixState prefixes;
    Endpoint endpoint;
    UpstreamClient upstream;
    CacheFeed feed;
    bool isModel = false;
    AttemptRunner runner;
    AdminListener admin;
    Timer tickTimer;
    bool leaving = false;
    bool stopped = false;
    Micros stopBy = 0;
};

Agent::Impl::Impl(AgentOptions agentOptions)
    : options(std::move(agentOptions))
    , document(options.document)
    , claims(makeClaims(options.settings, options.document.document, incarnation))
    , endpoint({
          .keys = fleetKeysFrom(options.settings.process.fleetKeys).value_or(FleetKeys{}),
          .self = { .name = options.settings.process.name,
                    .zone = options.settings.process.zone,
                    .incarnation = incarnation,
                    .kind = static_cast<std::uint8_t>(ProcessKind::Agent),
                    .upstream = options.settings.upstream },
          .onOpen =
              [](ConnectionId, const PeerInfo &peer) {
                  logEvent(LogLevel::Debug, "peer_connected", { { "peer", peer.name } });
              },
          .onMessage = [this](ConnectionId connection, Message message) { onMessage(connection, std::move(message)); },
          .onClosed = [this](ConnectionId connection, std::error_code) { runner.connectionClosed(connection); },
      })
    , upstream({
          .address = options.settings.upstreamAddress,
          .isModel = findUpstream(options.document.document, options.settings.upstream).value_or(UpstreamRole{}).isModel,
          .onIncarnation =
              [this](Incarnation now) {
                  feed.engineIs(now);
                  runner.upstreamReplaced(now);
              },
      })
    , feed({
          .address = options.settings.upstreamAddress,
          .prefixes = prefixes,
          .onIncarnation = [this](Incarnation now) { upstream.noteIncarnation(now); },
          .onBroken = [this] { upstream.check(upstream.incarnation(), [](EngineCheck) {}); },
      })
    , isModel(findUpstream(options.document.document, options.settings.upstream).value_or(UpstreamRole{}).isModel)
    , runner({
          .settings = options.settings,
          .incarnation = incarnation,
          .document = document,
          .endpoint = endpoint,
          .upstream = upstream,
          .claims = *claims,
          .prefixes = prefixes,
          .metrics = metrics,
          .stallLimit = options.stallLimit,
          .onSuspect = options.onSuspect,
      })
    , admin({
          .metrics = [this] { return metrics.prometheusText(); },
          .dump = [this] { return dump(); },
          .ready = [this] { return !leaving && !upstream.isDown(); },
      })
{
}

void Agent::Impl::onMessage(ConnectionId connection, Message message)
{
    if (const auto *const probe = std::get_if<Probe>(&message)) {
        endpoint.send(connection, runner.probe(*probe));
    } else if (auto *const submit = std::get_if<Submit>(&message)) {
        runner.submit(connection, std::move(*submit));
    } else if (const auto *const credit = std::get_if<Credit>(&message)) {
        runner.credit(*credit);
    } else if (const auto *const cancel = std::get_if<Cancel>(&message)) {
        runner.cancel(*cancel);
    } else if (const auto *const ask = std::get_if<DumpAsk>(&message)) {
        Dump reply;
        reply.id = ask->id;
        reply.json = writeJson(dump());
        endpoint.send(connection, reply);
    } else {
        metrics.count("carobhall_agent_unexpected_messages_total");
    }
}

void Agent::Impl::tick()
{
    const Micros now = monotonicNow();
    claims->tick(now);
    feed.tick(now);
    runner.tick(now);
    if (!leaving || stopped) {
        return;
    }
    const bool idle = runner.isIdle() && claims->isIdle();
    if (idle || now > stopBy) {
        stopped = true;
        logEvent(idle ? LogLevel::Info : LogLevel::Warning, "stopped", { { "all_delivered", idle } });
        options.onStopped();
    }
}

Json::Value Agent::Impl::dump() const
{
    Json::Value state = runner.dump();
    state["process"] = options.settings.process.name;
    state["incarnation"] = toHex(incarnation);
    state["upstream"] = options.settings.upstream;
    state["upstream_incarnation"] = toHex(upstream.incarnation());
    state["upstream_down"] = upstream.isDown();
    state["config_version"] = Json::UInt64(document.current()->version);
    return state;
}

Agent::Agent(AgentOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

Agent::~Agent() = default;

std::error_code Agent::start()
{
    const ProcessSettings &process = impl_->options.settings.process;
    if (!findUpstream(impl_->document.current()->document, impl_->options.settings.upstream)) {
        return Errc::InvalidSettings;
    }
    if (const std::error_code error = impl_->endpoint.listen(process.wireAddress)) {
        return error;
    }
    if (const std::error_code error = impl_->admin.listen(process.adminAddress)) {
        return error;
    }
    impl_->upstream.start();
    if (impl_->isModel) {
        impl_->feed.start();
    } else if (process.platformAddress.empty()) {
        logEvent(LogLevel::Warning, "no_platform", { { "effect", "calls with an Idempotency-Key that must not be repeated are refused" } });
    }
    impl_->tickTimer.startRepeating(TickInterval, [this] { impl_->tick(); });
    logEvent(LogLevel::Info, "started", { { "incarnation", toHex(impl_->incarnation) }, { "wire_port", wirePort() }, { "admin_port", adminPort() } });
    return {};
}

void Agent::beginShutdown()
{
    if (impl_->leaving) {
        return;
    }
    logEvent(LogLevel::Info, "leaving");
    impl_->leaving = true;
    impl_->stopBy = monotonicNow() + impl_->options.settings.process.shutdownDeadline;
    impl_->runner.beginLeaving();
}

void Agent::mergeSuspect(const SuspectFact &fact)
{
    impl_->runner.mergeSuspect(fact);
}

std::uint16_t Agent::wirePort() const
{
    return impl_->endpoint.port();
}

std::uint16_t Agent::adminPort() const
{
    return impl_->admin.port();
}

Incarnation Agent::incarnation() const
{
    return impl_->incarnation;
}

DocumentHolder &Agent::document()
{
    return impl_->document;
}

const Metrics &Agent::metrics() const
{
    return impl_->metrics;
}

Json::Value Agent::dump() const
{
    return impl_->dump();
}

} // namespace Carobhall
