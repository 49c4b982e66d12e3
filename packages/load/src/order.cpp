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

// Waiting flows that tokensAhead() looks at; beyond that it samples, so that a probe's cost stays bounded.
constexpr std::size_t SampledFlows = 64;

// The least share of the upstream that an estimate assumes for a rank without a floor.
constexpr double LeastShare = 0.01;

std::size_t indexOf(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

WorkFlow &flowOf(WorkTable &table, std::uint32_t item)
{
    return table.flows[table.items[item].flow];
}

} // namespace

// 1. WorkList -------------------------------------------------------------------------------------

void WorkList::append(WorkTable &table, std::uint32_t item)
{
    WorkItem &row = table.items[item];
    row.previous = tail;
    row.next = NoIndex;
    if (tail != NoIndex) {
        table.items[tail].next = item;
    } else {
        head = item;
    }
    tail = item;
}

void WorkList::unlink(WorkTable &table, std::uint32_t item)
{
    WorkItem &row = table.items[item];
    if (row.previous != NoIndex) {
        table.items[row.previous].next = row.next;
    } else {
        head = row.next;
    }
    if (row.next != NoIndex) {
        table.items[row.next].previous = row.previous;
    } else {
        tail = row.previous;
    }
    row.previous = NoIndex;
    row.next = NoIndex;
}

// 2. FairOrder: heap of flows ---------------------------------------------------------------------

void FairOrder::sift(WorkTable &table, RankQueue &queue, std::uint32_t position)
{
    auto &heap = queue.heap;
    const auto before = [&table](std::uint32_t a, std::uint32_t b) {
        const WorkFlow &first = table.flows[a];
        const WorkFlow &second = table.flows[b];
        return first.startTag != second.startTag ? first.startTag < second.startTag : first.waitingSince < second.waitingSince;
    };
    const std::uint32_t flow = heap[position];
    while (position > 0 && before(flow, heap[(position - 1) / 2])) {
        heap[position] = heap[(position - 1) / 2];
        table.flows[heap[position]].heapIndex = position;
        position = (position - 1) / 2;
    }
    for (std::size_t child = 2UL * position + 1; child < heap.size(); child = 2UL * position + 1) {
        if (child + 1 < heap.size() && before(heap[child + 1], heap[child])) {
            ++child;
        }
        if (!before(heap[child], flow)) {
            break;
        }
        heap[position] = heap[child];
        table.flows[heap[position]].heapIndex = position;
        position = static_cast<std::uint32_t>(child);
    }
    heap[position] = flow;
    table.flows[flow].heapIndex = position;
}

void FairOrder::leaveHeap(WorkTable &table, RankQueue &queue, std::uint32_t flow)
{
    const std::uint32_t position = table.flows[flow].heapIndex;
    table.flows[flow].heapIndex = NoIndex;
    const std::uint32_t last = queue.heap.back();
    queue.heap.pop_back();
    if (last != flow) {
        queue.heap[position] = last;
        sift(table, queue, position);
    }
}

void FairOrder::removeFromFlow(WorkTable &table, std::uint32_t item)
{
    WorkFlow &flow = flowOf(table, item);
    flow.queue.unlink(table, item);
    if (flow.queue.head == NoIndex) {
        leaveHeap(table, queues_[indexOf(flow.rank)], table.items[item].flow);
    }
}

void FairOrder::push(WorkTable &table, std::uint32_t item)
{
    WorkFlow &flow = flowOf(table, item);
    RankQueue &queue = queues_[indexOf(flow.rank)];
    flow.queue.append(table, item);
    if (flow.heapIndex != NoIndex) {
        return;
    }
    flow.startTag = std::max(queue.virtualTime - table.burst, flow.finishTag);
    flow.waitingSince = ++arrivals_;
    queue.heap.push_back(table.items[item].flow);
    sift(table, queue, static_cast<std::uint32_t>(queue.heap.size() - 1));
}

void FairOrder::remove(WorkTable &table, std::uint32_t item)
{
    removeFromFlow(table, item);
}

void FairOrder::start(WorkTable &table, std::uint32_t item)
{
    WorkItem &row = table.items[item];
    WorkFlow &flow = table.flows[row.flow];
    RankQueue &queue = queues_[indexOf(flow.rank)];
    queue.virtualTime = std::max(queue.virtualTime, flow.startTag);
    flow.finishTag = flow.startTag + row.cost / flow.share;
    queue.lastFinish = std::max(queue.lastFinish, flow.finishTag);
    removeFromFlow(table, item);
    if (flow.heapIndex != NoIndex) {
        flow.startTag = flow.finishTag;
        sift(table, queue, flow.heapIndex);
    }
    row.contended = flow.rank == Rank::Free || table.queuedItems[FreeIndex] > 0;
    if (row.contended) {
        settleFloor(table, flow.rank, row.cost);
    }
}

void FairOrder::charge(WorkTable &table, std::uint32_t item, double tokens)
{
    const WorkItem &row = table.items[item];
    if (row.state != WorkItem::State::Running) {
        return; // A queued item is charged when it starts.
    }
    WorkFlow &flow = table.flows[row.flow];
    RankQueue &queue = queues_[indexOf(flow.rank)];
    flow.finishTag += tokens / flow.share;
    queue.lastFinish = std::max(queue.lastFinish, flow.finishTag);
    if (flow.heapIndex != NoIndex) {
        flow.startTag += tokens / flow.share;
        sift(table, queue, flow.heapIndex);
    }
    if (row.contended) {
        settleFloor(table, flow.rank, tokens);
    }
}

void FairOrder::idle(Rank rank)
{
    RankQueue &queue = queues_[indexOf(rank)];
    // Nobody waits, so nobody owes anything: what was used while others did not want it is forgotten.
    queue.virtualTime = std::max(queue.virtualTime, queue.lastFinish);
}

// 3. FairOrder: ranks and floors ------------------------------------------------------------------

void FairOrder::settleFloor(const WorkTable &table, Rank rank, double tokens)
{
    freeCredit_ += table.ranks[FreeIndex].floor * tokens;
    if (rank == Rank::Free) {
        freeCredit_ -= tokens;
    }
    freeCredit_ = std::max(freeCredit_, -table.floorMemory);
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
    const bool owed = floor > 0.0 && freeCredit_ >= 0.0 && table.runningItems[FreeIndex] < floor * table.slots + 1.0;
    const RankQueue &queue = queues_[freeWaits && (owed || !payingWaits) ? FreeIndex : PayingIndex];
    return table.flows[queue.heap.front()].queue.head;
}

double FairOrder::aheadInRank(const WorkTable &table, std::uint32_t index) const
{
    const WorkFlow &flow = table.flows[index];
    const RankQueue &queue = queues_[indexOf(flow.rank)];
    const bool waits = flow.heapIndex != NoIndex;
    const double tag = waits ? flow.startTag + flow.queuedCost / flow.share : std::max(queue.virtualTime - table.burst, flow.finishTag);
    const std::size_t step = std::max<std::size_t>(1, queue.heap.size() / SampledFlows);
    double ahead = 0.0;
    for (std::size_t i = 0; i < queue.heap.size(); i += step) {
        const WorkFlow &other = table.flows[queue.heap[i]];
        if (queue.heap[i] == index || other.startTag > tag) {
            continue;
        }
        const double head = table.items[other.queue.head].cost;
        ahead += std::clamp((tag - other.startTag) * other.share, head, std::max(head, other.queuedCost));
    }
    ahead = ahead * static_cast<double>(step) + flow.queuedCost;
    return std::min(ahead, table.queuedCost[indexOf(flow.rank)]);
}

double FairOrder::tokensAhead(const WorkTable &table, std::uint32_t index) const
{
    const double ahead = aheadInRank(table, index);
    const double floor = table.ranks[FreeIndex].floor;
    if (table.flows[index].rank == Rank::Paying) {
        return table.queuedItems[FreeIndex] > 0 ? ahead / std::max(LeastShare, 1.0 - floor) : ahead;
    }
    // Either the paying queue drains first and leaves the rest of the upstream, or the floor alone carries the work.
    const double afterPaying = (ahead + table.queuedCost[PayingIndex]) / std::max(LeastShare, 1.0 - table.payingLoad);
    return floor > 0.0 ? std::min(afterPaying, ahead / floor) : afterPaying;
}

// 4. FifoOrder ------------------------------------------------------------------------------------

void FifoOrder::push(WorkTable &table, std::uint32_t item)
{
    queue_.append(table, item);
}

void FifoOrder::remove(WorkTable &table, std::uint32_t item)
{
    queue_.unlink(table, item);
}

void FifoOrder::start(WorkTable &table, std::uint32_t item)
{
    queue_.unlink(table, item);
}

std::uint32_t FifoOrder::front(const WorkTable & /*table*/) const
{
    return queue_.head;
}

double FifoOrder::tokensAhead(const WorkTable &table, std::uint32_t /*flow*/) const
{
    return table.queuedCost[PayingIndex] + table.queuedCost[FreeIndex];
}

// 5. PriorityOrder --------------------------------------------------------------------------------

void PriorityOrder::push(WorkTable &table, std::uint32_t item)
{
    queues_[indexOf(flowOf(table, item).rank)].append(table, item);
}

void PriorityOrder::remove(WorkTable &table, std::uint32_t item)
{
    queues_[indexOf(flowOf(table, item).rank)].unlink(table, item);
}

void PriorityOrder::start(WorkTable &table, std::uint32_t item)
{
    queues_[indexOf(flowOf(table, item).rank)].unlink(table, item);
}

std::uint32_t PriorityOrder::front(const WorkTable & /*table*/) const
{
    const WorkList &paying = queues_[PayingIndex];
    return paying.head != NoIndex ? paying.head : queues_[FreeIndex].head;
}

double PriorityOrder::tokensAhead(const WorkTable &table, std::uint32_t flow) const
{
    if (table.flows[flow].rank == Rank::Paying) {
        return table.queuedCost[PayingIndex];
    }
    return (table.queuedCost[PayingIndex] + table.queuedCost[FreeIndex]) / std::max(LeastShare, 1.0 - table.payingLoad);
}

} // namespace Carobhall
