#pragma once

// Limits how many requests a gateway may retry at another upstream, so that all gateways together stay under a fleet-wide limit
// without coordinating with each other.
//
// The limit applies per service and sliding window: ratio x requests + allowance, summed over the whole fleet. Each gateway
// counts its own requests and has an equal share of the allowance.

#include "carobhall/gateway_config.h"

namespace Carobhall
{

struct RetryBudgetOptions {
    double ratio = 0.1;                   ///< Retries per request, from the settings.
    double allowance = 0.0;               ///< Retries per window that the fleet has in addition, from the settings.
    Micros window = 10 * MicrosPerSecond; ///< From the settings.
    /// Share of the limit that is used. The rest covers windows that are not aligned between gateways, and gateways that restart
    /// with empty counters.
    double margin = 0.75;
    std::uint32_t gatewayCount = 8; ///< Gateway processes that share the allowance.
};

/// Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options);

    /// Counts a caller's request for \p service.
    void noteRequest(std::string_view service, Micros now);
    /// Takes one retry from the budget. Returns false when the budget is spent: the request must not be retried.
    [[nodiscard]] bool take(std::string_view service, Micros now);
    /// Counts a retry that was taken earlier and is sent now, so that the window in which it arrives contains it.
    void charge(std::string_view service, Micros now);
    /// Whether take() would succeed \p count times.
    [[nodiscard]] bool isAvailable(std::string_view service, Micros now, std::uint32_t count = 1);
    void setGatewayCount(std::uint32_t count);
    /// Retries taken since the start of the process, over all services.
    [[nodiscard]] std::uint64_t taken() const;

private:
    static constexpr std::size_t BucketsPerWindow = 10;

    struct Bucket {
        std::int64_t index = -1; ///< Start of the bucket in bucket lengths; -1: not used yet.
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    /// Ring buffer. The additional bucket ensures that the sum covers at least one whole window.
    using Buckets = std::array<Bucket, BucketsPerWindow + 1>;

    /// The bucket that contains \p now; cleared when it still holds the counts of an earlier window.
    Bucket &bucketAt(std::string_view service, Micros now);

    RetryBudgetOptions options_;
    NameMap<Buckets> bucketsOfService_;
    std::uint64_t taken_ = 0;
};

} // namespace Carobhall
