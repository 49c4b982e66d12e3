#pragma once

// Retry policy of an entry process: whether a failed attempt is tried again, and after which pause.
//
//     RetryPolicy retries({}, seed);
//     retries.recordRequest("guild");                       // each request once, before its first attempt
//     RetryDecision decision = retries.decide({.account = "guild", .verdict = Verdict::NotRun, .error = Errc::Overloaded, ...});
//     if (decision.retry) { ... start the next attempt after decision.delay ... }
//
// Three questions, in this order:
//   1. May it be repeated? NotRun always may; MayHaveRun and Ran only if the call is repeatable.
//   2. Would it help? Not for errors that every upstream answers alike, not after the last attempt or past the deadline.
//   3. Can the fleet afford it? A retry costs one unit of its account's budget and one of the process's. Each request earns
//      a tenth of a unit, so retries and hedges together add at most a tenth to the load of each account and each process,
//      and therefore to the fleet's, plus the initial allowance.
//
// A refusal because the agent leaves or is another one than expected is a redirect: it cost a message and no upstream work,
// so it needs no budget, but a request gets only a few of them. Otherwise a rolling restart would spend the budget that
// failures need.
//
// Index
//   1. Options
//   2. Decisions
//   3. RetryPolicy

#include "carobhall/base.h"

#include <random>
#include <unordered_map>

namespace Carobhall
{

// 1. Options --------------------------------------------------------------------------------------

struct RetryOptions {
    double ratio = 0.1;                           ///< Retries that one request earns.
    double accountAllowance = 1.0;                ///< Retries that an account has before it earned any, so that a small one has one at all.
    double processAllowance = 10.0;               ///< The same for the whole process.
    double longestSaving = 50.0;                  ///< Units that an account or the process keeps; more would allow a burst of retries.
    std::uint32_t maxAttempts = 3;                ///< Including the first and hedges, without redirects.
    std::uint32_t maxRedirects = 3;               ///< For one request.
    Micros baseDelay = 20 * MicrosPerMilli;       ///< Upper bound of the first pause; doubles with each attempt.
    Micros maxDelay = 2 * MicrosPerSecond;        ///< Upper bound of any pause.
    Micros leastHedgeDelay = 50 * MicrosPerMilli; ///< No hedge before this time, whatever has been learned.
};

// 2. Decisions ------------------------------------------------------------------------------------

struct FailedAttempt {
    std::string_view account{};
    Verdict verdict = Verdict::MayHaveRun; ///< Of this attempt.
    Errc error = Errc::UpstreamFailed;
    bool repeatable = false;
    std::uint32_t attempts = 1;  ///< So far, including this one and hedges, without redirects.
    std::uint32_t redirects = 0; ///< So far, without this one.
    Micros remaining = 0;        ///< Until the request's deadline.
};

enum class RetryReason : std::uint8_t {
    Retry,    ///< Charged to the budget.
    Redirect, ///< Tried elsewhere at once, without a charge.
    PermanentError,
    NotRepeatable,
    AttemptsSpent,
    NoTimeLeft,
    AccountBudgetSpent,
    ProcessBudgetSpent,
};

template<>
struct EnumNames<RetryReason> {
    static constexpr std::array rows{
        EnumName{ RetryReason::Retry, "retry" },
        EnumName{ RetryReason::Redirect, "redirect" },
        EnumName{ RetryReason::PermanentError, "permanent_error" },
        EnumName{ RetryReason::NotRepeatable, "not_repeatable" },
        EnumName{ RetryReason::AttemptsSpent, "attempts_spent" },
        EnumName{ RetryReason::NoTimeLeft, "no_time_left" },
        EnumName{ RetryReason::AccountBudgetSpent, "account_budget_spent" },
        EnumName{ RetryReason::ProcessBudgetSpent, "process_budget_spent" },
    };
};

struct RetryDecision {
    bool retry = false;
    RetryReason reason = RetryReason::PermanentError;
    Micros delay = 0; ///< Drawn evenly from 0 to the bound of this attempt (full jitter).
};

/// Whether a failed attempt may be run a second time at all. Thread-safe.
[[nodiscard]] constexpr bool mayRepeat(Verdict verdict, bool repeatable)
{
    return verdict == Verdict::NotRun || repeatable;
}

/// Whether another upstream may answer differently. Thread-safe.
[[nodiscard]] bool isTransient(Errc error);

// 3. RetryPolicy ----------------------------------------------------------------------------------

/// The budgets of one entry process. Not thread-safe.
class RetryPolicy
{
public:
    RetryPolicy(const RetryOptions &options, std::uint64_t seed);

    /// Earns budget. Call once for each request, not for its retries.
    void recordRequest(std::string_view account);

    /// Decides on a failed attempt, and charges the budgets when it says retry.
    RetryDecision decide(const FailedAttempt &failed);

    /// Whether a second attempt may start beside a slow first one; charges the budgets when it says yes.
    /// \p attempts so far, \p remaining until the deadline.
    bool hedge(std::string_view account, bool repeatable, std::uint32_t attempts, Micros remaining);

    /// A sample of the time to the first token of an attempt that succeeded.
    void recordFirstTokenTime(Micros elapsed);

    /// When a hedge becomes worth its cost: the estimated 95th percentile of the time to the first token.
    [[nodiscard]] Micros hedgeDelay() const;

    [[nodiscard]] std::uint64_t requests() const;
    /// Retries and hedges that were charged.
    [[nodiscard]] std::uint64_t retries() const;
    [[nodiscard]] std::uint64_t redirects() const;

private:
    struct NameHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): the name that the standard library looks for.
        std::size_t operator()(std::string_view name) const
        {
            return std::hash<std::string_view>{}(name);
        }
    };

    double &savingsOf(std::string_view account);
    RetryReason spend(std::string_view account);

    RetryOptions options_;
    std::mt19937_64 random_;
    std::unordered_map<std::string, double, NameHash, std::equal_to<>> savings_; ///< Units of each account.
    double processSavings_;
    double firstToken_ = 0.0; ///< Estimated 95th percentile, in microseconds.
    std::uint64_t requests_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t redirects_ = 0;
};

} // namespace Carobhall
