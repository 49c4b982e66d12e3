#pragma once

// Decides which of two copies of the configuration replaces the other, when the platform may have been restored from an older copy.
//
//     HeldConfig held;
//     if (held.offer(stamp) == ConfigRelation::Newer) { ... adopt the contents; held.stamp() is theirs ... }
//
// A restore gives versions of the configuration out again, for other contents, and shows an older version until the operator has written
// again what was acknowledged. The version alone orders only what was written in one era of the platform.
//
// Decision logic only: no I/O and no clock.

#include "carobhall/messages.h"

namespace Carobhall
{

/// What is known of a configuration. An empty one has version 0.
struct ConfigStamp {
    std::uint64_t version = 0;
    std::uint64_t era = 0;     ///< Era of the platform that showed the configuration; 0: not known, or the platform names none.
    bool isEraCertain = false; ///< Written in `era`, or still there after its grace. False: in `era` or before.
    std::uint64_t digest = 0;  ///< Of the text; 0: not known.

    bool operator==(const ConfigStamp &other) const = default;
};

/// The stamp on the wire, beside the version.
[[nodiscard]] DocumentOrigin originOf(const ConfigStamp &stamp);
[[nodiscard]] ConfigStamp stampOf(std::uint64_t version, const DocumentOrigin &origin);

/// Digest of the text of a configuration, for ConfigStamp.
[[nodiscard]] std::uint64_t configDigest(std::string_view text);

enum class ConfigRelation : std::uint8_t {
    Older, ///< The candidate does not replace what is held.
    Same,  ///< The same contents; the stamp may tell more.
    Newer, ///< The candidate replaces what is held.
};

/// How \p candidate relates to \p held. Thread-safe.
[[nodiscard]] ConfigRelation compareConfigs(const ConfigStamp &candidate, const ConfigStamp &held);

/// What both stamps tell of the same contents: the later era, and whether it was written there.
/// Precondition: compareConfigs() returns Same for them.
[[nodiscard]] ConfigStamp mergedStamp(const ConfigStamp &one, const ConfigStamp &other);

/// \p candidate, as it is to be held in place of \p held: exact if the era is later and the version has other contents there.
/// Precondition: compareConfigs() returns Newer for them.
[[nodiscard]] ConfigStamp adoptedStamp(const ConfigStamp &candidate, const ConfigStamp &held);

/// The stamp of the configuration that a process holds. Not thread-safe.
class HeldConfig
{
public:
    /// Takes over \p candidate if it is newer than what is held, and what its stamp tells if it is the same. Returns how it related before.
    ConfigRelation offer(const ConfigStamp &candidate);
    [[nodiscard]] const ConfigStamp &stamp() const;

private:
    ConfigStamp stamp_{};
};

} // namespace Carobhall
