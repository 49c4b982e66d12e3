// Handling of received datagrams, merging of rows and facts, table comparison.

#include "membership_impl.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

constexpr std::size_t MaxRelays = 256; // Pings in flight on behalf of other members.
// Maximum number of datagrams in the answer to one SyncRequest. The requester asks again for the rest, so that its socket's receive
// buffer does not overflow.
constexpr std::size_t MaxSyncDatagrams = 16;
// When two members claim the same address, about this many members ping it and gossip the result. If all members did, each
// restarted process would be pinged by the whole fleet.
constexpr std::size_t AddressProbers = 8;

} // namespace

void Membership::Impl::handle(const MembershipDatagram &datagram, const std::string &from)
{
    const Incarnation own = table.members().front().info.incarnation;
    if (datagram.sender == own) {
        return;
    }
    const std::size_t knownPosition = table.positionOf(datagram.sender);
    if (knownPosition != MemberTable::NotFound && options.mechanisms.replayWindow && !table.acceptCounter(knownPosition, datagram.counter)) {
        ++counters.replayed;
        return;
    }
    const bool disseminate = datagram.type != static_cast<std::uint8_t>(DatagramType::SyncRows);
    for (const WireRow &row : datagram.rows) {
        mergeRow(row, disseminate);
    }
    for (const Fact &fact : datagram.facts) {
        mergeFact(fact, true);
    }
    if (const std::size_t sender = table.positionOf(datagram.sender); sender != MemberTable::NotFound) {
        if (knownPosition == MemberTable::NotFound) {
            // The datagram itself added its sender to the table. Record its counter, so that a replay of it is dropped.
            (void)table.acceptCounter(sender, datagram.counter);
        }
        table.member(sender).info.configVersion = std::max(table.member(sender).info.configVersion, datagram.configVersion);
        recordContact(sender);
        if (options.mechanisms.addressCheck) {
            updateAddressOwner(sender, from);
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
    case DatagramType::Gossip:
        break;
    case DatagramType::SyncRequest:
        handleSyncRequest(datagram, from);
        break;
    case DatagramType::SyncRows:
        handleSyncRows(datagram);
        break;
    }
}

// Pings -------------------------------------------------------------------------------------------

void Membership::Impl::handlePing(const MembershipDatagram &datagram, const std::string &from)
{
    MembershipDatagram ack = makeHeader(DatagramType::Ack);
    ack.sequence = datagram.sequence;
    ack.target = ack.sender;
    std::vector<std::size_t> rows;
    const bool meantForOther = datagram.target != 0 && datagram.target != ack.sender;
    if (datagram.requestRow || meantForOther) {
        rows.push_back(0);
    }
    // Tell a sender that is a suspect or dead in this table at once, so that it can refute this.
    const std::size_t sender = table.positionOf(datagram.sender);
    if (sender != MemberTable::NotFound && table.members()[sender].state >= MemberState::Suspect) {
        rows.push_back(sender);
    }
    sendWithGossip(from, ack, rows);
}

void Membership::Impl::handlePingReq(const MembershipDatagram &datagram, const std::string &from)
{
    if (datagram.address.empty() || relays.size() >= MaxRelays) {
        return;
    }
    MembershipDatagram ping = makeHeader(DatagramType::Ping);
    ping.sequence = nextSequence++;
    ping.target = datagram.target;
    relays.push_back({ .sequence = ping.sequence, .originSequence = datagram.sequence, .originAddress = from, .sentAt = now });
    sendWithGossip(datagram.address, ping);
}

void Membership::Impl::handleAck(const MembershipDatagram &datagram)
{
    const auto relay = std::find_if(relays.begin(), relays.end(), [&](const PendingRelay &pending) { return pending.sequence == datagram.sequence; });
    if (relay != relays.end() && datagram.sender == datagram.target) {
        MembershipDatagram ack = makeHeader(DatagramType::Ack);
        ack.sequence = relay->originSequence;
        ack.target = datagram.target;
        const std::string origin = relay->originAddress;
        relays.erase(relay);
        sendWithGossip(origin, ack);
        return;
    }
    const auto found = std::find_if(probes.begin(), probes.end(), [&](const PendingProbe &pending) { return pending.sequence == datagram.sequence; });
    if (found == probes.end()) {
        return;
    }
    const PendingProbe probe = *found;
    probes.erase(found);
    if (probe.target != 0 && datagram.target != probe.target) {
        // Another process answered at the member's address, so the member no longer runs there.
        const std::size_t position = table.positionOf(probe.target);
        if (position != MemberTable::NotFound && table.members()[position].state != MemberState::Dead && options.mechanisms.addressCheck) {
            declareDead(position);
        }
        return;
    }
    const std::size_t sender = table.positionOf(datagram.sender);
    if (probe.target == 0 && sender != MemberTable::NotFound && syncRequestedAt == 0 && !hasSynced && options.mechanisms.sync) {
        startSync(sender);
    }
}

void Membership::Impl::updateAddressOwner(std::size_t sender, const std::string &from)
{
    const Member &member = table.members()[sender];
    // A delayed datagram from an earlier process at this process's own address says nothing about this process.
    if (member.info.address != from || from == table.members().front().info.address) {
        return;
    }
    const Incarnation addressOwner = table.ownerOfAddress(from);
    if (addressOwner == member.info.incarnation) {
        return;
    }
    table.setAddressOwner(from, member.info.incarnation);
    const std::size_t other = table.positionOf(addressOwner);
    if (other != MemberTable::NotFound && table.members()[other].state != MemberState::Dead) {
        declareDead(other);
    }
}

// Merging -----------------------------------------------------------------------------------------

void Membership::Impl::mergeRow(const WireRow &row, bool disseminate)
{
    if (row.info.incarnation == table.members().front().info.incarnation) {
        mergeOwnRow(row);
        return;
    }
    const Incarnation addressOwner = table.ownerOfAddress(row.info.address);
    const MergeResult result = table.merge(row, now);
    if (!result.changed) {
        return;
    }
    const std::size_t position = result.position;
    const MemberState state = table.members()[position].state;
    MemberLocal &local = table.local(position);
    if (result.inserted) {
        local.region = regionIndex(row.info.zone);
        table.member(position).reachable = !inUnreachableRegion(position);
        if (!probeOrder.empty() && state != MemberState::Dead) {
            const std::size_t remaining = probeOrder.size() - probeCursor;
            const std::size_t insertAt = probeCursor + random() % (remaining + 1);
            probeOrder.insert(probeOrder.begin() + static_cast<std::ptrdiff_t>(insertAt), row.info.incarnation);
        }
        const bool conflict = addressOwner != 0 && state != MemberState::Dead && options.mechanisms.addressCheck;
        if (conflict && random() % table.aliveCount() < AddressProbers) {
            // Two members claim the same address: the one that answers there is alive.
            probeAddress(row.info.address);
        }
    }
    if (row.info.address == table.members().front().info.address && state != MemberState::Dead && options.mechanisms.addressCheck) {
        // An earlier process at this process's own address must have ended, because this process could bind the address.
        declareDead(position);
        return;
    }
    if (state == MemberState::Suspect) {
        startSuspicionTimer(position);
    } else {
        local.suspicionDeadline = 0;
    }
    if (disseminate) {
        enqueueRowGossip(position);
    }
    const bool wasSuspectOrDead = !result.inserted && result.previousState >= MemberState::Suspect;
    if (result.inserted) {
        if (state != MemberState::Dead) {
            emit(MemberEventKind::Joined, position);
        }
    } else if (state == MemberState::Dead) {
        emit(MemberEventKind::Died, position);
    } else if (state == MemberState::Suspect && result.previousState != MemberState::Suspect) {
        emit(MemberEventKind::Suspected, position);
    } else if (wasSuspectOrDead && state < MemberState::Suspect) {
        emit(MemberEventKind::Refuted, position);
    }
    if (result.startedLeaving && state != MemberState::Dead) {
        emit(MemberEventKind::Left, position);
    }
    if (result.infoChanged) {
        emit(MemberEventKind::Updated, position);
    }
}

void Membership::Impl::mergeOwnRow(const WireRow &row)
{
    Member &self = table.member(0);
    const bool suspected = row.state >= static_cast<std::uint8_t>(MemberState::Suspect) && row.revision >= self.revision;
    if (suspected && options.mechanisms.refutation) {
        ++counters.refutations;
        self.revision = row.revision;
        announceSelf();
    }
}

void Membership::Impl::mergeFact(const Fact &fact, bool disseminate)
{
    if (!facts.merge(fact, now)) {
        return;
    }
    if (disseminate) {
        enqueueGossip({ .kind = fact.kind, .id = fact.key });
    }
    emitFact(fact);
}

// Table comparison --------------------------------------------------------------------------------

void Membership::Impl::handleSyncRequest(const MembershipDatagram &datagram, const std::string &from)
{
    if (datagram.digests.size() != SyncBuckets) {
        return;
    }
    const auto own = table.digests();
    std::uint64_t differingBuckets = 0;
    for (std::size_t bucket = 0; bucket < SyncBuckets; ++bucket) {
        if (own[bucket] != datagram.digests[bucket]) {
            differingBuckets |= std::uint64_t{ 1 } << bucket;
        }
    }
    sendRows(from, differingBuckets);
}

void Membership::Impl::sendRows(const std::string &address, std::uint64_t bucketMask)
{
    // Rows are sent bucket by bucket, so that the digests of the completed buckets match afterwards. Starting at a random bucket
    // makes several members send different buckets to a requester that asks each of them.
    const std::size_t start = random() % SyncBuckets;
    std::vector<std::pair<std::size_t, std::size_t>> ordered;
    for (std::size_t position = 0; position < table.size(); ++position) {
        const std::size_t bucket = MemberTable::bucketOf(table.members()[position].info.incarnation);
        if ((bucketMask >> bucket & 1U) != 0) {
            ordered.emplace_back((bucket + SyncBuckets - start) % SyncBuckets, position);
        }
    }
    std::sort(ordered.begin(), ordered.end());
    std::vector<Fact> unsentFacts = facts.all(now);
    std::size_t next = 0;
    for (std::size_t sent = 0; sent < MaxSyncDatagrams && (next < ordered.size() || sent == 0); ++sent) {
        if (!syncBudget.take(MaxPayloadBytes, now)) {
            return;
        }
        MembershipDatagram answer = makeHeader(DatagramType::SyncRows);
        answer.more = sent + 1 == MaxSyncDatagrams;
        builder.begin(answer);
        while (!unsentFacts.empty() && builder.add(unsentFacts.back())) {
            unsentFacts.pop_back();
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
    syncRequestedAt = 0;
    hasSynced = true;
    if (datagram.more) {
        // Request the rest from another member, so that processes that start together do not all load the same one.
        const auto picked = pickRandomMembers(1, 0);
        const std::size_t position = picked.empty() ? table.positionOf(datagram.sender) : picked.front();
        if (position != MemberTable::NotFound) {
            startSync(position);
        }
    }
}

} // namespace Carobhall
