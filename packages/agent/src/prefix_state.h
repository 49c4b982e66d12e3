#pragma once

// What the engine holds or is computing of prompt prefixes, and how long computing takes.

#include "carobhall/routing.h"

namespace Carobhall
{

/// Prefill work that the engine has been given and not finished.
///
/// An engine's prefill throughput is shared by the requests in its batch: a request with a free slot still waits for the
/// prefill in front of it, and the time to its first token says nothing of its own prefill alone.
class PrefillBacklog
{
public:
    /// A request with \p pieces to compute goes to the engine.
    void add(std::uint32_t pieces, Micros now);
    /// The engine says that a request has \p after pieces to compute instead of \p before.
    void correct(std::uint32_t before, std::uint32_t after);
    /// A request's first token is here, or never will be. Returns the time that the engine has worked since the last such event.
    Micros remove(std::uint32_t pieces, Micros now);
    /// Expected time until everything that was added is computed.
    [[nodiscard]] Micros remaining(Micros perPiece, Micros now) const;

private:
    std::uint64_t pieces_ = 0;
    Micros since_ = 0; ///< The engine has worked on what is left since then.
};

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
    [[nodiscard]] PrefixReuse offer(std::span<const PrefixSample> samples, Micros now) const;

    [[nodiscard]] PrefillBacklog &backlog();
    /// Expected wait of a further request for the prefill that the engine has been given.
    [[nodiscard]] Micros backlogWait(Micros now) const;

    /// A request of \p pieces goes to the engine, before its work is added to the backlog. Returns the number of its flight, 0 when it
    /// computes nothing.
    std::uint64_t begin(std::span<const PrefixSample> samples, std::uint32_t pieces, Micros now);
    /// The first token is here, or never will be.
    void end(std::uint64_t flight);

    /// The engine's own figure; it counts until the first sample.
    void suggestPrefillPerPiece(Micros reported);
    /// Learns from \p uncached pieces that took the engine \p elapsed.
    void learn(std::uint32_t uncached, Micros elapsed);
    [[nodiscard]] Micros prefillPerPiece() const;

private:
    CacheIndex index_;
    SingleFlight flights_;
    PrefillBacklog backlog_;
    LearnedValue prefill_;
    bool current_ = false;
    bool learned_ = false;
};

/// Pieces of the longest prefix that both prompts are known to share. Both ascend.
[[nodiscard]] std::uint32_t sharedPieces(std::span<const PrefixSample> a, std::span<const PrefixSample> b);

} // namespace Carobhall
