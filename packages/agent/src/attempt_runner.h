#pragma once

// Receives attempts from entry processes, runs them on the upstream and sends the answers back.

// Must be included first. Otherwise GCC warns that the enumerator PolicyKind::Random shadows the type Random of
// carobhall/admission.h.
#include "prefix_state.h"

#include "attempt_queue.h"
#include "attempt_table.h"
#include "idempotency_claims.h"
#include "upstream_client.h"

#include "carobhall/suspects.h"

#include <set>

namespace Carobhall
{

/// All referenced objects must outlive the runner.
struct AttemptRunnerOptions {
    const AgentSettings &settings;
    Incarnation incarnation = 0;
    DocumentHolder &document;
    Endpoint &endpoint;
    UpstreamClient &upstream;
    IdempotencyClaims &claims;
    PrefixState &prefixes;
    Metrics &metrics;
    Micros stallLimit = 30 * MicrosPerSecond;           ///< Attempts whose receiver accepts no output for this long are cancelled.
    std::function<void(const SuspectFact &)> onSuspect; ///< Publishes a changed fact to other processes; may be empty.
};

class AttemptRunner
{
public:
    /// Reading from the upstream pauses when the unsent output of an attempt exceeds this creditCost(), in bytes.
    static constexpr std::uint64_t ReadAheadHighWatermark = 65536;

    explicit AttemptRunner(AttemptRunnerOptions options);

    /// Answers a probe with the state of the upstream, the expected wait and the cached part of the prompt.
    [[nodiscard]] ProbeReply probe(const Probe &probe);
    /// Queues a new attempt, or resumes the output of a known one on \p connection.
    void submit(ConnectionId connection, Submit submit);
    /// Raises the credit of an attempt and sends the output that it allows.
    void credit(const Credit &credit);
    /// Cancels an attempt. If it has not arrived yet, its Submit will be refused.
    void cancel(const Cancel &cancel);
    /// Keeps the attempts of \p connection for the resume window, so that the entry process can resume them.
    void connectionClosed(ConnectionId connection);
    /// The engine has restarted as incarnation \p current. Calls that an earlier incarnation was answering fail.
    void upstreamReplaced(Incarnation current);
    /// Merges a fact from another process about a request that was in flight at a crash.
    void mergeSuspect(const SuspectFact &fact);
    /// Sends pending output and ends overdue attempts. Call it every 10 ms.
    void tick(Micros now);

    /// Refuses new attempts from now on.
    void beginLeaving();
    /// Whether no attempt is queued, running or awaiting delivery.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] Json::Value dump() const;

private:
    /// The reason to refuse a new attempt; nothing when it may be queued.
    [[nodiscard]] std::optional<Refused> refusalFor(const Submit &submit) const;
    [[nodiscard]] std::optional<Refused> refusalBySuspicion(const Submit &submit) const;
    /// Computes the prefix hashes of the prompt of \p attempt.
    void hashPrompt(Attempt &attempt);
    /// Costs are in tokens, uncached prefill plus generation; a call of a plain service costs 1.
    [[nodiscard]] double expectedCost(const Attempt &attempt, std::uint32_t cachedPieces) const;
    [[nodiscard]] double actualCost(const Attempt &attempt) const;
    /// The entry process has reconnected and asks for the output from its resumeOffset on.
    void onRepeatedSubmit(Attempt &attempt, ConnectionId connection, const Submit &submit);
    void refuse(Attempt &attempt, Verdict verdict, Errc error, Micros retryAfter, std::string message);
    /// Refuses queued attempts whose deadline has passed, and starts as many others as there are free slots.
    void startQueued();
    void startAttempt(Attempt &attempt);
    /// Refuses an attempt that has a slot but no upstream call yet.
    void refuseAfterStart(Attempt &attempt, Errc error, std::string message);
    void onClaimOutcome(const AttemptId &id, ClaimOutcome outcome);
    void callUpstream(Attempt &attempt);
    /// Answers an attempt with the stored answer of an earlier call with the same Idempotency-Key.
    void replay(Attempt &attempt, StoredAnswer answer);
    /// Removes the attempt from the prefill backlog and ends its flight. \p computed: the first token has arrived.
    void endPrefill(Attempt &attempt, bool computed);
    /// Ends the flight of the attempt and starts the attempts that need not wait for it any longer.
    void endFlight(Attempt &attempt, bool computed);
    void finishExclusiveRun(Attempt &attempt, bool completed);
    void onResponseHead(const AttemptId &id, const UpstreamAnswer &answer);
    void onOutput(const AttemptId &id, std::string piece);
    void onToken(Attempt &attempt);
    void onCallEnded(const AttemptId &id, UpstreamResult result);
    /// Frees the slot, ends the claim and sends the outcome of an attempt whose upstream call has ended.
    void finishCall(Attempt &attempt, UpstreamResult result);
    /// Checks whether the engine is alive, unless a check is already in progress; then finishes its failed calls.
    void checkEngine(Incarnation engine);
    /// Marks the requests that were in flight at the crash as suspected.
    void onEngineCrash(Incarnation engine);
    void finishBrokenCalls(Incarnation engine);
    void publishSuspects();
    void finish(Attempt &attempt, Outcome outcome);
    /// Sends as much of the head, output and outcome as credit and the connection allow.
    void sendPending(Attempt &attempt);
    /// Ends an attempt that no receiver waits for. A non-repeatable call continues to its end.
    void abandon(Attempt &attempt);
    /// Ends an attempt whose receiver has accepted no output for stallLimit.
    void endStalled(Attempt &attempt);
    /// Periodic work for one attempt: applies the timeouts and sends pending output.
    void sweep(Attempt &attempt, Micros now);

    AttemptRunnerOptions options_;
    AttemptTable table_;
    UpstreamRole role_;
    AttemptQueue queue_;
    LearnedValue answerTokens_; ///< Expected length of an answer whose request sets no token limit.
    Suspects suspects_;
    Micros suspectsExpireAt_ = 0;
    std::vector<std::pair<Incarnation, std::uint64_t>> brokenCalls_; ///< Engine and fingerprint of failed calls whose engine is being checked.
    std::set<Incarnation> enginesUnderCheck_;                        ///< Engines with a liveness check in progress.
    std::vector<PrefixHash> hashes_;                                 ///< Scratch buffer of hashPrompt(); a member to reuse its memory.
    bool leaving_ = false;
};

} // namespace Carobhall
