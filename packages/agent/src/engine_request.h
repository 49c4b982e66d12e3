#pragma once

// Converts a Submit into the HTTP request to the upstream.

#include "upstream_call.h"

namespace Carobhall
{

/// The request for \p submit, without the URL, which UpstreamClient sets. For a model engine, the body also gets the fields for
/// streaming, priority, cache salt, request id and the position to resume from. Thread-safe.
[[nodiscard]] UpstreamRequest upstreamRequestFor(const Submit &submit, bool isModel);

/// The prompt that the engine hashes: the text of a completion, or role, newline, content and newline of each chat message.
/// Empty when the body contains no prompt. Thread-safe.
[[nodiscard]] std::string promptOf(const Submit &submit);

} // namespace Carobhall
