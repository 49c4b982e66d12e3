#define BOOST_TEST_MODULE limits
#include <boost/test/unit_test.hpp>

#include "harness.h"

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

/// Returns the test document with limits for its only account.
VersionedDocument limitedDocument(std::uint32_t maxConcurrent, double tokensPerSecond)
{
    Json::Value json = *parseJson(testDocument().text);
    json["accounts"][0]["maxConcurrent"] = maxConcurrent;
    json["accounts"][0]["tokensPerSecond"] = tokensPerSecond;
    const std::string text = writeJson(json);
    ParsedDocument parsed = parseDocument(text, "limited document");
    BOOST_REQUIRE(parsed.ok());
    return { .version = 1, .digest = digestOf(text), .text = text, .document = std::move(parsed.document) };
}

/// One engine with its agent, and two entry processes.
struct Fixture {
    explicit Fixture(const VersionedDocument &document)
        : agent({ .settings = agentSettings("needle-1", upstream.address()), .document = document, .onStopped = [] {} })
    {
        BOOST_REQUIRE(!agent.start());
        const std::string seed = "127.0.0.1:" + std::to_string(agent.wirePort());
        for (std::size_t i = 0; i < 2; ++i) {
            EntrySettings settings = entrySettings({ seed });
            settings.process.name = "entry-" + std::to_string(i);
            entries.push_back(std::make_unique<Entry>(EntryOptions{ .settings = settings, .document = document, .onStopped = [] {} }));
            BOOST_REQUIRE(!entries.back()->start());
        }
        BOOST_REQUIRE(runUntil([&] { return knowsAll(*entries[0]) && knowsAll(*entries[1]); }));
    }

    static bool knowsAll(const Entry &entry)
    {
        const Json::Value state = entry.dump();
        return state["fleet"]["members"].size() == 3 && state["fleet"]["may_serve"].asBool();
    }

    FakeUpstream upstream;
    Agent agent;
    std::vector<std::unique_ptr<Entry>> entries;
};

std::size_t countStatus(const std::vector<std::unique_ptr<Call>> &calls, int status)
{
    return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [status](const auto &call) { return call->status == status; }));
}

} // namespace

// Guards against an account that can run its limit of concurrent requests on each entry process instead of once in total.
BOOST_AUTO_TEST_CASE(concurrencyLimitHoldsAcrossEntryProcesses)
{
    constexpr std::uint32_t limit = 3;
    Fixture fixture(limitedDocument(limit, 0.0));
    fixture.upstream.tokenInterval = 50 * MicrosPerMilli;
    std::vector<std::unique_ptr<Call>> calls;
    for (std::size_t i = 0; i < 12; ++i) {
        calls.push_back(std::make_unique<Call>(fixture.entries[i % 2]->callerPort(), Call::Options{ .body = completionBody(true) }));
    }
    BOOST_TEST(runUntil([&] { return std::all_of(calls.begin(), calls.end(), [](const auto &call) { return call->answered; }); }));
    BOOST_TEST(fixture.upstream.calls <= limit);
    BOOST_TEST(countStatus(calls, 200) <= limit);
    BOOST_TEST(countStatus(calls, 200) >= 1U);
    for (const auto &call : calls) {
        if (call->status != 200) {
            BOOST_TEST(call->status == 429);
            BOOST_TEST(call->header("Carobhall-Verdict") == "not-run");
            BOOST_TEST(!call->header("Retry-After").empty());
        }
    }
    BOOST_TEST(runUntil([&] { return std::all_of(calls.begin(), calls.end(), [](const auto &call) { return call->done; }); }));

    // A request that has ended makes room for another one, on either entry process.
    calls.clear();
    BOOST_TEST(runUntil([&] {
        if (calls.empty() || calls.back()->done) {
            calls.push_back(std::make_unique<Call>(fixture.entries[calls.size() % 2]->callerPort(), Call::Options{ .body = completionBody(false) }));
        }
        return countStatus(calls, 200) >= 2;
    }));
}

// Guards against a token limit that is not enforced, or whose allowance is not refilled.
BOOST_AUTO_TEST_CASE(tokenLimitIsEnforcedAndRefills)
{
    constexpr double tokensPerSecond = 200.0;
    Fixture fixture(limitedDocument(0, tokensPerSecond));
    std::size_t accepted = 0;
    std::unique_ptr<Call> call;
    std::size_t sent = 0;
    const Micros start = monotonicNow();
    constexpr Micros length = 4 * MicrosPerSecond;
    runUntil(
        [&] {
            if (!call || call->done) {
                accepted += call && call->status == 200 ? 1 : 0;
                call = std::make_unique<Call>(fixture.entries[sent++ % 2]->callerPort(), Call::Options{ .body = completionBody(false) });
            }
            return monotonicNow() - start > length;
        },
        2 * length);
    // Each request has an answer of DefaultTokens tokens and a prompt of about two. limits.h states the upper bound: L W + 4 L P, plus the
    // initial allowance.
    const double seconds = static_cast<double>(length) / static_cast<double>(MicrosPerSecond);
    BOOST_TEST(static_cast<double>(accepted * DefaultTokens) <= tokensPerSecond * (seconds + 5.0));
    BOOST_TEST(static_cast<double>(accepted * DefaultTokens) >= tokensPerSecond);
    BOOST_TEST(sent > accepted);
}
