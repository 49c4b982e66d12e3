#pragma once

// Follows the cache events of one model server or store of KV cache.
//
// Events arrive late and with gaps. A gap is only noted: what is known stays, because a full list stalls the server's work. A
// restart empties the record.

#include "carobhall/http_client.h"
#include "carobhall/messages.h"

#include <set>

namespace Carobhall
{

/// Cache events as a server tells them.
struct CacheEvents {
    std::uint64_t bootId = 0;     ///< Changes when the server restarts.
    std::uint64_t nextCursor = 0; ///< Where the next call continues.
    bool hasGap = false;          ///< Some events are missing.
    std::vector<CacheChange> changes{};
};

/// How cache events are asked for; provided by the adapter in platform/.
struct CacheFeedCodec {
    /// Waits up to \p wait for events after \p since.
    HttpCall (*eventsCall)(const std::string &address, std::uint64_t since, Micros wait) = nullptr;
    std::optional<CacheEvents> (*decodeEvents)(const HttpReply &reply) = nullptr;
};

struct CacheFeedOptions {
    HttpClient *http = nullptr;
    CacheFeedCodec codec{};
    std::string address{};
    Micros pollDelay = 80 * MicrosPerMilli; ///< Between two calls; collects the events of some requests in one answer.
    std::function<void(const CacheChange &)> onChange{};
    std::function<void()> onReset{}; ///< Everything known so far is void.
};

/// Not thread-safe. options.http outlives it.
class CacheFeed
{
public:
    explicit CacheFeed(CacheFeedOptions options);
    ~CacheFeed();
    CacheFeed(const CacheFeed &) = delete;
    CacheFeed &operator=(const CacheFeed &) = delete;

    void tick(Micros now);
    /// Parts that are held, by salt and part.
    [[nodiscard]] const std::set<std::pair<std::string, std::string>> &cachedParts() const;
    /// Forgets what is held, for example when new weights have emptied the cache.
    void clear();

private:
    /// The longest time that a server holds a call.
    static constexpr Micros LongPollTimeout = MicrosPerSecond;
    static constexpr Micros ResponseMargin = 800 * MicrosPerMilli; ///< Beyond that; an answer takes one round trip.
    static constexpr Micros RetryDelay = 500 * MicrosPerMilli;
    /// Calls that failed in a row after which the server counts as gone.
    static constexpr unsigned FailuresToReset = 2;

    void onEvents(const HttpReply &reply);

    CacheFeedOptions options_;
    std::set<std::pair<std::string, std::string>> cachedParts_;
    std::uint64_t bootId_ = 0;
    std::uint64_t nextCursor_ = 0;
    std::uint64_t pendingCall_ = 0; ///< Under way; 0: none.
    unsigned consecutiveFailures_ = 0;
    Micros nextPollAt_ = 0;
};

} // namespace Carobhall
