// Admission queue of an upstream.
//
// Index
//   1. Items, flows and tickets
//   2. Offers, wait estimates and refusals
//   3. Starting and ending work
//   4. Heap of deadlines

#include "carobhall/admission.h"

#include <algorithm>
#include <cmath>

namespace Carobhall
{

namespace
{

// Number of placeholder flows at the start of WorkTable::flows, one for each rank. They stand for accounts that have no flow yet.
constexpr std::uint32_t UnknownAccountFlows = RankCount;

// Decay per finished item of the learned throughput and mean cost. About the last 50 finished items count.
constexpr double LearningDecay = 0.98;

// Time constant of the paying rank's demand. Long enough to bridge the gaps between single requests, short enough to detect the end of
// a surge within the 5 s that recovery may take.
constexpr double DemandTimeConstantSeconds = 2.0;

// Below this fraction of the upstream's throughput the paying rank counts as absent, and no slot is reserved for it.
constexpr double MinPayingLoad = 0.001;

// Limit of the free rank's debt, in seconds of its floor: for this long paying work may go first after free work ran beyond its floor.
// Equal to the 5 s that recovery may take.
constexpr double MaxFloorDebtSeconds = 5.0;

// Size of the burst of an account that has used less than its share, in requests of mean cost.
constexpr double BurstItems = 4.0;

// Each started or expired item moves the wait factor of its flow by this fraction of the difference to the observed ratio. The factor
// rises faster than it falls, because expiry in the queue is worse for the caller than an early refusal.
constexpr double WaitFactorRise = 0.2;
constexpr double WaitFactorFall = 0.05;
constexpr double MinWaitFactor = 0.25;
constexpr double MaxWaitFactor = 4.0;

constexpr unsigned GenerationShift = 32;

// Retry-After is drawn between 1 and 1.5 times the computed time, so that callers refused together do not return together.
constexpr double MaxRetrySpread = 1.5;

std::size_t indexOf(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

Micros toMicros(double seconds)
{
    return static_cast<Micros>(seconds * static_cast<double>(MicrosPerSecond));
}

double toSeconds(Micros time)
{
    return static_cast<double>(time) / static_cast<double>(MicrosPerSecond);
}

} // namespace

// 1. Items, flows and tickets ---------------------------------------------------------------------

template<WorkOrder Order>
Admission<Order>::Admission(const AdmissionOptions &options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{
    table_.ranks = options.ranks;
    table_.slots = options.slots;
    table_.flows.resize(UnknownAccountFlows);
    for (std::size_t rank = 0; rank < RankCount; ++rank) {
        table_.flows[rank].rank = static_cast<Rank>(rank);
    }
}

template<WorkOrder Order>
std::uint32_t Admission<Order>::flowOf(const Work &work)
{
    FlowNames &names = flowNames_[indexOf(work.rank)];
    auto found = names.find(work.account);
    if (found == names.end()) {
        const auto flowIndex = static_cast<std::uint32_t>(table_.flows.size());
        table_.flows.emplace_back().rank = work.rank;
        found = names.emplace(work.account, flowIndex).first;
    }
    table_.flows[found->second].share = work.share;
    return found->second;
}

template<WorkOrder Order>
std::uint32_t Admission<Order>::allocateItem()
{
    if (firstUnusedItem_ == NoIndex) {
        table_.items.emplace_back();
        return static_cast<std::uint32_t>(table_.items.size() - 1);
    }
    const std::uint32_t itemIndex = firstUnusedItem_;
    firstUnusedItem_ = table_.items[itemIndex].next;
    table_.items[itemIndex].next = NoIndex;
    return itemIndex;
}

template<WorkOrder Order>
void Admission<Order>::releaseItem(std::uint32_t itemIndex)
{
    const std::uint32_t generation = table_.items[itemIndex].generation + 1;
    table_.items[itemIndex] = { .generation = generation, .next = firstUnusedItem_ };
    firstUnusedItem_ = itemIndex;
}

template<WorkOrder Order>
Ticket Admission<Order>::ticketOf(std::uint32_t itemIndex) const
{
    return (static_cast<Ticket>(table_.items[itemIndex].generation) << GenerationShift) | (itemIndex + 1U);
}

template<WorkOrder Order>
std::uint32_t Admission<Order>::find(Ticket ticket) const
{
    const auto itemIndex = static_cast<std::uint32_t>(ticket) - 1U;
    if (ticket == 0 || itemIndex >= table_.items.size() || table_.items[itemIndex].state == WorkItem::State::Unused) {
        return NoIndex;
    }
    return table_.items[itemIndex].generation == ticket >> GenerationShift ? itemIndex : NoIndex;
}

// 2. Offers, wait estimates and refusals ----------------------------------------------------------

template<WorkOrder Order>
double Admission<Order>::tokensPerSecond() const
{
    const double perSlot = slotSeconds_ > 0.0 ? slotTokens_ / slotSeconds_ : options_.tokensPerSlotSecond;
    return perSlot * options_.slots;
}

template<WorkOrder Order>
void Admission<Order>::updateDemand(double payingCost, Micros now)
{
    recentPayingTokens_ = recentPayingTokens_ * std::exp(-toSeconds(now - demandUpdatedAt_) / DemandTimeConstantSeconds) + payingCost;
    demandUpdatedAt_ = now;
    table_.payingLoad = recentPayingTokens_ / DemandTimeConstantSeconds / tokensPerSecond();
    table_.maxFloorDebt = MaxFloorDebtSeconds * table_.ranks[indexOf(Rank::Free)].floor * tokensPerSecond();
    table_.burstTokens = BurstItems * meanItemCost_;
}

template<WorkOrder Order>
Micros Admission<Order>::estimateWait(std::uint32_t flowIndex) const
{
    const bool isFree = table_.flows[flowIndex].rank == Rank::Free;
    const std::uint32_t unavailable = isFree ? reservedSlots() + table_.queuedItems[indexOf(Rank::Free)] : 0;
    if (exclusiveItem_ == NoIndex && running() + table_.queuedItems[indexOf(Rank::Paying)] + unavailable < options_.slots) {
        return 0;
    }
    // On average the next slot becomes free after the duration of an item divided by the number of slots. While an exclusive item runs
    // or is next, the whole duration of an item has to pass.
    const double untilFree = meanItemCost_ * (exclusiveItem_ == NoIndex ? 1.0 : options_.slots);
    return toMicros((order_.tokensAhead(table_, flowIndex) + untilFree) / tokensPerSecond());
}

template<WorkOrder Order>
Micros Admission<Order>::correctedWait(std::uint32_t flowIndex, Micros estimatedWait) const
{
    return static_cast<Micros>(static_cast<double>(estimatedWait) * table_.flows[flowIndex].waitFactor);
}

template<WorkOrder Order>
Micros Admission<Order>::expectedWait(Rank rank, std::string_view account, Micros now)
{
    updateDemand(0.0, now);
    const FlowNames &names = flowNames_[indexOf(rank)];
    const auto found = names.find(account);
    const std::uint32_t flowIndex = found == names.end() ? static_cast<std::uint32_t>(rank) : found->second;
    return correctedWait(flowIndex, estimateWait(flowIndex));
}

template<WorkOrder Order>
AdmissionResult Admission<Order>::offer(const Work &work, Micros now)
{
    ++totals_.offered;
    updateDemand(work.rank == Rank::Paying ? work.cost : 0.0, now);
    if (meanItemCost_ == 0.0) {
        meanItemCost_ = work.cost;
    }
    const Micros latest = now + options_.maxWait;
    const Micros deadline = work.deadline > 0 ? std::min(work.deadline, latest) : latest;
    const std::uint32_t flowIndex = flowOf(work);
    const Micros estimatedWait = estimateWait(flowIndex);
    if (const Micros wait = correctedWait(flowIndex, estimatedWait); deadline <= now || (options_.refuseEarly && wait > deadline - now)) {
        return refuse(work, wait, now);
    }
    const std::uint32_t itemIndex = allocateItem();
    WorkItem &item = table_.items[itemIndex];
    item.flowIndex = flowIndex;
    item.state = WorkItem::State::Queued;
    item.exclusive = work.exclusive;
    item.cost = work.cost;
    item.deadline = deadline;
    item.offeredAt = now;
    item.estimatedWait = estimatedWait;
    order_.push(table_, itemIndex);
    table_.flows[flowIndex].queuedCost += work.cost;
    table_.queuedCost[indexOf(work.rank)] += work.cost;
    ++table_.queuedItems[indexOf(work.rank)];
    deadlines_.push_back(itemIndex);
    siftDeadline(static_cast<std::uint32_t>(deadlines_.size() - 1));
    return { .ticket = ticketOf(itemIndex) };
}

template<WorkOrder Order>
AdmissionResult Admission<Order>::refuse(const Work &work, Micros wait, Micros now)
{
    ++totals_.refused;
    // Each refusal books the service time of its work, so that refused callers return one after the other.
    const double share = work.rank == Rank::Paying ? 1.0 : std::max(table_.ranks[indexOf(work.rank)].floor, 1.0 - table_.payingLoad);
    const double serviceSeconds = work.cost / (tokensPerSecond() * std::max(share, 1.0 / static_cast<double>(options_.slots)));
    Micros &booked = retryBookedUntil_[indexOf(work.rank)];
    booked = std::min(std::max(booked, now) + toMicros(serviceSeconds), now + options_.maxRetryAfter);
    const Micros excessWait = work.deadline > 0 ? wait - (work.deadline - now) : wait - options_.maxWait;
    const Micros base = std::clamp(std::max(excessWait, booked - now), options_.minRetryAfter, options_.maxRetryAfter);
    std::uniform_real_distribution<double> spread(1.0, MaxRetrySpread);
    const bool hasDeadline = work.deadline > 0;
    return { .error = hasDeadline ? Errc::DeadlineUnreachable : Errc::Overloaded,
             .retryAfter = static_cast<Micros>(static_cast<double>(base) * spread(random_)) };
}

// 3. Starting and ending work ---------------------------------------------------------------------

template<WorkOrder Order>
void Admission<Order>::dequeue(std::uint32_t itemIndex)
{
    const WorkItem &item = table_.items[itemIndex];
    WorkFlow &flow = table_.flows[item.flowIndex];
    const std::size_t rank = indexOf(flow.rank);
    --table_.queuedItems[rank];
    flow.queuedCost -= item.cost;
    table_.queuedCost[rank] -= item.cost;
    // Floating-point sums drift. Resets them when the queue of the rank is empty.
    if (table_.queuedItems[rank] == 0) {
        table_.queuedCost[rank] = 0.0;
        flow.queuedCost = 0.0;
    }
    removeDeadline(itemIndex);
}

template<WorkOrder Order>
void Admission<Order>::notifyIfIdle(Rank rank)
{
    if (table_.queuedItems[indexOf(rank)] + table_.runningItems[indexOf(rank)] == 0) {
        order_.onIdle(rank);
    }
}

template<WorkOrder Order>
void Admission<Order>::updateWaitFactor(std::uint32_t itemIndex, Micros now)
{
    const WorkItem &item = table_.items[itemIndex];
    if (item.estimatedWait == 0) {
        return;
    }
    // The factor corrects for work of other accounts that arrives after the estimate but starts earlier.
    double &factor = table_.flows[item.flowIndex].waitFactor;
    const double ratio = static_cast<double>(now - item.offeredAt) / static_cast<double>(item.estimatedWait);
    const double difference = std::clamp(ratio, MinWaitFactor, MaxWaitFactor) - factor;
    factor += difference * (difference > 0.0 ? WaitFactorRise : WaitFactorFall);
}

template<WorkOrder Order>
void Admission<Order>::startItem(std::uint32_t itemIndex, Micros now)
{
    dequeue(itemIndex);
    order_.start(table_, itemIndex);
    updateWaitFactor(itemIndex, now);
    WorkItem &item = table_.items[itemIndex];
    item.state = WorkItem::State::Running;
    item.startedAt = now;
    ++table_.runningItems[indexOf(table_.flows[item.flowIndex].rank)];
}

template<WorkOrder Order>
std::uint32_t Admission<Order>::reservedSlots() const
{
    if (table_.payingLoad < MinPayingLoad) {
        return 0;
    }
    const double slotsAboveFloor = (1.0 - table_.ranks[indexOf(Rank::Free)].floor) * options_.slots;
    return std::min({ options_.reservedSlots, options_.slots - 1, static_cast<std::uint32_t>(slotsAboveFloor) });
}

template<WorkOrder Order>
bool Admission<Order>::blockedByReserve(std::uint32_t itemIndex) const
{
    const bool isFree = table_.flows[table_.items[itemIndex].flowIndex].rank == Rank::Free;
    // If paying work waits, the order policy has selected free work because of its floor; the reserve does not apply then.
    return isFree && table_.queuedItems[indexOf(Rank::Paying)] == 0 && running() > 0 && running() + reservedSlots() >= options_.slots;
}

template<WorkOrder Order>
Ticket Admission<Order>::startNext(Micros now)
{
    if (exclusiveItem_ == NoIndex) {
        const std::uint32_t next = order_.front(table_);
        if (next == NoIndex || running() >= options_.slots || table_.items[next].deadline < now) {
            return 0;
        }
        if (blockedByReserve(next)) {
            return 0;
        }
        if (!table_.items[next].exclusive) {
            startItem(next, now);
            return ticketOf(next);
        }
        // From now on nothing else starts, because otherwise a busy upstream would never become idle.
        exclusiveItem_ = next;
    }
    const WorkItem &item = table_.items[exclusiveItem_];
    if (item.state == WorkItem::State::Running || running() > 0 || item.deadline < now) {
        return 0;
    }
    startItem(exclusiveItem_, now);
    return ticketOf(exclusiveItem_);
}

template<WorkOrder Order>
Ticket Admission<Order>::takeExpired(Micros now)
{
    if (deadlines_.empty() || table_.items[deadlines_.front()].deadline >= now) {
        return 0;
    }
    const Ticket ticket = ticketOf(deadlines_.front());
    updateWaitFactor(deadlines_.front(), now);
    removeQueued(deadlines_.front());
    ++totals_.expired;
    return ticket;
}

template<WorkOrder Order>
void Admission<Order>::correctCost(Ticket ticket, double cost)
{
    const std::uint32_t itemIndex = find(ticket);
    if (itemIndex == NoIndex) {
        return;
    }
    WorkItem &item = table_.items[itemIndex];
    const double difference = cost - item.cost;
    item.cost = cost;
    if (item.state == WorkItem::State::Queued) {
        WorkFlow &flow = table_.flows[item.flowIndex];
        flow.queuedCost += difference;
        table_.queuedCost[indexOf(flow.rank)] += difference;
    }
    order_.adjustCost(table_, itemIndex, difference);
}

template<WorkOrder Order>
void Admission<Order>::finish(Ticket ticket, double trueCost, Micros now)
{
    const std::uint32_t itemIndex = find(ticket);
    if (itemIndex == NoIndex || table_.items[itemIndex].state != WorkItem::State::Running) {
        return;
    }
    correctCost(ticket, trueCost);
    const WorkItem &item = table_.items[itemIndex];
    const Rank rank = table_.flows[item.flowIndex].rank;
    slotTokens_ = slotTokens_ * LearningDecay + trueCost;
    slotSeconds_ = slotSeconds_ * LearningDecay + toSeconds(std::max<Micros>(1, now - item.startedAt));
    meanItemCost_ = meanItemCost_ * LearningDecay + trueCost * (1.0 - LearningDecay);
    --table_.runningItems[indexOf(rank)];
    if (exclusiveItem_ == itemIndex) {
        exclusiveItem_ = NoIndex;
    }
    ++totals_.finished;
    releaseItem(itemIndex);
    notifyIfIdle(rank);
}

template<WorkOrder Order>
bool Admission<Order>::cancel(Ticket ticket)
{
    const std::uint32_t itemIndex = find(ticket);
    if (itemIndex == NoIndex || !removeQueued(itemIndex)) {
        return false;
    }
    ++totals_.cancelled;
    return true;
}

template<WorkOrder Order>
bool Admission<Order>::removeQueued(std::uint32_t itemIndex)
{
    if (table_.items[itemIndex].state != WorkItem::State::Queued) {
        return false;
    }
    const Rank rank = table_.flows[table_.items[itemIndex].flowIndex].rank;
    dequeue(itemIndex);
    order_.remove(table_, itemIndex);
    if (exclusiveItem_ == itemIndex) {
        exclusiveItem_ = NoIndex;
    }
    releaseItem(itemIndex);
    notifyIfIdle(rank);
    return true;
}

template<WorkOrder Order>
Micros Admission<Order>::nextDeadline() const
{
    return deadlines_.empty() ? 0 : table_.items[deadlines_.front()].deadline;
}

template<WorkOrder Order>
void Admission<Order>::configure(std::uint32_t slots, const std::array<RankSpec, RankCount> &ranks)
{
    options_.slots = slots;
    options_.ranks = ranks;
    table_.ranks = ranks;
    table_.slots = slots;
}

template<WorkOrder Order>
std::uint32_t Admission<Order>::queued(Rank rank) const
{
    return table_.queuedItems[indexOf(rank)];
}

template<WorkOrder Order>
std::uint32_t Admission<Order>::running() const
{
    return table_.runningItems[0] + table_.runningItems[1];
}

template<WorkOrder Order>
std::uint32_t Admission<Order>::running(Rank rank) const
{
    return table_.runningItems[indexOf(rank)];
}

template<WorkOrder Order>
const AdmissionTotals &Admission<Order>::totals() const
{
    return totals_;
}

template<WorkOrder Order>
std::string Admission<Order>::violation() const
{
    std::array<std::uint32_t, RankCount> queuedItems{};
    std::array<std::uint32_t, RankCount> runningItems{};
    std::array<double, RankCount> queuedCost{};
    bool exclusiveRuns = false;
    for (const WorkItem &item : table_.items) {
        if (item.state == WorkItem::State::Unused) {
            continue;
        }
        const std::size_t rank = indexOf(table_.flows[item.flowIndex].rank);
        const bool waits = item.state == WorkItem::State::Queued;
        ++(waits ? queuedItems : runningItems)[rank];
        queuedCost[rank] += waits ? item.cost : 0.0;
        exclusiveRuns = exclusiveRuns || (!waits && item.exclusive);
    }
    const std::uint32_t present = queuedItems[0] + queuedItems[1] + runningItems[0] + runningItems[1];
    if (totals_.offered != totals_.refused + totals_.expired + totals_.cancelled + totals_.finished + present) {
        return "the number of offers differs from the sum of their outcomes";
    }
    if (queuedItems != table_.queuedItems || runningItems != table_.runningItems || deadlines_.size() != queuedItems[0] + queuedItems[1]) {
        return "the counters of queued and running items differ from the items";
    }
    for (std::size_t rank = 0; rank < RankCount; ++rank) {
        if (std::abs(queuedCost[rank] - table_.queuedCost[rank]) > 1e-6 * (1.0 + queuedCost[rank])) {
            return "the queued cost of a rank differs from the sum over its items";
        }
    }
    for (std::size_t i = 1; i < deadlines_.size(); ++i) {
        if (table_.items[deadlines_[(i - 1) / 2]].deadline > table_.items[deadlines_[i]].deadline) {
            return "the heap of deadlines is out of order";
        }
    }
    return exclusiveRuns && running() > 1 ? "other work runs beside exclusive work" : "";
}

// 4. Heap of deadlines ----------------------------------------------------------------------------

template<WorkOrder Order>
void Admission<Order>::placeDeadline(std::uint32_t position, std::uint32_t itemIndex)
{
    deadlines_[position] = itemIndex;
    table_.items[itemIndex].deadlineIndex = position;
}

template<WorkOrder Order>
void Admission<Order>::siftDeadline(std::uint32_t position)
{
    const std::uint32_t itemIndex = deadlines_[position];
    const Micros deadline = table_.items[itemIndex].deadline;
    while (position > 0 && deadline < table_.items[deadlines_[(position - 1) / 2]].deadline) {
        placeDeadline(position, deadlines_[(position - 1) / 2]);
        position = (position - 1) / 2;
    }
    for (std::size_t child = 2UL * position + 1; child < deadlines_.size(); child = 2UL * position + 1) {
        if (child + 1 < deadlines_.size() && table_.items[deadlines_[child + 1]].deadline < table_.items[deadlines_[child]].deadline) {
            ++child;
        }
        if (table_.items[deadlines_[child]].deadline >= deadline) {
            break;
        }
        placeDeadline(position, deadlines_[child]);
        position = static_cast<std::uint32_t>(child);
    }
    placeDeadline(position, itemIndex);
}

template<WorkOrder Order>
void Admission<Order>::removeDeadline(std::uint32_t itemIndex)
{
    const std::uint32_t position = table_.items[itemIndex].deadlineIndex;
    table_.items[itemIndex].deadlineIndex = NoIndex;
    const std::uint32_t last = deadlines_.back();
    deadlines_.pop_back();
    if (last != itemIndex) {
        placeDeadline(position, last);
        siftDeadline(position);
    }
}

template class Admission<FairOrder>;
template class Admission<FifoOrder>;
template class Admission<PriorityOrder>;

} // namespace Carobhall
