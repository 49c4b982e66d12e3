#pragma once

// A pool of keep-alive connections to upstreams, and a single HTTP call on one of them.

#include "carobhall/channel.h"
#include "carobhall/exchange_codec.h"
#include "carobhall/runtime.h"
#include "carobhall/upstream_table.h"

#include <list>

namespace Carobhall
{

struct PoolOptions {
    /// Short enough that a request has time left for a retry after a connect that hangs; a handshake takes 24 ms across regions.
    Micros connectTimeout = MicrosPerSecond;
    /// A connection whose sent bytes are not acknowledged for this time is closed: the peer or the path is down.
    Micros unackedTimeout = 1500 * MicrosPerMilli;
    /// How long an idle connection may be reused if its upstream announces no idle timeout.
    Micros defaultKeepAlive = 4 * MicrosPerSecond;
    /// Share of the announced idle timeout during which a connection is reused, so that a request does not race with the
    /// upstream closing it.
    double keepAliveShare = 0.6;
    std::size_t maxIdlePerUpstream = 24;
    /// Asked when a new connection is established; false: the call ends with CallEnd::NotSent. May be empty.
    std::function<bool(const Upstream &upstream)> maySend{};
};

/// Idle connections by upstream process. Not thread-safe.
class UpstreamPool
{
public:
    explicit UpstreamPool(const PoolOptions &options);

    /// Removes an idle connection to the upstream from the pool; nullptr if there is none. Its callbacks are unset.
    [[nodiscard]] std::shared_ptr<Channel> takeIdle(const Upstream &upstream, Micros now);
    /// Returns a connection to the pool. \p keepAlive is the idle timeout that the upstream announced.
    void release(const Upstream &upstream, std::shared_ptr<Channel> channel, std::optional<Micros> keepAlive, Micros now);
    /// Closes connections that have been idle for too long, and removes those that their upstreams have closed.
    void expire(Micros now);
    [[nodiscard]] const PoolOptions &options() const;
    [[nodiscard]] std::size_t idleCount() const;

private:
    struct IdleConnection {
        std::shared_ptr<Channel> channel;
        Micros usableUntil = 0;
    };
    PoolOptions options_;
    std::unordered_map<UpstreamNumber, std::list<IdleConnection>> idle_;
};

/// The result of a call.
enum class CallEnd : std::uint8_t {
    Complete,
    NotSent, ///< The connection was not established or send() was not called: the upstream has not received the request.
    Broken,  ///< The connection was lost or the response is malformed; the upstream may have run the request.
};

template<>
struct EnumNames<CallEnd> {
    static constexpr std::array rows{
        EnumName{ CallEnd::Complete, "complete" },
        EnumName{ CallEnd::NotSent, "not-sent" },
        EnumName{ CallEnd::Broken, "broken" },
    };
};

enum class ConnectResult : std::uint8_t {
    Failed,     ///< No connection could be started.
    Connecting, ///< The handshake is in progress.
    Connected,  ///< An idle connection of the pool is used.
};

template<>
struct EnumNames<ConnectResult> {
    static constexpr std::array rows{
        EnumName{ ConnectResult::Failed, "failed" },
        EnumName{ ConnectResult::Connecting, "connecting" },
        EnumName{ ConnectResult::Connected, "connected" },
    };
};

struct UpstreamCallOptions {
    UpstreamPool *pool = nullptr;
    const ExchangeCodec *codec = nullptr;
    UpstreamRef upstream{};
    std::string requestId{};
    bool headOnly = false;                ///< The response has no body.
    bool mayReuseConnection = true;       ///< Use an idle connection if there is one.
    std::function<void()> onConnected{};  ///< A connection that connect() has started is established. Not called after send().
    std::function<void()> onHead{};       ///< Called once.
    std::function<void()> onBody{};       ///< More data is available from takeBody().
    std::function<void(CallEnd)> onEnd{}; ///< Called once, unless the call is cancelled.
};

/// One request and its response. Held by shared_ptr. Not thread-safe.
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall>
{
public:
    explicit UpstreamCall(UpstreamCallOptions options);
    ~UpstreamCall();
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;

    /// Takes an idle connection or starts a new one. Call once. No callback is called after ConnectResult::Failed.
    ConnectResult connect(Micros now);
    /// Sends the serialized request \p bytes, at once or when the connection is established. Call once, after connect().
    void send(std::string_view bytes);
    /// Resets the connection, so that the upstream cancels the request. No callback is called afterwards.
    void cancel();

    /// The call has neither ended nor been cancelled.
    [[nodiscard]] bool isActive() const;
    /// Whether any byte of the request may have reached the upstream: send() was called and the connection was established.
    [[nodiscard]] bool mayHaveSent() const;
    [[nodiscard]] const ResponseHead &head() const;
    [[nodiscard]] const UpstreamResponse &response() const;
    [[nodiscard]] std::string takeBody();
    /// Why the response was refused; None: the call has not ended with CallEnd::Broken.
    [[nodiscard]] ResponseFault fault() const;
    /// While \p paused, the response is not read from the connection.
    void setPaused(bool paused);
    /// Whether the request was sent on a connection from the pool.
    [[nodiscard]] bool usedIdleConnection() const;

private:
    /// Responses to other requests that are skipped on one connection before the call fails.
    static constexpr unsigned MaxStaleResponses = 3;
    /// Body bytes of such responses that are skipped. A stale response may have no end.
    static constexpr std::size_t MaxSkippedBytes = std::size_t{ 4 } << 20U;

    void onOpen();
    void onData();
    void onChannelEnd(ChannelEnd reason);
    void readResponse();
    void finish(CallEnd end);
    /// Ends the call with CallEnd::Broken.
    void refuse(ResponseFault cause);

    UpstreamCallOptions options_;
    std::shared_ptr<Channel> channel_;
    std::string unsentRequest_; ///< Kept until the connection is established.
    ResponseReader reader_;
    ResponseFault fault_ = ResponseFault::None;
    UpstreamResponse response_;
    Timer connectTimer_;
    bool usedIdle_ = false;
    bool isConnected_ = false;
    bool requestSent_ = false; ///< send() was called.
    bool headReceived_ = false;
    bool reusable_ = true;
    bool ended_ = false;
    bool skipping_ = false; ///< The response that is being read belongs to another request.
    unsigned staleResponses_ = 0;
    std::size_t skippedBytes_ = 0;
};

} // namespace Carobhall
