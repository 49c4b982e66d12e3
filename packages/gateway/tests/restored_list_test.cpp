#include <boost/test/unit_test.hpp>

#include "carobhall/poison_request_detector.h"
#include "carobhall/upstream_table.h"

#include <cstdlib>
#include <map>
#include <random>
#include <set>

// The platform's list of upstreams comes back from an older copy.

using namespace Carobhall;

namespace
{

constexpr Micros Second = MicrosPerSecond;
constexpr std::int64_t Born = 1'800'000'000'000;

UpstreamRecord ready(std::uint64_t sequence, bool mayBeCopied = false, std::int64_t born = Born)
{
    return {
        .id = "i-1", .service = "desk", .address = "10.9.0.1:80", .zone = "a", .slots = 6, .startedAtMs = born, .sequence = sequence, .mayBeCopied = mayBeCopied
    };
}

UpstreamRecord withDraining(UpstreamRecord record)
{
    record.draining = true;
    return record;
}

struct List {
    UpstreamTable table{ { .zone = "a", .regionOfZone = { { "a", "east" } } }, 1 };
    Service desk{};

    List()
    {
        desk.name = "desk";
    }
    bool isChosen(Micros now)
    {
        return table.choosePlainUpstream(desk, {}, now) != nullptr;
    }
};

} // namespace

// Guards against requests to a server that exits: the copy shows it as it was before it said that it drains.
BOOST_AUTO_TEST_CASE(aDrainingProcessStaysSoWhenACopyListsItAsReady)
{
    List list;
    list.table.update(ready(5), Second);
    BOOST_TEST(list.isChosen(Second));
    list.table.update(withDraining(ready(6)), 2 * Second);
    list.table.update(ready(4, true), 3 * Second);
    BOOST_TEST(!list.isChosen(3 * Second));
    list.table.remove("i-1", 4 * Second);
    list.table.update(ready(4, true), 30 * Second);
    list.table.noteUnchanged(ready(9));
    BOOST_TEST(!list.isChosen(30 * Second));
    BOOST_TEST(list.table.readyCount("desk") == 0U);
    // The next process of the id is not affected.
    list.table.update(ready(1, false, Born + 1), 31 * Second);
    BOOST_TEST(list.isChosen(31 * Second));
}

// Guards against requests to a server that left without saying that it drains, and against the loss of one that only the copy's age hides.
BOOST_AUTO_TEST_CASE(aRemovedProcessThatComesBackWithACopyCountsOnceItReports)
{
    List list;
    list.table.update(ready(5), Second);
    list.table.remove("i-1", 2 * Second);
    list.table.update(ready(3, true), 3 * Second);
    BOOST_TEST(!list.isChosen(3 * Second));
    list.table.noteUnchanged(ready(3));
    BOOST_TEST(!list.isChosen(4 * Second));
    // Another restore, from a copy that is newer than the first.
    list.table.update(ready(4, true), 5 * Second);
    BOOST_TEST(!list.isChosen(5 * Second));
    list.table.noteUnchanged(ready(5));
    BOOST_TEST(list.isChosen(6 * Second));
}

// Guards against the loss of servers whose entries expire while the store is away: they come back without a restore.
BOOST_AUTO_TEST_CASE(aRemovedProcessThatIsWrittenAgainCountsAtOnce)
{
    List list;
    list.table.update(ready(5, true), Second);
    list.table.remove("i-1", 2 * Second);
    list.table.update(ready(7), 10 * Second);
    BOOST_TEST(list.isChosen(10 * Second));
    // Known to live: a copy changes nothing.
    list.table.update(ready(6, true), 11 * Second);
    BOOST_TEST(list.isChosen(11 * Second));
}

// Guards against the loss of a process that has just started, and of what is known of it, because the copy shows the former one of its id.
BOOST_AUTO_TEST_CASE(anEarlierProcessOfTheCopyDoesNotReplaceTheNewerOne)
{
    List list;
    list.table.update(ready(5), Second);
    list.table.update(ready(1, false, Born + 9), 2 * Second);
    const UpstreamRef newer = list.table.byId().at("i-1");
    UpstreamRecord copied = ready(4, true);
    list.table.update(copied, 3 * Second);
    BOOST_TEST(list.table.byId().at("i-1") == newer);
    BOOST_TEST(newer->earlierListed);
    BOOST_TEST(list.table.choosePlainUpstream(list.desk, {}, 3 * Second) == newer);
    copied.address = "10.9.0.1:81";
    list.table.update(copied, 4 * Second);
    BOOST_TEST(list.table.choosePlainUpstream(list.desk, {}, 4 * Second) == newer);
    list.table.update(ready(3, false, Born + 9), 5 * Second);
    BOOST_TEST(list.table.byId().at("i-1") == newer);
    BOOST_TEST(!newer->earlierListed);
    // The clock of a host may have been set back: what a process writes in the era counts.
    list.table.update(ready(1, false, Born + 2), 6 * Second);
    BOOST_TEST(list.table.byId().at("i-1")->record.startedAtMs == Born + 2);
}

// Guards against requests to the former server at an address, which the copy lists although another process has the address now, listed or not.
BOOST_AUTO_TEST_CASE(theFormerServerAtAnAddressDoesNotComeBackWithTheCopy)
{
    for (const bool isNewerPresent : { true, false }) {
        BOOST_TEST_CONTEXT("newer process present " << isNewerPresent)
        {
            List list;
            UpstreamRecord newer = ready(1, false, Born + 9);
            newer.id = "i-2";
            list.table.update(newer, Second);
            if (!isNewerPresent) {
                list.table.remove("i-2", 2 * Second);
            }
            list.table.update(ready(4, true), 3 * Second);
            BOOST_TEST(list.table.byId().at("i-1")->replaced);
            BOOST_TEST(list.table.readyCount("desk") == (isNewerPresent ? 1U : 0U));
        }
    }
}

// Guards against requests that are refused because servers seem to have crashed with them, which only a copy lacks or shows as they were before.
BOOST_AUTO_TEST_CASE(whatACopyShowsIsNoCrash)
{
    List list;
    list.table.update(ready(5, false, Born + 9), Second);
    const UpstreamRef known = list.table.byId().at("i-1");
    BOOST_TEST(!list.table.crashedProcess("i-1", Born));
    BOOST_TEST(!list.table.crashedProcess("i-1", Born + 9));
    BOOST_TEST(list.table.crashedProcess("i-1", Born + 10) == known);
    BOOST_TEST(list.table.crashedProcess("i-1", std::nullopt) == known);
    // The entry that is removed is that of the earlier process.
    list.table.update(ready(4, true), 2 * Second);
    BOOST_TEST(!list.table.crashedProcess("i-1", std::nullopt));
    list.table.update(ready(6, false, Born + 9), 3 * Second);
    BOOST_TEST(list.table.crashedProcess("i-1", std::nullopt) == known);
    // Removed already; the copy's entry expires.
    list.table.remove("i-1", 4 * Second);
    list.table.update(ready(5, true, Born + 9), 5 * Second);
    BOOST_TEST(!list.table.crashedProcess("i-1", std::nullopt));
}

namespace
{

/// Servers, the store that lists them, and a gateway that follows it.
class ListedServers
{
public:
    explicit ListedServers(std::uint64_t seed)
        : random_(seed)
    {
        for (const std::string id : { "server-of-desk-1", "server-of-desk-2", "server-of-desk-3", "server-of-desk-4" }) {
            start(id);
        }
        copy_ = store_;
    }

    void step()
    {
        now_ += static_cast<Micros>(random_() % (15 * Second));
        const std::string id = "server-of-desk-" + std::to_string(random_() % 4 + 1);
        UpstreamRecord &server = servers_[id];
        switch (random_() % 8) {
        case 0:
            copy_ = store_;
            return;
        case 1:
            restore();
            return;
        case 2:
            if (!gone_.contains(processOf(server))) {
                server.draining = true;
                report(id);
            }
            return;
        case 3: // Leaves without having said so.
            gone_.insert(processOf(server));
            unlist(id);
            return;
        case 4:
            start(id);
            return;
        case 5: // Expires.
            unlist(id);
            return;
        default:
            report(id);
        }
    }
    void reportAll()
    {
        for (const auto &[id, server] : servers_) {
            report(id);
        }
    }
    void check(bool haveAllReported)
    {
        for (const auto &[id, upstream] : table_.byId()) {
            if (upstream->present && table_.isUsable(*upstream, now_)) {
                BOOST_REQUIRE(!gone_.contains(upstream->process));
            }
        }
        for (const auto &[id, server] : servers_) {
            if (haveAllReported && !server.draining && !gone_.contains(processOf(server))) {
                const UpstreamRef upstream = table_.byId().at(id);
                BOOST_REQUIRE(upstream->process == processOf(server));
                BOOST_REQUIRE((upstream->present && table_.isUsable(*upstream, now_)));
            }
        }
    }

private:
    [[nodiscard]] static Incarnation processOf(const UpstreamRecord &record)
    {
        return upstreamIncarnation(record.id, record.startedAtMs);
    }
    void start(const std::string &id)
    {
        if (const auto found = servers_.find(id); found != servers_.end()) {
            gone_.insert(processOf(found->second));
        }
        servers_[id] = {
            .id = id, .service = "desk", .address = "10.9.0." + id.substr(id.size() - 1) + ":80", .zone = "a", .slots = 6, .startedAtMs = ++lastBorn_
        };
        report(id);
    }
    /// The server writes to the store, and the gateway reads it.
    void report(const std::string &id)
    {
        UpstreamRecord &server = servers_[id];
        if (gone_.contains(processOf(server)) && !server.draining) {
            return;
        }
        ++server.sequence;
        const auto listed = store_.find(id);
        const bool isUnchanged = listed != store_.end() && listed->second.startedAtMs == server.startedAtMs && listed->second.draining == server.draining;
        store_[id] = server;
        if (isUnchanged) {
            table_.noteUnchanged(server);
        } else {
            table_.update(server, now_);
        }
        if (server.draining) {
            gone_.insert(processOf(server));
        }
    }
    void unlist(const std::string &id)
    {
        store_.erase(id);
        table_.remove(id, now_);
    }
    void restore()
    {
        store_ = copy_;
        for (const auto &[id, listed] : store_) {
            UpstreamRecord record = listed;
            record.mayBeCopied = true;
            table_.update(record, now_);
        }
        check(false);
        now_ += 3 * Second;
        for (const auto &[id, server] : servers_) {
            if (!store_.contains(id)) {
                table_.remove(id, now_);
            }
        }
    }

    std::mt19937_64 random_;
    UpstreamTable table_{ { .zone = "a", .regionOfZone = { { "a", "east" } } }, 1 };
    std::map<std::string, UpstreamRecord> servers_;
    std::map<std::string, UpstreamRecord> store_;
    std::map<std::string, UpstreamRecord> copy_;
    std::set<Incarnation> gone_; ///< Processes that drain or have left, as the gateway has seen.
    std::int64_t lastBorn_ = Born;
    Micros now_ = Second;
};

} // namespace

// Guards against servers that come back with a copy after they left, and against servers that live and are lost, in random histories.
BOOST_AUTO_TEST_CASE(noServerComesBackWithACopyAndNoneIsLost)
{
    const char *const text = std::getenv("CAROBHALL_SEEDS"); // NOLINT(concurrency-mt-unsafe): no other thread.
    const std::uint64_t seeds = text == nullptr ? 20 : std::stoull(text);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            ListedServers servers(seed);
            for (int i = 0; i < 200; ++i) {
                servers.step();
                servers.check(false);
                if (i % 20 == 19) {
                    servers.reportAll();
                    servers.check(true);
                }
            }
        }
    }
}
