#include "routing_internal.h"

#include <algorithm>
#include <bit>

namespace Carobhall
{

using RoutingInternal::ensure;

namespace
{

// Maximum load factor of the hash table, which keeps the probe sequences of linear probing short.
constexpr double MaxLoadFactor = 0.6;

std::size_t slotCountFor(std::size_t capacity)
{
    return std::bit_ceil(static_cast<std::size_t>(static_cast<double>(capacity) / MaxLoadFactor) + 2);
}

} // namespace

// Events and snapshots ----------------------------------------------------------------------------

CacheIndex::CacheIndex(CacheIndexOptions options)
    : options_(options)
{
    ensure(options_.capacity > 0 && options_.reorderEvents > 0 && options_.reorderHashes > 0, "the cache index options must be positive");
    slots_.resize(slotCountFor(options_.capacity));
    mask_ = slots_.size() - 1;
    buffer_.resize(options_.reorderEvents);
    bufferedHashes_.reserve(options_.reorderHashes);
}

bool CacheIndex::setIncarnation(Incarnation incarnation)
{
    if (incarnation == 0 || std::find(retired_.begin(), retired_.end(), incarnation) != retired_.end()) {
        return false;
    }
    if (incarnation != incarnation_) {
        reset();
        incarnation_ = incarnation;
        state_ = IndexState::Exact;
    }
    return true;
}

void CacheIndex::reset()
{
    if (incarnation_ != 0) {
        retired_[retiredNext_] = incarnation_;
        retiredNext_ = (retiredNext_ + 1) % RetiredCount;
    }
    clearTable();
    clearBuffer();
    incarnation_ = 0;
    highestSeen_ = 0;
    next_ = 1;
    state_ = IndexState::Empty;
}

void CacheIndex::apply(Incarnation incarnation, const CacheEvent &event, Micros now)
{
    if (!setIncarnation(incarnation)) {
        ++counters_.staleIncarnation;
        return;
    }
    if (event.sequence < next_) {
        ++counters_.duplicates;
        return;
    }
    highestSeen_ = std::max(highestSeen_, event.sequence);
    if (event.sequence == next_) {
        applyInOrder(event);
        applyBuffered();
    } else {
        buffer(event, now);
    }
    updateState(now);
    checkInvariants();
}

void CacheIndex::loadSnapshot(Incarnation incarnation, std::uint64_t sequence, std::span<const PrefixHash> hashes, Micros now)
{
    if (!setIncarnation(incarnation)) {
        ++counters_.staleIncarnation;
        return;
    }
    if (sequence + 1 < next_) {
        ++counters_.duplicates;
        return;
    }
    clearTable();
    for (const PrefixHash hash : hashes) {
        insert(hash);
    }
    // Discards the buffered events that the snapshot includes. Skips to its end once the buffer is empty.
    while (next_ <= sequence) {
        if (Buffered &slot = buffer_[next_ % buffer_.size()]; slot.sequence == next_) {
            slot = {};
            --bufferedCount_;
        } else if (bufferedCount_ == 0) {
            next_ = sequence;
        }
        ++next_;
    }
    highestSeen_ = std::max(highestSeen_, sequence);
    applyBuffered();
    // Events that were dropped while the buffer was full may still be missing. They count as a new gap with its own time-out.
    state_ = IndexState::Exact;
    updateState(now);
    checkInvariants();
}

void CacheIndex::tick(Micros now)
{
    if (state_ == IndexState::Waiting && now - gapSince_ >= options_.gapTimeout) {
        markOutOfSync();
    }
}

void CacheIndex::applyInOrder(const CacheEvent &event)
{
    for (const PrefixHash hash : event.hashes) {
        if (event.stored) {
            insert(hash);
        } else {
            erase(hash);
        }
    }
    ++next_;
    ++counters_.applied;
}

void CacheIndex::buffer(const CacheEvent &event, Micros /*now*/)
{
    Buffered &slot = buffer_[event.sequence % buffer_.size()];
    if (slot.sequence == event.sequence) {
        ++counters_.duplicates;
        return;
    }
    const bool inWindow = event.sequence - next_ < buffer_.size();
    if (!inWindow || bufferedHashes_.size() + event.hashes.size() > options_.reorderHashes) {
        markOutOfSync();
        return;
    }
    slot = { .sequence = event.sequence,
             .offset = static_cast<std::uint32_t>(bufferedHashes_.size()),
             .count = static_cast<std::uint32_t>(event.hashes.size()),
             .stored = event.stored };
    bufferedHashes_.insert(bufferedHashes_.end(), event.hashes.begin(), event.hashes.end());
    ++bufferedCount_;
}

void CacheIndex::applyBuffered()
{
    while (bufferedCount_ > 0) {
        Buffered &slot = buffer_[next_ % buffer_.size()];
        if (slot.sequence != next_) {
            return;
        }
        const CacheEvent event{ .sequence = slot.sequence, .stored = slot.stored, .hashes = { bufferedHashes_.data() + slot.offset, slot.count } };
        slot = {};
        --bufferedCount_;
        applyInOrder(event);
    }
    bufferedHashes_.clear();
}

void CacheIndex::markOutOfSync()
{
    if (state_ != IndexState::OutOfSync) {
        state_ = IndexState::OutOfSync;
        ++counters_.gaps;
    }
}

void CacheIndex::updateState(Micros now)
{
    if (highestSeen_ < next_) {
        state_ = IndexState::Exact;
    } else if (state_ == IndexState::Exact) {
        state_ = IndexState::Waiting;
        gapSince_ = now;
    }
}

// Lookup ------------------------------------------------------------------------------------------

std::uint32_t CacheIndex::heldPieces(std::span<const PrefixSample> samples) const
{
    std::uint32_t held = 0;
    if (state_ == IndexState::OutOfSync || state_ == IndexState::Empty) {
        return held;
    }
    for (const PrefixSample &sample : samples) {
        if (!holds(sample.hash)) {
            break;
        }
        held = sample.pieces;
    }
    return held;
}

bool CacheIndex::holds(PrefixHash hash) const
{
    return hash == 0 ? holdsZero_ : slots_[slotOf(hash)] == hash;
}

// Table -------------------------------------------------------------------------------------------

std::size_t CacheIndex::slotOf(PrefixHash hash) const
{
    std::size_t slot = hash & mask_;
    while (slots_[slot] != 0 && slots_[slot] != hash) {
        slot = (slot + 1) & mask_;
    }
    return slot;
}

void CacheIndex::insert(PrefixHash hash)
{
    if (holds(hash)) {
        return;
    }
    if (size_ == options_.capacity) {
        ++counters_.overflow;
        return;
    }
    if (hash == 0) {
        holdsZero_ = true;
    } else {
        slots_[slotOf(hash)] = hash;
    }
    ++size_;
}

void CacheIndex::erase(PrefixHash hash)
{
    if (!holds(hash)) {
        ++counters_.unknownEvictions;
        return;
    }
    --size_;
    if (hash == 0) {
        holdsZero_ = false;
        return;
    }
    // Backward-shift deletion: later entries of the probe sequence move into the hole, so that the table needs no tombstones.
    std::size_t hole = slotOf(hash);
    std::size_t slot = hole;
    while (true) {
        slot = (slot + 1) & mask_;
        if (slots_[slot] == 0) {
            break;
        }
        const std::size_t home = slots_[slot] & mask_;
        if (((slot - home) & mask_) >= ((slot - hole) & mask_)) {
            slots_[hole] = slots_[slot];
            hole = slot;
        }
    }
    slots_[hole] = 0;
}

void CacheIndex::clearTable()
{
    std::fill(slots_.begin(), slots_.end(), 0);
    size_ = 0;
    holdsZero_ = false;
}

void CacheIndex::clearBuffer()
{
    std::fill(buffer_.begin(), buffer_.end(), Buffered{});
    bufferedHashes_.clear();
    bufferedCount_ = 0;
}

std::size_t CacheIndex::memoryBytes() const
{
    return slots_.capacity() * sizeof(PrefixHash) + buffer_.capacity() * sizeof(Buffered) + bufferedHashes_.capacity() * sizeof(PrefixHash);
}

void CacheIndex::checkInvariants() const
{
    ensure(size_ <= options_.capacity, "the index must not hold more hashes than its capacity");
    ensure(bufferedCount_ <= buffer_.size(), "the reorder buffer must not hold more events than its size");
    ensure(bufferedCount_ == 0 || buffer_[next_ % buffer_.size()].sequence != next_, "the reorder buffer must not hold the event that is applied next");
    ensure((state_ == IndexState::Exact) == (highestSeen_ < next_), "the index must be Exact if and only if no event is missing");
}

} // namespace Carobhall
