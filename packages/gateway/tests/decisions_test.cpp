#define BOOST_TEST_MODULE gateway_decisions
#include <boost/test/unit_test.hpp>

#include "carobhall/event_stream.h"
#include "carobhall/queue_wait_limit.h"
#include "carobhall/retry_budget.h"
#include "carobhall/upstream_table.h"

#include <rapidcheck.h>

#include <deque>

using namespace Carobhall;

namespace
{

constexpr Micros Second = MicrosPerSecond;

/// Twelve engines in three zones of two regions, and three plain upstreams.
struct Fleet {
    Fleet()
        : table({ .zone = "a", .regionOfZone = { { "a", "east" }, { "b", "east" }, { "c", "west" } } }, 1)
    {
        for (const char *const zone : { "a", "b", "c" }) {
            for (int i = 0; i < 4; ++i) {
                addEngine(std::string(zone) + std::to_string(i), zone, 1);
            }
            table.update(
                { .id = std::string("plain-") + zone, .service = "desk", .address = "10.9.0.1:" + std::to_string(80 + zone[0]), .zone = zone, .slots = 6 });
        }
        engines.name = "llm";
        engines.engine = EngineTraits{ .slots = 96, .cacheTokens = 83'645, .bytesPerToken = 262'144.0, .linkMbps = 550'000.0 };
        desk.name = "desk";
    }

    void addEngine(const std::string &id, const std::string &zone, std::uint64_t weights)
    {
        const std::string ip = "10.1." + std::to_string(zone[0] - 'a') + "." + id.substr(1);
        table.update({ .id = id, .service = "llm", .address = ip + ":80", .zone = zone, .slots = 96, .model = "m", .weightsVersion = weights });
        ipOf[id] = ip;
        report(id, { .totalTokens = 83'645, .weightsVersion = weights }, 1);
    }
    void report(const std::string &id, const EngineLoad &load, Micros now)
    {
        BOOST_REQUIRE(table.noteEngineLoad(ipOf.at(id), load, now));
    }
    UpstreamRef engine(const std::string &id) const
    {
        return table.byId().find(id)->second;
    }

    [[nodiscard]] static PromptDemand longPrompt(const std::string &dossier = "d1")
    {
        return { .service = "llm",
                 .parts = { { "preamble", 2'520 }, { dossier, 3'780 }, { "own", 2'890 } },
                 .outputTokens = 13,
                 .overloadWaitLimit = 400 * MicrosPerMilli,
                 .normalWaitLimit = 750 * MicrosPerMilli };
    }
    [[nodiscard]] static PromptDemand shortPrompt()
    {
        return { .service = "llm",
                 .parts = { { "s", 119 }, { "t", 79 }, { "own", 628 } },
                 .outputTokens = 73,
                 .overloadWaitLimit = 15 * Second,
                 .normalWaitLimit = 15 * Second };
    }
    std::optional<EngineChoice> choose(const PromptDemand &demand, Micros now = Second)
    {
        auto chosen = table.chooseEngine(demand, engines, {}, now);
        if (auto *const choice = std::get_if<EngineChoice>(&chosen)) {
            return *choice;
        }
        return std::nullopt;
    }

    UpstreamTable table;
    Service engines;
    Service desk;
    std::map<std::string, std::string> ipOf;
};

Route routeTo(const std::string &name, const std::string &prefix)
{
    return { .name = name, .host = "shop.example", .pathPrefix = prefix, .targets = { { "desk", 1.0 } } };
}

} // namespace

// Routes -----------------------------------------------------------------------------------------

// Guards against requests that are sent to the wrong route: a host with a port or in other case, a query that contains a slash, and
// prefixes that match only part of a path segment.
BOOST_AUTO_TEST_CASE(theRouteWithTheLongestPathPrefixIsChosen)
{
    GatewayConfig config;
    config.version = 1;
    config.routes = { routeTo("wide", "/a/"), routeTo("narrow", "/a/b/") };
    const RouteTable table(config);
    BOOST_TEST(table.find("Shop.example:8080", "/a/b/c?x=/z/")->name == "narrow");
    BOOST_TEST(table.find("shop.example", "/a/bc")->name == "wide");
    BOOST_TEST(table.find("shop.example", "/ab/") == nullptr);
    BOOST_TEST(table.find("other.example", "/a/") == nullptr);
}

// Retries ----------------------------------------------------------------------------------------

// Guards against gateways that together exceed the fleet-wide limit, although none of them exceeds its own: in every window the
// retries of all gateways stay under ratio x requests + allowance, for any pattern of traffic and failures.
BOOST_AUTO_TEST_CASE(retriesOfAllGatewaysStayUnderTheFleetLimit)
{
    constexpr double Ratio = 0.2;
    constexpr double Allowance = 58.0;
    constexpr std::uint32_t Gateways = 6;
    const bool passed = rc::check([&] {
        std::vector<RetryBudget> budgets;
        for (std::uint32_t i = 0; i < Gateways; ++i) {
            budgets.emplace_back(RetryBudgetOptions{ .ratio = Ratio, .allowance = Allowance, .window = 10 * Second, .gatewayCount = Gateways });
        }
        std::deque<Micros> requests;
        std::deque<Micros> retries;
        Micros now = Second;
        for (int step = 0; step < 3'000; ++step) {
            now += *rc::gen::inRange<Micros>(0, 40 * MicrosPerMilli);
            RetryBudget &budget = budgets[*rc::gen::inRange<std::size_t>(0, Gateways)];
            if (*rc::gen::inRange(0, 4) == 0) {
                budget.noteRequest("desk", now);
                requests.push_back(now);
            } else if (budget.take("desk", now)) {
                retries.push_back(now);
            }
            while (!retries.empty() && retries.front() <= now - 10 * Second) {
                retries.pop_front();
            }
            // The fleet limit counts the requests of the current or the previous window, whichever has more; this test counts those of
            // the last 15 s.
            while (!requests.empty() && requests.front() <= now - 15 * Second) {
                requests.pop_front();
            }
            RC_ASSERT(static_cast<double>(retries.size()) <= Ratio * static_cast<double>(requests.size()) + Allowance);
        }
    });
    BOOST_TEST(passed);
}

// Streams ----------------------------------------------------------------------------------------

// Guards against a truncated or duplicated event when a broken stream resumes at another upstream.
BOOST_AUTO_TEST_CASE(theSplitterReturnsOnlyCompleteEvents)
{
    const std::string body = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: c";
    const bool passed = rc::check([&] {
        EventSplitter splitter;
        std::string out;
        std::vector<std::string> ids;
        std::size_t sent = 0;
        while (sent < body.size()) {
            const auto count = *rc::gen::inRange<std::size_t>(1, 9);
            RC_ASSERT(splitter.add(body.substr(sent, count)));
            sent += count;
            while (const auto event = splitter.next()) {
                out += event->text;
                if (event->id) {
                    ids.push_back(*event->id);
                }
            }
        }
        RC_ASSERT(ids == (std::vector<std::string>{ "1", "2" }));
        RC_ASSERT(out + splitter.takePartialEvent() == body);
    });
    BOOST_TEST(passed);
}

// Prompt parts -----------------------------------------------------------------------------------

// Guards against KV cache that is shared between weights versions, or with an isolated account.
BOOST_AUTO_TEST_CASE(saltsSeparateWeightsAndIsolatedAccounts)
{
    BOOST_TEST(cacheSalt(3, "") != cacheSalt(4, ""));
    const CacheScopes scopes({ "a", "b" });
    BOOST_TEST(cacheSalt(3, scopes.scopeOf("a")) != cacheSalt(3, scopes.scopeOf("")));
    BOOST_TEST(cacheSalt(3, scopes.scopeOf("a")) != cacheSalt(3, ""));
    BOOST_TEST(cacheSalt(3, scopes.scopeOf("a")) != cacheSalt(3, scopes.scopeOf("b")));
    BOOST_TEST(partKey(cacheSalt(3, scopes.scopeOf("a")), "p") != partKey(cacheSalt(3, scopes.scopeOf("b")), "p"));
}

// Guards against unbounded memory use when prompts hardly share parts, and against entries of an upstream that lost its cache.
BOOST_AUTO_TEST_CASE(theCacheIndexStaysBounded)
{
    PrefixCacheIndex index(100);
    for (int i = 0; i < 1'000; ++i) {
        index.add(partKey("1", std::to_string(i)), static_cast<UpstreamNumber>(i % 5), 0);
    }
    BOOST_TEST(index.size() == 100U);
    BOOST_TEST(index.holds(partKey("1", "999"), 4));
    index.removeHolder(4);
    BOOST_TEST(!index.holds(partKey("1", "999"), 4));
}

// Guards against prefilling the same long shared prompt on several engines, which costs more than the request itself.
BOOST_AUTO_TEST_CASE(aPromptIsSentToTheEngineThatHoldsItsParts)
{
    Fleet fleet;
    const auto first = fleet.choose(Fleet::longPrompt());
    BOOST_REQUIRE(first);
    fleet.table.notePromptCached(*first->upstream, first->salt, Fleet::longPrompt().parts, Second);
    const auto second = fleet.choose(Fleet::longPrompt());
    BOOST_REQUIRE(second);
    BOOST_TEST(second->upstream == first->upstream);
    BOOST_TEST(second->uncachedTokens == 0U);
}

// Guards against a second prefill of shared parts, or a long wait, when the engine that holds them is busy: another engine fetches them.
BOOST_AUTO_TEST_CASE(aBusyHolderIsTheSourceOfATransfer)
{
    Fleet fleet;
    const UpstreamRef holder = fleet.engine("a3");
    fleet.table.notePromptCached(*holder, cacheSalt(1, ""), Fleet::longPrompt().parts, Second);
    fleet.table.noteAttemptStarted(*holder, 60'000, 0);
    const auto choice = fleet.choose(Fleet::longPrompt());
    BOOST_REQUIRE(choice);
    BOOST_TEST(choice->upstream != holder);
    BOOST_TEST(choice->fetchFrom == holder->record.address);
    BOOST_TEST(choice->duplicatePrefillTokens == 0U);
}

// Guards against fetching KV cache that was computed with other weights, from an engine that changed weights and whose late cache
// event still lists the parts.
BOOST_AUTO_TEST_CASE(aHolderWithOtherWeightsIsNotATransferSource)
{
    Fleet fleet;
    fleet.table.notePromptCached(*fleet.engine("a3"), cacheSalt(1, ""), Fleet::longPrompt().parts, Second);
    fleet.report("a3", { .totalTokens = 83'645, .weightsVersion = 2 }, Second);
    // A cache event from before the change of weights arrives late.
    fleet.table.noteCachedPart(fleet.ipOf["a3"], cacheSalt(1, ""), "preamble", true, Second);
    fleet.engine("a3")->pendingPrefillTokens = 50'000;
    const auto choice = fleet.choose(Fleet::longPrompt());
    BOOST_REQUIRE(choice);
    BOOST_TEST(choice->fetchFrom.empty());
}

// Guards against several engines that prefill the same new part when the first requests for it arrive together: all are sent to the
// engine that is already prefilling it.
BOOST_AUTO_TEST_CASE(simultaneousRequestsForAPartShareOnePrefill)
{
    Fleet fleet;
    const PromptDemand demand = Fleet::longPrompt();
    const auto first = fleet.choose(demand);
    BOOST_REQUIRE(first);
    fleet.table.noteAttemptStarted(*first->upstream, first->prefillTokens, 9'000);
    fleet.table.notePrefillStarted(*first->upstream, first->salt, demand.parts, Second);
    const auto second = fleet.choose(demand);
    BOOST_REQUIRE(second);
    BOOST_TEST(second->upstream == first->upstream);
}

// Guards against transfers between regions from and to the KV cache store, and against transfers after its entries were cleared.
BOOST_AUTO_TEST_CASE(theCacheStoreIsUsedInItsOwnRegionOnly)
{
    Fleet fleet;
    Service store;
    store.name = "keep";
    store.cacheStoreAddress = "10.8.0.1:80";
    store.cacheStoreZone = "b";
    store.cacheStoreLinkMbps = 370'000.0;
    fleet.table.setCacheStore(store);
    const auto first = fleet.choose(Fleet::longPrompt());
    BOOST_REQUIRE(first);
    BOOST_TEST(first->saveTo == store.cacheStoreAddress);
    for (const PromptPart &part : Fleet::longPrompt().parts) {
        fleet.table.noteStoredPart(cacheSalt(1, ""), part.id, true, Second);
    }
    const auto second = fleet.choose(Fleet::longPrompt());
    BOOST_REQUIRE(second);
    BOOST_TEST(second->fetchFrom == store.cacheStoreAddress);
    fleet.table.clearStoredParts();
    BOOST_TEST(fleet.choose(Fleet::longPrompt())->fetchFrom.empty());
    store.cacheStoreAddress = "10.8.0.2:80";
    store.cacheStoreZone = "c";
    fleet.table.setCacheStore(store);
    BOOST_TEST(fleet.choose(Fleet::longPrompt())->saveTo.empty());
}

// Guards against delaying urgent short prompts during a flood of long ones.
BOOST_AUTO_TEST_CASE(shortPromptsHaveReservedEnginesDuringAFloodOfLongOnes)
{
    Fleet fleet;
    std::set<std::string> usedByLong;
    int admitted = 0;
    for (int i = 0; i < 400; ++i) {
        if (const auto choice = fleet.choose(Fleet::longPrompt("d" + std::to_string(i)))) {
            usedByLong.insert(choice->upstream->record.id);
            fleet.table.noteAttemptStarted(*choice->upstream, choice->prefillTokens, 9'000);
            ++admitted;
        }
    }
    // Nine of the twelve engines serve long prompts and none of them stays idle; most requests of the flood are refused immediately.
    BOOST_TEST(usedByLong.size() == 9U);
    BOOST_TEST(admitted < 100);
    const auto choice = fleet.choose(Fleet::shortPrompt());
    BOOST_REQUIRE(choice);
    BOOST_TEST(!usedByLong.contains(choice->upstream->record.id));
    BOOST_TEST(choice->timeToFirstToken < 400 * MicrosPerMilli);
}

// Guards against one fixed wait limit: queues that are long only for a moment, while servers change weights, must not lower it, and
// queues that stay long in a flood must.
BOOST_AUTO_TEST_CASE(theWaitLimitShrinksWhileQueuesStayLong)
{
    QueueWaitLimit limit;
    constexpr Micros OverloadLimit = 400 * MicrosPerMilli;
    constexpr Micros NormalLimit = 750 * MicrosPerMilli;
    limit.noteQueueDelay(500 * MicrosPerMilli);
    BOOST_TEST(limit.limit(OverloadLimit, NormalLimit) == NormalLimit);
    for (int i = 0; i < 100; ++i) {
        limit.noteQueueDelay(500 * MicrosPerMilli);
    }
    BOOST_TEST(limit.limit(OverloadLimit, NormalLimit) == OverloadLimit);
    for (int i = 0; i < 100; ++i) {
        limit.noteQueueDelay(0);
    }
    BOOST_TEST(limit.limit(OverloadLimit, NormalLimit) == NormalLimit);
}

// Guards against queueing a request that no engine can serve in time, which would run into its deadline instead of being retried.
BOOST_AUTO_TEST_CASE(aPromptThatNoEngineCanServeInTimeIsRefusedImmediately)
{
    Fleet fleet;
    for (const auto &[id, upstream] : fleet.table.byId()) {
        upstream->pendingPrefillTokens = 200'000;
    }
    const auto chosen = fleet.table.chooseEngine(Fleet::longPrompt(), fleet.engines, {}, Second);
    BOOST_REQUIRE(std::holds_alternative<RefusalReason>(chosen));
    BOOST_TEST((std::get<RefusalReason>(chosen) == RefusalReason::Full));
}

// Guards against gateways that all choose the same engine because each knows only its own share of the traffic.
BOOST_AUTO_TEST_CASE(pendingPrefillOfOtherGatewaysCounts)
{
    Fleet fleet;
    const auto before = fleet.choose(Fleet::shortPrompt());
    BOOST_REQUIRE(before);
    fleet.report(before->upstream->record.id, { .totalTokens = 83'645, .weightsVersion = 1, .pendingPrefillTokens = 40'000 }, Second);
    BOOST_TEST(fleet.choose(Fleet::shortPrompt())->upstream != before->upstream);
}

// Weights ----------------------------------------------------------------------------------------

// Guards against the VERSION violation of fault-injection seed scale-1: a server did not report during a rollout of weights, came
// back with old weights, and was still used.
BOOST_AUTO_TEST_CASE(aServerThatStayedOnOldWeightsIsNotUsed)
{
    Fleet fleet;
    for (const auto &[id, ip] : fleet.ipOf) {
        fleet.report(id, { .totalTokens = 83'645, .weightsVersion = id == "a1" ? 1U : 2U }, Second);
    }
    fleet.table.noteWeightsTarget("m", 2, Second);
    for (const auto &[id, ip] : fleet.ipOf) {
        if (id != "a1") {
            fleet.report(id, { .totalTokens = 83'645, .weightsVersion = 2, .closed = true }, Second);
        }
    }
    BOOST_TEST(fleet.choose(Fleet::shortPrompt(), 2 * Second)->upstream->record.id == "a1");
    BOOST_TEST(!fleet.choose(Fleet::shortPrompt(), 9 * Second));
}

// Guards against sending a prompt to a restarted server as if it still held its cache and its weights.
BOOST_AUTO_TEST_CASE(aRestartedServerIsUnknownUntilItsSidecarReports)
{
    Fleet fleet;
    fleet.table.notePromptCached(*fleet.engine("a2"), cacheSalt(1, ""), Fleet::longPrompt().parts, Second);
    fleet.table.update({ .id = "a2", .service = "llm", .address = fleet.ipOf["a2"] + ":80", .zone = "a", .slots = 96, .startedAtMs = 77, .weightsVersion = 1 });
    // All others have a queue of a quarter of a second; by its queue alone the restarted server would be chosen.
    for (const auto &[id, upstream] : fleet.table.byId()) {
        upstream->pendingPrefillTokens = id == "a2" ? 0 : 10'000;
    }
    const auto choice = fleet.choose(Fleet::longPrompt());
    BOOST_REQUIRE(choice);
    BOOST_TEST(choice->upstream->record.id != "a2");
}

// Guards against requests to a server that is loading weights, and against preferring one that closes soon.
BOOST_AUTO_TEST_CASE(aClosedServerIsNotUsedAndAClosingOneOnlyAsALastResort)
{
    Fleet fleet;
    for (const auto &[id, ip] : fleet.ipOf) {
        fleet.report(id, { .totalTokens = 83'645, .weightsVersion = 1, .closing = id == "a0", .closed = id != "a0" && id != "b0" }, Second);
    }
    BOOST_TEST(fleet.choose(Fleet::longPrompt())->upstream->record.id == "b0");
    fleet.report("b0", { .totalTokens = 83'645, .weightsVersion = 1, .closed = true }, Second);
    BOOST_TEST(fleet.choose(Fleet::longPrompt())->upstream->record.id == "a0");
}

// Plain upstreams --------------------------------------------------------------------------------

// Guards against requests to upstreams that are draining or gone, and against refusing all requests while the platform's list is
// unavailable for a moment.
BOOST_AUTO_TEST_CASE(drainingAndRemovedUpstreamsAreNotChosen)
{
    Fleet fleet;
    fleet.table.update({ .id = "plain-a", .service = "desk", .address = "10.9.0.1:177", .zone = "a", .draining = true, .slots = 6 });
    fleet.table.remove("plain-b", Second);
    BOOST_TEST(fleet.table.choosePlainUpstream(fleet.desk, {}, Second)->record.id == "plain-c");
    fleet.table.remove("plain-c", Second);
    // Entries that expired while the platform's list was unavailable return within two seconds if their servers are alive.
    BOOST_TEST(fleet.table.choosePlainUpstream(fleet.desk, {}, 2 * Second) != nullptr);
    BOOST_TEST(fleet.table.choosePlainUpstream(fleet.desk, {}, 4 * Second) == nullptr);
}

// Guards against a server that fails requests while it reports that it is healthy.
BOOST_AUTO_TEST_CASE(aServerThatKeepsFailingIsAvoided)
{
    Fleet fleet;
    const UpstreamRef near = fleet.table.byId().find("plain-a")->second;
    for (int i = 0; i < 5; ++i) {
        fleet.table.noteAttemptStarted(*near, 0, 0);
        fleet.table.noteAttemptEnded(*near, AttemptResult::Failed, 0, Second);
    }
    BOOST_TEST(fleet.table.choosePlainUpstream(fleet.desk, {}, Second) != near);
    BOOST_TEST(near->avoidUntil > Second);
    BOOST_TEST(near->avoidUntil <= 5 * Second);
}

// Guards against choosing a process that has ended: it appears idle, and the platform's list contains it for seconds after the crash.
BOOST_AUTO_TEST_CASE(aNewerRecordAtTheSameAddressReplacesTheOlderOne)
{
    Fleet fleet;
    const std::string address = fleet.ipOf["a0"] + ":80";
    fleet.table.update({ .id = "a0-again", .service = "llm", .address = address, .zone = "a", .slots = 96, .startedAtMs = 5, .weightsVersion = 1 });
    BOOST_TEST(fleet.engine("a0")->replaced);
    BOOST_TEST(!fleet.engine("a0-again")->replaced);
    // The older record arrives again, from a list that is out of date.
    fleet.addEngine("a0", "a", 1);
    BOOST_TEST(fleet.engine("a0")->replaced);
    const std::size_t ready = fleet.table.readyCount("llm");
    fleet.table.noteReplaced(*fleet.engine("b0"));
    BOOST_TEST(fleet.table.readyCount("llm") == ready - 1);
}

// Guards against repeated rejections by a server that has other weights than its sidecar reported last.
BOOST_AUTO_TEST_CASE(aServerThatReportsOtherWeightsIsUpdatedInTheTable)
{
    Fleet fleet;
    const UpstreamRef engine = fleet.engine("a0");
    fleet.table.notePromptCached(*engine, "1", Fleet::longPrompt().parts, Second);
    fleet.table.noteWeightsMismatch(*engine, 2, Second);
    BOOST_TEST(engine->weightsVersion() == 2U);
    BOOST_TEST(fleet.table.cacheIndex().size() == 0U);
    // If the rejection does not name a version, the server is avoided for a moment, until its sidecar reports.
    fleet.table.noteWeightsMismatch(*fleet.engine("a1"), 0, Second);
    BOOST_TEST(fleet.engine("a1")->avoidUntil > Second);
}
