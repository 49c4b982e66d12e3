#define BOOST_TEST_MODULE fleet
#include <boost/test/unit_test.hpp>

#include "programs.h"

#include <csignal>

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

using Calls = std::vector<std::unique_ptr<Call>>;

Calls startStreams(std::uint16_t port, std::size_t count, const std::string &prompt)
{
    Calls calls;
    for (std::size_t i = 0; i < count; ++i) {
        calls.push_back(std::make_unique<Call>(port, Call::Options{ .body = completionBody(true, prompt + std::to_string(i)) }));
    }
    return calls;
}

bool allDone(const Calls &calls)
{
    return std::all_of(calls.begin(), calls.end(), [](const auto &call) { return call->done; });
}

/// The answer that an undisturbed site gives to the same prompt; the stand-in engine computes it from the prompt alone.
std::string undisturbed(std::uint16_t port, const std::string &prompt)
{
    Call call(port, { .body = completionBody(true, prompt) });
    BOOST_REQUIRE(runUntil([&] { return call.done; }));
    BOOST_REQUIRE(call.endsNormally());
    return call.streamedText();
}

void checkStreams(const Calls &calls, std::uint16_t port, const std::string &prompt)
{
    for (std::size_t i = 0; i < calls.size(); ++i) {
        BOOST_TEST(calls[i]->endsNormally());
        BOOST_TEST(calls[i]->streamedText() == undisturbed(port, prompt + std::to_string(i)));
    }
}

} // namespace

// Guards against entry processes that find no agents or no document by themselves: only seeds and the platform are given.
BOOST_AUTO_TEST_CASE(startsFromPeersAndPlatformAlone)
{
    Site site({ .engines = 3, .entries = 2, .documentFiles = false });
    BOOST_REQUIRE(site.waitReady(3));
    for (const std::uint16_t port : site.callerPorts) {
        Call call(port, { .body = completionBody(true) });
        BOOST_TEST(runUntil([&] { return call.done; }));
        BOOST_TEST(call.status == 200);
        BOOST_TEST(call.endsNormally());
    }
}

// Guards against streams that end or change when the agent that carries them is killed.
BOOST_AUTO_TEST_CASE(killedAgentCutsNoStream)
{
    Site site({ .engines = 3 });
    BOOST_REQUIRE(site.waitReady(3));
    // Each account's first retry is free; the others are earned, ten requests each.
    for (int i = 0; i < 100; ++i) {
        Call call(site.callerPorts[0], { .body = R"({"model":"needle","prompt":"x","max_tokens":1})" });
        BOOST_REQUIRE(runUntil([&] { return call.done; }));
    }
    const Calls calls = startStreams(site.callerPorts[0], 9, "killed ");
    BOOST_REQUIRE(runUntil([&] { return std::all_of(calls.begin(), calls.end(), [](const auto &call) { return call->answered; }); }));
    site.agents[1]->kill();
    BOOST_TEST(runUntil([&] { return allDone(calls); }));
    checkStreams(calls, site.callerPorts[0], "killed ");
}
