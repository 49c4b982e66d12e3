#define BOOST_TEST_MODULE crash_evidence_store
#include <boost/test/unit_test.hpp>

#include "crash_evidence_store.h"

#include "fake_platform.h"

#include <cstdlib>

// The stored crashes of requests when the platform comes back from an older copy, in simulated time, without a network.

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

constexpr const char *Kind = "crash-evidence";
constexpr std::size_t ShortRunSeeds = 40;

Json::Value encode(const CrashEvidence &evidence)
{
    Json::Value spec(Json::objectValue);
    spec["feature"] = Json::UInt64(evidence.crashes.at(0).feature);
    spec["process"] = Json::UInt64(evidence.crashes.at(0).process);
    return spec;
}

std::optional<CrashEvidence> decode(const PlatformObject &object)
{
    CrashEvidence evidence;
    evidence.crashes.push_back({ .feature = object.spec["feature"].asUInt64(), .process = object.spec["process"].asUInt64(), .age = 0, .timeToLoss = 0 });
    return evidence;
}

/// A gateway that saves what it blocks, as the real one does: again and again.
class Process : public SimulatedProcess
{
public:
    Process(FakePlatform &target, Incarnation first, bool linked)
        : SimulatedProcess(target, first)
        , hasSidecars_(linked)
    {
        codec_.crashEvidenceKind = Kind;
        codec_.encodeCrashEvidence = &encode;
        codec_.decodeCrashEvidence = &decode;
        start();
    }
    ~Process() override
    {
        crash();
    }
    void block(RequestFeature feature, Incarnation process)
    {
        blocked_[feature] = process;
    }
    void sound(RequestFeature feature)
    {
        blocked_.erase(feature);
        store_->remove(feature, now());
    }

    std::map<RequestFeature, int> merged; ///< How often the store had evidence that was new.

private:
    void create() override
    {
        store_ = std::make_unique<CrashEvidenceStore>(CrashEvidenceStoreOptions{
            .platform = client.get(), .codec = &codec_, .onEvidence = [this](const CrashEvidence &evidence) { ++merged[evidence.crashes.at(0).feature]; } });
    }
    void destroy() override
    {
        store_.reset();
    }
    void onTick() override
    {
        store_->tick(hasSidecars_, now());
        for (const auto &[feature, process] : blocked_) {
            CrashEvidence evidence;
            evidence.crashes.push_back({ .feature = feature, .process = process, .age = 0, .timeToLoss = 0 });
            store_->save(feature, evidence);
        }
        // The era shows in any reply; a gateway watches its configuration.
        if (++ticks_ % 50 == 0) {
            client->call(listCall("config"), now(), [](const PlatformReply &, Micros) {});
        }
    }

    bool hasSidecars_;
    PlatformObjectCodec codec_{};
    std::map<RequestFeature, Incarnation> blocked_;
    std::unique_ptr<CrashEvidenceStore> store_;
    unsigned ticks_ = 0;
};

bool isStored(const FakePlatform &platform, RequestFeature feature)
{
    return platform.objects.contains({ Kind, toHex(feature) });
}

void run(VirtualTime &time, Micros duration)
{
    time.runUntil(time.now() + duration);
}

} // namespace

// Guards against evidence that a restore takes out of the store for good, and against crashes of a feature with a sound run that a restore brings
// back and that count as fresh ones.
BOOST_AUTO_TEST_CASE(evidenceIsRightAfterRestores)
{
    constexpr RequestFeature Saved = 1;
    constexpr RequestFeature Cleared = 2;
    constexpr RequestFeature BlockedAgain = 3;
    const char *const given = std::getenv("CAROBHALL_RUNS");
    const std::size_t seeds = given == nullptr ? ShortRunSeeds : std::stoul(given);
    for (std::size_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Generator random(seed);
            const auto within = [&random](Micros limit) { return static_cast<Micros>(random() % static_cast<std::uint64_t>(limit)); };
            VirtualTime time;
            FakePlatform platform(time);
            platform.era = 1;
            platform.version = versionOf(1, 0);
            Process one(platform, 1, seed % 2 == 0);
            Process other(platform, 2, seed % 2 == 0);
            run(time, 6 * MicrosPerSecond);
            one.block(Cleared, 10);
            one.block(BlockedAgain, 10);
            run(time, MicrosPerSecond + within(MicrosPerSecond));
            BOOST_TEST(isStored(platform, Cleared));
            const FakePlatform::Copy copy = platform.copy();
            one.block(Saved, 11);
            // Gateways tell each other about sound runs.
            for (const RequestFeature feature : { Cleared, BlockedAgain }) {
                one.sound(feature);
                other.sound(feature);
            }
            run(time, MicrosPerSecond + within(4 * MicrosPerSecond));
            BOOST_TEST(isStored(platform, Saved));
            BOOST_TEST(!isStored(platform, Cleared));
            for (int restore = 1; restore <= 2; ++restore) {
                one.merged.clear();
                other.merged.clear();
                platform.outage = true;
                platform.endWatches(WatchEventType::Closed);
                run(time, within(2 * MicrosPerSecond));
                platform.outage = false;
                platform.restore(copy);
                run(time, 5 * MicrosPerSecond);
                BOOST_TEST(isStored(platform, Saved));
                BOOST_TEST(!isStored(platform, Cleared));
                BOOST_TEST(one.merged[Cleared] == 0);
                BOOST_TEST(other.merged[Cleared] == 0);
            }
            // A crash after the sound run is stored, and not taken for the copy.
            one.merged.clear();
            other.merged.clear();
            one.block(BlockedAgain, 20);
            run(time, 10 * MicrosPerSecond);
            BOOST_TEST(isStored(platform, BlockedAgain));
            BOOST_TEST(other.merged[BlockedAgain] == (seed % 2 == 0 ? 0 : 1));
        }
    }
}
