#define BOOST_TEST_MODULE response_reader
#include <boost/test/unit_test.hpp>

#include "broken_responses.h"

#include "carobhall/http_message.h"

#include <ostream>

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

struct Outcome {
    ReadProgress progress = ReadProgress::NeedsMore;
    bool exposedHead = false; ///< The head was available before the end of the message or of the bytes.
    ResponseFault fault = ResponseFault::None;
    unsigned status = 0;
    std::vector<HeaderField> fields;
    std::string body;
    std::string rest; ///< Bytes behind the message.
};

const std::string TestFields = "X-Test: 1\r\n";

/// How the bytes of a response arrive.
struct Pieces {
    std::size_t first = 0;
    std::size_t further = 0;
};

std::ostream &operator<<(std::ostream &out, const Pieces &pieces)
{
    return out << ", in pieces of " << pieces.first << " and " << pieces.further << " bytes";
}

constexpr std::size_t AllBytes = 100'000;

/// At once, byte by byte, in small pieces, and in two pieces of any size.
std::vector<Pieces> piecesOf(const TestResponse &response)
{
    std::vector<Pieces> all{ { AllBytes, AllBytes }, { 1, 1 }, { 7, 7 } };
    for (std::size_t first = 1; first < response.with(TestFields).size(); ++first) {
        all.push_back({ first, AllBytes });
    }
    return all;
}

/// Reads \p response in \p pieces, then the end of its connection if it has one.
Outcome read(const TestResponse &response, const Pieces &pieces)
{
    const std::string bytes = response.with(TestFields);
    ResponseReader reader({});
    std::string buffer;
    Outcome outcome;
    std::size_t offset = 0;
    while (offset < bytes.size() && outcome.progress == ReadProgress::NeedsMore) {
        const std::size_t count = offset == 0 ? pieces.first : pieces.further;
        buffer += bytes.substr(offset, count);
        offset += count;
        outcome.progress = reader.read(buffer);
        outcome.exposedHead = outcome.exposedHead || reader.hasHead();
    }
    if (outcome.progress == ReadProgress::NeedsMore && response.endsWithConnection) {
        outcome.progress = reader.readEof();
    }
    outcome.fault = reader.fault();
    if (outcome.progress == ReadProgress::Complete) {
        outcome.status = reader.head().status;
        outcome.fields = reader.head().fields;
        outcome.body = reader.takeBody();
    }
    outcome.rest = buffer + (offset < bytes.size() ? bytes.substr(offset) : std::string());
    return outcome;
}

void checkRefused(const std::vector<TestResponse> &responses, ResponseFault fault, bool hidesHead)
{
    for (const TestResponse &response : responses) {
        for (const Pieces &pieces : piecesOf(response)) {
            BOOST_TEST_CONTEXT(printable(response.name) << pieces)
            {
                const Outcome outcome = read(response, pieces);
                BOOST_TEST((outcome.progress == ReadProgress::Malformed || outcome.progress == ReadProgress::BodyTooLarge));
                const bool isInterim = outcome.fault == ResponseFault::Interim && response.bytes.starts_with("HTTP/1.1 101");
                // The first line of a folded field that frames the body is faulty before it is seen to be folded.
                const bool isFolded = outcome.fault == ResponseFault::Framing && response.name.starts_with("framing field line");
                BOOST_TEST((outcome.fault == fault || isInterim || isFolded), nameOf(outcome.fault));
                BOOST_TEST((!hidesHead || !outcome.exposedHead));
            }
        }
    }
}

} // namespace

// Guards against a status line that RFC 9112 forbids or lets a recipient refuse and that is taken for a response, and, like the next four, against
// a wrong cause in logs and counters.
BOOST_AUTO_TEST_CASE(brokenStatusLinesAreRefused)
{
    checkRefused(brokenStatusLines(), ResponseFault::StatusLine, true);
}

// Guards against a field line that is passed on, dropped or repaired although its response must be refused, on each line of a head.
BOOST_AUTO_TEST_CASE(brokenFieldLinesAreRefused)
{
    checkRefused(brokenFieldLines(), ResponseFault::FieldLine, true);
}

// Guards against a body that ends elsewhere for another reader of the same bytes.
BOOST_AUTO_TEST_CASE(brokenFramingIsRefused)
{
    checkRefused(brokenFraming(), ResponseFault::Framing, true);
}

// Guards against chunks and trailers that are repaired, and against waiting for the end of a line that is broken already.
BOOST_AUTO_TEST_CASE(brokenChunksAreRefused)
{
    checkRefused(brokenChunks(), ResponseFault::Chunk, false);
}

// Guards against a response that its connection cuts and that is taken for a whole one.
BOOST_AUTO_TEST_CASE(cutResponsesAreRefused)
{
    checkRefused(cutResponses(), ResponseFault::EndOfConnection, false);
}

// Guards against waiting for the rest of a head, which a server in trouble may never send, when one of its lines is broken already.
BOOST_AUTO_TEST_CASE(aBrokenLineIsRefusedBeforeTheRestOfItsHead)
{
    for (const auto &responses : { brokenStatusLines(), brokenFieldLines() }) {
        for (const TestResponse &response : responses) {
            const std::size_t begin = response.bytes.find(FieldsMark);
            // The mark is in front of a broken line that is the last one.
            if (begin != TestStatusLine.size()) {
                const TestResponse cut{ .name = response.name, .bytes = response.bytes.substr(0, begin) };
                for (const Pieces &pieces : piecesOf(cut)) {
                    BOOST_TEST_CONTEXT(printable(response.name) << pieces)
                    {
                        const Outcome outcome = read(cut, pieces);
                        BOOST_TEST((outcome.progress == ReadProgress::Malformed));
                    }
                }
            }
        }
    }
}

// Guards against refusing sound responses that look odd, and against fields of a trailer that count as fields of the head.
BOOST_AUTO_TEST_CASE(oddResponsesAreAccepted)
{
    std::vector<TestResponse> responses = oddResponses();
    // Behind the end of a line, a blank at the beginning of a body must not be taken for a folded line.
    responses.push_back({ .name = "body that begins with a blank", .bytes = framedBy("Content-Length: 3\r\n", " ok"), .body = " ok" });
    responses.push_back({ .name = "chunk that begins with a blank", .bytes = inChunks("3\r\n ok\r\n0\r\n\r\n"), .body = " ok" });
    responses.push_back({ .name = "body without a length that begins with a tab", .bytes = framedBy("", "\tok"), .body = "\tok", .endsWithConnection = true });
    for (const TestResponse &response : responses) {
        for (const Pieces &pieces : piecesOf(response)) {
            BOOST_TEST_CONTEXT(printable(response.name) << pieces)
            {
                const Outcome outcome = read(response, pieces);
                BOOST_TEST((outcome.progress == ReadProgress::Complete));
                BOOST_TEST((outcome.fault == ResponseFault::None), nameOf(outcome.fault));
                BOOST_TEST(outcome.status == response.status);
                BOOST_TEST(outcome.body == response.body);
                BOOST_TEST(outcome.rest.empty());
                BOOST_TEST(findField(outcome.fields, "X-Test").value_or("") == "1");
                BOOST_TEST(!findField(outcome.fields, "Carobhall-Not-Executed"));
            }
        }
    }
}
