#pragma once

// Settings of a process: JSON with comments, overridden by environment variables and command-line options.
//
// Index
//   1. Tables           what an entry process and an agent are told at start
//   2. Loading

#include "carobhall/document.h"

namespace Carobhall
{

// 1. Tables ---------------------------------------------------------------------------------------

struct FleetKeySetting {
    std::uint32_t id = 0;
    std::string key; ///< 64 hexadecimal digits. Secret.
};

/// Settings that entry processes and agents share.
struct ProcessSettings {
    std::string name;                         ///< Unique in the environment, for logs and membership.
    std::string zone;                         ///< Availability zone of this process.
    std::string environment;                  ///< Name of the environment document on the platform.
    std::string wireAddress = "127.0.0.1:0";  ///< Other processes connect here, and membership datagrams arrive at the same UDP port.
    std::string adminAddress = "127.0.0.1:0"; ///< Operators' HTTP listener: /metrics, /dump, /healthz, /readyz.
    std::string platformAddress;              ///< "ip:port" of the platform's object API; empty: none.
    std::vector<std::string> seeds;           ///< wireAddress of some other processes, to find the rest through.
    std::string documentFile;                 ///< A document to start from until a newer one is heard of; empty: none.
    std::vector<FleetKeySetting> fleetKeys;   ///< The first is used for new connections, all are accepted.
    LogLevel logLevel = LogLevel::Info;
    Micros shutdownDeadline = 30 * MicrosPerSecond; ///< A graceful shutdown takes no longer.
};

struct EntrySettings {
    ProcessSettings process;
    std::string callerAddress = "127.0.0.1:0";                    ///< Callers' HTTP listener.
    std::size_t maxBodyBytes = std::size_t{ 1 } << 20U;           ///< Of a caller's request.
    std::size_t maxStreamBufferBytes = std::size_t{ 256 } << 10U; ///< Bytes buffered for one caller that reads slowly.
    Micros bodyTimeout = 10 * MicrosPerSecond;                    ///< A caller's request must arrive whole within this time.
    Micros probeTimeout = 50 * MicrosPerMilli;                    ///< A probe without an answer by then counts as lost.
    std::string policy = "probe";                                 ///< Routing policy.
};

struct AgentSettings {
    ProcessSettings process;
    std::string upstream;                      ///< Name of the model server or plain server in the environment document.
    std::string upstreamAddress;               ///< "ip:port" of the upstream's HTTP interface.
    Micros resumeWindow = 5 * MicrosPerSecond; ///< Output is kept this long for an entry process whose connection broke.
};

// 2. Loading --------------------------------------------------------------------------------------

template<typename Settings>
struct LoadedSettings {
    Settings settings;
    std::vector<DocumentError> errors;

    [[nodiscard]] bool ok() const
    {
        return errors.empty();
    }
};

/// One override, for example {"process.zone", "zagreb-a", "--set"}.
struct SettingOverride {
    std::string path;
    std::string value;
    std::string source; ///< Named in errors: the option or the environment variable.
};

/// Parses and checks \p text, then applies \p overrides in order. Thread-safe.
[[nodiscard]] LoadedSettings<EntrySettings> loadEntrySettings(std::string_view text, std::string_view file, const std::vector<SettingOverride> &overrides);
[[nodiscard]] LoadedSettings<AgentSettings> loadAgentSettings(std::string_view text, std::string_view file, const std::vector<SettingOverride> &overrides);

/// Overrides from the environment: CAROBHALL_PROCESS__ZONE=… sets "process.zone". Not thread-safe with setenv().
[[nodiscard]] std::vector<SettingOverride> overridesFromEnvironment();

} // namespace Carobhall
