#include "carobhall/retries.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

constexpr double HedgePercentile = 0.95;

// Step of the percentile estimate, relative to its value: settles within some hundred samples and follows slow changes.
constexpr double HedgeStep = 0.05;

// Doubling stops here; the pause has reached its upper bound long before.
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
    , processSavings_(options.processAllowance)
{
}

double &RetryPolicy::savingsOf(std::string_view account)
{
    const auto found = savings_.find(account);
    return found != savings_.end() ? found->second : savings_.emplace(account, options_.accountAllowance).first->second;
}

void RetryPolicy::recordRequest(std::string_view account)
{
    ++requests_;
    double &savings = savingsOf(account);
    savings = std::min(savings + options_.ratio, options_.longestSaving);
    processSavings_ = std::min(processSavings_ + options_.ratio, options_.longestSaving);
}

RetryReason RetryPolicy::spend(std::string_view account)
{
    double &savings = savingsOf(account);
    if (savings < 1.0) {
        return RetryReason::AccountBudgetSpent;
    }
    if (processSavings_ < 1.0) {
        return RetryReason::ProcessBudgetSpent;
    }
    savings -= 1.0;
    processSavings_ -= 1.0;
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
    if (firstToken_ == 0.0) {
        firstToken_ = sample;
        return;
    }
    // In balance, one sample in twenty moves the estimate up by 19 times what each of the others moves it down.
    firstToken_ *= sample > firstToken_ ? 1.0 + HedgeStep * HedgePercentile : 1.0 - HedgeStep * (1.0 - HedgePercentile);
}

Micros RetryPolicy::hedgeDelay() const
{
    return std::max(options_.leastHedgeDelay, static_cast<Micros>(firstToken_));
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
