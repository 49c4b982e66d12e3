// Public interface, dissemination and events.

#include "membership_impl.h"

#include <algorithm>
#include <cmath>

namespace Carobhall
{

namespace
{

// Each member piggybacks each update this factor times log2 of the fleet size. Epidemic dissemination needs a small multiple of
// the logarithm. Most members have already received the update by eager push.
constexpr double TransmissionFactor = 2.0;
constexpr double EagerBurstSeconds = 8.0;
constexpr double SyncBurstSeconds = 5.0;

} // namespace

Membership::Impl::Impl(MembershipOptions initialOptions)
    : options(std::move(initialOptions))
    , table(options.self)
    , eagerBudget(options.eagerBytesPerSecond, options.eagerBytesPerSecond * EagerBurstSeconds)
    , syncBudget(options.syncBytesPerSecond, options.syncBytesPerSecond * SyncBurstSeconds)
    , random(options.randomSeed)
{
    ensure(options.self.incarnation != 0 && !options.self.address.empty() && options.send, "MembershipOptions need self.incarnation, self.address and send");
    ownRegion = regionIndex(options.self.zone);
    table.local(0).region = ownRegion;
}

// Dissemination -----------------------------------------------------------------------------------

MembershipDatagram Membership::Impl::makeHeader(DatagramType type)
{
    MembershipDatagram datagram;
    datagram.type = static_cast<std::uint8_t>(type);
    datagram.sender = table.members().front().info.incarnation;
    datagram.counter = ++datagramCounter;
    datagram.configVersion = table.members().front().info.configVersion;
    return datagram;
}

void Membership::Impl::sendWithGossip(const std::string &address, const MembershipDatagram &header, std::span<const std::size_t> firstRows)
{
    builder.begin(header);
    for (const std::size_t position : firstRows) {
        builder.add(table.wireRow(position));
    }
    gossipQueue.drain(transmissionLimit(), [&](const GossipKey &key) {
        if (key.kind == GossipKey::RowKind) {
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

void Membership::Impl::enqueueGossip(const GossipKey &key)
{
    gossipQueue.add(key);
    if (options.mechanisms.eagerPush) {
        eagerQueue.push_back(key);
    }
}

void Membership::Impl::enqueueRowGossip(std::size_t position)
{
    enqueueGossip({ .kind = GossipKey::RowKind, .id = table.members()[position].info.incarnation });
}

void Membership::Impl::pushEagerly()
{
    if (eagerQueue.empty()) {
        return;
    }
    const auto targets = pickRandomMembers(options.eagerFanout, 0);
    std::size_t next = 0;
    while (next < eagerQueue.size() && !targets.empty()) {
        builder.begin(makeHeader(DatagramType::Gossip));
        const std::size_t first = next;
        for (; next < eagerQueue.size(); ++next) {
            const GossipKey &key = eagerQueue[next];
            if (key.kind == GossipKey::RowKind) {
                const std::size_t position = table.positionOf(key.id);
                if (position != MemberTable::NotFound && !builder.add(table.wireRow(position))) {
                    break;
                }
            } else if (const auto fact = facts.get(key, now); fact && !builder.add(*fact)) {
                break;
            }
        }
        ensure(next > first, "any single row or fact fits into a datagram");
        const std::string payload(builder.finish());
        if (!eagerBudget.take(payload.size() * targets.size(), now)) {
            // The rate limit is exhausted. The remaining updates are piggybacked on pings only.
            break;
        }
        for (const std::size_t target : targets) {
            ++counters.eagerDatagrams;
            transmit(table.members()[target].info.address, payload);
        }
    }
    eagerQueue.clear();
}

std::vector<std::size_t> Membership::Impl::pickRandomMembers(std::size_t count, Incarnation excluded)
{
    std::vector<std::size_t> picked;
    const std::size_t size = table.size();
    // Bounded number of attempts: enough to find a few members in a large fleet. In a small fleet the result may be shorter
    // than requested.
    const std::size_t maxAttempts = 8 * count + 8;
    for (std::size_t i = 0; i < maxAttempts && picked.size() < count && size > 1; ++i) {
        const std::size_t position = 1 + random() % (size - 1);
        const Member &member = table.members()[position];
        const bool eligible = member.state != MemberState::Dead && member.state != MemberState::Suspect && member.reachable
            && member.info.incarnation != excluded;
        if (eligible && std::find(picked.begin(), picked.end(), position) == picked.end()) {
            picked.push_back(position);
        }
    }
    return picked;
}

void Membership::Impl::announceSelf()
{
    ++table.member(0).revision;
    enqueueRowGossip(0);
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
    ensure(probeCursor <= probeOrder.size(), "the probe cursor is within the probing round");
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
    ensure(now >= impl.now, "the time passed to tick() does not decrease");
    const Micros gap = impl.hasTicked ? now - impl.lastTick : 0;
    impl.now = now;
    impl.lastTick = now;
    if (!impl.hasTicked) {
        impl.hasTicked = true;
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
    for (const Incarnation incarnation : std::exchange(impl.reprobeQueue, {})) {
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
    ensure(now >= impl.now, "the time passed to receive() does not decrease");
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
    ensure(fact.text.size() <= MaxFactTextBytes, "a fact's text has at most MaxFactTextBytes bytes");
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
        impl_->scheduleReprobe(incarnation);
    }
}

const MembershipCounters &Membership::counters() const
{
    return impl_->counters;
}

} // namespace Carobhall
