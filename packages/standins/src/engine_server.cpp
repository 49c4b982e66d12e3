#include "carobhall/standins.h"

#include "http_server.h"
#include "json_text.h"

#include <unistd.h>

#include <algorithm>

namespace Carobhall::Standin
{

namespace
{

constexpr Micros EventPollTimeout = 10 * MicrosPerSecond;
constexpr int CrashExitCode = 70;

/// A completion request that is queued or running in the engine.
struct Call {
    ExchangePtr exchange;
    std::string id;
    std::string model;
    std::string text; ///< Answer text collected so far, unless it is streamed.
    bool chat = false;
    bool stream = false;
    std::size_t promptTokens = 0;
    std::size_t promptPieces = 0;
    std::size_t cachedPieces = 0;
    std::uint64_t generated = 0;
};

/// A long poll of GET /kv/events.
struct EventPoll {
    ExchangePtr exchange;
    std::uint64_t after = 0; ///< Only events with a greater sequence number are returned.
    Micros deadline = 0;     ///< The poll is answered at this time even without events.
};

Json::Value errorBody(const std::string &code, const std::string &message)
{
    Json::Value body;
    body["error"]["code"] = code;
    body["error"]["message"] = message;
    return body;
}

Json::Value hexList(std::span<const std::uint64_t> hashes)
{
    Json::Value list(Json::arrayValue);
    for (const std::uint64_t hash : hashes) {
        list.append(toHex(hash));
    }
    return list;
}

std::optional<std::uint64_t> fromHex(const Json::Value &value)
{
    return value.isString() ? parseNumber("0x" + value.asString()) : std::nullopt;
}

std::uint64_t numberOr(const Json::Value &value, std::uint64_t fallback)
{
    return value.isUInt64() ? value.asUInt64() : fallback;
}

std::string textOr(const Json::Value &value, const std::string &fallback)
{
    return value.isString() ? value.asString() : fallback;
}

/// Concatenates role + "\n" + content + "\n" of all messages. Returns nullopt when \p messages is malformed.
std::optional<std::string> chatPrompt(const Json::Value &messages)
{
    if (!messages.isArray() || messages.empty()) {
        return std::nullopt;
    }
    std::string prompt;
    for (const Json::Value &message : messages) {
        if (!message.isObject() || !message["role"].isString() || !message["content"].isString()) {
            return std::nullopt;
        }
        prompt += message["role"].asString() + "\n" + message["content"].asString() + "\n";
    }
    return prompt;
}

class EngineServer : public Server
{
public:
    explicit EngineServer(EngineOptions options)
        : model_(std::move(options), drawIncarnation())
        , http_([this](const ExchangePtr &exchange) { handle(exchange); })
        , timer_([this] { advance(); })
    {
        http_.setCommonHeader("Engine-Incarnation", toHex(model_.incarnation()));
    }

    bool listen(std::uint16_t port)
    {
        return http_.listen(port);
    }

    std::uint16_t port() const override
    {
        return http_.port();
    }

private:
    void handle(const ExchangePtr &exchange);
    void complete(const ExchangePtr &exchange, const Json::Value &body, bool chat);
    void cancel(const ExchangePtr &exchange, const Json::Value &body);
    void reportLoad(const ExchangePtr &exchange);
    void answerEvents(const EventPoll &poll);
    void exportBlocks(const ExchangePtr &exchange, const Json::Value &body);
    void importBlocks(const ExchangePtr &exchange, const Json::Value &body);
    void order(const ExchangePtr &exchange, const Json::Value &body);
    void listOrders(const ExchangePtr &exchange);
    void control(const ExchangePtr &exchange, const Json::Value &body);
    void advance();
    void deliver(const EngineOutput &output);
    void sendToken(Call &call, const EngineOutput &output);
    void sendEnd(Call &call, const EngineOutput &output);
    [[nodiscard]] Json::Value answer(const Call &call, const char *object) const;
    [[nodiscard]] static Json::Value usage(const Call &call);

    EngineModel model_;
    HttpServer http_;
    Timer timer_;
    std::map<EngineHandle, Call> calls_;
    std::vector<EventPoll> polls_;
};

void EngineServer::handle(const ExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    const std::string route = request.method + " " + request.path;
    if (route == "GET /load") {
        return reportLoad(exchange);
    }
    if (route == "GET /orders") {
        return listOrders(exchange);
    }
    if (route == "GET /kv/snapshot") {
        Json::Value body;
        body["incarnation"] = toHex(model_.incarnation());
        body["seq"] = Json::UInt64{ model_.lastEvent() };
        body["hashes"] = hexList(model_.cachedHashes());
        return exchange->reply(200, body);
    }
    if (route == "GET /kv/events") {
        const auto after = request.query.find("after");
        polls_.push_back({ .exchange = exchange,
                           .after = after == request.query.end() ? 0 : parseNumber(after->second).value_or(0),
                           .deadline = monotonicNow() + EventPollTimeout });
        return advance();
    }
    if (request.method != "POST") {
        return exchange->reply(404, errorBody("not_found", "no such path"));
    }
    const std::optional<Json::Value> body = parseJsonText(request.body);
    if (!body || !body->isObject()) {
        return exchange->reply(400, errorBody("malformed", "expected a JSON object"));
    }
    if (request.path == "/v1/completions" || request.path == "/v1/chat/completions") {
        return complete(exchange, *body, request.path == "/v1/chat/completions");
    }
    if (request.path == "/cancel") {
        return cancel(exchange, *body);
    }
    if (request.path == "/kv/export") {
        return exportBlocks(exchange, *body);
    }
    if (request.path == "/kv/import") {
        return importBlocks(exchange, *body);
    }
    if (request.path == "/orders") {
        return order(exchange, *body);
    }
    if (request.path == "/control") {
        return control(exchange, *body);
    }
    exchange->reply(404, errorBody("not_found", "no such path"));
}

void EngineServer::complete(const ExchangePtr &exchange, const Json::Value &body, bool chat)
{
    const std::optional<std::string> prompt = chat ? chatPrompt(body["messages"])
        : body["prompt"].isString()                ? std::optional(body["prompt"].asString())
                                                   : std::nullopt;
    if (!prompt) {
        return exchange->reply(400, errorBody("malformed", chat ? "expected messages with role and content" : "expected a prompt"));
    }
    const std::optional<std::uint64_t> salt = parseNumber(textOr(body["cache_salt"], "0"));
    if (!salt) {
        return exchange->reply(400, errorBody("malformed", "cache_salt must be a decimal number, or a hexadecimal number with the prefix 0x"));
    }
    const std::string model = textOr(body["model"], model_.model());
    if (model != model_.model()) {
        return exchange->reply(404, errorBody("model_not_found", "this engine runs " + model_.model()));
    }
    EngineRequest request{ .id = textOr(body["request_id"], toHex(drawIncarnation())),
                           .prompt = *prompt,
                           .salt = *salt,
                           .maxTokens = numberOr(body["max_tokens"], EngineRequest{}.maxTokens),
                           .priority = body["priority"].isInt() ? body["priority"].asInt() : 0,
                           .resumeFrom = numberOr(body["resume_from"], 0),
                           .resumeText = textOr(body["resume_text"], "") };
    Call call{ .exchange = exchange,
               .id = request.id,
               .model = model,
               .text = {},
               .chat = chat,
               .stream = body["stream"].isBool() && body["stream"].asBool(),
               .promptTokens = (prompt->size() + TokenBytes - 1) / TokenBytes,
               .promptPieces = prompt->size() / PieceBytes };
    const std::optional<EngineHandle> handle = model_.submit(monotonicNow(), std::move(request));
    if (!handle) {
        return exchange->reply(503, errorBody("overloaded", "too many requests are waiting"));
    }
    calls_.emplace(*handle, std::move(call));
    advance();
}

void EngineServer::cancel(const ExchangePtr &exchange, const Json::Value &body)
{
    Json::Value answer;
    answer["cancelled"] = Json::UInt64{ model_.cancel(monotonicNow(), textOr(body["request_id"], "")) };
    advance();
    exchange->reply(200, answer);
}

void EngineServer::reportLoad(const ExchangePtr &exchange)
{
    const EngineLoad load = model_.load(monotonicNow());
    Json::Value body;
    body["incarnation"] = toHex(model_.incarnation());
    body["running"] = load.running;
    body["waiting"] = load.waiting;
    body["slots"] = model_.options().slots;
    body["prefill_micros_per_piece"] = Json::Int64{ model_.options().prefillPerPiece };
    body["decode_micros_per_token"] = Json::Int64{ model_.options().decodePerToken };
    body["cache_blocks"] = Json::UInt64{ model_.options().cacheBlocks };
    body["model"] = model_.model();
    body["weights_version"] = model_.weightsVersion();
    body["role"] = model_.role();
    body["adapters"] = Json::Value(Json::arrayValue);
    for (const std::string &adapter : model_.adapters()) {
        body["adapters"].append(adapter);
    }
    body["loading"] = model_.loading();
    exchange->reply(200, body);
}

void EngineServer::answerEvents(const EventPoll &poll)
{
    Json::Value body;
    body["incarnation"] = toHex(model_.incarnation());
    body["first"] = Json::UInt64{ model_.firstEvent() };
    body["events"] = Json::Value(Json::arrayValue);
    for (const CacheEvent &event : model_.events(monotonicNow(), poll.after)) {
        Json::Value entry;
        entry["seq"] = Json::UInt64{ event.seq };
        entry["op"] = event.stored ? "stored" : "evicted";
        entry["hashes"] = hexList(event.hashes);
        body["events"].append(entry);
    }
    poll.exchange->reply(200, body);
}

void EngineServer::exportBlocks(const ExchangePtr &exchange, const Json::Value &body)
{
    std::vector<std::uint64_t> hashes;
    for (const Json::Value &entry : body["hashes"]) {
        if (const auto hash = fromHex(entry)) {
            hashes.push_back(*hash);
        }
    }
    // Exports only the leading run of cached blocks: a block cannot be used without all the blocks before it.
    hashes.resize(model_.cachedPrefix(hashes));
    Json::Value answer;
    answer["incarnation"] = toHex(model_.incarnation());
    answer["weights_version"] = model_.weightsVersion();
    answer["blocks"] = Json::Value(Json::arrayValue);
    for (const std::uint64_t hash : hashes) {
        Json::Value block;
        block["hash"] = toHex(hash);
        block["data"] = std::string(model_.options().exportBytesPerBlock, 'k');
        answer["blocks"].append(block);
    }
    exchange->reply(200, answer);
}

void EngineServer::importBlocks(const ExchangePtr &exchange, const Json::Value &body)
{
    if (textOr(body["weights_version"], "") != model_.weightsVersion()) {
        return exchange->reply(409, errorBody("wrong_version", "the blocks were exported with a different weights version"));
    }
    std::vector<std::uint64_t> hashes;
    for (const Json::Value &block : body["blocks"]) {
        const auto hash = block.isObject() ? fromHex(block["hash"]) : std::nullopt;
        if (!hash) {
            return exchange->reply(400, errorBody("malformed", "expected blocks with a hash"));
        }
        hashes.push_back(*hash);
    }
    model_.importBlocks(monotonicNow(), hashes);
    Json::Value answer;
    answer["imported"] = Json::UInt64{ hashes.size() };
    exchange->reply(200, answer);
    advance();
}

void EngineServer::order(const ExchangePtr &exchange, const Json::Value &body)
{
    const EngineOrder order{
        .id = textOr(body["order_id"], ""), .fencing = numberOr(body["fencing"], 0), .action = textOr(body["action"], ""), .value = textOr(body["value"], "")
    };
    switch (model_.order(monotonicNow(), order)) {
    case OrderResult::Accepted:
    case OrderResult::Repeated: {
        Json::Value answer;
        answer["order_id"] = order.id;
        answer["loading"] = model_.loading();
        exchange->reply(202, answer);
        break;
    }
    case OrderResult::Stale:
        exchange->reply(409, errorBody("stale_fencing_token", "an order with a higher fencing token was accepted before"));
        break;
    case OrderResult::Malformed:
        exchange->reply(400, errorBody("malformed", "expected order_id, fencing, a known action and value"));
        break;
    }
    advance();
}

void EngineServer::listOrders(const ExchangePtr &exchange)
{
    Json::Value answer;
    answer["orders"] = Json::Value(Json::arrayValue);
    for (const EngineOrder &order : model_.acceptedOrders()) {
        Json::Value entry;
        entry["order_id"] = order.id;
        entry["fencing"] = Json::UInt64{ order.fencing };
        entry["action"] = order.action;
        entry["value"] = order.value;
        answer["orders"].append(entry);
    }
    exchange->reply(200, answer);
}

void EngineServer::control(const ExchangePtr &exchange, const Json::Value &body)
{
    if (body["crash"].isBool() && body["crash"].asBool()) {
        _exit(CrashExitCode);
    }
    EngineOptions options = model_.options();
    options.prefillPerPiece = static_cast<Micros>(numberOr(body["prefill_micros_per_piece"], static_cast<std::uint64_t>(options.prefillPerPiece)));
    options.decodePerToken = static_cast<Micros>(numberOr(body["decode_micros_per_token"], static_cast<std::uint64_t>(options.decodePerToken)));
    options.eventDelay = static_cast<Micros>(numberOr(body["event_delay_micros"], static_cast<std::uint64_t>(options.eventDelay)));
    options.loadReportLag = static_cast<Micros>(numberOr(body["load_lag_micros"], static_cast<std::uint64_t>(options.loadReportLag)));
    if (body["event_loss"].isNumeric()) {
        options.eventLossShare = body["event_loss"].asDouble();
    }
    model_.setOptions(std::move(options));
    exchange->reply(200, Json::Value(Json::objectValue));
    advance();
}

void EngineServer::advance()
{
    const Micros now = monotonicNow();
    for (const EngineOutput &output : model_.advance(now)) {
        deliver(output);
    }
    std::optional<Micros> next = model_.nextAt();
    std::vector<EventPoll> waiting;
    for (EventPoll &poll : polls_) {
        if (poll.deadline <= now || !model_.events(now, poll.after).empty()) {
            answerEvents(poll);
        } else {
            next = std::min(next.value_or(poll.deadline), poll.deadline);
            waiting.push_back(std::move(poll));
        }
    }
    polls_ = std::move(waiting);
    timer_.setAt(next);
}

void EngineServer::deliver(const EngineOutput &output)
{
    if (output.kind == EngineOutput::Kind::Crashed) {
        logEvent(LogLevel::Info, "engine_crash", { { "incarnation", toHex(model_.incarnation()) } });
        _exit(CrashExitCode);
    }
    const auto found = calls_.find(output.handle);
    if (found == calls_.end()) {
        return;
    }
    Call &call = found->second;
    if (call.exchange->finished()) {
        // The caller disconnected, so the request is cancelled, which frees its slot in the batch.
        const EngineHandle handle = output.handle;
        calls_.erase(found);
        if (output.kind != EngineOutput::Kind::Finished) {
            model_.cancel(monotonicNow(), handle);
        }
        return;
    }
    switch (output.kind) {
    case EngineOutput::Kind::Started:
        call.cachedPieces = output.cachedPieces;
        if (call.stream) {
            call.exchange->begin(200, "text/event-stream", { { "Cached-Pieces", std::to_string(call.cachedPieces) } });
        }
        break;
    case EngineOutput::Kind::Token:
        ++call.generated;
        sendToken(call, output);
        break;
    case EngineOutput::Kind::Finished:
        sendEnd(call, output);
        calls_.erase(found);
        break;
    case EngineOutput::Kind::Crashed:
        break;
    }
}

Json::Value EngineServer::answer(const Call &call, const char *object) const
{
    Json::Value body;
    body["id"] = call.id;
    body["object"] = object;
    body["created"] = Json::Int64{ wallClockNow() / MicrosPerSecond };
    body["model"] = call.model;
    body["choices"][0]["index"] = 0;
    body["choices"][0]["finish_reason"] = Json::Value();
    return body;
}

Json::Value EngineServer::usage(const Call &call)
{
    constexpr std::size_t tokensPerPiece = PieceBytes / TokenBytes;
    Json::Value usage;
    usage["prompt_tokens"] = Json::UInt64{ call.promptTokens };
    usage["completion_tokens"] = Json::UInt64{ call.generated };
    usage["total_tokens"] = Json::UInt64{ call.promptTokens + call.generated };
    usage["prompt_tokens_details"]["cached_tokens"] = Json::UInt64{ call.cachedPieces * tokensPerPiece };
    return usage;
}

void EngineServer::sendToken(Call &call, const EngineOutput &output)
{
    if (!call.stream) {
        call.text += output.text;
        return;
    }
    Json::Value chunk = answer(call, call.chat ? "chat.completion.chunk" : "text_completion");
    if (call.chat) {
        chunk["choices"][0]["delta"]["content"] = output.text;
    } else {
        chunk["choices"][0]["text"] = output.text;
    }
    chunk["index"] = Json::UInt64{ output.index };
    call.exchange->write("data: " + writeJsonText(chunk) + "\n\n");
}

void EngineServer::sendEnd(Call &call, const EngineOutput &output)
{
    // scripts/measure and scripts/demo compute the cache hit rate from this event, because not every answer contains it.
    logEvent(LogLevel::Info, "answered",
             { { "request", call.id },
               { "prompt_pieces", call.promptPieces },
               { "cached_pieces", call.cachedPieces },
               { "tokens", call.generated },
               { "finish_reason", output.text } });
    if (call.stream) {
        Json::Value chunk = answer(call, call.chat ? "chat.completion.chunk" : "text_completion");
        if (call.chat) {
            chunk["choices"][0]["delta"] = Json::Value(Json::objectValue);
        } else {
            chunk["choices"][0]["text"] = "";
        }
        chunk["choices"][0]["finish_reason"] = output.text;
        chunk["usage"] = usage(call);
        // A request that is cancelled while it waits for a slot finishes before its answer was started.
        call.exchange->begin(200, "text/event-stream");
        call.exchange->write("data: " + writeJsonText(chunk) + "\n\ndata: [DONE]\n\n");
        call.exchange->end();
        return;
    }
    Json::Value body = answer(call, call.chat ? "chat.completion" : "text_completion");
    if (call.chat) {
        body["choices"][0]["message"]["role"] = "assistant";
        body["choices"][0]["message"]["content"] = call.text;
    } else {
        body["choices"][0]["text"] = call.text;
    }
    body["choices"][0]["finish_reason"] = output.text;
    body["usage"] = usage(call);
    call.exchange->reply(200, body, { { "Cached-Pieces", std::to_string(call.cachedPieces) } });
}

} // namespace

std::unique_ptr<Server> startEngine(std::uint16_t port, EngineOptions options)
{
    auto server = std::make_unique<EngineServer>(std::move(options));
    return server->listen(port) ? std::move(server) : nullptr;
}

} // namespace Carobhall::Standin
