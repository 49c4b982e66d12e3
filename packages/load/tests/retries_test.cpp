#include <boost/test/unit_test.hpp>

#include "carobhall/retries.h"

#include <rapidcheck.h>

#include <map>

using namespace Carobhall;

// Guards against retries that multiply the load of a fleet in trouble, and against a second run of what must run once.
BOOST_AUTO_TEST_CASE(retriesStayWithinTheBudget)
{
    const bool holds = rc::check([] {
        const RetryOptions options;
        RetryPolicy policy(options, *rc::gen::arbitrary<std::uint64_t>());
        std::map<std::string, double> requests;
        std::map<std::string, double> retries;
        const auto steps = *rc::gen::container<std::vector<int>>(500, rc::gen::inRange(0, 1000));
        for (const int step : steps) {
            const std::string account = "account" + std::to_string(step % 60);
            const bool repeatable = step % 2 == 0;
            const auto verdict = static_cast<Verdict>(step % 7 % 3);
            if (step < 300) {
                policy.recordRequest(account);
                ++requests[account];
            } else if (step < 900) {
                const auto decision = policy.decide(
                    { .account = account, .verdict = verdict, .error = Errc::Overloaded, .repeatable = repeatable, .remaining = 60 * MicrosPerSecond });
                RC_ASSERT(!decision.retry || verdict == Verdict::NotRun || repeatable);
                RC_ASSERT(decision.delay <= options.baseDelay);
                retries[account] += decision.retry ? 1 : 0;
            } else {
                const bool hedged = policy.hedge(account, repeatable, 1, MicrosPerSecond);
                RC_ASSERT(!hedged || repeatable);
                retries[account] += hedged ? 1 : 0;
            }
            RC_ASSERT(retries[account] <= options.accountAllowance + options.ratio * requests[account] + 1e-9);
            RC_ASSERT(policy.retries() <= options.processAllowance + options.ratio * policy.requests() + 1e-9);
        }
    });
    BOOST_TEST(holds);
}

// Guards against retries that cannot help.
BOOST_AUTO_TEST_CASE(reasonsAgainstARetry)
{
    RetryPolicy policy({}, 1);
    const auto reason = [&policy](FailedAttempt failed) { return policy.decide(failed).reason; };
    const Micros second = MicrosPerSecond;
    BOOST_TEST((reason({ .verdict = Verdict::MayHaveRun, .remaining = second }) == RetryReason::NotRepeatable));
    BOOST_TEST((reason({ .verdict = Verdict::NotRun, .error = Errc::Condemned, .remaining = second }) == RetryReason::PermanentError));
    BOOST_TEST((reason({ .verdict = Verdict::NotRun, .attempts = 3, .remaining = second }) == RetryReason::AttemptsSpent));
    BOOST_TEST((reason({ .verdict = Verdict::NotRun, .remaining = 0 }) == RetryReason::NoTimeLeft));
    BOOST_TEST((reason({ .verdict = Verdict::NotRun, .error = Errc::Leaving, .remaining = second }) == RetryReason::Redirect));
    BOOST_TEST((reason({ .verdict = Verdict::NotRun, .remaining = second }) == RetryReason::Retry));
    BOOST_TEST((reason({ .verdict = Verdict::NotRun, .remaining = second }) == RetryReason::AccountBudgetSpent));
    // Only a refusal that cost no upstream work goes without a charge.
    BOOST_TEST(
        (reason({ .verdict = Verdict::MayHaveRun, .error = Errc::Leaving, .repeatable = true, .remaining = second }) == RetryReason::AccountBudgetSpent));
}

// Guards against pauses of the same length, with which callers that failed together come back together.
BOOST_AUTO_TEST_CASE(pausesUseTheWholeRange)
{
    RetryPolicy policy({ .accountAllowance = 1000, .processAllowance = 1000, .baseDelay = 100 }, 1);
    Micros low = 100;
    Micros high = 0;
    for (int i = 0; i < 500; ++i) {
        const Micros delay = policy.decide({ .verdict = Verdict::NotRun, .remaining = MicrosPerSecond }).delay;
        low = std::min(low, delay);
        high = std::max(high, delay);
    }
    BOOST_TEST(low < 5);
    BOOST_TEST(high > 95);
}

// Guards against hedges that start before most attempts have had their time.
BOOST_AUTO_TEST_CASE(hedgeDelayFollowsTheTail)
{
    RetryPolicy policy({}, 1);
    for (int i = 0; i < 5000; ++i) {
        policy.recordFirstTokenTime((100 + i * 37 % 100) * MicrosPerMilli);
    }
    BOOST_TEST(policy.hedgeDelay() > 180 * MicrosPerMilli);
    BOOST_TEST(policy.hedgeDelay() < 210 * MicrosPerMilli);
}
