#include "carobhall/configuration.h"

#include <sodium.h>

namespace Carobhall
{

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

void ConfigHolder::start(std::string text)
{
    const std::string digest = documentDigest(text);
    held_ = { .version = 0, .digest = digest, .text = std::make_shared<const std::string>(std::move(text)) };
    if (!options_.check || options_.check(*held_.text) != DocumentFitness::Unusable) {
        inEffect_ = held_;
    }
    if (inEffect_.text && options_.onEffect) {
        options_.onEffect(inEffect_);
    }
}

bool ConfigHolder::accept(std::uint64_t version, const std::string &digest, std::string text)
{
    if (version <= held_.version || documentDigest(text) != digest) {
        return false;
    }
    held_ = { .version = version, .digest = digest, .text = std::make_shared<const std::string>(std::move(text)) };
    const DocumentFitness fitness = options_.check ? options_.check(*held_.text) : DocumentFitness::Usable;
    if (fitness != DocumentFitness::Usable) {
        logEvent(LogLevel::Warning, "config_not_fully_known", { { "version", version }, { "digest", digest }, { "fitness", fitness } });
    }
    if (fitness == DocumentFitness::Unusable) {
        return true;
    }
    inEffect_ = held_;
    if (options_.onEffect) {
        options_.onEffect(inEffect_);
    }
    return true;
}

bool ConfigHolder::acceptVersion(std::uint64_t version, const std::string &digest)
{
    if (version <= held_.version || !held_.text || digest != held_.digest) {
        return false;
    }
    const bool usable = isUsable();
    held_.version = version;
    if (usable) {
        inEffect_ = held_;
    }
    return true;
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
