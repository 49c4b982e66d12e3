#include <boost/test/unit_test.hpp>

#include "carobhall/retries.h"

#include <rapidcheck.h>

#include <map>

using namespace Carobhall;

// Guards against retries and hedges that multiply the load of an overloaded fleet, and against a second run of a call that is not
// repeatable and may have run already.
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
            RC_ASSERT(retries[account] <= options.initialAccountBudget + options.retriesPerRequest * requests[account] + 1e-9);
            RC_ASSERT(policy.retries() <= options.initialProcessBudget + options.retriesPerRequest * policy.requests() + 1e-9);
        }
    });
    BOOST_TEST(holds);
}

// Guards against retries that are unsafe, cannot help or exceed a budget, and against redirects that are charged to a budget.
BOOST_AUTO_TEST_CASE(decisionGivesTheReasonAgainstARetry)
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
    // Only a refusal that cost no upstream work is not charged.
    BOOST_TEST(
        (reason({ .verdict = Verdict::MayHaveRun, .error = Errc::Leaving, .repeatable = true, .remaining = second }) == RetryReason::AccountBudgetSpent));
}

// Guards against delays of similar length, after which requests that failed at the same time are retried at the same time.
BOOST_AUTO_TEST_CASE(delaysUseTheWholeRange)
{
    RetryPolicy policy({ .initialAccountBudget = 1000, .initialProcessBudget = 1000, .baseDelay = 100 }, 1);
    Micros minDelay = 100;
    Micros maxDelay = 0;
    for (int i = 0; i < 500; ++i) {
        const Micros delay = policy.decide({ .verdict = Verdict::NotRun, .remaining = MicrosPerSecond }).delay;
        minDelay = std::min(minDelay, delay);
        maxDelay = std::max(maxDelay, delay);
    }
    BOOST_TEST(minDelay < 5);
    BOOST_TEST(maxDelay > 95);
}

// Guards against hedges that start before most attempts have produced their first token.
BOOST_AUTO_TEST_CASE(hedgeDelayFollowsThe95thPercentile)
{
    RetryPolicy policy({}, 1);
    for (int i = 0; i < 5000; ++i) {
        policy.recordFirstTokenTime((100 + i * 37 % 100) * MicrosPerMilli);
    }
    BOOST_TEST(policy.hedgeDelay() > 180 * MicrosPerMilli);
    BOOST_TEST(policy.hedgeDelay() < 210 * MicrosPerMilli);
}
