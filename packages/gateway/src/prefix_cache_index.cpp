#include "carobhall/prefix_cache_index.h"

#include <xxhash.h>

#include <algorithm>

namespace Carobhall
{

namespace
{

/// Removed keys that may stay in the order of insertion of a small index.
constexpr std::size_t CompactionSlack = 1'000;

} // namespace

std::string cacheSalt(std::uint64_t weightsVersion, std::string_view scope)
{
    return std::to_string(weightsVersion).append(scope);
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
    if (partsOf_[holder].insert(part).second) {
        entry->second.push_back(holder);
    }
    if (!isNew) {
        return;
    }
    insertionOrder_.push_back(part);
    while (holders_.size() > maxEntries_ && !insertionOrder_.empty()) {
        const PartKey oldest = insertionOrder_.front();
        insertionOrder_.pop_front();
        erase(oldest);
    }
    compactOrder();
}

void PrefixCacheIndex::remove(PartKey part, UpstreamNumber holder)
{
    const auto parts = partsOf_.find(holder);
    if (parts == partsOf_.end() || parts->second.erase(part) == 0) {
        return;
    }
    if (const auto found = holders_.find(part); found != holders_.end()) {
        std::erase(found->second, holder);
    }
}

void PrefixCacheIndex::removeHolder(UpstreamNumber holder)
{
    std::erase_if(prefills_, [holder](const auto &entry) { return entry.second.upstream == holder; });
    const auto parts = partsOf_.extract(holder);
    if (parts.empty()) {
        return;
    }
    for (const PartKey part : parts.mapped()) {
        if (const auto found = holders_.find(part); found != holders_.end()) {
            std::erase(found->second, holder);
            if (found->second.empty()) {
                holders_.erase(found);
            }
        }
    }
}

void PrefixCacheIndex::erase(PartKey part)
{
    const auto found = holders_.find(part);
    if (found == holders_.end()) {
        return;
    }
    for (const UpstreamNumber holder : found->second) {
        partsOf_[holder].erase(part);
    }
    holders_.erase(found);
}

void PrefixCacheIndex::compactOrder()
{
    if (insertionOrder_.size() <= 2 * holders_.size() + CompactionSlack) {
        return;
    }
    std::unordered_set<PartKey> seen;
    std::erase_if(insertionOrder_, [&](PartKey part) { return !holders_.contains(part) || !seen.insert(part).second; });
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
