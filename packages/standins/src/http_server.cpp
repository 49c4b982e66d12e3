#include "http_server.h"

#include "json_text.h"

#include <gio/gio.h>

namespace Carobhall::Standin
{

// Exchange ----------------------------------------------------------------------------------------

Exchange::Exchange(SoupServerMessage *message, HttpRequest request)
    : message_(SOUP_SERVER_MESSAGE(g_object_ref(message)))
    , request_(std::move(request))
{
    finishedSignal_ = g_signal_connect(message_, "finished", G_CALLBACK(&Exchange::onFinished), this);
    soup_server_message_pause(message_);
}

Exchange::~Exchange()
{
    g_signal_handler_disconnect(message_, finishedSignal_);
    g_object_unref(message_);
}

const HttpRequest &Exchange::request() const
{
    return request_;
}

bool Exchange::finished() const
{
    return finished_;
}

void Exchange::onFinished(SoupServerMessage * /*message*/, gpointer self)
{
    auto *const that = static_cast<Exchange *>(self);
    that->finished_ = true;
    // This may drop the last reference and delete the exchange on return.
    const ExchangePtr keepAlive = std::move(that->self_);
}

ExchangePtr Exchange::make(SoupServerMessage *message, HttpRequest request)
{
    ExchangePtr exchange(new Exchange(message, std::move(request)));
    exchange->self_ = exchange;
    return exchange;
}

void Exchange::setHeaders(const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers) {
        soup_message_headers_replace(soup_server_message_get_response_headers(message_), name.c_str(), value.c_str());
    }
}

void Exchange::reply(int status, const Json::Value &body, const HttpHeaders &headers)
{
    if (finished_) {
        return;
    }
    const std::string text = writeJsonText(body) + "\n";
    setHeaders(headers);
    soup_server_message_set_status(message_, static_cast<guint>(status), nullptr);
    soup_server_message_set_response(message_, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
    soup_server_message_unpause(message_);
}

void Exchange::begin(int status, const char *contentType, const HttpHeaders &headers)
{
    if (finished_) {
        return;
    }
    SoupMessageHeaders *response = soup_server_message_get_response_headers(message_);
    setHeaders(headers);
    streaming_ = true;
    soup_message_headers_set_content_type(response, contentType, nullptr);
    soup_message_headers_set_encoding(response, SOUP_ENCODING_CHUNKED);
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message_), FALSE);
    soup_server_message_set_status(message_, static_cast<guint>(status), nullptr);
    soup_server_message_unpause(message_);
}

void Exchange::write(std::string_view text)
{
    if (finished_ || text.empty()) {
        return;
    }
    soup_message_body_append(soup_server_message_get_response_body(message_), SOUP_MEMORY_COPY, text.data(), text.size());
    soup_server_message_unpause(message_);
}

void Exchange::end()
{
    if (finished_) {
        return;
    }
    soup_message_body_complete(soup_server_message_get_response_body(message_));
    soup_server_message_unpause(message_);
}

void Exchange::drop()
{
    if (finished_) {
        return;
    }
    if (GSocket *socket = soup_server_message_get_socket(message_); socket != nullptr) {
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
    // libsoup ends the exchange only when a write fails, so some output has to be queued.
    if (streaming_) {
        write("\n");
    } else {
        reply(500, Json::Value());
    }
}

// HttpServer --------------------------------------------------------------------------------------

HttpServer::HttpServer(Handler handler)
    : server_(soup_server_new(nullptr, nullptr))
    , handler_(std::move(handler))
{
    soup_server_add_handler(server_, nullptr, &HttpServer::onRequest, this, nullptr);
}

HttpServer::~HttpServer()
{
    soup_server_disconnect(server_);
    g_object_unref(server_);
}

bool HttpServer::listen(std::uint16_t port)
{
    return soup_server_listen_local(server_, port, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr) != FALSE;
}

std::uint16_t HttpServer::port() const
{
    GSList *uris = soup_server_get_uris(server_);
    const int port = uris == nullptr ? 0 : g_uri_get_port(static_cast<GUri *>(uris->data));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    return static_cast<std::uint16_t>(port);
}

void HttpServer::setCommonHeader(const std::string &name, const std::string &value)
{
    commonHeaders_.emplace_back(name, value);
}

void HttpServer::onRequest(SoupServer * /*server*/, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self)
{
    auto *const that = static_cast<HttpServer *>(self);
    HttpRequest request{ .method = soup_server_message_get_method(message), .path = path, .query = {}, .body = {}, .idempotencyKey = {} };
    if (query != nullptr) {
        GHashTableIter iterator;
        gpointer key = nullptr;
        gpointer value = nullptr;
        g_hash_table_iter_init(&iterator, query);
        while (g_hash_table_iter_next(&iterator, &key, &value) != FALSE) {
            request.query.emplace(static_cast<const char *>(key), static_cast<const char *>(value));
        }
    }
    if (const SoupMessageBody *body = soup_server_message_get_request_body(message); body != nullptr && body->length > 0) {
        request.body.assign(body->data, static_cast<std::size_t>(body->length));
    }
    if (const char *key = soup_message_headers_get_one(soup_server_message_get_request_headers(message), "Idempotency-Key"); key != nullptr) {
        request.idempotencyKey = key;
    }
    for (const auto &[name, value] : that->commonHeaders_) {
        soup_message_headers_replace(soup_server_message_get_response_headers(message), name.c_str(), value.c_str());
    }
    that->handler_(Exchange::make(message, std::move(request)));
}

// Timer -------------------------------------------------------------------------------------------

namespace
{

GSourceFuncs &timerFunctions()
{
    static GSourceFuncs functions{ .prepare = nullptr,
                                   .check = nullptr,
                                   .dispatch = [](GSource * /*source*/, GSourceFunc callback, gpointer data) { return callback(data); },
                                   .finalize = nullptr,
                                   .closure_callback = nullptr,
                                   .closure_marshal = nullptr };
    return functions;
}

} // namespace

Timer::Timer(std::function<void()> callback)
    : source_(g_source_new(&timerFunctions(), sizeof(GSource)))
    , callback_(std::move(callback))
{
    g_source_set_callback(source_, &Timer::onReady, this, nullptr);
    g_source_attach(source_, g_main_context_get_thread_default());
}

Timer::~Timer()
{
    g_source_destroy(source_);
    g_source_unref(source_);
}

void Timer::setAt(std::optional<Micros> at)
{
    constexpr gint64 never = -1;
    g_source_set_ready_time(source_, at ? std::max<gint64>(*at, 0) : never);
}

gboolean Timer::onReady(gpointer self)
{
    auto *const that = static_cast<Timer *>(self);
    that->setAt(std::nullopt);
    that->callback_();
    return G_SOURCE_CONTINUE;
}

void callLater(Micros delay, std::function<void()> callback)
{
    GSource *source = g_source_new(&timerFunctions(), sizeof(GSource));
    g_source_set_callback(
        source,
        [](gpointer data) -> gboolean {
            (*static_cast<std::function<void()> *>(data))();
            return G_SOURCE_REMOVE;
        },
        new std::function<void()>(std::move(callback)), [](gpointer data) { delete static_cast<std::function<void()> *>(data); });
    g_source_set_ready_time(source, monotonicNow() + delay);
    g_source_attach(source, g_main_context_get_thread_default());
    g_source_unref(source);
}

} // namespace Carobhall::Standin
