#include "carobhall/crash_evidence.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Carobhall
{

namespace
{

CrashRecord recordOf(RequestFeature feature, const CrashEvidenceTable::Crash &crash, Micros now)
{
    return { .feature = feature, .process = crash.process, .age = std::max<Micros>(0, now - crash.at), .timeToLoss = crash.at - crash.sentAt };
}

} // namespace

void CrashEvidenceTable::addCrash(RequestFeature feature, const Crash &crash)
{
    if (insertCrash(feature, crash)) {
        ownNews_.crashes.emplace_back(feature, crash);
    }
}

void CrashEvidenceTable::addSound(RequestFeature feature, Micros at)
{
    if (noteSound(feature, at)) {
        queueSound(ownNews_, feature, at);
    }
}

bool CrashEvidenceTable::insertCrash(RequestFeature feature, const Crash &crash)
{
    if (const auto sound = soundAt_.find(feature); sound != soundAt_.end() && crash.at < sound->second + SoundnessHold) {
        return false;
    }
    if (crashes_.size() >= MaxSuspects && !crashes_.contains(feature)) {
        return false;
    }
    std::vector<Crash> &crashes = crashes_[feature];
    const auto position = std::ranges::lower_bound(crashes, crash.process, {}, &Crash::process);
    if (crashes.size() >= MaxCrashesPerFeature || (position != crashes.end() && position->process == crash.process)) {
        return false;
    }
    crashes.insert(position, crash);
    return true;
}

bool CrashEvidenceTable::noteSound(RequestFeature feature, Micros at)
{
    Micros &soundAt = soundAt_.try_emplace(feature, at).first->second;
    soundAt = std::max(soundAt, at);
    const auto found = crashes_.find(feature);
    if (found == crashes_.end()) {
        return false;
    }
    const bool erased = std::erase_if(found->second, [at](const Crash &crash) { return crash.at <= at; }) > 0;
    if (found->second.empty()) {
        crashes_.erase(found);
    }
    return erased;
}

void CrashEvidenceTable::merge(const CrashEvidence &evidence, Micros now)
{
    for (const SoundRecord &record : evidence.sound) {
        const Micros at = now - std::max<Micros>(record.age, 0);
        if (noteSound(record.feature, at)) {
            queueSound(peerNews_, record.feature, at);
        }
    }
    for (const CrashRecord &record : evidence.crashes) {
        const Micros at = now - std::max<Micros>(record.age, 0);
        const Crash crash{ .process = record.process, .sentAt = at - std::max<Micros>(record.timeToLoss, 0), .at = at };
        if (insertCrash(record.feature, crash)) {
            peerNews_.crashes.emplace_back(record.feature, crash);
        } else if (const auto sound = soundAt_.find(record.feature); sound != soundAt_.end() && crash.at < sound->second + SoundnessHold) {
            // The sender does not know of the sound run.
            queueSound(ownNews_, record.feature, sound->second);
        }
    }
}

void CrashEvidenceTable::queueSound(News &news, RequestFeature feature, Micros at)
{
    if (std::ranges::find(news.sound, feature, &std::pair<RequestFeature, Micros>::first) == news.sound.end()) {
        news.sound.emplace_back(feature, at);
    }
}

void CrashEvidenceTable::appendTo(CrashEvidence &evidence, News &news, Micros now)
{
    for (const auto &[feature, crash] : news.crashes) {
        evidence.crashes.push_back(recordOf(feature, crash, now));
    }
    for (const auto &[feature, at] : news.sound) {
        evidence.sound.push_back({ .feature = feature, .age = std::max<Micros>(0, now - at) });
    }
    news = {};
}

CrashEvidence CrashEvidenceTable::takeOwnNews(Micros now)
{
    CrashEvidence evidence;
    appendTo(evidence, ownNews_, now);
    peerNews_ = {};
    return evidence;
}

CrashEvidence CrashEvidenceTable::takeNews(Micros now)
{
    CrashEvidence evidence;
    appendTo(evidence, ownNews_, now);
    appendTo(evidence, peerNews_, now);
    return evidence;
}

CrashEvidence CrashEvidenceTable::all(Micros now) const
{
    CrashEvidence evidence;
    for (const auto &[feature, crashes] : crashes_) {
        for (const Crash &crash : crashes) {
            evidence.crashes.push_back(recordOf(feature, crash, now));
        }
    }
    return evidence;
}

CrashEvidence CrashEvidenceTable::of(RequestFeature feature, Micros now) const
{
    CrashEvidence evidence;
    for (const Crash &crash : crashesOf(feature)) {
        evidence.crashes.push_back(recordOf(feature, crash, now));
    }
    return evidence;
}

std::span<const CrashEvidenceTable::Crash> CrashEvidenceTable::crashesOf(RequestFeature feature) const
{
    const auto found = crashes_.find(feature);
    return found == crashes_.end() ? std::span<const Crash>() : std::span<const Crash>(found->second);
}

bool CrashEvidenceTable::hasCrashes() const
{
    return !crashes_.empty();
}

void CrashEvidenceTable::expire(Micros now)
{
    std::erase_if(soundAt_, [now](const auto &entry) { return now - entry.second > SoundLifetime; });
    for (auto it = crashes_.begin(); it != crashes_.end();) {
        std::erase_if(it->second, [now](const Crash &crash) { return now - crash.at > CrashLifetime; });
        it = it->second.empty() ? crashes_.erase(it) : std::next(it);
    }
}

} // namespace Carobhall
