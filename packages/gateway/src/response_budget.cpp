#include "carobhall/response_budget.h"

namespace Carobhall
{

namespace
{

std::size_t shareOf(std::size_t limit, double share)
{
    return static_cast<std::size_t>(static_cast<double>(limit) * share);
}

} // namespace

ResponseBudget::ResponseBudget(const ResponseBudgetOptions &options)
    : options_(options)
{
}

void ResponseBudget::noteReceived(std::size_t bytes)
{
    held_ += bytes;
    update();
}

void ResponseBudget::setHeld(std::size_t bytes)
{
    held_ = bytes;
    update();
}

void ResponseBudget::update()
{
    isTight_ = held_ > (isTight_ ? shareOf(options_.memoryLimit, options_.lowShare) : highWatermark());
}

std::size_t ResponseBudget::held() const
{
    return held_;
}

bool ResponseBudget::isTight() const
{
    return isTight_;
}

std::size_t ResponseBudget::window() const
{
    return isTight_ ? options_.tightWindow : options_.normalWindow;
}

std::size_t ResponseBudget::highWatermark() const
{
    return shareOf(options_.memoryLimit, options_.highShare);
}

} // namespace Carobhall
