#include "upstream_call.h"

#include <charconv>

namespace Carobhall
{

namespace
{

constexpr gsize ReadBytes = 16384;
/// Token events have a few hundred bytes. A longer line is treated as an error.
constexpr std::size_t MaxEventBytes = std::size_t{ 1 } << 20U;
constexpr int FirstErrorStatus = 400;
constexpr int FirstServerErrorStatus = 500;

/// Value of a header; empty when it is missing.
std::string headerOf(SoupMessageHeaders *headers, const char *name)
{
    const char *const value = soup_message_headers_get_one(headers, name);
    return value == nullptr ? std::string() : std::string(value);
}

/// Parses \p text, which must consist of one number only.
template<typename Number>
std::optional<Number> numberFrom(const std::string &text, int base)
{
    Number value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

struct TokenEvent {
    std::optional<std::uint64_t> index;
    std::string text;
    bool hasText = false;
    std::string finishReason;
};

void readText(const Json::Value &holder, const char *name, TokenEvent &event)
{
    if (const Json::Value &text = holder[name]; text.isString()) {
        event.text = text.asString();
        event.hasText = true;
    }
}

/// Parses a token event: {"index", "text", "finish_reason"}, or a chunk of the completion or chat completion API.
std::optional<TokenEvent> readEvent(std::string_view data)
{
    const auto json = parseJson(data);
    if (!json || !json->isObject()) {
        return std::nullopt;
    }
    TokenEvent event;
    if (const Json::Value &index = (*json)["index"]; index.isUInt64()) {
        event.index = index.asUInt64();
    }
    readText(*json, "text", event);
    const Json::Value *finish = &(*json)["finish_reason"];
    if (const Json::Value &choices = (*json)["choices"]; choices.isArray() && !choices.empty() && choices[0].isObject()) {
        readText(choices[0], "text", event);
        if (const Json::Value &delta = choices[0]["delta"]; delta.isObject()) {
            readText(delta, "content", event);
        }
        finish = &choices[0]["finish_reason"];
    }
    if (finish->isString()) {
        event.finishReason = finish->asString();
    }
    return event;
}

} // namespace

Incarnation incarnationFrom(const std::string &text)
{
    if (text.empty()) {
        return 0;
    }
    return numberFrom<Incarnation>(text, 16).value_or(std::hash<std::string>{}(text));
}

struct UpstreamCall::State {
    ObjectRef<SoupSession> session;
    UpstreamRequest request;
    Events events;
    ObjectRef<SoupMessage> message;
    ObjectRef<GCancellable> cancellable;
    ObjectRef<GInputStream> body;
    ObjectRef<GDataInputStream> lines; ///< Line reader on body; only for a token stream.
    UpstreamAnswer answer;
    std::uint64_t nextIndex = 0; ///< Index of the next token to forward.
    std::string finishReason;
    bool endMarkerSeen = false; ///< The event [DONE] has been received.
    bool handedOver = false;    ///< Bytes of the request may have reached the upstream.
    bool paused = false;
    bool reading = false; ///< A read operation is in progress.
    bool ended = false;   ///< onEnd has been called, or the call has been destroyed.

    using Self = std::shared_ptr<State>;

    static void onStarting(SoupMessage *message, gpointer data);
    static void onSent(GObject *source, GAsyncResult *result, gpointer data);
    static void onLine(GObject *source, GAsyncResult *result, gpointer data);
    static void onBytes(GObject *source, GAsyncResult *result, gpointer data);

    [[nodiscard]] bool isTokenStream() const;
    void readNext(const Self &self);
    void handleLine(std::string_view line);
    void handleToken(TokenEvent event);
    void endOfBody();
    void failCall(const std::string &reason);
    void end(UpstreamResult result);
};

bool UpstreamCall::State::isTokenStream() const
{
    return request.isModel && answer.status < FirstErrorStatus;
}

void UpstreamCall::State::onStarting(SoupMessage * /*message*/, gpointer data)
{
    if (const Self self = static_cast<std::weak_ptr<State> *>(data)->lock()) {
        self->handedOver = true;
    }
}

void UpstreamCall::State::onSent(GObject * /*source*/, GAsyncResult *result, gpointer data)
{
    const std::unique_ptr<Self> holder(static_cast<Self *>(data));
    State &state = **holder;
    GError *failure = nullptr;
    ObjectRef<GInputStream> stream(soup_session_send_finish(state.session.get(), result, &failure));
    const std::string reason = failure == nullptr ? std::string() : failure->message;
    g_clear_error(&failure);
    if (state.ended) {
        return;
    }
    if (stream == nullptr) {
        state.failCall(reason);
        return;
    }
    SoupMessageHeaders *const headers = soup_message_get_response_headers(state.message.get());
    state.answer.status = static_cast<int>(soup_message_get_status(state.message.get()));
    state.answer.contentType = headerOf(headers, "Content-Type");
    state.answer.incarnation = incarnationFrom(headerOf(headers, "Engine-Incarnation"));
    state.answer.cachedPieces = numberFrom<std::uint32_t>(headerOf(headers, "Cached-Pieces"), 10);
    if (state.answer.status >= FirstServerErrorStatus && state.request.repeatable) {
        state.failCall("the upstream answered with HTTP status " + std::to_string(state.answer.status));
        return;
    }
    state.body = std::move(stream);
    if (state.isTokenStream()) {
        state.lines.reset(g_data_input_stream_new(state.body.get()));
        g_data_input_stream_set_newline_type(state.lines.get(), G_DATA_STREAM_NEWLINE_TYPE_LF);
    }
    state.events.onAnswer(state.answer);
    if (!state.ended) {
        state.readNext(*holder);
    }
}

void UpstreamCall::State::readNext(const Self &self)
{
    if (paused || reading || ended || body == nullptr) {
        return;
    }
    reading = true;
    if (lines != nullptr) {
        g_data_input_stream_read_line_async(lines.get(), G_PRIORITY_DEFAULT, cancellable.get(), &State::onLine, new Self(self));
    } else {
        g_input_stream_read_bytes_async(body.get(), ReadBytes, G_PRIORITY_DEFAULT, cancellable.get(), &State::onBytes, new Self(self));
    }
}

void UpstreamCall::State::onLine(GObject *source, GAsyncResult *result, gpointer data)
{
    const std::unique_ptr<Self> holder(static_cast<Self *>(data));
    State &state = **holder;
    gsize length = 0;
    GError *failure = nullptr;
    char *const line = g_data_input_stream_read_line_finish(G_DATA_INPUT_STREAM(source), result, &length, &failure);
    const std::unique_ptr<char, decltype(&g_free)> lineOwner(line, &g_free);
    const std::string reason = failure == nullptr ? std::string() : failure->message;
    g_clear_error(&failure);
    state.reading = false;
    if (state.ended) {
        return;
    }
    if (!reason.empty()) {
        state.failCall(reason);
        return;
    }
    if (line == nullptr) {
        state.endOfBody();
        return;
    }
    if (length > MaxEventBytes) {
        state.failCall("the upstream sent an event that exceeds the size limit");
        return;
    }
    state.handleLine(std::string_view(line, length));
    state.readNext(*holder);
}

void UpstreamCall::State::handleLine(std::string_view line)
{
    constexpr std::string_view prefix = "data:";
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (!line.starts_with(prefix)) {
        return;
    }
    line.remove_prefix(prefix.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (line == "[DONE]") {
        endMarkerSeen = true;
        return;
    }
    auto event = readEvent(line);
    if (!event) {
        failCall("the upstream sent an event that is not a JSON object");
        return;
    }
    handleToken(std::move(*event));
}

void UpstreamCall::State::handleToken(TokenEvent event)
{
    if (!event.finishReason.empty()) {
        finishReason = event.finishReason;
    }
    // The last event may have a finish reason but no token.
    if (!event.hasText || (event.text.empty() && !event.finishReason.empty())) {
        return;
    }
    const std::uint64_t index = event.index.value_or(nextIndex);
    if (index < nextIndex) {
        return; // An engine that does not support resumption sends all tokens from the first one.
    }
    if (index > nextIndex) {
        failCall("token events are missing: expected index " + std::to_string(nextIndex) + ", got " + std::to_string(index));
        return;
    }
    ++nextIndex;
    events.onPiece(std::move(event.text));
}

void UpstreamCall::State::onBytes(GObject *source, GAsyncResult *result, gpointer data)
{
    const std::unique_ptr<Self> holder(static_cast<Self *>(data));
    State &state = **holder;
    GError *failure = nullptr;
    const std::unique_ptr<GBytes, decltype(&g_bytes_unref)> bytes(g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, &failure), &g_bytes_unref);
    const std::string reason = failure == nullptr ? std::string() : failure->message;
    g_clear_error(&failure);
    state.reading = false;
    if (state.ended) {
        return;
    }
    if (bytes == nullptr) {
        state.failCall(reason);
        return;
    }
    gsize size = 0;
    const auto *const start = static_cast<const char *>(g_bytes_get_data(bytes.get(), &size));
    if (size == 0) {
        state.endOfBody();
        return;
    }
    state.events.onPiece(std::string(start, size));
    state.readNext(*holder);
}

void UpstreamCall::State::endOfBody()
{
    if (isTokenStream() && !endMarkerSeen) {
        failCall("the upstream closed the stream before sending [DONE]");
        return;
    }
    const Verdict verdict = answer.status >= FirstServerErrorStatus ? Verdict::MayHaveRun : Verdict::Ran;
    end({ .complete = true, .verdict = verdict, .error = {}, .finishReason = finishReason, .message = {} });
}

void UpstreamCall::State::failCall(const std::string &reason)
{
    end({
        .complete = false,
        .verdict = handedOver ? Verdict::MayHaveRun : Verdict::NotRun,
        .error = make_error_code(Errc::UpstreamFailed),
        .finishReason = {},
        .message = reason,
    });
}

void UpstreamCall::State::end(UpstreamResult result)
{
    if (ended) {
        return;
    }
    ended = true;
    g_cancellable_cancel(cancellable.get());
    // Moved out first, because onEnd may destroy the call.
    const auto onEnd = std::move(events.onEnd);
    onEnd(std::move(result));
}

UpstreamCall::UpstreamCall(SoupSession *session, UpstreamRequest request, Events events)
    : state_(std::make_shared<State>())
{
    state_->session = refObject(session);
    state_->nextIndex = request.firstIndex;
    state_->request = std::move(request);
    state_->events = std::move(events);
    state_->cancellable.reset(g_cancellable_new());
}

UpstreamCall::~UpstreamCall()
{
    state_->ended = true;
    g_cancellable_cancel(state_->cancellable.get());
}

void UpstreamCall::start()
{
    const State::Self self = state_; // onEnd may destroy the call.
    State &state = *self;
    const UpstreamRequest &request = state.request;
    state.message.reset(soup_message_new(request.method.c_str(), request.url.c_str()));
    if (state.message == nullptr) {
        state.failCall("the request path does not form a valid URL");
        return;
    }
    // Always a new connection. If the upstream closed a kept-alive connection while the request is being sent, it would be
    // unknown whether the call ran, and libsoup resends some requests on its own in that case.
    soup_message_set_flags(state.message.get(), static_cast<SoupMessageFlags>(SOUP_MESSAGE_NEW_CONNECTION | SOUP_MESSAGE_NO_REDIRECT));
    SoupMessageHeaders *const headers = soup_message_get_request_headers(state.message.get());
    soup_message_headers_replace(headers, "Connection", "close");
    if (!request.idempotencyKey.empty()) {
        soup_message_headers_replace(headers, "Idempotency-Key", request.idempotencyKey.c_str());
    }
    if (!request.body.empty()) {
        GBytes *const bytes = g_bytes_new(request.body.data(), request.body.size());
        soup_message_set_request_body_from_bytes(state.message.get(), request.contentType.empty() ? nullptr : request.contentType.c_str(), bytes);
        g_bytes_unref(bytes);
    }
    using WeakState = std::weak_ptr<State>;
    g_signal_connect_data(
        state.message.get(), "starting", G_CALLBACK(&State::onStarting), new WeakState(self),
        [](gpointer data, GClosure *) { delete static_cast<WeakState *>(data); }, GConnectFlags{});
    soup_session_send_async(state.session.get(), state.message.get(), G_PRIORITY_DEFAULT, state.cancellable.get(), &State::onSent, new State::Self(self));
}

void UpstreamCall::pause()
{
    state_->paused = true;
}

void UpstreamCall::resume()
{
    state_->paused = false;
    state_->readNext(state_);
}

bool UpstreamCall::wasHandedOver() const
{
    return state_->handedOver;
}

Incarnation UpstreamCall::answeredBy() const
{
    return state_->answer.incarnation;
}

void UpstreamCall::fail(const std::string &reason)
{
    const State::Self self = state_; // onEnd may destroy the call.
    self->failCall(reason);
}

} // namespace Carobhall
