#define BOOST_TEST_MODULE wire
#include <boost/test/unit_test.hpp>

#include "carobhall/wire.h"

#include <glib.h>
#include <rapidcheck.h>

using namespace Carobhall;

namespace
{

FleetKeys keysWith(std::uint32_t id, unsigned char fill)
{
    FleetKeys keys;
    keys.entries.push_back({ .id = id, .key = {} });
    keys.entries.back().key.fill(fill);
    return keys;
}

/// One side of a connection and what it has seen.
struct Side {
    explicit Side(const FleetKeys &keys, const std::string &name)
        : endpoint({
            .context = g_main_context_default(),
            .keys = keys,
            .self = { .name = name, .zone = "zagreb-a", .incarnation = 7, .kind = 0, .upstream = {} },
            .handshakeTimeout = MicrosPerSecond,
            .onOpen =
                [this](ConnectionId id, const PeerInfo &peer) {
                    connection = id;
                    peerName = peer.name;
                },
            .onMessage = [this](ConnectionId, Message message) { messages.push_back(std::move(message)); },
            .onClosed =
                [this](ConnectionId, std::error_code reason) {
                    ++closedCount;
                    closeReason = reason;
                },
        })
    {
    }

    ConnectionId connection = 0;
    std::string peerName;
    std::vector<Message> messages;
    int closedCount = 0;
    std::error_code closeReason;
    Endpoint endpoint;
};

template<typename Condition>
bool iterateUntil(Condition condition)
{
    const Micros limit = monotonicNow() + 5 * MicrosPerSecond;
    while (!condition() && monotonicNow() < limit) {
        g_main_context_iteration(nullptr, FALSE);
    }
    return condition();
}

std::string addressOf(const Endpoint &endpoint)
{
    return "127.0.0.1:" + std::to_string(endpoint.port());
}

} // namespace

BOOST_AUTO_TEST_CASE(messagesArriveWholeAndInOrder)
{
    Side agent(keysWith(1, 0x11), "agent");
    BOOST_REQUIRE(!agent.endpoint.listen("127.0.0.1:0"));
    Side entry(keysWith(1, 0x11), "entry");
    const ConnectionId link = entry.endpoint.dial(addressOf(agent.endpoint));
    constexpr std::uint64_t count = 2000;
    for (std::uint64_t i = 0; i < count; ++i) {
        Chunk chunk;
        chunk.offset = i;
        chunk.pieces = { std::string(i % 300, 'x') };
        BOOST_REQUIRE(entry.endpoint.send(link, chunk));
    }
    BOOST_TEST(iterateUntil([&] { return agent.messages.size() == count && entry.connection != 0; }));
    for (std::uint64_t i = 0; i < agent.messages.size(); ++i) {
        BOOST_REQUIRE(std::get<Chunk>(agent.messages[i]).offset == i);
    }
    BOOST_TEST(agent.peerName == "entry");
    BOOST_TEST(entry.peerName == "agent");
}

// Guards against a stranger on the network that speaks to an agent.
BOOST_AUTO_TEST_CASE(wrongFleetKeyIsRefused)
{
    Side agent(keysWith(1, 0x11), "agent");
    BOOST_REQUIRE(!agent.endpoint.listen("127.0.0.1:0"));
    Side stranger(keysWith(1, 0x22), "stranger");
    const ConnectionId link = stranger.endpoint.dial(addressOf(agent.endpoint));
    stranger.endpoint.send(link, Cancel{});
    BOOST_TEST(iterateUntil([&] { return agent.closedCount == 1 && stranger.closedCount == 1; }));
    BOOST_TEST(agent.connection == 0U);
    BOOST_TEST(agent.messages.empty());
}

// Guards against a rotation of keys that needs a stop: both keys are accepted in the meantime.
BOOST_AUTO_TEST_CASE(keysRotate)
{
    FleetKeys both = keysWith(1, 0x11);
    both.entries.push_back(keysWith(2, 0x22).entries.front());
    Side agent(both, "agent");
    BOOST_REQUIRE(!agent.endpoint.listen("127.0.0.1:0"));
    Side entry(keysWith(2, 0x22), "entry");
    entry.endpoint.dial(addressOf(agent.endpoint));
    BOOST_TEST(iterateUntil([&] { return entry.connection != 0 && agent.connection != 0; }));
}

BOOST_AUTO_TEST_CASE(addressInUseIsAnError)
{
    Side first(keysWith(1, 0x11), "first");
    BOOST_REQUIRE(!first.endpoint.listen("127.0.0.1:0"));
    Side second(keysWith(1, 0x11), "second");
    BOOST_TEST((second.endpoint.listen(addressOf(first.endpoint)) == std::errc::address_in_use));
    BOOST_TEST((second.endpoint.listen("not an address") == std::errc::invalid_argument));
}

BOOST_AUTO_TEST_CASE(refusedDialIsReportedOnce)
{
    Side entry(keysWith(1, 0x11), "entry");
    entry.endpoint.dial("127.0.0.1:1");
    BOOST_TEST(iterateUntil([&] { return entry.closedCount == 1; }));
    BOOST_TEST((entry.closeReason == Errc::ConnectionLost));
}

BOOST_AUTO_TEST_CASE(messagesRoundTrip)
{
    Submit submit;
    submit.key = AttemptId{ .entry = 3, .number = 4, .attempt = 5 };
    submit.body = std::string("\0\xFF{}", 4);
    submit.resumeOffset = 17;
    const auto decoded = decode(encode(submit));
    BOOST_REQUIRE(decoded.has_value());
    const auto &copy = std::get<Submit>(*decoded);
    BOOST_TEST((AttemptId(copy.key) == AttemptId(submit.key)));
    BOOST_TEST(copy.body == submit.body);
    BOOST_TEST(copy.resumeOffset == 17U);
}

// Guards against a decoder that crashes or over-allocates on malformed input.
BOOST_AUTO_TEST_CASE(decoderSurvivesAnyBytes)
{
    BOOST_TEST(rc::check("arbitrary bytes", [](const std::string &bytes) { (void)decode(bytes); }));
    BOOST_TEST(rc::check("a damaged message", [](std::uint16_t position, char byte) {
        Submit submit;
        submit.account = "guild";
        submit.body = "{\"prompt\":\"dossier\"}";
        std::string bytes = encode(submit);
        bytes[position % bytes.size()] = byte;
        (void)decode(bytes);
    }));
    BOOST_TEST(!decode("").has_value());
    BOOST_TEST(!decode(std::string("\x92\x7f\x90", 3)).has_value());
}
