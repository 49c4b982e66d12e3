#pragma once

// State of the membership protocol. Its implementation is split into membership.cpp (public interface, dissemination, events),
// probing.cpp (pings, suspicion, regions, pauses) and receiving.cpp (received datagrams, merging, table comparison).

#include "ensure.h"
#include "gossip.h"
#include "member_table.h"

namespace Carobhall
{

/// A ping that has not been answered yet.
struct PendingProbe {
    std::uint64_t sequence = 0;
    Incarnation target = 0; ///< 0: any process at the address.
    std::string address;
    Micros sentAt = 0;
    bool raisesSuspicion = true;    ///< A missing answer makes the target a suspect. False for pings of seeds, regions and disputed addresses.
    bool indirectRequested = false; ///< The wait for a direct answer is over and indirect pings were requested, if they are enabled.
};

/// A ping sent on behalf of another member, which requested it with a PingReq.
struct PendingRelay {
    std::uint64_t sequence = 0;       ///< Sequence number of the ping that this process sent.
    std::uint64_t originSequence = 0; ///< Sequence number of the PingReq, for the forwarded Ack.
    std::string originAddress;        ///< Address of the member that sent the PingReq.
    Micros sentAt = 0;
};

struct RegionState {
    std::string name;
    Micros heardAt = 0;  ///< When the last datagram from any of its members arrived.
    Micros failedAt = 0; ///< When the first ping since then that remained unanswered was sent; 0: none.
    bool unreachable = false;
};

struct Membership::Impl {
    explicit Impl(MembershipOptions initialOptions);

    // Dissemination

    /// Sends a datagram with the given rows and as much queued gossip as fits.
    void sendWithGossip(const std::string &address, const MembershipDatagram &header, std::span<const std::size_t> firstRows = {});
    void transmit(const std::string &address, std::string_view payload);
    /// Fills in type, sender, datagram counter and configuration version.
    [[nodiscard]] MembershipDatagram makeHeader(DatagramType type);
    void enqueueGossip(const GossipKey &key);
    void enqueueRowGossip(std::size_t position);
    /// Sends the updates queued for eager push to a few random members.
    void pushEagerly();
    /// How often each update is piggybacked by this process.
    [[nodiscard]] std::size_t transmissionLimit() const;
    void emit(MemberEventKind kind, std::size_t position);
    void emitFact(const Fact &fact);
    /// Increments the revision of this process's own row and queues the row for gossip.
    void announceSelf();
    /// Up to \p count random members that are reachable and neither suspect nor dead.
    [[nodiscard]] std::vector<std::size_t> pickRandomMembers(std::size_t count, Incarnation excluded);

    // Probing
    void resumeAfterPause(Micros gap);
    void contactSeeds();
    void startPeriod();
    void startProbe(std::size_t position, bool raisesSuspicion);
    /// Pings whichever process is at \p address and asks for its row.
    void probeAddress(const std::string &address);
    [[nodiscard]] std::size_t nextProbeTarget();
    void checkProbes();
    void sendIndirectPings(const PendingProbe &probe);
    void probeFailed(const PendingProbe &probe);
    /// Queues a member for a ping in the current or next tick.
    void scheduleReprobe(Incarnation incarnation);
    void suspect(std::size_t position);
    void startSuspicionTimer(std::size_t position);
    void checkSuspects();
    void declareDead(std::size_t position);
    void cleanUp();
    void startSyncIfDue();
    void startSync(std::size_t position);

    // Regions
    [[nodiscard]] std::int32_t regionIndex(const std::string &zone);
    [[nodiscard]] bool inUnreachableRegion(std::size_t position);
    void probeRegion(std::int32_t region);
    void checkRegions();
    void setRegionUnreachable(std::int32_t region, bool unreachable);
    /// Records that a datagram arrived from the member itself, and so from its region.
    void recordContact(std::size_t position);

    // Receiving
    void handle(const MembershipDatagram &datagram, const std::string &from);
    void handlePing(const MembershipDatagram &datagram, const std::string &from);
    void handlePingReq(const MembershipDatagram &datagram, const std::string &from);
    void handleAck(const MembershipDatagram &datagram);
    void handleSyncRequest(const MembershipDatagram &datagram, const std::string &from);
    void handleSyncRows(const MembershipDatagram &datagram);
    void sendRows(const std::string &address, std::uint64_t bucketMask);
    void mergeRow(const WireRow &row, bool disseminate);
    void mergeOwnRow(const WireRow &row);
    void mergeFact(const Fact &fact, bool disseminate);
    /// If \p sender is at \p from, declares dead any other member recorded there.
    void updateAddressOwner(std::size_t sender, const std::string &from);
    void checkInvariants() const;

    MembershipOptions options;
    MemberTable table;
    GossipQueue gossipQueue;
    FactTable facts;
    ByteTokenBucket eagerBudget;
    ByteTokenBucket syncBudget;
    DatagramBuilder builder;
    std::mt19937_64 random;
    MembershipCounters counters;
    std::vector<RegionState> regions;
    std::vector<PendingProbe> probes;
    std::vector<PendingRelay> relays;
    std::vector<Incarnation> suspects;
    std::vector<Incarnation> reprobeQueue; ///< To be pinged when the next tick handles the queue.
    std::vector<Incarnation> probeOrder;   ///< The members of the current probing round, in random order.
    std::size_t probeCursor = 0;
    std::vector<GossipKey> eagerQueue; ///< Updates for the next eager push.
    std::uint64_t datagramCounter = 0;
    std::uint64_t nextSequence = 1;
    std::uint64_t periodCount = 0;
    Micros now = 0;
    Micros lastTick = 0;
    Micros nextPeriod = 0;
    Micros nextSeedContact = 0;
    Micros nextSync = 0;
    Micros nextCleanUp = 0;
    Micros syncRequestedAt = 0; ///< When the unanswered SyncRequest was sent; 0: none is pending.
    std::int32_t ownRegion = -1;
    bool hasTicked = false;
    bool hasSynced = false; ///< A SyncRows datagram has been received.
};

} // namespace Carobhall
