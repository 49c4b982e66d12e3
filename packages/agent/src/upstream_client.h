#pragma once

// HTTP client of the agent's upstream. Makes calls, and tracks the upstream's incarnation and whether it is reachable.

#include "http_get.h"
#include "upstream_call.h"

namespace Carobhall
{

/// Result of a liveness check of an engine after a failed call.
enum class EngineCheck : std::uint8_t {
    Alive,   ///< The same incarnation answers.
    Gone,    ///< The engine cannot be reached, or another incarnation answers.
    Unknown, ///< No answer within the timeout.
};

class UpstreamClient
{
public:
    struct Options {
        std::string address;                             ///< "ip:port".
        std::function<void(Incarnation)> onIncarnation;  ///< The engine has restarted, or is seen for the first time.
        std::function<void(const std::string &)> onLoad; ///< Body of GET /load, JSON text. May be empty.
    };

    explicit UpstreamClient(Options options);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    /// Starts polling GET /load if the upstream is a model engine. Plain services are not polled.
    void start(bool isModel);

    /// Creates a call to \p path that has not started yet. Its response updates the engine's incarnation.
    [[nodiscard]] std::unique_ptr<UpstreamCall> makeCall(UpstreamRequest request, const std::string &path, UpstreamCall::Events events);
    /// Asks the engine to cancel a request whose connection may already be closed.
    void cancelAtEngine(const std::string &requestId);

    /// Checks whether the engine of incarnation \p expected is still alive. Calls \p done asynchronously.
    void check(Incarnation expected, std::function<void(EngineCheck)> done);
    /// Records the incarnation that the engine has reported. 0 and earlier incarnations are ignored.
    void noteIncarnation(Incarnation seen);

    /// The current incarnation of the engine; 0 until it has answered once.
    [[nodiscard]] Incarnation incarnation() const;
    [[nodiscard]] bool isDown() const;
    /// Records that the upstream could not be reached.
    void noteUnreachable();

private:
    void poll();

    static constexpr std::size_t MaxFormerIncarnations = 8;

    Options options_;
    ObjectRef<SoupSession> session_;
    ObjectRef<SoupSession> checkSession_; ///< Used by check(); has a short timeout.
    ObjectRef<GCancellable> cancellable_;
    Timer pollTimer_;
    Incarnation incarnation_ = 0;
    std::array<Incarnation, MaxFormerIncarnations> formerIncarnations_{}; ///< Replaced incarnations, so that late answers from them are ignored.
    std::size_t nextFormerIndex_ = 0;
    Micros downUntil_ = 0;
    bool pollRunning_ = false;
};

} // namespace Carobhall
