#include "carobhall/shutdown_admission.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace Carobhall;

// Guards against a request that is taken late in a shutdown and cut at its end, against refusals while there is no shutdown or it has just begun, and
// against requests that are taken when the unfinished ones have been ended: grace times, arrivals and deadlines at random.
BOOST_AUTO_TEST_CASE(aShutdownCutsNoRequestThatItTookLate)
{
    const char *const seeds = std::getenv("CAROBHALL_SEEDS"); // NOLINT(concurrency-mt-unsafe): no other thread.
    const std::uint64_t count = seeds == nullptr ? 20 : std::stoull(seeds);
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed);
            const auto draw = [&random](Micros least, Micros most) { return least + static_cast<Micros>(random() % static_cast<std::uint64_t>(most - least)); };
            const ShutdownAdmissionOptions options{ .grace = draw(MicrosPerSecond, 30 * MicrosPerSecond) };
            const Micros earlyTime = std::min(options.acceptTime, options.grace / 2);
            ShutdownAdmission admission(options);
            Micros now = draw(1, 1000 * MicrosPerSecond);
            const auto drawDeadline = [&] { return now + draw(0, 20 * MicrosPerSecond); };
            for (int i = 0; i < 50; ++i) {
                BOOST_TEST(admission.admits(drawDeadline(), now));
                BOOST_TEST(!admission.isCutDue(now));
                now += draw(0, 10 * MicrosPerSecond);
            }
            const Micros begunAt = now;
            admission.begin(now);
            Micros lastDeadline = 0; ///< Of the requests that were taken after the early ones.
            while (!admission.isCutDue(now)) {
                const Micros deadline = drawDeadline();
                const bool admitted = admission.admits(deadline, now);
                if (now - begunAt <= earlyTime) {
                    BOOST_TEST(admitted);
                } else if (admitted) {
                    lastDeadline = std::max(lastDeadline, deadline);
                } else {
                    // Not refused while it could be finished.
                    BOOST_TEST(deadline > begunAt + options.grace - options.finalFlushTime);
                }
                now += draw(0, 20 * MicrosPerMilli);
                admission.begin(now);
            }
            BOOST_TEST(lastDeadline < now);
            BOOST_TEST(now <= begunAt + options.grace - options.finalFlushTime + 20 * MicrosPerMilli);
            BOOST_TEST(!admission.admits(now, now));
            admission.end();
            BOOST_TEST(!admission.admits(drawDeadline(), now));
        }
    }
}

// Guards against requests that are taken after a shutdown has ended before its grace time, because nothing was left to do.
BOOST_AUTO_TEST_CASE(anEndedShutdownTakesNothing)
{
    ShutdownAdmission admission({ .grace = 8 * MicrosPerSecond });
    admission.begin(MicrosPerSecond);
    BOOST_TEST(admission.admits(2 * MicrosPerSecond, MicrosPerSecond));
    admission.end();
    BOOST_TEST(!admission.admits(2 * MicrosPerSecond, MicrosPerSecond));
}
