#define BOOST_TEST_MODULE path
#include <boost/test/unit_test.hpp>

#include "harness.h"

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

/// A fake upstream with its agent.
struct UpstreamFixture {
    explicit UpstreamFixture(const std::string &name)
        : agent({ .settings = agentSettings(name, upstream.address()), .document = testDocument(), .onStopped = [this] { stopped = true; } })
    {
        BOOST_REQUIRE(!agent.start());
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(agent.wirePort());
    }

    FakeUpstream upstream;
    bool stopped = false;
    Agent agent;
};

/// An entry process.
struct EntryFixture {
    explicit EntryFixture(
        const std::vector<std::string> &seeds, const std::function<void(EntrySettings &)> &change = [](EntrySettings &) {})
        : entry({ .settings = changed(seeds, change), .document = testDocument(), .onStopped = [this] { stopped = true; } })
    {
        BOOST_REQUIRE(!entry.start());
    }

    static EntrySettings changed(const std::vector<std::string> &seeds, const std::function<void(EntrySettings &)> &change)
    {
        EntrySettings settings = entrySettings(seeds);
        change(settings);
        return settings;
    }

    bool stopped = false;
    Entry entry;
};

} // namespace

// Guards against lost, duplicated or reordered tokens on the path from the engine to the caller.
BOOST_AUTO_TEST_CASE(streamedAnswerIsByteExact)
{
    UpstreamFixture server("needle-1");
    EntryFixture fixture({ server.address() });
    Call call(fixture.entry.callerPort(), { .body = completionBody(true) });
    BOOST_TEST(runUntil([&] { return call.done; }));
    BOOST_TEST(call.status == 200);
    BOOST_TEST(call.header("Content-Type") == "text/event-stream");
    BOOST_TEST(call.streamedText() == answerText(DefaultTokens));
    BOOST_TEST(call.endsNormally());
    BOOST_REQUIRE(server.upstream.calls == 1U);
    BOOST_TEST(server.upstream.bodies.front()["stream"].asBool());
    BOOST_TEST(!server.upstream.bodies.front()["request_id"].asString().empty());
}

// Guards against wrong text or a wrong response format when a completion or a chat is not streamed.
BOOST_AUTO_TEST_CASE(answersThatAreNotStreamed)
{
    UpstreamFixture server("needle-1");
    EntryFixture fixture({ server.address() });
    Call completion(fixture.entry.callerPort(), { .body = completionBody(false) });
    Call chat(fixture.entry.callerPort(), { .path = "/v1/chat/completions", .body = R"({"model":"needle","messages":[{"role":"user","content":"drift?"}]})" });
    BOOST_TEST(runUntil([&] { return completion.done && chat.done; }));
    BOOST_TEST(parseJson(completion.body).value()["choices"][0]["text"].asString() == answerText(DefaultTokens));
    BOOST_TEST(parseJson(chat.body).value()["choices"][0]["message"]["content"].asString() == answerText(DefaultTokens));
    BOOST_TEST(parseJson(chat.body).value()["choices"][0]["finish_reason"].asString() == "length");
}

// Guards against a plain service whose answer is changed on the way, and against an incomplete GET /v1/models.
BOOST_AUTO_TEST_CASE(plainServiceAndModelList)
{
    UpstreamFixture server("stamps-1");
    EntryFixture fixture({ server.address() });
    Call stamp(fixture.entry.callerPort(), { .path = "/stamps", .body = "{}" });
    Call models(fixture.entry.callerPort(), { .method = "GET", .path = "/v1/models" });
    BOOST_TEST(runUntil([&] { return stamp.done && models.done; }));
    BOOST_TEST(stamp.status == 200);
    BOOST_TEST(stamp.body == "stamp 1");
    BOOST_TEST(parseJson(models.body).value()["data"][0]["id"].asString() == "needle");
}

// Guards against malformed requests that crash the entry process, reach an upstream or are answered with the wrong error.
BOOST_AUTO_TEST_CASE(invalidRequestsAreRefused)
{
    struct TestCase {
        Call::Options call;
        int status;
        std::string code;
    };
    const std::vector<TestCase> testCases{
        { { .body = completionBody(true), .key = "" }, 401, "authentication_failed" },
        { { .body = completionBody(true), .key = "wrong" }, 401, "authentication_failed" },
        { { .body = "{\"model\":" }, 400, "malformed_message" },
        { { .body = "[]" }, 400, "malformed_message" },
        { { .body = std::string(5000, '[') }, 400, "malformed_message" },
        { { .body = R"({"model":"needle"})" }, 400, "malformed_message" },
        { { .body = R"({"model":"needle","prompt":"x","max_tokens":-1})" }, 400, "malformed_message" },
        { { .body = R"({"model":"dial","prompt":"x"})" }, 404, "not_found" },
        { { .path = "/nowhere", .body = "{}" }, 404, "not_found" },
        { { .body = completionBody(true, std::string(70000, 'x')) }, 413, "too_large" },
    };
    UpstreamFixture server("needle-1");
    EntryFixture fixture({ server.address() }, [](EntrySettings &settings) { settings.maxBodyBytes = 65536; });
    for (const TestCase &testCase : testCases) {
        Call call(fixture.entry.callerPort(), testCase.call);
        BOOST_TEST(runUntil([&] { return call.done; }));
        BOOST_TEST(call.status == testCase.status);
        BOOST_TEST(call.errorField("code") == testCase.code);
        BOOST_TEST(call.errorField("verdict") == "not-run");
        BOOST_TEST(call.header("Carobhall-Verdict") == "not-run");
    }
    BOOST_TEST(server.upstream.calls == 0U);
}

// Guards against a stream that breaks when its engine crashes, or that repeats or skips tokens when it continues on another engine.
BOOST_AUTO_TEST_CASE(streamContinuesAfterEngineCrash)
{
    UpstreamFixture first("needle-1");
    UpstreamFixture second("needle-2");
    first.upstream.crashAtToken = 7;
    second.upstream.crashAtToken = 7;
    EntryFixture fixture({ first.address(), second.address() });
    Call call(fixture.entry.callerPort(), { .body = completionBody(true) });
    // Only the server that was called crashes: disable the crash of the other one before it is called.
    BOOST_TEST(runUntil([&] { return first.upstream.calls + second.upstream.calls == 1; }));
    (first.upstream.calls == 1 ? second : first).upstream.crashAtToken.reset();
    BOOST_TEST(runUntil([&] { return call.done; }));
    BOOST_TEST(call.streamedText() == answerText(DefaultTokens));
    BOOST_TEST(call.endsNormally());
    BOOST_TEST(first.upstream.calls == 1U);
    BOOST_TEST(second.upstream.calls == 1U);
}

// Guards against a stream that appears complete although no server could finish it. The only other server has another weights
// version, which must not continue the answer.
BOOST_AUTO_TEST_CASE(brokenStreamEndsWithErrorEvent)
{
    UpstreamFixture server("needle-1");
    UpstreamFixture otherVersion("needle-new");
    server.upstream.crashAtToken = 7;
    EntryFixture fixture({ server.address() });
    Call call(fixture.entry.callerPort(), { .body = completionBody(true) });
    BOOST_TEST(runUntil([&] { return call.done; }));
    BOOST_TEST(call.streamedText() == answerText(7));
    BOOST_TEST(!call.endsNormally());
    BOOST_TEST(call.errorField("verdict") == "may-have-run");
    BOOST_TEST(otherVersion.upstream.calls == 0U);
}
