#pragma once

// What a fleet knows about crashes of upstreams: which features the requests had that were in flight, and which features have been part of sound
// runs since. Every gateway and every relaying sidecar holds a table; news are merged like sets, so neither the order nor the number of
// deliveries matters.
//
//     CrashEvidenceTable table;
//     table.addCrash(feature, { .process = process, ... });  // a request with the feature was in flight when the process crashed
//     table.addSound(feature, now);                          // a request with the feature has run without a crash
//     send(table.takeNews(now)); table.merge(news, now);
//
// A sound run disproves all earlier crashes of its features: a feature that crashes upstreams crashes every one of them. Crashes are also ignored
// within SoundnessHold after a sound run, so that features of most requests are never suspected.
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/messages.h"

#include <span>
#include <unordered_map>

namespace Carobhall
{

/// Hash of something that several requests may have in common: a part of the prompt, or the request as a whole.
using RequestFeature = std::uint64_t;

/// Not thread-safe.
class CrashEvidenceTable
{
public:
    struct Crash {
        Incarnation process = 0;
        Micros sentAt = 0; ///< When the request was sent to the process.
        Micros at = 0;     ///< When its connection broke.
    };

    /// Crashes that follow a sound run by less than this do not make a feature suspect.
    static constexpr Micros SoundnessHold = 2 * MicrosPerSecond;

    /// Records that a process crashed while a request with \p feature was in flight. Repeated calls for one process have no effect.
    void addCrash(RequestFeature feature, const Crash &crash);
    /// Records that a request with \p feature ran without a crash.
    void addSound(RequestFeature feature, Micros at);

    /// Adds what another process knows.
    void merge(const CrashEvidence &evidence, Micros now);
    /// What has changed since the last call, without what merge() has added.
    [[nodiscard]] CrashEvidence takeOwnNews(Micros now);
    /// What has changed since the last call, with what merge() has added.
    [[nodiscard]] CrashEvidence takeNews(Micros now);
    /// All crashes, for a process that has just connected.
    [[nodiscard]] CrashEvidence all(Micros now) const;

    /// The crashes of \p feature.
    [[nodiscard]] CrashEvidence of(RequestFeature feature, Micros now) const;
    /// The crashes of \p feature since its last sound run, in ascending order of processes.
    [[nodiscard]] std::span<const Crash> crashesOf(RequestFeature feature) const;
    /// Calls \p visit with each feature that has crashes, and these.
    template<typename Visitor>
    void forEachSuspect(Visitor visit) const
    {
        for (const auto &[feature, crashes] : crashes_) {
            visit(feature, std::span<const Crash>(crashes));
        }
    }
    [[nodiscard]] bool hasCrashes() const;
    /// Removes old entries. Call every few seconds.
    void expire(Micros now);

private:
    /// Long, because a feature that comes back after its crashes are forgotten takes down several upstreams again.
    static constexpr Micros CrashLifetime = 3'600 * MicrosPerSecond;
    /// Covers the time until the platform's list confirms a crash.
    static constexpr Micros SoundLifetime = 15 * MicrosPerSecond;
    static constexpr std::size_t MaxSuspects = 4'096;       ///< About a hundred crashes with ten requests of four features each.
    static constexpr std::size_t MaxCrashesPerFeature = 32; ///< More than a feature has when it is blocked.

    /// Changes that have not been taken.
    struct News {
        std::vector<std::pair<RequestFeature, Crash>> crashes{};
        std::vector<std::pair<RequestFeature, Micros>> sound{};
    };

    bool insertCrash(RequestFeature feature, const Crash &crash);
    /// Notes a sound run and removes the crashes that it disproves. Returns whether there were any.
    bool noteSound(RequestFeature feature, Micros at);
    static void queueSound(News &news, RequestFeature feature, Micros at);

    static void appendTo(CrashEvidence &evidence, News &news, Micros now);

    std::unordered_map<RequestFeature, std::vector<Crash>> crashes_;
    std::unordered_map<RequestFeature, Micros> soundAt_;
    News ownNews_;
    News peerNews_;
};

} // namespace Carobhall
