#include "attempt_runner.h"
#include "engine_request.h"

// Index
//   1. Admission        probes, submits, repeats, refusals
//   2. Running          claims, calls, answers
//   3. Delivery         chunks within credit, outcomes
//   4. Ending           cancels, broken connections, overdue attempts

namespace Carobhall
{

namespace
{

/// Reading from the upstream pauses while this much waits to be sent.
constexpr std::uint64_t ReadAheadCost = 65536;
constexpr std::size_t ChunkBytes = 16384;
/// The endpoint ends a connection at its own limit; sending pauses well before.
constexpr std::size_t MaxConnectionQueue = std::size_t{ 4 } << 20U;
/// A longer answer of a claimed call is not kept; its repeats get the verdict without it.
constexpr std::size_t MaxKeptAnswer = std::size_t{ 256 } << 10U;

Verdict verdictOf(const Outcome &outcome)
{
    return std::visit([](const auto &message) { return static_cast<Verdict>(message.verdict); }, outcome);
}

Errc errorOf(const Outcome &outcome)
{
    return std::visit([](const auto &message) { return static_cast<Errc>(message.error); }, outcome);
}

} // namespace

// 1. Admission ------------------------------------------------------------------------------------

AttemptRunner::AttemptRunner(AttemptRunnerOptions options)
    : options_(options)
{
    const auto applyRole = [this](const VersionedDocument &document) {
        if (auto role = findUpstream(document.document, options_.settings.upstream)) {
            role_ = std::move(*role);
            queue_.setSlots(role_.slots);
        }
    };
    applyRole(*options_.document.current());
    options_.document.onReplaced(applyRole);
}

ProbeReply AttemptRunner::probe(const Probe &probe) const
{
    ProbeReply reply;
    reply.id = probe.id;
    reply.agent = options_.incarnation;
    reply.upstream = options_.upstream.incarnation();
    reply.expectedWait = queue_.expectedWait(probe.rank, monotonicNow());
    reply.configVersion = options_.document.current()->version;
    reply.weightsVersion = role_.weightsVersion;
    UpstreamState state = UpstreamState::Accepting;
    if (leaving_) {
        state = UpstreamState::Leaving;
    } else if (options_.upstream.isDown()) {
        state = UpstreamState::Down;
    } else if (probe.route != role_.route || (!probe.weightsVersion.empty() && probe.weightsVersion != role_.weightsVersion)) {
        state = UpstreamState::WrongVersion;
    }
    reply.state = static_cast<std::uint8_t>(state);
    return reply;
}

std::optional<Refused> AttemptRunner::refusalFor(const Submit &submit) const
{
    const auto refusal = [](Errc error, std::string message) {
        Refused refused;
        refused.verdict = static_cast<std::uint8_t>(Verdict::NotRun);
        refused.error = static_cast<int>(error);
        refused.message = std::move(message);
        return refused;
    };
    if (submit.agent != 0 && submit.agent != options_.incarnation) {
        return refusal(Errc::IncarnationMismatch, "another agent was meant");
    }
    if (submit.upstream != 0 && submit.upstream != options_.upstream.incarnation()) {
        return refusal(Errc::IncarnationMismatch, "the upstream has started anew");
    }
    if (leaving_) {
        return refusal(Errc::Leaving, "the agent is shutting down");
    }
    if (submit.route != role_.route || (!submit.weightsVersion.empty() && submit.weightsVersion != role_.weightsVersion)) {
        return refusal(Errc::NoUpstream, "the upstream does not serve this route in this version");
    }
    return std::nullopt;
}

void AttemptRunner::submit(ConnectionId connection, Submit submit)
{
    const AttemptId id = submit.key;
    if (Attempt *const known = table_.find(id); known != nullptr) {
        repeat(*known, connection, submit);
        return;
    }
    const Micros now = monotonicNow();
    const OffsetUnit unit = role_.isModel ? OffsetUnit::Tokens : OffsetUnit::Bytes;
    OutputBuffer output(unit, role_.isModel ? submit.resumeOffset : 0, submit.creditTotal, submit.window);
    auto made = std::make_unique<Attempt>(Attempt{
        .id = id,
        .submit = std::move(submit),
        .output = std::move(output),
        .connection = connection,
        .lastConnection = connection,
        .receivedAt = now,
        .call = nullptr,
        .head = {},
        .outcome = {},
        .answerBody = {},
    });
    if (const auto verdict = table_.forgotten(id)) {
        Refused refused;
        refused.key = id;
        refused.verdict = static_cast<std::uint8_t>(*verdict);
        refused.error = static_cast<int>(Errc::StreamBroken);
        refused.message = "the attempt is over and its output is no longer kept";
        options_.endpoint.send(connection, refused);
        options_.metrics.count("carobhall_agent_repeats_total", "result=\"forgotten\"");
        return;
    }
    Attempt &attempt = table_.add(std::move(made));
    if (auto refused = refusalFor(attempt.submit)) {
        refuse(attempt, Verdict::NotRun, static_cast<Errc>(refused->error), 0, std::move(refused->message));
        return;
    }
    QueueItem item{
        .id = id,
        .account = attempt.submit.account,
        .rank = attempt.submit.rank,
        .startBy = now + attempt.submit.timeout,
        .cost = std::uint64_t{ attempt.submit.promptPieces } + attempt.submit.maxTokens,
    };
    if (const auto refusal = queue_.push(std::move(item), now)) {
        refuse(attempt, Verdict::NotRun, refusal->error, refusal->retryAfter, "the queue is longer than the deadline allows");
        return;
    }
    runNext();
}

void AttemptRunner::repeat(Attempt &attempt, ConnectionId connection, const Submit &submit)
{
    // The newest connection counts: an older one may still hold an unread copy of the Submit.
    if (connection < attempt.lastConnection) {
        return;
    }
    attempt.connection = connection;
    attempt.lastConnection = connection;
    attempt.orphanedAt = 0;
    attempt.headSent = false;
    attempt.outcomeSent = false;
    options_.metrics.count("carobhall_agent_repeats_total", "result=\"resumed\"");
    logEvent(LogLevel::Info, "attempt_resumed", { { "request", toString(attempt.id) }, { "offset", submit.resumeOffset } });
    if (!attempt.output.rewind(submit.resumeOffset, submit.creditTotal)) {
        End end;
        end.key = attempt.id;
        end.verdict = static_cast<std::uint8_t>(Verdict::MayHaveRun);
        end.error = static_cast<int>(Errc::StreamBroken);
        end.message = "the output from this offset is no longer kept";
        options_.endpoint.send(connection, end);
        abandon(attempt);
        return;
    }
    pump(attempt);
}

void AttemptRunner::refuse(Attempt &attempt, Verdict verdict, Errc error, Micros retryAfter, std::string message)
{
    Refused refused;
    refused.verdict = static_cast<std::uint8_t>(verdict);
    refused.error = static_cast<int>(error);
    refused.retryAfter = retryAfter;
    refused.message = std::move(message);
    finish(attempt, std::move(refused));
}

// 2. Running --------------------------------------------------------------------------------------

void AttemptRunner::runNext()
{
    while (const auto item = queue_.pop(monotonicNow())) {
        if (Attempt *const attempt = table_.find(item->id); attempt != nullptr) {
            begin(*attempt);
        }
    }
}

void AttemptRunner::begin(Attempt &attempt)
{
    attempt.startedAt = monotonicNow();
    if (attempt.submit.repeatable || attempt.submit.idempotencyKey.empty()) {
        call(attempt);
        return;
    }
    attempt.state = AttemptState::Claiming;
    options_.claims.claim(attempt.submit, [this, id = attempt.id](ClaimOutcome outcome) { claimed(id, std::move(outcome)); });
}

void AttemptRunner::claimed(const AttemptId &id, ClaimOutcome outcome)
{
    Attempt *const attempt = table_.find(id);
    if (attempt == nullptr || attempt->state != AttemptState::Claiming) {
        return;
    }
    if (std::holds_alternative<ClaimGranted>(outcome)) {
        attempt->claimed = true;
        call(*attempt);
        return;
    }
    queue_.finished(id, monotonicNow() - attempt->startedAt, monotonicNow());
    if (auto *const answer = std::get_if<StoredAnswer>(&outcome)) {
        replay(*attempt, std::move(*answer));
    } else {
        auto &refusal = std::get<ClaimRefusal>(outcome);
        refuse(*attempt, refusal.verdict, refusal.error, 0, std::move(refusal.message));
    }
}

void AttemptRunner::call(Attempt &attempt)
{
    attempt.state = AttemptState::Running;
    const AttemptId id = attempt.id;
    attempt.call = options_.upstream.makeCall(upstreamRequestFor(attempt.submit, role_.isModel), attempt.submit.path,
                                              {
                                                  .onAnswer = [this, id](const UpstreamAnswer &answer) { answered(id, answer); },
                                                  .onPiece = [this, id](std::string piece) { received(id, std::move(piece)); },
                                                  .onEnd = [this, id](UpstreamResult result) { callEnded(id, std::move(result)); },
                                              });
    attempt.call->start();
}

void AttemptRunner::replay(Attempt &attempt, StoredAnswer answer)
{
    options_.metrics.count("carobhall_agent_claims_replayed_total");
    Head head;
    head.key = attempt.id;
    head.status = answer.status;
    head.contentType = std::move(answer.contentType);
    attempt.head = std::move(head);
    attempt.output.append(std::move(answer.body));
    End end;
    end.complete = true;
    end.verdict = static_cast<std::uint8_t>(Verdict::Ran);
    finish(attempt, std::move(end));
}

void AttemptRunner::answered(const AttemptId &id, const UpstreamAnswer &answer)
{
    Attempt *const attempt = table_.find(id);
    if (attempt == nullptr) {
        return;
    }
    Head head;
    head.key = id;
    head.status = answer.status;
    head.contentType = answer.contentType;
    head.cachedPieces = answer.cachedPieces;
    attempt->head = std::move(head);
    pump(*attempt);
}

void AttemptRunner::received(const AttemptId &id, std::string piece)
{
    Attempt *const attempt = table_.find(id);
    if (attempt == nullptr) {
        return;
    }
    if (attempt->claimed && attempt->answerBody.size() <= MaxKeptAnswer) {
        attempt->answerBody += piece;
    }
    if (attempt->abandoned) {
        return;
    }
    attempt->output.append(std::move(piece));
    pump(*attempt);
    if (attempt->call != nullptr && attempt->output.unsentCost() > ReadAheadCost) {
        attempt->call->pause();
    }
}

void AttemptRunner::callEnded(const AttemptId &id, UpstreamResult result)
{
    Attempt *const attempt = table_.find(id);
    if (attempt == nullptr) {
        return;
    }
    const Micros now = monotonicNow();
    queue_.finished(id, now - attempt->startedAt, now);
    attempt->call.reset();
    const bool notRun = result.verdict == Verdict::NotRun;
    if (notRun) {
        options_.upstream.noteUnreachable();
    }
    if (attempt->claimed && notRun) {
        options_.claims.release(attempt->submit);
    } else if (attempt->claimed) {
        std::optional<StoredAnswer> kept;
        if (result.complete && attempt->head && attempt->answerBody.size() <= MaxKeptAnswer) {
            kept = StoredAnswer{ .status = attempt->head->status, .contentType = attempt->head->contentType, .body = std::move(attempt->answerBody) };
        }
        options_.claims.finish(attempt->submit, std::move(kept));
    }
    if (!attempt->head) {
        refuse(*attempt, result.verdict, Errc::UpstreamFailed, 0, std::move(result.message));
    } else {
        End end;
        end.finalOffset = attempt->output.endOffset();
        end.complete = result.complete;
        end.verdict = static_cast<std::uint8_t>(result.verdict);
        end.error = result.error.value();
        end.finishReason = std::move(result.finishReason);
        end.message = std::move(result.message);
        finish(*attempt, std::move(end));
    }
    runNext();
}

// 3. Delivery -------------------------------------------------------------------------------------

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
        chunk->key = attempt.id;
        if (!endpoint.send(connection, std::move(*chunk))) {
            return; // connectionClosed() follows; the output is kept for a resumption.
        }
    }
    if (attempt.outcome && !attempt.outcomeSent && attempt.output.allSent()) {
        attempt.outcomeSent = std::visit([&](const auto &message) { return endpoint.send(connection, message); }, *attempt.outcome);
    }
    if (attempt.call != nullptr && attempt.output.unsentCost() <= ReadAheadCost / 2) {
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

// 4. Ending ---------------------------------------------------------------------------------------

void AttemptRunner::abandon(Attempt &attempt)
{
    const Micros now = monotonicNow();
    switch (attempt.state) {
    case AttemptState::Queued:
        queue_.remove(attempt.id);
        table_.forget(attempt.id, Verdict::NotRun, now);
        return;
    case AttemptState::Claiming:
    case AttemptState::Running:
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
        queue_.finished(attempt.id, now - attempt.startedAt, now);
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

void AttemptRunner::upstreamReplaced(Incarnation now)
{
    table_.each([&](Attempt &attempt) {
        if (attempt.call != nullptr && attempt.call->answeredBy() != 0 && attempt.call->answeredBy() != now) {
            attempt.call->fail("the engine has started anew");
        }
    });
}

void AttemptRunner::sweep(Attempt &attempt, Micros now)
{
    const Micros keptFor = options_.settings.resumeWindow;
    if (attempt.state == AttemptState::Queued && attempt.receivedAt + attempt.submit.timeout < now) {
        queue_.remove(attempt.id);
        refuse(attempt, Verdict::NotRun, Errc::DeadlineUnreachable, 0, "the deadline passed in the queue");
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
}

void AttemptRunner::tick(Micros now)
{
    table_.each([&](Attempt &attempt) { sweep(attempt, now); });
    table_.dropOldTombstones(now);
    options_.metrics.setGauge("carobhall_agent_queued", {}, static_cast<double>(queue_.size()));
    options_.metrics.setGauge("carobhall_agent_attempts", {}, static_cast<double>(table_.size()));
}

void AttemptRunner::beginLeaving()
{
    leaving_ = true;
}

bool AttemptRunner::isIdle() const
{
    return table_.size() == 0;
}

Json::Value AttemptRunner::dump() const
{
    Json::Value attempts(Json::arrayValue);
    table_.eachConst([&](const Attempt &attempt) {
        Json::Value row(Json::objectValue);
        row["request"] = toString(attempt.id);
        row["account"] = attempt.submit.account;
        row["state"] = std::string(nameOf(attempt.state));
        row["connected"] = attempt.connection != 0;
        row["kept_cost"] = Json::UInt64(attempt.output.keptCost());
        row["offset"] = Json::UInt64(attempt.output.endOffset());
        attempts.append(row);
    });
    Json::Value state(Json::objectValue);
    state["attempts"] = attempts;
    state["queued"] = Json::UInt64(queue_.size());
    state["tombstones"] = Json::UInt64(table_.tombstoneCount());
    state["leaving"] = leaving_;
    state["route"] = role_.route;
    state["weights_version"] = role_.weightsVersion;
    return state;
}

} // namespace Carobhall
