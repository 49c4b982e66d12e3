#include <boost/test/unit_test.hpp>

#include "agent_harness.h"

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

/// A platform and two servers of one service.
struct ServiceFixture {
    explicit ServiceFixture(const std::vector<std::string> &serviceOptions = {}, const std::vector<std::string> &platformOptions = {})
        : platform(startStandin("platform", platformOptions))
        , first(startStandin("service", serviceOptions))
        , second(startStandin("service", serviceOptions))
    {
    }

    /// Number of calls that the servers have executed.
    [[nodiscard]] std::size_t runs() const
    {
        return first->countInOutput("ran=") + second->countInOutput("ran=");
    }
    /// Number of writes that the platform has accepted. The first one is the claim, the second one the result.
    [[nodiscard]] std::uint64_t writes() const
    {
        return requestJson(*platform, "/control")["writes"].asUInt64();
    }

    std::unique_ptr<Program> platform;
    std::unique_ptr<Program> first;
    std::unique_ptr<Program> second;
};

std::unique_ptr<Agent> startAgent(AgentOptions options)
{
    auto agent = std::make_unique<Agent>(std::move(options));
    BOOST_REQUIRE(!agent->start());
    return agent;
}

/// When the agent is killed in the course of a call.
enum class KillPoint : std::uint8_t { BeforeClaim, AfterClaim, AfterRun, AfterResult };

} // namespace

// Guards against a second execution of a non-repeatable call. The agent that runs the call crashes, and the caller retries with
// the same Idempotency-Key through another agent.
BOOST_AUTO_TEST_CASE(retryThroughAnotherAgentNeverRunsTwice)
{
    for (const KillPoint killPoint : { KillPoint::BeforeClaim, KillPoint::AfterClaim, KillPoint::AfterRun, KillPoint::AfterResult }) {
        BOOST_TEST_CONTEXT("kill point " << static_cast<int>(killPoint))
        {
            ServiceFixture services({ "--delay-ms=300" });
            const auto victim = startAgentProgram("stamps-1", *services.first, *services.platform);
            const auto other = startAgent(agentOptions("stamps-2", *services.second, services.platform.get()));
            if (killPoint == KillPoint::BeforeClaim) {
                requestJson(*services.platform, "/control", R"({"outage":"hang"})");
            }
            Client client(victim->port());
            const AttemptResult &original = client.submit(serviceCall("key-1"));
            switch (killPoint) {
            case KillPoint::BeforeClaim:
                runFor(300 * MicrosPerMilli);
                break;
            case KillPoint::AfterClaim:
                BOOST_TEST(runUntil([&] { return services.writes() >= 1; }));
                break;
            case KillPoint::AfterRun:
                BOOST_TEST(runUntil([&] { return services.runs() == 1; }));
                break;
            case KillPoint::AfterResult:
                BOOST_TEST(runUntil([&] { return original.isComplete() && services.writes() >= 2; }));
                break;
            }
            victim->kill();
            requestJson(*services.platform, "/control", R"({"outage":"none"})");
            Client retryClient(other->wirePort());
            const AttemptResult &retried = retryClient.submit(serviceCall("key-1"));
            BOOST_TEST(runUntil([&] { return retried.isOver(); }));
            runFor(500 * MicrosPerMilli);
            BOOST_TEST(services.runs() <= 1U);
            if (killPoint == KillPoint::BeforeClaim) {
                BOOST_TEST(retried.isComplete());
                BOOST_TEST(services.second->countInOutput("ran=") == 1U);
            } else if (killPoint == KillPoint::AfterResult) {
                BOOST_TEST(retried.isComplete());
                BOOST_TEST(retried.text == original.text);
            } else {
                BOOST_TEST((retried.isComplete() || retried.isRefused(Verdict::MayHaveRun, Errc::Conflict)));
            }
        }
    }
}

// Guards against a call that runs without a durable claim of its Idempotency-Key, while the platform is unreachable or in an
// agent that has no platform.
BOOST_AUTO_TEST_CASE(keyedCallIsRefusedWithoutPlatform)
{
    ServiceFixture services;
    const auto agent = startAgent(agentOptions("stamps-1", *services.first, services.platform.get()));
    const auto agentWithoutPlatform = startAgent(agentOptions("stamps-2", *services.second));
    requestJson(*services.platform, "/control", R"({"outage":"refuse"})");
    Client client(agent->wirePort());
    Client otherClient(agentWithoutPlatform->wirePort());
    const AttemptResult &refused = client.submit(serviceCall("key-2"));
    const AttemptResult &unclaimable = otherClient.submit(serviceCall("key-3"));
    BOOST_TEST(runUntil([&] { return refused.isOver() && unclaimable.isOver(); }));
    BOOST_TEST(refused.isRefused(Verdict::NotRun, Errc::PlatformUnavailable));
    BOOST_TEST(unclaimable.isRefused(Verdict::NotRun, Errc::PlatformUnavailable));
    runFor(200 * MicrosPerMilli);
    BOOST_TEST(services.runs() == 0U);
    // A call without an Idempotency-Key needs no claim.
    const AttemptResult &keyless = client.submit(serviceCall({}));
    BOOST_TEST(runUntil([&] { return keyless.isOver(); }));
    BOOST_TEST(keyless.isComplete());
}

// Guards against a call that runs twice, or not at all, because the platform's response to the write of the claim is lost.
BOOST_AUTO_TEST_CASE(lostClaimResponseStillRunsOnce)
{
    ServiceFixture services;
    const auto agent = startAgent(agentOptions("stamps-1", *services.first, services.platform.get()));
    requestJson(*services.platform, "/control", R"({"lose_answers":1})");
    Client client(agent->wirePort());
    const AttemptResult &original = client.submit(serviceCall("key-4"));
    BOOST_TEST(runUntil([&] { return original.isOver(); }));
    BOOST_TEST(original.isComplete());
    const AttemptResult &retried = client.submit(serviceCall("key-4"));
    BOOST_TEST(runUntil([&] { return retried.isOver(); }));
    BOOST_TEST(retried.text == original.text);
    BOOST_TEST(services.runs() == 1U);
}

// Guards against the loss of the answer when the caller disconnects: aborting the call would leave nothing to answer a retry with.
// The call must continue to its end, and its answer must be stored.
BOOST_AUTO_TEST_CASE(abandonedCallKeepsItsAnswer)
{
    ServiceFixture services({ "--delay-ms=300" });
    const auto other = startAgent(agentOptions("stamps-2", *services.second, services.platform.get()));
    AgentOptions options = agentOptions("stamps-1", *services.first, services.platform.get());
    options.settings.resumeWindow = 0;
    const auto agent = startAgent(std::move(options));
    auto leavingClient = std::make_unique<Client>(agent->wirePort());
    leavingClient->submit(serviceCall("key-5"));
    BOOST_TEST(runUntil([&] { return services.writes() >= 1; }));
    leavingClient.reset();
    BOOST_TEST(runUntil([&] { return services.writes() >= 2; }));
    Client retryClient(other->wirePort());
    const AttemptResult &retried = retryClient.submit(serviceCall("key-5"));
    BOOST_TEST(runUntil([&] { return retried.isOver(); }));
    BOOST_TEST(retried.isComplete());
    BOOST_TEST(services.runs() == 1U);
}

// Guards against a graceful shutdown that loses the result of a claimed call. The answer is delivered before the write of the
// result completes, and the agent must not stop in between.
BOOST_AUTO_TEST_CASE(shutdownWaitsUntilResultIsStored)
{
    ServiceFixture services({ "--delay-ms=200" });
    bool stopped = false;
    AgentOptions options = agentOptions("stamps-1", *services.first, services.platform.get());
    options.onStopped = [&] { stopped = true; };
    auto agent = startAgent(std::move(options));
    const auto other = startAgent(agentOptions("stamps-2", *services.second, services.platform.get()));
    std::string answer;
    {
        Client client(agent->wirePort());
        const AttemptResult &original = client.submit(serviceCall("key-6"));
        BOOST_TEST(runUntil([&] { return services.writes() >= 1; }));
        // Makes the write of the result take longer than the delivery of the answer.
        requestJson(*services.platform, "/control", R"({"delay_millis":400})");
        agent->beginShutdown();
        BOOST_TEST(runUntil([&] { return stopped; }));
        BOOST_TEST(original.isComplete());
        answer = original.text;
        agent.reset();
    }
    Client retryClient(other->wirePort());
    const AttemptResult &retried = retryClient.submit(serviceCall("key-6"));
    BOOST_TEST(runUntil([&] { return retried.isOver(); }));
    BOOST_TEST(retried.isComplete());
    BOOST_TEST(retried.text == answer);
    BOOST_TEST(services.runs() == 1U);
}
