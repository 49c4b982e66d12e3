#pragma once

// What has to spread: which rows and facts still ride on outgoing datagrams, and the known facts themselves. No I/O.

#include "datagram.h"

#include <deque>
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

/// News in the order in which they are sent: the newest first, then those sent least recently. Each is sent a limited number of times.
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
        return live_.size();
    }

private:
    struct Live {
        std::uint64_t generation = 0;
        std::size_t transmissions = 0;
    };
    struct Queued {
        NewsKey key;
        std::uint64_t generation = 0;
    };
    std::map<NewsKey, Live> live_;
    std::deque<Queued> queue_; ///< May hold outdated generations, which are skipped.
    std::uint64_t nextGeneration_ = 1;
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
