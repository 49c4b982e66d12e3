#pragma once

// Non-blocking TCP connections on GLib's default main context, with bounded buffers and an explicit way to end them.
//
//     auto channel = Channel::connect("10.0.0.1:8080", {.onData = [&] { parse(channel->input()); }, .onEnd = ...});
//     channel->write(request);
//
// Everything here is used from the thread that iterates the default main context. Callbacks run there and never from within
// a call of the same object.

#include "carobhall/base.h"

#include <functional>

namespace Carobhall
{

/// Why a connection ended.
enum class ChannelEnd : std::uint8_t {
    PeerFinished,  ///< The peer closed in order; what it sent is complete.
    Reset,         ///< The connection was reset or failed.
    ConnectFailed, ///< It never opened: nothing that was written has arrived.
};

template<>
struct EnumNames<ChannelEnd> {
    static constexpr std::array rows{
        EnumName{ ChannelEnd::PeerFinished, "peer-finished" },
        EnumName{ ChannelEnd::Reset, "reset" },
        EnumName{ ChannelEnd::ConnectFailed, "connect-failed" },
    };
};

struct ChannelOptions {
    std::function<void()> onOpen{};                       ///< A dialled connection is open. May be empty.
    std::function<void()> onData{};                       ///< input() has grown.
    std::function<void(ChannelEnd)> onEnd{};              ///< Once, unless close() or abort() was called before.
    Micros unackedTimeout = 0;                            ///< Resets the connection when sent bytes stay unacknowledged; 0: the system's default.
    std::size_t maxInputBytes = std::size_t{ 6 } << 20U;  ///< Reading pauses above this many unread bytes.
    std::size_t maxOutputBytes = std::size_t{ 8 } << 20U; ///< A peer that leaves this much unread ends the connection.
};

/// One TCP connection. Held by shared_ptr; dropping the last reference resets it.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    /// Starts to connect to \p address, "ip:port". Returns nothing when the address is malformed or no descriptor is free.
    [[nodiscard]] static std::shared_ptr<Channel> connect(const std::string &address, ChannelOptions options);
    /// Takes over the connected socket \p descriptor.
    [[nodiscard]] static std::shared_ptr<Channel> adopt(int descriptor, ChannelOptions options);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /// Replaces the callbacks, for a connection that passes to another owner.
    void setCallbacks(std::function<void()> onData, std::function<void(ChannelEnd)> onEnd);
    /// Bytes that were received and not yet taken. The owner erases what it has used.
    [[nodiscard]] std::string &input();
    /// Queues \p data and sends what the socket takes. Ignored after the end.
    void write(std::string_view data);
    /// Bytes that the socket has not taken yet.
    [[nodiscard]] std::size_t unsent() const;
    [[nodiscard]] bool isOpen() const;
    /// Whether the peer has closed its direction while input is still held back.
    [[nodiscard]] bool isEnded() const;
    /// Sends what is queued, then closes in order; input is discarded. No callback follows.
    void close();
    /// Resets the connection at once. No callback follows.
    void abort();

private:
    struct Source;
    enum class State : std::uint8_t { Connecting, Open, Finishing, Ended };

    Channel(int descriptor, State state, ChannelOptions options);
    void attach();
    void updateInterest();
    void onReady(unsigned condition);
    void finishConnect();
    void readAll();
    void sendQueued();
    void end(ChannelEnd reason);
    void release();

    int descriptor_ = -1;
    State state_ = State::Open;
    ChannelOptions options_;
    std::string input_;
    std::string output_;
    std::size_t sent_ = 0; ///< Bytes at the front of output_ that the socket has taken.
    Source *source_ = nullptr;
    unsigned interest_ = 0;
    std::optional<ChannelEnd> pendingEnd_;
    unsigned lingerSource_ = 0;
};

/// Accepts connections. Not thread-safe.
class ChannelListener
{
public:
    /// \p onAccept gets each new socket with the peer's address.
    ChannelListener(std::function<void(int descriptor)> onAccept);
    ~ChannelListener();
    ChannelListener(const ChannelListener &) = delete;
    ChannelListener &operator=(const ChannelListener &) = delete;

    /// Listens at \p address, "ip:port"; port 0 takes a free one.
    std::error_code listen(const std::string &address);
    [[nodiscard]] std::uint16_t port() const;
    void stop();

private:
    static int onReady(int descriptor, unsigned condition, void *self);

    std::function<void(int)> onAccept_;
    int descriptor_ = -1;
    unsigned source_ = 0;
    std::uint16_t port_ = 0;
};

} // namespace Carobhall
