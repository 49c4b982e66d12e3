#pragma once

// Reassembles the chunks of one answer in the order of their offsets, across reconnects and several attempts.
//
//     Reassembly answer({.unit = AnswerUnit::Pieces});
//     std::uint64_t resumeOffset = answer.beginAttempt(key.attempt);       // goes into Submit::resumeOffset
//     answer.accept(chunk.key.attempt, chunk.offset, std::move(chunk.pieces));
//     for (std::string &piece : answer.takeReady()) { ... send to the caller ... }
//     answer.end(end.key.attempt, end.finalOffset);
//     if (answer.complete()) { ... end the caller's stream normally ... }
//
// takeReady() returns each token or byte exactly once and in order. It returns data of the current attempt only, starting after
// what earlier attempts have delivered. Chunks that cannot be placed are dropped and counted. complete() is true only after
// everything up to the final offset has been taken, so that an answer with a gap is never reported as complete.
//
// A continuation on another engine appends to text that the first engine has generated. The owner passes the delivered text to the
// new engine; this class only keeps track of the offsets.
//
// Index
//   1. Options
//   2. Reassembly

#include "carobhall/base.h"

namespace Carobhall
{

// 1. Options --------------------------------------------------------------------------------------

/// What an offset counts.
enum class AnswerUnit : std::uint8_t {
    Pieces, ///< Tokens. Each string of a chunk is one unit.
    Bytes,  ///< Each byte of the strings of a chunk is one unit.
};

struct ReassemblyOptions {
    AnswerUnit unit = AnswerUnit::Pieces;
    std::size_t maxHeldBytes = std::size_t{ 256 } << 10U; ///< Limit for chunks that wait for an earlier one. Chunks beyond it are dropped.
};

/// Result of accepting a chunk.
enum class ChunkResult : std::uint8_t {
    Ready,        ///< Extends the data that takeReady() returns.
    Held,         ///< Buffered until an earlier chunk arrives.
    Duplicate,    ///< Contains only data that has arrived before.
    OtherAttempt, ///< Belongs to an attempt that is not the current one.
    PastEnd,      ///< Extends beyond the final offset, so the upstream is inconsistent.
    NoRoom,       ///< Would exceed maxHeldBytes. It must be sent again, starting at nextOffset().
};

template<>
struct EnumNames<ChunkResult> {
    static constexpr std::array rows{
        EnumName{ ChunkResult::Ready, "ready" },         EnumName{ ChunkResult::Held, "held" },
        EnumName{ ChunkResult::Duplicate, "duplicate" }, EnumName{ ChunkResult::OtherAttempt, "other-attempt" },
        EnumName{ ChunkResult::PastEnd, "past-end" },    EnumName{ ChunkResult::NoRoom, "no-room" },
    };
};

// 2. Reassembly -----------------------------------------------------------------------------------

/// Reassembles one answer to one caller. Not thread-safe.
class Reassembly
{
public:
    explicit Reassembly(const ReassemblyOptions &options = {});

    /// Makes \p attempt the current one, and discards the held chunks and the final offset of the previous one. Returns the offset
    /// from which the attempt continues. Precondition: \p attempt is higher than in any earlier call.
    std::uint64_t beginAttempt(std::uint32_t attempt);

    /// Adds a chunk. \p offset counts units from the start of the whole answer, also in a continuation.
    ChunkResult accept(std::uint32_t attempt, std::uint64_t offset, std::vector<std::string> pieces);

    /// Sets the length of the whole answer. Returns false, without effect, if \p attempt is not current or more data has arrived.
    bool end(std::uint32_t attempt, std::uint64_t finalOffset);

    /// Returns and removes the units that are next in order. Each unit is returned exactly once.
    [[nodiscard]] std::vector<std::string> takeReady();

    /// The offset of the first missing unit. A resumed connection continues from here.
    [[nodiscard]] std::uint64_t nextOffset() const;

    /// Whether the whole answer has arrived and has been taken.
    [[nodiscard]] bool complete() const;

    /// Size of the chunks that wait for an earlier one, including the overhead of each piece.
    [[nodiscard]] std::size_t heldBytes() const;

    /// Number of chunks dropped as OtherAttempt, PastEnd or NoRoom.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    using Pieces = std::vector<std::string>;

    [[nodiscard]] std::uint64_t lengthOf(const Pieces &pieces) const;
    void dropFront(Pieces &pieces, std::uint64_t units) const;
    void deliver(std::uint64_t offset, Pieces pieces);
    ChunkResult hold(std::uint64_t offset, Pieces pieces);
    ChunkResult drop(ChunkResult reason);

    ReassemblyOptions options_;
    std::uint32_t attempt_ = 0;
    std::uint64_t nextOffset_ = 0;
    std::optional<std::uint64_t> finalOffset_;
    Pieces ready_;
    std::map<std::uint64_t, Pieces> held_; ///< By offset; the chunks may overlap.
    std::size_t heldBytes_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace Carobhall
