#pragma once

// Responses that RFC 9112 forbids or lets a recipient refuse, by class, and sound ones that look odd. Used by the tests of all readers of responses.

#include "carobhall/base.h"

#include <array>
#include <cstdio>
#include <string>
#include <vector>

namespace Carobhall::Testing
{

/// Where a test inserts its own field lines.
inline constexpr std::string_view FieldsMark = "%FIELDS%";

struct TestResponse {
    std::string name;
    std::string bytes; ///< With FieldsMark in the head of the final response.
    unsigned status = 200;
    std::string body = "ok";         ///< Of a sound response.
    bool endsWithConnection = false; ///< The server closes its connection behind the bytes.

    /// The bytes with \p fields in place of the mark.
    [[nodiscard]] std::string with(std::string_view fields) const
    {
        std::string text = bytes;
        if (const std::size_t at = text.find(FieldsMark); at != std::string::npos) {
            text.replace(at, FieldsMark.size(), fields);
        }
        return text;
    }
};

inline constexpr std::string_view TestStatusLine = "HTTP/1.1 200 OK\r\n";
inline constexpr std::string_view TestBody = "Content-Length: 2\r\n\r\nok";

/// \p text with escapes for bytes that cannot be printed.
inline std::string printable(std::string_view text)
{
    std::string out;
    for (const char byte : text) {
        if (byte >= ' ' && byte <= '~') {
            out += byte;
        } else {
            std::array<char, 8> code{};
            (void)std::snprintf(code.data(), code.size(), "\\x%02x", static_cast<unsigned>(static_cast<unsigned char>(byte)));
            out += code.data();
        }
    }
    return out;
}

inline std::string headWith(std::string_view statusLine)
{
    return std::string(statusLine).append(FieldsMark).append(TestBody);
}

/// A response in which \p line stands behind the status line, or in front of the end of the head.
inline std::string headWithField(std::string_view line, bool last)
{
    std::string text(TestStatusLine);
    if (last) {
        return text.append(FieldsMark).append("Content-Length: 2\r\n").append(line).append("\r\n\r\nok");
    }
    return text.append(line).append("\r\n").append(FieldsMark).append(TestBody);
}

inline std::string framedBy(std::string_view fields, std::string_view body, std::string_view statusLine = TestStatusLine)
{
    return std::string(statusLine).append(FieldsMark).append(fields).append("\r\n").append(body);
}

inline std::string inChunks(std::string_view body)
{
    return framedBy("Transfer-Encoding: chunked\r\n", body);
}

inline std::vector<TestResponse> brokenStatusLines()
{
    using namespace std::string_literals;
    std::vector<TestResponse> all;
    for (const std::string &line : {
             "HTTP/1.1 000 None"s,   "HTTP/1.1 001 None"s,
             "HTTP/1.1 099 None"s,   "HTTP/1.1 600 None"s,
             "HTTP/1.1 999 None"s,   "HTTP/1.1 20 OK"s,
             "HTTP/1.1 2000 OK"s,    "HTTP/1.1 2x0 OK"s,
             "HTTP/1.1 +20 OK"s,     "HTTP/1.1 -20 OK"s,
             "HTTP/1.1 OK"s,         "HTTP/1.1  OK"s,
             "HTTP/1.1 200"s,        "HTTP/1.1  200 OK"s,
             "HTTP/1.1\t200 OK"s,    "HTTP/1.1 200\tOK"s,
             "HTTP/1.1200 OK"s,      " HTTP/1.1 200 OK"s,
             "\r\nHTTP/1.1 200 OK"s, "http/1.1 200 OK"s,
             "HTTP/2.0 200 OK"s,     "HTTP/0.9 200 OK"s,
             "HTTP/11 200 OK"s,      "HTTP/1.1.1 200 OK"s,
             "HTTPS/1.1 200 OK"s,    "200 OK"s,
             "ICY 200 OK"s,          "HTTP/1.1 200 O\x01K"s,
             "HTTP/1.1 200 O\0K"s,   "HTTP/1.1 200 O\x7fK"s,
             "HTTP/1.1 200 O\rK"s,   "HTTP/1.1 200 OK\r"s,
         }) {
        all.push_back({ .name = "status line " + line, .bytes = headWith(line + "\r\n") });
    }
    all.push_back({ .name = "status line that ends with a line feed", .bytes = headWith("HTTP/1.1 200 OK\n") });
    return all;
}

inline std::vector<TestResponse> brokenFieldLines()
{
    using namespace std::string_literals;
    std::vector<TestResponse> all;
    for (const std::string &line : {
             "X Field: a"s,
             "X-Field : a"s,
             "X-Field\t: a"s,
             "X-\x01: a"s,
             "X-\0: a"s,
             "X-\x1f"
             "Field: a"s,
             "X-\x7f: a"s,
             "X-\xc3\xa9: a"s,
             "X(Field): a"s,
             "X@Field: a"s,
             "\"X\": a"s,
             ": a"s,
             "X-Field"s,
             "X-Field a"s,
             "X-Field: a\r\n b"s,
             "X-Field: a\r\n\tb"s,
             "X-Field: a\r\n "s,
             "X-Field:\r\n a"s,
             "X-Field: a\0b"s,
             "X-Field: \x01"s,
             "X-Field: a\x0b"s,
             "X-Field: a\x7f"s,
             "X-Field: a\rb"s,
             "X-Field: a\nX-Other: b"s,
             "X-Field: a\r"s,
             "\rX-Field: a"s,
         }) {
        for (const bool last : { false, true }) {
            all.push_back({ .name = std::string(last ? "last" : "first") + " field line " + line, .bytes = headWithField(line, last) });
        }
    }
    for (const std::string &line : { " X-Field: a"s, "\tX-Field: a"s, " "s }) {
        all.push_back({ .name = "blank before the first field line " + line, .bytes = headWithField(line, false) });
    }
    // A reader that drops or repairs the line takes another body for the server's.
    for (const std::string &line : { "Content-Length : 2"s, "Content-Length\t: 2"s, "Content-Length\x01: 2"s, "Content Length: 2"s, "Content-Length\0: 2"s,
                                     "Content-Length 2"s, "X: a\r\n Content-Length: 2"s, "Content-Length:\r\n 2"s }) {
        all.push_back({ .name = "framing field line " + line, .bytes = framedBy(line + "\r\n", "okHTTP/1.1 200 OK\r\n\r\n"), .endsWithConnection = true });
    }
    for (const std::string &line :
         { "Transfer-Encoding : chunked"s, "Transfer-Encoding\x01: chunked"s, "Transfer Encoding: chunked"s, "Transfer-Encoding:\r\n chunked"s }) {
        all.push_back({ .name = "framing field line " + line, .bytes = framedBy(line + "\r\n", "2\r\nok\r\n0\r\n\r\n"), .endsWithConnection = true });
    }
    return all;
}

inline std::vector<TestResponse> brokenFraming()
{
    std::vector<TestResponse> all;
    for (const char *const fields : {
             "Content-Length: 2\r\nContent-Length: 2\r\n",
             "Content-Length: 2\r\nContent-Length: 3\r\n",
             "Content-Length: 2, 2\r\n",
             "Content-Length: 2,\r\n",
             "Content-Length: +2\r\n",
             "Content-Length: -2\r\n",
             "Content-Length: 0x2\r\n",
             "Content-Length: 2.0\r\n",
             "Content-Length: 2 2\r\n",
             "Content-Length: two\r\n",
             "Content-Length:\r\n",
             "Content-Length: 18446744073709551618\r\n",
             "Content-Length: 99999999999999999999999999\r\n",
             "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
             "Transfer-Encoding:\r\n",
             "Transfer-Encoding: identity\r\n",
             "Transfer-Encoding: gzip\r\n",
             "Transfer-Encoding: gzip, chunked\r\n",
             "Transfer-Encoding: chunked, gzip\r\n",
             "Transfer-Encoding: chunked, chunked\r\n",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
             "Transfer-Encoding: xchunked\r\n",
             "Transfer-Encoding: chunked;a=b\r\n",
         }) {
        for (const char *const body : { "ok", "2\r\nok\r\n0\r\n\r\n" }) {
            all.push_back({ .name = std::string(fields) + body, .bytes = framedBy(fields, body) });
        }
    }
    const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
    all.push_back({ .name = "chunks in HTTP/1.0", .bytes = framedBy("Transfer-Encoding: chunked\r\n", chunks, "HTTP/1.0 200 OK\r\n") });
    for (const char *const statusLine : { "HTTP/1.1 204 No Content\r\n", "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 103 Early Hints\r\n" }) {
        const std::string name(statusLine);
        const std::string next = name.find(" 204 ") == std::string::npos ? headWith(TestStatusLine) : std::string();
        // The final response of an interim one has the test's fields.
        const std::string head = name + (next.empty() ? std::string(FieldsMark) : std::string());
        const auto add = [&](std::string_view what, std::string_view fields, std::string_view body) {
            all.push_back({ .name = std::string(name).append(what), .bytes = std::string(head).append(fields).append("\r\n").append(body).append(next) });
        };
        add("with a length", "Content-Length: 2\r\n", "ok");
        add("with a length and no body", "Content-Length: 2\r\n", "");
        add("in chunks", "Transfer-Encoding: chunked\r\n", chunks);
        add("said to be in chunks", "Transfer-Encoding: chunked\r\n", "");
    }
    all.push_back({ .name = "change of protocol that nobody asked for",
                    .bytes = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + headWith(TestStatusLine) });
    return all;
}

inline std::vector<TestResponse> brokenChunks()
{
    using namespace std::string_literals;
    std::vector<TestResponse> all;
    for (const std::string &body : {
             "\r\nok\r\n0\r\n\r\n"s,
             "x\r\nok\r\n0\r\n\r\n"s,
             "+2\r\nok\r\n0\r\n\r\n"s,
             "-2\r\nok\r\n0\r\n\r\n"s,
             "0x2\r\nok\r\n0\r\n\r\n"s,
             " 2\r\nok\r\n0\r\n\r\n"s,
             "2 \r\nok\r\n0\r\n\r\n"s,
             "2,\r\nok\r\n0\r\n\r\n"s,
             "2;\r\nok\r\n0\r\n\r\n"s,
             "2;a b\r\nok\r\n0\r\n\r\n"s,
             "2;a=\r\nok\r\n0\r\n\r\n"s,
             "2;a=\"b\r\nok\r\n0\r\n\r\n"s,
             "2;\x01\r\nok\r\n0\r\n\r\n"s,
             "2;a=\0\r\nok\r\n0\r\n\r\n"s,
             "10000000000000002\r\nok\r\n0\r\n\r\n"s,
             "2\nok\r\n0\r\n\r\n"s,
             "2\r\nok\n0\r\n\r\n"s,
             "2\r\nok0\r\n\r\n"s,
             "2\r\nokk\r\n0\r\n\r\n"s,
             "2\r\nok\r\n\r\n0\r\n\r\n"s,
             "2\r\nok\r\n-0\r\n\r\n"s,
             "2\r\nok\r\n0\n\n"s,
             "2\r\nok\r\n0\n\r\n"s,
             "2\r\nok\r\n0\r\n\n"s,
             "2\r\nok\r\n0\r\r\n\r\n"s,
             "2\r\nok\r\n0;\r\n\r\n"s,
             "2\r\nok\r\n0;a=\"b\r\n\r\n"s,
             "2\r\nok\r\n0\r\nX : a\r\n\r\n"s,
             "2\r\nok\r\n0\r\nX Y: a\r\n\r\n"s,
             "2\r\nok\r\n0\r\nX\r\n\r\n"s,
             "2\r\nok\r\n0\r\nX: a\x01\r\n\r\n"s,
             "2\r\nok\r\n0\r\nX: a\0\r\n\r\n"s,
             "2\r\nok\r\n0\r\nX: a\r\n b\r\n\r\n"s,
             "2\r\nok\r\n0\r\n X: a\r\n\r\n"s,
             "2\r\nok\r\n0\r\nX: a\n\r\n"s,
             "2\r\nok\r\n0\r\nX: a\r\nY: b\n\n"s,
             "2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n"s,
             "2\r\nok\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"s,
         }) {
        all.push_back({ .name = "chunks " + body, .bytes = inChunks(body) });
    }
    return all;
}

/// Responses whose connection ends too early.
inline std::vector<TestResponse> cutResponses()
{
    std::vector<TestResponse> all;
    const std::string whole = framedBy("Content-Length: 2\r\nX-Last: a\r\n", "");
    const std::string chunks = inChunks("2\r\nok\r\n0\r\n\r\n");
    for (const std::string &bytes : { std::string(), std::string("HTTP/1.1 200 OK\r\n"), whole.substr(0, whole.size() - 2), whole, whole + "o",
                                      chunks.substr(0, chunks.size() - 2), chunks.substr(0, chunks.size() - 5), chunks.substr(0, chunks.size() - 7),
                                      chunks.substr(0, chunks.size() - 8), std::string("HTTP/1.1 100 Continue\r\n\r\n") }) {
        all.push_back({ .name = "connection that ends behind " + bytes, .bytes = bytes, .endsWithConnection = true });
    }
    return all;
}

inline std::vector<TestResponse> brokenResponses()
{
    std::vector<TestResponse> all;
    for (const auto &some : { brokenStatusLines(), brokenFieldLines(), brokenFraming(), brokenChunks(), cutResponses() }) {
        all.insert(all.end(), some.begin(), some.end());
    }
    return all;
}

/// Sound responses that look odd.
inline std::vector<TestResponse> oddResponses()
{
    using namespace std::string_literals;
    std::vector<TestResponse> all;
    all.push_back({ .name = "no reason", .bytes = headWith("HTTP/1.1 200 \r\n") });
    all.push_back({ .name = "reason in another encoding", .bytes = headWith("HTTP/1.1 200 \xc3\xa9t\xe9 \t \r\n") });
    all.push_back({ .name = "unknown status", .bytes = headWith("HTTP/1.1 299 Other\r\n"), .status = 299 });
    all.push_back({ .name = "highest status", .bytes = headWith("HTTP/1.1 599 Other\r\n"), .status = 599 });
    all.push_back({ .name = "HTTP/1.0", .bytes = headWith("HTTP/1.0 200 OK\r\n") });
    all.push_back({ .name = "HTTP/1.0 without a length", .bytes = framedBy("", "ok", "HTTP/1.0 200 OK\r\n"), .endsWithConnection = true });
    all.push_back({ .name = "no length", .bytes = framedBy("", "ok"), .endsWithConnection = true });
    all.push_back({ .name = "no length and no body", .bytes = framedBy("", ""), .body = "", .endsWithConnection = true });
    for (const std::string &line : { "!#$%&'*+-.^_`|~09Az: a"s, "X-Field:"s, "X-Field:a"s, "X-Field: \t a \t "s, "X-Field: a\tb"s, "X-Field: \xff\x80"s,
                                     "X-Field: a: b, \"c\" (d)"s, "X-Field: a\r\nx-field: b"s, "CONNECTION: KEEP-ALIVE"s }) {
        for (const bool last : { false, true }) {
            all.push_back({ .name = std::string(last ? "last" : "first") + " field line " + line, .bytes = headWithField(line, last) });
        }
    }
    all.push_back({ .name = "length with zeros in front", .bytes = framedBy("Content-Length: 0000000000000000000000000002\r\n", "ok") });
    all.push_back({ .name = "length with blanks around", .bytes = framedBy("content-LENGTH:\t 2 \t\r\n", "ok") });
    all.push_back({ .name = "upper case coding", .bytes = framedBy("TRANSFER-ENCODING: \tCHUNKED \r\n", "2\r\nok\r\n0\r\n\r\n") });
    for (const std::string &body :
         { "1\r\no\r\n1\r\nk\r\n0\r\n\r\n"s, "00000000000000000000002\r\nok\r\n0000000000000000000000\r\n\r\n"s, "2;a\r\nok\r\n0;b=c\r\n\r\n"s,
           "2 ; a = \"b;\\\"c\"\r\nok\r\n0\r\n\r\n"s, "2\r\nok\r\n0\r\nX-Field: a\"\r\nCarobhall-Not-Executed: 1\r\nCarobhall-Request-Id: other\r\n\r\n"s }) {
        all.push_back({ .name = "chunks " + body, .bytes = inChunks(body) });
    }
    all.push_back(
        { .name = "chunk size in both cases", .bytes = inChunks("0b\r\n0123456789a\r\n0B\r\n0123456789a\r\n0\r\n\r\n"), .body = "0123456789a0123456789a" });
    all.push_back({ .name = "line ends in a body", .bytes = framedBy("Content-Length: 8\r\n", "\n\r\r\n\0 \x01\r"s), .body = "\n\r\r\n\0 \x01\r"s });
    all.push_back({ .name = "line ends in a chunk", .bytes = inChunks("8\r\n\n\r\r\n\0 \x01\r\r\n0\r\n\r\n"s), .body = "\n\r\r\n\0 \x01\r"s });
    for (const std::string &body : { "0\r\n a"s, "0;a=\"\r\n"s, "\r\n0\r\nX\r\n\t"s }) {
        const std::string size = std::to_string(body.size());
        all.push_back({ .name = "chunk that looks like the last one " + body,
                        .bytes = inChunks(std::string(size).append("\r\n").append(body).append("\r\n0\r\n\r\n")),
                        .body = body });
        all.push_back({ .name = "body that looks like chunks " + body, .bytes = framedBy("Content-Length: " + size + "\r\n", body), .body = body });
    }
    all.push_back(
        { .name = "interim responses", .bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + headWith(TestStatusLine) });
    all.push_back({ .name = "no content", .bytes = framedBy("", "", "HTTP/1.1 204 No Content\r\n"), .status = 204, .body = "" });
    all.push_back(
        { .name = "no content of length 0", .bytes = framedBy("Content-Length: 0\r\n", "", "HTTP/1.1 204 No Content\r\n"), .status = 204, .body = "" });
    all.push_back(
        { .name = "not modified with a length", .bytes = framedBy("Content-Length: 5\r\n", "", "HTTP/1.1 304 Not Modified\r\n"), .status = 304, .body = "" });
    return all;
}

} // namespace Carobhall::Testing
