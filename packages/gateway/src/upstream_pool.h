#pragma once

// Connections to upstreams, kept between requests, and one request on one of them.

#include "carobhall/channel.h"
#include "carobhall/exchange_codec.h"
#include "carobhall/runtime.h"
#include "carobhall/upstream_table.h"

#include <list>

namespace Carobhall
{

struct PoolOptions {
    /// Below the time a request has left after a connection that hangs; a handshake takes 24 ms across regions.
    Micros connectTimeout = MicrosPerSecond;
    /// Sent bytes without acknowledgement end a connection: the peer or the path is gone.
    Micros unackedTimeout = 1500 * MicrosPerMilli;
    /// Reuse of a connection whose upstream announces no idle timeout.
    Micros defaultKeepAlive = 4 * MicrosPerSecond;
    /// Share of the announced idle timeout that is used, so that a request does not cross the upstream's close.
    double keepAliveShare = 0.6;
    std::size_t maxIdlePerUpstream = 24;
};

/// Idle connections by address and process. Not thread-safe.
class UpstreamPool
{
public:
    explicit UpstreamPool(const PoolOptions &options);

    /// An idle connection to the upstream, or nothing. Its callbacks are unset.
    [[nodiscard]] std::shared_ptr<Channel> takeIdle(const Upstream &upstream, Micros now);
    void keep(const Upstream &upstream, std::shared_ptr<Channel> channel, std::optional<Micros> keepAlive, Micros now);
    /// Closes connections that have been idle for too long, and those of upstreams that are gone.
    void expire(Micros now);
    [[nodiscard]] const PoolOptions &options() const;
    [[nodiscard]] std::size_t idleCount() const;

private:
    struct Idle {
        std::shared_ptr<Channel> channel;
        Micros usableUntil = 0;
    };
    PoolOptions options_;
    std::unordered_map<UpstreamNumber, std::list<Idle>> idle_;
};

/// How a call ended.
enum class CallEnd : std::uint8_t {
    Complete,
    NotSent, ///< The connection never opened: the upstream has not seen the request.
    Broken,  ///< The connection or the message broke; the upstream may have run the request.
};

template<>
struct EnumNames<CallEnd> {
    static constexpr std::array rows{
        EnumName{ CallEnd::Complete, "complete" },
        EnumName{ CallEnd::NotSent, "not-sent" },
        EnumName{ CallEnd::Broken, "broken" },
    };
};

struct UpstreamCallOptions {
    UpstreamPool *pool = nullptr;
    const ExchangeCodec *codec = nullptr;
    UpstreamRef upstream{};
    std::string requestId{};
    std::string bytes{};                  ///< The whole request.
    bool headOnly = false;                ///< The response has no body.
    std::function<void()> onHead{};       ///< Once.
    std::function<void()> onBody{};       ///< takeBody() has more.
    std::function<void(CallEnd)> onEnd{}; ///< Once, unless cancelled.
};

/// One request on one connection. Held by shared_ptr. Not thread-safe.
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall>
{
public:
    explicit UpstreamCall(UpstreamCallOptions options);
    ~UpstreamCall();
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;

    /// Sends the request. Returns false when no connection could be started; no callback follows then.
    bool start(Micros now);
    /// Resets the connection, so that the upstream drops the request. No callback follows.
    void cancel();

    [[nodiscard]] const ResponseHead &head() const;
    [[nodiscard]] const UpstreamResponse &response() const;
    [[nodiscard]] std::string takeBody();
    [[nodiscard]] bool usedIdleConnection() const;

private:
    /// Responses to other requests that are skipped on one connection before it is given up.
    static constexpr unsigned MaxStrayResponses = 3;

    void onData();
    void onChannelEnd(ChannelEnd reason);
    void readResponse();
    void finish(CallEnd end);

    UpstreamCallOptions options_;
    std::shared_ptr<Channel> channel_;
    ResponseReader reader_;
    UpstreamResponse response_;
    Timer connectTimer_;
    bool usedIdle_ = false;
    bool headSeen_ = false;
    bool reusable_ = true;
    bool ended_ = false;
    bool skipping_ = false; ///< The message being read belongs to another request.
    unsigned strays_ = 0;
};

} // namespace Carobhall
