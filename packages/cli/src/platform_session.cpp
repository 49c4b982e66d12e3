#include "platform_session.h"

#include "carobhall/configuration.h"
#include "carobhall/soup_transport.h"

#include <glib.h>

namespace Carobhall::Cli
{

namespace
{

constexpr guint TickIntervalMillis = 10;
constexpr Micros ReadRetryDelay = 100 * MicrosPerMilli;

/// Calls PlatformClient::tick() periodically on the thread-default context, which drives the client's timers.
class PeriodicTick
{
public:
    PeriodicTick(PlatformClient &client, GMainContext *context)
        : source_(g_timeout_source_new(TickIntervalMillis))
    {
        g_source_set_callback(
            source_,
            [](gpointer data) -> gboolean {
                static_cast<PlatformClient *>(data)->tick(monotonicNow());
                return G_SOURCE_CONTINUE;
            },
            &client, nullptr);
        g_source_attach(source_, context);
    }
    ~PeriodicTick()
    {
        g_source_destroy(source_);
        g_source_unref(source_);
    }
    PeriodicTick(const PeriodicTick &) = delete;
    PeriodicTick &operator=(const PeriodicTick &) = delete;

private:
    GSource *source_;
};

/// Whether the same call may succeed later.
bool isTransient(const std::error_code &error)
{
    return error == Errc::PlatformUnavailable || error == Errc::Timeout || error == Errc::ConnectionLost || error == Errc::Overloaded;
}

} // namespace

struct PlatformSession::Impl {
    explicit Impl(PlatformSessionOptions sessionOptions)
        : options(std::move(sessionOptions))
        , context(g_main_context_ref_thread_default())
        , transport({ .address = options.address })
        , client(transport, { .seed = drawIncarnation(), .callTimeout = std::min(options.timeout, 2 * MicrosPerSecond) })
        , tick(client, context)
    {
    }
    ~Impl()
    {
        g_main_context_unref(context);
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    /// Calls \p start with a reply handler and iterates the context until the handler is called.
    template<typename Start>
    PlatformReply waitForReply(Start start)
    {
        const auto reply = std::make_shared<std::optional<PlatformReply>>();
        start([reply](PlatformReply received, Micros) { *reply = std::move(received); });
        while (!*reply) {
            g_main_context_iteration(context, TRUE);
        }
        return std::move(**reply);
    }
    void iterateFor(Micros duration)
    {
        const Micros end = monotonicNow() + duration;
        while (monotonicNow() < end) {
            g_main_context_iteration(context, TRUE);
        }
    }

    PlatformSessionOptions options;
    GMainContext *context;
    SoupTransport transport;
    PlatformClient client;
    PeriodicTick tick;
};

PlatformSession::PlatformSession(PlatformSessionOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

PlatformSession::~PlatformSession() = default;

EnvironmentObject PlatformSession::read(const std::string &environment)
{
    const Micros deadline = monotonicNow() + impl_->options.timeout;
    PlatformReply reply;
    while (true) {
        reply = impl_->waitForReply([&](ReplyHandler done) { impl_->client.call(getCall(EnvironmentKind, environment), monotonicNow(), std::move(done)); });
        if (!isTransient(reply.error) || monotonicNow() + ReadRetryDelay >= deadline) {
            break;
        }
        impl_->iterateFor(ReadRetryDelay);
    }
    if (reply.error == Errc::NotFound) {
        return { .error = {}, .object = { .kind = EnvironmentKind, .name = environment, .uid = {}, .spec = {} }, .text = {} };
    }
    if (reply.error) {
        return { .error = reply.error, .object = {}, .text = {} };
    }
    std::optional<std::string> text = decodeEnvironment(reply.object.spec);
    return { .error = text ? std::error_code() : make_error_code(Errc::InvalidDocument), .object = std::move(reply.object), .text = text.value_or("") };
}

PlatformReply PlatformSession::write(const PlatformObject &base, const std::string &text)
{
    return impl_->waitForReply([&](ReplyHandler done) {
        const Micros now = monotonicNow();
        impl_->client.update(base, encodeEnvironment(text), now, now + impl_->options.timeout, std::move(done));
    });
}

} // namespace Carobhall::Cli
