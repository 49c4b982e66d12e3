#include "carobhall/leases.h"

#include "ensure.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

/// A held record is renewed this many times per lease duration, so that the lease survives three consecutive failed renewals.
constexpr Micros RenewalsPerLease = 4;

Micros marginOf(Micros duration)
{
    return static_cast<Micros>(LeaseMarginRatio * static_cast<double>(duration));
}

} // namespace

struct Leases::Impl : std::enable_shared_from_this<Impl> {
    enum class Phase : std::uint8_t { Idle, Waiting, Held, Ending };

    /// When this process first saw a record with its current renewal count.
    struct Observation {
        std::uint64_t renewal = 0;
        Micros since = 0;
    };
    struct Entry {
        explicit Entry(const LeasesOptions &options)
            : backoff(options.retryBase, options.retryCap)
        {
        }
        LeaseRequest request;
        LeaseHandler done;
        Phase phase = Phase::Idle;
        bool orderDone = false;       ///< Whether to record the order as done in phase Ending.
        bool allRecordsTaken = false; ///< The last read showed no free record.
        FencingToken token = 0;
        Micros validUntil = 0;
        Micros renewAt = 0;
        Micros deadline = 0; ///< Deadline of the wait for a free record.

        bool known = false;        ///< Whether `object` and `table` are the newest state known to this process.
        bool callInFlight = false; ///< A read or write is in flight.
        PlatformObject object;
        LeaseTable table;
        std::map<FencingToken, Observation> observations;
        Micros retryAt = 0;
        Backoff backoff;
    };

    Impl(PlatformClient &platform, LeasesOptions leasesOptions)
        : client(platform)
        , options(std::move(leasesOptions))
        , holderId(toHex(options.holder))
        , generator(options.seed)
    {
    }

    Entry &entryFor(const std::string &name);
    LeaseRecord *ownRecord(Entry &entry, LeaseTable &table) const;
    bool isExpired(const Entry &entry, const LeaseRecord &record, Micros now) const;
    void deliverAnswer(Entry &entry, LeaseAnswer answer, Micros now);
    void advance(Entry &entry, Micros now);
    void backOff(Entry &entry, Micros now);
    void read(Entry &entry, Micros now);
    void onRead(const std::string &name, const PlatformReply &reply, Micros now);
    bool observe(Entry &entry, const PlatformObject &object, Micros now);
    void decide(Entry &entry, Micros now);
    void acquireRecord(Entry &entry, Micros now);
    void renewRecord(Entry &entry, Micros now);
    void removeRecord(Entry &entry, Micros now);
    void markLost(Entry &entry, Micros now);
    void write(Entry &entry, const LeaseTable &next, Micros now);
    void onWritten(const std::string &name, Micros sentAt, const PlatformReply &reply, Micros now);
    void confirm(Entry &entry, const LeaseRecord &record, Micros sentAt, Micros now);
    void beginEnding(const std::string &name, bool orderDone, Micros now);

    PlatformClient &client;
    LeasesOptions options;
    std::string holderId;
    Generator generator;
    LeasesStats stats;
    std::map<std::string, std::unique_ptr<Entry>> entries;
};

Leases::Impl::Entry &Leases::Impl::entryFor(const std::string &name)
{
    std::unique_ptr<Entry> &slot = entries[name];
    if (!slot) {
        slot = std::make_unique<Entry>(options);
        slot->object = { .kind = LeaseKind, .name = leaseObjectName(options.environment, name), .uid = {}, .version = 0, .spec = {} };
    }
    return *slot;
}

LeaseRecord *Leases::Impl::ownRecord(Entry &entry, LeaseTable &table) const
{
    const auto found = std::find_if(table.records.begin(), table.records.end(),
                                    [&](const LeaseRecord &record) { return record.holder == holderId && record.order == entry.request.order; });
    return found == table.records.end() ? nullptr : &*found;
}

bool Leases::Impl::isExpired(const Entry &entry, const LeaseRecord &record, Micros now) const
{
    const auto seen = entry.observations.find(record.token);
    return seen != entry.observations.end() && seen->second.renewal == record.renewal && now - seen->second.since >= record.duration;
}

void Leases::Impl::deliverAnswer(Entry &entry, LeaseAnswer answer, Micros now)
{
    const LeaseHandler done = std::move(entry.done);
    entry.done = nullptr;
    stats.granted += answer.decision == LeaseDecision::Granted ? 1 : 0;
    if (done) {
        done(answer, now);
    }
}

void Leases::Impl::backOff(Entry &entry, Micros now)
{
    entry.known = false;
    entry.retryAt = now + entry.backoff.next(generator);
}

void Leases::Impl::advance(Entry &entry, Micros now)
{
    if (entry.phase == Phase::Waiting && now >= entry.deadline) {
        // A record that was written but takes effect late is removed in phase Ending, or else expires.
        entry.phase = Phase::Ending;
        entry.orderDone = false;
        deliverAnswer(entry, { .decision = LeaseDecision::Refused, .error = entry.allRecordsTaken ? Errc::Overloaded : Errc::PlatformUnavailable }, now);
    }
    const bool nothingDue = entry.phase == Phase::Idle || (entry.phase == Phase::Held && now < entry.renewAt);
    if (entry.callInFlight || nothingDue || now < entry.retryAt) {
        return;
    }
    if (!entry.known) {
        read(entry, now);
        return;
    }
    decide(entry, now);
}

// Reading

void Leases::Impl::read(Entry &entry, Micros now)
{
    entry.callInFlight = true;
    client.call(getCall(entry.object.kind, entry.object.name), now,
                [weak = weak_from_this(), name = entry.request.name](const PlatformReply &reply, Micros when) {
                    if (const auto impl = weak.lock()) {
                        impl->onRead(name, reply, when);
                    }
                });
}

void Leases::Impl::onRead(const std::string &name, const PlatformReply &reply, Micros now)
{
    Entry &entry = entryFor(name);
    entry.callInFlight = false;
    if (reply.error == Errc::NotFound) {
        // Version 0 makes the next write create the object, which fails if this reply was stale.
        entry.object.version = 0;
        entry.object.spec = Json::Value(Json::objectValue);
        entry.table = {};
        entry.known = true;
    } else if (reply.error || reply.object.version < entry.object.version || !observe(entry, reply.object, now)) {
        backOff(entry, now);
        return;
    }
    decide(entry, now);
}

/// Adopts the value of the object and updates the first-seen time of each record. Returns false when the value is malformed.
bool Leases::Impl::observe(Entry &entry, const PlatformObject &object, Micros now)
{
    std::optional<LeaseTable> table = decodeLeases(object.spec);
    if (!table) {
        logEvent(LogLevel::Error, "lease_malformed", { { "object", object.name }, { "version", object.version } });
        return false;
    }
    entry.object = object;
    entry.table = std::move(*table);
    entry.known = true;
    std::map<FencingToken, Observation> seen;
    for (const LeaseRecord &record : entry.table.records) {
        const auto before = entry.observations.find(record.token);
        const bool same = before != entry.observations.end() && before->second.renewal == record.renewal;
        seen[record.token] = same ? before->second : Observation{ .renewal = record.renewal, .since = now };
    }
    entry.observations = std::move(seen);
    return true;
}

// State transitions

void Leases::Impl::decide(Entry &entry, Micros now)
{
    switch (entry.phase) {
    case Phase::Idle:
        return;
    case Phase::Waiting:
        acquireRecord(entry, now);
        return;
    case Phase::Held:
        renewRecord(entry, now);
        return;
    case Phase::Ending:
        removeRecord(entry, now);
        return;
    }
}

void Leases::Impl::acquireRecord(Entry &entry, Micros now)
{
    LeaseTable next = entry.table;
    if (entry.object.version == 0) {
        // Tokens start above the version of the object, which increases across all objects. Tokens of a deleted object are therefore
        // never issued again. This needs a version, so an empty object is created first.
        write(entry, next, now);
        return;
    }
    if (std::find(next.finishedOrders.begin(), next.finishedOrders.end(), entry.request.order) != next.finishedOrders.end()) {
        entry.phase = Phase::Idle;
        deliverAnswer(entry, { .decision = LeaseDecision::Done }, now);
        return;
    }
    if (const LeaseRecord *const own = ownRecord(entry, next); own != nullptr && eraOf(own->token) < eraOf(entry.object.version)) {
        // The copy of a restored platform: the lease may have been released, and granted under higher tokens, since.
        std::erase_if(next.records, [token = own->token](const LeaseRecord &record) { return record.token == token; });
    } else if (own != nullptr) {
        // An earlier write took effect at an unknown time. A renewal establishes a known start of the lease.
        renewRecord(entry, now);
        return;
    }
    const std::size_t before = next.records.size();
    std::erase_if(next.records, [&](const LeaseRecord &record) { return isExpired(entry, record, now); });
    const bool orderHasRecord = std::any_of(next.records.begin(), next.records.end(),
                                            [&](const LeaseRecord &record) { return record.order == entry.request.order; });
    if (orderHasRecord || next.records.size() >= entry.request.capacity) {
        entry.allRecordsTaken = true;
        backOff(entry, now);
        return;
    }
    stats.takenOver += before - next.records.size();
    next.lastToken = std::max(next.lastToken, entry.object.version) + 1;
    next.records.push_back({ .holder = holderId, .order = entry.request.order, .token = next.lastToken, .renewal = 1, .duration = entry.request.duration });
    write(entry, next, now);
}

void Leases::Impl::renewRecord(Entry &entry, Micros now)
{
    LeaseTable next = entry.table;
    LeaseRecord *record = ownRecord(entry, next);
    if (record == nullptr || (entry.phase == Phase::Held && record->token != entry.token)) {
        markLost(entry, now);
        return;
    }
    ++record->renewal;
    record->duration = entry.request.duration;
    write(entry, next, now);
}

void Leases::Impl::removeRecord(Entry &entry, Micros now)
{
    LeaseTable next = entry.table;
    const bool alreadyRecorded = std::find(next.finishedOrders.begin(), next.finishedOrders.end(), entry.request.order) != next.finishedOrders.end();
    const bool addOrder = entry.orderDone && !alreadyRecorded && entry.object.version != 0;
    const bool removed = std::erase_if(next.records,
                                       [&](const LeaseRecord &record) { return record.holder == holderId && record.order == entry.request.order; })
        > 0;
    if (!addOrder && !removed) {
        entry.phase = Phase::Idle;
        return;
    }
    if (addOrder) {
        next.finishedOrders.push_back(entry.request.order);
        const std::size_t excess = next.finishedOrders.size() - std::min(next.finishedOrders.size(), RecordedOrderCount);
        next.finishedOrders.erase(next.finishedOrders.begin(), next.finishedOrders.begin() + static_cast<std::ptrdiff_t>(excess));
    }
    write(entry, next, now);
}

void Leases::Impl::markLost(Entry &entry, Micros now)
{
    ++stats.lost;
    const FencingToken token = entry.token;
    entry.phase = Phase::Idle;
    entry.validUntil = 0;
    entry.known = false;
    entry.retryAt = now;
    logEvent(LogLevel::Warning, "lease_lost", { { "lease", entry.request.name }, { "order", entry.request.order }, { "token", token } });
    if (options.onLost) {
        options.onLost(entry.request.name, token);
    }
}

// Writing

void Leases::Impl::write(Entry &entry, const LeaseTable &next, Micros now)
{
    ensure(isValidTransition(entry.table, next, entry.request.capacity), "a lease write must respect the capacity and must not reuse a fencing token");
    entry.callInFlight = true;
    client.update(entry.object, encodeLeases(next), now, now + options.writeTimeout,
                  [weak = weak_from_this(), name = entry.request.name, sentAt = now](const PlatformReply &reply, Micros when) {
                      if (const auto impl = weak.lock()) {
                          impl->onWritten(name, sentAt, reply, when);
                      }
                  });
}

void Leases::Impl::onWritten(const std::string &name, Micros sentAt, const PlatformReply &reply, Micros now)
{
    Entry &entry = entryFor(name);
    entry.callInFlight = false;
    if (reply.error) {
        const bool conflict = reply.error == Errc::Conflict || reply.error == Errc::AlreadyExists;
        ++(conflict ? stats.conflicts : stats.unknown);
        backOff(entry, now);
        return;
    }
    if (!observe(entry, reply.object, now)) {
        backOff(entry, now);
        return;
    }
    if (const LeaseRecord *record = ownRecord(entry, entry.table); record != nullptr) {
        confirm(entry, *record, sentAt, now);
    }
    advance(entry, now);
}

/// Handles a record that is confirmed in the platform. The write that put it into this state was sent at \p sentAt or later.
void Leases::Impl::confirm(Entry &entry, const LeaseRecord &record, Micros sentAt, Micros now)
{
    if (entry.phase != Phase::Waiting && entry.phase != Phase::Held) {
        return;
    }
    ensure(entry.phase == Phase::Waiting || record.token == entry.token, "a held lease must keep its fencing token");
    entry.backoff.reset();
    entry.validUntil = sentAt + record.duration - marginOf(record.duration);
    entry.renewAt = sentAt + record.duration / RenewalsPerLease;
    if (entry.phase == Phase::Held) {
        ++stats.renewed;
        return;
    }
    if (now >= entry.validUntil) {
        return;
    }
    entry.phase = Phase::Held;
    entry.token = record.token;
    deliverAnswer(entry, { .decision = LeaseDecision::Granted, .token = record.token }, now);
}

void Leases::Impl::beginEnding(const std::string &name, bool orderDone, Micros now)
{
    const auto found = entries.find(name);
    if (found == entries.end() || (found->second->phase != Phase::Held && found->second->phase != Phase::Waiting)) {
        return;
    }
    Entry &entry = *found->second;
    entry.phase = Phase::Ending;
    entry.orderDone = orderDone;
    entry.validUntil = 0;
    entry.done = nullptr;
    advance(entry, now);
}

// Public interface

Leases::Leases(PlatformClient &client, LeasesOptions options)
    : impl_(std::make_shared<Impl>(client, std::move(options)))
{
}

Leases::~Leases() = default;

void Leases::acquire(LeaseRequest request, Micros now, LeaseHandler done)
{
    Impl::Entry &entry = impl_->entryFor(request.name);
    if (entry.phase == Impl::Phase::Held && entry.request.order == request.order && now < entry.validUntil) {
        done({ .decision = LeaseDecision::Granted, .token = entry.token }, now);
        return;
    }
    if (entry.phase != Impl::Phase::Idle || entry.callInFlight) {
        done({ .decision = LeaseDecision::Refused, .error = Errc::Overloaded }, now);
        return;
    }
    entry.phase = Impl::Phase::Waiting;
    entry.allRecordsTaken = false;
    entry.token = 0;
    entry.deadline = now + request.timeout;
    entry.retryAt = now;
    entry.known = false;
    entry.backoff.reset();
    entry.request = std::move(request);
    entry.done = std::move(done);
}

bool Leases::isValid(const std::string &name, FencingToken token, Micros now, Micros actionTime) const
{
    const auto found = impl_->entries.find(name);
    if (found == impl_->entries.end()) {
        return false;
    }
    const Impl::Entry &entry = *found->second;
    return entry.phase == Impl::Phase::Held && entry.token == token && now + actionTime < entry.validUntil;
}

void Leases::finish(const std::string &name, Micros now)
{
    impl_->beginEnding(name, true, now);
}

void Leases::release(const std::string &name, Micros now)
{
    impl_->beginEnding(name, false, now);
}

void Leases::tick(Micros now)
{
    const auto keepAlive = impl_;
    for (const auto &[name, slot] : impl_->entries) {
        impl_->advance(*slot, now);
    }
}

bool Leases::isIdle() const
{
    return std::all_of(impl_->entries.begin(), impl_->entries.end(),
                       [](const auto &slot) { return slot.second->phase == Impl::Phase::Idle && !slot.second->callInFlight; });
}

const LeasesStats &Leases::stats() const
{
    return impl_->stats;
}

} // namespace Carobhall
