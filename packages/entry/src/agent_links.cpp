#include "agent_links.h"

#include <random>

namespace Carobhall
{

namespace
{

constexpr Micros FirstBackoff = 50 * MicrosPerMilli;
constexpr Micros MaxBackoff = 2 * MicrosPerSecond;
/// A busy agent that has been silent this long is asked for a sign of life.
constexpr Micros PingAfter = 500 * MicrosPerMilli;
/// Its connection is given up when it does not answer within this time.
constexpr Micros PingTimeout = 2 * MicrosPerSecond;

/// Spreads dials of many entry processes to one agent.
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
        // The process at the other end of the connection is gone, and another one has its address.
        AgentLink &link = *links_.at(address);
        options_.endpoint.close(link.connection);
        lose(link);
    }
}

const AgentLink *AgentLinks::find(const std::string &address) const
{
    const auto entry = links_.find(address);
    return entry == links_.end() ? nullptr : entry->second.get();
}

AgentLink *AgentLinks::byConnection(ConnectionId connection)
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
    link.usedAt = now;
    if (link.connection == 0 && now >= link.notBefore) {
        link.connection = options_.endpoint.dial(address);
        addresses_.emplace(link.connection, address);
    }
    return link.connection;
}

bool AgentLinks::send(ConnectionId connection, const Message &message)
{
    AgentLink *const link = byConnection(connection);
    if (link == nullptr) {
        return false;
    }
    link->usedAt = monotonicNow();
    return options_.endpoint.send(connection, message);
}

bool AgentLinks::opened(ConnectionId connection, const PeerInfo &peer)
{
    AgentLink *const link = byConnection(connection);
    if (link == nullptr) {
        return false;
    }
    link->open = true;
    link->peer = peer;
    link->lastHeard = monotonicNow();
    link->pingedAt = 0;
    link->backoff = 0;
    logEvent(LogLevel::Info, "agent_connected",
             { { "address", link->agent.address }, { "agent", peer.name }, { "upstream", peer.upstream }, { "incarnation", toHex(peer.incarnation) } });
    options_.onOpen(*link);
    return true;
}

bool AgentLinks::received(ConnectionId connection, Message message)
{
    AgentLink *const link = byConnection(connection);
    if (link == nullptr) {
        return false;
    }
    link->lastHeard = monotonicNow();
    link->usedAt = link->lastHeard;
    link->pingedAt = 0;
    options_.onMessage(*link, std::move(message));
    return true;
}

bool AgentLinks::closed(ConnectionId connection)
{
    AgentLink *const link = byConnection(connection);
    if (link == nullptr) {
        return false;
    }
    lose(*link);
    return true;
}

void AgentLinks::lose(AgentLink &link)
{
    const ConnectionId connection = link.connection;
    const bool wasOpen = link.open;
    addresses_.erase(connection);
    link.open = false;
    link.connection = 0;
    link.pingedAt = 0;
    const Micros now = monotonicNow();
    // The first dial after a loss is immediate: the agent may be well, and requests wait for it.
    link.notBefore = wasOpen ? now : now + withJitter(std::max(link.backoff, FirstBackoff));
    link.backoff = wasOpen ? FirstBackoff : std::min(std::max(link.backoff, FirstBackoff) * 2, MaxBackoff);
    if (wasOpen) {
        logEvent(LogLevel::Info, "agent_connection_ended", { { "address", link.agent.address }, { "agent", link.peer.name } });
        options_.onLost(link, connection);
    } else {
        options_.onUnreachable(link, connection);
    }
}

void AgentLinks::drop(const std::string &address)
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
            // close() waits for queued bytes, which a frozen agent never takes; its connection is forgotten either way.
            options_.endpoint.close(link.connection);
            lose(link);
        }
        return;
    }
    if (link.checkedAt + PingAfter > now) {
        return;
    }
    link.checkedAt = now;
    if (options_.isBusy(link)) {
        link.pingedAt = now;
        options_.endpoint.send(link.connection, Probe{});
    } else if (link.usedAt + options_.idleLimit < now) {
        options_.endpoint.close(link.connection);
    }
}

void AgentLinks::tick(Micros now)
{
    std::vector<std::string> gone;
    for (const auto &[address, link] : links_) {
        const bool silent = !link->open || link->lastHeard + PingAfter < now;
        if (!link->listed && silent) {
            gone.push_back(address);
        } else if (link->open && silent) {
            checkSilence(*link, now);
        }
    }
    for (const std::string &address : gone) {
        drop(address);
    }
}

Json::Value AgentLinks::dump() const
{
    Json::Value rows(Json::arrayValue);
    for (const auto &[address, link] : links_) {
        Json::Value row(Json::objectValue);
        row["address"] = address;
        row["open"] = link->open;
        row["usable"] = link->agent.usable;
        row["agent"] = link->agent.name;
        row["upstream"] = link->agent.upstream;
        row["incarnation"] = toHex(link->agent.incarnation);
        rows.append(row);
    }
    return rows;
}

} // namespace Carobhall
