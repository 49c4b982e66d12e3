#include "carobhall/claims.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

/// Suggested retry delay in refusals that may be temporary.
constexpr Micros ClaimRetryAfter = MicrosPerSecond;

/// Bytes that the tombstone of a key without a timestamp occupies permanently in a shard.
constexpr std::size_t TombstoneBytes = 38;

ClaimAnswer refusal(Verdict verdict, Errc error, Micros retryAfter = 0)
{
    return { .decision = ClaimDecision::Refused, .verdict = verdict, .error = error, .result = {}, .retryAfter = retryAfter };
}

ClaimAnswer replayOf(const ClaimRecord &record)
{
    if (!record.bodyKept) {
        return refusal(Verdict::Ran, Errc::TooLarge);
    }
    return { .decision = ClaimDecision::Replay,
             .verdict = Verdict::Ran,
             .error = {},
             .result = { .status = record.status, .contentType = record.contentType, .body = record.body } };
}

} // namespace

struct Claims::Impl : std::enable_shared_from_this<Impl> {
    struct PendingClaim {
        std::string digest;
        std::uint64_t sequence = 0;
        std::string requestDigest;
        std::int64_t keyTimeMillis = 0;
        Micros deadline = 0;
        bool sent = false; ///< A write that contains this claim was sent.
        ClaimHandler done;
    };
    /// A claim that this process answered with Run, until its outcome is durable.
    struct OwnClaim {
        std::uint64_t sequence = 0;
        std::string requestDigest;
        bool ended = false;
        bool released = false;
        ClaimResult result; ///< Once ended, status 0 means that the outcome is unknown.
        std::vector<ClaimHandler> waiters;
    };
    struct Shard {
        bool known = false;               ///< Whether `value` is the newest value known to this process, at `version`.
        bool callInFlight = false;        ///< A read or write is in flight.
        std::uint64_t version = 0;        ///< 0: the object does not exist.
        std::uint64_t highestVersion = 0; ///< Highest version seen; a reply with a lower version is stale.
        ClaimShard value;
        std::vector<PendingClaim> pending;
        std::map<std::string, OwnClaim> ownClaims;
        std::set<std::uint64_t> refusedSequences; ///< Claims that were refused after a write that contains them was sent.
        Micros retryAt = 0;
        Micros lastUsedAt = 0;
        std::optional<Backoff> backoff;
    };

    Impl(PlatformClient &platform, ClaimsOptions claimsOptions)
        : client(platform)
        , options(std::move(claimsOptions))
        , holderId(toHex(options.holder))
        , generator(options.seed)
    {
    }

    Shard &shardFor(const std::string &digest, Micros now);
    OwnClaim *findOwnClaim(const std::string &digest);
    bool isOwn(const ClaimRecord &record) const;
    void deliverAnswer(const ClaimHandler &done, const ClaimAnswer &answer, Micros now);
    std::optional<ClaimAnswer> decide(Shard &shard, const PendingClaim &claim);
    std::optional<ClaimAnswer> decideByRecord(Shard &shard, const PendingClaim &claim, const ClaimRecord &record);
    bool hasRoom(const ClaimShard &value, std::size_t pending, const PendingClaim &claim) const;
    std::vector<ClaimHandler> refuseWithoutRoom(Shard &shard, const ClaimShard &next);
    void decideAll(Shard &shard, bool fresh, Micros now);
    void expirePending(Shard &shard, Micros now);
    void discardSettled(Shard &shard);
    bool needsWrite(const Shard &shard) const;
    bool applyOutcomes(Shard &shard, ClaimShard &next);
    bool dropExpired(ClaimShard &next) const;
    void advance(std::size_t index, Micros now);
    void read(std::size_t index, Micros now);
    void onRead(std::size_t index, const PlatformReply &reply, Micros now);
    void write(std::size_t index, Micros now);
    void send(std::size_t index, ClaimShard next, Micros now);
    void onWritten(std::size_t index, ClaimShard next, const PlatformReply &reply, Micros now);
    void backOff(Shard &shard, Micros now);
    void recordOutcome(const ClaimKey &key, ClaimResult result, bool released, Micros now);

    PlatformClient &client;
    ClaimsOptions options;
    std::string holderId;
    Generator generator;
    ClaimsStats stats;
    std::array<std::unique_ptr<Shard>, ClaimShards> shards;
    std::uint64_t lastSequence = 0;
    Micros wallOffset = 0; ///< Wall clock minus monotonic clock, as of the last tick.
    Micros wallTime = 0;
};

Claims::Impl::Shard &Claims::Impl::shardFor(const std::string &digest, Micros now)
{
    std::unique_ptr<Shard> &slot = shards[shardOf(digest)];
    if (!slot) {
        slot = std::make_unique<Shard>();
        slot->backoff.emplace(options.retryBase, options.retryCap);
    }
    slot->lastUsedAt = now;
    return *slot;
}

Claims::Impl::OwnClaim *Claims::Impl::findOwnClaim(const std::string &digest)
{
    const std::unique_ptr<Shard> &slot = shards[shardOf(digest)];
    if (!slot) {
        return nullptr;
    }
    const auto found = slot->ownClaims.find(digest);
    return found == slot->ownClaims.end() ? nullptr : &found->second;
}

bool Claims::Impl::isOwn(const ClaimRecord &record) const
{
    return record.holder == holderId;
}

void Claims::Impl::deliverAnswer(const ClaimHandler &done, const ClaimAnswer &answer, Micros now)
{
    switch (answer.decision) {
    case ClaimDecision::Run:
        ++stats.claimed;
        break;
    case ClaimDecision::Replay:
        ++stats.replayed;
        break;
    case ClaimDecision::Refused:
        ++stats.refused;
        break;
    }
    done(answer, now);
}

// Answering claims

std::optional<ClaimAnswer> Claims::Impl::decideByRecord(Shard &shard, const PendingClaim &claim, const ClaimRecord &record)
{
    if (isOwn(record) && record.sequence == claim.sequence) {
        return ClaimAnswer{ .decision = ClaimDecision::Run, .verdict = Verdict::MayHaveRun, .error = {}, .result = {} };
    }
    if (isOwn(record) && shard.refusedSequences.contains(record.sequence)) {
        // This record belongs to a refused claim that never ran. The next write removes it.
        return std::nullopt;
    }
    if (record.requestDigest != claim.requestDigest) {
        return refusal(Verdict::NotRun, Errc::Conflict);
    }
    if (record.status != 0) {
        return replayOf(record);
    }
    return refusal(Verdict::MayHaveRun, Errc::AlreadyExists, ClaimRetryAfter);
}

/// Answers \p claim from the shard's value. Returns nothing when the claim has to be written.
std::optional<ClaimAnswer> Claims::Impl::decide(Shard &shard, const PendingClaim &claim)
{
    if (const auto record = shard.value.records.find(claim.digest); record != shard.value.records.end()) {
        return decideByRecord(shard, claim, record->second);
    }
    if (const auto tombstone = shard.value.tombstones.find(claim.digest); tombstone != shard.value.tombstones.end()) {
        return refusal(tombstone->second ? Verdict::Ran : Verdict::MayHaveRun, Errc::KeyExpired);
    }
    if (claim.keyTimeMillis != 0 && claim.keyTimeMillis <= shard.value.droppedUpToMillis) {
        return refusal(Verdict::MayHaveRun, Errc::KeyExpired);
    }
    return std::nullopt;
}

bool Claims::Impl::hasRoom(const ClaimShard &value, std::size_t pending, const PendingClaim &claim) const
{
    const auto countRecords = [&](auto condition) {
        return static_cast<std::size_t>(std::count_if(value.records.begin(), value.records.end(), [&](const auto &entry) { return condition(entry.second); }));
    };
    const std::size_t open = countRecords([](const ClaimRecord &record) { return record.status == 0; });
    if (shardBytes(value) + (open + pending) * options.resultReserveBytes > options.shardLimitBytes) {
        return false;
    }
    const std::size_t untimed = countRecords([](const ClaimRecord &record) { return record.keyTimeMillis == 0; });
    return claim.keyTimeMillis != 0 || (value.tombstones.size() + untimed + pending) * TombstoneBytes <= options.tombstoneLimitBytes;
}

std::vector<ClaimHandler> Claims::Impl::refuseWithoutRoom(Shard &shard, const ClaimShard &next)
{
    std::vector<ClaimHandler> refusedClaims;
    std::erase_if(shard.pending, [&](PendingClaim &claim) {
        if (hasRoom(next, shard.pending.size(), claim)) {
            return false;
        }
        if (claim.sent) {
            shard.refusedSequences.insert(claim.sequence);
        }
        refusedClaims.push_back(std::move(claim.done));
        return true;
    });
    return refusedClaims;
}

/// Answers pending claims from the shard's value. \p fresh means that the value has just been read or written. In an older value,
/// stored results are still valid, but a claim without a result may have got one since.
void Claims::Impl::decideAll(Shard &shard, bool fresh, Micros now)
{
    std::vector<std::pair<ClaimHandler, ClaimAnswer>> answers;
    std::vector<PendingClaim> undecided;
    std::vector<PendingClaim> claims = std::move(shard.pending);
    shard.pending.clear();
    for (PendingClaim &claim : claims) {
        const auto running = shard.ownClaims.find(claim.digest);
        if (running != shard.ownClaims.end() && !running->second.ended && running->second.requestDigest == claim.requestDigest) {
            // Another claim of this key was answered with Run in the meantime and is still running.
            running->second.waiters.push_back(std::move(claim.done));
            continue;
        }
        std::optional<ClaimAnswer> found = decide(shard, claim);
        if (found && found->error == Errc::AlreadyExists && !fresh) {
            shard.known = false;
            found.reset();
        }
        if (!found) {
            undecided.push_back(std::move(claim));
            continue;
        }
        if (found->decision == ClaimDecision::Run) {
            shard.ownClaims[claim.digest] = { .sequence = claim.sequence, .requestDigest = claim.requestDigest, .result = {}, .waiters = {} };
        }
        answers.emplace_back(std::move(claim.done), std::move(*found));
    }
    shard.pending = std::move(undecided);
    for (const auto &[done, answer] : answers) {
        deliverAnswer(done, answer, now);
    }
}

void Claims::Impl::expirePending(Shard &shard, Micros now)
{
    std::vector<ClaimHandler> timedOut;
    std::erase_if(shard.pending, [&](PendingClaim &claim) {
        if (claim.deadline > now) {
            return false;
        }
        if (claim.sent) {
            shard.refusedSequences.insert(claim.sequence);
        }
        timedOut.push_back(std::move(claim.done));
        return true;
    });
    for (const ClaimHandler &done : timedOut) {
        deliverAnswer(done, refusal(Verdict::NotRun, Errc::PlatformUnavailable, ClaimRetryAfter), now);
    }
}

// Writing

/// Adds results to \p next and removes the records of refused and released claims. Returns whether anything changed.
bool Claims::Impl::applyOutcomes(Shard &shard, ClaimShard &next)
{
    bool changed = false;
    for (auto &[digest, claim] : shard.ownClaims) {
        const auto record = next.records.find(digest);
        if (!claim.ended || record == next.records.end() || !isOwn(record->second) || record->second.sequence != claim.sequence || record->second.status != 0) {
            continue;
        }
        if (claim.released) {
            next.records.erase(record);
            changed = true;
            continue;
        }
        if (claim.result.status == 0) {
            continue;
        }
        record->second.status = claim.result.status;
        record->second.contentType = claim.result.contentType;
        record->second.body = claim.result.body;
        record->second.bodyKept = claim.result.body.size() <= options.maxResultBytes;
        if (!record->second.bodyKept || shardBytes(next) > options.shardLimitBytes) {
            record->second.bodyKept = false;
            record->second.body.clear();
            record->second.contentType.clear();
        }
        changed = true;
    }
    changed |= std::erase_if(next.records, [&](const auto &entry) { return isOwn(entry.second) && shard.refusedSequences.contains(entry.second.sequence); })
        > 0;
    return changed;
}

/// Drops expired records. Returns whether anything changed.
bool Claims::Impl::dropExpired(ClaimShard &next) const
{
    const std::int64_t cutoff = (wallTime - options.retention - options.clockSkew) / MicrosPerMilli;
    const std::size_t dropped = std::erase_if(next.records, [&](const auto &entry) {
        const ClaimRecord &record = entry.second;
        if (record.keyTimeMillis != 0 && record.keyTimeMillis <= cutoff) {
            next.droppedUpToMillis = std::max(next.droppedUpToMillis, record.keyTimeMillis);
            return true;
        }
        if (record.keyTimeMillis == 0 && record.claimedAtMillis <= cutoff) {
            next.tombstones[entry.first] = record.status != 0;
            return true;
        }
        return false;
    });
    return dropped > 0;
}

/// Discards own claims that have ended and whose outcome is durable.
void Claims::Impl::discardSettled(Shard &shard)
{
    std::erase_if(shard.ownClaims, [&](const auto &entry) {
        const OwnClaim &claim = entry.second;
        if (!claim.ended) {
            return false;
        }
        const auto record = shard.value.records.find(entry.first);
        const bool open = record != shard.value.records.end() && isOwn(record->second) && record->second.sequence == claim.sequence
            && record->second.status == 0;
        return !open || (claim.result.status == 0 && !claim.released);
    });
}

bool Claims::Impl::needsWrite(const Shard &shard) const
{
    return !shard.pending.empty() || !shard.refusedSequences.empty()
        || std::any_of(shard.ownClaims.begin(), shard.ownClaims.end(), [](const auto &entry) { return entry.second.ended; });
}

void Claims::Impl::advance(std::size_t index, Micros now)
{
    Shard &shard = *shards[index];
    expirePending(shard, now);
    if (shard.callInFlight || now < shard.retryAt) {
        return;
    }
    if (shard.known) {
        discardSettled(shard);
        decideAll(shard, false, now);
    }
    if (!needsWrite(shard)) {
        return;
    }
    if (!shard.known) {
        read(index, now);
        return;
    }
    write(index, now);
}

void Claims::Impl::backOff(Shard &shard, Micros now)
{
    shard.retryAt = now + shard.backoff->next(generator);
}

void Claims::Impl::read(std::size_t index, Micros now)
{
    shards[index]->callInFlight = true;
    client.call(getCall(ClaimKind, shardName(options.environment, index)), now, [weak = weak_from_this(), index](const PlatformReply &reply, Micros when) {
        if (const auto impl = weak.lock()) {
            impl->onRead(index, reply, when);
        }
    });
}

void Claims::Impl::onRead(std::size_t index, const PlatformReply &reply, Micros now)
{
    Shard &shard = *shards[index];
    shard.callInFlight = false;
    const bool absent = reply.error == Errc::NotFound && shard.highestVersion == 0;
    if ((reply.error && !absent) || reply.object.version < shard.highestVersion) {
        backOff(shard, now);
        return;
    }
    std::optional<ClaimShard> value = absent ? ClaimShard{} : decodeShard(reply.object.spec);
    if (!value) {
        logEvent(LogLevel::Error, "claim_shard_malformed", { { "shard", shardName(options.environment, index) } });
        backOff(shard, now);
        return;
    }
    shard.value = std::move(*value);
    shard.version = reply.object.version;
    shard.highestVersion = std::max(shard.highestVersion, shard.version);
    shard.known = true;
    decideAll(shard, true, now);
    advance(index, now);
}

void Claims::Impl::write(std::size_t index, Micros now)
{
    Shard &shard = *shards[index];
    ClaimShard next = shard.value;
    const bool expired = dropExpired(next);
    const bool ended = applyOutcomes(shard, next);
    const std::vector<ClaimHandler> refusedHandlers = refuseWithoutRoom(shard, next);
    if (expired || ended || !shard.pending.empty() || !shard.refusedSequences.empty()) {
        send(index, std::move(next), now);
    }
    for (const ClaimHandler &done : refusedHandlers) {
        deliverAnswer(done, refusal(Verdict::NotRun, Errc::Overloaded, ClaimRetryAfter), now);
    }
}

void Claims::Impl::send(std::size_t index, ClaimShard next, Micros now)
{
    Shard &shard = *shards[index];
    for (PendingClaim &claim : shard.pending) {
        claim.sent = true;
        next.records.try_emplace(claim.digest,
                                 ClaimRecord{ .holder = holderId,
                                              .sequence = claim.sequence,
                                              .requestDigest = claim.requestDigest,
                                              .keyTimeMillis = claim.keyTimeMillis,
                                              .claimedAtMillis = wallTime / MicrosPerMilli,
                                              .contentType = {},
                                              .body = {} });
    }
    shard.callInFlight = true;
    const PlatformObject base{ .kind = ClaimKind, .name = shardName(options.environment, index), .uid = {}, .version = shard.version, .spec = {} };
    PlatformCall call = writeCall(base, encodeShard(next));
    client.call(std::move(call), now, [weak = weak_from_this(), index, next = std::move(next)](const PlatformReply &reply, Micros when) mutable {
        if (const auto impl = weak.lock()) {
            impl->onWritten(index, std::move(next), reply, when);
        }
    });
}

void Claims::Impl::onWritten(std::size_t index, ClaimShard next, const PlatformReply &reply, Micros now)
{
    Shard &shard = *shards[index];
    shard.callInFlight = false;
    if (reply.error) {
        if (reply.verdict == Verdict::MayHaveRun) {
            ++stats.inDoubt;
        } else if (reply.error == Errc::Conflict || reply.error == Errc::AlreadyExists) {
            ++stats.conflicts;
        }
        // A write with unknown outcome can still take effect on its base version, until the next write on that version by this or
        // another process. At most one of these takes effect, and the records that are read afterwards show which one.
        shard.known = false;
        backOff(shard, now);
        return;
    }
    ++stats.commits;
    shard.backoff->reset();
    shard.value = std::move(next);
    shard.version = reply.object.version;
    shard.highestVersion = std::max(shard.highestVersion, shard.version);
    // The version is now past the base version, so no earlier write on it can still take effect. The claims that remain in
    // refusedSequences timed out while this write was in flight; the next write removes their records.
    std::set<std::uint64_t> written;
    for (const auto &[digest, record] : shard.value.records) {
        if (isOwn(record)) {
            written.insert(record.sequence);
        }
    }
    stats.withdrawn += std::erase_if(shard.refusedSequences, [&](std::uint64_t sequence) { return !written.contains(sequence); });
    decideAll(shard, true, now);
    advance(index, now);
}

// Public interface

Claims::Claims(PlatformClient &client, ClaimsOptions options)
    : impl_(std::make_shared<Impl>(client, std::move(options)))
{
}

Claims::~Claims() = default;

void Claims::claim(const ClaimKey &key, std::string_view requestDigest, Micros now, ClaimHandler done)
{
    Impl::PendingClaim claim{ .digest = claimDigest(key),
                              .sequence = ++impl_->lastSequence,
                              .requestDigest = std::string(requestDigest),
                              .deadline = now + impl_->options.claimTimeout,
                              .done = std::move(done) };
    if (Impl::OwnClaim *running = impl_->findOwnClaim(claim.digest); running != nullptr) {
        if (running->requestDigest != claim.requestDigest) {
            impl_->deliverAnswer(claim.done, refusal(Verdict::NotRun, Errc::Conflict), now);
        } else if (!running->ended) {
            running->waiters.push_back(std::move(claim.done));
        } else if (running->released) {
            impl_->deliverAnswer(claim.done, refusal(Verdict::NotRun, Errc::PlatformUnavailable, ClaimRetryAfter), now);
        } else if (running->result.status == 0) {
            impl_->deliverAnswer(claim.done, refusal(Verdict::MayHaveRun, Errc::UpstreamFailed), now);
        } else {
            impl_->deliverAnswer(claim.done, { .decision = ClaimDecision::Replay, .verdict = Verdict::Ran, .error = {}, .result = running->result }, now);
        }
        return;
    }
    const Micros wallNow = now + impl_->wallOffset;
    // Keys with timestamps further in the future than the clock skew are treated like keys without a timestamp.
    if (const std::optional<std::int64_t> millis = uuidTimeMillis(key.key); millis && *millis * MicrosPerMilli <= wallNow + impl_->options.clockSkew) {
        claim.keyTimeMillis = *millis;
    }
    Impl::Shard &shard = impl_->shardFor(claim.digest, now);
    if (const auto record = shard.value.records.find(claim.digest); record != shard.value.records.end() && record->second.status != 0) {
        // Results never change, so a result from an earlier read is valid even while the platform is unavailable.
        const std::optional<ClaimAnswer> known = impl_->decideByRecord(shard, claim, record->second);
        impl_->deliverAnswer(claim.done, *known, now);
        return;
    }
    if (claim.keyTimeMillis != 0 && claim.keyTimeMillis * MicrosPerMilli <= wallNow - impl_->options.retention) {
        impl_->deliverAnswer(claim.done, refusal(Verdict::MayHaveRun, Errc::KeyExpired), now);
        return;
    }
    shard.pending.push_back(std::move(claim));
}

void Claims::Impl::recordOutcome(const ClaimKey &key, ClaimResult result, bool released, Micros now)
{
    const std::string digest = claimDigest(key);
    OwnClaim *claim = findOwnClaim(digest);
    if (claim == nullptr || claim->ended) {
        return;
    }
    claim->ended = true;
    claim->released = released;
    claim->result = std::move(result);
    const std::vector<ClaimHandler> waiters = std::move(claim->waiters);
    claim->waiters.clear();
    ClaimAnswer answer = refusal(Verdict::MayHaveRun, Errc::UpstreamFailed);
    if (released) {
        answer = refusal(Verdict::NotRun, Errc::UpstreamFailed);
    } else if (claim->result.status != 0) {
        answer = { .decision = ClaimDecision::Replay, .verdict = Verdict::Ran, .error = {}, .result = claim->result };
    }
    for (const ClaimHandler &done : waiters) {
        deliverAnswer(done, answer, now);
    }
}

void Claims::finish(const ClaimKey &key, ClaimResult result, Micros now)
{
    impl_->recordOutcome(key, std::move(result), false, now);
}

void Claims::markOutcomeUnknown(const ClaimKey &key, Micros now)
{
    impl_->recordOutcome(key, {}, false, now);
}

void Claims::release(const ClaimKey &key, Micros now)
{
    impl_->recordOutcome(key, {}, true, now);
}

void Claims::tick(Micros now, Micros wallTime)
{
    const auto keepAlive = impl_;
    impl_->wallTime = wallTime;
    impl_->wallOffset = wallTime - now;
    for (std::size_t i = 0; i < ClaimShards; ++i) {
        std::unique_ptr<Impl::Shard> &slot = impl_->shards[i];
        if (!slot) {
            continue;
        }
        impl_->advance(i, now);
        const bool unused = !slot->callInFlight && slot->pending.empty() && slot->ownClaims.empty() && slot->refusedSequences.empty();
        if (unused && now - slot->lastUsedAt > impl_->options.shardIdleTimeout) {
            slot.reset();
        }
    }
}

bool Claims::isIdle() const
{
    return std::all_of(impl_->shards.begin(), impl_->shards.end(), [](const std::unique_ptr<Impl::Shard> &slot) {
        return !slot || (!slot->callInFlight && slot->pending.empty() && slot->ownClaims.empty() && slot->refusedSequences.empty());
    });
}

const ClaimsStats &Claims::stats() const
{
    return impl_->stats;
}

} // namespace Carobhall
