#define BOOST_TEST_MODULE path
#include <boost/test/unit_test.hpp>

#include "harness.h"

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

/// An upstream with its agent.
struct Site {
    explicit Site(const std::string &name)
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

struct Front {
    explicit Front(
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

// Guards against a lost, doubled or reordered token anywhere between engine and caller.
BOOST_AUTO_TEST_CASE(streamedAnswerIsByteExact)
{
    Site site("needle-1");
    Front front({ site.address() });
    Call call(front.entry.callerPort(), { .body = completionBody(true) });
    BOOST_TEST(runUntil([&] { return call.done; }));
    BOOST_TEST(call.status == 200);
    BOOST_TEST(call.header("Content-Type") == "text/event-stream");
    BOOST_TEST(call.streamedText() == answerText(DefaultTokens));
    BOOST_TEST(call.endsNormally());
    BOOST_REQUIRE(site.upstream.calls == 1U);
    BOOST_TEST(site.upstream.bodies.front()["stream"].asBool());
    BOOST_TEST(!site.upstream.bodies.front()["request_id"].asString().empty());
}

BOOST_AUTO_TEST_CASE(wholeAnswersOfBothKinds)
{
    Site site("needle-1");
    Front front({ site.address() });
    Call completion(front.entry.callerPort(), { .body = completionBody(false) });
    Call chat(front.entry.callerPort(), { .path = "/v1/chat/completions", .body = R"({"model":"needle","messages":[{"role":"user","content":"drift?"}]})" });
    BOOST_TEST(runUntil([&] { return completion.done && chat.done; }));
    BOOST_TEST(parseJson(completion.body).value()["choices"][0]["text"].asString() == answerText(DefaultTokens));
    BOOST_TEST(parseJson(chat.body).value()["choices"][0]["message"]["content"].asString() == answerText(DefaultTokens));
    BOOST_TEST(parseJson(chat.body).value()["choices"][0]["finish_reason"].asString() == "length");
}

BOOST_AUTO_TEST_CASE(plainServiceAndModelList)
{
    Site site("stamps-1");
    Front front({ site.address() });
    Call stamp(front.entry.callerPort(), { .path = "/stamps", .body = "{}" });
    Call models(front.entry.callerPort(), { .method = "GET", .path = "/v1/models" });
    BOOST_TEST(runUntil([&] { return stamp.done && models.done; }));
    BOOST_TEST(stamp.status == 200);
    BOOST_TEST(stamp.body == "stamp 1");
    BOOST_TEST(parseJson(models.body).value()["data"][0]["id"].asString() == "needle");
}

// Guards against malformed input that crashes the entry process, reaches an upstream or gets an unclear answer.
BOOST_AUTO_TEST_CASE(badRequestsGetClearErrors)
{
    struct Row {
        Call::Options call;
        int status;
        std::string code;
    };
    const std::vector<Row> rows{
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
    Site site("needle-1");
    Front front({ site.address() }, [](EntrySettings &settings) { settings.maxBodyBytes = 65536; });
    for (const Row &row : rows) {
        Call call(front.entry.callerPort(), row.call);
        BOOST_TEST(runUntil([&] { return call.done; }));
        BOOST_TEST(call.status == row.status);
        BOOST_TEST(call.errorField("code") == row.code);
        BOOST_TEST(call.errorField("verdict") == "not-run");
        BOOST_TEST(call.header("Carobhall-Verdict") == "not-run");
    }
    BOOST_TEST(site.upstream.calls == 0U);
}

// Guards against a stream that ends at a crash, or that repeats or skips tokens after it.
BOOST_AUTO_TEST_CASE(engineCrashContinuesElsewhere)
{
    Site first("needle-1");
    Site second("needle-2");
    first.upstream.crashAtToken = 7;
    second.upstream.crashAtToken = 7;
    Front front({ first.address(), second.address() });
    Call call(front.entry.callerPort(), { .body = completionBody(true) });
    // Only the first server crashes: the other one has not been called yet.
    BOOST_TEST(runUntil([&] { return first.upstream.calls + second.upstream.calls == 1; }));
    (first.upstream.calls == 1 ? second : first).upstream.crashAtToken.reset();
    BOOST_TEST(runUntil([&] { return call.done; }));
    BOOST_TEST(call.streamedText() == answerText(DefaultTokens));
    BOOST_TEST(call.endsNormally());
    BOOST_TEST(first.upstream.calls == 1U);
    BOOST_TEST(second.upstream.calls == 1U);
}

// Guards against a clean end of a stream that no server could complete.
BOOST_AUTO_TEST_CASE(brokenStreamEndsWithAnErrorEvent)
{
    Site site("needle-1");
    Site otherVersion("needle-new");
    site.upstream.crashAtToken = 7;
    Front front({ site.address() });
    Call call(front.entry.callerPort(), { .body = completionBody(true) });
    BOOST_TEST(runUntil([&] { return call.done; }));
    BOOST_TEST(call.streamedText() == answerText(7));
    BOOST_TEST(!call.endsNormally());
    BOOST_TEST(call.errorField("verdict") == "may-have-run");
    BOOST_TEST(otherVersion.upstream.calls == 0U);
}
