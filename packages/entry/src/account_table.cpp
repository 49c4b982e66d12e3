#include "account_table.h"

#include <sodium.h>

namespace Carobhall
{

namespace
{

/// Number of leading hex digits of the digest that are used as hash table key. They reveal nothing about the bearer key, so this
/// look-up does not have to take constant time; the comparison of the whole digest does.
constexpr std::size_t SelectorDigits = 16;

} // namespace

AccountTable::AccountTable(const EnvironmentDocument &document)
    : accounts_(document.accounts)
{
    for (std::size_t i = 0; i < accounts_.size(); ++i) {
        for (const std::string &digest : accounts_[i].keyDigests) {
            keys_.emplace(digest.substr(0, SelectorDigits), Key{ .digest = digest, .account = i });
        }
    }
}

const AccountSpec *AccountTable::authenticate(std::string_view bearerKey) const
{
    const std::string digest = digestOf(bearerKey);
    const AccountSpec *found = nullptr;
    const auto [first, last] = keys_.equal_range(digest.substr(0, SelectorDigits));
    for (auto entry = first; entry != last; ++entry) {
        const Key &key = entry->second;
        if (key.digest.size() == digest.size() && sodium_memcmp(key.digest.data(), digest.data(), digest.size()) == 0) {
            found = &accounts_[key.account];
        }
    }
    return found;
}

} // namespace Carobhall
