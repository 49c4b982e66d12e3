#include "attempt_table.h"

namespace Carobhall
{

namespace
{

/// Entry processes repeat a Submit only within seconds after a lost connection.
constexpr Micros TombstonePeriod = 60 * MicrosPerSecond;

} // namespace

Attempt &AttemptTable::add(std::unique_ptr<Attempt> attempt)
{
    const AttemptId id = attempt->id;
    return *attempts_.emplace(id, std::move(attempt)).first->second;
}

Attempt *AttemptTable::find(const AttemptId &id)
{
    const auto entry = attempts_.find(id);
    return entry == attempts_.end() ? nullptr : entry->second.get();
}

void AttemptTable::remove(const AttemptId &id, Verdict verdict, Micros now)
{
    attempts_.erase(id);
    if (tombstones_.try_emplace(id, Tombstone{ .verdict = verdict, .createdAt = now }).second) {
        tombstoneOrder_.emplace_back(now, id);
    }
}

std::optional<Verdict> AttemptTable::tombstoneVerdict(const AttemptId &id) const
{
    const auto entry = tombstones_.find(id);
    if (entry == tombstones_.end()) {
        return std::nullopt;
    }
    return entry->second.verdict;
}

void AttemptTable::expireTombstones(Micros now)
{
    while (!tombstoneOrder_.empty() && tombstoneOrder_.front().first + TombstonePeriod < now) {
        tombstones_.erase(tombstoneOrder_.front().second);
        tombstoneOrder_.pop_front();
    }
}

std::size_t AttemptTable::size() const
{
    return attempts_.size();
}

std::size_t AttemptTable::tombstoneCount() const
{
    return tombstones_.size();
}

} // namespace Carobhall
