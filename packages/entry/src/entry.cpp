#include "carobhall/entry.h"
#include "carobhall/fleet.h"
#include "carobhall/suspect_facts.h"
#include "http_frontend.h"
#include "limit_gate.h"

namespace Carobhall
{

namespace
{

constexpr Micros TickInterval = 20 * MicrosPerMilli;
constexpr Micros SuspectExpiryInterval = 5 * MicrosPerSecond;

/// Returns the policy for a name in the settings; "rendezvous" selects PolicyKind::BoundedRendezvous.
std::optional<PolicyKind> policyFromName(std::string_view name)
{
    return name == "rendezvous" ? PolicyKind::BoundedRendezvous : fromName<PolicyKind>(name);
}

} // namespace

struct Entry::Impl {
    explicit Impl(EntryOptions entryOptions);

    void opened(ConnectionId connection, const PeerInfo &peer);
    void received(ConnectionId connection, Message message);
    void closed(ConnectionId connection);
    void refreshAgents();
    void tick();
    [[nodiscard]] Json::Value dump();

    EntryOptions options;
    Incarnation incarnation = drawIncarnation();
    Metrics metrics;
    DocumentHolder document;
    Suspects suspects;
    Endpoint endpoint;
    Fleet fleet;
    AgentLinks links;
    Chooser chooser;
    Dispatcher dispatcher;
    LimitGate limits;
    HttpFrontend frontend;
    AdminListener admin;
    Timer tickTimer;
    bool leaving = false;
    bool stopped = false;
    Micros stopBy = 0;
    Micros nextSuspectExpiry = 0;
};

Entry::Impl::Impl(EntryOptions entryOptions)
    : options(std::move(entryOptions))
    , document(options.document)
    , endpoint({
          .keys = fleetKeysFrom(options.settings.process.fleetKeys).value_or(FleetKeys{}),
          .self = { .name = options.settings.process.name,
                    .zone = options.settings.process.zone,
                    .incarnation = incarnation,
                    .kind = static_cast<std::uint8_t>(ProcessKind::Entry),
                    .upstream = {} },
          .onOpen = [this](ConnectionId connection, const PeerInfo &peer) { opened(connection, peer); },
          .onMessage = [this](ConnectionId connection, Message message) { received(connection, std::move(message)); },
          .onClosed = [this](ConnectionId connection, std::error_code) { closed(connection); },
      })
    , fleet({
          .process = options.settings.process,
          .kind = ProcessKind::Entry,
          .incarnation = incarnation,
          .upstream = {},
          .endpoint = endpoint,
          .document = document,
          .onMembersChanged = [this] { refreshAgents(); },
          .onFact =
              [this](const Fact &fact) {
                  if (const auto suspect = suspectFrom(fact)) {
                      suspects.merge(*suspect, monotonicNow());
                  }
              },
      })
    , links({
          .endpoint = endpoint,
          .onOpen = [this](const AgentLink &link) { dispatcher.linkOpened(link); },
          .onLost = [this](const AgentLink &, ConnectionId connection) { dispatcher.linkLost(connection); },
          .onUnreachable =
              [this](const AgentLink &link, ConnectionId connection) {
                  fleet.reportFailure(link.agent.incarnation);
                  dispatcher.linkUnreachable(link, connection);
              },
          .onMessage = [this](const AgentLink &link, Message message) { dispatcher.received(link, std::move(message)); },
          .isBusy = [this](const AgentLink &link) { return dispatcher.expectsAnswerFrom(link); },
      })
    , chooser({
          .links = links,
          .policy = policyFromName(options.settings.policy).value_or(PolicyKind::Probe),
          .seed = incarnation,
          .probeTimeout = options.settings.probeTimeout,
          .suspicion = [this](std::uint64_t fingerprint) { return suspects.suspicion(fingerprint, monotonicNow()); },
          .onProbeTimeout = [this](const AgentLink &link) { fleet.reportFailure(link.agent.incarnation); },
          .onConfigVersion = [this](const AgentLink &link, std::uint64_t version) { fleet.recordPeerVersion(link.peer.name, version); },
      })
    , dispatcher({ .settings = options.settings, .incarnation = incarnation, .links = links, .chooser = chooser, .metrics = metrics })
    , limits({
          .self = incarnation,
          .document = document,
          .send = [this](Incarnation peer, const Message &message) { fleet.send(peer, message); },
          .onGrant = [this](const std::string &account) { frontend.onGrant(account); },
      })
    , frontend({
          .settings = options.settings,
          .document = document,
          .dispatcher = dispatcher,
          .limits = limits,
          .metrics = metrics,
          .mayServe = [this] { return fleet.mayServe(); },
      })
    , admin({
          .metrics = [this] { return metrics.prometheusText(); },
          .dump = [this] { return dump(); },
          .ready = [this] { return !leaving && fleet.mayServe(); },
      })
{
}

void Entry::Impl::opened(ConnectionId connection, const PeerInfo &peer)
{
    fleet.opened(connection, peer);
    links.opened(connection, peer);
}

void Entry::Impl::received(ConnectionId connection, Message message)
{
    if (fleet.received(connection, message)) {
        return;
    }
    if (const auto *const request = std::get_if<DumpRequest>(&message)) {
        DumpReply reply;
        reply.id = request->id;
        reply.json = writeJson(dump());
        endpoint.send(connection, reply);
    } else if (const auto *const grantRequest = std::get_if<GrantRequest>(&message)) {
        if (const Incarnation peer = fleet.peerIncarnation(connection); peer != 0) {
            limits.receiveGrantRequest(peer, *grantRequest);
        }
    } else if (const auto *const grant = std::get_if<Grant>(&message)) {
        limits.receiveGrant(*grant);
    } else if (!links.received(connection, std::move(message))) {
        metrics.count("carobhall_entry_unexpected_messages_total");
    }
}

void Entry::Impl::closed(ConnectionId connection)
{
    fleet.closed(connection);
    links.closed(connection);
}

void Entry::Impl::refreshAgents()
{
    std::vector<AgentInfo> agents;
    std::vector<Incarnation> entries;
    for (const Member &member : fleet.members()) {
        const MemberInfo &info = member.info;
        if (static_cast<ProcessKind>(info.kind) == ProcessKind::Entry && member.usable() && info.incarnation != incarnation) {
            entries.push_back(info.incarnation);
        }
        if (static_cast<ProcessKind>(info.kind) != ProcessKind::Agent || member.state == MemberState::Dead) {
            continue;
        }
        agents.push_back({
            .address = info.address,
            .name = info.name,
            .zone = info.zone,
            .incarnation = info.incarnation,
            .upstream = info.upstream,
            .route = info.route,
            .weightsVersion = info.weightsVersion,
            .usable = member.usable() && static_cast<UpstreamState>(info.upstreamState) == UpstreamState::Accepting,
        });
    }
    limits.setPeers(entries);
    links.setAgents(agents);
    chooser.setAgents(agents, document.current()->document, options.settings.process.zone);
}

void Entry::Impl::tick()
{
    const Micros now = monotonicNow();
    links.tick(now);
    limits.tick(now);
    frontend.tick(now);
    if (now >= nextSuspectExpiry) {
        nextSuspectExpiry = now + SuspectExpiryInterval;
        suspects.expire(now);
    }
    dispatcher.tick(now);
    if (!leaving || stopped) {
        return;
    }
    if (now > stopBy) {
        dispatcher.failAll("the entry process reached its shutdown deadline");
    }
    const bool idle = frontend.openRequests() == 0;
    if (idle || now > stopBy + MicrosPerSecond) {
        stopped = true;
        logEvent(idle ? LogLevel::Info : LogLevel::Warning, "stopped", { { "open_requests", frontend.openRequests() } });
        options.onStopped();
    }
}

Json::Value Entry::Impl::dump()
{
    Json::Value state(Json::objectValue);
    state["process"] = options.settings.process.name;
    state["incarnation"] = toHex(incarnation);
    state["leaving"] = leaving;
    state["config_version"] = Json::UInt64(document.current()->version);
    state["config_digest"] = document.current()->digest;
    state["open_requests"] = Json::UInt64(frontend.openRequests());
    state["limited_accounts"] = Json::UInt64(limits.size());
    state["fleet"] = fleet.dump();
    state["agents"] = links.dump();
    state["requests"] = dispatcher.dump();
    return state;
}

Entry::Entry(EntryOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

Entry::~Entry() = default;

std::error_code Entry::start()
{
    const ProcessSettings &process = impl_->options.settings.process;
    if (const std::error_code error = impl_->frontend.listen()) {
        return error;
    }
    if (const std::error_code error = impl_->admin.listen(process.adminAddress)) {
        return error;
    }
    if (!policyFromName(impl_->options.settings.policy)) {
        return Errc::InvalidSettings;
    }
    if (const std::error_code error = impl_->endpoint.listen(process.wireAddress)) {
        return error;
    }
    if (const std::error_code error = impl_->fleet.start()) {
        return error;
    }
    impl_->document.onReplaced([this](const VersionedDocument &) { impl_->refreshAgents(); });
    impl_->tickTimer.startRepeating(TickInterval, [this] { impl_->tick(); });
    logEvent(LogLevel::Info, "started", { { "incarnation", toHex(impl_->incarnation) }, { "caller_port", callerPort() }, { "admin_port", adminPort() } });
    return {};
}

void Entry::beginShutdown()
{
    if (impl_->leaving) {
        return;
    }
    logEvent(LogLevel::Info, "leaving", { { "open_requests", impl_->frontend.openRequests() } });
    impl_->leaving = true;
    impl_->stopBy = monotonicNow() + impl_->options.settings.process.shutdownDeadline;
    impl_->frontend.beginLeaving();
    impl_->fleet.beginLeaving();
}

std::uint16_t Entry::wirePort() const
{
    return impl_->endpoint.port();
}

std::uint16_t Entry::callerPort() const
{
    return impl_->frontend.port();
}

std::uint16_t Entry::adminPort() const
{
    return impl_->admin.port();
}

Incarnation Entry::incarnation() const
{
    return impl_->incarnation;
}

DocumentHolder &Entry::document()
{
    return impl_->document;
}

const Metrics &Entry::metrics() const
{
    return impl_->metrics;
}

Json::Value Entry::dump() const
{
    return impl_->dump();
}

} // namespace Carobhall
