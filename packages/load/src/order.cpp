// Order policies of the admission queue.
//
// Index
//   1. WorkList
//   2. FairOrder: heap of flows
//   3. FairOrder: ranks and floors
//   4. FifoOrder
//   5. PriorityOrder

#include "carobhall/admission.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

constexpr std::size_t PayingIndex = static_cast<std::size_t>(Rank::Paying);
constexpr std::size_t FreeIndex = static_cast<std::size_t>(Rank::Free);

// Number of waiting flows up to which tokensAhead() reads every flow. Beyond it, it reads a sample, to bound the cost of a probe.
constexpr std::size_t SampledFlows = 64;

// Minimum share of the upstream that a wait estimate assumes for a rank, to avoid unbounded estimates.
constexpr double MinAssumedShare = 0.01;

std::size_t indexOf(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

WorkFlow &flowOf(WorkTable &table, std::uint32_t itemIndex)
{
    return table.flows[table.items[itemIndex].flowIndex];
}

} // namespace

// 1. WorkList -------------------------------------------------------------------------------------

void WorkList::append(WorkTable &table, std::uint32_t itemIndex)
{
    WorkItem &item = table.items[itemIndex];
    item.previous = tail;
    item.next = NoIndex;
    if (tail != NoIndex) {
        table.items[tail].next = itemIndex;
    } else {
        head = itemIndex;
    }
    tail = itemIndex;
}

void WorkList::unlink(WorkTable &table, std::uint32_t itemIndex)
{
    WorkItem &item = table.items[itemIndex];
    if (item.previous != NoIndex) {
        table.items[item.previous].next = item.next;
    } else {
        head = item.next;
    }
    if (item.next != NoIndex) {
        table.items[item.next].previous = item.previous;
    } else {
        tail = item.previous;
    }
    item.previous = NoIndex;
    item.next = NoIndex;
}

// 2. FairOrder: heap of flows ---------------------------------------------------------------------

void FairOrder::sift(WorkTable &table, RankQueue &queue, std::uint32_t position)
{
    auto &heap = queue.heap;
    const auto before = [&table](std::uint32_t a, std::uint32_t b) {
        const WorkFlow &first = table.flows[a];
        const WorkFlow &second = table.flows[b];
        return first.startTag != second.startTag ? first.startTag < second.startTag : first.arrivalNumber < second.arrivalNumber;
    };
    const std::uint32_t flowIndex = heap[position];
    while (position > 0 && before(flowIndex, heap[(position - 1) / 2])) {
        heap[position] = heap[(position - 1) / 2];
        table.flows[heap[position]].heapIndex = position;
        position = (position - 1) / 2;
    }
    for (std::size_t child = 2UL * position + 1; child < heap.size(); child = 2UL * position + 1) {
        if (child + 1 < heap.size() && before(heap[child + 1], heap[child])) {
            ++child;
        }
        if (!before(heap[child], flowIndex)) {
            break;
        }
        heap[position] = heap[child];
        table.flows[heap[position]].heapIndex = position;
        position = static_cast<std::uint32_t>(child);
    }
    heap[position] = flowIndex;
    table.flows[flowIndex].heapIndex = position;
}

void FairOrder::removeFromHeap(WorkTable &table, RankQueue &queue, std::uint32_t flowIndex)
{
    const std::uint32_t position = table.flows[flowIndex].heapIndex;
    table.flows[flowIndex].heapIndex = NoIndex;
    const std::uint32_t last = queue.heap.back();
    queue.heap.pop_back();
    if (last != flowIndex) {
        queue.heap[position] = last;
        sift(table, queue, position);
    }
}

void FairOrder::removeFromFlow(WorkTable &table, std::uint32_t itemIndex)
{
    WorkFlow &flow = flowOf(table, itemIndex);
    flow.queue.unlink(table, itemIndex);
    if (flow.queue.head == NoIndex) {
        removeFromHeap(table, queues_[indexOf(flow.rank)], table.items[itemIndex].flowIndex);
    }
}

void FairOrder::push(WorkTable &table, std::uint32_t itemIndex)
{
    WorkFlow &flow = flowOf(table, itemIndex);
    RankQueue &queue = queues_[indexOf(flow.rank)];
    flow.queue.append(table, itemIndex);
    if (flow.heapIndex != NoIndex) {
        return;
    }
    flow.startTag = std::max(queue.virtualTime - table.burstTokens, flow.finishTag);
    flow.arrivalNumber = ++arrivalCount_;
    queue.heap.push_back(table.items[itemIndex].flowIndex);
    sift(table, queue, static_cast<std::uint32_t>(queue.heap.size() - 1));
}

void FairOrder::remove(WorkTable &table, std::uint32_t itemIndex)
{
    removeFromFlow(table, itemIndex);
}

void FairOrder::start(WorkTable &table, std::uint32_t itemIndex)
{
    WorkItem &item = table.items[itemIndex];
    WorkFlow &flow = table.flows[item.flowIndex];
    RankQueue &queue = queues_[indexOf(flow.rank)];
    queue.virtualTime = std::max(queue.virtualTime, flow.startTag);
    flow.finishTag = flow.startTag + item.cost / flow.share;
    queue.lastFinish = std::max(queue.lastFinish, flow.finishTag);
    removeFromFlow(table, itemIndex);
    if (flow.heapIndex != NoIndex) {
        flow.startTag = flow.finishTag;
        sift(table, queue, flow.heapIndex);
    }
    item.countsTowardsFloor = flow.rank == Rank::Free || table.queuedItems[FreeIndex] > 0;
    if (item.countsTowardsFloor) {
        updateFreeCredit(table, flow.rank, item.cost);
    }
}

void FairOrder::adjustCost(WorkTable &table, std::uint32_t itemIndex, double tokens)
{
    const WorkItem &item = table.items[itemIndex];
    if (item.state != WorkItem::State::Running) {
        return; // The cost of a queued item is charged when it starts.
    }
    WorkFlow &flow = table.flows[item.flowIndex];
    RankQueue &queue = queues_[indexOf(flow.rank)];
    flow.finishTag += tokens / flow.share;
    queue.lastFinish = std::max(queue.lastFinish, flow.finishTag);
    if (flow.heapIndex != NoIndex) {
        flow.startTag += tokens / flow.share;
        sift(table, queue, flow.heapIndex);
    }
    if (item.countsTowardsFloor) {
        updateFreeCredit(table, flow.rank, tokens);
    }
}

void FairOrder::onIdle(Rank rank)
{
    RankQueue &queue = queues_[indexOf(rank)];
    // The rank has no work left. Moving the virtual time to the last finish tag clears the debt of accounts that used capacity which no
    // other account wanted.
    queue.virtualTime = std::max(queue.virtualTime, queue.lastFinish);
}

// 3. FairOrder: ranks and floors ------------------------------------------------------------------

void FairOrder::updateFreeCredit(const WorkTable &table, Rank rank, double tokens)
{
    freeCredit_ += table.ranks[FreeIndex].floor * tokens;
    if (rank == Rank::Free) {
        freeCredit_ -= tokens;
    }
    freeCredit_ = std::max(freeCredit_, -table.maxFloorDebt);
    if (table.queuedItems[FreeIndex] == 0) {
        freeCredit_ = std::min(freeCredit_, 0.0);
    }
}

std::uint32_t FairOrder::front(const WorkTable &table) const
{
    const bool payingWaits = !queues_[PayingIndex].heap.empty();
    const bool freeWaits = !queues_[FreeIndex].heap.empty();
    if (!payingWaits && !freeWaits) {
        return NoIndex;
    }
    const double floor = table.ranks[FreeIndex].floor;
    const bool freeGoesFirst = floor > 0.0 && freeCredit_ >= 0.0 && table.runningItems[FreeIndex] < floor * table.slots + 1.0;
    const RankQueue &queue = queues_[freeWaits && (freeGoesFirst || !payingWaits) ? FreeIndex : PayingIndex];
    return table.flows[queue.heap.front()].queue.head;
}

double FairOrder::tokensAheadInRank(const WorkTable &table, std::uint32_t flowIndex) const
{
    const WorkFlow &flow = table.flows[flowIndex];
    const RankQueue &queue = queues_[indexOf(flow.rank)];
    const bool waits = flow.heapIndex != NoIndex;
    const double tag = waits ? flow.startTag + flow.queuedCost / flow.share : std::max(queue.virtualTime - table.burstTokens, flow.finishTag);
    const std::size_t step = std::max<std::size_t>(1, queue.heap.size() / SampledFlows);
    double ahead = 0.0;
    for (std::size_t i = 0; i < queue.heap.size(); i += step) {
        const WorkFlow &other = table.flows[queue.heap[i]];
        if (queue.heap[i] == flowIndex || other.startTag > tag) {
            continue;
        }
        const double firstCost = table.items[other.queue.head].cost;
        ahead += std::clamp((tag - other.startTag) * other.share, firstCost, std::max(firstCost, other.queuedCost));
    }
    ahead = ahead * static_cast<double>(step) + flow.queuedCost;
    return std::min(ahead, table.queuedCost[indexOf(flow.rank)]);
}

double FairOrder::tokensAhead(const WorkTable &table, std::uint32_t flowIndex) const
{
    const double ahead = tokensAheadInRank(table, flowIndex);
    const double floor = table.ranks[FreeIndex].floor;
    if (table.flows[flowIndex].rank == Rank::Paying) {
        return table.queuedItems[FreeIndex] > 0 ? ahead / std::max(MinAssumedShare, 1.0 - floor) : ahead;
    }
    // Free work runs either after the paying queue, on the capacity that paying work leaves, or on its floor alone. The shorter of the
    // two applies.
    const double afterPaying = (ahead + table.queuedCost[PayingIndex]) / std::max(MinAssumedShare, 1.0 - table.payingLoad);
    return floor > 0.0 ? std::min(afterPaying, ahead / floor) : afterPaying;
}

// 4. FifoOrder ------------------------------------------------------------------------------------

void FifoOrder::push(WorkTable &table, std::uint32_t itemIndex)
{
    queue_.append(table, itemIndex);
}

void FifoOrder::remove(WorkTable &table, std::uint32_t itemIndex)
{
    queue_.unlink(table, itemIndex);
}

void FifoOrder::start(WorkTable &table, std::uint32_t itemIndex)
{
    queue_.unlink(table, itemIndex);
}

std::uint32_t FifoOrder::front(const WorkTable & /*table*/) const
{
    return queue_.head;
}

double FifoOrder::tokensAhead(const WorkTable &table, std::uint32_t /*flowIndex*/) const
{
    return table.queuedCost[PayingIndex] + table.queuedCost[FreeIndex];
}

// 5. PriorityOrder --------------------------------------------------------------------------------

void PriorityOrder::push(WorkTable &table, std::uint32_t itemIndex)
{
    queues_[indexOf(flowOf(table, itemIndex).rank)].append(table, itemIndex);
}

void PriorityOrder::remove(WorkTable &table, std::uint32_t itemIndex)
{
    queues_[indexOf(flowOf(table, itemIndex).rank)].unlink(table, itemIndex);
}

void PriorityOrder::start(WorkTable &table, std::uint32_t itemIndex)
{
    queues_[indexOf(flowOf(table, itemIndex).rank)].unlink(table, itemIndex);
}

std::uint32_t PriorityOrder::front(const WorkTable & /*table*/) const
{
    const WorkList &paying = queues_[PayingIndex];
    return paying.head != NoIndex ? paying.head : queues_[FreeIndex].head;
}

double PriorityOrder::tokensAhead(const WorkTable &table, std::uint32_t flowIndex) const
{
    if (table.flows[flowIndex].rank == Rank::Paying) {
        return table.queuedCost[PayingIndex];
    }
    return (table.queuedCost[PayingIndex] + table.queuedCost[FreeIndex]) / std::max(MinAssumedShare, 1.0 - table.payingLoad);
}

} // namespace Carobhall
