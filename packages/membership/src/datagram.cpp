#include "datagram.h"

#include "ensure.h"

namespace Carobhall
{

namespace
{

constexpr std::size_t HeaderFieldCount = 10;   // Fields of MembershipDatagram, without rows and facts.
constexpr std::size_t MaxArrayHeaderBytes = 3; // A MessagePack array header has 1 or 3 bytes at this size.

template<typename Value>
bool appendIfFits(const Value &value, msgpack::sbuffer &into, std::size_t used)
{
    const std::size_t before = into.size();
    msgpack::pack(into, value);
    if (used + into.size() <= MaxPayloadBytes) {
        return true;
    }
    // sbuffer cannot be truncated, so the bytes up to the previous size are copied out and written back.
    const std::string kept(into.data(), before);
    into.clear();
    into.write(kept.data(), kept.size());
    return false;
}

} // namespace

void DatagramBuilder::begin(const MembershipDatagram &header)
{
    header_.clear();
    rows_.clear();
    facts_.clear();
    rowCount_ = 0;
    factCount_ = 0;
    msgpack::packer packer(header_);
    packer.pack_array(HeaderFieldCount + 2);
    packer.pack(header.type);
    packer.pack(header.sender);
    packer.pack(header.counter);
    packer.pack(header.configVersion);
    packer.pack(header.sequence);
    packer.pack(header.target);
    packer.pack(header.address);
    packer.pack(header.requestRow);
    packer.pack(header.more);
    packer.pack(header.digests);
    ensure(header_.size() + 2 * MaxArrayHeaderBytes <= MaxPayloadBytes, "a datagram's header fits into a datagram");
}

bool DatagramBuilder::add(const WireRow &row)
{
    const bool fits = appendIfFits(row, rows_, header_.size() + facts_.size() + 2 * MaxArrayHeaderBytes);
    rowCount_ += fits ? 1 : 0;
    return fits;
}

bool DatagramBuilder::add(const Fact &fact)
{
    const bool fits = appendIfFits(fact, facts_, header_.size() + rows_.size() + 2 * MaxArrayHeaderBytes);
    factCount_ += fits ? 1 : 0;
    return fits;
}

std::string_view DatagramBuilder::finish()
{
    msgpack::packer packer(header_);
    packer.pack_array(static_cast<std::uint32_t>(rowCount_));
    header_.write(rows_.data(), rows_.size());
    packer.pack_array(static_cast<std::uint32_t>(factCount_));
    header_.write(facts_.data(), facts_.size());
    ensure(header_.size() <= MaxPayloadBytes, "a payload has at most MaxPayloadBytes bytes");
    return { header_.data(), header_.size() };
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
        // msgpack throws exceptions of several classes for malformed bytes and wrong types.
        return std::nullopt;
    }
}

} // namespace Carobhall
