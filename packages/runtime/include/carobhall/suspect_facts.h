#pragma once

// Suspects as facts of membership.

#include "carobhall/membership.h"
#include "carobhall/suspects.h"

namespace Carobhall
{

/// Of two facts about one fingerprint, the one that knows more has the greater value; between two that know as much, a hash
/// decides, and the process whose fact lost merges and publishes the union. Thread-safe.
[[nodiscard]] Fact factOf(const SuspectFact &suspect);

/// Nothing when \p fact is about something else or malformed. Thread-safe.
[[nodiscard]] std::optional<SuspectFact> suspectFrom(const Fact &fact);

} // namespace Carobhall
