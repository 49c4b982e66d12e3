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

constexpr std::uint32_t MaxAttempts = 5;
/// How long a request waits for any agent to be reachable, for example just after this process has started.
constexpr Micros NoAgentPatience = MicrosPerSecond;
constexpr Micros NoAgentDelay = 20 * MicrosPerMilli;
constexpr Micros RetryDelay = 50 * MicrosPerMilli;
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
{
}

Request &Dispatcher::add(CallerRequest call)
{
    Request &request = table_.add(std::move(call));
    request.attempt = { .entry = options_.incarnation, .number = request.number, .attempt = 0 };
    return request;
}

void Dispatcher::start(Request &request)
{
    request.reply->onTaken([this, number = request.number](std::uint64_t cost) { taken(number, cost); });
    choose(request);
}

void Dispatcher::choose(Request &request)
{
    request.phase = RequestPhase::Choosing;
    const ChooseAsk ask{ .request = request.call, .weightsVersion = request.pinnedVersion, .avoid = request.avoid };
    options_.chooser.choose(
        ask, [this, number = request.number, attempt = request.attempt.attempt](std::optional<Choice> choice) { chosen(number, attempt, std::move(choice)); });
}

void Dispatcher::chosen(std::uint64_t number, std::uint32_t attempt, std::optional<Choice> choice)
{
    Request *const request = table_.find(number);
    if (request == nullptr || request->phase != RequestPhase::Choosing || request->attempt.attempt != attempt) {
        return;
    }
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
    const std::uint64_t window = options_.settings.maxStreamBuffer;
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
    submit.weightsVersion = request.pinnedVersion;
    submit.method = request.call.method;
    submit.path = request.call.path;
    submit.contentType = request.call.contentType;
    submit.body = request.call.body;
    submit.maxTokens = request.call.maxTokens;
    submit.timeout = std::max<Micros>(request.call.startBy - monotonicNow(), 0);
    submit.resumeOffset = request.offset;
    submit.resumeText = request.text;
    submit.window = window;
    submit.creditTotal = window > pending ? window - pending : 0;
    request.creditBase = request.takenCost + pending;
    request.creditGranted = submit.creditTotal;
    return submit;
}

void Dispatcher::submit(Request &request)
{
    const AgentLink *const link = options_.links.find(request.agent.address);
    if (link == nullptr || !link->open || link->connection != request.agent.connection) {
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
    if (request.offset > 0 && head.status >= FirstErrorStatus) {
        release(request);
        attemptFailed(request, { .error = Errc::StreamBroken, .verdict = Verdict::MayHaveRun, .message = "the stream was not continued" });
        return;
    }
    request.head = std::move(head);
}

void Dispatcher::arrived(Request &request, Chunk chunk)
{
    const bool countsTokens = request.call.isModel();
    std::vector<std::string> fresh;
    std::uint64_t at = chunk.offset;
    for (std::string &piece : chunk.pieces) {
        const std::uint64_t length = countsTokens ? 1 : piece.size();
        if (at > request.offset || (at < request.offset && at + length > request.offset)) {
            break;
        }
        if (at == request.offset) {
            request.offset += length;
            if (countsTokens && request.text.size() <= MaxKeptText) {
                request.text += piece;
            }
            fresh.push_back(std::move(piece));
        }
        at += length;
    }
    if (at > request.offset || !request.head) {
        release(request);
        attemptFailed(request, { .error = Errc::StreamBroken, .verdict = Verdict::MayHaveRun, .message = "a part of the answer is missing" });
        return;
    }
    if (fresh.empty()) {
        return;
    }
    // Another version of the weights would continue the text differently.
    request.pinnedVersion = request.agent.weightsVersion;
    const Micros now = monotonicNow();
    if (request.firstPieceAt == 0) {
        request.firstPieceAt = now;
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
    const std::uint64_t window = options_.settings.maxStreamBuffer;
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
    if (message.complete && message.finalOffset == request.offset && request.head) {
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

bool Dispatcher::mayRetry(const Request &request, const Failure &failure) const
{
    const std::error_code error = failure.error;
    if (error == Errc::Conflict || error == Errc::KeyExpired || error == Errc::Condemned || error == Errc::PlatformUnavailable) {
        return false;
    }
    if (request.attempt.attempt >= MaxAttempts) {
        return false;
    }
    if (failure.verdict == Verdict::NotRun) {
        return true;
    }
    // Another run of a plain service may give other bytes, so an answer that has begun is not continued.
    const bool canContinue = request.call.isModel() ? request.text.size() <= MaxKeptText : request.offset == 0;
    return request.call.repeatable && canContinue;
}

void Dispatcher::attemptFailed(Request &request, Failure failure)
{
    request.verdict = combine(request.verdict, failure.verdict);
    options_.metrics.count("carobhall_entry_attempts_failed_total", "error=\"" + failure.error.message() + "\"");
    logEvent(LogLevel::Info, "attempt_failed",
             { { "request", toString(request.attempt) },
               { "upstream", request.agent.upstreamName },
               { "verdict", failure.verdict },
               { "error", failure.error },
               { "offset", request.offset },
               { "message", failure.message } });
    if (!mayRetry(request, failure)) {
        fail(request, std::move(failure));
        return;
    }
    // An upstream that started anew is as good as any; one that failed or refused is not tried first.
    if (failure.error != Errc::IncarnationMismatch) {
        request.avoid.insert(request.agent.address);
    }
    if (request.offset == 0) {
        request.head.reset();
    }
    const bool wasAvoided = request.agent.avoided;
    request.lastFailure = std::move(failure);
    backOff(request, wasAvoided ? RetryDelay << request.attempt.attempt : 0);
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
    request.phase = RequestPhase::Ended;
    logEnd(request, request.verdict, {});
    request.reply->finish(*request.head, message.finishReason);
}

void Dispatcher::fail(Request &request, Failure failure)
{
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
               { "offset", request.offset },
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
        }
    });
}

void Dispatcher::linkOpened(const AgentLink &link)
{
    table_.each([&](Request &request) {
        if (request.phase != RequestPhase::Reconnecting || request.agent.address != link.address) {
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

void Dispatcher::linkUnreachable(const AgentLink &link)
{
    table_.each([&](Request &request) {
        // What can run elsewhere does not wait; a call that cannot waits for its answer as long as it may come.
        if (request.phase == RequestPhase::Reconnecting && request.agent.address == link.address && request.call.repeatable) {
            attemptFailed(request, { .error = Errc::ConnectionLost, .verdict = Verdict::MayHaveRun, .message = "the agent is unreachable" });
        }
    });
}

void Dispatcher::tick(Micros now)
{
    table_.each([&](Request &request) {
        if (request.phase == RequestPhase::Reconnecting && request.lostAt + ResumeLimit < now) {
            attemptFailed(request, { .error = Errc::ConnectionLost, .verdict = Verdict::MayHaveRun, .message = "the connection to the agent is lost" });
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
        row["offset"] = Json::UInt64(request.offset);
        row["pending_cost"] = Json::UInt64(request.reply == nullptr ? 0 : request.reply->pendingCost());
        rows.append(row);
    });
    return rows;
}

} // namespace Carobhall
