#include "upstream_client.h"

namespace Carobhall
{

namespace
{

constexpr Micros PollInterval = 500 * MicrosPerMilli;
/// An upstream that refused a connection is avoided this long, unless it answers a poll before.
constexpr Micros DownPeriod = MicrosPerSecond;
/// An engine that is silent this long inside a call has hung.
constexpr guint StallSeconds = 30;
constexpr int MaxConnections = 1024;

} // namespace

UpstreamClient::UpstreamClient(Options options)
    : options_(std::move(options))
    , session_(soup_session_new_with_options("max-conns", MaxConnections, "max-conns-per-host", MaxConnections, "timeout", StallSeconds, nullptr))
    , cancellable_(g_cancellable_new())
{
    // Answers pass through byte for byte.
    soup_session_remove_feature_by_type(session_.get(), SOUP_TYPE_CONTENT_DECODER);
}

UpstreamClient::~UpstreamClient()
{
    g_cancellable_cancel(cancellable_.get());
}

void UpstreamClient::start(bool isModel)
{
    if (isModel) {
        poll();
        pollTimer_.startRepeating(PollInterval, [this] { poll(); });
    }
}

std::unique_ptr<UpstreamCall> UpstreamClient::makeCall(UpstreamRequest request, const std::string &path, UpstreamCall::Events events)
{
    request.url = "http://" + options_.address + path;
    auto onAnswer = [this, forward = std::move(events.onAnswer)](const UpstreamAnswer &answer) {
        learn(answer.incarnation);
        forward(answer);
    };
    events.onAnswer = std::move(onAnswer);
    return std::make_unique<UpstreamCall>(session_.get(), std::move(request), std::move(events));
}

void UpstreamClient::cancelAtEngine(const std::string &requestId)
{
    const ObjectRef<SoupMessage> message(soup_message_new("POST", ("http://" + options_.address + "/cancel").c_str()));
    Json::Value body(Json::objectValue);
    body["request_id"] = requestId;
    const std::string text = writeJson(body);
    GBytes *const bytes = g_bytes_new(text.data(), text.size());
    soup_message_set_request_body_from_bytes(message.get(), "application/json", bytes);
    g_bytes_unref(bytes);
    soup_session_send_and_read_async(session_.get(), message.get(), G_PRIORITY_DEFAULT, cancellable_.get(), nullptr, nullptr);
}

Incarnation UpstreamClient::incarnation() const
{
    return incarnation_;
}

bool UpstreamClient::isDown() const
{
    return monotonicNow() < downUntil_;
}

void UpstreamClient::noteUnreachable()
{
    downUntil_ = monotonicNow() + DownPeriod;
}

void UpstreamClient::poll()
{
    if (pollRunning_) {
        return;
    }
    pollRunning_ = true;
    struct Pending {
        UpstreamClient *client;
        ObjectRef<SoupSession> session;
        ObjectRef<SoupMessage> message;
        ObjectRef<GCancellable> cancellable;
    };
    auto *const pending = new Pending{
        .client = this,
        .session = refObject(session_.get()),
        .message = ObjectRef<SoupMessage>(soup_message_new("GET", ("http://" + options_.address + "/load").c_str())),
        .cancellable = refObject(cancellable_.get()),
    };
    soup_session_send_and_read_async(
        session_.get(), pending->message.get(), G_PRIORITY_DEFAULT, cancellable_.get(),
        [](GObject *, GAsyncResult *result, gpointer data) {
            const std::unique_ptr<Pending> done(static_cast<Pending *>(data));
            GBytes *bytes = soup_session_send_and_read_finish(done->session.get(), result, nullptr);
            if (g_cancellable_is_cancelled(done->cancellable.get()) != FALSE) {
                g_clear_pointer(&bytes, g_bytes_unref);
                return;
            }
            UpstreamClient &client = *done->client;
            client.pollRunning_ = false;
            if (bytes == nullptr) {
                client.noteUnreachable();
                return;
            }
            g_bytes_unref(bytes);
            client.downUntil_ = 0;
            const char *const seen = soup_message_headers_get_one(soup_message_get_response_headers(done->message.get()), "Engine-Incarnation");
            client.learn(seen == nullptr ? 0 : incarnationFrom(seen));
        },
        pending);
}

void UpstreamClient::learn(Incarnation seen)
{
    if (seen == 0 || seen == incarnation_) {
        return;
    }
    logEvent(LogLevel::Info, "upstream_incarnation", { { "before", toHex(incarnation_) }, { "now", toHex(seen) } });
    incarnation_ = seen;
    options_.onIncarnation(seen);
}

} // namespace Carobhall
