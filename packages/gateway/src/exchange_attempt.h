#pragma once

// What the parts of Exchange share: exchange.cpp handles the request and its response, exchange_attempts.cpp the attempts at upstreams.

#include "exchange.h"

namespace Carobhall
{

/// Base values for the Retry-After header. Loading weights takes 0.4 s; a process that has just started has received its
/// configuration and upstreams within 0.5 s.
inline constexpr Micros RetryAfterStart = 500 * MicrosPerMilli;
inline constexpr Micros RetryAfterLoading = 400 * MicrosPerMilli;
inline constexpr Micros RetryAfterFull = 600 * MicrosPerMilli;
inline constexpr Micros RetryAfterRejected = 150 * MicrosPerMilli;
inline constexpr Micros RetryAfterCrashes = 5 * MicrosPerSecond; ///< Poison requests are blocked for minutes; an earlier retry would fail again.

/// Time that a response needs to reach the caller. The upstream's timeout is shorter than the caller's by this much.
inline constexpr Micros ReturnMargin = 20 * MicrosPerMilli;

[[nodiscard]] bool isSuccess(unsigned status);
[[nodiscard]] bool isEventStream(const ResponseHead &head);
/// Whether \p service has a usable upstream that is not in \p tried.
[[nodiscard]] bool hasUntriedUpstream(const UpstreamTable &upstreams, std::string_view service, std::span<const UpstreamRef> tried);

/// One attempt at one upstream.
struct Exchange::Attempt {
    UpstreamRef upstream;
    std::shared_ptr<UpstreamCall> call;
    EngineChoice choice; ///< Set if the upstream is a model server.
    UpstreamInstructions instructions;
    Micros startedAt = 0;
    Micros lastProgressAt = 0;   ///< The request was sent, or an event with data arrived.
    bool isSent = false;         ///< The request was sent, also if the connection ends before any byte has left.
    bool prefillPending = false; ///< The engine has not produced the first token.
};

} // namespace Carobhall
