#pragma once

// Keeps the cache index up to date by polling the engine's GET /kv/events and GET /kv/snapshot.

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
        std::function<void(Incarnation)> onIncarnation; ///< The engine has reported its incarnation.
        std::function<void()> onConnectionLost;         ///< A poll failed other than by a timeout: the engine may have crashed.
    };

    explicit CacheFeed(Options options);
    ~CacheFeed();
    CacheFeed(const CacheFeed &) = delete;
    CacheFeed &operator=(const CacheFeed &) = delete;

    void start();
    /// Sets the current incarnation of the engine. A new one clears the index and requests a snapshot.
    void setIncarnation(Incarnation incarnation);
    /// Call it every 10 ms.
    void tick(Micros now);

private:
    void poll();
    void schedulePoll(Micros delay);
    void onReply(const HttpReply &reply, bool snapshot);
    void applyEvents(Incarnation incarnation, const Json::Value &body);
    void applySnapshot(Incarnation incarnation, const Json::Value &body);

    Options options_;
    ObjectRef<SoupSession> session_;
    ObjectRef<GCancellable> cancellable_;
    Timer pollTimer_;
    bool started_ = false;
    bool snapshotRequested_ = true;
    Micros lastSnapshotAt_ = 0;
    std::vector<PrefixHash> hashes_; ///< Scratch buffer for one event or snapshot; a member to reuse its memory.
};

} // namespace Carobhall
