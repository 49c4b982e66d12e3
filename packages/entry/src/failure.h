#pragma once

// Conversion of errors to HTTP responses: status code, verdict header and JSON body.

#include "carobhall/runtime.h"

namespace Carobhall
{

struct Failure {
    std::error_code error;
    Verdict verdict = Verdict::NotRun;
    std::string message;
    Micros retryAfter = 0; ///< 0: use the default, one second.
};

/// Returns the HTTP status code for \p error. Thread-safe.
[[nodiscard]] int statusOf(std::error_code error);

/// Returns the JSON body {"error": {"message", "type", "code", "verdict"}}. Thread-safe.
[[nodiscard]] std::string errorBody(const Failure &failure);

/// Sets the complete response of \p message from \p failure, with the verdict header and, for the statuses 429 and 503, Retry-After.
void answerFailure(SoupServerMessage *message, const Failure &failure);

/// Sets the response header Carobhall-Verdict.
void setVerdictHeader(SoupServerMessage *message, Verdict verdict);

} // namespace Carobhall
