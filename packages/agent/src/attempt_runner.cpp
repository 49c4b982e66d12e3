#include "attempt_runner.h"
#include "engine_request.h"

// Index
//   1. Admission        probes, submits, repeats, refusals
//   2. Upkeep           each tick, shutdown, dump
//
// Running is in attempt_running.cpp, delivery and ending in attempt_delivery.cpp.

namespace Carobhall
{

namespace
{

/// Tokens of an answer without a stated limit, until answers have been seen.
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
    // What is being computed does not count as held: docs/routing.md measures a worse tail with it.
    reply.heldPieces = options_.prefixes.heldPieces(probe.samples);
    reply.prefillPerPiece = role_.isModel ? options_.prefixes.prefillPerPiece() : 0;
    // Pieces that another attempt still computes count as held, so the wait for them counts too.
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
        return refusal(Errc::IncarnationMismatch, "another agent was meant");
    }
    if (submit.upstream != 0 && submit.upstream != options_.upstream.incarnation()) {
        return refusal(Errc::IncarnationMismatch, "the upstream has started anew");
    }
    if (leaving_) {
        return refusal(Errc::Leaving, "the agent is shutting down");
    }
    if (submit.route != role_.route || (!submit.weightsVersion.empty() && submit.weightsVersion != role_.weightsVersion)) {
        return refusal(Errc::NoUpstream, "the upstream does not serve this route in this version");
    }
    return refusalBySuspicion(submit);
}

std::optional<Refused> AttemptRunner::refusalBySuspicion(const Submit &submit) const
{
    const Suspicion suspicion = submit.fingerprint == 0 ? Suspicion::None : suspects_.suspicion(submit.fingerprint, monotonicNow());
    if (suspicion == Suspicion::Condemned) {
        return refusal(Errc::Condemned, "the request crashed engines before");
    }
    if (suspicion == Suspicion::Suspected && !submit.exclusive) {
        // The entry process did not know yet. Its next probe tells it.
        return refusal(Errc::Overloaded, "the request was in flight at a crash and may only run alone");
    }
    return std::nullopt;
}

void AttemptRunner::submit(ConnectionId connection, Submit submit)
{
    const AttemptId id = submit.key;
    if (Attempt *const known = table_.find(id); known != nullptr) {
        repeat(*known, connection, submit);
        return;
    }
    const Micros now = monotonicNow();
    const OffsetUnit unit = role_.isModel ? OffsetUnit::Tokens : OffsetUnit::Bytes;
    OutputBuffer output(unit, role_.isModel ? submit.resumeOffset : 0, submit.creditTotal, submit.creditWindow);
    auto made = std::make_unique<Attempt>(Attempt{
        .id = id,
        .submit = std::move(submit),
        .output = std::move(output),
        .connection = connection,
        .lastConnection = connection,
        .receivedAt = now,
        .call = nullptr,
        .head = {},
        .outcome = {},
        .answerBody = {},
    });
    if (const auto verdict = table_.forgotten(id)) {
        Refused refused;
        refused.key = id;
        refused.verdict = static_cast<std::uint8_t>(*verdict);
        refused.error = static_cast<int>(Errc::StreamBroken);
        refused.message = "the attempt is over and its output is no longer kept";
        options_.endpoint.send(connection, refused);
        options_.metrics.count("carobhall_agent_repeats_total", "result=\"forgotten\"");
        return;
    }
    Attempt &attempt = table_.add(std::move(made));
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
        .alone = attempt.submit.exclusive,
    };
    if (const auto refused = queue_.push(item, now)) {
        refuse(attempt, Verdict::NotRun, refused->error, refused->retryAfter, "the queue is longer than the deadline allows");
        return;
    }
    runNext();
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

double AttemptRunner::trueCost(const Attempt &attempt) const
{
    if (!role_.isModel) {
        return 1.0;
    }
    const PrefillWork &work = attempt.prefill;
    return work.pieces - std::min(work.cachedPieces, work.pieces) + static_cast<double>(work.generatedTokens);
}

void AttemptRunner::repeat(Attempt &attempt, ConnectionId connection, const Submit &submit)
{
    // The newest connection counts: an older one may still hold an unread copy of the Submit.
    if (connection < attempt.lastConnection) {
        return;
    }
    attempt.connection = connection;
    attempt.lastConnection = connection;
    attempt.orphanedAt = 0;
    attempt.stalledAt = 0;
    attempt.headSent = false;
    attempt.outcomeSent = false;
    options_.metrics.count("carobhall_agent_repeats_total", "result=\"resumed\"");
    logEvent(LogLevel::Info, "attempt_resumed", { { "request", toString(attempt.id) }, { "offset", submit.resumeOffset } });
    if (!attempt.output.rewind(submit.resumeOffset, submit.creditTotal)) {
        End end;
        end.key = attempt.id;
        end.verdict = static_cast<std::uint8_t>(Verdict::MayHaveRun);
        end.error = static_cast<int>(Errc::StreamBroken);
        end.message = "the output from this offset is no longer kept";
        options_.endpoint.send(connection, end);
        abandon(attempt);
        return;
    }
    pump(attempt);
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

// 2. Upkeep --------------------------------------------------------------------------------------

void AttemptRunner::tick(Micros now)
{
    table_.each([&](Attempt &attempt) { sweep(attempt, now); });
    table_.dropOldTombstones(now);
    runNext();
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
    table_.eachConst([&](const Attempt &attempt) {
        Json::Value row(Json::objectValue);
        row["request"] = toString(attempt.id);
        row["account"] = attempt.submit.account;
        row["state"] = std::string(nameOf(attempt.state));
        row["connected"] = attempt.connection != 0;
        row["kept_cost"] = Json::UInt64(attempt.output.keptCost());
        row["offset"] = Json::UInt64(attempt.output.endOffset());
        attempts.append(row);
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
