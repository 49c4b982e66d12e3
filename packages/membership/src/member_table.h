#pragma once

// The rows, their order of precedence and the digests that compare two tables. No protocol, no events.

#include "datagram.h"

namespace Carobhall
{

/// What this process keeps beside each member.
struct MemberLocal {
    std::uint64_t highestCounter = 0; ///< Of the member's datagrams.
    std::uint64_t counterWindow = 0;  ///< Bit i: counter highestCounter - i was seen.
    Micros suspectSince = 0;
    Micros suspicionDeadline = 0; ///< 0: not a suspect.
    std::int32_t region = -1;     ///< Position in the region table; -1: unknown.
};

/// What merging a row changed.
struct MergeResult {
    bool changed = false;
    bool inserted = false;
    bool infoChanged = false;
    bool left = false;
    MemberState before = MemberState::Dead;
    std::size_t position = 0;
};

class MemberTable
{
public:
    static constexpr std::size_t NotFound = ~std::size_t{ 0 };

    explicit MemberTable(const MemberInfo &self);

    [[nodiscard]] std::size_t positionOf(Incarnation incarnation) const; ///< NotFound when unknown.
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
        return alive_;
    }

    /// Takes a row about another member, if it takes precedence over what is known.
    MergeResult merge(const WireRow &row, Micros now);

    /// Changes a row's state locally. Precondition: the new state takes precedence at the same revision, or the row is this process.
    void setState(std::size_t position, MemberState state, Micros now);

    /// Precondition: not this process's row.
    void remove(std::size_t position);

    [[nodiscard]] WireRow wireRow(std::size_t position) const;

    /// The first known member at an address; 0 when none.
    [[nodiscard]] Incarnation atAddress(const std::string &address) const;
    void claimAddress(const std::string &address, Incarnation incarnation);

    [[nodiscard]] std::vector<std::uint64_t> digests() const;
    [[nodiscard]] static std::size_t bucketOf(Incarnation incarnation);

    /// True when \p counter was not seen before from this member; remembers it.
    [[nodiscard]] bool acceptCounter(std::size_t position, std::uint64_t counter);

    void checkInvariants() const;

private:
    std::vector<Member> members_; ///< Position 0 is this process.
    std::vector<MemberLocal> locals_;
    std::unordered_map<Incarnation, std::size_t> positions_;
    std::unordered_map<std::string, Incarnation> addresses_;
    std::size_t alive_ = 1;
};

} // namespace Carobhall
