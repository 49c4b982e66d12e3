#pragma once

// Which peer a process takes a configuration from.
//
//     pulls.addOffer(connection, version, distance);             // the peer has this version
//     if (auto peer = pulls.nextPeer(ownVersion, patience, now)) { ... ask that peer ... }
//
// A configuration of 2,000 routes has 600 KB, and each process has dozens of peers that offer it at the same moment: it is asked
// of one peer at a time, the nearest one, and only when it has not arrived from the platform first.
//
// Decisions only: no I/O and no clock.

#include "carobhall/upstream_table.h"
#include "carobhall/wire.h"

namespace Carobhall
{

/// Not thread-safe.
class ConfigPullScheduler
{
public:
    /// Replaces what the peer has offered before.
    void addOffer(ConnectionId peer, std::uint64_t version, Distance distance);
    /// The connection has ended.
    void removePeer(ConnectionId peer);
    /// The peer to ask now, if any. \p have is the version in effect here; offers that are not newer are dropped. Nobody is asked
    /// in the first \p patience after the first newer offer.
    [[nodiscard]] std::optional<ConnectionId> nextPeer(std::uint64_t have, Micros patience, Micros now);

private:
    /// After that another peer is asked; 600 KB over a link of 10 Mbit/s take half a second.
    static constexpr Micros AnswerTimeout = 1500 * MicrosPerMilli;

    struct Offer {
        ConnectionId peer = 0;
        std::uint64_t version = 0;
        Distance distance = Distance::SameZone;
    };

    std::vector<Offer> offers_;
    std::optional<Micros> firstOfferAt_;
    std::optional<ConnectionId> asked_;
    std::uint64_t askedWith_ = 0; ///< The version in effect when the peer was asked.
    Micros askedAt_ = 0;
};

} // namespace Carobhall
