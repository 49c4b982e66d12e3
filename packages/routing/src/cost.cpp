#include "routing_internal.h"

#include <algorithm>
#include <cmath>

namespace Carobhall
{

namespace
{

// No part of a cost exceeds this, so that sums cannot overflow and a wild estimate still compares.
constexpr Micros MaxPart = 3600 * MicrosPerSecond;
constexpr double BytesPerGigabyte = 1e9;

Micros toMicros(double value)
{
    return static_cast<Micros>(std::clamp(std::isfinite(value) ? value : static_cast<double>(MaxPart), 0.0, static_cast<double>(MaxPart)));
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
    const auto perPiece = static_cast<double>(std::clamp<Micros>(input.prefillPerPiece, 0, MaxPart));
    const std::uint32_t held = std::min(input.heldPieces, input.promptPieces);
    const std::uint32_t transferable = std::min(input.transferPieces, input.promptPieces);
    Cost cost{
        .wait = std::clamp<Micros>(input.expectedWait, 0, MaxPart),
        .prefill = toMicros(perPiece * (input.promptPieces - held)),
        .link = toMicros(transferMicros(promptBytes, input.link)),
        .price = toMicros(priceMicros(promptBytes, input.link, options)),
    };
    if (transferable > held) {
        const double bytes = options.kvBytesPerPiece * (transferable - held);
        const Micros transfer = toMicros(static_cast<double>(options.kvTransferOverhead) + transferMicros(bytes, input.transferLink));
        const Micros price = toMicros(priceMicros(bytes, input.transferLink, options));
        const Micros rest = toMicros(perPiece * (input.promptPieces - transferable));
        if (transfer + price + rest < cost.prefill) {
            cost.transfer = transfer;
            cost.prefill = rest;
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
    RoutingInternal::ensure(options.low <= options.initial && options.initial <= options.high, "a learned value starts in its range");
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
