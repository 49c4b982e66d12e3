#pragma once

// Client accounts by the digest of their bearer keys.

#include "carobhall/document.h"

#include <unordered_map>

namespace Carobhall
{

class AccountTable
{
public:
    explicit AccountTable(const EnvironmentDocument &document);

    /// The account whose key \p bearerKey is, or null. The pointer is valid as long as the table.
    [[nodiscard]] const AccountSpec *authenticate(std::string_view bearerKey) const;

private:
    struct Key {
        std::string digest;
        std::size_t account = 0; ///< Index into accounts_.
    };

    std::vector<AccountSpec> accounts_;
    std::unordered_multimap<std::string, Key> keys_; ///< By the start of the digest.
};

} // namespace Carobhall
