#pragma once

// The platform's object API over HTTP, as docs/design.md section 7.3 describes it, with libsoup.
//
//     SoupTransport transport({.address = "127.0.0.1:8080"});
//     PlatformClient client(transport, {.seed = incarnation});
//
// Everything runs on the thread-default main context of the thread that creates the transport. Handlers run there.

#include "carobhall/platform.h"

namespace Carobhall
{

struct SoupTransportOptions {
    std::string address;                                 ///< "ip:port".
    std::size_t maxReplyBytes = 64 * PlatformValueLimit; ///< Of a list; a longer reply is an error.
    unsigned idleTimeoutSeconds = 60;                    ///< A kept connection without use ends.
    unsigned replyTimeoutSeconds = 10;                   ///< Frees what a call holds that the client has given up before.
    unsigned maxConnections = 8;
};

/// Not thread-safe. Calls under way when it is destroyed get no reply.
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

/// An object in the platform's JSON form, or nothing when it is malformed. Thread-safe.
[[nodiscard]] std::optional<PlatformObject> objectFromJson(const std::string &kind, const Json::Value &json);

} // namespace Carobhall
