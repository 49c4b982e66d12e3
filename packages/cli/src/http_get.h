#pragma once

// Blocking HTTP client for admin listeners.

#include "carobhall/base.h"

namespace Carobhall::Cli
{

struct HttpResponse {
    int status = 0; ///< HTTP status; 0 if there was no response.
    std::string body;
};

/// Sends a GET request for \p path to \p address, "ip:port". Iterates the thread-default GMainContext while it waits.
[[nodiscard]] HttpResponse httpGet(const std::string &address, const std::string &path, Micros timeout);

} // namespace Carobhall::Cli
