#pragma once

// Which upstream holds which prompt part in its KV cache, as far as this process knows.
//
// Knowledge comes from cache events of the agents beside the engines and from this process's own responses. It is a hint: a
// wrong entry costs one read or one transfer, never a wrong answer, because engines look parts up under a salt that names the
// weights and, for isolated accounts, the account.

#include "carobhall/base.h"

#include <deque>
#include <unordered_map>

namespace Carobhall
{

/// One part of a prompt, in the order of the prompt.
struct PromptPart {
    std::string id{};
    std::uint32_t tokens = 0;
};

/// The salt under which a request's parts are cached. Engines find parts only under the same text. Thread-safe.
/// \p isolatedAccount is empty for accounts that share parts.
[[nodiscard]] std::string cacheSalt(std::uint64_t weightsVersion, std::string_view isolatedAccount);

using PartKey = std::uint64_t;
/// Thread-safe.
[[nodiscard]] PartKey partKey(std::string_view salt, std::string_view partId);

/// Number of an upstream within one process.
using UpstreamNumber = std::uint32_t;

/// Not thread-safe. Bounded: the oldest entries leave when it is full.
class PromptDirectory
{
public:
    explicit PromptDirectory(std::size_t maxEntries = DefaultMaxEntries);

    void add(PartKey part, UpstreamNumber holder, Micros now);
    void remove(PartKey part, UpstreamNumber holder);
    /// The holder lost its cache: a restart or new weights.
    void removeHolder(UpstreamNumber holder);

    [[nodiscard]] bool holds(PartKey part, UpstreamNumber holder) const;
    /// Holders of \p part, in no order. The reference is valid until the next change.
    [[nodiscard]] const std::vector<UpstreamNumber> &holdersOf(PartKey part) const;

    /// Notes that this process has sent a request which makes \p reader read \p part.
    void noteReading(PartKey part, UpstreamNumber reader, Micros now);
    /// The upstream that is reading \p part at present, if a request of this process makes it do so.
    [[nodiscard]] std::optional<UpstreamNumber> readerOf(PartKey part, Micros now) const;

    [[nodiscard]] std::size_t size() const;

private:
    /// A read takes some hundred milliseconds; one that has produced nothing by now has failed.
    static constexpr Micros ReadingLifetime = 800 * MicrosPerMilli;
    /// 32 bytes each; a fleet of 12 engines with 84,000 tokens holds some 10,000 parts of 100 tokens.
    static constexpr std::size_t DefaultMaxEntries = 60'000;

    struct Reading {
        UpstreamNumber reader = 0;
        Micros since = 0;
    };

    std::size_t maxEntries_;
    std::unordered_map<PartKey, std::vector<UpstreamNumber>> holders_;
    std::unordered_map<PartKey, Reading> readings_;
    std::deque<PartKey> order_; ///< Keys of holders_ in the order in which they came.
};

} // namespace Carobhall
