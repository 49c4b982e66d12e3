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

/// Probes notice within three seconds that a waiting call's connection has gone silent.
constexpr int ProbeIdleSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
constexpr int ProbeCount = 2;

void onNetworkEvent(SoupMessage * /*message*/, GSocketClientEvent event, GIOStream *connection, gpointer /*data*/)
{
    if (event != G_SOCKET_CLIENT_CONNECTED || !G_IS_SOCKET_CONNECTION(connection)) {
        return;
    }
    GSocket *const socket = g_socket_connection_get_socket(G_SOCKET_CONNECTION(connection));
    g_socket_set_keepalive(socket, TRUE);
    // Without these options a silent connection is noticed later, by the time limit of its call.
    (void)g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, ProbeIdleSeconds, nullptr);
    (void)g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds, nullptr);
    (void)g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount, nullptr);
}

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<Impl> {
    struct Flight {
        ObjectRef<SoupMessage> message;
        ObjectRef<GCancellable> cancellable;
        std::function<void(HttpReply)> done;
        Timer timer;
        bool timedOut = false;
    };
    struct Finish {
        std::weak_ptr<Impl> owner;
        std::uint64_t number = 0;
    };

    explicit Impl(const HttpClientOptions &clientOptions)
        : options(clientOptions)
        , session(soup_session_new_with_options("max-conns", options.maxConnections, "max-conns-per-host", options.maxConnections, "idle-timeout",
                                                options.idleTimeoutSeconds, "timeout", 0U, "proxy-resolver", nullptr, nullptr))
    {
    }

    static void onDone(GObject *source, GAsyncResult *result, gpointer data)
    {
        const std::unique_ptr<Finish> finish(static_cast<Finish *>(data));
        GError *failure = nullptr;
        GBytes *const bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &failure);
        HttpReply reply;
        const bool refused = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != FALSE;
        if (failure != nullptr) {
            reply.error = refused ? Errc::PlatformUnavailable : Errc::ConnectionLost;
            g_error_free(failure);
        }
        if (bytes != nullptr) {
            gsize size = 0;
            const auto *const text = static_cast<const char *>(g_bytes_get_data(bytes, &size));
            reply.body.assign(text == nullptr ? "" : text, size);
            g_bytes_unref(bytes);
        }
        if (const auto self = finish->owner.lock()) {
            self->complete(finish->number, std::move(reply));
        }
    }

    void complete(std::uint64_t number, HttpReply reply)
    {
        const auto found = flights.find(number);
        if (found == flights.end()) {
            return;
        }
        const std::unique_ptr<Flight> flight = std::move(found->second);
        flights.erase(found);
        flight->timer.stop();
        if (flight->timedOut) {
            reply.error = Errc::Timeout;
        } else if (!reply.error) {
            reply.status = soup_message_get_status(flight->message.get());
            SoupMessageHeadersIter iterator;
            const char *name = nullptr;
            const char *value = nullptr;
            soup_message_headers_iter_init(&iterator, soup_message_get_response_headers(flight->message.get()));
            while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
                std::string key = name;
                std::ranges::transform(key, key.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
                reply.headers[key] = value;
            }
            if (reply.body.size() > options.maxReplyBytes) {
                reply.error = Errc::TooLarge;
            }
        }
        flight->done(std::move(reply));
    }

    HttpClientOptions options;
    ObjectRef<SoupSession> session;
    std::unordered_map<std::uint64_t, std::unique_ptr<Flight>> flights;
    std::uint64_t lastNumber = 0;
};

HttpClient::HttpClient(const HttpClientOptions &options)
    : impl_(std::make_shared<Impl>(options))
{
}

HttpClient::~HttpClient()
{
    for (const auto &[number, flight] : impl_->flights) {
        g_cancellable_cancel(flight->cancellable.get());
    }
    impl_->flights.clear();
}

std::uint64_t HttpClient::send(HttpCall call, std::function<void(HttpReply)> done)
{
    const std::uint64_t number = ++impl_->lastNumber;
    auto flight = std::make_unique<Impl::Flight>();
    flight->message.reset(soup_message_new(call.method, call.url.c_str()));
    flight->cancellable.reset(g_cancellable_new());
    flight->done = std::move(done);
    SoupMessage *const message = flight->message.get();
    if (message == nullptr) {
        flight->timer.startOnce(0, [impl = impl_.get(), number] { impl->complete(number, { .error = Errc::InvalidSettings, .headers = {}, .body = {} }); });
        impl_->flights[number] = std::move(flight);
        return number;
    }
    const std::string_view method(call.method);
    if (method != "GET") {
        // libsoup repeats a call by itself when a connection that was used before breaks. A write must not be repeated unseen.
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
    Impl::Flight *const raw = flight.get();
    raw->timer.startOnce(call.timeout, [raw] {
        raw->timedOut = true;
        g_cancellable_cancel(raw->cancellable.get());
    });
    impl_->flights[number] = std::move(flight);
    soup_session_send_and_read_async(impl_->session.get(), message, G_PRIORITY_DEFAULT, raw->cancellable.get(), &Impl::onDone,
                                     new Impl::Finish{ .owner = impl_, .number = number });
    return number;
}

void HttpClient::cancel(std::uint64_t call)
{
    const auto found = impl_->flights.find(call);
    if (found == impl_->flights.end()) {
        return;
    }
    const std::unique_ptr<Impl::Flight> flight = std::move(found->second);
    impl_->flights.erase(found);
    g_cancellable_cancel(flight->cancellable.get());
}

} // namespace Carobhall
