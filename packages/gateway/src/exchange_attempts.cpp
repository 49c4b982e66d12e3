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
/// A resumable stream without a data event for this time is resumed at another upstream. Callers abandon a stream after two seconds or
/// more.
constexpr Micros MinStreamInactivityTimeout = 1200 * MicrosPerMilli;
/// A stream whose pauses stay within the target of its route is not resumed elsewhere. Callers abandon a stream after a pause of eight
/// times the target.
constexpr double InactivityPerTargetGap = 2.0;
constexpr Micros InactivityRecheckInterval = 300 * MicrosPerMilli; ///< Interval of further checks while no retry is possible.

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
                                   .isolatedAccount = account_ != nullptr && account_->isolated ? account_->name : std::string(),
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
    if (!tried_.empty() && isPoison(now)) {
        giveUp("crashes_upstreams", RetryAfterCrashes);
        return;
    }
    auto planned = planAttempt(tried_, now);
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

ConnectResult Exchange::connect(Attempt &planned, Micros now)
{
    planned.startedAt = now;
    planned.lastProgressAt = now;
    planned.prefillPending = planned.choice.upstream != nullptr;
    const std::uint64_t memoryTokens = planned.prefillPending ? request_.promptTokens + request_.outputTokens : 0;
    options_.context->upstreams->noteAttemptStarted(*planned.upstream, planned.choice.prefillTokens, memoryTokens);
    Attempt *const identity = &planned;
    planned.call = std::make_shared<UpstreamCall>(UpstreamCallOptions{ .pool = options_.context->pool,
                                                                       .codec = options_.context->codec,
                                                                       .upstream = planned.upstream,
                                                                       .requestId = request_.id,
                                                                       .headOnly = options_.head.method == "HEAD",
                                                                       .onConnected = [this] { switchToStandby(); },
                                                                       .onHead = [this] { onHead(); },
                                                                       .onBody = [this] { onBody(); },
                                                                       .onEnd =
                                                                           [this, identity](CallEnd end) {
                                                                               if (identity == standby_.get()) {
                                                                                   dropStandby(AttemptResult::Unreachable);
                                                                               } else {
                                                                                   onEnd(end);
                                                                               }
                                                                           } });
    return planned.call->connect(now);
}

void Exchange::send(Micros now)
{
    Attempt &current = *attempt_;
    if (current.prefillPending) {
        options_.context->onPrefillQueued(*current.upstream);
        options_.context->upstreams->notePrefillStarted(*current.upstream, current.choice.salt, request_.parts, now);
    }
    events_ = {};
    attemptForwards_ = false;
    body_.clear();
    current.lastProgressAt = now;
    current.instructions.timeout = deadline_ - now - ReturnMargin;
    current.instructions.resumeAfter = lastEventId_;
    current.call->send(options_.context->codec->encodeRequest(options_.head, current.instructions, options_.body.size()).append(options_.body));
    ++attemptsSent_;
    startInactivityTimer();
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
    if (!standby_ && attemptsSent_ < route_->maxAttempts && deadline_ - now > 2 * ReturnMargin) {
        prepareStandby(now);
    }
}

void Exchange::prepareStandby(Micros now)
{
    std::vector<UpstreamRef> excluded = tried_;
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
    switch (connect(*standby_, now)) {
    case ConnectResult::Failed:
        dropStandby(AttemptResult::Unreachable);
        return;
    case ConnectResult::Connecting:
        return;
    case ConnectResult::Connected:
        switchToStandby();
        return;
    }
}

void Exchange::switchToStandby()
{
    if (!standby_) {
        return;
    }
    const Micros now = monotonicNow();
    if (deadline_ - now <= 2 * ReturnMargin || !options_.context->retries->take(service_->name, now)) {
        dropStandby(AttemptResult::Abandoned);
        return;
    }
    logEvent(LogLevel::Info, "attempt_abandoned",
             { { "id", request_.id },
               { "upstream", attempt_->upstream->record.id },
               { "next_upstream", standby_->upstream->record.id },
               { "reason", "silent" },
               { "stream_started", options_.caller->hasStartedStream() },
               { "expected_ms", attempt_->choice.timeToFirstToken / MicrosPerMilli },
               { "silent_ms", (now - attempt_->lastProgressAt) / MicrosPerMilli } });
    verdict_ = combine(verdict_, Verdict::MayHaveRun);
    tried_.push_back(attempt_->upstream);
    // Resetting the connection makes the upstream cancel the request before the next attempt starts.
    attempt_->call->cancel();
    endAttempt(*attempt_, AttemptResult::Failed);
    attempt_ = std::move(standby_);
    send(now);
}

void Exchange::dropStandby(AttemptResult result)
{
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
    return attemptsSent_ < route_->maxAttempts && deadline_ - now > 2 * ReturnMargin && options_.context->retries->take(service_->name, now);
}

void Exchange::noteConnectionLost()
{
    const Upstream &upstream = *attempt_->upstream;
    if (isSound_ || !upstream.present || options_.context->upstreams->isShuttingDown(upstream)) {
        // A request that has run for a while is not the cause, and a leaving process ends without a crash.
        return;
    }
    options_.context->poisonRequests->noteConnectionLost(upstream.process, features(), attempt_->startedAt, monotonicNow());
    options_.context->onConnectionLost(attempt_->upstream);
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
               { "verdict", verdict },
               { "after_ms", (now - attempt_->startedAt) / MicrosPerMilli },
               { "kept_connection", attempt_->call->usedIdleConnection() },
               { "sent", attemptsSent_ },
               { "awaits_first_token", attempt_->prefillPending },
               { "parts", sharedPartIds(request_.parts) } });
    options_.context->metrics->count("carobhall_attempts_failed_total", "reason=\"" + std::string(reason) + "\"");
    verdict_ = combine(verdict_, verdict);
    attempt_->call->cancel();
    dropStandby(AttemptResult::Abandoned);
    endAttempt(*attempt_, result);
    const bool received = result != AttemptResult::Unreachable;
    tried_.push_back(upstream);
    if (!received) {
        // The upstream has not received the request, so this does not count as an attempt. It is in tried_ only so that it is not
        // chosen again.
        const std::size_t triedCount = tried_.size();
        if (triedCount < 4 && deadline_ - now > 2 * ReturnMargin && hasUntriedUpstream(*options_.context->upstreams, service_->name, tried_)) {
            attempt();
            return;
        }
    } else if (hasUntriedUpstream(*options_.context->upstreams, service_->name, tried_) && mayRetry(verdict, now)) {
        attempt();
        return;
    }
    giveUp(reason, RetryAfterRejected);
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
    }
    attempt_->call->cancel();
    // A stream that stalls after its first event is the upstream's failure; before that the request may have been queued.
    const bool stalled = options_.caller->hasStartedStream() && monotonicNow() - attempt_->lastProgressAt > inactivityLimit();
    endAttempt(*attempt_, stalled ? AttemptResult::Failed : AttemptResult::Abandoned);
}

} // namespace Carobhall
