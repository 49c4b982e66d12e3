#pragma once

// What the engine holds or is computing of prompt prefixes, and how long computing takes.

#include "carobhall/routing.h"

namespace Carobhall
{

/// Not thread-safe.
class PrefixState
{
public:
    PrefixState();

    /// Contents of the engine's cache, fed from its events.
    [[nodiscard]] CacheIndex &index();
    /// Whether the engine's events arrive. While they don't, the index counts for nothing: the engine may have crashed.
    void setCurrent(bool current);
    [[nodiscard]] bool isCurrent() const;

    /// Pieces that the engine's cache holds.
    [[nodiscard]] std::uint32_t heldPieces(std::span<const PrefixSample> samples) const;
    /// What a request finds if it waits for a prefix that another one is computing, and how long that takes; 0: it should not wait.
    [[nodiscard]] SharedWork offer(std::span<const PrefixSample> samples, Micros now) const;

    /// A request of \p pieces goes to the engine. Returns the number of its flight, 0 when it computes nothing.
    std::uint64_t begin(std::span<const PrefixSample> samples, std::uint32_t pieces, Micros now);
    /// The first token is here, or never will be.
    void end(std::uint64_t flight);

    /// The engine's own figure; it counts until the first sample.
    void suggestPrefillPerPiece(Micros reported);
    /// Learns from a first token that came after \p elapsed with \p uncached pieces to compute.
    void learn(std::uint32_t uncached, Micros elapsed);
    [[nodiscard]] Micros prefillPerPiece() const;

private:
    CacheIndex index_;
    SingleFlight flights_;
    LearnedValue prefill_;
    bool current_ = false;
    bool learned_ = false;
};

/// Pieces of the longest prefix that both prompts are known to share. Both ascend.
[[nodiscard]] std::uint32_t sharedPieces(std::span<const PrefixSample> a, std::span<const PrefixSample> b);

} // namespace Carobhall
