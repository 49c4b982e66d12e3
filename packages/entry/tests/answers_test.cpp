#define BOOST_TEST_MODULE answers
#include <boost/test/unit_test.hpp>

#include "carobhall/fleet.h"
#include "harness.h"

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

/// An agent whose answers the test writes message by message.
class FakeAgent
{
public:
    FakeAgent()
        : settings_(agentSettings("needle-1", "127.0.0.1:1").process)
        , document_(testDocument())
        , endpoint_({
              .keys = fleetKeysFrom(settings_.fleetKeys).value(),
              .self = { .name = settings_.name,
                        .zone = settings_.zone,
                        .incarnation = incarnation_,
                        .kind = static_cast<std::uint8_t>(ProcessKind::Agent),
                        .upstream = "needle-1" },
              .onOpen = [this](ConnectionId from, const PeerInfo &peer) { fleet_.opened(from, peer); },
              .onMessage = [this](ConnectionId from, Message message) { received(from, std::move(message)); },
              .onClosed = [this](ConnectionId from, std::error_code) { fleet_.closed(from); },
          })
        , fleet_({
              .process = settings_,
              .kind = ProcessKind::Agent,
              .incarnation = incarnation_,
              .upstream = "needle-1",
              .endpoint = endpoint_,
              .document = document_,
              .onMembersChanged = {},
              .onFact = {},
          })
    {
        BOOST_REQUIRE(!endpoint_.listen(settings_.wireAddress));
        BOOST_REQUIRE(!fleet_.start());
        fleet_.setUpstream({ .incarnation = UpstreamIncarnation, .state = UpstreamState::Accepting, .route = "needle", .weightsVersion = version() });
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(endpoint_.port());
    }

    template<typename Fields>
    void send(const AttemptKey &key, Fields fields)
    {
        fields.key = key;
        endpoint_.send(connection, std::move(fields));
    }

    void sendHead(const AttemptKey &key)
    {
        Head head;
        head.status = 200;
        head.contentType = "text/event-stream";
        send(key, head);
    }

    void sendTokens(const AttemptKey &key, std::uint64_t offset, std::vector<std::string> pieces)
    {
        Chunk chunk;
        chunk.offset = offset;
        chunk.pieces = std::move(pieces);
        send(key, chunk);
    }

    void sendEnd(const AttemptKey &key, std::uint64_t finalOffset)
    {
        End end;
        end.complete = true;
        end.finalOffset = finalOffset;
        end.verdict = static_cast<std::uint8_t>(Verdict::Ran);
        end.finishReason = "stop";
        send(key, end);
    }

    void cut()
    {
        endpoint_.close(connection);
    }

    ConnectionId connection = 0; ///< That the last Submit came over.
    std::vector<Submit> submits;
    std::vector<Cancel> cancels;
    std::uint64_t credit = 0; ///< Last total.

private:
    static constexpr Incarnation UpstreamIncarnation = 77;

    [[nodiscard]] std::string version() const
    {
        return findUpstream(document_.current()->document, "needle-1")->weightsVersion;
    }

    void received(ConnectionId from, Message message)
    {
        if (fleet_.received(from, message)) {
            return;
        }
        if (const auto *const probe = std::get_if<Probe>(&message)) {
            ProbeReply reply;
            reply.id = probe->id;
            reply.agent = incarnation_;
            reply.upstream = UpstreamIncarnation;
            reply.weightsVersion = version();
            endpoint_.send(from, reply);
        } else if (auto *const submit = std::get_if<Submit>(&message)) {
            connection = from;
            credit = submit->creditTotal;
            submits.push_back(std::move(*submit));
        } else if (const auto *const cancel = std::get_if<Cancel>(&message)) {
            cancels.push_back(*cancel);
        } else if (const auto *const more = std::get_if<Credit>(&message)) {
            credit = more->total;
        }
    }

    Incarnation incarnation_ = drawIncarnation();
    ProcessSettings settings_;
    DocumentHolder document_;
    Endpoint endpoint_;
    Fleet fleet_;
};

struct Site {
    Site()
        : entry({ .settings = entrySettings({ agent.address() }), .document = testDocument(), .onStopped = [] {} })
    {
        BOOST_REQUIRE(!entry.start());
    }

    /// Sends a request and waits until the agent has it.
    std::unique_ptr<Call> call(Call::Options options)
    {
        const std::size_t before = agent.submits.size();
        auto made = std::make_unique<Call>(entry.callerPort(), std::move(options));
        BOOST_REQUIRE(runUntil([&] { return agent.submits.size() > before; }));
        return made;
    }

    [[nodiscard]] std::uint64_t stale() const
    {
        return entry.metrics().counter("carobhall_entry_stale_messages_total");
    }

    FakeAgent agent;
    Entry entry;
};

} // namespace

// Guards against an answer that reaches another caller, and against pieces of an attempt or process that is over.
BOOST_AUTO_TEST_CASE(lateAndCrossedAnswersAreDropped)
{
    Site site;
    const auto first = site.call({ .body = completionBody(true, "first") });
    const auto second = site.call({ .body = completionBody(true, "second") });
    const AttemptKey one = site.agent.submits[0].key;
    const AttemptKey two = site.agent.submits[1].key;
    AttemptKey otherAttempt = one;
    ++otherAttempt.attempt;
    AttemptKey formerProcess = one;
    ++formerProcess.entry;
    AttemptKey unknown = one;
    unknown.number += 100;
    site.agent.sendHead(one);
    site.agent.sendHead(two);
    for (const AttemptKey &wrong : { otherAttempt, formerProcess, unknown }) {
        site.agent.sendTokens(wrong, 0, { "WRONG" });
        site.agent.sendEnd(wrong, 1);
    }
    site.agent.sendTokens(two, 0, { "b0 ", "b1 " });
    site.agent.sendTokens(one, 0, { "a0 ", "a1 " });
    site.agent.sendTokens(one, 0, { "a0 ", "a1 ", "a2 " });
    site.agent.sendEnd(two, 2);
    site.agent.sendEnd(one, 3);
    BOOST_TEST(runUntil([&] { return first->done && second->done; }));
    BOOST_TEST(first->streamedText() == "a0 a1 a2 ");
    BOOST_TEST(second->streamedText() == "b0 b1 ");
    BOOST_TEST(first->endsNormally());
    BOOST_TEST(second->endsNormally());
    BOOST_TEST(site.stale() == 6U);
    site.agent.sendTokens(one, 3, { "late" });
    BOOST_TEST(runUntil([&] { return site.stale() == 7U; }));
}

// Guards against a stream that breaks, or a call that runs twice, because a connection between two living processes broke.
BOOST_AUTO_TEST_CASE(cutConnectionResumesTheSameAttempt)
{
    Site site;
    const auto call = site.call({ .body = completionBody(true) });
    const AttemptId id = site.agent.submits[0].key;
    site.agent.sendHead(id);
    site.agent.sendTokens(id, 0, { "t0 ", "t1 " });
    BOOST_REQUIRE(runUntil([&] { return call->streamedText() == "t0 t1 "; }));
    site.agent.cut();
    BOOST_REQUIRE(runUntil([&] { return site.agent.submits.size() == 2; }));
    BOOST_TEST((AttemptId(site.agent.submits[1].key) == id));
    BOOST_TEST(site.agent.submits[1].resumeOffset == 2U);
    site.agent.sendHead(id);
    site.agent.sendTokens(id, 2, { "t2 " });
    site.agent.sendEnd(id, 3);
    BOOST_TEST(runUntil([&] { return call->done; }));
    BOOST_TEST(call->streamedText() == "t0 t1 t2 ");
    BOOST_TEST(call->endsNormally());
}

// Guards against a missing piece that the caller does not notice.
BOOST_AUTO_TEST_CASE(missingPieceIsNeverSkipped)
{
    Site site;
    const auto call = site.call({ .body = completionBody(true) });
    const AttemptKey id = site.agent.submits[0].key;
    site.agent.sendHead(id);
    site.agent.sendTokens(id, 0, { "t0 " });
    site.agent.sendTokens(id, 2, { "t2 " });
    site.agent.sendEnd(id, 3);
    BOOST_TEST(runUntil([&] { return call->done || site.agent.submits.size() > 1; }));
    BOOST_TEST(call->streamedText() == "t0 ");
    BOOST_TEST(!call->endsNormally());
}

// Guards against work for a caller that has left: libsoup notices a closed connection only when it next writes.
BOOST_AUTO_TEST_CASE(callerThatLeavesCancelsItsAttempt)
{
    Site site;
    const ObjectRef<GSocketClient> client(g_socket_client_new());
    const ObjectRef<GSocketConnection> connection(g_socket_client_connect_to_host(client.get(), "127.0.0.1", site.entry.callerPort(), nullptr, nullptr));
    BOOST_REQUIRE(connection != nullptr);
    const std::string body = completionBody(true);
    const std::string request = std::string("POST /v1/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer ") + CallerKey
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    GOutputStream *const output = g_io_stream_get_output_stream(G_IO_STREAM(connection.get()));
    BOOST_REQUIRE(g_output_stream_write_all(output, request.data(), request.size(), nullptr, nullptr, nullptr));
    BOOST_REQUIRE(runUntil([&] { return site.agent.submits.size() == 1; }));
    g_io_stream_close(G_IO_STREAM(connection.get()), nullptr, nullptr);
    BOOST_REQUIRE(runUntil([&] { return !site.agent.cancels.empty(); }, 2 * MicrosPerSecond));
    BOOST_TEST((AttemptId(site.agent.cancels.front().key) == AttemptId(site.agent.submits.front().key)));
    BOOST_TEST(runUntil([&] { return site.entry.dump()["open_requests"].asUInt64() == 0; }));
    BOOST_TEST(site.agent.submits.size() == 1U);
}

// Guards against a caller that does not read and fills the memory of the entry process.
BOOST_AUTO_TEST_CASE(slowReaderGetsBoundedCredit)
{
    Site site;
    const std::size_t window = entrySettings({}).maxStreamBufferBytes;
    const auto call = site.call({ .body = completionBody(true), .readsNothing = true });
    const AttemptKey id = site.agent.submits[0].key;
    BOOST_TEST(site.agent.credit <= window);
    site.agent.sendHead(id);
    constexpr std::size_t pieceBytes = 16384;
    const std::string piece(pieceBytes, 'x');
    // Sends all that it may until no further credit comes. The sockets' buffers take some megabytes.
    std::uint64_t sentCost = 0;
    std::uint64_t sent = 0;
    const auto sendAllowed = [&] {
        while (sentCost + pieceBytes + PieceOverheadBytes <= site.agent.credit) {
            site.agent.sendTokens(id, sent++, { piece });
            sentCost += pieceBytes + PieceOverheadBytes;
        }
    };
    Micros quietSince = monotonicNow();
    std::uint64_t last = 0;
    BOOST_REQUIRE(runUntil([&] {
        sendAllowed();
        if (sent != last) {
            last = sent;
            quietSince = monotonicNow();
        }
        return monotonicNow() - quietSince > 300 * MicrosPerMilli;
    }));
    const Json::Value request = site.entry.dump()["requests"][0];
    BOOST_TEST(request["pending_cost"].asUInt64() <= window + pieceBytes + PieceOverheadBytes);
    const std::uint64_t stalledAt = sent;
    call->read();
    BOOST_TEST(runUntil([&] {
        sendAllowed();
        return sent > stalledAt;
    }));
    site.agent.sendEnd(id, sent);
    BOOST_TEST(runUntil([&] { return call->done; }));
    BOOST_TEST(call->endsNormally());
    BOOST_TEST(call->streamedText().size() == sent * pieceBytes);
}

// Guards against a caller that does not read and takes a slot of one server after the other.
BOOST_AUTO_TEST_CASE(stalledCallerIsNotTriedElsewhere)
{
    Site site;
    const auto call = site.call({ .body = completionBody(true) });
    const AttemptKey id = site.agent.submits[0].key;
    site.agent.sendHead(id);
    site.agent.sendTokens(id, 0, { "t0 " });
    End end;
    end.verdict = static_cast<std::uint8_t>(Verdict::MayHaveRun);
    end.error = static_cast<int>(Errc::Timeout);
    end.message = "the caller takes nothing of the answer";
    site.agent.send(id, end);
    BOOST_TEST(runUntil([&] { return call->done; }));
    BOOST_TEST(!call->endsNormally());
    BOOST_TEST(call->errorField("verdict") == "may-have-run");
    BOOST_TEST(site.agent.submits.size() == 1U);
}
