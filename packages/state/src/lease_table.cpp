#include "carobhall/leases.h"

#include <algorithm>
#include <set>

namespace Carobhall
{

namespace
{

/// Positions in the array that encodes a record.
enum RecordField : Json::ArrayIndex { Holder, Order, Token, Renewal, Duration, RecordFieldCount };

/// Limits how long a record stays taken after its holder crashed.
constexpr Micros MaxDuration = Micros{ 3600 } * MicrosPerSecond;

/// Duration of a load slot relative to the maximum load time. It leaves time after each renewal in which a load can start with the
/// full maximum load time remaining on the lease.
constexpr double SlotDurationRatio = 1.25;

std::optional<LeaseRecord> decodeRecord(const Json::Value &fields)
{
    const bool wellFormed = fields.isArray() && fields.size() >= RecordFieldCount && fields[Holder].isString() && fields[Order].isString()
        && fields[Token].isUInt64() && fields[Renewal].isUInt64() && fields[Duration].isInt64();
    if (!wellFormed || fields[Duration].asInt64() <= 0 || fields[Duration].asInt64() > MaxDuration) {
        return std::nullopt;
    }
    return LeaseRecord{
        .holder = fields[Holder].asString(),
        .order = fields[Order].asString(),
        .token = fields[Token].asUInt64(),
        .renewal = fields[Renewal].asUInt64(),
        .duration = fields[Duration].asInt64(),
    };
}

Json::Value encodeRecord(const LeaseRecord &record)
{
    Json::Value fields(Json::arrayValue);
    fields.append(record.holder);
    fields.append(record.order);
    fields.append(Json::UInt64{ record.token });
    fields.append(Json::UInt64{ record.renewal });
    fields.append(Json::Int64{ record.duration });
    return fields;
}

} // namespace

LeaseRequest serverLease(const std::string &server, const std::string &order)
{
    return { .name = "server-" + server, .order = order };
}

LeaseRequest loadSlotLease(const std::string &order, Micros maxLoadTime)
{
    const auto duration = static_cast<Micros>(SlotDurationRatio * static_cast<double>(maxLoadTime));
    return { .name = "load-slots", .order = order, .capacity = LoadSlotCount, .duration = std::min(duration, MaxDuration), .timeout = 2 * maxLoadTime };
}

std::string leaseObjectName(const std::string &environment, const std::string &lease)
{
    return environment + "-" + lease;
}

std::optional<LeaseTable> decodeLeases(const Json::Value &spec)
{
    if (!spec.isObject() || !spec["last_token"].isUInt64() || !spec["rows"].isArray() || !spec["done"].isArray()) {
        return std::nullopt;
    }
    LeaseTable table;
    table.lastToken = spec["last_token"].asUInt64();
    for (const Json::Value &fields : spec["rows"]) {
        std::optional<LeaseRecord> record = decodeRecord(fields);
        if (!record) {
            return std::nullopt;
        }
        table.records.push_back(std::move(*record));
    }
    for (const Json::Value &order : spec["done"]) {
        if (!order.isString()) {
            return std::nullopt;
        }
        table.finishedOrders.push_back(order.asString());
    }
    return table;
}

Json::Value encodeLeases(const LeaseTable &table)
{
    Json::Value spec(Json::objectValue);
    spec["last_token"] = Json::UInt64{ table.lastToken };
    Json::Value &records = spec["rows"] = Json::Value(Json::arrayValue);
    for (const LeaseRecord &record : table.records) {
        records.append(encodeRecord(record));
    }
    Json::Value &done = spec["done"] = Json::Value(Json::arrayValue);
    for (const std::string &order : table.finishedOrders) {
        done.append(order);
    }
    return spec;
}

bool isValidTransition(const LeaseTable &before, const LeaseTable &next, std::size_t capacity)
{
    if (next.records.size() > capacity || next.lastToken < before.lastToken) {
        return false;
    }
    std::set<FencingToken> tokens;
    std::set<std::string> orders;
    for (const LeaseRecord &record : next.records) {
        const auto previous = std::find_if(before.records.begin(), before.records.end(), [&](const LeaseRecord &old) { return old.token == record.token; });
        const bool sameHolder = previous != before.records.end() && previous->holder == record.holder && previous->order == record.order;
        const bool fresh = previous == before.records.end() && record.token > before.lastToken && record.token <= next.lastToken;
        if ((!sameHolder && !fresh) || !tokens.insert(record.token).second || !orders.insert(record.order).second) {
            return false;
        }
    }
    return true;
}

} // namespace Carobhall
