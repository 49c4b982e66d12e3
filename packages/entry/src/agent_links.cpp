#include "agent_links.h"

#include <random>

namespace Carobhall
{

namespace
{

constexpr Micros FirstBackoff = 50 * MicrosPerMilli;
constexpr Micros MaxBackoff = 2 * MicrosPerSecond;
/// An agent that has been silent this long is asked for a sign of life.
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
    , endpoint_({
          .keys = options_.keys,
          .self = options_.self,
          .onOpen = [this](ConnectionId connection, const PeerInfo &peer) { opened(connection, peer); },
          .onMessage = [this](ConnectionId connection, Message message) { received(connection, std::move(message)); },
          .onClosed = [this](ConnectionId connection, std::error_code) { closed(connection); },
      })
{
}

void AgentLinks::setAddresses(const std::vector<std::string> &addresses)
{
    std::map<std::string, std::unique_ptr<AgentLink>> previous = std::move(links_);
    links_.clear();
    for (const std::string &address : addresses) {
        if (const auto kept = previous.find(address); kept != previous.end() && kept->second != nullptr) {
            links_.emplace(address, std::move(kept->second));
        } else if (!links_.contains(address)) {
            auto link = std::make_unique<AgentLink>();
            link->address = address;
            dial(*links_.emplace(address, std::move(link)).first->second);
        }
    }
    for (const auto &[address, link] : previous) {
        if (link != nullptr) {
            const ConnectionId connection = link->connection;
            addresses_.erase(connection);
            endpoint_.close(connection);
            if (link->open) {
                options_.onLost(*link, connection);
                options_.onUnreachable(*link);
            }
        }
    }
}

void AgentLinks::dial(AgentLink &link)
{
    link.open = false;
    link.connection = endpoint_.dial(link.address);
    addresses_.emplace(link.connection, link.address);
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

bool AgentLinks::send(ConnectionId connection, const Message &message)
{
    const AgentLink *const link = byConnection(connection);
    return link != nullptr && link->open && endpoint_.send(connection, message);
}

void AgentLinks::opened(ConnectionId connection, const PeerInfo &peer)
{
    AgentLink *const link = byConnection(connection);
    if (link == nullptr) {
        return;
    }
    link->open = true;
    link->peer = peer;
    link->lastHeard = monotonicNow();
    link->pingedAt = 0;
    link->backoff = 0;
    logEvent(LogLevel::Info, "agent_connected",
             { { "address", link->address }, { "agent", peer.name }, { "upstream", peer.upstream }, { "incarnation", toHex(peer.incarnation) } });
    options_.onOpen(*link);
}

void AgentLinks::received(ConnectionId connection, Message message)
{
    AgentLink *const link = byConnection(connection);
    if (link == nullptr) {
        return;
    }
    link->lastHeard = monotonicNow();
    link->pingedAt = 0;
    options_.onMessage(*link, std::move(message));
}

void AgentLinks::closed(ConnectionId connection)
{
    AgentLink *const link = byConnection(connection);
    if (link == nullptr) {
        return;
    }
    lose(*link);
}

void AgentLinks::lose(AgentLink &link)
{
    const ConnectionId connection = link.connection;
    const bool wasOpen = link.open;
    addresses_.erase(connection);
    link.open = false;
    link.connection = 0;
    // The first dial after a loss is immediate: the agent may be well, and requests wait for it.
    const Micros delay = wasOpen ? 0 : withJitter(std::max(link.backoff, FirstBackoff));
    link.backoff = wasOpen ? FirstBackoff : std::min(std::max(link.backoff, FirstBackoff) * 2, MaxBackoff);
    link.redial.startOnce(delay, [this, &link] { dial(link); });
    if (wasOpen) {
        logEvent(LogLevel::Warning, "agent_lost", { { "address", link.address }, { "agent", link.peer.name } });
        options_.onLost(link, connection);
    } else {
        options_.onUnreachable(link);
    }
}

void AgentLinks::tick(Micros now)
{
    for (const auto &[address, link] : links_) {
        if (!link->open || link->lastHeard + PingAfter > now) {
            continue;
        }
        if (link->pingedAt == 0) {
            link->pingedAt = now;
            endpoint_.send(link->connection, Probe{});
        } else if (link->pingedAt + PingTimeout < now) {
            // close() waits for queued bytes, which a frozen agent never takes; its connection is forgotten either way.
            endpoint_.close(link->connection);
            lose(*link);
        }
    }
}

Json::Value AgentLinks::dump() const
{
    Json::Value rows(Json::arrayValue);
    for (const auto &[address, link] : links_) {
        Json::Value row(Json::objectValue);
        row["address"] = address;
        row["open"] = link->open;
        row["agent"] = link->peer.name;
        row["upstream"] = link->peer.upstream;
        row["incarnation"] = toHex(link->peer.incarnation);
        rows.append(row);
    }
    return rows;
}

} // namespace Carobhall
