#pragma once

// The server side of one HTTP/1.1 connection of a caller. Reads requests one after the other and writes their responses.

#include "carobhall/caller_limits.h"
#include "carobhall/channel.h"
#include "carobhall/receive_budget.h"
#include "carobhall/receive_pressure.h"
#include "carobhall/response_writer.h"

#include <functional>

namespace Carobhall
{

class CallerConnection;

/// Why the connection of a caller ended.
enum class ConnectionEnd : std::uint8_t {
    CallerLeft, ///< The caller closed it, or it was reset.
    Idle,       ///< No request for the idle limit.
    Stop,       ///< The process stops, and no request was in progress.
    Complete,   ///< The response was announced as the last one.
    Truncated,  ///< A started response could not be completed.
    Stalled,    ///< The caller took no bytes of its response for the stall limit.
    NoRoom,     ///< Another connection needed the descriptor.
};

template<>
struct EnumNames<ConnectionEnd> {
    static constexpr std::array rows{
        EnumName{ ConnectionEnd::CallerLeft, "caller-left" }, EnumName{ ConnectionEnd::Idle, "idle" },           EnumName{ ConnectionEnd::Stop, "stop" },
        EnumName{ ConnectionEnd::Complete, "complete" },      EnumName{ ConnectionEnd::Truncated, "truncated" }, EnumName{ ConnectionEnd::Stalled, "stalled" },
        EnumName{ ConnectionEnd::NoRoom, "no-room" },
    };
};

/// A complete request.
struct ReceivedRequest {
    RequestHead head{};
    std::string body{};
    ReceiveGrant grant{}; ///< For the body; returned when the request has ended.
};

struct CallerConnectionOptions {
    int descriptor = -1;
    const CallerLimitHistory *limits = nullptr; ///< Outlives the connection.
    ReceiveBudget *budget = nullptr;            ///< Outlives the connection.
    std::function<void(const std::shared_ptr<CallerConnection> &, ReceivedRequest)> onRequest{};
    std::function<void(CallerConnection &, std::string_view reason)> onRejected{}; ///< A malformed or oversized request was answered with an error.
    std::function<void(CallerConnection &, ConnectionEnd)> onClosed{};             ///< Called once.
};

/// Not thread-safe. Held by shared_ptr. The handler of a request ends its response with respond(), respondHead(), abortResponse(), or
/// startStream() followed by finishStream() or abortResponse(). Anything else truncates the response, see ResponseWriter.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    explicit CallerConnection(CallerConnectionOptions options);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Starts reading requests. Call once, after construction.
    void open(Micros now);
    /// Sends a complete response.
    void respond(unsigned status, const std::vector<HeaderField> &fields, std::string_view body);
    /// Responds to a HEAD request; \p length is the upstream's Content-Length of the omitted body.
    void respondHead(unsigned status, const std::vector<HeaderField> &fields, std::optional<std::string_view> length);
    /// Sends the status line and headers of a response of unknown length, which is sent in chunks.
    void startStream(unsigned status, const std::vector<HeaderField> &fields);
    void sendStream(std::string_view data);
    void finishStream();
    /// Closes the connection without completing the response, so that the caller sees that it is truncated.
    void abortResponse();

    /// From now on responses carry "Connection: close" and are the last of their connection, unless a further request has arrived already.
    void beginShutdown();
    /// Reads what waits in the socket now, and hands over the requests that are complete.
    void readWaiting();
    /// Closes the connection if no request awaits its response. A request that has been read in part is refused.
    void endForShutdown();
    /// Enforces the idle and read timeouts of CallerLimits, and the stall limit. A connection is not idle before its caller has taken the
    /// last response.
    void checkTimeouts(Micros now);
    /// What decides whether the connection gives way when memory or descriptors are short.
    [[nodiscard]] ReceiveState receiveState() const;
    /// Tries again to read a body that waits for room in the budget.
    void continueHeld();
    /// Refuses a request that has been read in part, because others need the room.
    void refuseIncomplete();
    /// Ends the connection at once, because another one needs its descriptor. Precondition: no request is being handled.
    void closeForRoom();
    /// A request is being handled or read, or waits in the socket, or the caller has not taken all bytes of its response.
    [[nodiscard]] bool isBusy() const;
    /// Why the connection was closed. Precondition: isClosed().
    [[nodiscard]] ConnectionEnd end() const;
    /// The connection is closed, and its last bytes have been taken by the caller or were discarded.
    [[nodiscard]] bool isEnded() const;
    /// Bytes of responses that the caller has not taken. Once the connection has ended: those that were discarded.
    [[nodiscard]] std::size_t undeliveredBytes() const;
    /// Bytes of responses that this process holds because the system does not take them yet.
    [[nodiscard]] std::size_t unsentBytes() const;
    [[nodiscard]] bool hasStartedStream() const;
    [[nodiscard]] bool isClosed() const;

private:
    /// Reads the next request, unless too much of the responses before it is unsent; then checkTimeouts() calls it again.
    void beginNextRequest();
    void readRequests();
    /// Sends the bytes of \p output and ends the response or the connection as it says.
    void apply(const ResponseOutput &output);
    /// Call before the head of a response is written.
    void prepareHead();
    void reject(unsigned status, std::string_view reason);
    /// Takes room in the budget for the body whose head was read, or for more of it. Holds the input, and returns false, if there is none.
    [[nodiscard]] bool reserveBody();
    /// Responds that the request has not run and may be sent again.
    void refuse(std::string_view reason);
    void close(ConnectionEnd end);

    CallerConnectionOptions options_;
    std::shared_ptr<Channel> channel_;
    CallerLimits requestLimits_{}; ///< Of the request that is being read, or was read last.
    bool nextHasWaited_ = false;   ///< Bytes of the next request arrived before the last response was complete.
    RequestReader reader_;
    Micros waitingSince_ = 0; ///< Start of the idle time, or arrival of the first byte of a request.
    bool nextIsHeld_ = false; ///< See beginNextRequest().
    DeliveryWatch delivery_;
    ConnectionEnd end_ = ConnectionEnd::CallerLeft;
    Micros lastBytesAt_ = 0;
    ResponseWriter writer_;
    ReceiveGrant grant_;           ///< For the body that is being read.
    Micros bodyHeldSince_ = 0;     ///< When the input was held for want of room; 0: it is not held.
    bool continueChecked_ = false; ///< The current request's Expect header has been handled.
    bool closed_ = false;
    bool shuttingDown_ = false; ///< beginShutdown() was called.
    bool reading_ = false;      ///< readRequests() is on the call stack.
};

} // namespace Carobhall
