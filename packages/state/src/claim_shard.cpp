#include "carobhall/claims.h"

#include <charconv>
#include <sodium.h>

namespace Carobhall
{

namespace
{

constexpr std::size_t DigestBytes = 16;

/// Positions in the array that encodes a record.
enum RecordField : Json::ArrayIndex { Holder, Sequence, RequestDigest, KeyTimeMillis, ClaimedAtMillis, Status, BodyKept, ContentType, Body, RecordFieldCount };

/// Upper bound of the bytes of a record besides its request digest, content type and body.
constexpr std::size_t RecordOverheadBytes = 160;
constexpr std::size_t TombstoneBytes = 2 * DigestBytes + 6;
constexpr std::size_t ShardOverheadBytes = 128;

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

std::optional<ClaimRecord> decodeRecord(const Json::Value &fields)
{
    const bool wellFormed = fields.isArray() && fields.size() >= RecordFieldCount && fields[Holder].isString() && fields[Sequence].isUInt64()
        && fields[RequestDigest].isString() && fields[KeyTimeMillis].isInt64() && fields[ClaimedAtMillis].isInt64() && fields[Status].isInt()
        && fields[BodyKept].isBool() && fields[ContentType].isString() && fields[Body].isString();
    if (!wellFormed) {
        return std::nullopt;
    }
    std::optional<std::string> body = fromBase64(fields[Body].asString());
    if (!body) {
        return std::nullopt;
    }
    return ClaimRecord{
        .holder = fields[Holder].asString(),
        .sequence = fields[Sequence].asUInt64(),
        .requestDigest = fields[RequestDigest].asString(),
        .keyTimeMillis = fields[KeyTimeMillis].asInt64(),
        .claimedAtMillis = fields[ClaimedAtMillis].asInt64(),
        .status = fields[Status].asInt(),
        .bodyKept = fields[BodyKept].asBool(),
        .contentType = fields[ContentType].asString(),
        .body = std::move(*body),
    };
}

Json::Value encodeRecord(const ClaimRecord &record)
{
    Json::Value fields(Json::arrayValue);
    fields.append(record.holder);
    fields.append(Json::UInt64{ record.sequence });
    fields.append(record.requestDigest);
    fields.append(Json::Int64{ record.keyTimeMillis });
    fields.append(Json::Int64{ record.claimedAtMillis });
    fields.append(record.status);
    fields.append(record.bodyKept);
    fields.append(record.contentType);
    fields.append(toBase64(record.body));
    return fields;
}

} // namespace

std::string claimDigest(const ClaimKey &key)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, DigestBytes);
    for (const std::string *part : { &key.account, &key.service, &key.key }) {
        // The length prefix distinguishes ("ab", "c") from ("a", "bc").
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

std::optional<std::int64_t> uuidTimeMillis(std::string_view key)
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
    shard.droppedUpToMillis = spec["dropped_up_to"].asInt64();
    const Json::Value &records = spec["rows"];
    for (auto it = records.begin(); it != records.end(); ++it) {
        std::optional<ClaimRecord> record = decodeRecord(*it);
        if (!record) {
            return std::nullopt;
        }
        shard.records.emplace(it.name(), std::move(*record));
    }
    const Json::Value &tombstones = spec["spent"];
    for (auto it = tombstones.begin(); it != tombstones.end(); ++it) {
        shard.tombstones.emplace(it.name(), it->isInt() && it->asInt() == 1);
    }
    return shard;
}

Json::Value encodeShard(const ClaimShard &shard)
{
    Json::Value spec(Json::objectValue);
    Json::Value &records = spec["rows"] = Json::Value(Json::objectValue);
    for (const auto &[digest, record] : shard.records) {
        records[digest] = encodeRecord(record);
    }
    Json::Value &tombstones = spec["spent"] = Json::Value(Json::objectValue);
    for (const auto &[digest, ran] : shard.tombstones) {
        tombstones[digest] = ran ? 1 : 0;
    }
    spec["dropped_up_to"] = Json::Int64{ shard.droppedUpToMillis };
    return spec;
}

std::size_t shardBytes(const ClaimShard &shard)
{
    std::size_t bytes = ShardOverheadBytes + shard.tombstones.size() * TombstoneBytes;
    for (const auto &[digest, record] : shard.records) {
        // JSON escapes a byte of the content type with at most six characters. Base64 encodes three bytes as four characters.
        bytes += RecordOverheadBytes + record.requestDigest.size() + 6 * record.contentType.size() + record.body.size() * 4 / 3 + 4;
    }
    return bytes;
}

} // namespace Carobhall
