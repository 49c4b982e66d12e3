#include "carobhall/crash_watch.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Carobhall
{

std::uint64_t requestFingerprint(std::string_view target, std::string_view key, std::string_view body)
{
    const std::uint64_t path = XXH3_64bits(target.data(), target.size());
    const std::uint64_t caller = XXH3_64bits_withSeed(key.data(), key.size(), path);
    return XXH3_64bits_withSeed(body.data(), body.size(), caller);
}

Incarnation upstreamProcess(std::string_view id, std::int64_t startedAtMs)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), static_cast<std::uint64_t>(startedAtMs));
}

CrashWatch::CrashWatch()
    : suspects_({ .suspectedLifetime = RefusalTime, .condemnedLifetime = RefusalTime })
{
}

bool CrashWatch::isRefused(std::uint64_t fingerprint, Micros now) const
{
    return suspects_.suspicion(fingerprint, now) == Suspicion::Condemned;
}

bool CrashWatch::isEmpty() const
{
    return suspects_.size() == 0;
}

void CrashWatch::noteBroken(Incarnation process, std::uint64_t fingerprint, Micros now)
{
    std::vector<Broken> &broken = broken_[process];
    if (broken.size() < MaxBrokenPerProcess) {
        broken.push_back({ .fingerprint = fingerprint, .at = now });
    }
}

void CrashWatch::noteCrashed(Incarnation process, Micros now)
{
    const auto found = broken_.find(process);
    if (found == broken_.end()) {
        return;
    }
    std::vector<std::uint64_t> inFlight;
    for (const Broken &broken : found->second) {
        if (now - broken.at <= BrokenLifetime) {
            inFlight.push_back(broken.fingerprint);
        }
    }
    broken_.erase(found);
    suspects_.recordCrash(process, inFlight, now);
}

void CrashWatch::noteServed(std::uint64_t fingerprint, Micros now)
{
    suspects_.exonerate(fingerprint, now);
}

std::vector<SuspectFact> CrashWatch::takeNews(Micros now)
{
    std::vector<SuspectFact> news = std::exchange(news_, {});
    std::ranges::move(suspects_.takeChanged(now), std::back_inserter(news));
    return news;
}

void CrashWatch::merge(std::span<const SuspectFact> facts, Micros now)
{
    // What others say is not sent back to them.
    std::ranges::move(suspects_.takeChanged(now), std::back_inserter(news_));
    for (const SuspectFact &fact : facts) {
        suspects_.merge(fact, now);
    }
    (void)suspects_.takeChanged(now);
}

void CrashWatch::expire(Micros now)
{
    suspects_.expire(now);
    for (auto it = broken_.begin(); it != broken_.end();) {
        std::erase_if(it->second, [now](const Broken &broken) { return now - broken.at > BrokenLifetime; });
        it = it->second.empty() ? broken_.erase(it) : std::next(it);
    }
}

} // namespace Carobhall
