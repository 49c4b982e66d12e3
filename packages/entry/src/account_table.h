#pragma once

// Authenticates client accounts by the digests of their bearer keys.

#include "carobhall/document.h"

#include <unordered_map>

namespace Carobhall
{

class AccountTable
{
public:
    explicit AccountTable(const EnvironmentDocument &document);

    /// Returns the account that owns \p bearerKey, or null. The pointer is valid for the lifetime of the table.
    [[nodiscard]] const AccountSpec *authenticate(std::string_view bearerKey) const;

private:
    struct Key {
        std::string digest;
        std::size_t account = 0; ///< Index into accounts_.
    };

    std::vector<AccountSpec> accounts_;
    std::unordered_multimap<std::string, Key> keys_; ///< Keyed by the first digits of the digest.
};

} // namespace Carobhall
