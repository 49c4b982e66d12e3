#pragma once

// Authenticated, multiplexed connections between the system's processes, over nng's TCP streams.
//
// nng runs its own threads. Everything here is used from one thread, which iterates a GMainContext; callbacks run there.
//
//     Endpoint endpoint({.context = context, .keys = keys, .self = {...}, .onOpen = ..., .onMessage = ..., .onClosed = ...});
//     endpoint.listen("127.0.0.1:7101");                      // agents
//     ConnectionId link = endpoint.dial("127.0.0.1:7101");    // entry processes
//     endpoint.send(link, Probe{...});
//
// Security: both ends prove that they hold the fleet key with the same identifier; records are encrypted and authenticated,
// so that a third party on the network can neither read, alter, replay, reorder nor drop single records unnoticed. Every
// holder of a fleet key is trusted.
//
// Index
//   1. Options
//   2. Endpoint

#include "carobhall/messages.h"

#include <functional>

using GMainContext = struct _GMainContext; // NOLINT(bugprone-reserved-identifier): GLib's own name.

namespace Carobhall
{

// 1. Options --------------------------------------------------------------------------------------

inline constexpr std::size_t FleetKeySize = 32; ///< Bytes.

/// The fleet's keys by identifier. A process signs with the first one and accepts all of them, so that keys rotate without
/// a stop: add the new key at the end everywhere, move it to the front everywhere, remove the old one.
struct FleetKeys {
    struct Entry {
        std::uint32_t id = 0;
        std::array<unsigned char, FleetKeySize> key{};
    };
    std::vector<Entry> entries;
};

enum class ProcessKind : std::uint8_t { Entry, Agent, Operator };

template<>
struct EnumNames<ProcessKind> {
    static constexpr std::array rows{
        EnumName{ ProcessKind::Entry, "entry" },
        EnumName{ ProcessKind::Agent, "agent" },
        EnumName{ ProcessKind::Operator, "operator" },
    };
};

/// What a process says of itself when a connection opens.
struct PeerInfo {
    std::string name;
    std::string zone; ///< Availability zone.
    Incarnation incarnation = 0;
    std::uint8_t kind = 0;  ///< A ProcessKind.
    std::string upstream{}; ///< Of an agent: the name of its upstream in the environment document.

    MSGPACK_DEFINE(name, zone, incarnation, kind, upstream)
};

/// Names a connection of one Endpoint. Never used twice in a process.
using ConnectionId = std::uint64_t;

struct EndpointOptions {
    GMainContext *context = nullptr; ///< Must outlive the endpoint.
    FleetKeys keys;                  ///< At least one.
    PeerInfo self;
    std::size_t maxFrameBytes = std::size_t{ 4 } << 20U;   ///< A longer frame ends the connection.
    std::size_t maxQueuedBytes = std::size_t{ 16 } << 20U; ///< A peer that does not read this much ends the connection.
    Micros handshakeTimeout = 2 * MicrosPerSecond;         ///< An accepted or dialled connection that is not open by then ends.
    std::function<void(ConnectionId, const PeerInfo &)> onOpen;
    std::function<void(ConnectionId, Message)> onMessage;
    std::function<void(ConnectionId, std::error_code)> onClosed; ///< Exactly once for each connection, also when it never opened.
};

// 2. Endpoint -------------------------------------------------------------------------------------

/// All connections of a process. Not thread-safe: use it from the thread that iterates the context.
class Endpoint
{
public:
    explicit Endpoint(EndpointOptions options);
    ~Endpoint();
    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;

    /// Accepts connections at \p address, "ip:port"; port 0 takes a free one. Fails when the address is in use or malformed.
    /// Precondition: not listening yet.
    std::error_code listen(const std::string &address);

    /// The port that listen() took; 0 when not listening.
    [[nodiscard]] std::uint16_t port() const;

    /// Starts a connection to \p address, "ip:port". Messages may be sent at once; they wait for the handshake.
    ConnectionId dial(const std::string &address);

    /// Queues \p message. Returns false when the connection is closed; the message is then dropped.
    bool send(ConnectionId connection, const Message &message);

    /// Bytes that wait to be sent on a connection; 0 when it is closed.
    [[nodiscard]] std::size_t queuedBytes(ConnectionId connection) const;

    /// Ends a connection after what is queued has been sent. onClosed follows.
    void close(ConnectionId connection);

    /// Replaces the keys for new connections; open ones stay. Precondition: at least one key.
    void setKeys(FleetKeys keys);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace Carobhall
