#pragma once

// The output of one attempt: what is not sent yet for lack of credit, and what was sent but may have to be sent again
// after the connection broke.

#include "carobhall/messages.h"

#include <deque>

namespace Carobhall
{

/// Whether offsets count pieces or bytes.
enum class OffsetUnit : std::uint8_t { Tokens, Bytes };

class OutputBuffer
{
public:
    /// \p start is the offset of the first piece; \p window is Submit::creditWindow.
    OutputBuffer(OffsetUnit unit, std::uint64_t start, std::uint64_t credit, std::uint64_t window);

    void append(std::string piece);

    /// Allows pieces up to \p total of credit cost, and drops pieces that the receiver must have received.
    void setCredit(std::uint64_t total);

    /// The next chunk within the credit, of about \p maxBytes; nothing when there is none.
    [[nodiscard]] std::optional<Chunk> takeChunk(std::size_t maxBytes);

    /// Sends again from \p offset, with \p credit counted from there. False when that output is no longer kept.
    [[nodiscard]] bool rewind(std::uint64_t offset, std::uint64_t credit);

    /// Cost of the pieces that are not sent yet.
    [[nodiscard]] std::uint64_t unsentCost() const;
    /// Cost of all pieces kept.
    [[nodiscard]] std::uint64_t keptCost() const;
    [[nodiscard]] bool allSent() const;
    /// Offset after the last piece.
    [[nodiscard]] std::uint64_t endOffset() const;
    void clear();

private:
    [[nodiscard]] std::uint64_t length(const std::string &piece) const;
    void dropReceived();

    OffsetUnit unit_;
    std::deque<std::string> pieces_;
    std::size_t sentCount_ = 0;      ///< Pieces at the front that have been sent.
    std::uint64_t firstOffset_ = 0;  ///< Of pieces_.front().
    std::uint64_t nextOffset_ = 0;   ///< Of the first unsent piece.
    std::uint64_t endOffset_ = 0;    ///< After pieces_.back().
    std::uint64_t credit_ = 0;       ///< In total, from where sending last began.
    std::uint64_t window_ = 0;       ///< Most credit outstanding.
    std::uint64_t droppedCost_ = 0;  ///< Of pieces dropped, from where sending last began.
    std::uint64_t keptSentCost_ = 0; ///< Of pieces sent and kept.
    std::uint64_t unsentCost_ = 0;
};

} // namespace Carobhall
