#pragma once

// Feeds the cache index from the engine's GET /kv/events and GET /kv/snapshot.

#include "http_get.h"
#include "prefix_state.h"

namespace Carobhall
{

class CacheFeed
{
public:
    struct Options {
        std::string address; ///< "ip:port" of the engine.
        PrefixState &prefixes;
        std::function<void(Incarnation)> onIncarnation; ///< The engine names itself.
        std::function<void()> onBroken;                 ///< The poll broke off: the engine may have crashed.
    };

    explicit CacheFeed(Options options);
    ~CacheFeed();
    CacheFeed(const CacheFeed &) = delete;
    CacheFeed &operator=(const CacheFeed &) = delete;

    void start();
    /// The engine of this incarnation is there now: what another one held counts no longer.
    void engineIs(Incarnation incarnation);
    void tick(Micros now);

private:
    void ask();
    void askSoon(Micros delay);
    void onReply(const HttpReply &reply, bool snapshot);
    void readEvents(Incarnation incarnation, const Json::Value &body);
    void readSnapshot(Incarnation incarnation, const Json::Value &body);

    Options options_;
    ObjectRef<SoupSession> session_;
    ObjectRef<GCancellable> cancellable_;
    Timer next_;
    bool started_ = false;
    bool wantsSnapshot_ = true;
    Micros snapshotAt_ = 0;
    std::vector<PrefixHash> hashes_; ///< Of one event; kept for its memory.
};

} // namespace Carobhall
