#include "attempt_runner.h"
#include "engine_request.h"

// Running of attempts that have left the queue. Index
//   1. Start            suspects, shared prefixes, claims, the upstream call
//   2. Answer           head, output, end of the call
//   3. Crashes          liveness check of the engine, requests in flight at a crash

namespace Carobhall
{

namespace
{

/// A follower waits up to this multiple of the flight's expected remaining time, which is an estimate: a follower that starts
/// shortly before the flight ends would compute the whole prefix again. The flight's first token ends the wait earlier.
constexpr Micros FollowWaitFactor = 2;
/// A longer answer of a claimed call is not stored. Later calls with the same key then get only the verdict.
constexpr std::size_t MaxStoredAnswerBytes = std::size_t{ 256 } << 10U;

} // namespace

// 1. Start ----------------------------------------------------------------------------------------

void AttemptRunner::startQueued()
{
    const Micros now = monotonicNow();
    while (const auto id = queue_.takeExpired(now)) {
        if (Attempt *const attempt = table_.find(*id); attempt != nullptr) {
            refuse(*attempt, Verdict::NotRun, Errc::DeadlineUnreachable, 0, "the deadline passed while the attempt was queued");
        }
    }
    while (const auto id = queue_.startNext(now)) {
        if (Attempt *const attempt = table_.find(*id); attempt != nullptr) {
            startAttempt(*attempt);
        } else {
            queue_.finish(*id, 1.0, now);
        }
    }
}

void AttemptRunner::startAttempt(Attempt &attempt)
{
    const Micros now = monotonicNow();
    attempt.startedAt = now;
    if (auto refused = refusalBySuspicion(attempt.submit)) {
        refuseAfterStart(attempt, static_cast<Errc>(refused->error), std::move(refused->message));
        return;
    }
    if (attempt.submit.exclusive && attempt.submit.fingerprint != 0) {
        if (!suspects_.beginExclusiveRun(attempt.submit.fingerprint, now)) {
            refuseAfterStart(attempt, Errc::Condemned, "the suspected request has already used its single exclusive run");
            return;
        }
        attempt.runsExclusively = true;
        publishSuspects();
    }
    if (const PrefixReuse shared = role_.isModel ? options_.prefixes.findSharedWork(attempt.prefill.samples, now) : PrefixReuse{}; shared.wait > 0) {
        attempt.state = AttemptState::Following;
        attempt.prefill.followedPieces = shared.pieces;
        attempt.prefill.followUntil = std::min(now + FollowWaitFactor * shared.wait, attempt.receivedAt + attempt.submit.timeout);
        options_.metrics.count("carobhall_agent_prefix_waits_total");
        return;
    }
    if (attempt.submit.repeatable || attempt.submit.idempotencyKey.empty()) {
        callUpstream(attempt);
        return;
    }
    attempt.state = AttemptState::Claiming;
    options_.claims.claim(attempt.submit, [this, id = attempt.id](ClaimOutcome outcome) { onClaimOutcome(id, std::move(outcome)); });
}

void AttemptRunner::refuseAfterStart(Attempt &attempt, Errc error, std::string message)
{
    queue_.finish(attempt.id, 1.0, monotonicNow());
    refuse(attempt, Verdict::NotRun, error, 0, std::move(message));
}

void AttemptRunner::onClaimOutcome(const AttemptId &id, ClaimOutcome outcome)
{
    Attempt *const attempt = table_.find(id);
    if (attempt == nullptr || attempt->state != AttemptState::Claiming) {
        return;
    }
    const Micros now = monotonicNow();
    if (std::holds_alternative<ClaimGranted>(outcome)) {
        const bool late = now > attempt->receivedAt + attempt->submit.timeout;
        if (!late && !attempt->abandoned) {
            attempt->claimed = true;
            callUpstream(*attempt);
            return;
        }
        // Nothing has been sent to the upstream, so the key may be claimed again.
        options_.claims.release(attempt->submit);
        outcome = ClaimRefusal{ .verdict = Verdict::NotRun,
                                .error = Errc::DeadlineUnreachable,
                                .message = "the deadline passed before the Idempotency-Key was claimed" };
    }
    queue_.finish(id, 1.0, now);
    if (auto *const answer = std::get_if<StoredAnswer>(&outcome)) {
        replay(*attempt, std::move(*answer));
    } else {
        auto &refused = std::get<ClaimRefusal>(outcome);
        refuse(*attempt, refused.verdict, refused.error, refused.retryAfter, std::move(refused.message));
    }
    startQueued();
}

void AttemptRunner::callUpstream(Attempt &attempt)
{
    const Micros now = monotonicNow();
    attempt.state = AttemptState::Running;
    attempt.calledAt = now;
    attempt.engine = options_.upstream.incarnation();
    if (role_.isModel) {
        attempt.prefill.cachedPieces = options_.prefixes.heldPieces(attempt.prefill.samples);
        attempt.prefill.flight = options_.prefixes.beginFlight(attempt.prefill.samples, attempt.prefill.pieces, now);
        attempt.prefill.backlogPieces = attempt.prefill.pieces - std::min(attempt.prefill.cachedPieces, attempt.prefill.pieces);
        options_.prefixes.backlog().add(attempt.prefill.backlogPieces, now);
    }
    const AttemptId id = attempt.id;
    attempt.call = options_.upstream.makeCall(upstreamRequestFor(attempt.submit, role_.isModel), attempt.submit.path,
                                              {
                                                  .onAnswer = [this, id](const UpstreamAnswer &answer) { onResponseHead(id, answer); },
                                                  .onPiece = [this, id](std::string piece) { onOutput(id, std::move(piece)); },
                                                  .onEnd = [this, id](UpstreamResult result) { onCallEnded(id, std::move(result)); },
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
    end.finalOffset = attempt.output.endOffset();
    end.verdict = static_cast<std::uint8_t>(Verdict::Ran);
    finish(attempt, std::move(end));
}

void AttemptRunner::endPrefill(Attempt &attempt, bool computed)
{
    const std::uint32_t pieces = std::exchange(attempt.prefill.backlogPieces, 0);
    if (pieces > 0) {
        const Micros worked = options_.prefixes.backlog().remove(pieces, monotonicNow());
        if (computed) {
            options_.prefixes.learnPrefillTime(pieces, worked);
        }
    }
    endFlight(attempt, computed);
}

void AttemptRunner::endFlight(Attempt &attempt, bool computed)
{
    const std::uint64_t flight = std::exchange(attempt.prefill.flight, 0);
    if (flight == 0) {
        return;
    }
    options_.prefixes.endFlight(flight);
    const std::vector<PrefixSample> samples = attempt.prefill.samples;
    table_.forEach([&](Attempt &follower) {
        if (follower.state != AttemptState::Following) {
            return;
        }
        const bool prefixIsCached = computed && sharedPieces(samples, follower.prefill.samples) >= follower.prefill.followedPieces;
        if (prefixIsCached || options_.prefixes.findSharedWork(follower.prefill.samples, monotonicNow()).wait == 0) {
            callUpstream(follower);
        }
    });
}

void AttemptRunner::finishExclusiveRun(Attempt &attempt, bool completed)
{
    if (attempt.runsExclusively) {
        attempt.runsExclusively = false;
        suspects_.endExclusiveRun(attempt.submit.fingerprint, completed, monotonicNow());
        publishSuspects();
    }
}

// 2. Answer ---------------------------------------------------------------------------------------

void AttemptRunner::onResponseHead(const AttemptId &id, const UpstreamAnswer &answer)
{
    Attempt *const attempt = table_.find(id);
    if (attempt == nullptr) {
        return;
    }
    attempt->engine = answer.incarnation == 0 ? attempt->engine : answer.incarnation;
    attempt->prefill.cachedPieces = answer.cachedPieces.value_or(attempt->prefill.cachedPieces);
    if (PrefillWork &work = attempt->prefill; work.backlogPieces > 0 && answer.cachedPieces) {
        const std::uint32_t uncached = work.pieces - std::min(work.cachedPieces, work.pieces);
        options_.prefixes.backlog().correct(std::exchange(work.backlogPieces, uncached), uncached);
    }
    queue_.correctCost(id, expectedCost(*attempt, attempt->prefill.cachedPieces));
    Head head;
    head.key = id;
    head.status = answer.status;
    head.contentType = answer.contentType;
    head.cachedPieces = answer.cachedPieces.value_or(0);
    attempt->head = std::move(head);
    sendPending(*attempt);
}

void AttemptRunner::onToken(Attempt &attempt)
{
    PrefillWork &work = attempt.prefill;
    if (work.generatedTokens++ == 0) {
        endPrefill(attempt, true);
    }
}

void AttemptRunner::onOutput(const AttemptId &id, std::string piece)
{
    Attempt *const attempt = table_.find(id);
    if (attempt == nullptr) {
        return;
    }
    if (role_.isModel) {
        onToken(*attempt);
    }
    if (attempt->claimed && attempt->claimedAnswerBody.size() <= MaxStoredAnswerBytes) {
        attempt->claimedAnswerBody += piece;
    }
    if (attempt->abandoned) {
        return;
    }
    attempt->output.append(std::move(piece));
    sendPending(*attempt);
    if (attempt->call != nullptr && attempt->output.unsentCost() > ReadAheadHighWatermark) {
        attempt->call->pause();
    }
}

void AttemptRunner::onCallEnded(const AttemptId &id, UpstreamResult result)
{
    Attempt *const attempt = table_.find(id);
    if (attempt == nullptr) {
        return;
    }
    attempt->call.reset();
    endPrefill(*attempt, false);
    const bool mayBeCrash = role_.isModel && !result.complete && result.verdict == Verdict::MayHaveRun && attempt->engine != 0;
    if (!mayBeCrash) {
        finishCall(*attempt, std::move(result));
        return;
    }
    // The outcome is held back until the engine has been checked: a crash must be recorded before a retry can run.
    attempt->state = AttemptState::Broken;
    attempt->brokenResult = std::move(result);
    brokenCalls_.emplace_back(attempt->engine, attempt->submit.fingerprint);
    checkEngine(attempt->engine);
}

void AttemptRunner::finishCall(Attempt &attempt, UpstreamResult result)
{
    queue_.finish(attempt.id, actualCost(attempt), monotonicNow());
    finishExclusiveRun(attempt, result.complete);
    if (role_.isModel && result.complete) {
        answerTokens_.add(static_cast<double>(attempt.prefill.generatedTokens));
    }
    const bool notRun = result.verdict == Verdict::NotRun;
    if (notRun) {
        options_.upstream.noteUnreachable();
    }
    if (attempt.claimed && notRun) {
        options_.claims.release(attempt.submit);
    } else if (attempt.claimed) {
        std::optional<StoredAnswer> stored;
        if (result.complete && attempt.head && attempt.claimedAnswerBody.size() <= MaxStoredAnswerBytes) {
            stored = StoredAnswer{ .status = attempt.head->status, .contentType = attempt.head->contentType, .body = std::move(attempt.claimedAnswerBody) };
        }
        options_.claims.finish(attempt.submit, std::move(stored));
    }
    if (!attempt.head) {
        refuse(attempt, result.verdict, Errc::UpstreamFailed, 0, std::move(result.message));
    } else {
        End end;
        end.finalOffset = attempt.output.endOffset();
        end.complete = result.complete;
        end.verdict = static_cast<std::uint8_t>(result.verdict);
        end.error = result.error.value();
        end.finishReason = std::move(result.finishReason);
        end.message = std::move(result.message);
        finish(attempt, std::move(end));
    }
    startQueued();
}

// 3. Crashes --------------------------------------------------------------------------------------

void AttemptRunner::checkEngine(Incarnation engine)
{
    if (!enginesUnderCheck_.insert(engine).second) {
        return;
    }
    options_.upstream.check(engine, [this, engine](EngineCheck result) {
        enginesUnderCheck_.erase(engine);
        if (result == EngineCheck::Gone) {
            onEngineCrash(engine);
        }
        finishBrokenCalls(engine);
    });
}

void AttemptRunner::onEngineCrash(Incarnation engine)
{
    std::vector<std::uint64_t> inFlight;
    const auto addFingerprint = [&](std::uint64_t fingerprint) {
        if (fingerprint != 0) {
            inFlight.push_back(fingerprint);
        }
    };
    for (const auto &[brokenEngine, fingerprint] : brokenCalls_) {
        if (brokenEngine == engine) {
            addFingerprint(fingerprint);
        }
    }
    table_.forEachConst([&](const Attempt &attempt) {
        if (attempt.call != nullptr && attempt.call->answeredBy() == engine) {
            addFingerprint(attempt.submit.fingerprint);
        }
    });
    options_.metrics.count("carobhall_agent_engine_crashes_total");
    logEvent(LogLevel::Warning, "engine_crash", { { "incarnation", toHex(engine) }, { "in_flight", inFlight.size() } });
    suspects_.recordCrash(engine, inFlight, monotonicNow());
    options_.prefixes.setIndexCurrent(false);
    publishSuspects();
}

void AttemptRunner::finishBrokenCalls(Incarnation engine)
{
    std::erase_if(brokenCalls_, [&](const auto &entry) { return entry.first == engine; });
    table_.forEach([&](Attempt &attempt) {
        if (attempt.state == AttemptState::Broken && attempt.engine == engine && attempt.brokenResult) {
            UpstreamResult result = std::move(*attempt.brokenResult);
            attempt.brokenResult.reset();
            finishCall(attempt, std::move(result));
        }
    });
}

void AttemptRunner::upstreamReplaced(Incarnation current)
{
    table_.forEach([&](Attempt &attempt) {
        if (attempt.call != nullptr && attempt.call->answeredBy() != 0 && attempt.call->answeredBy() != current) {
            attempt.call->fail("the engine has restarted");
        }
    });
}

void AttemptRunner::mergeSuspect(const SuspectFact &fact)
{
    suspects_.merge(fact, monotonicNow());
}

void AttemptRunner::publishSuspects()
{
    for (const SuspectFact &fact : suspects_.takeChanged(monotonicNow())) {
        if (options_.onSuspect) {
            options_.onSuspect(fact);
        }
    }
}

} // namespace Carobhall
