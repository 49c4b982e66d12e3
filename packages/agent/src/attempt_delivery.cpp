#include "attempt_runner.h"

// Delivery of answers, and early ends of attempts. Index
//   1. Delivery         chunks within credit, outcomes
//   2. Ending           cancellation, lost connections, stalled and overdue attempts

namespace Carobhall
{

namespace
{

/// Reading from the upstream resumes when the unsent output is at most this creditCost(), in bytes.
constexpr std::uint64_t ReadAheadLowWatermark = AttemptRunner::ReadAheadHighWatermark / 2;
constexpr std::size_t ChunkBytes = 16384;
/// Sending to a connection pauses at this length of its send queue. It must be well below the limit at which the endpoint
/// closes the connection.
constexpr std::size_t MaxConnectionQueueBytes = std::size_t{ 4 } << 20U;

Verdict verdictOf(const Outcome &outcome)
{
    return std::visit([](const auto &message) { return static_cast<Verdict>(message.verdict); }, outcome);
}

Errc errorOf(const Outcome &outcome)
{
    return std::visit([](const auto &message) { return static_cast<Errc>(message.error); }, outcome);
}

} // namespace

// 1. Delivery -------------------------------------------------------------------------------------

void AttemptRunner::finish(Attempt &attempt, Outcome outcome)
{
    std::visit([&](auto &message) { message.key = attempt.id; }, outcome);
    attempt.state = AttemptState::Ended;
    attempt.endedAt = monotonicNow();
    attempt.submit.body.clear();
    attempt.outcome = std::move(outcome);
    const Verdict verdict = verdictOf(*attempt.outcome);
    const Errc error = errorOf(*attempt.outcome);
    const std::string errorName = error == Errc{} ? std::string("none") : std::string(nameOf(error));
    options_.metrics.count("carobhall_agent_attempts_total", "verdict=\"" + std::string(nameOf(verdict)) + "\",error=\"" + errorName + "\"");
    const Micros waitedUntil = attempt.startedAt == 0 ? attempt.endedAt : attempt.startedAt;
    logEvent(LogLevel::Info, "attempt_end",
             { { "request", toString(attempt.id) },
               { "account", attempt.submit.account },
               { "upstream", options_.settings.upstream },
               { "verdict", verdict },
               { "error", errorName },
               { "waited_us", waitedUntil - attempt.receivedAt },
               { "ran_us", attempt.endedAt - waitedUntil },
               { "offset", attempt.output.endOffset() } });
    if (attempt.abandoned) {
        table_.remove(attempt.id, verdict, attempt.endedAt);
        return;
    }
    sendPending(attempt);
}

void AttemptRunner::sendPending(Attempt &attempt)
{
    const ConnectionId connection = attempt.connection;
    if (connection == 0) {
        return;
    }
    Endpoint &endpoint = options_.endpoint;
    if (attempt.head && !attempt.headSent) {
        attempt.headSent = endpoint.send(connection, *attempt.head);
    }
    while (endpoint.queuedBytes(connection) < MaxConnectionQueueBytes) {
        auto chunk = attempt.output.takeChunk(ChunkBytes);
        if (!chunk) {
            break;
        }
        attempt.stalledSince = 0;
        chunk->key = attempt.id;
        if (!endpoint.send(connection, std::move(*chunk))) {
            return; // connectionClosed() follows. The output is kept, so that the entry process can resume the attempt.
        }
    }
    if (attempt.output.allSent()) {
        attempt.stalledSince = 0;
    } else if (attempt.stalledSince == 0) {
        attempt.stalledSince = monotonicNow();
    }
    if (attempt.outcome && !attempt.outcomeSent && attempt.output.allSent()) {
        attempt.outcomeSent = std::visit([&](const auto &message) { return endpoint.send(connection, message); }, *attempt.outcome);
    }
    if (attempt.call != nullptr && attempt.output.unsentCost() <= ReadAheadLowWatermark) {
        attempt.call->resume();
    }
}

void AttemptRunner::credit(const Credit &credit)
{
    if (Attempt *const attempt = table_.find(credit.key); attempt != nullptr) {
        attempt->output.setCredit(credit.total);
        sendPending(*attempt);
    }
}

// 2. Ending ---------------------------------------------------------------------------------------

void AttemptRunner::abandon(Attempt &attempt)
{
    const Micros now = monotonicNow();
    switch (attempt.state) {
    case AttemptState::Queued:
        queue_.cancel(attempt.id);
        table_.remove(attempt.id, Verdict::NotRun, now);
        return;
    case AttemptState::Following:
        queue_.finish(attempt.id, 1.0, now);
        finishExclusiveRun(attempt, false);
        table_.remove(attempt.id, Verdict::NotRun, now);
        startQueued();
        return;
    case AttemptState::Claiming:
    case AttemptState::Running:
    case AttemptState::Broken:
        if (!attempt.submit.repeatable) {
            // Aborting the call would leave its outcome unknown. It continues to its end, and its answer is stored in the claim.
            attempt.abandoned = true;
            attempt.output.clear();
            if (attempt.call != nullptr) {
                attempt.call->resume();
            }
            return;
        }
        if (role_.isModel) {
            options_.upstream.cancelAtEngine(toString(attempt.id));
        }
        options_.metrics.count("carobhall_agent_cancelled_total");
        queue_.finish(attempt.id, actualCost(attempt), now);
        finishExclusiveRun(attempt, false);
        attempt.state = AttemptState::Ended;
        attempt.call.reset();
        endPrefill(attempt, false);
        table_.remove(attempt.id, Verdict::MayHaveRun, now);
        startQueued();
        return;
    case AttemptState::Ended:
        table_.remove(attempt.id, attempt.outcome ? verdictOf(*attempt.outcome) : Verdict::MayHaveRun, now);
        return;
    }
}

void AttemptRunner::cancel(const Cancel &cancel)
{
    if (Attempt *const attempt = table_.find(cancel.key); attempt != nullptr) {
        abandon(*attempt);
    } else {
        // A Cancel on a new connection may arrive before the Submit that was sent on the lost connection.
        table_.remove(cancel.key, Verdict::NotRun, monotonicNow());
    }
}

void AttemptRunner::connectionClosed(ConnectionId connection)
{
    const Micros now = monotonicNow();
    table_.forEach([&](Attempt &attempt) {
        if (attempt.connection == connection) {
            attempt.connection = 0;
            attempt.disconnectedAt = now;
        }
    });
}

void AttemptRunner::endStalled(Attempt &attempt)
{
    options_.metrics.count("carobhall_agent_stalled_total");
    End end;
    end.key = attempt.id;
    end.verdict = static_cast<std::uint8_t>(attempt.outcome ? verdictOf(*attempt.outcome) : Verdict::MayHaveRun);
    end.error = static_cast<int>(Errc::Timeout);
    end.message = "the receiver accepted no output within the stall limit";
    logEvent(LogLevel::Warning, "attempt_stalled", { { "request", toString(attempt.id) }, { "account", attempt.submit.account } });
    options_.endpoint.send(attempt.connection, end);
    abandon(attempt);
}

void AttemptRunner::sweep(Attempt &attempt, Micros now)
{
    const Micros retention = options_.settings.resumeWindow;
    if (attempt.state == AttemptState::Following && attempt.prefill.followUntil <= now) {
        callUpstream(attempt);
        return;
    }
    if (attempt.connection == 0 && attempt.disconnectedAt + retention < now && !attempt.abandoned) {
        abandon(attempt);
        return;
    }
    if (attempt.outcomeSent && attempt.endedAt + retention < now) {
        abandon(attempt);
        return;
    }
    sendPending(attempt);
    if (attempt.connection != 0 && attempt.stalledSince != 0 && attempt.stalledSince + options_.stallLimit < now) {
        endStalled(attempt);
    }
}

} // namespace Carobhall
