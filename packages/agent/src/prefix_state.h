#pragma once

// Prompt prefixes that the engine has cached or is computing, and an estimate of the prefill time.

#include "carobhall/routing.h"

namespace Carobhall
{

/// Prefill work that has been sent to the engine and is not finished.
///
/// The requests in an engine's batch share its prefill throughput. A request that has a slot therefore still waits for the
/// prefill of earlier requests, and its time to first token does not measure its own prefill alone.
class PrefillBacklog
{
public:
    /// Adds a request with \p pieces to compute that is sent to the engine.
    void add(std::uint32_t pieces, Micros now);
    /// Corrects the size of a request from \p before to \p after pieces, as reported by the engine.
    void correct(std::uint32_t before, std::uint32_t after);
    /// Removes a request whose first token has arrived or will not arrive. Returns the time that the engine has spent on
    /// prefill since the previous call, or since the backlog was last empty.
    Micros remove(std::uint32_t pieces, Micros now);
    /// Expected time until the whole backlog is computed. \p perPiece is the prefill time of one piece.
    [[nodiscard]] Micros remaining(Micros perPiece, Micros now) const;

private:
    std::uint64_t pieces_ = 0;
    Micros busySince_ = 0; ///< Start of the work on the remaining backlog.
};

/// Not thread-safe.
class PrefixState
{
public:
    PrefixState();

    /// Index of the engine's prefix cache, maintained from its events.
    [[nodiscard]] CacheIndex &index();
    /// Sets whether the engine's events arrive. While they do not, the index is ignored, because the engine may have crashed.
    void setIndexCurrent(bool current);
    [[nodiscard]] bool isIndexCurrent() const;

    /// Number of leading pieces of the prompt that the engine's cache holds.
    [[nodiscard]] std::uint32_t heldPieces(std::span<const PrefixSample> samples) const;
    /// How long a request should wait for a prefix that another request is computing, and the number of pieces that are cached
    /// afterwards. A wait of 0 means that the request should start at once.
    [[nodiscard]] PrefixReuse findSharedWork(std::span<const PrefixSample> samples, Micros now) const;

    [[nodiscard]] PrefillBacklog &backlog();
    /// Expected time that one more request waits for the prefill backlog.
    [[nodiscard]] Micros backlogWait(Micros now) const;

    /// Begins the flight of a request of \p pieces that is sent to the engine. Call it before the request is added to the
    /// backlog. Returns the number of the flight; 0 when the request computes nothing or is not tracked.
    std::uint64_t beginFlight(std::span<const PrefixSample> samples, std::uint32_t pieces, Micros now);
    /// Ends a flight whose first token has arrived or will not arrive.
    void endFlight(std::uint64_t flight);

    /// Sets the prefill time per piece that the engine reports. Used until learnPrefillTime() has taken the first sample.
    void setReportedPrefillPerPiece(Micros reported);
    /// Updates the estimate: the engine took \p elapsed to compute \p uncached pieces.
    void learnPrefillTime(std::uint32_t uncached, Micros elapsed);
    [[nodiscard]] Micros prefillPerPiece() const;

private:
    CacheIndex index_;
    SingleFlight flights_;
    PrefillBacklog backlog_;
    LearnedValue prefillPerPiece_;
    bool indexCurrent_ = false;
    bool hasSamples_ = false;
};

/// Length in pieces of the longest prefix that both prompts are known to share. Both spans are in ascending order.
[[nodiscard]] std::uint32_t sharedPieces(std::span<const PrefixSample> a, std::span<const PrefixSample> b);

} // namespace Carobhall
