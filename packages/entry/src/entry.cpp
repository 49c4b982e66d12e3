#include "carobhall/entry.h"
#include "http_front.h"

namespace Carobhall
{

namespace
{

constexpr Micros TickInterval = 20 * MicrosPerMilli;

} // namespace

struct Entry::Impl {
    explicit Impl(EntryOptions entryOptions);

    void tick();
    [[nodiscard]] Json::Value dump();

    EntryOptions options;
    Incarnation incarnation = drawIncarnation();
    Metrics metrics;
    DocumentHolder document;
    AgentLinks links;
    ProbeAllChooser chooser;
    Dispatcher dispatcher;
    HttpFront front;
    AdminListener admin;
    Timer tickTimer;
    bool leaving = false;
    bool stopped = false;
    Micros stopBy = 0;
};

Entry::Impl::Impl(EntryOptions entryOptions)
    : options(std::move(entryOptions))
    , document(options.document)
    , links({
          .keys = fleetKeysFrom(options.settings.process.fleetKeys).value_or(FleetKeys{}),
          .self = { .name = options.settings.process.name,
                    .zone = options.settings.process.zone,
                    .incarnation = incarnation,
                    .kind = static_cast<std::uint8_t>(ProcessKind::Entry),
                    .upstream = {} },
          .onOpen = [this](const AgentLink &link) { dispatcher.linkOpened(link); },
          .onLost = [this](const AgentLink &, ConnectionId connection) { dispatcher.linkLost(connection); },
          .onUnreachable = [this](const AgentLink &link) { dispatcher.linkUnreachable(link); },
          .onMessage = [this](const AgentLink &link, Message message) { dispatcher.received(link, std::move(message)); },
      })
    , chooser(links, document, options.settings.probeTimeout)
    , dispatcher({ .settings = options.settings, .incarnation = incarnation, .links = links, .chooser = chooser, .metrics = metrics })
    , front({ .settings = options.settings, .document = document, .dispatcher = dispatcher, .metrics = metrics })
    , admin({
          .metrics = [this] { return metrics.prometheusText(); },
          .dump = [this] { return dump(); },
          .ready = [this] { return !leaving; },
      })
{
}

void Entry::Impl::tick()
{
    const Micros now = monotonicNow();
    links.tick(now);
    dispatcher.tick(now);
    if (!leaving || stopped) {
        return;
    }
    if (now > stopBy) {
        dispatcher.failAll("the entry process stops");
    }
    const bool idle = front.openRequests() == 0;
    if (idle || now > stopBy + MicrosPerSecond) {
        stopped = true;
        logEvent(idle ? LogLevel::Info : LogLevel::Warning, "stopped", { { "open_requests", front.openRequests() } });
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
    state["open_requests"] = Json::UInt64(front.openRequests());
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
    if (const std::error_code error = impl_->front.listen()) {
        return error;
    }
    if (const std::error_code error = impl_->admin.listen(process.adminAddress)) {
        return error;
    }
    impl_->links.setAddresses(process.seeds);
    impl_->tickTimer.startRepeating(TickInterval, [this] { impl_->tick(); });
    logEvent(LogLevel::Info, "started", { { "incarnation", toHex(impl_->incarnation) }, { "caller_port", callerPort() }, { "admin_port", adminPort() } });
    return {};
}

void Entry::beginShutdown()
{
    if (impl_->leaving) {
        return;
    }
    logEvent(LogLevel::Info, "leaving", { { "open_requests", impl_->front.openRequests() } });
    impl_->leaving = true;
    impl_->stopBy = monotonicNow() + impl_->options.settings.process.shutdownDeadline;
    impl_->front.beginLeaving();
}

std::uint16_t Entry::callerPort() const
{
    return impl_->front.port();
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
