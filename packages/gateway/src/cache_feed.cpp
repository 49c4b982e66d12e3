#include "carobhall/cache_feed.h"

namespace Carobhall
{

CacheFeed::CacheFeed(CacheFeedOptions options)
    : options_(std::move(options))
{
}

CacheFeed::~CacheFeed()
{
    options_.http->cancel(call_);
}

void CacheFeed::tick(Micros now)
{
    if (call_ != 0 || now < callAfter_) {
        return;
    }
    HttpCall call = options_.codec.eventsCall(options_.address, next_, Wait);
    call.timeout = Wait + AnswerTimeout;
    call_ = options_.http->send(std::move(call), [this](const HttpReply &reply) { onEvents(reply); });
}

const std::set<std::pair<std::string, std::string>> &CacheFeed::held() const
{
    return held_;
}

void CacheFeed::clear()
{
    held_.clear();
    options_.onReset();
}

void CacheFeed::onEvents(const HttpReply &reply)
{
    call_ = 0;
    callAfter_ = monotonicNow() + options_.pause;
    const std::optional<CacheEvents> events = options_.codec.decodeEvents(reply);
    if (!events) {
        callAfter_ += RetryPause;
        if (++failures_ == FailuresToReset) {
            logEvent(LogLevel::Warning, "cache_feed_lost", { { "address", options_.address }, { "error", reply.error }, { "status", reply.status } });
            clear();
            boot_ = 0;
            next_ = 0;
        }
        return;
    }
    failures_ = 0;
    if (events->boot != boot_) {
        const bool first = boot_ == 0;
        boot_ = events->boot;
        if (!first) {
            // The numbers of the new process begin anew.
            next_ = 0;
            clear();
            return;
        }
    }
    if (events->lost) {
        logEvent(LogLevel::Info, "cache_events_lost", { { "address", options_.address }, { "since", next_ }, { "next", events->next } });
    }
    next_ = events->next;
    for (const CacheChange &change : events->changes) {
        const auto entry = std::make_pair(change.salt, change.part);
        if (change.held ? held_.insert(entry).second : held_.erase(entry) > 0) {
            options_.onChange(change);
        }
    }
}

} // namespace Carobhall
