#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include "fake_platform.h"

#include <rapidcheck/boost_test.h>

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

struct Process {
    Process(FakePlatform &platform, std::uint64_t seed)
        : transport(platform)
        , client(transport, { .seed = seed })
    {
        tick(platform.time);
    }
    void tick(VirtualTime &time)
    {
        time.after(Tick, [this, &time] {
            client.tick(time.now());
            if (onTick) {
                onTick();
            }
            tick(time);
        });
    }

    FakeTransport transport;
    PlatformClient client;
    std::function<void()> onTick;
};

/// Faults that include calls that take effect, and replies that arrive, after the client has timed out the call.
CallFault lateCallFault(int choice)
{
    switch (choice) {
    case 0:
        return { .requestLost = true };
    case 1:
        return { .replyLost = true };
    case 2:
        return { .requestDelay = 1500 * MicrosPerMilli }; // Takes effect after the client has timed out the call.
    case 3:
        return { .replyDelay = 1500 * MicrosPerMilli };
    default:
        return {};
    }
}

} // namespace

// Guards against a conditional write that is reported as not run although it took effect, or as run although it did not. Requests
// and replies of two processes that write the same object are lost or delayed at random.
RC_BOOST_PROP(conditionalWriteOutcomesAreCorrect, ())
{
    VirtualTime time;
    FakePlatform platform(time);
    Process first(platform, 1);
    Process second(platform, 2);
    const auto faults = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 9));
    std::size_t used = 0;
    const auto faultFor = [&](const PlatformCall &) { return used < faults.size() ? lateCallFault(faults[used++]) : CallFault{}; };
    first.transport.faultFor = faultFor;
    second.transport.faultFor = faultFor;

    std::map<std::string, int> applied;
    platform.onChange = [&](const PlatformObject &object) { ++applied[object.spec["mark"].asString()]; };
    struct Outcome {
        std::string mark;
        Verdict verdict;
    };
    std::vector<Outcome> outcomes;
    int marks = 0;
    std::function<void(Process &)> writeOnce = [&](Process &process) {
        process.client.call(getCall("things", "one"), time.now(), [&](const PlatformReply &read, Micros now) {
            if (read.error && read.error != Errc::NotFound) {
                return;
            }
            PlatformObject base = read.error ? PlatformObject{ .kind = "things", .name = "one", .uid = {}, .spec = {} } : read.object;
            Json::Value spec(Json::objectValue);
            const std::string mark = std::to_string(++marks);
            spec["mark"] = mark;
            process.client.update(base, spec, now, now + 20 * MicrosPerSecond,
                                  [&outcomes, mark](const PlatformReply &reply, Micros) { outcomes.push_back({ .mark = mark, .verdict = reply.verdict }); });
        });
    };
    for (int i = 0; i < 8; ++i) {
        time.after(Micros{ 700 } * i * MicrosPerMilli, [&, i] { writeOnce(i % 2 == 0 ? first : second); });
    }
    time.runUntil(60 * MicrosPerSecond);
    RC_ASSERT(outcomes.size() == static_cast<std::size_t>(marks));
    for (const Outcome &outcome : outcomes) {
        RC_ASSERT(applied[outcome.mark] <= 1);
        RC_ASSERT(outcome.verdict != Verdict::MayHaveRun);
        RC_ASSERT((outcome.verdict == Verdict::Ran) == (applied[outcome.mark] == 1));
    }
}

// Guards against missed changes when a watch is closed, stops delivering events, or resumes from a version that is too old.
BOOST_AUTO_TEST_CASE(watcherReportsEachLatestVersion)
{
    VirtualTime time;
    FakePlatform platform(time);
    Process process(platform, 1);
    std::uint64_t seen = 0;
    WatcherOptions options{ .kind = "things", .name = {}, .onObject = {}, .onDeleted = {} };
    options.onObject = [&](const PlatformObject &object, Micros) {
        BOOST_REQUIRE(object.version > seen);
        seen = object.version;
    };
    ObjectWatcher watcher(process.client, options);
    process.onTick = [&] { watcher.tick(time.now()); };
    const auto change = [&] {
        PlatformReply reply;
        platform.put(writeCall({ .kind = "things", .name = "one", .uid = {}, .spec = {} }, Json::Value(Json::objectValue)), reply);
        return reply.object.version;
    };
    const auto run = [&](Micros duration) { time.runUntil(time.now() + duration); };
    run(MicrosPerSecond);
    std::uint64_t last = change();
    run(MicrosPerSecond);
    BOOST_TEST(seen == last);

    platform.endWatches(WatchEventType::Closed);
    last = change();
    run(3 * MicrosPerSecond);
    BOOST_TEST(seen == last);

    platform.endWatches(WatchEventType::Closed);
    last = change();
    platform.history.clear();
    platform.oldestVersion = last + 1;
    run(3 * MicrosPerSecond);
    BOOST_TEST(seen == last);

    platform.watches.clear(); // The watch stays open but delivers no events.
    platform.oldestVersion = 0;
    last = change();
    run(40 * MicrosPerSecond);
    BOOST_TEST(seen == last);
}

// Guards against call rates that overload the platform: the call budget limits them in normal operation, and the circuit breaker
// during an outage.
BOOST_AUTO_TEST_CASE(callRatesAreLimited)
{
    VirtualTime time;
    FakePlatform platform(time);
    Process process(platform, 1);
    process.client.setClientCount(100, time.now());
    int issued = 0;
    process.transport.faultFor = [&](const PlatformCall &) {
        ++issued;
        return CallFault{};
    };
    const auto callOften = [&](int seconds) {
        issued = 0;
        const Micros end = time.now() + seconds * MicrosPerSecond;
        while (time.now() < end) {
            process.client.call(getCall("things", "one"), time.now(), [](const PlatformReply &, Micros) {});
            time.runUntil(time.now() + Tick);
        }
        return issued;
    };
    const int healthy = callOften(10);
    BOOST_TEST(healthy <= 20 + 160 + 1); // Burst, and 10 s of a hundredth of the fleet's 1,600 reads per second.
    platform.outage = true;
    const int during = callOften(60);
    BOOST_TEST(during <= 300);
    BOOST_TEST(!process.client.available());
    platform.outage = false;
    time.runUntil(time.now() + 2 * MicrosPerSecond);
    callOften(2);
    BOOST_TEST(process.client.available());
    BOOST_TEST_MESSAGE("calls in 10 s: " << healthy << ", in an outage of 60 s: " << during);
}
