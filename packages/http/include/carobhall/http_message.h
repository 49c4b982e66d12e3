#pragma once

// Incremental parsing of HTTP/1.1 messages, based on Boost.Beast's parser.
//
// The proxy needs more control over the byte stream than an HTTP server or client library gives: it must distinguish a complete
// body from a truncated one, detect extra bytes after a complete response, and reject ambiguous framing. The readers perform no
// I/O: the caller appends received bytes to a buffer and calls read().
//
//     RequestReader reader({.maxHeaderBytes = 16'384, .maxBodyBytes = 4'194'304});
//     buffer += received;
//     switch (reader.read(buffer)) { case ReadProgress::Complete: use(reader.head(), reader.takeBody()); ... }
//
// Index
//   1. Heads       header fields, request and response heads
//   2. Readers     parse one message at a time
//   3. Writing     serialise header fields and chunks

#include "carobhall/base.h"

namespace Carobhall
{

// 1. Heads ----------------------------------------------------------------------------------------

struct HeaderField {
    std::string name{};
    std::string value{};
};

/// Case-insensitive comparison of ASCII text. Thread-safe.
[[nodiscard]] bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// The value of the first field named \p name (case-insensitive), or nothing. Thread-safe.
[[nodiscard]] std::optional<std::string_view> findField(const std::vector<HeaderField> &fields, std::string_view name);

/// Whether the field \p name is hop-by-hop and must not be forwarded: a standard hop-by-hop field or one that a Connection header
/// in \p fields lists. Thread-safe.
[[nodiscard]] bool isHopByHop(const std::vector<HeaderField> &fields, std::string_view name);

struct RequestHead {
    std::string method{};
    std::string target{}; ///< Path and query as received.
    std::vector<HeaderField> fields{};
    bool persistent = true; ///< The connection can be used for further messages.
};

struct ResponseHead {
    unsigned status = 0;
    std::string reason{};
    std::vector<HeaderField> fields{};
    bool persistent = true;
};

// 2. Readers --------------------------------------------------------------------------------------

enum class ReadProgress : std::uint8_t {
    NeedsMore, ///< The message is not complete. The head may be available already, see hasHead().
    Complete,  ///< The message is complete. Bytes that remain in the buffer belong to the next message.
    Malformed, ///< The bytes are not a valid HTTP message. The connection must be closed.
    HeadTooLarge,
    BodyTooLarge,
};

template<>
struct EnumNames<ReadProgress> {
    static constexpr std::array rows{
        EnumName{ ReadProgress::NeedsMore, "needs-more" },        EnumName{ ReadProgress::Complete, "complete" },
        EnumName{ ReadProgress::Malformed, "malformed" },         EnumName{ ReadProgress::HeadTooLarge, "head-too-large" },
        EnumName{ ReadProgress::BodyTooLarge, "body-too-large" },
    };
};

/// Why a response was refused.
enum class ResponseFault : std::uint8_t {
    None,
    StatusLine,      ///< No status line of HTTP/1.0 or HTTP/1.1, or a status outside 100 to 599.
    FieldLine,       ///< A line of the head or the trailer is no field line, is folded, or holds a byte that is not allowed there.
    Framing,         ///< The fields that frame the body are invalid, contradict each other, or must not be there.
    Chunk,           ///< A chunk does not begin or end as it must, or the trailer is invalid.
    Interim,         ///< Too many interim responses, or a change of protocol that was not asked for.
    TooLarge,        ///< The head or the body is longer than the limits.
    EndOfConnection, ///< The connection ended within the response.
    EarlyEnd,        ///< Only the end of the connection could end the response, and it came before the request was written.
    Unrelated,       ///< Too much that belongs to other requests came instead of the response.
};

template<>
struct EnumNames<ResponseFault> {
    static constexpr std::array rows{
        EnumName{ ResponseFault::None, "none" },
        EnumName{ ResponseFault::StatusLine, "status-line" },
        EnumName{ ResponseFault::FieldLine, "field-line" },
        EnumName{ ResponseFault::Framing, "framing" },
        EnumName{ ResponseFault::Chunk, "chunk" },
        EnumName{ ResponseFault::Interim, "interim" },
        EnumName{ ResponseFault::TooLarge, "too-large" },
        EnumName{ ResponseFault::EndOfConnection, "end-of-connection" },
        EnumName{ ResponseFault::EarlyEnd, "early-end" },
        EnumName{ ResponseFault::Unrelated, "unrelated" },
    };
};

struct ReaderLimits {
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = std::uint64_t{ 4 } << 20U;
};

/// Parses one request. Not thread-safe.
class RequestReader
{
public:
    explicit RequestReader(const ReaderLimits &limits);
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;
    RequestReader &operator=(RequestReader &&) noexcept;

    /// Consumes the bytes of this message from the front of \p buffer. Precondition: the last call, if any, returned NeedsMore.
    ReadProgress read(std::string &buffer);
    [[nodiscard]] bool hasHead() const;
    /// Precondition: hasHead().
    [[nodiscard]] const RequestHead &head() const;
    /// Returns and removes the body bytes that were parsed since the last call.
    [[nodiscard]] std::string takeBody();
    /// Number of body bytes that were parsed and not taken.
    [[nodiscard]] std::size_t bodyBytes() const;
    /// The length that the head announces; empty: the body is sent in chunks. Precondition: hasHead().
    [[nodiscard]] std::optional<std::uint64_t> announcedBytes() const;
    /// Whether any byte of the message has been received.
    [[nodiscard]] bool hasStarted() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Parses one response. What RFC 9112 forbids, or lets a recipient refuse, is refused: nothing is dropped or repaired. Not thread-safe.
class ResponseReader
{
public:
    /// \p headOnly: this is the response to a HEAD request, which has no body whatever its Content-Length says.
    explicit ResponseReader(const ReaderLimits &limits, bool headOnly = false);
    ~ResponseReader();
    ResponseReader(ResponseReader &&) noexcept;
    ResponseReader &operator=(ResponseReader &&) noexcept;

    /// Like RequestReader::read(). Skips interim (1xx) responses, and the fields of a trailer.
    ReadProgress read(std::string &buffer);
    /// Call when the peer has closed the connection normally. Returns Complete if the message is delimited by the end of the
    /// connection (no length, not chunked) or was complete already, otherwise Malformed.
    ReadProgress readEof();
    /// Why the last call of read() or readEof() has refused the response; None: it has not.
    [[nodiscard]] ResponseFault fault() const;
    /// Whether the head has been received and is not refused. It stays available if the body is refused later.
    [[nodiscard]] bool hasHead() const;
    /// Precondition: hasHead().
    [[nodiscard]] const ResponseHead &head() const;
    [[nodiscard]] std::string takeBody();
    [[nodiscard]] bool hasStarted() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// 3. Writing --------------------------------------------------------------------------------------

/// Appends the header line "name: value\r\n". Thread-safe.
void appendField(std::string &out, std::string_view name, std::string_view value);
/// Appends one chunk of a chunked body. Precondition: \p data is not empty. Thread-safe.
void appendChunk(std::string &out, std::string_view data);
/// The last chunk, which ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";
/// The standard reason phrase for \p status. Thread-safe.
[[nodiscard]] std::string_view reasonPhrase(unsigned status);

} // namespace Carobhall
