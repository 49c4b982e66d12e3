#pragma once

// Non-blocking TCP connections on GLib's default main context, with bounded buffers and explicit close() and abort().
//
//     auto channel = Channel::connect("10.0.0.1:8080", {.onData = [&] { parse(channel->input()); }, .onEnd = ...});
//     channel->write(request);
//
// Not thread-safe: use all classes from the thread that iterates the default main context. Callbacks run on that thread and are
// never invoked from within a call to the same object.

#include "carobhall/base.h"
#include "carobhall/delivery_watch.h"

#include <functional>

namespace Carobhall
{

/// Why a connection ended.
enum class ChannelEnd : std::uint8_t {
    /// The peer closed the connection normally (FIN); all the data that it sent has been received. It may have finished sending only, so what was
    /// written before is still delivered, as after close().
    PeerFinished,
    Reset,         ///< The connection was reset or failed.
    ConnectFailed, ///< The connection was never established, so no written data has reached the peer.
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
    std::function<void()> onOpen{};                       ///< The connection started by connect() is established. May be empty.
    std::function<void()> onData{};                       ///< New bytes were appended to input().
    std::function<void(ChannelEnd)> onEnd{};              ///< Called once when the connection ends, unless close() or abort() was called before.
    Micros unackedTimeout = 0;                            ///< Resets the connection if sent data stays unacknowledged for this long; 0: system default.
    std::size_t maxInputBytes = std::size_t{ 6 } << 20U;  ///< Reading pauses while input() holds at least this many bytes.
    std::size_t maxOutputBytes = std::size_t{ 8 } << 20U; ///< More unsent bytes than this reset the connection; onEnd reports it from the main loop.
    Micros stallLimit = 60 * MicrosPerSecond;             ///< After close(): resets the connection if the peer takes no bytes for this long.
};

/// One TCP connection, owned through shared_ptr. Destroying it resets the connection, unless close() was called.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    /// Starts connecting to \p address ("ip:port"). Returns nullptr if the address is malformed, no file descriptor is available or
    /// the system refuses the attempt at once.
    [[nodiscard]] static std::shared_ptr<Channel> connect(const std::string &address, ChannelOptions options);
    /// Takes ownership of the connected socket \p descriptor.
    [[nodiscard]] static std::shared_ptr<Channel> adopt(int descriptor, ChannelOptions options);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /// Replaces the callbacks when the connection is handed to another owner. onOpen is cleared.
    void setCallbacks(std::function<void()> onData, std::function<void(ChannelEnd)> onEnd);
    /// Received bytes that have not been consumed. The owner erases the bytes that it has processed.
    [[nodiscard]] std::string &input();
    /// Queues \p data and sends as much as the socket accepts. Ignored after the connection has ended or close() was called.
    void write(std::string_view data);
    /// Number of queued bytes that the socket has not accepted yet.
    [[nodiscard]] std::size_t unsent() const;
    /// Number of written bytes that the peer's system has not acknowledged. After the connection has ended: those that were discarded.
    [[nodiscard]] std::size_t undelivered() const;
    /// Number of bytes that were written since the connection exists.
    [[nodiscard]] std::uint64_t written() const;
    /// Whether the socket holds received bytes that have not been read into input() yet.
    [[nodiscard]] bool hasUnreadInput() const;
    /// Reading is on at first. While it is off, bytes stay in the socket and onEnd still reports the end of the connection, which then
    /// counts as PeerFinished even if unread bytes precede the peer's FIN.
    void setReading(bool enabled);
    /// While input is held, neither bytes nor a FIN behind them are read: the peer's system stops sending once the buffers are full. Unlike with
    /// setReading(), onEnd follows after all bytes that precede the end. A reset is reported at once.
    void setInputHeld(bool held);
    /// Whether the connection is established or being established.
    [[nodiscard]] bool isOpen() const;
    /// Whether the connection is being established, so that no byte has reached the peer.
    [[nodiscard]] bool isConnecting() const;
    /// Reads the bytes that wait in the socket now, as the main loop would, until none remain or reading is off.
    void readWaiting();
    /// Whether the connection has ended and its socket is released.
    [[nodiscard]] bool isEnded() const;
    /// Sends the queued data, then closes the connection normally. Reads and discards input until the peer closes it too, unless reading
    /// is off. No further callbacks are invoked. The channel stays alive until then, and ends by itself when the peer takes no data for
    /// the stall limit or does not close its side in time.
    void close();
    /// Closes the connection normally without reading any further. Bytes that the peer has sent and that were not read are reset, which
    /// tells it that they were not processed. Sends the queued data first, like close(). No further callbacks are invoked.
    void closeUnread();
    /// Resets the connection immediately. No further callbacks are invoked.
    void abort();

private:
    struct Source;
    enum class State : std::uint8_t { Connecting, Open, Closing, Ended };

    Channel(int descriptor, State state, ChannelOptions options);
    void attach();
    void updateInterest();
    void onReady(unsigned condition);
    void finishConnect();
    void readAll();
    /// Looks for the end of the connection without reading.
    void checkEnd(unsigned condition);
    void sendQueued();
    void onPeerFinished();
    void end(ChannelEnd reason);
    /// Resets the connection and calls onEnd in the next iteration of the main loop, unless close() or abort() is called before.
    void endOverflow();
    void release();
    /// Ends the connection after close() once the peer has all data or takes no more of it.
    void checkLinger();

    int descriptor_ = -1;
    State state_ = State::Open;
    ChannelOptions options_;
    std::string input_;
    std::string output_;
    std::size_t sent_ = 0; ///< Bytes at the front of output_ that the socket has accepted.
    Source *source_ = nullptr;
    bool reading_ = true;
    bool inputHeld_ = false;  ///< See setInputHeld().
    bool inputWaits_ = false; ///< Reading is off and the socket holds bytes, so that only the end of the connection is polled for.
    unsigned interest_ = 0;   ///< GIOCondition flags that the main loop currently polls for.
    std::optional<ChannelEnd> pendingEnd_;
    std::uint64_t written_ = 0;
    mutable std::uint64_t delivered_ = 0; ///< Of the written bytes, those that are known to be acknowledged.
    std::size_t discarded_ = 0;           ///< Undelivered bytes at the end of the connection.
    DeliveryWatch delivery_;              ///< After close().
    bool sendFailed_ = false;             ///< The connection was reset while bytes were being sent.
    std::size_t dropped_ = 0;             ///< Written bytes that a failed send has left.
    bool peerFinished_ = false;           ///< The peer sends nothing more, but may still read.
    unsigned lingerSource_ = 0;           ///< GLib source that calls checkLinger() after close(); 0: none.
};

/// Accepts TCP connections. Not thread-safe.
class ChannelListener
{
public:
    /// \p onAccept is called with each accepted socket and takes ownership of it.
    ChannelListener(std::function<void(int descriptor)> onAccept);
    ~ChannelListener();
    ChannelListener(const ChannelListener &) = delete;
    ChannelListener &operator=(const ChannelListener &) = delete;

    /// Listens on \p address ("ip:port"); port 0 selects a free port.
    std::error_code listen(const std::string &address);
    /// The port that listen() has bound.
    [[nodiscard]] std::uint16_t port() const;
    /// Accepts the connections that wait in the socket. stop() resets those that were not accepted.
    void acceptPending();
    void stop();

private:
    static int onReady(int descriptor, unsigned condition, void *self);

    std::function<void(int)> onAccept_;
    int descriptor_ = -1;
    unsigned source_ = 0;
    std::uint16_t port_ = 0;
};

} // namespace Carobhall
