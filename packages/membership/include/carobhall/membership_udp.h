#pragma once

// Runs a Membership over UDP sockets in a GMainContext.
//
//     MembershipUdp udp({.context = context, .keys = keys, .membership = {.self = info, .seeds = ...}});
//     if (auto error = udp.start("10.0.0.2:7101")) ...
//     udp.membership().members()
//
// Each datagram is encrypted and authenticated with a fleet key (XChaCha20-Poly1305 with a random nonce). It consists of the
// key identifier, the nonce and the ciphertext. Datagrams with an unknown key and datagrams that fail authentication are counted
// and dropped. Replayed datagrams are recognized by the sender's counter and dropped. A replayed datagram of a process that is
// not in the table can at most add a row, which is then probed, does not answer and is declared dead.
//
// Not thread-safe: use it from the thread that iterates the context.

#include "carobhall/membership.h"

namespace Carobhall
{

struct MembershipUdpOptions {
    GMainContext *context = nullptr; ///< Must outlive the MembershipUdp. Null: the default context.
    FleetKeys keys{};                ///< At least one. The first key seals datagrams; every key can open them.
    MembershipOptions membership{};  ///< `send` is set by MembershipUdp. self.address may end in ":0" before start().
    Micros tickPeriod = 50 * MicrosPerMilli;
};

class MembershipUdp
{
public:
    explicit MembershipUdp(MembershipUdpOptions options);
    ~MembershipUdp();
    MembershipUdp(const MembershipUdp &) = delete;
    MembershipUdp &operator=(const MembershipUdp &) = delete;

    /// Binds the socket to \p address ("ip:port") and starts the protocol. Port 0 selects a free port. If self.address is empty
    /// or ends in ":0", it is set to the bound address. Precondition: not started.
    std::error_code start(const std::string &address);

    /// Precondition: start() succeeded.
    [[nodiscard]] Membership &membership();

    /// The bound UDP port; 0 before start().
    [[nodiscard]] std::uint16_t port() const;

    /// Received datagrams that failed authentication, plus datagrams that could not be sent because of an invalid address.
    [[nodiscard]] std::uint64_t rejectedDatagrams() const;

    /// Replaces the fleet keys. Precondition: at least one key.
    void setKeys(FleetKeys keys);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Encrypts and authenticates \p payload with the first key. Thread-safe.
[[nodiscard]] std::string sealDatagram(std::string_view payload, const FleetKeys &keys);
/// Returns the payload of a sealed datagram, or nothing if authentication fails. Thread-safe.
[[nodiscard]] std::optional<std::string> openDatagram(std::string_view sealed, const FleetKeys &keys);

} // namespace Carobhall
