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

struct Running {
    LoadClient::Done done;
    std::function<void()> onFirstToken;
    SoupMessage *message = nullptr;
    GInputStream *stream = nullptr;
    std::string prompt; ///< As the engine sees it.
    std::uint64_t maxTokens = 0;
    Micros startedAt = 0;
    Micros lastTokenAt = 0;
    std::uint64_t nextIndex = 0;
    bool ended = false; ///< "[DONE]" came.
    bool wrong = false;
    bool refused = false;
    std::string unread;
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

void noteRefusal(Running &running, const Json::Value &body)
{
    running.refused = true;
    const Json::Value &error = body.isObject() ? body["error"] : Json::Value::nullSingleton();
    const auto text = [&error](const char *field) { return error.isObject() && error[field].isString() ? error[field].asString() : std::string("none"); };
    running.result.verdict = text("verdict");
    running.result.code = text("code");
}

void noteToken(Running &running, const std::string &text)
{
    const Micros now = monotonicNow();
    if (running.nextIndex == 0) {
        running.result.firstToken = now - running.startedAt;
        if (running.onFirstToken) {
            running.onFirstToken();
        }
    } else {
        running.result.gaps.push_back(now - running.lastTokenAt);
    }
    running.lastTokenAt = now;
    running.wrong = running.wrong || running.ended || text != tokenText(running.prompt, running.nextIndex);
    ++running.nextIndex;
}

void noteEvent(Running &running, std::string_view data)
{
    if (data == "[DONE]") {
        running.wrong = running.wrong || running.ended;
        running.ended = true;
        return;
    }
    const std::optional<Json::Value> event = parseJsonText(data);
    if (!event || !event->isObject()) {
        running.wrong = true;
        return;
    }
    if (event->isMember("error")) {
        return noteRefusal(running, *event);
    }
    const Json::Value &choices = (*event)["choices"];
    if (!choices.isArray() || choices.empty() || !choices[0].isObject()) {
        running.wrong = true;
        return;
    }
    const Json::Value &choice = choices[0];
    const Json::Value &text = choice["delta"].isObject() ? choice["delta"]["content"] : choice["text"];
    if (text.isString() && !text.asString().empty()) {
        noteToken(running, text.asString());
    }
}

void readLines(Running &running)
{
    constexpr std::string_view prefix = "data: ";
    std::size_t start = 0;
    for (std::size_t end = running.unread.find('\n'); end != std::string::npos; end = running.unread.find('\n', start)) {
        const std::string_view line = std::string_view(running.unread).substr(start, end - start);
        if (line.starts_with(prefix)) {
            noteEvent(running, line.substr(prefix.size()));
        }
        start = end + 1;
    }
    running.unread.erase(0, start);
}

LoadOutcome outcomeOf(const Running &running, bool failed)
{
    if (running.wrong) {
        return LoadOutcome::Wrong;
    }
    if (running.refused) {
        return running.ended ? LoadOutcome::Wrong : LoadOutcome::Refused;
    }
    if (running.ended) {
        return running.nextIndex == running.maxTokens ? LoadOutcome::Complete : LoadOutcome::Wrong;
    }
    return failed && running.result.status == 0 ? LoadOutcome::Failed : LoadOutcome::Incomplete;
}

void finish(Running *running, bool failed)
{
    running->result.outcome = outcomeOf(*running, failed);
    running->result.end = monotonicNow() - running->startedAt;
    running->done(running->result);
    g_clear_object(&running->stream);
    g_clear_object(&running->message);
    delete running;
}

void readMore(Running *running);

void onRead(GObject *source, GAsyncResult *result, gpointer data)
{
    auto *running = static_cast<Running *>(data);
    const gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
    if (size > 0) {
        running->unread.append(running->buffer.data(), static_cast<std::size_t>(size));
        if (running->result.status < FirstErrorStatus) {
            readLines(*running);
        }
        return readMore(running);
    }
    if (running->result.status >= FirstErrorStatus) {
        noteRefusal(*running, parseJsonText(running->unread).value_or(Json::Value()));
    }
    finish(running, size < 0);
}

void readMore(Running *running)
{
    g_input_stream_read_async(running->stream, running->buffer.data(), running->buffer.size(), G_PRIORITY_DEFAULT, nullptr, onRead, running);
}

void onAnswer(GObject *source, GAsyncResult *result, gpointer data)
{
    auto *running = static_cast<Running *>(data);
    running->stream = soup_session_send_finish(SOUP_SESSION(source), result, nullptr);
    if (running->stream == nullptr) {
        return finish(running, true);
    }
    running->result.status = static_cast<int>(soup_message_get_status(running->message));
    readMore(running);
}

} // namespace

LoadClient::LoadClient()
    : session_(soup_session_new_with_options("max-conns", MaxConnections, "max-conns-per-host", MaxConnections, "timeout", TimeoutSeconds, nullptr))
{
    // A proxy from the environment would be measured too.
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
    auto *running = new Running;
    running->done = std::move(done);
    running->onFirstToken = std::move(firstToken);
    running->prompt = call.chat ? "user\n" + call.prompt + "\n" : call.prompt;
    running->maxTokens = call.maxTokens;
    running->startedAt = monotonicNow();
    running->message = soup_message_new("POST", (call.url + (call.chat ? "/v1/chat/completions" : "/v1/completions")).c_str());
    const std::string body = bodyOf(call);
    GBytes *bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(running->message, "application/json", bytes);
    g_bytes_unref(bytes);
    if (!call.key.empty()) {
        soup_message_headers_append(soup_message_get_request_headers(running->message), "Authorization", ("Bearer " + call.key).c_str());
    }
    soup_session_send_async(session_, running->message, G_PRIORITY_DEFAULT, nullptr, onAnswer, running);
}

} // namespace Carobhall::Standin
