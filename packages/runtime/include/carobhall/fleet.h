#pragma once

// A process's place among the others: membership, and the environment document as it spreads.
//
//     Endpoint endpoint({..., .onOpen = [&](...) { fleet.opened(connection, peer); }, ...});
//     Fleet fleet({.process = settings.process, .kind = ProcessKind::Agent, .incarnation = incarnation,
//                  .endpoint = endpoint, .document = documentHolder, .onMembersChanged = [] { ... }});
//     endpoint.listen(settings.process.wireAddress);
//     fleet.start();                              // membership at the same port; reads the platform's VM list for further seeds
//     if (fleet.received(connection, message)) ... // true: it was a configuration message
//     if (fleet.mayServe()) ...                   // a document is in effect and is confirmed after a pause
//     fleet.beginLeaving();                       // on shutdown; keep it alive until the process ends
//
// Configuration messages use any open connection to the peer. A connection that the fleet dials itself is closed when it has
// carried nothing for a time.
//
// Everything is used from the thread that iterates GLib's default main context, and callbacks run there.

#include "carobhall/configuration.h"
#include "carobhall/membership_udp.h"
#include "carobhall/runtime.h"

namespace Carobhall
{

/// What an agent says of its upstream.
struct UpstreamStatus {
    Incarnation incarnation = 0;
    UpstreamState state = UpstreamState::Accepting;
    std::string route;          ///< Empty: the document in effect does not contain the upstream.
    std::string weightsVersion; ///< Empty for a plain service.

    bool operator==(const UpstreamStatus &) const = default;
};

/// Endpoint and document are used by reference and must outlive the fleet.
struct FleetOptions {
    ProcessSettings process;
    ProcessKind kind = ProcessKind::Entry;
    Incarnation incarnation = 0;
    std::string upstream; ///< Of an agent: its name in the document.
    Endpoint &endpoint;
    DocumentHolder &document;
    std::function<void()> onMembersChanged;   ///< The table of members has changed. May be empty.
    std::function<void(const Fact &)> onFact; ///< A fact of another kind than the document's version. May be empty.
    MembershipMechanisms mechanisms{};        ///< For tests.
    bool confirmsAfterPause = true;           ///< Off only in tests, to show what the confirmation is for.
};

class Fleet
{
public:
    explicit Fleet(FleetOptions options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Fails with std::errc::address_in_use when the UDP port of the wire address is taken. Precondition: the endpoint listens.
    std::error_code start();

    // Events of the endpoint.
    void opened(ConnectionId connection, const PeerInfo &peer);
    void closed(ConnectionId connection);
    /// Takes configuration messages and returns true for them.
    bool received(ConnectionId connection, const Message &message);

    /// Whether a document is in effect and confirmed since the start or the last pause.
    [[nodiscard]] bool mayServe() const;

    /// Tells the others about the upstream when it differs from what they know. Cheap, may be called on each tick.
    void setUpstream(const UpstreamStatus &status);
    /// A probe reply of \p peer names the version of its document.
    void recordPeerVersion(const std::string &peer, std::uint64_t version);
    /// The incarnation of the process at the other end; 0 when it is not a known member.
    [[nodiscard]] Incarnation peerIncarnation(ConnectionId connection);
    /// Sends over an open connection, or dials one. Best effort: dropped when the process is not a known member.
    void send(Incarnation peer, const Message &message);
    /// A call to the process of this incarnation failed.
    void reportFailure(Incarnation incarnation);
    /// Spreads a fact.
    void publish(const Fact &fact);
    /// Announces that this process takes no new work.
    void beginLeaving();

    /// All known processes, this one first; empty before start().
    [[nodiscard]] std::span<const Member> members() const;
    /// Calls to the platform; null without a platform address.
    [[nodiscard]] PlatformClient *platform();
    [[nodiscard]] Json::Value dump() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// The addresses in the platform's VM list: strings, or objects with "address", in an array or in its "items". Entries that are
/// leaving are left out.
[[nodiscard]] std::vector<std::string> vmAddresses(const Json::Value &list);

} // namespace Carobhall
