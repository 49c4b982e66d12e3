#pragma once

// The agent's view of its upstream: calls to it, its incarnation, and whether it answers.

#include "upstream_call.h"

namespace Carobhall
{

class UpstreamClient
{
public:
    struct Options {
        std::string address; ///< "ip:port".
        std::function<void(Incarnation)> onIncarnation; ///< The engine has started anew, or is seen for the first time.
    };

    explicit UpstreamClient(Options options);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    /// Begins to watch an engine; plain services are not watched.
    void start(bool isModel);

    /// A call that has not started yet. Its answer keeps the engine's incarnation up to date.
    [[nodiscard]] std::unique_ptr<UpstreamCall> makeCall(UpstreamRequest request, const std::string &path, UpstreamCall::Events events);
    /// Asks an engine to end a request whose connection may already be gone.
    void cancelAtEngine(const std::string &requestId);

    /// 0 until the engine has answered once.
    [[nodiscard]] Incarnation incarnation() const;
    [[nodiscard]] bool isDown() const;
    /// A call found the upstream unreachable.
    void noteUnreachable();

private:
    void poll();
    void learn(Incarnation seen);

    Options options_;
    ObjectRef<SoupSession> session_;
    ObjectRef<GCancellable> cancellable_;
    Timer pollTimer_;
    Incarnation incarnation_ = 0;
    Micros downUntil_ = 0;
    bool pollRunning_ = false;
};

} // namespace Carobhall
