#pragma once

// Limits of an account across all entry processes: tokens per second and concurrent requests, without a message per request.
//
// Rendezvous hashing assigns each account a coordinator among the live entry processes. The coordinator grants allowances (tokens
// to spend and a number of concurrent requests) that expire. Every entry process spends its allowance locally and sends a grant
// request about once per period and account.
//
//     AccountLimits limits;
//     limits.setEntryProcesses(liveEntryProcesses);               // from membership, this process included
//     switch (LimitResult result = limits.take(account, limit, cost, now); result.decision) {
//     case LimitDecision::Allowed: ...                            // then call settle() exactly once
//     case LimitDecision::Pending: ...                            // call again when a grant arrives, and with mayWait=false after 100 ms
//     case LimitDecision::Refused: ...                            // 429 with result.retryAfter
//     }
//     limits.settle(account, cost, trueCost);                     // the request ended; also when it was refused at a later stage
//     for (AddressedGrantRequest &addressed : limits.takeGrantRequests(now)) { ... } // every 20 ms or so; sorted by coordinator, so
//                                                                 // that requests to one coordinator are sent in one write
//     limits.receive(grant, now);
//
// A negative GrantRequest::wanted returns tokens that the sender does not need. GrantRequest::concurrent counts running and waiting requests.
//
//     GrantCoordinator coordinator;                               // in every entry process
//     Grant grant = coordinator.grant(requester, request, limitOf(request.account), now);
//     coordinator.forget(requester);                              // membership declared it dead
//
// Error bounds. L: tokens per second, P: the period, C: concurrent requests, N: entry processes, m: cost of the largest request.
//   Tokens in any window W with one coordinator: at most L W + 4 L P. The excess is a full bucket, one grant beyond it, and tokens
//   granted before W and not yet spent, which is at most two periods of recent usage.
//   For each change of coordinator or restart of all processes: 1.1 L P from the new coordinator's bucket, N initial allowances that
//   sum to L P, and L for each second in which two processes both act as the coordinator.
//   Concurrent requests: C with one coordinator. After a change of coordinator at most C more, until the requests that were running
//   before the change have ended.
//   While the coordinator does not respond, and only then, each entry process may run one request without a grant: N requests of
//   together at most N m tokens.
//   Costs that turn out higher than estimated are deducted from the following grants.
//
// Not thread-safe. No I/O and no clock.
//
// Index
//   1. Options and results
//   2. AccountLimits       spends allowances
//   3. GrantCoordinator    grants them

#include "carobhall/messages.h"

#include <span>
#include <unordered_map>

namespace Carobhall
{

// 1. Options and results --------------------------------------------------------------------------

/// Limits of an account in the configuration document; 0 means no limit.
struct AccountLimit {
    double tokensPerSecond = 0.0;
    std::uint32_t maxConcurrent = 0;
};

struct LimitOptions {
    Micros period = MicrosPerSecond;                       ///< Grant request interval of a contended account; a grant covers this time.
    Micros minGrantRequestInterval = 100 * MicrosPerMilli; ///< Between two grant requests for one account, whatever its request rate.
    Micros grantRequestTimeout = 500 * MicrosPerMilli;     ///< An unanswered grant request is repeated after this; far above the link's 24 ms.
    Micros contendedLease = 4 * MicrosPerSecond;           ///< Validity of a grant when more than half of a limit is in use.
    Micros relaxedLease = 20 * MicrosPerSecond;            ///< Validity otherwise; keeps the message rate of small accounts low.
    Micros idleRetention = 60 * MicrosPerSecond;           ///< Of the state of idle accounts; new state brings a new initial allowance.
    double newCoordinatorLevel = 0.1;                      ///< Bucket level of a new coordinator, in periods' worth of tokens.
    bool initialAllowance = true;                          ///< False, for tests: nothing runs before the first grant.
};

enum class LimitDecision : std::uint8_t { Allowed, Pending, Refused };

template<>
struct EnumNames<LimitDecision> {
    static constexpr std::array rows{
        EnumName{ LimitDecision::Allowed, "allowed" },
        EnumName{ LimitDecision::Pending, "pending" },
        EnumName{ LimitDecision::Refused, "refused" },
    };
};

struct LimitResult {
    LimitDecision decision = LimitDecision::Refused;
    Micros retryAfter = 0; ///< Set when refused.
};

struct AddressedGrantRequest {
    Incarnation coordinator = 0;
    GrantRequest request;
};

/// The coordinator of \p account among the entry processes \p entries; 0 when there are none. Thread-safe.
[[nodiscard]] Incarnation coordinatorOf(std::string_view account, std::span<const Incarnation> entries);

// 2. AccountLimits --------------------------------------------------------------------------------

/// Spends the allowances of one entry process.
class AccountLimits
{
public:
    explicit AccountLimits(const LimitOptions &options = {});

    /// The live entry processes, this one included. Precondition: not empty.
    void setEntryProcesses(std::vector<Incarnation> entries);

    /// Decides whether a request of \p cost tokens may run. With \p mayWait the result may be Pending: a grant has been requested.
    /// Call again with the same arguments when it arrives. If none arrives within about 100 ms, call with \p mayWait false.
    LimitResult take(std::string_view account, const AccountLimit &limit, double cost, Micros now, bool mayWait = true);

    /// Ends an allowed request and corrects the balance by the difference between its estimated and its true cost.
    void settle(std::string_view account, double cost, double trueCost);

    /// The grant requests that are due, grouped by coordinator.
    std::vector<AddressedGrantRequest> takeGrantRequests(Micros now);

    /// Adds a grant from a coordinator. Grants for unknown accounts are dropped.
    void receive(const Grant &grant, Micros now);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::uint32_t inFlight(std::string_view account) const;

private:
    struct AccountState {
        AccountLimit limit;
        Incarnation coordinator = 0;
        double balance = 0.0;                 ///< Tokens that may be spent; below 0 after costs were underestimated.
        double pendingCost = 0.0;             ///< Cost of the requests that wait for the next grant.
        double requestedTokens = 0.0;         ///< In the last grant request.
        double usageRate = 0.0;               ///< Usage in tokens per second, averaged over some ten seconds.
        Micros rateUpdatedAt = 0;             ///< When `usageRate` was last updated.
        double usedSinceGrantRequest = 0.0;   ///< Tokens.
        std::uint32_t allowedConcurrency = 0; ///< Concurrent requests allowed by the last grant.
        std::uint32_t inFlight = 0;
        std::uint32_t waitingRequests = 0;      ///< Requests that were not allowed since the last grant request.
        std::uint32_t requestedConcurrency = 0; ///< In the last grant request.
        Micros grantExpiresAt = 0;
        Micros exhaustedUntil = 0; ///< The coordinator is expected to have nothing more to grant until then.
        Micros grantRequestedAt = 0;
        Micros nextGrantRequestAt = 0;
        Micros lastUsedAt = 0;
        bool grantRequestInFlight = false;
        bool urgent = false;          ///< A request waits for the next grant.
        bool ranWithoutGrant = false; ///< The one request that may run without a grant has been allowed.
        bool contended = false;       ///< Set by the last grant: other processes may be waiting for what is unused here.
    };

    AccountState &stateOf(std::string_view account, const AccountLimit &limit, Micros now);
    void expireGrant(AccountState &state, Micros now) const;
    [[nodiscard]] bool isGrantRequestDue(const AccountState &state, Micros now) const;
    [[nodiscard]] GrantRequest makeGrantRequest(const std::string &account, AccountState &state, Micros now) const;

    LimitOptions options_;
    std::vector<Incarnation> entries_;
    std::unordered_map<std::string, AccountState> accounts_;
};

// 3. GrantCoordinator -----------------------------------------------------------------------------

/// Grants the allowances of the accounts that this process coordinates.
class GrantCoordinator
{
public:
    explicit GrantCoordinator(const LimitOptions &options = {});

    /// Answers a grant request. An account's tokens and concurrent requests are divided among the requesting processes in
    /// proportion to their demand. Concurrency that a requester still uses is not reclaimed.
    Grant grant(Incarnation requester, const GrantRequest &request, const AccountLimit &limit, Micros now);

    /// Removes a process that has died, together with its grants and the requests that it was running.
    void forget(Incarnation requester);

    /// Concurrent requests granted for \p account to all processes; for tests.
    [[nodiscard]] std::uint32_t grantedConcurrencyOf(const std::string &account) const;

private:
    struct Requester {
        Incarnation incarnation = 0;
        double requestedTokens = 0.0;
        double credit = 0.0; ///< Its share of the tokens that the limit has yielded, minus the tokens granted to it.
        std::uint32_t concurrencyDemand = 0;
        std::uint32_t grantedConcurrency = 0;
        Micros grantsExpireAt = 0; ///< All grants to it have expired by then.
    };

    /// Token bucket of an account, and the processes that draw from it.
    struct AccountPool {
        double level = 0.0; ///< Tokens; below 0 after a grant beyond the level.
        Micros refilledAt = 0;
        std::vector<Requester> requesters;
    };

    void refill(AccountPool &pool, const AccountLimit &limit, Micros now) const;
    [[nodiscard]] double grantTokens(AccountPool &pool, Requester &requester, const AccountLimit &limit) const;
    static void grantConcurrent(const AccountPool &pool, Requester &requester, const AccountLimit &limit);

    LimitOptions options_;
    std::unordered_map<std::string, AccountPool> pools_;
    Micros lastSweepAt_ = 0;
};

} // namespace Carobhall
