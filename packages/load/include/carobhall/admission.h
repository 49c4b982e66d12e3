#pragma once

// Admission control and queueing for one upstream: which work waits, which starts next, and which is refused early.
//
//     Admission<FairOrder> admission({.slots = 16, .ranks = document.ranks}, seed);
//     AdmissionResult admitted = admission.offer({.account = "guild", .rank = Rank::Paying, .cost = 1200, .deadline = now + timeout}, now);
//     if (!admitted) { ... answer Refused with NotRun, admitted.error and admitted.retryAfter ... }
//     while (Ticket expired = admission.takeExpired(now)) { ... answer Refused with NotRun ... }
//     while (Ticket next = admission.startNext(now)) { ... call the upstream ... }
//     admission.correctCost(ticket, knownCost);                 // when the length of the cached prefix is known
//     admission.finish(ticket, trueCost, now);                  // then call startNext() again
//     admission.cancel(ticket);                                 // the caller left; true if the work was queued and has been removed
//
// Every offered piece of work ends in exactly one way: refused by offer(), expired, cancelled while queued, or finished. Work that
// startNext() has not returned has not run. The verdict NotRun is therefore correct for every refusal, expiry and cancellation.
//
// The order in which queued work starts is a policy class. FairOrder is used in production; FifoOrder and PriorityOrder are baselines
// for measurements. Nothing here reads a clock. Memory is allocated only while the number of items or accounts in use exceeds its
// previous maximum.
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

/// Random number generator for decisions. Seeded by the owner.
using Random = std::mt19937_64;

// 1. Work -----------------------------------------------------------------------------------------

/// Identifies a piece of admitted work until it ends; unique within one Admission. Zero means none.
using Ticket = std::uint64_t;

struct Work {
    std::string_view account{};
    Rank rank = Rank::Free;
    double share = 1.0;     ///< Weight of the account within its rank, above 0.
    double cost = 1.0;      ///< In tokens: uncached prefill plus expected generation, above 0.
    Micros deadline = 0;    ///< Latest start, on the clock of `now`; 0: only AdmissionOptions::maxWait applies.
    bool exclusive = false; ///< Runs with no other work on the upstream.
};

/// The result of an offer: a ticket, or the reason for the refusal.
struct AdmissionResult {
    Ticket ticket = 0;
    Errc error{};          ///< When refused: DeadlineUnreachable or Overloaded.
    Micros retryAfter = 0; ///< When refused: spread over the time that the upstream needs for the refused work.

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

    void append(WorkTable &table, std::uint32_t itemIndex);
    void unlink(WorkTable &table, std::uint32_t itemIndex);
};

/// One piece of work that is queued or running.
struct WorkItem {
    enum class State : std::uint8_t { Unused, Queued, Running };

    std::uint32_t generation = 0;          ///< Counts the uses of this table slot, so that an outdated ticket is recognised.
    std::uint32_t flowIndex = NoIndex;     ///< Index of its WorkFlow in the table.
    std::uint32_t previous = NoIndex;      ///< Neighbour in a queue of the order policy.
    std::uint32_t next = NoIndex;          ///< Neighbour in the queue; also links unused table slots.
    std::uint32_t deadlineIndex = NoIndex; ///< Position in the heap of deadlines.
    State state = State::Unused;
    bool exclusive = false;
    bool countsTowardsFloor = false; ///< Free work, or paying work that started while free work waited: changes the free rank's credit.
    double cost = 0.0;
    Micros deadline = 0;
    Micros startedAt = 0;
    Micros offeredAt = 0;
    Micros estimatedWait = 0; ///< When it was offered, before the correction by the flow's wait factor.
};

/// The work of one account in one rank.
struct WorkFlow {
    Rank rank = Rank::Free;
    double share = 1.0;
    double queuedCost = 0.0;
    double finishTag = 0.0;            ///< Virtual time at which the share of the flow covers all its started work.
    double startTag = 0.0;             ///< Virtual time at which the first queued item may start.
    WorkList queue;                    ///< Queued items in order of arrival.
    std::uint32_t heapIndex = NoIndex; ///< Position in the heap of waiting flows.
    std::uint64_t arrivalNumber = 0;   ///< Breaks ties between equal start tags: the flow that started to wait first goes first.
    double waitFactor = 1.0;           ///< Learned ratio of actual to estimated waits.
};

/// State shared with the order policies. Owned by Admission.
struct WorkTable {
    std::vector<WorkItem> items;
    std::vector<WorkFlow> flows;
    std::array<RankSpec, RankCount> ranks;
    std::array<double, RankCount> queuedCost{};         ///< Tokens queued, by rank.
    std::array<std::uint32_t, RankCount> queuedItems{}; ///< Items queued, by rank.
    std::array<std::uint32_t, RankCount> runningItems{};
    double payingLoad = 0.0;   ///< Recent demand of the paying rank as a fraction of the upstream's throughput.
    double maxFloorDebt = 0.0; ///< Limit, in tokens, of the negative credit that the free rank gets by running beyond its floor.
    std::uint32_t slots = 1;   ///< Items that the upstream runs at once.
    double burstTokens = 0.0;  ///< Tokens that an account may start ahead of its share after it used less than its share.
};

// 3. Order policies -------------------------------------------------------------------------------

/// Decides which queued item starts next. Admission updates the queue counters of the table after push(), and before remove() and
/// start().
template<typename Order>
concept WorkOrder = requires(Order order, const Order constOrder, WorkTable &table, const WorkTable &constTable, std::uint32_t index, double tokens, Rank rank)
{
    order.push(table, index);               // A new item joins the queue.
    order.remove(table, index);             // A queued item leaves without having run.
    order.start(table, index);              // A queued item starts; its estimated cost is charged.
    order.adjustCost(table, index, tokens); // The cost of a queued or running item has changed by this difference.
    order.onIdle(rank);                     // No work of the rank is queued or running.
    {
        constOrder.front(constTable)
        } -> std::same_as<std::uint32_t>; // The item to start next; NoIndex when none is queued.
    {
        constOrder.tokensAhead(constTable, index)
        } -> std::same_as<double>; // Queued work ahead of a new item of a flow, in tokens at the upstream's full throughput.
};

/// Paying work goes first, except that the free rank keeps its floor (RankSpec::floor, its guaranteed share of the upstream). Within a
/// rank, weighted fair queueing over accounts.
///
/// Floors: paying work has precedence, so only the free rank needs a mechanism for its floor. The free rank has a credit in tokens. It
/// grows by the floor's share of every token that starts while free work waits, and shrinks by all tokens that the free rank starts,
/// whether or not paying work waits: a surge of free work that gets more than its floor anyway must not gain precedence. Waiting free
/// work goes first while the credit is not negative and the free rank runs on no more than its floor's share of the slots. Without the
/// slot condition, paying work that starts in bursts would earn credit for a free rank that already runs on half of the slots. Idle
/// time earns no credit, and the debt is bounded by WorkTable::maxFloorDebt.
///
/// Fairness: start-time fair queueing. The next item of a flow gets the start tag max(virtual time - burst, the flow's finish tag), and
/// the flow with the lowest start tag goes first. Correcting a cost moves the finish tag. The burst (WorkTable::burstTokens) lets an
/// account that used less than its share start a few requests at once, without waiting between them.
class FairOrder
{
public:
    void push(WorkTable &table, std::uint32_t itemIndex);
    void remove(WorkTable &table, std::uint32_t itemIndex);
    void start(WorkTable &table, std::uint32_t itemIndex);
    void adjustCost(WorkTable &table, std::uint32_t itemIndex, double tokens);
    void onIdle(Rank rank);
    [[nodiscard]] std::uint32_t front(const WorkTable &table) const;
    [[nodiscard]] double tokensAhead(const WorkTable &table, std::uint32_t flowIndex) const;

private:
    struct RankQueue {
        std::vector<std::uint32_t> heap; ///< Waiting flows, lowest start tag first.
        double virtualTime = 0.0;
        double lastFinish = 0.0; ///< Highest finish tag assigned so far.
    };

    void removeFromFlow(WorkTable &table, std::uint32_t itemIndex);
    void sift(WorkTable &table, RankQueue &queue, std::uint32_t position);
    void removeFromHeap(WorkTable &table, RankQueue &queue, std::uint32_t flowIndex);
    void updateFreeCredit(const WorkTable &table, Rank rank, double tokens);
    [[nodiscard]] double tokensAheadInRank(const WorkTable &table, std::uint32_t flowIndex) const;

    std::array<RankQueue, RankCount> queues_;
    double freeCredit_ = 0.0; ///< Tokens that the free rank is short of its floor; negative when it has run beyond its floor.
    std::uint64_t arrivalCount_ = 0;
};

/// Baseline: first in, first out.
class FifoOrder
{
public:
    void push(WorkTable &table, std::uint32_t itemIndex);
    void remove(WorkTable &table, std::uint32_t itemIndex);
    void start(WorkTable &table, std::uint32_t itemIndex);
    void adjustCost(WorkTable & /*table*/, std::uint32_t /*itemIndex*/, double /*tokens*/)
    {
    }
    void onIdle(Rank /*rank*/)
    {
    }
    [[nodiscard]] std::uint32_t front(const WorkTable &table) const;
    [[nodiscard]] double tokensAhead(const WorkTable &table, std::uint32_t flowIndex) const;

private:
    WorkList queue_;
};

/// Baseline: paying work first, without floors. First in, first out within a rank.
class PriorityOrder
{
public:
    void push(WorkTable &table, std::uint32_t itemIndex);
    void remove(WorkTable &table, std::uint32_t itemIndex);
    void start(WorkTable &table, std::uint32_t itemIndex);
    void adjustCost(WorkTable & /*table*/, std::uint32_t /*itemIndex*/, double /*tokens*/)
    {
    }
    void onIdle(Rank /*rank*/)
    {
    }
    [[nodiscard]] std::uint32_t front(const WorkTable &table) const;
    [[nodiscard]] double tokensAhead(const WorkTable &table, std::uint32_t flowIndex) const;

private:
    std::array<WorkList, RankCount> queues_;
};

// 4. Admission ------------------------------------------------------------------------------------

struct AdmissionOptions {
    std::uint32_t slots = 1;                     ///< Items that the upstream runs at once, at least 1.
    std::array<RankSpec, RankCount> ranks;       ///< Floors; indexed by Rank.
    double tokensPerSlotSecond = 50.0;           ///< Throughput of one slot until it has been learned.
    Micros maxWait = 60 * MicrosPerSecond;       ///< Work that would wait longer is refused, whatever its deadline.
    Micros minRetryAfter = MicrosPerSecond / 4;  ///< A refused caller that returns earlier only adds load.
    Micros maxRetryAfter = 30 * MicrosPerSecond; ///< A caller that waits longer would miss the end of a surge.
    std::uint32_t reservedSlots = 0;             ///< Slots that free work leaves idle for paying work; see Admission::reservedSlots().
    bool refuseEarly = true;                     ///< False, for measurements: accepts all work and lets it expire.
};

/// Counts of all offers so far, by outcome.
struct AdmissionTotals {
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t finished = 0;
};

/// The queue of one upstream. Not thread-safe. Times are in microseconds on one monotonic clock; `now` must not decrease.
template<WorkOrder Order>
class Admission
{
public:
    /// \p seed randomizes the Retry-After values. Preconditions: slots > 0; the floors sum to at most 1.
    Admission(const AdmissionOptions &options, std::uint64_t seed);

    /// Queues \p work or refuses it. Refused work has not run and is not kept in the tables.
    AdmissionResult offer(const Work &work, Micros now);

    /// Starts the next item if a slot is free; 0 when nothing may start. After each event call it until it returns 0. Expired items are
    /// never started; remove them with takeExpired() first.
    Ticket startNext(Micros now);

    /// Removes and returns a queued item whose deadline has passed; 0 when there is none.
    Ticket takeExpired(Micros now);

    /// Replaces the cost of a queued or running item. Unknown tickets are ignored.
    void correctCost(Ticket ticket, double cost);

    /// Ends a running item. \p trueCost is in tokens; for a failed item, the tokens that it used. Unknown tickets are ignored.
    void finish(Ticket ticket, double trueCost, Micros now);

    /// Removes a queued item and returns true. Returns false, without effect, for a running or unknown item.
    bool cancel(Ticket ticket);

    /// The estimated time that a new item of \p account would wait before it starts.
    [[nodiscard]] Micros expectedWait(Rank rank, std::string_view account, Micros now);

    /// The earliest deadline in the queue; 0 when it is empty.
    [[nodiscard]] Micros nextDeadline() const;

    /// Applies the slots and floors of a new document. Running items are not affected.
    void configure(std::uint32_t slots, const std::array<RankSpec, RankCount> &ranks);

    [[nodiscard]] std::uint32_t queued(Rank rank) const;
    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::uint32_t running(Rank rank) const;
    /// Learned throughput in tokens per second of the whole upstream when all slots are busy.
    [[nodiscard]] double tokensPerSecond() const;
    [[nodiscard]] const AdmissionTotals &totals() const;
    /// Slots that free work may not take at present. Running work cannot be preempted, so without reserved slots paying work would have
    /// to wait for the next slot to become free. No slots are reserved while there is no paying work, and never so many that the free
    /// rank would fall below its floor.
    [[nodiscard]] std::uint32_t reservedSlots() const;
    /// Checks the consistency of the tables: each offer has ended once or is queued or running, the sums and the heap of deadlines match
    /// the items, and exclusive work runs with no other work. Returns the first violation, or an empty string. Slow; for tests.
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
    std::uint32_t allocateItem();
    bool removeQueued(std::uint32_t itemIndex);
    void releaseItem(std::uint32_t itemIndex);
    void dequeue(std::uint32_t itemIndex);
    void updateDemand(double payingCost, Micros now);
    void startItem(std::uint32_t itemIndex, Micros now);
    void notifyIfIdle(Rank rank);
    void updateWaitFactor(std::uint32_t itemIndex, Micros now);
    [[nodiscard]] std::uint32_t find(Ticket ticket) const;
    [[nodiscard]] Ticket ticketOf(std::uint32_t itemIndex) const;
    [[nodiscard]] Micros estimateWait(std::uint32_t flowIndex) const;
    [[nodiscard]] Micros correctedWait(std::uint32_t flowIndex, Micros estimatedWait) const;
    [[nodiscard]] bool blockedByReserve(std::uint32_t itemIndex) const;
    AdmissionResult refuse(const Work &work, Micros wait, Micros now);
    void placeDeadline(std::uint32_t position, std::uint32_t itemIndex);
    void siftDeadline(std::uint32_t position);
    void removeDeadline(std::uint32_t itemIndex);

    AdmissionOptions options_;
    WorkTable table_;
    Order order_;
    Random random_;
    std::array<FlowNames, RankCount> flowNames_;
    std::vector<std::uint32_t> deadlines_; ///< Heap of queued items, earliest deadline first.
    AdmissionTotals totals_;
    std::uint32_t firstUnusedItem_ = NoIndex; ///< Head of the list of unused table slots.
    std::uint32_t exclusiveItem_ = NoIndex;   ///< Exclusive item that waits for the upstream to become idle, or runs on it.
    double slotTokens_ = 0.0;                 ///< Decayed sums over finished items, from which the throughput of a slot is computed.
    double slotSeconds_ = 0.0;
    double meanItemCost_ = 0.0;                        ///< Decayed mean cost of an item.
    double recentPayingTokens_ = 0.0;                  ///< Decayed sum of the paying rank's demand.
    Micros demandUpdatedAt_ = 0;                       ///< When recentPayingTokens_ was last decayed.
    std::array<Micros, RankCount> retryBookedUntil_{}; ///< Up to when the upstream is booked by the Retry-After times of refused work.
};

extern template class Admission<FairOrder>;
extern template class Admission<FifoOrder>;
extern template class Admission<PriorityOrder>;

} // namespace Carobhall
