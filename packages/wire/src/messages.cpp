#include "carobhall/messages.h"

namespace Carobhall
{

namespace
{

/// Limit of the decoder. The messages themselves are nested at most 4 levels deep.
constexpr std::size_t MaxDepth = 8;

template<typename Enum>
bool inRange(std::uint8_t value)
{
    return value < EnumNames<Enum>::rows.size();
}

/// Whether all enum values in the fields of a message are in range.
template<typename Fields>
bool hasValidEnums(const Fields &)
{
    return true;
}

bool hasValidEnums(const ProbeReply &reply)
{
    return inRange<UpstreamState>(reply.state) && inRange<Suspicion>(reply.suspicion);
}

bool hasValidEnums(const Refused &refused)
{
    return inRange<Verdict>(refused.verdict);
}

bool hasValidEnums(const End &end)
{
    return inRange<Verdict>(end.verdict);
}

template<std::size_t Index = 0>
std::optional<Message> decodeAs(std::size_t type, const msgpack::object &fields)
{
    if constexpr (Index < std::variant_size_v<Message>) {
        if (type != Index) {
            return decodeAs<Index + 1>(type, fields);
        }
        std::variant_alternative_t<Index, Message> message;
        fields.convert(message);
        if (!hasValidEnums(message)) {
            return std::nullopt;
        }
        return Message(std::in_place_index<Index>, std::move(message));
    } else {
        return std::nullopt;
    }
}

} // namespace

std::string encode(const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(message.index()));
    std::visit([&packer](const auto &fields) { packer.pack(fields); }, message);
    return { buffer.data(), buffer.size() };
}

std::optional<Message> decode(std::string_view bytes)
{
    // The limits prevent a forged length field from allocating more than the input could contain.
    const msgpack::unpack_limit limit(bytes.size(), bytes.size(), bytes.size(), bytes.size(), bytes.size(), MaxDepth);
    try {
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        const msgpack::object &root = handle.get();
        if (offset != bytes.size() || root.type != msgpack::type::ARRAY || root.via.array.size != 2) {
            return std::nullopt;
        }
        if (root.via.array.ptr[1].type != msgpack::type::ARRAY) {
            return std::nullopt;
        }
        return decodeAs(root.via.array.ptr[0].as<std::uint32_t>(), root.via.array.ptr[1]);
    } catch (const std::exception &) {
        // msgpack throws on malformed input, type mismatches and exceeded limits.
        return std::nullopt;
    }
}

} // namespace Carobhall
