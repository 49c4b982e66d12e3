#include "attempt_queue.h"

namespace Carobhall
{

namespace
{

/// Initial estimate for plain services: a call takes 100 ms. Used until the first calls have ended.
constexpr double InitialPlainCallsPerSlotSecond = 10.0;
/// Running work cannot be preempted. Model servers therefore reserve one in this many slots, but at least one slot, for paying
/// work while any is present. One sixteenth lets 99% of paying work meet its target (docs/load.md, section 1.2).
constexpr std::uint32_t SlotsPerReservedSlot = 16;
/// Smaller servers reserve no slot, because they would lose too much of their capacity.
constexpr std::uint32_t MinSlotsForReservation = 8;

AdmissionOptions admissionOptions(const EnvironmentDocument &document, const UpstreamRole &role)
{
    AdmissionOptions options{ .slots = std::max<std::uint32_t>(role.slots, 1), .ranks = document.ranks };
    if (!role.isModel) {
        options.tokensPerSlotSecond = InitialPlainCallsPerSlotSecond;
    } else if (role.slots >= MinSlotsForReservation) {
        options.reservedSlots = std::max(role.slots / SlotsPerReservedSlot, 1U);
    }
    return options;
}

} // namespace

AttemptQueue::AttemptQueue(const EnvironmentDocument &document, const UpstreamRole &role, std::uint64_t seed)
    : seed_(seed)
{
    configure(document, role);
}

void AttemptQueue::configure(const EnvironmentDocument &document, const UpstreamRole &role)
{
    if (admission_ == nullptr || admission_->totals().offered == 0) {
        // Recreated, because only the first document that contains the upstream tells whether it is a model server.
        admission_ = std::make_unique<Admission<FairOrder>>(admissionOptions(document, role), seed_);
    } else {
        admission_->configure(std::max<std::uint32_t>(role.slots, 1), document.ranks);
    }
    shares_.clear();
    for (const AccountSpec &account : document.accounts) {
        shares_[account.name] = account.share;
    }
}

std::optional<QueueRefusal> AttemptQueue::push(const QueueItem &item, Micros now)
{
    const auto share = shares_.find(std::string(item.account));
    const Work work{
        .account = item.account,
        .rank = item.rank,
        .share = share == shares_.end() ? 1.0 : share->second,
        .cost = std::max(item.cost, 1.0),
        .deadline = item.startBy,
        .exclusive = item.exclusive,
    };
    const AdmissionResult admitted = admission_->offer(work, now);
    if (!admitted) {
        return QueueRefusal{ .error = admitted.error, .retryAfter = admitted.retryAfter };
    }
    tickets_[item.id] = admitted.ticket;
    ids_[admitted.ticket] = item.id;
    return std::nullopt;
}

std::optional<AttemptId> AttemptQueue::startNext(Micros now)
{
    const Ticket ticket = admission_->startNext(now);
    if (ticket == 0) {
        return std::nullopt;
    }
    return ids_.at(ticket);
}

std::optional<AttemptId> AttemptQueue::takeExpired(Micros now)
{
    const Ticket ticket = admission_->takeExpired(now);
    return ticket == 0 ? std::nullopt : removeTicket(ticket);
}

std::optional<AttemptId> AttemptQueue::removeTicket(Ticket ticket)
{
    const auto entry = ids_.find(ticket);
    if (entry == ids_.end()) {
        return std::nullopt;
    }
    const AttemptId id = entry->second;
    ids_.erase(entry);
    tickets_.erase(id);
    return id;
}

bool AttemptQueue::cancel(const AttemptId &id)
{
    const auto entry = tickets_.find(id);
    if (entry == tickets_.end() || !admission_->cancel(entry->second)) {
        return false;
    }
    removeTicket(entry->second);
    return true;
}

void AttemptQueue::correctCost(const AttemptId &id, double cost)
{
    if (const auto entry = tickets_.find(id); entry != tickets_.end()) {
        admission_->correctCost(entry->second, std::max(cost, 1.0));
    }
}

void AttemptQueue::finish(const AttemptId &id, double actualCost, Micros now)
{
    if (const auto entry = tickets_.find(id); entry != tickets_.end()) {
        const Ticket ticket = entry->second;
        admission_->finish(ticket, std::max(actualCost, 1.0), now);
        removeTicket(ticket);
    }
}

Micros AttemptQueue::expectedWait(Rank rank, std::string_view account, Micros now)
{
    return admission_->expectedWait(rank, account, now);
}

std::uint32_t AttemptQueue::queued() const
{
    return admission_->queued(Rank::Paying) + admission_->queued(Rank::Free);
}

std::uint32_t AttemptQueue::running() const
{
    return admission_->running();
}

std::string AttemptQueue::violation() const
{
    return admission_->violation();
}

} // namespace Carobhall
