#include "engine_request.h"

namespace Carobhall
{

namespace
{

std::string engineBody(const Submit &submit)
{
    auto json = parseJson(submit.body);
    if (!json || !json->isObject()) {
        return submit.body; // Not a JSON object. Sent unchanged; the engine rejects it.
    }
    (*json)["stream"] = true;
    (*json)["priority"] = submit.rank;
    (*json)["cache_salt"] = std::to_string(submit.salt);
    (*json)["request_id"] = toString(submit.key);
    if (submit.resumeOffset > 0) {
        (*json)["resume_from"] = Json::UInt64(submit.resumeOffset);
        (*json)["resume_text"] = submit.resumeText;
    }
    return writeJson(*json);
}

} // namespace

UpstreamRequest upstreamRequestFor(const Submit &submit, bool isModel)
{
    UpstreamRequest request;
    request.method = submit.method;
    request.contentType = submit.contentType;
    request.body = isModel ? engineBody(submit) : submit.body;
    request.idempotencyKey = submit.idempotencyKey;
    request.isModel = isModel;
    request.repeatable = submit.repeatable;
    request.firstIndex = isModel ? submit.resumeOffset : 0;
    return request;
}

std::string promptOf(const Submit &submit)
{
    const auto json = parseJson(submit.body);
    if (!json || !json->isObject()) {
        return {};
    }
    if (const Json::Value &prompt = (*json)["prompt"]; prompt.isString()) {
        return prompt.asString();
    }
    std::string text;
    const Json::Value &messages = (*json)["messages"];
    if (!messages.isArray()) {
        return {};
    }
    for (const Json::Value &message : messages) {
        if (!message.isObject() || !message["role"].isString() || !message["content"].isString()) {
            return {};
        }
        text += message["role"].asString() + "\n" + message["content"].asString() + "\n";
    }
    return text;
}

} // namespace Carobhall
