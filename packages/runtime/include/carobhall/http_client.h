#pragma once

// HTTP client based on libsoup. Each call has its own time limit, and the result states whether a response was received.

#include "carobhall/runtime.h"

namespace Carobhall
{

struct HttpCall {
    const char *method = "GET";
    std::string url{};
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string contentType{}; ///< Content type of the body; empty: the request has no body.
    std::string body{};
    Micros timeout = MicrosPerSecond;
};

struct HttpReply {
    /// Set if there is no usable response: PlatformUnavailable (connection refused), Timeout, ConnectionLost, TooLarge or
    /// InvalidSettings (invalid URL).
    std::error_code error;
    unsigned status = 0;
    std::map<std::string, std::string, std::less<>> headers{}; ///< Header names are in lower case.
    std::string body{};
};

struct HttpClientOptions {
    unsigned maxConnections = 16;
    unsigned idleTimeoutSeconds = 30;
    /// A longer body ends the call with TooLarge and closes its connection. The largest replies are lists of the platform's store.
    std::size_t maxReplyBytes = std::size_t{ 8 } << 20U;
};

/// Not thread-safe. Destruction cancels outstanding calls without running their handlers.
class HttpClient
{
public:
    explicit HttpClient(const HttpClientOptions &options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call and returns its identifier. \p done runs once, on the main loop, unless the call is cancelled.
    std::uint64_t send(HttpCall call, std::function<void(HttpReply)> done);
    /// Cancels a call; its handler does not run. Unknown identifiers are ignored.
    void cancel(std::uint64_t call);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace Carobhall
