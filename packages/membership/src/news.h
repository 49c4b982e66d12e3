#pragma once

// What has to spread: which rows and facts still ride on outgoing datagrams, and the known facts themselves. No I/O.

#include "datagram.h"

#include <map>

namespace Carobhall
{

/// Names a row or a fact.
struct NewsKey {
    static constexpr std::uint16_t RowKind = 0x100; ///< Beyond the 8 bits of a fact's kind.
    std::uint16_t kind = RowKind;
    std::uint64_t id = 0; ///< Incarnation of the row, or key of the fact.

    bool operator<(const NewsKey &other) const
    {
        return std::pair(kind, id) < std::pair(other.kind, other.id);
    }
};

/// News in the order in which they are sent: those sent least often first, of these the newest. Each is sent a limited number of
/// times. After many members joined at once the queue is long; fresh news still rides on every datagram until it has caught up.
class NewsQueue
{
public:
    /// Adds a key, or restarts its count.
    void add(const NewsKey &key);
    void remove(const NewsKey &key);

    /// Offers keys to \p send until it returns false. A key that was sent \p limit times goes.
    void drain(std::size_t limit, const std::function<bool(const NewsKey &)> &send);

    [[nodiscard]] std::size_t size() const
    {
        return positions_.size();
    }

private:
    struct Position {
        std::size_t transmissions = 0;
        std::uint64_t age = 0; ///< Smaller for newer ones.

        bool operator<(const Position &other) const
        {
            return std::pair(transmissions, age) < std::pair(other.transmissions, other.age);
        }
    };
    std::map<NewsKey, Position> positions_;
    std::map<Position, NewsKey> queue_;
    std::vector<std::pair<NewsKey, Position>> sent_; ///< Used by drain().
    std::uint64_t nextAge_ = ~std::uint64_t{ 0 };
};

/// The known facts with their expiry.
class FactTable
{
public:
    /// Whether \p fact was news. Facts beyond the capacity are dropped.
    bool merge(const Fact &fact, Micros now);
    /// With the remaining lifetime; null when unknown or expired.
    [[nodiscard]] std::optional<Fact> get(const NewsKey &key, Micros now) const;
    [[nodiscard]] std::vector<Fact> all(Micros now) const;
    void expire(Micros now);

private:
    struct Row {
        Fact fact;
        Micros deadline = 0; ///< 0: none.
    };
    static constexpr std::size_t Capacity = 1024;
    std::map<NewsKey, Row> rows_;
};

/// Bytes that may be sent, refilled over time.
class ByteBudget
{
public:
    ByteBudget(double bytesPerSecond, double burst)
        : rate_(bytesPerSecond)
        , burst_(burst)
        , left_(burst)
    {
    }
    /// Takes \p bytes if that many are left.
    bool take(std::size_t bytes, Micros now);

private:
    double rate_;
    double burst_;
    double left_;
    Micros filledAt_ = 0;
};

} // namespace Carobhall
