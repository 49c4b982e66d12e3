#include "carobhall/leases.h"

#include <algorithm>
#include <set>

namespace Carobhall
{

namespace
{

/// Positions in a row's array.
enum RowField : Json::ArrayIndex { Holder, Order, Token, Renewal, Duration, RowFieldCount };

/// A longer duration would block a row for good after its holder crashed.
constexpr Micros MaxDuration = Micros{ 3600 } * MicrosPerSecond;

/// A slot outlasts a load that starts with loadBound left, and renewals leave a time in which that much is left.
constexpr double SlotDurationPerBound = 1.25;

std::optional<LeaseRow> decodeRow(const Json::Value &fields)
{
    const bool wellFormed = fields.isArray() && fields.size() >= RowFieldCount && fields[Holder].isString() && fields[Order].isString()
        && fields[Token].isUInt64() && fields[Renewal].isUInt64() && fields[Duration].isInt64();
    if (!wellFormed || fields[Duration].asInt64() <= 0 || fields[Duration].asInt64() > MaxDuration) {
        return std::nullopt;
    }
    return LeaseRow{
        .holder = fields[Holder].asString(),
        .order = fields[Order].asString(),
        .token = fields[Token].asUInt64(),
        .renewal = fields[Renewal].asUInt64(),
        .duration = fields[Duration].asInt64(),
    };
}

Json::Value encodeRow(const LeaseRow &row)
{
    Json::Value fields(Json::arrayValue);
    fields.append(row.holder);
    fields.append(row.order);
    fields.append(Json::UInt64{ row.token });
    fields.append(Json::UInt64{ row.renewal });
    fields.append(Json::Int64{ row.duration });
    return fields;
}

} // namespace

LeaseRequest serverLease(const std::string &server, const std::string &order)
{
    return { .name = "server-" + server, .order = order };
}

LeaseRequest loadSlot(const std::string &order, Micros loadBound)
{
    const auto duration = static_cast<Micros>(SlotDurationPerBound * static_cast<double>(loadBound));
    return { .name = "load-slots", .order = order, .capacity = LoadSlots, .duration = std::min(duration, MaxDuration), .timeout = 2 * loadBound };
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
        std::optional<LeaseRow> row = decodeRow(fields);
        if (!row) {
            return std::nullopt;
        }
        table.rows.push_back(std::move(*row));
    }
    for (const Json::Value &order : spec["done"]) {
        if (!order.isString()) {
            return std::nullopt;
        }
        table.done.push_back(order.asString());
    }
    return table;
}

Json::Value encodeLeases(const LeaseTable &table)
{
    Json::Value spec(Json::objectValue);
    spec["last_token"] = Json::UInt64{ table.lastToken };
    Json::Value &rows = spec["rows"] = Json::Value(Json::arrayValue);
    for (const LeaseRow &row : table.rows) {
        rows.append(encodeRow(row));
    }
    Json::Value &done = spec["done"] = Json::Value(Json::arrayValue);
    for (const std::string &order : table.done) {
        done.append(order);
    }
    return spec;
}

bool mayFollow(const LeaseTable &before, const LeaseTable &next, std::size_t capacity)
{
    if (next.rows.size() > capacity || next.lastToken < before.lastToken) {
        return false;
    }
    std::set<FencingToken> tokens;
    std::set<std::string> orders;
    for (const LeaseRow &row : next.rows) {
        const auto kept = std::find_if(before.rows.begin(), before.rows.end(), [&](const LeaseRow &old) { return old.token == row.token; });
        const bool sameHolder = kept != before.rows.end() && kept->holder == row.holder && kept->order == row.order;
        const bool fresh = kept == before.rows.end() && row.token > before.lastToken && row.token <= next.lastToken;
        if ((!sameHolder && !fresh) || !tokens.insert(row.token).second || !orders.insert(row.order).second) {
            return false;
        }
    }
    return true;
}

} // namespace Carobhall
