#include "carobhall/config_pull_scheduler.h"

#include <algorithm>
#include <tuple>

namespace Carobhall
{

void ConfigPullScheduler::addOffer(ConnectionId peer, const ConfigStamp &stamp, Distance distance)
{
    std::erase_if(offers_, [peer](const Offer &offer) { return offer.peer == peer; });
    offers_.push_back({ .peer = peer, .stamp = stamp, .distance = distance });
}

void ConfigPullScheduler::removePeer(ConnectionId peer)
{
    std::erase_if(offers_, [peer](const Offer &offer) { return offer.peer == peer; });
    if (pendingPeer_ == peer) {
        pendingPeer_.reset();
    }
}

std::optional<ConnectionId> ConfigPullScheduler::nextPeer(const ConfigStamp &held, Micros offerDelay, Micros now)
{
    std::erase_if(offers_, [&held](const Offer &offer) { return compareConfigs(offer.stamp, held) != ConfigRelation::Newer; });
    if (pendingPeer_ && now - requestedAt_ >= ResponseTimeout) {
        removePeer(*pendingPeer_);
    }
    if (offers_.empty()) {
        firstOfferAt_.reset();
        pendingPeer_.reset();
        return std::nullopt;
    }
    if (!firstOfferAt_) {
        firstOfferAt_ = now;
    }
    if (compareConfigs(held, heldAtRequest_) == ConfigRelation::Newer) {
        // The requested configuration has arrived, and a newer one is on offer.
        pendingPeer_.reset();
    }
    if (pendingPeer_ || now - *firstOfferAt_ < offerDelay) {
        return std::nullopt;
    }
    const auto nearest = std::ranges::min_element(
        offers_, [](const Offer &a, const Offer &b) { return std::tuple(a.distance, b.stamp.version) < std::tuple(b.distance, a.stamp.version); });
    pendingPeer_ = nearest->peer;
    requestedAt_ = now;
    heldAtRequest_ = held;
    return pendingPeer_;
}

} // namespace Carobhall
