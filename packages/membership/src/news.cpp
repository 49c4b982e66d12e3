#include "news.h"

namespace Carobhall
{

// NewsQueue ---------------------------------------------------------------------------------------

void NewsQueue::add(const NewsKey &key)
{
    remove(key);
    const Position position{ .transmissions = 0, .age = nextAge_-- };
    positions_.emplace(key, position);
    queue_.emplace(position, key);
}

void NewsQueue::remove(const NewsKey &key)
{
    if (const auto found = positions_.find(key); found != positions_.end()) {
        queue_.erase(found->second);
        positions_.erase(found);
    }
}

void NewsQueue::drain(std::size_t limit, const std::function<bool(const NewsKey &)> &send)
{
    // Entries that were sent go back into the queue only at the end, so each is offered once.
    sent_.clear();
    for (auto entry = queue_.begin(); entry != queue_.end() && send(entry->second);) {
        sent_.emplace_back(entry->second, entry->first);
        entry = queue_.erase(entry);
    }
    for (auto &[key, position] : sent_) {
        if (++position.transmissions < limit) {
            positions_[key] = position;
            queue_.emplace(position, key);
        } else {
            positions_.erase(key);
        }
    }
}

// FactTable ---------------------------------------------------------------------------------------

bool FactTable::merge(const Fact &fact, Micros now)
{
    const NewsKey key{ .kind = fact.kind, .id = fact.key };
    const auto found = rows_.find(key);
    const bool expired = found != rows_.end() && found->second.deadline != 0 && found->second.deadline <= now;
    if (found != rows_.end() && !expired && found->second.fact.value >= fact.value) {
        return false;
    }
    if (found == rows_.end() && rows_.size() >= Capacity) {
        return false;
    }
    rows_[key] = { .fact = fact, .deadline = fact.ttl > 0 ? now + fact.ttl : 0 };
    return true;
}

std::optional<Fact> FactTable::get(const NewsKey &key, Micros now) const
{
    const auto found = rows_.find(key);
    if (found == rows_.end() || (found->second.deadline != 0 && found->second.deadline <= now)) {
        return std::nullopt;
    }
    Fact fact = found->second.fact;
    fact.ttl = found->second.deadline == 0 ? 0 : found->second.deadline - now;
    return fact;
}

std::vector<Fact> FactTable::all(Micros now) const
{
    std::vector<Fact> facts;
    for (const auto &entry : rows_) {
        if (auto fact = get(entry.first, now)) {
            facts.push_back(std::move(*fact));
        }
    }
    return facts;
}

void FactTable::expire(Micros now)
{
    std::erase_if(rows_, [now](const auto &entry) { return entry.second.deadline != 0 && entry.second.deadline <= now; });
}

// ByteBudget --------------------------------------------------------------------------------------

bool ByteBudget::take(std::size_t bytes, Micros now)
{
    const double seconds = static_cast<double>(now - filledAt_) / static_cast<double>(MicrosPerSecond);
    left_ = std::min(burst_, left_ + seconds * rate_);
    filledAt_ = now;
    if (left_ < static_cast<double>(bytes)) {
        return false;
    }
    left_ -= static_cast<double>(bytes);
    return true;
}

} // namespace Carobhall
