#define BOOST_TEST_MODULE soup
#include <boost/test/unit_test.hpp>

#include "carobhall/soup_transport.h"

#include <json/reader.h>
#include <json/writer.h>
#include <libsoup/soup.h>

using namespace Carobhall;

namespace
{

/// HTTP server with the platform's interface and a single object.
struct Server {
    Server()
        : server(soup_server_new(nullptr, nullptr))
    {
        soup_server_add_handler(
            server, nullptr,
            [](SoupServer *, SoupServerMessage *message, const char *, GHashTable *query, gpointer self) {
                static_cast<Server *>(self)->handle(message, query);
            },
            this, nullptr);
        soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr);
        GSList *uris = soup_server_get_uris(server);
        port = g_uri_get_port(static_cast<GUri *>(uris->data));
        g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(&g_uri_unref));
    }
    ~Server()
    {
        soup_server_disconnect(server);
        g_object_unref(server);
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    static void answer(SoupServerMessage *message, unsigned status, const std::string &body)
    {
        soup_server_message_set_status(message, status, nullptr);
        soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
    }

    [[nodiscard]] std::string object() const
    {
        return R"({"metadata":{"name":"one","resourceVersion":")" + std::to_string(version) + R"(","uid":"u"},"spec":)" + spec + "}";
    }

    void handle(SoupServerMessage *message, GHashTable *query)
    {
        const std::string method = soup_server_message_get_method(message);
        if (query != nullptr && g_hash_table_contains(query, "watch") != FALSE) {
            const bool old = std::string(static_cast<const char *>(g_hash_table_lookup(query, "resourceVersion"))) == "1";
            answer(message, old ? 410 : 200, R"({"type":"MODIFIED","object":)" + object() + "}\n");
            return;
        }
        const bool isList = !std::string(g_uri_get_path(soup_server_message_get_uri(message))).ends_with("/one");
        if (method == "GET" && isList) {
            answer(message, 200, R"({"metadata":{"resourceVersion":"9"},"items":[)" + object() + "]}");
            return;
        }
        if (method == "PUT") {
            const SoupMessageBody *body = soup_server_message_get_request_body(message);
            Json::Value json;
            Json::Reader().parse(std::string(body->data, static_cast<std::size_t>(body->length)), json);
            if (json["metadata"]["resourceVersion"].asString() != std::to_string(version)) {
                answer(message, 409, "{}");
                return;
            }
            ++version;
            spec = Json::writeString(Json::StreamWriterBuilder(), json["spec"]);
            if (std::exchange(loseAnswer, false)) {
                GSocket *socket = soup_server_message_get_socket(message);
                g_socket_close(socket, nullptr);
                return;
            }
        }
        answer(message, 200, object());
    }

    SoupServer *server;
    int port = 0;
    std::uint64_t version = 5;
    std::string spec = "{}";
    bool loseAnswer = false;
};

PlatformReply callNow(SoupTransport &transport, PlatformCall call)
{
    std::optional<PlatformReply> reply;
    transport.call(std::move(call), [&](PlatformReply given, Micros) { reply = std::move(given); });
    while (!reply) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return *reply;
}

PlatformObject objectAt(std::uint64_t version)
{
    return { .kind = "things", .name = "one", .uid = {}, .version = version, .spec = {} };
}

} // namespace

// Guards against calls that deviate from the platform's HTTP protocol, and against wrong verdicts, in particular when the reply to a
// conditional write is lost.
BOOST_AUTO_TEST_CASE(callsAndVerdicts)
{
    Server server;
    SoupTransport transport({ .address = "127.0.0.1:" + std::to_string(server.port) });
    const PlatformReply read = callNow(transport, getCall("things", "one"));
    BOOST_TEST(!read.error);
    BOOST_TEST(read.object.version == 5U);
    const PlatformReply list = callNow(transport, listCall("things"));
    BOOST_TEST(list.listVersion == 9U);
    BOOST_TEST(list.items.size() == 1U);

    Json::Value spec(Json::objectValue);
    spec["a"] = 1;
    const PlatformReply written = callNow(transport, writeCall(objectAt(5), spec));
    BOOST_TEST((written.verdict == Verdict::Ran));
    BOOST_TEST(written.object.version == 6U);
    const PlatformReply stale = callNow(transport, writeCall(objectAt(5), spec));
    BOOST_TEST((stale.error == Errc::Conflict));
    BOOST_TEST((stale.verdict == Verdict::NotRun));

    // If libsoup retried the write automatically, this would be reported as a conflict.
    server.loseAnswer = true;
    const PlatformReply lost = callNow(transport, writeCall(objectAt(6), spec));
    BOOST_TEST((lost.error == Errc::ConnectionLost));
    BOOST_TEST((lost.verdict == Verdict::MayHaveRun));
    BOOST_TEST(server.version == 7U);
}

// Guards against a write that is reported as MayHaveRun although the connection was refused, so that it was never sent.
BOOST_AUTO_TEST_CASE(refusedConnectionIsNotRun)
{
    int port = 0;
    {
        const Server gone;
        port = gone.port;
    }
    SoupTransport transport({ .address = "127.0.0.1:" + std::to_string(port) });
    const PlatformReply reply = callNow(transport, writeCall(objectAt(5), Json::Value(Json::objectValue)));
    BOOST_TEST((reply.error == Errc::PlatformUnavailable));
    BOOST_TEST((reply.verdict == Verdict::NotRun));
}

// Guards against watch events that are not decoded, and against an outdated start version (HTTP 410) that is not reported as Gone.
BOOST_AUTO_TEST_CASE(watchDeliversLines)
{
    Server server;
    SoupTransport transport({ .address = "127.0.0.1:" + std::to_string(server.port) });
    std::vector<WatchEventType> events;
    std::uint64_t version = 0;
    const auto watchFrom = [&](std::uint64_t from, std::size_t count) {
        events.clear();
        transport.watch("things", from, [&](const WatchEvent &event, Micros) {
            events.push_back(event.type);
            version = std::max(version, event.object.version);
        });
        while (events.size() < count) {
            g_main_context_iteration(nullptr, TRUE);
        }
    };
    watchFrom(4, 2);
    BOOST_TEST((events == std::vector{ WatchEventType::Put, WatchEventType::Closed }));
    BOOST_TEST(version == 5U);
    watchFrom(1, 1);
    BOOST_TEST((events == std::vector{ WatchEventType::Gone }));
}
