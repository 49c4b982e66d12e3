#include "exchange.h"
#include "exchange_attempt.h"

#include "upstream_notices.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Carobhall
{

namespace
{

/// A stream that lasts this long has not crashed its server: a prompt that does so crashes it when the answer begins.
constexpr Micros SoundStreamTime = 500 * MicrosPerMilli;

/// A response that is not streamed is kept until it is complete. A longer one is not forwarded: it may have no end, and a gateway has 88 MB.
constexpr std::size_t MaxBufferedResponseBytes = std::size_t{ 4 } << 20U;

constexpr Micros DeadlineRecheckInterval = 100 * MicrosPerMilli; ///< While a response is held up by its caller.

std::string formatSeconds(Micros time)
{
    std::array<char, 32> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(time) / MicrosPerSecond);
    return { text.data(), static_cast<std::size_t>(std::max(0, size)) };
}

/// Whether the event \p id may follow \p last in a stream. Ids increase; those that are no numbers are not compared.
bool follows(std::string_view id, std::string_view last)
{
    std::uint64_t number = 0;
    std::uint64_t lastNumber = 0;
    const auto isNumber = [](std::string_view text, std::uint64_t &value) {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size();
    };
    return !isNumber(id, number) || !isNumber(last, lastNumber) || number > lastNumber;
}

} // namespace

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

bool isEventStream(const ResponseHead &head)
{
    return findField(head.fields, "Content-Type").value_or("").starts_with("text/event-stream");
}

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
    Micros timeout = route_->timeout > 0 ? route_->timeout : 60 * MicrosPerSecond;
    if (request_.timeout) {
        timeout = std::min(timeout, *request_.timeout);
    }
    deadline_ = now + timeout;
    if (!options_.context->admission->admits(deadline_, now)) {
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
    if (!takeQuota(now)) {
        return;
    }
    handover_ = AttemptHandover(route_->maxAttempts);
    lastEventId_ = request_.resumeAfter;
    deadlineTimer_.startOnce(timeout, [this] { onDeadline(); });
    attempt();
}

bool Exchange::takeQuota(Micros now)
{
    if (account_ == nullptr || !account_->quota) {
        return true;
    }
    AccountQuotas &quotas = *options_.context->quotas;
    const std::optional<double> tokens = request_.namesTokens
        ? std::optional(static_cast<double>(request_.promptTokens) + static_cast<double>(request_.outputTokens))
        : std::nullopt;
    quotaCost_ = quotas.costOf(account_->name, tokens);
    const QuotaDecision decision = quotas.take(account_->name, quotaCost_, now);
    if (decision.admitted) {
        quotaPermits_ = 1;
        return true;
    }
    const std::shared_ptr<Exchange> self = shared_from_this();
    options_.caller->respond(429, { { "Retry-After", formatSeconds(decision.retryAfter) } }, {});
    finish(429, "quota");
    return false;
}

void Exchange::noteQuotaSent(Micros now)
{
    if (quotaPermits_ > 0) {
        --quotaPermits_;
    } else if (quotaCost_ > 0.0) {
        options_.context->quotas->charge(account_->name, quotaCost_, now);
    }
}

void Exchange::noteQuotaNotRun()
{
    if (quotaCost_ > 0.0) {
        ++quotaPermits_;
    }
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

Micros Exchange::retryDelay(Micros base) const
{
    // Jitter of 50 to 150 percent, so that refused callers do not return at the same time.
    const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(*options_.context->random);
    // A caller that returns while all upstreams are paused would only be refused again.
    const Micros pause = service_ != nullptr ? options_.context->upstreams->timeToAvailable(service_->name, monotonicNow()) : 0;
    const auto delay = pause + static_cast<Micros>(static_cast<double>(base) * factor);
    // Callers honour a Retry-After of at most a third of their remaining time.
    const Micros remaining = request_.timeout ? arrivedAt_ + *request_.timeout - monotonicNow() : delay * 3;
    return std::clamp<Micros>(delay, 0, std::max<Micros>(0, remaining / 3));
}

void Exchange::onHead()
{
    noteResponseHead(*attempt_);
    const UpstreamResponse &response = attempt_->call->response();
    const bool isError = attempt_->call->head().status >= 500;
    if (route_->kind != RequestKind::Streaming && response.authentic && !response.rejected && !response.misdirected && !isError) {
        noteProgress();
    }
}

void Exchange::noteResponseHead(Attempt &answered)
{
    const ResponseHead &head = answered.call->head();
    const UpstreamResponse &response = answered.call->response();
    if (response.weightsVersion && answered.choice.upstream && isSuccess(head.status)) {
        answered.upstream->record.weightsVersion = std::max(answered.upstream->record.weightsVersion, *response.weightsVersion);
    }
    noteAvailability(*options_.context->upstreams, *answered.upstream, response, request_.id, monotonicNow());
    if (!response.misdirected) {
        noteNamedLimit(*answered.upstream, response.requestsPerSecond);
    }
}

void Exchange::noteNamedLimit(Upstream &upstream, std::optional<double> requestsPerSecond)
{
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
    attempt_->lastProgressAt = monotonicNow();
    const std::string bytes = attempt_->call->takeBody();
    bodyBytes_ += bytes.size();
    if (bodyBytes_ > MaxBufferedResponseBytes) {
        body_ = {};
        onAttemptFailed(Verdict::MayHaveRun, AttemptResult::Failed, "response_too_large");
        return;
    }
    if (!isBodyWanted()) {
        return;
    }
    body_ += bytes;
    options_.context->responseBudget->noteReceived(bytes.size());
    checkBudget();
}

bool Exchange::isBodyWanted() const
{
    const UpstreamResponse &response = attempt_->call->response();
    const bool isAnswer = response.authentic && !response.rejected && !response.misdirected && !response.hasContentEncoding;
    return isAnswer && options_.head.method != "HEAD" && (forwardsBody_ || !options_.caller->hasStartedStream());
}

void Exchange::checkBudget()
{
    if (finished_ || !attempt_ || !attempt_->call->isActive()) {
        return;
    }
    const ResponseBudget &budget = *options_.context->responseBudget;
    if (forwardsBody_ ? !body_.empty() : budget.isTight() && body_.size() > budget.window()) {
        forwardBody();
    }
    updatePause();
}

std::size_t Exchange::heldBytes() const
{
    return body_.size();
}

void Exchange::forwardBody()
{
    if (!std::exchange(forwardsBody_, true)) {
        // The caller has the beginning of this response, which no other upstream can continue.
        noteProgress();
        inactivityTimer_.stop();
        options_.context->metrics->count("carobhall_responses_forwarded_early_total");
        options_.caller->startStream(attempt_->call->head().status, forwardedFields(attempt_->call->head()));
    }
    options_.caller->sendStream(std::exchange(body_, {}));
}

void Exchange::updatePause()
{
    if (!options_.caller->hasStartedStream()) {
        return;
    }
    const Micros now = monotonicNow();
    const bool pause = options_.caller->unsentBytes() > options_.context->responseBudget->window();
    if (isPaused_ || pause) {
        // The upstream is not silent: it is not read.
        attempt_->lastProgressAt = now;
    }
    if (std::exchange(isPaused_, pause) != pause) {
        attempt_->call->setPaused(pause);
        if (pause) {
            pausedSince_ = now;
        } else {
            pausedTime_ += now - pausedSince_;
        }
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
    bool inOrder = true;
    while (auto event = events_.next()) {
        const bool continues = attemptForwards_ || options_.caller->hasStartedStream();
        if (event->id && continues && !follows(*event->id, lastEventId_)) {
            inOrder = false;
            break;
        }
        if (attempt_->prefillPending) {
            attempt_->prefillPending = false;
            options_.context->upstreams->noteFirstToken(*attempt_->upstream, attempt_->choice.prefillTokens);
            options_.context->upstreams->notePromptCached(*attempt_->upstream, attempt_->choice.salt, request_.parts, now);
        }
        if (event->id) {
            lastEventId_ = *event->id;
        }
        if (event->hasData || event->id) {
            // Comments keep a connection open but are no progress.
            attemptForwards_ = true;
            noteProgress();
        }
        if (attemptForwards_ || !options_.caller->hasStartedStream()) {
            out += event->text;
        }
    }
    sendEvents(out, now);
    if (!inOrder) {
        // The server repeats events, or has begun the stream again instead of resuming it.
        onAttemptFailed(Verdict::MayHaveRun, AttemptResult::Failed, "event_out_of_order");
    }
}

void Exchange::sendEvents(std::string_view events, Micros now)
{
    if (events.empty()) {
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
    options_.caller->sendStream(events);
    options_.context->responseBudget->noteReceived(events.size());
    updatePause();
}

void Exchange::onEnd(CallEnd end)
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    const ResponseHead &head = attempt_->call->head();
    const UpstreamResponse &response = attempt_->call->response();
    if (end == CallEnd::NotSent) {
        handover_.noteNotSent();
        onAttemptFailed(Verdict::NotRun, AttemptResult::Unreachable, "not_sent");
        return;
    }
    if (end == CallEnd::Broken) {
        noteBroken(*attempt_);
        onAttemptFailed(Verdict::MayHaveRun, AttemptResult::Failed, "broken_response");
        return;
    }
    if (response.misdirected) {
        noteMisdirected(*attempt_);
    }
    if (response.rejected || response.misdirected) {
        onAttemptFailed(Verdict::NotRun, AttemptResult::Rejected, response.misdirected ? "misdirected" : "rejected");
        return;
    }
    if (!response.authentic || response.hasContentEncoding) {
        onAttemptFailed(Verdict::MayHaveRun, AttemptResult::Failed, response.hasContentEncoding ? "encoded_response" : "not_authentic");
        return;
    }
    if (forwardsBody_) {
        verdict_ = Verdict::Ran;
        const unsigned status = head.status;
        options_.caller->finishStream();
        endAttempt(*attempt_, AttemptResult::Served);
        finish(status, isSuccess(status) ? "served" : "upstream_error");
        return;
    }
    if (route_->kind == RequestKind::Streaming && isSuccess(head.status)) {
        onStreamEnd();
        return;
    }
    if (options_.caller->hasStartedStream()) {
        // An error is no part of the stream, which another upstream may still continue.
        onAttemptFailed(Verdict::MayHaveRun, AttemptResult::Failed, "error_in_stream");
        return;
    }
    verdict_ = Verdict::Ran;
    if (head.status >= 500 && route_->kind == RequestKind::Idempotent) {
        const Micros now = monotonicNow();
        dropStandby(AttemptResult::Abandoned);
        handover_.noteEnded(attempt_->upstream, AttemptEnding::Failed);
        if (hasUntriedUpstream(*options_.context->upstreams, service_->name, handover_.tried()) && mayRetry(Verdict::Ran, now)) {
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

void Exchange::noteMisdirected(Attempt &answered)
{
    const UpstreamResponse &response = answered.call->response();
    Upstream &upstream = *answered.upstream;
    if (!response.instance.empty() && response.instance != upstream.record.id) {
        options_.context->upstreams->noteReplaced(upstream);
    } else if (answered.choice.upstream) {
        options_.context->upstreams->noteWeightsMismatch(upstream, response.weightsVersion.value_or(0), monotonicNow());
    }
    logEvent(LogLevel::Info, "upstream_misdirected",
             { { "id", request_.id },
               { "upstream", upstream.record.id },
               { "answered_by", response.instance },
               { "weights_expected", answered.choice.weightsVersion },
               { "weights", response.weightsVersion.value_or(0) } });
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
    if (forwardsBody_) {
        // The upstream is given its time without that in which the caller's slow reading held it up. A caller that takes nothing is ended by
        // the stall limit of its connection.
        const Micros held = std::exchange(pausedTime_, 0);
        if (isPaused_ || held > 0) {
            deadlineTimer_.startOnce(std::max(held, DeadlineRecheckInterval), [this] { onDeadline(); });
            return;
        }
    }
    cancelAttempt();
    giveUp("deadline", RetryAfterFull, 504);
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
    giveUp("process_stopped", RetryAfterRejected);
}

void Exchange::finish(unsigned status, std::string_view outcome)
{
    if (std::exchange(finished_, true)) {
        return;
    }
    deadlineTimer_.stop();
    inactivityTimer_.stop();
    dropStandby(AttemptResult::Abandoned);
    const Micros now = monotonicNow();
    if (quotaPermits_ > 0) {
        options_.context->quotas->giveBack(account_->name, quotaPermits_ * quotaCost_, now);
        quotaPermits_ = 0;
    }
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
               { "sent", handover_.sent() },
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
