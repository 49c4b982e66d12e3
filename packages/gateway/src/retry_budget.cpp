#include "carobhall/retry_budget.h"

#include <algorithm>

namespace Carobhall
{

RetryBudget::RetryBudget(const RetryBudgetOptions &options)
    : options_(options)
{
}

RetryBudget::Bucket &RetryBudget::bucketAt(std::string_view service, Micros now)
{
    auto found = bucketsOfService_.find(service);
    if (found == bucketsOfService_.end()) {
        found = bucketsOfService_.emplace(std::string(service), Buckets{}).first;
    }
    const std::int64_t index = now / std::max<Micros>(1, options_.window / static_cast<Micros>(BucketsPerWindow));
    Bucket &bucket = found->second[static_cast<std::size_t>(index) % (BucketsPerWindow + 1)];
    if (bucket.index != index) {
        bucket = { .index = index };
    }
    return bucket;
}

void RetryBudget::noteRequest(std::string_view service, Micros now)
{
    ++bucketAt(service, now).requests;
}

bool RetryBudget::isAvailable(std::string_view service, Micros now, std::uint32_t count)
{
    const Bucket &current = bucketAt(service, now);
    double requests = 0.0;
    double retries = 0.0;
    for (const Bucket &bucket : bucketsOfService_.find(service)->second) {
        if (bucket.index >= 0 && current.index - bucket.index <= static_cast<std::int64_t>(BucketsPerWindow)) {
            requests += bucket.requests;
            retries += bucket.retries;
        }
    }
    const double allowed = options_.margin * (options_.ratio * requests + options_.allowance / std::max<std::uint32_t>(1, options_.gatewayCount));
    return retries + count <= allowed;
}

void RetryBudget::charge(std::string_view service, Micros now)
{
    ++bucketAt(service, now).retries;
}

bool RetryBudget::take(std::string_view service, Micros now)
{
    if (!isAvailable(service, now)) {
        return false;
    }
    ++bucketAt(service, now).retries;
    ++taken_;
    return true;
}

void RetryBudget::setGatewayCount(std::uint32_t count)
{
    options_.gatewayCount = std::max<std::uint32_t>(1, count);
}

std::uint64_t RetryBudget::taken() const
{
    return taken_;
}

} // namespace Carobhall
