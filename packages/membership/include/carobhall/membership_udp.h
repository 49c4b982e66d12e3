#pragma once

// Runs a Membership over UDP in a GMainContext.
//
//     MembershipUdp udp({.context = context, .keys = keys, .membership = {.self = info, .seeds = ...}});
//     if (auto error = udp.start("10.0.0.2:7101")) ...
//     udp.membership().members()
//
// Each datagram is encrypted and authenticated with a fleet key (XChaCha20-Poly1305 with a random nonce): key identifier,
// nonce, ciphertext. Datagrams of unknown keys or that do not verify are counted and dropped. A replayed datagram is dropped
// by the sender's counter, or, from a process that is not in the table, adds at most a row that is probed and dies.
//
// Not thread-safe: use it from the thread that iterates the context.

#include "carobhall/membership.h"

namespace Carobhall
{

struct MembershipUdpOptions {
    GMainContext *context = nullptr; ///< Must outlive the object; null: the default context.
    FleetKeys keys{};                ///< At least one. The first seals, all open.
    MembershipOptions membership{};  ///< `send` is set by the driver; self.address may end in ":0" until start().
    Micros tickPeriod = 50 * MicrosPerMilli;
};

class MembershipUdp
{
public:
    explicit MembershipUdp(MembershipUdpOptions options);
    ~MembershipUdp();
    MembershipUdp(const MembershipUdp &) = delete;
    MembershipUdp &operator=(const MembershipUdp &) = delete;

    /// Binds \p address, "ip:port", and starts. Port 0 takes a free one. When self.address ends in ":0", it becomes the bound address.
    /// Precondition: not started.
    std::error_code start(const std::string &address);

    /// Precondition: start() succeeded.
    [[nodiscard]] Membership &membership();

    [[nodiscard]] std::uint16_t port() const;

    /// Datagrams that did not verify.
    [[nodiscard]] std::uint64_t rejectedDatagrams() const;

    /// Replaces the keys. Precondition: at least one key.
    void setKeys(FleetKeys keys);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Seals \p payload with the first key. Thread-safe.
[[nodiscard]] std::string sealDatagram(std::string_view payload, const FleetKeys &keys);
/// The payload of a sealed datagram, or nothing when it does not verify. Thread-safe.
[[nodiscard]] std::optional<std::string> openDatagram(std::string_view sealed, const FleetKeys &keys);

} // namespace Carobhall
