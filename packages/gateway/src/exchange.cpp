#include "exchange.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace Carobhall
{

namespace
{

/// Base values for the Retry-After header. Loading weights takes 0.4 s; a process that has just started has received its
/// configuration and upstreams within 0.5 s.
constexpr Micros RetryAfterStart = 500 * MicrosPerMilli;
constexpr Micros RetryAfterLoading = 400 * MicrosPerMilli;
constexpr Micros RetryAfterFull = 600 * MicrosPerMilli;
constexpr Micros RetryAfterRejected = 150 * MicrosPerMilli;
constexpr Micros RetryAfterCrashes = 5 * MicrosPerSecond; ///< Poison requests are blocked for minutes; an earlier retry would fail again.

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

/// A stream that lasts this long has not crashed its server: a prompt that does so crashes it when the answer begins.
constexpr Micros SoundStreamTime = 500 * MicrosPerMilli;

/// A response that is not streamed is kept until it is complete. A longer one is not forwarded: it may have no end, and a gateway has 88 MB.
constexpr std::size_t MaxBufferedResponseBytes = std::size_t{ 4 } << 20U;

/// Time that a response needs to reach the caller. The upstream's timeout is shorter than the caller's by this much.
constexpr Micros ReturnMargin = 20 * MicrosPerMilli;

std::string formatSeconds(Micros time)
{
    std::array<char, 32> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(time) / MicrosPerSecond);
    return { text.data(), static_cast<std::size_t>(std::max(0, size)) };
}

/// Whether \p service has a usable upstream that is not in \p tried.
bool hasUntriedUpstream(const UpstreamTable &upstreams, std::string_view service, std::span<const UpstreamRef> tried)
{
    return std::ranges::any_of(upstreams.byId(), [&](const auto &entry) {
        const UpstreamRef &upstream = entry.second;
        const bool usable = upstream->present && !upstream->replaced && !upstream->record.draining;
        return usable && upstream->record.service == service && std::ranges::find(tried, upstream) == tried.end();
    });
}

/// The parts that other requests may have in common with this one, separated by commas.
std::string sharedPartIds(std::span<const PromptPart> parts)
{
    std::string ids;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        ids.append(i == 0 ? "" : ",").append(parts[i].id);
    }
    return ids;
}

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

bool isEventStream(const ResponseHead &head)
{
    return findField(head.fields, "Content-Type").value_or("").starts_with("text/event-stream");
}

/// Whether the event \p id may follow \p last in a stream. Ids increase; those that are no numbers are not compared.
bool follows(std::string_view id, std::string_view last)
{
    std::uint64_t number = 0;
    std::uint64_t lastNumber = 0;
    const bool comparable = std::from_chars(id.data(), id.data() + id.size(), number).ec == std::errc()
        && std::from_chars(last.data(), last.data() + last.size(), lastNumber).ec == std::errc();
    return !comparable || number > lastNumber;
}

} // namespace

/// One attempt at one upstream.
struct Exchange::Attempt {
    UpstreamRef upstream;
    std::shared_ptr<UpstreamCall> call;
    EngineChoice choice; ///< Set if the upstream is a model server.
    UpstreamInstructions instructions;
    Micros startedAt = 0;
    Micros lastProgressAt = 0;   ///< The request was sent, or an event with data arrived.
    bool prefillPending = false; ///< The engine has not produced the first token.
};

Exchange::Exchange(ExchangeOptions options)
    : options_(std::move(options))
{
}

Exchange::~Exchange() = default;

const CallerConnection *Exchange::caller() const
{
    return options_.caller.get();
}

void Exchange::begin(Micros now)
{
    arrivedAt_ = now;
    if (!options_.context->codec->decodeRequest(options_.head, request_)) {
        fail(400, "malformed_header");
        return;
    }
    if (!options_.routes) {
        refuse(503, "no_configuration", RetryAfterStart);
        return;
    }
    route_ = options_.routes->find(request_.host, options_.head.target);
    if (route_ == nullptr) {
        fail(404, "no_route");
        return;
    }
    if (route_->needsKey && !options_.routes->config().accounts.empty()) {
        account_ = options_.routes->accountOf(request_.apiKey);
        if (account_ == nullptr) {
            fail(401, "unknown_key");
            return;
        }
    }
    if (options_.refuseRequest || (options_.refuseIfStreaming && route_->kind == RequestKind::Streaming)) {
        refuse(503, "stopping", RetryAfterRejected);
        return;
    }
    if (isPoison(now)) {
        refuse(503, "crashes_upstreams", RetryAfterCrashes);
        return;
    }
    service_ = options_.routes->service(chooseService());
    if (service_ == nullptr) {
        refuse(503, "unknown_service", RetryAfterStart);
        return;
    }
    options_.context->retries->noteRequest(service_->name, now);
    Micros timeout = route_->timeout > 0 ? route_->timeout : 60 * MicrosPerSecond;
    if (request_.timeout) {
        timeout = std::min(timeout, *request_.timeout);
    }
    deadline_ = now + timeout;
    lastEventId_ = request_.resumeAfter;
    deadlineTimer_.startOnce(timeout, [this] { onDeadline(); });
    attempt();
}

std::span<const RequestFeature> Exchange::features()
{
    if (features_.empty()) {
        features_ = requestFeatures({ .target = options_.head.target, .apiKey = request_.apiKey, .body = options_.body }, request_.model, request_.parts);
    }
    return features_;
}

bool Exchange::isPoison(Micros now)
{
    PoisonRequestDetector &poisonRequests = *options_.context->poisonRequests;
    return !poisonRequests.isEmpty() && !poisonRequests.admit(features(), now);
}

void Exchange::noteSound(Micros now)
{
    if (!std::exchange(isSound_, true)) {
        options_.context->poisonRequests->noteSound(features(), now);
    }
}

std::string Exchange::chooseService() const
{
    double total = 0.0;
    for (const RouteTarget &target : route_->targets) {
        total += target.weight;
    }
    double drawn = std::uniform_real_distribution<double>(0.0, std::max(total, 1e-9))(*options_.context->random);
    for (const RouteTarget &target : route_->targets) {
        drawn -= target.weight;
        if (drawn < 0.0 && target.weight > 0.0) {
            return target.service;
        }
    }
    return route_->targets.empty() ? std::string() : route_->targets.back().service;
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

Micros Exchange::retryDelay(Micros base) const
{
    // Jitter of 50 to 150 percent, so that refused callers do not return at the same time.
    const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(*options_.context->random);
    const auto delay = static_cast<Micros>(static_cast<double>(base) * factor);
    // Callers honour a Retry-After of at most a third of their remaining time.
    const Micros remaining = request_.timeout ? arrivedAt_ + *request_.timeout - monotonicNow() : delay * 3;
    return std::clamp<Micros>(delay, 0, std::max<Micros>(0, remaining / 3));
}

Exchange::NoAttempt Exchange::noAttempt(RefusalReason reason, Micros retryAfterNoUpstream, Micros now) const
{
    switch (reason) {
    case RefusalReason::Full:
        return { .reason = nameOf(reason), .retryAfter = RetryAfterFull };
    case RefusalReason::Limited:
        return { .reason = nameOf(reason), .retryAfter = std::max(RetryAfterRejected, options_.context->upstreams->timeToPermit(service_->name, now)) };
    case RefusalReason::NoUpstream:
        break;
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

void Exchange::onHead()
{
    const ResponseHead &head = attempt_->call->head();
    const UpstreamResponse &response = attempt_->call->response();
    if (response.weightsVersion && attempt_->choice.upstream && isSuccess(head.status)) {
        attempt_->upstream->record.weightsVersion = std::max(attempt_->upstream->record.weightsVersion, *response.weightsVersion);
    }
    if (!response.misdirected) {
        noteNamedLimit(response.requestsPerSecond);
    }
}

void Exchange::noteNamedLimit(std::optional<double> requestsPerSecond)
{
    Upstream &upstream = *attempt_->upstream;
    if (upstream.namedLimit != requestsPerSecond) {
        logEvent(LogLevel::Info, "upstream_limit_named",
                 { { "upstream", upstream.record.id },
                   { "requests_per_s", requestsPerSecond.value_or(-1.0) },
                   { "before", upstream.namedLimit.value_or(-1.0) },
                   { "id", request_.id } });
        upstream.namedLimit = requestsPerSecond;
    }
    options_.context->upstreams->limits().noteAnswer(upstream.process, requestsPerSecond, monotonicNow());
}

void Exchange::onBody()
{
    const ResponseHead &head = attempt_->call->head();
    const UpstreamResponse &response = attempt_->call->response();
    if (route_->kind == RequestKind::Streaming && isSuccess(head.status) && response.authentic && !response.hasContentEncoding) {
        forwardEvents();
        return;
    }
    body_ += attempt_->call->takeBody();
    if (body_.size() > MaxBufferedResponseBytes) {
        body_ = {};
        onAttemptFailed(Verdict::MayHaveRun, AttemptResult::Failed, "response_too_large");
    }
}

void Exchange::forwardEvents()
{
    const bool resumed = options_.caller->hasStartedStream() && !attemptForwards_;
    if (resumed && !isEventStream(attempt_->call->head())) {
        onAttemptFailed(Verdict::MayHaveRun, AttemptResult::Failed, "no_event_stream");
        return;
    }
    if (!events_.add(attempt_->call->takeBody())) {
        onAttemptFailed(Verdict::MayHaveRun, AttemptResult::Failed, "event_too_long");
        return;
    }
    const Micros now = monotonicNow();
    std::string out;
    while (auto event = events_.next()) {
        if (attempt_->prefillPending) {
            attempt_->prefillPending = false;
            options_.context->upstreams->noteFirstToken(*attempt_->upstream, attempt_->choice.prefillTokens);
            options_.context->upstreams->notePromptCached(*attempt_->upstream, attempt_->choice.salt, request_.parts, now);
        }
        if (event->id) {
            if (resumed && !follows(*event->id, lastEventId_)) {
                // The server has begun the stream again instead of resuming it.
                onAttemptFailed(Verdict::MayHaveRun, AttemptResult::Failed, "not_resumed");
                return;
            }
            lastEventId_ = *event->id;
        }
        if (event->hasData || event->id) {
            // Comments keep a connection open but are no progress.
            attempt_->lastProgressAt = now;
            dropStandby(AttemptResult::Abandoned);
        }
        out += event->text;
    }
    if (out.empty()) {
        return;
    }
    if (firstEventAt_ > 0 && now - firstEventAt_ >= SoundStreamTime) {
        noteSound(now);
    }
    if (!options_.caller->hasStartedStream()) {
        firstEventAt_ = now;
        options_.context->metrics->observe("carobhall_first_event_seconds", "route=\"" + route_->name + "\"", now - arrivedAt_);
        options_.caller->startStream(attempt_->call->head().status, forwardedFields(attempt_->call->head()));
    }
    attemptForwards_ = true;
    options_.caller->sendStream(out);
}

void Exchange::onEnd(CallEnd end)
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    dropStandby(AttemptResult::Abandoned);
    const ResponseHead &head = attempt_->call->head();
    const UpstreamResponse &response = attempt_->call->response();
    if (end == CallEnd::NotSent) {
        --attemptsSent_;
        onAttemptFailed(Verdict::NotRun, AttemptResult::Unreachable, "not_sent");
        return;
    }
    if (end == CallEnd::Broken) {
        noteConnectionLost();
        onAttemptFailed(Verdict::MayHaveRun, AttemptResult::Failed, "broken_response");
        return;
    }
    if (response.misdirected) {
        Upstream &upstream = *attempt_->upstream;
        if (!response.instance.empty() && response.instance != upstream.record.id) {
            options_.context->upstreams->noteReplaced(upstream);
        } else if (attempt_->choice.upstream) {
            options_.context->upstreams->noteWeightsMismatch(upstream, response.weightsVersion.value_or(0), monotonicNow());
        }
        logEvent(LogLevel::Info, "upstream_misdirected",
                 { { "id", request_.id },
                   { "upstream", upstream.record.id },
                   { "answered_by", response.instance },
                   { "weights_expected", attempt_->choice.weightsVersion },
                   { "weights", response.weightsVersion.value_or(0) } });
    }
    if (response.rejected || response.misdirected) {
        onAttemptFailed(Verdict::NotRun, AttemptResult::Rejected, response.misdirected ? "misdirected" : "rejected");
        return;
    }
    if (!response.authentic || response.hasContentEncoding) {
        onAttemptFailed(Verdict::MayHaveRun, AttemptResult::Failed, response.hasContentEncoding ? "encoded_response" : "not_authentic");
        return;
    }
    if (route_->kind == RequestKind::Streaming && isSuccess(head.status)) {
        onStreamEnd();
        return;
    }
    verdict_ = Verdict::Ran;
    if (head.status >= 500 && route_->kind == RequestKind::Idempotent) {
        const Micros now = monotonicNow();
        tried_.push_back(attempt_->upstream);
        if (hasUntriedUpstream(*options_.context->upstreams, service_->name, tried_) && mayRetry(Verdict::Ran, now)) {
            logEvent(LogLevel::Info, "attempt_repeated",
                     { { "id", request_.id }, { "upstream", attempt_->upstream->record.id }, { "reason", "server_error" }, { "status", head.status } });
            // An error response is not counted against the upstream's health: some requests cause errors on any upstream.
            endAttempt(*attempt_, AttemptResult::Served);
            attempt();
            return;
        }
    }
    deliverResponse();
}

void Exchange::noteConnectionLost()
{
    const Upstream &upstream = *attempt_->upstream;
    if (isSound_ || !upstream.present || upstream.record.draining) {
        // A request that has run for a while is not the cause, and a leaving process ends without a crash.
        return;
    }
    options_.context->poisonRequests->noteConnectionLost(upstream.process, features(), attempt_->startedAt, monotonicNow());
    options_.context->onConnectionLost(attempt_->upstream);
}

void Exchange::onStreamEnd()
{
    if (!attemptForwards_ || events_.hasPartialEvent()) {
        onAttemptFailed(Verdict::MayHaveRun, AttemptResult::Failed, "stream_without_end");
        return;
    }
    verdict_ = Verdict::Ran;
    const unsigned status = attempt_->call->head().status;
    options_.caller->finishStream();
    endAttempt(*attempt_, AttemptResult::Served);
    finish(status, "served");
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

void Exchange::giveUp(std::string_view reason, Micros retryAfter, unsigned failureStatus)
{
    if (options_.caller->hasStartedStream()) {
        const std::shared_ptr<Exchange> self = shared_from_this();
        // Finished first, so that closing the connection is not taken for a caller that left.
        finish(0, reason);
        options_.caller->abortResponse();
    } else if (verdict_ == Verdict::NotRun) {
        refuse(503, reason, retryAfter);
    } else {
        fail(failureStatus, reason);
    }
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

std::vector<HeaderField> Exchange::forwardedFields(const ResponseHead &head) const
{
    std::vector<HeaderField> fields;
    for (const HeaderField &field : head.fields) {
        if (!isHopByHop(head.fields, field.name) && !equalsIgnoringCase(field.name, "Content-Length")) {
            fields.push_back(field);
        }
    }
    return fields;
}

void Exchange::deliverResponse()
{
    const unsigned status = attempt_->call->head().status;
    const ResponseHead &head = attempt_->call->head();
    if (options_.head.method == "HEAD") {
        options_.caller->respondHead(status, forwardedFields(head), findField(head.fields, "Content-Length"));
    } else {
        options_.caller->respond(status, forwardedFields(head), body_);
    }
    endAttempt(*attempt_, AttemptResult::Served);
    finish(status, isSuccess(status) ? "served" : "upstream_error");
}

void Exchange::refuse(unsigned status, std::string_view reason, Micros retryAfter)
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    options_.caller->respond(status, { { "Retry-After", formatSeconds(retryDelay(retryAfter)) } }, {});
    finish(status, reason);
}

void Exchange::fail(unsigned status, std::string_view reason)
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    options_.caller->respond(status, {}, {});
    finish(status, reason);
}

void Exchange::onDeadline()
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    cancelAttempt();
    giveUp("deadline", RetryAfterFull, 504);
}

void Exchange::cancelAttempt()
{
    dropStandby(AttemptResult::Abandoned);
    if (!attempt_ || !attempt_->call->isActive()) {
        return;
    }
    verdict_ = combine(verdict_, Verdict::MayHaveRun);
    attempt_->call->cancel();
    // A stream that stalls after its first event is the upstream's failure; before that the request may have been queued.
    const bool stalled = options_.caller->hasStartedStream() && monotonicNow() - attempt_->lastProgressAt > inactivityLimit();
    endAttempt(*attempt_, stalled ? AttemptResult::Failed : AttemptResult::Abandoned);
}

void Exchange::onCallerDisconnected()
{
    if (finished_) {
        return;
    }
    const std::shared_ptr<Exchange> self = shared_from_this();
    cancelAttempt();
    finish(0, "caller_left");
}

void Exchange::abortForShutdown()
{
    if (finished_) {
        return;
    }
    const std::shared_ptr<Exchange> self = shared_from_this();
    cancelAttempt();
    finish(0, "process_stopped");
    options_.caller->abortResponse();
}

void Exchange::finish(unsigned status, std::string_view outcome)
{
    if (std::exchange(finished_, true)) {
        return;
    }
    deadlineTimer_.stop();
    inactivityTimer_.stop();
    const Micros now = monotonicNow();
    if (verdict_ == Verdict::Ran) {
        noteSound(now);
    }
    const std::string route = route_ != nullptr ? route_->name : std::string("-");
    logEvent(LogLevel::Info, "request_done",
             { { "id", request_.id },
               { "route", route },
               { "account", account_ != nullptr ? account_->name : std::string("-") },
               { "status", status },
               { "outcome", outcome },
               { "verdict", verdict_ },
               { "upstream", attempt_ ? attempt_->upstream->record.id : std::string("-") },
               { "sent", attemptsSent_ },
               { "part", request_.parts.size() > 1 ? request_.parts[request_.parts.size() - 2].id : std::string("-") },
               { "missing_tokens", attempt_ ? attempt_->choice.uncachedTokens : 0 },
               { "reread_tokens", attempt_ ? attempt_->choice.duplicatePrefillTokens : 0 },
               { "fetch", attempt_ ? attempt_->choice.fetchFrom : std::string() },
               { "weights", attempt_ ? attempt_->choice.weightsVersion : 0 },
               { "queue_ms", attempt_ ? attempt_->choice.queueDelay / MicrosPerMilli : 0 },
               { "mean_queue_ms", options_.context->upstreams->queueWaitLimit().meanQueueDelay() / MicrosPerMilli },
               { "upstream_queued", attempt_ ? attempt_->choice.load.queued : 0 },
               { "upstream_running", attempt_ ? attempt_->choice.load.running : 0 },
               { "upstream_used_tokens", attempt_ ? attempt_->choice.load.usedTokens : 0 },
               { "load_age_ms", attempt_ ? attempt_->choice.loadAge / MicrosPerMilli : 0 },
               { "expected_ms", attempt_ ? attempt_->choice.timeToFirstToken / MicrosPerMilli : 0 },
               { "first_ms", firstEventAt_ > 0 ? (firstEventAt_ - arrivedAt_) / MicrosPerMilli : -1 },
               { "total_ms", (now - arrivedAt_) / MicrosPerMilli },
               { "config", options_.routes ? options_.routes->config().version : 0 } });
    options_.context->metrics->count("carobhall_requests_total", "route=\"" + route + "\",outcome=\"" + std::string(outcome) + "\"");
    options_.context->metrics->observe("carobhall_request_seconds", "route=\"" + route + "\"", now - arrivedAt_);
    options_.onFinished(*this);
}

} // namespace Carobhall
