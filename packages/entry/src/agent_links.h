#pragma once

// Connections to the agents in the membership list. A connection is dialled when a request needs it and closed when it is idle, so that
// an entry process in a large fleet holds only the connections that it uses.

#include "carobhall/runtime.h"

namespace Carobhall
{

/// An agent, as listed by membership.
struct AgentInfo {
    std::string address; ///< "ip:port".
    std::string name;
    std::string zone;
    Incarnation incarnation = 0;
    std::string upstream; ///< Name of the upstream that the agent serves.
    std::string route;
    std::string weightsVersion;
    bool usable = false; ///< May receive new requests.
};

/// An agent and the state of the connection to it.
struct AgentLink {
    AgentInfo agent;
    bool listed = true;          ///< The agent is in the current membership list.
    ConnectionId connection = 0; ///< 0: none.
    bool open = false;           ///< The connection is established; false while it is being dialled.
    PeerInfo peer;               ///< Identity of the peer on the last established connection.
    Micros lastReceivedAt = 0;
    Micros lastUsedAt = 0;
    Micros silenceCheckedAt = 0; ///< When a silent connection was last checked for pending answers and idleness.
    Micros pingedAt = 0;         ///< When the outstanding ping was sent; 0: none is outstanding.
    Micros backoff = 0;          ///< Delay after the next failed dial, before jitter.
    Micros nextDialAt = 0;       ///< Earliest time of the next dial.
};

class AgentLinks
{
public:
    /// The endpoint is held by reference and must outlive the AgentLinks.
    struct Options {
        Endpoint &endpoint;
        std::function<void(const AgentLink &)> onOpen;
        std::function<void(const AgentLink &, ConnectionId)> onLost;        ///< An established connection was closed.
        std::function<void(const AgentLink &, ConnectionId)> onUnreachable; ///< A dial failed, or the agent was removed from membership.
        std::function<void(const AgentLink &, Message)> onMessage;
        std::function<bool(const AgentLink &)> isBusy; ///< Whether an answer from the agent is pending.
        Micros idleTimeout = 30 * MicrosPerSecond;     ///< An unused connection is closed after this time, unless isBusy() returns true.
    };

    explicit AgentLinks(Options options);

    /// Replaces the set of agents. Connections to agents that remain in the set are kept.
    void setAgents(const std::vector<AgentInfo> &agents);
    [[nodiscard]] const AgentLink *find(const std::string &address) const;
    /// Returns the connection to an agent, dialling it if there is none. Returns 0 for an unknown address, and during the backoff after a
    /// failed dial.
    ConnectionId connect(const std::string &address);
    /// Sends a message. It is queued while the connection is being established. Returns false if the connection is closed.
    bool send(ConnectionId connection, const Message &message);
    /// Pings silent agents with pending answers, closes the connections of those that do not respond, and closes idle connections. Call
    /// this every few tens of milliseconds.
    void tick(Micros now);
    [[nodiscard]] Json::Value dump() const;

    // Endpoint events. They return false if the connection does not belong to an agent link.
    bool opened(ConnectionId connection, const PeerInfo &peer);
    bool received(ConnectionId connection, Message message);
    bool closed(ConnectionId connection);

private:
    [[nodiscard]] AgentLink *findByConnection(ConnectionId connection);
    void onDisconnected(AgentLink &link);
    void remove(const std::string &address);
    void checkSilence(AgentLink &link, Micros now);

    Options options_;
    std::map<std::string, std::unique_ptr<AgentLink>> links_;
    std::map<ConnectionId, std::string> addresses_;
};

} // namespace Carobhall
