#include "carobhall/config_pull_scheduler.h"

#include <algorithm>
#include <tuple>

namespace Carobhall
{

void ConfigPullScheduler::addOffer(ConnectionId peer, std::uint64_t version, Distance distance)
{
    std::erase_if(offers_, [peer](const Offer &offer) { return offer.peer == peer; });
    offers_.push_back({ .peer = peer, .version = version, .distance = distance });
}

void ConfigPullScheduler::removePeer(ConnectionId peer)
{
    std::erase_if(offers_, [peer](const Offer &offer) { return offer.peer == peer; });
    if (pendingPeer_ == peer) {
        pendingPeer_.reset();
    }
}

std::optional<ConnectionId> ConfigPullScheduler::nextPeer(std::uint64_t currentVersion, Micros offerDelay, Micros now)
{
    std::erase_if(offers_, [currentVersion](const Offer &offer) { return offer.version <= currentVersion; });
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
    if (currentVersion > versionAtRequest_) {
        // The requested version has arrived, and a newer one is on offer.
        pendingPeer_.reset();
    }
    if (pendingPeer_ || now - *firstOfferAt_ < offerDelay) {
        return std::nullopt;
    }
    const auto nearest = std::ranges::min_element(
        offers_, [](const Offer &a, const Offer &b) { return std::tuple(a.distance, b.version) < std::tuple(b.distance, a.version); });
    pendingPeer_ = nearest->peer;
    requestedAt_ = now;
    versionAtRequest_ = currentVersion;
    return pendingPeer_;
}

} // namespace Carobhall
