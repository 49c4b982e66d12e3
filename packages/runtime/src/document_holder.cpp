#include "carobhall/runtime.h"

#include <sodium.h>

namespace Carobhall
{

DocumentHolder::DocumentHolder(VersionedDocument initial)
    : current_(std::make_shared<const VersionedDocument>(std::move(initial)))
{
}

const std::shared_ptr<const VersionedDocument> &DocumentHolder::current() const
{
    return current_;
}

bool DocumentHolder::replace(VersionedDocument next)
{
    if (current_->isPresent() && next.version <= current_->version) {
        return false;
    }
    current_ = std::make_shared<const VersionedDocument>(std::move(next));
    logEvent(LogLevel::Info, "document_replaced", { { "version", current_->version }, { "digest", current_->digest } });
    // A listener may replace the document again; this call's listeners then still get the version that they are notified of.
    const auto replacement = current_;
    for (const auto &listener : listeners_) {
        listener(*replacement);
    }
    return true;
}

void DocumentHolder::onReplaced(std::function<void(const VersionedDocument &)> listener)
{
    listeners_.push_back(std::move(listener));
}

std::optional<UpstreamRole> findUpstream(const EnvironmentDocument &document, std::string_view name)
{
    for (const ModelServerSpec &server : document.modelServers) {
        if (server.name == name) {
            return UpstreamRole{ .route = server.model, .zone = server.zone, .weightsVersion = server.weightsVersion, .slots = server.slots, .isModel = true };
        }
    }
    for (const PlainServiceSpec &service : document.services) {
        for (const PlainServerSpec &server : service.servers) {
            if (server.name == name) {
                return UpstreamRole{ .route = service.name, .zone = server.zone, .weightsVersion = {}, .slots = server.slots, .isModel = false };
            }
        }
    }
    return std::nullopt;
}

std::string regionOf(const EnvironmentDocument &document, std::string_view zone)
{
    for (const ZoneSpec &spec : document.zones) {
        if (spec.name == zone) {
            return spec.region;
        }
    }
    return {};
}

std::optional<FleetKeys> fleetKeysFrom(const std::vector<FleetKeySetting> &settings)
{
    FleetKeys keys;
    for (const FleetKeySetting &setting : settings) {
        FleetKeys::Entry entry{ .id = setting.id, .key = {} };
        std::size_t length = 0;
        const char *end = nullptr;
        const int result = sodium_hex2bin(entry.key.data(), entry.key.size(), setting.key.data(), setting.key.size(), nullptr, &length, &end);
        if (result != 0 || length != FleetKeySize || end != setting.key.data() + setting.key.size()) {
            return std::nullopt;
        }
        keys.entries.push_back(entry);
    }
    if (keys.entries.empty()) {
        return std::nullopt;
    }
    return keys;
}

} // namespace Carobhall
