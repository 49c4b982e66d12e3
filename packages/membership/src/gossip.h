#pragma once

// Gossip dissemination: the queue of rows and facts that are still to be piggybacked on outgoing datagrams, the table of known
// facts, and the rate limit for datagrams. Does no I/O.

#include "datagram.h"

#include <map>

namespace Carobhall
{

/// Identifies a row or a fact.
struct GossipKey {
    static constexpr std::uint16_t RowKind = 0x100; ///< Outside of the 8-bit range of Fact::kind.
    std::uint16_t kind = RowKind;
    std::uint64_t id = 0; ///< Incarnation of the row's member, or key of the fact.

    bool operator<(const GossipKey &other) const
    {
        return std::pair(kind, id) < std::pair(other.kind, other.id);
    }
};

/// Priority queue of updates to gossip. Updates with the fewest transmissions come first; among equals the newest comes first.
/// Each update is sent a limited number of times. When many members join at once, the queue becomes long; with this order a new
/// update still goes out with every datagram until it has been sent as often as the older ones.
class GossipQueue
{
public:
    /// Adds a key, or resets its transmission count if it is queued already.
    void add(const GossipKey &key);
    void remove(const GossipKey &key);

    /// Passes keys to \p send, each at most once, until it returns false. A key that has been sent \p limit times is removed.
    void drain(std::size_t limit, const std::function<bool(const GossipKey &)> &send);

    [[nodiscard]] std::size_t size() const
    {
        return priorities_.size();
    }

private:
    struct Priority {
        std::size_t transmissions = 0;
        std::uint64_t order = 0; ///< Smaller for keys that were added later.

        bool operator<(const Priority &other) const
        {
            return std::pair(transmissions, order) < std::pair(other.transmissions, other.order);
        }
    };
    std::map<GossipKey, Priority> priorities_;
    std::map<Priority, GossipKey> queue_;
    std::vector<std::pair<GossipKey, Priority>> sent_; ///< Scratch buffer of drain().
    std::uint64_t nextOrder_ = ~std::uint64_t{ 0 };
};

/// The known facts with their expiry times.
class FactTable
{
public:
    /// Stores \p fact if it is new or has a greater value than the stored one. Returns whether it was stored. When the table is
    /// full, facts with new keys are dropped.
    bool merge(const Fact &fact, Micros now);
    /// Returns the fact with its remaining lifetime, or nothing if it is unknown or has expired.
    [[nodiscard]] std::optional<Fact> get(const GossipKey &key, Micros now) const;
    [[nodiscard]] std::vector<Fact> all(Micros now) const;
    void removeExpired(Micros now);

private:
    struct Entry {
        Fact fact;
        Micros expiresAt = 0; ///< 0: does not expire.
    };
    static constexpr std::size_t Capacity = 1024;
    std::map<GossipKey, Entry> entries_;
};

/// Token bucket that limits the bytes sent per second. It starts full.
class ByteTokenBucket
{
public:
    ByteTokenBucket(double bytesPerSecond, double burstBytes)
        : bytesPerSecond_(bytesPerSecond)
        , burstBytes_(burstBytes)
        , availableBytes_(burstBytes)
    {
    }
    /// Takes \p bytes and returns true if that many are available. Otherwise takes none and returns false.
    bool take(std::size_t bytes, Micros now);

private:
    double bytesPerSecond_;
    double burstBytes_;
    double availableBytes_;
    Micros refilledAt_ = 0;
};

} // namespace Carobhall
