#pragma once

// In-memory platform on virtual time, with injected faults for requests and replies.

#include "carobhall/platform.h"

#include <deque>
#include <queue>

namespace Carobhall::Testing
{

/// Discrete-event scheduler. Runs events by time; events of the same time run in the order in which they were added.
class VirtualTime
{
public:
    [[nodiscard]] Micros now() const
    {
        return now_;
    }
    void at(Micros when, std::function<void()> run)
    {
        events_.push({ .when = std::max(when, now_), .order = ++order_, .run = std::move(run) });
    }
    void after(Micros delay, std::function<void()> run)
    {
        at(now_ + delay, std::move(run));
    }
    void runUntil(Micros end)
    {
        while (!events_.empty() && events_.top().when <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.when;
            event.run();
        }
        now_ = end;
    }

private:
    struct Event {
        Micros when = 0;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    std::priority_queue<Event> events_;
    Micros now_ = MicrosPerSecond;
    std::uint64_t order_ = 0;
};

/// Faults of one call.
struct CallFault {
    Micros requestDelay = MicrosPerMilli;
    Micros replyDelay = MicrosPerMilli;
    bool requestLost = false;
    bool replyLost = false; ///< The call takes effect, but its reply never arrives.
};

/// Stores objects and watches, and executes calls immediately.
class FakePlatform
{
public:
    explicit FakePlatform(VirtualTime &clock)
        : time(clock)
    {
    }

    PlatformReply run(const PlatformCall &call)
    {
        PlatformReply reply;
        if (!outage) {
            reply.era = era;
        }
        if (outage) {
            reply.error = Errc::PlatformUnavailable;
            reply.verdict = isWrite(call.verb) ? Verdict::MayHaveRun : Verdict::NotRun;
            return reply;
        }
        ++(isWrite(call.verb) ? writes : reads);
        const auto found = objects.find({ call.kind, call.name });
        switch (call.verb) {
        case PlatformVerb::Get:
            if (found == objects.end()) {
                reply.error = Errc::NotFound;
            } else {
                reply.object = found->second;
            }
            return reply;
        case PlatformVerb::List:
            reply.listVersion = version;
            for (const auto &[key, object] : objects) {
                if (key.first == call.kind) {
                    reply.items.push_back(object);
                }
            }
            return reply;
        case PlatformVerb::Create:
            if (found != objects.end()) {
                reply.error = Errc::AlreadyExists;
                return reply;
            }
            break;
        case PlatformVerb::Update:
        case PlatformVerb::Delete:
            if (found == objects.end()) {
                reply.error = Errc::NotFound;
                return reply;
            }
            // A platform compares revisions: one that is given out again matches. A deletion may name none.
            if ((call.verb == PlatformVerb::Update || call.baseVersion != 0) && revisionOf(found->second.version) != revisionOf(call.baseVersion)) {
                reply.error = Errc::Conflict;
                return reply;
            }
            break;
        }
        reply.verdict = Verdict::Ran;
        put(call, reply);
        return reply;
    }

    void put(const PlatformCall &call, PlatformReply &reply)
    {
        reply.object = { .kind = call.kind, .name = call.name, .uid = "uid", .version = ++version, .spec = call.spec };
        const bool deleted = call.verb == PlatformVerb::Delete;
        if (deleted) {
            objects.erase({ call.kind, call.name });
        } else {
            objects[{ call.kind, call.name }] = reply.object;
        }
        const WatchEvent event{ .type = deleted ? WatchEventType::Deleted : WatchEventType::Put, .object = reply.object, .era = era };
        history.push_back(event);
        for (auto &[id, watch] : watches) {
            deliver(watch, event);
        }
        if (onChange) {
            onChange(reply.object);
        }
    }

    struct Watch {
        std::string kind;
        Micros delay = 0;
        WatchHandler handler;
    };

    void deliver(const Watch &watch, const WatchEvent &event) const
    {
        const bool isChange = event.type == WatchEventType::Put || event.type == WatchEventType::Deleted;
        if (isChange && event.object.kind != watch.kind) {
            return;
        }
        time.after(watch.delay + extraLatency, [event, handler = watch.handler, &clock = time] { handler(event, clock.now()); });
    }

    void endWatches(WatchEventType type)
    {
        for (const auto &[id, watch] : watches) {
            deliver(watch, { .type = type, .object = {}, .era = type == WatchEventType::Closed ? 0 : era });
        }
        watches.clear();
    }

    /// The contents at one moment.
    struct Copy {
        std::map<std::pair<std::string, std::string>, PlatformObject> objects;
        std::vector<WatchEvent> history;
        std::uint64_t revision = 0;
    };

    [[nodiscard]] Copy copy() const
    {
        return { .objects = objects, .history = history, .revision = revisionOf(version) };
    }

    /// Begins a new era with the contents of \p copy. Open watches stay open. Precondition: the platform has had an era before.
    void restore(const Copy &copy)
    {
        ++era;
        version = versionOf(era, copy.revision);
        objects = copy.objects;
        history = copy.history;
        for (auto &[key, object] : objects) {
            object.version = versionOf(era, revisionOf(object.version));
        }
        for (WatchEvent &event : history) {
            event.object.version = versionOf(era, revisionOf(event.object.version));
            event.era = era;
        }
    }

    VirtualTime &time;
    std::map<std::pair<std::string, std::string>, PlatformObject> objects;
    std::map<WatchId, Watch> watches;
    std::vector<WatchEvent> history;
    std::uint64_t era = 0; ///< Set it, together with that of `version`, before the first call.
    std::uint64_t version = 0;
    std::uint64_t oldestVersion = 0; ///< A watch from a lower version ends with Gone.
    WatchId lastWatch = 0;
    bool outage = false;
    Micros extraLatency = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::function<void(const PlatformObject &)> onChange;
};

/// PlatformTransport of one process to the fake platform, with fault injection.
class FakeTransport
{
public:
    explicit FakeTransport(FakePlatform &target)
        : platform(target)
    {
    }

    void call(PlatformCall call, ReplyHandler done)
    {
        const CallFault fault = faultFor ? faultFor(call) : CallFault{ .requestDelay = latency, .replyDelay = latency };
        if (fault.requestLost || disconnected) {
            return;
        }
        platform.time.after(fault.requestDelay, [this, fault, call = std::move(call), done = std::move(done)] {
            PlatformReply reply = platform.run(call);
            if (fault.replyLost || disconnected) {
                return;
            }
            deliver(platform.time.now() + fault.replyDelay + platform.extraLatency, std::move(reply), done);
        });
    }

    /// Invokes the reply handler at \p when, or when a paused process resumes.
    void deliver(Micros when, PlatformReply reply, const ReplyHandler &done)
    {
        platform.time.at(when, [this, reply = std::move(reply), done] {
            if (platform.time.now() < pausedUntil) {
                deliver(pausedUntil, reply, done);
            } else {
                done(reply, platform.time.now() + clockOffset);
            }
        });
    }

    WatchId watch(std::string kind, std::uint64_t from, WatchHandler handler)
    {
        const WatchId id = ++platform.lastWatch;
        FakePlatform::Watch entry{ .kind = std::move(kind), .delay = latency, .handler = {} };
        entry.handler = [this, handler = std::move(handler)](const WatchEvent &event, Micros now) {
            if (!disconnected || event.type == WatchEventType::Closed) {
                report(event, now, handler);
            }
        };
        const std::uint64_t revision = revisionOf(from);
        if (platform.outage || disconnected) {
            platform.deliver(entry, { .type = WatchEventType::Closed, .object = {} });
            return id;
        }
        if (revision < revisionOf(platform.oldestVersion) || (platform.era != 0 && revision > revisionOf(platform.version))) {
            platform.deliver(entry, { .type = WatchEventType::Gone, .object = {}, .era = platform.era });
            return id;
        }
        if (platform.era != 0) {
            platform.deliver(entry, { .type = WatchEventType::Alive, .object = {}, .era = platform.era });
        }
        for (const WatchEvent &event : platform.history) {
            if (revisionOf(event.object.version) > revision) {
                platform.deliver(entry, event);
            }
        }
        platform.watches[id] = std::move(entry);
        return id;
    }

    /// Invokes the handler of a watch, or does so when a paused process resumes.
    void report(const WatchEvent &event, Micros now, const WatchHandler &handler)
    {
        if (platform.time.now() < pausedUntil) {
            platform.time.at(pausedUntil, [this, event, handler] { report(event, platform.time.now(), handler); });
        } else {
            handler(event, now);
        }
    }

    void cancelWatch(WatchId id)
    {
        platform.watches.erase(id);
    }

    FakePlatform &platform;
    Micros latency = MicrosPerMilli;
    Micros pausedUntil = 0;
    Micros clockOffset = 0;    ///< Offset of the process's monotonic clock.
    bool disconnected = false; ///< Whether the process is disconnected from the platform; all calls and replies are lost.
    std::function<CallFault(const PlatformCall &)> faultFor;
};

/// Fault with the number \p choice in a list of faults; other numbers mean no fault.
inline CallFault callFault(int choice)
{
    switch (choice) {
    case 0:
        return { .requestLost = true };
    case 1:
        return { .replyLost = true };
    case 2:
        return { .requestDelay = 800 * MicrosPerMilli };
    case 3:
        return { .requestDelay = 4 * MicrosPerSecond };
    default:
        return {};
    }
}

inline constexpr Micros Tick = 10 * MicrosPerMilli;

/// A process that can crash, restart with a new incarnation, and pause.
class SimulatedProcess
{
public:
    SimulatedProcess(FakePlatform &fakePlatform, Incarnation first)
        : platform(fakePlatform)
        , transport(fakePlatform)
        , incarnation(first)
    {
        tick();
    }
    virtual ~SimulatedProcess() = default;
    SimulatedProcess(const SimulatedProcess &) = delete;
    SimulatedProcess &operator=(const SimulatedProcess &) = delete;

    void start()
    {
        client = std::make_unique<PlatformClient>(transport, PlatformClientOptions{ .seed = incarnation, .callTimeout = 300 * MicrosPerMilli });
        create();
    }
    void crash()
    {
        destroy();
        client.reset();
    }
    void restart()
    {
        crash();
        incarnation += 1000;
        start();
    }
    virtual void pause()
    {
        transport.pausedUntil = platform.time.now() + pauseDuration;
    }
    [[nodiscard]] Micros now() const
    {
        return platform.time.now() + transport.clockOffset;
    }
    [[nodiscard]] bool isUp() const
    {
        return client && platform.time.now() >= transport.pausedUntil;
    }

    FakePlatform &platform;
    FakeTransport transport;
    Incarnation incarnation;
    std::unique_ptr<PlatformClient> client;
    Micros pauseDuration = 3 * MicrosPerSecond;

private:
    virtual void create() = 0;
    virtual void destroy() = 0;
    virtual void onTick() = 0;

    void tick()
    {
        platform.time.after(Tick, [this] {
            if (isUp()) {
                client->tick(now());
                onTick();
            }
            tick();
        });
    }
};

inline constexpr int PauseFault = 4; ///< The process is paused before it receives the reply.

/// Injects \p faults into the calls of \p process. Crashes the process at call number \p crashAt of all counted calls, before or after
/// the call takes effect.
inline void injectFaults(SimulatedProcess &process, std::size_t &calls, const std::vector<int> &faults, int crashAt, bool crashAfter, bool &crashed)
{
    process.transport.faultFor = [&, crashAt, crashAfter](const PlatformCall &) {
        const std::size_t call = calls++;
        if (static_cast<int>(call) == crashAt) {
            crashed = true;
            process.platform.time.after(crashAfter ? 1500 : 0, [&process] { process.crash(); });
        }
        const int fault = call < faults.size() ? faults[call] : -1;
        if (fault == PauseFault) {
            process.pause();
        }
        return callFault(fault);
    };
}

/// Runs a schedule once for each fault at each of its first calls, in three variants: without a crash, with a crash before that call
/// and with a crash after it. The arguments of \p run are the faults by call, the call at which to crash (-1: none), and whether the
/// crash comes after the call.
template<typename Run>
void withEachFaultAtEachCall(Run run)
{
    constexpr int callCount = 30;
    constexpr int noFault = 9;
    for (int call = 0; call < callCount; ++call) {
        for (int fault = 0; fault <= PauseFault; ++fault) {
            std::vector<int> faults(callCount, noFault);
            faults[static_cast<std::size_t>(call)] = fault;
            run(faults, -1, false);
            run(faults, call, false);
            run(faults, call, true);
        }
    }
}

} // namespace Carobhall::Testing
