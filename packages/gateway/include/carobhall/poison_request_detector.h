#pragma once

// Detects requests that crash every upstream that runs them, by the features that they have in common: a part of the prompt, or the request as a
// whole. They are refused at all gateways; requests that share only other features with them are not.
//
//     PoisonRequestDetector detector(seed);
//     const std::vector<RequestFeature> features = requestFeatures(identity, parts);
//     if (!detector.admit(features, now)) { ... refuse the request as not run ... }
//     detector.noteConnectionLost(process, features, sentAt, now);
//     detector.noteProcessCrashed(process, now); // it refuses connections, or the platform's list no longer shows it
//     detector.noteSound(features, now);         // the request has run without a crash
//     send(detector.takeNews(now)); detector.merge(news, now);
//
// A lost connection alone proves nothing, because faulty servers reset connections too. It counts once its process is known to have ended.
// A feature is suspected after crashes at two different times without a sound run since (crash_evidence.h). Of the features
// that were in flight at the same crashes, any may be the cause: a request is refused only if it has all of them, and a request
// that has some of them shows which one it is. Crashes that a feature with more crashes accounts for do not count against another one.
//
// A suspicion may be wrong. After a time that grows with the number of crashes a gateway admits one request as a trial; a sound run clears
// its features at all gateways.
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/crash_evidence.h"
#include "carobhall/prefix_cache_index.h"

#include <string_view>
#include <unordered_set>

namespace Carobhall
{

/// Identifies a request as a whole. All attempts of a request have the same identity, because it does not include the id of the attempt.
struct RequestIdentity {
    std::string_view target{};
    std::string_view apiKey{};
    std::string_view body{};
};

/// Hash of the identity. Thread-safe.
[[nodiscard]] RequestFeature requestFingerprint(const RequestIdentity &identity);

/// The features of a request: its fingerprint, and those parts of its prompt that other requests may share, which are all but the last. A part
/// counts per \p model. Thread-safe.
[[nodiscard]] std::vector<RequestFeature> requestFeatures(const RequestIdentity &identity, std::string_view model, std::span<const PromptPart> parts);

/// Identifies one process of the upstream \p id. Thread-safe.
[[nodiscard]] Incarnation upstreamIncarnation(std::string_view id, std::int64_t startedAtMs);

/// Not thread-safe.
class PoisonRequestDetector
{
public:
    /// \p seed spreads the trials of the gateways over time.
    explicit PoisonRequestDetector(std::uint64_t seed = 1);

    /// Whether a request with \p features may be sent to an upstream. True for a blocked request if it is due as a trial.
    [[nodiscard]] bool admit(std::span<const RequestFeature> features, Micros now);
    /// Whether a request with \p features is refused apart from trials.
    [[nodiscard]] bool isBlocked(std::span<const RequestFeature> features) const;
    /// True while nothing is suspected; the caller need not compute features for admit() then.
    [[nodiscard]] bool isEmpty() const;

    /// The connection to \p process on which a request was sent at \p sentAt broke while the process may have been running it.
    void noteConnectionLost(Incarnation process, std::span<const RequestFeature> features, Micros sentAt, Micros now);
    void noteProcessCrashed(Incarnation process, Micros now);
    void noteSound(std::span<const RequestFeature> features, Micros now);

    /// The features that block every request that has them, of those that were in flight at a crash seen by this process.
    [[nodiscard]] std::vector<RequestFeature> ownBlockedFeatures() const;
    /// The crashes of \p feature.
    [[nodiscard]] CrashEvidence evidenceOf(RequestFeature feature, Micros now) const;
    /// What this process has learned itself since the last call, for the other gateways.
    [[nodiscard]] CrashEvidence takeNews(Micros now);
    /// All that is known, for a peer that has just connected.
    [[nodiscard]] CrashEvidence all(Micros now) const;
    /// Adds evidence from other gateways.
    void merge(const CrashEvidence &evidence, Micros now);
    /// The number of gateways that share the evidence.
    void setGatewayCount(std::uint32_t count);
    /// Removes expired entries. Call every few seconds.
    void expire(Micros now);

private:
    /// How long after a lost connection the end of its process counts as a crash caused by the request. The list shows the end
    /// after three missed reports of 1.2 s, and later while the platform is slow.
    static constexpr Micros CrashConfirmationTimeout = 10 * MicrosPerSecond;
    /// Crashes closer to each other than this count as one, because a fault of the installation may end several upstreams at once, unless the
    /// later request was sent after the earlier crash.
    static constexpr Micros MinCrashSpacing = 250 * MicrosPerMilli;
    static constexpr std::size_t MinCrashes = 2;
    static constexpr std::size_t MaxLostRequestsPerProcess = 128; ///< Somewhat more than the slots of a server.
    /// Time from the last crash to a trial, after two, three and four crashes; it doubles with each further one. The more crashes, the less
    /// likely is an accident, and each trial may cost an upstream.
    static constexpr std::array FirstTrialDelays{ 5 * MicrosPerSecond, 15 * MicrosPerSecond, 30 * MicrosPerSecond };
    static constexpr Micros MaxTrialDelay = 3'600 * MicrosPerSecond;
    /// The trials of this many gateways are spread over one delay. A trial shows its result within half a second.
    static constexpr std::uint32_t GatewaysPerTrialDelay = 6;

    /// A request that was in flight on a connection that broke.
    struct LostRequest {
        std::vector<RequestFeature> features{};
        Micros sentAt = 0;
        Micros lostAt = 0;
    };
    struct PendingProcess {
        std::vector<LostRequest> requests{};
        bool crashed = false; ///< Requests that are reported lost from now on count at once.
        Micros changedAt = 0;
    };

    /// The number of crashes for which \p feature, which is one of \p features, blocks a request with these; 0: it does not.
    [[nodiscard]] std::size_t countAgainst(RequestFeature feature, std::span<const RequestFeature> features) const;
    [[nodiscard]] Micros trialDueAt(RequestFeature feature, std::size_t crashCount) const;
    void recordCrash(Incarnation process, const LostRequest &lost);

    std::uint64_t seed_;
    std::uint32_t gatewayCount_ = 1;
    CrashEvidenceTable evidence_;
    std::unordered_set<RequestFeature> ownSuspects_;               ///< In flight at a crash that this process saw.
    std::unordered_map<Incarnation, PendingProcess> lostRequests_; ///< By the process that may have been running them.
    std::unordered_map<RequestFeature, Micros> lastTrials_;        ///< When this gateway last admitted a trial.
};

} // namespace Carobhall
