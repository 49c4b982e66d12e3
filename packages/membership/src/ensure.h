#pragma once

#include "carobhall/base.h"

#include <cstdlib>

namespace Carobhall
{

/// Logs and aborts the process if an invariant does not hold. Also active in release builds, because a process with a corrupt
/// membership table would propagate it to the other processes.
inline void ensure(bool condition, std::string_view invariant)
{
    if (!condition) [[unlikely]] {
        logEvent(LogLevel::Error, "invariant_violated", { { "package", "membership" }, { "invariant", invariant } });
        std::abort();
    }
}

} // namespace Carobhall
