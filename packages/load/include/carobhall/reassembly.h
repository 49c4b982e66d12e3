#pragma once

// Puts the chunks of one answer into order by their offsets, across reconnects and several attempts.
//
//     Reassembly answer({.unit = AnswerUnit::Pieces});
//     std::uint64_t resumeOffset = answer.beginAttempt(key.attempt);       // goes into Submit::resumeOffset
//     answer.accept(chunk.key.attempt, chunk.offset, std::move(chunk.pieces));
//     for (std::string &piece : answer.takeReady()) { ... send to the caller ... }
//     answer.end(end.key.attempt, end.finalOffset);
//     if (answer.complete()) { ... end the caller's stream normally ... }
//
// takeReady() gives each token or byte exactly once and in order, and only from the attempt begun last, after what earlier
// attempts delivered. What cannot be placed is dropped and counted. complete() is true only after everything up to the final
// offset has been taken, so a gap can never look like a normal end.
//
// A continuation on another engine appends to text that was sampled elsewhere: the owner passes the delivered text to
// the new engine, and uses this class for the offsets.
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
    Pieces, ///< Tokens: each string of a chunk is one unit.
    Bytes,  ///< Each byte of a chunk's strings is one unit.
};

struct ReassemblyOptions {
    AnswerUnit unit = AnswerUnit::Pieces;
    std::size_t maxHeldBytes = std::size_t{ 256 } << 10U; ///< Of chunks that wait for an earlier one. Further ones are dropped.
};

/// What happened to a chunk.
enum class ChunkResult : std::uint8_t {
    Ready,        ///< Extends what can be taken.
    Held,         ///< Waits for an earlier chunk.
    Duplicate,    ///< All of it was here already.
    OtherAttempt, ///< Belongs to an attempt that is not the current one.
    PastEnd,      ///< Reaches beyond the final offset; the upstream contradicts itself.
    NoRoom,       ///< Would exceed maxHeldBytes; it has to be sent again, from nextOffset().
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

/// One answer to one caller. Not thread-safe.
class Reassembly
{
public:
    explicit Reassembly(const ReassemblyOptions &options = {});

    /// Makes \p attempt the current one, drops what is held of the previous one and forgets its end. Returns the offset from
    /// which the attempt continues. Precondition: \p attempt is higher than that of any earlier call.
    std::uint64_t beginAttempt(std::uint32_t attempt);

    /// Takes a chunk. \p offset counts units from the start of the whole answer, also in a continuation.
    ChunkResult accept(std::uint32_t attempt, std::uint64_t offset, std::vector<std::string> pieces);

    /// Sets the length of the whole answer. False, without effect, for another attempt or when more than that has arrived.
    bool end(std::uint32_t attempt, std::uint64_t finalOffset);

    /// The units that are next in order, each exactly once.
    [[nodiscard]] std::vector<std::string> takeReady();

    /// The offset of the first unit that is still missing; a resumed connection continues from here.
    [[nodiscard]] std::uint64_t nextOffset() const;

    /// Whether the whole answer has arrived and has been taken.
    [[nodiscard]] bool complete() const;

    /// Bytes that wait for an earlier chunk.
    [[nodiscard]] std::size_t heldBytes() const;

    /// Chunks dropped because of their attempt, end or room.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    using Pieces = std::vector<std::string>;

    [[nodiscard]] std::uint64_t lengthOf(const Pieces &pieces) const;
    void dropFront(Pieces &pieces, std::uint64_t units) const;
    void deliver(std::uint64_t offset, Pieces pieces);
    ChunkResult hold(std::uint64_t offset, Pieces pieces);
    ChunkResult drop(ChunkResult fate);

    ReassemblyOptions options_;
    std::uint32_t attempt_ = 0;
    std::uint64_t next_ = 0;
    std::optional<std::uint64_t> final_;
    Pieces ready_;
    std::map<std::uint64_t, Pieces> held_; ///< By offset; may overlap.
    std::size_t heldBytes_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace Carobhall
