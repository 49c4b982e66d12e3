#pragma once

// Accounts' limits over all entry processes: what this process may let in, and the allowances it hands out as a home.

#include "carobhall/limits.h"
#include "carobhall/runtime.h"

#include <unordered_set>

namespace Carobhall
{

/// The document is used by reference and must outlive the gate.
struct LimitGateOptions {
    Incarnation self = 0;
    DocumentHolder &document;
    std::function<void(Incarnation peer, const Message &message)> send;
    std::function<void(const std::string &account)> onGrant; ///< Requests of the account that wait may be tried again.
};

/// Not thread-safe.
class LimitGate
{
public:
    explicit LimitGate(LimitGateOptions options);

    /// The live entry processes without this one.
    void setPeers(const std::vector<Incarnation> &peers);
    /// Asks to run a request of \p cost tokens; see AccountLimits::take().
    LimitResult take(const std::string &account, double cost, Micros now, bool mayWait);
    /// Ends a request that take() allowed.
    void settle(const std::string &account, double cost, double trueCost);

    void asked(Incarnation asker, const GrantRequest &ask);
    void granted(const Grant &grant);
    /// Sends the asks that are due. Call it every few tens of milliseconds.
    void tick(Micros now);
    [[nodiscard]] std::size_t size() const;

private:
    void readLimits(const EnvironmentDocument &document);
    [[nodiscard]] AccountLimit limitOf(const std::string &account) const;

    LimitGateOptions options_;
    AccountLimits limits_;
    GrantCoordinator home_;
    std::unordered_map<std::string, AccountLimit> byAccount_; ///< Accounts that have a limit.
    std::unordered_set<Incarnation> peers_;
};

} // namespace Carobhall
