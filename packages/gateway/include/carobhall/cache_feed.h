#pragma once

// Subscribes to the cache events of a model server or of a KV cache store by long polling.
//
// Events can be late and can have gaps. A gap is only logged and the recorded parts are kept: a full list would fix it, but
// stalls the server while it is produced. A restart of the server clears the record.

#include "carobhall/http_client.h"
#include "carobhall/messages.h"

#include <set>

namespace Carobhall
{

/// One response of the server's event endpoint.
struct CacheEvents {
    std::uint64_t bootId = 0;     ///< Changes when the server restarts.
    std::uint64_t nextCursor = 0; ///< Position from which the next call continues.
    bool hasGap = false;          ///< Some events after the requested cursor are missing.
    std::vector<CacheChange> changes{};
};

/// Encodes and decodes calls to the event endpoint; provided by the adapter in platform/.
struct CacheFeedCodec {
    /// A call that waits up to \p wait for events after the cursor \p since.
    HttpCall (*eventsCall)(const std::string &address, std::uint64_t since, Micros wait) = nullptr;
    std::optional<CacheEvents> (*decodeEvents)(const HttpReply &reply) = nullptr;
};

struct CacheFeedOptions {
    HttpClient *http = nullptr;
    CacheFeedCodec codec{};
    std::string address{};
    Micros pollDelay = 80 * MicrosPerMilli; ///< Delay between two calls, so that one response carries the events of several requests.
    std::function<void(const CacheChange &)> onChange{};
    std::function<void()> onReset{}; ///< All parts reported so far are void.
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
    /// The cached prompt parts as pairs of cache salt and part id.
    [[nodiscard]] const std::set<std::pair<std::string, std::string>> &cachedParts() const;
    /// Clears the record, for example when new weights have emptied the cache.
    void clear();

private:
    /// How long the server may hold a call while there are no events.
    static constexpr Micros LongPollTimeout = MicrosPerSecond;
    /// Added to LongPollTimeout for the client's timeout. The response itself takes one round trip.
    static constexpr Micros ResponseMargin = 800 * MicrosPerMilli;
    static constexpr Micros RetryDelay = 500 * MicrosPerMilli;
    /// Consecutive failed calls after which the server is considered gone and the record is cleared.
    static constexpr unsigned FailuresToReset = 2;

    void onEvents(const HttpReply &reply);

    CacheFeedOptions options_;
    std::set<std::pair<std::string, std::string>> cachedParts_;
    std::uint64_t bootId_ = 0;
    std::uint64_t nextCursor_ = 0;
    std::uint64_t pendingCall_ = 0; ///< 0: no call in progress.
    unsigned consecutiveFailures_ = 0;
    Micros nextPollAt_ = 0;
};

} // namespace Carobhall
