#pragma once

// Who is in the fleet: a table of all processes, kept by random probing and gossip in the manner of SWIM, and small facts
// that spread with it.
//
// Membership is a state machine without I/O or clock. The owner passes in time and datagrams, and gets datagrams to send
// and events. MembershipUdp, in the second header of the package, runs one over authenticated UDP datagrams.
//
//     Membership membership({.self = info, .seeds = {"10.0.0.1:7101"}, .seed = random,
//                            .send = [](const std::string &to, std::string_view bytes) {...},
//                            .onEvent = [](const MemberEvent &event) {...}});
//     membership.tick(now);                        // every 50 ms or so
//     membership.receive(bytes, from, now);        // bytes are authenticated already
//     for (const Member &member : membership.members()) { if (member.usable()) ... }
//     membership.updateSelf([](MemberInfo &self) { self.upstreamState = ...; }, now);
//     membership.publish({.kind = FactKind::ConfigVersion, .key = 0, .value = 17, .text = digest}, now);
//     membership.leave(now);                       // graceful shutdown; keep ticking until the process ends
//
// A member is a process incarnation. An address that is reused by another process is therefore another member, and the old
// one is declared dead as soon as the new one answers at its address.
//
// Not thread-safe: use it from the main loop's thread. Events are delivered from within tick(), receive(), leave(),
// updateSelf() and publish(); a handler may read the table but not call these.
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

/// What a process says of itself. A change raises the row's revision and spreads, except of configVersion alone, which travels
/// only in the process's own datagrams: one change of the document would otherwise rewrite every row of every table.
struct MemberInfo {
    std::string name{};          ///< Unique in the environment.
    std::string zone{};          ///< Availability zone.
    std::string address{};       ///< wireAddress, "ip:port"; datagrams go to the same UDP port.
    Incarnation incarnation = 0; ///< Of the process. Not 0.
    std::uint8_t kind = 0;       ///< A ProcessKind.
    std::string upstream{};      ///< Of an agent: name in the environment document.
    Incarnation upstreamIncarnation = 0;
    std::uint8_t upstreamState = 0; ///< An UpstreamState.
    std::string route{};            ///< Model, or plain service.
    std::string weightsVersion{};
    std::uint64_t configVersion = 0;

    bool operator==(const MemberInfo &) const = default;
    MSGPACK_DEFINE(name, zone, address, incarnation, kind, upstream, upstreamIncarnation, upstreamState, route, weightsVersion, configVersion)
};

/// In the order of precedence between statements of the same revision.
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
    bool leaving = false;       ///< It announced that it leaves. Stays true while it is suspected.
    bool reachable = true;      ///< False while this process hears nothing from the member's whole region.
    std::uint32_t revision = 0; ///< Raised only by the member itself, when it changes or refutes a suspicion.
    Micros changedAt = 0;       ///< When `state` changed here.
    Micros heardAt = 0;         ///< Last datagram from the member itself; 0: never.

    /// May receive new work: not leaving, not dead, reachable. A suspect still counts: most suspicions are refuted.
    [[nodiscard]] bool usable() const
    {
        return state != MemberState::Dead && !leaving && reachable;
    }
};

// 2. Facts ----------------------------------------------------------------------------------------

enum class FactKind : std::uint8_t {
    ConfigVersion,      ///< key 0, value: version, text: digest.
    SuspectFingerprint, ///< key: fingerprint, value: a Suspicion.
};

/// A small statement that every process should know. Of two with the same kind and key, the greater value wins.
struct Fact {
    std::uint8_t kind = 0; ///< A FactKind. Unknown kinds are passed on.
    std::uint64_t key = 0;
    std::uint64_t value = 0;
    std::string text{}; ///< At most MaxFactTextBytes bytes.
    Micros ttl = 0;     ///< Remaining lifetime when sent; 0: unlimited.

    bool operator==(const Fact &) const = default;
    MSGPACK_DEFINE(kind, key, value, text, ttl)
};

inline constexpr std::size_t MaxFactTextBytes = 128; ///< Bytes.

// 3. Events ---------------------------------------------------------------------------------------

enum class MemberEventKind : std::uint8_t {
    Joined,      ///< A new row.
    Updated,     ///< The member's information changed.
    Suspected,   ///< It does not answer.
    Refuted,     ///< A suspicion or a death turned out wrong.
    Left,        ///< It announced that it leaves: give it no new work.
    Died,        ///< It is dead. The row stays for a time and then goes.
    Unreachable, ///< Nothing is heard from its region.
    Reachable,   ///< Its region answers again.
    FactLearned, ///< `fact` is new or has a greater value.
    Resumed,     ///< This process was paused for longer than the limit; what it knows may be outdated. `member` is itself.
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
    const Member *member = nullptr; ///< Valid during the call; null for FactLearned.
    const Fact *fact = nullptr;     ///< Valid during the call; only for FactLearned.
};

// 4. Options --------------------------------------------------------------------------------------

inline constexpr std::size_t MaxDatagramBytes = 1'200; ///< Of a sealed datagram.
inline constexpr std::size_t SealOverheadBytes = 48;   ///< Bytes that MembershipUdp adds.
inline constexpr std::size_t MaxPayloadBytes = MaxDatagramBytes - SealOverheadBytes;

/// Mechanisms that can be turned off, so that tests can show what each one is for.
struct MembershipMechanisms {
    bool indirectPings = true;      ///< Ask others to ping a member that does not answer.
    bool refutation = true;         ///< Contradict a suspicion of oneself.
    bool eagerPush = true;          ///< Send news at once to a few members instead of with the next pings only.
    bool sync = true;               ///< Compare tables with a random member now and then.
    bool regionReachability = true; ///< Keep the members of a silent region.
    bool pauseDetection = true;     ///< Judge no one by time during which this process did not run.
    bool addressCheck = true;       ///< Declare a member dead when another incarnation answers at its address.
    bool replayWindow = true;       ///< Drop datagrams seen before.
};

struct MembershipOptions {
    MemberInfo self{};
    std::vector<std::string> seeds{}; ///< Addresses of some other processes; the own one is skipped.
    std::uint64_t randomSeed = 1;     ///< Seed of the random number generator.
    /// The region of a zone; members of unknown zones are never marked unreachable.
    std::function<std::string(std::string_view zone)> regionOf{};
    std::function<void(const std::string &address, std::string_view payload)> send{};
    std::function<void(const MemberEvent &)> onEvent{};

    Micros period = 500 * MicrosPerMilli;      ///< One member is pinged per period.
    Micros pingTimeout = 150 * MicrosPerMilli; ///< Then others are asked to ping it.
    std::size_t indirectPings = 3;
    Micros suspicionTimeout = 2 * MicrosPerSecond;                       ///< A suspect that has not refuted by then is dead.
    Micros regionTimeout = 2 * MicrosPerSecond;                          ///< A region that was pinged and silent for this long is cut off.
    Micros deadRetention = 600 * MicrosPerSecond;                        ///< A dead row stays, so that old news cannot revive it.
    Micros unreachableRetention = Micros{ 24 } * 3600 * MicrosPerSecond; ///< Rows of a region that stays silent go after this.
    Micros syncPeriod = 5 * MicrosPerSecond;                             ///< Tables are compared about this often.
    Micros pauseThreshold = MicrosPerSecond;                             ///< A longer time between two ticks is a pause of this process.
    std::size_t eagerFanout = 3;                                         ///< Members that get news at once.
    double eagerBytesPerSecond = 3'000;                                  ///< Budget of eager pushes, with a burst of eight seconds worth.
    double syncBytesPerSecond = 100'000; ///< Budget of answers to joining members and table comparisons, with a burst of five seconds worth.
    MembershipMechanisms mechanisms{};
};

struct MembershipCounters {
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0; ///< Payload.
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t malformed = 0;
    std::uint64_t replayed = 0;
    std::uint64_t probes = 0;
    std::uint64_t probesFailed = 0;
    std::uint64_t suspicions = 0;  ///< Raised here.
    std::uint64_t refutations = 0; ///< Of suspicions of this process.
    std::uint64_t deaths = 0;      ///< Declared here.
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

    /// Probes, times out, spreads. Call it about every 50 ms; \p now never decreases.
    void tick(Micros now);

    /// Takes one payload from \p from, "ip:port". Malformed ones are counted and dropped.
    void receive(std::string_view payload, const std::string &from, Micros now);

    /// All rows, in no particular order, this process first. Valid until the next call that is not const.
    [[nodiscard]] std::span<const Member> members() const;
    /// Null when unknown.
    [[nodiscard]] const Member *find(Incarnation incarnation) const;
    [[nodiscard]] const Member &self() const;
    /// Rows that are not dead, this process included.
    [[nodiscard]] std::size_t aliveCount() const;

    /// The facts that have not expired at \p now.
    [[nodiscard]] std::vector<Fact> facts(Micros now) const;
    /// The value of a fact, if it is known and has not expired.
    [[nodiscard]] std::optional<Fact> fact(FactKind kind, std::uint64_t key, Micros now) const;

    /// Spreads a fact. Ignored when one with an equal or greater value is known. Precondition: text is at most MaxFactTextBytes bytes.
    void publish(const Fact &fact, Micros now);

    /// Adds to the seeds, for example from a list that arrives after the start. Known ones are skipped.
    void addSeeds(std::span<const std::string> addresses);

    /// Changes what this process says of itself. Name, address and incarnation stay as they are.
    void updateSelf(const std::function<void(MemberInfo &)> &change, Micros now);

    /// Announces that this process leaves. It keeps answering until it ends; further calls do nothing.
    void leave(Micros now);

    /// The owner saw a call to \p incarnation fail: it is pinged with the next tick instead of in its turn.
    void reportFailure(Incarnation incarnation);

    [[nodiscard]] const MembershipCounters &counters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Carobhall
