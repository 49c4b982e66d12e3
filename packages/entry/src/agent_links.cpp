#include "agent_links.h"

#include <random>

namespace Carobhall
{

namespace
{

constexpr Micros FirstBackoff = 50 * MicrosPerMilli;
constexpr Micros MaxBackoff = 2 * MicrosPerSecond;
/// An agent with pending answers is pinged after this much silence.
constexpr Micros PingAfter = 500 * MicrosPerMilli;
/// The connection is closed if the agent sends nothing for this long after a ping.
constexpr Micros PingTimeout = 2 * MicrosPerSecond;

/// Returns a random delay between half of \p delay and \p delay, so that many entry processes do not dial one agent at the same time.
Micros withJitter(Micros delay)
{
    static std::minstd_rand generator(static_cast<unsigned>(drawIncarnation()));
    return delay / 2 + static_cast<Micros>(generator() % static_cast<std::uint64_t>(delay / 2 + 1));
}

} // namespace

AgentLinks::AgentLinks(Options options)
    : options_(std::move(options))
{
}

void AgentLinks::setAgents(const std::vector<AgentInfo> &agents)
{
    for (const auto &[address, link] : links_) {
        link->listed = false;
        link->agent.usable = false;
    }
    std::vector<std::string> replaced;
    for (const AgentInfo &agent : agents) {
        std::unique_ptr<AgentLink> &link = links_[agent.address];
        if (link == nullptr) {
            link = std::make_unique<AgentLink>();
        }
        if (link->open && link->peer.incarnation != agent.incarnation && link->agent.incarnation != agent.incarnation) {
            replaced.push_back(agent.address);
        }
        link->listed = true;
        link->agent = agent;
    }
    for (const std::string &address : replaced) {
        // The process that this connection led to has ended, and another process has its address.
        AgentLink &link = *links_.at(address);
        options_.endpoint.close(link.connection);
        onDisconnected(link);
    }
}

const AgentLink *AgentLinks::find(const std::string &address) const
{
    const auto entry = links_.find(address);
    return entry == links_.end() ? nullptr : entry->second.get();
}

AgentLink *AgentLinks::findByConnection(ConnectionId connection)
{
    const auto address = addresses_.find(connection);
    return address == addresses_.end() ? nullptr : links_.at(address->second).get();
}

ConnectionId AgentLinks::connect(const std::string &address)
{
    const auto entry = links_.find(address);
    if (entry == links_.end()) {
        return 0;
    }
    AgentLink &link = *entry->second;
    const Micros now = monotonicNow();
    link.lastUsedAt = now;
    if (link.connection == 0 && now >= link.nextDialAt) {
        link.connection = options_.endpoint.dial(address);
        addresses_.emplace(link.connection, address);
    }
    return link.connection;
}

bool AgentLinks::send(ConnectionId connection, const Message &message)
{
    AgentLink *const link = findByConnection(connection);
    if (link == nullptr) {
        return false;
    }
    link->lastUsedAt = monotonicNow();
    return options_.endpoint.send(connection, message);
}

bool AgentLinks::opened(ConnectionId connection, const PeerInfo &peer)
{
    AgentLink *const link = findByConnection(connection);
    if (link == nullptr) {
        return false;
    }
    link->open = true;
    link->peer = peer;
    link->lastReceivedAt = monotonicNow();
    link->pingedAt = 0;
    link->backoff = 0;
    logEvent(LogLevel::Info, "agent_connected",
             { { "address", link->agent.address }, { "agent", peer.name }, { "upstream", peer.upstream }, { "incarnation", toHex(peer.incarnation) } });
    options_.onOpen(*link);
    return true;
}

bool AgentLinks::received(ConnectionId connection, Message message)
{
    AgentLink *const link = findByConnection(connection);
    if (link == nullptr) {
        return false;
    }
    link->lastReceivedAt = monotonicNow();
    link->lastUsedAt = link->lastReceivedAt;
    link->pingedAt = 0;
    options_.onMessage(*link, std::move(message));
    return true;
}

bool AgentLinks::closed(ConnectionId connection)
{
    AgentLink *const link = findByConnection(connection);
    if (link == nullptr) {
        return false;
    }
    onDisconnected(*link);
    return true;
}

void AgentLinks::onDisconnected(AgentLink &link)
{
    const ConnectionId connection = link.connection;
    const bool wasOpen = link.open;
    addresses_.erase(connection);
    link.open = false;
    link.connection = 0;
    link.pingedAt = 0;
    const Micros now = monotonicNow();
    // The first dial after a lost connection is immediate: the agent may still be running, and requests wait for the connection.
    link.nextDialAt = wasOpen ? now : now + withJitter(std::max(link.backoff, FirstBackoff));
    link.backoff = wasOpen ? FirstBackoff : std::min(std::max(link.backoff, FirstBackoff) * 2, MaxBackoff);
    if (wasOpen) {
        logEvent(LogLevel::Info, "agent_connection_ended", { { "address", link.agent.address }, { "agent", link.peer.name } });
        options_.onLost(link, connection);
    } else {
        options_.onUnreachable(link, connection);
    }
}

void AgentLinks::remove(const std::string &address)
{
    const auto entry = links_.find(address);
    const std::unique_ptr<AgentLink> link = std::move(entry->second);
    links_.erase(entry);
    const ConnectionId connection = link->connection;
    if (connection == 0) {
        options_.onUnreachable(*link, connection);
        return;
    }
    addresses_.erase(connection);
    options_.endpoint.close(connection);
    if (link->open) {
        link->open = false;
        options_.onLost(*link, connection);
    }
    options_.onUnreachable(*link, connection);
}

void AgentLinks::checkSilence(AgentLink &link, Micros now)
{
    if (link.pingedAt != 0) {
        if (link.pingedAt + PingTimeout < now) {
            // close() waits until the queued bytes have been sent, which a frozen agent never allows. The link therefore drops the
            // connection without waiting for onClosed.
            options_.endpoint.close(link.connection);
            onDisconnected(link);
        }
        return;
    }
    if (link.silenceCheckedAt + PingAfter > now) {
        return;
    }
    link.silenceCheckedAt = now;
    if (options_.isBusy(link)) {
        link.pingedAt = now;
        options_.endpoint.send(link.connection, Probe{});
    } else if (link.lastUsedAt + options_.idleTimeout < now) {
        options_.endpoint.close(link.connection);
    }
}

void AgentLinks::tick(Micros now)
{
    std::vector<std::string> removed;
    for (const auto &[address, link] : links_) {
        const bool silent = !link->open || link->lastReceivedAt + PingAfter < now;
        if (!link->listed && silent) {
            removed.push_back(address);
        } else if (link->open && silent) {
            checkSilence(*link, now);
        }
    }
    for (const std::string &address : removed) {
        remove(address);
    }
}

Json::Value AgentLinks::dump() const
{
    Json::Value agents(Json::arrayValue);
    for (const auto &[address, link] : links_) {
        Json::Value entry(Json::objectValue);
        entry["address"] = address;
        entry["open"] = link->open;
        entry["usable"] = link->agent.usable;
        entry["agent"] = link->agent.name;
        entry["upstream"] = link->agent.upstream;
        entry["incarnation"] = toHex(link->agent.incarnation);
        agents.append(entry);
    }
    return agents;
}

} // namespace Carobhall
