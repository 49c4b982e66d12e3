#include "carobhall/prefix_cache_index.h"

#include <xxhash.h>

#include <algorithm>

namespace Carobhall
{

std::string cacheSalt(std::uint64_t weightsVersion, std::string_view isolatedAccount)
{
    std::string salt = std::to_string(weightsVersion);
    if (!isolatedAccount.empty()) {
        salt.append("/").append(isolatedAccount);
    }
    return salt;
}

PartKey partKey(std::string_view salt, std::string_view partId)
{
    return XXH3_64bits_withSeed(partId.data(), partId.size(), XXH3_64bits(salt.data(), salt.size()));
}

PrefixCacheIndex::PrefixCacheIndex(std::size_t maxEntries)
    : maxEntries_(maxEntries)
{
}

void PrefixCacheIndex::add(PartKey part, UpstreamNumber holder, Micros /*now*/)
{
    prefills_.erase(part);
    auto [entry, isNew] = holders_.try_emplace(part);
    if (std::ranges::find(entry->second, holder) == entry->second.end()) {
        entry->second.push_back(holder);
    }
    if (!isNew) {
        return;
    }
    insertionOrder_.push_back(part);
    while (holders_.size() > maxEntries_ && !insertionOrder_.empty()) {
        holders_.erase(insertionOrder_.front());
        insertionOrder_.pop_front();
    }
}

void PrefixCacheIndex::remove(PartKey part, UpstreamNumber holder)
{
    if (const auto found = holders_.find(part); found != holders_.end()) {
        std::erase(found->second, holder);
    }
}

void PrefixCacheIndex::removeHolder(UpstreamNumber holder)
{
    for (auto &[part, holders] : holders_) {
        std::erase(holders, holder);
    }
    std::erase_if(prefills_, [holder](const auto &entry) { return entry.second.upstream == holder; });
    // Keys without a holder are removed only here, because this function visits all entries anyway.
    std::erase_if(holders_, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(insertionOrder_, [this](PartKey part) { return !holders_.contains(part); });
}

bool PrefixCacheIndex::holds(PartKey part, UpstreamNumber holder) const
{
    const auto found = holders_.find(part);
    return found != holders_.end() && std::ranges::find(found->second, holder) != found->second.end();
}

const std::vector<UpstreamNumber> &PrefixCacheIndex::holdersOf(PartKey part) const
{
    static const std::vector<UpstreamNumber> none;
    const auto found = holders_.find(part);
    return found == holders_.end() ? none : found->second;
}

void PrefixCacheIndex::notePrefill(PartKey part, UpstreamNumber upstream, Micros now)
{
    if (prefills_.size() > maxEntries_) {
        std::erase_if(prefills_, [now](const auto &entry) { return now - entry.second.startedAt > PrefillTimeout; });
    }
    Prefill &prefill = prefills_[part];
    if (prefill.startedAt == 0 || now - prefill.startedAt > PrefillTimeout) {
        prefill = { .upstream = upstream, .startedAt = now };
    }
}

std::optional<UpstreamNumber> PrefixCacheIndex::prefillerOf(PartKey part, Micros now) const
{
    const auto found = prefills_.find(part);
    if (found == prefills_.end() || now - found->second.startedAt > PrefillTimeout) {
        return std::nullopt;
    }
    return found->second.upstream;
}

std::size_t PrefixCacheIndex::size() const
{
    return holders_.size();
}

} // namespace Carobhall
