#pragma once

// The protocol's state. Parts: membership.cpp (interface, spreading, events), probing.cpp (pings, suspicion, regions, pauses),
// receiving.cpp (datagrams, merging, comparing tables).

#include "ensure.h"
#include "member_table.h"
#include "news.h"

namespace Carobhall
{

/// A ping that waits for its answer.
struct PendingProbe {
    std::uint64_t sequence = 0;
    Incarnation target = 0; ///< 0: whoever is at the address.
    std::string address;
    Micros sentAt = 0;
    bool judges = true;    ///< Without an answer the target becomes a suspect. False for seeds, regions and addresses that are looked at.
    bool indirect = false; ///< Others were asked.
};

/// A ping on behalf of another member.
struct PendingRelay {
    std::uint64_t sequence = 0;
    std::uint64_t originSequence = 0;
    std::string originAddress;
    Micros sentAt = 0;
};

struct RegionRow {
    std::string name;
    Micros heardAt = 0;  ///< Last datagram from any of its members.
    Micros failedAt = 0; ///< First unanswered ping since then; 0: none.
    bool cut = false;
};

struct Membership::Impl {
    explicit Impl(MembershipOptions given);

    // Spreading
    void sendNews(const std::string &address, const MembershipDatagram &head, std::span<const std::size_t> firstRows = {});
    void transmit(const std::string &address, std::string_view payload);
    [[nodiscard]] MembershipDatagram head(DatagramType type);
    void addNews(const NewsKey &key);
    void addRowNews(std::size_t position);
    void pushEagerly();
    [[nodiscard]] std::size_t transmissionLimit() const;
    void emit(MemberEventKind kind, std::size_t position);
    void emitFact(const Fact &fact);
    void announceSelf();
    [[nodiscard]] std::vector<std::size_t> drawMembers(std::size_t count, Incarnation except);

    // Probing
    void resumeAfterPause(Micros gap);
    void contactSeeds();
    void startPeriod();
    void startProbe(std::size_t position, bool judges);
    void probeAddress(const std::string &address);
    [[nodiscard]] std::size_t nextTarget();
    void checkProbes();
    void askOthers(const PendingProbe &probe);
    void probeFailed(const PendingProbe &probe);
    void reprobe(Incarnation incarnation);
    void suspect(std::size_t position);
    void startSuspicionTimer(std::size_t position);
    void checkSuspects();
    void declareDead(std::size_t position);
    void cleanUp();
    void startSyncIfDue();
    void startSync(std::size_t position);

    // Regions
    [[nodiscard]] std::int32_t regionIndex(const std::string &zone);
    [[nodiscard]] bool inCutRegion(std::size_t position);
    void probeRegion(std::int32_t region);
    void checkRegions();
    void setRegionCut(std::int32_t region, bool cut);
    void heardFrom(std::size_t position);

    // Receiving
    void handle(const MembershipDatagram &datagram, const std::string &from);
    void handlePing(const MembershipDatagram &datagram, const std::string &from);
    void handlePingReq(const MembershipDatagram &datagram, const std::string &from);
    void handleAck(const MembershipDatagram &datagram);
    void handleSyncAsk(const MembershipDatagram &datagram, const std::string &from);
    void handleSyncRows(const MembershipDatagram &datagram);
    void sendRows(const std::string &address, std::uint64_t buckets);
    void mergeRow(const WireRow &row, bool spread);
    void mergeOwnRow(const WireRow &row);
    void mergeFact(const Fact &fact, bool spread);
    void checkAddress(std::size_t sender, const std::string &from);
    void checkInvariants() const;

    MembershipOptions options;
    MemberTable table;
    NewsQueue news;
    FactTable facts;
    ByteBudget eagerBudget;
    ByteBudget syncBudget;
    DatagramBuilder builder;
    std::mt19937_64 random;
    MembershipCounters counters;
    std::vector<RegionRow> regions;
    std::vector<PendingProbe> probes;
    std::vector<PendingRelay> relays;
    std::vector<Incarnation> suspects;
    std::vector<Incarnation> urgent;     ///< To be probed with the next tick.
    std::vector<Incarnation> probeOrder; ///< One round in random order.
    std::size_t probeCursor = 0;
    std::vector<NewsKey> eager; ///< To be pushed with the next tick.
    std::uint64_t datagramCounter = 0;
    std::uint64_t nextSequence = 1;
    std::uint64_t periodCount = 0;
    Micros now = 0;
    Micros lastTick = 0;
    Micros nextPeriod = 0;
    Micros nextSeedContact = 0;
    Micros nextSync = 0;
    Micros nextCleanUp = 0;
    Micros syncAskedAt = 0; ///< 0: no answer is awaited.
    std::int32_t ownRegion = -1;
    bool ticked = false;
    bool synced = false; ///< Some member has sent its table.
};

} // namespace Carobhall
