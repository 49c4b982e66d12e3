#pragma once

// Leases with fencing tokens. They decide which process may send an order to an upstream and which model loads may run at the
// same time.
//
//     Leases leases(client, {.environment = "guild", .holder = incarnation});
//     leases.acquire(serverLease("engine-1", "load-7"), now, [&](LeaseAnswer answer, Micros now) { ... });
//     if (leases.isValid(name, answer.token, monotonicNow(), callTime)) { ... }   // before each action, with a fresh clock
//     leases.finish(name, now);      // done: a later request for the same order is answered with Done
//     leases.release(name, now);     // not done: the next holder may try
//     leases.tick(now);              // every 10 ms
//
// Each lease name is one object of the platform, which contains one record per holder, up to the capacity of the lease. Records
// change by conditional writes only. A fencing token is greater than all earlier tokens of its object, even after the object
// was deleted and created again.
//
// No wall clock is involved. A holder measures the lease duration from a time before it sent the write that created or renewed
// its record. Other processes measure it from the time when they first saw the record in that state. A record is therefore
// taken over only after its holder has stopped acting, as long as the rates of the two monotonic clocks differ by less than
// LeaseMarginRatio. The holder's monotonic clock must keep running while its VM is suspended.
//
// Index
//   1. Requests and answers
//   2. Leases
//   3. OrderGate        rejects stale fencing tokens for engines that do not check them
//   4. OrderRunner      sends orders to one upstream: lease, load slot, check, call
//   5. Values           encoding, for the operators' tools and for tests

#include "carobhall/platform.h"

namespace Carobhall
{

// 1. Requests and answers -------------------------------------------------------------------------

using FencingToken = std::uint64_t; ///< 0: no token.

inline constexpr const char *LeaseKind = "leases";
inline constexpr std::size_t LoadSlotCount = 2;       ///< Engines load slower when more than two servers load weights at once.
inline constexpr double LeaseMarginRatio = 0.1;       ///< A holder stops acting this fraction of the duration before the lease expires.
inline constexpr std::size_t RecordedOrderCount = 64; ///< Maximum number of finished orders recorded in a lease object.

struct LeaseRequest {
    std::string name;
    std::string order;                      ///< Identity of the order that needs the lease; each order holds at most one record.
    std::size_t capacity = 1;               ///< Maximum concurrent holders; must be the same in all requests for a name.
    Micros duration = 60 * MicrosPerSecond; ///< Four renewals per duration cost 0.07 writes per second, below a process's share of the fleet's write budget.
    Micros timeout = 60 * MicrosPerSecond;  ///< How long to wait for a free record.
};

/// The lease that every order to \p server requires.
[[nodiscard]] LeaseRequest serverLease(const std::string &server, const std::string &order);
/// The additional lease of an order that loads weights for up to \p maxLoadTime. Its duration is longer than the load, so that
/// the slot stays taken until the load has ended even when the holder crashes.
[[nodiscard]] LeaseRequest loadSlotLease(const std::string &order, Micros maxLoadTime);

enum class LeaseDecision : std::uint8_t { Granted, Done, Refused };

template<>
struct EnumNames<LeaseDecision> {
    static constexpr std::array rows{
        EnumName{ LeaseDecision::Granted, "granted" },
        EnumName{ LeaseDecision::Done, "done" },
        EnumName{ LeaseDecision::Refused, "refused" },
    };
};

/// Errors of Refused: Overloaded (all records are held by others, or this process uses the name for another order) and
/// PlatformUnavailable. The order was not sent in either case.
struct LeaseAnswer {
    LeaseDecision decision = LeaseDecision::Refused;
    FencingToken token = 0; ///< Set for Granted.
    std::error_code error{};
};

using LeaseHandler = std::function<void(LeaseAnswer, Micros now)>;

// 2. Leases ---------------------------------------------------------------------------------------

struct LeasesOptions {
    std::string environment;
    Incarnation holder = 0;                    ///< Incarnation of this process.
    Micros writeTimeout = 5 * MicrosPerSecond; ///< If the outcome of a write is unknown by then, the lease object is read again.
    Micros retryBase = 50 * MicrosPerMilli;    ///< Initial bound of the backoff after errors and while all records are taken.
    Micros retryCap = 10 * MicrosPerSecond;    ///< With 1,300 agents waiting for a slot, this results in 260 reads per second.
    std::uint64_t seed = 1;
    std::function<void(const std::string &name, FencingToken token)> onLost; ///< Called when another process has taken over the record. May be empty.
};

struct LeasesStats {
    std::uint64_t granted = 0;
    std::uint64_t renewed = 0;
    std::uint64_t takenOver = 0; ///< Expired records of other holders that this process replaced.
    std::uint64_t lost = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknown = 0; ///< Writes whose outcome remained unknown.
};

/// Holds the leases of one process, at most one per name. Not thread-safe. The client must outlive it.
class Leases
{
public:
    Leases(PlatformClient &client, LeasesOptions options);
    ~Leases();
    Leases(const Leases &) = delete;
    Leases &operator=(const Leases &) = delete;

    /// Waits for a free record, takes it and renews it until finish() or release(). A second request for an order whose lease
    /// is already held by this process gets the same token. The handler is invoked exactly once, possibly before acquire()
    /// returns, unless finish() or release() drops a waiting request.
    void acquire(LeaseRequest request, Micros now, LeaseHandler done);

    /// Whether the lease is held under \p token and remains valid for an action that takes up to \p actionTime. \p now must be
    /// read from the clock for this call, because the process may have been paused since its last tick.
    [[nodiscard]] bool isValid(const std::string &name, FencingToken token, Micros now, Micros actionTime = 0) const;

    /// Releases the lease and records its order as done. Has no effect when the name is neither held nor waited for.
    void finish(const std::string &name, Micros now);
    /// Releases the lease. Has no effect when the name is neither held nor waited for; the handler of a waiting request is dropped.
    void release(const std::string &name, Micros now);

    void tick(Micros now);

    /// Whether no lease is held, waited for or being released. A graceful shutdown waits for this.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] const LeasesStats &stats() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

// 3. OrderGate ------------------------------------------------------------------------------------

/// Checks fencing tokens in the agent, on behalf of an engine that does not check them itself. Not thread-safe.
class OrderGate
{
public:
    /// Records that \p token was issued for the server's lease. Until the first call no order is admitted, because a restarted
    /// agent does not know which tokens its previous process has seen.
    void observeToken(FencingToken token);

    /// Returns no error when the order may be sent. The same order may be admitted again under the same token, because engines
    /// deduplicate orders by their identity. Errors: PlatformUnavailable (no token observed yet), StaleFencingToken, Conflict (the
    /// token belongs to another order).
    [[nodiscard]] std::error_code admit(FencingToken token, const std::string &order);

private:
    FencingToken highestToken_ = 0;
    FencingToken admittedToken_ = 0;
    std::string admittedOrder_; ///< Order that was admitted under admittedToken_.
};

// 4. OrderRunner ----------------------------------------------------------------------------------

struct EngineOrder {
    std::string id;     ///< Identity of the order, the same in every retry.
    std::string action; ///< "load_model", "load_adapter", "set_version" or "set_role".
    std::string model;
    std::string weightsVersion;
    bool loadsWeights = false;
    FencingToken leaseToken = 0; ///< Set by OrderRunner.
};

/// Receives the outcome of an order. The verdict is Ran also when an earlier attempt carried it out.
using OrderHandler = std::function<void(Verdict verdict, std::error_code error, Micros now)>;

struct OrderRunnerOptions {
    std::string server;
    Micros maxLoadTime = 120 * MicrosPerSecond;                  ///< Upper bound for an order that loads weights.
    Micros maxCallTime = 5 * MicrosPerSecond;                    ///< Upper bound for any other order.
    std::function<Micros()> clock;                               ///< Monotonic clock, read immediately before the call.
    std::function<void(const EngineOrder &, OrderHandler)> send; ///< Sends an order to the engine; the handler is invoked when the order has taken effect.
};

struct OrderRunnerStats {
    std::uint64_t sent = 0;
    std::uint64_t deferred = 0;      ///< Ticks in which an order was not sent because a lease would have expired during the action.
    std::uint64_t refusedByGate = 0; ///< Orders that OrderGate rejected.
};

/// Sends orders to one upstream, one at a time. Not thread-safe. Leases must outlive it.
class OrderRunner
{
public:
    OrderRunner(Leases &leases, OrderRunnerOptions options);
    ~OrderRunner();
    OrderRunner(const OrderRunner &) = delete;
    OrderRunner &operator=(const OrderRunner &) = delete;

    /// Runs \p order. The verdict is NotRun when a lease was not granted; the call may be retried. It is MayHaveRun when the
    /// engine's reply was lost; a retry with the same identity determines the outcome. The error is Overloaded when another
    /// order is in progress.
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

struct LeaseRecord {
    std::string holder; ///< Incarnation of the holding process, hexadecimal.
    std::string order;
    FencingToken token = 0;
    std::uint64_t renewal = 0; ///< Number of writes of this record; changes with each renewal.
    Micros duration = 0;
};

struct LeaseTable {
    FencingToken lastToken = 0;
    std::vector<LeaseRecord> records;
    std::vector<std::string> finishedOrders; ///< The most recent finished orders, oldest first.
};

/// Name of the platform object of a lease. Thread-safe.
[[nodiscard]] std::string leaseObjectName(const std::string &environment, const std::string &lease);
/// Returns nothing when \p spec is malformed. Thread-safe.
[[nodiscard]] std::optional<LeaseTable> decodeLeases(const Json::Value &spec);
[[nodiscard]] Json::Value encodeLeases(const LeaseTable &table);
/// Whether a table may change from \p before to \p next: at most \p capacity records, distinct tokens that are never reused, and
/// at most one record per order. Thread-safe.
[[nodiscard]] bool isValidTransition(const LeaseTable &before, const LeaseTable &next, std::size_t capacity);

} // namespace Carobhall
