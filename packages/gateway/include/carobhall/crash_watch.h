#pragma once

// Stops requests that crash each upstream that runs them.
//
//     CrashWatch crashes;
//     if (crashes.isRefused(fingerprint, now)) { ... refuse as not run ... }
//     crashes.noteBroken(process, fingerprint, now);   // the connection broke while the upstream may have been running it
//     crashes.noteCrashed(process, now);               // the platform's list shows that the process is gone
//     crashes.noteServed(fingerprint, now);
//     send(crashes.takeNews(now)); crashes.merge(facts, now);
//
// A broken connection alone says little, because faulty servers reset connections too. It counts once the list shows that the
// process has ended. A request is refused after it was running at two crashes and completed nowhere in between.
//
// Decisions only: no I/O and no clock.

#include "carobhall/suspects.h"

#include <string_view>

namespace Carobhall
{

/// The same for each repetition of a request: its path, caller and body, but not the id of the attempt. Thread-safe.
[[nodiscard]] std::uint64_t requestFingerprint(std::string_view target, std::string_view key, std::string_view body);

/// Names one process of an upstream. Thread-safe.
[[nodiscard]] Incarnation upstreamProcess(std::string_view id, std::int64_t startedAtMs);

/// Not thread-safe.
class CrashWatch
{
public:
    CrashWatch();

    /// Whether the request must not run anywhere.
    [[nodiscard]] bool isRefused(std::uint64_t fingerprint, Micros now) const;
    /// Whether anything is known of any request; false spares the caller the fingerprint.
    [[nodiscard]] bool isEmpty() const;

    void noteBroken(Incarnation process, std::uint64_t fingerprint, Micros now);
    void noteCrashed(Incarnation process, Micros now);
    void noteServed(std::uint64_t fingerprint, Micros now);

    /// What this process has learned itself since the last call, for the other gateways.
    [[nodiscard]] std::vector<SuspectFact> takeNews(Micros now);
    void merge(std::span<const SuspectFact> facts, Micros now);
    /// Drops what is too old to matter. Call every few seconds.
    void expire(Micros now);

private:
    /// The list shows the end of a process after three missed reports of 1.2 s, and later while the platform is slow.
    static constexpr Micros BrokenLifetime = 10 * MicrosPerSecond;
    /// A request that crashes servers is refused for this long. Each expiry costs two servers again; a request that was only
    /// near two crashes has to wait as long.
    static constexpr Micros RefusalTime = 120 * MicrosPerSecond;
    static constexpr std::size_t MaxBrokenPerProcess = 128; ///< Somewhat more than the slots of a server.

    struct Broken {
        std::uint64_t fingerprint = 0;
        Micros at = 0;
    };

    Suspects suspects_;
    std::vector<SuspectFact> news_;                               ///< Facts of this process that have not been taken yet.
    std::unordered_map<Incarnation, std::vector<Broken>> broken_; ///< By the process that may have been running the request.
};

} // namespace Carobhall
