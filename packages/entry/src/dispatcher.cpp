#include "dispatcher.h"

// Index
//   1. Starting         choosing an agent, submitting
//   2. Answers          messages of the current attempt
//   3. Failures         retries by verdict
//   4. Ending           outcomes, callers that left, overdue requests

namespace Carobhall
{

namespace
{

/// How long a request waits for any agent to be reachable, for example just after this process has started.
constexpr Micros NoAgentPatience = MicrosPerSecond;
constexpr Micros NoAgentDelay = 20 * MicrosPerMilli;
/// A broken connection is waited for this long; agents keep output longer (AgentSettings::resumeWindow).
constexpr Micros ResumeLimit = 2 * MicrosPerSecond;
/// An agent refuses at the deadline by itself; one that does not is given up after this further time.
constexpr Micros DeadlineGrace = 10 * MicrosPerSecond;
/// Longer answers are not continued elsewhere, which bounds the text kept for each request.
constexpr std::size_t MaxKeptText = std::size_t{ 1 } << 20U;
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
    request.reply->onTaken([this, number = request.number](std::uint64_t cost) { taken(number, cost); });
    retries_.recordRequest(request.call.account);
    choose(request);
}

void Dispatcher::choose(Request &request)
{
    request.phase = RequestPhase::Choosing;
    const ChooseAsk ask{ .request = request.call, .weightsVersion = request.pinnedVersion, .avoid = request.avoid };
    options_.chooser.choose(
        ask, [this, number = request.number, attempt = request.attempt.attempt](ChooseResult result) { chosen(number, attempt, std::move(result)); });
}

void Dispatcher::chosen(std::uint64_t number, std::uint32_t attempt, ChooseResult result)
{
    Request *const request = table_.find(number);
    if (request == nullptr || request->phase != RequestPhase::Choosing || request->attempt.attempt != attempt) {
        return;
    }
    if (result.error) {
        fail(*request, { .error = result.error, .verdict = Verdict::NotRun, .message = "the request has crashed upstreams" });
        return;
    }
    auto &choice = result.choice;
    if (!choice) {
        noCandidate(*request);
        return;
    }
    if (choice->avoided && request->lastFailure && request->lastFailure->error == Errc::Overloaded) {
        fail(*request, *request->lastFailure);
        return;
    }
    request->agent = std::move(*choice);
    ++request->attempt.attempt;
    request->answer.beginAttempt(request->attempt.attempt);
    submit(*request);
}

void Dispatcher::noCandidate(Request &request)
{
    if (monotonicNow() < std::min(request.call.arrivedAt + NoAgentPatience, request.call.startBy)) {
        backOff(request, NoAgentDelay);
        return;
    }
    Failure failure{ .error = Errc::NoUpstream, .verdict = Verdict::NotRun, .message = "no upstream takes requests for " + request.call.route };
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
    const std::uint64_t window = options_.settings.maxStreamBufferBytes;
    const std::uint64_t pending = request.reply->pendingCost();
    Submit submit;
    submit.key = request.attempt;
    submit.agent = request.agent.agent;
    submit.upstream = request.agent.upstream;
    submit.account = request.call.account;
    submit.rank = static_cast<std::uint8_t>(request.call.rank);
    submit.repeatable = request.call.repeatable;
    submit.idempotencyKey = request.call.idempotencyKey;
    submit.route = request.call.route;
    submit.weightsVersion = request.agent.prompt->weightsVersion;
    submit.salt = request.agent.prompt->salt.seed;
    submit.fingerprint = request.agent.prompt->fingerprint;
    submit.promptPieces = static_cast<std::uint32_t>(request.agent.prompt->hashes.size());
    submit.exclusive = request.agent.alone;
    submit.method = request.call.method;
    submit.path = request.call.path;
    submit.contentType = request.call.contentType;
    submit.body = request.call.body;
    submit.maxTokens = request.call.maxTokens;
    submit.timeout = std::max<Micros>(request.call.startBy - monotonicNow(), 0);
    submit.resumeOffset = request.answer.nextOffset();
    submit.resumeText = request.text;
    submit.creditWindow = window;
    submit.creditTotal = window > pending ? window - pending : 0;
    request.creditBase = request.takenCost + pending;
    request.creditGranted = submit.creditTotal;
    return submit;
}

void Dispatcher::submit(Request &request)
{
    request.submittedAt = monotonicNow();
    request.counted = true;
    options_.chooser.dispatched(request.agent, request.submittedAt);
    const AgentLink *const link = options_.links.find(request.agent.address);
    if (link == nullptr || link->connection == 0 || link->connection != request.agent.connection) {
        // The message did not leave this process.
        attemptFailed(request, { .error = Errc::ConnectionLost, .verdict = Verdict::NotRun, .message = "the connection to the agent is closed" });
        return;
    }
    request.phase = RequestPhase::Submitted;
    sendSubmit(request);
}

void Dispatcher::sendSubmit(Request &request)
{
    if (!options_.links.send(request.agent.connection, makeSubmit(request))) {
        // Part of the message may have left. The agent says what became of it when the connection is back.
        request.phase = RequestPhase::Reconnecting;
        request.lostAt = monotonicNow();
    }
}

// 2. Answers --------------------------------------------------------------------------------------

Request *Dispatcher::owner(const AgentLink &link, const AttemptKey &key)
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
        options_.chooser.replied(link, *reply);
    } else if (auto *const chunk = std::get_if<Chunk>(&message)) {
        if (Request *const request = owner(link, chunk->key); request != nullptr) {
            arrived(*request, std::move(*chunk));
        }
    } else if (auto *const head = std::get_if<Head>(&message)) {
        if (Request *const request = owner(link, head->key); request != nullptr) {
            began(*request, std::move(*head));
        }
    } else if (const auto *const end = std::get_if<End>(&message)) {
        if (Request *const request = owner(link, end->key); request != nullptr) {
            ended(*request, *end);
        }
    } else if (const auto *const refusal = std::get_if<Refused>(&message)) {
        if (Request *const request = owner(link, refusal->key); request != nullptr) {
            refused(*request, *refusal);
        }
    } else {
        options_.metrics.count("carobhall_entry_unexpected_messages_total");
    }
}

void Dispatcher::began(Request &request, Head head)
{
    if (request.answer.nextOffset() > 0 && head.status >= FirstErrorStatus) {
        release(request);
        attemptFailed(request, { .error = Errc::StreamBroken, .verdict = Verdict::MayHaveRun, .message = "the stream was not continued" });
        return;
    }
    request.head = std::move(head);
}

void Dispatcher::arrived(Request &request, Chunk chunk)
{
    const ChunkResult fate = request.answer.accept(chunk.key.attempt, chunk.offset, std::move(chunk.pieces));
    if (fate == ChunkResult::Duplicate) {
        return;
    }
    // One connection delivers in order, so that a gap means that something is lost.
    if (fate != ChunkResult::Ready || !request.head) {
        release(request);
        attemptFailed(request, { .error = Errc::StreamBroken, .verdict = Verdict::MayHaveRun, .message = "a part of the answer is missing" });
        return;
    }
    std::vector<std::string> fresh = request.answer.takeReady();
    if (fresh.empty()) {
        return;
    }
    if (request.call.isModel()) {
        for (const std::string &piece : fresh) {
            if (request.text.size() <= MaxKeptText) {
                request.text += piece;
            }
        }
    }
    // Another version of the weights would continue the text differently.
    request.pinnedVersion = request.agent.weightsVersion;
    const Micros now = monotonicNow();
    if (request.firstPieceAt == 0) {
        request.firstPieceAt = now;
        options_.chooser.firstToken(request.agent, now - request.submittedAt, now);
        retries_.recordFirstTokenTime(now - request.submittedAt);
        options_.metrics.observe("carobhall_entry_first_token_seconds", rankLabel(request), now - request.call.arrivedAt);
    } else {
        options_.metrics.observe("carobhall_entry_between_tokens_seconds", rankLabel(request), now - request.lastPieceAt);
    }
    request.lastPieceAt = now;
    request.reply->append(*request.head, std::move(fresh));
}

void Dispatcher::taken(std::uint64_t number, std::uint64_t cost)
{
    Request *const request = table_.find(number);
    if (request == nullptr) {
        return;
    }
    request->takenCost = cost;
    if (request->phase != RequestPhase::Submitted) {
        return;
    }
    const std::uint64_t window = options_.settings.maxStreamBufferBytes;
    const std::uint64_t pending = request->reply->pendingCost();
    const std::uint64_t received = cost + pending - request->creditBase;
    const std::uint64_t total = received + (window > pending ? window - pending : 0);
    // Each grant is a message, so small steps are gathered.
    if (total >= request->creditGranted + window / 4) {
        request->creditGranted = total;
        Credit credit;
        credit.key = request->attempt;
        credit.total = total;
        options_.links.send(request->agent.connection, credit);
    }
}

void Dispatcher::ended(Request &request, const End &message)
{
    release(request);
    request.verdict = combine(request.verdict, verdictFrom(message.verdict));
    if (message.complete && request.head && request.answer.end(request.attempt.attempt, message.finalOffset) && request.answer.complete()) {
        succeed(request, message);
        return;
    }
    const std::error_code error = message.complete ? Errc::StreamBroken : static_cast<Errc>(message.error);
    attemptFailed(request, { .error = error, .verdict = verdictFrom(message.verdict), .message = message.message });
}

void Dispatcher::refused(Request &request, const Refused &message)
{
    release(request);
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
    // Another run of a plain service may give other bytes, so an answer that has begun is not continued.
    // An agent ends an attempt by a timeout when the caller does not read; elsewhere it would not read either.
    const bool isStalled = failure.error == Errc::Timeout && failure.verdict == Verdict::MayHaveRun;
    const bool canContinue = request.call.isModel() ? request.text.size() <= MaxKeptText : !hasBegun;
    const auto error = failure.error.category() == errorCategory() ? static_cast<Errc>(failure.error.value()) : Errc::UpstreamFailed;
    return retries_.decide({
        .account = request.call.account,
        .verdict = failure.verdict,
        .error = error,
        .repeatable = request.call.repeatable && canContinue && !isStalled,
        .attempts = request.attempt.attempt - request.redirects,
        .redirects = request.redirects,
        // The deadline is about the start: an answer that has begun may be continued after it.
        .remaining = hasBegun ? DeadlineGrace : request.call.startBy - monotonicNow(),
    });
}

void Dispatcher::uncount(Request &request)
{
    if (request.counted) {
        request.counted = false;
        options_.chooser.ended(request.agent, monotonicNow());
    }
}

void Dispatcher::attemptFailed(Request &request, Failure failure)
{
    uncount(request);
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
    // An upstream that started anew is as good as any; one that failed or refused is not tried first.
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

void Dispatcher::release(Request &request)
{
    Cancel cancel;
    cancel.key = request.attempt;
    options_.links.send(request.agent.connection, cancel);
}

void Dispatcher::succeed(Request &request, const End &message)
{
    uncount(request);
    request.phase = RequestPhase::Ended;
    logEnd(request, request.verdict, {});
    request.reply->finish(*request.head, message.finishReason);
}

void Dispatcher::fail(Request &request, Failure failure)
{
    uncount(request);
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

void Dispatcher::callerGone(std::uint64_t number)
{
    Request *const request = table_.find(number);
    if (request == nullptr) {
        return;
    }
    if (request->phase != RequestPhase::Ended) {
        if (request->phase == RequestPhase::Submitted) {
            request->verdict = combine(request->verdict, Verdict::MayHaveRun);
            release(*request);
        }
        logEnd(*request, request->verdict, Errc::Cancelled);
    }
    uncount(*request);
    table_.remove(number);
}

void Dispatcher::linkLost(ConnectionId connection)
{
    options_.chooser.lost(connection);
    const Micros now = monotonicNow();
    table_.each([&](Request &request) {
        if (request.phase == RequestPhase::Submitted && request.agent.connection == connection) {
            request.phase = RequestPhase::Reconnecting;
            request.lostAt = now;
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
        if (request.agent.agent != link.peer.incarnation) {
            attemptFailed(request, { .error = Errc::ConnectionLost, .verdict = Verdict::MayHaveRun, .message = "the agent has started anew" });
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
    options_.chooser.lost(connection);
    table_.each([&](Request &request) {
        if (request.phase == RequestPhase::Submitted && request.agent.connection == connection) {
            // The connection never opened, so that the message did not leave this process.
            attemptFailed(request, { .error = Errc::ConnectionLost, .verdict = Verdict::NotRun, .message = "the agent is unreachable" });
        } else if (request.phase == RequestPhase::Reconnecting && request.agent.address == link.agent.address && request.call.repeatable) {
            // What can run elsewhere does not wait; a call that cannot waits for its answer as long as it may come.
            attemptFailed(request, { .error = Errc::ConnectionLost, .verdict = Verdict::MayHaveRun, .message = "the agent is unreachable" });
        }
    });
}

bool Dispatcher::expectsFrom(const AgentLink &link)
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
        if (request.phase == RequestPhase::Reconnecting && request.lostAt + ResumeLimit < now) {
            attemptFailed(request, { .error = Errc::ConnectionLost, .verdict = Verdict::MayHaveRun, .message = "the connection to the agent is lost" });
        } else if (request.phase == RequestPhase::Reconnecting) {
            options_.links.connect(request.agent.address);
        } else if (request.phase == RequestPhase::Submitted && !request.head && request.call.startBy + DeadlineGrace < now) {
            release(request);
            request.verdict = combine(request.verdict, Verdict::MayHaveRun);
            fail(request, { .error = Errc::DeadlineUnreachable, .message = "the request did not begin within its deadline" });
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
            release(request);
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
    Json::Value rows(Json::arrayValue);
    table_.each([&](const Request &request) {
        Json::Value row(Json::objectValue);
        row["request"] = toString(request.attempt);
        row["account"] = request.call.account;
        row["route"] = request.call.route;
        row["phase"] = std::string(nameOf(request.phase));
        row["upstream"] = request.agent.upstreamName;
        row["verdict"] = std::string(nameOf(request.verdict));
        row["offset"] = Json::UInt64(request.answer.nextOffset());
        row["pending_cost"] = Json::UInt64(request.reply == nullptr ? 0 : request.reply->pendingCost());
        rows.append(row);
    });
    return rows;
}

} // namespace Carobhall
