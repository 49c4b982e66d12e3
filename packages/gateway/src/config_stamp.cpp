#include "carobhall/config_stamp.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace Carobhall
{

namespace
{

/// Whether the contents differ although the version is the same. They can't, within an era.
bool isReused(const ConfigStamp &candidate, const ConfigStamp &held)
{
    return candidate.version == held.version && candidate.digest != held.digest && candidate.digest != 0 && held.digest != 0;
}

} // namespace

DocumentOrigin originOf(const ConfigStamp &stamp)
{
    return { .era = stamp.era, .isEraCertain = stamp.isEraCertain, .digest = stamp.digest };
}

ConfigStamp stampOf(std::uint64_t version, const DocumentOrigin &origin)
{
    return { .version = version, .era = origin.era, .isEraCertain = origin.isEraCertain, .digest = origin.digest };
}

std::uint64_t configDigest(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

ConfigRelation compareConfigs(const ConfigStamp &candidate, const ConfigStamp &held)
{
    if (candidate.version == 0 || held.version == 0) {
        return candidate.version != 0 ? ConfigRelation::Newer : ConfigRelation::Older;
    }
    if (candidate.version == held.version && !isReused(candidate, held)) {
        return ConfigRelation::Same;
    }
    bool isNewer = candidate.version > held.version;
    if (isReused(candidate, held) || (candidate.isEraCertain && held.isEraCertain)) {
        isNewer = std::tuple(candidate.era, candidate.version) > std::tuple(held.era, held.version);
    } else if (candidate.isEraCertain) {
        isNewer = isNewer || candidate.era > held.era;
    } else if (held.isEraCertain) {
        isNewer = isNewer && candidate.era >= held.era;
    }
    return isNewer ? ConfigRelation::Newer : ConfigRelation::Older;
}

ConfigStamp mergedStamp(const ConfigStamp &one, const ConfigStamp &other)
{
    ConfigStamp merged = std::tuple(one.era, one.isEraCertain) > std::tuple(other.era, other.isEraCertain) ? one : other;
    merged.digest = one.digest != 0 ? one.digest : other.digest;
    return merged;
}

ConfigStamp adoptedStamp(const ConfigStamp &candidate, const ConfigStamp &held)
{
    ConfigStamp adopted = candidate;
    adopted.isEraCertain = candidate.isEraCertain || isReused(candidate, held);
    return adopted;
}

ConfigRelation HeldConfig::offer(const ConfigStamp &candidate)
{
    const ConfigRelation relation = compareConfigs(candidate, stamp_);
    if (relation == ConfigRelation::Newer) {
        stamp_ = adoptedStamp(candidate, stamp_);
    } else if (relation == ConfigRelation::Same) {
        stamp_ = mergedStamp(candidate, stamp_);
    }
    return relation;
}

const ConfigStamp &HeldConfig::stamp() const
{
    return stamp_;
}

} // namespace Carobhall
