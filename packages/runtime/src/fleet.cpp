#include "carobhall/fleet.h"

#include "carobhall/soup_transport.h"
#include "peer_channels.h"

// Index
//   1. Document          transfer from the configuration holder to the process's document holder
//   2. Membership        options, events, the platform's VM list
//   3. Ticks             periodic work
//   4. Public interface

namespace Carobhall
{

namespace
{

constexpr Micros TickInterval = 10 * MicrosPerMilli;
/// Interval at which the member table is searched for newer document versions. Members send their version in their own
/// datagrams, which raise no event when only the version has changed.
constexpr Micros VersionScanInterval = 200 * MicrosPerMilli;
/// Maximum number of members reported to the relay as sources of a newer document per scan; the relay asks one at a time.
constexpr std::size_t MaxDocumentSources = 4;
constexpr std::size_t MaxVmListBytes = PlatformValueLimit;

/// Transport used if no platform address is configured: calls are never answered.
struct NoTransport {
    void call(const PlatformCall & /*call*/, const ReplyHandler & /*done*/)
    {
    }
    WatchId watch(const std::string & /*kind*/, std::uint64_t /*from*/, const WatchHandler & /*onEvent*/)
    {
        return 1;
    }
    void cancelWatch(WatchId /*id*/)
    {
    }
};

std::string withPort(const std::string &address, std::uint16_t port)
{
    return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

} // namespace

std::vector<std::string> vmAddresses(const Json::Value &list)
{
    const Json::Value &entries = list.isObject() ? (list.isMember("items") ? list["items"] : list["vms"]) : list;
    std::vector<std::string> addresses;
    if (!entries.isArray()) {
        return addresses;
    }
    for (const Json::Value &entry : entries) {
        if (entry.isString()) {
            addresses.push_back(entry.asString());
        } else if (entry.isObject() && entry["address"].isString() && !(entry["leaving"].isBool() && entry["leaving"].asBool())) {
            addresses.push_back(entry["address"].asString());
        }
    }
    return addresses;
}

struct Fleet::Impl {
    explicit Impl(FleetOptions fleetOptions);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    [[nodiscard]] DocumentCompatibility check(const std::string &text);
    void applyDocument(const HeldDocument &held);
    void holdInitialDocument();
    void updateDocumentVersion();
    [[nodiscard]] RelayOptions relayOptions();
    [[nodiscard]] MembershipOptions membershipOptions(const std::string &address);
    void onEvent(const MemberEvent &event);
    void requestVmList();
    void handleVmList(GBytes *bytes);
    [[nodiscard]] const Member *memberNamed(const std::string &peer) const;
    [[nodiscard]] std::string addressOf(const std::string &peer) const;
    void refreshMembers(Micros now);
    void reportDocumentSources(Micros now);
    void tick();

    FleetOptions options;
    NoTransport noTransport;
    std::unique_ptr<SoupTransport> transport;
    PlatformClient client;
    std::optional<EnvironmentDocument> parsed; ///< From the last check(); empty if it failed or the document has been applied.
    ConfigHolder holder;
    PeerChannels channels;
    ConfigRelay relay;
    std::unique_ptr<MembershipUdp> udp;
    std::optional<UpstreamStatus> upstream; ///< As last announced to the other processes.
    std::vector<Fact> pendingFacts;
    bool membersChangedSinceTick = true;
    bool started = false;
    Micros nextVersionScan = 0;
    Timer timer;
    ObjectRef<SoupSession> session;
    ObjectRef<GCancellable> cancellable;
};

Fleet::Impl::Impl(FleetOptions fleetOptions)
    : options(std::move(fleetOptions))
    , transport(options.process.platformAddress.empty() ? nullptr
                                                        : std::make_unique<SoupTransport>(SoupTransportOptions{ .address = options.process.platformAddress }))
    , client(transport ? PlatformClient(*transport, { .seed = options.incarnation }) : PlatformClient(noTransport, { .seed = options.incarnation }))
    , holder({
          .check = [this](const std::string &text) { return check(text); },
          .onApplied = [this](const HeldDocument &held) { applyDocument(held); },
      })
    , channels({
          .endpoint = options.endpoint,
          .addressOf = [this](const std::string &peer) { return addressOf(peer); },
      })
    , relay(holder, client, relayOptions())
{
    holdInitialDocument();
}

Fleet::Impl::~Impl()
{
    if (cancellable != nullptr) {
        g_cancellable_cancel(cancellable.get());
    }
}

// 1. Document -------------------------------------------------------------------------------------

DocumentCompatibility Fleet::Impl::check(const std::string &text)
{
    ParsedDocument result = parseDocument(text, options.process.environment, UnknownFields::Ignored);
    if (!result.ok()) {
        logEvent(LogLevel::Error, "document_unusable", { { "error", toString(result.errors.front()) } });
        parsed.reset();
        return DocumentCompatibility::Unusable;
    }
    parsed = std::move(result.document);
    if (!result.warnings.empty()) {
        logEvent(LogLevel::Warning, "document_has_unknown_fields", { { "count", result.warnings.size() }, { "first", toString(result.warnings.front()) } });
        return DocumentCompatibility::UnknownFields;
    }
    return DocumentCompatibility::Usable;
}

void Fleet::Impl::applyDocument(const HeldDocument &held)
{
    if (held.digest != options.document.current()->digest && parsed) {
        options.document.replace({ .version = held.version, .digest = held.digest, .text = *held.text, .document = std::move(*parsed) });
    }
    parsed.reset();
}

void Fleet::Impl::holdInitialDocument()
{
    const auto initial = options.document.current();
    if (!initial->isPresent()) {
        return;
    }
    if (initial->version == 0) {
        holder.initializeFromFile(initial->text);
    } else {
        holder.accept(initial->version, initial->digest, initial->text);
    }
}

void Fleet::Impl::updateDocumentVersion()
{
    // For a document that was read from a file, the platform's version becomes known only later.
    const HeldDocument &held = holder.inEffect();
    const auto current = options.document.current();
    if (held.text && held.version > current->version && held.digest == current->digest) {
        VersionedDocument updated = *current;
        updated.version = held.version;
        options.document.replace(std::move(updated));
    }
}

RelayOptions Fleet::Impl::relayOptions()
{
    RelayOptions result;
    result.environment = options.process.environment;
    result.self = { .name = options.process.name, .zone = options.process.zone };
    result.seed = options.incarnation;
    result.send = [this](const std::string &peer, const Message &message) { channels.send(peer, message); };
    result.onVersionChanged = [this](std::uint64_t version, const std::string &digest) {
        if (udp) {
            udp->membership().publish({ .kind = static_cast<std::uint8_t>(FactKind::ConfigVersion), .key = 0, .value = version, .text = digest, .ttl = 0 },
                                      monotonicNow());
        }
    };
    if (!transport) {
        result.watchersPerZone = 0;
    }
    if (!options.confirmsAfterPause) {
        result.pauseThreshold = std::numeric_limits<Micros>::max();
    }
    return result;
}

// 2. Membership -----------------------------------------------------------------------------------

MembershipOptions Fleet::Impl::membershipOptions(const std::string &address)
{
    MembershipOptions result;
    result.self.name = options.process.name;
    result.self.zone = options.process.zone;
    result.self.address = address;
    result.self.incarnation = options.incarnation;
    result.self.kind = static_cast<std::uint8_t>(options.kind);
    result.self.upstream = options.upstream;
    result.self.configVersion = holder.held().version;
    if (options.kind == ProcessKind::Agent) {
        result.self.upstreamState = static_cast<std::uint8_t>(UpstreamState::Down);
    }
    result.seeds = options.process.seeds;
    result.randomSeed = options.incarnation;
    result.regionOf = [this](std::string_view zone) { return regionOf(options.document.current()->document, zone); };
    result.onEvent = [this](const MemberEvent &event) { onEvent(event); };
    result.mechanisms = options.mechanisms;
    return result;
}

void Fleet::Impl::onEvent(const MemberEvent &event)
{
    // Membership must not be modified from within its event handler, so processing is deferred to the next tick.
    if (event.kind == MemberEventKind::FactLearned) {
        pendingFacts.push_back(*event.fact);
        return;
    }
    membersChangedSinceTick = true;
    if (event.kind != MemberEventKind::Updated && event.member != nullptr) {
        logEvent(LogLevel::Info, "member",
                 { { "change", event.kind },
                   { "member", event.member->info.name },
                   { "incarnation", toHex(event.member->info.incarnation) },
                   { "address", event.member->info.address } });
    }
}

void Fleet::Impl::requestVmList()
{
    if (!transport) {
        return;
    }
    session.reset(soup_session_new_with_options("timeout", 2U, nullptr));
    cancellable.reset(g_cancellable_new());
    const ObjectRef<SoupMessage> message(soup_message_new("GET", ("http://" + options.process.platformAddress + "/vms").c_str()));
    soup_session_send_and_read_async(
        session.get(), message.get(), G_PRIORITY_DEFAULT, cancellable.get(),
        [](GObject *source, GAsyncResult *result, gpointer self) {
            GError *error = nullptr;
            GBytes *const bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
            if (error != nullptr) {
                // On cancellation, the fleet has been destroyed and `self` is invalid.
                g_error_free(error);
                return;
            }
            static_cast<Impl *>(self)->handleVmList(bytes);
            g_bytes_unref(bytes);
        },
        this);
}

void Fleet::Impl::handleVmList(GBytes *bytes)
{
    gsize size = 0;
    const auto *const data = static_cast<const char *>(g_bytes_get_data(bytes, &size));
    const auto list = size <= MaxVmListBytes ? parseJson(std::string_view(data == nullptr ? "" : data, size)) : std::nullopt;
    if (!list) {
        return;
    }
    const std::vector<std::string> addresses = vmAddresses(*list);
    logEvent(LogLevel::Info, "vm_list", { { "addresses", addresses.size() } });
    udp->membership().addSeeds(addresses);
}

const Member *Fleet::Impl::memberNamed(const std::string &peer) const
{
    if (!udp) {
        return nullptr;
    }
    const Member *newest = nullptr;
    for (const Member &member : udp->membership().members()) {
        // A restarted process is listed twice under its name until its previous incarnation is known to be dead.
        if (member.info.name == peer && member.state != MemberState::Dead && (newest == nullptr || member.changedAt > newest->changedAt)) {
            newest = &member;
        }
    }
    return newest;
}

std::string Fleet::Impl::addressOf(const std::string &peer) const
{
    const Member *const member = memberNamed(peer);
    return member == nullptr ? std::string() : member->info.address;
}

// 3. Ticks ----------------------------------------------------------------------------------------

void Fleet::Impl::refreshMembers(Micros now)
{
    membersChangedSinceTick = false;
    std::vector<RelayMember> peers;
    for (const Member &member : udp->membership().members()) {
        if (member.state != MemberState::Dead && member.reachable) {
            peers.push_back({ .name = member.info.name, .zone = member.info.zone });
        }
    }
    client.setClientCount(static_cast<double>(std::max<std::size_t>(peers.size(), 1)), now);
    relay.setMembers(peers, now);
    if (options.onMembersChanged) {
        options.onMembersChanged();
    }
}

void Fleet::Impl::reportDocumentSources(Micros now)
{
    nextVersionScan = now + VersionScanInterval;
    const std::uint64_t version = holder.held().version;
    std::size_t found = 0;
    for (const Member &member : udp->membership().members()) {
        if (member.info.configVersion > version && member.state != MemberState::Dead && member.reachable) {
            relay.onPeerVersion(member.info.name, member.info.configVersion, now);
            if (++found == MaxDocumentSources) {
                return;
            }
        }
    }
}

void Fleet::Impl::tick()
{
    const Micros now = monotonicNow();
    for (const Fact &fact : std::exchange(pendingFacts, {})) {
        if (fact.kind == static_cast<std::uint8_t>(FactKind::ConfigVersion)) {
            nextVersionScan = now;
        } else if (options.onFact) {
            options.onFact(fact);
        }
    }
    if (membersChangedSinceTick) {
        refreshMembers(now);
    }
    if (now >= nextVersionScan) {
        reportDocumentSources(now);
    }
    client.tick(now);
    relay.tick(now);
    channels.tick(now);
    updateDocumentVersion();
    if (const std::uint64_t version = holder.held().version; version != udp->membership().self().info.configVersion) {
        udp->membership().updateSelf([version](MemberInfo &self) { self.configVersion = version; }, now);
    }
}

// 4. Public interface -----------------------------------------------------------------------------

Fleet::Fleet(FleetOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

Fleet::~Fleet() = default;

std::error_code Fleet::start()
{
    Impl &impl = *impl_;
    const std::string address = withPort(impl.options.process.wireAddress, impl.options.endpoint.port());
    impl.udp = std::make_unique<MembershipUdp>(MembershipUdpOptions{
        .keys = fleetKeysFrom(impl.options.process.fleetKeys).value_or(FleetKeys{}),
        .membership = impl.membershipOptions(address),
    });
    if (const std::error_code error = impl.udp->start(address)) {
        impl.udp.reset();
        return error;
    }
    impl.started = true;
    impl.requestVmList();
    impl.tick();
    impl.timer.startRepeating(TickInterval, [&impl] { impl.tick(); });
    return {};
}

void Fleet::opened(ConnectionId connection, const PeerInfo &peer)
{
    impl_->channels.opened(connection, peer);
}

void Fleet::closed(ConnectionId connection)
{
    impl_->channels.closed(connection);
}

bool Fleet::received(ConnectionId connection, const Message &message)
{
    const bool isConfiguration = std::holds_alternative<ConfigOffer>(message) || std::holds_alternative<ConfigPull>(message)
        || std::holds_alternative<ConfigData>(message);
    if (!isConfiguration) {
        return false;
    }
    if (const std::string *const peer = impl_->channels.recordInbound(connection); peer != nullptr) {
        impl_->relay.onMessage(*peer, message, monotonicNow());
        impl_->updateDocumentVersion();
    }
    return true;
}

bool Fleet::mayServe() const
{
    return impl_->started && impl_->relay.mayServe();
}

void Fleet::setUpstream(const UpstreamStatus &status)
{
    if (!impl_->started || impl_->upstream == status) {
        return;
    }
    impl_->upstream = status;
    impl_->udp->membership().updateSelf(
        [&status](MemberInfo &self) {
            self.upstreamIncarnation = status.incarnation;
            self.upstreamState = static_cast<std::uint8_t>(status.state);
            self.route = status.route;
            self.weightsVersion = status.weightsVersion;
        },
        monotonicNow());
}

void Fleet::recordPeerVersion(const std::string &peer, std::uint64_t version)
{
    impl_->relay.onPeerVersion(peer, version, monotonicNow());
}

Incarnation Fleet::peerIncarnation(ConnectionId connection)
{
    const std::string *const name = impl_->channels.recordInbound(connection);
    const Member *const member = name == nullptr ? nullptr : impl_->memberNamed(*name);
    return member == nullptr ? 0 : member->info.incarnation;
}

void Fleet::send(Incarnation peer, const Message &message)
{
    if (const Member *const member = impl_->started ? impl_->udp->membership().find(peer) : nullptr; member != nullptr) {
        impl_->channels.send(member->info.name, message);
    }
}

void Fleet::reportFailure(Incarnation incarnation)
{
    if (impl_->started) {
        impl_->udp->membership().reportFailure(incarnation);
    }
}

void Fleet::publish(const Fact &fact)
{
    if (impl_->started) {
        impl_->udp->membership().publish(fact, monotonicNow());
    }
}

void Fleet::beginLeaving()
{
    if (impl_->started) {
        impl_->udp->membership().leave(monotonicNow());
    }
}

std::span<const Member> Fleet::members() const
{
    return impl_->started ? impl_->udp->membership().members() : std::span<const Member>();
}

PlatformClient *Fleet::platform()
{
    return impl_->transport ? &impl_->client : nullptr;
}

Json::Value Fleet::dump() const
{
    Json::Value state(Json::objectValue);
    state["may_serve"] = mayServe();
    state["config_held"] = Json::UInt64(impl_->holder.held().version);
    state["config_watcher"] = impl_->relay.isWatcher();
    state["config_offers_sent"] = Json::UInt64(impl_->relay.stats().offersSent);
    state["config_pulls_sent"] = Json::UInt64(impl_->relay.stats().pullsSent);
    state["config_documents_sent"] = Json::UInt64(impl_->relay.stats().documentsSent);
    state["connections"] = Json::UInt64(impl_->channels.size());
    Json::Value memberList(Json::arrayValue);
    for (const Member &member : members()) {
        Json::Value entry(Json::objectValue);
        entry["name"] = member.info.name;
        entry["zone"] = member.info.zone;
        entry["address"] = member.info.address;
        entry["incarnation"] = toHex(member.info.incarnation);
        entry["kind"] = std::string(nameOf(static_cast<ProcessKind>(member.info.kind)));
        entry["state"] = std::string(nameOf(member.state));
        entry["usable"] = member.usable();
        entry["route"] = member.info.route;
        entry["config_version"] = Json::UInt64(member.info.configVersion);
        memberList.append(entry);
    }
    state["members"] = memberList;
    return state;
}

} // namespace Carobhall
