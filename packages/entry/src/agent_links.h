#pragma once

// Connections to the agents that membership knows. They are dialled when a request needs them and closed when they are idle,
// so that an entry process of a large fleet holds only those that it uses.

#include "carobhall/runtime.h"

namespace Carobhall
{

/// An agent as membership knows it.
struct AgentInfo {
    std::string address; ///< "ip:port".
    std::string name;
    std::string zone;
    Incarnation incarnation = 0;
    std::string upstream;
    std::string route;
    std::string weightsVersion;
    bool usable = false; ///< May get new work.
};

struct AgentLink {
    AgentInfo agent;
    bool listed = true; ///< Membership still has it.
    ConnectionId connection = 0;
    bool open = false;
    PeerInfo peer; ///< Of the last open connection.
    Micros lastHeard = 0;
    Micros usedAt = 0;
    Micros checkedAt = 0; ///< Whether silence matters was looked up.
    Micros pingedAt = 0;  ///< Of the first ping without an answer; 0: none.
    Micros backoff = 0;
    Micros notBefore = 0; ///< Of the next dial.
};

class AgentLinks
{
public:
    /// The endpoint is used by reference and must outlive the links.
    struct Options {
        Endpoint &endpoint;
        std::function<void(const AgentLink &)> onOpen;
        std::function<void(const AgentLink &, ConnectionId)> onLost;        ///< An open connection ended.
        std::function<void(const AgentLink &, ConnectionId)> onUnreachable; ///< A dial failed, or the agent is gone.
        std::function<void(const AgentLink &, Message)> onMessage;
        std::function<bool(const AgentLink &)> isBusy; ///< Whether something is expected from the agent.
        Micros idleLimit = 30 * MicrosPerSecond;       ///< An open connection that carried nothing for so long is closed, unless busy.
    };

    explicit AgentLinks(Options options);

    /// Replaces the set of agents. Connections to agents that stay are kept.
    void setAgents(const std::vector<AgentInfo> &agents);
    [[nodiscard]] const AgentLink *find(const std::string &address) const;
    /// The connection to an agent, dialled now if there is none; 0 while a dial that failed is not yet repeated and for an unknown address.
    ConnectionId connect(const std::string &address);
    /// Messages to a connection that is not open yet wait for it. False when the connection is closed.
    bool send(ConnectionId connection, const Message &message);
    /// Pings busy agents that have been silent and gives up those that stay silent; closes idle connections.
    void tick(Micros now);
    [[nodiscard]] Json::Value dump() const;

    // Events of the endpoint. False for a connection of somebody else.
    bool opened(ConnectionId connection, const PeerInfo &peer);
    bool received(ConnectionId connection, Message message);
    bool closed(ConnectionId connection);

private:
    [[nodiscard]] AgentLink *byConnection(ConnectionId connection);
    void lose(AgentLink &link);
    void drop(const std::string &address);
    void checkSilence(AgentLink &link, Micros now);

    Options options_;
    std::map<std::string, std::unique_ptr<AgentLink>> links_;
    std::map<ConnectionId, std::string> addresses_;
};

} // namespace Carobhall
