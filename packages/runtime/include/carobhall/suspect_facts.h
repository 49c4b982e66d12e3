#pragma once

// Conversion between SuspectFact and the generic facts that membership disseminates.

#include "carobhall/membership.h"
#include "carobhall/suspects.h"

namespace Carobhall
{

/// Converts \p suspect to a fact. Of two facts with the same key, membership keeps the one with the greater value, so the value
/// grows with the information in the fact, and a hash breaks ties. The process whose fact lost a tie merges both and publishes
/// the union. Thread-safe.
[[nodiscard]] Fact factOf(const SuspectFact &suspect);

/// Converts \p fact back; std::nullopt if it is of another kind or malformed. Thread-safe.
[[nodiscard]] std::optional<SuspectFact> suspectFrom(const Fact &fact);

} // namespace Carobhall
