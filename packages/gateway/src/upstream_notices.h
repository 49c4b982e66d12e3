#pragma once

// What an upstream says about itself in its answers, besides the answer to the request.

#include "carobhall/exchange_codec.h"
#include "carobhall/upstream_table.h"

namespace Carobhall
{

/// Passes what \p upstream has said about its availability in \p response to \p table and logs changes. Answers of another process at
/// its address are ignored. \p requestId is for the log. Not thread-safe.
void noteAvailability(UpstreamTable &table, const Upstream &upstream, const UpstreamResponse &response, std::string_view requestId, Micros now);

} // namespace Carobhall
