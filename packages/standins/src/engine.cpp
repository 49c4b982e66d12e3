#include "carobhall/standins.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <charconv>
#include <cstring>
#include <utility>

namespace Carobhall::Standin
{

namespace
{

constexpr std::size_t MaxLoadHistory = 4096;

static_assert(std::endian::native == std::endian::little, "The chained hashes are defined over little-endian numbers.");

/// Orders jobs by priority value (lowest first), then by arrival.
template<typename Job>
bool runsBefore(const Job &a, const Job &b)
{
    return std::pair(a.request.priority, a.handle) < std::pair(b.request.priority, b.handle);
}

template<typename Jobs>
auto findMostUrgent(Jobs &jobs)
{
    return std::min_element(jobs.begin(), jobs.end(), [](const auto &a, const auto &b) { return runsBefore(a, b); });
}

} // namespace

// Prefix hashes -----------------------------------------------------------------------------------

std::vector<std::uint64_t> pieceHashes(std::string_view prompt, std::uint64_t salt)
{
    std::vector<std::uint64_t> hashes(prompt.size() / PieceBytes);
    std::array<char, sizeof(std::uint64_t) + PieceBytes> block{};
    std::uint64_t previous = salt;
    for (std::size_t i = 0; i < hashes.size(); ++i) {
        std::memcpy(block.data(), &previous, sizeof previous);
        std::memcpy(block.data() + sizeof previous, prompt.data() + i * PieceBytes, PieceBytes);
        previous = XXH3_64bits_withSeed(block.data(), block.size(), salt);
        hashes[i] = previous;
    }
    return hashes;
}

std::string tokenText(std::string_view prompt, std::uint64_t index)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz";
    std::uint64_t value = XXH3_64bits_withSeed(prompt.data(), prompt.size(), index);
    std::string text(1, ' ');
    while (text.size() < TokenBytes) {
        text += letters[value % letters.size()];
        value /= letters.size();
    }
    return text;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    constexpr std::string_view prefix = "0x";
    const bool hexadecimal = text.starts_with(prefix);
    if (hexadecimal) {
        text.remove_prefix(prefix.size());
    }
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal ? 16 : 10);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

// Requests ----------------------------------------------------------------------------------------

EngineModel::EngineModel(EngineOptions options, Incarnation incarnation)
    : options_(std::move(options))
    , incarnation_(incarnation)
    , random_(options_.seed)
    , model_(options_.model)
    , weightsVersion_(options_.weightsVersion)
{
}

Incarnation EngineModel::incarnation() const
{
    return incarnation_;
}

const EngineOptions &EngineModel::options() const
{
    return options_;
}

void EngineModel::setOptions(EngineOptions options)
{
    options_ = std::move(options);
}

std::optional<EngineHandle> EngineModel::submit(Micros now, EngineRequest request)
{
    runSteps(now);
    if (waiting_.size() >= options_.maxWaiting) {
        return std::nullopt;
    }
    Job job;
    job.handle = ++lastHandle_;
    job.hashes = pieceHashes(request.prompt + request.resumeText, request.salt);
    job.nextIndex = request.resumeFrom;
    job.request = std::move(request);
    waiting_.push_back(std::move(job));
    fillBatch();
    startPrefillChunk(now);
    recordLoad(now);
    return lastHandle_;
}

std::size_t EngineModel::cancel(Micros now, std::string_view id)
{
    runSteps(now);
    std::size_t count = 0;
    for (std::list<Job> *jobs : { &waiting_, &batch_ }) {
        for (Job &job : *jobs) {
            if (job.request.id == id && !endedHandles_.contains(job.handle)) {
                finish(job, "abort");
                ++count;
            }
        }
    }
    removeEndedJobs();
    fillBatch();
    startPrefillChunk(now);
    recordLoad(now);
    return count;
}

void EngineModel::cancel(Micros now, EngineHandle handle)
{
    runSteps(now);
    for (std::list<Job> *jobs : { &waiting_, &batch_ }) {
        for (Job &job : *jobs) {
            if (job.handle == handle) {
                finish(job, "abort");
            }
        }
    }
    removeEndedJobs();
    fillBatch();
    startPrefillChunk(now);
    recordLoad(now);
}

std::vector<EngineOutput> EngineModel::advance(Micros now)
{
    runSteps(now);
    lastAdvanceAt_ = now;
    return std::exchange(outputs_, {});
}

void EngineModel::runSteps(Micros now)
{
    for (auto next = nextStep(); next && *next <= now; next = nextStep()) {
        step(*next);
    }
}

std::optional<Micros> EngineModel::nextAt() const
{
    std::optional<Micros> next = nextStep();
    if (!outputs_.empty()) {
        next = std::min(next.value_or(lastAdvanceAt_), lastAdvanceAt_);
    }
    const auto firstHidden = std::find_if(eventLog_.begin(), eventLog_.end(), [this](const CacheEvent &event) { return event.visibleAt > lastAdvanceAt_; });
    if (firstHidden != eventLog_.end()) {
        next = std::min(next.value_or(firstHidden->visibleAt), firstHidden->visibleAt);
    }
    return next;
}

std::optional<Micros> EngineModel::nextStep() const
{
    std::optional<Micros> next;
    const auto consider = [&next](Micros at) { next = std::min(next.value_or(at), at); };
    if (prefilling_ != 0) {
        consider(chunkEndsAt_);
    }
    for (const Job &job : batch_) {
        if (job.decoding) {
            consider(job.nextToken);
        }
    }
    for (const PendingOrder &order : pendingOrders_) {
        consider(order.at);
    }
    return next;
}

void EngineModel::step(Micros now)
{
    if (prefilling_ != 0 && chunkEndsAt_ <= now) {
        finishPrefillChunk(now);
    }
    for (Job &job : batch_) {
        if (job.decoding && job.nextToken <= now) {
            decodeToken(now, job);
        }
    }
    for (const PendingOrder &due : std::exchange(pendingOrders_, {})) {
        if (due.at <= now) {
            applyOrder(now, due.order);
        } else {
            pendingOrders_.push_back(due);
        }
    }
    removeEndedJobs();
    fillBatch();
    startPrefillChunk(now);
    recordLoad(now);
}

void EngineModel::fillBatch()
{
    while (batch_.size() < options_.slots && !waiting_.empty()) {
        batch_.splice(batch_.end(), waiting_, findMostUrgent(waiting_));
    }
}

void EngineModel::startPrefillChunk(Micros now)
{
    if (prefilling_ != 0) {
        return;
    }
    Job *chosen = nullptr;
    for (Job &job : batch_) {
        if (!job.decoding && (chosen == nullptr || runsBefore(job, *chosen))) {
            chosen = &job;
        }
    }
    if (chosen == nullptr) {
        return;
    }
    if (!chosen->started) {
        chosen->started = true;
        chosen->cachedPieces = cachedPrefix(chosen->hashes);
        chosen->piecesLeft = chosen->hashes.size() - chosen->cachedPieces;
        markRecentlyUsed(std::span(chosen->hashes).first(chosen->cachedPieces));
        outputs_.push_back({ .handle = chosen->handle, .kind = EngineOutput::Kind::Started, .index = 0, .text = {}, .cachedPieces = chosen->cachedPieces });
        if (crashes(*chosen) && options_.crashAfterTokens == 0) {
            outputs_.push_back({ .handle = chosen->handle, .kind = EngineOutput::Kind::Crashed, .index = 0, .text = {}, .cachedPieces = 0 });
        }
    }
    prefilling_ = chosen->handle;
    chunkPieces_ = std::min(chosen->piecesLeft, options_.prefillChunkPieces);
    chunkEndsAt_ = now + static_cast<Micros>(chunkPieces_) * options_.prefillPerPiece;
}

void EngineModel::finishPrefillChunk(Micros now)
{
    const auto found = std::find_if(batch_.begin(), batch_.end(), [this](const Job &job) { return job.handle == prefilling_; });
    prefilling_ = 0;
    if (found == batch_.end()) {
        return;
    }
    Job &job = *found;
    job.piecesLeft -= chunkPieces_;
    if (job.piecesLeft > 0) {
        return;
    }
    store(now, job.hashes);
    job.decoding = true;
    job.nextToken = now + options_.decodePerToken;
    if (job.nextIndex >= endIndex(job)) {
        // The request resumes an answer of which the caller already has every token.
        finish(job, job.nextIndex >= job.request.maxTokens ? "length" : "stop");
    }
}

void EngineModel::decodeToken(Micros now, Job &job)
{
    const std::uint64_t generated = job.nextIndex - job.request.resumeFrom;
    if (crashes(job) && generated >= options_.crashAfterTokens) {
        outputs_.push_back({ .handle = job.handle, .kind = EngineOutput::Kind::Crashed, .index = 0, .text = {}, .cachedPieces = 0 });
    }
    outputs_.push_back({ .handle = job.handle,
                         .kind = EngineOutput::Kind::Token,
                         .index = job.nextIndex,
                         .text = tokenText(job.request.prompt, job.nextIndex),
                         .cachedPieces = 0 });
    ++job.nextIndex;
    job.nextToken = now + options_.decodePerToken;
    if (job.nextIndex >= endIndex(job)) {
        finish(job, job.nextIndex >= job.request.maxTokens ? "length" : "stop");
    }
}

std::uint64_t EngineModel::endIndex(const Job &job) const
{
    return options_.answerTokens == 0 ? job.request.maxTokens : std::min(job.request.maxTokens, options_.answerTokens);
}

bool EngineModel::crashes(const Job &job) const
{
    return !options_.crashMarker.empty() && job.request.prompt.find(options_.crashMarker) != std::string::npos;
}

void EngineModel::finish(Job &job, std::string reason)
{
    job.decoding = false;
    endedHandles_.insert(job.handle);
    outputs_.push_back(
        { .handle = job.handle, .kind = EngineOutput::Kind::Finished, .index = job.nextIndex, .text = std::move(reason), .cachedPieces = job.cachedPieces });
}

void EngineModel::removeEndedJobs()
{
    for (std::list<Job> *jobs : { &waiting_, &batch_ }) {
        jobs->remove_if([this](const Job &job) { return endedHandles_.contains(job.handle); });
    }
    if (endedHandles_.contains(prefilling_)) {
        prefilling_ = 0;
    }
    endedHandles_.clear();
}

// Load reports ------------------------------------------------------------------------------------

void EngineModel::recordLoad(Micros now)
{
    const EngineLoad current{ .at = now, .running = static_cast<std::uint32_t>(batch_.size()), .waiting = static_cast<std::uint32_t>(waiting_.size()) };
    if (!loadHistory_.empty() && loadHistory_.back().running == current.running && loadHistory_.back().waiting == current.waiting) {
        return;
    }
    loadHistory_.push_back(current);
    if (loadHistory_.size() > MaxLoadHistory) {
        loadHistory_.pop_front();
    }
}

EngineLoad EngineModel::load(Micros now) const
{
    EngineLoad result;
    for (const EngineLoad &load : loadHistory_) {
        if (load.at > now - options_.loadReportLag) {
            break;
        }
        result = load;
    }
    return result;
}

// Cache -------------------------------------------------------------------------------------------

std::size_t EngineModel::cachedPrefix(std::span<const std::uint64_t> hashes) const
{
    const auto missing = std::find_if(hashes.begin(), hashes.end(), [this](std::uint64_t hash) { return !cache_.contains(hash); });
    return static_cast<std::size_t>(missing - hashes.begin());
}

void EngineModel::markRecentlyUsed(std::span<const std::uint64_t> hashes)
{
    // Reverse order makes the first piece the most recently used one, so that it is evicted last: later pieces cannot be used without it.
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
        if (const auto found = cache_.find(*hash); found != cache_.end()) {
            lruHashes_.splice(lruHashes_.begin(), lruHashes_, found->second);
        }
    }
}

void EngineModel::store(Micros now, std::span<const std::uint64_t> hashes)
{
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> evicted;
    const auto cacheable = hashes.first(std::min(hashes.size(), options_.cacheBlocks));
    for (auto hash = cacheable.rbegin(); hash != cacheable.rend(); ++hash) {
        if (!cache_.contains(*hash)) {
            lruHashes_.push_front(*hash);
            cache_.emplace(*hash, lruHashes_.begin());
            added.push_back(*hash);
        }
    }
    markRecentlyUsed(cacheable);
    while (cache_.size() > options_.cacheBlocks) {
        evicted.push_back(lruHashes_.back());
        cache_.erase(lruHashes_.back());
        lruHashes_.pop_back();
    }
    std::reverse(added.begin(), added.end());
    publishEvent(now, true, std::move(added));
    publishEvent(now, false, std::move(evicted));
}

void EngineModel::importBlocks(Micros now, std::span<const std::uint64_t> hashes)
{
    runSteps(now);
    store(now, hashes);
}

std::vector<std::uint64_t> EngineModel::cachedHashes() const
{
    return { lruHashes_.begin(), lruHashes_.end() };
}

void EngineModel::publishEvent(Micros now, bool stored, std::vector<std::uint64_t> hashes)
{
    if (hashes.empty()) {
        return;
    }
    CacheEvent event{ .seq = ++lastSeq_, .stored = stored, .hashes = std::move(hashes), .visibleAt = now + options_.eventDelay };
    std::uniform_real_distribution<double> share(0.0, 1.0);
    if (share(random_) < options_.eventLossShare) {
        return;
    }
    if (share(random_) < options_.eventDuplicateShare) {
        eventLog_.push_back(event);
    }
    eventLog_.push_back(std::move(event));
    while (eventLog_.size() > options_.eventLogSize) {
        eventLog_.pop_front();
    }
}

std::vector<CacheEvent> EngineModel::events(Micros now, std::uint64_t after) const
{
    std::vector<CacheEvent> result;
    for (const CacheEvent &event : eventLog_) {
        if (event.seq > after && event.visibleAt <= now) {
            result.push_back(event);
        }
    }
    return result;
}

std::uint64_t EngineModel::firstEvent() const
{
    return eventLog_.size() < options_.eventLogSize || eventLog_.empty() ? 1 : eventLog_.front().seq;
}

std::uint64_t EngineModel::lastEvent() const
{
    return lastSeq_;
}

// Orders ------------------------------------------------------------------------------------------

OrderResult EngineModel::order(Micros now, const EngineOrder &order)
{
    constexpr std::array<std::string_view, 4> actions{ "load_model", "load_adapter", "set_version", "set_role" };
    if (order.id.empty() || order.value.empty() || std::find(actions.begin(), actions.end(), order.action) == actions.end()) {
        return OrderResult::Malformed;
    }
    if (std::any_of(acceptedOrders_.begin(), acceptedOrders_.end(), [&order](const EngineOrder &earlier) { return earlier.id == order.id; })) {
        return OrderResult::Repeated;
    }
    if (options_.checksFencing && order.fencing < highestFencing_) {
        return OrderResult::Stale;
    }
    highestFencing_ = std::max(highestFencing_, order.fencing);
    acceptedOrders_.push_back(order);
    if (order.action == "set_role") {
        applyOrder(now, order);
    } else {
        pendingOrders_.push_back({ .order = order, .at = now + options_.weightsLoadTime });
    }
    return OrderResult::Accepted;
}

void EngineModel::applyOrder(Micros now, const EngineOrder &order)
{
    if (order.action == "set_role") {
        role_ = order.value;
        return;
    }
    if (order.action == "load_adapter") {
        adapters_.insert(order.value);
        return;
    }
    (order.action == "load_model" ? model_ : weightsVersion_) = order.value;
    publishEvent(now, false, cachedHashes());
    cache_.clear();
    lruHashes_.clear();
}

const std::vector<EngineOrder> &EngineModel::acceptedOrders() const
{
    return acceptedOrders_;
}

const std::string &EngineModel::model() const
{
    return model_;
}

const std::string &EngineModel::weightsVersion() const
{
    return weightsVersion_;
}

const std::string &EngineModel::role() const
{
    return role_;
}

const std::set<std::string> &EngineModel::adapters() const
{
    return adapters_;
}

bool EngineModel::loading() const
{
    return !pendingOrders_.empty();
}

} // namespace Carobhall::Standin
