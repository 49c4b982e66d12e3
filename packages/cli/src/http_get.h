#pragma once

// Blocking HTTP for operators' listeners.

#include "carobhall/base.h"

namespace Carobhall::Cli
{

struct HttpAnswer {
    int status = 0; ///< 0: no answer.
    std::string body;
};

/// GET \p path at \p address, "ip:port". Iterates the thread-default GMainContext while it waits.
[[nodiscard]] HttpAnswer httpGet(const std::string &address, const std::string &path, Micros timeout);

} // namespace Carobhall::Cli
