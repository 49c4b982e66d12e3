#include "carobhall/poison_request_detector.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Carobhall
{

std::uint64_t requestFingerprint(std::string_view target, std::string_view apiKey, std::string_view body)
{
    const std::uint64_t targetHash = XXH3_64bits(target.data(), target.size());
    const std::uint64_t callerHash = XXH3_64bits_withSeed(apiKey.data(), apiKey.size(), targetHash);
    return XXH3_64bits_withSeed(body.data(), body.size(), callerHash);
}

Incarnation upstreamIncarnation(std::string_view id, std::int64_t startedAtMs)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), static_cast<std::uint64_t>(startedAtMs));
}

PoisonRequestDetector::PoisonRequestDetector()
    : suspects_({ .suspectedLifetime = BlockDuration, .condemnedLifetime = BlockDuration })
{
}

bool PoisonRequestDetector::isBlocked(std::uint64_t fingerprint, Micros now) const
{
    return suspects_.suspicion(fingerprint, now) == Suspicion::Condemned;
}

bool PoisonRequestDetector::isEmpty() const
{
    return suspects_.size() == 0;
}

void PoisonRequestDetector::noteConnectionLost(Incarnation process, std::uint64_t fingerprint, Micros now)
{
    std::vector<LostRequest> &lostRequests = lostRequests_[process];
    if (lostRequests.size() < MaxLostRequestsPerProcess) {
        lostRequests.push_back({ .fingerprint = fingerprint, .lostAt = now });
    }
}

void PoisonRequestDetector::noteProcessCrashed(Incarnation process, Micros now)
{
    const auto found = lostRequests_.find(process);
    if (found == lostRequests_.end()) {
        return;
    }
    std::vector<std::uint64_t> inFlight;
    for (const LostRequest &lost : found->second) {
        if (now - lost.lostAt <= CrashConfirmationTimeout) {
            inFlight.push_back(lost.fingerprint);
        }
    }
    lostRequests_.erase(found);
    suspects_.recordCrash(process, inFlight, now);
}

void PoisonRequestDetector::noteCompleted(std::uint64_t fingerprint, Micros now)
{
    suspects_.exonerate(fingerprint, now);
}

std::vector<SuspectFact> PoisonRequestDetector::takeNewFacts(Micros now)
{
    std::vector<SuspectFact> facts = std::exchange(newFacts_, {});
    std::ranges::move(suspects_.takeChanged(now), std::back_inserter(facts));
    return facts;
}

void PoisonRequestDetector::merge(std::span<const SuspectFact> facts, Micros now)
{
    // Own changes are set aside first, and the changes from the merge are discarded: facts of other gateways are not sent back to them.
    std::ranges::move(suspects_.takeChanged(now), std::back_inserter(newFacts_));
    for (const SuspectFact &fact : facts) {
        suspects_.merge(fact, now);
    }
    (void)suspects_.takeChanged(now);
}

void PoisonRequestDetector::expire(Micros now)
{
    suspects_.expire(now);
    for (auto it = lostRequests_.begin(); it != lostRequests_.end();) {
        std::erase_if(it->second, [now](const LostRequest &lost) { return now - lost.lostAt > CrashConfirmationTimeout; });
        it = it->second.empty() ? lostRequests_.erase(it) : std::next(it);
    }
}

} // namespace Carobhall
