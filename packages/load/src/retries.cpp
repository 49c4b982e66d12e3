#include "carobhall/retries.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

constexpr double HedgeQuantile = 0.95;

// Step of the percentile estimate, relative to its value. It converges within a few hundred samples and follows slow changes.
constexpr double HedgeStep = 0.05;

// Limits the shift of the exponential backoff so that it cannot overflow. The delay reaches its upper bound long before.
constexpr std::uint32_t MaxDoublings = 20;

bool isRedirect(const FailedAttempt &failed)
{
    return failed.verdict == Verdict::NotRun && (failed.error == Errc::Leaving || failed.error == Errc::IncarnationMismatch);
}

} // namespace

bool isTransient(Errc error)
{
    switch (error) {
    case Errc::ConnectionLost:
    case Errc::Timeout:
    case Errc::Overloaded:
    case Errc::DeadlineUnreachable:
    case Errc::NoUpstream:
    case Errc::IncarnationMismatch:
    case Errc::Leaving:
    case Errc::UpstreamFailed:
    case Errc::StreamBroken:
        return true;
    default:
        return false;
    }
}

RetryPolicy::RetryPolicy(const RetryOptions &options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
    , processBudget_(options.initialProcessBudget)
{
}

double &RetryPolicy::budgetOf(std::string_view account)
{
    const auto found = accountBudgets_.find(account);
    return found != accountBudgets_.end() ? found->second : accountBudgets_.emplace(account, options_.initialAccountBudget).first->second;
}

void RetryPolicy::recordRequest(std::string_view account)
{
    ++requests_;
    double &budget = budgetOf(account);
    budget = std::min(budget + options_.retriesPerRequest, options_.maxBudget);
    processBudget_ = std::min(processBudget_ + options_.retriesPerRequest, options_.maxBudget);
}

RetryReason RetryPolicy::spend(std::string_view account)
{
    double &budget = budgetOf(account);
    if (budget < 1.0) {
        return RetryReason::AccountBudgetSpent;
    }
    if (processBudget_ < 1.0) {
        return RetryReason::ProcessBudgetSpent;
    }
    budget -= 1.0;
    processBudget_ -= 1.0;
    ++retries_;
    return RetryReason::Retry;
}

RetryDecision RetryPolicy::decide(const FailedAttempt &failed)
{
    if (!mayRepeat(failed.verdict, failed.repeatable)) {
        return { .reason = RetryReason::NotRepeatable };
    }
    if (!isTransient(failed.error)) {
        return { .reason = RetryReason::PermanentError };
    }
    if (isRedirect(failed) && failed.redirects < options_.maxRedirects) {
        ++redirects_;
        return { .retry = true, .reason = RetryReason::Redirect };
    }
    if (failed.attempts >= options_.maxAttempts) {
        return { .reason = RetryReason::AttemptsSpent };
    }
    const std::uint32_t doublings = std::min(failed.attempts - 1, MaxDoublings);
    const Micros bound = std::min(options_.maxDelay, options_.baseDelay << doublings);
    const Micros delay = std::uniform_int_distribution<Micros>(0, bound)(random_);
    if (delay >= failed.remaining) {
        return { .reason = RetryReason::NoTimeLeft };
    }
    const RetryReason reason = spend(failed.account);
    return { .retry = reason == RetryReason::Retry, .reason = reason, .delay = delay };
}

bool RetryPolicy::hedge(std::string_view account, bool repeatable, std::uint32_t attempts, Micros remaining)
{
    return repeatable && attempts < options_.maxAttempts && remaining > 0 && spend(account) == RetryReason::Retry;
}

void RetryPolicy::recordFirstTokenTime(Micros elapsed)
{
    const auto sample = static_cast<double>(elapsed);
    if (firstTokenP95_ == 0.0) {
        firstTokenP95_ = sample;
        return;
    }
    // At equilibrium one sample in twenty is above the estimate, and moves it up by 19 times as much as each other sample moves it down.
    firstTokenP95_ *= sample > firstTokenP95_ ? 1.0 + HedgeStep * HedgeQuantile : 1.0 - HedgeStep * (1.0 - HedgeQuantile);
}

Micros RetryPolicy::hedgeDelay() const
{
    return std::max(options_.minHedgeDelay, static_cast<Micros>(firstTokenP95_));
}

std::uint64_t RetryPolicy::requests() const
{
    return requests_;
}

std::uint64_t RetryPolicy::retries() const
{
    return retries_;
}

std::uint64_t RetryPolicy::redirects() const
{
    return redirects_;
}

} // namespace Carobhall
