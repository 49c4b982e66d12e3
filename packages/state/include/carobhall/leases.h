#pragma once

// Leases with fencing tokens: who may give an order to an upstream, and which loads of weights may run.
//
//     Leases leases(client, {.environment = "guild", .holder = incarnation});
//     leases.acquire(serverLease("engine-1", "load-7"), now, [&](LeaseAnswer answer, Micros now) { ... });
//     if (leases.mayAct(name, answer.token, monotonicNow(), callTime)) { ... }   // before each action, with a fresh clock
//     leases.finish(name, now);      // done: a repeat of the order is answered as Done
//     leases.release(name, now);     // not done: the next holder may try
//     leases.tick(now);              // every 10 ms
//
// A lease is a row in an object of the platform; an object has as many rows as there may be holders at once. Rows change by
// conditional writes only. A fencing token is greater than all earlier ones of its object, also after the object was deleted.
//
// No wall clock is involved. A holder counts from before it sent the write that holds its row; another process counts from
// when it first saw that row in that state. So the others always wait longer than the holder may act, as long as the rates of
// two monotonic clocks differ by less than LeaseMarginShare. The holder's clock must not stop while its VM is suspended.
//
// Index
//   1. Requests and answers
//   2. Leases
//   3. OrderGate        refuses stale tokens for engines that do not check them
//   4. OrderRunner      one order to one upstream: lease, load slot, check, call
//   5. Values           for the operators' tools and for tests

#include "carobhall/platform.h"

namespace Carobhall
{

// 1. Requests and answers -------------------------------------------------------------------------

using FencingToken = std::uint64_t; ///< 0: none.

inline constexpr const char *LeaseKind = "leases";
inline constexpr std::size_t LoadSlots = 2;       ///< Engines load slower when more than two servers load weights at once.
inline constexpr double LeaseMarginShare = 0.1;   ///< Of the duration, by which a holder stops acting early.
inline constexpr std::size_t RecordedOrders = 64; ///< Finished orders that a lease's object remembers.

struct LeaseRequest {
    std::string name;
    std::string order;                      ///< Identity of what is done under the lease; one order holds one row at most.
    std::size_t capacity = 1;               ///< Holders at once; the same in all requests for the name.
    Micros duration = 60 * MicrosPerSecond; ///< With renewals four times within it, 0.07 writes a second, below a process's share of the fleet's writes.
    Micros timeout = 60 * MicrosPerSecond;  ///< Of the wait for a free row.
};

/// The lease that each order to \p server needs.
[[nodiscard]] LeaseRequest serverLease(const std::string &server, const std::string &order);
/// The lease that an order needs which loads weights for up to \p loadBound. It outlasts the load when its holder crashes.
[[nodiscard]] LeaseRequest loadSlot(const std::string &order, Micros loadBound);

enum class LeaseDecision : std::uint8_t { Granted, Done, Refused };

template<>
struct EnumNames<LeaseDecision> {
    static constexpr std::array rows{
        EnumName{ LeaseDecision::Granted, "granted" },
        EnumName{ LeaseDecision::Done, "done" },
        EnumName{ LeaseDecision::Refused, "refused" },
    };
};

/// Errors of Refused: Overloaded (others hold all rows, or this process uses the name for another order) and
/// PlatformUnavailable. Nothing was ordered in either case.
struct LeaseAnswer {
    LeaseDecision decision = LeaseDecision::Refused;
    FencingToken token = 0; ///< Of Granted.
    std::error_code error{};
};

using LeaseHandler = std::function<void(LeaseAnswer, Micros now)>;

// 2. Leases ---------------------------------------------------------------------------------------

struct LeasesOptions {
    std::string environment;
    Incarnation holder = 0;                    ///< Of this process.
    Micros writeTimeout = 5 * MicrosPerSecond; ///< A write whose outcome is not known by then is read again from the start.
    Micros retryBase = 50 * MicrosPerMilli;    ///< First bound of the backoff after errors and while all rows are taken.
    Micros retryCap = 10 * MicrosPerSecond;    ///< 1,300 agents that wait for a slot then read 260 times a second.
    std::uint64_t seed = 1;
    std::function<void(const std::string &name, FencingToken token)> onLost; ///< Another process took the row. May be empty.
};

struct LeasesStats {
    std::uint64_t granted = 0;
    std::uint64_t renewed = 0;
    std::uint64_t takenOver = 0; ///< Rows of holders that did not renew.
    std::uint64_t lost = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknown = 0; ///< Writes whose outcome stayed unknown.
};

/// The leases of one process, at most one for each name. Not thread-safe. The client must outlive it.
class Leases
{
public:
    Leases(PlatformClient &client, LeasesOptions options);
    ~Leases();
    Leases(const Leases &) = delete;
    Leases &operator=(const Leases &) = delete;

    /// Waits for a row and keeps it renewed until finish() or release(). A repeat for the order that is held here gets the
    /// same token. The handler runs exactly once, possibly before acquire() returns.
    void acquire(LeaseRequest request, Micros now, LeaseHandler done);

    /// Whether the holder may start an action that takes up to \p needed. \p now must be read from the clock for this call,
    /// because the process may have been paused since its last tick.
    [[nodiscard]] bool mayAct(const std::string &name, FencingToken token, Micros now, Micros needed = 0) const;

    /// Gives the row up and records its order as done. Nothing happens when the name is not held or waited for.
    void finish(const std::string &name, Micros now);
    /// Gives the row up. Nothing happens when the name is not held or waited for; a waiting handler is dropped.
    void release(const std::string &name, Micros now);

    void tick(Micros now);

    /// Whether no row is held, waited for or being given up; a graceful shutdown waits for it.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] const LeasesStats &stats() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

// 3. OrderGate ------------------------------------------------------------------------------------

/// Stands in an agent before an engine that ignores fencing tokens. Not thread-safe.
class OrderGate
{
public:
    /// The server's lease has had \p token. Before the first call nothing is admitted, because a restarted agent does not know
    /// which tokens its predecessor saw.
    void learn(FencingToken token);

    /// Empty when the order may go on; the same order under the same token may repeat, since engines recognise its identity.
    /// Errors: PlatformUnavailable (no token learned yet), StaleFencingToken, Conflict (the token belongs to another order).
    [[nodiscard]] std::error_code admit(FencingToken token, const std::string &order);

private:
    FencingToken highest_ = 0;
    FencingToken admitted_ = 0;
    std::string order_; ///< Of the admitted token.
};

// 4. OrderRunner ----------------------------------------------------------------------------------

struct EngineOrder {
    std::string id;     ///< The same in each repeat.
    std::string action; ///< "load_model", "load_adapter", "set_version" or "set_role".
    std::string model;
    std::string weightsVersion;
    bool loadsWeights = false;
    FencingToken fencing = 0; ///< Set by the runner.
};

/// What became of an order. Ran also when an earlier try did it.
using OrderHandler = std::function<void(Verdict verdict, std::error_code error, Micros now)>;

struct OrderRunnerOptions {
    std::string server;
    Micros loadBound = 120 * MicrosPerSecond;                    ///< A load takes at most this long.
    Micros callBound = 5 * MicrosPerSecond;                      ///< Another order takes at most this long.
    std::function<Micros()> clock;                               ///< The monotonic clock, read directly before the call.
    std::function<void(const EngineOrder &, OrderHandler)> send; ///< To the engine; answers when the order has taken effect.
};

struct OrderRunnerStats {
    std::uint64_t sent = 0;
    std::uint64_t heldBack = 0; ///< Ticks in which a lease did not last long enough for the action.
    std::uint64_t stale = 0;    ///< Refused by the gate.
};

/// Gives orders to one upstream, one at a time. Not thread-safe. Leases must outlive it.
class OrderRunner
{
public:
    OrderRunner(Leases &leases, OrderRunnerOptions options);
    ~OrderRunner();
    OrderRunner(const OrderRunner &) = delete;
    OrderRunner &operator=(const OrderRunner &) = delete;

    /// Runs \p order. NotRun when no lease could be had: a later call may try again. MayHaveRun when the engine's answer was
    /// lost: a later call with the same identity settles it. Overloaded when another order is under way.
    void run(EngineOrder order, Micros now, OrderHandler done);
    void tick(Micros now);
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] OrderGate &gate();
    [[nodiscard]] const OrderRunnerStats &stats() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

// 5. Values ---------------------------------------------------------------------------------------

struct LeaseRow {
    std::string holder; ///< Incarnation of the process, hexadecimal.
    std::string order;
    FencingToken token = 0;
    std::uint64_t renewal = 0; ///< Counts the writes of this row.
    Micros duration = 0;
};

struct LeaseTable {
    FencingToken lastToken = 0;
    std::vector<LeaseRow> rows;
    std::vector<std::string> done; ///< Latest finished orders, oldest first.
};

/// Name of a lease's object. Thread-safe.
[[nodiscard]] std::string leaseObjectName(const std::string &environment, const std::string &lease);
/// Nothing when \p spec is not a lease table. Thread-safe.
[[nodiscard]] std::optional<LeaseTable> decodeLeases(const Json::Value &spec);
[[nodiscard]] Json::Value encodeLeases(const LeaseTable &table);
/// Whether \p next may follow \p before: at most \p capacity rows, tokens distinct and never reused, one row for an order.
/// Thread-safe.
[[nodiscard]] bool mayFollow(const LeaseTable &before, const LeaseTable &next, std::size_t capacity);

} // namespace Carobhall
