// Pings, suspicion, regions and pauses.

#include "membership_impl.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

// A process that knows nobody asks its seeds this often, because it cannot route before it knows a server.
constexpr Micros LonelySeedPeriod = 100 * MicrosPerMilli;
// One seed is pinged this often later on, so that halves of a fleet that have forgotten each other meet again.
constexpr Micros SeedPeriod = 30 * MicrosPerSecond;
// Members that share this work: in a larger fleet each pings seeds less often. Without it, 1,650 members sent 18 pings a second
// to each of three seeds.
constexpr std::size_t SeedSharers = 64;
constexpr std::size_t SeedsAtOnce = 5;
// Members of a silent region that are pinged to tell the loss of one member from that of the link.
constexpr std::size_t RegionProbes = 3;
// One period in this many pings into a region that is cut off.
constexpr std::uint64_t CutRegionPeriods = 4;
constexpr Micros CleanUpPeriod = MicrosPerSecond;
constexpr Micros SyncAnswerTimeout = 200 * MicrosPerMilli;

} // namespace

// Periods -----------------------------------------------------------------------------------------

void Membership::Impl::contactSeeds()
{
    const bool lonely = table.aliveCount() == 1;
    // A wait that was set in company does not hold for a process that has lost everybody.
    const bool overdue = lonely && nextSeedContact - now > 2 * LonelySeedPeriod;
    if ((now < nextSeedContact && !overdue) || options.seeds.empty()) {
        return;
    }
    const auto sharing = static_cast<Micros>(std::max<std::size_t>(table.aliveCount() / SeedSharers, 1));
    const Micros wait = lonely ? LonelySeedPeriod : SeedPeriod * sharing;
    // Spread over a quarter, so that processes that started together do not ask together.
    nextSeedContact = now + wait + static_cast<Micros>(random() % static_cast<std::uint64_t>(wait / 4));
    const std::size_t count = std::min(lonely ? SeedsAtOnce : 1, options.seeds.size());
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
    if (const std::size_t target = nextTarget(); target != MemberTable::NotFound) {
        startProbe(target, true);
    }
}

std::size_t Membership::Impl::nextTarget()
{
    const bool cutRegionsToo = periodCount % CutRegionPeriods == 0;
    for (std::size_t rounds = 0; rounds < 2; ++rounds) {
        while (probeCursor < probeOrder.size()) {
            const std::size_t position = table.positionOf(probeOrder[probeCursor++]);
            if (position == MemberTable::NotFound || table.members()[position].state == MemberState::Dead) {
                continue;
            }
            if (cutRegionsToo || !inCutRegion(position)) {
                return position;
            }
        }
        probeOrder.clear();
        probeCursor = 0;
        for (std::size_t position = 1; position < table.size(); ++position) {
            const Member &member = table.members()[position];
            // Zones move between regions with the document.
            table.local(position).region = regionIndex(member.info.zone);
            if (member.state != MemberState::Dead) {
                probeOrder.push_back(member.info.incarnation);
            }
        }
        std::shuffle(probeOrder.begin(), probeOrder.end(), random);
    }
    return MemberTable::NotFound;
}

void Membership::Impl::startProbe(std::size_t position, bool judges)
{
    const Member &member = table.members()[position];
    MembershipDatagram ping = head(DatagramType::Ping);
    ping.sequence = nextSequence++;
    ping.target = member.info.incarnation;
    probes.push_back({ .sequence = ping.sequence, .target = ping.target, .address = member.info.address, .sentAt = now, .judges = judges, .indirect = false });
    ++counters.probes;
    // A suspect learns of the suspicion with the ping, so that it can refute it.
    const std::array<std::size_t, 2> rows{ 0, position };
    const bool tellSuspicion = member.state == MemberState::Suspect;
    const bool introduce = member.heardAt == 0;
    const std::size_t from = introduce ? 0 : 1;
    const std::size_t to = tellSuspicion ? 2 : 1;
    sendNews(member.info.address, ping, std::span(rows).subspan(from, to - from));
}

void Membership::Impl::probeAddress(const std::string &address)
{
    MembershipDatagram ping = head(DatagramType::Ping);
    ping.sequence = nextSequence++;
    ping.introduce = true;
    probes.push_back({ .sequence = ping.sequence, .target = 0, .address = address, .sentAt = now, .judges = false, .indirect = false });
    const std::array<std::size_t, 1> rows{ 0 };
    sendNews(address, ping, rows);
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
        if (age >= options.pingTimeout && probe.judges && !probe.indirect) {
            probe.indirect = true;
            if (options.mechanisms.indirectPings) {
                askOthers(probe);
            }
        }
        ++i;
    }
    std::erase_if(relays, [this](const PendingRelay &relay) { return now - relay.sentAt >= options.period; });
}

void Membership::Impl::reprobe(Incarnation incarnation)
{
    if (std::find(urgent.begin(), urgent.end(), incarnation) == urgent.end()) {
        urgent.push_back(incarnation);
    }
}

void Membership::Impl::askOthers(const PendingProbe &probe)
{
    for (const std::size_t helper : drawMembers(options.indirectPings, probe.target)) {
        MembershipDatagram ask = head(DatagramType::PingReq);
        ask.sequence = probe.sequence;
        ask.target = probe.target;
        ask.address = probe.address;
        sendNews(table.members()[helper].info.address, ask);
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
        RegionRow &row = regions[static_cast<std::size_t>(region)];
        if (row.heardAt < probe.sentAt && row.failedAt == 0) {
            row.failedAt = probe.sentAt;
            probeRegion(region);
        }
        if (row.cut) {
            return;
        }
        if (row.heardAt < probe.sentAt) {
            // The link may be at fault instead of the member. The region's other members are asked, and this one again.
            if (probe.judges) {
                reprobe(probe.target);
            }
            return;
        }
    }
    if (probe.judges && table.members()[position].state != MemberState::Dead) {
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
    addRowNews(position);
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
            // Without a sign of life of its region since the suspicion, the link may be at fault instead of the member.
            const RegionRow &region = regions[static_cast<std::size_t>(local.region)];
            if (region.cut || region.heardAt < now - options.suspicionTimeout / 2 || region.heardAt < local.suspectSince) {
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
    ensure(position != 0, "this process does not declare itself dead");
    ++counters.deaths;
    table.setState(position, MemberState::Dead, now);
    table.local(position).suspicionDeadline = 0;
    addRowNews(position);
    emit(MemberEventKind::Died, position);
}

void Membership::Impl::resumeAfterPause(Micros gap)
{
    // The time in which this process did not run says nothing about the others.
    probes.clear();
    relays.clear();
    for (const Incarnation incarnation : suspects) {
        if (const std::size_t position = table.positionOf(incarnation); position != MemberTable::NotFound) {
            table.local(position).suspicionDeadline += gap;
        }
    }
    for (RegionRow &region : regions) {
        region.heardAt = now;
        region.failedAt = 0;
    }
    if (const auto drawn = drawMembers(1, 0); !drawn.empty() && options.mechanisms.sync) {
        startSync(drawn.front());
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
    const auto found = std::find_if(regions.begin(), regions.end(), [&name](const RegionRow &row) { return row.name == name; });
    if (found != regions.end()) {
        return static_cast<std::int32_t>(found - regions.begin());
    }
    regions.push_back({ .name = name, .heardAt = now, .failedAt = 0, .cut = false });
    return static_cast<std::int32_t>(regions.size() - 1);
}

bool Membership::Impl::inCutRegion(std::size_t position)
{
    const std::int32_t region = table.local(position).region;
    return region >= 0 && regions[static_cast<std::size_t>(region)].cut;
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
    members.resize(std::min(members.size(), RegionProbes));
    for (const std::size_t position : members) {
        startProbe(position, false);
    }
}

void Membership::Impl::checkRegions()
{
    for (std::size_t i = 0; i < regions.size(); ++i) {
        const RegionRow &region = regions[i];
        const bool silent = region.failedAt != 0 && now - std::max(region.failedAt, region.heardAt) >= options.regionTimeout;
        if (silent && !region.cut) {
            setRegionCut(static_cast<std::int32_t>(i), true);
        }
    }
}

void Membership::Impl::setRegionCut(std::int32_t region, bool cut)
{
    regions[static_cast<std::size_t>(region)].cut = cut;
    logEvent(LogLevel::Warning, cut ? "region_unreachable" : "region_reachable", { { "region", regions[static_cast<std::size_t>(region)].name } });
    for (std::size_t position = 1; position < table.size(); ++position) {
        if (table.local(position).region != region) {
            continue;
        }
        table.member(position).reachable = !cut;
        if (!cut && table.local(position).suspicionDeadline != 0) {
            table.local(position).suspectSince = now;
            table.local(position).suspicionDeadline = now + options.suspicionTimeout;
        }
        if (table.members()[position].state != MemberState::Dead) {
            emit(cut ? MemberEventKind::Unreachable : MemberEventKind::Reachable, position);
        }
    }
}

void Membership::Impl::heardFrom(std::size_t position)
{
    table.member(position).heardAt = now;
    const std::int32_t region = table.local(position).region;
    if (region < 0) {
        return;
    }
    RegionRow &row = regions[static_cast<std::size_t>(region)];
    row.heardAt = now;
    row.failedAt = 0;
    if (row.cut) {
        setRegionCut(region, false);
        // What happened on the other side meanwhile comes with the tables.
        if (options.mechanisms.sync) {
            startSync(position);
        }
    }
}

// Upkeep ------------------------------------------------------------------------------------------

void Membership::Impl::startSyncIfDue()
{
    if (!options.mechanisms.sync) {
        return;
    }
    const bool unanswered = syncAskedAt != 0 && now - syncAskedAt >= SyncAnswerTimeout;
    if (now < nextSync && !unanswered) {
        return;
    }
    syncAskedAt = 0;
    nextSync = now + options.syncPeriod / 2 + static_cast<Micros>(random() % static_cast<std::uint64_t>(options.syncPeriod));
    if (const auto drawn = drawMembers(1, 0); !drawn.empty()) {
        startSync(drawn.front());
    }
}

void Membership::Impl::startSync(std::size_t position)
{
    MembershipDatagram ask = head(DatagramType::SyncAsk);
    ask.digests = table.digests();
    syncAskedAt = now;
    sendNews(table.members()[position].info.address, ask);
}

void Membership::Impl::cleanUp()
{
    if (now < nextCleanUp) {
        return;
    }
    nextCleanUp = now + CleanUpPeriod;
    facts.expire(now);
    for (std::size_t position = table.size() - 1; position > 0; --position) {
        const Member &member = table.members()[position];
        const std::int32_t region = table.local(position).region;
        const bool longDead = member.state == MemberState::Dead && now - member.changedAt >= options.deadRetention;
        const bool longSilent = !member.reachable && region >= 0 && now - regions[static_cast<std::size_t>(region)].heardAt >= options.unreachableRetention;
        if (longDead || longSilent) {
            news.remove({ .kind = NewsKey::RowKind, .id = member.info.incarnation });
            table.remove(position);
        }
    }
}

} // namespace Carobhall
