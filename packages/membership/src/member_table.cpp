#include "member_table.h"

#include "ensure.h"

namespace Carobhall
{

namespace
{

constexpr unsigned BucketShift = 58; // Leaves the top 6 bits, for 64 buckets.
static_assert((std::uint64_t{ 1 } << (64U - BucketShift)) == SyncBuckets);

constexpr std::uint64_t CounterWindowBits = 64;

std::uint64_t rowDigest(const Member &member)
{
    std::uint64_t x = member.info.incarnation ^ (std::uint64_t{ member.revision } * 2 + (member.leaving ? 1 : 0)) * 0x9E3779B97F4A7C15ULL;
    x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27U)) * 0x94D049BB133111EBULL;
    return x ^ (x >> 31U);
}

bool takesPrecedence(const WireRow &row, const Member &known)
{
    if (row.revision != known.revision) {
        return row.revision > known.revision;
    }
    return row.state > static_cast<std::uint8_t>(known.state);
}

} // namespace

MemberTable::MemberTable(const MemberInfo &self)
{
    Member member;
    member.info = self;
    member.revision = 1;
    members_.push_back(member);
    locals_.emplace_back();
    positions_.emplace(self.incarnation, 0);
    addresses_.emplace(self.address, self.incarnation);
}

std::size_t MemberTable::positionOf(Incarnation incarnation) const
{
    const auto found = positions_.find(incarnation);
    return found == positions_.end() ? NotFound : found->second;
}

MergeResult MemberTable::merge(const WireRow &row, Micros now)
{
    const auto state = static_cast<MemberState>(row.state);
    MergeResult result;
    result.position = positionOf(row.info.incarnation);
    if (result.position == NotFound) {
        result.position = members_.size();
        result.changed = true;
        result.inserted = true;
        result.left = row.leaving;
        Member &member = members_.emplace_back();
        member.info = row.info;
        member.state = state;
        member.leaving = row.leaving;
        member.revision = row.revision;
        member.changedAt = now;
        locals_.emplace_back();
        positions_.emplace(row.info.incarnation, result.position);
        addresses_.emplace(row.info.address, row.info.incarnation);
        alive_ += state == MemberState::Dead ? 0 : 1;
        return result;
    }
    ensure(result.position != 0, "other members' rows do not overwrite this process's row");
    Member &member = members_[result.position];
    result.before = member.state;
    if (!takesPrecedence(row, member)) {
        return result;
    }
    result.changed = true;
    result.left = row.leaving && !member.leaving;
    if (row.revision > member.revision) {
        const std::uint64_t configVersion = std::max(member.info.configVersion, row.info.configVersion);
        MemberInfo info = row.info;
        info.configVersion = configVersion;
        member.info.configVersion = configVersion;
        result.infoChanged = !(info == member.info);
        member.info = std::move(info);
        member.revision = row.revision;
    }
    // A process never takes back that it leaves.
    member.leaving = member.leaving || row.leaving;
    if (state != member.state) {
        setState(result.position, state, now);
    }
    return result;
}

void MemberTable::setState(std::size_t position, MemberState state, Micros now)
{
    Member &member = members_[position];
    alive_ += member.state == MemberState::Dead ? 1 : 0;
    alive_ -= state == MemberState::Dead ? 1 : 0;
    member.state = state;
    member.changedAt = now;
}

void MemberTable::remove(std::size_t position)
{
    ensure(position != 0 && position < members_.size(), "this process's own row stays");
    const Member &member = members_[position];
    alive_ -= member.state == MemberState::Dead ? 0 : 1;
    if (const auto found = addresses_.find(member.info.address); found != addresses_.end() && found->second == member.info.incarnation) {
        addresses_.erase(found);
    }
    positions_.erase(member.info.incarnation);
    if (const std::size_t last = members_.size() - 1; position != last) {
        members_[position] = std::move(members_[last]);
        locals_[position] = locals_[last];
        positions_[members_[position].info.incarnation] = position;
    }
    members_.pop_back();
    locals_.pop_back();
}

WireRow MemberTable::wireRow(std::size_t position) const
{
    const Member &member = members_[position];
    return { .info = member.info, .state = static_cast<std::uint8_t>(member.state), .leaving = member.leaving, .revision = member.revision };
}

Incarnation MemberTable::atAddress(const std::string &address) const
{
    const auto found = addresses_.find(address);
    return found == addresses_.end() ? 0 : found->second;
}

void MemberTable::claimAddress(const std::string &address, Incarnation incarnation)
{
    addresses_[address] = incarnation;
}

std::vector<std::uint64_t> MemberTable::digests() const
{
    // Suspicions and deaths are left out: they end at different times in different tables.
    std::vector<std::uint64_t> digests(SyncBuckets);
    for (const Member &member : members_) {
        if (member.state != MemberState::Dead) {
            digests[bucketOf(member.info.incarnation)] ^= rowDigest(member);
        }
    }
    return digests;
}

std::size_t MemberTable::bucketOf(Incarnation incarnation)
{
    return incarnation >> BucketShift;
}

bool MemberTable::acceptCounter(std::size_t position, std::uint64_t counter)
{
    MemberLocal &local = locals_[position];
    if (counter > local.highestCounter) {
        const std::uint64_t ahead = counter - local.highestCounter;
        local.counterWindow = ahead < CounterWindowBits ? local.counterWindow << ahead : 0;
        local.counterWindow |= 1U;
        local.highestCounter = counter;
        return true;
    }
    const std::uint64_t behind = local.highestCounter - counter;
    if (behind >= CounterWindowBits || (local.counterWindow >> behind & 1U) != 0) {
        return false;
    }
    local.counterWindow |= std::uint64_t{ 1 } << behind;
    return true;
}

void MemberTable::checkInvariants() const
{
    ensure(positions_.size() == members_.size() && locals_.size() == members_.size(), "every row has one position");
    ensure(alive_ >= 1 && alive_ <= members_.size(), "this process counts as alive");
    ensure(members_.front().state == MemberState::Alive || members_.front().state == MemberState::Leaving, "this process is alive or leaving in its own table");
}

} // namespace Carobhall
