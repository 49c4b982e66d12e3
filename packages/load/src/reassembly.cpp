#include "carobhall/reassembly.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Carobhall
{

namespace
{

std::size_t bytesOf(const std::vector<std::string> &pieces)
{
    std::size_t bytes = 0;
    for (const std::string &piece : pieces) {
        bytes += piece.size();
    }
    return bytes;
}

// What a held chunk costs beside its bytes, so that many empty pieces are bounded too.
constexpr std::size_t PieceOverhead = sizeof(std::string);

std::size_t footprint(const std::vector<std::string> &pieces)
{
    return bytesOf(pieces) + pieces.size() * PieceOverhead;
}

} // namespace

Reassembly::Reassembly(const ReassemblyOptions &options)
    : options_(options)
{
}

std::uint64_t Reassembly::lengthOf(const Pieces &pieces) const
{
    return options_.unit == AnswerUnit::Pieces ? pieces.size() : bytesOf(pieces);
}

void Reassembly::dropFront(Pieces &pieces, std::uint64_t units) const
{
    if (options_.unit == AnswerUnit::Pieces) {
        pieces.erase(pieces.begin(), std::next(pieces.begin(), static_cast<std::ptrdiff_t>(units)));
        return;
    }
    std::size_t whole = 0;
    while (whole < pieces.size() && pieces[whole].size() <= units) {
        units -= pieces[whole].size();
        ++whole;
    }
    pieces.erase(pieces.begin(), std::next(pieces.begin(), static_cast<std::ptrdiff_t>(whole)));
    if (units > 0) {
        pieces.front().erase(0, units);
    }
}

std::uint64_t Reassembly::beginAttempt(std::uint32_t attempt)
{
    attempt_ = attempt;
    final_.reset();
    held_.clear();
    heldBytes_ = 0;
    return next_;
}

ChunkResult Reassembly::drop(ChunkResult fate)
{
    ++dropped_;
    return fate;
}

void Reassembly::deliver(std::uint64_t offset, Pieces pieces)
{
    dropFront(pieces, next_ - offset);
    next_ += lengthOf(pieces);
    std::move(pieces.begin(), pieces.end(), std::back_inserter(ready_));
}

ChunkResult Reassembly::hold(std::uint64_t offset, Pieces pieces)
{
    const std::size_t size = footprint(pieces);
    const auto same = held_.find(offset);
    if (same != held_.end() && lengthOf(same->second) >= lengthOf(pieces)) {
        return ChunkResult::Duplicate;
    }
    const std::size_t replaced = same != held_.end() ? footprint(same->second) : 0;
    if (heldBytes_ - replaced + size > options_.maxHeldBytes) {
        return drop(ChunkResult::NoRoom);
    }
    heldBytes_ += size - replaced;
    held_.insert_or_assign(offset, std::move(pieces));
    return ChunkResult::Held;
}

ChunkResult Reassembly::accept(std::uint32_t attempt, std::uint64_t offset, Pieces pieces)
{
    if (attempt != attempt_) {
        return drop(ChunkResult::OtherAttempt);
    }
    const std::uint64_t past = offset + lengthOf(pieces);
    if (past < offset || (final_ && past > *final_)) {
        return drop(ChunkResult::PastEnd);
    }
    if (past <= next_) {
        return ChunkResult::Duplicate;
    }
    if (offset > next_) {
        return hold(offset, std::move(pieces));
    }
    deliver(offset, std::move(pieces));
    while (!held_.empty() && held_.begin()->first <= next_) {
        auto first = held_.extract(held_.begin());
        heldBytes_ -= footprint(first.mapped());
        if (first.key() + lengthOf(first.mapped()) > next_) {
            deliver(first.key(), std::move(first.mapped()));
        }
    }
    return ChunkResult::Ready;
}

bool Reassembly::end(std::uint32_t attempt, std::uint64_t finalOffset)
{
    const auto reachesPast = [this, finalOffset](const auto &held) { return held.first + lengthOf(held.second) > finalOffset; };
    if (attempt != attempt_ || finalOffset < next_ || std::any_of(held_.begin(), held_.end(), reachesPast)) {
        return false;
    }
    final_ = finalOffset;
    return true;
}

std::vector<std::string> Reassembly::takeReady()
{
    return std::exchange(ready_, {});
}

std::uint64_t Reassembly::nextOffset() const
{
    return next_;
}

bool Reassembly::complete() const
{
    return final_ && *final_ == next_ && ready_.empty();
}

std::size_t Reassembly::heldBytes() const
{
    return heldBytes_;
}

std::uint64_t Reassembly::dropped() const
{
    return dropped_;
}

} // namespace Carobhall
