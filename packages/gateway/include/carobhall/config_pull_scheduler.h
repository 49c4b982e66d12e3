#pragma once

// Chooses the peer from which a process requests a newer configuration.
//
//     pulls.addOffer(connection, stamp, distance);            // the peer has this configuration
//     if (auto peer = pulls.nextPeer(heldStamp, offerDelay, now)) { ... send the request to that peer ... }
//
// A configuration of 2,000 routes has 600 KB, and each process has dozens of peers that offer it at the same moment. It is
// therefore requested from one peer at a time, the nearest first, and only if it has not arrived from the platform by then.
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/config_stamp.h"
#include "carobhall/upstream_table.h"
#include "carobhall/wire.h"

namespace Carobhall
{

/// Not thread-safe.
class ConfigPullScheduler
{
public:
    /// Replaces the peer's previous offer.
    void addOffer(ConnectionId peer, const ConfigStamp &stamp, Distance distance);
    /// Of a peer that names only the version.
    void addOffer(ConnectionId peer, std::uint64_t version, Distance distance)
    {
        addOffer(peer, ConfigStamp{ .version = version }, distance);
    }
    /// Call when the connection has ended.
    void removePeer(ConnectionId peer);
    /// The peer to send a request to now, if any. Offers that are not newer than \p held are dropped. Returns nothing until
    /// \p offerDelay after the first newer offer.
    [[nodiscard]] std::optional<ConnectionId> nextPeer(const ConfigStamp &held, Micros offerDelay, Micros now);
    [[nodiscard]] std::optional<ConnectionId> nextPeer(std::uint64_t heldVersion, Micros offerDelay, Micros now)
    {
        return nextPeer(ConfigStamp{ .version = heldVersion }, offerDelay, now);
    }

private:
    /// After this time without a response the next peer is tried. 600 KB over a link of 10 Mbit/s take half a second.
    static constexpr Micros ResponseTimeout = 1500 * MicrosPerMilli;

    struct Offer {
        ConnectionId peer = 0;
        ConfigStamp stamp{};
        Distance distance = Distance::SameZone;
    };

    std::vector<Offer> offers_;
    std::optional<Micros> firstOfferAt_;
    std::optional<ConnectionId> pendingPeer_; ///< The peer whose response is awaited.
    ConfigStamp heldAtRequest_{};             ///< What was held when the request was sent.
    Micros requestedAt_ = 0;
};

} // namespace Carobhall
