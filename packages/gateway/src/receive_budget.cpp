#include "carobhall/receive_budget.h"

#include <utility>

namespace Carobhall
{

ReceiveGrant::ReceiveGrant(ReceiveBudget *budget, std::size_t bodyBytes)
    : budget_(budget)
    , bodyBytes_(bodyBytes)
{
}

ReceiveGrant::~ReceiveGrant()
{
    if (budget_ != nullptr) {
        budget_->change(bodyBytes_, 0);
    }
}

ReceiveGrant::ReceiveGrant(ReceiveGrant &&other) noexcept
    : budget_(std::exchange(other.budget_, nullptr))
    , bodyBytes_(std::exchange(other.bodyBytes_, 0))
{
}

ReceiveGrant &ReceiveGrant::operator=(ReceiveGrant &&other) noexcept
{
    std::swap(budget_, other.budget_);
    std::swap(bodyBytes_, other.bodyBytes_);
    return *this;
}

ReceiveGrant::operator bool() const
{
    return budget_ != nullptr;
}

std::size_t ReceiveGrant::bodyBytes() const
{
    return bodyBytes_;
}

bool ReceiveGrant::resize(std::size_t bodyBytes)
{
    if (!budget_->allows(bodyBytes_, bodyBytes)) {
        return false;
    }
    budget_->change(std::exchange(bodyBytes_, bodyBytes), bodyBytes);
    return true;
}

ReceiveBudget::ReceiveBudget(const ReceiveBudgetOptions &options)
    : options_(options)
{
}

ReceiveGrant ReceiveBudget::take(std::size_t bodyBytes)
{
    if (!allows(0, bodyBytes)) {
        return {};
    }
    change(0, bodyBytes);
    return { this, bodyBytes };
}

bool ReceiveBudget::allows(std::size_t before, std::size_t after) const
{
    if (after <= before) {
        return true;
    }
    const std::size_t total = held_ + (after - before) * ReceiveCopies;
    if (isSmall(after)) {
        // The reserve stays free of large requests, also of a single one that exceeds the rest.
        return total <= limit() || static_cast<double>(total - large_) <= static_cast<double>(limit()) * options_.smallReserve;
    }
    const std::size_t otherLarge = large_ - (isSmall(before) ? 0 : before * ReceiveCopies);
    const auto largeLimit = static_cast<std::size_t>(static_cast<double>(limit()) * (1.0 - options_.smallReserve));
    return otherLarge == 0 || (otherLarge + after * ReceiveCopies <= largeLimit && total <= limit());
}

void ReceiveBudget::change(std::size_t before, std::size_t after)
{
    held_ += after * ReceiveCopies;
    held_ -= before * ReceiveCopies;
    large_ += isSmall(after) ? 0 : after * ReceiveCopies;
    large_ -= isSmall(before) ? 0 : before * ReceiveCopies;
}

std::size_t ReceiveBudget::held() const
{
    return held_;
}

std::size_t ReceiveBudget::limit() const
{
    return static_cast<std::size_t>(static_cast<double>(options_.memoryLimit) * options_.share);
}

bool ReceiveBudget::isSmall(std::size_t bodyBytes) const
{
    return bodyBytes <= options_.smallBytes;
}

std::size_t ReceiveBudget::smallBytes() const
{
    return options_.smallBytes;
}

} // namespace Carobhall
