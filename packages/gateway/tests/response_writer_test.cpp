// Tests of ResponseWriter without a network.

#include <boost/test/unit_test.hpp>

#include "carobhall/response_writer.h"

#include <random>

using namespace Carobhall;

namespace
{

/// What a caller can conclude from the bytes of one connection.
struct Received {
    unsigned whole = 0;     ///< Complete responses.
    bool truncated = false; ///< The last response is incomplete.
    bool malformed = false; ///< Bytes that are no response, or that belong to no request.
};

Received parse(std::string bytes, unsigned requests, bool connectionEnded)
{
    Received received;
    while (!bytes.empty()) {
        ResponseReader reader({});
        const ReadProgress progress = reader.read(bytes);
        if (progress == ReadProgress::Complete) {
            ++received.whole;
        } else if (progress == ReadProgress::NeedsMore) {
            received.truncated = reader.readEof() != ReadProgress::Complete;
            break;
        } else {
            received.malformed = true;
            return received;
        }
    }
    received.malformed = received.whole > requests || (received.truncated && !connectionEnded);
    return received;
}

enum class Operation : std::uint8_t { Respond, RespondHead, StartStream, SendStream, FinishStream, Truncate, Count };

ResponseOutput apply(ResponseWriter &writer, Operation operation)
{
    switch (operation) {
    case Operation::Respond:
        return writer.respond(502, {}, "error");
    case Operation::RespondHead:
        return writer.respondHead(200, {}, "0");
    case Operation::StartStream:
        return writer.startStream(200, { { "Content-Type", "text/event-stream" } });
    case Operation::SendStream:
        return writer.sendStream("id: 1\ndata: x\n\n");
    case Operation::FinishStream:
        return writer.finishStream();
    case Operation::Truncate:
    case Operation::Count:
        return writer.truncate();
    }
    return {};
}

} // namespace

// Guards against an error response inside a stream that has started: a caller that parses it gets bytes that are no response.
BOOST_AUTO_TEST_CASE(anErrorAfterTheStreamHasStartedTruncatesIt)
{
    ResponseWriter writer;
    writer.beginRequest(true);
    std::string bytes = writer.startStream(200, {}).bytes + writer.sendStream("data: 1\n\n").bytes;
    const ResponseOutput error = writer.respond(502, {}, {});
    BOOST_TEST(error.bytes.empty());
    BOOST_CHECK(error.end == ResponseEnd::Truncated);
    BOOST_TEST(writer.sendStream("data: 2\n\n").bytes.empty());
    BOOST_TEST(writer.finishStream().bytes.empty());
    BOOST_TEST(!writer.canBeginRequest());
    BOOST_TEST(parse(bytes, 1, true).truncated);
}

// Guards against responses that look complete but are not, and against bytes that belong to no request, in any order of operations.
BOOST_AUTO_TEST_CASE(anyOrderOfOperationsYieldsWholeOrVisiblyTruncatedResponses)
{
    constexpr unsigned Runs = 20'000;
    std::mt19937_64 random(20261204);
    unsigned whole = 0;
    unsigned truncated = 0;
    for (unsigned run = 0; run < Runs; ++run) {
        ResponseWriter writer;
        std::string bytes;
        unsigned requests = 0;
        bool ended = false;
        for (unsigned step = 0; step < 12; ++step) {
            if (!ended && writer.canBeginRequest() && random() % 2 == 0) {
                writer.beginRequest(random() % 8 != 0);
                ++requests;
            }
            if (random() % 16 == 0) {
                writer.closeAfterResponse();
            }
            const ResponseOutput output = apply(writer, static_cast<Operation>(random() % static_cast<unsigned>(Operation::Count)));
            BOOST_REQUIRE(!ended || output.bytes.empty());
            bytes += output.bytes;
            ended = ended || output.end == ResponseEnd::Close || output.end == ResponseEnd::Truncated;
        }
        const bool unfinished = writer.isBusy();
        const Received received = parse(bytes, requests, ended || unfinished);
        BOOST_REQUIRE(!received.malformed);
        BOOST_REQUIRE(received.whole <= requests);
        whole += received.whole;
        truncated += received.truncated ? 1 : 0;
    }
    // Both kinds of outcome have occurred often.
    BOOST_TEST(whole > Runs / 2);
    BOOST_TEST(truncated > Runs / 20);
}
