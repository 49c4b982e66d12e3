#include "carobhall/repeat_budget.h"

#include <algorithm>

namespace Carobhall
{

RepeatBudget::RepeatBudget(const RepeatBudgetOptions &options)
    : options_(options)
{
}

RepeatBudget::Counts &RepeatBudget::countsAt(std::string_view service, Micros now)
{
    auto found = rings_.find(service);
    if (found == rings_.end()) {
        found = rings_.emplace(std::string(service), Ring{}).first;
    }
    const std::int64_t slice = now / std::max<Micros>(1, options_.window / static_cast<Micros>(Slices));
    Counts &counts = found->second[static_cast<std::size_t>(slice) % (Slices + 1)];
    if (counts.slice != slice) {
        counts = { .slice = slice };
    }
    return counts;
}

void RepeatBudget::noteRequest(std::string_view service, Micros now)
{
    ++countsAt(service, now).requests;
}

bool RepeatBudget::take(std::string_view service, Micros now)
{
    Counts &current = countsAt(service, now);
    double requests = 0.0;
    double repeats = 0.0;
    for (const Counts &counts : rings_.find(service)->second) {
        if (counts.slice >= 0 && current.slice - counts.slice <= static_cast<std::int64_t>(Slices)) {
            requests += counts.requests;
            repeats += counts.repeats;
        }
    }
    const double allowed = options_.margin * (options_.ratio * requests + options_.allowance / std::max<std::uint32_t>(1, options_.gateways));
    if (repeats + 1.0 > allowed) {
        return false;
    }
    ++current.repeats;
    ++taken_;
    return true;
}

void RepeatBudget::setGateways(std::uint32_t gateways)
{
    options_.gateways = std::max<std::uint32_t>(1, gateways);
}

std::uint64_t RepeatBudget::taken() const
{
    return taken_;
}

} // namespace Carobhall
