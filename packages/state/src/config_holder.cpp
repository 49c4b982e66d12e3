#include "carobhall/configuration.h"

#include <algorithm>
#include <sodium.h>

namespace Carobhall
{

namespace
{

/// Earlier documents that a process keeps for deltas. A process that missed more versions pulls the whole text.
constexpr std::size_t EarlierDocuments = 8;

/// Bytes of these, out of 64 MB that a process may take; documents of one megabyte leave room for three.
constexpr std::size_t EarlierBytes = 4 * PlatformValueLimit;

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
    remember();
    held_ = { .version = version, .digest = digest, .text = std::make_shared<const std::string>(std::move(text)) };
    const DocumentCompatibility fitness = options_.check ? options_.check(*held_.text) : DocumentCompatibility::Usable;
    if (fitness != DocumentCompatibility::Usable) {
        logEvent(LogLevel::Warning, "config_not_fully_known", { { "version", version }, { "digest", digest }, { "fitness", fitness } });
    }
    if (fitness == DocumentCompatibility::Unusable) {
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
    const bool usable = isUsable();
    remember();
    held_.version = version;
    if (usable) {
        inEffect_ = held_;
    }
    return true;
}

void ConfigHolder::remember()
{
    if (held_.version == 0) {
        return;
    }
    earlier_.push_back(held_);
    std::size_t bytes = 0;
    for (const HeldDocument &document : earlier_) {
        bytes += document.text->size();
    }
    while (earlier_.size() > EarlierDocuments || (bytes > EarlierBytes && !earlier_.empty())) {
        bytes -= earlier_.front().text->size();
        earlier_.pop_front();
    }
}

std::shared_ptr<const std::string> ConfigHolder::textOf(std::uint64_t version) const
{
    if (version == held_.version) {
        return held_.text;
    }
    const auto found = std::find_if(earlier_.begin(), earlier_.end(), [&](const HeldDocument &document) { return document.version == version; });
    return found == earlier_.end() ? nullptr : found->text;
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
    const auto front = static_cast<std::size_t>(std::mismatch(from.begin(), shorterEnd, to.begin()).first - from.begin());
    // What the front has taken is not taken again by the back.
    const auto backLimit = from.rbegin() + static_cast<std::ptrdiff_t>(shorter - front);
    const auto back = static_cast<std::size_t>(std::mismatch(from.rbegin(), backLimit, to.rbegin()).first - from.rbegin());
    data.text = to.substr(front, to.size() - front - back);
    data.base = baseVersion;
    data.keepFront = front;
    data.keepBack = back;
    return data;
}

std::optional<std::string> applyDelta(const ConfigData &data, std::uint64_t baseVersion, const std::string *base)
{
    if (data.base == 0) {
        return data.text;
    }
    const bool fits = base != nullptr && data.base == baseVersion && data.keepFront <= base->size() && data.keepBack <= base->size() - data.keepFront;
    if (!fits) {
        return std::nullopt;
    }
    return base->substr(0, data.keepFront) + data.text + base->substr(base->size() - data.keepBack);
}

const HeldDocument &ConfigHolder::held() const
{
    return held_;
}

const HeldDocument &ConfigHolder::inEffect() const
{
    return inEffect_;
}

bool ConfigHolder::isUsable() const
{
    return held_.text == inEffect_.text;
}

} // namespace Carobhall
