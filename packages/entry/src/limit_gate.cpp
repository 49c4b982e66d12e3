#include "limit_gate.h"

namespace Carobhall
{

LimitGate::LimitGate(LimitGateOptions options)
    : options_(std::move(options))
{
    limits_.setEntryProcesses({ options_.self });
    readLimits(options_.document.current()->document);
    options_.document.onReplaced([this](const VersionedDocument &document) { readLimits(document.document); });
}

void LimitGate::readLimits(const EnvironmentDocument &document)
{
    limitsByAccount_.clear();
    for (const AccountSpec &account : document.accounts) {
        if (account.tokensPerSecond > 0 || account.maxConcurrent > 0) {
            limitsByAccount_[account.name] = { .tokensPerSecond = account.tokensPerSecond, .maxConcurrent = account.maxConcurrent };
        }
    }
}

AccountLimit LimitGate::limitOf(const std::string &account) const
{
    const auto entry = limitsByAccount_.find(account);
    return entry == limitsByAccount_.end() ? AccountLimit{} : entry->second;
}

void LimitGate::setPeers(const std::vector<Incarnation> &peers)
{
    std::unordered_set<Incarnation> current(peers.begin(), peers.end());
    for (const Incarnation peer : peers_) {
        if (!current.contains(peer)) {
            coordinator_.forget(peer);
        }
    }
    peers_ = std::move(current);
    std::vector<Incarnation> entries(peers_.begin(), peers_.end());
    entries.push_back(options_.self);
    limits_.setEntryProcesses(std::move(entries));
}

LimitResult LimitGate::take(const std::string &account, double cost, Micros now, bool mayWait)
{
    return limits_.take(account, limitOf(account), cost, now, mayWait);
}

void LimitGate::settle(const std::string &account, double estimatedCost, double actualCost)
{
    limits_.settle(account, estimatedCost, actualCost);
}

void LimitGate::receiveGrantRequest(Incarnation requester, const GrantRequest &request)
{
    options_.send(requester, coordinator_.grant(requester, request, limitOf(request.account), monotonicNow()));
}

void LimitGate::receiveGrant(const Grant &grant)
{
    limits_.receive(grant, monotonicNow());
    options_.onGrant(grant.account);
}

void LimitGate::tick(Micros now)
{
    for (const AddressedGrantRequest &addressed : limits_.takeGrantRequests(now)) {
        if (addressed.coordinator == options_.self) {
            receiveGrant(coordinator_.grant(options_.self, addressed.request, limitOf(addressed.request.account), now));
        } else {
            options_.send(addressed.coordinator, addressed.request);
        }
    }
}

std::size_t LimitGate::size() const
{
    return limits_.size();
}

} // namespace Carobhall
