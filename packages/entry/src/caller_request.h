#pragma once

// A caller's request after it has been checked, and the checks.

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
    bool repeatable = false; ///< May run more than once.
    std::string idempotencyKey;
    std::string method;
    std::string path; ///< With the query, as the caller sent it.
    std::string contentType;
    std::string body;
    std::string prompt;          ///< Of a model: what the engine computes, in the engine's own form.
    bool stream = false;         ///< The caller asked for server-sent events.
    std::uint32_t maxTokens = 0; ///< 0: the engine's default.
    Micros arrivedAt = 0;
    Micros startBy = 0; ///< The rank's deadline.

    [[nodiscard]] bool isModel() const
    {
        return kind != RequestKind::Plain;
    }
};

/// Tokens of a model request's prompt, by an estimate that needs no tokeniser. Thread-safe.
[[nodiscard]] double promptTokens(const CallerRequest &request);
/// Tokens that a request may cost; a call of a plain service counts as one. Thread-safe.
[[nodiscard]] double estimatedTokens(const CallerRequest &request);

/// A request as HTTP delivers it.
struct RawRequest {
    std::string method;
    std::string path;
    std::string query;
    std::string contentType;
    std::string idempotencyKey;
    std::string body;
    Micros arrivedAt = 0;
};

/// Checks \p raw against the document's routes and models. Thread-safe.
[[nodiscard]] std::variant<CallerRequest, Failure> checkRequest(RawRequest raw, const AccountSpec &account, const EnvironmentDocument &document);

/// The answer to GET /v1/models. Thread-safe.
[[nodiscard]] std::string modelList(const EnvironmentDocument &document);

} // namespace Carobhall
