#pragma once

// One HTTP call to the upstream, read as it arrives: server-sent events of a model engine, or the bytes of a plain service.

#include "carobhall/runtime.h"

namespace Carobhall
{

/// The number of an engine's incarnation as it names it in a header: hexadecimal, or any other text, which is hashed.
[[nodiscard]] Incarnation incarnationFrom(const std::string &text);

struct UpstreamRequest {
    std::string url;
    std::string method;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;   ///< Passed on to the upstream; empty: none.
    bool isModel = false;         ///< A successful answer is a stream of token events.
    bool repeatable = false;      ///< A server error counts as a failed attempt; otherwise it is passed on as the answer.
    std::uint64_t firstIndex = 0; ///< Index of the first token that is wanted.
};

struct UpstreamAnswer {
    int status = 0;
    std::string contentType;
    Incarnation incarnation = 0;                 ///< 0: the upstream does not name one.
    std::optional<std::uint32_t> cachedPieces{}; ///< Of the prompt, found in the engine's cache.
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
        std::function<void(UpstreamResult)> onEnd; ///< Exactly once, unless the call is destroyed first. May destroy the call.
    };

    UpstreamCall(SoupSession *session, UpstreamRequest request, Events events);
    /// Breaks off the HTTP call.
    ~UpstreamCall();
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;

    /// Precondition: not started yet.
    void start();
    /// Stops reading, so that the upstream meets TCP's flow control, until resume().
    void pause();
    void resume();
    /// Whether bytes of the request may have reached the upstream.
    [[nodiscard]] bool wasHandedOver() const;
    /// Incarnation that answered; 0 when unknown.
    [[nodiscard]] Incarnation answeredBy() const;
    /// Ends the call as broken off by the upstream; onEnd follows at once.
    void fail(const std::string &reason);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace Carobhall
