#pragma once

// The server side of one HTTP/1.1 connection of a caller. Reads requests one after the other and writes their responses.

#include "carobhall/channel.h"
#include "carobhall/gateway_config.h"
#include "carobhall/http_message.h"

#include <functional>

namespace Carobhall
{

class CallerConnection;

struct CallerConnectionOptions {
    int descriptor = -1;
    CallerLimits limits{};
    std::function<void(const std::shared_ptr<CallerConnection> &, RequestHead, std::string body)> onRequest{};
    std::function<void(CallerConnection &, std::string_view reason)> onRejected{}; ///< A malformed or oversized request was answered with an error.
    std::function<void(CallerConnection &)> onClosed{};                            ///< The caller or this process closed the connection.
};

/// Not thread-safe. Held by shared_ptr. The handler of a request calls exactly one of respond(), respondHead(), abortResponse(), or
/// startStream() followed by finishStream() or abortResponse().
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

    /// From now on responses carry "Connection: close" and are the last of their connection.
    void beginShutdown();
    /// Closes the connection if no request is in progress.
    void closeIfIdle();
    /// Enforces the idle and read timeouts of CallerLimits.
    void checkTimeouts(Micros now);
    [[nodiscard]] bool isBusy() const;
    [[nodiscard]] bool isClosed() const;

private:
    /// The status line and headers, with the header that delimits the body (\p framing; empty: none).
    [[nodiscard]] std::string responseHead(unsigned status, const std::vector<HeaderField> &fields, std::string_view framing, std::string_view value);
    void readRequests();
    void reject(unsigned status, std::string_view reason);
    void finishResponse();
    void close();

    CallerConnectionOptions options_;
    std::shared_ptr<Channel> channel_;
    RequestReader reader_;
    Micros waitingSince_ = 0; ///< Start of the idle time, or arrival of the first byte of a request.
    Micros lastBytesAt_ = 0;
    bool busy_ = false;            ///< A request is being handled.
    bool closing_ = false;         ///< beginShutdown() was called.
    bool keepAlive_ = true;        ///< The connection stays open after the current response.
    bool continueChecked_ = false; ///< The current request's Expect header has been handled.
    bool closed_ = false;
    bool reading_ = false; ///< readRequests() is on the call stack.
};

} // namespace Carobhall
