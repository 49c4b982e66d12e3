#pragma once

// Enforces account limits across all entry processes: admits requests within this process's allowances, and grants allowances for
// the accounts that this process coordinates.

#include "carobhall/limits.h"
#include "carobhall/runtime.h"

#include <unordered_set>

namespace Carobhall
{

/// The document is held by reference and must outlive the gate.
struct LimitGateOptions {
    Incarnation self = 0; ///< Incarnation of this process.
    DocumentHolder &document;
    std::function<void(Incarnation peer, const Message &message)> send; ///< Sends a message to another entry process.
    std::function<void(const std::string &account)> onGrant;            ///< A grant arrived: pending requests of the account may be retried.
};

/// Not thread-safe.
class LimitGate
{
public:
    explicit LimitGate(LimitGateOptions options);

    /// Sets the live entry processes other than this one.
    void setPeers(const std::vector<Incarnation> &peers);
    /// Asks for permission to run a request of \p cost tokens; see AccountLimits::take().
    LimitResult take(const std::string &account, double cost, Micros now, bool mayWait);
    /// Ends a request that take() allowed, and replaces \p estimatedCost, which take() charged, by \p actualCost; both in tokens.
    void settle(const std::string &account, double estimatedCost, double actualCost);

    /// Answers a grant request of another entry process for an account that this process coordinates.
    void receiveGrantRequest(Incarnation requester, const GrantRequest &request);
    void receiveGrant(const Grant &grant);
    /// Sends the grant requests that are due. Call this every few tens of milliseconds.
    void tick(Micros now);
    /// Number of accounts with limit state in this process.
    [[nodiscard]] std::size_t size() const;

private:
    void readLimits(const EnvironmentDocument &document);
    [[nodiscard]] AccountLimit limitOf(const std::string &account) const;

    LimitGateOptions options_;
    AccountLimits limits_;
    GrantCoordinator coordinator_;
    std::unordered_map<std::string, AccountLimit> limitsByAccount_; ///< Accounts that have a limit.
    std::unordered_set<Incarnation> peers_;
};

} // namespace Carobhall
