// Interface, spreading and events.

#include "membership_impl.h"

#include <algorithm>
#include <cmath>

namespace Carobhall
{

namespace
{

// Times log2 of the fleet's size: how often each piece of news is sent by each member. Epidemic spreading needs a small
// multiple of the logarithm; eager pushes have reached most members before.
constexpr double TransmissionFactor = 2.0;
constexpr double EagerBurstSeconds = 8.0;
constexpr double SyncBurstSeconds = 5.0;

} // namespace

Membership::Impl::Impl(MembershipOptions given)
    : options(std::move(given))
    , table(options.self)
    , eagerBudget(options.eagerBytesPerSecond, options.eagerBytesPerSecond * EagerBurstSeconds)
    , syncBudget(options.syncBytesPerSecond, options.syncBytesPerSecond * SyncBurstSeconds)
    , random(options.randomSeed)
{
    ensure(options.self.incarnation != 0 && !options.self.address.empty() && options.send, "a membership has an incarnation, an address and a way to send");
    ownRegion = regionIndex(options.self.zone);
    table.local(0).region = ownRegion;
}

// Spreading ---------------------------------------------------------------------------------------

MembershipDatagram Membership::Impl::head(DatagramType type)
{
    MembershipDatagram datagram;
    datagram.type = static_cast<std::uint8_t>(type);
    datagram.sender = table.members().front().info.incarnation;
    datagram.counter = ++datagramCounter;
    datagram.configVersion = table.members().front().info.configVersion;
    return datagram;
}

void Membership::Impl::sendNews(const std::string &address, const MembershipDatagram &head, std::span<const std::size_t> firstRows)
{
    builder.begin(head);
    for (const std::size_t position : firstRows) {
        builder.add(table.wireRow(position));
    }
    news.drain(transmissionLimit(), [&](const NewsKey &key) {
        if (key.kind == NewsKey::RowKind) {
            const std::size_t position = table.positionOf(key.id);
            return position == MemberTable::NotFound || builder.add(table.wireRow(position));
        }
        const auto fact = facts.get(key, now);
        return !fact || builder.add(*fact);
    });
    transmit(address, builder.finish());
}

void Membership::Impl::transmit(const std::string &address, std::string_view payload)
{
    ++counters.sentDatagrams;
    counters.sentBytes += payload.size();
    options.send(address, payload);
}

std::size_t Membership::Impl::transmissionLimit() const
{
    return static_cast<std::size_t>(std::ceil(TransmissionFactor * std::log2(static_cast<double>(table.aliveCount()) + 1.0)));
}

void Membership::Impl::addNews(const NewsKey &key)
{
    news.add(key);
    if (options.mechanisms.eagerPush) {
        eager.push_back(key);
    }
}

void Membership::Impl::addRowNews(std::size_t position)
{
    addNews({ .kind = NewsKey::RowKind, .id = table.members()[position].info.incarnation });
}

void Membership::Impl::pushEagerly()
{
    if (eager.empty()) {
        return;
    }
    const auto targets = drawMembers(options.eagerFanout, 0);
    std::size_t next = 0;
    while (next < eager.size() && !targets.empty()) {
        builder.begin(head(DatagramType::News));
        const std::size_t first = next;
        for (; next < eager.size(); ++next) {
            const NewsKey &key = eager[next];
            if (key.kind == NewsKey::RowKind) {
                const std::size_t position = table.positionOf(key.id);
                if (position != MemberTable::NotFound && !builder.add(table.wireRow(position))) {
                    break;
                }
            } else if (const auto fact = facts.get(key, now); fact && !builder.add(*fact)) {
                break;
            }
        }
        ensure(next > first, "one row or fact fits into a datagram");
        const std::string payload(builder.finish());
        if (!eagerBudget.take(payload.size() * targets.size(), now)) {
            // Beyond the budget, news spreads with the pings only.
            break;
        }
        for (const std::size_t target : targets) {
            ++counters.eagerDatagrams;
            transmit(table.members()[target].info.address, payload);
        }
    }
    eager.clear();
}

std::vector<std::size_t> Membership::Impl::drawMembers(std::size_t count, Incarnation except)
{
    std::vector<std::size_t> drawn;
    const std::size_t size = table.size();
    // Enough draws to find few members among many; a small fleet may yield fewer than asked for.
    const std::size_t tries = 8 * count + 8;
    for (std::size_t i = 0; i < tries && drawn.size() < count && size > 1; ++i) {
        const std::size_t position = 1 + random() % (size - 1);
        const Member &member = table.members()[position];
        const bool suitable = member.state != MemberState::Dead && member.state != MemberState::Suspect && member.reachable
            && member.info.incarnation != except;
        if (suitable && std::find(drawn.begin(), drawn.end(), position) == drawn.end()) {
            drawn.push_back(position);
        }
    }
    return drawn;
}

void Membership::Impl::announceSelf()
{
    ++table.member(0).revision;
    addRowNews(0);
}

// Events ------------------------------------------------------------------------------------------

void Membership::Impl::emit(MemberEventKind kind, std::size_t position)
{
    if (options.onEvent) {
        options.onEvent({ .kind = kind, .member = &table.members()[position], .fact = nullptr });
    }
}

void Membership::Impl::emitFact(const Fact &fact)
{
    if (options.onEvent) {
        options.onEvent({ .kind = MemberEventKind::FactLearned, .member = nullptr, .fact = &fact });
    }
}

void Membership::Impl::checkInvariants() const
{
    table.checkInvariants();
    ensure(probeCursor <= probeOrder.size(), "the probe cursor is within the round");
    ensure(suspects.size() < table.size(), "this process does not suspect itself");
}

// Interface ---------------------------------------------------------------------------------------

Membership::Membership(MembershipOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

Membership::~Membership() = default;

void Membership::tick(Micros now)
{
    Impl &impl = *impl_;
    ensure(now >= impl.now, "time does not decrease");
    const Micros gap = impl.ticked ? now - impl.lastTick : 0;
    impl.now = now;
    impl.lastTick = now;
    if (!impl.ticked) {
        impl.ticked = true;
        impl.nextPeriod = now + static_cast<Micros>(impl.random() % static_cast<std::uint64_t>(impl.options.period));
        impl.nextSync = now + impl.options.syncPeriod;
    }
    if (gap > impl.options.pauseThreshold && impl.options.mechanisms.pauseDetection) {
        impl.resumeAfterPause(gap);
    }
    impl.contactSeeds();
    impl.checkProbes();
    impl.checkRegions();
    impl.checkSuspects();
    if (now >= impl.nextPeriod) {
        impl.startPeriod();
    }
    for (const Incarnation incarnation : std::exchange(impl.urgent, {})) {
        if (const std::size_t position = impl.table.positionOf(incarnation); position != MemberTable::NotFound) {
            impl.startProbe(position, true);
        }
    }
    impl.startSyncIfDue();
    impl.pushEagerly();
    impl.cleanUp();
    impl.checkInvariants();
}

void Membership::receive(std::string_view payload, const std::string &from, Micros now)
{
    Impl &impl = *impl_;
    ensure(now >= impl.now, "time does not decrease");
    impl.now = now;
    ++impl.counters.receivedDatagrams;
    impl.counters.receivedBytes += payload.size();
    const auto datagram = decodeDatagram(payload);
    if (!datagram) {
        ++impl.counters.malformed;
        return;
    }
    impl.handle(*datagram, from);
    impl.checkInvariants();
}

std::span<const Member> Membership::members() const
{
    return impl_->table.members();
}

const Member *Membership::find(Incarnation incarnation) const
{
    const std::size_t position = impl_->table.positionOf(incarnation);
    return position == MemberTable::NotFound ? nullptr : &impl_->table.members()[position];
}

const Member &Membership::self() const
{
    return impl_->table.members().front();
}

std::size_t Membership::aliveCount() const
{
    return impl_->table.aliveCount();
}

std::vector<Fact> Membership::facts(Micros now) const
{
    return impl_->facts.all(now);
}

std::optional<Fact> Membership::fact(FactKind kind, std::uint64_t key, Micros now) const
{
    return impl_->facts.get({ .kind = static_cast<std::uint16_t>(kind), .id = key }, now);
}

void Membership::publish(const Fact &fact, Micros now)
{
    ensure(fact.text.size() <= MaxFactTextBytes, "a fact's text is short");
    impl_->now = std::max(impl_->now, now);
    impl_->mergeFact(fact, true);
    impl_->pushEagerly();
}

void Membership::updateSelf(const std::function<void(MemberInfo &)> &change, Micros now)
{
    impl_->now = std::max(impl_->now, now);
    Member &self = impl_->table.member(0);
    const MemberInfo before = self.info;
    change(self.info);
    ensure(self.info.name == before.name && self.info.address == before.address && self.info.incarnation == before.incarnation,
           "name, address and incarnation of a process do not change");
    MemberInfo withoutVersion = self.info;
    withoutVersion.configVersion = before.configVersion;
    if (!(withoutVersion == before)) {
        impl_->announceSelf();
        impl_->pushEagerly();
    }
}

void Membership::leave(Micros now)
{
    impl_->now = std::max(impl_->now, now);
    Member &self = impl_->table.member(0);
    if (self.leaving) {
        return;
    }
    self.leaving = true;
    self.state = MemberState::Leaving;
    self.changedAt = now;
    impl_->announceSelf();
    impl_->pushEagerly();
}

void Membership::addSeeds(std::span<const std::string> addresses)
{
    std::vector<std::string> &seeds = impl_->options.seeds;
    for (const std::string &address : addresses) {
        if (std::find(seeds.begin(), seeds.end(), address) == seeds.end()) {
            seeds.push_back(address);
        }
    }
}

void Membership::reportFailure(Incarnation incarnation)
{
    if (incarnation != self().info.incarnation) {
        impl_->reprobe(incarnation);
    }
}

const MembershipCounters &Membership::counters() const
{
    return impl_->counters;
}

} // namespace Carobhall
