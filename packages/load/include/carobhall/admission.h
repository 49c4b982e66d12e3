#pragma once

// Admission and queueing of one upstream's work: who waits, who starts next, and who is refused early.
//
//     Admission<FairOrder> admission({.slots = 16, .ranks = document.ranks}, seed);
//     AdmissionResult admitted = admission.offer({.account = "guild", .rank = Rank::Paying, .cost = 1200, .deadline = now + timeout}, now);
//     if (!admitted) { ... answer Refused with NotRun, admitted.error and admitted.retryAfter ... }
//     while (Ticket expired = admission.takeExpired(now)) { ... answer Refused with NotRun ... }
//     while (Ticket next = admission.startNext(now)) { ... call the upstream ... }
//     admission.correctCost(ticket, knownCost);                 // when the cached prefix is known
//     admission.finish(ticket, trueCost, now);                  // then call startNext() again
//     admission.cancel(ticket);                                 // the caller left: true when the work was queued and is gone
//
// Every offered piece of work ends in exactly one way: refused by offer(), expired, cancelled while queued, or finished.
// Work that was never returned by startNext() has not run, so each refusal, expiry and cancel is a truthful NotRun.
//
// The order in which queued work starts is a policy. FairOrder is the one in use; FifoOrder and PriorityOrder are
// baselines for measurement. Nothing here reads a clock, and nothing allocates once as many items and accounts have been
// seen as are in use at once.
//
// Index
//   1. Work             what is offered
//   2. Tables           items and flows, shared with the order policies
//   3. Order policies   FairOrder, FifoOrder, PriorityOrder
//   4. Admission

#include "carobhall/document.h"

#include <random>
#include <unordered_map>

namespace Carobhall
{

/// The generator that decisions draw from. Seeded by the owner.
using Random = std::mt19937_64;

// 1. Work -----------------------------------------------------------------------------------------

/// Names a piece of admitted work until it ends; never used twice by one Admission. Zero means none.
using Ticket = std::uint64_t;

struct Work {
    std::string_view account{};
    Rank rank = Rank::Free;
    double share = 1.0;     ///< Weight of the account in its rank, above 0.
    double cost = 1.0;      ///< Tokens: uncached prefill plus expected generation, above 0.
    Micros deadline = 0;    ///< The work must start by then, on the clock of `now`; 0: only the longest wait applies.
    bool exclusive = false; ///< Runs with nothing else on the upstream.
};

/// The answer to an offer: a ticket, or the reason of a refusal.
struct AdmissionResult {
    Ticket ticket = 0;
    Errc error{};          ///< When refused: DeadlineUnreachable or Overloaded.
    Micros retryAfter = 0; ///< When refused: spread over the time in which the upstream can take the refused work.

    explicit operator bool() const
    {
        return ticket != 0;
    }
};

// 2. Tables ---------------------------------------------------------------------------------------

inline constexpr std::uint32_t NoIndex = UINT32_MAX;

struct WorkTable;

/// A doubly linked list through WorkItem::previous and ::next.
struct WorkList {
    std::uint32_t head = NoIndex;
    std::uint32_t tail = NoIndex;

    void append(WorkTable &table, std::uint32_t item);
    void unlink(WorkTable &table, std::uint32_t item);
};

/// One piece of work that is queued or running.
struct WorkItem {
    enum class State : std::uint8_t { Unused, Queued, Running };

    std::uint32_t generation = 0;          ///< Counts the uses of this row, so that an old ticket is recognised.
    std::uint32_t flow = NoIndex;          ///< Row of its WorkFlow.
    std::uint32_t previous = NoIndex;      ///< Neighbours in a queue of the order policy.
    std::uint32_t next = NoIndex;          ///< Also links unused rows.
    std::uint32_t deadlineIndex = NoIndex; ///< Place in the heap of deadlines.
    State state = State::Unused;
    bool exclusive = false;
    bool contended = false; ///< Counts against the free rank's floor: free work, or paying work that started while free work waited.
    double cost = 0.0;
    Micros deadline = 0;
    Micros startedAt = 0;
    Micros offeredAt = 0;
    Micros estimate = 0; ///< Of the wait when it was offered, before the flow's correction.
};

/// The work of one account in one rank.
struct WorkFlow {
    Rank rank = Rank::Free;
    double share = 1.0;
    double queuedCost = 0.0;
    double finishTag = 0.0;            ///< Virtual time at which all started work of the flow is paid for.
    double startTag = 0.0;             ///< Virtual time at which the first queued item may start.
    WorkList queue;                    ///< Queued items, first come first.
    std::uint32_t heapIndex = NoIndex; ///< Place in the heap of waiting flows.
    std::uint64_t waitingSince = 0;    ///< Breaks ties between equal start tags, first come first.
    double waitFactor = 1.0;           ///< Learned ratio of actual to estimated waits.
};

/// What the order policies see. Owned by Admission.
struct WorkTable {
    std::vector<WorkItem> items;
    std::vector<WorkFlow> flows;
    std::array<RankSpec, RankCount> ranks;
    std::array<double, RankCount> queuedCost{};         ///< Tokens that wait, by rank.
    std::array<std::uint32_t, RankCount> queuedItems{}; ///< Items that wait, by rank.
    std::array<std::uint32_t, RankCount> runningItems{};
    double payingLoad = 0.0;  ///< Recent demand of the paying rank as a share of the upstream's speed.
    double floorMemory = 0.0; ///< Tokens beyond its floor that the free rank is charged for at most.
    std::uint32_t slots = 1;  ///< Of the upstream.
    double burst = 0.0;       ///< Tokens that an account which used less than its share may catch up at once.
};

// 3. Order policies -------------------------------------------------------------------------------

/// Decides which queued item starts next. The queue counters of the table are updated by Admission: after push(), and
/// before remove() and start().
template<typename Order>
concept WorkOrder = requires(Order order, const Order constOrder, WorkTable &table, const WorkTable &constTable, std::uint32_t index, double tokens, Rank rank)
{
    order.push(table, index);           // A new item joins the queue.
    order.remove(table, index);         // A queued item leaves without having run.
    order.start(table, index);          // A queued item starts; its estimated cost is charged.
    order.charge(table, index, tokens); // The cost of a queued or running item turns out to differ by this much.
    order.idle(rank);                   // Nothing of a rank is queued or running.
    {
        constOrder.front(constTable)
        } -> std::same_as<std::uint32_t>; // The item to start next; NoIndex when none waits.
    {
        constOrder.tokensAhead(constTable, index)
        } -> std::same_as<double>; // For a new item of a flow, in tokens at full speed.
};

/// Paying work first, except that the other rank keeps its floor; within a rank, weighted fair queueing over accounts.
///
/// Floors: paying work has precedence, so only the free rank's floor needs a mechanism. The free rank's credit grows by its
/// floor's share of every token that starts while free work waits, and shrinks by all tokens that the rank starts, whether
/// paying work waits or not: a free surge that gets more than its floor anyway has no claim to go first. While the credit is
/// not negative and the free rank runs on no more than its floor's share of the slots, waiting free work goes first: paying
/// work that starts in bursts would otherwise earn credit for a free rank that runs on half of the slots. Idle times earn
/// nothing, and the debt is bounded by WorkTable::floorMemory.
/// Fairness: start-time fair queueing. A flow's next item starts at max(virtual time - burst, the flow's finish tag); the
/// flow with the lowest start tag goes first. A corrected cost moves the finish tag. The burst lets an account that used
/// less than its share send a few requests at once without waiting for its share to pass between them.
class FairOrder
{
public:
    void push(WorkTable &table, std::uint32_t item);
    void remove(WorkTable &table, std::uint32_t item);
    void start(WorkTable &table, std::uint32_t item);
    void charge(WorkTable &table, std::uint32_t item, double tokens);
    void idle(Rank rank);
    [[nodiscard]] std::uint32_t front(const WorkTable &table) const;
    [[nodiscard]] double tokensAhead(const WorkTable &table, std::uint32_t flow) const;

private:
    struct RankQueue {
        std::vector<std::uint32_t> heap; ///< Waiting flows, the lowest start tag first.
        double virtualTime = 0.0;
        double lastFinish = 0.0; ///< Highest finish tag given out.
    };

    void removeFromFlow(WorkTable &table, std::uint32_t item);
    void sift(WorkTable &table, RankQueue &queue, std::uint32_t position);
    void leaveHeap(WorkTable &table, RankQueue &queue, std::uint32_t flow);
    void settleFloor(const WorkTable &table, Rank rank, double tokens);
    [[nodiscard]] double aheadInRank(const WorkTable &table, std::uint32_t flow) const;

    std::array<RankQueue, RankCount> queues_;
    double freeCredit_ = 0.0; ///< Tokens that its floor owes to the free rank; below 0: the rank is ahead of its floor.
    std::uint64_t arrivals_ = 0;
};

/// Baseline: first come, first served.
class FifoOrder
{
public:
    void push(WorkTable &table, std::uint32_t item);
    void remove(WorkTable &table, std::uint32_t item);
    void start(WorkTable &table, std::uint32_t item);
    void charge(WorkTable & /*table*/, std::uint32_t /*item*/, double /*tokens*/)
    {
    }
    void idle(Rank /*rank*/)
    {
    }
    [[nodiscard]] std::uint32_t front(const WorkTable &table) const;
    [[nodiscard]] double tokensAhead(const WorkTable &table, std::uint32_t flow) const;

private:
    WorkList queue_;
};

/// Baseline: paying work first, without floors; first come, first served within a rank.
class PriorityOrder
{
public:
    void push(WorkTable &table, std::uint32_t item);
    void remove(WorkTable &table, std::uint32_t item);
    void start(WorkTable &table, std::uint32_t item);
    void charge(WorkTable & /*table*/, std::uint32_t /*item*/, double /*tokens*/)
    {
    }
    void idle(Rank /*rank*/)
    {
    }
    [[nodiscard]] std::uint32_t front(const WorkTable &table) const;
    [[nodiscard]] double tokensAhead(const WorkTable &table, std::uint32_t flow) const;

private:
    std::array<WorkList, RankCount> queues_;
};

// 4. Admission ------------------------------------------------------------------------------------

struct AdmissionOptions {
    std::uint32_t slots = 1;                         ///< Items that the upstream runs at once, at least 1.
    std::array<RankSpec, RankCount> ranks;           ///< Floors; indexed by Rank.
    double tokensPerSlotSecond = 50.0;               ///< Speed of one slot until it has been learned.
    Micros longestWait = 60 * MicrosPerSecond;       ///< Work that would wait longer is refused, whatever its deadline.
    Micros shortestRetryAfter = MicrosPerSecond / 4; ///< Below this a refused caller only adds load.
    Micros longestRetryAfter = 30 * MicrosPerSecond; ///< A caller that waits longer would miss the end of a surge.
    std::uint32_t reservedSlots = 0;                 ///< Slots that free work leaves idle for paying work; see reservedSlots().
    bool refuseEarly = true;                         ///< False: take everything and let it expire; for measurement.
};

/// What became of all offers so far.
struct AdmissionTotals {
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t finished = 0;
};

/// The queue of one upstream. Not thread-safe. Times in microseconds on one monotonic clock; `now` never goes back.
template<WorkOrder Order>
class Admission
{
public:
    /// \p seed spreads the Retry-After values. Preconditions: slots > 0; floors sum to at most 1.
    Admission(const AdmissionOptions &options, std::uint64_t seed);

    /// Queues \p work or refuses it. Refused work has not run and leaves no trace.
    AdmissionResult offer(const Work &work, Micros now);

    /// Starts the next item when a slot is free; 0 when nothing may start. Call until it returns 0, after each event.
    /// Expired items are never started; take them with takeExpired() first.
    Ticket startNext(Micros now);

    /// Removes and returns a queued item whose deadline has passed; 0 when there is none.
    Ticket takeExpired(Micros now);

    /// Replaces the cost of a queued or running item. Unknown tickets are ignored.
    void correctCost(Ticket ticket, double cost);

    /// Ends a running item. \p trueCost in tokens; a failed item counts with what it used. Unknown tickets are ignored.
    void finish(Ticket ticket, double trueCost, Micros now);

    /// Removes a queued item and returns true. A running or unknown item stays as it is: false.
    bool cancel(Ticket ticket);

    /// How long a new item of \p account would wait before it starts.
    [[nodiscard]] Micros expectedWait(Rank rank, std::string_view account, Micros now);

    /// The earliest deadline in the queue; 0 when it is empty.
    [[nodiscard]] Micros nextDeadline() const;

    /// Applies a new document's slots and floors; running items stay.
    void configure(std::uint32_t slots, const std::array<RankSpec, RankCount> &ranks);

    [[nodiscard]] std::uint32_t queued(Rank rank) const;
    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::uint32_t running(Rank rank) const;
    /// Learned tokens per second of the whole upstream when all slots are busy.
    [[nodiscard]] double tokensPerSecond() const;
    [[nodiscard]] const AdmissionTotals &totals() const;
    /// Slots that free work may not take now. Running work cannot be preempted, so without a reserve paying work waits for the
    /// next slot that becomes free. None are reserved while paying work is absent, nor more than the free rank's floor allows.
    [[nodiscard]] std::uint32_t reservedSlots() const;
    /// Checks the tables against one another: each offer has ended once or is queued or running, sums and heaps agree, no
    /// more runs than there are slots, and nothing beside alone work. Returns what is wrong, or nothing. Slow; for tests.
    [[nodiscard]] std::string violation() const;

private:
    struct NameHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): the name that the standard library looks for.
        std::size_t operator()(std::string_view name) const
        {
            return std::hash<std::string_view>{}(name);
        }
    };
    using FlowNames = std::unordered_map<std::string, std::uint32_t, NameHash, std::equal_to<>>;

    std::uint32_t flowOf(const Work &work);
    std::uint32_t newItem();
    bool withdraw(std::uint32_t item);
    void freeItem(std::uint32_t item);
    void dequeue(std::uint32_t item);
    void noteDemand(double payingCost, Micros now);
    void run(std::uint32_t item, Micros now);
    void noteIdle(Rank rank);
    void noteWait(std::uint32_t item, Micros now);
    [[nodiscard]] std::uint32_t find(Ticket ticket) const;
    [[nodiscard]] Ticket ticketOf(std::uint32_t item) const;
    [[nodiscard]] Micros estimateOf(std::uint32_t flow) const;
    [[nodiscard]] Micros correctedWait(std::uint32_t flow, Micros estimate) const;
    [[nodiscard]] bool heldBack(std::uint32_t item) const;
    AdmissionResult refuse(const Work &work, Micros wait, Micros now);
    void placeDeadline(std::uint32_t position, std::uint32_t item);
    void siftDeadline(std::uint32_t position);
    void removeDeadline(std::uint32_t item);

    AdmissionOptions options_;
    WorkTable table_;
    Order order_;
    Random random_;
    std::array<FlowNames, RankCount> flowNames_;
    std::vector<std::uint32_t> deadlines_; ///< Heap of queued items, the earliest deadline first.
    AdmissionTotals totals_;
    std::uint32_t unusedItem_ = NoIndex;
    std::uint32_t exclusiveItem_ = NoIndex; ///< Waits for the upstream to become empty, or runs alone on it.
    double slotTokens_ = 0.0;               ///< Decayed sums over finished items, for the speed of a slot.
    double slotSeconds_ = 0.0;
    double itemCost_ = 0.0;                       ///< Decayed mean cost of an item.
    double payingTokens_ = 0.0;                   ///< Decayed sum of the paying rank's demand.
    Micros demandAt_ = 0;                         ///< When payingTokens_ was last decayed.
    std::array<Micros, RankCount> bookedUntil_{}; ///< Refused work has been sent away until then.
};

extern template class Admission<FairOrder>;
extern template class Admission<FifoOrder>;
extern template class Admission<PriorityOrder>;

} // namespace Carobhall
