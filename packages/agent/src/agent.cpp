#include "carobhall/agent.h"
#include "attempt_runner.h"
#include "cache_feed.h"
#include "carobhall/fleet.h"
#include "carobhall/suspect_facts.h"

namespace Carobhall
{

namespace
{

constexpr Micros TickInterval = 10 * MicrosPerMilli;

std::unique_ptr<IdempotencyClaims> makeClaims(const AgentSettings &settings, Incarnation holder, PlatformClient *platform)
{
    if (platform == nullptr) {
        return std::make_unique<NoClaims>();
    }
    return std::make_unique<PlatformClaims>(*platform, settings.process.environment, holder);
}

} // namespace

struct Agent::Impl {
    explicit Impl(AgentOptions agentOptions);

    void onMessage(ConnectionId connection, Message message);
    void startUpstream();
    void publishUpstreamStatus();
    void tick();
    [[nodiscard]] Json::Value dump() const;

    AgentOptions options;
    Incarnation incarnation = drawIncarnation();
    Metrics metrics;
    DocumentHolder document;
    PrefixState prefixes;
    Endpoint endpoint;
    Fleet fleet;
    std::unique_ptr<IdempotencyClaims> claims;
    UpstreamClient upstream;
    CacheFeed cacheFeed;
    AttemptRunner runner;
    AdminListener admin;
    Timer tickTimer;
    bool upstreamStarted = false;
    bool leaving = false;
    bool stopped = false;
    Micros shutdownBy = 0;
};

Agent::Impl::Impl(AgentOptions agentOptions)
    : options(std::move(agentOptions))
    , document(options.document)
    , endpoint({
          .keys = fleetKeysFrom(options.settings.process.fleetKeys).value_or(FleetKeys{}),
          .self = { .name = options.settings.process.name,
                    .zone = options.settings.process.zone,
                    .incarnation = incarnation,
                    .kind = static_cast<std::uint8_t>(ProcessKind::Agent),
                    .upstream = options.settings.upstream },
          .onOpen =
              [this](ConnectionId connection, const PeerInfo &peer) {
                  logEvent(LogLevel::Debug, "peer_connected", { { "peer", peer.name } });
                  fleet.opened(connection, peer);
              },
          .onMessage = [this](ConnectionId connection, Message message) { onMessage(connection, std::move(message)); },
          .onClosed =
              [this](ConnectionId connection, std::error_code) {
                  fleet.closed(connection);
                  runner.connectionClosed(connection);
              },
      })
    , fleet({
          .process = options.settings.process,
          .kind = ProcessKind::Agent,
          .incarnation = incarnation,
          .upstream = options.settings.upstream,
          .endpoint = endpoint,
          .document = document,
          .onMembersChanged = {},
          .onFact =
              [this](const Fact &fact) {
                  if (const auto suspect = suspectFrom(fact)) {
                      runner.mergeSuspect(*suspect);
                  }
              },
      })
    , claims(makeClaims(options.settings, incarnation, fleet.platform()))
    , upstream({
          .address = options.settings.upstreamAddress,
          .onIncarnation =
              [this](Incarnation current) {
                  cacheFeed.setIncarnation(current);
                  runner.upstreamReplaced(current);
              },
          .onLoad =
              [this](const std::string &text) {
                  if (const auto load = parseJson(text); load && load->isObject() && (*load)["prefill_micros_per_piece"].isInt64()) {
                      prefixes.setReportedPrefillPerPiece((*load)["prefill_micros_per_piece"].asInt64());
                  }
              },
      })
    , cacheFeed({
          .address = options.settings.upstreamAddress,
          .prefixes = prefixes,
          .onIncarnation = [this](Incarnation current) { upstream.noteIncarnation(current); },
          .onConnectionLost = [this] { upstream.check(upstream.incarnation(), [](EngineCheck) {}); },
      })
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
          .onSuspect = [this](const SuspectFact &fact) { fleet.publish(factOf(fact)); },
      })
    , admin({
          .metrics = [this] { return metrics.prometheusText(); },
          .dump = [this] { return dump(); },
          .ready = [this] { return !leaving && !upstream.isDown() && upstreamStarted && fleet.mayServe(); },
      })
{
}

void Agent::Impl::onMessage(ConnectionId connection, Message message)
{
    if (fleet.received(connection, message)) {
        return;
    }
    if (const auto *const probe = std::get_if<Probe>(&message)) {
        ProbeReply reply = runner.probe(*probe);
        if (!fleet.mayServe() && reply.state == static_cast<std::uint8_t>(UpstreamState::Accepting)) {
            // After a start or a pause of the process, no new attempts are accepted until the document is confirmed.
            reply.state = static_cast<std::uint8_t>(UpstreamState::Down);
        }
        endpoint.send(connection, reply);
    } else if (auto *const submit = std::get_if<Submit>(&message)) {
        runner.submit(connection, std::move(*submit));
    } else if (const auto *const credit = std::get_if<Credit>(&message)) {
        runner.credit(*credit);
    } else if (const auto *const cancel = std::get_if<Cancel>(&message)) {
        runner.cancel(*cancel);
    } else if (const auto *const request = std::get_if<DumpRequest>(&message)) {
        DumpReply reply;
        reply.id = request->id;
        reply.json = writeJson(dump());
        endpoint.send(connection, reply);
    } else {
        metrics.count("carobhall_agent_unexpected_messages_total");
    }
}

void Agent::Impl::startUpstream()
{
    const auto role = findUpstream(document.current()->document, options.settings.upstream);
    if (!role || upstreamStarted) {
        return;
    }
    upstreamStarted = true;
    upstream.start(role->isModel);
    if (role->isModel) {
        cacheFeed.start();
    } else if (fleet.platform() == nullptr) {
        logEvent(LogLevel::Warning, "no_platform", { { "effect", "non-repeatable calls with an Idempotency-Key are refused" } });
    }
}

void Agent::Impl::publishUpstreamStatus()
{
    UpstreamStatus status{ .incarnation = upstream.incarnation(), .state = UpstreamState::Down, .route = {}, .weightsVersion = {} };
    if (const auto role = findUpstream(document.current()->document, options.settings.upstream)) {
        status.route = role->route;
        status.weightsVersion = role->weightsVersion;
        if (!upstream.isDown()) {
            status.state = leaving ? UpstreamState::Leaving : UpstreamState::Accepting;
        }
    }
    fleet.setUpstream(status);
}

void Agent::Impl::tick()
{
    const Micros now = monotonicNow();
    claims->tick(now);
    cacheFeed.tick(now);
    runner.tick(now);
    publishUpstreamStatus();
    if (!leaving || stopped) {
        return;
    }
    const bool idle = runner.isIdle() && claims->isIdle();
    if (idle || now > shutdownBy) {
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
    state["fleet"] = fleet.dump();
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
    const auto initial = impl_->document.current();
    if (initial->isPresent() && !findUpstream(initial->document, impl_->options.settings.upstream)) {
        return Errc::InvalidSettings;
    }
    if (const std::error_code error = impl_->endpoint.listen(process.wireAddress)) {
        return error;
    }
    if (const std::error_code error = impl_->admin.listen(process.adminAddress)) {
        return error;
    }
    if (const std::error_code error = impl_->fleet.start()) {
        return error;
    }
    impl_->document.onReplaced([this](const VersionedDocument &) { impl_->startUpstream(); });
    impl_->startUpstream();
    impl_->publishUpstreamStatus();
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
    impl_->shutdownBy = monotonicNow() + impl_->options.settings.process.shutdownDeadline;
    impl_->runner.beginLeaving();
    impl_->publishUpstreamStatus();
    impl_->fleet.beginLeaving();
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
