#include "routing_internal.h"

#include <algorithm>
#include <bit>
#include <cstring>
#include <xxhash.h>

namespace Carobhall
{

namespace
{

// Maximum number of samples at multiples of the stride. The rest of MaxSamples is for the placement levels and the whole prompt.
constexpr std::size_t StrideSamples = MaxSamples - PlacementLevels.size() - 1;

void appendLittleEndian(std::string &out, std::uint64_t value)
{
    for (unsigned shift = 0; shift < 64; shift += 8) {
        out.push_back(static_cast<char>((value >> shift) & 0xFFU));
    }
}

void appendPart(std::string &out, std::string_view part)
{
    appendLittleEndian(out, part.size());
    out.append(part);
}

void storeLittleEndian(unsigned char *out, std::uint64_t value)
{
    for (std::size_t i = 0; i < sizeof(value); ++i) {
        out[i] = static_cast<unsigned char>(value >> (8U * i));
    }
}

} // namespace

Salt saltOf(const SaltParts &parts)
{
    std::string input;
    appendPart(input, parts.account);
    appendPart(input, parts.model);
    appendPart(input, parts.weightsVersion);
    appendPart(input, parts.adapter);
    const XXH128_hash_t hash = XXH3_128bits(input.data(), input.size());
    return { .seed = hash.low64, .check = hash.high64 };
}

void hashPrefix(std::string_view prompt, const Salt &salt, std::vector<PrefixHash> &hashes)
{
    hashes.clear();
    hashes.reserve(prompt.size() / PieceBytes);
    std::array<unsigned char, sizeof(PrefixHash) + PieceBytes> block{};
    PrefixHash previous = salt.seed;
    for (std::size_t at = 0; at + PieceBytes <= prompt.size(); at += PieceBytes) {
        storeLittleEndian(block.data(), previous);
        std::memcpy(block.data() + sizeof(PrefixHash), prompt.data() + at, PieceBytes);
        previous = XXH3_64bits_withSeed(block.data(), block.size(), salt.seed);
        hashes.push_back(previous);
    }
}

std::vector<PrefixSample> sampleHashes(std::span<const PrefixHash> hashes)
{
    const std::size_t count = hashes.size();
    std::vector<std::uint32_t> depths;
    if (count <= MaxSamples) {
        for (std::uint32_t pieces = 1; pieces <= count; ++pieces) {
            depths.push_back(pieces);
        }
    } else {
        // The stride is a power of two, so that prompts of different lengths with a common prefix have samples at the same depths.
        const std::size_t stride = std::bit_ceil((count + StrideSamples - 1) / StrideSamples);
        for (std::size_t pieces = stride; pieces <= count; pieces += stride) {
            depths.push_back(static_cast<std::uint32_t>(pieces));
        }
        depths.push_back(static_cast<std::uint32_t>(count));
        std::copy_if(PlacementLevels.begin(), PlacementLevels.end(), std::back_inserter(depths), [count](std::uint32_t level) { return level < count; });
        std::sort(depths.begin(), depths.end());
        depths.erase(std::unique(depths.begin(), depths.end()), depths.end());
    }
    std::vector<PrefixSample> samples;
    samples.reserve(depths.size());
    for (const std::uint32_t pieces : depths) {
        samples.push_back({ .pieces = pieces, .hash = hashes[pieces - 1] });
    }
    RoutingInternal::ensure(samples.size() <= MaxSamples, "a probe must not have more than MaxSamples samples");
    return samples;
}

std::uint64_t fingerprintOf(std::string_view account, std::string_view content)
{
    std::string input;
    appendPart(input, account);
    const std::uint64_t seed = XXH3_64bits(input.data(), input.size());
    return XXH3_64bits_withSeed(content.data(), content.size(), seed);
}

namespace RoutingInternal
{

std::uint64_t hashName(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

PlacementKey placementKey(std::span<const PrefixHash> hashes, std::size_t levelsUp)
{
    std::size_t deepest = PlacementLevels.size();
    while (deepest > 0 && PlacementLevels[deepest - 1] > hashes.size()) {
        --deepest;
    }
    if (deepest == 0) {
        const auto pieces = static_cast<std::uint32_t>(hashes.size());
        return levelsUp == 0 && pieces > 0 ? PlacementKey{ .pieces = pieces, .hash = hashes.back() } : PlacementKey{};
    }
    if (levelsUp >= deepest) {
        return {};
    }
    const std::uint32_t pieces = PlacementLevels[deepest - 1 - levelsUp];
    return { .pieces = pieces, .hash = hashes[pieces - 1] };
}

} // namespace RoutingInternal

} // namespace Carobhall
