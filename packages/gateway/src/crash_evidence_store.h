#pragma once

// Keeps the features of requests that crash upstreams in the platform's store, for gateways that start when nobody else remembers them, and for
// installations without sidecars, whose gateways have no other way to share them.
//
// The store is read once at the start, and watched only while there is no link to a sidecar: a watch costs calls. One object per blocked feature
// is written by the gateways that saw one of its crashes, and deleted by one that sees a sound run. Writes are repeated until the store
// answers.
//
// A restore of the store undoes writes and deletions. The store is then read again, what was saved is saved again, and the object of a feature
// that had a sound run before the restore is deleted again: its ages are relative, so that its crashes would count as fresh ones.

#include "carobhall/crash_evidence.h"
#include "carobhall/gateway.h"

#include <set>

namespace Carobhall
{

struct CrashEvidenceStoreOptions {
    PlatformClient *platform = nullptr; ///< Outlives the store.
    const PlatformObjectCodec *codec = nullptr;
    std::function<void(const CrashEvidence &evidence)> onEvidence{}; ///< The store has evidence that another process wrote.
};

/// Not thread-safe.
class CrashEvidenceStore
{
public:
    explicit CrashEvidenceStore(CrashEvidenceStoreOptions options);

    /// Reads the objects at the start, repeats failed writes, and watches the objects while \p hasSidecars is false. Call every 50 to 100 ms.
    void tick(bool hasSidecars, Micros now);
    /// Writes the crashes of a blocked feature, unless they are stored.
    void save(RequestFeature feature, CrashEvidence evidence);
    /// Deletes the object of a feature that has had a sound run, if there is one, also if a restore brings it back.
    void remove(RequestFeature feature, Micros now);

private:
    static constexpr Micros RetryInterval = MicrosPerSecond;
    /// Links to sidecars open within less than this after the start.
    static constexpr Micros WatchDelay = 4 * MicrosPerSecond;

    /// As long as processes remember crashes.
    static constexpr Micros DisprovedLifetime = 3'600 * MicrosPerSecond;

    struct PendingWrite {
        std::optional<CrashEvidence> evidence{}; ///< Empty: the object is deleted.
        std::uint64_t baseVersion = 0;           ///< 0: any version is deleted.
    };

    /// A feature that had a sound run.
    struct Disproved {
        Micros at = 0;
        std::uint64_t era = 0;         ///< Objects of later eras are copies that a restore brought back.
        std::uint64_t copyVersion = 0; ///< Version of the last such copy.
    };

    void read(Micros now);
    void write(Micros now);
    void onObject(const PlatformObject &object);
    /// A restore has brought back the object of a feature that had a sound run before.
    bool isDisprovedCopy(const PlatformObject &object);

    CrashEvidenceStoreOptions options_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Replies that arrive after the destruction are dropped.
    std::unique_ptr<ObjectWatcher> watcher_;
    std::set<std::string, std::less<>> stored_;                ///< Names of objects that the store has, as far as known.
    std::map<std::string, PendingWrite, std::less<>> pending_; ///< By name of the object.
    std::map<std::string, Disproved, std::less<>> disproved_;  ///< By name of the object.
    bool wasRead_ = false;
    bool callInFlight_ = false;
    Micros nextCallAt_ = 0;
    Micros withoutSidecarsSince_ = 0; ///< 0: there is a link.
};

} // namespace Carobhall
