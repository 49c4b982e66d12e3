#include "crash_evidence_store.h"

#include <utility>

namespace Carobhall
{

CrashEvidenceStore::CrashEvidenceStore(CrashEvidenceStoreOptions options)
    : options_(std::move(options))
{
    options_.platform->onRestored([this, alive = std::weak_ptr(alive_)](Micros) {
        if (!alive.expired()) {
            stored_.clear();
            wasRead_ = false;
        }
    });
}

void CrashEvidenceStore::tick(bool hasSidecars, Micros now)
{
    if (hasSidecars) {
        withoutSidecarsSince_ = 0;
        watcher_.reset();
    } else if (withoutSidecarsSince_ == 0) {
        withoutSidecarsSince_ = now;
    } else if (!watcher_ && now - withoutSidecarsSince_ > WatchDelay) {
        watcher_ = std::make_unique<ObjectWatcher>(*options_.platform,
                                                   WatcherOptions{ .kind = options_.codec->crashEvidenceKind,
                                                                   .name = {},
                                                                   .onObject = [this](const PlatformObject &object, Micros) { onObject(object); },
                                                                   .onDeleted = [this](const std::string &name, Micros) { stored_.erase(name); } });
    }
    if (watcher_) {
        watcher_->tick(now);
    }
    if (callInFlight_ || now < nextCallAt_) {
        return;
    }
    if (!wasRead_) {
        read(now);
    } else if (!pending_.empty()) {
        write(now);
    }
}

void CrashEvidenceStore::read(Micros now)
{
    callInFlight_ = true;
    nextCallAt_ = now + RetryInterval;
    options_.platform->call(listCall(options_.codec->crashEvidenceKind), now, [this, alive = std::weak_ptr(alive_)](const PlatformReply &reply, Micros) {
        if (alive.expired()) {
            return;
        }
        callInFlight_ = false;
        wasRead_ = !reply.error;
        for (const PlatformObject &object : reply.items) {
            onObject(object);
        }
    });
}

void CrashEvidenceStore::write(Micros now)
{
    const std::string name = pending_.begin()->first;
    const auto &[evidence, baseVersion] = pending_.begin()->second;
    PlatformCall call{ .verb = evidence ? PlatformVerb::Create : PlatformVerb::Delete,
                       .kind = options_.codec->crashEvidenceKind,
                       .name = name,
                       .baseVersion = baseVersion,
                       .spec = evidence ? options_.codec->encodeCrashEvidence(*evidence) : Json::Value() };
    callInFlight_ = true;
    nextCallAt_ = now;
    const bool isSave = evidence.has_value();
    options_.platform->call(std::move(call), now, [this, name, isSave, alive = std::weak_ptr(alive_)](const PlatformReply &reply, Micros at) {
        if (alive.expired()) {
            return;
        }
        callInFlight_ = false;
        const bool done = !reply.error || reply.error == Errc::AlreadyExists || reply.error == Errc::NotFound || reply.error == Errc::Conflict;
        logEvent(LogLevel::Info, isSave ? "crash_evidence_saved" : "crash_evidence_removed", { { "feature", name }, { "error", reply.error } });
        if (!done) {
            nextCallAt_ = at + RetryInterval;
            return;
        }
        if (isSave) {
            stored_.insert(name);
        } else {
            stored_.erase(name);
        }
        // The other of save() and remove() may have been called meanwhile.
        if (const auto found = pending_.find(name); found != pending_.end() && found->second.evidence.has_value() == isSave) {
            pending_.erase(found);
        }
    });
}

void CrashEvidenceStore::onObject(const PlatformObject &object)
{
    const std::optional<CrashEvidence> evidence = options_.codec->decodeCrashEvidence(object);
    if (!evidence) {
        logEvent(LogLevel::Warning, "crash_evidence_unreadable", { { "name", object.name } });
        return;
    }
    if (isDisprovedCopy(object)) {
        pending_.insert_or_assign(object.name, PendingWrite{ .baseVersion = object.version });
    } else if (stored_.insert(object.name).second) {
        options_.onEvidence(*evidence);
    }
}

bool CrashEvidenceStore::isDisprovedCopy(const PlatformObject &object)
{
    const auto found = disproved_.find(object.name);
    if (found == disproved_.end()) {
        return false;
    }
    Disproved &disproved = found->second;
    if (eraOf(object.version) > disproved.era) {
        disproved.era = eraOf(object.version);
        disproved.copyVersion = object.version;
    }
    return object.version == disproved.copyVersion;
}

void CrashEvidenceStore::save(RequestFeature feature, CrashEvidence evidence)
{
    std::string name = toHex(feature);
    disproved_.erase(name);
    if (!stored_.contains(name)) {
        pending_.insert_or_assign(std::move(name), PendingWrite{ .evidence = std::move(evidence) });
    }
}

void CrashEvidenceStore::remove(RequestFeature feature, Micros now)
{
    std::erase_if(disproved_, [now](const auto &entry) { return entry.second.at + DisprovedLifetime < now; });
    std::string name = toHex(feature);
    disproved_.insert_or_assign(name, Disproved{ .at = now, .era = options_.platform->era() });
    if (stored_.contains(name)) {
        pending_.insert_or_assign(std::move(name), PendingWrite{});
    } else if (const auto found = pending_.find(name); found != pending_.end() && found->second.evidence) {
        pending_.erase(found);
    }
}

} // namespace Carobhall
