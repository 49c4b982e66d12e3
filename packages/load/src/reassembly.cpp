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

// Memory of a held piece in addition to its bytes. It is counted so that the limit also bounds the number of empty pieces.
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
    std::size_t wholePieces = 0;
    while (wholePieces < pieces.size() && pieces[wholePieces].size() <= units) {
        units -= pieces[wholePieces].size();
        ++wholePieces;
    }
    pieces.erase(pieces.begin(), std::next(pieces.begin(), static_cast<std::ptrdiff_t>(wholePieces)));
    if (units > 0) {
        pieces.front().erase(0, units);
    }
}

std::uint64_t Reassembly::beginAttempt(std::uint32_t attempt)
{
    attempt_ = attempt;
    finalOffset_.reset();
    held_.clear();
    heldBytes_ = 0;
    return nextOffset_;
}

ChunkResult Reassembly::drop(ChunkResult reason)
{
    ++dropped_;
    return reason;
}

void Reassembly::deliver(std::uint64_t offset, Pieces pieces)
{
    dropFront(pieces, nextOffset_ - offset);
    nextOffset_ += lengthOf(pieces);
    std::move(pieces.begin(), pieces.end(), std::back_inserter(ready_));
}

ChunkResult Reassembly::hold(std::uint64_t offset, Pieces pieces)
{
    const std::size_t size = footprint(pieces);
    const auto existing = held_.find(offset);
    if (existing != held_.end() && lengthOf(existing->second) >= lengthOf(pieces)) {
        return ChunkResult::Duplicate;
    }
    const std::size_t replacedSize = existing != held_.end() ? footprint(existing->second) : 0;
    if (heldBytes_ - replacedSize + size > options_.maxHeldBytes) {
        return drop(ChunkResult::NoRoom);
    }
    heldBytes_ += size - replacedSize;
    held_.insert_or_assign(offset, std::move(pieces));
    return ChunkResult::Held;
}

ChunkResult Reassembly::accept(std::uint32_t attempt, std::uint64_t offset, Pieces pieces)
{
    if (attempt != attempt_) {
        return drop(ChunkResult::OtherAttempt);
    }
    const std::uint64_t endOffset = offset + lengthOf(pieces);
    if (endOffset < offset || (finalOffset_ && endOffset > *finalOffset_)) {
        return drop(ChunkResult::PastEnd);
    }
    if (endOffset <= nextOffset_) {
        return ChunkResult::Duplicate;
    }
    if (offset > nextOffset_) {
        return hold(offset, std::move(pieces));
    }
    deliver(offset, std::move(pieces));
    while (!held_.empty() && held_.begin()->first <= nextOffset_) {
        auto first = held_.extract(held_.begin());
        heldBytes_ -= footprint(first.mapped());
        if (first.key() + lengthOf(first.mapped()) > nextOffset_) {
            deliver(first.key(), std::move(first.mapped()));
        }
    }
    return ChunkResult::Ready;
}

bool Reassembly::end(std::uint32_t attempt, std::uint64_t finalOffset)
{
    const auto extendsBeyondEnd = [this, finalOffset](const auto &held) { return held.first + lengthOf(held.second) > finalOffset; };
    if (attempt != attempt_ || finalOffset < nextOffset_ || std::any_of(held_.begin(), held_.end(), extendsBeyondEnd)) {
        return false;
    }
    finalOffset_ = finalOffset;
    return true;
}

std::vector<std::string> Reassembly::takeReady()
{
    return std::exchange(ready_, {});
}

std::uint64_t Reassembly::nextOffset() const
{
    return nextOffset_;
}

bool Reassembly::complete() const
{
    return finalOffset_ && *finalOffset_ == nextOffset_ && ready_.empty();
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
