#include <boost/test/unit_test.hpp>

#include "carobhall/config_stamp.h"

#include <random>

using namespace Carobhall;

namespace
{

ConfigStamp exact(std::uint64_t era, std::uint64_t version, std::uint64_t digest)
{
    return { .version = version, .era = era, .isEraCertain = true, .digest = digest };
}

ConfigStamp shown(std::uint64_t era, std::uint64_t version, std::uint64_t digest)
{
    return { .version = version, .era = era, .isEraCertain = false, .digest = digest };
}

/// Offers each process's configuration to each other one until nothing changes. Returns false if that does not happen.
bool exchangeAll(std::vector<HeldConfig> &processes)
{
    constexpr int MaxRounds = 50;
    for (int round = 0; round < MaxRounds; ++round) {
        bool changed = false;
        for (HeldConfig &receiver : processes) {
            for (const HeldConfig &sender : processes) {
                const ConfigStamp before = receiver.stamp();
                receiver.offer(ConfigStamp(sender.stamp()));
                changed = changed || receiver.stamp() != before;
            }
        }
        if (!changed) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against an older copy of a restored platform that replaces what was acknowledged, and against a version that is given out again
// with other contents and is not taken.
BOOST_AUTO_TEST_CASE(aCopyIsHeldBackAndAWriteOfALaterEraIsTaken)
{
    HeldConfig held;
    BOOST_TEST((held.offer(shown(1, 10, 100)) == ConfigRelation::Newer));
    BOOST_TEST((held.offer(exact(1, 13, 130)) == ConfigRelation::Newer));
    // The copy, as a gateway reads it and as one that started meanwhile offers it.
    BOOST_TEST((held.offer(shown(2, 10, 100)) == ConfigRelation::Older));
    BOOST_TEST(held.stamp().version == 13U);
    // Written again, and then a lower version and the same one with other contents.
    BOOST_TEST((held.offer(exact(2, 13, 130)) == ConfigRelation::Same));
    BOOST_TEST((held.offer(exact(3, 11, 111)) == ConfigRelation::Newer));
    BOOST_TEST((held.offer(shown(4, 11, 112)) == ConfigRelation::Newer));
    BOOST_TEST(held.stamp().isEraCertain);
    // Nobody has written it again within the grace.
    BOOST_TEST((held.offer(shown(5, 9, 90)) == ConfigRelation::Older));
    BOOST_TEST((held.offer(exact(5, 9, 90)) == ConfigRelation::Newer));
    // A late offer of an earlier era.
    BOOST_TEST((held.offer(exact(4, 11, 112)) == ConfigRelation::Older));
}

// Guards against processes that disagree for good, or pass older contents on in a circle, after restores of the platform. Each process reads the
// platform at its own moments or not at all, some restart, and all offer each other what they hold.
BOOST_AUTO_TEST_CASE(processesAgreeAfterRestores)
{
    struct Document {
        std::uint64_t version = 0;
        std::uint64_t digest = 0;
    };
    constexpr unsigned Seeds = 300;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed);
            std::vector<HeldConfig> processes(5);
            std::vector<Document> history{ { .version = 1, .digest = 1 } };
            std::uint64_t digest = 1;
            const auto deliver = [&](const ConfigStamp &stamp) {
                for (HeldConfig &process : processes) {
                    if (random() % 2 == 0) {
                        process.offer(stamp);
                    }
                }
            };
            processes.front().offer(shown(1, 1, 1));
            for (std::uint64_t era = 1; era <= 4; ++era) {
                for (unsigned writes = random() % 4; writes > 0; --writes) {
                    history.push_back({ .version = history.back().version + 1 + random() % 3, .digest = ++digest });
                    deliver(exact(era, history.back().version, history.back().digest));
                }
                processes[random() % processes.size()].offer(exact(era, history.back().version, history.back().digest));
                BOOST_REQUIRE(exchangeAll(processes));
                for (const HeldConfig &process : processes) {
                    BOOST_REQUIRE(process.stamp().digest == history.back().digest);
                }
                // The platform comes back from a copy; some processes restart and read it.
                const Document acknowledged = history.back();
                history.resize(history.size() - std::min<std::size_t>(history.size() - 1, random() % 3));
                for (std::size_t i = 1; i < processes.size(); ++i) {
                    if (random() % 4 == 0) {
                        processes[i] = HeldConfig();
                    }
                }
                deliver(shown(era + 1, history.back().version, history.back().digest));
                BOOST_REQUIRE(exchangeAll(processes));
                for (const HeldConfig &process : processes) {
                    BOOST_REQUIRE(process.stamp().digest == acknowledged.digest);
                }
                if (history.back().digest != acknowledged.digest && random() % 2 == 0) {
                    // The operator writes the same again.
                    history.push_back(acknowledged);
                    deliver(exact(era + 1, acknowledged.version, acknowledged.digest));
                }
            }
        }
    }
}
