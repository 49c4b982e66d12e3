#define BOOST_TEST_MODULE wire
#include <boost/test/unit_test.hpp>

#include "carobhall/wire.h"

#include <glib.h>
#include <rapidcheck.h>

using namespace Carobhall;

namespace
{

FleetKeys makeKeys(std::uint32_t id, unsigned char fill)
{
    FleetKeys keys;
    keys.entries.push_back({ .id = id, .key = {} });
    keys.entries.back().key.fill(fill);
    return keys;
}

/// An endpoint that records its connection, the received messages and the closes.
struct Peer {
    explicit Peer(const FleetKeys &keys, const std::string &name)
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

// Guards against lost, damaged or reordered messages: 2000 messages of different sizes, all queued before the handshake
// is complete.
BOOST_AUTO_TEST_CASE(messagesArriveIntactAndInOrder)
{
    Peer agent(makeKeys(1, 0x11), "agent");
    BOOST_REQUIRE(!agent.endpoint.listen("127.0.0.1:0"));
    Peer entry(makeKeys(1, 0x11), "entry");
    const ConnectionId connection = entry.endpoint.dial(addressOf(agent.endpoint));
    constexpr std::uint64_t count = 2000;
    for (std::uint64_t i = 0; i < count; ++i) {
        Chunk chunk;
        chunk.offset = i;
        chunk.pieces = { std::string(i % 300, 'x') };
        BOOST_REQUIRE(entry.endpoint.send(connection, chunk));
    }
    BOOST_TEST(iterateUntil([&] { return agent.messages.size() == count && entry.connection != 0; }));
    for (std::uint64_t i = 0; i < agent.messages.size(); ++i) {
        BOOST_REQUIRE(std::get<Chunk>(agent.messages[i]).offset == i);
    }
    BOOST_TEST(agent.peerName == "entry");
    BOOST_TEST(entry.peerName == "agent");
}

// Guards against access to an agent by a process on the network that does not hold the fleet key.
BOOST_AUTO_TEST_CASE(wrongFleetKeyIsRefused)
{
    Peer agent(makeKeys(1, 0x11), "agent");
    BOOST_REQUIRE(!agent.endpoint.listen("127.0.0.1:0"));
    Peer stranger(makeKeys(1, 0x22), "stranger");
    const ConnectionId connection = stranger.endpoint.dial(addressOf(agent.endpoint));
    stranger.endpoint.send(connection, Cancel{});
    BOOST_TEST(iterateUntil([&] { return agent.closedCount == 1 && stranger.closedCount == 1; }));
    BOOST_TEST(agent.connection == 0U);
    BOOST_TEST(agent.messages.empty());
}

// Guards against downtime during a key rotation: a process that holds both keys must accept a peer that already uses the new
// key.
BOOST_AUTO_TEST_CASE(keyRotationNeedsNoDowntime)
{
    FleetKeys both = makeKeys(1, 0x11);
    both.entries.push_back(makeKeys(2, 0x22).entries.front());
    Peer agent(both, "agent");
    BOOST_REQUIRE(!agent.endpoint.listen("127.0.0.1:0"));
    Peer entry(makeKeys(2, 0x22), "entry");
    entry.endpoint.dial(addressOf(agent.endpoint));
    BOOST_TEST(iterateUntil([&] { return entry.connection != 0 && agent.connection != 0; }));
}

// Guards against a listen() that reports success, or the wrong error, for an address in use or a malformed address.
BOOST_AUTO_TEST_CASE(addressInUseIsAnError)
{
    Peer first(makeKeys(1, 0x11), "first");
    BOOST_REQUIRE(!first.endpoint.listen("127.0.0.1:0"));
    Peer second(makeKeys(1, 0x11), "second");
    BOOST_TEST((second.endpoint.listen(addressOf(first.endpoint)) == std::errc::address_in_use));
    BOOST_TEST((second.endpoint.listen("not an address") == std::errc::invalid_argument));
}

// Guards against a refused connection that is never reported, or reported more than once.
BOOST_AUTO_TEST_CASE(refusedDialIsReportedOnce)
{
    Peer entry(makeKeys(1, 0x11), "entry");
    entry.endpoint.dial("127.0.0.1:1");
    BOOST_TEST(iterateUntil([&] { return entry.closedCount == 1; }));
    BOOST_TEST((entry.closeReason == Errc::ConnectionLost));
}

// Guards against fields that the codec loses or alters, such as a body that is not valid UTF-8 or contains zero bytes.
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

// Guards against a decoder that crashes or allocates too much on malformed input: arbitrary bytes, and a message with one
// byte replaced.
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

// Guards against a rolling upgrade in which gateways drop the status of sidecars of the previous version, which lacks the last field.
BOOST_AUTO_TEST_CASE(aStatusWithoutTheLastFieldIsUnderstood)
{
    constexpr std::uint32_t Fields = 11;
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(Message(EngineStatus{}).index()));
    packer.pack_array(Fields);
    for (std::uint32_t field = 1; field <= Fields; ++field) {
        constexpr std::array<std::uint32_t, 3> Flags{ 6, 7, 11 };
        constexpr std::uint32_t Changes = 8;
        if (field == Changes) {
            packer.pack(std::vector<CacheChange>{});
        } else if (std::ranges::find(Flags, field) != Flags.end()) {
            packer.pack(true);
        } else {
            packer.pack(field);
        }
    }
    const auto message = decode({ buffer.data(), buffer.size() });
    BOOST_REQUIRE(message);
    const auto &status = std::get<EngineStatus>(*message);
    BOOST_TEST(status.closing);
    BOOST_TEST(status.pendingPrefillTokens == 10U);
    BOOST_TEST(status.leavingStartMs == 0);
}

// Guards against messages of a process with an older version of the program that are rejected because they lack fields added since.
BOOST_AUTO_TEST_CASE(messagesOfAnOlderVersionAreUnderstood)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(Message(KnownVersions{}).index()));
    packer.pack_array(3);
    packer.pack(std::uint64_t{ 7 });
    packer.pack("m");
    packer.pack(std::uint64_t{ 3 });
    const std::optional<Message> message = decode(std::string_view(buffer.data(), buffer.size()));
    BOOST_REQUIRE(message);
    const auto *const known = std::get_if<KnownVersions>(&*message);
    BOOST_REQUIRE(known != nullptr);
    BOOST_TEST(known->configuration == 7U);
    BOOST_TEST(known->weights == 3U);
    BOOST_TEST(known->platformEra == 0U);
    BOOST_TEST(known->origin.era == 0U);
}
