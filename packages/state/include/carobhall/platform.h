#pragma once

// Client for the platform's object API: single calls, conditional writes that tolerate lost replies, and watches.
//
//     SoupTransport transport({.address = "10.0.0.1:8080", .context = context});
//     PlatformClient client(transport, {.seed = incarnation});
//     client.call(getCall("leases", "placement"), now, [](PlatformReply reply, Micros now) { ... });
//     client.update(object, changedSpec, now, now + 2 * MicrosPerSecond, [](PlatformReply reply, Micros now) { ... });
//     client.tick(now);   // every 10 ms
//
// This code neither reads a clock nor performs I/O. The transport does both and passes the time to the reply handlers. A handler
// is never invoked from within the call that it was passed to.
//
// Index
//   1. Objects and calls
//   2. Transport        concept for implementations
//   3. Pacing           call budget, backoff, circuit breaker
//   4. PlatformClient
//   5. ObjectWatcher    a watch that resumes, detects gaps and lists again

#include "carobhall/base.h"

#include <functional>
#include <json/value.h>
#include <random>

namespace Carobhall
{

// 1. Objects and calls ----------------------------------------------------------------------------

inline constexpr std::size_t PlatformValueLimit = std::size_t{ 1 } << 20U; ///< Maximum size of one value in bytes.

// A platform that is restored from a copy loses its newest writes, and counts its revisions on from those of the copy: a revision is given out
// again, for another write. Each restore begins a new era. A version contains the era beside the revision, so that versions of different
// eras are never equal and those of the newer era are higher.

inline constexpr unsigned RevisionBits = 40;

/// The version of \p revision in \p era. A platform that names no era has era 0. Precondition: the revision has at most RevisionBits.
[[nodiscard]] constexpr std::uint64_t versionOf(std::uint64_t era, std::uint64_t revision)
{
    return (era << RevisionBits) | revision;
}

[[nodiscard]] constexpr std::uint64_t eraOf(std::uint64_t version)
{
    return version >> RevisionBits;
}

[[nodiscard]] constexpr std::uint64_t revisionOf(std::uint64_t version)
{
    return version & ((std::uint64_t{ 1 } << RevisionBits) - 1);
}

struct PlatformObject {
    std::string kind;
    std::string name;
    std::string uid;           ///< Changes when an object is deleted and created again under the same name.
    std::uint64_t version = 0; ///< Increases with each write to any object of the platform; see versionOf().
    Json::Value spec;
    /// ObjectWatcher: the object was written in the era of its version. False: this is not known, so that it may be the copy of an earlier era.
    bool isWrittenInEra = false;
};

enum class PlatformVerb : std::uint8_t { Get, List, Create, Update, Delete };

template<>
struct EnumNames<PlatformVerb> {
    static constexpr std::array rows{
        EnumName{ PlatformVerb::Get, "get" },       EnumName{ PlatformVerb::List, "list" },     EnumName{ PlatformVerb::Create, "create" },
        EnumName{ PlatformVerb::Update, "update" }, EnumName{ PlatformVerb::Delete, "delete" },
    };
};

[[nodiscard]] constexpr bool isWrite(PlatformVerb verb)
{
    return verb == PlatformVerb::Create || verb == PlatformVerb::Update || verb == PlatformVerb::Delete;
}

struct PlatformCall {
    PlatformVerb verb = PlatformVerb::Get;
    std::string kind;
    std::string name;              ///< Empty for List.
    std::uint64_t baseVersion = 0; ///< Update and Delete take effect only if the object has this version.
    Json::Value spec;              ///< New value, for Create and Update.
    bool mayBeStale = false;       ///< List: the reply may be seconds old, which costs a tenth of a call.
};

/// The verdict describes a write: NotRun if it has not taken effect and never will, Ran if it has taken effect, MayHaveRun if
/// this is unknown. Reads have the verdict NotRun.
///
/// Errors: Conflict, AlreadyExists, NotFound, TooLarge (replies of the platform), Overloaded (call budget exceeded, or rate
/// limited by the platform), PlatformUnavailable, Timeout, ConnectionLost, MalformedMessage.
struct PlatformReply {
    std::error_code error;
    Verdict verdict = Verdict::NotRun;
    PlatformObject object;             ///< Set for Get, Create and Update.
    std::vector<PlatformObject> items; ///< Set for List.
    std::uint64_t listVersion = 0;     ///< Set for List: the version from which a watch continues.
    std::uint64_t era = 0;             ///< The platform's era when it replied; 0: it did not reply, or names no era.
};

using ReplyHandler = std::function<void(PlatformReply, Micros now)>;

enum class WatchEventType : std::uint8_t {
    Put,     ///< The object was created or changed.
    Deleted, ///< The object was deleted; `object.version` is the version of the deletion.
    Gone,    ///< The watch has ended because the requested start version is no longer available.
    Closed,  ///< The watch has ended for any other reason.
    Alive,   ///< The platform has replied. Precedes the events of the reply; there may be none.
};

template<>
struct EnumNames<WatchEventType> {
    static constexpr std::array rows{
        EnumName{ WatchEventType::Put, "put" },       EnumName{ WatchEventType::Deleted, "deleted" }, EnumName{ WatchEventType::Gone, "gone" },
        EnumName{ WatchEventType::Closed, "closed" }, EnumName{ WatchEventType::Alive, "alive" },
    };
};

struct WatchEvent {
    WatchEventType type = WatchEventType::Closed;
    PlatformObject object;
    std::uint64_t era = 0; ///< As in PlatformReply.
};

using WatchHandler = std::function<void(WatchEvent, Micros now)>;
using WatchId = std::uint64_t; ///< Never 0.

// 2. Transport ------------------------------------------------------------------------------------

/// Sends calls to the platform. Each call gets exactly one reply, never before call() returns; the transport sets its error and
/// verdict. A watch receives events until Gone, Closed or cancelWatch().
template<typename T>
concept PlatformTransport = requires(T &transport, PlatformCall call, ReplyHandler onReply, std::string kind, WatchHandler onEvent)
{
    transport.call(std::move(call), std::move(onReply));
    {
        transport.watch(std::move(kind), std::uint64_t{}, std::move(onEvent))
        } -> std::same_as<WatchId>;
    transport.cancelWatch(WatchId{});
};

// 3. Pacing ---------------------------------------------------------------------------------------

using Generator = std::mt19937_64;

/// Call rates of the whole fleet. They are below the capacity of the platform (several hundred writes and two thousand reads per
/// second).
inline constexpr double FleetWritesPerSecond = 240.0;
inline constexpr double FleetReadsPerSecond = 1'600.0;

/// A token bucket. Not thread-safe.
class TokenBucket
{
public:
    /// \p rate is in tokens per second. The bucket starts full.
    TokenBucket(double rate, double burst);
    void setRate(double rate, Micros now);
    bool take(Micros now);
    /// Takes \p tokens even if the bucket holds fewer. The balance may become negative, down to minus the burst.
    void charge(double tokens, Micros now);

private:
    void refill(Micros now);

    double rate_;
    double burst_;
    double tokens_;
    Micros refilledAt_ = 0;
};

/// Exponential backoff with full jitter: each delay is uniformly distributed between 0 and a bound that doubles up to \p cap.
class Backoff
{
public:
    Backoff(Micros base, Micros cap);
    [[nodiscard]] Micros next(Generator &generator);
    void reset();

private:
    Micros base_;
    Micros cap_;
    Micros bound_;
};

struct BreakerOptions {
    std::uint32_t failuresToOpen = 5;
    Micros openBase = 200 * MicrosPerMilli; ///< Upper bound of the first open period; doubles with each failed trial call.
    Micros openCap = MicrosPerSecond;       ///< Low, because a configuration must take effect within 3 s after an outage.
};

/// Rejects calls after consecutive failures and periodically allows one trial call. Not thread-safe.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(BreakerOptions options);
    /// Whether a call may be sent now. In the half-open state one trial call is allowed until its outcome is known.
    bool allow(Micros now);
    /// Returns an allowed trial call that was not sent.
    void withdrawTrial();
    void succeeded();
    void failed(Micros now, Generator &generator);
    [[nodiscard]] bool isOpen() const;

private:
    BreakerOptions options_;
    Backoff backoff_;
    std::uint32_t failures_ = 0;
    Micros openUntil_ = 0;
    bool open_ = false;
    bool trial_ = false;
};

// 4. PlatformClient -------------------------------------------------------------------------------

struct PlatformClientOptions {
    std::uint64_t seed = 1;                 ///< Seeds the jitter and is part of the identities of writes; must be unique per process start.
    Micros callTimeout = MicrosPerSecond;   ///< Timeout of one call, and separately of its wait for the call budget.
    double clientCount = 1.0;               ///< Processes that share the fleet's call rates; see setClientCount().
    double burst = 20.0;                    ///< Calls that may be sent at once after an idle period.
    std::size_t maxQueued = 256;            ///< Maximum number of calls waiting for the budget; further calls are refused.
    Micros retryBase = 20 * MicrosPerMilli; ///< Initial bound of the backoff between the attempts and read-backs of a conditional write.
    Micros retryCap = 500 * MicrosPerMilli;
    BreakerOptions breaker{};
};

struct PlatformStats {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0; ///< Watches opened.
    std::uint64_t refused = 0; ///< Calls refused by the budget or the circuit breaker, without reaching the platform.
    std::uint64_t timeouts = 0;
    std::uint64_t lateReplies = 0;
    std::uint64_t inDoubt = 0;    ///< Conditional writes that were read back because the reply left their outcome unknown.
    std::uint64_t unresolved = 0; ///< Conditional writes whose outcome was still unknown at their deadline.
    std::uint64_t restores = 0;   ///< Times that a newer era was noticed.
};

/// Makes all calls of a process to the platform. Not thread-safe. The transport must outlive the client. Replies that arrive
/// after the client was destroyed are dropped.
///
/// The client follows the platform's era. When any reply, or a peer, shows a newer one, all watches end with Gone, because they may have
/// missed changes. Replies of an earlier era are treated as lost. A conditional write whose base version is of an earlier era is refused
/// as a conflict without a call.
class PlatformClient
{
public:
    template<PlatformTransport Transport>
    PlatformClient(Transport &transport, PlatformClientOptions options)
        : PlatformClient(Calls{
                             .call = [&transport](PlatformCall call, ReplyHandler done) { transport.call(std::move(call), std::move(done)); },
                             .watch = [&transport](std::string kind, std::uint64_t from,
                                                   WatchHandler handler) { return transport.watch(std::move(kind), from, std::move(handler)); },
                             .cancelWatch = [&transport](WatchId id) { transport.cancelWatch(id); },
                         },
                         options)
    {
    }
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /// Makes a single attempt. The handler is invoked exactly once, unless the client is destroyed first.
    void call(PlatformCall call, Micros now, ReplyHandler done);

    /// Conditionally updates \p base, or creates it if \p base has no version, and determines the outcome even if replies are
    /// lost. The identity of the write is stored in the value. After a lost reply the object is read back. If it still has the
    /// base version, the write is retried on that version; at most one of these writes can take effect. MayHaveRun is reported
    /// only if \p deadline passes first, or if the object was deleted or its list of recent writes no longer includes the write
    /// on the base version.
    /// Precondition: \p spec is an object.
    void update(const PlatformObject &base, Json::Value spec, Micros now, Micros deadline, ReplyHandler done);

    /// Opens a watch. An open watch is charged to the read budget at one read per second.
    WatchId watch(std::string kind, std::uint64_t from, Micros now, WatchHandler onEvent);
    void cancelWatch(WatchId id);

    /// A peer has seen the platform in \p era. Ends the watches if the era is new to this process.
    void noteEra(std::uint64_t era, Micros now);
    /// The newest era that this process knows of; 0: none.
    [[nodiscard]] std::uint64_t era() const;
    /// Registers \p listener, which is called after each change to a newer era for the lifetime of the client. Not called for the first
    /// era that the process learns of.
    void onRestored(std::function<void(Micros now)> listener);

    /// Sets the number of processes that currently make calls. Each gets an equal share of the fleet's call rates.
    void setClientCount(double clientCount, Micros now);

    /// Expires calls, sends queued calls and runs retries. Must be called every 10 ms.
    void tick(Micros now);

    /// False while the circuit breaker is open.
    [[nodiscard]] bool available() const;
    [[nodiscard]] const PlatformStats &stats() const;
    [[nodiscard]] Generator &generator();

private:
    struct Calls {
        std::function<void(PlatformCall, ReplyHandler)> call;
        std::function<WatchId(std::string, std::uint64_t, WatchHandler)> watch;
        std::function<void(WatchId)> cancelWatch;
    };
    struct Impl;
    PlatformClient(Calls calls, PlatformClientOptions options);
    std::shared_ptr<Impl> impl_;
};

[[nodiscard]] PlatformCall getCall(std::string kind, std::string name);
[[nodiscard]] PlatformCall listCall(std::string kind);
/// A list that may be seconds old.
[[nodiscard]] PlatformCall staleListCall(std::string kind);
/// Create if \p base has no version, otherwise Update of that version.
[[nodiscard]] PlatformCall writeCall(const PlatformObject &base, Json::Value spec);

// 5. ObjectWatcher --------------------------------------------------------------------------------

struct WatcherOptions {
    std::string kind;
    std::string name;                          ///< Name of the object to watch; empty: all objects of the kind.
    Micros relistEvery = 30 * MicrosPerSecond; ///< Interval of full lists, which detect an open watch without events. Jittered by up to half.
    Micros retryBase = 100 * MicrosPerMilli;
    Micros retryCap = MicrosPerSecond;
    /// Time from the first list of an era until objects that the copy lacked and that nobody has written again count as deleted, and until the
    /// objects of the copy count as settled.
    Micros restoreGrace = 2500 * MicrosPerMilli;
    /// Called once for each newer version, in order, and again for all objects of the first list of an era.
    std::function<void(const PlatformObject &, Micros now)> onObject;
    std::function<void(const std::string &name, Micros now)> onDeleted{}; ///< May be empty.
    /// Called instead of onDeleted for objects that a copy lacked and that nobody has written again within restoreGrace: whether they were deleted
    /// is not known. Empty: onDeleted is called.
    std::function<void(const std::string &name, Micros now)> onLost{};
    /// Called for each object of a list whose version is known already. Some of its fields may have changed without a new version. May be empty.
    std::function<void(const PlatformObject &, Micros now)> onUnchanged{};
    /// Called for each object of the first list of an era that has the same version in a list requested after restoreGrace: nobody has written
    /// it again. If set, this is also found out for the era in which the watcher starts. May be empty.
    std::function<void(const PlatformObject &, Micros now)> onSettled{};
};

/// Reports changes to the objects of one kind. Not thread-safe. The client must outlive it.
class ObjectWatcher
{
public:
    ObjectWatcher(PlatformClient &client, WatcherOptions options);
    ~ObjectWatcher();
    ObjectWatcher(const ObjectWatcher &) = delete;
    ObjectWatcher &operator=(const ObjectWatcher &) = delete;

    void tick(Micros now);
    [[nodiscard]] bool isWatching() const;
    /// Newest version seen of any object of the kind.
    [[nodiscard]] std::uint64_t version() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace Carobhall
