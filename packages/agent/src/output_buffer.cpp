#include "output_buffer.h"

namespace Carobhall
{

OutputBuffer::OutputBuffer(OffsetUnit unit, std::uint64_t start, std::uint64_t credit, std::uint64_t window)
    : unit_(unit)
    , firstOffset_(start)
    , nextOffset_(start)
    , endOffset_(start)
    , credit_(credit)
    , window_(window)
{
}

std::uint64_t OutputBuffer::length(const std::string &piece) const
{
    return unit_ == OffsetUnit::Tokens ? 1 : piece.size();
}

void OutputBuffer::append(std::string piece)
{
    endOffset_ += length(piece);
    unsentCost_ += creditCost(piece);
    pieces_.push_back(std::move(piece));
}

void OutputBuffer::setCredit(std::uint64_t total)
{
    credit_ = std::max(credit_, total);
    dropReceived();
}

void OutputBuffer::dropReceived()
{
    // The receiver never grants credit for more than the window beyond the output that it has received and forwarded.
    const std::uint64_t received = credit_ > window_ ? credit_ - window_ : 0;
    while (sentCount_ > 0 && droppedCost_ + creditCost(pieces_.front()) <= received) {
        const std::uint64_t cost = creditCost(pieces_.front());
        droppedCost_ += cost;
        keptSentCost_ -= cost;
        firstOffset_ += length(pieces_.front());
        pieces_.pop_front();
        --sentCount_;
    }
}

std::optional<Chunk> OutputBuffer::takeChunk(std::size_t maxBytes)
{
    Chunk chunk;
    chunk.offset = nextOffset_;
    std::size_t bytes = 0;
    while (sentCount_ < pieces_.size() && bytes < maxBytes) {
        const std::string &piece = pieces_[sentCount_];
        const std::uint64_t cost = creditCost(piece);
        if (droppedCost_ + keptSentCost_ + cost > credit_) {
            break;
        }
        chunk.pieces.push_back(piece);
        bytes += piece.size();
        nextOffset_ += length(piece);
        keptSentCost_ += cost;
        unsentCost_ -= cost;
        ++sentCount_;
    }
    if (chunk.pieces.empty()) {
        return std::nullopt;
    }
    return chunk;
}

bool OutputBuffer::rewind(std::uint64_t offset, std::uint64_t credit)
{
    if (offset < firstOffset_ || offset > nextOffset_) {
        return false;
    }
    unsentCost_ += keptSentCost_;
    keptSentCost_ = 0;
    droppedCost_ = 0;
    sentCount_ = 0;
    credit_ = credit;
    // The receiver already has the output before the offset.
    while (firstOffset_ < offset) {
        std::string &piece = pieces_.front();
        const std::uint64_t surplus = offset - firstOffset_;
        if (surplus < length(piece)) {
            unsentCost_ -= surplus;
            piece.erase(0, surplus);
            firstOffset_ = offset;
            break;
        }
        firstOffset_ += length(piece);
        unsentCost_ -= creditCost(piece);
        pieces_.pop_front();
    }
    nextOffset_ = offset;
    return true;
}

std::uint64_t OutputBuffer::unsentCost() const
{
    return unsentCost_;
}

std::uint64_t OutputBuffer::keptCost() const
{
    return unsentCost_ + keptSentCost_;
}

bool OutputBuffer::allSent() const
{
    return sentCount_ == pieces_.size();
}

std::uint64_t OutputBuffer::endOffset() const
{
    return endOffset_;
}

void OutputBuffer::clear()
{
    pieces_.clear();
    sentCount_ = 0;
    keptSentCost_ = 0;
    unsentCost_ = 0;
    firstOffset_ = endOffset_;
    nextOffset_ = endOffset_;
}

} // namespace Carobhall
