#include "upstream_call.h"

#include "carobhall/channel.h"
#include "carobhall/http_message.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace Carobhall
{

namespace
{

/// Calls fail when the upstream sends nothing for this long, because it has then probably hung.
constexpr Micros SilenceLimit = 30 * MicrosPerSecond;
/// A response is passed on as it arrives, so that its length is not limited.
constexpr ReaderLimits ResponseLimits{ .maxHeaderBytes = 32U << 10U, .maxBodyBytes = std::numeric_limits<std::uint64_t>::max() };
/// Token events have a few hundred bytes. A longer line is treated as an error.
constexpr std::size_t MaxEventBytes = std::size_t{ 1 } << 20U;
constexpr int FirstErrorStatus = 400;
constexpr int FirstServerErrorStatus = 500;

/// Value of a field; empty when it is missing.
std::string fieldOf(const ResponseHead &head, std::string_view name)
{
    return std::string(findField(head.fields, name).value_or(std::string_view()));
}

/// Whether \p text can stand in the head of a request without ending its line or its part of the line.
bool isLinePart(std::string_view text, bool mayHoldBlanks)
{
    return std::ranges::all_of(text, [mayHoldBlanks](char byte) {
        const auto value = static_cast<unsigned char>(byte);
        return value > ' ' ? value != 0x7f : mayHoldBlanks && value == ' ';
    });
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

struct UpstreamCall::State : std::enable_shared_from_this<State> {
    UpstreamRequest request;
    Events events;
    std::shared_ptr<Channel> channel;
    std::optional<ResponseReader> reader;
    Timer silenceTimer;
    UpstreamAnswer answer;
    std::string unread;          ///< Received bytes of the body that have not been passed on.
    std::uint64_t nextIndex = 0; ///< Index of the next token to forward.
    std::string finishReason;
    bool hasAnswered = false;   ///< The head has been received.
    bool bodyComplete = false;  ///< The whole body has been received.
    bool endMarkerSeen = false; ///< The event [DONE] has been received.
    bool handedOver = false;    ///< Bytes of the request may have reached the upstream.
    bool paused = false;
    bool ended = false; ///< onEnd has been called, or the call has been destroyed.

    [[nodiscard]] bool isTokenStream() const;
    [[nodiscard]] std::string requestBytes(std::string_view address, std::string_view path) const;
    void onData();
    void onChannelEnd(ChannelEnd reason);
    void onHead();
    /// Passes on what has been received, unless the call is paused.
    void passOn();
    /// The upstream has sent something, or may go on: it has the whole limit again.
    void restartSilenceTimer();
    void handleLine(std::string_view line);
    void handleToken(TokenEvent event);
    void endOfBody();
    void refuse(ResponseFault cause);
    void failCall(const std::string &reason);
    void end(UpstreamResult result);
};

bool UpstreamCall::State::isTokenStream() const
{
    return request.isModel && answer.status < FirstErrorStatus;
}

std::string UpstreamCall::State::requestBytes(std::string_view address, std::string_view path) const
{
    std::string bytes = request.method;
    bytes.append(" ").append(path).append(" HTTP/1.1\r\n");
    appendField(bytes, "Host", address);
    // Always a new connection. If the upstream closed a kept connection while the request is being sent, it would be unknown whether the call ran.
    appendField(bytes, "Connection", "close");
    if (!request.idempotencyKey.empty()) {
        appendField(bytes, "Idempotency-Key", request.idempotencyKey);
    }
    if (!request.body.empty() && !request.contentType.empty()) {
        appendField(bytes, "Content-Type", request.contentType);
    }
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
        appendField(bytes, "Content-Length", std::to_string(request.body.size()));
    }
    return bytes.append("\r\n").append(request.body);
}

void UpstreamCall::State::restartSilenceTimer()
{
    silenceTimer.startOnce(SilenceLimit, [this] {
        const auto self = shared_from_this();
        failCall("the upstream sent nothing for too long");
    });
}

void UpstreamCall::State::onData()
{
    const auto self = shared_from_this();
    restartSilenceTimer();
    const ReadProgress progress = reader->read(channel->input());
    if (!hasAnswered && reader->hasHead()) {
        onHead();
    }
    if (ended) {
        return;
    }
    unread += reader->takeBody();
    bodyComplete = progress == ReadProgress::Complete;
    if (progress != ReadProgress::Complete && progress != ReadProgress::NeedsMore) {
        refuse(reader->fault());
        return;
    }
    passOn();
}

void UpstreamCall::State::onChannelEnd(ChannelEnd reason)
{
    const auto self = shared_from_this();
    if (bodyComplete) {
        return;
    }
    if (reason == ChannelEnd::ConnectFailed) {
        failCall("no connection to the upstream could be established");
        return;
    }
    if (!reader->hasStarted()) {
        failCall("the upstream closed the connection without a response");
        return;
    }
    if (channel->undelivered() > 0) {
        // An upstream that has not received the whole request may have failed within its response.
        refuse(ResponseFault::EarlyEnd);
        return;
    }
    if (reason != ChannelEnd::PeerFinished || reader->readEof() != ReadProgress::Complete) {
        refuse(ResponseFault::EndOfConnection);
        return;
    }
    bodyComplete = true;
    passOn();
}

void UpstreamCall::State::onHead()
{
    hasAnswered = true;
    const ResponseHead &head = reader->head();
    answer.status = static_cast<int>(head.status);
    answer.contentType = fieldOf(head, "Content-Type");
    answer.incarnation = incarnationFrom(fieldOf(head, "Engine-Incarnation"));
    answer.cachedPieces = numberFrom<std::uint32_t>(fieldOf(head, "Cached-Pieces"), 10);
    if (answer.status >= FirstServerErrorStatus && request.repeatable) {
        failCall("the upstream answered with HTTP status " + std::to_string(answer.status));
        return;
    }
    events.onAnswer(answer);
}

void UpstreamCall::State::passOn()
{
    while (!ended && !paused && hasAnswered && !unread.empty()) {
        if (!isTokenStream()) {
            events.onPiece(std::exchange(unread, {}));
            continue;
        }
        const std::size_t end = unread.find('\n');
        if (std::min(end, unread.size()) > MaxEventBytes) {
            failCall("the upstream sent an event that exceeds the size limit");
            return;
        }
        if (end == std::string::npos && !bodyComplete) {
            break;
        }
        const std::string line = unread.substr(0, end);
        unread.erase(0, end == std::string::npos ? end : end + 1);
        handleLine(line);
    }
    if (!ended && !paused && bodyComplete) {
        endOfBody();
    }
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

void UpstreamCall::State::endOfBody()
{
    if (isTokenStream() && !endMarkerSeen) {
        failCall("the upstream closed the stream before sending [DONE]");
        return;
    }
    const Verdict verdict = answer.status >= FirstServerErrorStatus ? Verdict::MayHaveRun : Verdict::Ran;
    end({ .complete = true, .verdict = verdict, .error = {}, .finishReason = finishReason, .message = {} });
}

void UpstreamCall::State::refuse(ResponseFault cause)
{
    logEvent(LogLevel::Warning, "response_refused", { { "url", request.url }, { "status", answer.status }, { "cause", cause } });
    failCall("the upstream's response was refused: " + std::string(nameOf(cause)));
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
    silenceTimer.stop();
    if (channel && bodyComplete) {
        channel->close();
    } else if (channel) {
        // The upstream cancels the request.
        channel->abort();
    }
    // Moved out first, because onEnd may destroy the call.
    const auto onEnd = std::move(events.onEnd);
    onEnd(std::move(result));
}

UpstreamCall::UpstreamCall(UpstreamRequest request, Events events)
    : state_(std::make_shared<State>())
{
    state_->nextIndex = request.firstIndex;
    state_->request = std::move(request);
    state_->events = std::move(events);
}

UpstreamCall::~UpstreamCall()
{
    state_->ended = true;
    state_->silenceTimer.stop();
    if (state_->channel) {
        state_->channel->abort();
    }
}

void UpstreamCall::start()
{
    constexpr std::string_view Scheme = "http://";
    const std::shared_ptr<State> self = state_; // onEnd may destroy the call.
    State &state = *self;
    const UpstreamRequest &request = state.request;
    const std::string_view url = request.url;
    const std::size_t slash = url.find('/', Scheme.size());
    const bool isSound = url.starts_with(Scheme) && slash != std::string_view::npos && isLinePart(url, false) && !request.method.empty()
        && isLinePart(request.method, false) && isLinePart(request.contentType, true) && isLinePart(request.idempotencyKey, true);
    if (!isSound) {
        state.failCall("the request path does not form a valid URL");
        return;
    }
    const std::string address(url.substr(Scheme.size(), slash - Scheme.size()));
    const std::weak_ptr<State> weak = self;
    state.reader.emplace(ResponseLimits, request.method == "HEAD");
    state.channel = Channel::connect(address,
                                     { .onOpen =
                                           [weak] {
                                               if (const auto call = weak.lock()) {
                                                   call->handedOver = true;
                                               }
                                           },
                                       .onData =
                                           [weak] {
                                               if (const auto call = weak.lock()) {
                                                   call->onData();
                                               }
                                           },
                                       .onEnd =
                                           [weak](ChannelEnd reason) {
                                               if (const auto call = weak.lock()) {
                                                   call->onChannelEnd(reason);
                                               }
                                           },
                                       .maxOutputBytes = std::numeric_limits<std::size_t>::max() });
    if (!state.channel) {
        state.failCall("no connection to the upstream could be established");
        return;
    }
    state.restartSilenceTimer();
    state.channel->write(state.requestBytes(address, url.substr(slash)));
}

void UpstreamCall::pause()
{
    state_->paused = true;
    state_->silenceTimer.stop();
    if (state_->channel) {
        state_->channel->setInputHeld(true);
    }
}

void UpstreamCall::resume()
{
    const std::shared_ptr<State> self = state_; // onEnd may destroy the call.
    self->paused = false;
    if (self->channel && !self->ended) {
        self->channel->setInputHeld(false);
        self->restartSilenceTimer();
        self->passOn();
    }
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
    const std::shared_ptr<State> self = state_; // onEnd may destroy the call.
    self->failCall(reason);
}

} // namespace Carobhall
