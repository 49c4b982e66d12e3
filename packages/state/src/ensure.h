#pragma once

#include "carobhall/base.h"

#include <cstdlib>

namespace Carobhall
{

/// Aborts the process when an invariant is violated. Also active in release builds, because an invalid value must not be written to
/// the platform.
inline void ensure(bool condition, std::string_view invariant)
{
    if (!condition) [[unlikely]] {
        logEvent(LogLevel::Error, "invariant_violated", { { "package", "state" }, { "invariant", invariant } });
        std::abort();
    }
}

} // namespace Carobhall
