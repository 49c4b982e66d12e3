#pragma once

// Which client accounts share cached prompt parts.
//
// An isolated account has a scope of its own; all other accounts share one. The shared scope names the set of isolated accounts, so that
// a configuration that isolates one more account moves the others to parts that this account has never read or made. Every gateway derives
// the same scope from the same configuration, and returns to it with that configuration, also after a restart.
//
//     const CacheScopes scopes({ "clinic" });
//     const std::string salt = cacheSalt(weightsVersion, scopes.scopeOf("guild"));

#include <set>
#include <string>
#include <string_view>

namespace Carobhall
{

/// Immutable, so that its const methods are thread-safe.
class CacheScopes
{
public:
    /// No account is isolated.
    CacheScopes() = default;
    /// \p isolated: names of the isolated accounts.
    explicit CacheScopes(std::set<std::string, std::less<>> isolated);

    /// The scope of requests of the account \p name; an empty name stands for requests without an account. The result is empty while no
    /// account is isolated, and otherwise begins with a character that is not a digit.
    [[nodiscard]] std::string scopeOf(std::string_view name) const;
    /// For a request that arrived under these scopes and is sent again under \p current: an account is isolated if it is in either.
    [[nodiscard]] CacheScopes combinedWith(const CacheScopes &current) const;
    bool operator==(const CacheScopes &) const = default;

private:
    std::set<std::string, std::less<>> isolated_;
    std::string sharedScope_;
};

} // namespace Carobhall
