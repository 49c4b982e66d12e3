#pragma once

// HTTP client for calls to the platform's store and to model servers. Replies are read with ResponseReader, so that what RFC 9112 lets a recipient
// refuse is an error of the call. Each call has its own time limit, and the result states whether a reply was received.

#include "carobhall/runtime.h"

namespace Carobhall
{

struct HttpCall {
    const char *method = "GET";
    std::string url{}; ///< "http://ip:port/path".
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string contentType{}; ///< Content type of the body; empty: the request has no body.
    std::string body{};
    Micros timeout = MicrosPerSecond;
};

struct HttpReply {
    /// Set if there is no usable reply: PlatformUnavailable (no connection was established), Timeout, ConnectionLost (also if the reply was refused),
    /// TooLarge or InvalidSettings (invalid URL).
    std::error_code error;
    unsigned status = 0;
    std::map<std::string, std::string, std::less<>> headers{}; ///< Header names are in lower case.
    std::string body{};
};

struct HttpClientOptions {
    std::size_t maxConnections = 16; ///< Further calls wait within their time limits.
    Micros idleTimeout = 30 * MicrosPerSecond;
    /// A longer body ends the call with TooLarge and closes its connection. The largest replies are lists of the platform's store.
    std::size_t maxReplyBytes = std::size_t{ 8 } << 20U;
    Metrics *metrics = nullptr; ///< Counts refused replies by cause; null: not counted. Must outlive the client.
};

/// Not thread-safe. Destruction cancels outstanding calls without running their handlers.
class HttpClient
{
public:
    explicit HttpClient(const HttpClientOptions &options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call and returns its identifier. \p done runs once, on the main loop, unless the call is cancelled. A GET whose kept connection
    /// ends before any byte of the reply is sent once more; other calls use new connections, so that they are never repeated.
    std::uint64_t send(HttpCall call, std::function<void(HttpReply)> done);
    /// Cancels a call; its handler does not run. Unknown identifiers are ignored.
    void cancel(std::uint64_t call);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace Carobhall
