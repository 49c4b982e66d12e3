#pragma once

// HTTP calls with libsoup, each with a time limit of its own and an exact answer to "was there a response".

#include "carobhall/runtime.h"

namespace Carobhall
{

struct HttpCall {
    const char *method = "GET";
    std::string url{};
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string contentType{}; ///< Of the body; empty: no body.
    std::string body{};
    Micros timeout = MicrosPerSecond;
};

struct HttpReply {
    std::error_code error; ///< No usable response: PlatformUnavailable (refused), Timeout, ConnectionLost or TooLarge.
    unsigned status = 0;
    std::map<std::string, std::string, std::less<>> headers{}; ///< Names in lower case.
    std::string body{};
};

struct HttpClientOptions {
    unsigned maxConnections = 16;
    unsigned idleTimeoutSeconds = 30;
    std::size_t maxReplyBytes = std::size_t{ 64 } << 20U;
};

/// Not thread-safe. Calls under way when it is destroyed get no reply.
class HttpClient
{
public:
    explicit HttpClient(const HttpClientOptions &options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call. The handler runs once, from the main loop, unless the call is cancelled.
    std::uint64_t send(HttpCall call, std::function<void(HttpReply)> done);
    /// The handler does not run any more. Unknown numbers are ignored.
    void cancel(std::uint64_t call);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace Carobhall
