#pragma once

// One HTTP call to the upstream. The response is streamed: server-sent events from a model engine, or bytes from a plain
// service. What RFC 9112 lets a recipient refuse fails the call.

#include "carobhall/runtime.h"

namespace Carobhall
{

/// Converts an engine's name for its incarnation to a number. Hexadecimal text is parsed; any other text is hashed. Empty text
/// gives 0.
[[nodiscard]] Incarnation incarnationFrom(const std::string &text);

struct UpstreamRequest {
    std::string url; ///< "http://ip:port/path".
    std::string method;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;   ///< Forwarded to the upstream; empty: none.
    bool isModel = false;         ///< A successful response is a stream of token events.
    bool repeatable = false;      ///< If true, a server error fails the attempt; otherwise it is forwarded as the answer.
    std::uint64_t firstIndex = 0; ///< Index of the first token to forward; earlier ones are dropped.
};

/// Head of the upstream's response.
struct UpstreamAnswer {
    int status = 0;
    std::string contentType;
    Incarnation incarnation = 0;                 ///< 0: not reported by the upstream.
    std::optional<std::uint32_t> cachedPieces{}; ///< Pieces of the prompt that the engine found in its cache.
};

struct UpstreamResult {
    bool complete = false;
    Verdict verdict = Verdict::NotRun;
    std::error_code error;
    std::string finishReason;
    std::string message;
};

class UpstreamCall
{
public:
    struct Events {
        std::function<void(const UpstreamAnswer &)> onAnswer;
        std::function<void(std::string)> onPiece;
        std::function<void(UpstreamResult)> onEnd; ///< Called exactly once, unless the call is destroyed first. May destroy the call.
    };

    UpstreamCall(UpstreamRequest request, Events events);
    /// Aborts the HTTP call.
    ~UpstreamCall();
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;

    /// Precondition: not started yet.
    void start();
    /// Stops reading until resume(), so that TCP flow control slows the upstream down.
    void pause();
    void resume();
    /// Whether bytes of the request may have reached the upstream.
    [[nodiscard]] bool wasHandedOver() const;
    /// Incarnation of the engine that answered; 0 when unknown.
    [[nodiscard]] Incarnation answeredBy() const;
    /// Ends the call as failed by the upstream. Calls onEnd before it returns.
    void fail(const std::string &reason);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace Carobhall
