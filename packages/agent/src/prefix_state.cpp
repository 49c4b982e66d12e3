#include "prefix_state.h"

#include <algorithm>
#include <utility>

namespace Carobhall
{

namespace
{

/// With fewer pieces, the time to first token depends more on one decode step than on the prefill.
constexpr std::uint32_t MinPiecesToLearn = 4;

LearnedValue prefillEstimate(double initial)
{
    return LearnedValue({ .initial = initial, .low = 1.0, .high = 1.0 * MicrosPerSecond });
}

/// Used until the engine has reported a value.
constexpr double InitialPrefillMicrosPerPiece = 1000.0;

} // namespace

void PrefillBacklog::add(std::uint32_t pieces, Micros now)
{
    if (pieces_ == 0) {
        busySince_ = now;
    }
    pieces_ += pieces;
}

void PrefillBacklog::correct(std::uint32_t before, std::uint32_t after)
{
    pieces_ = pieces_ - std::min<std::uint64_t>(before, pieces_) + after;
}

Micros PrefillBacklog::remove(std::uint32_t pieces, Micros now)
{
    pieces_ -= std::min<std::uint64_t>(pieces, pieces_);
    return now - std::exchange(busySince_, now);
}

Micros PrefillBacklog::remaining(Micros perPiece, Micros now) const
{
    return pieces_ == 0 ? 0 : std::max<Micros>(static_cast<Micros>(pieces_) * perPiece - (now - busySince_), 0);
}

PrefixState::PrefixState()
    : prefillPerPiece_(prefillEstimate(InitialPrefillMicrosPerPiece))
{
}

CacheIndex &PrefixState::index()
{
    return index_;
}

void PrefixState::setIndexCurrent(bool current)
{
    indexCurrent_ = current;
}

bool PrefixState::isIndexCurrent() const
{
    return indexCurrent_;
}

std::uint32_t PrefixState::heldPieces(std::span<const PrefixSample> samples) const
{
    return indexCurrent_ ? index_.heldPieces(samples) : 0;
}

PrefixReuse PrefixState::findSharedWork(std::span<const PrefixSample> samples, Micros now) const
{
    return flights_.reusablePrefix(samples, heldPieces(samples), prefillPerPiece(), now);
}

PrefillBacklog &PrefixState::backlog()
{
    return backlog_;
}

Micros PrefixState::backlogWait(Micros now) const
{
    return backlog_.remaining(prefillPerPiece(), now);
}

std::uint64_t PrefixState::beginFlight(std::span<const PrefixSample> samples, std::uint32_t pieces, Micros now)
{
    const std::uint32_t held = heldPieces(samples);
    if (held >= pieces) {
        return 0;
    }
    return flights_.begin(samples, backlogWait(now) + prefillPerPiece() * (pieces - held), now);
}

void PrefixState::endFlight(std::uint64_t flight)
{
    flights_.end(flight);
}

void PrefixState::setReportedPrefillPerPiece(Micros reported)
{
    if (!hasSamples_ && reported > 0) {
        prefillPerPiece_ = prefillEstimate(static_cast<double>(reported));
    }
}

void PrefixState::learnPrefillTime(std::uint32_t uncached, Micros elapsed)
{
    if (uncached >= MinPiecesToLearn) {
        hasSamples_ = true;
        prefillPerPiece_.add(static_cast<double>(elapsed) / uncached);
    }
}

Micros PrefixState::prefillPerPiece() const
{
    return static_cast<Micros>(prefillPerPiece_.value());
}

std::uint32_t sharedPieces(std::span<const PrefixSample> a, std::span<const PrefixSample> b)
{
    std::uint32_t shared = 0;
    for (std::size_t i = 0, j = 0; i < a.size() && j < b.size();) {
        if (a[i].pieces == b[j].pieces) {
            if (a[i].hash != b[j].hash) {
                break;
            }
            shared = a[i].pieces;
            ++i;
            ++j;
        } else if (a[i].pieces < b[j].pieces) {
            ++i;
        } else {
            ++j;
        }
    }
    return shared;
}

} // namespace Carobhall
