#pragma once

// Limits of an account over all entry processes: tokens per second and requests at once, without a message per request.
//
// Each account has a home among the live entry processes, by rendezvous hashing. The home hands out allowances (tokens to
// spend, and a number of requests at once) that expire; every entry process spends its allowance locally and asks for more
// about once per period and account.
//
//     AccountLimits limits({}, selfIncarnation);
//     limits.setEntryProcesses(liveEntryProcesses);                      // from membership, itself included
//     switch (LimitResult answer = limits.take(account, limit, cost, now); answer.decision) {
//     case LimitDecision::Allowed: ...                            // then settle() exactly once
//     case LimitDecision::Pending: ...                            // ask again when a grant arrives, and without mayWait after 100 ms
//     case LimitDecision::Refused: ...                            // 429 with answer.retryAfter
//     }
//     limits.settle(account, cost, trueCost);                     // the request ended; also when it was refused later on
//     for (AddressedGrantRequest &ask : limits.takeGrantRequests(now)) { ... }      // every 20 ms or so; sorted by home, to be sent in one write
//     limits.receive(grant, now);
//
// A negative GrantAsk::wanted returns tokens that the sender does not need. `concurrent` counts running and waiting requests.
//
//     GrantCoordinator home;                                             // in every entry process
//     Grant grant = home.grant(asker, ask, limitOf(ask.account), now);
//     home.forget(asker);                                         // membership declared it dead
//
// Error bounds. L: tokens per second, P: the period, C: requests at once, N: entry processes, m: cost of the largest request.
//   Tokens, over any window W with one home: L W + 4 L P. A full level, one grant beyond it, and what was granted before W
//   and not yet spent, which is at most two periods of recent use.
//   For each change of home or restart of all processes: 1.1 L P from the new home's level, N initial allowances that sum to
//   L P, and L for each second in which two processes both answer as the home.
//   Requests at once: C with one home. After a change of home at most C more, until the requests that ran before have ended.
//   Only while the home does not answer may each entry process run one request without an allowance: N m, N requests.
//   Costs that turn out higher than estimated are paid back out of the following grants.
//
// Not thread-safe. No I/O and no clock.
//
// Index
//   1. Options and answers
//   2. AccountLimits       spends allowances
//   3. GrantCoordinator           hands them out

#include "carobhall/messages.h"

#include <span>
#include <unordered_map>

namespace Carobhall
{

// 1. Options and answers --------------------------------------------------------------------------

/// What the document grants to an account; 0 means no limit.
struct AccountLimit {
    double tokensPerSecond = 0.0;
    std::uint32_t maxConcurrent = 0;
};

struct LimitOptions {
    Micros period = MicrosPerSecond;             ///< Of asks for a contended account, and of what a grant covers.
    Micros leastAskGap = 100 * MicrosPerMilli;   ///< Between two asks for one account, however many requests come.
    Micros askTimeout = 500 * MicrosPerMilli;    ///< An ask without an answer is repeated; far above the link's 24 ms.
    Micros contendedLease = 4 * MicrosPerSecond; ///< Validity of a grant when more than half of a limit is in use.
    Micros relaxedLease = 20 * MicrosPerSecond;  ///< Validity otherwise; it keeps the messages of small accounts rare.
    Micros idleRetention = 60 * MicrosPerSecond; ///< Rows of idle accounts; each new row brings an initial allowance.
    double newHomeLevel = 0.1;                   ///< Periods' worth of tokens that a home without history may hand out at once.
    bool initialAllowance = true;                ///< False, for tests: nothing runs before the first grant.
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
    Micros retryAfter = 0; ///< When refused.
};

struct AddressedGrantRequest {
    Incarnation coordinator = 0;
    GrantAsk request;
};

/// The home of \p account among \p entries; 0 when there are none. Thread-safe.
[[nodiscard]] Incarnation coordinatorOf(std::string_view account, std::span<const Incarnation> entries);

// 2. AccountLimits --------------------------------------------------------------------------------

/// The allowances of one entry process.
class AccountLimits
{
public:
    explicit AccountLimits(const LimitOptions &options = {});

    /// The live entry processes, this one included. Precondition: not empty.
    void setEntryProcesses(std::vector<Incarnation> entries);

    /// Asks to run a request of \p cost tokens. With \p mayWait the answer may be Pending: a grant is on its way. Call again with
    /// the same arguments when one arrives; after about 100 ms without one call with \p mayWait false.
    LimitResult take(std::string_view account, const AccountLimit &limit, double cost, Micros now, bool mayWait = true);

    /// Ends an allowed request; the difference between the estimated and the true cost is settled.
    void settle(std::string_view account, double cost, double trueCost);

    /// The asks that are due, grouped by home.
    std::vector<AddressedGrantRequest> takeGrantRequests(Micros now);

    /// Takes a grant from a home. Grants for unknown accounts are dropped.
    void receive(const Grant &grant, Micros now);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::uint32_t inFlight(std::string_view account) const;

private:
    struct Row {
        AccountLimit limit;
        Incarnation home = 0;
        double balance = 0.0;      ///< Tokens that may be spent; below 0 after costs were underestimated.
        double pending = 0.0;      ///< Cost of the requests that wait for the next grant.
        double wanted = 0.0;       ///< In the last ask.
        double rate = 0.0;         ///< Use in tokens per second, averaged over some ten seconds.
        Micros rateAt = 0;         ///< When `rate` was last updated.
        double used = 0.0;         ///< Since the last ask.
        std::uint32_t allowed = 0; ///< Requests at once, by the last grant.
        std::uint32_t inFlight = 0;
        std::uint32_t waiting = 0; ///< Requests that were not allowed since the last ask.
        std::uint32_t asked = 0;   ///< Requests at once in the last ask.
        Micros grantedUntil = 0;
        Micros deniedUntil = 0; ///< The home has nothing more to give until about then.
        Micros askedAt = 0;
        Micros nextAsk = 0;
        Micros usedAt = 0;
        bool asking = false; ///< An ask is on its way.
        bool urgent = false; ///< A request waits for the answer.
        bool permitUsed = false;
        bool contended = false; ///< By the last grant: others may wait for what is not used here.
    };

    Row &rowOf(std::string_view account, const AccountLimit &limit, Micros now);
    void expire(Row &row, Micros now) const;
    [[nodiscard]] bool due(const Row &row, Micros now) const;
    [[nodiscard]] GrantAsk makeAsk(const std::string &account, Row &row, Micros now) const;

    LimitOptions options_;
    std::vector<Incarnation> entries_;
    std::unordered_map<std::string, Row> rows_;
};

// 3. GrantCoordinator ------------------------------------------------------------------------------------

/// Hands out the allowances of the accounts whose home this process is.
class GrantCoordinator
{
public:
    explicit GrantCoordinator(const LimitOptions &options = {});

    /// Answers an ask. An account's tokens are divided in proportion to what the askers want; requests at once likewise, and
    /// what an asker still runs stays its own.
    Grant grant(Incarnation asker, const GrantAsk &ask, const AccountLimit &limit, Micros now);

    /// The asker is gone, and what it ran with it.
    void forget(Incarnation asker);

    /// Requests at once that are handed out for \p account; for tests.
    [[nodiscard]] std::uint32_t heldOf(const std::string &account) const;

private:
    struct Asker {
        Incarnation incarnation = 0;
        double wanted = 0.0;
        double credit = 0.0; ///< Its part of what the account's limit has yielded, minus what it got.
        std::uint32_t demand = 0;
        std::uint32_t held = 0; ///< Requests at once that it may run.
        Micros until = 0;       ///< Its grants have expired by then.
    };

    struct Row {
        double level = 0.0;
        Micros refilledAt = 0;
        std::vector<Asker> askers;
    };

    void refill(Row &row, const AccountLimit &limit, Micros now) const;
    [[nodiscard]] double grantTokens(Row &row, Asker &asker, const AccountLimit &limit) const;
    static void grantConcurrent(const Row &row, Asker &asker, const AccountLimit &limit);

    LimitOptions options_;
    std::unordered_map<std::string, Row> rows_;
    Micros sweptAt_ = 0;
};

} // namespace Carobhall
