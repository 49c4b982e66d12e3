#include <boost/test/unit_test.hpp>

#include "agent_harness.h"

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

/// Two servers of one service and the platform.
struct Services {
    explicit Services(const std::vector<std::string> &serviceOptions = {}, const std::vector<std::string> &platformOptions = {})
        : platform(startStandin("platform", platformOptions))
        , first(startStandin("service", serviceOptions))
        , second(startStandin("service", serviceOptions))
    {
    }

    [[nodiscard]] std::size_t runs() const
    {
        return first->countInOutput("ran=") + second->countInOutput("ran=");
    }
    [[nodiscard]] std::uint64_t writes() const
    {
        return ask(*platform, "/control")["writes"].asUInt64();
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

/// Moments of a booking at which its agent is killed.
enum class Moment : std::uint8_t { BeforeClaim, AfterClaim, AfterRun, AfterResult };

} // namespace

// Guards against a booking that runs twice because its agent died and its caller repeats it through another agent.
BOOST_AUTO_TEST_CASE(repeatThroughAnotherAgentNeverRunsTwice)
{
    for (const Moment moment : { Moment::BeforeClaim, Moment::AfterClaim, Moment::AfterRun, Moment::AfterResult }) {
        BOOST_TEST_CONTEXT("moment " << static_cast<int>(moment))
        {
            Services services({ "--delay-ms=300" });
            const auto victim = startAgentProgram("stamps-1", *services.first, *services.platform);
            const auto other = startAgent(agentOptions("stamps-2", *services.second, services.platform.get()));
            if (moment == Moment::BeforeClaim) {
                ask(*services.platform, "/control", R"({"outage":"hang"})");
            }
            Client client(victim->port());
            const Seen &booked = client.submit(booking("key-1"));
            switch (moment) {
            case Moment::BeforeClaim:
                runFor(300 * MicrosPerMilli);
                break;
            case Moment::AfterClaim:
                BOOST_TEST(runUntil([&] { return services.writes() >= 1; }));
                break;
            case Moment::AfterRun:
                BOOST_TEST(runUntil([&] { return services.runs() == 1; }));
                break;
            case Moment::AfterResult:
                BOOST_TEST(runUntil([&] { return booked.isComplete() && services.writes() >= 2; }));
                break;
            }
            victim->kill();
            ask(*services.platform, "/control", R"({"outage":"none"})");
            Client repeater(other->wirePort());
            const Seen &repeated = repeater.submit(booking("key-1"));
            BOOST_TEST(runUntil([&] { return repeated.isOver(); }));
            runFor(500 * MicrosPerMilli);
            BOOST_TEST(services.runs() <= 1U);
            if (moment == Moment::BeforeClaim) {
                BOOST_TEST(repeated.isComplete());
                BOOST_TEST(services.second->countInOutput("ran=") == 1U);
            } else if (moment == Moment::AfterResult) {
                BOOST_TEST(repeated.isComplete());
                BOOST_TEST(repeated.text == booked.text);
            } else {
                BOOST_TEST((repeated.isComplete() || repeated.isRefused(Verdict::MayHaveRun, Errc::Conflict)));
            }
        }
    }
}

// Guards against a booking that runs without a durable claim.
BOOST_AUTO_TEST_CASE(withoutThePlatformNothingRuns)
{
    Services services;
    const auto agent = startAgent(agentOptions("stamps-1", *services.first, services.platform.get()));
    const auto unconnected = startAgent(agentOptions("stamps-2", *services.second));
    ask(*services.platform, "/control", R"({"outage":"refuse"})");
    Client client(agent->wirePort());
    Client otherClient(unconnected->wirePort());
    const Seen &refused = client.submit(booking("key-2"));
    const Seen &never = otherClient.submit(booking("key-3"));
    BOOST_TEST(runUntil([&] { return refused.isOver() && never.isOver(); }));
    BOOST_TEST(refused.isRefused(Verdict::NotRun, Errc::PlatformUnavailable));
    BOOST_TEST(never.isRefused(Verdict::NotRun, Errc::PlatformUnavailable));
    runFor(200 * MicrosPerMilli);
    BOOST_TEST(services.runs() == 0U);
    // A call without a key needs no claim.
    const Seen &keyless = client.submit(booking({}));
    BOOST_TEST(runUntil([&] { return keyless.isOver(); }));
    BOOST_TEST(keyless.isComplete());
}

// Guards against a second run, or none, when the answer to the claim's write is lost.
BOOST_AUTO_TEST_CASE(lostAnswerOfTheClaimStillRunsOnce)
{
    Services services;
    const auto agent = startAgent(agentOptions("stamps-1", *services.first, services.platform.get()));
    ask(*services.platform, "/control", R"({"lose_answers":1})");
    Client client(agent->wirePort());
    const Seen &booked = client.submit(booking("key-4"));
    BOOST_TEST(runUntil([&] { return booked.isOver(); }));
    BOOST_TEST(booked.isComplete());
    const Seen &repeated = client.submit(booking("key-4"));
    BOOST_TEST(runUntil([&] { return repeated.isOver(); }));
    BOOST_TEST(repeated.text == booked.text);
    BOOST_TEST(services.runs() == 1U);
}

// Guards against an abandoned booking that is broken off, so that its answer is lost to the caller's repeat.
BOOST_AUTO_TEST_CASE(abandonedBookingKeepsItsAnswer)
{
    Services services({ "--delay-ms=300" });
    const auto other = startAgent(agentOptions("stamps-2", *services.second, services.platform.get()));
    AgentOptions quick = agentOptions("stamps-1", *services.first, services.platform.get());
    quick.settings.resumeWindow = 0;
    const auto forgetful = startAgent(std::move(quick));
    auto leaver = std::make_unique<Client>(forgetful->wirePort());
    leaver->submit(booking("key-5"));
    BOOST_TEST(runUntil([&] { return services.writes() >= 1; }));
    leaver.reset();
    BOOST_TEST(runUntil([&] { return services.writes() >= 2; }));
    Client repeater(other->wirePort());
    const Seen &repeated = repeater.submit(booking("key-5"));
    BOOST_TEST(runUntil([&] { return repeated.isOver(); }));
    BOOST_TEST(repeated.isComplete());
    BOOST_TEST(services.runs() == 1U);
}

// Guards against a graceful shutdown that loses the answer of a claimed call.
BOOST_AUTO_TEST_CASE(shutdownWaitsUntilTheResultIsKept)
{
    Services services({ "--delay-ms=200" });
    bool stopped = false;
    AgentOptions options = agentOptions("stamps-1", *services.first, services.platform.get());
    options.onStopped = [&] { stopped = true; };
    auto agent = startAgent(std::move(options));
    const auto other = startAgent(agentOptions("stamps-2", *services.second, services.platform.get()));
    std::string answer;
    {
        Client client(agent->wirePort());
        const Seen &booked = client.submit(booking("key-6"));
        BOOST_TEST(runUntil([&] { return services.writes() >= 1; }));
        // The result's write takes longer than the delivery of the answer.
        ask(*services.platform, "/control", R"({"delay_millis":400})");
        agent->beginShutdown();
        BOOST_TEST(runUntil([&] { return stopped; }));
        BOOST_TEST(booked.isComplete());
        answer = booked.text;
        agent.reset();
    }
    Client repeater(other->wirePort());
    const Seen &repeated = repeater.submit(booking("key-6"));
    BOOST_TEST(runUntil([&] { return repeated.isOver(); }));
    BOOST_TEST(repeated.isComplete());
    BOOST_TEST(repeated.text == answer);
    BOOST_TEST(services.runs() == 1U);
}
