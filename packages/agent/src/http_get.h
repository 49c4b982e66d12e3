#pragma once

// HTTP GET to the upstream that buffers the whole response.

#include "carobhall/runtime.h"

namespace Carobhall
{

struct HttpReply {
    int status = 0; ///< 0: no response.
    bool timedOut = false;
    std::string incarnation; ///< Value of the header Engine-Incarnation.
    std::string body;
};

/// Calls \p done once, asynchronously, unless \p cancellable is cancelled first. Always opens a new connection: a kept-alive
/// connection that the upstream has closed would look like a crash.
void httpGet(SoupSession *session, const std::string &url, GCancellable *cancellable, std::function<void(HttpReply)> done);

} // namespace Carobhall
