#include "caller_request.h"

#include <set>

namespace Carobhall
{

namespace
{

/// Deadline for a rank that has none in the document.
constexpr Micros DefaultDeadline = 30 * MicrosPerSecond;
constexpr std::uint32_t MaxTokensLimit = 1'000'000;
constexpr std::size_t MaxIdempotencyKeyBytes = 255;
constexpr double BytesPerToken = 4.0;
/// Estimated answer length of a request without max_tokens.
constexpr double DefaultAnswerTokens = 256.0;

using Checked = std::variant<CallerRequest, Failure>;

Failure malformed(std::string message)
{
    return { .error = Errc::MalformedMessage, .verdict = Verdict::NotRun, .message = std::move(message) };
}

Failure notFound(std::string message)
{
    return { .error = Errc::NotFound, .verdict = Verdict::NotRun, .message = std::move(message) };
}

bool servesModel(const EnvironmentDocument &document, const std::string &model)
{
    for (const ModelServerSpec &server : document.modelServers) {
        if (server.model == model) {
            return true;
        }
    }
    return false;
}

std::optional<Failure> checkPrompt(const Json::Value &json, RequestKind kind)
{
    if (kind == RequestKind::Completion && !json["prompt"].isString()) {
        return malformed("\"prompt\" must be a string");
    }
    if (kind == RequestKind::Chat) {
        const Json::Value &messages = json["messages"];
        if (!messages.isArray() || messages.empty()) {
            return malformed("\"messages\" must be a non-empty array");
        }
        for (const Json::Value &message : messages) {
            if (!message.isObject() || !message["role"].isString() || !message.isMember("content")) {
                return malformed("each element of \"messages\" must be an object with \"role\" and \"content\"");
            }
        }
    }
    return std::nullopt;
}

/// Returns the text whose prefixes the engine caches: the prompt, or the concatenated messages of a chat.
std::string promptOf(const Json::Value &json, RequestKind kind)
{
    if (kind == RequestKind::Completion) {
        return json["prompt"].asString();
    }
    std::string prompt;
    for (const Json::Value &message : json["messages"]) {
        const Json::Value &content = message["content"];
        prompt += message["role"].asString() + '\n' + (content.isString() ? content.asString() : writeJson(content)) + '\n';
    }
    return prompt;
}

Checked checkModelRequest(CallerRequest request, const EnvironmentDocument &document)
{
    const auto json = parseJson(request.body);
    if (!json || !json->isObject()) {
        return malformed("the body must be a JSON object");
    }
    const Json::Value &model = (*json)["model"];
    if (!model.isString()) {
        return malformed("\"model\" must be a string");
    }
    if (auto failure = checkPrompt(*json, request.kind)) {
        return std::move(*failure);
    }
    if (const Json::Value &stream = (*json)["stream"]; !stream.isNull()) {
        if (!stream.isBool()) {
            return malformed("\"stream\" must be true or false");
        }
        request.stream = stream.asBool();
    }
    if (const Json::Value &maxTokens = (*json)["max_tokens"]; !maxTokens.isNull()) {
        if (!maxTokens.isUInt() || maxTokens.asUInt() == 0 || maxTokens.asUInt() > MaxTokensLimit) {
            return malformed("\"max_tokens\" must be an integer from 1 to " + std::to_string(MaxTokensLimit));
        }
        request.maxTokens = maxTokens.asUInt();
    }
    request.route = model.asString();
    if (!servesModel(document, request.route)) {
        return notFound("model \"" + request.route + "\" does not exist");
    }
    request.prompt = promptOf(*json, request.kind);
    request.repeatable = true;
    request.contentType = "application/json";
    return request;
}

bool matches(const RouteSpec &route, const std::string &method, const std::string &path)
{
    return route.method == method && (route.path.ends_with('/') ? path.starts_with(route.path) : path == route.path);
}

Checked checkPlainRequest(CallerRequest request, const std::string &path, const EnvironmentDocument &document)
{
    for (const PlainServiceSpec &service : document.services) {
        for (const RouteSpec &route : service.routes) {
            if (matches(route, request.method, path)) {
                request.route = service.name;
                request.repeatable = route.repeatable;
                return request;
            }
        }
    }
    return notFound("no route matches " + request.method + " " + path);
}

} // namespace

std::variant<CallerRequest, Failure> checkRequest(RawRequest raw, const AccountSpec &account, const EnvironmentDocument &document)
{
    if (raw.idempotencyKey.size() > MaxIdempotencyKeyBytes) {
        return malformed("the Idempotency-Key is longer than " + std::to_string(MaxIdempotencyKeyBytes) + " bytes");
    }
    const Micros deadline = document.ranks.at(static_cast<std::size_t>(account.rank)).deadline;
    CallerRequest request;
    request.account = account.name;
    request.rank = account.rank;
    request.idempotencyKey = std::move(raw.idempotencyKey);
    request.method = std::move(raw.method);
    request.path = raw.query.empty() ? raw.path : raw.path + '?' + raw.query;
    request.contentType = std::move(raw.contentType);
    request.body = std::move(raw.body);
    request.arrivedAt = raw.arrivedAt;
    request.startBy = raw.arrivedAt + (deadline > 0 ? deadline : DefaultDeadline);
    if (request.method == "POST" && raw.path == "/v1/completions") {
        request.kind = RequestKind::Completion;
        return checkModelRequest(std::move(request), document);
    }
    if (request.method == "POST" && raw.path == "/v1/chat/completions") {
        request.kind = RequestKind::Chat;
        return checkModelRequest(std::move(request), document);
    }
    return checkPlainRequest(std::move(request), raw.path, document);
}

double promptTokens(const CallerRequest &request)
{
    return static_cast<double>(request.prompt.size()) / BytesPerToken;
}

double estimatedTokens(const CallerRequest &request)
{
    if (!request.isModel()) {
        return 1.0;
    }
    return promptTokens(request) + (request.maxTokens > 0 ? static_cast<double>(request.maxTokens) : DefaultAnswerTokens);
}

std::string modelList(const EnvironmentDocument &document)
{
    std::set<std::string> names;
    for (const ModelServerSpec &server : document.modelServers) {
        names.insert(server.model);
    }
    Json::Value data(Json::arrayValue);
    for (const std::string &name : names) {
        Json::Value model(Json::objectValue);
        model["id"] = name;
        model["object"] = "model";
        model["owned_by"] = document.name;
        data.append(model);
    }
    Json::Value list(Json::objectValue);
    list["object"] = "list";
    list["data"] = data;
    return writeJson(list);
}

} // namespace Carobhall
