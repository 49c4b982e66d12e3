#include "carobhall/http_message.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <charconv>
#include <utility>

namespace Carobhall
{

namespace
{

namespace Http = boost::beast::http;
using BeastText = boost::beast::string_view;
using BeastError = boost::beast::error_code;

std::string toString(BeastText text)
{
    return { text.data(), text.size() };
}

/// Statuses outside this range are invalid (RFC 9110, section 15).
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;
/// Changes the protocol of the connection, which requests of this project never ask for.
constexpr unsigned SwitchingProtocols = 101;

/// Interim responses before a final one. More of them keep a request waiting without end.
constexpr unsigned MaxInterimResponses = 16;

constexpr std::array HopByHopNames{
    std::string_view("connection"), std::string_view("keep-alive"),          std::string_view("proxy-connection"), std::string_view("proxy-authenticate"),
    std::string_view("te"),         std::string_view("proxy-authorization"), std::string_view("trailer"),          std::string_view("transfer-encoding"),
    std::string_view("upgrade"),
};

std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

bool isInterimStatus(unsigned status)
{
    return status >= 100 && status < 200;
}

bool listContains(std::string_view list, std::string_view word)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        if (equalsIgnoringCase(trimmed(list.substr(0, comma)), word)) {
            return true;
        }
        if (comma == std::string_view::npos) {
            return false;
        }
        list.remove_prefix(comma + 1);
    }
    return false;
}

/// Whether a response with \p status has no body, whatever its fields say.
bool isWithoutBody(unsigned status)
{
    constexpr unsigned NoContent = 204;
    return isInterimStatus(status) || status == NoContent;
}

/// Collects the head and body of one message from the callbacks of Beast's parser, and refuses what Beast accepts although a recipient need not.
template<bool IsRequest>
class MessageParser final : public Http::basic_parser<IsRequest>
{
    using Base = Http::basic_parser<IsRequest>;

public:
    explicit MessageParser(const ReaderLimits &limits)
    {
        // Stops behind each part of a response, so that what follows is seen as it was sent.
        Base::eager(IsRequest);
        Base::header_limit(limits.maxHeaderBytes);
        Base::body_limit(limits.maxBodyBytes);
    }

    RequestHead request;
    ResponseHead response;
    std::string body;
    bool hasStartLine = false; ///< And it is not refused.
    bool hasHead = false;      ///< And it is not refused.
    std::uint64_t chunkBytesLeft = 0;

private:
    int version_ = 0; ///< Of a response: 10 or 11.

    std::vector<HeaderField> &fields()
    {
        if constexpr (IsRequest) {
            return request.fields;
        } else {
            return response.fields;
        }
    }

    /// Whether the fields of a response frame its body as RFC 9112, section 6, and RFC 9110, section 8.6, let a server do it.
    [[nodiscard]] bool hasSoundFraming() const
    {
        constexpr int FirstVersionWithChunks = 11;
        unsigned lengths = 0;
        bool hasList = false;
        bool announcesBody = false;
        bool isCoded = false;
        for (const HeaderField &field : response.fields) {
            if (equalsIgnoringCase(field.name, "Content-Length")) {
                ++lengths;
                hasList = hasList || field.value.find(',') != std::string::npos;
                announcesBody = announcesBody || field.value.find_first_not_of('0') != std::string::npos;
            } else if (equalsIgnoringCase(field.name, "Transfer-Encoding")) {
                isCoded = true;
            }
        }
        if (lengths > 1 || hasList || (isCoded && version_ < FirstVersionWithChunks)) {
            return false;
        }
        return !isWithoutBody(response.status) || (!isCoded && !announcesBody);
    }

    void on_request_impl(Http::verb /*verb*/, BeastText method, BeastText target, int /*version*/, BeastError & /*error*/) override
    {
        request.method = toString(method);
        request.target = toString(target);
    }
    void on_response_impl(int status, BeastText reason, int version, BeastError &error) override
    {
        version_ = version;
        response.status = static_cast<unsigned>(status);
        response.reason = toString(reason);
        if (response.status < MinStatus || response.status > MaxStatus || response.status == SwitchingProtocols) {
            error = Http::error::bad_status;
            return;
        }
        hasStartLine = true;
    }
    void on_field_impl(Http::field field, BeastText name, BeastText value, BeastError &error) override
    {
        if (hasHead) {
            // A field of the trailer must not count as one of the head (RFC 9110, section 6.5.1).
            return;
        }
        if (field == Http::field::transfer_encoding && !equalsIgnoringCase(toString(value), "chunked")) {
            // Another implementation may determine the end of the body differently (request smuggling).
            error = Http::error::bad_transfer_encoding;
            return;
        }
        fields().push_back({ toString(name), toString(value) });
    }
    void on_header_impl(BeastError &error) override
    {
        if constexpr (!IsRequest) {
            if (!hasSoundFraming()) {
                error = Http::error::bad_content_length;
                return;
            }
        }
        hasHead = true;
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, BeastError & /*error*/) override
    {
    }
    std::size_t on_body_impl(BeastText data, BeastError & /*error*/) override
    {
        body.append(data.data(), data.size());
        return data.size();
    }
    void on_chunk_header_impl(std::uint64_t size, BeastText /*extensions*/, BeastError & /*error*/) override
    {
        chunkBytesLeft = size;
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, BeastText data, BeastError & /*error*/) override
    {
        chunkBytesLeft -= data.size();
        body.append(data.data(), data.size());
        return data.size();
    }
    void on_finish_impl(BeastError & /*error*/) override
    {
    }
};

/// Whether the lines at the front of \p text, up to the end of their section, continue a field line on the next line. Beast would join them.
bool hasFoldedLine(std::string_view text)
{
    const std::string_view lines = text.substr(0, text.find("\r\n\r\n"));
    return lines.find("\r\n ") != std::string_view::npos || lines.find("\r\n\t") != std::string_view::npos;
}

/// The chunk header at the front of \p text, which may begin with the end of the data before it, and what follows.
std::string_view fromChunkHeader(std::string_view text)
{
    return text.starts_with("\r\n") ? text.substr(2) : text;
}

/// Whether \p text, between two chunks, begins with the last chunk, which the trailer follows.
bool isLastChunk(std::string_view text)
{
    const std::string_view header = fromChunkHeader(text);
    const std::size_t end = header.find_first_not_of('0');
    return end != 0 && end != std::string_view::npos && std::string_view("; \t\r").find(header[end]) != std::string_view::npos;
}

/// Whether \p rest begins with a chunk header whose line ends within a quoted string.
bool hasOpenQuote(std::string_view rest)
{
    const std::string_view text = fromChunkHeader(rest);
    const std::size_t end = text.find("\r\n");
    bool quoted = false;
    for (std::size_t i = 0; i < end && i < text.size(); ++i) {
        if (quoted && text[i] == '\\') {
            ++i;
        } else if (text[i] == '"') {
            quoted = !quoted;
        }
    }
    return quoted && end != std::string_view::npos;
}

/// Whether \p rest, which is no body, holds a control byte other than a tab or the end of a line.
bool hasControlByte(std::string_view rest)
{
    for (std::size_t i = 0; i < rest.size(); ++i) {
        const auto byte = static_cast<unsigned char>(rest[i]);
        const bool isLineFeed = byte == '\n' && i > 0 && rest[i - 1] == '\r';
        const bool isReturn = byte == '\r' && (i + 1 == rest.size() || rest[i + 1] == '\n');
        const bool isControl = (byte < ' ' && byte != '\t') || byte == '\x7f';
        if (isControl && !isLineFeed && !isReturn) {
            return true;
        }
    }
    return false;
}

ResponseFault faultForError(const MessageParser<false> &parser, const BeastError &error)
{
    if (error == Http::error::header_limit || error == Http::error::body_limit) {
        return ResponseFault::TooLarge;
    }
    if (error == Http::error::bad_obs_fold) {
        return parser.hasHead ? ResponseFault::Chunk : ResponseFault::FieldLine;
    }
    if (!parser.hasStartLine) {
        return parser.response.status == SwitchingProtocols ? ResponseFault::Interim : ResponseFault::StatusLine;
    }
    if (parser.hasHead) {
        return ResponseFault::Chunk;
    }
    const bool isFraming = error == Http::error::bad_content_length || error == Http::error::bad_transfer_encoding;
    return isFraming ? ResponseFault::Framing : ResponseFault::FieldLine;
}

/// The fault of \p rest, lines of chunks and the trailer that are not complete, as far as it shows.
ResponseFault faultInBody(std::string_view rest)
{
    return hasControlByte(rest) || hasOpenQuote(rest) ? ResponseFault::Chunk : ResponseFault::None;
}

ReadProgress progressForError(const BeastError &error)
{
    if (error == Http::error::header_limit) {
        return ReadProgress::HeadTooLarge;
    }
    if (error == Http::error::body_limit) {
        return ReadProgress::BodyTooLarge;
    }
    return ReadProgress::Malformed;
}

/// Passes \p buffer to \p parser until the message is complete or more input is needed, and removes the consumed bytes. Sets \p error, unless the
/// remaining line is too long.
template<bool IsRequest>
ReadProgress parseBuffer(MessageParser<IsRequest> &parser, std::string &buffer, bool &started, std::size_t maxLineBytes, BeastError &error)
{
    std::size_t consumed = 0;
    ReadProgress progress = ReadProgress::NeedsMore;
    while (consumed < buffer.size() && !parser.is_done()) {
        error = {};
        const std::string_view rest = std::string_view(buffer).substr(consumed);
        if constexpr (!IsRequest) {
            // Beast may have taken all lines of the head but the empty one, which the body follows.
            const bool isEndOfHead = parser.hasStartLine && rest.starts_with("\r\n");
            const bool areLines = (!parser.hasHead && !isEndOfHead) || (parser.chunked() && parser.chunkBytesLeft == 0 && isLastChunk(rest));
            if (areLines && hasFoldedLine(rest)) {
                error = Http::error::bad_obs_fold;
                progress = ReadProgress::Malformed;
                break;
            }
        }
        consumed += parser.put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        if (error && error != Http::error::need_more) {
            progress = progressForError(error);
            break;
        }
        if (error == Http::error::need_more) {
            break;
        }
    }
    started = started || !buffer.empty();
    buffer.erase(0, consumed);
    if (progress == ReadProgress::NeedsMore && parser.is_done()) {
        return ReadProgress::Complete;
    }
    if (progress == ReadProgress::NeedsMore && buffer.size() > maxLineBytes) {
        // Body bytes are consumed at once, so this is a head, a chunk header or a trailer. Beast limits only the first of them.
        return ReadProgress::HeadTooLarge;
    }
    return progress;
}

} // namespace

// 1. Heads ----------------------------------------------------------------------------------------

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    if (a.size() != b.size()) {
        return false;
    }
    for (std::size_t i = 0; i < a.size(); ++i) {
        if (lower(a[i]) != lower(b[i])) {
            return false;
        }
    }
    return true;
}

std::optional<std::string_view> findField(const std::vector<HeaderField> &fields, std::string_view name)
{
    for (const HeaderField &field : fields) {
        if (equalsIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

bool isHopByHop(const std::vector<HeaderField> &fields, std::string_view name)
{
    for (const std::string_view hop : HopByHopNames) {
        if (equalsIgnoringCase(name, hop)) {
            return true;
        }
    }
    for (const HeaderField &field : fields) {
        if (equalsIgnoringCase(field.name, "connection") && listContains(field.value, name)) {
            return true;
        }
    }
    return false;
}

// 2. Readers --------------------------------------------------------------------------------------

struct RequestReader::Impl {
    explicit Impl(const ReaderLimits &readerLimits)
        : limits(readerLimits)
        , parser(readerLimits)
    {
    }
    ReaderLimits limits;
    MessageParser<true> parser;
    bool started = false;
};

RequestReader::RequestReader(const ReaderLimits &limits)
    : impl_(std::make_unique<Impl>(limits))
{
}

RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader &&) noexcept = default;
RequestReader &RequestReader::operator=(RequestReader &&) noexcept = default;

ReadProgress RequestReader::read(std::string &buffer)
{
    BeastError error;
    const ReadProgress progress = parseBuffer(impl_->parser, buffer, impl_->started, impl_->limits.maxHeaderBytes, error);
    if (progress == ReadProgress::Complete) {
        impl_->parser.request.persistent = impl_->parser.keep_alive();
    }
    return progress;
}

bool RequestReader::hasHead() const
{
    return impl_->parser.is_header_done();
}

const RequestHead &RequestReader::head() const
{
    return impl_->parser.request;
}

std::string RequestReader::takeBody()
{
    return std::exchange(impl_->parser.body, {});
}

std::size_t RequestReader::bodyBytes() const
{
    return impl_->parser.body.size();
}

std::optional<std::uint64_t> RequestReader::announcedBytes() const
{
    if (impl_->parser.chunked()) {
        return std::nullopt;
    }
    const auto length = impl_->parser.content_length();
    return length ? *length : 0;
}

bool RequestReader::hasStarted() const
{
    return impl_->started;
}

struct ResponseReader::Impl {
    Impl(const ReaderLimits &readerLimits, bool isHeadOnly)
        : limits(readerLimits)
        , headOnly(isHeadOnly)
    {
        restart();
    }
    void restart()
    {
        parser.emplace(limits);
        parser->skip(headOnly);
        checkedBytes = 0;
    }
    [[nodiscard]] bool isInterim() const
    {
        return parser->is_done() && isInterimStatus(parser->response.status);
    }
    /// The fault of \p head, the unparsed part of a head that is not complete, as far as it shows.
    ResponseFault faultInHead(std::string_view head)
    {
        constexpr std::string_view Beginning = "HTTP/1.";
        const bool isParsed = parser->hasStartLine; // Then Beast has taken the status line from the front, perhaps with some fields.
        const std::size_t lines = head.rfind("\r\n");
        if (!isParsed && !Beginning.starts_with(head.substr(0, Beginning.size()))) {
            return ResponseFault::StatusLine;
        }
        if (hasControlByte(head)) {
            const std::string_view statusLine = head.substr(0, lines == std::string_view::npos ? lines : head.find("\r\n") + 2);
            return !isParsed && hasControlByte(statusLine) ? ResponseFault::StatusLine : ResponseFault::FieldLine;
        }
        if (lines == std::string_view::npos || lines <= checkedBytes) {
            return ResponseFault::None;
        }
        checkedBytes = lines;
        // No line that may follow makes up for a fault of these.
        MessageParser<false> trial(limits);
        std::string text(isParsed ? "HTTP/1.1 200 OK\r\n" : "");
        text.append(head.substr(0, lines)).append("\r\n\r\n");
        bool begun = false;
        BeastError error;
        const ReadProgress progress = parseBuffer(trial, text, begun, limits.maxHeaderBytes, error);
        const bool isSound = progress == ReadProgress::NeedsMore || progress == ReadProgress::Complete;
        return isSound ? ResponseFault::None : faultForError(trial, error);
    }
    ReadProgress refuse(ReadProgress progress, ResponseFault cause)
    {
        fault = cause;
        return progress;
    }

    ReaderLimits limits;
    bool headOnly = false;
    std::optional<MessageParser<false>> parser;
    std::size_t checkedBytes = 0; ///< Of a head that is not complete: the lines in which faultInHead() has found no fault.
    unsigned interimResponses = 0;
    bool started = false;
    ResponseFault fault = ResponseFault::None;
};

ResponseReader::ResponseReader(const ReaderLimits &limits, bool headOnly)
    : impl_(std::make_unique<Impl>(limits, headOnly))
{
}

ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader &&) noexcept = default;
ResponseReader &ResponseReader::operator=(ResponseReader &&) noexcept = default;

ReadProgress ResponseReader::read(std::string &buffer)
{
    for (;;) {
        BeastError error;
        const ReadProgress progress = parseBuffer(*impl_->parser, buffer, impl_->started, impl_->limits.maxHeaderBytes, error);
        if (progress == ReadProgress::Complete && impl_->isInterim()) {
            if (++impl_->interimResponses > MaxInterimResponses) {
                return impl_->refuse(ReadProgress::Malformed, ResponseFault::Interim);
            }
            impl_->restart();
            continue;
        }
        if (impl_->parser->hasHead) {
            impl_->parser->response.persistent = impl_->parser->keep_alive();
        }
        if (progress == ReadProgress::HeadTooLarge) {
            return impl_->refuse(progress, ResponseFault::TooLarge);
        }
        if (progress == ReadProgress::NeedsMore) {
            // Beast looks for the end of a head, a chunk header or a trailer before it looks at the bytes in front of it.
            const ResponseFault early = impl_->parser->hasHead ? faultInBody(buffer) : impl_->faultInHead(buffer);
            return early == ResponseFault::None ? progress : impl_->refuse(ReadProgress::Malformed, early);
        }
        return progress == ReadProgress::Complete ? progress : impl_->refuse(progress, faultForError(*impl_->parser, error));
    }
}

ReadProgress ResponseReader::readEof()
{
    if (!impl_->parser->is_header_done()) {
        return impl_->refuse(ReadProgress::Malformed, ResponseFault::EndOfConnection);
    }
    BeastError error;
    impl_->parser->put_eof(error);
    const bool complete = !error && impl_->parser->is_done();
    return complete ? ReadProgress::Complete : impl_->refuse(ReadProgress::Malformed, ResponseFault::EndOfConnection);
}

ResponseFault ResponseReader::fault() const
{
    return impl_->fault;
}

bool ResponseReader::hasHead() const
{
    return impl_->parser->hasHead && !isInterimStatus(impl_->parser->response.status);
}

const ResponseHead &ResponseReader::head() const
{
    return impl_->parser->response;
}

std::string ResponseReader::takeBody()
{
    return std::exchange(impl_->parser->body, {});
}

bool ResponseReader::hasStarted() const
{
    return impl_->started;
}

// 3. Writing --------------------------------------------------------------------------------------

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void appendChunk(std::string &out, std::string_view data)
{
    std::array<char, 20> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), 16);
    out.append(digits.data(), end).append("\r\n").append(data).append("\r\n");
}

std::string_view reasonPhrase(unsigned status)
{
    const BeastText reason = Http::obsolete_reason(static_cast<Http::status>(status));
    return { reason.data(), reason.size() };
}

} // namespace Carobhall
