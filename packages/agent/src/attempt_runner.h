#pragma once

// Takes attempts from entry processes, runs them on the upstream and sends the answers back.

#include "admission.h"
#include "attempt_table.h"
#include "claims.h"
#include "upstream_client.h"

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
    Metrics &metrics;
};

class AttemptRunner
{
public:
    explicit AttemptRunner(AttemptRunnerOptions options);

    [[nodiscard]] ProbeReply probe(const Probe &probe) const;
    void submit(ConnectionId connection, Submit submit);
    void credit(const Credit &credit);
    void cancel(const Cancel &cancel);
    void connectionClosed(ConnectionId connection);
    /// The engine started anew: calls that the former one answers are lost.
    void upstreamReplaced(Incarnation now);
    /// Sends what waits, ends what is overdue. Call it every few tens of milliseconds.
    void tick(Micros now);

    /// Refuses new work from now on.
    void beginLeaving();
    /// Nothing waits, runs or is undelivered.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] Json::Value dump() const;

private:
    [[nodiscard]] std::optional<Refused> refusalFor(const Submit &submit) const;
    void repeat(Attempt &attempt, ConnectionId connection, const Submit &submit);
    void refuse(Attempt &attempt, Verdict verdict, Errc error, Micros retryAfter, std::string message);
    void runNext();
    void begin(Attempt &attempt);
    void claimed(const AttemptId &id, ClaimOutcome outcome);
    void call(Attempt &attempt);
    void replay(Attempt &attempt, StoredAnswer answer);
    void answered(const AttemptId &id, const UpstreamAnswer &answer);
    void received(const AttemptId &id, std::string piece);
    void callEnded(const AttemptId &id, UpstreamResult result);
    void finish(Attempt &attempt, Outcome outcome);
    void pump(Attempt &attempt);
    void abandon(Attempt &attempt);
    void sweep(Attempt &attempt, Micros now);

    AttemptRunnerOptions options_;
    AttemptTable table_;
    FifoQueue queue_;
    UpstreamRole role_;
    bool leaving_ = false;
};

} // namespace Carobhall
