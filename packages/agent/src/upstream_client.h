#pragma once

// The agent's view of its upstream: calls to it, its incarnation, and whether it answers.

#include "http_get.h"
#include "upstream_call.h"

namespace Carobhall
{

/// What became of an engine whose call broke off.
enum class EngineCheck : std::uint8_t {
    Alive,   ///< The same engine answers.
    Gone,    ///< Nothing listens there, or another incarnation.
    Unknown, ///< It does not answer in time.
};

class UpstreamClient
{
public:
    struct Options {
        std::string address;                             ///< "ip:port".
        std::function<void(Incarnation)> onIncarnation;  ///< The engine has started anew, or is seen for the first time.
        std::function<void(const std::string &)> onLoad; ///< The engine's report, JSON text. May be empty.
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

    /// Finds out whether the engine of incarnation \p expected is still there; calls \p done later.
    void check(Incarnation expected, std::function<void(EngineCheck)> done);
    /// The engine has named itself.
    void noteIncarnation(Incarnation seen);

    /// 0 until the engine has answered once.
    [[nodiscard]] Incarnation incarnation() const;
    [[nodiscard]] bool isDown() const;
    /// A call found the upstream unreachable.
    void noteUnreachable();

private:
    void poll();

    static constexpr std::size_t FormerCount = 8;

    Options options_;
    ObjectRef<SoupSession> session_;
    ObjectRef<SoupSession> checkSession_; ///< With a short timeout.
    ObjectRef<GCancellable> cancellable_;
    Timer pollTimer_;
    Incarnation incarnation_ = 0;
    std::array<Incarnation, FormerCount> former_{}; ///< Engines that were replaced; their late answers say nothing new.
    std::size_t formerNext_ = 0;
    Micros downUntil_ = 0;
    bool pollRunning_ = false;
};

} // namespace Carobhall
