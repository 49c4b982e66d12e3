#include "attempt_runner.h"

// Delivery of answers, and the ends of attempts. Index
//   1. Delivery         chunks within credit, outcomes
//   2. Ending           cancels, broken connections, overdue attempts

namespace Carobhall
{

namespace
{

/// Reading from the upstream resumes when no more than this waits to be sent.
constexpr std::uint64_t ResumeReadingCost = AttemptRunner::ReadAheadCost / 2;
constexpr std::size_t ChunkBytes = 16384;
/// The endpoint ends a connection at its own limit; sending pauses well before.
constexpr std::size_t MaxConnectionQueue = std::size_t{ 4 } << 20U;

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
        table_.forget(attempt.id, verdict, attempt.endedAt);
        return;
    }
    pump(attempt);
}

void AttemptRunner::pump(Attempt &attempt)
{
    const ConnectionId connection = attempt.connection;
    if (connection == 0) {
        return;
    }
    Endpoint &endpoint = options_.endpoint;
    if (attempt.head && !attempt.headSent) {
        attempt.headSent = endpoint.send(connection, *attempt.head);
    }
    while (endpoint.queuedBytes(connection) < MaxConnectionQueue) {
        auto chunk = attempt.output.takeChunk(ChunkBytes);
        if (!chunk) {
            break;
        }
        attempt.stalledAt = 0;
        chunk->key = attempt.id;
        if (!endpoint.send(connection, std::move(*chunk))) {
            return; // connectionClosed() follows; the output is kept for a resumption.
        }
    }
    if (attempt.output.allSent()) {
        attempt.stalledAt = 0;
    } else if (attempt.stalledAt == 0) {
        attempt.stalledAt = monotonicNow();
    }
    if (attempt.outcome && !attempt.outcomeSent && attempt.output.allSent()) {
        attempt.outcomeSent = std::visit([&](const auto &message) { return endpoint.send(connection, message); }, *attempt.outcome);
    }
    if (attempt.call != nullptr && attempt.output.unsentCost() <= ResumeReadingCost) {
        attempt.call->resume();
    }
}

void AttemptRunner::credit(const Credit &credit)
{
    if (Attempt *const attempt = table_.find(credit.key); attempt != nullptr) {
        attempt->output.setCredit(credit.total);
        pump(*attempt);
    }
}

// 2. Ending ---------------------------------------------------------------------------------------

void AttemptRunner::abandon(Attempt &attempt)
{
    const Micros now = monotonicNow();
    switch (attempt.state) {
    case AttemptState::Queued:
        queue_.cancel(attempt.id);
        table_.forget(attempt.id, Verdict::NotRun, now);
        return;
    case AttemptState::Following:
        queue_.finish(attempt.id, 1.0, now);
        endAlone(attempt, false);
        table_.forget(attempt.id, Verdict::NotRun, now);
        runNext();
        return;
    case AttemptState::Claiming:
    case AttemptState::Running:
    case AttemptState::Broken:
        if (!attempt.submit.repeatable) {
            // Breaking the call off would leave open whether it ran. It runs to its end, and the claim gets its answer.
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
        queue_.finish(attempt.id, trueCost(attempt), now);
        endAlone(attempt, false);
        attempt.state = AttemptState::Ended;
        attempt.call.reset();
        endPrefill(attempt, false);
        table_.forget(attempt.id, Verdict::MayHaveRun, now);
        runNext();
        return;
    case AttemptState::Ended:
        table_.forget(attempt.id, attempt.outcome ? verdictOf(*attempt.outcome) : Verdict::MayHaveRun, now);
        return;
    }
}

void AttemptRunner::cancel(const Cancel &cancel)
{
    if (Attempt *const attempt = table_.find(cancel.key); attempt != nullptr) {
        abandon(*attempt);
    } else {
        // On a new connection a Cancel may overtake the Submit of the broken one.
        table_.forget(cancel.key, Verdict::NotRun, monotonicNow());
    }
}

void AttemptRunner::connectionClosed(ConnectionId connection)
{
    const Micros now = monotonicNow();
    table_.each([&](Attempt &attempt) {
        if (attempt.connection == connection) {
            attempt.connection = 0;
            attempt.orphanedAt = now;
        }
    });
}

void AttemptRunner::stall(Attempt &attempt)
{
    options_.metrics.count("carobhall_agent_stalled_total");
    End end;
    end.key = attempt.id;
    end.verdict = static_cast<std::uint8_t>(attempt.outcome ? verdictOf(*attempt.outcome) : Verdict::MayHaveRun);
    end.error = static_cast<int>(Errc::Timeout);
    end.message = "the caller takes nothing of the answer";
    logEvent(LogLevel::Warning, "attempt_stalled", { { "request", toString(attempt.id) }, { "account", attempt.submit.account } });
    options_.endpoint.send(attempt.connection, end);
    abandon(attempt);
}

void AttemptRunner::sweep(Attempt &attempt, Micros now)
{
    const Micros keptFor = options_.settings.resumeWindow;
    if (attempt.state == AttemptState::Following && attempt.prefill.followUntil <= now) {
        call(attempt);
        return;
    }
    if (attempt.connection == 0 && attempt.orphanedAt + keptFor < now && !attempt.abandoned) {
        abandon(attempt);
        return;
    }
    if (attempt.outcomeSent && attempt.endedAt + keptFor < now) {
        abandon(attempt);
        return;
    }
    pump(attempt);
    if (attempt.connection != 0 && attempt.stalledAt != 0 && attempt.stalledAt + options_.stallLimit < now) {
        stall(attempt);
    }
}

} // namespace Carobhall
