#pragma once

// Retry policy of an entry process: decides whether a failed attempt is retried, and with which delay.
//
//     RetryPolicy retries({}, seed);
//     retries.recordRequest("guild");                     // once for each request, before its first attempt
//     RetryDecision decision = retries.decide({.account = "guild", .verdict = Verdict::NotRun, .error = Errc::Overloaded, ...});
//     if (decision.retry) { ... start the next attempt after decision.delay ... }
//
// A retry has to pass three checks, in this order:
//   1. It is safe. An attempt with the verdict NotRun may always be repeated; after MayHaveRun or Ran only if the call is repeatable.
//   2. It can help. Not for errors that every upstream would return, not after the last allowed attempt, not past the deadline.
//   3. The fleet can afford it. A retry costs one unit of its account's budget and one of the process's budget. Each request earns
//      a tenth of a unit, so retries and hedges together add at most a tenth to the load of each account and each process, and
//      therefore to the load of the fleet, plus the initial budgets.
//
// A refusal because the agent is leaving, or is not the expected incarnation, is a redirect. It cost a message but no upstream work,
// so it needs no budget, but the number of redirects of a request is limited. If redirects were charged, a rolling restart would
// spend the budget that real failures need.
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
    double retriesPerRequest = 0.1;             ///< Budget that one request earns, in retries.
    double initialAccountBudget = 1.0;          ///< Retries of an account before it has earned any, so that small accounts get one at all.
    double initialProcessBudget = 10.0;         ///< The same for the whole process.
    double maxBudget = 50.0;                    ///< Largest unspent budget of an account or the process; more would allow a burst of retries.
    std::uint32_t maxAttempts = 3;              ///< Including the first attempt and hedges, without redirects.
    std::uint32_t maxRedirects = 3;             ///< For one request.
    Micros baseDelay = 20 * MicrosPerMilli;     ///< Upper bound of the first delay; doubles with each attempt.
    Micros maxDelay = 2 * MicrosPerSecond;      ///< Upper bound of any delay.
    Micros minHedgeDelay = 50 * MicrosPerMilli; ///< Lower bound of hedgeDelay(), whatever the learned percentile is.
};

// 2. Decisions ------------------------------------------------------------------------------------

struct FailedAttempt {
    std::string_view account{};
    Verdict verdict = Verdict::MayHaveRun; ///< Of this attempt, not of the whole request.
    Errc error = Errc::UpstreamFailed;
    bool repeatable = false;
    std::uint32_t attempts = 1;  ///< Attempts so far, including this one and hedges, without redirects.
    std::uint32_t redirects = 0; ///< Redirects so far, without this one.
    Micros remaining = 0;        ///< Time until the request's deadline.
};

enum class RetryReason : std::uint8_t {
    Retry,    ///< Charged to the budgets.
    Redirect, ///< Retried on another upstream immediately, without a charge.
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
    Micros delay = 0; ///< Drawn uniformly between 0 and the bound of this attempt (full jitter).
};

/// Whether it is safe to repeat a failed attempt. Thread-safe.
[[nodiscard]] constexpr bool mayRepeat(Verdict verdict, bool repeatable)
{
    return verdict == Verdict::NotRun || repeatable;
}

/// Whether a retry on another upstream may succeed after this error. Thread-safe.
[[nodiscard]] bool isTransient(Errc error);

// 3. RetryPolicy ----------------------------------------------------------------------------------

/// The retry budgets of one entry process. Not thread-safe.
class RetryPolicy
{
public:
    RetryPolicy(const RetryOptions &options, std::uint64_t seed);

    /// Adds the budget that a request earns. Call once for each request, not for its retries.
    void recordRequest(std::string_view account);

    /// Decides whether a failed attempt is retried. Charges the budgets if so, except for a redirect.
    RetryDecision decide(const FailedAttempt &failed);

    /// Whether a second attempt may start in parallel with a slow first one (hedging). Charges the budgets if so. \p attempts is the
    /// number of attempts so far, \p remaining the time until the deadline.
    bool hedge(std::string_view account, bool repeatable, std::uint32_t attempts, Micros remaining);

    /// Adds a sample of the time to first token of a successful attempt.
    void recordFirstTokenTime(Micros elapsed);

    /// The time after which a hedge should start: the estimated 95th percentile of the time to first token.
    [[nodiscard]] Micros hedgeDelay() const;

    [[nodiscard]] std::uint64_t requests() const;
    /// Number of retries and hedges that were charged.
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

    double &budgetOf(std::string_view account);
    RetryReason spend(std::string_view account);

    RetryOptions options_;
    std::mt19937_64 random_;
    std::unordered_map<std::string, double, NameHash, std::equal_to<>> accountBudgets_;
    double processBudget_;
    double firstTokenP95_ = 0.0; ///< Estimated 95th percentile of the time to first token, in microseconds.
    std::uint64_t requests_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t redirects_ = 0;
};

} // namespace Carobhall
