#pragma once

// Validates callers' HTTP requests and converts them to CallerRequest.

#include "account_table.h"
#include "failure.h"

namespace Carobhall
{

enum class RequestKind : std::uint8_t { Completion, Chat, Plain };

struct CallerRequest {
    std::string account;
    Rank rank = Rank::Free;
    RequestKind kind = RequestKind::Plain;
    std::string route;       ///< Model name, or name of a plain service.
    bool repeatable = false; ///< The request may be executed more than once.
    std::string idempotencyKey;
    std::string method;
    std::string path; ///< Including the query string, as the caller sent it.
    std::string contentType;
    std::string body;
    std::string prompt;          ///< Model requests only: the prompt text as the engine sees it.
    bool stream = false;         ///< The caller requested server-sent events.
    std::uint32_t maxTokens = 0; ///< 0: use the engine's default.
    Micros arrivedAt = 0;
    Micros startBy = 0; ///< Arrival time plus the deadline of the account's rank.

    [[nodiscard]] bool isModel() const
    {
        return kind != RequestKind::Plain;
    }
};

/// Estimates the number of prompt tokens of a model request without a tokenizer. Thread-safe.
[[nodiscard]] double promptTokens(const CallerRequest &request);
/// Estimates the prompt and answer tokens that a request may cost; a call to a plain service counts as one token. Thread-safe.
[[nodiscard]] double estimatedTokens(const CallerRequest &request);

/// An HTTP request before validation.
struct RawRequest {
    std::string method;
    std::string path;
    std::string query;
    std::string contentType;
    std::string idempotencyKey;
    std::string body;
    Micros arrivedAt = 0;
};

/// Validates \p raw against the routes and models of \p document. Thread-safe.
[[nodiscard]] std::variant<CallerRequest, Failure> checkRequest(RawRequest raw, const AccountSpec &account, const EnvironmentDocument &document);

/// Returns the response body for GET /v1/models. Thread-safe.
[[nodiscard]] std::string modelList(const EnvironmentDocument &document);

} // namespace Carobhall
