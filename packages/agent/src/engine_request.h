#pragma once

// Turns a Submit into the HTTP request that the upstream gets.

#include "upstream_call.h"

namespace Carobhall
{

/// The request for \p submit; the URL is left to the upstream client. An engine's request gets streaming, priority, cache
/// salt, identity and the place to resume from. Thread-safe.
[[nodiscard]] UpstreamRequest upstreamRequestFor(const Submit &submit, bool isModel);

/// The prompt that the engine hashes: the text of a completion, or role, newline, content and newline of each chat message.
/// Empty when the body has none. Thread-safe.
[[nodiscard]] std::string promptOf(const Submit &submit);

} // namespace Carobhall
