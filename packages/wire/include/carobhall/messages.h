#pragma once

// The messages between the system's processes, and their MessagePack form.
//
// A message is the array [type, fields]. Fields are arrays too: a decoder ignores further fields and leaves missing ones
// at their defaults, so that two neighbouring versions understand each other. New fields go to the end.
//
// Index
//   1. Probing          Probe, ProbeReply
//   2. Requests         Submit, Refused, Head, Chunk, End, Credit, Cancel
//   3. Configuration    ConfigOffer, ConfigPull, ConfigData
//   4. Account limits   GrantRequest, Grant
//   5. State dump       DumpRequest, DumpReply
//   6. Engines          EngineStatus, KnownVersions, PendingPrefill
//   7. Suspects         SuspectFact, SuspectUpdate
//   8. Codec            encode(), decode()

#include "carobhall/base.h"

#include <msgpack.hpp>

namespace Carobhall
{

// 1. Probing --------------------------------------------------------------------------------------

/// The hash of a prompt's first `pieces` pieces.
struct PrefixSample {
    std::uint32_t pieces = 0;
    std::uint64_t hash = 0;

    MSGPACK_DEFINE(pieces, hash)
};

/// Asks an agent what a request would cost there.
struct Probe {
    std::uint64_t id = 0;          ///< Ties the reply to the probe.
    std::string route;             ///< Model name, or name of a plain service.
    std::string weightsVersion;    ///< Empty: any.
    std::string adapter;           ///< Empty: none.
    std::uint64_t saltCheck = 0;   ///< Check value of the account's salt; entries of another salt do not count.
    std::uint64_t fingerprint = 0; ///< Of account and content, to find requests that crash engines.
    std::uint32_t promptPieces = 0;
    std::vector<PrefixSample> samples; ///< Ascending in `pieces`.
    std::string account;
    std::uint8_t rank = 0;

    MSGPACK_DEFINE(id, route, weightsVersion, adapter, saltCheck, fingerprint, promptPieces, samples, account, rank)
};

/// Whether an upstream takes new work.
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

/// What is known of a request that was in flight when an engine crashed.
enum class Suspicion : std::uint8_t {
    None,
    Suspected, ///< In flight at one crash; runs only alone.
    Condemned, ///< Crashed an engine while it ran alone; is refused.
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
    std::uint32_t heldPieces = 0; ///< Pieces of the prompt that the cache holds, by the samples.
    Micros expectedWait = 0;      ///< Until the request would leave the queue.
    Micros prefillPerPiece = 0;   ///< Learned.
    std::uint8_t state = 0;       ///< An UpstreamState.
    std::uint8_t suspicion = 0;   ///< A Suspicion of the fingerprint.
    std::uint64_t configVersion = 0;
    std::string weightsVersion;

    MSGPACK_DEFINE(id, agent, upstream, heldPieces, expectedWait, prefillPerPiece, state, suspicion, configVersion, weightsVersion)
};

// 2. Requests -------------------------------------------------------------------------------------

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

/// Hands one attempt of a request to an agent.
struct Submit {
    AttemptKey key;
    Incarnation agent = 0;    ///< Refused as not run when the agent is another one; 0: any.
    Incarnation upstream = 0; ///< Refused as not run when the upstream is another one; 0: any.
    std::string account;
    std::uint8_t rank = 0;
    bool repeatable = false;
    std::string idempotencyKey; ///< Empty: none.
    std::string route;          ///< Model name, or name of a plain service.
    std::string weightsVersion;
    std::string adapter;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::uint64_t salt = 0; ///< Seeds the prefix hashes; goes to the engine as its cache salt.
    std::uint64_t fingerprint = 0;
    std::uint32_t promptPieces = 0;
    std::uint32_t maxTokens = 0;
    Micros timeout = 0;             ///< The upstream call must start within this time from the agent's receipt.
    std::uint64_t resumeOffset = 0; ///< Tokens or bytes that the caller already has.
    std::string resumeText;         ///< Text of the tokens that the caller already has, to continue on another engine.
    std::uint64_t creditTotal = 0;  ///< Sum of creditCost() that the agent may send before the first Credit.
    bool exclusive = false;         ///< Run with nothing else on the upstream, because the request is suspected.
    std::uint64_t creditWindow = 0; ///< Most credit that is ever outstanding; output older than that has been received.

    MSGPACK_DEFINE(key, agent, upstream, account, rank, repeatable, idempotencyKey, route, weightsVersion, adapter, method, path, contentType, body, salt,
                   fingerprint, promptPieces, maxTokens, timeout, resumeOffset, resumeText, creditTotal, exclusive, creditWindow)
};

/// The agent did not take the attempt, or gave it up before an answer began.
struct Refused {
    AttemptKey key;
    std::uint8_t verdict = 0; ///< A Verdict.
    int error = 0;            ///< An Errc.
    Micros retryAfter = 0;    ///< 0: no advice.
    std::string message;

    MSGPACK_DEFINE(key, verdict, error, retryAfter, message)
};

/// Start of the upstream's answer.
struct Head {
    AttemptKey key;
    int status = 0; ///< HTTP status.
    std::string contentType;
    std::uint32_t cachedPieces = 0; ///< Pieces of the prompt that the engine found in its cache.

    MSGPACK_DEFINE(key, status, contentType, cachedPieces)
};

/// A part of the answer. Model answers count tokens and carry one piece of text for each; other answers count bytes.
struct Chunk {
    AttemptKey key;
    std::uint64_t offset = 0; ///< Of the first token or byte in this chunk, from the start of the whole answer.
    std::vector<std::string> pieces;

    MSGPACK_DEFINE(key, offset, pieces)
};

/// End of an attempt whose answer had begun.
struct End {
    AttemptKey key;
    std::uint64_t finalOffset = 0; ///< Tokens or bytes of the whole answer, when it is complete.
    bool complete = false;
    std::uint8_t verdict = 0; ///< A Verdict; Ran when complete.
    int error = 0;            ///< An Errc; 0 when complete.
    std::string finishReason; ///< Of a model answer, for example "stop" or "length".
    std::string message;

    MSGPACK_DEFINE(key, finalOffset, complete, verdict, error, finishReason, message)
};

/// What each piece counts against the credit beyond its bytes: about what it occupies in memory.
inline constexpr std::size_t PieceOverheadBytes = 64;

/// What \p piece counts against the credit.
[[nodiscard]] inline std::uint64_t creditCost(const std::string &piece)
{
    return piece.size() + PieceOverheadBytes;
}

/// The entry process can take this many bytes in total for the attempt. Absolute, so that a repeat does no harm.
struct Credit {
    AttemptKey key;
    std::uint64_t total = 0; ///< Sum of creditCost(), from the offset in the last Submit.

    MSGPACK_DEFINE(key, total)
};

/// The entry process needs nothing more of the attempt: it has received the outcome, the caller left, or another attempt won.
struct Cancel {
    AttemptKey key;

    MSGPACK_DEFINE(key)
};

// 3. Configuration --------------------------------------------------------------------------------

/// "I hold this version."
struct ConfigOffer {
    std::uint64_t version = 0;
    std::string digest;

    MSGPACK_DEFINE(version, digest)
};

/// "Send me your document if it is newer than this version."
struct ConfigPull {
    std::uint64_t heldVersion = 0;
    bool acceptsDelta = false; ///< The answer may leave out what the document of `heldVersion` shares with it. Older programs do not set it.

    MSGPACK_DEFINE(heldVersion, acceptsDelta)
};

struct ConfigData {
    std::uint64_t version = 0;
    std::string digest;
    std::string text;              ///< The document, byte for byte, or the part between what is kept of the base.
    std::uint64_t base = 0;        ///< Version that the receiver holds and takes the rest from; 0: `text` is the whole document.
    std::uint64_t prefixBytes = 0; ///< Bytes of the base's text before `text`.
    std::uint64_t suffixBytes = 0; ///< Bytes of the base's text after `text`.

    MSGPACK_DEFINE(version, digest, text, base, prefixBytes, suffixBytes)
};

// 4. Account limits -------------------------------------------------------------------------------

struct GrantRequest {
    std::string account;
    double used = 0.0;            ///< Tokens used since the last ask.
    double wanted = 0.0;          ///< Tokens wanted for the next period.
    std::uint32_t concurrent = 0; ///< Requests in flight here.

    MSGPACK_DEFINE(account, used, wanted, concurrent)
};

struct Grant {
    std::string account;
    double tokens = 0.0;
    std::uint32_t concurrent = 0;
    Micros validFor = 0;

    MSGPACK_DEFINE(account, tokens, concurrent, validFor)
};

// 5. State dump -----------------------------------------------------------------------------------

struct DumpRequest {
    std::uint64_t id = 0;

    MSGPACK_DEFINE(id)
};

struct DumpReply {
    std::uint64_t id = 0;
    std::string json;

    MSGPACK_DEFINE(id, json)
};

// 6. Engines --------------------------------------------------------------------------------------

/// One prompt part that entered or left an engine's cache.
struct CacheChange {
    std::string salt;
    std::string part;
    bool held = false;

    MSGPACK_DEFINE(salt, part, held)
};

/// What a process beside a model server tells the gateways of it. Sent when something changed, and at least every second.
struct EngineStatus {
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint64_t usedTokens = 0;
    std::uint64_t totalTokens = 0;
    std::uint64_t weightsVersion = 0;       ///< 0: not known yet.
    bool closed = false;                    ///< It is about to load or is loading weights.
    bool closing = false;                   ///< It is about to close; requests that can go elsewhere do.
    bool cacheReset = false;                ///< Everything known of its cache before this message is void.
    std::vector<CacheChange> changes;       ///< In order.
    std::uint32_t gateways = 0;             ///< Gateways that are connected.
    std::uint64_t pendingPrefillTokens = 0; ///< Sum of what all gateways but the receiver report with PendingPrefill.

    MSGPACK_DEFINE(queued, running, usedTokens, totalTokens, weightsVersion, closed, cacheReset, changes, gateways, pendingPrefillTokens, closing)
};

/// What one gateway has sent to a model server and not yet seen the first token of.
struct PendingPrefill {
    std::uint64_t pendingPrefillTokens = 0;

    MSGPACK_DEFINE(pendingPrefillTokens)
};

/// The newest versions that a process knows, so that its peers learn of those that the platform withholds from them.
struct KnownVersions {
    std::uint64_t configuration = 0;
    std::string model;
    std::uint64_t weights = 0; ///< Version named for `model`; 0: none is known.

    MSGPACK_DEFINE(configuration, model, weights)
};

// 7. Suspects -------------------------------------------------------------------------------------

/// What is known of one fingerprint. Two facts of one episode merge field by field; a later episode replaces an earlier one.
struct SuspectFact {
    std::uint64_t fingerprint = 0;
    std::uint32_t episode = 1;   ///< Counts up when an exonerated request is in flight at another crash.
    Incarnation firstEngine = 0; ///< Engines that crashed with the request in flight, at most two, in ascending order.
    Incarnation secondEngine = 0;
    bool exclusiveRunStarted = false; ///< The one alone run has been given out.
    bool exclusiveRunCrashed = false;
    bool exonerated = false;
    Micros age = 0; ///< Since the fact last changed; clocks of different processes cannot be compared.

    MSGPACK_DEFINE(fingerprint, episode, firstEngine, secondEngine, exclusiveRunStarted, exclusiveRunCrashed, exonerated, age)
};

/// Facts that are new to the sender. Sidecars pass them on to the gateways.
struct SuspectUpdate {
    std::vector<SuspectFact> facts;

    MSGPACK_DEFINE(facts)
};

// 8. Codec ----------------------------------------------------------------------------------------

/// All messages. The position in the list is the type number on the wire, so new messages go to the end.
using Message = std::variant<Probe, ProbeReply, Submit, Refused, Head, Chunk, End, Credit, Cancel, ConfigOffer, ConfigPull, ConfigData, GrantRequest, Grant,
                             DumpRequest, DumpReply, EngineStatus, KnownVersions, PendingPrefill, SuspectUpdate>;

/// The bytes of \p message. Thread-safe.
[[nodiscard]] std::string encode(const Message &message);

/// The message in \p bytes, or nothing when they are malformed, of an unknown type or hold an enum value out of range. Thread-safe.
[[nodiscard]] std::optional<Message> decode(std::string_view bytes);

} // namespace Carobhall
