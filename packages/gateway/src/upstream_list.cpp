#include "carobhall/upstream_table.h"

#include "carobhall/poison_request_detector.h"

#include <algorithm>

// The entries of the platform's list.

namespace Carobhall
{

namespace
{

std::string_view ipOf(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

void UpstreamTable::update(UpstreamRecord record, Micros now)
{
    UpstreamRef &entry = byId_[record.id];
    if (entry && record.mayBeCopied && record.startedAtMs < entry->record.startedAtMs) {
        // The copy shows an earlier process of the id. The one that is known writes its entry again if it lives.
        entry->earlierListed = true;
        return;
    }
    const bool restarted = entry && entry->record.startedAtMs != record.startedAtMs;
    if (!entry || restarted || entry->record.address != record.address) {
        // This is another process: the state of the previous one does not apply.
        if (entry) {
            cacheIndex_.removeHolder(entry->number);
            removeFromIpIndex(entry);
            // A copy may show it again after the entry of the newer process has been removed.
            if (restarted && entry->record.startedAtMs != 0) {
                availability_.noteUnlisted(entry->process, now);
            }
        }
        entry = std::make_shared<Upstream>();
        entry->number = static_cast<UpstreamNumber>(byNumber_.size());
        entry->process = upstreamIncarnation(record.id, record.startedAtMs);
        byNumber_.push_back(entry);
        byIp_[std::string(ipOf(record.address))].push_back(entry);
    }
    entry->record = std::move(record);
    // Without a start time the next process of the id cannot be told from this one.
    if (entry->record.startedAtMs != 0) {
        if (entry->record.draining) {
            availability_.noteLeaving(entry->process, now);
        }
        availability_.noteListed(entry->process, entry->record.sequence, entry->record.mayBeCopied);
    }
    entry->present = true;
    entry->earlierListed = false;
    entry->removedAt = 0;
    ++revision_;
    for (const UpstreamRef &other : byIp_.find(ipOf(entry->record.address))->second) {
        if (other == entry || other->record.address != entry->record.address) {
            continue;
        }
        if (other->record.startedAtMs < entry->record.startedAtMs) {
            other->replaced = true;
        } else if ((other->present || entry->record.mayBeCopied) && other->record.startedAtMs > entry->record.startedAtMs) {
            entry->replaced = true;
        }
    }
}

void UpstreamTable::noteUnchanged(const UpstreamRecord &record)
{
    if (const auto found = byId_.find(record.id); found != byId_.end() && found->second->record.startedAtMs == record.startedAtMs) {
        availability_.noteListed(found->second->process, record.sequence, false);
    }
}

UpstreamRef UpstreamTable::crashedProcess(std::string_view id, std::optional<std::int64_t> startedAtMs) const
{
    const auto found = byId_.find(id);
    if (found == byId_.end() || isShuttingDown(*found->second)) {
        return {};
    }
    const Upstream &known = *found->second;
    const bool isGone = startedAtMs ? *startedAtMs > known.record.startedAtMs : known.record.startedAtMs != 0 && !known.earlierListed;
    return isGone ? found->second : nullptr;
}

void UpstreamTable::noteReplaced(Upstream &upstream)
{
    upstream.replaced = true;
}

void UpstreamTable::remove(std::string_view id, Micros now)
{
    if (const auto found = byId_.find(id); found != byId_.end() && found->second->present) {
        found->second->present = false;
        found->second->removedAt = now;
        if (found->second->record.startedAtMs != 0) {
            availability_.noteUnlisted(found->second->process, now);
        }
        ++revision_;
    }
    for (auto it = byId_.begin(); it != byId_.end();) {
        const Upstream &upstream = *it->second;
        if (!upstream.present && upstream.inFlight == 0 && now - upstream.removedAt > 10 * RemovalGracePeriod) {
            cacheIndex_.removeHolder(upstream.number);
            byNumber_[upstream.number] = nullptr;
            removeFromIpIndex(it->second);
            it = byId_.erase(it);
        } else {
            ++it;
        }
    }
}

void UpstreamTable::removeFromIpIndex(const UpstreamRef &upstream)
{
    const auto found = byIp_.find(ipOf(upstream->record.address));
    if (found == byIp_.end()) {
        return;
    }
    std::erase(found->second, upstream);
    if (found->second.empty()) {
        byIp_.erase(found);
    }
}

} // namespace Carobhall
