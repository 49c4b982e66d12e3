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

constexpr Micros MaxSpreadTime = 3 * MicrosPerSecond;

/// Bytes of a message on the network besides its text: frame, encryption and headers.
constexpr std::uint64_t MessageOverhead = 120;

constexpr std::uint64_t DeltaOverhead = 27; ///< Bytes of the delta fields: three numbers of up to nine bytes.

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
    std::uint64_t lastAppliedVersion = 0; ///< Version applied last; the version must not decrease within one process.
    Micros appliedAt = 0;
    std::uint64_t bytes = 0; ///< Bytes sent and received.
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

    /// Reports to each process the members that it can reach: those that are up and on its side of a partition.
    void updateMembers()
    {
        for (const std::unique_ptr<Node> &node : nodes) {
            if (!node->up) {
                continue;
            }
            std::vector<RelayMember> seen;
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (nodes[i]->up && !isPartitioned(*node, *nodes[i])) {
                    seen.push_back(members[i]);
                }
            }
            node->relay->setMembers(seen, time.now());
        }
    }

    /// Disconnects \p region from the other regions and from the platform, which is in region 0; -1 ends the partition.
    void partition(int region)
    {
        partitionedRegion = region;
        for (const std::unique_ptr<Node> &node : nodes) {
            node->transport.disconnected = region >= 0 && (node->region == region) != (region == 0);
        }
        updateMembers();
    }

    [[nodiscard]] bool isPartitioned(const Node &a, const Node &b) const
    {
        return a.region != b.region && (a.region == partitionedRegion || b.region == partitionedRegion);
    }

    void send(Node &from, const std::string &to, const Message &message)
    {
        Node &target = *byName.at(to);
        const auto *data = std::get_if<ConfigData>(&message);
        const std::uint64_t size = MessageOverhead + (data != nullptr ? data->text.size() + (data->base != 0 ? DeltaOverhead : 0) : 0);
        from.bytes += size;
        target.bytes += size;
        // A link of 1 Gbit/s takes 8 ns per byte.
        const Micros latency = (from.region == target.region ? MicrosPerMilli : 12 * MicrosPerMilli) + static_cast<Micros>(size * 8 / 1000);
        deliver(from, target, message, time.now() + latency);
    }

    void deliver(Node &from, Node &target, const Message &message, Micros when)
    {
        time.at(when, [this, &from, &target, message] {
            if (!target.up || isPartitioned(from, target)) {
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

    /// Time from now until \p version is in effect in every process that is up; -1 if this takes longer than \p limit.
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
    int partitionedRegion = -1;
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
    lastAppliedVersion = 0;
    up = true;
    holder = std::make_unique<ConfigHolder>(HolderOptions{
        .check = [](const std::string &text) { return text.starts_with("bad") ? DocumentCompatibility::Unusable : DocumentCompatibility::Usable; },
        .onApplied =
            [this](const HeldDocument &document) {
                RC_ASSERT(document.version >= lastAppliedVersion);
                lastAppliedVersion = document.version;
                appliedAt = fleet.time.now();
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

struct Measurements {
    Micros worst = 0;
    double callsPerChange = 0;
    double bytesPerNodePerChange = 0;
    double idleBytesPerNodePerDay = 0;
};

constexpr double ChangesPerDay = 2000;
constexpr double SecondsPerDay = 86'400;
constexpr double NodeBytesPerDay = 18'000 * SecondsPerDay; ///< Design limit of 18 KB/s for all control-plane traffic of a node.

double meanBytes(Fleet &fleet)
{
    double sum = 0;
    for (const std::unique_ptr<Node> &node : fleet.nodes) {
        sum += static_cast<double>(node->bytes);
        node->bytes = 0;
    }
    return sum / static_cast<double>(fleet.nodes.size());
}

Measurements measure(Fleet &fleet, std::size_t documentBytes, int changes)
{
    Measurements measurements;
    fleet.apply(documentOf(documentBytes, 0));
    fleet.time.runUntil(fleet.time.now() + 15 * MicrosPerSecond);
    meanBytes(fleet);
    constexpr int idleSeconds = 20;
    fleet.time.runUntil(fleet.time.now() + idleSeconds * MicrosPerSecond);
    const double idle = meanBytes(fleet) / idleSeconds;
    measurements.idleBytesPerNodePerDay = idle * SecondsPerDay;
    const std::uint64_t reads = fleet.platform.reads;
    double seconds = 0;
    double bytes = 0;
    for (int change = 1; change <= changes; ++change) {
        const Micros taken = fleet.spreadTime(fleet.apply(documentOf(documentBytes, change)), 10 * MicrosPerSecond);
        measurements.worst = taken < 0 ? taken : std::max(measurements.worst, taken);
        if (taken < 0) {
            return measurements;
        }
        fleet.time.runUntil(fleet.time.now() + MicrosPerSecond);
        seconds += static_cast<double>(taken) / 1e6 + 1;
        bytes += meanBytes(fleet);
    }
    measurements.bytesPerNodePerChange = (bytes - idle * seconds) / changes;
    measurements.callsPerChange = static_cast<double>(fleet.platform.reads - reads) / changes;
    return measurements;
}

void report(const std::string &name, const Measurements &measurements)
{
    BOOST_TEST_MESSAGE(name << ": in effect everywhere after " << static_cast<double>(measurements.worst) / 1e3 << " ms at worst, "
                            << measurements.callsPerChange << " calls to the platform per change (without watches), " << measurements.bytesPerNodePerChange
                            << " bytes per node and change, "
                            << (measurements.bytesPerNodePerChange * ChangesPerDay + measurements.idleBytesPerNodePerDay) / 1e6
                            << " MB per node and day at 2,000 changes, of which idle " << measurements.idleBytesPerNodePerDay / 1e6);
}

} // namespace

// Guards against a version that takes longer than 3 s to take effect everywhere, in a small fleet and in one of the design size.
BOOST_AUTO_TEST_CASE(versionsSpreadInTime)
{
    for (const auto &[count, zones, regions] : { std::tuple(50, 3, 2), std::tuple(1650, 8, 3) }) {
        for (const std::size_t bytes : { std::size_t{ 20'000 }, std::size_t{ 400'000 } }) {
            Fleet fleet(count, zones, regions);
            fleet.startAll("{}");
            const Measurements measurements = measure(fleet, bytes, 3);
            report(std::to_string(count) + " holders, document of " + std::to_string(bytes) + " bytes", measurements);
            BOOST_TEST(measurements.worst > 0);
            BOOST_TEST(measurements.worst <= MaxSpreadTime);
            BOOST_TEST(measurements.bytesPerNodePerChange * ChangesPerDay + measurements.idleBytesPerNodePerDay <= NodeBytesPerDay);
            BOOST_TEST(fleet.watchers().size() == 2U * static_cast<std::size_t>(zones));
        }
    }
}

// Guards against a version that takes longer than 3 s when the platform is slow, when watchers are killed, or after a partition
// has ended.
BOOST_AUTO_TEST_CASE(versionsSpreadInTimeUnderFaults)
{
    Fleet fleet(1650, 8, 3);
    fleet.startAll("{}");
    fleet.apply(documentOf(20'000, 0));
    fleet.time.runUntil(fleet.time.now() + 15 * MicrosPerSecond);

    fleet.platform.extraLatency = 500 * MicrosPerMilli;
    const Micros slow = fleet.spreadTime(fleet.apply(documentOf(20'000, 1)), 10 * MicrosPerSecond);
    fleet.platform.extraLatency = 0;

    // One watcher of each zone and both watchers of zone 0 are killed. Membership has not detected this yet.
    std::map<std::string, int> killed;
    for (Node *node : fleet.watchers()) {
        if (killed[node->zone]++ == 0 || node->zone == "zone-0") {
            node->up = false;
        }
    }
    const Micros killedWatchers = fleet.spreadTime(fleet.apply(documentOf(20'000, 2)), 10 * MicrosPerSecond);
    fleet.updateMembers();
    fleet.time.runUntil(fleet.time.now() + 5 * MicrosPerSecond);

    // A region without the platform is partitioned. The version must take effect there within 3 s after the partition ends.
    fleet.partition(2);
    const std::uint64_t version = fleet.apply(documentOf(20'000, 3));
    fleet.time.runUntil(fleet.time.now() + 60 * MicrosPerSecond);
    fleet.partition(-1);
    const Micros healed = fleet.spreadTime(version, 10 * MicrosPerSecond);
    BOOST_TEST_MESSAGE("ms until in effect everywhere: platform slow by 500 ms " << slow / 1000 << ", watchers killed " << killedWatchers / 1000
                                                                                 << ", after a partition " << healed / 1000);
    for (const Micros taken : { slow, killedWatchers, healed }) {
        BOOST_TEST(taken > 0);
        BOOST_TEST(taken <= MaxSpreadTime);
    }
}

// Guards against a process that serves under an outdated document after a start or a pause during an outage of the platform.
BOOST_AUTO_TEST_CASE(startAndPauseDuringAnOutage)
{
    Fleet fleet(50, 3, 2);
    fleet.startAll("{}");
    const std::uint64_t first = fleet.apply(documentOf(1000, 1));
    BOOST_REQUIRE(fleet.spreadTime(first, MaxSpreadTime) > 0);
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

    // From its first tick after the pause, the process must serve only under the version that the others have.
    fleet.time.runUntil(paused.pausedUntil);
    for (int i = 0; i < 100; ++i) {
        fleet.time.runUntil(fleet.time.now() + Tick);
        BOOST_TEST((!paused.relay->mayServe() || paused.holder->inEffect().version == second));
    }
    BOOST_TEST(paused.relay->mayServe());
}

// Guards against an unusable document that takes effect or is not forwarded: the process must keep the previous document in effect
// and hold the newer one.
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

// Guards against a delta that yields wrong bytes, including for repetitive, shrinking and growing texts.
RC_BOOST_PROP(deltasYieldTheDocument, ())
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

// Guards against a process that remains on an old version because a delta does not match the document that it holds.
BOOST_AUTO_TEST_CASE(rejectedDeltaFallsBackToFullText)
{
    Fleet fleet(4, 1, 1);
    fleet.startAll("{}");
    Node &divergent = *fleet.nodes[3];
    BOOST_REQUIRE(divergent.holder->accept(1, documentDigest("other bytes"), "other bytes"));
    BOOST_REQUIRE(fleet.apply(documentOf(1000, 1)) == 1U);
    fleet.time.runUntil(fleet.time.now() + MicrosPerSecond);
    divergent.transport.disconnected = true; // Forces it to get the document from a peer.
    const std::uint64_t version = fleet.apply(documentOf(1000, 2));
    const Micros taken = fleet.spreadTime(version, 10 * MicrosPerSecond);
    BOOST_TEST(taken > 0);
    BOOST_TEST(taken <= MaxSpreadTime);
    BOOST_TEST(divergent.relay->stats().deltasRejected == 1U);
    BOOST_TEST(*divergent.holder->inEffect().text == documentOf(1000, 2));
}

// Guards against a version that decreases or is never received, under random crashes, pauses, partitions and outages.
RC_BOOST_PROP(versionsNeverDecrease, ())
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
            fleet.partition(target % 4 - 1);
        } else if (action == 4) {
            fleet.platform.outage = !fleet.platform.outage;
            fleet.platform.endWatches(WatchEventType::Closed);
        } else if (!fleet.platform.outage) {
            last = fleet.apply(documentOf(100, ++mark));
        }
        fleet.updateMembers();
        fleet.time.runUntil(fleet.time.now() + 300 * MicrosPerMilli);
    }
    fleet.partition(-1);
    fleet.platform.outage = false;
    fleet.time.runUntil(fleet.time.now() + 3 * MicrosPerSecond);
    for (const std::unique_ptr<Node> &node : fleet.nodes) {
        if (!node->up) {
            node->start("");
        }
    }
    fleet.updateMembers();
    RC_ASSERT(last == 0 || fleet.spreadTime(last, MaxSpreadTime) > 0);
}
