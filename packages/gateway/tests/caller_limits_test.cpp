#include "carobhall/caller_limits.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Carobhall;

// Guards against closing a connection, or refusing a request, within limits that a caller may still or already follow: limits change at random
// times, and each caller learns of a change up to ChangeTime later than the gateway.
BOOST_AUTO_TEST_CASE(noCallerIsRefusedWithinLimitsThatItMayFollow)
{
    struct Version {
        CallerLimits limits{};
        Micros from = 0;
    };
    const char *const seeds = std::getenv("CAROBHALL_SEEDS"); // NOLINT(concurrency-mt-unsafe): no other thread.
    const std::uint64_t count = seeds == nullptr ? 5 : std::stoull(seeds);
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed);
            const auto draw = [&](std::uint64_t most) { return 1 + random() % most; };
            CallerLimitHistory history;
            std::vector<Version> versions;
            Micros now = MicrosPerSecond;
            for (int step = 0; step < 500; ++step) {
                now += static_cast<Micros>(draw(2 * MicrosPerSecond));
                if (versions.empty() || random() % 3 == 0) {
                    const CallerLimits limits{ .maxHeaderBytes = static_cast<std::uint32_t>(draw(16'384)),
                                               .maxBodyBytes = draw(4U << 20U),
                                               .headerTimeout = static_cast<Micros>(draw(5 * MicrosPerSecond)),
                                               .idleTimeout = static_cast<Micros>(draw(20 * MicrosPerSecond)) };
                    history.adopt(limits, now);
                    versions.push_back({ .limits = limits, .from = now });
                }
                const CallerLimits allowed = history.forRequest(now);
                std::uint32_t headerBytes = 0;
                Micros idle = 0;
                for (std::size_t i = 0; i < versions.size(); ++i) {
                    const bool mayBeFollowed = i + 1 == versions.size() || now - versions[i + 1].from < CallerLimitHistory::ChangeTime;
                    if (mayBeFollowed) {
                        headerBytes = std::max(headerBytes, versions[i].limits.maxHeaderBytes);
                        idle = std::max(idle, versions[i].limits.idleTimeout);
                        BOOST_TEST(allowed.maxBodyBytes >= versions[i].limits.maxBodyBytes);
                        BOOST_TEST(allowed.headerTimeout >= versions[i].limits.headerTimeout);
                    }
                }
                // Not above them either: the limits bound what the gateway holds in memory.
                BOOST_TEST(allowed.maxHeaderBytes == headerBytes);
                BOOST_TEST(history.idleTimeout(now) == idle);
            }
        }
    }
}
