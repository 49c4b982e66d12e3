#include "json_reader.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

constexpr Range<std::uint32_t> SlotRange{ 1, 100'000 };
constexpr Range<std::uint64_t> CacheBlockRange{ 0, 1'000'000'000'000 };
constexpr Range<std::uint32_t> ConcurrencyRange{ 0, 1'000'000 };
constexpr Range<double> MegabitRange{ 0.001, 10'000'000.0 };
constexpr Range<double> PriceRange{ 0.0, 1'000'000.0 };
constexpr Range<double> FloorRange{ 0.0, 1.0 };
constexpr Range<double> ShareRange{ 0.001, 1'000'000.0 };
constexpr Range<double> TokenRateRange{ 0.0, 1'000'000'000.0 };
constexpr double BitsPerMegabit = 1'000'000.0;
/// Floors such as 0.7 and 0.3 do not add up to exactly 1 in binary.
constexpr double SumTolerance = 1e-9;
constexpr std::size_t DigestDigits = 64;
constexpr std::array<std::string_view, 6> Methods{ "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };

/// Names seen so far, to refuse duplicates and dangling references.
struct Names {
    std::set<std::string> regions;
    std::set<std::string> zones;
    std::set<std::string> links;
    std::set<std::string> upstreams; ///< Model servers, plain servers and KV stores share one space of names.
    std::set<std::string> models;
    std::set<std::string> services;
    std::set<std::string> routes;
    std::set<std::string> accounts;
    std::set<std::string> keyDigests;
};

std::string linkKey(const std::string &a, const std::string &b)
{
    return std::min(a, b) + " " + std::max(a, b);
}

void readRegions(ObjectReader &root, EnvironmentDocument &document, Names &names)
{
    root.objects("regions", Presence::Required, [&](ObjectReader &item) {
        RegionSpec &region = document.regions.emplace_back();
        item.name("name", region.name);
        item.unique("name", region.name, names.regions);
    });
    if (document.regions.empty()) {
        root.fail("regions", "expected at least one region");
    }
    root.objects("zones", Presence::Required, [&](ObjectReader &item) {
        ZoneSpec &zone = document.zones.emplace_back();
        item.name("name", zone.name);
        item.unique("name", zone.name, names.zones);
        item.name("region", zone.region);
        item.reference("region", zone.region, names.regions, "a region");
    });
    if (document.zones.empty()) {
        root.fail("zones", "expected at least one availability zone");
    }
}

void readLink(ObjectReader &item, LinkSpec &link, Names &names)
{
    item.name("from", link.from);
    item.reference("from", link.from, names.regions, "a region");
    item.name("to", link.to);
    item.reference("to", link.to, names.regions, "a region");
    item.millis("latencyMs", link.latency, AnyMillis, Presence::Required);
    double megabits = 0.0;
    item.number("megabitsPerSecond", megabits, MegabitRange, Presence::Required);
    link.bitsPerSecond = static_cast<std::int64_t>(megabits * BitsPerMegabit);
    item.number("pricePerGigabyte", link.pricePerGigabyte, PriceRange, Presence::Optional);
    if (link.from.empty() || link.to.empty()) {
        return;
    }
    if (link.from == link.to) {
        item.fail("to", "expected another region than \"" + link.from + "\"");
    } else if (!names.links.insert(linkKey(link.from, link.to)).second) {
        item.fail("", "expected one link for each pair of regions, found another one between \"" + link.from + "\" and \"" + link.to + "\"");
    }
}

void readLinks(ObjectReader &root, EnvironmentDocument &document, Names &names)
{
    root.objects("links", Presence::Optional, [&](ObjectReader &item) { readLink(item, document.links.emplace_back(), names); });
    // Without a link a remote region would look as near as the own one.
    for (auto a = names.regions.begin(); a != names.regions.end(); ++a) {
        for (auto b = std::next(a); b != names.regions.end(); ++b) {
            if (!names.links.contains(linkKey(*a, *b))) {
                root.fail("links", "expected a link between \"" + *a + "\" and \"" + *b + "\"");
            }
        }
    }
}

void readRank(ObjectReader &item, RankSpec &rank)
{
    item.number("floor", rank.floor, FloorRange, Presence::Required);
    item.millis("firstTokenTargetMs", rank.firstTokenTarget, PositiveMillis, Presence::Required);
    item.millis("betweenTokensTargetMs", rank.betweenTokensTarget, PositiveMillis, Presence::Required);
    item.millis("deadlineMs", rank.deadline, PositiveMillis, Presence::Required);
    if (rank.deadline > 0 && rank.firstTokenTarget > rank.deadline) {
        item.fail("firstTokenTargetMs", "expected at most deadlineMs, because a request that misses its deadline is not started");
    }
}

void readRanks(ObjectReader &root, EnvironmentDocument &document)
{
    root.object("ranks", Presence::Required, [&](ObjectReader &ranks) {
        double sum = 0.0;
        for (std::size_t i = 0; i < RankCount; ++i) {
            RankSpec &rank = document.ranks[i];
            ranks.object(EnumNames<Rank>::rows[i].name.data(), Presence::Required, [&](ObjectReader &item) { readRank(item, rank); });
            sum += rank.floor;
        }
        if (sum > 1.0 + SumTolerance) {
            ranks.fail("", "expected floors that add up to at most 1");
        }
    });
}

void readModelServer(ObjectReader &item, ModelServerSpec &server, Names &names)
{
    item.name("name", server.name);
    item.unique("name", server.name, names.upstreams);
    item.name("zone", server.zone);
    item.reference("zone", server.zone, names.zones, "an availability zone");
    item.name("model", server.model);
    names.models.insert(server.model);
    item.name("weightsVersion", server.weightsVersion);
    item.names("adapters", server.adapters);
    item.integer("slots", server.slots, SlotRange, Presence::Required);
    item.integer("cacheBlocks", server.cacheBlocks, CacheBlockRange, Presence::Required);
    item.boolean("checksFencing", server.checksFencing);
}

void readRoute(ObjectReader &item, RouteSpec &route, Names &names)
{
    item.text("method", route.method);
    if (!route.method.empty() && std::find(Methods.begin(), Methods.end(), route.method) == Methods.end()) {
        item.fail("method", "expected one of GET, HEAD, POST, PUT, PATCH, DELETE, found \"" + route.method + "\"");
    }
    item.text("path", route.path);
    if (!route.path.empty() && !route.path.starts_with('/')) {
        item.fail("path", "expected a path that starts with '/'");
    }
    if (route.path.starts_with("/v1/")) {
        item.fail("path", "expected a path outside /v1/, which belongs to the models");
    }
    if (route.path == "/") {
        item.fail("path", "expected a path below '/'");
    }
    item.unique("path", route.path.empty() ? "" : route.method + " " + route.path, names.routes);
    item.boolean("repeatable", route.repeatable, Presence::Required);
}

void readService(ObjectReader &item, PlainServiceSpec &service, Names &names)
{
    item.name("name", service.name);
    item.unique("name", service.name, names.services);
    // Requests are routed by model or by service name, so the two must differ.
    if (names.models.contains(service.name)) {
        item.fail("name", "expected a name that no model has, found \"" + service.name + "\"");
    }
    item.objects("routes", Presence::Required, [&](ObjectReader &route) { readRoute(route, service.routes.emplace_back(), names); });
    item.objects("servers", Presence::Required, [&](ObjectReader &entry) {
        PlainServerSpec &server = service.servers.emplace_back();
        entry.name("name", server.name);
        entry.unique("name", server.name, names.upstreams);
        entry.name("zone", server.zone);
        entry.reference("zone", server.zone, names.zones, "an availability zone");
        entry.integer("slots", server.slots, SlotRange, Presence::Required);
    });
}

void readAccount(ObjectReader &item, AccountSpec &account, Names &names)
{
    item.name("name", account.name);
    item.unique("name", account.name, names.accounts);
    item.texts("keyDigests", Presence::Required, [&](const std::string &digest, const Json::Value &value, const std::string &path) {
        if (!isHex(digest, DigestDigits)) {
            item.source().fail(value, path, "expected a BLAKE2b-256 digest of 64 lower-case hexadecimal digits, as carobhall digest prints it");
        } else if (!names.keyDigests.insert(digest).second) {
            item.source().fail(value, path, "expected a key that occurs once, found it again");
        }
        account.keyDigests.push_back(digest);
    });
    item.choice("rank", account.rank, Presence::Required);
    item.number("share", account.share, ShareRange, Presence::Optional);
    item.integer("maxConcurrent", account.maxConcurrent, ConcurrencyRange, Presence::Optional);
    item.number("tokensPerSecond", account.tokensPerSecond, TokenRateRange, Presence::Optional);
}

void readKvStore(ObjectReader &item, KvStoreSpec &store, Names &names)
{
    item.name("name", store.name);
    item.unique("name", store.name, names.upstreams);
    item.name("zone", store.zone);
    item.reference("zone", store.zone, names.zones, "an availability zone");
    item.address("address", store.address, PortRule::Fixed, Presence::Required);
}

} // namespace

ParsedDocument parseDocument(std::string_view text, std::string_view file, UnknownFields unknown)
{
    ParsedDocument parsed;
    JsonSource source(text, file, unknown);
    if (source.parse()) {
        EnvironmentDocument &document = parsed.document;
        Names names;
        ObjectReader root = source.root();
        root.name("name", document.name);
        readRegions(root, document, names);
        readLinks(root, document, names);
        readRanks(root, document);
        root.objects("modelServers", Presence::Optional, [&](ObjectReader &item) { readModelServer(item, document.modelServers.emplace_back(), names); });
        root.objects("services", Presence::Optional, [&](ObjectReader &item) { readService(item, document.services.emplace_back(), names); });
        root.objects("accounts", Presence::Optional, [&](ObjectReader &item) { readAccount(item, document.accounts.emplace_back(), names); });
        root.objects("kvStores", Presence::Optional, [&](ObjectReader &item) { readKvStore(item, document.kvStores.emplace_back(), names); });
        root.finish();
    }
    parsed.errors = std::move(source.errors());
    parsed.warnings = std::move(source.warnings());
    return parsed;
}

} // namespace Carobhall
