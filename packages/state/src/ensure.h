#pragma once

#include "carobhall/base.h"

#include <cstdlib>

namespace Carobhall
{

/// Stops the process when an invariant does not hold. Stays active in release builds: a wrong value must not reach the platform.
inline void ensure(bool condition, std::string_view invariant)
{
    if (!condition) [[unlikely]] {
        logEvent(LogLevel::Error, "invariant_violated", { { "package", "state" }, { "invariant", invariant } });
        std::abort();
    }
}

} // namespace Carobhall
