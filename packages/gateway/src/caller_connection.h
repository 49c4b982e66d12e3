#pragma once

// One caller's connection: reads requests one after the other and writes their responses.

#include "carobhall/channel.h"
#include "carobhall/gateway_config.h"
#include "carobhall/http_message.h"

#include <functional>

namespace Carobhall
{

class CallerConnection;

/// What a connection asks of its owner.
struct CallerConnectionOptions {
    int descriptor = -1;
    CallerLimits limits{};
    std::function<void(const std::shared_ptr<CallerConnection> &, RequestHead, std::string body)> onRequest{};
    std::function<void(CallerConnection &, std::string_view reason)> onRejected{}; ///< A message that is no request was answered with an error.
    std::function<void(CallerConnection &)> onClosed{};                            ///< The caller left, or the connection was closed.
};

/// Not thread-safe. Held by shared_ptr. A request's handler calls exactly one of respond(), breakOff(), or startStream() followed
/// by finishStream() or breakOff().
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    explicit CallerConnection(CallerConnectionOptions options);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Begins to read. Call once, after construction.
    void open(Micros now);
    /// A whole response.
    void respond(unsigned status, const std::vector<HeaderField> &fields, std::string_view body);
    /// Answers a HEAD request; \p length is what the upstream says of the body that it leaves out.
    void respondHead(unsigned status, const std::vector<HeaderField> &fields, std::optional<std::string_view> length);
    /// The head of a response whose length is not known yet.
    void startStream(unsigned status, const std::vector<HeaderField> &fields);
    void sendStream(std::string_view data);
    void finishStream();
    /// Ends the connection so that the caller sees that the response is not complete.
    void breakOff();

    /// Later responses announce that the connection closes.
    void beginShutdown();
    /// Closes when no request is in progress.
    void closeIfIdle();
    /// Ends connections that are idle or slow for longer than the limits allow.
    void checkTimeouts(Micros now);
    [[nodiscard]] bool isBusy() const;
    [[nodiscard]] bool isClosed() const;

private:
    /// The head of a response, with the header that frames its body (\p framing; empty: none).
    [[nodiscard]] std::string responseHead(unsigned status, const std::vector<HeaderField> &fields, std::string_view framing, std::string_view value);
    void readRequests();
    void reject(unsigned status, std::string_view reason);
    void finishResponse();
    void close();

    CallerConnectionOptions options_;
    std::shared_ptr<Channel> channel_;
    RequestReader reader_;
    Micros waitingSince_ = 0; ///< Since when the connection is idle, or since the first byte of a request.
    Micros lastBytesAt_ = 0;
    bool busy_ = false;
    bool closing_ = false;
    bool keep_ = true; ///< The caller keeps the connection after the current response.
    bool continued_ = false;
    bool closed_ = false;
    bool reading_ = false;
};

} // namespace Carobhall
