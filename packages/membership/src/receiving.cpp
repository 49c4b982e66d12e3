// Datagrams, merging, comparing tables.

#include "membership_impl.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

constexpr std::size_t MaxRelays = 256;
// Datagrams that answer one SyncAsk; the asker asks again for the rest, so that its socket's buffer does not overflow.
constexpr std::size_t SyncGroup = 16;
// About this many members look at an address that two members claim and spread what they find. If all did, each restarted
// process would be pinged by the whole fleet.
constexpr std::size_t AddressCheckers = 8;

} // namespace

void Membership::Impl::handle(const MembershipDatagram &datagram, const std::string &from)
{
    const Incarnation own = table.members().front().info.incarnation;
    if (datagram.sender == own) {
        return;
    }
    const std::size_t before = table.positionOf(datagram.sender);
    if (before != MemberTable::NotFound && options.mechanisms.replayWindow && !table.acceptCounter(before, datagram.counter)) {
        ++counters.replayed;
        return;
    }
    const bool spread = datagram.type != static_cast<std::uint8_t>(DatagramType::SyncRows);
    for (const WireRow &row : datagram.rows) {
        mergeRow(row, spread);
    }
    for (const Fact &fact : datagram.facts) {
        mergeFact(fact, true);
    }
    if (const std::size_t sender = table.positionOf(datagram.sender); sender != MemberTable::NotFound) {
        if (before == MemberTable::NotFound) {
            // The datagram introduced its sender; a copy of it must not count again.
            (void)table.acceptCounter(sender, datagram.counter);
        }
        table.member(sender).info.configVersion = std::max(table.member(sender).info.configVersion, datagram.configVersion);
        heardFrom(sender);
        if (options.mechanisms.addressCheck) {
            checkAddress(sender, from);
        }
    }
    switch (static_cast<DatagramType>(datagram.type)) {
    case DatagramType::Ping:
        handlePing(datagram, from);
        break;
    case DatagramType::PingReq:
        handlePingReq(datagram, from);
        break;
    case DatagramType::Ack:
        handleAck(datagram);
        break;
    case DatagramType::News:
        break;
    case DatagramType::SyncAsk:
        handleSyncAsk(datagram, from);
        break;
    case DatagramType::SyncRows:
        handleSyncRows(datagram);
        break;
    }
}

// Pings -------------------------------------------------------------------------------------------

void Membership::Impl::handlePing(const MembershipDatagram &datagram, const std::string &from)
{
    MembershipDatagram ack = head(DatagramType::Ack);
    ack.sequence = datagram.sequence;
    ack.target = ack.sender;
    std::vector<std::size_t> rows;
    const bool otherMeant = datagram.target != 0 && datagram.target != ack.sender;
    if (datagram.introduce || otherMeant) {
        rows.push_back(0);
    }
    // A sender that is thought dead or suspect learns it at once.
    const std::size_t sender = table.positionOf(datagram.sender);
    if (sender != MemberTable::NotFound && table.members()[sender].state >= MemberState::Suspect) {
        rows.push_back(sender);
    }
    sendNews(from, ack, rows);
}

void Membership::Impl::handlePingReq(const MembershipDatagram &datagram, const std::string &from)
{
    if (datagram.address.empty() || relays.size() >= MaxRelays) {
        return;
    }
    MembershipDatagram ping = head(DatagramType::Ping);
    ping.sequence = nextSequence++;
    ping.target = datagram.target;
    relays.push_back({ .sequence = ping.sequence, .originSequence = datagram.sequence, .originAddress = from, .sentAt = now });
    sendNews(datagram.address, ping);
}

void Membership::Impl::handleAck(const MembershipDatagram &datagram)
{
    const auto relay = std::find_if(relays.begin(), relays.end(), [&](const PendingRelay &row) { return row.sequence == datagram.sequence; });
    if (relay != relays.end() && datagram.sender == datagram.target) {
        MembershipDatagram ack = head(DatagramType::Ack);
        ack.sequence = relay->originSequence;
        ack.target = datagram.target;
        const std::string origin = relay->originAddress;
        relays.erase(relay);
        sendNews(origin, ack);
        return;
    }
    const auto found = std::find_if(probes.begin(), probes.end(), [&](const PendingProbe &row) { return row.sequence == datagram.sequence; });
    if (found == probes.end()) {
        return;
    }
    const PendingProbe probe = *found;
    probes.erase(found);
    if (probe.target != 0 && datagram.target != probe.target) {
        // Another process answers at the member's address.
        const std::size_t position = table.positionOf(probe.target);
        if (position != MemberTable::NotFound && table.members()[position].state != MemberState::Dead && options.mechanisms.addressCheck) {
            declareDead(position);
        }
        return;
    }
    const std::size_t sender = table.positionOf(datagram.sender);
    if (probe.target == 0 && sender != MemberTable::NotFound && syncAskedAt == 0 && !synced && options.mechanisms.sync) {
        startSync(sender);
    }
}

void Membership::Impl::checkAddress(std::size_t sender, const std::string &from)
{
    const Member &member = table.members()[sender];
    // A late datagram of an earlier process at the own address says nothing about this process.
    if (member.info.address != from || from == table.members().front().info.address) {
        return;
    }
    const Incarnation holder = table.atAddress(from);
    if (holder == member.info.incarnation) {
        return;
    }
    table.claimAddress(from, member.info.incarnation);
    const std::size_t other = table.positionOf(holder);
    if (other != MemberTable::NotFound && table.members()[other].state != MemberState::Dead) {
        declareDead(other);
    }
}

// Merging -----------------------------------------------------------------------------------------

void Membership::Impl::mergeRow(const WireRow &row, bool spread)
{
    if (row.info.incarnation == table.members().front().info.incarnation) {
        mergeOwnRow(row);
        return;
    }
    const Incarnation holder = table.atAddress(row.info.address);
    const MergeResult result = table.merge(row, now);
    if (!result.changed) {
        return;
    }
    const std::size_t position = result.position;
    const MemberState state = table.members()[position].state;
    MemberLocal &local = table.local(position);
    if (result.inserted) {
        local.region = regionIndex(row.info.zone);
        table.member(position).reachable = !inCutRegion(position);
        if (!probeOrder.empty() && state != MemberState::Dead) {
            const std::size_t left = probeOrder.size() - probeCursor;
            const std::size_t at = probeCursor + random() % (left + 1);
            probeOrder.insert(probeOrder.begin() + static_cast<std::ptrdiff_t>(at), row.info.incarnation);
        }
        const bool conflict = holder != 0 && state != MemberState::Dead && options.mechanisms.addressCheck;
        if (conflict && random() % table.aliveCount() < AddressCheckers) {
            // Two members claim one address: whoever answers there is the living one.
            probeAddress(row.info.address);
        }
    }
    if (row.info.address == table.members().front().info.address && state != MemberState::Dead && options.mechanisms.addressCheck) {
        // An earlier process at the own address has ended, because this one could bind it.
        declareDead(position);
        return;
    }
    if (state == MemberState::Suspect) {
        startSuspicionTimer(position);
    } else {
        local.suspicionDeadline = 0;
    }
    if (spread) {
        addRowNews(position);
    }
    const bool wasDown = !result.inserted && result.before >= MemberState::Suspect;
    if (result.inserted) {
        if (state != MemberState::Dead) {
            emit(MemberEventKind::Joined, position);
        }
    } else if (state == MemberState::Dead) {
        emit(MemberEventKind::Died, position);
    } else if (state == MemberState::Suspect && result.before != MemberState::Suspect) {
        emit(MemberEventKind::Suspected, position);
    } else if (wasDown && state < MemberState::Suspect) {
        emit(MemberEventKind::Refuted, position);
    }
    if (result.left && state != MemberState::Dead) {
        emit(MemberEventKind::Left, position);
    }
    if (result.infoChanged) {
        emit(MemberEventKind::Updated, position);
    }
}

void Membership::Impl::mergeOwnRow(const WireRow &row)
{
    Member &self = table.member(0);
    const bool accused = row.state >= static_cast<std::uint8_t>(MemberState::Suspect) && row.revision >= self.revision;
    if (accused && options.mechanisms.refutation) {
        ++counters.refutations;
        self.revision = row.revision;
        announceSelf();
    }
}

void Membership::Impl::mergeFact(const Fact &fact, bool spread)
{
    if (!facts.merge(fact, now)) {
        return;
    }
    if (spread) {
        addNews({ .kind = fact.kind, .id = fact.key });
    }
    emitFact(fact);
}

// Comparing tables --------------------------------------------------------------------------------

void Membership::Impl::handleSyncAsk(const MembershipDatagram &datagram, const std::string &from)
{
    if (datagram.digests.size() != SyncBuckets) {
        return;
    }
    const auto own = table.digests();
    std::uint64_t differing = 0;
    for (std::size_t bucket = 0; bucket < SyncBuckets; ++bucket) {
        if (own[bucket] != datagram.digests[bucket]) {
            differing |= std::uint64_t{ 1 } << bucket;
        }
    }
    sendRows(from, differing);
}

void Membership::Impl::sendRows(const std::string &address, std::uint64_t buckets)
{
    // Whole buckets one after the other, so that the digests of those that were sent agree afterwards. The random start
    // lets an asker that turns to several members get different buckets from them.
    const std::size_t start = random() % SyncBuckets;
    std::vector<std::pair<std::size_t, std::size_t>> ordered;
    for (std::size_t position = 0; position < table.size(); ++position) {
        const std::size_t bucket = MemberTable::bucketOf(table.members()[position].info.incarnation);
        if ((buckets >> bucket & 1U) != 0) {
            ordered.emplace_back((bucket + SyncBuckets - start) % SyncBuckets, position);
        }
    }
    std::sort(ordered.begin(), ordered.end());
    std::vector<Fact> known = facts.all(now);
    std::size_t next = 0;
    for (std::size_t sent = 0; sent < SyncGroup && (next < ordered.size() || sent == 0); ++sent) {
        if (!syncBudget.take(MaxPayloadBytes, now)) {
            return;
        }
        MembershipDatagram answer = head(DatagramType::SyncRows);
        answer.more = sent + 1 == SyncGroup;
        builder.begin(answer);
        while (!known.empty() && builder.add(known.back())) {
            known.pop_back();
        }
        while (next < ordered.size() && builder.add(table.wireRow(ordered[next].second))) {
            ++next;
        }
        ++counters.syncDatagrams;
        transmit(address, builder.finish());
    }
}

void Membership::Impl::handleSyncRows(const MembershipDatagram &datagram)
{
    syncAskedAt = 0;
    synced = true;
    if (datagram.more) {
        // The rest comes from another member, so that those that started together do not all burden one.
        const auto drawn = drawMembers(1, 0);
        const std::size_t position = drawn.empty() ? table.positionOf(datagram.sender) : drawn.front();
        if (position != MemberTable::NotFound) {
            startSync(position);
        }
    }
}

} // namespace Carobhall
