#define BOOST_TEST_MODULE restore
#include <boost/test/unit_test.hpp>

#include "carobhall/leases.h"
#include "fake_platform.h"

#include <cstdlib>

// A platform that is restored from a copy of some seconds ago: its newest writes are lost, and their revisions are given out again.

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

constexpr const char *Kind = "things";

/// The number of seeded runs: the environment variable CAROBHALL_RUNS, or a few.
unsigned runCount()
{
    constexpr unsigned Few = 12;
    const char *const text = std::getenv("CAROBHALL_RUNS");
    return text == nullptr ? Few : static_cast<unsigned>(std::stoul(text));
}

/// A process that watches all objects and keeps them.
class WatchingProcess
{
public:
    WatchingProcess(FakePlatform &platform, std::uint64_t seed)
        : transport(platform)
        , seed_(seed)
    {
        restart();
        tick();
    }

    void restart()
    {
        watcher.reset();
        seed_ += 1'000;
        client = std::make_unique<PlatformClient>(transport, PlatformClientOptions{ .seed = seed_ });
        objects.clear();
        WatcherOptions options{ .kind = Kind, .name = {}, .onObject = {}, .onDeleted = {} };
        options.onObject = [this](const PlatformObject &object, Micros) { objects[object.name] = object; };
        options.onDeleted = [this](const std::string &name, Micros) {
            objects.erase(name);
            deleted.push_back(name);
        };
        options.onSettled = [this](const PlatformObject &object, Micros) { settled.push_back(object.name); };
        if (tellsLost) {
            options.onLost = [this](const std::string &name, Micros) {
                objects.erase(name);
                lost.push_back(name);
            };
        }
        watcher = std::make_unique<ObjectWatcher>(*client, options);
    }
    void freeze(Micros duration)
    {
        transport.pausedUntil = transport.platform.time.now() + duration;
    }
    [[nodiscard]] std::map<std::string, std::string> marks() const
    {
        std::map<std::string, std::string> result;
        for (const auto &[name, object] : objects) {
            result[name] = object.spec["mark"].asString();
        }
        return result;
    }

    FakeTransport transport;
    std::unique_ptr<PlatformClient> client;
    std::unique_ptr<ObjectWatcher> watcher;
    std::map<std::string, PlatformObject> objects;
    std::vector<std::string> deleted;
    bool tellsLost = false; ///< From the next restart(), objects that a copy lacked are not counted as deleted.
    std::vector<std::string> lost;
    std::vector<std::string> settled;

private:
    void tick()
    {
        VirtualTime &time = transport.platform.time;
        time.after(Tick, [this, &time] {
            if (time.now() >= transport.pausedUntil) {
                client->tick(time.now());
                watcher->tick(time.now());
            }
            tick();
        });
    }

    std::uint64_t seed_;
};

/// A platform with a first era, its writer and its copies.
class Site
{
public:
    Site()
        : platform(time)
    {
        platform.era = 1;
        platform.version = versionOf(1, 0);
        keepCopies();
    }

    void write(const std::string &name)
    {
        Json::Value spec(Json::objectValue);
        spec["mark"] = std::to_string(++lastMark_);
        PlatformReply reply;
        platform.put(writeCall({ .kind = Kind, .name = name, .uid = {}, .spec = {} }, spec), reply);
    }
    void remove(const std::string &name)
    {
        if (platform.objects.contains({ Kind, name })) {
            PlatformReply reply;
            platform.put({ .verb = PlatformVerb::Delete, .kind = Kind, .name = name, .spec = {} }, reply);
        }
    }
    /// The platform is away for \p away, and comes back from the copy of \p age before.
    void restore(Micros age, Micros away, bool endWatches)
    {
        const FakePlatform::Copy copy = copies_.at(copies_.size() - std::min(copies_.size(), static_cast<std::size_t>(age / CopyInterval) + 1));
        platform.outage = true;
        if (endWatches) {
            platform.endWatches(WatchEventType::Closed);
        }
        time.after(away, [this, copy] {
            platform.outage = false;
            platform.restore(copy);
        });
    }
    void run(Micros duration)
    {
        time.runUntil(time.now() + duration);
    }
    [[nodiscard]] std::map<std::string, std::string> marks() const
    {
        std::map<std::string, std::string> result;
        for (const auto &[key, object] : platform.objects) {
            result[key.second] = object.spec["mark"].asString();
        }
        return result;
    }

    VirtualTime time;
    FakePlatform platform;

private:
    static constexpr Micros CopyInterval = 100 * MicrosPerMilli;

    void keepCopies()
    {
        copies_.push_back(platform.copy());
        time.after(CopyInterval, [this] { keepCopies(); });
    }

    std::vector<FakePlatform::Copy> copies_;
    int lastMark_ = 0;
};

PlatformObject objectOf(const FakePlatform &platform, const std::string &name)
{
    return platform.objects.at({ Kind, name });
}

} // namespace

// Guards against a watcher that rejects the lists of a restored platform as stale, skips objects whose revision it knows from before the
// restore, or continues a watch from a revision that stands for another write now.
BOOST_AUTO_TEST_CASE(watchersAgreeWithARestoredPlatform)
{
    constexpr std::array Stable{ "stable-1", "stable-2" };
    constexpr std::array Changing{ "a", "b", "c", "d" };
    for (unsigned seed = 1; seed <= runCount(); ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed);
            const auto below = [&random](std::uint64_t limit) { return random() % limit; };
            const auto within = [&](Micros limit) { return static_cast<Micros>(below(static_cast<std::uint64_t>(limit))); };
            Site site;
            for (const char *const name : Stable) {
                site.write(name);
            }
            std::vector<std::unique_ptr<WatchingProcess>> processes;
            for (std::uint64_t i = 1; i <= 4; ++i) {
                processes.push_back(std::make_unique<WatchingProcess>(site.platform, seed * std::uint64_t{ 100 } + i));
                processes.back()->transport.latency = MicrosPerMilli + within(30 * MicrosPerMilli);
            }
            // All copies have the stable objects.
            site.run(6 * MicrosPerSecond);
            for (int restore = 0; restore < 2; ++restore) {
                const Micros restoreAt = within(4 * MicrosPerSecond);
                // Revisions may stay below those that were known before the restore.
                const Micros lastWriteAfter = within(8 * MicrosPerSecond);
                site.time.after(restoreAt, [&] { site.restore(within(5 * MicrosPerSecond), within(3 * MicrosPerSecond), below(2) == 0); });
                for (int i = 0; i < 40; ++i) {
                    site.time.after(within(restoreAt + lastWriteAfter), [&, name = Changing.at(below(Changing.size())), kind = below(5)] {
                        if (site.platform.outage) {
                            return;
                        }
                        if (kind == 0) {
                            site.remove(name);
                        } else {
                            site.write(kind == 1 ? Stable.at(below(Stable.size())) : name);
                        }
                    });
                }
                // One process is cut off and one is frozen across the restore.
                WatchingProcess &cutOff = *processes[below(processes.size())];
                site.time.after(within(restoreAt + 1), [&cutOff] { cutOff.transport.disconnected = true; });
                site.time.after(restoreAt + within(6 * MicrosPerSecond), [&cutOff] { cutOff.transport.disconnected = false; });
                WatchingProcess &frozen = *processes[below(processes.size())];
                site.time.after(within(restoreAt + 1), [&frozen, duration = within(8 * MicrosPerSecond)] { frozen.freeze(duration); });
                if (restore == 1 && seed % 2 == 0) {
                    site.time.after(restoreAt + within(2 * MicrosPerSecond), [&] {
                        for (const auto &process : processes) {
                            process->restart();
                        }
                    });
                }
                site.run(11 * MicrosPerSecond);
            }
            site.run(45 * MicrosPerSecond);
            BOOST_REQUIRE(site.platform.era == 3U);
            for (const auto &process : processes) {
                BOOST_TEST((process->marks() == site.marks()));
                for (const char *const name : Stable) {
                    BOOST_TEST(std::ranges::count(process->deleted, name) == 0, name << " is reported deleted");
                }
            }
        }
    }
}

// Guards against objects that are reported deleted because the copy lacks them, though their writers write them again, and against objects
// that stay although nobody does.
BOOST_AUTO_TEST_CASE(objectsThatTheCopyLacksAreDeletedAfterAGrace)
{
    Site site;
    WatchingProcess process(site.platform, 1);
    site.write("old");
    site.run(3 * MicrosPerSecond);
    site.write("rewritten");
    site.write("lost");
    site.run(500 * MicrosPerMilli);
    site.restore(2 * MicrosPerSecond, MicrosPerSecond, true);
    site.run(2 * MicrosPerSecond);
    // The list is repeated within the grace.
    site.platform.endWatches(WatchEventType::Gone);
    site.run(500 * MicrosPerMilli);
    BOOST_TEST(process.deleted.empty());
    site.write("rewritten");
    site.run(4 * MicrosPerSecond);
    BOOST_TEST((process.deleted == std::vector<std::string>{ "lost" }));
    BOOST_TEST((process.marks() == site.marks()));
}

// Guards against objects that only a copy lacks and that count as deleted by somebody.
BOOST_AUTO_TEST_CASE(objectsThatTheCopyLacksAreToldFromDeletedOnes)
{
    Site site;
    WatchingProcess process(site.platform, 1);
    process.tellsLost = true;
    process.restart();
    site.write("old");
    site.run(3 * MicrosPerSecond);
    site.write("lost");
    site.run(500 * MicrosPerMilli);
    site.restore(2 * MicrosPerSecond, MicrosPerSecond, true);
    site.run(6 * MicrosPerSecond);
    BOOST_TEST((process.lost == std::vector<std::string>{ "lost" }));
    BOOST_TEST(process.deleted.empty());
    site.remove("old");
    site.run(MicrosPerSecond);
    BOOST_TEST((process.deleted == std::vector<std::string>{ "old" }));
    BOOST_TEST(process.lost.size() == 1U);
}

// Guards against an old copy of an object that counts as written after the restore, and against one that never counts as what the platform
// has although nobody writes the object again.
BOOST_AUTO_TEST_CASE(copiesAreToldFromWhatWasWrittenAfterTheRestore)
{
    Site site;
    WatchingProcess process(site.platform, 1);
    site.write("rewritten");
    site.write("kept");
    site.run(4 * MicrosPerSecond);
    site.restore(MicrosPerSecond, 100 * MicrosPerMilli, true);
    process.settled.clear();
    site.run(1'500 * MicrosPerMilli);
    BOOST_REQUIRE(eraOf(process.objects.at("kept").version) == 2U);
    BOOST_TEST(!process.objects.at("rewritten").isWrittenInEra);
    site.write("rewritten");
    site.run(500 * MicrosPerMilli);
    BOOST_TEST(process.objects.at("rewritten").isWrittenInEra);
    BOOST_TEST(!process.objects.at("kept").isWrittenInEra);
    BOOST_TEST(process.settled.empty());
    // Time in which the process cannot read the platform does not count.
    process.freeze(4 * MicrosPerSecond);
    site.run(3'900 * MicrosPerMilli);
    BOOST_TEST(process.settled.empty());
    site.run(3 * MicrosPerSecond);
    BOOST_TEST((process.settled == std::vector<std::string>{ "kept" }));
}

// Guards against a conditional write on a revision that was read before the restore and stands for another write now.
BOOST_AUTO_TEST_CASE(baseVersionsOfAnEarlierEraConflict)
{
    Site site;
    WatchingProcess process(site.platform, 1);
    site.write("one");
    site.run(2 * MicrosPerSecond);
    site.write("one");
    const PlatformObject base = objectOf(site.platform, "one");
    site.run(200 * MicrosPerMilli);
    site.restore(MicrosPerSecond, 500 * MicrosPerMilli, true);
    site.run(3 * MicrosPerSecond);
    site.write("one");
    BOOST_REQUIRE(revisionOf(objectOf(site.platform, "one").version) == revisionOf(base.version));
    const std::map<std::string, std::string> before = site.marks();
    std::optional<PlatformReply> result;
    process.client->call(writeCall(base, Json::Value(Json::objectValue)), site.time.now(), [&](const PlatformReply &reply, Micros) { result = reply; });
    site.run(MicrosPerSecond);
    BOOST_REQUIRE(result);
    BOOST_TEST(result->error == make_error_code(Errc::Conflict));
    BOOST_TEST((site.marks() == before));
}

// Guards against a process that does not notice the restore while its watch waits, although a peer has.
BOOST_AUTO_TEST_CASE(aPeerTellsOfTheRestore)
{
    Site site;
    WatchingProcess process(site.platform, 1);
    site.write("one");
    site.run(4 * MicrosPerSecond);
    site.restore(2 * MicrosPerSecond, MicrosPerSecond, false);
    site.run(2 * MicrosPerSecond);
    BOOST_REQUIRE(process.client->era() == 1U);
    int restored = 0;
    process.client->onRestored([&restored](Micros) { ++restored; });
    process.client->noteEra(2, site.time.now());
    process.client->noteEra(1, site.time.now());
    BOOST_TEST(process.client->era() == 2U);
    BOOST_TEST(restored == 1);
    site.run(MicrosPerSecond);
    BOOST_TEST(eraOf(process.objects.at("one").version) == 2U);
}

namespace
{

/// A process that asks for the lease of one server.
class LeaseProcess : public SimulatedProcess
{
public:
    LeaseProcess(FakePlatform &target, Incarnation first)
        : SimulatedProcess(target, first)
    {
        start();
    }
    ~LeaseProcess() override
    {
        crash();
    }
    void acquire()
    {
        LeaseRequest request = serverLease("s", "order-" + std::to_string(incarnation));
        request.duration = LeaseTime;
        leases->acquire(request, now(), [this](LeaseAnswer answer, Micros) {
            if (answer.decision == LeaseDecision::Granted) {
                token = answer.token;
            }
        });
    }
    void release()
    {
        leases->release(serverLease("s", "").name, now());
    }
    [[nodiscard]] bool holds() const
    {
        return leases->isValid(serverLease("s", "").name, token, now());
    }

    static constexpr Micros LeaseTime = 4 * MicrosPerSecond;
    std::unique_ptr<Leases> leases;
    FencingToken token = 0;

private:
    void create() override
    {
        leases = std::make_unique<Leases>(*client, LeasesOptions{ .environment = "guild", .holder = incarnation, .seed = incarnation, .onLost = {} });
    }
    void destroy() override
    {
        leases.reset();
    }
    void onTick() override
    {
        leases->tick(now());
    }
};

} // namespace

// Guards against a lease that the platform has lost and that its holder believes in for longer than its time, and against a lower token afterwards.
BOOST_AUTO_TEST_CASE(aLeaseThatThePlatformHasLostEnds)
{
    Site site;
    LeaseProcess one(site.platform, 1);
    LeaseProcess other(site.platform, 2);
    const FakePlatform::Copy copy = site.platform.copy();
    one.acquire();
    site.run(MicrosPerSecond / 2);
    BOOST_REQUIRE(one.holds());
    site.platform.restore(copy);
    site.run(LeaseProcess::LeaseTime);
    BOOST_TEST(!one.holds());
    other.acquire();
    site.run(MicrosPerSecond);
    BOOST_REQUIRE(other.holds());
    BOOST_TEST(other.token > one.token);
}

// Guards against a token that goes down because the copy has a record that was released before the restore.
BOOST_AUTO_TEST_CASE(aReleasedLeaseInTheCopyGivesNoOlderToken)
{
    Site site;
    LeaseProcess one(site.platform, 1);
    LeaseProcess other(site.platform, 2);
    one.acquire();
    site.run(MicrosPerSecond / 2);
    BOOST_REQUIRE(one.holds());
    const FakePlatform::Copy copy = site.platform.copy();
    one.release();
    site.run(MicrosPerSecond / 2);
    other.acquire();
    site.run(MicrosPerSecond / 2);
    BOOST_REQUIRE(other.holds());
    BOOST_REQUIRE(other.token > one.token);
    site.platform.restore(copy);
    one.acquire();
    site.run(2 * LeaseProcess::LeaseTime);
    BOOST_REQUIRE(one.holds());
    BOOST_TEST(one.token > other.token);
}
