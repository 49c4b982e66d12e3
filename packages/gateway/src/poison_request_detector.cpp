#include "carobhall/poison_request_detector.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Carobhall
{

namespace
{

using Crash = CrashEvidenceTable::Crash;

/// Number of crashes that no common fault explains: crashes closer than \p spacing count as one, unless the later request was sent after the
/// earlier crash.
std::size_t countIndependentCrashes(std::span<const Crash> crashes, Micros spacing)
{
    std::vector<Crash> byTime(crashes.begin(), crashes.end());
    std::ranges::sort(byTime, {}, &Crash::at);
    std::size_t count = 0;
    Micros last = 0;
    for (const Crash &crash : byTime) {
        if (count == 0 || crash.at - last >= spacing || crash.sentAt > last) {
            ++count;
            last = crash.at;
        }
    }
    return count;
}

/// \p crashes without those of processes that are in \p explained.
std::vector<Crash> without(std::span<const Crash> crashes, std::span<const Crash> explained)
{
    std::vector<Crash> rest;
    std::ranges::set_difference(crashes, explained, std::back_inserter(rest), {}, &Crash::process, &Crash::process);
    return rest;
}

} // namespace

RequestFeature requestFingerprint(const RequestIdentity &identity)
{
    const std::uint64_t targetHash = XXH3_64bits(identity.target.data(), identity.target.size());
    const std::uint64_t callerHash = XXH3_64bits_withSeed(identity.apiKey.data(), identity.apiKey.size(), targetHash);
    return XXH3_64bits_withSeed(identity.body.data(), identity.body.size(), callerHash);
}

std::vector<RequestFeature> requestFeatures(const RequestIdentity &identity, std::string_view model, std::span<const PromptPart> parts)
{
    std::vector<RequestFeature> features{ requestFingerprint(identity) };
    const std::uint64_t modelHash = XXH3_64bits(model.data(), model.size());
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        features.push_back(XXH3_64bits_withSeed(parts[i].id.data(), parts[i].id.size(), modelHash));
    }
    return features;
}

Incarnation upstreamIncarnation(std::string_view id, std::int64_t startedAtMs)
{
    // The start time is part of the hashed text: as a seed it cancels out differences between short ids.
    const std::string text = std::string(id) + ' ' + std::to_string(startedAtMs);
    return XXH3_64bits(text.data(), text.size());
}

PoisonRequestDetector::PoisonRequestDetector(std::uint64_t seed)
    : seed_(seed)
{
}

std::size_t PoisonRequestDetector::countAgainst(RequestFeature feature, std::span<const RequestFeature> features) const
{
    const std::span<const Crash> crashes = evidence_.crashesOf(feature);
    const auto strengthOf = [](std::span<const Crash> some) { return std::pair(countIndependentCrashes(some, MinCrashSpacing), some.size()); };
    const auto strength = strengthOf(crashes);
    if (strength.first < MinCrashes) {
        return 0;
    }
    std::vector<Crash> unexplained(crashes.begin(), crashes.end());
    bool otherIsMissing = false;
    evidence_.forEachSuspect([&](RequestFeature other, std::span<const Crash> otherCrashes) {
        if (other == feature || otherCrashes.size() < MinCrashes || otherIsMissing) {
            return;
        }
        if (std::ranges::equal(otherCrashes, crashes, {}, &Crash::process, &Crash::process)) {
            // Either may be the cause. A request without the other one shows which.
            otherIsMissing = std::ranges::find(features, other) == features.end();
        } else if (strengthOf(otherCrashes) > strength) {
            unexplained = without(unexplained, otherCrashes);
        }
    });
    return otherIsMissing || countIndependentCrashes(unexplained, MinCrashSpacing) < MinCrashes ? 0 : unexplained.size();
}

bool PoisonRequestDetector::isBlocked(std::span<const RequestFeature> features) const
{
    return std::ranges::any_of(features, [&](RequestFeature feature) { return countAgainst(feature, features) > 0; });
}

Micros PoisonRequestDetector::trialDueAt(RequestFeature feature, std::size_t crashCount) const
{
    const std::size_t extra = crashCount - MinCrashes;
    const std::size_t last = FirstTrialDelays.size() - 1;
    const Micros base = extra <= last ? FirstTrialDelays[extra] : std::min(MaxTrialDelay, FirstTrialDelays[last] << std::min<std::size_t>(extra - last, 8));
    // Spread, so that the result of the first trial is known to the other gateways before they start theirs.
    const std::uint64_t range = static_cast<std::uint64_t>(base) * std::max<std::uint64_t>(1, gatewayCount_ / GatewaysPerTrialDelay);
    const std::uint64_t spread = XXH3_64bits_withSeed(&feature, sizeof(feature), seed_) % range;
    Micros latest = std::ranges::max(evidence_.crashesOf(feature), {}, &Crash::at).at;
    if (const auto trial = lastTrials_.find(feature); trial != lastTrials_.end()) {
        latest = std::max(latest, trial->second);
    }
    return latest + base + static_cast<Micros>(spread);
}

bool PoisonRequestDetector::admit(std::span<const RequestFeature> features, Micros now)
{
    std::vector<RequestFeature> blocking;
    for (const RequestFeature feature : features) {
        if (const std::size_t crashCount = countAgainst(feature, features); crashCount > 0) {
            if (trialDueAt(feature, crashCount) > now) {
                return false;
            }
            blocking.push_back(feature);
        }
    }
    for (const RequestFeature feature : blocking) {
        lastTrials_[feature] = now;
    }
    return true;
}

void PoisonRequestDetector::setGatewayCount(std::uint32_t count)
{
    gatewayCount_ = std::max<std::uint32_t>(1, count);
}

bool PoisonRequestDetector::isEmpty() const
{
    return !evidence_.hasCrashes();
}

void PoisonRequestDetector::recordCrash(Incarnation process, const LostRequest &lost)
{
    for (const RequestFeature feature : lost.features) {
        evidence_.addCrash(feature, { .process = process, .sentAt = lost.sentAt, .at = lost.lostAt });
        ownSuspects_.insert(feature);
    }
}

void PoisonRequestDetector::noteConnectionLost(Incarnation process, std::span<const RequestFeature> features, Micros sentAt, Micros now)
{
    PendingProcess &pending = lostRequests_[process];
    pending.changedAt = now;
    LostRequest lost{ .features = { features.begin(), features.end() }, .sentAt = sentAt, .lostAt = now };
    if (pending.crashed) {
        recordCrash(process, lost);
    } else if (pending.requests.size() < MaxLostRequestsPerProcess) {
        pending.requests.push_back(std::move(lost));
    }
}

void PoisonRequestDetector::noteProcessCrashed(Incarnation process, Micros now)
{
    PendingProcess &pending = lostRequests_[process];
    for (const LostRequest &lost : pending.requests) {
        if (now - lost.lostAt <= CrashConfirmationTimeout) {
            recordCrash(process, lost);
        }
    }
    pending = { .requests = {}, .crashed = true, .changedAt = now };
}

void PoisonRequestDetector::noteSound(std::span<const RequestFeature> features, Micros now)
{
    for (const RequestFeature feature : features) {
        evidence_.addSound(feature, now);
    }
}

std::vector<RequestFeature> PoisonRequestDetector::ownBlockedFeatures() const
{
    std::vector<RequestFeature> blocked;
    for (const RequestFeature feature : ownSuspects_) {
        if (isBlocked(std::span(&feature, 1))) {
            blocked.push_back(feature);
        }
    }
    return blocked;
}

CrashEvidence PoisonRequestDetector::evidenceOf(RequestFeature feature, Micros now) const
{
    return evidence_.of(feature, now);
}

CrashEvidence PoisonRequestDetector::takeNews(Micros now)
{
    return evidence_.takeOwnNews(now);
}

CrashEvidence PoisonRequestDetector::all(Micros now) const
{
    return evidence_.all(now);
}

void PoisonRequestDetector::merge(const CrashEvidence &evidence, Micros now)
{
    evidence_.merge(evidence, now);
}

void PoisonRequestDetector::expire(Micros now)
{
    evidence_.expire(now);
    std::erase_if(lastTrials_, [this](const auto &trial) { return evidence_.crashesOf(trial.first).empty(); });
    std::erase_if(ownSuspects_, [this](RequestFeature feature) { return evidence_.crashesOf(feature).empty(); });
    for (auto it = lostRequests_.begin(); it != lostRequests_.end();) {
        std::erase_if(it->second.requests, [now](const LostRequest &lost) { return now - lost.lostAt > CrashConfirmationTimeout; });
        it = now - it->second.changedAt > CrashConfirmationTimeout ? lostRequests_.erase(it) : std::next(it);
    }
}

} // namespace Carobhall
