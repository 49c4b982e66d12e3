#include "attempt_runner.h"
#include "engine_request.h"

// Running of attempts that have left the queue. Index
//   1. Start            suspects, shared prefixes, claims, the call
//   2. Answer           head, pieces, end of the call
//   3. Crashes          whether the engine is gone, and who was in flight

namespace Carobhall
{

namespace
{

/// The flight's expected end is an estimate. A follower that starts shortly before the real end computes everything again,
/// and the flight's first token ends the wait in any case.
constexpr Micros FollowSlack = 2;
/// A longer answer of a claimed call is not kept; its repeats get the verdict without it.
constexpr std::size_t MaxKeptAnswer = std::size_t{ 256 } << 10U;

} // namespace

// 1. Start ----------------------------------------------------------------------------------------

void AttemptRunner::runNext()
{
    const Micros now = monotonicNow();
    while (const auto id = queue_.takeExpired(now)) {
        if (Attempt *const attempt = table_.find(*id); attempt != nullptr) {
            refuse(*attempt, Verdict::NotRun, Errc::DeadlineUnreachable, 0, "the deadline passed in the queue");
        }
    }
    while (const auto id = queue_.startNext(now)) {
        if (Attempt *const attempt = table_.find(*id); attempt != nullptr) {
            begin(*attempt);
        } else {
            queue_.finish(*id, 1.0, now);
        }
    }
}

void AttemptRunner::begin(Attempt &attempt)
{
    const Micros now = monotonicNow();
    attempt.startedAt = now;
    if (auto refused = refusalBySuspicion(attempt.submit)) {
        refuseStarted(attempt, static_cast<Errc>(refused->error), std::move(refused->message));
        return;
    }
    if (attempt.submit.exclusive && attempt.submit.fingerprint != 0) {
        if (!suspects_.beginExclusiveRun(attempt.submit.fingerprint, now)) {
            refuseStarted(attempt, Errc::Condemned, "the request has had its one run alone");
            return;
        }
        attempt.runsAlone = true;
        publishSuspects();
    }
    if (const PrefixReuse shared = role_.isModel ? options_.prefixes.offer(attempt.prefill.samples, now) : PrefixReuse{}; shared.wait > 0) {
        attempt.state = AttemptState::Following;
        attempt.prefill.followedPieces = shared.pieces;
        attempt.prefill.followUntil = std::min(now + FollowSlack * shared.wait, attempt.receivedAt + attempt.submit.timeout);
        options_.metrics.count("carobhall_agent_prefix_waits_total");
        return;
    }
    if (attempt.submit.repeatable || attempt.submit.idempotencyKey.empty()) {
        call(attempt);
        return;
    }
    attempt.state = AttemptState::Claiming;
    options_.claims.claim(attempt.submit, [this, id = attempt.id](ClaimOutcome outcome) { claimed(id, std::move(outcome)); });
}

void AttemptRunner::refuseStarted(Attempt &attempt, Errc error, std::string message)
{
    queue_.finish(attempt.id, 1.0, monotonicNow());
    refuse(attempt, Verdict::NotRun, error, 0, std::move(message));
}

void AttemptRunner::claimed(const AttemptId &id, ClaimOutcome outcome)
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
            call(*attempt);
            return;
        }
        // Nothing has been handed to the upstream, so that the key may be used again.
        options_.claims.release(attempt->submit);
        outcome = ClaimRefusal{ .verdict = Verdict::NotRun, .error = Errc::DeadlineUnreachable, .message = "the deadline passed before the claim" };
    }
    queue_.finish(id, 1.0, now);
    if (auto *const answer = std::get_if<StoredAnswer>(&outcome)) {
        replay(*attempt, std::move(*answer));
    } else {
        auto &refused = std::get<ClaimRefusal>(outcome);
        refuse(*attempt, refused.verdict, refused.error, refused.retryAfter, std::move(refused.message));
    }
    runNext();
}

void AttemptRunner::call(Attempt &attempt)
{
    const Micros now = monotonicNow();
    attempt.state = AttemptState::Running;
    attempt.calledAt = now;
    attempt.engine = options_.upstream.incarnation();
    if (role_.isModel) {
        attempt.prefill.cachedPieces = options_.prefixes.heldPieces(attempt.prefill.samples);
        attempt.prefill.flight = options_.prefixes.begin(attempt.prefill.samples, attempt.prefill.pieces, now);
        attempt.prefill.backlogPieces = attempt.prefill.pieces - std::min(attempt.prefill.cachedPieces, attempt.prefill.pieces);
        options_.prefixes.backlog().add(attempt.prefill.backlogPieces, now);
    }
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
            options_.prefixes.learn(pieces, worked);
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
    options_.prefixes.end(flight);
    const std::vector<PrefixSample> samples = attempt.prefill.samples;
    table_.each([&](Attempt &follower) {
        if (follower.state != AttemptState::Following) {
            return;
        }
        const bool isThere = computed && sharedPieces(samples, follower.prefill.samples) >= follower.prefill.followedPieces;
        if (isThere || options_.prefixes.offer(follower.prefill.samples, monotonicNow()).wait == 0) {
            call(follower);
        }
    });
}

void AttemptRunner::endAlone(Attempt &attempt, bool completed)
{
    if (attempt.runsAlone) {
        attempt.runsAlone = false;
        suspects_.endExclusiveRun(attempt.submit.fingerprint, completed, monotonicNow());
        publishSuspects();
    }
}

// 2. Answer ---------------------------------------------------------------------------------------

void AttemptRunner::answered(const AttemptId &id, const UpstreamAnswer &answer)
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
    pump(*attempt);
}

void AttemptRunner::noteToken(Attempt &attempt)
{
    PrefillWork &work = attempt.prefill;
    if (work.generatedTokens++ == 0) {
        endPrefill(attempt, true);
    }
}

void AttemptRunner::received(const AttemptId &id, std::string piece)
{
    Attempt *const attempt = table_.find(id);
    if (attempt == nullptr) {
        return;
    }
    if (role_.isModel) {
        noteToken(*attempt);
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
    attempt->call.reset();
    endPrefill(*attempt, false);
    const bool mayBeCrash = role_.isModel && !result.complete && result.verdict == Verdict::MayHaveRun && attempt->engine != 0;
    if (!mayBeCrash) {
        settle(*attempt, std::move(result));
        return;
    }
    // The outcome waits until it is known whether the engine is gone: a retry must not run before the crash is noted.
    attempt->state = AttemptState::Broken;
    attempt->brokenResult = std::move(result);
    inFlightAtBreak_.emplace_back(attempt->engine, attempt->submit.fingerprint);
    checkEngine(attempt->engine);
}

void AttemptRunner::settle(Attempt &attempt, UpstreamResult result)
{
    queue_.finish(attempt.id, trueCost(attempt), monotonicNow());
    endAlone(attempt, result.complete);
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
        std::optional<StoredAnswer> kept;
        if (result.complete && attempt.head && attempt.answerBody.size() <= MaxKeptAnswer) {
            kept = StoredAnswer{ .status = attempt.head->status, .contentType = attempt.head->contentType, .body = std::move(attempt.answerBody) };
        }
        options_.claims.finish(attempt.submit, std::move(kept));
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
    runNext();
}

// 3. Crashes --------------------------------------------------------------------------------------

void AttemptRunner::checkEngine(Incarnation engine)
{
    if (!checked_.insert(engine).second) {
        return;
    }
    options_.upstream.check(engine, [this, engine](EngineCheck result) {
        checked_.erase(engine);
        if (result == EngineCheck::Gone) {
            noteCrash(engine);
        }
        settleBroken(engine);
    });
}

void AttemptRunner::noteCrash(Incarnation engine)
{
    std::vector<std::uint64_t> inFlight;
    const auto note = [&](std::uint64_t fingerprint) {
        if (fingerprint != 0) {
            inFlight.push_back(fingerprint);
        }
    };
    for (const auto &[brokenEngine, fingerprint] : inFlightAtBreak_) {
        if (brokenEngine == engine) {
            note(fingerprint);
        }
    }
    table_.eachConst([&](const Attempt &attempt) {
        if (attempt.call != nullptr && attempt.call->answeredBy() == engine) {
            note(attempt.submit.fingerprint);
        }
    });
    options_.metrics.count("carobhall_agent_engine_crashes_total");
    logEvent(LogLevel::Warning, "engine_crash", { { "incarnation", toHex(engine) }, { "in_flight", inFlight.size() } });
    suspects_.recordCrash(engine, inFlight, monotonicNow());
    options_.prefixes.setCurrent(false);
    publishSuspects();
}

void AttemptRunner::settleBroken(Incarnation engine)
{
    std::erase_if(inFlightAtBreak_, [&](const auto &entry) { return entry.first == engine; });
    table_.each([&](Attempt &attempt) {
        if (attempt.state == AttemptState::Broken && attempt.engine == engine && attempt.brokenResult) {
            UpstreamResult result = std::move(*attempt.brokenResult);
            attempt.brokenResult.reset();
            settle(attempt, std::move(result));
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
