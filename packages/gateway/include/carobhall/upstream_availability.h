#pragma once

// Which upstream processes take requests, by what they have said in their answers.
//
//     UpstreamAvailability availability;
//     availability.noteLeaving(process, now);                 // an answer announced the shutdown of the process
//     if (availability.isAvailable(process, now)) { ... }
//
// Knowledge is kept by process, not by entry of the platform's list: an entry may still show the process as ready, disappear and return,
// or be restored from an older copy. A new process with the same id or address is not affected.
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/base.h"

#include <unordered_map>

namespace Carobhall
{

/// Not thread-safe.
class UpstreamAvailability
{
public:
    /// \p process shuts down and takes no new requests, for ever. Returns false if that was known.
    bool noteLeaving(Incarnation process, Micros now);
    [[nodiscard]] bool isLeaving(Incarnation process) const;
    /// Whether requests may be sent to \p process.
    [[nodiscard]] bool isAvailable(Incarnation process, Micros now) const;
    /// Number of processes of which something is known.
    [[nodiscard]] std::size_t size() const;

private:
    /// How long a process that leaves is remembered. It has exited long before; this only bounds the memory used.
    static constexpr Micros LeavingRetention = Micros{ 24 } * 3600 * MicrosPerSecond;
    static constexpr Micros ExpiryInterval = 60 * MicrosPerSecond;

    struct State {
        std::optional<Micros> leavingSince{};
    };

    void expire(Micros now);

    std::unordered_map<Incarnation, State> states_;
    Micros nextExpiryAt_ = 0;
};

} // namespace Carobhall
