#include "carobhall/http_client.h"

#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <unordered_map>

namespace Carobhall
{

namespace
{

/// TCP keepalive: detects within three seconds that the peer of a waiting call is unreachable.
constexpr int KeepaliveIdleSeconds = 1;
constexpr int KeepaliveIntervalSeconds = 1;
constexpr int KeepaliveProbeCount = 2;

void onNetworkEvent(SoupMessage * /*message*/, GSocketClientEvent event, GIOStream *connection, gpointer /*data*/)
{
    if (event != G_SOCKET_CLIENT_CONNECTED || !G_IS_SOCKET_CONNECTION(connection)) {
        return;
    }
    GSocket *const socket = g_socket_connection_get_socket(G_SOCKET_CONNECTION(connection));
    g_socket_set_keepalive(socket, TRUE);
    // Failures are ignored: without these options, the time limit of the call detects an unreachable peer, only later.
    (void)g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepaliveIdleSeconds, nullptr);
    (void)g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepaliveIntervalSeconds, nullptr);
    (void)g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepaliveProbeCount, nullptr);
}

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<Impl> {
    struct PendingCall {
        ObjectRef<SoupMessage> message;
        ObjectRef<GCancellable> cancellable;
        std::function<void(HttpReply)> done;
        Timer timer;
        bool timedOut = false;
    };
    /// Passed through the asynchronous operations of one call.
    struct CallContext {
        std::weak_ptr<Impl> owner;
        std::uint64_t callId = 0;
        std::size_t maxReplyBytes = 0;
        ObjectRef<GCancellable> cancellable;
        ObjectRef<GInputStream> stream{};
        HttpReply reply{};
    };
    static constexpr gsize ReadSize = gsize{ 32 } << 10U;

    explicit Impl(const HttpClientOptions &clientOptions)
        : options(clientOptions)
        , session(soup_session_new_with_options("max-conns", options.maxConnections, "max-conns-per-host", options.maxConnections, "idle-timeout",
                                                options.idleTimeoutSeconds, "timeout", 0U, "proxy-resolver", nullptr, nullptr))
    {
    }

    static std::error_code takeError(GError *failure)
    {
        const bool refused = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != FALSE;
        g_error_free(failure);
        return refused ? Errc::PlatformUnavailable : Errc::ConnectionLost;
    }

    static void onHead(GObject *source, GAsyncResult *result, gpointer data)
    {
        std::unique_ptr<CallContext> context(static_cast<CallContext *>(data));
        GError *failure = nullptr;
        context->stream.reset(soup_session_send_finish(SOUP_SESSION(source), result, &failure));
        if (failure != nullptr) {
            context->reply.error = takeError(failure);
            finish(*context);
            return;
        }
        readMore(std::move(context));
    }

    static void readMore(std::unique_ptr<CallContext> context)
    {
        CallContext *const raw = context.release();
        g_input_stream_read_bytes_async(raw->stream.get(), ReadSize, G_PRIORITY_DEFAULT, raw->cancellable.get(), &Impl::onBytes, raw);
    }

    static void onBytes(GObject *source, GAsyncResult *result, gpointer data)
    {
        std::unique_ptr<CallContext> context(static_cast<CallContext *>(data));
        GError *failure = nullptr;
        GBytes *const bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, &failure);
        if (failure != nullptr) {
            context->reply.error = takeError(failure);
            finish(*context);
            return;
        }
        gsize size = 0;
        const auto *const text = static_cast<const char *>(g_bytes_get_data(bytes, &size));
        context->reply.body.append(text == nullptr ? "" : text, size);
        g_bytes_unref(bytes);
        if (context->reply.body.size() > context->maxReplyBytes) {
            // The body may have no end. Cancelling closes the connection.
            context->reply.error = Errc::TooLarge;
            context->reply.body.clear();
            g_cancellable_cancel(context->cancellable.get());
            finish(*context);
            return;
        }
        if (size > 0) {
            readMore(std::move(context));
            return;
        }
        finish(*context);
    }

    static void finish(CallContext &context)
    {
        if (context.stream) {
            // Without a pending operation this closes at once. A body that was read to its end leaves the connection reusable.
            g_input_stream_close(context.stream.get(), context.cancellable.get(), nullptr);
        }
        if (const auto self = context.owner.lock()) {
            self->complete(context.callId, std::move(context.reply));
        }
    }

    /// Whether a reply without a body may have been cut in its head: libsoup takes a head that ends with the connection behind any of its lines
    /// for a whole one. The field that frames the body may be missing then, or the body itself.
    static bool mayBeCutInHead(SoupMessage *message)
    {
        const auto status = static_cast<unsigned>(soup_message_get_status(message));
        const bool hasNoBody = status == SOUP_STATUS_NO_CONTENT || status == SOUP_STATUS_NOT_MODIFIED
            || std::string_view(soup_message_get_method(message)) == "HEAD";
        return !hasNoBody && soup_message_headers_get_encoding(soup_message_get_response_headers(message)) != SOUP_ENCODING_CONTENT_LENGTH;
    }

    void complete(std::uint64_t callId, HttpReply reply)
    {
        const auto found = pendingCalls.find(callId);
        if (found == pendingCalls.end()) {
            return;
        }
        const std::unique_ptr<PendingCall> pendingCall = std::move(found->second);
        pendingCalls.erase(found);
        pendingCall->timer.stop();
        if (pendingCall->timedOut) {
            reply.error = Errc::Timeout;
        } else if (!reply.error && reply.body.empty() && mayBeCutInHead(pendingCall->message.get())) {
            reply.error = Errc::ConnectionLost;
        } else if (!reply.error) {
            reply.status = soup_message_get_status(pendingCall->message.get());
            SoupMessageHeadersIter iterator;
            const char *name = nullptr;
            const char *value = nullptr;
            soup_message_headers_iter_init(&iterator, soup_message_get_response_headers(pendingCall->message.get()));
            while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
                std::string key = name;
                std::ranges::transform(key, key.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
                reply.headers[key] = value;
            }
        }
        pendingCall->done(std::move(reply));
    }

    HttpClientOptions options;
    ObjectRef<SoupSession> session;
    std::unordered_map<std::uint64_t, std::unique_ptr<PendingCall>> pendingCalls;
    std::uint64_t lastCallId = 0;
};

HttpClient::HttpClient(const HttpClientOptions &options)
    : impl_(std::make_shared<Impl>(options))
{
}

HttpClient::~HttpClient()
{
    for (const auto &[callId, pendingCall] : impl_->pendingCalls) {
        g_cancellable_cancel(pendingCall->cancellable.get());
    }
    impl_->pendingCalls.clear();
}

std::uint64_t HttpClient::send(HttpCall call, std::function<void(HttpReply)> done)
{
    const std::uint64_t callId = ++impl_->lastCallId;
    auto pendingCall = std::make_unique<Impl::PendingCall>();
    pendingCall->message.reset(soup_message_new(call.method, call.url.c_str()));
    pendingCall->cancellable.reset(g_cancellable_new());
    pendingCall->done = std::move(done);
    SoupMessage *const message = pendingCall->message.get();
    if (message == nullptr) {
        pendingCall->timer.startOnce(0,
                                     [impl = impl_.get(), callId] { impl->complete(callId, { .error = Errc::InvalidSettings, .headers = {}, .body = {} }); });
        impl_->pendingCalls[callId] = std::move(pendingCall);
        return callId;
    }
    const std::string_view method(call.method);
    if (method != "GET") {
        // libsoup automatically resends a request when a reused connection breaks. Writes must not be resent without the caller's
        // knowledge, so they get a new connection.
        soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
    }
    for (const auto &[name, value] : call.headers) {
        soup_message_headers_replace(soup_message_get_request_headers(message), name.c_str(), value.c_str());
    }
    if (!call.contentType.empty()) {
        GBytes *const body = g_bytes_new(call.body.data(), call.body.size());
        soup_message_set_request_body_from_bytes(message, call.contentType.c_str(), body);
        g_bytes_unref(body);
    }
    g_signal_connect(message, "network-event", G_CALLBACK(&onNetworkEvent), nullptr);
    Impl::PendingCall *const callState = pendingCall.get();
    callState->timer.startOnce(call.timeout, [callState] {
        callState->timedOut = true;
        g_cancellable_cancel(callState->cancellable.get());
    });
    impl_->pendingCalls[callId] = std::move(pendingCall);
    auto context = std::make_unique<Impl::CallContext>(Impl::CallContext{
        .owner = impl_, .callId = callId, .maxReplyBytes = impl_->options.maxReplyBytes, .cancellable = refObject(callState->cancellable.get()) });
    soup_session_send_async(impl_->session.get(), message, G_PRIORITY_DEFAULT, callState->cancellable.get(), &Impl::onHead, context.release());
    return callId;
}

void HttpClient::cancel(std::uint64_t call)
{
    const auto found = impl_->pendingCalls.find(call);
    if (found == impl_->pendingCalls.end()) {
        return;
    }
    const std::unique_ptr<Impl::PendingCall> pendingCall = std::move(found->second);
    impl_->pendingCalls.erase(found);
    g_cancellable_cancel(pendingCall->cancellable.get());
}

} // namespace Carobhall
