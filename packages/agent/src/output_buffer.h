#pragma once

// Output buffer of one attempt. Holds the output that has not been sent yet for lack of credit, and the output that has been
// sent but may have to be sent again after a lost connection.

#include "carobhall/messages.h"

#include <deque>

namespace Carobhall
{

/// Whether offsets count tokens, one for each piece, or bytes.
enum class OffsetUnit : std::uint8_t { Tokens, Bytes };

class OutputBuffer
{
public:
    /// \p start is the offset of the first piece; \p credit is Submit::creditTotal; \p window is Submit::creditWindow.
    OutputBuffer(OffsetUnit unit, std::uint64_t start, std::uint64_t credit, std::uint64_t window);

    void append(std::string piece);

    /// Raises the limit of the sum of creditCost() of sent pieces to \p total, and drops the pieces that the receiver must have
    /// received.
    void setCredit(std::uint64_t total);

    /// The next chunk within the credit, of about \p maxBytes; nothing when no piece may be sent.
    [[nodiscard]] std::optional<Chunk> takeChunk(std::size_t maxBytes);

    /// Sends again from \p offset, with \p credit counted from there. Returns false, and changes nothing, when that output is no
    /// longer kept or has not been sent yet.
    [[nodiscard]] bool rewind(std::uint64_t offset, std::uint64_t credit);

    /// Sum of creditCost() of the unsent pieces.
    [[nodiscard]] std::uint64_t unsentCost() const;
    /// Sum of creditCost() of all pieces in the buffer, sent or not.
    [[nodiscard]] std::uint64_t keptCost() const;
    [[nodiscard]] bool allSent() const;
    /// Offset after the last appended piece.
    [[nodiscard]] std::uint64_t endOffset() const;
    /// Drops all pieces.
    void clear();

private:
    [[nodiscard]] std::uint64_t length(const std::string &piece) const;
    void dropReceived();

    OffsetUnit unit_;
    std::deque<std::string> pieces_;
    std::size_t sentCount_ = 0;      ///< Number of pieces at the front that have been sent.
    std::uint64_t firstOffset_ = 0;  ///< Offset of pieces_.front().
    std::uint64_t nextOffset_ = 0;   ///< Offset of the first unsent piece.
    std::uint64_t endOffset_ = 0;    ///< Offset after pieces_.back().
    std::uint64_t credit_ = 0;       ///< Total credit since the start or the last rewind().
    std::uint64_t window_ = 0;       ///< Upper bound of the outstanding credit.
    std::uint64_t droppedCost_ = 0;  ///< Cost of the pieces dropped since the start or the last rewind().
    std::uint64_t keptSentCost_ = 0; ///< Cost of the sent pieces that are still kept.
    std::uint64_t unsentCost_ = 0;   ///< Cost of the unsent pieces.
};

} // namespace Carobhall
