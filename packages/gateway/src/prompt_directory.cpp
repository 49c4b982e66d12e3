#include "carobhall/prompt_directory.h"

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

PromptDirectory::PromptDirectory(std::size_t maxEntries)
    : maxEntries_(maxEntries)
{
}

void PromptDirectory::add(PartKey part, UpstreamNumber holder, Micros /*now*/)
{
    readings_.erase(part);
    auto [entry, isNew] = holders_.try_emplace(part);
    if (std::ranges::find(entry->second, holder) == entry->second.end()) {
        entry->second.push_back(holder);
    }
    if (!isNew) {
        return;
    }
    order_.push_back(part);
    while (holders_.size() > maxEntries_ && !order_.empty()) {
        holders_.erase(order_.front());
        order_.pop_front();
    }
}

void PromptDirectory::remove(PartKey part, UpstreamNumber holder)
{
    if (const auto found = holders_.find(part); found != holders_.end()) {
        std::erase(found->second, holder);
    }
}

void PromptDirectory::removeHolder(UpstreamNumber holder)
{
    for (auto &[part, holders] : holders_) {
        std::erase(holders, holder);
    }
    std::erase_if(readings_, [holder](const auto &entry) { return entry.second.reader == holder; });
    // Keys without a holder are dropped here, the one place that visits all of them.
    std::erase_if(holders_, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(order_, [this](PartKey part) { return !holders_.contains(part); });
}

bool PromptDirectory::holds(PartKey part, UpstreamNumber holder) const
{
    const auto found = holders_.find(part);
    return found != holders_.end() && std::ranges::find(found->second, holder) != found->second.end();
}

const std::vector<UpstreamNumber> &PromptDirectory::holdersOf(PartKey part) const
{
    static const std::vector<UpstreamNumber> none;
    const auto found = holders_.find(part);
    return found == holders_.end() ? none : found->second;
}

void PromptDirectory::noteReading(PartKey part, UpstreamNumber reader, Micros now)
{
    if (readings_.size() > maxEntries_) {
        std::erase_if(readings_, [now](const auto &entry) { return now - entry.second.since > ReadingLifetime; });
    }
    Reading &reading = readings_[part];
    if (reading.since == 0 || now - reading.since > ReadingLifetime) {
        reading = { .reader = reader, .since = now };
    }
}

std::optional<UpstreamNumber> PromptDirectory::readerOf(PartKey part, Micros now) const
{
    const auto found = readings_.find(part);
    if (found == readings_.end() || now - found->second.since > ReadingLifetime) {
        return std::nullopt;
    }
    return found->second.reader;
}

std::size_t PromptDirectory::size() const
{
    return holders_.size();
}

} // namespace Carobhall
