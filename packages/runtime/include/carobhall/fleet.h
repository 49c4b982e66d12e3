#pragma once

// A process's view of the fleet: membership, and the distribution of the environment document.
//
//     Endpoint endpoint({..., .onOpen = [&](...) { fleet.opened(connection, peer); }, ...});
//     Fleet fleet({.process = settings.process, .kind = ProcessKind::Agent, .incarnation = incarnation,
//                  .endpoint = endpoint, .document = documentHolder, .onMembersChanged = [] { ... }});
//     endpoint.listen(settings.process.wireAddress);
//     fleet.start();                               // starts membership on the same port and fetches the platform's VM list as seeds
//     if (fleet.received(connection, message)) ... // true: it was a configuration message and has been handled
//     if (fleet.mayServe()) ...                    // a document is in effect, and confirmed if the process was paused
//     fleet.beginLeaving();                        // on shutdown; keep the object until the process ends
//
// Configuration messages are sent over any open connection to the peer. Connections that the fleet has dialled itself are
// closed after an idle period.
//
// Not thread-safe: use it from the thread that iterates GLib's default main context. Callbacks run on that thread.

#include "carobhall/configuration.h"
#include "carobhall/membership_udp.h"
#include "carobhall/runtime.h"

namespace Carobhall
{

/// State of an agent's upstream, as announced to the other processes.
struct UpstreamStatus {
    Incarnation incarnation = 0;
    UpstreamState state = UpstreamState::Accepting;
    std::string route;          ///< Model or plain service; empty: the document in effect does not contain the upstream.
    std::string weightsVersion; ///< Empty for a plain service.

    bool operator==(const UpstreamStatus &) const = default;
};

/// `endpoint` and `document` must outlive the fleet.
struct FleetOptions {
    ProcessSettings process;
    ProcessKind kind = ProcessKind::Entry;
    Incarnation incarnation = 0;
    std::string upstream; ///< For agents: name of the upstream in the document.
    Endpoint &endpoint;
    DocumentHolder &document;
    std::function<void()> onMembersChanged;   ///< Called when the member table has changed. May be empty.
    std::function<void(const Fact &)> onFact; ///< Called for new facts, except those about the document's version. May be empty.
    MembershipMechanisms mechanisms{};        ///< Tests turn single mechanisms off.
    bool confirmsAfterPause = true;           ///< Turned off only in tests that show the effect of the confirmation.
};

class Fleet
{
public:
    explicit Fleet(FleetOptions options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Joins the fleet. Fails with std::errc::address_in_use if the UDP port of the wire address is in use. Precondition: the
    /// endpoint listens.
    std::error_code start();

    // Event handlers, to be called from the callbacks of the endpoint.
    void opened(ConnectionId connection, const PeerInfo &peer);
    void closed(ConnectionId connection);
    /// Handles configuration messages; returns false for all other messages.
    bool received(ConnectionId connection, const Message &message);

    /// Whether a document is in effect and has been confirmed since the start or the last pause of the process.
    [[nodiscard]] bool mayServe() const;

    /// Announces the state of the upstream if it has changed. Cheap enough to be called on each tick.
    void setUpstream(const UpstreamStatus &status);
    /// Records that \p peer holds \p version of the document, as stated in a probe reply.
    void recordPeerVersion(const std::string &peer, std::uint64_t version);
    /// The incarnation of the process at the other end of \p connection; 0 if it is not a known member.
    [[nodiscard]] Incarnation peerIncarnation(ConnectionId connection);
    /// Sends over an open connection to the peer, or dials one. Best effort: the message is dropped if the peer is not a known
    /// member.
    void send(Incarnation peer, const Message &message);
    /// Reports a failed call to a process, which is then pinged on the next tick instead of in its turn.
    void reportFailure(Incarnation incarnation);
    /// Disseminates a fact to all processes.
    void publish(const Fact &fact);
    /// Announces that this process is shutting down and accepts no new requests.
    void beginLeaving();

    /// All known processes, this process first; empty before start().
    [[nodiscard]] std::span<const Member> members() const;
    /// The client for calls to the platform; null if no platform address is configured.
    [[nodiscard]] PlatformClient *platform();
    /// The state of this object for the process's state dump.
    [[nodiscard]] Json::Value dump() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// The addresses in the platform's VM list: an array, or an object with the array under "items" or "vms". The elements are
/// strings or objects with an "address". Objects marked as "leaving" are skipped.
[[nodiscard]] std::vector<std::string> vmAddresses(const Json::Value &list);

} // namespace Carobhall
