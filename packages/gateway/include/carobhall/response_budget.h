#pragma once

// Limits the bytes of responses that a gateway holds for all callers together.
//
//     ResponseBudget budget({ .memoryLimit = settings.memoryLimit });
//     budget.noteReceived(bytes);          // bytes of an upstream's response were read
//     budget.setHeld(sum);                 // counted anew, on each tick
//     if (unsent > budget.window()) ...    // this response is not read for now
//
// While few bytes are held, each response may hold up to the limit of a response. Above the high watermark a response may hold a small window
// only, until the sum falls below the low watermark. The sum is bounded by the high watermark, and for each response one window and one read.

#include "carobhall/base.h"

namespace Carobhall
{

struct ResponseBudgetOptions {
    std::size_t memoryLimit = std::size_t{ 88 } << 20U; ///< Of the process, in bytes.
    /// Shares of the memory limit. A process without requests takes some 15 percent of the smallest limit; the rest above the high watermark is for the
    /// windows, for copies of a response while it is written, for requests, and for memory that the allocator keeps.
    double highShare = 0.25;
    double lowShare = 0.15;
    std::size_t normalWindow = std::size_t{ 4 } << 20U;
    std::size_t tightWindow = std::size_t{ 64 } << 10U;
};

/// Not thread-safe.
class ResponseBudget
{
public:
    explicit ResponseBudget(const ResponseBudgetOptions &options);

    /// \p bytes of a response were read and are held now.
    void noteReceived(std::size_t bytes);
    /// The bytes held by all responses, counted anew: those that callers have taken are held no more.
    void setHeld(std::size_t bytes);
    [[nodiscard]] std::size_t held() const;
    /// The sum has passed the high watermark and has not fallen below the low one since.
    [[nodiscard]] bool isTight() const;
    /// Bytes that one response may hold now.
    [[nodiscard]] std::size_t window() const;
    [[nodiscard]] std::size_t highWatermark() const;

private:
    void update();

    ResponseBudgetOptions options_;
    std::size_t held_ = 0;
    bool isTight_ = false;
};

} // namespace Carobhall
