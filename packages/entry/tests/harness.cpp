#include "harness.h"

#include <sstream>

namespace Carobhall::Testing
{

namespace
{

constexpr const char *FleetKey = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
constexpr std::uint32_t TestSlots = 4;
/// Longer than any test waits, unless it tests the deadline.
constexpr int TestDeadlineMillis = 30'000;

/// Returns the contents of the data lines of server-sent events.
std::vector<std::string> dataLines(const std::string &body)
{
    std::vector<std::string> lines;
    std::istringstream stream(body);
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with("data: ")) {
            lines.push_back(line.substr(6));
        }
    }
    return lines;
}

} // namespace

std::string tokenAt(std::size_t index)
{
    return index % 3 == 0 ? "\xC5\xA1" + std::to_string(index) + " " : "t" + std::to_string(index) + "\n";
}

std::string answerText(std::size_t tokens)
{
    std::string text;
    for (std::size_t i = 0; i < tokens; ++i) {
        text += tokenAt(i);
    }
    return text;
}

// FakeUpstream ------------------------------------------------------------------------------------

FakeUpstream::FakeUpstream(std::uint16_t port)
    : port_(port)
{
    listen();
}

FakeUpstream::~FakeUpstream()
{
    crash();
}

void FakeUpstream::listen()
{
    incarnation_ = drawIncarnation();
    server_.reset(soup_server_new("raw-paths", TRUE, nullptr));
    soup_server_add_handler(server_.get(), nullptr, &FakeUpstream::onRequest, this, nullptr);
    if (listenHttp(server_.get(), "127.0.0.1:" + std::to_string(port_), port_)) {
        g_error("the fake upstream failed to listen");
    }
}

std::string FakeUpstream::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

void FakeUpstream::crash()
{
    while (!streams_.empty()) {
        const std::unique_ptr<Stream> stream = std::move(streams_.back());
        streams_.pop_back();
        g_signal_handler_disconnect(stream->message.get(), stream->finished);
        if (GSocket *const socket = soup_server_message_get_socket(stream->message.get()); socket != nullptr) {
            g_socket_shutdown(socket, TRUE, TRUE, nullptr);
        }
        soup_server_message_unpause(stream->message.get());
    }
    if (server_ != nullptr) {
        soup_server_disconnect(server_.get());
        server_.reset();
    }
}

void FakeUpstream::restart()
{
    crash();
    listen();
}

void FakeUpstream::onRequest(SoupServer * /*server*/, SoupServerMessage *message, const char *path, GHashTable * /*query*/, gpointer self)
{
    auto &upstream = *static_cast<FakeUpstream *>(self);
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Engine-Incarnation", toHex(upstream.incarnation_).c_str());
    const SoupMessageBody *const raw = soup_server_message_get_request_body(message);
    const auto body = parseJson(std::string_view(raw->data == nullptr ? "" : raw->data, static_cast<std::size_t>(raw->length)));
    const std::string_view requestPath(path);
    if (requestPath == "/load") {
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        soup_server_message_set_response(message, "application/json", SOUP_MEMORY_STATIC, "{}", 2);
        return;
    }
    if (requestPath == "/cancel") {
        upstream.cancelled.push_back(body.value_or(Json::Value())["request_id"].asString());
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        return;
    }
    if (requestPath.starts_with("/kv/")) {
        soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND, nullptr);
        return;
    }
    ++upstream.calls;
    upstream.bodies.push_back(body.value_or(Json::Value()));
    if (requestPath.starts_with("/v1/")) {
        upstream.answerModel(message);
    } else {
        upstream.answerPlain(message);
    }
}

void FakeUpstream::answerModel(SoupServerMessage *message)
{
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    SoupMessageHeaders *const headers = soup_server_message_get_response_headers(message);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(headers, "Content-Type", "text/event-stream");
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
    soup_server_message_pause(message);
    auto made = std::make_unique<Stream>();
    Stream *const stream = made.get();
    stream->message = refObject(message);
    stream->next = bodies.back()["resume_from"].asUInt64();
    stream->finished = g_signal_connect(message, "finished", G_CALLBACK(+[](SoupServerMessage *finished, gpointer self) {
                                            auto &upstream = *static_cast<FakeUpstream *>(self);
                                            std::erase_if(upstream.streams_, [&](const auto &kept) { return kept->message.get() == finished; });
                                        }),
                                        this);
    streams_.push_back(std::move(made));
    if (tokenInterval > 0) {
        stream->timer.startRepeating(tokenInterval, [this, stream] { sendNextEvent(*stream); });
        return;
    }
    // Send the next event only after the previous write has completed, so that the reader's flow control takes effect.
    g_signal_connect(message, "wrote-chunk", G_CALLBACK(+[](SoupServerMessage *wrote, gpointer self) {
                         auto &upstream = *static_cast<FakeUpstream *>(self);
                         for (const auto &kept : upstream.streams_) {
                             if (kept->message.get() == wrote) {
                                 upstream.sendNextEvent(*kept);
                                 return;
                             }
                         }
                     }),
                     this);
    sendNextEvent(*stream);
}

void FakeUpstream::sendNextEvent(Stream &stream)
{
    if (crashAtToken && stream.next >= *crashAtToken) {
        crashAtToken.reset();
        // crash() destroys the stream, so it must not run within the stream's own callback.
        g_idle_add(
            [](gpointer self) -> gboolean {
                static_cast<FakeUpstream *>(self)->crash();
                return G_SOURCE_REMOVE;
            },
            this);
        stream.timer.stop();
        return;
    }
    std::string event;
    const bool last = stream.next >= tokens;
    if (last) {
        event = "data: [DONE]\n\n";
    } else {
        Json::Value json(Json::objectValue);
        json["index"] = Json::UInt64(stream.next);
        std::string text = tokenAt(stream.next);
        text.resize(std::max(text.size(), tokenBytes), 'x');
        json["text"] = text;
        json["finish_reason"] = stream.next + 1 == tokens ? Json::Value("length") : Json::Value();
        event = "data: " + writeJson(json) + "\n\n";
        ++stream.next;
        ++tokensSent;
    }
    SoupServerMessage *const message = stream.message.get();
    soup_message_body_append(soup_server_message_get_response_body(message), SOUP_MEMORY_COPY, event.data(), event.size());
    if (last) {
        stream.timer.stop();
        g_signal_handlers_disconnect_matched(message, static_cast<GSignalMatchType>(G_SIGNAL_MATCH_ID),
                                             g_signal_lookup("wrote-chunk", SOUP_TYPE_SERVER_MESSAGE), 0, nullptr, nullptr, nullptr);
        soup_message_body_complete(soup_server_message_get_response_body(message));
    }
    soup_server_message_unpause(message);
}

void FakeUpstream::answerPlain(SoupServerMessage *message)
{
    if (dropCallAfterRun) {
        g_socket_shutdown(soup_server_message_get_socket(message), TRUE, TRUE, nullptr);
        return;
    }
    const std::string text = "stamp " + std::to_string(calls);
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message, "text/plain", SOUP_MEMORY_COPY, text.data(), text.size());
    if (plainDelay > 0) {
        soup_server_message_pause(message);
        struct Later {
            ObjectRef<SoupServerMessage> message;
            Timer timer;
        };
        auto *const later = new Later{ .message = refObject(message), .timer = {} };
        later->timer.startOnce(plainDelay, [later] {
            soup_server_message_unpause(later->message.get());
            delete later;
        });
    }
}

// Call --------------------------------------------------------------------------------------------

struct Call::State {
    Call *call = nullptr; ///< Null after Call::disconnect().
    ObjectRef<SoupSession> session;
    ObjectRef<SoupMessage> message;
    ObjectRef<GCancellable> cancellable;
    ObjectRef<GInputStream> stream;

    static void onSent(GObject * /*source*/, GAsyncResult *result, gpointer data)
    {
        const std::unique_ptr<std::shared_ptr<State>> holder(static_cast<std::shared_ptr<State> *>(data));
        State &state = **holder;
        state.stream.reset(soup_session_send_finish(state.session.get(), result, nullptr));
        if (state.call == nullptr) {
            return;
        }
        if (state.stream == nullptr) {
            state.call->done = true;
            state.call->aborted = true;
            return;
        }
        state.call->answered = true;
        state.call->status = static_cast<int>(soup_message_get_status(state.message.get()));
    }

    static void onRead(GObject *source, GAsyncResult *result, gpointer data)
    {
        const std::unique_ptr<std::shared_ptr<State>> holder(static_cast<std::shared_ptr<State> *>(data));
        State &state = **holder;
        GBytes *const bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, nullptr);
        if (state.call == nullptr) {
            g_clear_pointer(const_cast<GBytes **>(&bytes), g_bytes_unref);
            return;
        }
        if (bytes == nullptr) {
            state.call->done = true;
            state.call->aborted = true;
            return;
        }
        gsize size = 0;
        const auto *const start = static_cast<const char *>(g_bytes_get_data(bytes, &size));
        state.call->body.append(start, size);
        g_bytes_unref(bytes);
        if (size == 0) {
            state.call->done = true;
            return;
        }
        state.call->read();
    }
};

Call::Call(std::uint16_t port, Options options)
    : state_(std::make_shared<State>())
{
    state_->call = this;
    state_->session.reset(soup_session_new());
    state_->cancellable.reset(g_cancellable_new());
    state_->message.reset(soup_message_new(options.method.c_str(), ("http://127.0.0.1:" + std::to_string(port) + options.path).c_str()));
    SoupMessageHeaders *const headers = soup_message_get_request_headers(state_->message.get());
    if (!options.key.empty()) {
        soup_message_headers_replace(headers, "Authorization", ("Bearer " + options.key).c_str());
    }
    if (!options.idempotencyKey.empty()) {
        soup_message_headers_replace(headers, "Idempotency-Key", options.idempotencyKey.c_str());
    }
    if (!options.body.empty()) {
        GBytes *const bytes = g_bytes_new(options.body.data(), options.body.size());
        soup_message_set_request_body_from_bytes(state_->message.get(), "application/json", bytes);
        g_bytes_unref(bytes);
    }
    const bool deferRead = options.deferRead;
    soup_session_send_async(
        state_->session.get(), state_->message.get(), G_PRIORITY_DEFAULT, state_->cancellable.get(),
        [](GObject *source, GAsyncResult *result, gpointer data) {
            auto *const pair = static_cast<std::pair<std::shared_ptr<State>, bool> *>(data);
            const std::shared_ptr<State> state = pair->first;
            const bool isDeferred = pair->second;
            delete pair;
            State::onSent(source, result, new std::shared_ptr<State>(state));
            if (!isDeferred && state->call != nullptr && state->stream != nullptr) {
                state->call->read();
            }
        },
        new std::pair<std::shared_ptr<State>, bool>(state_, deferRead));
}

Call::~Call()
{
    disconnect();
}

void Call::read()
{
    constexpr gsize readBytes = 65536;
    g_input_stream_read_bytes_async(state_->stream.get(), readBytes, G_PRIORITY_DEFAULT, state_->cancellable.get(), &State::onRead,
                                    new std::shared_ptr<State>(state_));
}

void Call::disconnect()
{
    state_->call = nullptr;
    g_cancellable_cancel(state_->cancellable.get());
    soup_session_abort(state_->session.get());
    if (state_->stream != nullptr) {
        g_input_stream_close(state_->stream.get(), nullptr, nullptr);
    }
}

std::string Call::header(const char *name) const
{
    const char *const value = soup_message_headers_get_one(soup_message_get_response_headers(state_->message.get()), name);
    return value == nullptr ? std::string() : std::string(value);
}

std::string Call::streamedText() const
{
    std::string text;
    for (const std::string &line : dataLines(body)) {
        if (const auto json = parseJson(line); json && json->isMember("choices")) {
            const Json::Value &choice = (*json)["choices"][0];
            text += choice.isMember("delta") ? choice["delta"]["content"].asString() : choice["text"].asString();
        }
    }
    return text;
}

bool Call::endsNormally() const
{
    return body.ends_with("data: [DONE]\n\n");
}

std::string Call::errorField(const char *field) const
{
    if (const auto json = parseJson(body); json && json->isObject()) {
        return (*json)["error"][field].asString();
    }
    const auto lines = dataLines(body);
    const auto json = lines.empty() ? std::nullopt : parseJson(lines.back());
    return json && json->isObject() ? (*json)["error"][field].asString() : std::string();
}

// Settings ----------------------------------------------------------------------------------------

std::string completionBody(bool stream, const std::string &prompt)
{
    Json::Value body(Json::objectValue);
    body["model"] = "needle";
    body["prompt"] = prompt;
    body["stream"] = stream;
    return writeJson(body);
}

VersionedDocument testDocument()
{
    Json::Value document(Json::objectValue);
    document["name"] = "guild";
    document["regions"][0]["name"] = "hr-kontinent";
    document["zones"][0]["name"] = "zagreb-a";
    document["zones"][0]["region"] = "hr-kontinent";
    for (const char *const rank : { "paying", "free" }) {
        Json::Value &spec = document["ranks"][rank];
        spec["floor"] = 0.1;
        spec["firstTokenTargetMs"] = 400;
        spec["betweenTokensTargetMs"] = 43;
        spec["deadlineMs"] = TestDeadlineMillis;
    }
    const auto server = [](const char *name) {
        Json::Value made(Json::objectValue);
        made["name"] = name;
        made["zone"] = "zagreb-a";
        made["slots"] = TestSlots;
        return made;
    };
    for (const char *const name : { "needle-1", "needle-2", "needle-new" }) {
        Json::Value made = server(name);
        made["model"] = "needle";
        made["weightsVersion"] = std::string_view(name) == "needle-new" ? "v2" : "v1";
        made["cacheBlocks"] = 4096;
        document["modelServers"].append(made);
    }
    Json::Value &stamps = document["services"][0];
    stamps["name"] = "stamps";
    for (const bool repeatable : { false, true }) {
        Json::Value route(Json::objectValue);
        route["method"] = repeatable ? "GET" : "POST";
        route["path"] = repeatable ? "/stamps/" : "/stamps";
        route["repeatable"] = repeatable;
        stamps["routes"].append(route);
    }
    stamps["servers"].append(server("stamps-1"));
    stamps["servers"].append(server("stamps-2"));
    Json::Value &account = document["accounts"][0];
    account["name"] = "guild";
    account["keyDigests"][0] = digestOf(CallerKey);
    account["rank"] = "paying";
    const std::string text = writeJson(document);
    ParsedDocument parsed = parseDocument(text, "test document");
    if (!parsed.ok()) {
        g_error("%s", toString(parsed.errors.front()).c_str());
    }
    return { .version = 1, .digest = digestOf(text), .text = text, .document = std::move(parsed.document) };
}

EntrySettings entrySettings(const std::vector<std::string> &seeds)
{
    EntrySettings settings;
    settings.process.name = "entry-1";
    settings.process.zone = "zagreb-a";
    settings.process.environment = "guild";
    settings.process.seeds = seeds;
    settings.process.fleetKeys = { { .id = 1, .key = FleetKey } };
    return settings;
}

AgentSettings agentSettings(const std::string &upstream, const std::string &upstreamAddress)
{
    AgentSettings settings;
    settings.process.name = "agent-" + upstream;
    settings.process.zone = "zagreb-a";
    settings.process.environment = "guild";
    settings.process.fleetKeys = { { .id = 1, .key = FleetKey } };
    settings.upstream = upstream;
    settings.upstreamAddress = upstreamAddress;
    return settings;
}

} // namespace Carobhall::Testing
