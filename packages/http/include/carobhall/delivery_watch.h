#pragma once

// Whether the peer of a connection still takes what was written for it. A peer that reads slowly takes some bytes now and then; one that reads
// nothing takes none, and what waits for it is of no use.
//
//     watch.note({ .written = channel.written(), .undelivered = channel.undelivered() }, now);
//     if (watch.isStalled(limit, now)) { channel.abort(); }
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/base.h"

namespace Carobhall
{

/// What a connection has sent so far.
struct DeliveryState {
    std::uint64_t written = 0;
    std::size_t undelivered = 0; ///< Of the written bytes, at most as many as them.
};

/// Not thread-safe.
class DeliveryWatch
{
public:
    /// Call at intervals that are short compared with the limits. \p now does not decrease between calls.
    void note(const DeliveryState &state, Micros now);
    /// All that was written has been taken.
    [[nodiscard]] bool isDelivered() const;
    /// Time since the peer last took bytes, or since bytes began to wait for it, whichever is later.
    [[nodiscard]] Micros timeWithoutProgress(Micros now) const;
    /// Bytes wait, and the peer has taken none for \p limit.
    [[nodiscard]] bool isStalled(Micros limit, Micros now) const;

private:
    std::uint64_t taken_ = 0;
    std::size_t undelivered_ = 0;
    Micros progressAt_ = 0;
    bool isNoted_ = false; ///< note() was called.
};

} // namespace Carobhall
