#include "cache_feed.h"
#include "upstream_call.h"

#include <charconv>

namespace Carobhall
{

namespace
{

/// Must be longer than the engine holds a long poll open.
constexpr guint PollTimeoutSeconds = 30;
/// Pause between polls, so that a busy engine sends more events in each response.
constexpr Micros PollDelay = 10 * MicrosPerMilli;
/// Delay before the same events are requested again to close a gap in the sequence.
constexpr Micros GapRetryDelay = 50 * MicrosPerMilli;
/// The loss of the latest events is detected only when another event follows. Periodic snapshots limit how long such a loss
/// lasts.
constexpr Micros ResyncInterval = 30 * MicrosPerSecond;
/// Delay after a poll without a response.
constexpr Micros ReconnectDelay = 100 * MicrosPerMilli;
/// Delay after an unusable response, for example from an engine without this interface.
constexpr Micros UnsupportedRetryDelay = 5 * MicrosPerSecond;
constexpr int StatusOk = 200;
constexpr int HashBase = 16;

void parseHashes(const Json::Value &list, std::vector<PrefixHash> &hashes)
{
    hashes.clear();
    if (!list.isArray()) {
        return;
    }
    for (const Json::Value &entry : list) {
        const std::string text = entry.isString() ? entry.asString() : std::string();
        PrefixHash hash = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), hash, HashBase);
        if (error == std::errc() && end == text.data() + text.size()) {
            hashes.push_back(hash);
        }
    }
}

} // namespace

CacheFeed::CacheFeed(Options options)
    : options_(std::move(options))
    , session_(soup_session_new_with_options("timeout", PollTimeoutSeconds, nullptr))
    , cancellable_(g_cancellable_new())
{
}

CacheFeed::~CacheFeed()
{
    g_cancellable_cancel(cancellable_.get());
}

void CacheFeed::start()
{
    started_ = true;
    poll();
}

void CacheFeed::setIncarnation(Incarnation incarnation)
{
    CacheIndex &index = options_.prefixes.index();
    if (incarnation == 0 || incarnation == index.incarnation()) {
        return;
    }
    if (!index.setIncarnation(incarnation)) {
        return; // A late response of an incarnation that has been replaced.
    }
    options_.prefixes.setIndexCurrent(false);
    snapshotRequested_ = true;
    if (started_) {
        // The poll in progress uses the sequence numbers of the previous incarnation and would skip the first events of this one.
        g_cancellable_cancel(cancellable_.get());
        cancellable_.reset(g_cancellable_new());
        schedulePoll(0);
    }
}

void CacheFeed::tick(Micros now)
{
    options_.prefixes.index().tick(now);
}

void CacheFeed::schedulePoll(Micros delay)
{
    pollTimer_.startOnce(delay, [this] { poll(); });
}

void CacheFeed::poll()
{
    const CacheIndex &index = options_.prefixes.index();
    const bool snapshot = snapshotRequested_ || index.needsSnapshot() || lastSnapshotAt_ + ResyncInterval < monotonicNow();
    const std::string path = snapshot ? "/kv/snapshot" : "/kv/events?after=" + std::to_string(index.nextSequence() - 1);
    httpGet(session_.get(), "http://" + options_.address + path, cancellable_.get(), [this, snapshot](const HttpReply &reply) { onReply(reply, snapshot); });
}

void CacheFeed::onReply(const HttpReply &reply, bool snapshot)
{
    if (reply.status == 0) {
        options_.prefixes.setIndexCurrent(false);
        schedulePoll(ReconnectDelay);
        if (!reply.timedOut) {
            options_.onConnectionLost();
        }
        return;
    }
    const auto body = parseJson(reply.body);
    const bool readable = reply.status == StatusOk && body && body->isObject() && (*body)["incarnation"].isString();
    if (!readable) {
        options_.prefixes.setIndexCurrent(false);
        schedulePoll(UnsupportedRetryDelay);
        return;
    }
    const Incarnation incarnation = incarnationFrom((*body)["incarnation"].asString());
    schedulePoll(PollDelay);
    setIncarnation(incarnation);
    options_.onIncarnation(incarnation);
    if (options_.prefixes.index().incarnation() != incarnation) {
        return; // The response came from an incarnation that has been replaced.
    }
    options_.prefixes.setIndexCurrent(true);
    if (snapshot) {
        applySnapshot(incarnation, *body);
    } else {
        applyEvents(incarnation, *body);
    }
    if (options_.prefixes.index().state() == IndexState::Waiting) {
        schedulePoll(GapRetryDelay);
    }
}

void CacheFeed::applySnapshot(Incarnation incarnation, const Json::Value &body)
{
    if (!body["seq"].isUInt64()) {
        return;
    }
    parseHashes(body["hashes"], hashes_);
    options_.prefixes.index().loadSnapshot(incarnation, body["seq"].asUInt64(), hashes_, monotonicNow());
    snapshotRequested_ = false;
    lastSnapshotAt_ = monotonicNow();
}

void CacheFeed::applyEvents(Incarnation incarnation, const Json::Value &body)
{
    const Json::Value &events = body["events"];
    if (!events.isArray()) {
        return;
    }
    for (const Json::Value &event : events) {
        if (!event.isObject() || !event["seq"].isUInt64() || !event["op"].isString()) {
            continue; // Malformed. The missing sequence number is then handled as a gap.
        }
        parseHashes(event["hashes"], hashes_);
        const CacheEvent entry{ .sequence = event["seq"].asUInt64(), .stored = event["op"].asString() == "stored", .hashes = hashes_ };
        options_.prefixes.index().apply(incarnation, entry, monotonicNow());
    }
}

} // namespace Carobhall
