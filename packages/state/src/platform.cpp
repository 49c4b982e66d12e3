#include "carobhall/platform.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace Carobhall
{

namespace
{

/// Member of a value that lists its most recent writes as [identity, base version].
constexpr const char *WritesMember = "writes";

/// Number of writes listed in a value. If more writes than this follow before a writer reads the value back, its outcome is unknown
/// and it gets MayHaveRun.
constexpr Json::ArrayIndex RecordedWriteCount = 16;

bool isFailure(const std::error_code &error)
{
    return error == Errc::PlatformUnavailable || error == Errc::Timeout || error == Errc::ConnectionLost || error == Errc::MalformedMessage;
}

Json::Value recordWrite(const Json::Value &earlier, const std::string &identity, std::uint64_t base)
{
    Json::Value writes(Json::arrayValue);
    const Json::ArrayIndex count = earlier.isArray() ? earlier.size() : 0;
    for (Json::ArrayIndex i = count >= RecordedWriteCount ? count - RecordedWriteCount + 1 : 0; i < count; ++i) {
        writes.append(earlier[i]);
    }
    Json::Value entry(Json::arrayValue);
    entry.append(identity);
    entry.append(Json::UInt64{ base });
    writes.append(std::move(entry));
    return writes;
}

/// Identity of the write that took effect on version \p base; nothing when the value no longer lists it.
std::optional<std::string> writerOnBase(const Json::Value &spec, std::uint64_t base)
{
    const Json::Value &writes = spec.isObject() ? spec[WritesMember] : Json::Value::nullSingleton();
    if (!writes.isArray()) {
        return std::nullopt;
    }
    for (const Json::Value &entry : writes) {
        const bool wellFormed = entry.isArray() && entry.size() == 2 && entry[0U].isString() && entry[1U].isUInt64();
        if (wellFormed && entry[1U].asUInt64() == base) {
            return entry[0U].asString();
        }
    }
    return std::nullopt;
}

PlatformReply failure(Errc error, Verdict verdict)
{
    PlatformReply reply;
    reply.error = error;
    reply.verdict = verdict;
    return reply;
}

} // namespace

PlatformCall getCall(std::string kind, std::string name)
{
    return { .verb = PlatformVerb::Get, .kind = std::move(kind), .name = std::move(name), .spec = {} };
}

PlatformCall listCall(std::string kind)
{
    return { .verb = PlatformVerb::List, .kind = std::move(kind), .name = {}, .spec = {} };
}

PlatformCall staleListCall(std::string kind)
{
    PlatformCall call = listCall(std::move(kind));
    call.mayBeStale = true;
    return call;
}

PlatformCall writeCall(const PlatformObject &base, Json::Value spec)
{
    const PlatformVerb verb = base.version == 0 ? PlatformVerb::Create : PlatformVerb::Update;
    return { .verb = verb, .kind = base.kind, .name = base.name, .baseVersion = base.version, .spec = std::move(spec) };
}

struct PlatformClient::Impl : std::enable_shared_from_this<Impl> {
    struct QueuedCall {
        PlatformCall call;
        ReplyHandler done;
        Micros deadline = 0;
    };
    struct InFlightCall {
        ReplyHandler done;
        Micros deadline = 0;
        bool write = false;
        std::uint64_t baseVersion = 0;
    };
    struct Timer {
        Micros at = 0;
        std::function<void(Micros)> run;
    };
    /// A conditional write whose outcome is not known yet.
    struct Write {
        PlatformCall call;
        std::string identity;
        Micros deadline = 0;
        ReplyHandler done;
        Backoff backoff;
        bool inDoubt = false;
    };

    Impl(Calls calls, PlatformClientOptions clientOptions)
        : transport(std::move(calls))
        , options(clientOptions)
        , generator(options.seed)
        , breaker(options.breaker)
        , reads(FleetReadsPerSecond / options.clientCount, options.burst)
        , writes(FleetWritesPerSecond / options.clientCount, options.burst)
    {
    }

    void call(PlatformCall call, Micros now, ReplyHandler done);
    bool send(QueuedCall &entry, Micros now);
    void onReply(std::uint64_t id, PlatformReply reply, Micros now);
    void deferReply(ReplyHandler done, PlatformReply reply);
    void runTimers(Micros now);
    void expireInFlight(Micros now);
    void sendQueued(Micros now);
    void tryWrite(const std::shared_ptr<Write> &write, Micros now);
    void onWritten(const std::shared_ptr<Write> &write, PlatformReply reply, Micros now);
    void readBack(const std::shared_ptr<Write> &write, Micros now);
    void onReadBack(const std::shared_ptr<Write> &write, PlatformReply reply, Micros now);
    void retry(const std::shared_ptr<Write> &write, void (Impl::*step)(const std::shared_ptr<Write> &, Micros), Micros now);
    void noteEra(std::uint64_t seen, Micros now);
    [[nodiscard]] bool isOfEarlierEra(std::uint64_t seen) const;

    Calls transport;
    PlatformClientOptions options;
    Generator generator;
    CircuitBreaker breaker;
    TokenBucket reads;
    TokenBucket writes;
    PlatformStats stats;
    std::deque<QueuedCall> queued;
    std::map<std::uint64_t, InFlightCall> inFlight;
    std::vector<Timer> timers;
    std::map<WatchId, WatchHandler> openWatches;
    std::vector<std::function<void(Micros)>> restoreListeners;
    std::uint64_t era = 0;
    std::uint64_t lastCall = 0;
    std::uint64_t lastWrite = 0;
    Micros chargedAt = 0;
};

void PlatformClient::Impl::deferReply(ReplyHandler done, PlatformReply reply)
{
    timers.push_back({ .at = 0, .run = [done = std::move(done), reply = std::move(reply)](Micros now) { done(reply, now); } });
}

void PlatformClient::Impl::noteEra(std::uint64_t seen, Micros now)
{
    if (seen <= era) {
        return;
    }
    const std::uint64_t before = std::exchange(era, seen);
    if (before == 0) {
        return;
    }
    ++stats.restores;
    logEvent(LogLevel::Warning, "platform_restored", { { "era", era }, { "before", before }, { "watches", openWatches.size() } });
    for (const auto &[id, handler] : std::exchange(openWatches, {})) {
        transport.cancelWatch(id);
        handler({ .type = WatchEventType::Gone, .object = {}, .era = seen }, now);
    }
    for (const auto &listener : restoreListeners) {
        listener(now);
    }
}

bool PlatformClient::Impl::isOfEarlierEra(std::uint64_t seen) const
{
    return seen != 0 && seen < era;
}

void PlatformClient::Impl::call(PlatformCall call, Micros now, ReplyHandler done)
{
    if (isOfEarlierEra(eraOf(call.baseVersion))) {
        deferReply(std::move(done), failure(Errc::Conflict, Verdict::NotRun));
        return;
    }
    if (!breaker.allow(now)) {
        ++stats.refused;
        deferReply(std::move(done), failure(Errc::PlatformUnavailable, Verdict::NotRun));
        return;
    }
    QueuedCall entry{ .call = std::move(call), .done = std::move(done), .deadline = now + options.callTimeout };
    if (queued.empty() && send(entry, now)) {
        return;
    }
    if (queued.size() >= options.maxQueued) {
        ++stats.refused;
        breaker.withdrawTrial();
        deferReply(std::move(entry.done), failure(Errc::Overloaded, Verdict::NotRun));
        return;
    }
    queued.push_back(std::move(entry));
}

bool PlatformClient::Impl::send(QueuedCall &entry, Micros now)
{
    const bool write = isWrite(entry.call.verb);
    if (!(write ? writes : reads).take(now)) {
        return false;
    }
    ++(write ? stats.writes : stats.reads);
    const std::uint64_t id = ++lastCall;
    inFlight[id] = { .done = std::move(entry.done), .deadline = now + options.callTimeout, .write = write, .baseVersion = entry.call.baseVersion };
    transport.call(std::move(entry.call), [weak = weak_from_this(), id](PlatformReply reply, Micros at) {
        if (const auto self = weak.lock()) {
            self->onReply(id, std::move(reply), at);
        }
    });
    return true;
}

void PlatformClient::Impl::onReply(std::uint64_t id, PlatformReply reply, Micros now)
{
    if (isFailure(reply.error)) {
        breaker.failed(now, generator);
    } else {
        breaker.succeeded();
    }
    noteEra(reply.era, now);
    const auto found = inFlight.find(id);
    if (found == inFlight.end()) {
        ++stats.lateReplies;
        return;
    }
    const InFlightCall call = std::move(found->second);
    inFlight.erase(found);
    if (isOfEarlierEra(reply.era)) {
        // What it shows, or has written, may be lost.
        reply = failure(Errc::ConnectionLost, call.write ? Verdict::MayHaveRun : Verdict::NotRun);
    } else if (!reply.error && isOfEarlierEra(eraOf(call.baseVersion))) {
        // The write took effect on a revision of the new era that is not the one it was meant for.
        reply = failure(Errc::Conflict, Verdict::MayHaveRun);
    }
    call.done(std::move(reply), now);
}

void PlatformClient::Impl::expireInFlight(Micros now)
{
    std::vector<InFlightCall> expired;
    for (auto it = inFlight.begin(); it != inFlight.end();) {
        if (it->second.deadline > now) {
            ++it;
            continue;
        }
        expired.push_back(std::move(it->second));
        it = inFlight.erase(it);
    }
    for (const InFlightCall &call : expired) {
        ++stats.timeouts;
        breaker.failed(now, generator);
        call.done(failure(Errc::Timeout, call.write ? Verdict::MayHaveRun : Verdict::NotRun), now);
    }
}

void PlatformClient::Impl::sendQueued(Micros now)
{
    while (!queued.empty()) {
        if (queued.front().deadline <= now) {
            ++stats.refused;
            breaker.withdrawTrial();
            deferReply(std::move(queued.front().done), failure(Errc::Overloaded, Verdict::NotRun));
        } else if (isOfEarlierEra(eraOf(queued.front().call.baseVersion))) {
            breaker.withdrawTrial();
            deferReply(std::move(queued.front().done), failure(Errc::Conflict, Verdict::NotRun));
        } else if (!send(queued.front(), now)) {
            return;
        }
        queued.pop_front();
    }
}

void PlatformClient::Impl::runTimers(Micros now)
{
    std::vector<Timer> due;
    for (auto it = timers.begin(); it != timers.end();) {
        if (it->at > now) {
            ++it;
            continue;
        }
        due.push_back(std::move(*it));
        it = timers.erase(it);
    }
    for (const Timer &timer : due) {
        timer.run(now);
    }
}

// Conditional writes

void PlatformClient::Impl::tryWrite(const std::shared_ptr<Write> &write, Micros now)
{
    call(write->call, now, [this, write](PlatformReply reply, Micros at) { onWritten(write, std::move(reply), at); });
}

void PlatformClient::Impl::retry(const std::shared_ptr<Write> &write, void (Impl::*step)(const std::shared_ptr<Write> &, Micros), Micros now)
{
    if (now >= write->deadline) {
        ++stats.unresolved;
        write->done(failure(Errc::Timeout, Verdict::MayHaveRun), now);
        return;
    }
    const Micros at = std::min(now + write->backoff.next(generator), write->deadline);
    timers.push_back({ .at = at, .run = [this, write, step](Micros due) { (this->*step)(write, due); } });
}

void PlatformClient::Impl::onWritten(const std::shared_ptr<Write> &write, PlatformReply reply, Micros now)
{
    const bool conflict = reply.error == Errc::Conflict || reply.error == Errc::AlreadyExists;
    if (!reply.error || (!conflict && !write->inDoubt && reply.verdict == Verdict::NotRun)) {
        write->done(std::move(reply), now);
        return;
    }
    // A conflict is read back, too. If the HTTP library or a proxy sent the write twice, the second copy conflicts with the first.
    if (!write->inDoubt && !conflict) {
        write->inDoubt = true;
        ++stats.inDoubt;
    }
    retry(write, &Impl::readBack, now);
}

void PlatformClient::Impl::readBack(const std::shared_ptr<Write> &write, Micros now)
{
    call(getCall(write->call.kind, write->call.name), now, [this, write](PlatformReply reply, Micros at) { onReadBack(write, std::move(reply), at); });
}

void PlatformClient::Impl::onReadBack(const std::shared_ptr<Write> &write, PlatformReply reply, Micros now)
{
    const bool creating = write->call.verb == PlatformVerb::Create;
    if (reply.error == Errc::NotFound && creating) {
        retry(write, &Impl::tryWrite, now);
        return;
    }
    if (reply.error == Errc::NotFound) {
        // The object was deleted after the base version. It is not recorded whether the write took effect before the deletion.
        write->done(failure(Errc::Conflict, Verdict::MayHaveRun), now);
        return;
    }
    if (reply.error || reply.object.version < write->call.baseVersion) {
        retry(write, &Impl::readBack, now);
        return;
    }
    if (reply.object.version == write->call.baseVersion) {
        // A delayed write can still take effect on this version, so its outcome is unknown. Retrying the write resolves this, because
        // at most one write takes effect on a version.
        retry(write, &Impl::tryWrite, now);
        return;
    }
    const std::optional<std::string> writer = writerOnBase(reply.object.spec, write->call.baseVersion);
    if (!writer) {
        write->done(failure(Errc::Conflict, Verdict::MayHaveRun), now);
        return;
    }
    if (*writer == write->identity) {
        reply.verdict = Verdict::Ran;
        write->done(std::move(reply), now);
        return;
    }
    write->done(failure(creating ? Errc::AlreadyExists : Errc::Conflict, Verdict::NotRun), now);
}

// Public interface

PlatformClient::PlatformClient(Calls calls, PlatformClientOptions options)
    : impl_(std::make_shared<Impl>(std::move(calls), options))
{
}

PlatformClient::~PlatformClient()
{
    for (const auto &[id, handler] : impl_->openWatches) {
        impl_->transport.cancelWatch(id);
    }
}

void PlatformClient::call(PlatformCall call, Micros now, ReplyHandler done)
{
    impl_->call(std::move(call), now, std::move(done));
}

void PlatformClient::update(const PlatformObject &base, Json::Value spec, Micros now, Micros deadline, ReplyHandler done)
{
    const std::string identity = toHex(impl_->options.seed) + "-" + std::to_string(++impl_->lastWrite);
    spec[WritesMember] = recordWrite(base.spec.isObject() ? base.spec[WritesMember] : Json::Value(), identity, base.version);
    const auto write = std::make_shared<Impl::Write>(Impl::Write{
        .call = writeCall(base, std::move(spec)),
        .identity = identity,
        .deadline = deadline,
        .done = std::move(done),
        .backoff = Backoff(impl_->options.retryBase, impl_->options.retryCap),
    });
    impl_->tryWrite(write, now);
}

WatchId PlatformClient::watch(std::string kind, std::uint64_t from, Micros now, WatchHandler onEvent)
{
    impl_->reads.charge(1.0, now);
    ++impl_->stats.watches;
    const auto id = std::make_shared<WatchId>(0);
    *id = impl_->transport.watch(std::move(kind), from, [weak = impl_->weak_from_this(), id](WatchEvent event, Micros at) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->noteEra(event.era, at);
        const auto open = self->openWatches.find(*id);
        if (open == self->openWatches.end() || self->isOfEarlierEra(event.era)) {
            return;
        }
        const WatchHandler handler = open->second;
        if (event.type == WatchEventType::Closed || event.type == WatchEventType::Gone) {
            self->openWatches.erase(open);
        }
        handler(std::move(event), at);
    });
    impl_->openWatches[*id] = std::move(onEvent);
    return *id;
}

void PlatformClient::cancelWatch(WatchId id)
{
    if (impl_->openWatches.erase(id) > 0) {
        impl_->transport.cancelWatch(id);
    }
}

void PlatformClient::noteEra(std::uint64_t era, Micros now)
{
    impl_->noteEra(era, now);
}

std::uint64_t PlatformClient::era() const
{
    return impl_->era;
}

void PlatformClient::onRestored(std::function<void(Micros now)> listener)
{
    impl_->restoreListeners.push_back(std::move(listener));
}

void PlatformClient::setClientCount(double clientCount, Micros now)
{
    impl_->reads.setRate(FleetReadsPerSecond / std::max(clientCount, 1.0), now);
    impl_->writes.setRate(FleetWritesPerSecond / std::max(clientCount, 1.0), now);
}

void PlatformClient::tick(Micros now)
{
    const auto keepAlive = impl_;
    const double seconds = static_cast<double>(now - impl_->chargedAt) / static_cast<double>(MicrosPerSecond);
    if (impl_->chargedAt != 0) {
        impl_->reads.charge(static_cast<double>(impl_->openWatches.size()) * seconds, now);
    }
    impl_->chargedAt = now;
    impl_->expireInFlight(now);
    impl_->sendQueued(now);
    impl_->runTimers(now);
}

bool PlatformClient::available() const
{
    return !impl_->breaker.isOpen();
}

const PlatformStats &PlatformClient::stats() const
{
    return impl_->stats;
}

Generator &PlatformClient::generator()
{
    return impl_->generator;
}

} // namespace Carobhall
