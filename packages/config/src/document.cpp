#include "json_reader.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

constexpr Range<std::uint32_t> SlotsRange{ 1, 100'000 };
constexpr Range<std::uint64_t> CacheBlocksRange{ 0, 1'000'000'000'000 };
constexpr Range<std::uint32_t> ConcurrencyRange{ 0, 1'000'000 };
constexpr Range<double> MegabitsPerSecondRange{ 0.001, 10'000'000.0 };
constexpr Range<double> PriceRange{ 0.0, 1'000'000.0 };
constexpr Range<double> FloorRange{ 0.0, 1.0 };
constexpr Range<double> ShareRange{ 0.001, 1'000'000.0 };
constexpr Range<double> TokensPerSecondRange{ 0.0, 1'000'000'000.0 };
constexpr double BitsPerMegabit = 1'000'000.0;
/// Rounding tolerance: floors such as 0.7 and 0.3 do not add up to exactly 1 in binary.
constexpr double FloorSumTolerance = 1e-9;
constexpr std::size_t DigestHexDigits = 64;
constexpr std::array<std::string_view, 6> HttpMethods{ "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };

/// Names that the document has defined so far, to detect duplicates and references to undefined names.
struct DefinedNames {
    std::set<std::string> regions;
    std::set<std::string> zones;
    std::set<std::string> links;
    std::set<std::string> upstreams; ///< Model servers, plain servers and KV stores share one namespace.
    std::set<std::string> models;
    std::set<std::string> services;
    std::set<std::string> routes;
    std::set<std::string> accounts;
    std::set<std::string> keyDigests;
};

/// Key of the link between two regions; the same for both directions.
std::string linkKey(const std::string &a, const std::string &b)
{
    return std::min(a, b) + " " + std::max(a, b);
}

void readRegions(ObjectReader &root, EnvironmentDocument &document, DefinedNames &names)
{
    root.objects("regions", Presence::Required, [&](ObjectReader &item) {
        RegionSpec &region = document.regions.emplace_back();
        item.name("name", region.name);
        item.checkUnique("name", region.name, names.regions);
    });
    if (document.regions.empty()) {
        root.addError("regions", "expected at least one region");
    }
    root.objects("zones", Presence::Required, [&](ObjectReader &item) {
        ZoneSpec &zone = document.zones.emplace_back();
        item.name("name", zone.name);
        item.checkUnique("name", zone.name, names.zones);
        item.name("region", zone.region);
        item.checkReference("region", zone.region, names.regions, "a region");
    });
    if (document.zones.empty()) {
        root.addError("zones", "expected at least one availability zone");
    }
}

void readLink(ObjectReader &item, LinkSpec &link, DefinedNames &names)
{
    item.name("from", link.from);
    item.checkReference("from", link.from, names.regions, "a region");
    item.name("to", link.to);
    item.checkReference("to", link.to, names.regions, "a region");
    item.millis("latencyMs", link.latency, NonNegativeMillis, Presence::Required);
    double megabits = 0.0;
    item.number("megabitsPerSecond", megabits, MegabitsPerSecondRange, Presence::Required);
    link.bitsPerSecond = static_cast<std::int64_t>(megabits * BitsPerMegabit);
    item.number("pricePerGigabyte", link.pricePerGigabyte, PriceRange, Presence::Optional);
    if (link.from.empty() || link.to.empty()) {
        return;
    }
    if (link.from == link.to) {
        item.addError("to", "expected a region other than \"" + link.from + "\"");
    } else if (!names.links.insert(linkKey(link.from, link.to)).second) {
        item.addError("", "expected one link for each pair of regions, found a second one between \"" + link.from + "\" and \"" + link.to + "\"");
    }
}

void readLinks(ObjectReader &root, EnvironmentDocument &document, DefinedNames &names)
{
    root.objects("links", Presence::Optional, [&](ObjectReader &item) { readLink(item, document.links.emplace_back(), names); });
    // Every pair of regions needs a link: without one, routing would treat the remote region as if it were local.
    for (auto a = names.regions.begin(); a != names.regions.end(); ++a) {
        for (auto b = std::next(a); b != names.regions.end(); ++b) {
            if (!names.links.contains(linkKey(*a, *b))) {
                root.addError("links", "expected a link between \"" + *a + "\" and \"" + *b + "\"");
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
        item.addError("firstTokenTargetMs", "expected at most deadlineMs, because a request that misses its deadline is not started");
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
        if (sum > 1.0 + FloorSumTolerance) {
            ranks.addError("", "expected floors that add up to at most 1");
        }
    });
}

void readModelServer(ObjectReader &item, ModelServerSpec &server, DefinedNames &names)
{
    item.name("name", server.name);
    item.checkUnique("name", server.name, names.upstreams);
    item.name("zone", server.zone);
    item.checkReference("zone", server.zone, names.zones, "an availability zone");
    item.name("model", server.model);
    names.models.insert(server.model);
    item.name("weightsVersion", server.weightsVersion);
    item.names("adapters", server.adapters);
    item.integer("slots", server.slots, SlotsRange, Presence::Required);
    item.integer("cacheBlocks", server.cacheBlocks, CacheBlocksRange, Presence::Required);
    item.boolean("checksFencing", server.checksFencing);
}

void readRoute(ObjectReader &item, RouteSpec &route, DefinedNames &names)
{
    item.text("method", route.method);
    if (!route.method.empty() && std::find(HttpMethods.begin(), HttpMethods.end(), route.method) == HttpMethods.end()) {
        item.addError("method", "expected one of GET, HEAD, POST, PUT, PATCH, DELETE, found \"" + route.method + "\"");
    }
    item.text("path", route.path);
    if (!route.path.empty() && !route.path.starts_with('/')) {
        item.addError("path", "expected a path that starts with '/'");
    }
    if (route.path.starts_with("/v1/")) {
        item.addError("path", "expected a path outside /v1/, which is reserved for models");
    }
    if (route.path == "/") {
        item.addError("path", "expected a path longer than '/'");
    }
    item.checkUnique("path", route.path.empty() ? "" : route.method + " " + route.path, names.routes);
    item.boolean("repeatable", route.repeatable, Presence::Required);
}

void readService(ObjectReader &item, PlainServiceSpec &service, DefinedNames &names)
{
    item.name("name", service.name);
    item.checkUnique("name", service.name, names.services);
    // Requests are routed by model name or service name, so a service must not have the name of a model.
    if (names.models.contains(service.name)) {
        item.addError("name", "expected a name that no model uses, found \"" + service.name + "\"");
    }
    item.objects("routes", Presence::Required, [&](ObjectReader &route) { readRoute(route, service.routes.emplace_back(), names); });
    item.objects("servers", Presence::Required, [&](ObjectReader &entry) {
        PlainServerSpec &server = service.servers.emplace_back();
        entry.name("name", server.name);
        entry.checkUnique("name", server.name, names.upstreams);
        entry.name("zone", server.zone);
        entry.checkReference("zone", server.zone, names.zones, "an availability zone");
        entry.integer("slots", server.slots, SlotsRange, Presence::Required);
    });
}

void readAccount(ObjectReader &item, AccountSpec &account, DefinedNames &names)
{
    item.name("name", account.name);
    item.checkUnique("name", account.name, names.accounts);
    item.texts("keyDigests", Presence::Required, [&](const std::string &digest, const Json::Value &value, const std::string &path) {
        if (!isHex(digest, DigestHexDigits)) {
            item.source().addError(value, path, "expected a BLAKE2b-256 digest of 64 lower-case hexadecimal digits, as carobhall digest prints it");
        } else if (!names.keyDigests.insert(digest).second) {
            item.source().addError(value, path, "expected a unique key digest, found a duplicate");
        }
        account.keyDigests.push_back(digest);
    });
    item.choice("rank", account.rank, Presence::Required);
    item.number("share", account.share, ShareRange, Presence::Optional);
    item.integer("maxConcurrent", account.maxConcurrent, ConcurrencyRange, Presence::Optional);
    item.number("tokensPerSecond", account.tokensPerSecond, TokensPerSecondRange, Presence::Optional);
}

void readKvStore(ObjectReader &item, KvStoreSpec &store, DefinedNames &names)
{
    item.name("name", store.name);
    item.checkUnique("name", store.name, names.upstreams);
    item.name("zone", store.zone);
    item.checkReference("zone", store.zone, names.zones, "an availability zone");
    item.address("address", store.address, PortRule::Fixed, Presence::Required);
}

} // namespace

ParsedDocument parseDocument(std::string_view text, std::string_view file, UnknownFields unknown)
{
    ParsedDocument parsed;
    JsonSource source(text, file, unknown);
    if (source.parse()) {
        EnvironmentDocument &document = parsed.document;
        DefinedNames names;
        ObjectReader root = source.root();
        root.name("name", document.name);
        readRegions(root, document, names);
        readLinks(root, document, names);
        readRanks(root, document);
        root.objects("modelServers", Presence::Optional, [&](ObjectReader &item) { readModelServer(item, document.modelServers.emplace_back(), names); });
        root.objects("services", Presence::Optional, [&](ObjectReader &item) { readService(item, document.services.emplace_back(), names); });
        root.objects("accounts", Presence::Optional, [&](ObjectReader &item) { readAccount(item, document.accounts.emplace_back(), names); });
        root.objects("kvStores", Presence::Optional, [&](ObjectReader &item) { readKvStore(item, document.kvStores.emplace_back(), names); });
        root.reportUnknownFields();
    }
    parsed.errors = std::move(source.errors());
    parsed.warnings = std::move(source.warnings());
    return parsed;
}

} // namespace Carobhall
