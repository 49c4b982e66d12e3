#pragma once

// PlatformTransport over HTTP with libsoup. The object API is described in docs/design.md section 7.3.
//
//     SoupTransport transport({.address = "127.0.0.1:8080"});
//     PlatformClient client(transport, {.seed = incarnation});
//
// All I/O and all handlers run on the thread-default main context of the thread that creates the transport.

#include "carobhall/platform.h"

namespace Carobhall
{

struct SoupTransportOptions {
    std::string address;                                 ///< "ip:port".
    std::size_t maxReplyBytes = 64 * PlatformValueLimit; ///< A longer reply fails with TooLarge.
    unsigned idleTimeoutSeconds = 60;                    ///< An idle connection is closed after this time.
    unsigned replyTimeoutSeconds = 10;                   ///< Frees the resources of a call that PlatformClient has already timed out.
    unsigned maxConnections = 8;
};

/// Not thread-safe. Calls in flight when it is destroyed get no reply.
class SoupTransport
{
public:
    explicit SoupTransport(SoupTransportOptions options);
    ~SoupTransport();
    SoupTransport(const SoupTransport &) = delete;
    SoupTransport &operator=(const SoupTransport &) = delete;

    void call(PlatformCall call, ReplyHandler done);
    WatchId watch(std::string kind, std::uint64_t from, WatchHandler onEvent);
    void cancelWatch(WatchId id);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

static_assert(PlatformTransport<SoupTransport>);

/// Decodes an object from the platform's JSON form. Returns nothing when it is malformed. Thread-safe.
[[nodiscard]] std::optional<PlatformObject> objectFromJson(const std::string &kind, const Json::Value &json);

} // namespace Carobhall
