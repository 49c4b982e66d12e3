#define BOOST_TEST_MODULE state_broken_reply
#include <boost/test/unit_test.hpp>

#include "broken_responses.h"

#include "carobhall/channel.h"
#include "carobhall/soup_transport.h"

#include <glib.h>

using namespace Carobhall;
using namespace Carobhall::Testing;

// Guards against a reply of the store that RFC 9112 forbids, or lets a recipient refuse, and that counts as the store's word that a write has run.
BOOST_AUTO_TEST_CASE(aBrokenReplyIsAnErrorOfTheCall)
{
    for (const TestResponse &response : brokenResponses()) {
        std::shared_ptr<Channel> accepted;
        ChannelListener listener([&](int descriptor) {
            accepted = Channel::adopt(descriptor, { .onData = [&] {
                                          if (accepted->input().find("\r\n\r\n") != std::string::npos) {
                                              accepted->input().clear();
                                              accepted->write(response.with("X-Test: 1\r\n"));
                                              accepted->close();
                                          }
                                      } });
        });
        BOOST_REQUIRE(!listener.listen("127.0.0.1:0"));
        SoupTransport transport({ .address = "127.0.0.1:" + std::to_string(listener.port()) });
        std::optional<PlatformReply> reply;
        transport.call({ .verb = PlatformVerb::Delete, .kind = "things", .name = "a", .baseVersion = 1, .spec = {} },
                       [&](PlatformReply done, Micros) { reply = std::move(done); });
        const Micros until = monotonicNow() + 5 * MicrosPerSecond;
        while (!reply && monotonicNow() < until) {
            g_main_context_iteration(nullptr, FALSE);
        }
        BOOST_TEST_CONTEXT(printable(response.name))
        {
            BOOST_TEST((reply && reply->error && reply->verdict == Verdict::MayHaveRun));
        }
    }
}
