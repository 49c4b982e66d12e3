#pragma once

// Takes attempts from entry processes, runs them on the upstream and sends the answers back.

// First: GCC takes the enumerator PolicyKind::Random for a shadow of the type Random in carobhall/admission.h otherwise.
#include "prefix_state.h"

#include "attempt_queue.h"
#include "attempt_table.h"
#include "claim_step.h"
#include "upstream_client.h"

#include "carobhall/suspects.h"

#include <set>

namespace Carobhall
{

/// Uses everything in the options by reference: it must outlive the runner.
struct AttemptRunnerOptions {
    const AgentSettings &settings;
    Incarnation incarnation = 0;
    DocumentHolder &document;
    Endpoint &endpoint;
    UpstreamClient &upstream;
    ClaimStep &claims;
    PrefixState &prefixes;
    Metrics &metrics;
    Micros stallLimit = 30 * MicrosPerSecond;           ///< An attempt of which nothing is taken this long is cancelled.
    std::function<void(const SuspectFact &)> onSuspect; ///< To be told to other processes; may be empty.
};

class AttemptRunner
{
public:
    /// Reading from the upstream pauses while this much waits to be sent.
    static constexpr std::uint64_t ReadAheadCost = 65536;

    explicit AttemptRunner(AttemptRunnerOptions options);

    [[nodiscard]] ProbeReply probe(const Probe &probe);
    void submit(ConnectionId connection, Submit submit);
    void credit(const Credit &credit);
    void cancel(const Cancel &cancel);
    void connectionClosed(ConnectionId connection);
    /// The engine started anew: calls that the former one answers are lost.
    void upstreamReplaced(Incarnation now);
    /// Another process knows of a request that was in flight at a crash.
    void mergeSuspect(const SuspectFact &fact);
    /// Sends what waits, ends what is overdue. Call it every 10 ms.
    void tick(Micros now);

    /// Refuses new work from now on.
    void beginLeaving();
    /// Nothing waits, runs or is undelivered.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] Json::Value dump() const;

private:
    [[nodiscard]] std::optional<Refused> refusalFor(const Submit &submit) const;
    [[nodiscard]] std::optional<Refused> refusalBySuspicion(const Submit &submit) const;
    void hashPrompt(Attempt &attempt);
    [[nodiscard]] double expectedCost(const Attempt &attempt, std::uint32_t cachedPieces) const;
    [[nodiscard]] double trueCost(const Attempt &attempt) const;
    void repeat(Attempt &attempt, ConnectionId connection, const Submit &submit);
    void refuse(Attempt &attempt, Verdict verdict, Errc error, Micros retryAfter, std::string message);
    void runNext();
    void begin(Attempt &attempt);
    void refuseStarted(Attempt &attempt, Errc error, std::string message);
    void claimed(const AttemptId &id, ClaimOutcome outcome);
    void call(Attempt &attempt);
    void replay(Attempt &attempt, StoredAnswer answer);
    void endPrefill(Attempt &attempt, bool computed);
    void endFlight(Attempt &attempt, bool computed);
    void endAlone(Attempt &attempt, bool completed);
    void answered(const AttemptId &id, const UpstreamAnswer &answer);
    void received(const AttemptId &id, std::string piece);
    void noteToken(Attempt &attempt);
    void callEnded(const AttemptId &id, UpstreamResult result);
    void settle(Attempt &attempt, UpstreamResult result);
    void checkEngine(Incarnation engine);
    void noteCrash(Incarnation engine);
    void settleBroken(Incarnation engine);
    void publishSuspects();
    void finish(Attempt &attempt, Outcome outcome);
    void pump(Attempt &attempt);
    void abandon(Attempt &attempt);
    void stall(Attempt &attempt);
    void sweep(Attempt &attempt, Micros now);

    AttemptRunnerOptions options_;
    AttemptTable table_;
    UpstreamRole role_;
    AttemptQueue queue_;
    LearnedValue answerTokens_; ///< Of an answer without a stated limit.
    Suspects suspects_;
    Micros suspectsExpireAt_ = 0;
    std::vector<std::pair<Incarnation, std::uint64_t>> inFlightAtBreak_; ///< Engine and fingerprint of calls that broke off.
    std::set<Incarnation> checked_;                                      ///< Engines that are being asked whether they are there.
    std::vector<PrefixHash> hashes_;                                     ///< Of one prompt; kept for its memory.
    bool leaving_ = false;
};

} // namespace Carobhall
