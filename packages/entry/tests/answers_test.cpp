#define BOOST_TEST_MODULE answers
#include <boost/test/unit_test.hpp>

#include "carobhall/fleet.h"
#include "harness.h"

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

/// An agent whose messages the test sends one by one.
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

    void closeConnection()
    {
        endpoint_.close(connection);
    }

    ConnectionId connection = 0; ///< Connection of the last Submit.
    std::vector<Submit> submits;
    std::vector<Cancel> cancels;
    std::uint64_t credit = 0; ///< Credit total last received.

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

/// An entry process with one FakeAgent.
struct Fixture {
    Fixture()
        : entry({ .settings = entrySettings({ agent.address() }), .document = testDocument(), .onStopped = [] {} })
    {
        BOOST_REQUIRE(!entry.start());
    }

    /// Sends a request and waits until the agent has received its Submit.
    std::unique_ptr<Call> call(Call::Options options)
    {
        const std::size_t before = agent.submits.size();
        auto made = std::make_unique<Call>(entry.callerPort(), std::move(options));
        BOOST_REQUIRE(runUntil([&] { return agent.submits.size() > before; }));
        return made;
    }

    [[nodiscard]] std::uint64_t staleMessages() const
    {
        return entry.metrics().counter("carobhall_entry_stale_messages_total");
    }

    FakeAgent agent;
    Entry entry;
};

} // namespace

// Guards against an answer that reaches another caller, and against accepting messages for another attempt, another entry process or an
// unknown request.
BOOST_AUTO_TEST_CASE(lateAndMisaddressedAnswersAreDropped)
{
    Fixture fixture;
    const auto first = fixture.call({ .body = completionBody(true, "first") });
    const auto second = fixture.call({ .body = completionBody(true, "second") });
    const AttemptKey one = fixture.agent.submits[0].key;
    const AttemptKey two = fixture.agent.submits[1].key;
    AttemptKey otherAttempt = one;
    ++otherAttempt.attempt;
    AttemptKey formerProcess = one;
    ++formerProcess.entry;
    AttemptKey unknown = one;
    unknown.number += 100;
    fixture.agent.sendHead(one);
    fixture.agent.sendHead(two);
    for (const AttemptKey &wrong : { otherAttempt, formerProcess, unknown }) {
        fixture.agent.sendTokens(wrong, 0, { "WRONG" });
        fixture.agent.sendEnd(wrong, 1);
    }
    fixture.agent.sendTokens(two, 0, { "b0 ", "b1 " });
    fixture.agent.sendTokens(one, 0, { "a0 ", "a1 " });
    fixture.agent.sendTokens(one, 0, { "a0 ", "a1 ", "a2 " });
    fixture.agent.sendEnd(two, 2);
    fixture.agent.sendEnd(one, 3);
    BOOST_TEST(runUntil([&] { return first->done && second->done; }));
    BOOST_TEST(first->streamedText() == "a0 a1 a2 ");
    BOOST_TEST(second->streamedText() == "b0 b1 ");
    BOOST_TEST(first->endsNormally());
    BOOST_TEST(second->endsNormally());
    BOOST_TEST(fixture.staleMessages() == 6U);
    fixture.agent.sendTokens(one, 3, { "late" });
    BOOST_TEST(runUntil([&] { return fixture.staleMessages() == 7U; }));
}

// Guards against a broken stream or a request that runs twice after the connection between two running processes was lost: the entry
// process has to reconnect and resume the same attempt.
BOOST_AUTO_TEST_CASE(lostConnectionResumesSameAttempt)
{
    Fixture fixture;
    const auto call = fixture.call({ .body = completionBody(true) });
    const AttemptId id = fixture.agent.submits[0].key;
    fixture.agent.sendHead(id);
    fixture.agent.sendTokens(id, 0, { "t0 ", "t1 " });
    BOOST_REQUIRE(runUntil([&] { return call->streamedText() == "t0 t1 "; }));
    fixture.agent.closeConnection();
    BOOST_REQUIRE(runUntil([&] { return fixture.agent.submits.size() == 2; }));
    BOOST_TEST((AttemptId(fixture.agent.submits[1].key) == id));
    BOOST_TEST(fixture.agent.submits[1].resumeOffset == 2U);
    fixture.agent.sendHead(id);
    fixture.agent.sendTokens(id, 2, { "t2 " });
    fixture.agent.sendEnd(id, 3);
    BOOST_TEST(runUntil([&] { return call->done; }));
    BOOST_TEST(call->streamedText() == "t0 t1 t2 ");
    BOOST_TEST(call->endsNormally());
}

// Guards against a gap in an answer that the caller cannot detect: if a chunk is missing, the stream must not continue after the gap or
// end normally.
BOOST_AUTO_TEST_CASE(missingPieceIsNeverSkipped)
{
    Fixture fixture;
    const auto call = fixture.call({ .body = completionBody(true) });
    const AttemptKey id = fixture.agent.submits[0].key;
    fixture.agent.sendHead(id);
    fixture.agent.sendTokens(id, 0, { "t0 " });
    fixture.agent.sendTokens(id, 2, { "t2 " });
    fixture.agent.sendEnd(id, 3);
    BOOST_TEST(runUntil([&] { return call->done || fixture.agent.submits.size() > 1; }));
    BOOST_TEST(call->streamedText() == "t0 ");
    BOOST_TEST(!call->endsNormally());
}

// Guards against an attempt that keeps running after its caller has disconnected. libsoup detects a closed connection only on its next
// write, and nothing is written while the request waits for an answer.
BOOST_AUTO_TEST_CASE(callerDisconnectCancelsAttempt)
{
    Fixture fixture;
    const ObjectRef<GSocketClient> client(g_socket_client_new());
    const ObjectRef<GSocketConnection> connection(g_socket_client_connect_to_host(client.get(), "127.0.0.1", fixture.entry.callerPort(), nullptr, nullptr));
    BOOST_REQUIRE(connection != nullptr);
    const std::string body = completionBody(true);
    const std::string request = std::string("POST /v1/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer ") + CallerKey
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    GOutputStream *const output = g_io_stream_get_output_stream(G_IO_STREAM(connection.get()));
    BOOST_REQUIRE(g_output_stream_write_all(output, request.data(), request.size(), nullptr, nullptr, nullptr));
    BOOST_REQUIRE(runUntil([&] { return fixture.agent.submits.size() == 1; }));
    g_io_stream_close(G_IO_STREAM(connection.get()), nullptr, nullptr);
    BOOST_REQUIRE(runUntil([&] { return !fixture.agent.cancels.empty(); }, 2 * MicrosPerSecond));
    BOOST_TEST((AttemptId(fixture.agent.cancels.front().key) == AttemptId(fixture.agent.submits.front().key)));
    BOOST_TEST(runUntil([&] { return fixture.entry.dump()["open_requests"].asUInt64() == 0; }));
    BOOST_TEST(fixture.agent.submits.size() == 1U);
}

// Guards against unbounded memory use in the entry process when a caller does not read its answer: the agent must not receive more
// credit than the window.
BOOST_AUTO_TEST_CASE(slowReaderGetsBoundedCredit)
{
    Fixture fixture;
    const std::size_t window = entrySettings({}).maxStreamBuffer;
    const auto call = fixture.call({ .body = completionBody(true), .deferRead = true });
    const AttemptKey id = fixture.agent.submits[0].key;
    BOOST_TEST(fixture.agent.credit <= window);
    fixture.agent.sendHead(id);
    constexpr std::size_t pieceBytes = 16384;
    const std::string piece(pieceBytes, 'x');
    // Send as much as the credit allows until no more credit arrives. The socket buffers hold some megabytes.
    std::uint64_t sentCost = 0;
    std::uint64_t sent = 0;
    const auto sendAllowed = [&] {
        while (sentCost + pieceBytes + PieceOverheadBytes <= fixture.agent.credit) {
            fixture.agent.sendTokens(id, sent++, { piece });
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
    const Json::Value request = fixture.entry.dump()["requests"][0];
    BOOST_TEST(request["pending_cost"].asUInt64() <= window + pieceBytes + PieceOverheadBytes);
    const std::uint64_t stalledAt = sent;
    call->read();
    BOOST_TEST(runUntil([&] {
        sendAllowed();
        return sent > stalledAt;
    }));
    fixture.agent.sendEnd(id, sent);
    BOOST_TEST(runUntil([&] { return call->done; }));
    BOOST_TEST(call->endsNormally());
    BOOST_TEST(call->streamedText().size() == sent * pieceBytes);
}

// Guards against a caller that does not read its answer and occupies a slot on one server after another because its attempt is
// retried after each timeout.
BOOST_AUTO_TEST_CASE(stalledCallerIsNotRetried)
{
    Fixture fixture;
    const auto call = fixture.call({ .body = completionBody(true) });
    const AttemptKey id = fixture.agent.submits[0].key;
    fixture.agent.sendHead(id);
    fixture.agent.sendTokens(id, 0, { "t0 " });
    End end;
    end.verdict = static_cast<std::uint8_t>(Verdict::MayHaveRun);
    end.error = static_cast<int>(Errc::Timeout);
    end.message = "the caller takes nothing of the answer";
    fixture.agent.send(id, end);
    BOOST_TEST(runUntil([&] { return call->done; }));
    BOOST_TEST(!call->endsNormally());
    BOOST_TEST(call->errorField("verdict") == "may-have-run");
    BOOST_TEST(fixture.agent.submits.size() == 1U);
}
