#include "carobhall/cache_feed.h"

namespace Carobhall
{

CacheFeed::CacheFeed(CacheFeedOptions options)
    : options_(std::move(options))
{
}

CacheFeed::~CacheFeed()
{
    options_.http->cancel(pendingCall_);
}

void CacheFeed::tick(Micros now)
{
    if (pendingCall_ != 0 || now < nextPollAt_) {
        return;
    }
    HttpCall call = options_.codec.eventsCall(options_.address, nextCursor_, LongPollTimeout);
    call.timeout = LongPollTimeout + ResponseMargin;
    pendingCall_ = options_.http->send(std::move(call), [this](const HttpReply &reply) { onEvents(reply); });
}

const std::set<std::pair<std::string, std::string>> &CacheFeed::cachedParts() const
{
    return cachedParts_;
}

void CacheFeed::clear()
{
    cachedParts_.clear();
    options_.onReset();
}

void CacheFeed::onEvents(const HttpReply &reply)
{
    pendingCall_ = 0;
    nextPollAt_ = monotonicNow() + options_.pollDelay;
    const std::optional<CacheEvents> events = options_.codec.decodeEvents(reply);
    if (!events) {
        nextPollAt_ += RetryDelay;
        if (++consecutiveFailures_ == FailuresToReset) {
            logEvent(LogLevel::Warning, "cache_feed_lost", { { "address", options_.address }, { "error", reply.error }, { "status", reply.status } });
            clear();
            bootId_ = 0;
            nextCursor_ = 0;
        }
        return;
    }
    consecutiveFailures_ = 0;
    if (events->bootId != bootId_) {
        const bool isFirst = bootId_ == 0;
        bootId_ = events->bootId;
        if (!isFirst) {
            // The cursors of the restarted server start at 0 again.
            nextCursor_ = 0;
            clear();
            return;
        }
    }
    if (events->hasGap) {
        logEvent(LogLevel::Info, "cache_events_lost", { { "address", options_.address }, { "since", nextCursor_ }, { "next", events->nextCursor } });
    }
    nextCursor_ = events->nextCursor;
    for (const CacheChange &change : events->changes) {
        const auto entry = std::make_pair(change.salt, change.part);
        if (change.held ? cachedParts_.insert(entry).second : cachedParts_.erase(entry) > 0) {
            options_.onChange(change);
        }
    }
}

} // namespace Carobhall
