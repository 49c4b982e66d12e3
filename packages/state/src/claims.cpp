#include "carobhall/claims.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

/// A repeat that meets a claim without a result is told to come back after this time.
constexpr Micros PendingRetryAfter = MicrosPerSecond;

/// Bytes that the digest of a key without a time takes of a shard for good.
constexpr std::size_t SpentKeyBytes = 38;

ClaimAnswer refusal(Verdict verdict, Errc error, Micros retryAfter = 0)
{
    return { .decision = ClaimDecision::Refused, .verdict = verdict, .error = error, .result = {}, .retryAfter = retryAfter };
}

ClaimAnswer repeatOf(const ClaimRow &row)
{
    if (!row.bodyKept) {
        return refusal(Verdict::Ran, Errc::TooLarge);
    }
    return { .decision = ClaimDecision::Replay,
             .verdict = Verdict::Ran,
             .error = {},
             .result = { .status = row.status, .contentType = row.contentType, .body = row.body } };
}

} // namespace

struct Claims::Impl : std::enable_shared_from_this<Impl> {
    struct Pending {
        std::string digest;
        std::uint64_t number = 0;
        std::string request;
        std::int64_t keyMillis = 0;
        Micros deadline = 0;
        bool sent = false; ///< A write with this claim went out.
        ClaimHandler done;
    };
    /// A claim that this process decided as Run, until its end is durable.
    struct Held {
        std::uint64_t number = 0;
        std::string request;
        bool ended = false;
        bool released = false;
        ClaimResult result; ///< Status 0: the outcome is unknown.
        std::vector<ClaimHandler> waiters;
    };
    struct Shard {
        bool known = false;        ///< `value` is what the platform held at `version`, as far as this process has heard.
        bool busy = false;         ///< A call is under way.
        std::uint64_t version = 0; ///< 0: the object does not exist.
        std::uint64_t highest = 0; ///< Highest version seen; an older answer is stale.
        ClaimShard value;
        std::vector<Pending> pending;
        std::map<std::string, Held> held;
        std::set<std::uint64_t> refused; ///< Numbers of claims that were refused after a write with them went out.
        Micros retryAt = 0;
        Micros usedAt = 0;
        std::optional<Backoff> backoff;
    };

    Impl(PlatformClient &platform, ClaimsOptions claimsOptions)
        : client(platform)
        , options(std::move(claimsOptions))
        , self(toHex(options.holder))
        , generator(options.seed)
    {
    }

    Shard &shard(const std::string &digest, Micros now);
    Held *held(const std::string &digest);
    bool isMine(const ClaimRow &row) const;
    void answer(const ClaimHandler &done, const ClaimAnswer &what, Micros now);
    std::optional<ClaimAnswer> decide(Shard &at, const Pending &claim);
    std::optional<ClaimAnswer> decideByRow(Shard &at, const Pending &claim, const ClaimRow &row);
    bool hasRoom(const ClaimShard &value, std::size_t pending, const Pending &claim) const;
    std::vector<ClaimHandler> refuseForRoom(Shard &at, const ClaimShard &next);
    void decideAll(Shard &at, bool fresh, Micros now);
    void expirePending(Shard &at, Micros now);
    void settleEnds(Shard &at);
    bool wantsWrite(const Shard &at) const;
    bool applyEnds(Shard &at, ClaimShard &next);
    bool dropExpired(ClaimShard &next) const;
    void step(std::size_t index, Micros now);
    void read(std::size_t index, Micros now);
    void onRead(std::size_t index, const PlatformReply &reply, Micros now);
    void write(std::size_t index, Micros now);
    void send(std::size_t index, ClaimShard next, Micros now);
    void onWritten(std::size_t index, ClaimShard next, const PlatformReply &reply, Micros now);
    void backOff(Shard &at, Micros now);
    void end(const ClaimKey &key, ClaimResult result, bool released, Micros now);

    PlatformClient &client;
    ClaimsOptions options;
    std::string self;
    Generator generator;
    ClaimsStats stats;
    std::array<std::unique_ptr<Shard>, ClaimShards> shards;
    std::uint64_t lastNumber = 0;
    Micros wallOffset = 0; ///< Wall clock minus monotonic clock at the last tick.
    Micros wall = 0;
};

Claims::Impl::Shard &Claims::Impl::shard(const std::string &digest, Micros now)
{
    std::unique_ptr<Shard> &slot = shards[shardOf(digest)];
    if (!slot) {
        slot = std::make_unique<Shard>();
        slot->backoff.emplace(options.retryBase, options.retryCap);
    }
    slot->usedAt = now;
    return *slot;
}

Claims::Impl::Held *Claims::Impl::held(const std::string &digest)
{
    const std::unique_ptr<Shard> &slot = shards[shardOf(digest)];
    if (!slot) {
        return nullptr;
    }
    const auto found = slot->held.find(digest);
    return found == slot->held.end() ? nullptr : &found->second;
}

bool Claims::Impl::isMine(const ClaimRow &row) const
{
    return row.holder == self;
}

void Claims::Impl::answer(const ClaimHandler &done, const ClaimAnswer &what, Micros now)
{
    switch (what.decision) {
    case ClaimDecision::Run:
        ++stats.claimed;
        break;
    case ClaimDecision::Replay:
        ++stats.repeats;
        break;
    case ClaimDecision::Refused:
        ++stats.refused;
        break;
    }
    done(what, now);
}

// Deciding a claim

std::optional<ClaimAnswer> Claims::Impl::decideByRow(Shard &at, const Pending &claim, const ClaimRow &row)
{
    if (isMine(row) && row.number == claim.number) {
        return ClaimAnswer{ .decision = ClaimDecision::Run, .verdict = Verdict::MayHaveRun, .error = {}, .result = {} };
    }
    if (isMine(row) && at.refused.contains(row.number)) {
        // The row of a claim that was refused and never ran; the next write replaces it.
        return std::nullopt;
    }
    if (row.request != claim.request) {
        return refusal(Verdict::NotRun, Errc::Conflict);
    }
    if (row.status != 0) {
        return repeatOf(row);
    }
    return refusal(Verdict::MayHaveRun, Errc::AlreadyExists, PendingRetryAfter);
}

/// The answer that the shard's value gives, or nothing when the claim has to be written.
std::optional<ClaimAnswer> Claims::Impl::decide(Shard &at, const Pending &claim)
{
    if (const auto row = at.value.rows.find(claim.digest); row != at.value.rows.end()) {
        return decideByRow(at, claim, row->second);
    }
    if (const auto spent = at.value.spent.find(claim.digest); spent != at.value.spent.end()) {
        return refusal(spent->second ? Verdict::Ran : Verdict::MayHaveRun, Errc::KeyExpired);
    }
    if (claim.keyMillis != 0 && claim.keyMillis <= at.value.droppedUpTo) {
        return refusal(Verdict::MayHaveRun, Errc::KeyExpired);
    }
    return std::nullopt;
}

bool Claims::Impl::hasRoom(const ClaimShard &value, std::size_t pending, const Pending &claim) const
{
    const auto countRows = [&](auto condition) {
        return static_cast<std::size_t>(std::count_if(value.rows.begin(), value.rows.end(), [&](const auto &entry) { return condition(entry.second); }));
    };
    const std::size_t open = countRows([](const ClaimRow &row) { return row.status == 0; });
    if (shardBytes(value) + (open + pending) * options.resultReserve > options.valueLimit) {
        return false;
    }
    const std::size_t timeless = countRows([](const ClaimRow &row) { return row.keyMillis == 0; });
    return claim.keyMillis != 0 || (value.spent.size() + timeless + pending) * SpentKeyBytes <= options.spentLimit;
}

std::vector<ClaimHandler> Claims::Impl::refuseForRoom(Shard &at, const ClaimShard &next)
{
    std::vector<ClaimHandler> refusedClaims;
    std::erase_if(at.pending, [&](Pending &claim) {
        if (hasRoom(next, at.pending.size(), claim)) {
            return false;
        }
        if (claim.sent) {
            at.refused.insert(claim.number);
        }
        refusedClaims.push_back(std::move(claim.done));
        return true;
    });
    return refusedClaims;
}

/// Decides the waiting claims by the shard's value. \p fresh: the value has just been read or written. A value from before shows
/// results for good, but a claim that was open then may have a result by now.
void Claims::Impl::decideAll(Shard &at, bool fresh, Micros now)
{
    std::vector<std::pair<ClaimHandler, ClaimAnswer>> answers;
    std::vector<Pending> rest;
    std::vector<Pending> claims = std::move(at.pending);
    at.pending.clear();
    for (Pending &claim : claims) {
        const auto running = at.held.find(claim.digest);
        if (running != at.held.end() && !running->second.ended && running->second.request == claim.request) {
            // A second claim of the key arrived before the first was decided.
            running->second.waiters.push_back(std::move(claim.done));
            continue;
        }
        std::optional<ClaimAnswer> found = decide(at, claim);
        if (found && found->error == Errc::AlreadyExists && !fresh) {
            at.known = false;
            found.reset();
        }
        if (!found) {
            rest.push_back(std::move(claim));
            continue;
        }
        if (found->decision == ClaimDecision::Run) {
            at.held[claim.digest] = { .number = claim.number, .request = claim.request, .result = {}, .waiters = {} };
        }
        answers.emplace_back(std::move(claim.done), std::move(*found));
    }
    at.pending = std::move(rest);
    for (const auto &[done, what] : answers) {
        answer(done, what, now);
    }
}

void Claims::Impl::expirePending(Shard &at, Micros now)
{
    std::vector<ClaimHandler> late;
    std::erase_if(at.pending, [&](Pending &claim) {
        if (claim.deadline > now) {
            return false;
        }
        if (claim.sent) {
            at.refused.insert(claim.number);
        }
        late.push_back(std::move(claim.done));
        return true;
    });
    for (const ClaimHandler &done : late) {
        answer(done, refusal(Verdict::NotRun, Errc::PlatformUnavailable, PendingRetryAfter), now);
    }
}

// Writing

/// Puts results into \p next and takes rows of refused and released claims out. Returns whether anything changed.
bool Claims::Impl::applyEnds(Shard &at, ClaimShard &next)
{
    bool changed = false;
    for (auto &[digest, claim] : at.held) {
        const auto row = next.rows.find(digest);
        if (!claim.ended || row == next.rows.end() || !isMine(row->second) || row->second.number != claim.number || row->second.status != 0) {
            continue;
        }
        if (claim.released) {
            next.rows.erase(row);
            changed = true;
            continue;
        }
        if (claim.result.status == 0) {
            continue;
        }
        row->second.status = claim.result.status;
        row->second.contentType = claim.result.contentType;
        row->second.body = claim.result.body;
        row->second.bodyKept = claim.result.body.size() <= options.maxResultBytes;
        if (!row->second.bodyKept || shardBytes(next) > options.valueLimit) {
            row->second.bodyKept = false;
            row->second.body.clear();
            row->second.contentType.clear();
        }
        changed = true;
    }
    changed |= std::erase_if(next.rows, [&](const auto &entry) { return isMine(entry.second) && at.refused.contains(entry.second.number); }) > 0;
    return changed;
}

/// Drops rows that have outlived the window. Returns whether anything changed.
bool Claims::Impl::dropExpired(ClaimShard &next) const
{
    const std::int64_t cutoff = (wall - options.window - options.clockSkew) / MicrosPerMilli;
    const std::size_t dropped = std::erase_if(next.rows, [&](const auto &entry) {
        const ClaimRow &row = entry.second;
        if (row.keyMillis != 0 && row.keyMillis <= cutoff) {
            next.droppedUpTo = std::max(next.droppedUpTo, row.keyMillis);
            return true;
        }
        if (row.keyMillis == 0 && row.claimMillis <= cutoff) {
            next.spent[entry.first] = row.status != 0;
            return true;
        }
        return false;
    });
    return dropped > 0;
}

/// Forgets what has ended and is durable.
void Claims::Impl::settleEnds(Shard &at)
{
    std::erase_if(at.held, [&](const auto &entry) {
        const Held &claim = entry.second;
        if (!claim.ended) {
            return false;
        }
        const auto row = at.value.rows.find(entry.first);
        const bool open = row != at.value.rows.end() && isMine(row->second) && row->second.number == claim.number && row->second.status == 0;
        return !open || (claim.result.status == 0 && !claim.released);
    });
}

bool Claims::Impl::wantsWrite(const Shard &at) const
{
    return !at.pending.empty() || !at.refused.empty() || std::any_of(at.held.begin(), at.held.end(), [](const auto &entry) { return entry.second.ended; });
}

void Claims::Impl::step(std::size_t index, Micros now)
{
    Shard &at = *shards[index];
    expirePending(at, now);
    if (at.busy || now < at.retryAt) {
        return;
    }
    if (at.known) {
        settleEnds(at);
        decideAll(at, false, now);
    }
    if (!wantsWrite(at)) {
        return;
    }
    if (!at.known) {
        read(index, now);
        return;
    }
    write(index, now);
}

void Claims::Impl::backOff(Shard &at, Micros now)
{
    at.retryAt = now + at.backoff->next(generator);
}

void Claims::Impl::read(std::size_t index, Micros now)
{
    shards[index]->busy = true;
    client.call(getCall(ClaimKind, shardName(options.environment, index)), now, [weak = weak_from_this(), index](const PlatformReply &reply, Micros at) {
        if (const auto impl = weak.lock()) {
            impl->onRead(index, reply, at);
        }
    });
}

void Claims::Impl::onRead(std::size_t index, const PlatformReply &reply, Micros now)
{
    Shard &at = *shards[index];
    at.busy = false;
    const bool absent = reply.error == Errc::NotFound && at.highest == 0;
    if ((reply.error && !absent) || reply.object.version < at.highest) {
        backOff(at, now);
        return;
    }
    std::optional<ClaimShard> value = absent ? ClaimShard{} : decodeShard(reply.object.spec);
    if (!value) {
        logEvent(LogLevel::Error, "claim_shard_malformed", { { "shard", shardName(options.environment, index) } });
        backOff(at, now);
        return;
    }
    at.value = std::move(*value);
    at.version = reply.object.version;
    at.highest = std::max(at.highest, at.version);
    at.known = true;
    decideAll(at, true, now);
    step(index, now);
}

void Claims::Impl::write(std::size_t index, Micros now)
{
    Shard &at = *shards[index];
    ClaimShard next = at.value;
    const bool expired = dropExpired(next);
    const bool ended = applyEnds(at, next);
    const std::vector<ClaimHandler> full = refuseForRoom(at, next);
    if (expired || ended || !at.pending.empty() || !at.refused.empty()) {
        send(index, std::move(next), now);
    }
    for (const ClaimHandler &done : full) {
        answer(done, refusal(Verdict::NotRun, Errc::Overloaded, PendingRetryAfter), now);
    }
}

void Claims::Impl::send(std::size_t index, ClaimShard next, Micros now)
{
    Shard &at = *shards[index];
    for (Pending &claim : at.pending) {
        claim.sent = true;
        next.rows.try_emplace(claim.digest,
                              ClaimRow{ .holder = self,
                                        .number = claim.number,
                                        .request = claim.request,
                                        .keyMillis = claim.keyMillis,
                                        .claimMillis = wall / MicrosPerMilli,
                                        .contentType = {},
                                        .body = {} });
    }
    at.busy = true;
    const PlatformObject base{ .kind = ClaimKind, .name = shardName(options.environment, index), .uid = {}, .version = at.version, .spec = {} };
    PlatformCall call = writeCall(base, encodeShard(next));
    client.call(std::move(call), now, [weak = weak_from_this(), index, next = std::move(next)](const PlatformReply &reply, Micros when) mutable {
        if (const auto impl = weak.lock()) {
            impl->onWritten(index, std::move(next), reply, when);
        }
    });
}

void Claims::Impl::onWritten(std::size_t index, ClaimShard next, const PlatformReply &reply, Micros now)
{
    Shard &at = *shards[index];
    at.busy = false;
    if (reply.error) {
        if (reply.verdict == Verdict::MayHaveRun) {
            ++stats.inDoubt;
        } else if (reply.error == Errc::Conflict || reply.error == Errc::AlreadyExists) {
            ++stats.conflicts;
        }
        // A write in doubt can still take effect on its base. The next write on the same base, or one of another process,
        // ends that: at most one takes effect, and the rows of the value that is read afterwards show which.
        at.known = false;
        backOff(at, now);
        return;
    }
    ++stats.commits;
    at.backoff->reset();
    at.value = std::move(next);
    at.version = reply.object.version;
    at.highest = std::max(at.highest, at.version);
    // The version has moved past the base, so that no earlier write on it can still take effect. What remains refused are
    // claims that timed out while this write was under way; the next write takes their rows out.
    std::set<std::uint64_t> written;
    for (const auto &[digest, row] : at.value.rows) {
        if (isMine(row)) {
            written.insert(row.number);
        }
    }
    stats.withdrawn += std::erase_if(at.refused, [&](std::uint64_t number) { return !written.contains(number); });
    decideAll(at, true, now);
    step(index, now);
}

// Public interface

Claims::Claims(PlatformClient &client, ClaimsOptions options)
    : impl_(std::make_shared<Impl>(client, std::move(options)))
{
}

Claims::~Claims() = default;

void Claims::claim(const ClaimKey &key, std::string_view requestDigest, Micros now, ClaimHandler done)
{
    Impl::Pending claim{ .digest = claimDigest(key),
                         .number = ++impl_->lastNumber,
                         .request = std::string(requestDigest),
                         .deadline = now + impl_->options.claimTimeout,
                         .done = std::move(done) };
    if (Impl::Held *running = impl_->held(claim.digest); running != nullptr) {
        if (running->request != claim.request) {
            impl_->answer(claim.done, refusal(Verdict::NotRun, Errc::Conflict), now);
        } else if (!running->ended) {
            running->waiters.push_back(std::move(claim.done));
        } else if (running->released) {
            impl_->answer(claim.done, refusal(Verdict::NotRun, Errc::PlatformUnavailable, PendingRetryAfter), now);
        } else if (running->result.status == 0) {
            impl_->answer(claim.done, refusal(Verdict::MayHaveRun, Errc::UpstreamFailed), now);
        } else {
            impl_->answer(claim.done, { .decision = ClaimDecision::Replay, .verdict = Verdict::Ran, .error = {}, .result = running->result }, now);
        }
        return;
    }
    const Micros wallNow = now + impl_->wallOffset;
    // Keys whose time lies further ahead than the clock skew are treated like keys without a time.
    if (const std::optional<std::int64_t> millis = uuidMillis(key.key); millis && *millis * MicrosPerMilli <= wallNow + impl_->options.clockSkew) {
        claim.keyMillis = *millis;
    }
    Impl::Shard &at = impl_->shard(claim.digest, now);
    if (const auto row = at.value.rows.find(claim.digest); row != at.value.rows.end() && row->second.status != 0) {
        // Results do not change, so one that was read before is valid even while the platform is away.
        const std::optional<ClaimAnswer> known = impl_->decideByRow(at, claim, row->second);
        impl_->answer(claim.done, *known, now);
        return;
    }
    if (claim.keyMillis != 0 && claim.keyMillis * MicrosPerMilli <= wallNow - impl_->options.window) {
        impl_->answer(claim.done, refusal(Verdict::MayHaveRun, Errc::KeyExpired), now);
        return;
    }
    at.pending.push_back(std::move(claim));
}

void Claims::Impl::end(const ClaimKey &key, ClaimResult result, bool released, Micros now)
{
    const std::string digest = claimDigest(key);
    Held *claim = held(digest);
    if (claim == nullptr || claim->ended) {
        return;
    }
    claim->ended = true;
    claim->released = released;
    claim->result = std::move(result);
    const std::vector<ClaimHandler> waiters = std::move(claim->waiters);
    claim->waiters.clear();
    ClaimAnswer what = refusal(Verdict::MayHaveRun, Errc::UpstreamFailed);
    if (released) {
        what = refusal(Verdict::NotRun, Errc::UpstreamFailed);
    } else if (claim->result.status != 0) {
        what = { .decision = ClaimDecision::Replay, .verdict = Verdict::Ran, .error = {}, .result = claim->result };
    }
    for (const ClaimHandler &done : waiters) {
        answer(done, what, now);
    }
}

void Claims::finish(const ClaimKey &key, ClaimResult result, Micros now)
{
    impl_->end(key, std::move(result), false, now);
}

void Claims::markOutcomeUnknown(const ClaimKey &key, Micros now)
{
    impl_->end(key, {}, false, now);
}

void Claims::release(const ClaimKey &key, Micros now)
{
    impl_->end(key, {}, true, now);
}

void Claims::tick(Micros now, Micros wall)
{
    const auto keepAlive = impl_;
    impl_->wall = wall;
    impl_->wallOffset = wall - now;
    for (std::size_t i = 0; i < ClaimShards; ++i) {
        std::unique_ptr<Impl::Shard> &slot = impl_->shards[i];
        if (!slot) {
            continue;
        }
        impl_->step(i, now);
        const bool unused = !slot->busy && slot->pending.empty() && slot->held.empty() && slot->refused.empty();
        if (unused && now - slot->usedAt > impl_->options.idleShard) {
            slot.reset();
        }
    }
}

bool Claims::isIdle() const
{
    return std::all_of(impl_->shards.begin(), impl_->shards.end(), [](const std::unique_ptr<Impl::Shard> &slot) {
        return !slot || (!slot->busy && slot->pending.empty() && slot->held.empty() && slot->refused.empty());
    });
}

const ClaimsStats &Claims::stats() const
{
    return impl_->stats;
}

} // namespace Carobhall
