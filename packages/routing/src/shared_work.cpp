// SingleFlight and HotPrefixes: both handle prefixes that several requests share.

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
    std::erase_if(flights_, [flight](const Flight &entry) { return entry.number == flight; });
}

SingleFlight::SharedPrefix SingleFlight::deepestShared(std::span<const PrefixSample> samples, Micros now) const
{
    SharedPrefix best;
    for (const Flight &flight : flights_) {
        if (flight.limit <= now) {
            continue;
        }
        // Both lists are in ascending order of depth. Equal hashes at a depth mean equal prefixes up to that depth, so the deepest common
        // sample is the longest shared prefix.
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
    // A flight that takes longer than expected is waited for until its limit, in steps of a millisecond.
    return std::clamp<Micros>(shared.flight->expectedEnd - now, MicrosPerMilli, shared.flight->limit - now);
}

PrefixReuse SingleFlight::reusablePrefix(std::span<const PrefixSample> samples, std::uint32_t heldPieces, Micros prefillPerPiece, Micros now) const
{
    const SharedPrefix shared = deepestShared(samples, now);
    const Micros wait = waitFor(samples, heldPieces, now);
    // A prompt that shares only its beginning with a flight is computed at once, because it would wait longer than it saves. The saving
    // is weighted twice: computing the shared pieces again would delay this request and also take engine time from others.
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
    entries_.reserve(options_.capacity);
}

std::uint32_t HotPrefixes::homes(PrefixHash prefix, Micros now) const
{
    const auto found = entries_.find(prefix);
    if (found == entries_.end()) {
        return 1;
    }
    const Entry &entry = found->second;
    if (now < entry.shrinkAt) {
        return entry.homes;
    }
    // Entries are not updated by a timer: the number of homes decreases by one at shrinkAt and after each further shrinkDelay.
    const auto removedHomes = static_cast<std::uint32_t>((now - entry.shrinkAt) / options_.shrinkDelay + 1);
    return entry.homes > removedHomes ? entry.homes - removedHomes : 1;
}

void HotPrefixes::reportWait(PrefixHash prefix, Micros shortestWait, Micros copyCost, Micros now, std::mt19937_64 &random)
{
    if (static_cast<double>(shortestWait) <= options_.growWaitShare * static_cast<double>(copyCost)) {
        return;
    }
    const std::uint32_t current = homes(prefix, now);
    if (!entries_.contains(prefix) && entries_.size() >= options_.capacity) {
        evictSingleHome(now);
        if (entries_.size() >= options_.capacity) {
            return;
        }
    }
    Entry &entry = entries_[prefix];
    const bool neverGrown = entry.changedAt == 0;
    entry.homes = current;
    entry.shrinkAt = now + options_.shrinkDelay + static_cast<Micros>(random() % static_cast<std::uint64_t>(options_.shrinkDelay));
    if ((neverGrown || now - entry.changedAt >= options_.minGrowInterval) && random() % 2 == 0) {
        entry.homes = std::min(current + std::max(1U, current / 2), options_.maxHomes);
        entry.changedAt = now;
    }
    RoutingInternal::ensure(entry.homes >= 1 && entry.homes <= std::max(options_.maxHomes, 1U), "a prefix must have between 1 and maxHomes homes");
}

void HotPrefixes::evictSingleHome(Micros now)
{
    std::erase_if(entries_, [this, now](const auto &item) { return homes(item.first, now) <= 1; });
}

} // namespace Carobhall
