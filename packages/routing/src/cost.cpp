#include "routing_internal.h"

#include <algorithm>
#include <cmath>

namespace Carobhall
{

namespace
{

// Maximum of each cost component: sums of components cannot overflow, and costs with an excessive estimate remain comparable.
constexpr Micros MaxCostPart = 3600 * MicrosPerSecond;
constexpr double BytesPerGigabyte = 1e9;

/// Converts to a cost component; infinite and NaN values give the maximum.
Micros toMicros(double value)
{
    return static_cast<Micros>(std::clamp(std::isfinite(value) ? value : static_cast<double>(MaxCostPart), 0.0, static_cast<double>(MaxCostPart)));
}

double transferMicros(double bytes, const LinkCost &link)
{
    const double seconds = link.bytesPerSecond > 0 ? bytes / link.bytesPerSecond : 0.0;
    return static_cast<double>(link.roundTrip) + seconds * static_cast<double>(MicrosPerSecond);
}

double priceMicros(double bytes, const LinkCost &link, const CostOptions &options)
{
    return bytes / BytesPerGigabyte * link.pricePerGigabyte * options.microsPerCurrencyUnit;
}

} // namespace

Cost costOf(const CostInput &input, const CostOptions &options)
{
    const auto promptBytes = static_cast<double>(input.promptBytes);
    const auto prefillPerPiece = static_cast<double>(std::clamp<Micros>(input.prefillPerPiece, 0, MaxCostPart));
    const std::uint32_t held = std::min(input.heldPieces, input.promptPieces);
    const std::uint32_t transferable = std::min(input.transferPieces, input.promptPieces);
    Cost cost{
        .wait = std::clamp<Micros>(input.expectedWait, 0, MaxCostPart),
        .prefill = toMicros(prefillPerPiece * (input.promptPieces - held)),
        .link = toMicros(transferMicros(promptBytes, input.link)),
        .price = toMicros(priceMicros(promptBytes, input.link, options)),
    };
    if (transferable > held) {
        const double bytes = options.kvBytesPerPiece * (transferable - held);
        const Micros transfer = toMicros(static_cast<double>(options.kvTransferOverhead) + transferMicros(bytes, input.transferLink));
        const Micros price = toMicros(priceMicros(bytes, input.transferLink, options));
        const Micros remainingPrefill = toMicros(prefillPerPiece * (input.promptPieces - transferable));
        if (transfer + price + remainingPrefill < cost.prefill) {
            cost.transfer = transfer;
            cost.prefill = remainingPrefill;
            cost.price += price;
        }
    }
    return cost;
}

LearnedValue::LearnedValue(Options options)
    : options_(options)
    , average_(options.initial)
    , published_(options.initial)
{
    RoutingInternal::ensure(options.low <= options.initial && options.initial <= options.high, "the initial value must be between low and high");
}

void LearnedValue::add(double sample)
{
    if (!std::isfinite(sample)) {
        return;
    }
    average_ += options_.weight * (std::clamp(sample, options_.low, options_.high) - average_);
    const bool differs = std::abs(average_ - published_) > options_.deadband * std::max(std::abs(published_), 1e-9);
    outside_ = differs ? outside_ + 1 : 0;
    if (outside_ >= options_.confirmSamples) {
        published_ = average_;
        outside_ = 0;
    }
}

} // namespace Carobhall
