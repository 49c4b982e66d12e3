#pragma once

// Errors as callers see them: HTTP status, verdict header and JSON body.

#include "carobhall/runtime.h"

namespace Carobhall
{

struct Failure {
    std::error_code error;
    Verdict verdict = Verdict::NotRun;
    std::string message;
    Micros retryAfter = 0; ///< 0: the default of the error.
};

/// The HTTP status for \p error. Thread-safe.
[[nodiscard]] int statusOf(std::error_code error);

/// {"error": {"message", "type", "code", "verdict"}}. Thread-safe.
[[nodiscard]] std::string errorBody(const Failure &failure);

/// Makes \p failure the whole response to \p message, with the verdict header and, where it helps, Retry-After.
void answerFailure(SoupServerMessage *message, const Failure &failure);

/// Sets the header Carobhall-Verdict.
void setVerdictHeader(SoupServerMessage *message, Verdict verdict);

} // namespace Carobhall
