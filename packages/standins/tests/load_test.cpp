// Tests of the load tool. A fault that its answer check misses would be reported as a successful request.

#include "../src/http_server.h"
#include "../src/load_run.h"
#include "carobhall/standins.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace
{

using namespace Carobhall;
using namespace Carobhall::Standin;

std::string tokenEvent(const std::string &text)
{
    return R"(data: {"choices":[{"text":")" + text + "\"}]}\n\n";
}

const std::string EndEvent = "data: [DONE]\n\n";

/// The load client's result for a call with the prompt "p" and 3 tokens that the server answers with \p body.
LoadResult resultOf(int status, const std::string &body)
{
    HttpServer server([&](const ExchangePtr &exchange) {
        exchange->begin(status, "text/event-stream");
        exchange->write(body);
        exchange->end();
    });
    BOOST_REQUIRE(server.listen(0));
    LoadClient client;
    std::optional<LoadResult> found;
    client.send({ .url = "http://127.0.0.1:" + std::to_string(server.port()), .key = "k", .chat = false, .prompt = "p", .maxTokens = 3 },
                [&](const LoadResult &result) { found = result; });
    while (!found) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return *found;
}

std::string tokens(std::initializer_list<std::uint64_t> indexes)
{
    std::string body;
    for (const std::uint64_t index : indexes) {
        body += tokenEvent(tokenText("p", index));
    }
    return body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_tool)

// Guards against accepting a stream with wrong, reordered, repeated, missing or surplus tokens, or without its end.
BOOST_AUTO_TEST_CASE(stream_faults_are_detected)
{
    const auto outcome = [](const std::string &body) { return resultOf(200, body).outcome; };
    BOOST_TEST((outcome(tokens({ 0, 1, 2 }) + EndEvent) == LoadOutcome::Complete));
    BOOST_TEST((outcome(tokens({ 0, 2, 1 }) + EndEvent) == LoadOutcome::Wrong));
    BOOST_TEST((outcome(tokens({ 0, 1 }) + EndEvent) == LoadOutcome::Wrong));
    BOOST_TEST((outcome(tokens({ 0, 1, 1, 2 }) + EndEvent) == LoadOutcome::Wrong));
    BOOST_TEST((outcome(tokens({ 0, 1, 2 }) + EndEvent + tokens({ 3 })) == LoadOutcome::Wrong));
    BOOST_TEST((outcome(tokenEvent(tokenText("q", 0)) + tokens({ 1, 2 }) + EndEvent) == LoadOutcome::Wrong));
    BOOST_TEST((outcome(tokens({ 0, 1, 2 })) == LoadOutcome::Incomplete));
}

// Guards against counting a reported error as a complete stream, or as one that broke off without an error.
BOOST_AUTO_TEST_CASE(refusals_carry_their_verdict)
{
    const std::string error = R"({"error":{"code":"overloaded","verdict":"not-run"}})";
    const LoadResult refused = resultOf(503, error);
    BOOST_TEST((refused.outcome == LoadOutcome::Refused));
    BOOST_TEST(refused.verdict == "not-run");
    BOOST_TEST(refused.code == "overloaded");
    BOOST_TEST((resultOf(200, tokens({ 0 }) + "data: " + error + "\n\n").outcome == LoadOutcome::Refused));
    BOOST_TEST((resultOf(200, tokens({ 0 }) + "data: " + error + "\n\n" + EndEvent).outcome == LoadOutcome::Wrong));
}

// Guards against a plan that differs between runs with the same seed, which could not be compared, and against two requests with
// the same prompt: swapped answers would go undetected.
BOOST_AUTO_TEST_CASE(a_plan_depends_on_its_seed_and_has_unique_prompts)
{
    const PlanOptions options{ .surgePerSecond = 20.0 };
    const std::vector<PlannedRequest> plan = makePlan(options);
    const std::vector<PlannedRequest> again = makePlan(options);
    BOOST_REQUIRE(plan.size() == again.size());
    std::set<std::string> prompts;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        BOOST_TEST(plan[i].prompt == again[i].prompt);
        BOOST_TEST(plan[i].at == again[i].at);
        BOOST_TEST((i == 0 || plan[i - 1].at <= plan[i].at));
        prompts.insert(plan[i].prompt);
    }
    BOOST_TEST(prompts.size() == plan.size());
    PlanOptions other = options;
    other.seed = 2;
    BOOST_TEST(makePlan(other).front().at != plan.front().at);
}

// Guards against an off-by-one error in quantiles, which would hide the slowest request of a hundred.
BOOST_AUTO_TEST_CASE(quantiles_are_by_nearest_rank)
{
    BOOST_TEST(quantileOf({}, 0.5) == 0);
    BOOST_TEST(quantileOf({ 3, 1, 2 }, 0.5) == 2);
    BOOST_TEST(quantileOf({ 4, 3, 1, 2 }, 0.99) == 4);
}

BOOST_AUTO_TEST_SUITE_END()
