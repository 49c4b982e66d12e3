#include "failure.h"

namespace Carobhall
{

namespace
{

constexpr Micros DefaultRetryAfter = MicrosPerSecond;
constexpr int StatusTooManyRequests = 429; // libsoup defines no constant for it.

struct StatusMapping {
    Errc error;
    int status;
    std::string_view type;
};

constexpr std::array StatusMappings{
    StatusMapping{ Errc::MalformedMessage, 400, "invalid_request_error" },
    StatusMapping{ Errc::AuthenticationFailed, 401, "authentication_error" },
    StatusMapping{ Errc::NotFound, 404, "invalid_request_error" },
    StatusMapping{ Errc::Timeout, 408, "invalid_request_error" },
    StatusMapping{ Errc::Conflict, 409, "conflict_error" },
    StatusMapping{ Errc::AlreadyExists, 409, "conflict_error" },
    StatusMapping{ Errc::KeyExpired, 409, "conflict_error" },
    StatusMapping{ Errc::TooLarge, 413, "invalid_request_error" },
    StatusMapping{ Errc::LimitExceeded, 429, "rate_limit_error" },
    StatusMapping{ Errc::UpstreamFailed, 502, "upstream_error" },
    StatusMapping{ Errc::ConnectionLost, 502, "upstream_error" },
    StatusMapping{ Errc::StreamBroken, 502, "upstream_error" },
    StatusMapping{ Errc::Condemned, 502, "upstream_error" },
    StatusMapping{ Errc::Overloaded, 503, "overloaded_error" },
    StatusMapping{ Errc::NoUpstream, 503, "overloaded_error" },
    StatusMapping{ Errc::IncarnationMismatch, 503, "overloaded_error" },
    StatusMapping{ Errc::Leaving, 503, "overloaded_error" },
    StatusMapping{ Errc::PlatformUnavailable, 503, "overloaded_error" },
    StatusMapping{ Errc::DeadlineUnreachable, 504, "deadline_error" },
};

StatusMapping mappingFor(std::error_code error)
{
    for (const StatusMapping &mapping : StatusMappings) {
        if (error == mapping.error) {
            return mapping;
        }
    }
    return { .error = Errc::UpstreamFailed, .status = SOUP_STATUS_BAD_GATEWAY, .type = "upstream_error" };
}

} // namespace

int statusOf(std::error_code error)
{
    return mappingFor(error).status;
}

std::string errorBody(const Failure &failure)
{
    Json::Value error(Json::objectValue);
    error["message"] = failure.message;
    error["type"] = std::string(mappingFor(failure.error).type);
    error["code"] = failure.error.message();
    error["verdict"] = std::string(nameOf(failure.verdict));
    Json::Value body(Json::objectValue);
    body["error"] = error;
    return writeJson(body);
}

void setVerdictHeader(SoupServerMessage *message, Verdict verdict)
{
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Carobhall-Verdict", std::string(nameOf(verdict)).c_str());
}

void answerFailure(SoupServerMessage *message, const Failure &failure)
{
    const int status = statusOf(failure.error);
    soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
    setVerdictHeader(message, failure.verdict);
    SoupMessageHeaders *const headers = soup_server_message_get_response_headers(message);
    if (status == SOUP_STATUS_UNAUTHORIZED) {
        soup_message_headers_replace(headers, "WWW-Authenticate", "Bearer");
    }
    if (status == StatusTooManyRequests || status == SOUP_STATUS_SERVICE_UNAVAILABLE) {
        const Micros retryAfter = failure.retryAfter > 0 ? failure.retryAfter : DefaultRetryAfter;
        const Micros seconds = (retryAfter + MicrosPerSecond - 1) / MicrosPerSecond;
        soup_message_headers_replace(headers, "Retry-After", std::to_string(seconds).c_str());
    }
    const std::string body = errorBody(failure);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
}

} // namespace Carobhall
