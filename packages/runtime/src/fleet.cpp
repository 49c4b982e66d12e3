#include "carobhall/fleet.h"

#include "carobhall/soup_transport.h"
#include "peer_channels.h"

// Index
//   1. Document          from the configuration holder into the process's document holder
//   2. Membership        start, events, the platform's VM list
//   3. Ticks
//   4. Public interface

namespace Carobhall
{

namespace
{

constexpr Micros TickInterval = 10 * MicrosPerMilli;
/// Members' document versions travel in their own datagrams without an event, so the table is compared this often.
constexpr Micros VersionScanInterval = 200 * MicrosPerMilli;
/// Members that are named as sources of a newer document at once; the relay asks one after the other.
constexpr std::size_t MaxSources = 4;
constexpr std::size_t MaxVmListBytes = PlatformValueLimit;

/// Stands in when the settings name no platform: no call gets an answer.
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
    const Json::Value &rows = list.isObject() ? (list.isMember("items") ? list["items"] : list["vms"]) : list;
    std::vector<std::string> addresses;
    if (!rows.isArray()) {
        return addresses;
    }
    for (const Json::Value &row : rows) {
        if (row.isString()) {
            addresses.push_back(row.asString());
        } else if (row.isObject() && row["address"].isString() && !(row["leaving"].isBool() && row["leaving"].asBool())) {
            addresses.push_back(row["address"].asString());
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
    void takeEffect(const HeldDocument &held);
    void holdInitial();
    void showVersion();
    [[nodiscard]] RelayOptions relayOptions();
    [[nodiscard]] MembershipOptions membershipOptions(const std::string &address);
    void onEvent(const MemberEvent &event);
    void askForVms();
    void gotVms(GBytes *bytes);
    [[nodiscard]] const Member *memberNamed(const std::string &peer) const;
    [[nodiscard]] std::string addressOf(const std::string &peer) const;
    void refreshMembers(Micros now);
    void findSources(Micros now);
    void tick();

    FleetOptions options;
    NoTransport noTransport;
    std::unique_ptr<SoupTransport> transport;
    PlatformClient client;
    std::optional<EnvironmentDocument> parsed; ///< Of the text that was checked last.
    ConfigHolder holder;
    PeerChannels channels;
    ConfigRelay relay;
    std::unique_ptr<MembershipUdp> udp;
    std::optional<UpstreamStatus> upstream; ///< As told to the others.
    std::vector<Fact> learned;
    bool membersChanged = true;
    bool started = false;
    Micros nextScan = 0;
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
          .onApplied = [this](const HeldDocument &held) { takeEffect(held); },
      })
    , channels({
          .endpoint = options.endpoint,
          .addressOf = [this](const std::string &peer) { return addressOf(peer); },
      })
    , relay(holder, client, relayOptions())
{
    holdInitial();
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

void Fleet::Impl::takeEffect(const HeldDocument &held)
{
    if (held.digest != options.document.current()->digest && parsed) {
        options.document.replace({ .version = held.version, .digest = held.digest, .text = *held.text, .document = std::move(*parsed) });
    }
    parsed.reset();
}

void Fleet::Impl::holdInitial()
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

void Fleet::Impl::showVersion()
{
    // The platform's version of a document that was read from a file becomes known later than the document.
    const HeldDocument &held = holder.inEffect();
    const auto current = options.document.current();
    if (held.text && held.version > current->version && held.digest == current->digest) {
        VersionedDocument same = *current;
        same.version = held.version;
        options.document.replace(std::move(same));
    }
}

RelayOptions Fleet::Impl::relayOptions()
{
    RelayOptions made;
    made.environment = options.process.environment;
    made.self = { .name = options.process.name, .zone = options.process.zone };
    made.seed = options.incarnation;
    made.send = [this](const std::string &peer, const Message &message) { channels.send(peer, message); };
    made.onVersionChanged = [this](std::uint64_t version, const std::string &digest) {
        if (udp) {
            udp->membership().publish({ .kind = static_cast<std::uint8_t>(FactKind::ConfigVersion), .key = 0, .value = version, .text = digest, .ttl = 0 },
                                      monotonicNow());
        }
    };
    if (!transport) {
        made.watchersPerZone = 0;
    }
    if (!options.confirmsAfterPause) {
        made.pauseThreshold = std::numeric_limits<Micros>::max();
    }
    return made;
}

// 2. Membership -----------------------------------------------------------------------------------

MembershipOptions Fleet::Impl::membershipOptions(const std::string &address)
{
    MembershipOptions made;
    made.self.name = options.process.name;
    made.self.zone = options.process.zone;
    made.self.address = address;
    made.self.incarnation = options.incarnation;
    made.self.kind = static_cast<std::uint8_t>(options.kind);
    made.self.upstream = options.upstream;
    made.self.configVersion = holder.held().version;
    if (options.kind == ProcessKind::Agent) {
        made.self.upstreamState = static_cast<std::uint8_t>(UpstreamState::Down);
    }
    made.seeds = options.process.seeds;
    made.seed = options.incarnation;
    made.regionOf = [this](std::string_view zone) { return regionOf(options.document.current()->document, zone); };
    made.onEvent = [this](const MemberEvent &event) { onEvent(event); };
    made.mechanisms = options.mechanisms;
    return made;
}

void Fleet::Impl::onEvent(const MemberEvent &event)
{
    // The table must not be changed from within an event, so that everything waits for the next tick.
    if (event.kind == MemberEventKind::FactLearned) {
        learned.push_back(*event.fact);
        return;
    }
    membersChanged = true;
    if (event.kind != MemberEventKind::Updated && event.member != nullptr) {
        logEvent(LogLevel::Info, "member",
                 { { "change", event.kind },
                   { "member", event.member->info.name },
                   { "incarnation", toHex(event.member->info.incarnation) },
                   { "address", event.member->info.address } });
    }
}

void Fleet::Impl::askForVms()
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
                // After a cancellation the fleet is gone.
                g_error_free(error);
                return;
            }
            static_cast<Impl *>(self)->gotVms(bytes);
            g_bytes_unref(bytes);
        },
        this);
}

void Fleet::Impl::gotVms(GBytes *bytes)
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
    const Member *best = nullptr;
    for (const Member &member : udp->membership().members()) {
        // A process that started anew under its name has two rows until the old one is known to be dead.
        if (member.info.name == peer && member.state != MemberState::Dead && (best == nullptr || member.changedAt > best->changedAt)) {
            best = &member;
        }
    }
    return best;
}

std::string Fleet::Impl::addressOf(const std::string &peer) const
{
    const Member *const member = memberNamed(peer);
    return member == nullptr ? std::string() : member->info.address;
}

// 3. Ticks ----------------------------------------------------------------------------------------

void Fleet::Impl::refreshMembers(Micros now)
{
    membersChanged = false;
    std::vector<RelayMember> peers;
    for (const Member &member : udp->membership().members()) {
        if (member.state != MemberState::Dead && member.reachable) {
            peers.push_back({ .name = member.info.name, .zone = member.info.zone });
        }
    }
    client.setClientCount(static_cast<double>(std::max<std::size_t>(peers.size(), 1)), now);
    relay.setMembers(peers, now);
    if (options.onMembers) {
        options.onMembers();
    }
}

void Fleet::Impl::findSources(Micros now)
{
    nextScan = now + VersionScanInterval;
    const std::uint64_t version = holder.held().version;
    std::size_t found = 0;
    for (const Member &member : udp->membership().members()) {
        if (member.info.configVersion > version && member.state != MemberState::Dead && member.reachable) {
            relay.onPeerVersion(member.info.name, member.info.configVersion, now);
            if (++found == MaxSources) {
                return;
            }
        }
    }
}

void Fleet::Impl::tick()
{
    const Micros now = monotonicNow();
    for (const Fact &fact : std::exchange(learned, {})) {
        if (fact.kind == static_cast<std::uint8_t>(FactKind::ConfigVersion)) {
            nextScan = now;
        } else if (options.onFact) {
            options.onFact(fact);
        }
    }
    if (membersChanged) {
        refreshMembers(now);
    }
    if (now >= nextScan) {
        findSources(now);
    }
    client.tick(now);
    relay.tick(now);
    channels.tick(now);
    showVersion();
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
    impl.askForVms();
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
    if (const std::string *const peer = impl_->channels.heard(connection); peer != nullptr) {
        impl_->relay.onMessage(*peer, message, monotonicNow());
        impl_->showVersion();
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

void Fleet::noteVersion(const std::string &peer, std::uint64_t version)
{
    impl_->relay.onPeerVersion(peer, version, monotonicNow());
}

Incarnation Fleet::peerOf(ConnectionId connection)
{
    const std::string *const name = impl_->channels.heard(connection);
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
    Json::Value rows(Json::arrayValue);
    for (const Member &member : members()) {
        Json::Value row(Json::objectValue);
        row["name"] = member.info.name;
        row["zone"] = member.info.zone;
        row["address"] = member.info.address;
        row["incarnation"] = toHex(member.info.incarnation);
        row["kind"] = std::string(nameOf(static_cast<ProcessKind>(member.info.kind)));
        row["state"] = std::string(nameOf(member.state));
        row["usable"] = member.usable();
        row["route"] = member.info.route;
        row["config_version"] = Json::UInt64(member.info.configVersion);
        rows.append(row);
    }
    state["members"] = rows;
    return state;
}

} // namespace Carobhall
