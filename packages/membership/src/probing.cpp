// Pings, suspicion, regions and pauses.

#include "membership_impl.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

// A process that knows no other member pings seeds this often, because it cannot route requests before it knows an upstream.
constexpr Micros IsolatedSeedPeriod = 100 * MicrosPerMilli;
// Once a process knows other members, it pings one seed this often, so that parts of a fleet that have removed each other from
// their tables find each other again.
constexpr Micros SeedPeriod = 30 * MicrosPerSecond;
// In a fleet of n times this many members, each member pings a seed only every n SeedPeriods. Without this, 1,650 members send
// 18 pings per second to each of three seeds.
constexpr std::size_t SeedPeriodFleetSize = 64;
constexpr std::size_t IsolatedSeedPings = 5; // Seeds that a process without other members pings at once.
// When a ping into a region fails, this many of the region's members are pinged, to distinguish the failure of one member from
// that of the network link to the region.
constexpr std::size_t RegionProbeCount = 3;
// Members of unreachable regions are pinged only in one of this many probe periods.
constexpr std::uint64_t UnreachableRegionPeriods = 4;
constexpr Micros CleanUpPeriod = MicrosPerSecond;
constexpr Micros SyncAnswerTimeout = 200 * MicrosPerMilli;

} // namespace

// Periods -----------------------------------------------------------------------------------------

void Membership::Impl::contactSeeds()
{
    const bool isolated = table.aliveCount() == 1;
    // A process that has just lost all other members does not wait for the long interval that was set before.
    const bool overdue = isolated && nextSeedContact - now > 2 * IsolatedSeedPeriod;
    if ((now < nextSeedContact && !overdue) || options.seeds.empty()) {
        return;
    }
    const auto intervalFactor = static_cast<Micros>(std::max<std::size_t>(table.aliveCount() / SeedPeriodFleetSize, 1));
    const Micros interval = isolated ? IsolatedSeedPeriod : SeedPeriod * intervalFactor;
    // Jitter of up to a quarter of the interval, so that processes that started together do not ping the seeds together.
    nextSeedContact = now + interval + static_cast<Micros>(random() % static_cast<std::uint64_t>(interval / 4));
    const std::size_t count = std::min(isolated ? IsolatedSeedPings : 1, options.seeds.size());
    const std::size_t first = random() % options.seeds.size();
    for (std::size_t i = 0; i < count; ++i) {
        if (const std::string &address = options.seeds[(first + i) % options.seeds.size()]; address != options.self.address) {
            probeAddress(address);
        }
    }
}

void Membership::Impl::startPeriod()
{
    ++periodCount;
    nextPeriod += options.period;
    if (nextPeriod <= now) {
        nextPeriod = now + options.period;
    }
    if (const std::size_t target = nextProbeTarget(); target != MemberTable::NotFound) {
        startProbe(target, true);
    }
}

std::size_t Membership::Impl::nextProbeTarget()
{
    const bool includeUnreachableRegions = periodCount % UnreachableRegionPeriods == 0;
    for (std::size_t rounds = 0; rounds < 2; ++rounds) {
        while (probeCursor < probeOrder.size()) {
            const std::size_t position = table.positionOf(probeOrder[probeCursor++]);
            if (position == MemberTable::NotFound || table.members()[position].state == MemberState::Dead) {
                continue;
            }
            if (includeUnreachableRegions || !inUnreachableRegion(position)) {
                return position;
            }
        }
        probeOrder.clear();
        probeCursor = 0;
        for (std::size_t position = 1; position < table.size(); ++position) {
            const Member &member = table.members()[position];
            // The environment document may assign a zone to another region.
            table.local(position).region = regionIndex(member.info.zone);
            if (member.state != MemberState::Dead) {
                probeOrder.push_back(member.info.incarnation);
            }
        }
        std::shuffle(probeOrder.begin(), probeOrder.end(), random);
    }
    return MemberTable::NotFound;
}

void Membership::Impl::startProbe(std::size_t position, bool raisesSuspicion)
{
    const Member &member = table.members()[position];
    MembershipDatagram ping = makeHeader(DatagramType::Ping);
    ping.sequence = nextSequence++;
    ping.target = member.info.incarnation;
    probes.push_back({ .sequence = ping.sequence,
                       .target = ping.target,
                       .address = member.info.address,
                       .sentAt = now,
                       .raisesSuspicion = raisesSuspicion,
                       .indirectRequested = false });
    ++counters.probes;
    // A ping to a suspect carries the suspicion, so that the suspect can refute it.
    const std::array<std::size_t, 2> rows{ 0, position };
    const bool includeSuspicion = member.state == MemberState::Suspect;
    const bool introduceSelf = member.heardAt == 0;
    const std::size_t from = introduceSelf ? 0 : 1;
    const std::size_t to = includeSuspicion ? 2 : 1;
    sendWithGossip(member.info.address, ping, std::span(rows).subspan(from, to - from));
}

void Membership::Impl::probeAddress(const std::string &address)
{
    MembershipDatagram ping = makeHeader(DatagramType::Ping);
    ping.sequence = nextSequence++;
    ping.requestRow = true;
    probes.push_back({ .sequence = ping.sequence, .target = 0, .address = address, .sentAt = now, .raisesSuspicion = false, .indirectRequested = false });
    const std::array<std::size_t, 1> rows{ 0 };
    sendWithGossip(address, ping, rows);
}

void Membership::Impl::checkProbes()
{
    for (std::size_t i = 0; i < probes.size();) {
        PendingProbe &probe = probes[i];
        const Micros age = now - probe.sentAt;
        if (age >= options.period) {
            const PendingProbe failed = std::move(probe);
            probes.erase(probes.begin() + static_cast<std::ptrdiff_t>(i));
            probeFailed(failed);
            continue;
        }
        if (age >= options.pingTimeout && probe.raisesSuspicion && !probe.indirectRequested) {
            probe.indirectRequested = true;
            if (options.mechanisms.indirectPings) {
                sendIndirectPings(probe);
            }
        }
        ++i;
    }
    std::erase_if(relays, [this](const PendingRelay &relay) { return now - relay.sentAt >= options.period; });
}

void Membership::Impl::scheduleReprobe(Incarnation incarnation)
{
    if (std::find(reprobeQueue.begin(), reprobeQueue.end(), incarnation) == reprobeQueue.end()) {
        reprobeQueue.push_back(incarnation);
    }
}

void Membership::Impl::sendIndirectPings(const PendingProbe &probe)
{
    for (const std::size_t helper : pickRandomMembers(options.indirectPings, probe.target)) {
        MembershipDatagram request = makeHeader(DatagramType::PingReq);
        request.sequence = probe.sequence;
        request.target = probe.target;
        request.address = probe.address;
        sendWithGossip(table.members()[helper].info.address, request);
    }
}

void Membership::Impl::probeFailed(const PendingProbe &probe)
{
    const std::size_t position = table.positionOf(probe.target);
    if (probe.target == 0 || position == MemberTable::NotFound) {
        return;
    }
    ++counters.probesFailed;
    const std::int32_t region = table.local(position).region;
    if (region >= 0 && region != ownRegion && options.mechanisms.regionReachability) {
        RegionState &regionState = regions[static_cast<std::size_t>(region)];
        if (regionState.heardAt < probe.sentAt && regionState.failedAt == 0) {
            regionState.failedAt = probe.sentAt;
            probeRegion(region);
        }
        if (regionState.unreachable) {
            return;
        }
        if (regionState.heardAt < probe.sentAt) {
            // The link to the region may have failed instead of the member. Other members of the region are pinged, and this
            // member again.
            if (probe.raisesSuspicion) {
                scheduleReprobe(probe.target);
            }
            return;
        }
    }
    if (probe.raisesSuspicion && table.members()[position].state != MemberState::Dead) {
        suspect(position);
    }
}

// Suspicion ---------------------------------------------------------------------------------------

void Membership::Impl::suspect(std::size_t position)
{
    if (table.members()[position].state == MemberState::Suspect) {
        return;
    }
    ++counters.suspicions;
    table.setState(position, MemberState::Suspect, now);
    startSuspicionTimer(position);
    enqueueRowGossip(position);
    emit(MemberEventKind::Suspected, position);
}

void Membership::Impl::startSuspicionTimer(std::size_t position)
{
    MemberLocal &local = table.local(position);
    local.suspectSince = now;
    local.suspicionDeadline = now + options.suspicionTimeout;
    const Incarnation incarnation = table.members()[position].info.incarnation;
    if (std::find(suspects.begin(), suspects.end(), incarnation) == suspects.end()) {
        suspects.push_back(incarnation);
    }
}

void Membership::Impl::checkSuspects()
{
    std::vector<std::size_t> expired;
    std::erase_if(suspects, [&](Incarnation incarnation) {
        const std::size_t position = table.positionOf(incarnation);
        if (position == MemberTable::NotFound || table.members()[position].state != MemberState::Suspect) {
            return true;
        }
        const MemberLocal &local = table.local(position);
        if (now < local.suspicionDeadline) {
            return false;
        }
        const bool otherRegion = local.region >= 0 && local.region != ownRegion;
        if (otherRegion && options.mechanisms.regionReachability) {
            // If nothing has arrived from the region since the suspicion began, the link may have failed instead of the member.
            const RegionState &region = regions[static_cast<std::size_t>(local.region)];
            if (region.unreachable || region.heardAt < now - options.suspicionTimeout / 2 || region.heardAt < local.suspectSince) {
                return false;
            }
        }
        expired.push_back(position);
        return true;
    });
    for (const std::size_t position : expired) {
        declareDead(position);
    }
}

void Membership::Impl::declareDead(std::size_t position)
{
    ensure(position != 0, "a process never declares itself dead");
    ++counters.deaths;
    table.setState(position, MemberState::Dead, now);
    table.local(position).suspicionDeadline = 0;
    enqueueRowGossip(position);
    emit(MemberEventKind::Died, position);
}

void Membership::Impl::resumeAfterPause(Micros gap)
{
    // Answers that are missing from the time in which this process did not run are no evidence against other members.
    probes.clear();
    relays.clear();
    for (const Incarnation incarnation : suspects) {
        if (const std::size_t position = table.positionOf(incarnation); position != MemberTable::NotFound) {
            table.local(position).suspicionDeadline += gap;
        }
    }
    for (RegionState &region : regions) {
        region.heardAt = now;
        region.failedAt = 0;
    }
    if (const auto picked = pickRandomMembers(1, 0); !picked.empty() && options.mechanisms.sync) {
        startSync(picked.front());
    }
    emit(MemberEventKind::Resumed, 0);
}

// Regions -----------------------------------------------------------------------------------------

std::int32_t Membership::Impl::regionIndex(const std::string &zone)
{
    const std::string name = options.regionOf ? options.regionOf(zone) : std::string();
    if (name.empty()) {
        return -1;
    }
    const auto found = std::find_if(regions.begin(), regions.end(), [&name](const RegionState &regionState) { return regionState.name == name; });
    if (found != regions.end()) {
        return static_cast<std::int32_t>(found - regions.begin());
    }
    regions.push_back({ .name = name, .heardAt = now, .failedAt = 0, .unreachable = false });
    return static_cast<std::int32_t>(regions.size() - 1);
}

bool Membership::Impl::inUnreachableRegion(std::size_t position)
{
    const std::int32_t region = table.local(position).region;
    return region >= 0 && regions[static_cast<std::size_t>(region)].unreachable;
}

void Membership::Impl::probeRegion(std::int32_t region)
{
    std::vector<std::size_t> members;
    for (std::size_t position = 1; position < table.size(); ++position) {
        if (table.local(position).region == region && table.members()[position].state != MemberState::Dead) {
            members.push_back(position);
        }
    }
    std::shuffle(members.begin(), members.end(), random);
    members.resize(std::min(members.size(), RegionProbeCount));
    for (const std::size_t position : members) {
        startProbe(position, false);
    }
}

void Membership::Impl::checkRegions()
{
    for (std::size_t i = 0; i < regions.size(); ++i) {
        const RegionState &region = regions[i];
        const bool silent = region.failedAt != 0 && now - std::max(region.failedAt, region.heardAt) >= options.regionTimeout;
        if (silent && !region.unreachable) {
            setRegionUnreachable(static_cast<std::int32_t>(i), true);
        }
    }
}

void Membership::Impl::setRegionUnreachable(std::int32_t region, bool unreachable)
{
    regions[static_cast<std::size_t>(region)].unreachable = unreachable;
    logEvent(LogLevel::Warning, unreachable ? "region_unreachable" : "region_reachable", { { "region", regions[static_cast<std::size_t>(region)].name } });
    for (std::size_t position = 1; position < table.size(); ++position) {
        if (table.local(position).region != region) {
            continue;
        }
        table.member(position).reachable = !unreachable;
        if (!unreachable && table.local(position).suspicionDeadline != 0) {
            table.local(position).suspectSince = now;
            table.local(position).suspicionDeadline = now + options.suspicionTimeout;
        }
        if (table.members()[position].state != MemberState::Dead) {
            emit(unreachable ? MemberEventKind::Unreachable : MemberEventKind::Reachable, position);
        }
    }
}

void Membership::Impl::recordContact(std::size_t position)
{
    table.member(position).heardAt = now;
    const std::int32_t region = table.local(position).region;
    if (region < 0) {
        return;
    }
    RegionState &regionState = regions[static_cast<std::size_t>(region)];
    regionState.heardAt = now;
    regionState.failedAt = 0;
    if (regionState.unreachable) {
        setRegionUnreachable(region, false);
        // Fetch the updates that were missed while the region was unreachable.
        if (options.mechanisms.sync) {
            startSync(position);
        }
    }
}

// Maintenance -------------------------------------------------------------------------------------

void Membership::Impl::startSyncIfDue()
{
    if (!options.mechanisms.sync) {
        return;
    }
    const bool unanswered = syncRequestedAt != 0 && now - syncRequestedAt >= SyncAnswerTimeout;
    if (now < nextSync && !unanswered) {
        return;
    }
    syncRequestedAt = 0;
    nextSync = now + options.syncPeriod / 2 + static_cast<Micros>(random() % static_cast<std::uint64_t>(options.syncPeriod));
    if (const auto picked = pickRandomMembers(1, 0); !picked.empty()) {
        startSync(picked.front());
    }
}

void Membership::Impl::startSync(std::size_t position)
{
    MembershipDatagram request = makeHeader(DatagramType::SyncRequest);
    request.digests = table.digests();
    syncRequestedAt = now;
    sendWithGossip(table.members()[position].info.address, request);
}

void Membership::Impl::cleanUp()
{
    if (now < nextCleanUp) {
        return;
    }
    nextCleanUp = now + CleanUpPeriod;
    facts.removeExpired(now);
    for (std::size_t position = table.size() - 1; position > 0; --position) {
        const Member &member = table.members()[position];
        const std::int32_t region = table.local(position).region;
        const bool deadTooLong = member.state == MemberState::Dead && now - member.changedAt >= options.deadRetention;
        const bool unreachableTooLong = !member.reachable && region >= 0
            && now - regions[static_cast<std::size_t>(region)].heardAt >= options.unreachableRetention;
        if (deadTooLong || unreachableTooLong) {
            gossipQueue.remove({ .kind = GossipKey::RowKind, .id = member.info.incarnation });
            table.remove(position);
        }
    }
}

} // namespace Carobhall
