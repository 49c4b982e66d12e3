#pragma once

// Connections to peers by name: any open one is used, and one is dialled when there is none.

#include "carobhall/runtime.h"

#include <set>
#include <unordered_map>

namespace Carobhall
{

/// The endpoint is used by reference and must outlive the channels.
struct PeerChannelOptions {
    Endpoint &endpoint;
    std::function<std::string(const std::string &peer)> addressOf; ///< "ip:port"; empty: unknown.
    Micros idleLimit = 30 * MicrosPerSecond;                       ///< A dialled connection that carried nothing for so long is closed.
};

/// Not thread-safe.
class PeerChannels
{
public:
    explicit PeerChannels(PeerChannelOptions options);

    void opened(ConnectionId connection, const PeerInfo &peer);
    void closed(ConnectionId connection);
    /// The name of the peer at the other end, null when unknown. Counts as use of the connection.
    [[nodiscard]] const std::string *heard(ConnectionId connection);
    /// Best effort: without a connection and an address the message is dropped.
    void send(const std::string &peer, const Message &message);
    void tick(Micros now);
    [[nodiscard]] std::size_t size() const;

private:
    struct Channel {
        std::string peer;
        bool dialled = false; ///< By this object; others belong to somebody else and are only used.
        Micros usedAt = 0;
    };

    PeerChannelOptions options_;
    std::unordered_map<ConnectionId, Channel> channels_;
    std::map<std::string, std::set<ConnectionId>> byPeer_;
    Micros nextSweep_ = 0;
};

} // namespace Carobhall
