#include "attempt_runner.h"
#include "engine_request.h"

// Index
//   1. Admission        probes, submits, repeated submits, refusals
//   2. Maintenance      periodic work, shutdown, dump
//
// attempt_running.cpp contains the running of attempts, attempt_delivery.cpp their delivery and their early ends.

namespace Carobhall
{

namespace
{

/// Initial estimate of the length of an answer whose request sets no token limit, until answers have been observed.
constexpr double InitialAnswerTokens = 64.0;
constexpr Micros SuspectExpiryInterval = 5 * MicrosPerSecond;

Refused refusal(Errc error, std::string message)
{
    Refused refused;
    refused.verdict = static_cast<std::uint8_t>(Verdict::NotRun);
    refused.error = static_cast<int>(error);
    refused.message = std::move(message);
    return refused;
}

} // namespace

// 1. Admission ------------------------------------------------------------------------------------

AttemptRunner::AttemptRunner(AttemptRunnerOptions options)
    : options_(std::move(options))
    , role_(findUpstream(options_.document.current()->document, options_.settings.upstream).value_or(UpstreamRole{}))
    , queue_(options_.document.current()->document, role_, options_.incarnation)
    , answerTokens_({ .initial = InitialAnswerTokens, .low = 1.0 })
{
    options_.document.onReplaced([this](const VersionedDocument &document) {
        if (auto role = findUpstream(document.document, options_.settings.upstream)) {
            role_ = std::move(*role);
            queue_.configure(document.document, role_);
        }
    });
}

ProbeReply AttemptRunner::probe(const Probe &probe)
{
    ProbeReply reply;
    reply.id = probe.id;
    reply.agent = options_.incarnation;
    reply.upstream = options_.upstream.incarnation();
    const Micros now = monotonicNow();
    // Prefixes that are still being computed do not count as held: counting them worsens the tail latency, see docs/routing.md.
    reply.heldPieces = options_.prefixes.heldPieces(probe.samples);
    reply.prefillPerPiece = role_.isModel ? options_.prefixes.prefillPerPiece() : 0;
    // Includes the engine's prefill backlog: an attempt that gets a slot at once still waits for the prefill of earlier ones, among
    // it the prefill of pieces that it shares with them.
    reply.expectedWait = queue_.expectedWait(static_cast<Rank>(probe.rank), probe.account, now) + options_.prefixes.backlogWait(now);
    reply.suspicion = static_cast<std::uint8_t>(probe.fingerprint == 0 ? Suspicion::None : suspects_.suspicion(probe.fingerprint, now));
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
    if (submit.agent != 0 && submit.agent != options_.incarnation) {
        return refusal(Errc::IncarnationMismatch, "the attempt is addressed to another incarnation of the agent");
    }
    if (submit.upstream != 0 && submit.upstream != options_.upstream.incarnation()) {
        return refusal(Errc::IncarnationMismatch, "the attempt is addressed to another incarnation of the upstream");
    }
    if (leaving_) {
        return refusal(Errc::Leaving, "the agent is shutting down");
    }
    if (submit.route != role_.route || (!submit.weightsVersion.empty() && submit.weightsVersion != role_.weightsVersion)) {
        return refusal(Errc::NoUpstream, "the upstream does not serve this route with this weights version");
    }
    return refusalBySuspicion(submit);
}

std::optional<Refused> AttemptRunner::refusalBySuspicion(const Submit &submit) const
{
    const Suspicion suspicion = submit.fingerprint == 0 ? Suspicion::None : suspects_.suspicion(submit.fingerprint, monotonicNow());
    if (suspicion == Suspicion::Condemned) {
        return refusal(Errc::Condemned, "the request has crashed engines");
    }
    if (suspicion == Suspicion::Suspected && !submit.exclusive) {
        // The entry process did not know of the suspicion yet. The reply to its next probe reports it.
        return refusal(Errc::Overloaded, "the request was in flight at an engine crash and may only run exclusively");
    }
    return std::nullopt;
}

void AttemptRunner::submit(ConnectionId connection, Submit submit)
{
    const AttemptId id = submit.key;
    if (Attempt *const known = table_.find(id); known != nullptr) {
        onRepeatedSubmit(*known, connection, submit);
        return;
    }
    const Micros now = monotonicNow();
    const OffsetUnit unit = role_.isModel ? OffsetUnit::Tokens : OffsetUnit::Bytes;
    OutputBuffer output(unit, role_.isModel ? submit.resumeOffset : 0, submit.creditTotal, submit.creditWindow);
    auto newAttempt = std::make_unique<Attempt>(Attempt{
        .id = id,
        .submit = std::move(submit),
        .output = std::move(output),
        .connection = connection,
        .lastConnection = connection,
        .receivedAt = now,
        .call = nullptr,
        .head = {},
        .outcome = {},
        .claimedAnswerBody = {},
    });
    if (const auto verdict = table_.tombstoneVerdict(id)) {
        Refused refused;
        refused.key = id;
        refused.verdict = static_cast<std::uint8_t>(*verdict);
        refused.error = static_cast<int>(Errc::StreamBroken);
        refused.message = "the attempt has ended and its output is no longer available";
        options_.endpoint.send(connection, refused);
        options_.metrics.count("carobhall_agent_repeats_total", "result=\"forgotten\"");
        return;
    }
    Attempt &attempt = table_.add(std::move(newAttempt));
    if (auto refused = refusalFor(attempt.submit)) {
        refuse(attempt, Verdict::NotRun, static_cast<Errc>(refused->error), 0, std::move(refused->message));
        return;
    }
    if (role_.isModel) {
        hashPrompt(attempt);
    }
    const QueueItem item{
        .id = id,
        .account = attempt.submit.account,
        .rank = static_cast<Rank>(attempt.submit.rank),
        .cost = expectedCost(attempt, options_.prefixes.heldPieces(attempt.prefill.samples)),
        .startBy = now + attempt.submit.timeout,
        .exclusive = attempt.submit.exclusive,
    };
    if (const auto refused = queue_.push(item, now)) {
        refuse(attempt, Verdict::NotRun, refused->error, refused->retryAfter, "the queue is too long to run the attempt before its deadline");
        return;
    }
    startQueued();
}

void AttemptRunner::hashPrompt(Attempt &attempt)
{
    const Salt salt{ .seed = attempt.submit.salt, .check = 0 };
    hashPrefix(promptOf(attempt.submit), salt, hashes_);
    attempt.prefill.samples = sampleHashes(hashes_);
    attempt.prefill.pieces = static_cast<std::uint32_t>(hashes_.size());
}

double AttemptRunner::expectedCost(const Attempt &attempt, std::uint32_t cachedPieces) const
{
    if (!role_.isModel) {
        return 1.0;
    }
    const double tokens = attempt.submit.maxTokens == 0 ? answerTokens_.value() : attempt.submit.maxTokens - static_cast<double>(attempt.submit.resumeOffset);
    return attempt.prefill.pieces - std::min(cachedPieces, attempt.prefill.pieces) + std::max(tokens, 1.0);
}

double AttemptRunner::actualCost(const Attempt &attempt) const
{
    if (!role_.isModel) {
        return 1.0;
    }
    const PrefillWork &work = attempt.prefill;
    return work.pieces - std::min(work.cachedPieces, work.pieces) + static_cast<double>(work.generatedTokens);
}

void AttemptRunner::onRepeatedSubmit(Attempt &attempt, ConnectionId connection, const Submit &submit)
{
    // Only the newest connection may take over the attempt: an older one may still deliver a copy of the Submit.
    if (connection < attempt.lastConnection) {
        return;
    }
    attempt.connection = connection;
    attempt.lastConnection = connection;
    attempt.disconnectedAt = 0;
    attempt.stalledSince = 0;
    attempt.headSent = false;
    attempt.outcomeSent = false;
    options_.metrics.count("carobhall_agent_repeats_total", "result=\"resumed\"");
    logEvent(LogLevel::Info, "attempt_resumed", { { "request", toString(attempt.id) }, { "offset", submit.resumeOffset } });
    if (!attempt.output.rewind(submit.resumeOffset, submit.creditTotal)) {
        End end;
        end.key = attempt.id;
        end.verdict = static_cast<std::uint8_t>(Verdict::MayHaveRun);
        end.error = static_cast<int>(Errc::StreamBroken);
        end.message = "the output from the requested offset is no longer available";
        options_.endpoint.send(connection, end);
        abandon(attempt);
        return;
    }
    sendPending(attempt);
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

// 2. Maintenance ----------------------------------------------------------------------------------

void AttemptRunner::tick(Micros now)
{
    table_.forEach([&](Attempt &attempt) { sweep(attempt, now); });
    table_.expireTombstones(now);
    startQueued();
    if (suspectsExpireAt_ < now) {
        suspects_.expire(now);
        suspectsExpireAt_ = now + SuspectExpiryInterval;
    }
    publishSuspects();
    options_.metrics.setGauge("carobhall_agent_queued", {}, static_cast<double>(queue_.queued()));
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
    table_.forEachConst([&](const Attempt &attempt) {
        Json::Value entry(Json::objectValue);
        entry["request"] = toString(attempt.id);
        entry["account"] = attempt.submit.account;
        entry["state"] = std::string(nameOf(attempt.state));
        entry["connected"] = attempt.connection != 0;
        entry["kept_cost"] = Json::UInt64(attempt.output.keptCost());
        entry["offset"] = Json::UInt64(attempt.output.endOffset());
        attempts.append(entry);
    });
    Json::Value state(Json::objectValue);
    state["attempts"] = attempts;
    state["queued"] = Json::UInt64(queue_.queued());
    state["tombstones"] = Json::UInt64(table_.tombstoneCount());
    state["running"] = Json::UInt64(queue_.running());
    state["suspects"] = Json::UInt64(suspects_.size());
    state["cache_index"] = std::string(nameOf(options_.prefixes.index().state()));
    state["cached_blocks"] = Json::UInt64(options_.prefixes.index().size());
    state["leaving"] = leaving_;
    state["route"] = role_.route;
    state["weights_version"] = role_.weightsVersion;
    return state;
}

} // namespace Carobhall
