#pragma once

// Sends messages to peers by name, over any open connection; dials one if there is none.

#include "carobhall/runtime.h"

#include <set>
#include <unordered_map>

namespace Carobhall
{

/// `endpoint` must outlive the PeerChannels.
struct PeerChannelOptions {
    Endpoint &endpoint;
    std::function<std::string(const std::string &peer)> addressOf; ///< Returns "ip:port"; empty: the peer is unknown.
    Micros idleTimeout = 30 * MicrosPerSecond;                     ///< A dialled connection without traffic for this time is closed.
};

/// The open connections of an endpoint by peer, including those dialled here. Not thread-safe.
class PeerChannels
{
public:
    explicit PeerChannels(PeerChannelOptions options);

    // Event handlers, to be called when the endpoint opens or closes a connection.
    void opened(ConnectionId connection, const PeerInfo &peer);
    void closed(ConnectionId connection);
    /// Records inbound traffic on \p connection, which postpones its idle close. Returns the name of the peer; null if unknown.
    [[nodiscard]] const std::string *recordInbound(ConnectionId connection);
    /// Best effort: the message is dropped if there is neither an open connection nor a known address.
    void send(const std::string &peer, const Message &message);
    /// Closes idle connections.
    void tick(Micros now);
    /// Number of connections.
    [[nodiscard]] std::size_t size() const;

private:
    struct Channel {
        std::string peer;
        bool dialled = false; ///< Dialled by this object, which closes it when idle. Other connections are used but not closed here.
        Micros lastUsedAt = 0;
    };

    PeerChannelOptions options_;
    std::unordered_map<ConnectionId, Channel> channels_;
    std::map<std::string, std::set<ConnectionId>> byPeer_;
    Micros nextIdleCheck_ = 0;
};

} // namespace Carobhall
