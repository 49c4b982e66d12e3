#include "carobhall/configuration.h"

#include <algorithm>
#include <sodium.h>

namespace Carobhall
{

namespace
{

/// Number of previous documents kept as bases for deltas. A peer that is further behind gets the full text.
constexpr std::size_t MaxPreviousDocuments = 8;

/// Maximum total size of the previous documents, out of the 64 MB of memory that a process may use. Three previous
/// documents of one megabyte fit.
constexpr std::size_t MaxPreviousBytes = 4 * PlatformValueLimit;

} // namespace

std::string documentDigest(std::string_view text)
{
    std::array<unsigned char, crypto_generichash_BYTES> digest{};
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char *>(text.data()), text.size(), nullptr, 0);
    std::string hex(2 * digest.size() + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back();
    return hex;
}

Json::Value encodeEnvironment(const std::string &text)
{
    Json::Value spec(Json::objectValue);
    spec["digest"] = documentDigest(text);
    spec["text"] = text;
    return spec;
}

std::optional<std::string> decodeEnvironment(const Json::Value &spec)
{
    if (!spec.isObject() || !spec["text"].isString() || !spec["digest"].isString()) {
        return std::nullopt;
    }
    std::string text = spec["text"].asString();
    if (documentDigest(text) != spec["digest"].asString()) {
        return std::nullopt;
    }
    return text;
}

ConfigHolder::ConfigHolder(HolderOptions options)
    : options_(std::move(options))
{
}

void ConfigHolder::initializeFromFile(std::string text)
{
    const std::string digest = documentDigest(text);
    held_ = { .version = 0, .digest = digest, .text = std::make_shared<const std::string>(std::move(text)) };
    if (!options_.check || options_.check(*held_.text) != DocumentCompatibility::Unusable) {
        inEffect_ = held_;
    }
    if (inEffect_.text && options_.onApplied) {
        options_.onApplied(inEffect_);
    }
}

bool ConfigHolder::accept(std::uint64_t version, const std::string &digest, std::string text)
{
    if (version <= held_.version || documentDigest(text) != digest) {
        return false;
    }
    keepPrevious();
    held_ = { .version = version, .digest = digest, .text = std::make_shared<const std::string>(std::move(text)) };
    const DocumentCompatibility compatibility = options_.check ? options_.check(*held_.text) : DocumentCompatibility::Usable;
    if (compatibility != DocumentCompatibility::Usable) {
        logEvent(LogLevel::Warning, "config_not_fully_known", { { "version", version }, { "digest", digest }, { "fitness", compatibility } });
    }
    if (compatibility == DocumentCompatibility::Unusable) {
        return true;
    }
    inEffect_ = held_;
    if (options_.onApplied) {
        options_.onApplied(inEffect_);
    }
    return true;
}

bool ConfigHolder::acceptVersion(std::uint64_t version, const std::string &digest)
{
    if (version <= held_.version || !held_.text || digest != held_.digest) {
        return false;
    }
    const bool usable = isHeldInEffect();
    keepPrevious();
    held_.version = version;
    if (usable) {
        inEffect_ = held_;
    }
    return true;
}

void ConfigHolder::keepPrevious()
{
    if (held_.version == 0) {
        return;
    }
    previous_.push_back(held_);
    std::size_t bytes = 0;
    for (const HeldDocument &document : previous_) {
        bytes += document.text->size();
    }
    while (previous_.size() > MaxPreviousDocuments || (bytes > MaxPreviousBytes && !previous_.empty())) {
        bytes -= previous_.front().text->size();
        previous_.pop_front();
    }
}

std::shared_ptr<const std::string> ConfigHolder::textOf(std::uint64_t version) const
{
    if (version == held_.version) {
        return held_.text;
    }
    const auto found = std::find_if(previous_.begin(), previous_.end(), [&](const HeldDocument &document) { return document.version == version; });
    return found == previous_.end() ? nullptr : found->text;
}

ConfigData deltaOf(const HeldDocument &document, std::uint64_t baseVersion, const std::string *base)
{
    ConfigData data{ .version = document.version, .digest = document.digest, .text = {} };
    if (base == nullptr || baseVersion == 0) {
        data.text = *document.text;
        return data;
    }
    const std::string_view from = *base;
    const std::string_view to = *document.text;
    const std::size_t shorter = std::min(from.size(), to.size());
    const auto shorterEnd = from.begin() + static_cast<std::ptrdiff_t>(shorter);
    const auto prefixBytes = static_cast<std::size_t>(std::mismatch(from.begin(), shorterEnd, to.begin()).first - from.begin());
    // The common suffix must not overlap the common prefix.
    const auto suffixLimit = from.rbegin() + static_cast<std::ptrdiff_t>(shorter - prefixBytes);
    const auto suffixBytes = static_cast<std::size_t>(std::mismatch(from.rbegin(), suffixLimit, to.rbegin()).first - from.rbegin());
    data.text = to.substr(prefixBytes, to.size() - prefixBytes - suffixBytes);
    data.base = baseVersion;
    data.prefixBytes = prefixBytes;
    data.suffixBytes = suffixBytes;
    return data;
}

std::optional<std::string> applyDelta(const ConfigData &data, std::uint64_t baseVersion, const std::string *base)
{
    if (data.base == 0) {
        return data.text;
    }
    const bool isApplicable = base != nullptr && data.base == baseVersion && data.prefixBytes <= base->size()
        && data.suffixBytes <= base->size() - data.prefixBytes;
    if (!isApplicable) {
        return std::nullopt;
    }
    return base->substr(0, data.prefixBytes) + data.text + base->substr(base->size() - data.suffixBytes);
}

const HeldDocument &ConfigHolder::held() const
{
    return held_;
}

const HeldDocument &ConfigHolder::inEffect() const
{
    return inEffect_;
}

bool ConfigHolder::isHeldInEffect() const
{
    return held_.text == inEffect_.text;
}

} // namespace Carobhall
