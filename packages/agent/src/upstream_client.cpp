#include "upstream_client.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

constexpr Micros PollInterval = 500 * MicrosPerMilli;
/// An unreachable upstream counts as down for this long, unless it answers a poll earlier.
constexpr Micros DownPeriod = MicrosPerSecond;
/// Polls fail when the upstream sends nothing for this long, because it has then probably hung.
constexpr guint ReadTimeoutSeconds = 30;
/// Limits how long the outcomes of failed calls are held back by the liveness check.
constexpr guint CheckTimeoutSeconds = 1;
constexpr int MaxConnections = 1024;

} // namespace

UpstreamClient::UpstreamClient(Options options)
    : options_(std::move(options))
    , session_(soup_session_new_with_options("max-conns", MaxConnections, "max-conns-per-host", MaxConnections, "timeout", ReadTimeoutSeconds, nullptr))
    , checkSession_(soup_session_new_with_options("timeout", CheckTimeoutSeconds, nullptr))
    , cancellable_(g_cancellable_new())
{
    // Polls ask for replies without an encoding.
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
        noteIncarnation(answer.incarnation);
        forward(answer);
    };
    events.onAnswer = std::move(onAnswer);
    return std::make_unique<UpstreamCall>(std::move(request), std::move(events));
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
    httpGet(session_.get(), "http://" + options_.address + "/load", cancellable_.get(), [this](const HttpReply &reply) {
        pollRunning_ = false;
        if (reply.status == 0) {
            noteUnreachable();
            return;
        }
        downUntil_ = 0;
        noteIncarnation(incarnationFrom(reply.incarnation));
        if (options_.onLoad) {
            options_.onLoad(reply.body);
        }
    });
}

void UpstreamClient::check(Incarnation expected, std::function<void(EngineCheck)> done)
{
    httpGet(checkSession_.get(), "http://" + options_.address + "/load", cancellable_.get(), [this, expected, done = std::move(done)](const HttpReply &reply) {
        if (reply.status == 0) {
            noteUnreachable();
            done(reply.timedOut ? EngineCheck::Unknown : EngineCheck::Gone);
            return;
        }
        const Incarnation seen = incarnationFrom(reply.incarnation);
        done(seen == 0 || seen == expected ? EngineCheck::Alive : EngineCheck::Gone);
        noteIncarnation(seen);
    });
}

void UpstreamClient::noteIncarnation(Incarnation seen)
{
    if (seen == 0 || seen == incarnation_ || std::find(formerIncarnations_.begin(), formerIncarnations_.end(), seen) != formerIncarnations_.end()) {
        return;
    }
    logEvent(LogLevel::Info, "upstream_incarnation", { { "before", toHex(incarnation_) }, { "now", toHex(seen) } });
    formerIncarnations_[nextFormerIndex_] = incarnation_;
    nextFormerIndex_ = (nextFormerIndex_ + 1) % MaxFormerIncarnations;
    incarnation_ = seen;
    options_.onIncarnation(seen);
}

} // namespace Carobhall
