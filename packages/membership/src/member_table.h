#pragma once

// The rows of the membership table, their order of precedence and the digests for comparing two tables. Contains no protocol
// logic and emits no events.

#include "datagram.h"

namespace Carobhall
{

/// Per-member data that this process keeps for itself and does not send.
struct MemberLocal {
    std::uint64_t highestCounter = 0; ///< Highest counter among the datagrams received from the member.
    std::uint64_t counterWindow = 0;  ///< Replay window. Bit i: the datagram with counter highestCounter - i was received.
    Micros suspectSince = 0;
    Micros suspicionDeadline = 0; ///< When the suspect is declared dead; 0: not a suspect.
    std::int32_t region = -1;     ///< Index into Membership::Impl::regions; -1: unknown.
};

/// What merging a row changed.
struct MergeResult {
    bool changed = false;                          ///< The row took precedence, or is new.
    bool inserted = false;                         ///< The member was not in the table.
    bool infoChanged = false;                      ///< MemberInfo changed in more than configVersion.
    bool startedLeaving = false;                   ///< The member's shutdown announcement is new.
    MemberState previousState = MemberState::Dead; ///< Valid unless inserted.
    std::size_t position = 0;
};

class MemberTable
{
public:
    static constexpr std::size_t NotFound = ~std::size_t{ 0 };

    explicit MemberTable(const MemberInfo &self);

    [[nodiscard]] std::size_t positionOf(Incarnation incarnation) const; ///< NotFound if the incarnation is unknown.
    [[nodiscard]] std::size_t size() const
    {
        return members_.size();
    }
    [[nodiscard]] const std::vector<Member> &members() const
    {
        return members_;
    }
    [[nodiscard]] Member &member(std::size_t position)
    {
        return members_[position];
    }
    [[nodiscard]] MemberLocal &local(std::size_t position)
    {
        return locals_[position];
    }
    [[nodiscard]] std::size_t aliveCount() const
    {
        return aliveCount_;
    }

    /// Inserts a row about another member, or updates the member's row if the new one takes precedence.
    MergeResult merge(const WireRow &row, Micros now);

    /// Sets a row's state without changing its revision. Precondition: the new state takes precedence at the row's revision, or
    /// the row is this process's own.
    void setState(std::size_t position, MemberState state, Micros now);

    /// Precondition: not this process's row.
    void remove(std::size_t position);

    [[nodiscard]] WireRow wireRow(std::size_t position) const;

    /// The member that owns an address: the first one known there, unless setAddressOwner() named another; 0 if none.
    [[nodiscard]] Incarnation ownerOfAddress(const std::string &address) const;
    void setAddressOwner(const std::string &address, Incarnation incarnation);

    /// One digest for each of the SyncBuckets buckets, over the rows that are not dead.
    [[nodiscard]] std::vector<std::uint64_t> digests() const;
    [[nodiscard]] static std::size_t bucketOf(Incarnation incarnation);

    /// Records \p counter in the member's replay window. Returns false if it was received before or is too old to tell.
    [[nodiscard]] bool acceptCounter(std::size_t position, std::uint64_t counter);

    void checkInvariants() const;

private:
    std::vector<Member> members_; ///< Position 0 is this process.
    std::vector<MemberLocal> locals_;
    std::unordered_map<Incarnation, std::size_t> positions_;
    std::unordered_map<std::string, Incarnation> addresses_;
    std::size_t aliveCount_ = 1;
};

} // namespace Carobhall
