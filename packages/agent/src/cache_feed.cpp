#include "cache_feed.h"
#include "upstream_call.h"

#include <charconv>

namespace Carobhall
{

namespace
{

/// Longer than the engine holds a long poll.
constexpr guint PollSeconds = 30;
/// Collects events of a busy engine into fewer answers.
constexpr Micros PollPause = 10 * MicrosPerMilli;
/// Between tries to close a gap by asking for the same events again.
constexpr Micros GapPause = 50 * MicrosPerMilli;
/// The loss of the latest events shows only when another event follows; a snapshot from time to time bounds how long it lasts.
constexpr Micros ResyncInterval = 30 * MicrosPerSecond;
constexpr Micros BrokenPause = 100 * MicrosPerMilli;
/// For an engine that has no such interface.
constexpr Micros UnsupportedPause = 5 * MicrosPerSecond;
constexpr int StatusOk = 200;
constexpr int HashBase = 16;

void readHashes(const Json::Value &list, std::vector<PrefixHash> &hashes)
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
    , session_(soup_session_new_with_options("timeout", PollSeconds, nullptr))
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
    ask();
}

void CacheFeed::engineIs(Incarnation incarnation)
{
    CacheIndex &index = options_.prefixes.index();
    if (incarnation == 0 || incarnation == index.incarnation()) {
        return;
    }
    if (!index.setIncarnation(incarnation)) {
        return; // Late news of an engine that has been replaced.
    }
    options_.prefixes.setCurrent(false);
    wantsSnapshot_ = true;
    if (started_) {
        // A poll after the former engine's sequence would skip the first events of this one.
        g_cancellable_cancel(cancellable_.get());
        cancellable_.reset(g_cancellable_new());
        askSoon(0);
    }
}

void CacheFeed::tick(Micros now)
{
    options_.prefixes.index().tick(now);
}

void CacheFeed::askSoon(Micros delay)
{
    next_.startOnce(delay, [this] { ask(); });
}

void CacheFeed::ask()
{
    const CacheIndex &index = options_.prefixes.index();
    const bool snapshot = wantsSnapshot_ || index.needsSnapshot() || snapshotAt_ + ResyncInterval < monotonicNow();
    const std::string path = snapshot ? "/kv/snapshot" : "/kv/events?after=" + std::to_string(index.nextSequence() - 1);
    httpGet(session_.get(), "http://" + options_.address + path, cancellable_.get(), [this, snapshot](const HttpReply &reply) { onReply(reply, snapshot); });
}

void CacheFeed::onReply(const HttpReply &reply, bool snapshot)
{
    if (reply.status == 0) {
        options_.prefixes.setCurrent(false);
        askSoon(BrokenPause);
        if (!reply.timedOut) {
            options_.onBroken();
        }
        return;
    }
    const auto body = parseJson(reply.body);
    const bool readable = reply.status == StatusOk && body && body->isObject() && (*body)["incarnation"].isString();
    if (!readable) {
        options_.prefixes.setCurrent(false);
        askSoon(UnsupportedPause);
        return;
    }
    const Incarnation incarnation = incarnationFrom((*body)["incarnation"].asString());
    askSoon(PollPause);
    engineIs(incarnation);
    options_.onIncarnation(incarnation);
    if (options_.prefixes.index().incarnation() != incarnation) {
        return; // An answer of an engine that has been replaced.
    }
    options_.prefixes.setCurrent(true);
    if (snapshot) {
        readSnapshot(incarnation, *body);
    } else {
        readEvents(incarnation, *body);
    }
    if (options_.prefixes.index().state() == IndexState::Waiting) {
        askSoon(GapPause);
    }
}

void CacheFeed::readSnapshot(Incarnation incarnation, const Json::Value &body)
{
    if (!body["seq"].isUInt64()) {
        return;
    }
    readHashes(body["hashes"], hashes_);
    options_.prefixes.index().loadSnapshot(incarnation, body["seq"].asUInt64(), hashes_, monotonicNow());
    wantsSnapshot_ = false;
    snapshotAt_ = monotonicNow();
}

void CacheFeed::readEvents(Incarnation incarnation, const Json::Value &body)
{
    const Json::Value &events = body["events"];
    if (!events.isArray()) {
        return;
    }
    for (const Json::Value &event : events) {
        if (!event.isObject() || !event["seq"].isUInt64() || !event["op"].isString()) {
            continue; // Its number is missing then, which is a gap.
        }
        readHashes(event["hashes"], hashes_);
        const CacheEvent entry{ .sequence = event["seq"].asUInt64(), .stored = event["op"].asString() == "stored", .hashes = hashes_ };
        options_.prefixes.index().apply(incarnation, entry, monotonicNow());
    }
}

} // namespace Carobhall
