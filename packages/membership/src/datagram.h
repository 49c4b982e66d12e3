#pragma once

// The payload of membership datagrams and its MessagePack encoding.

#include "carobhall/membership.h"

namespace Carobhall
{

enum class DatagramType : std::uint8_t {
    Ping,        ///< Answered by an Ack with the same sequence number.
    PingReq,     ///< Asks the receiver to ping `target` at `address` and to forward the Ack to the sender.
    Ack,         ///< Answers a Ping. `target` is the member that was pinged.
    Gossip,      ///< Carries only rows and facts.
    SyncRequest, ///< Requests the rows that differ. `digests` holds the digests of the sender's table, one for each bucket.
    SyncRows,    ///< Answers a SyncRequest with the rows of the buckets that differ.
};

inline constexpr std::size_t SyncBuckets = 64; ///< Rows are assigned to buckets by the top bits of the incarnation.

/// A row of the membership table in its wire format.
struct WireRow {
    MemberInfo info;
    std::uint8_t state = 0; ///< A MemberState.
    bool leaving = false;
    std::uint32_t revision = 0;

    MSGPACK_DEFINE(info, state, leaving, revision)
};

struct MembershipDatagram {
    std::uint8_t type = 0; ///< A DatagramType.
    Incarnation sender = 0;
    std::uint64_t counter = 0;       ///< Number of this datagram, counted from 1 by the sender.
    std::uint64_t configVersion = 0; ///< Configuration version in effect at the sender.
    std::uint64_t sequence = 0;      ///< Matches an Ack with its Ping.
    Incarnation target = 0;          ///< Ping, PingReq: the member to ping; 0: any process at the address. Ack: the member that answered.
    std::string address;             ///< PingReq: address of the member to ping.
    bool requestRow = false;         ///< Ping: the Ack must contain the responder's own row.
    bool more = false;               ///< SyncRows: last datagram of a full group; the requester must ask again for the remaining rows.
    std::vector<std::uint64_t> digests;
    std::vector<WireRow> rows;
    std::vector<Fact> facts;

    MSGPACK_DEFINE(type, sender, counter, configVersion, sequence, target, address, requestRow, more, digests, rows, facts)
};

/// Builds a payload of at most MaxPayloadBytes from a header and as many rows and facts as fit. Reuses its buffers.
class DatagramBuilder
{
public:
    /// Starts a payload. Rows and facts in \p header are ignored. Precondition: the header alone fits.
    void begin(const MembershipDatagram &header);
    /// Appends a row or fact. Returns false, and changes nothing, if it does not fit.
    bool add(const WireRow &row);
    bool add(const Fact &fact);
    [[nodiscard]] std::size_t rowCount() const
    {
        return rowCount_;
    }
    /// Completes the payload. The result is valid until the next begin().
    [[nodiscard]] std::string_view finish();

private:
    msgpack::sbuffer header_;
    msgpack::sbuffer rows_;
    msgpack::sbuffer facts_;
    std::size_t rowCount_ = 0;
    std::size_t factCount_ = 0;
};

/// Decodes \p payload. Returns nothing if it is malformed or contains values out of range. Thread-safe.
[[nodiscard]] std::optional<MembershipDatagram> decodeDatagram(std::string_view payload);

} // namespace Carobhall
