#include "carobhall/cache_scopes.h"

#include "carobhall/base.h"

#include <xxhash.h>

#include <utility>

namespace Carobhall
{

namespace
{

// The first characters of scopes. They differ, so that the name of an isolated account cannot equal a shared scope.
constexpr char IsolatedMark = '/';
constexpr char SharedMark = '+';

} // namespace

CacheScopes::CacheScopes(std::set<std::string, std::less<>> isolated)
    : isolated_(std::move(isolated))
{
    if (isolated_.empty()) {
        return;
    }
    std::string names;
    for (const std::string &name : isolated_) {
        // The length keeps different sets of names from having the same text.
        names.append(std::to_string(name.size())).append(":").append(name);
    }
    sharedScope_ = SharedMark + toHex(XXH3_64bits(names.data(), names.size()));
}

std::string CacheScopes::scopeOf(std::string_view name) const
{
    return isolated_.contains(name) ? std::string(1, IsolatedMark).append(name) : sharedScope_;
}

CacheScopes CacheScopes::combinedWith(const CacheScopes &current) const
{
    std::set<std::string, std::less<>> isolated = isolated_;
    isolated.insert(current.isolated_.begin(), current.isolated_.end());
    return CacheScopes(std::move(isolated));
}

} // namespace Carobhall
