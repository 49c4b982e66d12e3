#include "carobhall/runtime.h"

#include <gio/gio.h>

#include <charconv>

namespace Carobhall
{

namespace
{

ObjectRef<GSocketAddress> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return nullptr;
    }
    const std::string_view portText = std::string_view(address).substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || end != portText.data() + portText.size()) {
        return nullptr;
    }
    return ObjectRef<GSocketAddress>(g_inet_socket_address_new_from_string(address.substr(0, colon).c_str(), port));
}

void respond(SoupServerMessage *message, SoupStatus status, const char *contentType, const std::string &body)
{
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, contentType, SOUP_MEMORY_COPY, body.data(), body.size());
}

} // namespace

std::error_code listenHttp(SoupServer *server, const std::string &address, std::uint16_t &port)
{
    const auto socketAddress = parseAddress(address);
    if (socketAddress == nullptr) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    GError *failure = nullptr;
    if (soup_server_listen(server, socketAddress.get(), SoupServerListenOptions{}, &failure) == FALSE) {
        const bool inUse = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE) != FALSE;
        g_error_free(failure);
        return std::make_error_code(inUse ? std::errc::address_in_use : std::errc::address_not_available);
    }
    GSList *const uris = soup_server_get_uris(server);
    port = static_cast<std::uint16_t>(g_uri_get_port(static_cast<GUri *>(uris->data)));
    g_slist_free_full(uris, [](gpointer uri) { g_uri_unref(static_cast<GUri *>(uri)); });
    return {};
}

void dropRequestBodies(SoupServer *server)
{
    const auto onStarted = +[](SoupServer * /*self*/, SoupServerMessage *message, gpointer /*data*/) {
        soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    };
    g_signal_connect(server, "request-started", G_CALLBACK(onStarted), nullptr);
}

AdminListener::AdminListener(Options options)
    : options_(std::move(options))
    , server_(soup_server_new("server-header", "carobhall", nullptr))
{
    dropRequestBodies(server_.get());
    soup_server_add_handler(server_.get(), nullptr, &AdminListener::onRequest, this, nullptr);
}

AdminListener::~AdminListener()
{
    soup_server_disconnect(server_.get());
}

std::error_code AdminListener::listen(const std::string &address)
{
    return listenHttp(server_.get(), address, port_);
}

std::uint16_t AdminListener::port() const
{
    return port_;
}

void AdminListener::onRequest(SoupServer * /*server*/, SoupServerMessage *message, const char *path, GHashTable * /*query*/, gpointer self)
{
    const Options &options = static_cast<AdminListener *>(self)->options_;
    const std::string_view requestedPath(path);
    if (requestedPath == "/metrics") {
        respond(message, SOUP_STATUS_OK, "text/plain; version=0.0.4", options.metrics());
    } else if (requestedPath == "/dump") {
        respond(message, SOUP_STATUS_OK, "application/json", writeJson(options.dump()) + "\n");
    } else if (requestedPath == "/healthz") {
        respond(message, SOUP_STATUS_OK, "text/plain", "ok\n");
    } else if (requestedPath == "/readyz") {
        const bool ready = options.ready();
        respond(message, ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain", ready ? "ready\n" : "not ready\n");
    } else {
        respond(message, SOUP_STATUS_NOT_FOUND, "text/plain", "not found\n");
    }
}

} // namespace Carobhall
