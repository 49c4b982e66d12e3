#include "carobhall/settings.h"
#include "json_reader.h"

#include <unistd.h>

namespace Carobhall
{

namespace
{

constexpr std::string_view EnvironmentPrefix = "CAROBHALL_";
/// Not a setting: CTest sets this variable to tell the tests where the programs are.
constexpr std::string_view ProgramDirectoryVariable = "CAROBHALL_BIN";
constexpr std::size_t FleetKeyHexDigits = 64;
constexpr Range<std::uint32_t> KeyIdRange{ 0, std::numeric_limits<std::uint32_t>::max() };
constexpr Range<std::size_t> BodyBytesRange{ 1024, std::size_t{ 64 } << 20U };
constexpr Range<std::size_t> StreamBufferBytesRange{ 1024, std::size_t{ 64 } << 20U };

void readFleetKeys(ObjectReader &item, std::vector<FleetKeySetting> &keys)
{
    std::set<std::string> ids;
    item.objects("fleetKeys", Presence::Required, [&](ObjectReader &entry) {
        FleetKeySetting &key = keys.emplace_back();
        entry.integer("id", key.id, KeyIdRange, Presence::Required);
        entry.checkUnique("id", std::to_string(key.id), ids);
        entry.text("key", key.key);
        // The key is a secret, so the error must not contain it.
        if (!isHex(key.key, FleetKeyHexDigits)) {
            entry.addError("key", "expected 64 lower-case hexadecimal digits");
        }
    });
    if (keys.empty()) {
        item.addError("fleetKeys", "expected at least one key");
    }
}

void readProcess(ObjectReader &item, ProcessSettings &process)
{
    item.name("name", process.name);
    item.name("zone", process.zone);
    item.name("environment", process.environment);
    item.address("wireAddress", process.wireAddress, PortRule::MayBeZero, Presence::Optional);
    item.address("adminAddress", process.adminAddress, PortRule::MayBeZero, Presence::Optional);
    item.text("platformAddress", process.platformAddress, Presence::Optional);
    if (!process.platformAddress.empty() && !isAddress(process.platformAddress, PortRule::Fixed)) {
        item.addError("platformAddress", "expected \"ip:port\" with a port from 1 to 65535, or an empty string");
    }
    item.texts("seeds", Presence::Optional, [&](const std::string &seed, const Json::Value &value, const std::string &path) {
        if (!isAddress(seed, PortRule::Fixed)) {
            item.source().addError(value, path, "expected \"ip:port\" with a port from 1 to 65535");
        }
        process.seeds.push_back(seed);
    });
    item.text("documentFile", process.documentFile, Presence::Optional);
    readFleetKeys(item, process.fleetKeys);
    item.choice("logLevel", process.logLevel, Presence::Optional);
    item.millis("shutdownDeadlineMs", process.shutdownDeadline, PositiveMillis, Presence::Optional);
}

void readSettings(ObjectReader &root, EntrySettings &settings)
{
    root.address("callerAddress", settings.callerAddress, PortRule::MayBeZero, Presence::Optional);
    root.integer("maxBodyBytes", settings.maxBodyBytes, BodyBytesRange, Presence::Optional);
    root.integer("maxStreamBufferBytes", settings.maxStreamBufferBytes, StreamBufferBytesRange, Presence::Optional);
    root.millis("bodyTimeoutMs", settings.bodyTimeout, PositiveMillis, Presence::Optional);
    root.millis("probeTimeoutMs", settings.probeTimeout, PositiveMillis, Presence::Optional);
    root.name("policy", settings.policy, Presence::Optional);
}

void readSettings(ObjectReader &root, AgentSettings &settings)
{
    root.name("upstream", settings.upstream);
    root.address("upstreamAddress", settings.upstreamAddress, PortRule::Fixed, Presence::Required);
    root.millis("resumeWindowMs", settings.resumeWindow, NonNegativeMillis, Presence::Optional);
}

template<typename Settings>
LoadedSettings<Settings> load(std::string_view text, std::string_view file, const std::vector<SettingOverride> &overrides)
{
    LoadedSettings<Settings> loaded;
    JsonSource source(text, file);
    if (source.parse()) {
        for (const SettingOverride &setting : overrides) {
            source.applyOverride(setting);
        }
        ObjectReader root = source.root();
        root.object("process", Presence::Required, [&](ObjectReader &item) { readProcess(item, loaded.settings.process); });
        readSettings(root, loaded.settings);
        root.reportUnknownFields();
    }
    loaded.errors = std::move(source.errors());
    return loaded;
}

/// Converts "PROCESS__WIRE_ADDRESS" to "process.wireAddress".
std::string settingPathOf(std::string_view name)
{
    std::string path;
    bool capitalizeNext = false;
    for (std::size_t i = 0; i < name.size(); ++i) {
        if (name.substr(i, 2) == "__") {
            path += '.';
            ++i;
            capitalizeNext = false;
        } else if (name[i] == '_') {
            capitalizeNext = true;
        } else {
            const bool isLetter = name[i] >= 'A' && name[i] <= 'Z';
            path += isLetter && !capitalizeNext ? static_cast<char>(name[i] - 'A' + 'a') : name[i];
            capitalizeNext = false;
        }
    }
    return path;
}

} // namespace

LoadedSettings<EntrySettings> loadEntrySettings(std::string_view text, std::string_view file, const std::vector<SettingOverride> &overrides)
{
    return load<EntrySettings>(text, file, overrides);
}

LoadedSettings<AgentSettings> loadAgentSettings(std::string_view text, std::string_view file, const std::vector<SettingOverride> &overrides)
{
    return load<AgentSettings>(text, file, overrides);
}

std::vector<SettingOverride> overridesFromEnvironment()
{
    std::vector<SettingOverride> overrides;
    for (char **entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
        const std::string_view variable(*entry);
        const std::size_t equals = variable.find('=');
        const std::string_view name = variable.substr(0, equals);
        if (equals == std::string_view::npos || !name.starts_with(EnvironmentPrefix) || name == ProgramDirectoryVariable) {
            continue;
        }
        overrides.push_back(
            { .path = settingPathOf(name.substr(EnvironmentPrefix.size())), .value = std::string(variable.substr(equals + 1)), .source = std::string(name) });
    }
    return overrides;
}

} // namespace Carobhall
