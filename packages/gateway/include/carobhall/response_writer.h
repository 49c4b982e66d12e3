#pragma once

// Serialises the responses of one HTTP/1.1 connection, and guarantees that what the caller receives for a request is either one
// whole response or a response that is visibly truncated, in whatever order the operations are called.
//
//     ResponseWriter writer;
//     writer.beginRequest(head.persistent);
//     apply(writer.startStream(200, fields));
//     apply(writer.respond(502, {}, {}));       // the stream has started: yields no bytes and ResponseEnd::Truncated
//
// Performs no I/O: the owner sends ResponseOutput::bytes and then does what ResponseOutput::end says.

#include "carobhall/http_message.h"

namespace Carobhall
{

/// What the connection does after it has sent the bytes of an operation.
enum class ResponseEnd : std::uint8_t {
    None,      ///< The response continues, or there is no request to respond to.
    KeepAlive, ///< The response is complete; the next request may follow.
    Close,     ///< The response is complete; the connection must be closed normally.
    Truncated, ///< The response cannot be completed; the connection must be closed, which shows the caller that it is truncated.
};

template<>
struct EnumNames<ResponseEnd> {
    static constexpr std::array rows{
        EnumName{ ResponseEnd::None, "none" },
        EnumName{ ResponseEnd::KeepAlive, "keep-alive" },
        EnumName{ ResponseEnd::Close, "close" },
        EnumName{ ResponseEnd::Truncated, "truncated" },
    };
};

struct ResponseOutput {
    std::string bytes{};
    ResponseEnd end = ResponseEnd::None;
};

/// Not thread-safe. After ResponseEnd::Close or ResponseEnd::Truncated all operations yield nothing.
class ResponseWriter
{
public:
    /// A request has been read and awaits its response. \p persistent: the caller keeps the connection open after the response.
    /// Precondition: canBeginRequest().
    void beginRequest(bool persistent);
    /// Response heads from now on carry "Connection: close", and the connection ends after the first response with such a head.
    void closeAfterResponse();

    /// A complete response. After startStream() the response is truncated instead.
    [[nodiscard]] ResponseOutput respond(unsigned status, const std::vector<HeaderField> &fields, std::string_view body);
    /// Like respond(), for a HEAD request; \p length is the Content-Length of the omitted body.
    [[nodiscard]] ResponseOutput respondHead(unsigned status, const std::vector<HeaderField> &fields, std::optional<std::string_view> length);
    /// The head of a response of unknown length, which is sent in chunks. Yields nothing if the stream has started already.
    [[nodiscard]] ResponseOutput startStream(unsigned status, const std::vector<HeaderField> &fields);
    /// One chunk. Yields nothing before startStream().
    [[nodiscard]] ResponseOutput sendStream(std::string_view data);
    /// The last chunk. Truncates the response if the stream has not started.
    [[nodiscard]] ResponseOutput finishStream();
    /// Ends the connection without completing the response.
    [[nodiscard]] ResponseOutput truncate();

    /// No request awaits its response, and the connection can take another one.
    [[nodiscard]] bool canBeginRequest() const;
    /// A request awaits its response or the rest of it.
    [[nodiscard]] bool isBusy() const;
    [[nodiscard]] bool hasStartedStream() const;

private:
    enum class State : std::uint8_t { Idle, Waiting, Streaming, Ended };

    /// The status line and headers, with the header that delimits the body (\p framing; empty: none).
    [[nodiscard]] std::string head(unsigned status, const std::vector<HeaderField> &fields, std::string_view framing, std::string_view value);
    [[nodiscard]] ResponseOutput complete(std::string bytes);

    State state_ = State::Idle;
    bool keepAlive_ = true; ///< The connection stays open after the current response.
    bool closing_ = false;  ///< closeAfterResponse() was called.
};

} // namespace Carobhall
