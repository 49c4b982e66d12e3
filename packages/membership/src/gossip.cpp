#include "gossip.h"

namespace Carobhall
{

// GossipQueue ---------------------------------------------------------------------------------------

void GossipQueue::add(const GossipKey &key)
{
    remove(key);
    const Priority priority{ .transmissions = 0, .order = nextOrder_-- };
    priorities_.emplace(key, priority);
    queue_.emplace(priority, key);
}

void GossipQueue::remove(const GossipKey &key)
{
    if (const auto found = priorities_.find(key); found != priorities_.end()) {
        queue_.erase(found->second);
        priorities_.erase(found);
    }
}

void GossipQueue::drain(std::size_t limit, const std::function<bool(const GossipKey &)> &send)
{
    // Sent keys are queued again only after the loop, so that each is offered at most once.
    sent_.clear();
    for (auto entry = queue_.begin(); entry != queue_.end() && send(entry->second);) {
        sent_.emplace_back(entry->second, entry->first);
        entry = queue_.erase(entry);
    }
    for (auto &[key, priority] : sent_) {
        if (++priority.transmissions < limit) {
            priorities_[key] = priority;
            queue_.emplace(priority, key);
        } else {
            priorities_.erase(key);
        }
    }
}

// FactTable ---------------------------------------------------------------------------------------

bool FactTable::merge(const Fact &fact, Micros now)
{
    const GossipKey key{ .kind = fact.kind, .id = fact.key };
    const auto found = entries_.find(key);
    const bool expired = found != entries_.end() && found->second.expiresAt != 0 && found->second.expiresAt <= now;
    if (found != entries_.end() && !expired && found->second.fact.value >= fact.value) {
        return false;
    }
    if (found == entries_.end() && entries_.size() >= Capacity) {
        return false;
    }
    entries_[key] = { .fact = fact, .expiresAt = fact.ttl > 0 ? now + fact.ttl : 0 };
    return true;
}

std::optional<Fact> FactTable::get(const GossipKey &key, Micros now) const
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || (found->second.expiresAt != 0 && found->second.expiresAt <= now)) {
        return std::nullopt;
    }
    Fact fact = found->second.fact;
    fact.ttl = found->second.expiresAt == 0 ? 0 : found->second.expiresAt - now;
    return fact;
}

std::vector<Fact> FactTable::all(Micros now) const
{
    std::vector<Fact> facts;
    for (const auto &entry : entries_) {
        if (auto fact = get(entry.first, now)) {
            facts.push_back(std::move(*fact));
        }
    }
    return facts;
}

void FactTable::removeExpired(Micros now)
{
    std::erase_if(entries_, [now](const auto &entry) { return entry.second.expiresAt != 0 && entry.second.expiresAt <= now; });
}

// ByteTokenBucket --------------------------------------------------------------------------------------

bool ByteTokenBucket::take(std::size_t bytes, Micros now)
{
    const double seconds = static_cast<double>(now - refilledAt_) / static_cast<double>(MicrosPerSecond);
    availableBytes_ = std::min(burstBytes_, availableBytes_ + seconds * bytesPerSecond_);
    refilledAt_ = now;
    if (availableBytes_ < static_cast<double>(bytes)) {
        return false;
    }
    availableBytes_ -= static_cast<double>(bytes);
    return true;
}

} // namespace Carobhall
