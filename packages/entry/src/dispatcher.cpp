#include "dispatcher.h"

// Index
//   1. Starting         choosing an agent, submitting the attempt
//   2. Answers          messages of the current attempt
//   3. Failures         retries by verdict
//   4. Ending           outcomes, disconnected callers and agents, timeouts

namespace Carobhall
{

namespace
{

/// How long after its arrival a request may wait for an agent to become available, for example just after this process has started.
constexpr Micros NoAgentTimeout = MicrosPerSecond;
constexpr Micros NoAgentRetryDelay = 20 * MicrosPerMilli;
/// How long an attempt waits for a lost connection to be re-established. Agents keep the output of an attempt for longer
/// (AgentSettings::resumeWindow).
constexpr Micros ReconnectTimeout = 2 * MicrosPerSecond;
/// Agents refuse a request that has not started at its deadline. If no answer has begun this long after the deadline, the attempt is
/// cancelled.
constexpr Micros DeadlineGrace = 10 * MicrosPerSecond;
/// Answers longer than this are not continued on another upstream, which bounds the text kept for each request.
constexpr std::size_t MaxResumeTextBytes = std::size_t{ 1 } << 20U;
constexpr int FirstErrorStatus = 400;

std::string rankLabel(const Request &request)
{
    return "rank=\"" + std::string(nameOf(request.call.rank)) + "\"";
}

Verdict verdictFrom(std::uint8_t value)
{
    return static_cast<Verdict>(value);
}

} // namespace

// 1. Starting -------------------------------------------------------------------------------------

Dispatcher::Dispatcher(DispatcherOptions options)
    : options_(options)
    , retries_(options.retries, options.incarnation)
{
}

Request &Dispatcher::add(CallerRequest call)
{
    Request &request = table_.add(std::move(call));
    request.attempt = { .entry = options_.incarnation, .number = request.number, .attempt = 0 };
    request.answer = Reassembly({ .unit = request.call.isModel() ? AnswerUnit::Pieces : AnswerUnit::Bytes });
    return request;
}

void Dispatcher::start(Request &request)
{
    request.reply->onConsumed([this, number = request.number](std::uint64_t cost) { onConsumed(number, cost); });
    retries_.recordRequest(request.call.account);
    choose(request);
}

void Dispatcher::choose(Request &request)
{
    request.phase = RequestPhase::Choosing;
    const ChooseQuery query{ .request = request.call, .weightsVersion = request.pinnedVersion, .avoid = request.avoid };
    options_.chooser.choose(
        query, [this, number = request.number, attempt = request.attempt.attempt](ChooseResult result) { onChosen(number, attempt, std::move(result)); });
}

void Dispatcher::onChosen(std::uint64_t number, std::uint32_t attempt, ChooseResult result)
{
    Request *const request = table_.find(number);
    if (request == nullptr || request->phase != RequestPhase::Choosing || request->attempt.attempt != attempt) {
        return;
    }
    if (result.error) {
        fail(*request, { .error = result.error, .verdict = Verdict::NotRun, .message = "the request has crashed upstreams and is not run again" });
        return;
    }
    auto &choice = result.choice;
    if (!choice) {
        onNoCandidate(*request);
        return;
    }
    if (choice->onlyAvoidedLeft && request->lastFailure && request->lastFailure->error == Errc::Overloaded) {
        fail(*request, *request->lastFailure);
        return;
    }
    request->agent = std::move(*choice);
    ++request->attempt.attempt;
    request->answer.beginAttempt(request->attempt.attempt);
    submit(*request);
}

void Dispatcher::onNoCandidate(Request &request)
{
    if (monotonicNow() < std::min(request.call.arrivedAt + NoAgentTimeout, request.call.startBy)) {
        backOff(request, NoAgentRetryDelay);
        return;
    }
    Failure failure{ .error = Errc::NoUpstream, .verdict = Verdict::NotRun, .message = "no upstream accepts requests for " + request.call.route };
    fail(request, request.lastFailure ? *request.lastFailure : failure);
}

void Dispatcher::backOff(Request &request, Micros delay)
{
    request.phase = RequestPhase::BackingOff;
    request.backoff.startOnce(delay, [this, number = request.number] {
        if (Request *const waiting = table_.find(number); waiting != nullptr && waiting->phase == RequestPhase::BackingOff) {
            choose(*waiting);
        }
    });
}

Submit Dispatcher::makeSubmit(Request &request) const
{
    const std::uint64_t window = options_.settings.maxStreamBuffer;
    const std::uint64_t pending = request.reply->pendingCost();
    Submit submit;
    submit.key = request.attempt;
    submit.agent = request.agent.agentIncarnation;
    submit.upstream = request.agent.upstreamIncarnation;
    submit.account = request.call.account;
    submit.rank = static_cast<std::uint8_t>(request.call.rank);
    submit.repeatable = request.call.repeatable;
    submit.idempotencyKey = request.call.idempotencyKey;
    submit.route = request.call.route;
    submit.weightsVersion = request.agent.prompt->weightsVersion;
    submit.salt = request.agent.prompt->salt.seed;
    submit.fingerprint = request.agent.prompt->fingerprint;
    submit.promptPieces = static_cast<std::uint32_t>(request.agent.prompt->hashes.size());
    submit.exclusive = request.agent.exclusive;
    submit.method = request.call.method;
    submit.path = request.call.path;
    submit.contentType = request.call.contentType;
    submit.body = request.call.body;
    submit.maxTokens = request.call.maxTokens;
    submit.timeout = std::max<Micros>(request.call.startBy - monotonicNow(), 0);
    submit.resumeOffset = request.answer.nextOffset();
    submit.resumeText = request.resumeText;
    submit.creditWindow = window;
    submit.creditTotal = window > pending ? window - pending : 0;
    request.creditBase = request.consumedCost + pending;
    request.creditGranted = submit.creditTotal;
    return submit;
}

void Dispatcher::submit(Request &request)
{
    request.submittedAt = monotonicNow();
    request.countedInFlight = true;
    options_.chooser.onDispatched(request.agent, request.submittedAt);
    const AgentLink *const link = options_.links.find(request.agent.address);
    if (link == nullptr || link->connection == 0 || link->connection != request.agent.connection) {
        // The Submit message was not sent.
        attemptFailed(request, { .error = Errc::ConnectionLost, .verdict = Verdict::NotRun, .message = "the connection to the agent is closed" });
        return;
    }
    request.phase = RequestPhase::Submitted;
    sendSubmit(request);
}

void Dispatcher::sendSubmit(Request &request)
{
    if (!options_.links.send(request.agent.connection, makeSubmit(request))) {
        // Part of the message may have been sent. Its outcome is unknown until the agent reports it over a new connection.
        request.phase = RequestPhase::Reconnecting;
        request.disconnectedAt = monotonicNow();
    }
}

// 2. Answers --------------------------------------------------------------------------------------

Request *Dispatcher::findCurrent(const AgentLink &link, const AttemptKey &key)
{
    const AttemptId id = key;
    Request *const request = id.entry == options_.incarnation ? table_.find(id.number) : nullptr;
    const bool isCurrent = request != nullptr && request->phase == RequestPhase::Submitted && request->attempt == id
        && request->agent.connection == link.connection;
    if (!isCurrent) {
        options_.metrics.count("carobhall_entry_stale_messages_total");
        return nullptr;
    }
    return request;
}

void Dispatcher::received(const AgentLink &link, Message message)
{
    if (const auto *const reply = std::get_if<ProbeReply>(&message)) {
        options_.chooser.onProbeReply(link, *reply);
    } else if (auto *const chunk = std::get_if<Chunk>(&message)) {
        if (Request *const request = findCurrent(link, chunk->key); request != nullptr) {
            onChunk(*request, std::move(*chunk));
        }
    } else if (auto *const head = std::get_if<Head>(&message)) {
        if (Request *const request = findCurrent(link, head->key); request != nullptr) {
            onHead(*request, std::move(*head));
        }
    } else if (const auto *const end = std::get_if<End>(&message)) {
        if (Request *const request = findCurrent(link, end->key); request != nullptr) {
            onEnd(*request, *end);
        }
    } else if (const auto *const refusal = std::get_if<Refused>(&message)) {
        if (Request *const request = findCurrent(link, refusal->key); request != nullptr) {
            onRefused(*request, *refusal);
        }
    } else {
        options_.metrics.count("carobhall_entry_unexpected_messages_total");
    }
}

void Dispatcher::onHead(Request &request, Head head)
{
    if (request.answer.nextOffset() > 0 && head.status >= FirstErrorStatus) {
        cancelAttempt(request);
        attemptFailed(
            request,
            { .error = Errc::StreamBroken, .verdict = Verdict::MayHaveRun, .message = "the upstream answered the resumed stream with an error status" });
        return;
    }
    request.head = std::move(head);
}

void Dispatcher::onChunk(Request &request, Chunk chunk)
{
    const ChunkResult result = request.answer.accept(chunk.key.attempt, chunk.offset, std::move(chunk.pieces));
    if (result == ChunkResult::Duplicate) {
        return;
    }
    // A connection delivers messages in order, so a gap means that a message was lost.
    if (result != ChunkResult::Ready || !request.head) {
        cancelAttempt(request);
        attemptFailed(request, { .error = Errc::StreamBroken, .verdict = Verdict::MayHaveRun, .message = "a part of the answer was lost" });
        return;
    }
    std::vector<std::string> pieces = request.answer.takeReady();
    if (pieces.empty()) {
        return;
    }
    if (request.call.isModel()) {
        for (const std::string &piece : pieces) {
            if (request.resumeText.size() <= MaxResumeTextBytes) {
                request.resumeText += piece;
            }
        }
    }
    // A retry must use the same weights version, because another version would continue the text differently.
    request.pinnedVersion = request.agent.weightsVersion;
    const Micros now = monotonicNow();
    if (request.firstPieceAt == 0) {
        request.firstPieceAt = now;
        options_.chooser.onFirstToken(request.agent, now - request.submittedAt, now);
        retries_.recordFirstTokenTime(now - request.submittedAt);
        options_.metrics.observe("carobhall_entry_first_token_seconds", rankLabel(request), now - request.call.arrivedAt);
    } else {
        options_.metrics.observe("carobhall_entry_between_tokens_seconds", rankLabel(request), now - request.lastPieceAt);
    }
    request.lastPieceAt = now;
    request.reply->append(*request.head, std::move(pieces));
}

void Dispatcher::onConsumed(std::uint64_t number, std::uint64_t cost)
{
    Request *const request = table_.find(number);
    if (request == nullptr) {
        return;
    }
    request->consumedCost = cost;
    if (request->phase != RequestPhase::Submitted) {
        return;
    }
    const std::uint64_t window = options_.settings.maxStreamBuffer;
    const std::uint64_t pending = request->reply->pendingCost();
    const std::uint64_t received = cost + pending - request->creditBase;
    const std::uint64_t total = received + (window > pending ? window - pending : 0);
    // Each credit update is a message, so an update is sent only when it raises the total by at least a quarter of the window.
    if (total >= request->creditGranted + window / 4) {
        request->creditGranted = total;
        Credit credit;
        credit.key = request->attempt;
        credit.total = total;
        options_.links.send(request->agent.connection, credit);
    }
}

void Dispatcher::onEnd(Request &request, const End &message)
{
    cancelAttempt(request);
    request.verdict = combine(request.verdict, verdictFrom(message.verdict));
    if (message.complete && request.head && request.answer.end(request.attempt.attempt, message.finalOffset) && request.answer.complete()) {
        succeed(request, message);
        return;
    }
    const std::error_code error = message.complete ? Errc::StreamBroken : static_cast<Errc>(message.error);
    attemptFailed(request, { .error = error, .verdict = verdictFrom(message.verdict), .message = message.message });
}

void Dispatcher::onRefused(Request &request, const Refused &message)
{
    cancelAttempt(request);
    attemptFailed(request,
                  {
                      .error = static_cast<Errc>(message.error),
                      .verdict = verdictFrom(message.verdict),
                      .message = message.message,
                      .retryAfter = message.retryAfter,
                  });
}

// 3. Failures -------------------------------------------------------------------------------------

RetryDecision Dispatcher::decide(const Request &request, const Failure &failure)
{
    const bool hasBegun = request.answer.nextOffset() > 0;
    // An agent ends an attempt with a timeout when the caller does not read the answer. A retry would stall in the same way.
    const bool isCallerStalled = failure.error == Errc::Timeout && failure.verdict == Verdict::MayHaveRun;
    // A second run of a plain service may return other bytes, so an answer that has begun is not continued.
    const bool canContinue = request.call.isModel() ? request.resumeText.size() <= MaxResumeTextBytes : !hasBegun;
    const auto error = failure.error.category() == errorCategory() ? static_cast<Errc>(failure.error.value()) : Errc::UpstreamFailed;
    return retries_.decide({
        .account = request.call.account,
        .verdict = failure.verdict,
        .error = error,
        .repeatable = request.call.repeatable && canContinue && !isCallerStalled,
        .attempts = request.attempt.attempt - request.redirects,
        .redirects = request.redirects,
        // The deadline applies to the start of the answer only: an answer that has begun may be continued after it.
        .remaining = hasBegun ? DeadlineGrace : request.call.startBy - monotonicNow(),
    });
}

void Dispatcher::endInFlight(Request &request)
{
    if (request.countedInFlight) {
        request.countedInFlight = false;
        options_.chooser.onEnded(request.agent, monotonicNow());
    }
}

void Dispatcher::attemptFailed(Request &request, Failure failure)
{
    endInFlight(request);
    request.verdict = combine(request.verdict, failure.verdict);
    options_.metrics.count("carobhall_entry_attempts_failed_total", "error=\"" + failure.error.message() + "\"");
    logEvent(LogLevel::Info, "attempt_failed",
             { { "request", toString(request.attempt) },
               { "upstream", request.agent.upstreamName },
               { "verdict", failure.verdict },
               { "error", failure.error },
               { "offset", request.answer.nextOffset() },
               { "message", failure.message } });
    const RetryDecision decision = decide(request, failure);
    options_.metrics.count("carobhall_entry_retry_decisions_total", "reason=\"" + std::string(nameOf(decision.reason)) + "\"");
    if (!decision.retry) {
        fail(request, std::move(failure));
        return;
    }
    if (decision.reason == RetryReason::Redirect) {
        ++request.redirects;
    }
    // Prefer other agents over one that failed or refused this request. An upstream that has only restarted need not be avoided.
    if (failure.error != Errc::IncarnationMismatch) {
        request.avoid.insert(request.agent.address);
    }
    if (request.answer.nextOffset() == 0) {
        request.head.reset();
    }
    request.lastFailure = std::move(failure);
    backOff(request, decision.delay);
}

// 4. Ending ---------------------------------------------------------------------------------------

void Dispatcher::cancelAttempt(Request &request)
{
    Cancel cancel;
    cancel.key = request.attempt;
    options_.links.send(request.agent.connection, cancel);
}

void Dispatcher::succeed(Request &request, const End &message)
{
    endInFlight(request);
    request.phase = RequestPhase::Ended;
    logEnd(request, request.verdict, {});
    request.reply->finish(*request.head, message.finishReason);
}

void Dispatcher::fail(Request &request, Failure failure)
{
    endInFlight(request);
    request.phase = RequestPhase::Ended;
    failure.verdict = request.verdict;
    if (failure.message.empty()) {
        failure.message = failure.error.message();
    }
    logEnd(request, failure.verdict, failure.error);
    request.reply->fail(failure);
}

void Dispatcher::logEnd(const Request &request, Verdict verdict, std::error_code error)
{
    const std::string errorName = error ? error.message() : "none";
    options_.metrics.count("carobhall_entry_requests_total", rankLabel(request) + ",error=\"" + errorName + "\"");
    const Micros now = monotonicNow();
    logEvent(LogLevel::Info, "request_end",
             { { "request", toString(request.attempt) },
               { "account", request.call.account },
               { "rank", request.call.rank },
               { "route", request.call.route },
               { "upstream", request.agent.upstreamName },
               { "attempts", request.attempt.attempt },
               { "verdict", verdict },
               { "error", errorName },
               { "offset", request.answer.nextOffset() },
               { "first_token_us", request.firstPieceAt == 0 ? -1 : request.firstPieceAt - request.call.arrivedAt },
               { "total_us", now - request.call.arrivedAt } });
}

void Dispatcher::onCallerFinished(std::uint64_t number)
{
    Request *const request = table_.find(number);
    if (request == nullptr) {
        return;
    }
    if (request->phase != RequestPhase::Ended) {
        if (request->phase == RequestPhase::Submitted) {
            request->verdict = combine(request->verdict, Verdict::MayHaveRun);
            cancelAttempt(*request);
        }
        logEnd(*request, request->verdict, Errc::Cancelled);
    }
    endInFlight(*request);
    table_.remove(number);
}

void Dispatcher::linkLost(ConnectionId connection)
{
    options_.chooser.onConnectionLost(connection);
    const Micros now = monotonicNow();
    table_.each([&](Request &request) {
        if (request.phase == RequestPhase::Submitted && request.agent.connection == connection) {
            request.phase = RequestPhase::Reconnecting;
            request.disconnectedAt = now;
            options_.links.connect(request.agent.address);
        }
    });
}

void Dispatcher::linkOpened(const AgentLink &link)
{
    table_.each([&](Request &request) {
        if (request.phase != RequestPhase::Reconnecting || request.agent.address != link.agent.address) {
            return;
        }
        if (request.agent.agentIncarnation != link.peer.incarnation) {
            attemptFailed(request, { .error = Errc::ConnectionLost, .verdict = Verdict::MayHaveRun, .message = "the agent has restarted" });
            return;
        }
        options_.metrics.count("carobhall_entry_resumed_total");
        request.agent.connection = link.connection;
        request.phase = RequestPhase::Submitted;
        sendSubmit(request);
    });
}

void Dispatcher::linkUnreachable(const AgentLink &link, ConnectionId connection)
{
    options_.chooser.onConnectionLost(connection);
    table_.each([&](Request &request) {
        if (request.phase == RequestPhase::Submitted && request.agent.connection == connection) {
            // The connection was never established, so the Submit message was not sent.
            attemptFailed(request, { .error = Errc::ConnectionLost, .verdict = Verdict::NotRun, .message = "the agent is unreachable" });
        } else if (request.phase == RequestPhase::Reconnecting && request.agent.address == link.agent.address && request.call.repeatable) {
            // A repeatable request is retried on another agent at once. Other requests must wait until ReconnectTimeout for their answer.
            attemptFailed(request, { .error = Errc::ConnectionLost, .verdict = Verdict::MayHaveRun, .message = "the agent is unreachable" });
        }
    });
}

bool Dispatcher::expectsAnswerFrom(const AgentLink &link)
{
    bool expects = false;
    table_.each([&](const Request &request) {
        const bool waits = request.phase == RequestPhase::Submitted || request.phase == RequestPhase::Reconnecting;
        expects = expects || (waits && request.agent.address == link.agent.address);
    });
    return expects;
}

void Dispatcher::tick(Micros now)
{
    table_.each([&](Request &request) {
        if (request.phase == RequestPhase::Reconnecting && request.disconnectedAt + ReconnectTimeout < now) {
            attemptFailed(
                request,
                { .error = Errc::ConnectionLost, .verdict = Verdict::MayHaveRun, .message = "the connection to the agent was lost and not re-established" });
        } else if (request.phase == RequestPhase::Reconnecting) {
            options_.links.connect(request.agent.address);
        } else if (request.phase == RequestPhase::Submitted && !request.head && request.call.startBy + DeadlineGrace < now) {
            cancelAttempt(request);
            request.verdict = combine(request.verdict, Verdict::MayHaveRun);
            fail(request, { .error = Errc::DeadlineUnreachable, .message = "the request did not start before its deadline" });
        }
    });
    options_.metrics.setGauge("carobhall_entry_requests", {}, static_cast<double>(table_.size()));
}

void Dispatcher::failAll(const std::string &reason)
{
    table_.each([&](Request &request) {
        if (request.phase == RequestPhase::Ended) {
            return;
        }
        if (request.phase == RequestPhase::Submitted || request.phase == RequestPhase::Reconnecting) {
            cancelAttempt(request);
            request.verdict = combine(request.verdict, Verdict::MayHaveRun);
        }
        fail(request, { .error = Errc::Leaving, .message = reason });
    });
}

bool Dispatcher::isOpen(std::uint64_t number)
{
    const Request *const request = table_.find(number);
    return request != nullptr && request->phase != RequestPhase::Ended;
}

double Dispatcher::spentTokens(std::uint64_t number)
{
    const Request *const request = table_.find(number);
    if (request == nullptr || (request->verdict == Verdict::NotRun && request->phase == RequestPhase::Ended)) {
        return 0.0;
    }
    return request->call.isModel() ? promptTokens(request->call) + static_cast<double>(request->answer.nextOffset()) : 1.0;
}

std::size_t Dispatcher::size() const
{
    return table_.size();
}

Json::Value Dispatcher::dump()
{
    Json::Value requests(Json::arrayValue);
    table_.each([&](const Request &request) {
        Json::Value entry(Json::objectValue);
        entry["request"] = toString(request.attempt);
        entry["account"] = request.call.account;
        entry["route"] = request.call.route;
        entry["phase"] = std::string(nameOf(request.phase));
        entry["upstream"] = request.agent.upstreamName;
        entry["verdict"] = std::string(nameOf(request.verdict));
        entry["offset"] = Json::UInt64(request.answer.nextOffset());
        entry["pending_cost"] = Json::UInt64(request.reply == nullptr ? 0 : request.reply->pendingCost());
        requests.append(entry);
    });
    return requests;
}

} // namespace Carobhall
