#pragma once

// HTTP/1.1 messages read from bytes, with Boost.Beast's parser.
//
// The forwarding path needs more control over bytes than an HTTP server or client library gives: it must tell a body that
// ended from one that broke off, notice bytes behind a complete answer, and refuse ambiguous framing. The readers here do no
// I/O; a caller appends what arrived to a buffer and asks for progress.
//
//     RequestReader reader({.maxHeaderBytes = 16'384, .maxBodyBytes = 4'194'304});
//     buffer += received;
//     switch (reader.read(buffer)) { case ReadProgress::Complete: use(reader.head(), reader.takeBody()); ... }
//
// Index
//   1. Heads       fields, request and response heads
//   2. Readers     one message at a time
//   3. Writing     fields and chunks

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

/// The value of the first field called \p name, or nothing. Thread-safe.
[[nodiscard]] std::optional<std::string_view> findField(const std::vector<HeaderField> &fields, std::string_view name);

/// Whether a field concerns only one connection and is not forwarded: the standard ones, and those that \p fields' Connection
/// header names. Thread-safe.
[[nodiscard]] bool isHopByHop(const std::vector<HeaderField> &fields, std::string_view name);

struct RequestHead {
    std::string method{};
    std::string target{}; ///< Path and query, as received.
    std::vector<HeaderField> fields{};
    bool persistent = true; ///< The sender wants to use the connection again.
};

struct ResponseHead {
    unsigned status = 0;
    std::string reason{};
    std::vector<HeaderField> fields{};
    bool persistent = true;
};

// 2. Readers --------------------------------------------------------------------------------------

enum class ReadProgress : std::uint8_t {
    NeedsMore, ///< The message is not complete. The head may be there, see hasHead().
    Complete,  ///< What is left in the buffer belongs to the next message.
    Malformed, ///< The bytes are no message. The connection cannot be used any more.
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

struct ReaderLimits {
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = std::uint64_t{ 4 } << 20U;
};

/// Reads one request. Not thread-safe.
class RequestReader
{
public:
    explicit RequestReader(const ReaderLimits &limits);
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;
    RequestReader &operator=(RequestReader &&) noexcept;

    /// Takes from the front of \p buffer what belongs to the message. Precondition: the last call returned NeedsMore.
    ReadProgress read(std::string &buffer);
    [[nodiscard]] bool hasHead() const;
    /// Precondition: hasHead().
    [[nodiscard]] const RequestHead &head() const;
    /// The body that has been read since the last call.
    [[nodiscard]] std::string takeBody();
    /// Whether anything of the message has arrived.
    [[nodiscard]] bool hasStarted() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Reads one response. Not thread-safe.
class ResponseReader
{
public:
    /// \p headOnly: the response to a HEAD request, which has no body whatever its length says.
    explicit ResponseReader(const ReaderLimits &limits, bool headOnly = false);
    ~ResponseReader();
    ResponseReader(ResponseReader &&) noexcept;
    ResponseReader &operator=(ResponseReader &&) noexcept;

    /// As RequestReader::read(). Interim responses (1xx) are skipped.
    ReadProgress read(std::string &buffer);
    /// The connection was closed in order. Complete when the message has no length and ends with its connection.
    ReadProgress readEof();
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

/// Appends "name: value" and a line end. Thread-safe.
void appendField(std::string &out, std::string_view name, std::string_view value);
/// Appends one chunk of a chunked body. Precondition: \p data is not empty. Thread-safe.
void appendChunk(std::string &out, std::string_view data);
/// The end of a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";
/// The standard reason phrase of \p status. Thread-safe.
[[nodiscard]] std::string_view reasonPhrase(unsigned status);

} // namespace Carobhall
