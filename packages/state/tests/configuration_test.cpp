#define BOOST_TEST_MODULE configuration
#include <boost/test/unit_test.hpp>

#include "carobhall/configuration.h"
#include "fake_platform.h"

#include <chrono>
#include <rapidcheck/boost_test.h>

using namespace Carobhall;
using namespace Carobhall::Testing;

namespace
{

constexpr Micros Target = 3 * MicrosPerSecond;

/// Bytes that a message takes on the network besides its text: frame, encryption and headers.
constexpr std::uint64_t MessageOverhead = 120;

constexpr std::uint64_t DeltaOverhead = 27; ///< Three numbers of up to nine bytes.

class Fleet;

struct Node {
    Node(Fleet &fleet, std::string name, std::string zone, int region, std::uint64_t seed);
    void start(const std::string &file);
    void tick(Micros now);

    Fleet &fleet;
    std::string name;
    std::string zone;
    int region;
    std::uint64_t seed;
    FakeTransport transport;
    std::unique_ptr<ConfigHolder> holder;
    std::unique_ptr<PlatformClient> client;
    std::unique_ptr<ConfigRelay> relay;
    bool up = false;
    Micros pausedUntil = 0;
    std::uint64_t lowest = 0; ///< The version must not go below this one within one process.
    Micros effectAt = 0;
    std::uint64_t bytes = 0; ///< Sent and received.
};

class Fleet
{
public:
    Fleet(int count, int zones, int regions)
        : platform(time)
    {
        for (int i = 0; i < count; ++i) {
            const int zone = i % zones;
            nodes.push_back(
                std::make_unique<Node>(*this, "node-" + std::to_string(i), "zone-" + std::to_string(zone), zone % regions, static_cast<std::uint64_t>(i) + 1));
            byName[nodes.back()->name] = nodes.back().get();
            members.push_back({ .name = nodes.back()->name, .zone = nodes.back()->zone });
        }
        time.after(Tick, [this] { tick(); });
    }

    void startAll(const std::string &file)
    {
        for (const std::unique_ptr<Node> &node : nodes) {
            node->start(file);
        }
        updateMembers();
    }

    /// What membership would say: the processes that are up, and on this side of a partition.
    void updateMembers()
    {
        for (const std::unique_ptr<Node> &node : nodes) {
            if (!node->up) {
                continue;
            }
            std::vector<RelayMember> seen;
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (nodes[i]->up && !isCut(*node, *nodes[i])) {
                    seen.push_back(members[i]);
                }
            }
            node->relay->setMembers(seen, time.now());
        }
    }

    /// Cuts \p region off from the other ones and from the platform, which is in region 0; -1 ends the partition.
    void cutOff(int region)
    {
        cutRegion = region;
        for (const std::unique_ptr<Node> &node : nodes) {
            node->transport.cut = region >= 0 && (node->region == region) != (region == 0);
        }
        updateMembers();
    }

    [[nodiscard]] bool isCut(const Node &a, const Node &b) const
    {
        return a.region != b.region && (a.region == cutRegion || b.region == cutRegion);
    }

    void send(Node &from, const std::string &to, const Message &message)
    {
        Node &target = *byName.at(to);
        const auto *data = std::get_if<ConfigData>(&message);
        const std::uint64_t size = MessageOverhead + (data != nullptr ? data->text.size() + (data->base != 0 ? DeltaOverhead : 0) : 0);
        from.bytes += size;
        target.bytes += size;
        // A link of 1 Gbit/s takes 8 ns a byte.
        const Micros latency = (from.region == target.region ? MicrosPerMilli : 12 * MicrosPerMilli) + static_cast<Micros>(size * 8 / 1000);
        deliver(from, target, message, time.now() + latency);
    }

    void deliver(Node &from, Node &target, const Message &message, Micros when)
    {
        time.at(when, [this, &from, &target, message] {
            if (!target.up || isCut(from, target)) {
                return;
            }
            if (time.now() < target.pausedUntil) {
                deliver(from, target, message, target.pausedUntil + Tick);
                return;
            }
            target.relay->onMessage(from.name, message, time.now());
        });
    }

    std::uint64_t apply(const std::string &text)
    {
        PlatformReply reply;
        platform.put(writeCall({ .kind = EnvironmentKind, .name = "guild", .uid = {}, .spec = {} }, encodeEnvironment(text)), reply);
        return reply.object.version;
    }

    /// Time from now until \p version is in effect in every process that is up; -1 when that takes over \p limit.
    Micros spreadTime(std::uint64_t version, Micros limit)
    {
        const Micros start = time.now();
        while (time.now() < start + limit) {
            time.runUntil(time.now() + Tick);
            const bool everywhere = std::all_of(nodes.begin(), nodes.end(),
                                                [&](const std::unique_ptr<Node> &node) { return !node->up || node->holder->inEffect().version >= version; });
            if (everywhere) {
                return time.now() - start;
            }
        }
        return -1;
    }

    std::vector<Node *> watchers()
    {
        std::vector<Node *> found;
        for (const std::unique_ptr<Node> &node : nodes) {
            if (node->up && node->relay->isWatcher()) {
                found.push_back(node.get());
            }
        }
        return found;
    }

    void tick()
    {
        for (const std::unique_ptr<Node> &node : nodes) {
            node->tick(time.now());
        }
        time.after(Tick, [this] { tick(); });
    }

    VirtualTime time;
    FakePlatform platform;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<std::string, Node *> byName;
    std::vector<RelayMember> members;
    int cutRegion = -1;
};

Node::Node(Fleet &owner, std::string nodeName, std::string nodeZone, int nodeRegion, std::uint64_t nodeSeed)
    : fleet(owner)
    , name(std::move(nodeName))
    , zone(std::move(nodeZone))
    , region(nodeRegion)
    , seed(nodeSeed)
    , transport(owner.platform)
{
    transport.latency = region == 0 ? MicrosPerMilli : 12 * MicrosPerMilli;
}

void Node::start(const std::string &file)
{
    relay.reset();
    client.reset();
    lowest = 0;
    up = true;
    holder = std::make_unique<ConfigHolder>(HolderOptions{
        .check = [](const std::string &text) { return text.starts_with("bad") ? DocumentCompatibility::Unusable : DocumentCompatibility::Usable; },
        .onApplied =
            [this](const HeldDocument &document) {
                RC_ASSERT(document.version >= lowest);
                lowest = document.version;
                effectAt = fleet.time.now();
            },
    });
    if (!file.empty()) {
        holder->initializeFromFile(file);
    }
    client = std::make_unique<PlatformClient>(transport, PlatformClientOptions{ .seed = seed });
    RelayOptions options{ .environment = "guild", .self = { .name = name, .zone = zone }, .seed = seed, .send = {}, .onVersionChanged = {} };
    options.send = [this](const std::string &peer, const Message &message) { fleet.send(*this, peer, message); };
    relay = std::make_unique<ConfigRelay>(*holder, *client, options);
}

void Node::tick(Micros now)
{
    if (up && now >= pausedUntil) {
        client->tick(now);
        relay->tick(now);
    }
}

std::string documentOf(std::size_t bytes, int mark)
{
    return "{\"mark\": " + std::to_string(mark) + ", \"filler\": \"" + std::string(bytes, 'x') + "\"}";
}

struct Figures {
    Micros worst = 0;
    double callsPerChange = 0;
    double bytesPerNodePerChange = 0;
    double idleBytesPerNodePerDay = 0;
};

constexpr double ChangesPerDay = 2000;
constexpr double SecondsPerDay = 86'400;
constexpr double NodeBytesPerDay = 18'000 * SecondsPerDay; ///< The design's 18 KB/s for all control-plane work of a node.

double meanBytes(Fleet &fleet)
{
    double sum = 0;
    for (const std::unique_ptr<Node> &node : fleet.nodes) {
        sum += static_cast<double>(node->bytes);
        node->bytes = 0;
    }
    return sum / static_cast<double>(fleet.nodes.size());
}

Figures measure(Fleet &fleet, std::size_t documentBytes, int changes)
{
    Figures figures;
    fleet.apply(documentOf(documentBytes, 0));
    fleet.time.runUntil(fleet.time.now() + 15 * MicrosPerSecond);
    meanBytes(fleet);
    constexpr int idleSeconds = 20;
    fleet.time.runUntil(fleet.time.now() + idleSeconds * MicrosPerSecond);
    const double idle = meanBytes(fleet) / idleSeconds;
    figures.idleBytesPerNodePerDay = idle * SecondsPerDay;
    const std::uint64_t reads = fleet.platform.reads;
    double seconds = 0;
    double bytes = 0;
    for (int change = 1; change <= changes; ++change) {
        const Micros taken = fleet.spreadTime(fleet.apply(documentOf(documentBytes, change)), 10 * MicrosPerSecond);
        figures.worst = taken < 0 ? taken : std::max(figures.worst, taken);
        if (taken < 0) {
            return figures;
        }
        fleet.time.runUntil(fleet.time.now() + MicrosPerSecond);
        seconds += static_cast<double>(taken) / 1e6 + 1;
        bytes += meanBytes(fleet);
    }
    figures.bytesPerNodePerChange = (bytes - idle * seconds) / changes;
    figures.callsPerChange = static_cast<double>(fleet.platform.reads - reads) / changes;
    return figures;
}

void report(const std::string &name, const Figures &figures)
{
    BOOST_TEST_MESSAGE(name << ": in effect everywhere after " << static_cast<double>(figures.worst) / 1e3 << " ms at worst, " << figures.callsPerChange
                            << " calls to the platform a change (watches aside), " << figures.bytesPerNodePerChange << " bytes a node a change, "
                            << (figures.bytesPerNodePerChange * ChangesPerDay + figures.idleBytesPerNodePerDay) / 1e6
                            << " MB a node a day at 2,000 changes, of which idle " << figures.idleBytesPerNodePerDay / 1e6);
}

} // namespace

// Guards against a version that takes longer than 3 s, in a small and in the design fleet.
BOOST_AUTO_TEST_CASE(versionsSpreadInTime)
{
    for (const auto &[count, zones, regions] : { std::tuple(50, 3, 2), std::tuple(1650, 8, 3) }) {
        for (const std::size_t bytes : { std::size_t{ 20'000 }, std::size_t{ 400'000 } }) {
            Fleet fleet(count, zones, regions);
            fleet.startAll("{}");
            const Figures figures = measure(fleet, bytes, 3);
            report(std::to_string(count) + " holders, document of " + std::to_string(bytes) + " bytes", figures);
            BOOST_TEST(figures.worst > 0);
            BOOST_TEST(figures.worst <= Target);
            BOOST_TEST(figures.bytesPerNodePerChange * ChangesPerDay + figures.idleBytesPerNodePerDay <= NodeBytesPerDay);
            BOOST_TEST(fleet.watchers().size() == 2U * static_cast<std::size_t>(zones));
        }
    }
}

// Guards against a slow platform, killed watchers and a partition that delay a version beyond 3 s.
BOOST_AUTO_TEST_CASE(versionsSpreadInTimeUnderFaults)
{
    Fleet fleet(1650, 8, 3);
    fleet.startAll("{}");
    fleet.apply(documentOf(20'000, 0));
    fleet.time.runUntil(fleet.time.now() + 15 * MicrosPerSecond);

    fleet.platform.slowness = 500 * MicrosPerMilli;
    const Micros slow = fleet.spreadTime(fleet.apply(documentOf(20'000, 1)), 10 * MicrosPerSecond);
    fleet.platform.slowness = 0;

    // Membership has not noticed yet that one watcher of each zone and both of zone 0 are gone.
    std::map<std::string, int> killed;
    for (Node *node : fleet.watchers()) {
        if (killed[node->zone]++ == 0 || node->zone == "zone-0") {
            node->up = false;
        }
    }
    const Micros killedWatchers = fleet.spreadTime(fleet.apply(documentOf(20'000, 2)), 10 * MicrosPerSecond);
    fleet.updateMembers();
    fleet.time.runUntil(fleet.time.now() + 5 * MicrosPerSecond);

    // A region without the platform is cut off; the version must be there within 3 s after the partition ends.
    fleet.cutOff(2);
    const std::uint64_t version = fleet.apply(documentOf(20'000, 3));
    fleet.time.runUntil(fleet.time.now() + 60 * MicrosPerSecond);
    fleet.cutOff(-1);
    const Micros healed = fleet.spreadTime(version, 10 * MicrosPerSecond);
    BOOST_TEST_MESSAGE("ms until in effect everywhere: platform slow by 500 ms " << slow / 1000 << ", watchers killed " << killedWatchers / 1000
                                                                                 << ", after a partition " << healed / 1000);
    for (const Micros taken : { slow, killedWatchers, healed }) {
        BOOST_TEST(taken > 0);
        BOOST_TEST(taken <= Target);
    }
}

// Guards against a process that starts or resumes with an outdated document during an outage of the platform.
BOOST_AUTO_TEST_CASE(startAndPauseDuringAnOutage)
{
    Fleet fleet(50, 3, 2);
    fleet.startAll("{}");
    const std::uint64_t first = fleet.apply(documentOf(1000, 1));
    BOOST_REQUIRE(fleet.spreadTime(first, Target) > 0);
    Node &paused = *fleet.nodes[7];
    paused.pausedUntil = fleet.time.now() + 20 * MicrosPerSecond;
    const std::uint64_t second = fleet.apply(documentOf(1000, 2));
    fleet.time.runUntil(fleet.time.now() + 5 * MicrosPerSecond);
    fleet.platform.outage = true;
    fleet.platform.endWatches(WatchEventType::Closed);

    Node &restarted = *fleet.nodes[9];
    restarted.start("{}");
    restarted.relay->setMembers(fleet.members, fleet.time.now());
    const Micros start = fleet.time.now();
    while (!restarted.relay->mayServe()) {
        fleet.time.runUntil(fleet.time.now() + Tick);
    }
    BOOST_TEST(fleet.time.now() - start <= 200 * MicrosPerMilli);
    BOOST_TEST(restarted.holder->inEffect().version == second);

    // From its first tick on, the resumed process serves only under the version that the others have.
    fleet.time.runUntil(paused.pausedUntil);
    for (int i = 0; i < 100; ++i) {
        fleet.time.runUntil(fleet.time.now() + Tick);
        BOOST_TEST((!paused.relay->mayServe() || paused.holder->inEffect().version == second));
    }
    BOOST_TEST(paused.relay->mayServe());
}

// Guards against a document that a process cannot use: it stays on the one before, and passes the newer one on.
BOOST_AUTO_TEST_CASE(unusableDocumentIsPassedOn)
{
    ConfigHolder holder(
        { .check = [](const std::string &text) { return text == "new" ? DocumentCompatibility::Unusable : DocumentCompatibility::Usable; }, .onApplied = {} });
    BOOST_TEST(holder.accept(5, documentDigest("old"), "old"));
    BOOST_TEST(holder.accept(6, documentDigest("new"), "new"));
    BOOST_TEST(!holder.accept(7, documentDigest("other"), "forged"));
    BOOST_TEST(!holder.accept(5, documentDigest("old"), "old"));
    BOOST_TEST(holder.held().version == 6U);
    BOOST_TEST(*holder.inEffect().text == "old");
}

// Guards against a delta that gives wrong bytes, also for texts that repeat themselves, shrink or grow.
RC_BOOST_PROP(deltasGiveTheDocument, ())
{
    const auto letters = rc::gen::container<std::string>(rc::gen::element('a', 'b'));
    const std::string base = *letters;
    const std::string text = *letters;
    const HeldDocument document{ .version = 2, .digest = documentDigest(text), .text = std::make_shared<const std::string>(text) };
    const ConfigData data = deltaOf(document, 1, &base);
    RC_ASSERT(applyDelta(data, 1, &base) == text);
    RC_ASSERT(!applyDelta(data, 3, &base));
    RC_ASSERT(deltaOf(document, 1, nullptr).text == text);
}

// Guards against a process that stays behind because a delta does not fit what it holds.
BOOST_AUTO_TEST_CASE(unfitDeltaFallsBackToTheWholeText)
{
    Fleet fleet(4, 1, 1);
    fleet.startAll("{}");
    Node &odd = *fleet.nodes[3];
    BOOST_REQUIRE(odd.holder->accept(1, documentDigest("other bytes"), "other bytes"));
    BOOST_REQUIRE(fleet.apply(documentOf(1000, 1)) == 1U);
    fleet.time.runUntil(fleet.time.now() + MicrosPerSecond);
    odd.transport.cut = true; // It has to get the document from a peer.
    const std::uint64_t version = fleet.apply(documentOf(1000, 2));
    const Micros taken = fleet.spreadTime(version, 10 * MicrosPerSecond);
    BOOST_TEST(taken > 0);
    BOOST_TEST(taken <= Target);
    BOOST_TEST(odd.relay->stats().deltasUnfit == 1U);
    BOOST_TEST(*odd.holder->inEffect().text == documentOf(1000, 2));
}

// Guards against a version that goes down or never arrives, under crashes, pauses, partitions and outages in any order.
RC_BOOST_PROP(versionsOnlyGoUp, ())
{
    Fleet fleet(12, 3, 3);
    fleet.startAll("{}");
    const auto actions = *rc::gen::container<std::vector<std::pair<int, int>>>(20, rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 12)));
    int mark = 0;
    std::uint64_t last = 0;
    for (const auto &[action, target] : actions) {
        Node &node = *fleet.nodes[static_cast<std::size_t>(target)];
        if (action == 0) {
            node.up = false;
        } else if (action == 1 && !node.up) {
            node.start(target % 2 == 0 ? "{}" : "");
        } else if (action == 2) {
            node.pausedUntil = fleet.time.now() + 3 * MicrosPerSecond;
        } else if (action == 3) {
            fleet.cutOff(target % 4 - 1);
        } else if (action == 4) {
            fleet.platform.outage = !fleet.platform.outage;
            fleet.platform.endWatches(WatchEventType::Closed);
        } else if (!fleet.platform.outage) {
            last = fleet.apply(documentOf(100, ++mark));
        }
        fleet.updateMembers();
        fleet.time.runUntil(fleet.time.now() + 300 * MicrosPerMilli);
    }
    fleet.cutOff(-1);
    fleet.platform.outage = false;
    fleet.time.runUntil(fleet.time.now() + 3 * MicrosPerSecond);
    for (const std::unique_ptr<Node> &node : fleet.nodes) {
        if (!node->up) {
            node->start("");
        }
    }
    fleet.updateMembers();
    RC_ASSERT(last == 0 || fleet.spreadTime(last, Target) > 0);
}
