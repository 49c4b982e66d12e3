#include "load_client.h"

#include "carobhall/standins.h"
#include "json_text.h"

#include <utility>

namespace Carobhall::Standin
{

namespace
{

constexpr int MaxConnections = 4096;
constexpr guint TimeoutSeconds = 30;
constexpr std::size_t ReadBytes = 16384;
constexpr int FirstErrorStatus = 400;

/// The state of a call until its answer ends.
struct ActiveCall {
    LoadClient::Done done;
    std::function<void()> onFirstToken;
    SoupMessage *message = nullptr;
    GInputStream *stream = nullptr;
    std::string prompt; ///< The prompt as the engine builds it, including a chat's role lines.
    std::uint64_t maxTokens = 0;
    Micros startedAt = 0;
    Micros lastTokenAt = 0;
    std::uint64_t nextIndex = 0;
    bool ended = false; ///< "[DONE]" was received.
    bool wrong = false; ///< The answer differs from the expected one or is malformed.
    bool refused = false;
    std::string unparsed;
    std::array<char, ReadBytes> buffer{};
    LoadResult result;
};

std::string bodyOf(const LoadCall &call)
{
    Json::Value body;
    body["model"] = "needle-7b";
    body["stream"] = true;
    body["max_tokens"] = Json::UInt64{ call.maxTokens };
    if (call.chat) {
        body["messages"][0]["role"] = "user";
        body["messages"][0]["content"] = call.prompt;
    } else {
        body["prompt"] = call.prompt;
    }
    return writeJsonText(body);
}

void recordRefusal(ActiveCall &active, const Json::Value &body)
{
    active.refused = true;
    const Json::Value &error = body.isObject() ? body["error"] : Json::Value::nullSingleton();
    const auto text = [&error](const char *field) { return error.isObject() && error[field].isString() ? error[field].asString() : std::string("none"); };
    active.result.verdict = text("verdict");
    active.result.code = text("code");
}

void recordToken(ActiveCall &active, const std::string &text)
{
    const Micros now = monotonicNow();
    if (active.nextIndex == 0) {
        active.result.firstToken = now - active.startedAt;
        if (active.onFirstToken) {
            active.onFirstToken();
        }
    } else {
        active.result.gaps.push_back(now - active.lastTokenAt);
    }
    active.lastTokenAt = now;
    active.wrong = active.wrong || active.ended || text != tokenText(active.prompt, active.nextIndex);
    ++active.nextIndex;
}

void handleEvent(ActiveCall &active, std::string_view data)
{
    if (data == "[DONE]") {
        active.wrong = active.wrong || active.ended;
        active.ended = true;
        return;
    }
    const std::optional<Json::Value> event = parseJsonText(data);
    if (!event || !event->isObject()) {
        active.wrong = true;
        return;
    }
    if (event->isMember("error")) {
        return recordRefusal(active, *event);
    }
    const Json::Value &choices = (*event)["choices"];
    if (!choices.isArray() || choices.empty() || !choices[0].isObject()) {
        active.wrong = true;
        return;
    }
    const Json::Value &choice = choices[0];
    const Json::Value &text = choice["delta"].isObject() ? choice["delta"]["content"] : choice["text"];
    if (text.isString() && !text.asString().empty()) {
        recordToken(active, text.asString());
    }
}

void parseLines(ActiveCall &active)
{
    constexpr std::string_view prefix = "data: ";
    std::size_t start = 0;
    for (std::size_t end = active.unparsed.find('\n'); end != std::string::npos; end = active.unparsed.find('\n', start)) {
        const std::string_view line = std::string_view(active.unparsed).substr(start, end - start);
        if (line.starts_with(prefix)) {
            handleEvent(active, line.substr(prefix.size()));
        }
        start = end + 1;
    }
    active.unparsed.erase(0, start);
}

LoadOutcome outcomeOf(const ActiveCall &active, bool failed)
{
    if (active.wrong) {
        return LoadOutcome::Wrong;
    }
    if (active.refused) {
        return active.ended ? LoadOutcome::Wrong : LoadOutcome::Refused;
    }
    if (active.ended) {
        return active.nextIndex == active.maxTokens ? LoadOutcome::Complete : LoadOutcome::Wrong;
    }
    return failed && active.result.status == 0 ? LoadOutcome::Failed : LoadOutcome::Incomplete;
}

void finish(ActiveCall *active, bool failed)
{
    active->result.outcome = outcomeOf(*active, failed);
    active->result.end = monotonicNow() - active->startedAt;
    active->done(active->result);
    g_clear_object(&active->stream);
    g_clear_object(&active->message);
    delete active;
}

void readMore(ActiveCall *active);

void onRead(GObject *source, GAsyncResult *result, gpointer data)
{
    auto *active = static_cast<ActiveCall *>(data);
    const gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
    if (size > 0) {
        active->unparsed.append(active->buffer.data(), static_cast<std::size_t>(size));
        if (active->result.status < FirstErrorStatus) {
            parseLines(*active);
        }
        return readMore(active);
    }
    if (active->result.status >= FirstErrorStatus) {
        recordRefusal(*active, parseJsonText(active->unparsed).value_or(Json::Value()));
    }
    finish(active, size < 0);
}

void readMore(ActiveCall *active)
{
    g_input_stream_read_async(active->stream, active->buffer.data(), active->buffer.size(), G_PRIORITY_DEFAULT, nullptr, onRead, active);
}

void onAnswer(GObject *source, GAsyncResult *result, gpointer data)
{
    auto *active = static_cast<ActiveCall *>(data);
    active->stream = soup_session_send_finish(SOUP_SESSION(source), result, nullptr);
    if (active->stream == nullptr) {
        return finish(active, true);
    }
    active->result.status = static_cast<int>(soup_message_get_status(active->message));
    readMore(active);
}

} // namespace

LoadClient::LoadClient()
    : session_(soup_session_new_with_options("max-conns", MaxConnections, "max-conns-per-host", MaxConnections, "timeout", TimeoutSeconds, nullptr))
{
    // Without this, libsoup could use a proxy from the environment, whose latency would be part of the measurement.
    soup_session_set_proxy_resolver(session_, nullptr);
}

LoadClient::~LoadClient()
{
    soup_session_abort(session_);
    g_object_unref(session_);
}

void LoadClient::send(const LoadCall &call, Done done, std::function<void()> firstToken)
{
    // Deleted by finish(), which runs once on every path.
    auto *active = new ActiveCall;
    active->done = std::move(done);
    active->onFirstToken = std::move(firstToken);
    active->prompt = call.chat ? "user\n" + call.prompt + "\n" : call.prompt;
    active->maxTokens = call.maxTokens;
    active->startedAt = monotonicNow();
    active->message = soup_message_new("POST", (call.url + (call.chat ? "/v1/chat/completions" : "/v1/completions")).c_str());
    const std::string body = bodyOf(call);
    GBytes *bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(active->message, "application/json", bytes);
    g_bytes_unref(bytes);
    if (!call.key.empty()) {
        soup_message_headers_append(soup_message_get_request_headers(active->message), "Authorization", ("Bearer " + call.key).c_str());
    }
    soup_session_send_async(session_, active->message, G_PRIORITY_DEFAULT, nullptr, onAnswer, active);
}

} // namespace Carobhall::Standin
