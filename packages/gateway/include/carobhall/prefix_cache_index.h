#pragma once

// Index of which upstream holds which prompt part in its KV cache, as far as this process knows.
//
// It is filled from the cache events that the sidecars of the engines forward and from this process's own responses. Entries are
// hints: a wrong one costs a prefill or a transfer, never a wrong answer, because engines look parts up under a salt that
// contains the weights version and the scope of the account.

#include "carobhall/base.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace Carobhall
{

/// One part of a prompt, in the order of the prompt.
struct PromptPart {
    std::string id{};
    std::uint32_t tokens = 0;
};

/// The salt under which engines cache the parts of a request; parts are found only under an identical salt. Thread-safe.
/// \p scope: see CacheScopes.
[[nodiscard]] std::string cacheSalt(std::uint64_t weightsVersion, std::string_view scope);

using PartKey = std::uint64_t;
/// Hash of the salt and the part's id. Thread-safe.
[[nodiscard]] PartKey partKey(std::string_view salt, std::string_view partId);

/// Identifies an upstream within this process.
using UpstreamNumber = std::uint32_t;

/// Not thread-safe. When it is full, the oldest entries are evicted.
class PrefixCacheIndex
{
public:
    explicit PrefixCacheIndex(std::size_t maxEntries = DefaultMaxEntries);

    void add(PartKey part, UpstreamNumber holder, Micros now);
    void remove(PartKey part, UpstreamNumber holder);
    /// Removes all entries of an upstream that has lost its cache, because of a restart or of new weights. Takes time in proportion to
    /// the entries of that upstream.
    void removeHolder(UpstreamNumber holder);

    [[nodiscard]] bool holds(PartKey part, UpstreamNumber holder) const;
    /// The upstreams that hold \p part, in no particular order. The reference is valid until the next change.
    [[nodiscard]] const std::vector<UpstreamNumber> &holdersOf(PartKey part) const;

    /// Records that this process has sent a request for which \p upstream prefills \p part.
    void notePrefill(PartKey part, UpstreamNumber upstream, Micros now);
    /// The upstream that is currently prefilling \p part for a request of this process, if any.
    [[nodiscard]] std::optional<UpstreamNumber> prefillerOf(PartKey part, Micros now) const;

    [[nodiscard]] std::size_t size() const;

private:
    /// A prefill takes some hundred milliseconds; one that is still pending after this time has failed.
    static constexpr Micros PrefillTimeout = 800 * MicrosPerMilli;
    /// 32 bytes each; a fleet of 12 engines with 84,000 tokens holds some 10,000 parts of 100 tokens.
    static constexpr std::size_t DefaultMaxEntries = 60'000;

    struct Prefill {
        UpstreamNumber upstream = 0;
        Micros startedAt = 0;
    };

    /// Removes a key without holders, or an evicted one.
    void erase(PartKey part);
    /// Removes keys from insertionOrder_ that are no longer indexed, once they are most of it.
    void compactOrder();

    std::size_t maxEntries_;
    std::unordered_map<PartKey, std::vector<UpstreamNumber>> holders_;
    std::unordered_map<UpstreamNumber, std::unordered_set<PartKey>> partsOf_; ///< The reverse of holders_.
    std::unordered_map<PartKey, Prefill> prefills_;
    std::deque<PartKey> insertionOrder_; ///< Keys of holders_, oldest first, and keys that have been removed.
};

} // namespace Carobhall
