#pragma once

// The payload of membership datagrams and its MessagePack form.

#include "carobhall/membership.h"

namespace Carobhall
{

enum class DatagramType : std::uint8_t {
    Ping,     ///< Answered by Ack with the same sequence.
    PingReq,  ///< "Ping `target` at `address` and pass its Ack on to me."
    Ack,      ///< `target` is the member that was pinged.
    News,     ///< Rows and facts only.
    SyncAsk,  ///< `digests` of the sender's table, one for each bucket.
    SyncRows, ///< Rows of buckets that differ.
};

inline constexpr std::size_t SyncBuckets = 64; ///< By the top bits of the incarnation.

/// One row of the table as it is sent.
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
    std::uint64_t counter = 0;       ///< Counts the sender's datagrams from 1.
    std::uint64_t configVersion = 0; ///< In effect at the sender.
    std::uint64_t sequence = 0;
    Incarnation target = 0; ///< Of Ping and PingReq: who is meant, 0: whoever is at the address. Of Ack: who answered.
    std::string address;    ///< Of PingReq.
    bool introduce = false; ///< Of Ping: the Ack should carry the answerer's own row.
    bool more = false;      ///< Of SyncRows: last of a group, and further buckets differ.
    std::vector<std::uint64_t> digests;
    std::vector<WireRow> rows;
    std::vector<Fact> facts;

    MSGPACK_DEFINE(type, sender, counter, configVersion, sequence, target, address, introduce, more, digests, rows, facts)
};

/// Builds a payload of at most MaxPayloadBytes from a head and as many rows and facts as fit. Keeps its memory between uses.
class DatagramBuilder
{
public:
    /// Starts a payload; rows and facts of \p head are ignored. Precondition: the head alone fits.
    void begin(const MembershipDatagram &head);
    /// False when it does not fit.
    bool add(const WireRow &row);
    bool add(const Fact &fact);
    [[nodiscard]] std::size_t rowCount() const
    {
        return rowCount_;
    }
    /// The payload; valid until the next begin().
    [[nodiscard]] std::string_view finish();

private:
    msgpack::sbuffer head_;
    msgpack::sbuffer rows_;
    msgpack::sbuffer facts_;
    std::size_t rowCount_ = 0;
    std::size_t factCount_ = 0;
};

/// The datagram in \p payload; nothing when it is malformed or holds values out of range. Thread-safe.
[[nodiscard]] std::optional<MembershipDatagram> decodeDatagram(std::string_view payload);

} // namespace Carobhall
