#pragma once

// Encrypted and mutually authenticated message connections between processes, over nng's TCP streams.
//
// nng runs its own threads. The classes in this file are used from a single thread, which iterates a GMainContext. Callbacks
// run on that thread.
//
//     Endpoint endpoint({.context = context, .keys = keys, .self = {...}, .onOpen = ..., .onMessage = ..., .onClosed = ...});
//     endpoint.listen("127.0.0.1:7101");                            // in an agent
//     ConnectionId connection = endpoint.dial("127.0.0.1:7101");    // in an entry process
//     endpoint.send(connection, Probe{...});
//
// Security: each end proves that it holds the fleet key with the agreed identifier. Records are encrypted and authenticated:
// a third party on the network cannot read them, and altered, replayed, reordered or dropped records are detected. Every
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

/// The shared keys of the fleet. A process uses the first key for what it initiates and accepts all of them. To rotate keys
/// without downtime, append the new key in all processes, then move it to the front in all processes, then remove the old one.
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

/// Information that each process sends about itself when a connection opens.
struct PeerInfo {
    std::string name;
    std::string zone; ///< Availability zone.
    Incarnation incarnation = 0;
    std::uint8_t kind = 0;  ///< A ProcessKind.
    std::string upstream{}; ///< For agents: name of the upstream in the environment document.

    MSGPACK_DEFINE(name, zone, incarnation, kind, upstream)
};

/// Identifies a connection of an Endpoint. An endpoint never reuses an identifier.
using ConnectionId = std::uint64_t;

struct EndpointOptions {
    GMainContext *context = nullptr; ///< Must outlive the endpoint.
    FleetKeys keys;                  ///< At least one key.
    PeerInfo self;
    std::size_t maxFrameBytes = std::size_t{ 4 } << 20U;   ///< A longer inbound frame closes the connection.
    std::size_t maxQueuedBytes = std::size_t{ 16 } << 20U; ///< The connection is closed when more unsent data than this is queued.
    Micros handshakeTimeout = 2 * MicrosPerSecond;         ///< A connection that is not open after this time is closed.
    std::function<void(ConnectionId, const PeerInfo &)> onOpen;
    std::function<void(ConnectionId, Message)> onMessage;
    std::function<void(ConnectionId, std::error_code)> onClosed; ///< Called exactly once per connection, even if it never opened.
};

// 2. Endpoint -------------------------------------------------------------------------------------

/// The connections of a process. Not thread-safe: use it from the thread that iterates the context.
class Endpoint
{
public:
    explicit Endpoint(EndpointOptions options);
    ~Endpoint();
    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;

    /// Starts accepting connections at \p address, "ip:port"; port 0 selects a free port. Fails if the address is malformed or
    /// in use. Precondition: not listening yet.
    std::error_code listen(const std::string &address);

    /// The port on which the endpoint listens; 0 if it does not listen.
    [[nodiscard]] std::uint16_t port() const;

    /// Starts connecting to \p address, "ip:port". Messages may be sent immediately; they are queued until the handshake is
    /// complete.
    ConnectionId dial(const std::string &address);

    /// Queues \p message. Returns false if the connection is closed, or has just been closed because it exceeded
    /// maxQueuedBytes; the message is then dropped.
    bool send(ConnectionId connection, const Message &message);

    /// Number of bytes queued for sending on a connection; 0 if it is closed.
    [[nodiscard]] std::size_t queuedBytes(ConnectionId connection) const;

    /// Closes a connection once all queued data has been sent. onClosed is called then.
    void close(ConnectionId connection);

    /// Replaces the keys for new connections; existing connections are unaffected. Precondition: at least one key.
    void setKeys(FleetKeys keys);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace Carobhall
