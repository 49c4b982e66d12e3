#pragma once

// Group membership and failure detection for the fleet. Every process keeps a table of all processes, maintained by random
// probing and gossip as in the SWIM protocol. The gossip also disseminates small key-value records, called facts.
//
// Membership is a state machine that does no I/O and reads no clock. Its owner passes in the current time and the received
// datagrams; Membership calls back with datagrams to send and with events. MembershipUdp (membership_udp.h) runs a
// Membership over authenticated UDP datagrams.
//
//     Membership membership({.self = info, .seeds = {"10.0.0.1:7101"}, .seed = random,
//                            .send = [](const std::string &to, std::string_view bytes) {...},
//                            .onEvent = [](const MemberEvent &event) {...}});
//     membership.tick(now);                        // about every 50 ms
//     membership.receive(bytes, from, now);        // bytes must already be authenticated
//     for (const Member &member : membership.members()) { if (member.usable()) ... }
//     membership.updateSelf([](MemberInfo &self) { self.upstreamState = ...; }, now);
//     membership.publish({.kind = FactKind::ConfigVersion, .key = 0, .value = 17, .text = digest}, now);
//     membership.leave(now);                       // graceful shutdown; keep ticking until the process ends
//
// A member is one incarnation of a process. When another process takes over an address, it is a new member, and the old member
// is declared dead as soon as the new one answers at that address.
//
// Not thread-safe: use it from the main loop's thread. Events are delivered from within tick(), receive(), leave(),
// updateSelf() and publish(). An event handler may read the table but must not call these functions.
//
// Index
//   1. Members
//   2. Facts
//   3. Events
//   4. Options
//   5. Membership

#include "carobhall/wire.h"

#include <random>
#include <span>
#include <unordered_map>

namespace Carobhall
{

// 1. Members --------------------------------------------------------------------------------------

/// What a process publishes about itself. A change increments the row's revision and is gossiped to all members. A change of
/// configVersion alone is not: it is carried only in the header of the process's own datagrams. Otherwise one change of the
/// environment document would rewrite every row of every table.
struct MemberInfo {
    std::string name{};          ///< Unique in the environment.
    std::string zone{};          ///< Availability zone.
    std::string address{};       ///< The wireAddress, "ip:port". Membership datagrams use the same port number over UDP.
    Incarnation incarnation = 0; ///< Incarnation of the process; never 0.
    std::uint8_t kind = 0;       ///< A ProcessKind.
    std::string upstream{};      ///< For an agent: name of its upstream in the environment document.
    Incarnation upstreamIncarnation = 0;
    std::uint8_t upstreamState = 0; ///< An UpstreamState.
    std::string route{};            ///< Name of the model or of the plain service.
    std::string weightsVersion{};
    std::uint64_t configVersion = 0;

    bool operator==(const MemberInfo &) const = default;
    MSGPACK_DEFINE(name, zone, address, incarnation, kind, upstream, upstreamIncarnation, upstreamState, route, weightsVersion, configVersion)
};

/// Ordered by precedence: of two rows with the same revision, the one with the greater state wins.
enum class MemberState : std::uint8_t { Alive, Leaving, Suspect, Dead };

template<>
struct EnumNames<MemberState> {
    static constexpr std::array rows{
        EnumName{ MemberState::Alive, "alive" },
        EnumName{ MemberState::Leaving, "leaving" },
        EnumName{ MemberState::Suspect, "suspect" },
        EnumName{ MemberState::Dead, "dead" },
    };
};

struct Member {
    MemberInfo info;
    MemberState state = MemberState::Alive;
    bool leaving = false;       ///< The member has announced its shutdown. Stays true while the member is a suspect.
    bool reachable = true;      ///< False while this process receives nothing from any member of the member's region.
    std::uint32_t revision = 0; ///< Incremented only by the member itself, when its row changes or when it refutes a suspicion.
    Micros changedAt = 0;       ///< When `state` last changed in this table.
    Micros heardAt = 0;         ///< When the last datagram from the member itself arrived; 0: never.

    /// Whether the member may receive new work: not dead, not leaving and reachable. A suspect is still usable, because most
    /// suspicions are refuted.
    [[nodiscard]] bool usable() const
    {
        return state != MemberState::Dead && !leaving && reachable;
    }
};

// 2. Facts ----------------------------------------------------------------------------------------

enum class FactKind : std::uint8_t {
    ConfigVersion,      ///< key: 0, value: configuration version, text: digest.
    SuspectFingerprint, ///< key: request fingerprint, value: a Suspicion.
};

/// A small record that is disseminated to every process. Of two facts with the same kind and key, the one with the greater
/// value wins.
struct Fact {
    std::uint8_t kind = 0; ///< A FactKind. Facts of unknown kinds are forwarded as well.
    std::uint64_t key = 0;
    std::uint64_t value = 0;
    std::string text{}; ///< At most MaxFactTextBytes bytes.
    Micros ttl = 0;     ///< Remaining lifetime at the time of sending; 0: unlimited.

    bool operator==(const Fact &) const = default;
    MSGPACK_DEFINE(kind, key, value, text, ttl)
};

inline constexpr std::size_t MaxFactTextBytes = 128; ///< Bytes.

// 3. Events ---------------------------------------------------------------------------------------

enum class MemberEventKind : std::uint8_t {
    Joined,      ///< A member was added to the table.
    Updated,     ///< The member's MemberInfo changed.
    Suspected,   ///< The member does not answer pings.
    Refuted,     ///< The member is alive after all: a suspicion or a declaration of death was wrong.
    Left,        ///< The member announced its shutdown and must get no new work.
    Died,        ///< The member was declared dead. Its row is removed after MembershipOptions::deadRetention.
    Unreachable, ///< No datagrams arrive from the member's region.
    Reachable,   ///< Datagrams from the member's region arrive again.
    FactLearned, ///< `fact` is new or has a greater value than before.
    Resumed,     ///< This process was paused for longer than pauseThreshold; its table may be outdated. `member` is this process.
};

template<>
struct EnumNames<MemberEventKind> {
    static constexpr std::array rows{
        EnumName{ MemberEventKind::Joined, "joined" },
        EnumName{ MemberEventKind::Updated, "updated" },
        EnumName{ MemberEventKind::Suspected, "suspected" },
        EnumName{ MemberEventKind::Refuted, "refuted" },
        EnumName{ MemberEventKind::Left, "left" },
        EnumName{ MemberEventKind::Died, "died" },
        EnumName{ MemberEventKind::Unreachable, "unreachable" },
        EnumName{ MemberEventKind::Reachable, "reachable" },
        EnumName{ MemberEventKind::FactLearned, "fact_learned" },
        EnumName{ MemberEventKind::Resumed, "resumed" },
    };
};

struct MemberEvent {
    MemberEventKind kind = MemberEventKind::Joined;
    const Member *member = nullptr; ///< Valid only during the call; null for FactLearned.
    const Fact *fact = nullptr;     ///< Valid only during the call; set only for FactLearned.
};

// 4. Options --------------------------------------------------------------------------------------

inline constexpr std::size_t MaxDatagramBytes = 1'200; ///< Size limit of a sealed datagram.
inline constexpr std::size_t SealOverheadBytes = 48;   ///< Reserved for what MembershipUdp adds to a payload.
inline constexpr std::size_t MaxPayloadBytes = MaxDatagramBytes - SealOverheadBytes;

/// Parts of the protocol that tests can turn off one by one to show which failure each of them prevents.
struct MembershipMechanisms {
    bool indirectPings = true;      ///< Ask other members to ping a member that does not answer.
    bool refutation = true;         ///< Refute suspicions of this process.
    bool eagerPush = true;          ///< Send updates to a few members at once instead of only with the next pings.
    bool sync = true;               ///< Anti-entropy: periodically compare tables with a random member.
    bool regionReachability = true; ///< Mark the members of a silent region unreachable instead of dead.
    bool pauseDetection = true;     ///< Do not count time during which this process did not run against other members.
    bool addressCheck = true;       ///< Declare a member dead when another incarnation answers at its address.
    bool replayWindow = true;       ///< Drop datagrams that were received before.
};

struct MembershipOptions {
    MemberInfo self{};
    std::vector<std::string> seeds{}; ///< Addresses of some other processes. This process's own address is skipped.
    std::uint64_t randomSeed = 1;     ///< Seed of the random number generator.
    /// Returns the region of a zone, empty if unknown. Members of unknown zones are never marked unreachable.
    std::function<std::string(std::string_view zone)> regionOf{};
    std::function<void(const std::string &address, std::string_view payload)> send{};
    std::function<void(const MemberEvent &)> onEvent{};

    Micros period = 500 * MicrosPerMilli;                                ///< Probe period: one member is pinged in each.
    Micros pingTimeout = 150 * MicrosPerMilli;                           ///< After this, other members are asked to ping the target.
    std::size_t indirectPings = 3;                                       ///< Members that are asked to ping an unresponsive target.
    Micros suspicionTimeout = 2 * MicrosPerSecond;                       ///< A suspect that has not refuted within this time is dead.
    Micros regionTimeout = 2 * MicrosPerSecond;                          ///< A region that does not answer pings for this long is unreachable.
    Micros deadRetention = 600 * MicrosPerSecond;                        ///< Dead rows are kept this long, so that old gossip cannot revive them.
    Micros unreachableRetention = Micros{ 24 } * 3600 * MicrosPerSecond; ///< Rows of a region that stays silent are removed after this.
    Micros syncPeriod = 5 * MicrosPerSecond;                             ///< Mean time between two table comparisons.
    Micros pauseThreshold = MicrosPerSecond;                             ///< A longer gap between two ticks counts as a pause of this process.
    std::size_t eagerFanout = 3;                                         ///< Members that receive an update at once.
    double eagerBytesPerSecond = 3'000;                                  ///< Rate limit of eager pushes; burst: eight seconds.
    double syncBytesPerSecond = 100'000; ///< Rate limit of rows sent to joining members and after comparisons; burst: five seconds.
    MembershipMechanisms mechanisms{};
};

struct MembershipCounters {
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0; ///< Payload bytes, without SealOverheadBytes.
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t malformed = 0;
    std::uint64_t replayed = 0;
    std::uint64_t probes = 0;
    std::uint64_t probesFailed = 0;
    std::uint64_t suspicions = 0;  ///< Raised by this process.
    std::uint64_t refutations = 0; ///< Suspicions of this process that it refuted.
    std::uint64_t deaths = 0;      ///< Declared by this process.
    std::uint64_t eagerDatagrams = 0;
    std::uint64_t syncDatagrams = 0;
};

// 5. Membership -----------------------------------------------------------------------------------

struct MembershipDatagram;

class Membership
{
public:
    /// Preconditions: self.incarnation is not 0, self.address is not empty, `send` is set.
    explicit Membership(MembershipOptions options);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /// Sends probes, handles time-outs and disseminates updates. Call it about every 50 ms; \p now must never decrease.
    void tick(Micros now);

    /// Processes one payload that arrived from the address \p from ("ip:port"). Malformed payloads are counted and dropped.
    void receive(std::string_view payload, const std::string &from, Micros now);

    /// All rows: this process first, the others in no particular order. Valid until the next call of a non-const function.
    [[nodiscard]] std::span<const Member> members() const;
    /// Returns null if the incarnation is unknown.
    [[nodiscard]] const Member *find(Incarnation incarnation) const;
    [[nodiscard]] const Member &self() const;
    /// Number of members that are not dead, including this process.
    [[nodiscard]] std::size_t aliveCount() const;

    /// The facts that have not expired at \p now.
    [[nodiscard]] std::vector<Fact> facts(Micros now) const;
    /// The fact with this kind and key, if it is known and has not expired.
    [[nodiscard]] std::optional<Fact> fact(FactKind kind, std::uint64_t key, Micros now) const;

    /// Disseminates a fact. Ignored if an equal or greater value is already known. Precondition: text has at most
    /// MaxFactTextBytes bytes.
    void publish(const Fact &fact, Micros now);

    /// Adds seed addresses, for example from a list that arrives after the start. Duplicates are skipped.
    void addSeeds(std::span<const std::string> addresses);

    /// Changes the MemberInfo of this process. Precondition: \p change leaves name, address and incarnation as they are.
    void updateSelf(const std::function<void(MemberInfo &)> &change, Micros now);

    /// Announces the shutdown of this process. It keeps answering pings until it ends. Further calls do nothing.
    void leave(Micros now);

    /// Reports that a call to \p incarnation failed. The member is pinged in the next tick instead of in its regular turn.
    void reportFailure(Incarnation incarnation);

    [[nodiscard]] const MembershipCounters &counters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Carobhall
