// Single-flight and hot prefixes: work on one prefix that several requests share.

#include "routing_internal.h"

#include <algorithm>

namespace Carobhall
{

// Single-flight -----------------------------------------------------------------------------------

SingleFlight::SingleFlight()
    : SingleFlight(Options{})
{
}

SingleFlight::SingleFlight(Options options)
    : options_(options)
{
    flights_.reserve(options_.maxFlights);
}

std::uint64_t SingleFlight::begin(std::span<const PrefixSample> samples, Micros expected, Micros now)
{
    std::erase_if(flights_, [now](const Flight &flight) { return flight.limit <= now; });
    if (samples.empty() || flights_.size() >= options_.maxFlights) {
        return 0;
    }
    Flight &flight = flights_.emplace_back();
    flight.number = next_++;
    flight.count = static_cast<std::uint32_t>(std::min(samples.size(), MaxSamples));
    flight.limit = now + options_.maxWait;
    flight.expectedEnd = now + std::clamp<Micros>(expected, 0, options_.maxWait);
    std::copy_n(samples.begin(), flight.count, flight.samples.begin());
    return flight.number;
}

void SingleFlight::end(std::uint64_t flight)
{
    std::erase_if(flights_, [flight](const Flight &row) { return row.number == flight; });
}

SingleFlight::SharedPrefix SingleFlight::deepestShared(std::span<const PrefixSample> samples, Micros now) const
{
    SharedPrefix best;
    for (const Flight &flight : flights_) {
        if (flight.limit <= now) {
            continue;
        }
        // Both lists ascend in pieces. Equal hashes at a depth mean equal prefixes up to it, so the deepest common sample counts.
        std::size_t own = 0;
        for (std::uint32_t i = 0; i < flight.count; ++i) {
            const PrefixSample &sample = flight.samples[i];
            while (own < samples.size() && samples[own].pieces < sample.pieces) {
                ++own;
            }
            if (own == samples.size()) {
                break;
            }
            if (samples[own].pieces == sample.pieces && samples[own].hash == sample.hash && sample.pieces > best.pieces) {
                best = { .pieces = sample.pieces, .flight = &flight };
            }
        }
    }
    return best;
}

std::uint32_t SingleFlight::pendingPieces(std::span<const PrefixSample> samples, Micros now) const
{
    return deepestShared(samples, now).pieces;
}

Micros SingleFlight::waitFor(std::span<const PrefixSample> samples, std::uint32_t heldPieces, Micros now) const
{
    const SharedPrefix shared = deepestShared(samples, now);
    if (shared.flight == nullptr || shared.pieces <= heldPieces) {
        return 0;
    }
    // A flight that overruns its estimate still counts until its limit; a follower then looks again every millisecond.
    return std::clamp<Micros>(shared.flight->expectedEnd - now, MicrosPerMilli, shared.flight->limit - now);
}

PrefixReuse SingleFlight::reusablePrefix(std::span<const PrefixSample> samples, std::uint32_t heldPieces, Micros prefillPerPiece, Micros now) const
{
    const SharedPrefix shared = deepestShared(samples, now);
    const Micros wait = waitFor(samples, heldPieces, now);
    // A cold prompt that shares only its beginning with another one is computed at once. The saving counts twice, because a
    // second computation delays the prompt and takes engine time from others.
    if (wait == 0 || wait >= 2 * prefillPerPiece * static_cast<Micros>(shared.pieces - heldPieces)) {
        return { .pieces = heldPieces, .wait = 0 };
    }
    return { .pieces = shared.pieces, .wait = wait };
}

// Hot prefixes ------------------------------------------------------------------------------------

HotPrefixes::HotPrefixes()
    : HotPrefixes(Options{})
{
}

HotPrefixes::HotPrefixes(Options options)
    : options_(options)
{
    rows_.reserve(options_.capacity);
}

std::uint32_t HotPrefixes::homes(PrefixHash prefix, Micros now) const
{
    const auto found = rows_.find(prefix);
    if (found == rows_.end()) {
        return 1;
    }
    const Row &row = found->second;
    if (now < row.shrinkAt) {
        return row.homes;
    }
    // Shrinking is computed on reading: one home for each quiet time since.
    const auto passed = static_cast<std::uint32_t>((now - row.shrinkAt) / options_.shrinkDelay + 1);
    return row.homes > passed ? row.homes - passed : 1;
}

void HotPrefixes::reportWait(PrefixHash prefix, Micros leastWait, Micros copyCost, Micros now, std::mt19937_64 &random)
{
    if (static_cast<double>(leastWait) <= options_.growWaitShare * static_cast<double>(copyCost)) {
        return;
    }
    const std::uint32_t current = homes(prefix, now);
    if (!rows_.contains(prefix) && rows_.size() >= options_.capacity) {
        makeRoom(now);
        if (rows_.size() >= options_.capacity) {
            return;
        }
    }
    Row &row = rows_[prefix];
    const bool fresh = row.changedAt == 0;
    row.homes = current;
    row.shrinkAt = now + options_.shrinkDelay + static_cast<Micros>(random() % static_cast<std::uint64_t>(options_.shrinkDelay));
    if ((fresh || now - row.changedAt >= options_.minGrowInterval) && random() % 2 == 0) {
        row.homes = std::min(current + std::max(1U, current / 2), options_.maxHomes);
        row.changedAt = now;
    }
    RoutingInternal::ensure(row.homes >= 1 && row.homes <= std::max(options_.maxHomes, 1U), "a prefix has between one and maxHomes homes");
}

void HotPrefixes::makeRoom(Micros now)
{
    std::erase_if(rows_, [this, now](const auto &entry) { return homes(entry.first, now) <= 1; });
}

} // namespace Carobhall
