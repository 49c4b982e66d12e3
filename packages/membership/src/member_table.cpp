#include "member_table.h"

#include "ensure.h"

namespace Carobhall
{

namespace
{

constexpr unsigned BucketShift = 58; // Keeps the top 6 bits: 64 buckets.
static_assert((std::uint64_t{ 1 } << (64U - BucketShift)) == SyncBuckets);

constexpr std::uint64_t CounterWindowBits = 64;

/// A well-mixed hash, because the digest of a bucket is the XOR of its rows' hashes.
std::uint64_t rowDigest(const Member &member)
{
    // The constants and shifts are those of SplitMix64.
    std::uint64_t hash = member.info.incarnation ^ (std::uint64_t{ member.revision } * 2 + (member.leaving ? 1 : 0)) * 0x9E3779B97F4A7C15ULL;
    hash = (hash ^ (hash >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94D049BB133111EBULL;
    return hash ^ (hash >> 31U);
}

/// Whether \p row replaces \p known: it has a greater revision, or the same revision and a greater state.
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
        result.startedLeaving = row.leaving;
        Member &member = members_.emplace_back();
        member.info = row.info;
        member.state = state;
        member.leaving = row.leaving;
        member.revision = row.revision;
        member.changedAt = now;
        locals_.emplace_back();
        positions_.emplace(row.info.incarnation, result.position);
        addresses_.emplace(row.info.address, row.info.incarnation);
        aliveCount_ += state == MemberState::Dead ? 0 : 1;
        return result;
    }
    ensure(result.position != 0, "a merged row must not overwrite this process's own row");
    Member &member = members_[result.position];
    result.previousState = member.state;
    if (!takesPrecedence(row, member)) {
        return result;
    }
    result.changed = true;
    result.startedLeaving = row.leaving && !member.leaving;
    if (row.revision > member.revision) {
        const std::uint64_t configVersion = std::max(member.info.configVersion, row.info.configVersion);
        MemberInfo info = row.info;
        info.configVersion = configVersion;
        member.info.configVersion = configVersion;
        result.infoChanged = !(info == member.info);
        member.info = std::move(info);
        member.revision = row.revision;
    }
    // A shutdown announcement is final.
    member.leaving = member.leaving || row.leaving;
    if (state != member.state) {
        setState(result.position, state, now);
    }
    return result;
}

void MemberTable::setState(std::size_t position, MemberState state, Micros now)
{
    Member &member = members_[position];
    aliveCount_ += member.state == MemberState::Dead ? 1 : 0;
    aliveCount_ -= state == MemberState::Dead ? 1 : 0;
    member.state = state;
    member.changedAt = now;
}

void MemberTable::remove(std::size_t position)
{
    ensure(position != 0 && position < members_.size(), "only rows of other members can be removed");
    const Member &member = members_[position];
    aliveCount_ -= member.state == MemberState::Dead ? 0 : 1;
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

Incarnation MemberTable::ownerOfAddress(const std::string &address) const
{
    const auto found = addresses_.find(address);
    return found == addresses_.end() ? 0 : found->second;
}

void MemberTable::setAddressOwner(const std::string &address, Incarnation incarnation)
{
    addresses_[address] = incarnation;
}

std::vector<std::uint64_t> MemberTable::digests() const
{
    // Suspicions and dead rows do not count: they expire at different times in different tables.
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
    ensure(positions_.size() == members_.size() && locals_.size() == members_.size(), "every row has exactly one index entry and one local record");
    ensure(aliveCount_ >= 1 && aliveCount_ <= members_.size(), "the number of alive members is between 1 and the table size");
    ensure(members_.front().state == MemberState::Alive || members_.front().state == MemberState::Leaving, "this process is alive or leaving in its own table");
}

} // namespace Carobhall
