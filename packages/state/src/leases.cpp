#include "carobhall/leases.h"

#include "ensure.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

/// A held row is renewed this many times within its duration, so that three lost renewals in a row do no harm.
constexpr Micros RenewalsPerDuration = 4;

Micros marginOf(Micros duration)
{
    return static_cast<Micros>(LeaseMarginShare * static_cast<double>(duration));
}

} // namespace

struct Leases::Impl : std::enable_shared_from_this<Impl> {
    enum class Phase : std::uint8_t { Idle, Waiting, Held, Ending };

    /// A row as this process saw it first in its present state.
    struct Sighting {
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
        bool orderDone = false; ///< Ending records the order as done.
        bool full = false;      ///< The last read showed no free row.
        FencingToken token = 0;
        Micros validUntil = 0;
        Micros renewAt = 0;
        Micros deadline = 0; ///< Of the wait.

        bool known = false; ///< `object` and `table` are what the platform held last, as far as this process has heard.
        bool busy = false;  ///< A call is under way.
        PlatformObject object;
        LeaseTable table;
        std::map<FencingToken, Sighting> sightings;
        Micros retryAt = 0;
        Backoff backoff;
    };

    Impl(PlatformClient &platform, LeasesOptions leasesOptions)
        : client(platform)
        , options(std::move(leasesOptions))
        , self(toHex(options.holder))
        , generator(options.seed)
    {
    }

    Entry &entry(const std::string &name);
    LeaseRow *own(Entry &at, LeaseTable &table) const;
    bool isExpired(const Entry &at, const LeaseRow &row, Micros now) const;
    void answer(Entry &at, LeaseAnswer what, Micros now);
    void step(Entry &at, Micros now);
    void backOff(Entry &at, Micros now);
    void read(Entry &at, Micros now);
    void onRead(const std::string &name, const PlatformReply &reply, Micros now);
    bool observe(Entry &at, const PlatformObject &object, Micros now);
    void decide(Entry &at, Micros now);
    void claimRow(Entry &at, Micros now);
    void renewRow(Entry &at, Micros now);
    void endRow(Entry &at, Micros now);
    void lose(Entry &at, Micros now);
    void write(Entry &at, const LeaseTable &next, Micros now);
    void onWritten(const std::string &name, Micros sentAt, const PlatformReply &reply, Micros now);
    void confirm(Entry &at, const LeaseRow &row, Micros sentAt, Micros now);
    void end(const std::string &name, bool orderDone, Micros now);

    PlatformClient &client;
    LeasesOptions options;
    std::string self;
    Generator generator;
    LeasesStats stats;
    std::map<std::string, std::unique_ptr<Entry>> entries;
};

Leases::Impl::Entry &Leases::Impl::entry(const std::string &name)
{
    std::unique_ptr<Entry> &slot = entries[name];
    if (!slot) {
        slot = std::make_unique<Entry>(options);
        slot->object = { .kind = LeaseKind, .name = leaseObjectName(options.environment, name), .uid = {}, .version = 0, .spec = {} };
    }
    return *slot;
}

LeaseRow *Leases::Impl::own(Entry &at, LeaseTable &table) const
{
    const auto found = std::find_if(table.rows.begin(), table.rows.end(),
                                    [&](const LeaseRow &row) { return row.holder == self && row.order == at.request.order; });
    return found == table.rows.end() ? nullptr : &*found;
}

bool Leases::Impl::isExpired(const Entry &at, const LeaseRow &row, Micros now) const
{
    const auto seen = at.sightings.find(row.token);
    return seen != at.sightings.end() && seen->second.renewal == row.renewal && now - seen->second.since >= row.duration;
}

void Leases::Impl::answer(Entry &at, LeaseAnswer what, Micros now)
{
    const LeaseHandler done = std::move(at.done);
    at.done = nullptr;
    stats.granted += what.decision == LeaseDecision::Granted ? 1 : 0;
    if (done) {
        done(what, now);
    }
}

void Leases::Impl::backOff(Entry &at, Micros now)
{
    at.known = false;
    at.retryAt = now + at.backoff.next(generator);
}

void Leases::Impl::step(Entry &at, Micros now)
{
    if (at.phase == Phase::Waiting && now >= at.deadline) {
        // A claim that was written and takes effect late is taken out again, or else expires.
        at.phase = Phase::Ending;
        at.orderDone = false;
        answer(at, { .decision = LeaseDecision::Refused, .error = at.full ? Errc::Overloaded : Errc::PlatformUnavailable }, now);
    }
    const bool rests = at.phase == Phase::Idle || (at.phase == Phase::Held && now < at.renewAt);
    if (at.busy || rests || now < at.retryAt) {
        return;
    }
    if (!at.known) {
        read(at, now);
        return;
    }
    decide(at, now);
}

// Reading

void Leases::Impl::read(Entry &at, Micros now)
{
    at.busy = true;
    client.call(getCall(at.object.kind, at.object.name), now, [weak = weak_from_this(), name = at.request.name](const PlatformReply &reply, Micros when) {
        if (const auto impl = weak.lock()) {
            impl->onRead(name, reply, when);
        }
    });
}

void Leases::Impl::onRead(const std::string &name, const PlatformReply &reply, Micros now)
{
    Entry &at = entry(name);
    at.busy = false;
    if (reply.error == Errc::NotFound) {
        // Version 0 makes the next write create the object, which fails when this answer was outdated.
        at.object.version = 0;
        at.object.spec = Json::Value(Json::objectValue);
        at.table = {};
        at.known = true;
    } else if (reply.error || reply.object.version < at.object.version || !observe(at, reply.object, now)) {
        backOff(at, now);
        return;
    }
    decide(at, now);
}

/// Takes the object's value and notes when each row was seen first. Returns false when it is not a lease table.
bool Leases::Impl::observe(Entry &at, const PlatformObject &object, Micros now)
{
    std::optional<LeaseTable> table = decodeLeases(object.spec);
    if (!table) {
        logEvent(LogLevel::Error, "lease_malformed", { { "object", object.name }, { "version", object.version } });
        return false;
    }
    at.object = object;
    at.table = std::move(*table);
    at.known = true;
    std::map<FencingToken, Sighting> seen;
    for (const LeaseRow &row : at.table.rows) {
        const auto before = at.sightings.find(row.token);
        const bool same = before != at.sightings.end() && before->second.renewal == row.renewal;
        seen[row.token] = same ? before->second : Sighting{ .renewal = row.renewal, .since = now };
    }
    at.sightings = std::move(seen);
    return true;
}

// Deciding

void Leases::Impl::decide(Entry &at, Micros now)
{
    switch (at.phase) {
    case Phase::Idle:
        return;
    case Phase::Waiting:
        claimRow(at, now);
        return;
    case Phase::Held:
        renewRow(at, now);
        return;
    case Phase::Ending:
        endRow(at, now);
        return;
    }
}

void Leases::Impl::claimRow(Entry &at, Micros now)
{
    LeaseTable next = at.table;
    if (at.object.version == 0) {
        // Tokens start above the object's version, which grows over all objects, so that those of a deleted one do not return.
        write(at, next, now);
        return;
    }
    if (std::find(next.done.begin(), next.done.end(), at.request.order) != next.done.end()) {
        at.phase = Phase::Idle;
        answer(at, { .decision = LeaseDecision::Done }, now);
        return;
    }
    if (own(at, next) != nullptr) {
        // An earlier try took effect, at an unknown time. A renewal makes its time known.
        renewRow(at, now);
        return;
    }
    const std::size_t before = next.rows.size();
    std::erase_if(next.rows, [&](const LeaseRow &row) { return isExpired(at, row, now); });
    const bool underWay = std::any_of(next.rows.begin(), next.rows.end(), [&](const LeaseRow &row) { return row.order == at.request.order; });
    if (underWay || next.rows.size() >= at.request.capacity) {
        at.full = true;
        backOff(at, now);
        return;
    }
    stats.takenOver += before - next.rows.size();
    next.lastToken = std::max(next.lastToken, at.object.version) + 1;
    next.rows.push_back({ .holder = self, .order = at.request.order, .token = next.lastToken, .renewal = 1, .duration = at.request.duration });
    write(at, next, now);
}

void Leases::Impl::renewRow(Entry &at, Micros now)
{
    LeaseTable next = at.table;
    LeaseRow *row = own(at, next);
    if (row == nullptr || (at.phase == Phase::Held && row->token != at.token)) {
        lose(at, now);
        return;
    }
    ++row->renewal;
    row->duration = at.request.duration;
    write(at, next, now);
}

void Leases::Impl::endRow(Entry &at, Micros now)
{
    LeaseTable next = at.table;
    const bool recorded = std::find(next.done.begin(), next.done.end(), at.request.order) != next.done.end();
    const bool record = at.orderDone && !recorded && at.object.version != 0;
    const bool removed = std::erase_if(next.rows, [&](const LeaseRow &row) { return row.holder == self && row.order == at.request.order; }) > 0;
    if (!record && !removed) {
        at.phase = Phase::Idle;
        return;
    }
    if (record) {
        next.done.push_back(at.request.order);
        const std::size_t excess = next.done.size() - std::min(next.done.size(), RecordedOrders);
        next.done.erase(next.done.begin(), next.done.begin() + static_cast<std::ptrdiff_t>(excess));
    }
    write(at, next, now);
}

void Leases::Impl::lose(Entry &at, Micros now)
{
    ++stats.lost;
    const FencingToken token = at.token;
    at.phase = Phase::Idle;
    at.validUntil = 0;
    at.known = false;
    at.retryAt = now;
    logEvent(LogLevel::Warning, "lease_lost", { { "lease", at.request.name }, { "order", at.request.order }, { "token", token } });
    if (options.onLost) {
        options.onLost(at.request.name, token);
    }
}

// Writing

void Leases::Impl::write(Entry &at, const LeaseTable &next, Micros now)
{
    ensure(mayFollow(at.table, next, at.request.capacity), "a write keeps the capacity, and no two holders get one fencing token");
    at.busy = true;
    client.update(at.object, encodeLeases(next), now, now + options.writeTimeout,
                  [weak = weak_from_this(), name = at.request.name, sentAt = now](const PlatformReply &reply, Micros when) {
                      if (const auto impl = weak.lock()) {
                          impl->onWritten(name, sentAt, reply, when);
                      }
                  });
}

void Leases::Impl::onWritten(const std::string &name, Micros sentAt, const PlatformReply &reply, Micros now)
{
    Entry &at = entry(name);
    at.busy = false;
    if (reply.error) {
        const bool conflict = reply.error == Errc::Conflict || reply.error == Errc::AlreadyExists;
        ++(conflict ? stats.conflicts : stats.unknown);
        backOff(at, now);
        return;
    }
    if (!observe(at, reply.object, now)) {
        backOff(at, now);
        return;
    }
    if (const LeaseRow *row = own(at, at.table); row != nullptr) {
        confirm(at, *row, sentAt, now);
    }
    step(at, now);
}

/// The row is in the platform, and the write that put it into this state was sent at \p sentAt or later.
void Leases::Impl::confirm(Entry &at, const LeaseRow &row, Micros sentAt, Micros now)
{
    if (at.phase != Phase::Waiting && at.phase != Phase::Held) {
        return;
    }
    ensure(at.phase == Phase::Waiting || row.token == at.token, "a held lease keeps its fencing token");
    at.backoff.reset();
    at.validUntil = sentAt + row.duration - marginOf(row.duration);
    at.renewAt = sentAt + row.duration / RenewalsPerDuration;
    if (at.phase == Phase::Held) {
        ++stats.renewed;
        return;
    }
    if (now >= at.validUntil) {
        return;
    }
    at.phase = Phase::Held;
    at.token = row.token;
    answer(at, { .decision = LeaseDecision::Granted, .token = row.token }, now);
}

void Leases::Impl::end(const std::string &name, bool orderDone, Micros now)
{
    const auto found = entries.find(name);
    if (found == entries.end() || (found->second->phase != Phase::Held && found->second->phase != Phase::Waiting)) {
        return;
    }
    Entry &at = *found->second;
    at.phase = Phase::Ending;
    at.orderDone = orderDone;
    at.validUntil = 0;
    at.done = nullptr;
    step(at, now);
}

// Public interface

Leases::Leases(PlatformClient &client, LeasesOptions options)
    : impl_(std::make_shared<Impl>(client, std::move(options)))
{
}

Leases::~Leases() = default;

void Leases::acquire(LeaseRequest request, Micros now, LeaseHandler done)
{
    Impl::Entry &at = impl_->entry(request.name);
    if (at.phase == Impl::Phase::Held && at.request.order == request.order && now < at.validUntil) {
        done({ .decision = LeaseDecision::Granted, .token = at.token }, now);
        return;
    }
    if (at.phase != Impl::Phase::Idle || at.busy) {
        done({ .decision = LeaseDecision::Refused, .error = Errc::Overloaded }, now);
        return;
    }
    at.phase = Impl::Phase::Waiting;
    at.full = false;
    at.token = 0;
    at.deadline = now + request.timeout;
    at.retryAt = now;
    at.known = false;
    at.backoff.reset();
    at.request = std::move(request);
    at.done = std::move(done);
}

bool Leases::mayAct(const std::string &name, FencingToken token, Micros now, Micros needed) const
{
    const auto found = impl_->entries.find(name);
    if (found == impl_->entries.end()) {
        return false;
    }
    const Impl::Entry &at = *found->second;
    return at.phase == Impl::Phase::Held && at.token == token && now + needed < at.validUntil;
}

void Leases::finish(const std::string &name, Micros now)
{
    impl_->end(name, true, now);
}

void Leases::release(const std::string &name, Micros now)
{
    impl_->end(name, false, now);
}

void Leases::tick(Micros now)
{
    const auto keepAlive = impl_;
    for (const auto &[name, slot] : impl_->entries) {
        impl_->step(*slot, now);
    }
}

bool Leases::isIdle() const
{
    return std::all_of(impl_->entries.begin(), impl_->entries.end(),
                       [](const auto &slot) { return slot.second->phase == Impl::Phase::Idle && !slot.second->busy; });
}

const LeasesStats &Leases::stats() const
{
    return impl_->stats;
}

} // namespace Carobhall
