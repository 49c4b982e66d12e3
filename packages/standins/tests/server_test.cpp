#define BOOST_TEST_MODULE standins
#include <boost/test/unit_test.hpp>

#include "carobhall/standins.h"

#include <libsoup/soup.h>

#include <cstdlib>

using namespace Carobhall;
using namespace Carobhall::Standin;

namespace
{

constexpr Micros AnswerTimeout = 5 * MicrosPerSecond;

struct Answer {
    bool done = false;
    int status = 0; ///< 0: the connection closed without an answer.
    std::string body;
    std::map<std::string, std::string> headers;
};

/// An HTTP client that runs on the same thread-default GMainContext as the servers.
class Client
{
public:
    Client()
        : session_(soup_session_new())
    {
    }
    ~Client()
    {
        soup_session_abort(session_);
        g_object_unref(session_);
    }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    std::shared_ptr<Answer> start(std::uint16_t port, const char *method, const std::string &path, const std::string &body = {},
                                  const std::string &idempotencyKey = {})
    {
        SoupMessage *message = soup_message_new(method, ("http://127.0.0.1:" + std::to_string(port) + path).c_str());
        // On a reused connection, libsoup resends an idempotent request when the answer is lost.
        soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
        if (!body.empty()) {
            GBytes *bytes = g_bytes_new(body.data(), body.size());
            soup_message_set_request_body_from_bytes(message, "application/json", bytes);
            g_bytes_unref(bytes);
        }
        if (!idempotencyKey.empty()) {
            soup_message_headers_append(soup_message_get_request_headers(message), "Idempotency-Key", idempotencyKey.c_str());
        }
        auto answer = std::make_shared<Answer>();
        soup_session_send_and_read_async(session_, message, G_PRIORITY_DEFAULT, nullptr, &Client::onDone, new std::shared_ptr<Answer>(answer));
        g_object_unref(message);
        return answer;
    }

    Answer call(std::uint16_t port, const char *method, const std::string &path, const std::string &body = {}, const std::string &idempotencyKey = {})
    {
        const auto answer = start(port, method, path, body, idempotencyKey);
        wait(*answer);
        return *answer;
    }

    static void wait(const Answer &answer)
    {
        const Micros until = monotonicNow() + AnswerTimeout;
        while (!answer.done && monotonicNow() < until) {
            g_main_context_iteration(nullptr, FALSE);
            g_usleep(100);
        }
        BOOST_REQUIRE(answer.done);
    }

private:
    static void onDone(GObject *session, GAsyncResult *result, gpointer data)
    {
        const std::unique_ptr<std::shared_ptr<Answer>> answer(static_cast<std::shared_ptr<Answer> *>(data));
        SoupMessage *message = soup_session_get_async_result_message(SOUP_SESSION(session), result);
        GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, nullptr);
        (*answer)->done = true;
        if (bytes == nullptr) {
            return;
        }
        gsize size = 0;
        const void *body = g_bytes_get_data(bytes, &size);
        (*answer)->body.assign(static_cast<const char *>(body), size);
        (*answer)->status = static_cast<int>(soup_message_get_status(message));
        soup_message_headers_foreach(
            soup_message_get_response_headers(message),
            [](const char *name, const char *value, gpointer headers) { (*static_cast<std::map<std::string, std::string> *>(headers))[name] = value; },
            &(*answer)->headers);
        g_bytes_unref(bytes);
    }

    SoupSession *session_ = nullptr;
};

Json::Value parse(const std::string &text)
{
    Json::Value value;
    Json::Reader reader;
    BOOST_REQUIRE(reader.parse(text, value));
    return value;
}

std::vector<Json::Value> sseEvents(const std::string &body)
{
    std::vector<Json::Value> events;
    constexpr std::string_view prefix = "data: ";
    for (std::size_t at = 0; at < body.size();) {
        const std::size_t end = body.find("\n\n", at);
        BOOST_REQUIRE(end != std::string::npos);
        const std::string data = body.substr(at + prefix.size(), end - at - prefix.size());
        if (data != "[DONE]") {
            events.push_back(parse(data));
        }
        at = end + 2;
    }
    return events;
}

/// A stand-in that runs in its own process, for tests of faults that end the process.
class StandinProcess
{
public:
    StandinProcess(std::vector<const char *> arguments)
    {
        const std::string program = std::string(std::getenv("CAROBHALL_BIN")) + "/carobhall-standin"; // NOLINT(concurrency-mt-unsafe)
        arguments.insert(arguments.begin(), program.c_str());
        arguments.push_back(nullptr);
        process_ = g_subprocess_newv(arguments.data(), G_SUBPROCESS_FLAGS_STDOUT_PIPE, nullptr);
        BOOST_REQUIRE(process_ != nullptr);
        output_ = g_data_input_stream_new(g_subprocess_get_stdout_pipe(process_));
        const std::string line = readLine();
        BOOST_REQUIRE(line.starts_with("listening=127.0.0.1:"));
        port_ = static_cast<std::uint16_t>(std::stoi(line.substr(line.rfind(':') + 1)));
    }
    ~StandinProcess()
    {
        g_subprocess_force_exit(process_);
        g_subprocess_wait(process_, nullptr, nullptr);
        g_object_unref(output_);
        g_object_unref(process_);
    }
    StandinProcess(const StandinProcess &) = delete;
    StandinProcess &operator=(const StandinProcess &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    std::string readLine()
    {
        char *line = g_data_input_stream_read_line(output_, nullptr, nullptr, nullptr);
        std::string text = line == nullptr ? "" : line;
        g_free(line);
        return text;
    }

private:
    GSubprocess *process_ = nullptr;
    GDataInputStream *output_ = nullptr;
    std::uint16_t port_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(servers)

// Guards against a stream that deviates from the documented format: SSE chunks with indices, usage, [DONE], and the headers
// Cached-Pieces and Engine-Incarnation.
BOOST_AUTO_TEST_CASE(engineStreamsTokens)
{
    const auto server = startEngine(0, { .prefillPerPiece = 10, .decodePerToken = 1'000 });
    Client client;
    const std::string prompt(200, 'p');
    const std::string body = R"({"prompt": ")" + prompt + R"(", "max_tokens": 5, "stream": true, "cache_salt": "0x1f"})";
    Answer answer = client.call(server->port(), "POST", "/v1/completions", body);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.headers["Cached-Pieces"] == "0");
    BOOST_TEST(answer.headers["Engine-Incarnation"].size() == 16U);
    BOOST_TEST(answer.body.ends_with("data: [DONE]\n\n"));
    const std::vector<Json::Value> events = sseEvents(answer.body);
    BOOST_REQUIRE(events.size() == 6U);
    for (std::uint64_t i = 0; i < 5; ++i) {
        BOOST_TEST(events[i]["index"].asUInt64() == i);
        BOOST_TEST(events[i]["choices"][0]["text"].asString() == tokenText(prompt, i));
    }
    BOOST_TEST(events[5]["choices"][0]["finish_reason"].asString() == "length");

    answer = client.call(server->port(), "POST", "/v1/completions", body);
    BOOST_TEST(answer.headers["Cached-Pieces"] == "3");
    BOOST_TEST(sseEvents(answer.body)[5]["usage"]["prompt_tokens_details"]["cached_tokens"].asInt() == 48);

    const std::string chat = R"({"messages": [{"role": "user", "content": "hello"}], "max_tokens": 2})";
    answer = client.call(server->port(), "POST", "/v1/chat/completions", chat);
    const std::string expected = tokenText("user\nhello\n", 0) + tokenText("user\nhello\n", 1);
    BOOST_TEST(parse(answer.body)["choices"][0]["message"]["content"].asString() == expected);

    BOOST_TEST(client.call(server->port(), "POST", "/v1/completions", R"({"prompt": "x", "cache_salt": "1f"})").status == 400);
    BOOST_TEST(client.call(server->port(), "POST", "/v1/completions", R"({"prompt": "x", "model": "other"})").status == 404);
}

// Guards against a long poll that returns before an event is visible or does not return when one is, and against a snapshot that
// disagrees with the events.
BOOST_AUTO_TEST_CASE(engineReportsItsCache)
{
    const auto server = startEngine(0, { .prefillPerPiece = 10, .decodePerToken = 1'000, .eventDelay = 20'000 });
    Client client;
    const auto poll = client.start(server->port(), "GET", "/kv/events?after=0");
    const std::string prompt(128, 'p');
    client.call(server->port(), "POST", "/v1/completions", R"({"max_tokens": 1, "cache_salt": "7", "prompt": ")" + prompt + "\"}");
    BOOST_TEST(!poll->done);
    Client::wait(*poll);
    const Json::Value events = parse(poll->body);
    BOOST_TEST(events["first"].asUInt64() == 1U);
    BOOST_REQUIRE(events["events"].size() == 1U);
    BOOST_TEST(events["events"][0]["op"].asString() == "stored");
    const auto hashes = pieceHashes(prompt, 7);
    BOOST_TEST(events["events"][0]["hashes"][1].asString() == toHex(hashes[1]));
    const Json::Value snapshot = parse(client.call(server->port(), "GET", "/kv/snapshot").body);
    BOOST_TEST(snapshot["seq"].asUInt64() == 1U);
    BOOST_TEST(snapshot["hashes"].size() == 2U);
    BOOST_TEST((snapshot["incarnation"] == events["incarnation"]));

    const auto other = startEngine(0, {});
    const std::string wanted = R"({"hashes": [")" + toHex(hashes[0]) + R"(", ")" + toHex(hashes[1]) + R"("]})";
    const Answer exported = client.call(server->port(), "POST", "/kv/export", wanted);
    BOOST_TEST(parse(client.call(other->port(), "POST", "/kv/import", exported.body).body)["imported"].asInt() == 2);
    BOOST_TEST(parse(client.call(other->port(), "GET", "/kv/snapshot").body)["hashes"].size() == 2U);
}

// Guards against a request that keeps running, and so keeps its slot, after it was cancelled or its caller disconnected.
BOOST_AUTO_TEST_CASE(engineStopsCancelledRequests)
{
    const auto server = startEngine(0, { .slots = 2, .decodePerToken = 2'000 });
    Client client;
    const auto stream = client.start(server->port(), "POST", "/v1/completions", R"({"prompt": "x", "max_tokens": 100000, "stream": true, "request_id": "r1"})");
    {
        Client leaving;
        const auto left = leaving.start(server->port(), "POST", "/v1/completions", R"({"prompt": "y", "max_tokens": 100000, "stream": true})");
        Micros until = monotonicNow() + 50 * MicrosPerMilli;
        while (monotonicNow() < until) {
            g_main_context_iteration(nullptr, FALSE);
        }
        BOOST_TEST(parse(client.call(server->port(), "GET", "/load").body)["running"].asInt() == 2);
    }
    BOOST_TEST(parse(client.call(server->port(), "POST", "/cancel", R"({"request_id": "r1"})").body)["cancelled"].asInt() == 1);
    Client::wait(*stream);
    BOOST_TEST(sseEvents(stream->body).back()["choices"][0]["finish_reason"].asString() == "abort");
    const Micros until = monotonicNow() + AnswerTimeout;
    while (parse(client.call(server->port(), "GET", "/load").body)["running"].asInt() != 0 && monotonicNow() < until) {
        g_usleep(1'000);
    }
    BOOST_TEST(parse(client.call(server->port(), "GET", "/load").body)["running"].asInt() == 0);
}

// Guards against a crash marker without effect, and against an executed call that is not reported before the crash.
BOOST_AUTO_TEST_CASE(processesCrashOnTheirMarkers)
{
    Client client;
    StandinProcess engine({ "engine", "--crash-marker", "boom", "--crash-after-tokens", "2", "--decode-ms", "1" });
    const std::string first = client.call(engine.port(), "GET", "/load").headers["Engine-Incarnation"];
    // libsoup's client treats the end of the connection as the end of a chunked body.
    const Answer broken = client.call(engine.port(), "POST", "/v1/completions", R"({"prompt": "boom", "stream": true})");
    BOOST_TEST(!broken.body.ends_with("data: [DONE]\n\n"));
    BOOST_TEST(client.call(engine.port(), "GET", "/load").status == 0);
    StandinProcess restarted({ "engine" });
    BOOST_TEST(client.call(restarted.port(), "GET", "/load").headers["Engine-Incarnation"] != first);

    StandinProcess service({ "service", "--crash-after", "boom" });
    BOOST_TEST(client.call(service.port(), "POST", "/stamps/bookings", R"({"id": "b1", "note": "boom"})").status == 0);
    BOOST_TEST(service.readLine() == "ran=b1 count=1");
    StandinProcess before({ "service", "--crash-before", "boom" });
    BOOST_TEST(client.call(before.port(), "POST", "/stamps/bookings", R"({"id": "b1", "note": "boom"})").status == 0);
    BOOST_TEST(before.readLine().empty());
}

// Guards against counts that do not show when a call was executed twice.
BOOST_AUTO_TEST_CASE(serviceCountsRuns)
{
    const auto server = startService(0, { .delay = 1'000, .loseAnswer = "lost" });
    Client client;
    const Answer first = client.call(server->port(), "POST", "/orders", R"({"id": "ignored"})", "key-1");
    const Answer second = client.call(server->port(), "POST", "/orders", R"({"id": "ignored"})", "key-1");
    BOOST_TEST(first.status == 201);
    BOOST_TEST(first.body != second.body);
    BOOST_TEST(client.call(server->port(), "POST", "/orders", R"({"id": "b2", "note": "lost"})").status == 0);
    BOOST_TEST(client.call(server->port(), "GET", "/orders/b2").status == 200);
    const Json::Value counts = parse(client.call(server->port(), "GET", "/counts").body);
    BOOST_TEST(counts["counts"]["key-1"].asInt() == 2);
    BOOST_TEST(counts["counts"]["b2"].asInt() == 1);
    BOOST_TEST(counts["runs"].asInt() == 3);
}

// Guards against watches, outages and lost answers that behave differently over HTTP than in the model.
BOOST_AUTO_TEST_CASE(platformServesObjectsWatchesAndFaults)
{
    const auto server = startPlatform(0, {});
    Client client;
    const std::string path = "/apis/carobhall/v1/environments";
    const Answer created = client.call(server->port(), "POST", path + "/guild", R"({"metadata": {}, "spec": {"text": "a\nb — č"}})");
    BOOST_TEST(created.status == 201);
    BOOST_TEST(parse(created.body)["spec"]["text"].asString() == "a\nb — č");
    const auto watch = client.start(server->port(), "GET", path + "?watch=true&resourceVersion=1");
    BOOST_TEST(client.call(server->port(), "POST", "/control", R"({"lose_answers": 1})").status == 200);
    BOOST_TEST(client.call(server->port(), "PUT", path + "/guild", R"({"metadata": {"resourceVersion": "1"}, "spec": 2})").status == 0);
    BOOST_TEST(parse(client.call(server->port(), "GET", path + "/guild").body)["spec"].asInt() == 2);
    BOOST_TEST(parse(client.call(server->port(), "GET", path).body)["items"].size() == 1U);
    BOOST_TEST(!watch->done);
    BOOST_TEST(parse(client.call(server->port(), "GET", "/control").body)["watches"].asInt() == 1);
    client.call(server->port(), "POST", "/control", R"({"outage": "refuse"})");
    Client::wait(*watch);
    BOOST_TEST(client.call(server->port(), "GET", path + "/guild").status == 503);
    client.call(server->port(), "POST", "/control", R"({"outage": "none", "vms": [{"name": "vm-1", "state": "leaving"}]})");
    BOOST_TEST(parse(client.call(server->port(), "GET", "/vms").body)["items"][0]["state"].asString() == "leaving");
}

BOOST_AUTO_TEST_SUITE_END()
