#include "crash_evidence_store.h"

#include <utility>

namespace Carobhall
{

CrashEvidenceStore::CrashEvidenceStore(CrashEvidenceStoreOptions options)
    : options_(std::move(options))
{
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
    const std::optional<CrashEvidence> &evidence = pending_.begin()->second;
    PlatformCall call{ .verb = evidence ? PlatformVerb::Create : PlatformVerb::Delete,
                       .kind = options_.codec->crashEvidenceKind,
                       .name = name,
                       .spec = evidence ? options_.codec->encodeCrashEvidence(*evidence) : Json::Value() };
    callInFlight_ = true;
    nextCallAt_ = now;
    const bool isSave = evidence.has_value();
    options_.platform->call(std::move(call), now, [this, name, isSave, alive = std::weak_ptr(alive_)](const PlatformReply &reply, Micros at) {
        if (alive.expired()) {
            return;
        }
        callInFlight_ = false;
        const bool done = !reply.error || reply.error == Errc::AlreadyExists || reply.error == Errc::NotFound;
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
        if (const auto found = pending_.find(name); found != pending_.end() && found->second.has_value() == isSave) {
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
    if (stored_.insert(object.name).second) {
        options_.onEvidence(*evidence);
    }
}

void CrashEvidenceStore::save(RequestFeature feature, CrashEvidence evidence)
{
    std::string name = toHex(feature);
    if (!stored_.contains(name)) {
        pending_.insert_or_assign(std::move(name), std::move(evidence));
    }
}

void CrashEvidenceStore::remove(RequestFeature feature)
{
    std::string name = toHex(feature);
    if (stored_.contains(name)) {
        pending_.insert_or_assign(std::move(name), std::nullopt);
    } else {
        pending_.erase(name);
    }
}

} // namespace Carobhall
