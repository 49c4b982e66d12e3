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
    if (asked_ == peer) {
        asked_.reset();
    }
}

std::optional<ConnectionId> ConfigPullScheduler::nextPeer(std::uint64_t have, Micros patience, Micros now)
{
    std::erase_if(offers_, [have](const Offer &offer) { return offer.version <= have; });
    if (asked_ && now - askedAt_ >= AnswerTimeout) {
        removePeer(*asked_);
    }
    if (offers_.empty()) {
        firstOfferAt_.reset();
        asked_.reset();
        return std::nullopt;
    }
    if (!firstOfferAt_) {
        firstOfferAt_ = now;
    }
    if (have > askedWith_) {
        // What was asked for has arrived, and there is something newer.
        asked_.reset();
    }
    if (asked_ || now - *firstOfferAt_ < patience) {
        return std::nullopt;
    }
    const auto nearest = std::ranges::min_element(
        offers_, [](const Offer &a, const Offer &b) { return std::tuple(a.distance, b.version) < std::tuple(b.distance, a.version); });
    asked_ = nearest->peer;
    askedAt_ = now;
    askedWith_ = have;
    return asked_;
}

} // namespace Carobhall
