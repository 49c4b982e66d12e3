#define BOOST_TEST_MODULE http
#include <boost/test/unit_test.hpp>

#include "carobhall/channel.h"
#include "carobhall/http_message.h"

#include <glib.h>
#include <netinet/in.h>
#include <random>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Carobhall;

namespace
{

ReadProgress readRequest(const std::string &text)
{
    std::string buffer = text;
    RequestReader reader({ .maxHeaderBytes = 4'096, .maxBodyBytes = 10'000 });
    return reader.read(buffer);
}

template<typename Condition>
bool iterateUntil(Condition condition)
{
    const Micros deadline = monotonicNow() + 5 * MicrosPerSecond;
    while (!condition() && monotonicNow() < deadline) {
        g_main_context_iteration(nullptr, FALSE);
    }
    return condition();
}

/// Two channels connected to each other over loopback.
struct ConnectedPair {
    ConnectedPair()
        : listener([this](int descriptor) {
            accepted = Channel::adopt(
                descriptor, { .onData = [this] { received += std::exchange(accepted->input(), {}); }, .onEnd = [this](ChannelEnd end) { acceptedEnd = end; } });
        })
    {
        BOOST_REQUIRE(!listener.listen("127.0.0.1:0"));
        dialled = Channel::connect("127.0.0.1:" + std::to_string(listener.port()), { .onEnd = [this](ChannelEnd end) { dialledEnd = end; } });
        BOOST_REQUIRE(dialled);
        BOOST_REQUIRE(iterateUntil([this] { return accepted != nullptr; }));
    }

    ChannelListener listener;
    std::shared_ptr<Channel> accepted;
    std::shared_ptr<Channel> dialled;
    std::string received;
    std::optional<ChannelEnd> acceptedEnd;
    std::optional<ChannelEnd> dialledEnd;
};

} // namespace

// Guards against request smuggling: HTTP implementations that disagree on the framing see different requests in the same bytes.
BOOST_AUTO_TEST_CASE(ambiguousFramingIsRejected)
{
    for (const char *const fields : {
             "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
             "Content-Length: 5\r\nContent-Length: 6\r\n",
             "Content-Length: -5\r\n",
             "Content-Length: 5, 6\r\n",
             "Content-Length: 0x5\r\n",
             "Transfer-Encoding: gzip, chunked\r\n",
             "Transfer-Encoding: chunked, identity\r\n",
             "Transfer-Encoding: xchunked\r\n",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             "Content-Length : 5\r\n",
         }) {
        BOOST_TEST_CONTEXT(fields)
        {
            const ReadProgress progress = readRequest(std::string("POST /a/ HTTP/1.1\r\nHost: h\r\n") + fields + "\r\n0\r\n\r\nGET /b/ HTTP/1.1\r\n\r\n");
            BOOST_TEST((progress == ReadProgress::Malformed));
        }
    }
}

// Guards against a reader that accepts invalid chunk sizes, data that is not HTTP, or messages above the size limits.
BOOST_AUTO_TEST_CASE(malformedAndOversizedRequestsAreRejected)
{
    BOOST_TEST((readRequest("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n") == ReadProgress::Malformed));
    BOOST_TEST((readRequest("\x16\x03\x01\x02 noise\r\n\r\n") == ReadProgress::Malformed));
    BOOST_TEST((readRequest("GET / HTTP/1.1\r\nX: " + std::string(5'000, 'a') + "\r\n\r\n") == ReadProgress::HeadTooLarge));
    BOOST_TEST((readRequest("POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n") == ReadProgress::BodyTooLarge));
}

// Guards against a parse result that depends on how the byte stream is split into packets: feeds a request and the beginning of
// the next one in random pieces.
BOOST_AUTO_TEST_CASE(parsingDoesNotDependOnHowTheBytesAreSplit)
{
    const std::string first = "POST /p?q=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n";
    const std::string second = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
    const bool passed = rc::check([&] {
        const std::string bytes = first + second;
        std::string buffer;
        RequestReader reader({});
        ReadProgress progress = ReadProgress::NeedsMore;
        std::size_t offset = 0;
        while (offset < bytes.size() && progress == ReadProgress::NeedsMore) {
            const auto count = *rc::gen::inRange<std::size_t>(1, 20);
            buffer += bytes.substr(offset, count);
            offset += count;
            progress = reader.read(buffer);
        }
        RC_ASSERT(progress == ReadProgress::Complete);
        RC_ASSERT(reader.head().method == "POST");
        RC_ASSERT(reader.head().target == "/p?q=1");
        RC_ASSERT(reader.takeBody() == "abcdefg");
        RC_ASSERT(second.starts_with(buffer) || buffer.starts_with(second));
    });
    BOOST_TEST(passed);
}

// Guards against a truncated response that is taken for a complete one when the connection closes.
BOOST_AUTO_TEST_CASE(onlyAResponseWithoutLengthMayEndWithItsConnection)
{
    const auto progressAtEof = [](const std::string &text) {
        std::string buffer = text;
        ResponseReader reader({});
        BOOST_TEST((reader.read(buffer) == ReadProgress::NeedsMore));
        return reader.readEof();
    };
    BOOST_TEST((progressAtEof("HTTP/1.1 200 OK\r\n\r\nall of it") == ReadProgress::Complete));
    BOOST_TEST((progressAtEof("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf") == ReadProgress::Malformed));
    BOOST_TEST((progressAtEof("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n") == ReadProgress::Malformed));
    BOOST_TEST((progressAtEof("HTTP/1.1 200 OK\r\nContent-Le") == ReadProgress::Malformed));
}

// Guards against an interim response that is taken for the final one, and against losing bytes behind a complete response.
BOOST_AUTO_TEST_CASE(interimResponsesAreSkippedAndExtraBytesStayInTheBuffer)
{
    std::string buffer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    ResponseReader reader({});
    BOOST_TEST((reader.read(buffer) == ReadProgress::Complete));
    BOOST_TEST(reader.head().status == 200U);
    BOOST_TEST(reader.takeBody() == "ok");
    BOOST_TEST(buffer == "HTTP/1.1 200 OK\r\n");
}

// Guards against forwarding header fields that apply to a single connection only.
BOOST_AUTO_TEST_CASE(fieldsListedInConnectionAreHopByHop)
{
    const std::vector<HeaderField> fields{ { "Connection", "close, X-Private" }, { "X-Private", "1" }, { "X-Public", "2" } };
    BOOST_TEST(isHopByHop(fields, "x-private"));
    BOOST_TEST(isHopByHop(fields, "Keep-Alive"));
    BOOST_TEST(!isHopByHop(fields, "X-Public"));
}

// Guards against a final response that is lost because its connection is closed before the peer has read it.
BOOST_AUTO_TEST_CASE(closeDeliversQueuedData)
{
    ConnectedPair channels;
    const std::string large(std::size_t{ 2 } << 20U, 'x');
    channels.dialled->write(large);
    channels.dialled->close();
    BOOST_TEST(iterateUntil([&] { return channels.acceptedEnd.has_value(); }));
    BOOST_TEST(channels.received.size() == large.size());
    BOOST_TEST((channels.acceptedEnd == ChannelEnd::PeerFinished));
}

// Guards against an aborted connection that looks like a normal close to the peer, or invokes a callback locally.
BOOST_AUTO_TEST_CASE(abortIsSeenByThePeerAsAReset)
{
    ConnectedPair channels;
    channels.dialled->abort();
    BOOST_TEST(iterateUntil([&] { return channels.acceptedEnd.has_value(); }));
    BOOST_TEST((channels.acceptedEnd == ChannelEnd::Reset));
    BOOST_TEST(!channels.dialledEnd.has_value());
}

// Guards against a refused connection that is taken for one on which the request may have been executed.
BOOST_AUTO_TEST_CASE(refusedConnectionIsReportedAsConnectFailed)
{
    std::uint16_t port = 0;
    {
        ChannelListener closed([](int) {});
        BOOST_REQUIRE(!closed.listen("127.0.0.1:0"));
        port = closed.port();
    }
    std::optional<ChannelEnd> end;
    const auto channel = Channel::connect("127.0.0.1:" + std::to_string(port), { .onEnd = [&](ChannelEnd reason) { end = reason; } });
    if (channel) {
        channel->write("GET / HTTP/1.1\r\n\r\n");
        BOOST_TEST(iterateUntil([&] { return end.has_value(); }));
        BOOST_TEST((end == ChannelEnd::ConnectFailed));
    }
}

// Guards against bytes that are read although nobody is going to serve them, an end that is not noticed behind them, and bytes that stay unread
// after reading is on again.
BOOST_AUTO_TEST_CASE(whileReadingIsOffBytesStayInTheSocketAndTheEndIsSeen)
{
    for (const bool readAgain : { true, false }) {
        ConnectedPair channels;
        channels.dialled->setReading(false);
        channels.accepted->write("next");
        BOOST_TEST(iterateUntil([&] { return channels.dialled->hasUnreadInput(); }));
        for (int i = 0; i < 20; ++i) {
            g_main_context_iteration(nullptr, FALSE);
        }
        BOOST_TEST(channels.dialled->input().empty());
        if (readAgain) {
            channels.dialled->setReading(true);
            BOOST_TEST(iterateUntil([&] { return channels.dialled->input() == "next"; }));
        }
        channels.accepted->close();
        BOOST_TEST(iterateUntil([&] { return channels.dialledEnd.has_value(); }));
        BOOST_TEST((channels.dialledEnd == ChannelEnd::PeerFinished));
    }
}

// Guards against bytes that cross the close of an idle connection and are read and dropped, so that the peer takes them for processed.
BOOST_AUTO_TEST_CASE(bytesThatCrossAnUnreadCloseAreReset)
{
    ConnectedPair channels;
    channels.accepted->write("next");
    BOOST_TEST(iterateUntil([&] { return channels.dialled->hasUnreadInput(); }));
    channels.dialled->closeUnread();
    BOOST_TEST(channels.dialled->isEnded());
    BOOST_TEST(iterateUntil([&] { return channels.acceptedEnd.has_value(); }));
    BOOST_TEST((channels.acceptedEnd == ChannelEnd::Reset));
}

// Guards against a close that reads and drops what the peer sends behind the last message, although reading is off.
BOOST_AUTO_TEST_CASE(aCloseReadsOnOnlyIfReadingIsOn)
{
    for (const bool reading : { true, false }) {
        std::array<int, 2> sockets{};
        BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets.data()) == 0);
        const auto channel = Channel::adopt(sockets[0], {});
        channel->setReading(reading);
        channel->close();
        const std::string bytes(std::size_t{ 8 } << 20U, 'x'); // More than the sockets hold.
        std::size_t sent = 0;
        const Micros until = monotonicNow() + 300 * MicrosPerMilli;
        while (monotonicNow() < until && sent < bytes.size()) {
            sent += static_cast<std::size_t>(std::max<ssize_t>(0, send(sockets[1], bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT)));
            g_main_context_iteration(nullptr, FALSE);
        }
        BOOST_TEST((sent == bytes.size()) == reading);
        ::close(sockets[1]);
    }
}

namespace
{

/// A channel whose peer is a plain socket with a small receive window, which the test reads by hand.
struct SlowPeer {
    explicit SlowPeer(const ChannelOptions &options = {})
        : listener([this, options](int accepted) { channel = Channel::adopt(accepted, options); })
        , descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        BOOST_REQUIRE(!listener.listen("127.0.0.1:0"));
        const int window = 8 << 10;
        BOOST_REQUIRE(setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window)) == 0);
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(listener.port());
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0);
        BOOST_REQUIRE(iterateUntil([this] { return channel != nullptr; }));
    }
    ~SlowPeer()
    {
        ::close(descriptor);
    }
    SlowPeer(const SlowPeer &) = delete;
    SlowPeer &operator=(const SlowPeer &) = delete;

    /// Reads at most \p count bytes. Returns whether the connection goes on.
    bool read(std::size_t count)
    {
        std::string buffer(count, '\0');
        const ssize_t size = recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        received += static_cast<std::size_t>(std::max<ssize_t>(0, size));
        wasReset = wasReset || (size < 0 && errno == ECONNRESET);
        return size > 0 || (size < 0 && errno == EAGAIN);
    }

    ChannelListener listener;
    std::shared_ptr<Channel> channel;
    int descriptor = -1;
    std::size_t received = 0;
    bool wasReset = false;
};

} // namespace

// Guards against a close that gives a slow peer a fixed time for the rest of its data, or none if the owner drops the channel, or drops the
// rest when the peer has nothing more to send.
BOOST_AUTO_TEST_CASE(aCloseDeliversAllDataToASlowPeer)
{
    for (const bool peerFinishes : { false, true }) {
        SlowPeer peer;
        const std::string data(std::size_t{ 8 } << 20U, 'x');
        peer.channel->write(data);
        BOOST_TEST(peer.channel->undelivered() > 0U);
        const std::weak_ptr<Channel> channel = peer.channel;
        peer.channel->close();
        peer.channel.reset();
        if (peerFinishes) {
            (void)shutdown(peer.descriptor, SHUT_WR);
        }
        const Micros begun = monotonicNow();
        // Reads 4 KB a millisecond, so that the data takes longer than the peer gets to close its side.
        while (peer.read(std::size_t{ 4 } << 10U) && monotonicNow() - begun < 30 * MicrosPerSecond) {
            g_main_context_iteration(nullptr, FALSE);
            g_usleep(MicrosPerMilli);
        }
        BOOST_TEST(monotonicNow() - begun > 1'500 * MicrosPerMilli);
        BOOST_TEST(peer.received == data.size());
        BOOST_TEST(!peer.wasReset);
        (void)shutdown(peer.descriptor, SHUT_WR);
        BOOST_TEST(iterateUntil([&] { return channel.expired(); }));
    }
}

// Guards against a reset that looks like a normal end because an error of a send took it from the socket: the peer answers, stops reading and resets
// the connection while bytes wait to be sent.
BOOST_AUTO_TEST_CASE(aResetWhileBytesWaitIsNotANormalEnd)
{
    for (const bool answers : { true, false }) {
        ConnectedPair channels;
        channels.accepted->setReading(false);
        channels.dialled->write(std::string(std::size_t{ 7 } << 20U, 'x'));
        if (answers) {
            channels.accepted->write("half");
        }
        for (int i = 0; i < 20; ++i) {
            g_main_context_iteration(nullptr, FALSE);
        }
        BOOST_TEST(channels.dialled->unsent() > 0U);
        channels.accepted->abort();
        BOOST_TEST(iterateUntil([&] { return channels.dialledEnd.has_value(); }));
        BOOST_TEST((channels.dialledEnd == ChannelEnd::Reset));
    }
}

// Guards against a response that is dropped because its peer has nothing more to send and says so before it has read the response.
BOOST_AUTO_TEST_CASE(aPeerThatFinishesSendingGetsWhatWasWritten)
{
    std::optional<ChannelEnd> end;
    SlowPeer peer({ .onEnd = [&](ChannelEnd reason) { end = reason; } });
    const std::string data(std::size_t{ 6 } << 20U, 'x');
    peer.channel->write(data);
    (void)shutdown(peer.descriptor, SHUT_WR);
    BOOST_TEST(iterateUntil([&] { return end.has_value(); }));
    BOOST_TEST((end == ChannelEnd::PeerFinished));
    peer.channel.reset();
    const Micros begun = monotonicNow();
    while (peer.read(std::size_t{ 64 } << 10U) && monotonicNow() - begun < 30 * MicrosPerSecond) {
        g_main_context_iteration(nullptr, FALSE);
    }
    BOOST_TEST(peer.received == data.size());
    BOOST_TEST(!peer.wasReset);
}

// Guards against bytes that count as delivered because their send has failed, and against a connection to a peer that has reset it and is kept as
// if the peer were reading slowly.
BOOST_AUTO_TEST_CASE(whatAFailedSendLeavesIsNotDelivered)
{
    for (const bool closesFirst : { true, false }) {
        for (const bool reading : { true, false }) {
            SlowPeer peer;
            const std::shared_ptr<Channel> channel = peer.channel;
            channel->setReading(reading);
            const std::string data(std::size_t{ 8 } << 20U, 'x');
            channel->write(data);
            if (closesFirst) {
                channel->close();
            }
            const linger resetOnClose{ .l_onoff = 1, .l_linger = 0 };
            (void)setsockopt(peer.descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
            ::close(std::exchange(peer.descriptor, -1));
            if (!closesFirst) {
                channel->write("more");
                channel->close();
            }
            const Micros begun = monotonicNow();
            BOOST_TEST(iterateUntil([&] { return channel->isEnded(); }));
            BOOST_TEST(monotonicNow() - begun < MicrosPerSecond);
            // The peer's system took at most its window.
            BOOST_TEST(channel->undelivered() > data.size() - (std::size_t{ 1 } << 20U));
        }
    }
}

// Guards against a closed connection that is kept for ever because its peer has all data but does not close its side.
BOOST_AUTO_TEST_CASE(aCloseEndsWhenThePeerDoesNotClose)
{
    SlowPeer peer;
    peer.channel->write("last");
    const std::weak_ptr<Channel> channel = peer.channel;
    peer.channel->close();
    peer.channel.reset();
    BOOST_TEST(iterateUntil([&] { return channel.expired(); }));
    (void)peer.read(100);
    BOOST_TEST(peer.received == 4U);
    BOOST_TEST(!peer.read(100));
    BOOST_TEST(!peer.wasReset);
}

// Guards against a closed connection that is kept for ever because its peer reads nothing, also when the peer has nothing more to send.
BOOST_AUTO_TEST_CASE(aCloseEndsWhenThePeerTakesNothing)
{
    for (const bool peerFinishes : { false, true }) {
        SlowPeer peer({ .stallLimit = 300 * MicrosPerMilli });
        peer.channel->write(std::string(std::size_t{ 8 } << 20U, 'x'));
        const std::shared_ptr<Channel> channel = peer.channel;
        channel->close();
        if (peerFinishes) {
            (void)shutdown(peer.descriptor, SHUT_WR);
        }
        const Micros begun = monotonicNow();
        BOOST_TEST(iterateUntil([&] { return channel->isEnded(); }));
        BOOST_TEST(monotonicNow() - begun > 250 * MicrosPerMilli);
        BOOST_TEST(channel->undelivered() > 0U);
    }
}

// Guards against a peer that reads slowly and is taken for one that has stopped, and against one that has stopped and is never given up: random
// sizes, pauses and rates, while more is written.
BOOST_AUTO_TEST_CASE(onlyAPeerThatTakesNothingIsStalled)
{
    constexpr Micros Limit = MicrosPerSecond;
    constexpr Micros Step = 50 * MicrosPerMilli;
    unsigned stalls = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        DeliveryWatch watch;
        DeliveryState state;
        Micros waitingSince = 0; ///< The peer last took bytes, or bytes began to wait for it.
        Micros nextRead = 0;
        for (Micros now = 0; now < 60 * MicrosPerSecond; now += Step) {
            if (state.undelivered == 0) {
                waitingSince = now;
            }
            if (random() % 10 == 0) {
                const std::size_t bytes = random() % 100'000;
                state.written += bytes;
                state.undelivered += bytes;
            }
            if (now >= nextRead && state.undelivered > 0) {
                state.undelivered -= std::min<std::size_t>(state.undelivered, 1 + random() % 5'000);
                waitingSince = now;
                nextRead = now + static_cast<Micros>(random() % static_cast<std::uint64_t>(random() % 8 == 0 ? 3 * Limit : Limit / 2));
            }
            watch.note(state, now);
            BOOST_REQUIRE(watch.isDelivered() == (state.undelivered == 0));
            const Micros waited = state.undelivered > 0 ? now - waitingSince : 0;
            if (waited <= Limit) {
                BOOST_REQUIRE(!watch.isStalled(Limit, now));
            } else if (waited > Limit + Step) {
                BOOST_REQUIRE(watch.isStalled(Limit, now));
                ++stalls;
            }
        }
    }
    BOOST_TEST(stalls > 0U);
}

// Guards against an owner that waits for ever on a connection that was given up because the peer takes too little.
BOOST_AUTO_TEST_CASE(anOverflowOfTheOutputIsReportedFromTheMainLoop)
{
    SlowPeer peer({ .onEnd = nullptr, .maxOutputBytes = std::size_t{ 1 } << 20U });
    std::optional<ChannelEnd> end;
    peer.channel->setCallbacks(nullptr, [&end](ChannelEnd reason) { end = reason; });
    peer.channel->write(std::string(std::size_t{ 16 } << 20U, 'x'));
    BOOST_TEST(!end.has_value());
    BOOST_TEST(!peer.channel->isOpen());
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) { }
    BOOST_TEST((end == ChannelEnd::Reset));
}

// Guards against a response that ends with its connection and counts as complete although bytes of it were not read.
BOOST_AUTO_TEST_CASE(whileInputIsHeldTheEndIsNotReportedBeforeTheBytes)
{
    const std::string sent(100'000, 'x');
    std::array<int, 2> sockets{};
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
    const auto channel = Channel::adopt(sockets[0], {});
    std::optional<ChannelEnd> end;
    channel->setCallbacks([] {}, [&end](ChannelEnd reason) { end = reason; });
    channel->setInputHeld(true);
    BOOST_REQUIRE(write(sockets[1], sent.data(), sent.size()) == static_cast<ssize_t>(sent.size()));
    (void)shutdown(sockets[1], SHUT_WR);
    for (int i = 0; i < 20; ++i) {
        g_main_context_iteration(nullptr, FALSE);
    }
    BOOST_TEST(!end.has_value());
    BOOST_TEST(channel->input().empty());
    channel->setInputHeld(false);
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) { }
    BOOST_TEST((end == ChannelEnd::PeerFinished));
    BOOST_TEST(channel->input().size() == sent.size());
    ::close(sockets[1]);
}
