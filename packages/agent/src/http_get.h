#pragma once

// A GET to the upstream whose answer is read whole.

#include "carobhall/runtime.h"

namespace Carobhall
{

struct HttpReply {
    int status = 0; ///< 0: no answer.
    bool timedOut = false;
    std::string incarnation; ///< Engine-Incarnation.
    std::string body;
};

/// Calls \p done once, later, unless \p cancellable is cancelled before. A new connection, so that a kept one that the
/// upstream has closed is not taken for a crash.
void httpGet(SoupSession *session, const std::string &url, GCancellable *cancellable, std::function<void(HttpReply)> done);

} // namespace Carobhall
