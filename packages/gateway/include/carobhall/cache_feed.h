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
    std::uint64_t boot = 0; ///< Changes when the server restarts.
    std::uint64_t next = 0; ///< Where the next call continues.
    bool lost = false;      ///< Some events are missing.
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
    Micros pause = 80 * MicrosPerMilli; ///< Between two calls; collects the events of some requests in one answer.
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
    [[nodiscard]] const std::set<std::pair<std::string, std::string>> &held() const;
    /// Forgets what is held, for example when new weights have emptied the cache.
    void clear();

private:
    /// The longest time that a server holds a call.
    static constexpr Micros Wait = MicrosPerSecond;
    static constexpr Micros AnswerTimeout = 800 * MicrosPerMilli; ///< Beyond that; an answer takes one round trip.
    static constexpr Micros RetryPause = 500 * MicrosPerMilli;
    /// Calls that failed in a row after which the server counts as gone.
    static constexpr unsigned FailuresToReset = 2;

    void onEvents(const HttpReply &reply);

    CacheFeedOptions options_;
    std::set<std::pair<std::string, std::string>> held_;
    std::uint64_t boot_ = 0;
    std::uint64_t next_ = 0;
    std::uint64_t call_ = 0; ///< Under way; 0: none.
    unsigned failures_ = 0;
    Micros callAfter_ = 0;
};

} // namespace Carobhall
