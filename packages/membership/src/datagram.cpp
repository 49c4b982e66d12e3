#include "datagram.h"

#include "ensure.h"

namespace Carobhall
{

namespace
{

constexpr std::size_t HeadFields = 10;   // Of MembershipDatagram, without rows and facts.
constexpr std::size_t ArrayOverhead = 3; // Bytes of a MessagePack array's length, at most.

template<typename Value>
bool appendIfFits(const Value &value, msgpack::sbuffer &into, std::size_t used)
{
    const std::size_t before = into.size();
    msgpack::pack(into, value);
    if (used + into.size() <= MaxPayloadBytes) {
        return true;
    }
    // sbuffer cannot shrink; the tail beyond `before` is cut by copying what stays.
    const std::string kept(into.data(), before);
    into.clear();
    into.write(kept.data(), kept.size());
    return false;
}

} // namespace

void DatagramBuilder::begin(const MembershipDatagram &head)
{
    head_.clear();
    rows_.clear();
    facts_.clear();
    rowCount_ = 0;
    factCount_ = 0;
    msgpack::packer packer(head_);
    packer.pack_array(HeadFields + 2);
    packer.pack(head.type);
    packer.pack(head.sender);
    packer.pack(head.counter);
    packer.pack(head.configVersion);
    packer.pack(head.sequence);
    packer.pack(head.target);
    packer.pack(head.address);
    packer.pack(head.introduce);
    packer.pack(head.more);
    packer.pack(head.digests);
    ensure(head_.size() + 2 * ArrayOverhead <= MaxPayloadBytes, "a datagram's head fits into a datagram");
}

bool DatagramBuilder::add(const WireRow &row)
{
    const bool fits = appendIfFits(row, rows_, head_.size() + facts_.size() + 2 * ArrayOverhead);
    rowCount_ += fits ? 1 : 0;
    return fits;
}

bool DatagramBuilder::add(const Fact &fact)
{
    const bool fits = appendIfFits(fact, facts_, head_.size() + rows_.size() + 2 * ArrayOverhead);
    factCount_ += fits ? 1 : 0;
    return fits;
}

std::string_view DatagramBuilder::finish()
{
    msgpack::packer packer(head_);
    packer.pack_array(static_cast<std::uint32_t>(rowCount_));
    head_.write(rows_.data(), rows_.size());
    packer.pack_array(static_cast<std::uint32_t>(factCount_));
    head_.write(facts_.data(), facts_.size());
    ensure(head_.size() <= MaxPayloadBytes, "a datagram is at most MaxDatagramBytes long");
    return { head_.data(), head_.size() };
}

std::optional<MembershipDatagram> decodeDatagram(std::string_view payload)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(payload.data(), payload.size());
        auto datagram = handle.get().as<MembershipDatagram>();
        const bool typeKnown = datagram.type <= static_cast<std::uint8_t>(DatagramType::SyncRows);
        const bool digestsFit = datagram.digests.empty() || datagram.digests.size() == SyncBuckets;
        if (!typeKnown || !digestsFit || datagram.sender == 0) {
            return std::nullopt;
        }
        for (const WireRow &row : datagram.rows) {
            if (row.state > static_cast<std::uint8_t>(MemberState::Dead) || row.info.incarnation == 0 || row.info.address.empty()) {
                return std::nullopt;
            }
        }
        for (const Fact &fact : datagram.facts) {
            if (fact.text.size() > MaxFactTextBytes || fact.ttl < 0) {
                return std::nullopt;
            }
        }
        return datagram;
    } catch (const std::exception &) {
        // msgpack reports malformed bytes and wrong types by exceptions of several classes.
        return std::nullopt;
    }
}

} // namespace Carobhall
