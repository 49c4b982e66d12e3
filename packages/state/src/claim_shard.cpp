#include "carobhall/claims.h"

#include <charconv>
#include <sodium.h>

namespace Carobhall
{

namespace
{

constexpr std::size_t DigestBytes = 16;

/// Positions in a row's array.
enum RowField : Json::ArrayIndex { Holder, Number, Request, KeyMillis, ClaimMillis, Status, BodyKept, ContentType, Body, RowFieldCount };

/// Bytes of a row's punctuation, numbers and names, with room to spare.
constexpr std::size_t RowOverhead = 160;
constexpr std::size_t SpentBytes = 2 * DigestBytes + 6;
constexpr std::size_t ShardOverhead = 128;

std::string toBase64(std::string_view bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), sodium_base64_VARIANT_ORIGINAL);
    text.pop_back();
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t length = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()), bytes.size(), text.data(), text.size(), nullptr, &length, nullptr,
                          sodium_base64_VARIANT_ORIGINAL)
        != 0) {
        return std::nullopt;
    }
    bytes.resize(length);
    return bytes;
}

std::optional<ClaimRow> decodeRow(const Json::Value &fields)
{
    const bool wellFormed = fields.isArray() && fields.size() >= RowFieldCount && fields[Holder].isString() && fields[Number].isUInt64()
        && fields[Request].isString() && fields[KeyMillis].isInt64() && fields[ClaimMillis].isInt64() && fields[Status].isInt() && fields[BodyKept].isBool()
        && fields[ContentType].isString() && fields[Body].isString();
    if (!wellFormed) {
        return std::nullopt;
    }
    std::optional<std::string> body = fromBase64(fields[Body].asString());
    if (!body) {
        return std::nullopt;
    }
    return ClaimRow{
        .holder = fields[Holder].asString(),
        .number = fields[Number].asUInt64(),
        .request = fields[Request].asString(),
        .keyMillis = fields[KeyMillis].asInt64(),
        .claimMillis = fields[ClaimMillis].asInt64(),
        .status = fields[Status].asInt(),
        .bodyKept = fields[BodyKept].asBool(),
        .contentType = fields[ContentType].asString(),
        .body = std::move(*body),
    };
}

Json::Value encodeRow(const ClaimRow &row)
{
    Json::Value fields(Json::arrayValue);
    fields.append(row.holder);
    fields.append(Json::UInt64{ row.number });
    fields.append(row.request);
    fields.append(Json::Int64{ row.keyMillis });
    fields.append(Json::Int64{ row.claimMillis });
    fields.append(row.status);
    fields.append(row.bodyKept);
    fields.append(row.contentType);
    fields.append(toBase64(row.body));
    return fields;
}

} // namespace

std::string claimDigest(const ClaimKey &key)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, DigestBytes);
    for (const std::string *part : { &key.account, &key.service, &key.key }) {
        // The length in front keeps ("ab", "c") and ("a", "bc") apart.
        const std::uint64_t length = part->size();
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&length), sizeof(length));
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(part->data()), part->size());
    }
    std::array<unsigned char, DigestBytes> digest{};
    crypto_generichash_final(&state, digest.data(), digest.size());
    std::string text(2 * DigestBytes + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    text.pop_back();
    return text;
}

std::size_t shardOf(const std::string &digest)
{
    unsigned value = 0;
    std::from_chars(digest.data(), digest.data() + 2, value, 16);
    return value % ClaimShards;
}

std::string shardName(const std::string &environment, std::size_t shard)
{
    return environment + "-" + std::to_string(shard);
}

std::optional<std::int64_t> uuidMillis(std::string_view key)
{
    constexpr std::string_view form = "xxxxxxxx-xxxx-7xxx-vxxx-xxxxxxxxxxxx";
    constexpr std::string_view variants = "89abAB";
    constexpr std::string_view hexadecimal = "0123456789abcdefABCDEF";
    if (key.size() != form.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < form.size(); ++i) {
        const char found = key[i];
        const bool fits = form[i] == 'x' ? hexadecimal.find(found) != std::string_view::npos
            : form[i] == 'v'             ? variants.find(found) != std::string_view::npos
                                         : found == form[i];
        if (!fits) {
            return std::nullopt;
        }
    }
    const std::string digits = std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    std::int64_t millis = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), millis, 16);
    return millis;
}

std::optional<ClaimShard> decodeShard(const Json::Value &spec)
{
    const bool wellFormed = spec.isObject() && spec["rows"].isObject() && spec["spent"].isObject() && spec["dropped_up_to"].isInt64();
    if (!wellFormed) {
        return std::nullopt;
    }
    ClaimShard shard;
    shard.droppedUpTo = spec["dropped_up_to"].asInt64();
    const Json::Value &rows = spec["rows"];
    for (auto it = rows.begin(); it != rows.end(); ++it) {
        std::optional<ClaimRow> row = decodeRow(*it);
        if (!row) {
            return std::nullopt;
        }
        shard.rows.emplace(it.name(), std::move(*row));
    }
    const Json::Value &spent = spec["spent"];
    for (auto it = spent.begin(); it != spent.end(); ++it) {
        shard.spent.emplace(it.name(), it->isInt() && it->asInt() == 1);
    }
    return shard;
}

Json::Value encodeShard(const ClaimShard &shard)
{
    Json::Value spec(Json::objectValue);
    Json::Value &rows = spec["rows"] = Json::Value(Json::objectValue);
    for (const auto &[digest, row] : shard.rows) {
        rows[digest] = encodeRow(row);
    }
    Json::Value &spent = spec["spent"] = Json::Value(Json::objectValue);
    for (const auto &[digest, ran] : shard.spent) {
        spent[digest] = ran ? 1 : 0;
    }
    spec["dropped_up_to"] = Json::Int64{ shard.droppedUpTo };
    return spec;
}

std::size_t shardBytes(const ClaimShard &shard)
{
    std::size_t bytes = ShardOverhead + shard.spent.size() * SpentBytes;
    for (const auto &[digest, row] : shard.rows) {
        // JSON escapes a byte of the content type with at most six characters; base64 takes four for three.
        bytes += RowOverhead + row.request.size() + 6 * row.contentType.size() + row.body.size() * 4 / 3 + 4;
    }
    return bytes;
}

} // namespace Carobhall
