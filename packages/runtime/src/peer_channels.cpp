#include "peer_channels.h"

namespace Carobhall
{

namespace
{

constexpr Micros IdleCheckInterval = MicrosPerSecond;

} // namespace

PeerChannels::PeerChannels(PeerChannelOptions options)
    : options_(std::move(options))
{
}

void PeerChannels::opened(ConnectionId connection, const PeerInfo &peer)
{
    Channel &channel = channels_[connection];
    if (!channel.peer.empty() && channel.peer != peer.name) {
        // The address that was dialled now belongs to another process.
        byPeer_[channel.peer].erase(connection);
    }
    channel.peer = peer.name;
    channel.lastUsedAt = monotonicNow();
    byPeer_[peer.name].insert(connection);
}

void PeerChannels::closed(ConnectionId connection)
{
    const auto channel = channels_.find(connection);
    if (channel == channels_.end()) {
        return;
    }
    if (const auto peer = byPeer_.find(channel->second.peer); peer != byPeer_.end()) {
        peer->second.erase(connection);
        if (peer->second.empty()) {
            byPeer_.erase(peer);
        }
    }
    channels_.erase(channel);
}

const std::string *PeerChannels::recordInbound(ConnectionId connection)
{
    const auto channel = channels_.find(connection);
    if (channel == channels_.end()) {
        return nullptr;
    }
    channel->second.lastUsedAt = monotonicNow();
    return &channel->second.peer;
}

void PeerChannels::send(const std::string &peer, const Message &message)
{
    if (const auto open = byPeer_.find(peer); open != byPeer_.end()) {
        // Newest connection first: an older one may still refer to a previous incarnation of the peer.
        const std::vector<ConnectionId> connections(open->second.rbegin(), open->second.rend());
        for (const ConnectionId connection : connections) {
            if (options_.endpoint.send(connection, message)) {
                channels_[connection].lastUsedAt = monotonicNow();
                return;
            }
        }
    }
    const std::string address = options_.addressOf(peer);
    if (address.empty()) {
        return;
    }
    const ConnectionId connection = options_.endpoint.dial(address);
    channels_[connection] = { .peer = peer, .dialled = true, .lastUsedAt = monotonicNow() };
    byPeer_[peer].insert(connection);
    options_.endpoint.send(connection, message);
}

void PeerChannels::tick(Micros now)
{
    if (now < nextIdleCheck_) {
        return;
    }
    nextIdleCheck_ = now + IdleCheckInterval;
    std::vector<ConnectionId> idle;
    for (const auto &[connection, channel] : channels_) {
        if (channel.dialled && channel.lastUsedAt + options_.idleTimeout < now) {
            idle.push_back(connection);
        }
    }
    for (const ConnectionId connection : idle) {
        options_.endpoint.close(connection);
    }
}

std::size_t PeerChannels::size() const
{
    return channels_.size();
}

} // namespace Carobhall
