#pragma once

// Access to the platform's object API: single calls, conditional writes whose answer may be lost, and watches.
//
//     SoupTransport transport({.address = "10.0.0.1:8080", .context = context});
//     PlatformClient client(transport, {.seed = incarnation});
//     client.call(getCall("leases", "placement"), now, [](PlatformReply reply, Micros now) { ... });
//     client.update(object, changedSpec, now, now + 2 * MicrosPerSecond, [](PlatformReply reply, Micros now) { ... });
//     client.tick(now);   // every 10 ms
//
// Nothing here reads a clock or does I/O: the transport does, and hands the time to the reply handlers. Handlers never run
// inside the call that they belong to.
//
// Index
//   1. Objects and calls
//   2. Transport        what an implementation provides
//   3. Pacing           call budget, backoff, circuit breaker
//   4. PlatformClient
//   5. ObjectWatcher    a watch that resumes, notices gaps and lists again

#include "carobhall/base.h"

#include <functional>
#include <json/value.h>
#include <random>

namespace Carobhall
{

// 1. Objects and calls ----------------------------------------------------------------------------

inline constexpr std::size_t PlatformValueLimit = std::size_t{ 1 } << 20U; ///< Bytes of one value.

struct PlatformObject {
    std::string kind;
    std::string name;
    std::string uid;           ///< Differs between an object and its successor of the same name.
    std::uint64_t version = 0; ///< Grows with each write to any object.
    Json::Value spec;
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
    std::uint64_t baseVersion = 0; ///< Update and Delete take effect only on this version.
    Json::Value spec;              ///< Of Create and Update.
};

/// The verdict speaks of the write: NotRun when it has not taken effect and never will, Ran when it has, MayHaveRun when
/// that is not known. A failed read is NotRun.
///
/// Errors: Conflict, AlreadyExists, NotFound, TooLarge (answers of the platform), Overloaded (over a call budget or refused
/// for its rate), PlatformUnavailable, Timeout, ConnectionLost, MalformedMessage.
struct PlatformReply {
    std::error_code error;
    Verdict verdict = Verdict::NotRun;
    PlatformObject object;             ///< Of Get, Create and Update.
    std::vector<PlatformObject> items; ///< Of List.
    std::uint64_t listVersion = 0;     ///< Of List: where a watch continues.
};

using ReplyHandler = std::function<void(PlatformReply, Micros now)>;

enum class WatchEventType : std::uint8_t {
    Put,     ///< Created or changed.
    Deleted, ///< `object.version` is the version of the deletion.
    Gone,    ///< The start version is too old; the watch has ended.
    Closed,  ///< The watch has ended for another reason.
};

template<>
struct EnumNames<WatchEventType> {
    static constexpr std::array rows{
        EnumName{ WatchEventType::Put, "put" },
        EnumName{ WatchEventType::Deleted, "deleted" },
        EnumName{ WatchEventType::Gone, "gone" },
        EnumName{ WatchEventType::Closed, "closed" },
    };
};

struct WatchEvent {
    WatchEventType type = WatchEventType::Closed;
    PlatformObject object;
};

using WatchHandler = std::function<void(WatchEvent, Micros now)>;
using WatchId = std::uint64_t; ///< Never 0.

// 2. Transport ------------------------------------------------------------------------------------

/// Carries calls to the platform. A call gets exactly one reply, never before call() returns; the transport sets the error
/// and the verdict. A watch gets events until Gone, Closed or cancelWatch().
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

/// What the whole fleet may call, below what the platform holds (several hundred writes, two thousand reads a second).
inline constexpr double FleetWritesPerSecond = 240.0;
inline constexpr double FleetReadsPerSecond = 1'600.0;

/// A token bucket. Not thread-safe.
class TokenBucket
{
public:
    /// \p rate in tokens per second; starts full.
    TokenBucket(double rate, double burst);
    void setRate(double rate, Micros now);
    bool take(Micros now);
    /// Takes \p tokens also when they are not there; the debt is bounded by the burst.
    void charge(double tokens, Micros now);

private:
    void refill(Micros now);

    double rate_;
    double burst_;
    double tokens_;
    Micros refilledAt_ = 0;
};

/// Exponential backoff with full jitter: each delay is uniform between 0 and a bound that doubles.
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
    Micros openBase = 200 * MicrosPerMilli; ///< Bound of the first time spent open; doubles with each failed trial.
    Micros openCap = MicrosPerSecond;       ///< Low, because a configuration must be in effect within 3 s after an outage.
};

/// Stops calls after consecutive failures and lets one trial call through from time to time. Not thread-safe.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(BreakerOptions options);
    /// Whether a call may go out now. In the half-open state it grants one trial until that is settled.
    bool allow(Micros now);
    /// The granted trial was not sent.
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
    std::uint64_t seed = 1;                 ///< Of the jitter, and part of the identities of writes: unique per process start.
    Micros callTimeout = MicrosPerSecond;   ///< Of one call, also while it waits for the call budget.
    double clientCount = 1.0;               ///< Processes that share the fleet's rates; see setClientCount().
    double burst = 20.0;                    ///< Calls that may go out at once after a quiet time.
    std::size_t maxWaiting = 256;           ///< Calls that wait for the budget; further ones are refused.
    Micros retryBase = 20 * MicrosPerMilli; ///< First bound of the backoff between the steps of a conditional write.
    Micros retryCap = 500 * MicrosPerMilli;
    BreakerOptions breaker{};
};

struct PlatformStats {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0; ///< Opened.
    std::uint64_t refused = 0; ///< By the budget or the circuit breaker, without reaching the platform.
    std::uint64_t timeouts = 0;
    std::uint64_t lateReplies = 0;
    std::uint64_t inDoubt = 0;    ///< Conditional writes that had to be read back.
    std::uint64_t unresolved = 0; ///< Of these, not known at their deadline.
};

/// All of a process's calls to the platform. Not thread-safe. The transport must outlive the client; replies that arrive
/// after the client is gone are dropped.
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

    /// One try. The handler runs exactly once, unless the client is destroyed before.
    void call(PlatformCall call, Micros now, ReplyHandler done);

    /// Creates (\p base without a version) or updates \p base conditionally and finds out what became of it: an identity of
    /// the write goes into the value, and a lost answer is resolved by reading back and, while the version is still the
    /// base, by repeating the write on the same base, of which at most one can take effect. MayHaveRun is reported only when
    /// \p deadline passes first, or when the value's record of writes no longer reaches back to the base.
    /// Precondition: \p spec is an object.
    void update(const PlatformObject &base, Json::Value spec, Micros now, Micros deadline, ReplyHandler done);

    /// Opens a watch; an open one is charged to the budget as one read a second.
    WatchId watch(std::string kind, std::uint64_t from, Micros now, WatchHandler onEvent);
    void cancelWatch(WatchId id);

    /// Divides the fleet's rates by the number of processes that make such calls at present.
    void setClientCount(double clientCount, Micros now);

    /// Times out calls, sends waiting ones and runs retries. Call it every 10 ms.
    void tick(Micros now);

    /// False while the circuit breaker holds calls back.
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
/// A Create when \p base has no version, otherwise an Update of that version.
[[nodiscard]] PlatformCall writeCall(const PlatformObject &base, Json::Value spec);

// 5. ObjectWatcher --------------------------------------------------------------------------------

struct WatcherOptions {
    std::string kind;
    std::string name;                          ///< Only this object; empty: all of the kind.
    Micros relistEvery = 30 * MicrosPerSecond; ///< Also notices a watch that is open but silent. Jittered by half.
    Micros retryBase = 100 * MicrosPerMilli;
    Micros retryCap = MicrosPerSecond;
    std::function<void(const PlatformObject &, Micros now)> onObject;     ///< Each newer version once, in order.
    std::function<void(const std::string &name, Micros now)> onDeleted{}; ///< May be empty.
};

/// Follows the objects of one kind. Not thread-safe. The client must outlive it.
class ObjectWatcher
{
public:
    ObjectWatcher(PlatformClient &client, WatcherOptions options);
    ~ObjectWatcher();
    ObjectWatcher(const ObjectWatcher &) = delete;
    ObjectWatcher &operator=(const ObjectWatcher &) = delete;

    void tick(Micros now);
    /// Whether a watch is open.
    [[nodiscard]] bool isWatching() const;
    /// The newest version that was seen of the kind.
    [[nodiscard]] std::uint64_t version() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace Carobhall
