#include "carobhall/suspect_facts.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

constexpr unsigned HashBits = 32; ///< Low bits of a fact's value, which hold the tie breaker.
/// Exceeds the number of steps within an episode, so that a fact about a later episode always has the greater value.
constexpr std::uint64_t StepsPerEpisode = 16;

/// Grows with each step that is known of the suspect, and with each episode.
std::uint64_t informationRank(const SuspectFact &suspect)
{
    const std::array<bool, 5> steps{ suspect.firstEngine != 0, suspect.secondEngine != 0, suspect.exclusiveRunStarted, suspect.exclusiveRunCrashed,
                                     suspect.exonerated };
    return suspect.episode * StepsPerEpisode + static_cast<std::uint64_t>(std::count(steps.begin(), steps.end(), true));
}

/// FNV-1a hash of the fact's content, so that all processes compute the same value.
std::uint32_t tieBreaker(const SuspectFact &suspect)
{
    constexpr std::uint32_t offsetBasis = 2166136261U;
    constexpr std::uint32_t prime = 16777619U;
    const std::uint64_t flags = (suspect.exclusiveRunStarted ? 1U : 0U) | (suspect.exclusiveRunCrashed ? 2U : 0U) | (suspect.exonerated ? 4U : 0U);
    std::uint32_t hash = offsetBasis;
    for (const std::uint64_t word : { suspect.firstEngine, suspect.secondEngine, flags }) {
        for (unsigned shift = 0; shift < 64; shift += 8) {
            hash = (hash ^ static_cast<std::uint32_t>(word >> shift & 0xFFU)) * prime;
        }
    }
    return hash;
}

} // namespace

Fact factOf(const SuspectFact &suspect)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, suspect);
    return {
        .kind = static_cast<std::uint8_t>(FactKind::SuspectFingerprint),
        .key = suspect.fingerprint,
        .value = informationRank(suspect) << HashBits | tieBreaker(suspect),
        .text = std::string(buffer.data(), buffer.size()),
        .ttl = SuspectOptions{}.condemnedLifetime,
    };
}

std::optional<SuspectFact> suspectFrom(const Fact &fact)
{
    if (fact.kind != static_cast<std::uint8_t>(FactKind::SuspectFingerprint)) {
        return std::nullopt;
    }
    try {
        const msgpack::object_handle handle = msgpack::unpack(fact.text.data(), fact.text.size());
        SuspectFact suspect = handle.get().as<SuspectFact>();
        if (suspect.fingerprint != fact.key) {
            return std::nullopt;
        }
        suspect.age = std::max<Micros>(suspect.age, 0);
        return suspect;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Carobhall
