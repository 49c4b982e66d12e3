#include "engine_request.h"

namespace Carobhall
{

namespace
{

std::string engineBody(const Submit &submit)
{
    auto json = parseJson(submit.body);
    if (!json || !json->isObject()) {
        return submit.body; // The engine refuses it.
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

} // namespace Carobhall
