#pragma once

// Messages exchanged between processes, and their MessagePack encoding.
//
// A message is encoded as the array [type, fields], and each struct as an array of its fields. A decoder ignores surplus
// fields and leaves missing ones at their defaults, so that processes of two consecutive versions can communicate. New fields
// must therefore be appended to the end.
//
// Index
//   1. Probing          Probe, ProbeReply
//   2. Requests         Submit, Refused, Head, Chunk, End, Credit, Cancel
//   3. Configuration    ConfigOffer, ConfigPull, ConfigData
//   4. Account limits   GrantRequest, Grant
//   5. State dump       DumpRequest, DumpReply
//   6. Engines          EngineStatus, KnownVersions, PendingPrefill
//   7. Suspects         SuspectFact, CrashRecord, SoundRecord, CrashEvidence
//   8. Upstream limits  LimitEntry, LimitReport, LimitReports
//   9. Account quotas   QuotaEntry, QuotaReport, QuotaSums
//   10. Codec            encode(), decode()

#include "carobhall/base.h"

#include <msgpack.hpp>

namespace Carobhall
{

// 1. Probing --------------------------------------------------------------------------------------

/// Hash of the first `pieces` pieces of a prompt. A piece is a block of prompt bytes of fixed size (PieceBytes in routing.h).
struct PrefixSample {
    std::uint32_t pieces = 0;
    std::uint64_t hash = 0;

    MSGPACK_DEFINE(pieces, hash)
};

/// Asks an agent how expensive a request would be on its upstream.
struct Probe {
    std::uint64_t id = 0;          ///< Copied into the reply.
    std::string route;             ///< Name of a model or of a plain service.
    std::string weightsVersion;    ///< Empty: any version.
    std::string adapter;           ///< Empty: no adapter.
    std::uint64_t saltCheck = 0;   ///< Check value of the salt of the prefix hashes, so that cache entries of another salt do not match.
    std::uint64_t fingerprint = 0; ///< Hash of account and content, by which requests that crash engines are recognised.
    std::uint32_t promptPieces = 0;
    std::vector<PrefixSample> samples; ///< In ascending order of `pieces`.
    std::string account;
    std::uint8_t rank = 0;

    MSGPACK_DEFINE(id, route, weightsVersion, adapter, saltCheck, fingerprint, promptPieces, samples, account, rank)
};

/// Whether an upstream accepts new requests.
enum class UpstreamState : std::uint8_t { Accepting, Leaving, Down, WrongVersion };

template<>
struct EnumNames<UpstreamState> {
    static constexpr std::array rows{
        EnumName{ UpstreamState::Accepting, "accepting" },
        EnumName{ UpstreamState::Leaving, "leaving" },
        EnumName{ UpstreamState::Down, "down" },
        EnumName{ UpstreamState::WrongVersion, "wrong-version" },
    };
};

/// Whether a request is suspected of crashing engines, in ascending order of severity.
enum class Suspicion : std::uint8_t {
    None,
    Suspected, ///< Was in flight at one engine crash; may only run with nothing else on the upstream.
    Condemned, ///< Crashed an engine in an exclusive run, or was in flight at two crashes; is rejected.
};

template<>
struct EnumNames<Suspicion> {
    static constexpr std::array rows{
        EnumName{ Suspicion::None, "none" },
        EnumName{ Suspicion::Suspected, "suspected" },
        EnumName{ Suspicion::Condemned, "condemned" },
    };
};

struct ProbeReply {
    std::uint64_t id = 0;
    Incarnation agent = 0;
    Incarnation upstream = 0;
    std::uint32_t heldPieces = 0; ///< Pieces of the prompt in the engine's prefix cache, as far as the samples show.
    Micros expectedWait = 0;      ///< Estimated queueing time of the request.
    Micros prefillPerPiece = 0;   ///< Prefill time per piece, estimated from earlier requests.
    std::uint8_t state = 0;       ///< An UpstreamState.
    std::uint8_t suspicion = 0;   ///< A Suspicion, for the fingerprint of the probe.
    std::uint64_t configVersion = 0;
    std::string weightsVersion;

    MSGPACK_DEFINE(id, agent, upstream, heldPieces, expectedWait, prefillPerPiece, state, suspicion, configVersion, weightsVersion)
};

// 2. Requests -------------------------------------------------------------------------------------

/// Wire form of AttemptId.
struct AttemptKey {
    std::uint64_t entry = 0;
    std::uint64_t number = 0;
    std::uint32_t attempt = 0;

    AttemptKey() = default;
    AttemptKey(const AttemptId &id)
        : entry(id.entry)
        , number(id.number)
        , attempt(id.attempt)
    {
    }
    operator AttemptId() const
    {
        return { .entry = entry, .number = number, .attempt = attempt };
    }

    MSGPACK_DEFINE(entry, number, attempt)
};

/// Submits one attempt of a request to an agent.
struct Submit {
    AttemptKey key;
    Incarnation agent = 0;    ///< Expected incarnation; the attempt is refused as not run by any other one. 0: any.
    Incarnation upstream = 0; ///< Expected incarnation, likewise. 0: any.
    std::string account;
    std::uint8_t rank = 0;
    bool repeatable = false;
    std::string idempotencyKey; ///< Empty: none.
    std::string route;          ///< Name of a model or of a plain service.
    std::string weightsVersion;
    std::string adapter;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::uint64_t salt = 0; ///< Seed of the prefix hashes; passed to the engine as its cache salt.
    std::uint64_t fingerprint = 0;
    std::uint32_t promptPieces = 0;
    std::uint32_t maxTokens = 0;
    Micros timeout = 0;             ///< The upstream call must start within this time after the agent has received the message.
    std::uint64_t resumeOffset = 0; ///< Number of tokens or bytes that the caller already has.
    std::string resumeText;         ///< Text of the tokens that the caller already has, for continuation on another engine.
    std::uint64_t creditTotal = 0;  ///< Limit of the sum of creditCost() that the agent may send before the first Credit.
    bool exclusive = false;         ///< Run with nothing else on the upstream, because the request is suspected of crashing engines.
    std::uint64_t creditWindow = 0; ///< Upper bound of the outstanding credit. Output further behind the credit limit has been received.

    MSGPACK_DEFINE(key, agent, upstream, account, rank, repeatable, idempotencyKey, route, weightsVersion, adapter, method, path, contentType, body, salt,
                   fingerprint, promptPieces, maxTokens, timeout, resumeOffset, resumeText, creditTotal, exclusive, creditWindow)
};

/// The agent rejected the attempt, or abandoned it before the response began.
struct Refused {
    AttemptKey key;
    std::uint8_t verdict = 0; ///< A Verdict.
    int error = 0;            ///< An Errc.
    Micros retryAfter = 0;    ///< 0: no recommendation.
    std::string message;

    MSGPACK_DEFINE(key, verdict, error, retryAfter, message)
};

/// Start of the upstream's response.
struct Head {
    AttemptKey key;
    int status = 0; ///< HTTP status.
    std::string contentType;
    std::uint32_t cachedPieces = 0; ///< Pieces of the prompt that the engine found in its prefix cache.

    MSGPACK_DEFINE(key, status, contentType, cachedPieces)
};

/// A part of the response body. For models, offsets count tokens and `pieces` holds the text of one token each; for plain
/// services, offsets count bytes.
struct Chunk {
    AttemptKey key;
    std::uint64_t offset = 0; ///< Position of the first token or byte of this chunk in the whole response.
    std::vector<std::string> pieces;

    MSGPACK_DEFINE(key, offset, pieces)
};

/// End of an attempt whose response has begun.
struct End {
    AttemptKey key;
    std::uint64_t finalOffset = 0; ///< Length of the whole response in tokens or bytes, if it is complete.
    bool complete = false;
    std::uint8_t verdict = 0; ///< A Verdict; Ran if complete.
    int error = 0;            ///< An Errc; 0 if complete.
    std::string finishReason; ///< For models, for example "stop" or "length".
    std::string message;

    MSGPACK_DEFINE(key, finalOffset, complete, verdict, error, finishReason, message)
};

/// Credit that each piece consumes in addition to its bytes. Approximates the memory overhead of a piece.
inline constexpr std::size_t PieceOverheadBytes = 64;

/// Credit that \p piece consumes, in bytes.
[[nodiscard]] inline std::uint64_t creditCost(const std::string &piece)
{
    return piece.size() + PieceOverheadBytes;
}

/// Flow control: the total amount of output that the entry process can accept for the attempt. The value is cumulative, so
/// that a duplicated message has no effect.
struct Credit {
    AttemptKey key;
    std::uint64_t total = 0; ///< Limit of the sum of creditCost(), counted from the resumeOffset of the last Submit.

    MSGPACK_DEFINE(key, total)
};

/// The entry process no longer needs the attempt: it has received the outcome, the caller has disconnected, or another attempt
/// has been chosen.
struct Cancel {
    AttemptKey key;

    MSGPACK_DEFINE(key)
};

// 3. Configuration --------------------------------------------------------------------------------

/// Announces the version of the environment document that the sender holds.
struct ConfigOffer {
    std::uint64_t version = 0;
    std::string digest;

    MSGPACK_DEFINE(version, digest)
};

/// Requests the receiver's document if it is newer than the sender's.
struct ConfigPull {
    std::uint64_t heldVersion = 0; ///< The sender's version; 0: none.
    bool acceptsDelta = false;     ///< The reply may be a delta against `heldVersion`. Older versions of the program do not set this.

    MSGPACK_DEFINE(heldVersion, acceptsDelta)
};

/// Where the sender has the document from; tells versions apart that the platform has given out again after a restore.
struct DocumentOrigin {
    std::uint64_t era = 0;     ///< Era of the platform that showed the document; 0: not known.
    bool isEraCertain = false; ///< The document was written in `era`. False: in `era` or before.
    std::uint64_t digest = 0;  ///< Of the text; 0: not known.

    MSGPACK_DEFINE(era, isEraCertain, digest)
};

/// A version of the environment document, complete or as a delta. A reply without text means that the sender has no newer one.
struct ConfigData {
    std::uint64_t version = 0;
    std::string digest;
    std::string text;              ///< The document, byte for byte; in a delta, the part between the prefix and the suffix.
    std::uint64_t base = 0;        ///< Version of the base document, which the receiver holds; 0: `text` is the whole document.
    std::uint64_t prefixBytes = 0; ///< Length of the prefix that is copied from the base document.
    std::uint64_t suffixBytes = 0; ///< Length of the suffix that is copied from the base document.
    DocumentOrigin origin{};       ///< Older versions of the program do not set this.

    MSGPACK_DEFINE(version, digest, text, base, prefixBytes, suffixBytes, origin)
};

// 4. Account limits -------------------------------------------------------------------------------

/// Requests a share of an account's limit for the next period.
struct GrantRequest {
    std::string account;
    double used = 0.0;            ///< Tokens used since the last request.
    double wanted = 0.0;          ///< Tokens wanted for the next period; a negative value returns tokens that are not needed.
    std::uint32_t concurrent = 0; ///< Running and waiting requests of the account in the requesting process.

    MSGPACK_DEFINE(account, used, wanted, concurrent)
};

/// The share of an account's limit that is granted to the requesting process.
struct Grant {
    std::string account;
    double tokens = 0.0;
    std::uint32_t concurrent = 0; ///< Permitted concurrent requests.
    Micros validFor = 0;

    MSGPACK_DEFINE(account, tokens, concurrent, validFor)
};

// 5. State dump -----------------------------------------------------------------------------------

/// Requests the state of a process as JSON.
struct DumpRequest {
    std::uint64_t id = 0; ///< Copied into the reply.

    MSGPACK_DEFINE(id)
};

struct DumpReply {
    std::uint64_t id = 0;
    std::string json;

    MSGPACK_DEFINE(id, json)
};

// 6. Engines --------------------------------------------------------------------------------------

/// A prompt part that was added to or evicted from an engine's prefix cache.
struct CacheChange {
    std::string salt;
    std::string part;
    bool held = false; ///< True: added. False: evicted.

    MSGPACK_DEFINE(salt, part, held)
};

/// State of a model server's engine, sent by its sidecar to the gateways on each change and at least every second.
struct EngineStatus {
    std::uint32_t queued = 0;               ///< Requests waiting in the engine.
    std::uint32_t running = 0;              ///< Requests running in the engine.
    std::uint64_t usedTokens = 0;           ///< Tokens in the KV cache.
    std::uint64_t totalTokens = 0;          ///< Capacity of the KV cache, in tokens.
    std::uint64_t weightsVersion = 0;       ///< 0: unknown so far.
    bool closed = false;                    ///< Takes no requests, because new weights are loading or are about to load.
    bool closing = false;                   ///< Will be closed soon; gateways prefer other servers.
    bool cacheReset = false;                ///< Receivers discard the cache contents known from earlier messages.
    std::vector<CacheChange> changes;       ///< In the order in which they occurred.
    std::uint32_t gateways = 0;             ///< Number of gateways connected to the sidecar.
    std::uint64_t pendingPrefillTokens = 0; ///< Sum of the values that all gateways except the receiver have reported with PendingPrefill.
    std::int64_t leavingStartMs = 0;        ///< Start time (Unix) of the server process if it has announced its shutdown; 0: it has not.

    // Fields are only appended: peers of the previous version send and read fewer of them.
    MSGPACK_DEFINE(queued, running, usedTokens, totalTokens, weightsVersion, closed, cacheReset, changes, gateways, pendingPrefillTokens, closing,
                   leavingStartMs)
};

/// Prompt tokens of the requests that one gateway has sent to a model server and for which no token has come back yet.
struct PendingPrefill {
    std::uint64_t pendingPrefillTokens = 0;

    MSGPACK_DEFINE(pendingPrefillTokens)
};

/// The newest versions known to a process. Peers that get no updates from the platform learn of new versions this way.
struct KnownVersions {
    std::uint64_t configuration = 0; ///< Version of the environment document.
    std::string model;               ///< Of the sidecar's server, in both directions; empty: the sender does not know it yet.
    std::uint64_t weights = 0;       ///< Version of the weights designated for `model`; 0: none is known.
    std::uint64_t platformEra = 0;   ///< Newest era of the platform that the sender knows of; 0: none. Older versions of the program do not set this.
    DocumentOrigin origin{};         ///< Of the environment document; likewise.

    MSGPACK_DEFINE(configuration, model, weights, platformEra, origin)
};

// 7. Suspects -------------------------------------------------------------------------------------

/// What is known about a request, identified by its fingerprint, that was in flight when an engine crashed. Facts of the same
/// episode are merged field by field; a later episode replaces an earlier one.
struct SuspectFact {
    std::uint64_t fingerprint = 0;
    std::uint32_t episode = 1;   ///< Incremented when an exonerated request is in flight at another crash.
    Incarnation firstEngine = 0; ///< Engines that crashed with the request in flight, at most 2, in ascending order.
    Incarnation secondEngine = 0;
    bool exclusiveRunStarted = false; ///< The permit for the single exclusive run has been issued.
    bool exclusiveRunCrashed = false; ///< The engine crashed during the exclusive run.
    bool exonerated = false;          ///< The request has completed without a crash.
    Micros age = 0;                   ///< Time since the last change; no timestamp, because clocks of different processes are not comparable.

    MSGPACK_DEFINE(fingerprint, episode, firstEngine, secondEngine, exclusiveRunStarted, exclusiveRunCrashed, exonerated, age)
};

/// No longer sent; kept because the position of a message in Message is its type number.
struct SuspectUpdate {
    std::vector<SuspectFact> facts;

    MSGPACK_DEFINE(facts)
};

/// A process crashed while a request with the feature was in flight. Ages in place of points in time, because clocks of different
/// processes are not comparable.
struct CrashRecord {
    std::uint64_t feature = 0;
    Incarnation process = 0;
    Micros age = 0;        ///< Since the connection broke.
    Micros timeToLoss = 0; ///< From the sending of the request until then.

    MSGPACK_DEFINE(feature, process, age, timeToLoss)
};

/// A request with the feature ran without a crash.
struct SoundRecord {
    std::uint64_t feature = 0;
    Micros age = 0;

    MSGPACK_DEFINE(feature, age)
};

/// Evidence that is new to the sender, or all of it on a new connection. Sidecars forward what is new to them to the gateways.
struct CrashEvidence {
    std::vector<CrashRecord> crashes;
    std::vector<SoundRecord> sound;

    MSGPACK_DEFINE(crashes, sound)
};

// 8. Upstream limits ------------------------------------------------------------------------------

/// What a gateway knows of the limit that an upstream process names, and how much it wants to send there.
struct LimitEntry {
    Incarnation process = 0;
    bool limited = false;           ///< False: the process has stopped naming a limit.
    double requestsPerSecond = 0.0; ///< The limit, for all gateways together.
    Micros age = 0;                 ///< Since an answer of the process said so.
    double demand = 0.0;            ///< Requests a second that the gateway would send to the process without the limit.

    MSGPACK_DEFINE(process, limited, requestsPerSecond, age, demand)
};

/// Sent by a gateway to a few sidecars while it knows of limits.
struct LimitReport {
    std::string gateway;
    Micros age = 0; ///< Since the gateway sent it.
    std::vector<LimitEntry> entries;

    MSGPACK_DEFINE(gateway, age, entries)
};

/// The reports of all gateways, sent by a sidecar to each of them.
struct LimitReports {
    std::vector<LimitReport> reports;

    MSGPACK_DEFINE(reports)
};

// 9. Account quotas -------------------------------------------------------------------------------

/// How much an account asks for, in the unit of its quota.
struct QuotaEntry {
    std::string account;
    std::uint8_t unit = 0; ///< QuotaUnit. A gateway with another configuration may count in another unit.
    double demand = 0.0;   ///< A second; requests that were refused count too.
    double debt = 0.0;     ///< What the gateway has admitted beyond its share so far; in QuotaSums, what the receiver itself last reported.

    MSGPACK_DEFINE(account, unit, demand, debt)
};

/// Sent by a gateway to a few sidecars while its configuration has quotas. Lists the accounts that have sent requests lately.
struct QuotaReport {
    std::string gateway;
    std::vector<QuotaEntry> entries;

    MSGPACK_DEFINE(gateway, entries)
};

/// The reports of all gateways but the receiver, summed by account, so that the size grows with the accounts and not with the gateways.
struct QuotaSums {
    std::uint32_t gateways = 0; ///< Number of gateways whose reports are summed.
    std::vector<QuotaEntry> entries;

    MSGPACK_DEFINE(gateways, entries)
};

// 10. Codec ---------------------------------------------------------------------------------------

/// All messages. The index of an alternative is its type number on the wire, so new messages must be appended to the end.
using Message
    = std::variant<Probe, ProbeReply, Submit, Refused, Head, Chunk, End, Credit, Cancel, ConfigOffer, ConfigPull, ConfigData, GrantRequest, Grant, DumpRequest,
                   DumpReply, EngineStatus, KnownVersions, PendingPrefill, SuspectUpdate, CrashEvidence, LimitReport, LimitReports, QuotaReport, QuotaSums>;

/// Encodes \p message. Thread-safe.
[[nodiscard]] std::string encode(const Message &message);

/// Decodes \p bytes. Returns std::nullopt for malformed input, an unknown message type or an enum value out of range.
/// Thread-safe.
[[nodiscard]] std::optional<Message> decode(std::string_view bytes);

} // namespace Carobhall
