#pragma once

// Connections to the agents that this entry process knows: dials them, dials again after a loss, and notices silent ones.

#include "carobhall/runtime.h"

namespace Carobhall
{

struct AgentLink {
    std::string address; ///< "ip:port".
    ConnectionId connection = 0;
    bool open = false;
    PeerInfo peer; ///< Of the last open connection.
    Micros lastHeard = 0;
    Micros pingedAt = 0; ///< Of the first ping without an answer; 0: none.
    Micros backoff = 0;  ///< Before the next dial.
    Timer redial;
};

class AgentLinks
{
public:
    struct Options {
        FleetKeys keys;
        PeerInfo self;
        std::function<void(const AgentLink &)> onOpen;
        std::function<void(const AgentLink &, ConnectionId)> onLost; ///< An open connection ended. A new one is dialled at once.
        std::function<void(const AgentLink &)> onUnreachable;        ///< A dial failed.
        std::function<void(const AgentLink &, Message)> onMessage;
    };

    explicit AgentLinks(Options options);

    /// Replaces the set of agents. Connections to agents that stay are kept.
    void setAddresses(const std::vector<std::string> &addresses);
    [[nodiscard]] const AgentLink *find(const std::string &address) const;
    /// False when the connection is not open any more.
    bool send(ConnectionId connection, const Message &message);
    /// Pings agents that have been silent, and gives up those that stay silent.
    void tick(Micros now);
    [[nodiscard]] Json::Value dump() const;

    template<typename Visit>
    void each(Visit visit) const
    {
        for (const auto &[address, link] : links_) {
            visit(*link);
        }
    }

private:
    void dial(AgentLink &link);
    void opened(ConnectionId connection, const PeerInfo &peer);
    void received(ConnectionId connection, Message message);
    void closed(ConnectionId connection);
    void lose(AgentLink &link);
    [[nodiscard]] AgentLink *byConnection(ConnectionId connection);

    Options options_;
    std::map<std::string, std::unique_ptr<AgentLink>> links_;
    std::map<ConnectionId, std::string> addresses_;
    Endpoint endpoint_;
};

} // namespace Carobhall
