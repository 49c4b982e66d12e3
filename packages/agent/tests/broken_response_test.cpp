#define BOOST_TEST_MODULE agent_broken_response
#include <boost/test/unit_test.hpp>

#include "broken_responses.h"
#include "upstream_call.h"

#include "carobhall/channel.h"

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

struct Outcome {
    int status = 0;
    std::string body;
    std::optional<UpstreamResult> result;
};

/// Calls a server that sends \p response.
Outcome callServer(const TestResponse &response)
{
    std::shared_ptr<Channel> accepted;
    ChannelListener listener([&](int descriptor) {
        accepted = Channel::adopt(descriptor, { .onData = [&] {
                                      if (accepted->input().find("\r\n\r\n") != std::string::npos) {
                                          accepted->input().clear();
                                          accepted->write(response.with("X-Test: 1\r\n"));
                                          if (response.endsWithConnection) {
                                              accepted->close();
                                          }
                                      }
                                  } });
    });
    BOOST_REQUIRE(!listener.listen("127.0.0.1:0"));
    Outcome outcome;
    UpstreamRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(listener.port()) + "/call";
    request.method = "GET";
    UpstreamCall call(std::move(request),
                      { .onAnswer = [&](const UpstreamAnswer &answer) { outcome.status = answer.status; },
                        .onPiece = [&](const std::string &piece) { outcome.body += piece; },
                        .onEnd = [&](UpstreamResult end) { outcome.result = std::move(end); } });
    call.start();
    const Micros until = monotonicNow() + 5 * MicrosPerSecond;
    while (!outcome.result && monotonicNow() < until) {
        g_main_context_iteration(nullptr, FALSE);
    }
    return outcome;
}

} // namespace

// Guards against a response that RFC 9112 forbids, or lets a recipient refuse, and that the agent passes on as a complete one.
BOOST_AUTO_TEST_CASE(aBrokenResponseIsNotComplete)
{
    for (const TestResponse &response : brokenResponses()) {
        BOOST_TEST_CONTEXT(printable(response.name))
        {
            const Outcome outcome = callServer(response);
            BOOST_TEST((outcome.result && !outcome.result->complete && outcome.result->verdict == Verdict::MayHaveRun));
        }
    }
}

// Guards against refusing sound responses that look odd, and against another body for them.
BOOST_AUTO_TEST_CASE(anOddResponseIsComplete)
{
    for (const TestResponse &response : oddResponses()) {
        BOOST_TEST_CONTEXT(printable(response.name))
        {
            const Outcome outcome = callServer(response);
            BOOST_TEST((outcome.result && outcome.result->complete));
            BOOST_TEST(outcome.status == static_cast<int>(response.status));
            BOOST_TEST(outcome.body == response.body);
        }
    }
}
