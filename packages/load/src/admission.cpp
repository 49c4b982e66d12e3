// The admission queue of an upstream.
//
// Index
//   1. Rows and tickets
//   2. Offering, waiting times and refusals
//   3. Starting and ending work
//   4. Heap of deadlines

#include "carobhall/admission.h"

#include <algorithm>
#include <cmath>

namespace Carobhall
{

namespace
{

// Rows of WorkTable::flows that stand for accounts without a row, one for each rank.
constexpr std::uint32_t UnknownFlows = RankCount;

// Weight of the past in the learned speed and cost: about the last 50 finished items count.
constexpr double LearningDecay = 0.98;

// Time constant of the paying rank's demand. Long enough to bridge the gaps between single requests, short enough to see
// the end of a surge within the 5 s that recovery may take.
constexpr double DemandSeconds = 2.0;

// Below this share of the upstream's speed the paying rank counts as absent, and no slot is reserved for it.
constexpr double LeastPayingLoad = 0.001;

// How long free work that ran beyond its floor may have to stand back when paying work returns: the time that recovery may take.
constexpr double FloorMemorySeconds = 5.0;

// Requests of mean cost that an account may send at once after it has used less than its share.
constexpr double BurstItems = 4.0;

// Each started or expired item moves a flow's wait factor by this part of the difference. It rises faster than it falls,
// because work that expires in the queue is worse for its caller than an early refusal.
constexpr double WaitFactorRise = 0.2;
constexpr double WaitFactorFall = 0.05;
constexpr double LeastWaitFactor = 0.25;
constexpr double GreatestWaitFactor = 4.0;

constexpr unsigned GenerationShift = 32;

// Refused callers return over 1 to 1.5 times the advised time, so that a batch refused together does not return together.
constexpr double RetrySpread = 1.5;

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

// 1. Rows and tickets -----------------------------------------------------------------------------

template<WorkOrder Order>
Admission<Order>::Admission(const AdmissionOptions &options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{
    table_.ranks = options.ranks;
    table_.slots = options.slots;
    table_.flows.resize(UnknownFlows);
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
        const auto row = static_cast<std::uint32_t>(table_.flows.size());
        table_.flows.emplace_back().rank = work.rank;
        found = names.emplace(work.account, row).first;
    }
    table_.flows[found->second].share = work.share;
    return found->second;
}

template<WorkOrder Order>
std::uint32_t Admission<Order>::newItem()
{
    if (unusedItem_ == NoIndex) {
        table_.items.emplace_back();
        return static_cast<std::uint32_t>(table_.items.size() - 1);
    }
    const std::uint32_t item = unusedItem_;
    unusedItem_ = table_.items[item].next;
    table_.items[item].next = NoIndex;
    return item;
}

template<WorkOrder Order>
void Admission<Order>::freeItem(std::uint32_t item)
{
    const std::uint32_t generation = table_.items[item].generation + 1;
    table_.items[item] = { .generation = generation, .next = unusedItem_ };
    unusedItem_ = item;
}

template<WorkOrder Order>
Ticket Admission<Order>::ticketOf(std::uint32_t item) const
{
    return (static_cast<Ticket>(table_.items[item].generation) << GenerationShift) | (item + 1U);
}

template<WorkOrder Order>
std::uint32_t Admission<Order>::find(Ticket ticket) const
{
    const auto item = static_cast<std::uint32_t>(ticket) - 1U;
    if (ticket == 0 || item >= table_.items.size() || table_.items[item].state == WorkItem::State::Unused) {
        return NoIndex;
    }
    return table_.items[item].generation == ticket >> GenerationShift ? item : NoIndex;
}

// 2. Offering, waiting times and refusals ---------------------------------------------------------

template<WorkOrder Order>
double Admission<Order>::tokensPerSecond() const
{
    const double perSlot = slotSeconds_ > 0.0 ? slotTokens_ / slotSeconds_ : options_.tokensPerSlotSecond;
    return perSlot * options_.slots;
}

template<WorkOrder Order>
void Admission<Order>::noteDemand(double payingCost, Micros now)
{
    payingTokens_ = payingTokens_ * std::exp(-toSeconds(now - demandAt_) / DemandSeconds) + payingCost;
    demandAt_ = now;
    table_.payingLoad = payingTokens_ / DemandSeconds / tokensPerSecond();
    table_.floorMemory = FloorMemorySeconds * table_.ranks[indexOf(Rank::Free)].floor * tokensPerSecond();
    table_.burst = BurstItems * itemCost_;
}

template<WorkOrder Order>
Micros Admission<Order>::estimateOf(std::uint32_t flow) const
{
    const bool isFree = table_.flows[flow].rank == Rank::Free;
    const std::uint32_t unavailable = isFree ? reservedSlots() + table_.queuedItems[indexOf(Rank::Free)] : 0;
    if (exclusiveItem_ == NoIndex && running() + table_.queuedItems[indexOf(Rank::Paying)] + unavailable < options_.slots) {
        return 0;
    }
    // The next slot becomes free after an item's time divided by the slots; an item that runs alone takes its whole time.
    const double untilFree = itemCost_ * (exclusiveItem_ == NoIndex ? 1.0 : options_.slots);
    return toMicros((order_.tokensAhead(table_, flow) + untilFree) / tokensPerSecond());
}

template<WorkOrder Order>
Micros Admission<Order>::correctedWait(std::uint32_t flow, Micros estimate) const
{
    return static_cast<Micros>(static_cast<double>(estimate) * table_.flows[flow].waitFactor);
}

template<WorkOrder Order>
Micros Admission<Order>::expectedWait(Rank rank, std::string_view account, Micros now)
{
    noteDemand(0.0, now);
    const FlowNames &names = flowNames_[indexOf(rank)];
    const auto found = names.find(account);
    const std::uint32_t flow = found == names.end() ? static_cast<std::uint32_t>(rank) : found->second;
    return correctedWait(flow, estimateOf(flow));
}

template<WorkOrder Order>
AdmissionResult Admission<Order>::offer(const Work &work, Micros now)
{
    ++totals_.offered;
    noteDemand(work.rank == Rank::Paying ? work.cost : 0.0, now);
    if (itemCost_ == 0.0) {
        itemCost_ = work.cost;
    }
    const Micros latest = now + options_.longestWait;
    const Micros deadline = work.deadline > 0 ? std::min(work.deadline, latest) : latest;
    const std::uint32_t flow = flowOf(work);
    const Micros estimate = estimateOf(flow);
    if (const Micros wait = correctedWait(flow, estimate); deadline <= now || (options_.refuseEarly && wait > deadline - now)) {
        return refuse(work, wait, now);
    }
    const std::uint32_t item = newItem();
    WorkItem &row = table_.items[item];
    row.flow = flow;
    row.state = WorkItem::State::Queued;
    row.exclusive = work.exclusive;
    row.cost = work.cost;
    row.deadline = deadline;
    row.offeredAt = now;
    row.estimate = estimate;
    order_.push(table_, item);
    table_.flows[flow].queuedCost += work.cost;
    table_.queuedCost[indexOf(work.rank)] += work.cost;
    ++table_.queuedItems[indexOf(work.rank)];
    deadlines_.push_back(item);
    siftDeadline(static_cast<std::uint32_t>(deadlines_.size() - 1));
    return { .ticket = ticketOf(item) };
}

template<WorkOrder Order>
AdmissionResult Admission<Order>::refuse(const Work &work, Micros wait, Micros now)
{
    ++totals_.refused;
    // Each refusal books the time that its work would take, so that refused callers return one after the other.
    const double share = work.rank == Rank::Paying ? 1.0 : std::max(table_.ranks[indexOf(work.rank)].floor, 1.0 - table_.payingLoad);
    const double seconds = work.cost / (tokensPerSecond() * std::max(share, 1.0 / static_cast<double>(options_.slots)));
    Micros &booked = bookedUntil_[indexOf(work.rank)];
    booked = std::min(std::max(booked, now) + toMicros(seconds), now + options_.longestRetryAfter);
    const Micros excess = work.deadline > 0 ? wait - (work.deadline - now) : wait - options_.longestWait;
    const Micros base = std::clamp(std::max(excess, booked - now), options_.shortestRetryAfter, options_.longestRetryAfter);
    std::uniform_real_distribution<double> spread(1.0, RetrySpread);
    const bool late = work.deadline > 0;
    return { .error = late ? Errc::DeadlineUnreachable : Errc::Overloaded, .retryAfter = static_cast<Micros>(static_cast<double>(base) * spread(random_)) };
}

// 3. Starting and ending work ---------------------------------------------------------------------

template<WorkOrder Order>
void Admission<Order>::dequeue(std::uint32_t item)
{
    const WorkItem &row = table_.items[item];
    WorkFlow &flow = table_.flows[row.flow];
    const std::size_t rank = indexOf(flow.rank);
    --table_.queuedItems[rank];
    flow.queuedCost -= row.cost;
    table_.queuedCost[rank] -= row.cost;
    // Sums of floating-point numbers drift; an empty queue is exactly empty.
    if (table_.queuedItems[rank] == 0) {
        table_.queuedCost[rank] = 0.0;
        flow.queuedCost = 0.0;
    }
    removeDeadline(item);
}

template<WorkOrder Order>
void Admission<Order>::noteIdle(Rank rank)
{
    if (table_.queuedItems[indexOf(rank)] + table_.runningItems[indexOf(rank)] == 0) {
        order_.idle(rank);
    }
}

template<WorkOrder Order>
void Admission<Order>::noteWait(std::uint32_t item, Micros now)
{
    const WorkItem &row = table_.items[item];
    if (row.estimate == 0) {
        return;
    }
    // Accounts whose work arrives later but goes first are not in the queue when an estimate is made.
    double &factor = table_.flows[row.flow].waitFactor;
    const double ratio = static_cast<double>(now - row.offeredAt) / static_cast<double>(row.estimate);
    const double difference = std::clamp(ratio, LeastWaitFactor, GreatestWaitFactor) - factor;
    factor += difference * (difference > 0.0 ? WaitFactorRise : WaitFactorFall);
}

template<WorkOrder Order>
void Admission<Order>::run(std::uint32_t item, Micros now)
{
    dequeue(item);
    order_.start(table_, item);
    noteWait(item, now);
    WorkItem &row = table_.items[item];
    row.state = WorkItem::State::Running;
    row.startedAt = now;
    ++table_.runningItems[indexOf(table_.flows[row.flow].rank)];
}

template<WorkOrder Order>
std::uint32_t Admission<Order>::reservedSlots() const
{
    if (table_.payingLoad < LeastPayingLoad) {
        return 0;
    }
    const double beyondFloor = (1.0 - table_.ranks[indexOf(Rank::Free)].floor) * options_.slots;
    return std::min({ options_.reservedSlots, options_.slots - 1, static_cast<std::uint32_t>(beyondFloor) });
}

template<WorkOrder Order>
bool Admission<Order>::heldBack(std::uint32_t item) const
{
    const bool isFree = table_.flows[table_.items[item].flow].rank == Rank::Free;
    // While paying work waits the order policy has decided for free work on account of its floor.
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
        if (heldBack(next)) {
            return 0;
        }
        if (!table_.items[next].exclusive) {
            run(next, now);
            return ticketOf(next);
        }
        // From here on nothing else starts: otherwise a busy upstream would never become empty.
        exclusiveItem_ = next;
    }
    const WorkItem &row = table_.items[exclusiveItem_];
    if (row.state == WorkItem::State::Running || running() > 0 || row.deadline < now) {
        return 0;
    }
    run(exclusiveItem_, now);
    return ticketOf(exclusiveItem_);
}

template<WorkOrder Order>
Ticket Admission<Order>::takeExpired(Micros now)
{
    if (deadlines_.empty() || table_.items[deadlines_.front()].deadline >= now) {
        return 0;
    }
    const Ticket ticket = ticketOf(deadlines_.front());
    noteWait(deadlines_.front(), now);
    withdraw(deadlines_.front());
    ++totals_.expired;
    return ticket;
}

template<WorkOrder Order>
void Admission<Order>::correctCost(Ticket ticket, double cost)
{
    const std::uint32_t item = find(ticket);
    if (item == NoIndex) {
        return;
    }
    WorkItem &row = table_.items[item];
    const double difference = cost - row.cost;
    row.cost = cost;
    if (row.state == WorkItem::State::Queued) {
        WorkFlow &flow = table_.flows[row.flow];
        flow.queuedCost += difference;
        table_.queuedCost[indexOf(flow.rank)] += difference;
    }
    order_.charge(table_, item, difference);
}

template<WorkOrder Order>
void Admission<Order>::finish(Ticket ticket, double trueCost, Micros now)
{
    const std::uint32_t item = find(ticket);
    if (item == NoIndex || table_.items[item].state != WorkItem::State::Running) {
        return;
    }
    correctCost(ticket, trueCost);
    const WorkItem &row = table_.items[item];
    const Rank rank = table_.flows[row.flow].rank;
    slotTokens_ = slotTokens_ * LearningDecay + trueCost;
    slotSeconds_ = slotSeconds_ * LearningDecay + toSeconds(std::max<Micros>(1, now - row.startedAt));
    itemCost_ = itemCost_ * LearningDecay + trueCost * (1.0 - LearningDecay);
    --table_.runningItems[indexOf(rank)];
    if (exclusiveItem_ == item) {
        exclusiveItem_ = NoIndex;
    }
    ++totals_.finished;
    freeItem(item);
    noteIdle(rank);
}

template<WorkOrder Order>
bool Admission<Order>::cancel(Ticket ticket)
{
    const std::uint32_t item = find(ticket);
    if (item == NoIndex || !withdraw(item)) {
        return false;
    }
    ++totals_.cancelled;
    return true;
}

template<WorkOrder Order>
bool Admission<Order>::withdraw(std::uint32_t item)
{
    if (table_.items[item].state != WorkItem::State::Queued) {
        return false;
    }
    const Rank rank = table_.flows[table_.items[item].flow].rank;
    dequeue(item);
    order_.remove(table_, item);
    if (exclusiveItem_ == item) {
        exclusiveItem_ = NoIndex;
    }
    freeItem(item);
    noteIdle(rank);
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
        const std::size_t rank = indexOf(table_.flows[item.flow].rank);
        const bool waits = item.state == WorkItem::State::Queued;
        ++(waits ? queuedItems : runningItems)[rank];
        queuedCost[rank] += waits ? item.cost : 0.0;
        exclusiveRuns = exclusiveRuns || (!waits && item.exclusive);
    }
    const std::uint32_t present = queuedItems[0] + queuedItems[1] + runningItems[0] + runningItems[1];
    if (totals_.offered != totals_.refused + totals_.expired + totals_.cancelled + totals_.finished + present) {
        return "an offer has not ended exactly once";
    }
    if (queuedItems != table_.queuedItems || runningItems != table_.runningItems || deadlines_.size() != queuedItems[0] + queuedItems[1]) {
        return "the counters differ from the items";
    }
    for (std::size_t rank = 0; rank < RankCount; ++rank) {
        if (std::abs(queuedCost[rank] - table_.queuedCost[rank]) > 1e-6 * (1.0 + queuedCost[rank])) {
            return "the queued cost differs from the items";
        }
    }
    for (std::size_t i = 1; i < deadlines_.size(); ++i) {
        if (table_.items[deadlines_[(i - 1) / 2]].deadline > table_.items[deadlines_[i]].deadline) {
            return "the deadlines are out of order";
        }
    }
    return exclusiveRuns && running() > 1 ? "work runs beside alone work" : "";
}

// 4. Heap of deadlines ----------------------------------------------------------------------------

template<WorkOrder Order>
void Admission<Order>::placeDeadline(std::uint32_t position, std::uint32_t item)
{
    deadlines_[position] = item;
    table_.items[item].deadlineIndex = position;
}

template<WorkOrder Order>
void Admission<Order>::siftDeadline(std::uint32_t position)
{
    const std::uint32_t item = deadlines_[position];
    const Micros deadline = table_.items[item].deadline;
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
    placeDeadline(position, item);
}

template<WorkOrder Order>
void Admission<Order>::removeDeadline(std::uint32_t item)
{
    const std::uint32_t position = table_.items[item].deadlineIndex;
    table_.items[item].deadlineIndex = NoIndex;
    const std::uint32_t last = deadlines_.back();
    deadlines_.pop_back();
    if (last != item) {
        placeDeadline(position, last);
        siftDeadline(position);
    }
}

template class Admission<FairOrder>;
template class Admission<FifoOrder>;
template class Admission<PriorityOrder>;

} // namespace Carobhall
