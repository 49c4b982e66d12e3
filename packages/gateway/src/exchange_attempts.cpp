#include "exchange_attempt.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Carobhall
{

namespace
{

/// An idempotent request without a response after this share of its latency target is sent to another upstream, while the target can
/// still be met.
constexpr double InactivityShareOfTarget = 0.6;
constexpr Micros MinInactivityTimeout = 100 * MicrosPerMilli;
/// A resumable stream without a data event for this time is resumed at another upstream. A sound upstream may be silent for a second or so;
/// callers abandon a stream after two seconds or more.
constexpr Micros MinStreamInactivityTimeout = 1500 * MicrosPerMilli;
/// A stream whose pauses stay within the target of its route is not resumed elsewhere. Callers abandon a stream after a pause of eight
/// times the target.
constexpr double InactivityPerTargetGap = 2.0;
constexpr Micros InactivityRecheckInterval = 300 * MicrosPerMilli; ///< Interval of further checks while no retry is possible.
constexpr Micros ResumeRecheckInterval = 150 * MicrosPerMilli;     ///< The same for a request whose attempt was given up.

/// Share of the latency target of more urgent requests for which less urgent ones may occupy a model server's queue.
constexpr double UrgentTargetShare = 0.8;
/// Share of its own latency target that a request may wait for its first token at normal load; the rest covers errors of the
/// estimate.
constexpr double NormalTargetShare = 0.5;

/// The parts that other requests may have in common with this one, separated by commas.
std::string sharedPartIds(std::span<const PromptPart> parts)
{
    std::string ids;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        ids.append(i == 0 ? "" : ",").append(parts[i].id);
    }
    return ids;
}

AttemptEnding endingOf(Verdict verdict, AttemptResult result)
{
    if (result == AttemptResult::Unreachable) {
        return AttemptEnding::NotReceived;
    }
    return verdict == Verdict::NotRun ? AttemptEnding::Refused : AttemptEnding::Failed;
}

} // namespace

bool hasUntriedUpstream(const UpstreamTable &upstreams, std::string_view service, std::span<const UpstreamRef> tried)
{
    return std::ranges::any_of(upstreams.byId(), [&](const auto &entry) {
        const UpstreamRef &upstream = entry.second;
        const bool usable = upstream->present && upstreams.isUsable(*upstream, monotonicNow());
        return usable && upstream->record.service == service && std::ranges::find(tried, upstream) == tried.end();
    });
}

Micros Exchange::waitLimitForUrgentRoutes() const
{
    // An engine prefills prompts one after the other, so a long queue of less urgent prompts delays urgent ones. A queue of this
    // length keeps the engine busy. A longer one only adds delay, so requests beyond it are refused immediately with Retry-After.
    Micros limit = std::numeric_limits<Micros>::max();
    for (const Route &other : options_.routes->config().routes) {
        const bool sameService = std::ranges::any_of(other.targets, [this](const RouteTarget &target) { return target.service == service_->name; });
        if (sameService && other.carriesPrompt && other.priority < route_->priority && other.targetLatency > 0) {
            limit = std::min(limit, static_cast<Micros>(static_cast<double>(other.targetLatency) * UrgentTargetShare));
        }
    }
    return limit;
}

std::string Exchange::cacheScope() const
{
    const std::string_view account = account_ != nullptr ? std::string_view(account_->name) : std::string_view();
    const CacheScopes &scopes = options_.routes->cacheScopes();
    const std::shared_ptr<const RouteTable> current = options_.context->currentRoutes();
    if (!current || current->cacheScopes() == scopes) {
        return scopes.scopeOf(account);
    }
    return scopes.combinedWith(current->cacheScopes()).scopeOf(account);
}

Exchange::NoAttempt Exchange::noAttempt(RefusalReason reason, Micros retryAfterNoUpstream, Micros now) const
{
    switch (reason) {
    case RefusalReason::Full:
        return { .reason = nameOf(reason), .retryAfter = RetryAfterFull };
    case RefusalReason::Limited:
        return { .reason = nameOf(reason), .retryAfter = std::max(RetryAfterRejected, options_.context->upstreams->timeToPermit(service_->name, now)) };
    case RefusalReason::NoUpstream:
    case RefusalReason::Paused:
        break;
    }
    if (options_.context->upstreams->timeToAvailable(service_->name, now) > 0) {
        return { .reason = nameOf(RefusalReason::Paused), .retryAfter = RetryAfterFull };
    }
    return { .reason = nameOf(reason), .retryAfter = retryAfterNoUpstream };
}

std::variant<std::unique_ptr<Exchange::Attempt>, Exchange::NoAttempt> Exchange::planAttempt(std::span<const UpstreamRef> excluded, Micros now)
{
    const Micros remaining = deadline_ - now - ReturnMargin;
    auto planned = std::make_unique<Attempt>();
    UpstreamInstructions &instructions = planned->instructions;
    instructions.account = account_ != nullptr ? account_->name : std::string();
    if (service_->engine && !request_.parts.empty()) {
        const std::uint32_t priority = account_ != nullptr && account_->priority ? *account_->priority : route_->priority;
        instructions.priority = priority;
        const Micros overloadWaitLimit = std::min(remaining, waitLimitForUrgentRoutes());
        const PromptDemand demand{ .service = service_->name,
                                   .parts = request_.parts,
                                   .outputTokens = request_.outputTokens,
                                   .cacheScope = cacheScope(),
                                   .overloadWaitLimit = overloadWaitLimit,
                                   .normalWaitLimit = std::max(
                                       overloadWaitLimit,
                                       std::min(remaining, static_cast<Micros>(static_cast<double>(route_->targetLatency) * NormalTargetShare))) };
        auto chosen = options_.context->upstreams->chooseEngine(demand, *service_, excluded, now);
        if (const auto *const reason = std::get_if<RefusalReason>(&chosen)) {
            return noAttempt(*reason, RetryAfterLoading, now);
        }
        planned->choice = std::get<EngineChoice>(std::move(chosen));
        planned->upstream = planned->choice.upstream;
        instructions.cacheSalt = planned->choice.salt;
        instructions.weightsVersion = planned->choice.weightsVersion;
        instructions.fetchFrom = planned->choice.fetchFrom;
        instructions.saveTo = planned->choice.saveTo;
    } else {
        planned->upstream = options_.context->upstreams->choosePlainUpstream(*service_, excluded, now);
        if (!planned->upstream) {
            const bool isLimited = options_.context->upstreams->timeToPermit(service_->name, now) > 0;
            return noAttempt(isLimited ? RefusalReason::Limited : RefusalReason::NoUpstream, RetryAfterStart, now);
        }
    }
    instructions.instance = planned->upstream->record.id;
    return planned;
}

void Exchange::attempt()
{
    const Micros now = monotonicNow();
    if (deadline_ - now <= ReturnMargin) {
        onDeadline();
        return;
    }
    if (!handover_.tried().empty() && isPoison(now)) {
        giveUp("crashes_upstreams", RetryAfterCrashes);
        return;
    }
    auto planned = planAttempt(handover_.tried(), now);
    if (const auto *const none = std::get_if<NoAttempt>(&planned)) {
        giveUp(none->reason, none->retryAfter);
        return;
    }
    attempt_ = std::get<std::unique_ptr<Attempt>>(std::move(planned));
    if (connect(*attempt_, now) == ConnectResult::Failed) {
        onAttemptFailed(Verdict::NotRun, AttemptResult::Unreachable, "no_connection");
        return;
    }
    send(now);
}

ConnectResult Exchange::connect(Attempt &planned, Micros now, bool mayReuse)
{
    planned.startedAt = now;
    planned.lastProgressAt = now;
    planned.prefillPending = planned.choice.upstream != nullptr;
    const std::uint64_t memoryTokens = planned.prefillPending ? request_.promptTokens + request_.outputTokens : 0;
    options_.context->upstreams->noteAttemptStarted(*planned.upstream, planned.choice.prefillTokens, memoryTokens);
    Attempt *const identity = &planned;
    planned.call = std::make_shared<UpstreamCall>(
        UpstreamCallOptions{ .pool = options_.context->pool,
                             .codec = options_.context->codec,
                             .upstream = planned.upstream,
                             .requestId = request_.id,
                             .headOnly = options_.head.method == "HEAD",
                             .mayReuseConnection = mayReuse,
                             .onConnected = [this] { startOverlap(); },
                             .onHead = [this, identity] { identity == standby_.get() ? onStandbyHead() : onHead(); },
                             .onBody =
                                 [this, identity] {
                                     if (identity == standby_.get()) {
                                         (void)identity->call->takeBody();
                                     } else {
                                         onBody();
                                     }
                                 },
                             .onEnd = [this, identity](CallEnd end) { identity == standby_.get() ? onStandbyEnd(end) : onEnd(end); } });
    return planned.call->connect(now);
}

void Exchange::send(Micros now)
{
    resetResponse();
    handover_.noteSent(attempt_->upstream);
    sendTo(*attempt_, now);
    startInactivityTimer();
}

void Exchange::resetResponse()
{
    events_ = {};
    attemptForwards_ = false;
    body_ = {};
    bodyBytes_ = 0;
    isPaused_ = false;
}

void Exchange::sendTo(Attempt &target, Micros now)
{
    if (target.prefillPending) {
        options_.context->onPrefillQueued(*target.upstream);
        options_.context->upstreams->notePrefillStarted(*target.upstream, target.choice.salt, request_.parts, now);
    }
    noteQuotaSent(now);
    target.isSent = true;
    target.lastProgressAt = now;
    target.instructions.timeout = deadline_ - now - ReturnMargin;
    target.instructions.resumeAfter = lastEventId_;
    target.call->send(options_.context->codec->encodeRequest(options_.head, target.instructions, options_.body.size()).append(options_.body));
}

Micros Exchange::inactivityLimit() const
{
    if (route_->kind == RequestKind::Idempotent) {
        return std::max(MinInactivityTimeout, static_cast<Micros>(static_cast<double>(route_->targetLatency) * InactivityShareOfTarget));
    }
    const Micros limit = std::max(MinStreamInactivityTimeout, static_cast<Micros>(static_cast<double>(route_->targetGap) * InactivityPerTargetGap));
    // Before the first token the request may still be queued as estimated. It is not moved to the end of another queue then.
    return attempt_->prefillPending ? std::max(limit, route_->targetLatency) + 2 * attempt_->choice.timeToFirstToken : limit;
}

void Exchange::startInactivityTimer()
{
    if (route_->isRetryable()) {
        inactivityTimer_.startOnce(inactivityLimit(), [this] { onInactivity(); });
    }
}

void Exchange::onInactivity()
{
    const Micros now = monotonicNow();
    if (const Micros remaining = attempt_->lastProgressAt + inactivityLimit() - now; remaining > 0) {
        inactivityTimer_.startOnce(remaining, [this] { onInactivity(); });
        return;
    }
    // The attempt continues until the standby is connected: the upstream may still respond, or another one may become available.
    inactivityTimer_.startOnce(InactivityRecheckInterval, [this] { onInactivity(); });
    if (!standby_ && handover_.mayStartSuccessor() && deadline_ - now > 2 * ReturnMargin) {
        prepareStandby(now);
    }
}

void Exchange::prepareStandby(Micros now)
{
    if (!options_.context->retries->isAvailable(service_->name, now, retryReserved_ ? 1 : 2)) {
        return;
    }
    std::vector<UpstreamRef> excluded(handover_.tried().begin(), handover_.tried().end());
    if (handover_.hasAbandoned()) {
        // Also an earlier successor, which may be at work on the request or have been silent like the current upstream.
        excluded = upstreamsNotToUse(true, false);
    }
    excluded.push_back(attempt_->upstream);
    auto planned = planAttempt(excluded, now);
    if (std::holds_alternative<NoAttempt>(planned)) {
        return;
    }
    auto &next = std::get<std::unique_ptr<Attempt>>(planned);
    if (!next->upstream->present || next->upstream->avoidUntil > now) {
        // An upstream that was removed or has just failed is no better than a silent one.
        return;
    }
    standby_ = std::move(next);
    switch (connect(*standby_, now, !handover_.hasAbandoned())) {
    case ConnectResult::Failed:
        dropStandby(AttemptResult::Unreachable);
        return;
    case ConnectResult::Connecting:
        return;
    case ConnectResult::Connected:
        startOverlap();
        return;
    }
}

void Exchange::startOverlap()
{
    if (!standby_) {
        return;
    }
    const Micros now = monotonicNow();
    // Without a second retry, for going back if the successor refuses later, the silent attempt keeps the request.
    const bool affordable = options_.context->retries->isAvailable(service_->name, now, retryReserved_ ? 1 : 2);
    if (deadline_ - now <= 2 * ReturnMargin || !affordable || !reserveRetry(now) || !options_.context->retries->take(service_->name, now)) {
        dropStandby(AttemptResult::Abandoned);
        return;
    }
    logEvent(LogLevel::Info, "standby_sent",
             { { "id", request_.id },
               { "upstream", attempt_->upstream->record.id },
               { "next_upstream", standby_->upstream->record.id },
               { "stream_started", options_.caller->hasStartedStream() },
               { "expected_ms", attempt_->choice.timeToFirstToken / MicrosPerMilli },
               { "silent_ms", (now - attempt_->lastProgressAt) / MicrosPerMilli } });
    handover_.startOverlap(standby_->upstream, now);
    sendTo(*standby_, now);
    overlapTimer_.startOnce(HandoverOverlap, [this] { onOverlapTime(); });
}

bool Exchange::reserveRetry(Micros now)
{
    retryReserved_ = retryReserved_ || options_.context->retries->take(service_->name, now);
    return retryReserved_;
}

void Exchange::onOverlapTime()
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    const Micros now = monotonicNow();
    switch (handover_.onOverlapTime(now)) {
    case HandoverStep::None:
        return;
    case HandoverStep::EndSuccessor:
        logEvent(LogLevel::Info, "standby_ended", { { "id", request_.id }, { "next_upstream", standby_->upstream->record.id }, { "reason", "failed" } });
        verdict_ = combine(verdict_, Verdict::MayHaveRun);
        dropStandby(AttemptResult::Failed);
        return;
    case HandoverStep::Replace:
        verdict_ = combine(verdict_, Verdict::MayHaveRun);
        replaceAttempt("silent", AttemptResult::Failed);
        return;
    }
}

void Exchange::onStandbyHead()
{
    noteResponseHead(*standby_);
    const ResponseHead &head = standby_->call->head();
    const UpstreamResponse &response = standby_->call->response();
    const bool isAnswer = response.authentic && !response.rejected && !response.misdirected && !response.hasContentEncoding && head.status < 500;
    // A stream that has started can only be continued by a stream.
    const bool takes = isAnswer && (!options_.caller->hasStartedStream() || (isSuccess(head.status) && isEventStream(head)));
    if (handover_.onSuccessorHead(takes) == HandoverStep::Replace) {
        verdict_ = combine(verdict_, Verdict::MayHaveRun);
        replaceAttempt("standby_answered", AttemptResult::Failed);
    }
}

void Exchange::onStandbyEnd(CallEnd end)
{
    if (!handover_.isOverlapping()) {
        dropStandby(AttemptResult::Unreachable);
        return;
    }
    const UpstreamResponse &response = standby_->call->response();
    const bool refused = end == CallEnd::Complete && (response.rejected || response.misdirected);
    if (refused && response.misdirected) {
        noteMisdirected(*standby_);
    }
    if (end == CallEnd::Broken) {
        noteBroken(*standby_);
    }
    if (!refused) {
        verdict_ = combine(verdict_, Verdict::MayHaveRun);
    }
    logEvent(LogLevel::Info, refused ? "standby_refused" : "standby_failed",
             { { "id", request_.id },
               { "upstream", attempt_->upstream->record.id },
               { "next_upstream", standby_->upstream->record.id },
               { "status", standby_->call->head().status },
               { "cause", standby_->call->fault() },
               { "misdirected", response.misdirected },
               { "silent_ms", (monotonicNow() - attempt_->lastProgressAt) / MicrosPerMilli } });
    if (refused) {
        noteQuotaNotRun();
    }
    handover_.onSuccessorEnded(refused ? AttemptEnding::Refused : AttemptEnding::Failed);
    dropStandby(refused ? AttemptResult::Rejected : AttemptResult::Failed);
}

void Exchange::replaceAttempt(std::string_view reason, AttemptResult result)
{
    const Micros now = monotonicNow();
    logEvent(LogLevel::Info, "attempt_abandoned",
             { { "id", request_.id },
               { "upstream", attempt_->upstream->record.id },
               { "next_upstream", standby_->upstream->record.id },
               { "reason", reason },
               { "stream_started", options_.caller->hasStartedStream() },
               { "overlap_ms", (now - standby_->lastProgressAt) / MicrosPerMilli },
               { "silent_ms", (now - attempt_->lastProgressAt) / MicrosPerMilli } });
    overlapTimer_.stop();
    // Resetting the connection makes the upstream cancel the request.
    attempt_->call->cancel();
    endAttempt(*attempt_, result);
    attempt_ = std::move(standby_);
    resetResponse();
    startInactivityTimer();
}

void Exchange::noteProgress()
{
    attempt_->lastProgressAt = monotonicNow();
    if (handover_.onProgress() == HandoverStep::EndSuccessor) {
        logEvent(LogLevel::Info, "standby_ended", { { "id", request_.id }, { "next_upstream", standby_->upstream->record.id }, { "reason", "progress" } });
        verdict_ = combine(verdict_, Verdict::MayHaveRun);
    }
    dropStandby(AttemptResult::Abandoned);
}

void Exchange::dropStandby(AttemptResult result)
{
    overlapTimer_.stop();
    if (const std::unique_ptr<Attempt> dropped = std::move(standby_)) {
        dropped->call->cancel();
        endAttempt(*dropped, result);
    }
}

bool Exchange::mayRetry(Verdict lastVerdict, Micros now)
{
    if (lastVerdict != Verdict::NotRun && !route_->isRetryable()) {
        return false;
    }
    return handover_.sent() < route_->maxAttempts && deadline_ - now > 2 * ReturnMargin && options_.context->retries->take(service_->name, now);
}

void Exchange::noteConnectionLost(const Attempt &lost)
{
    const Upstream &upstream = *lost.upstream;
    if (isSound_ || !upstream.present || options_.context->upstreams->isShuttingDown(upstream)) {
        // A request that has run for a while is not the cause, and a leaving process ends without a crash.
        return;
    }
    options_.context->poisonRequests->noteConnectionLost(upstream.process, features(), lost.startedAt, monotonicNow());
    options_.context->onConnectionLost(lost.upstream);
}

void Exchange::noteBroken(const Attempt &broken)
{
    options_.context->metrics->count("carobhall_broken_responses_total", "cause=\"" + std::string(nameOf(broken.call->fault())) + "\"");
    noteConnectionLost(broken);
}

void Exchange::onAttemptFailed(Verdict verdict, AttemptResult result, std::string_view reason)
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    const Micros now = monotonicNow();
    const UpstreamRef upstream = attempt_->upstream;
    logEvent(LogLevel::Info, "attempt_failed",
             { { "id", request_.id },
               { "upstream", upstream->record.id },
               { "reason", reason },
               { "cause", attempt_->call->fault() },
               { "verdict", verdict },
               { "after_ms", (now - attempt_->startedAt) / MicrosPerMilli },
               { "kept_connection", attempt_->call->usedIdleConnection() },
               { "sent", handover_.sent() },
               { "awaits_first_token", attempt_->prefillPending },
               { "parts", sharedPartIds(request_.parts) } });
    options_.context->metrics->count("carobhall_attempts_failed_total", "reason=\"" + std::string(reason) + "\"");
    verdict_ = combine(verdict_, verdict);
    const AttemptEnding ending = endingOf(verdict, result);
    if (verdict == Verdict::NotRun && attempt_->isSent) {
        noteQuotaNotRun();
    }
    if (forwardsBody_) {
        attempt_->call->cancel();
        endAttempt(*attempt_, result);
        giveUp(reason, RetryAfterRejected);
        return;
    }
    if (handover_.onSilentEnded(ending) == HandoverStep::Replace) {
        replaceAttempt(reason, result);
        return;
    }
    attempt_->call->cancel();
    dropStandby(AttemptResult::Abandoned);
    endAttempt(*attempt_, result);
    handover_.noteEnded(upstream, ending);
    if (handover_.hasAbandoned()) {
        if (ending == AttemptEnding::Refused) {
            handover_.noteNotSent();
        }
        resume(reason, false);
        return;
    }
    if (ending == AttemptEnding::NotReceived) {
        // The upstream has not received the request, so this does not count as an attempt. It is among the tried ones only so that it is
        // not chosen again.
        const std::size_t triedCount = handover_.tried().size();
        if (triedCount < 4 && deadline_ - now > 2 * ReturnMargin && hasUntriedUpstream(*options_.context->upstreams, service_->name, handover_.tried())) {
            attempt();
            return;
        }
    } else if (hasUntriedUpstream(*options_.context->upstreams, service_->name, handover_.tried()) && mayRetry(verdict, now)) {
        attempt();
        return;
    }
    giveUp(reason, RetryAfterRejected);
}

std::vector<UpstreamRef> Exchange::upstreamsNotToUse(bool again, bool onlySilent) const
{
    std::vector<UpstreamRef> excluded;
    for (const auto &[id, upstream] : options_.context->upstreams->byId()) {
        if (!handover_.mayUse(upstream, again) || (onlySilent && !handover_.wasSilent(upstream))) {
            excluded.push_back(upstream);
        }
    }
    return excluded;
}

bool Exchange::mayBeServed() const
{
    const UpstreamTable &upstreams = *options_.context->upstreams;
    return handover_.canBeServed() && std::ranges::any_of(upstreams.byId(), [&](const auto &entry) {
               const UpstreamRef &upstream = entry.second;
               const bool listed = upstream->present && !upstream->replaced && !upstreams.isShuttingDown(*upstream);
               return listed && upstream->record.service == service_->name && handover_.mayUse(upstream, true);
           });
}

void Exchange::resume(std::string_view reason, bool mayAskAgain)
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    const Micros now = monotonicNow();
    if (!mayBeServed() || isPoison(now)) {
        giveUp(reason, RetryAfterRejected);
        return;
    }
    // The reserved retry is for an upstream that has worked on the request; others may refuse it.
    const bool available = options_.context->retries->isAvailable(service_->name, now);
    if (deadline_ - now > 2 * ReturnMargin && (available || retryReserved_)) {
        // Upstreams that have just refused are asked again only after a pause.
        for (const bool again : { false, true }) {
            if (again && !mayAskAgain) {
                break;
            }
            auto planned = planAttempt(upstreamsNotToUse(again, !available), now);
            if (std::holds_alternative<NoAttempt>(planned) && again && !available) {
                // None of the silent upstreams takes requests any more.
                planned = planAttempt(upstreamsNotToUse(again, false), now);
            }
            if (std::holds_alternative<NoAttempt>(planned)) {
                continue;
            }
            attempt_ = std::get<std::unique_ptr<Attempt>>(std::move(planned));
            if (connect(*attempt_, now, !again) == ConnectResult::Failed) {
                endAttempt(*attempt_, AttemptResult::Unreachable);
                handover_.noteEnded(attempt_->upstream, AttemptEnding::NotReceived);
                break;
            }
            if (!options_.context->retries->take(service_->name, now)) {
                retryReserved_ = false;
                options_.context->retries->charge(service_->name, now);
            }
            logEvent(LogLevel::Info, "request_resumed",
                     { { "id", request_.id }, { "upstream", attempt_->upstream->record.id }, { "again", again }, { "sent", handover_.sent() } });
            isWaiting_ = false;
            send(now);
            return;
        }
    }
    if (!std::exchange(isWaiting_, true)) {
        logEvent(LogLevel::Info, "request_waiting", { { "id", request_.id }, { "reason", reason }, { "remaining_ms", (deadline_ - now) / MicrosPerMilli } });
    }
    inactivityTimer_.startOnce(ResumeRecheckInterval, [this, reason = std::string(reason)] { resume(reason, true); });
}

void Exchange::endAttempt(Attempt &ended, AttemptResult result)
{
    if (&ended == attempt_.get()) {
        inactivityTimer_.stop();
    }
    const Micros now = monotonicNow();
    if (std::exchange(ended.prefillPending, false)) {
        options_.context->upstreams->noteFirstToken(*ended.upstream, ended.choice.prefillTokens);
    }
    options_.context->upstreams->noteAttemptEnded(*ended.upstream, result, now - ended.startedAt, now);
}

void Exchange::cancelAttempt()
{
    dropStandby(AttemptResult::Abandoned);
    if (!attempt_ || !attempt_->call->isActive()) {
        return;
    }
    if (attempt_->call->mayHaveSent()) {
        verdict_ = combine(verdict_, Verdict::MayHaveRun);
    } else if (attempt_->isSent) {
        noteQuotaNotRun();
    }
    attempt_->call->cancel();
    // A stream that stalls after its first event is the upstream's failure; before that the request may have been queued.
    const bool stalled = !forwardsBody_ && options_.caller->hasStartedStream() && monotonicNow() - attempt_->lastProgressAt > inactivityLimit();
    endAttempt(*attempt_, stalled ? AttemptResult::Failed : AttemptResult::Abandoned);
}

} // namespace Carobhall
