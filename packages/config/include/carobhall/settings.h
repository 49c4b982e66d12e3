#pragma once

// Settings of one process: JSON with comments, which environment variables and command-line options override.
//
// Index
//   1. Tables           settings of an entry process and of an agent
//   2. Loading          parsing, validation and overrides

#include "carobhall/document.h"

namespace Carobhall
{

// 1. Tables ---------------------------------------------------------------------------------------

/// A key with which the processes of a deployment authenticate each other.
struct FleetKeySetting {
    std::uint32_t id = 0;
    std::string key; ///< 64 hexadecimal digits. Secret.
};

/// Settings that entry processes and agents share.
struct ProcessSettings {
    std::string name;                         ///< Unique in the environment; identifies the process in logs and in membership.
    std::string zone;                         ///< Availability zone of this process.
    std::string environment;                  ///< Name of the environment whose document the process loads from the platform.
    std::string wireAddress = "127.0.0.1:0";  ///< TCP listener for other processes; membership datagrams use the same UDP port number.
    std::string adminAddress = "127.0.0.1:0"; ///< Admin HTTP listener: /metrics, /dump, /healthz, /readyz.
    std::string platformAddress;              ///< "ip:port" of the platform's object API; empty if there is no platform.
    std::vector<std::string> seeds;           ///< wireAddress of other processes, through which this process joins the membership.
    std::string documentFile;                 ///< File with the initial document, used until a newer version is received; empty for none.
    std::vector<FleetKeySetting> fleetKeys;   ///< New connections are opened with the first key; incoming ones may use any.
    LogLevel logLevel = LogLevel::Info;
    Micros shutdownDeadline = 30 * MicrosPerSecond; ///< Maximum duration of a graceful shutdown.
};

struct EntrySettings {
    ProcessSettings process;
    std::string callerAddress = "127.0.0.1:0";                    ///< HTTP listener for callers.
    std::size_t maxBodyBytes = std::size_t{ 1 } << 20U;           ///< Maximum size of a caller's request body.
    std::size_t maxStreamBufferBytes = std::size_t{ 256 } << 10U; ///< Limit of the response data buffered for one slow caller.
    Micros bodyTimeout = 10 * MicrosPerSecond;                    ///< Time within which a caller's request must have arrived completely.
    Micros probeTimeout = 50 * MicrosPerMilli;                    ///< A probe that is not answered within this time counts as lost.
    std::string policy = "probe";                                 ///< Name of the routing policy.
};

struct AgentSettings {
    ProcessSettings process;
    std::string upstream;                      ///< Name of the model server or plain server in the environment document.
    std::string upstreamAddress;               ///< "ip:port" of the upstream's HTTP interface.
    Micros resumeWindow = 5 * MicrosPerSecond; ///< How long output is kept for resumption after the connection to the entry process breaks.
};

// 2. Loading --------------------------------------------------------------------------------------

/// Result of loading settings, which are usable only if there are no errors.
template<typename Settings>
struct LoadedSettings {
    Settings settings;
    std::vector<DocumentError> errors;

    [[nodiscard]] bool ok() const
    {
        return errors.empty();
    }
};

/// Overrides one field, for example {"process.zone", "zagreb-a", "--set"}.
struct SettingOverride {
    std::string path;
    std::string value;
    std::string source; ///< The option or environment variable that set the value, for error messages.
};

/// Parses \p text, applies \p overrides in order and validates the result. Errors name \p file or the source of the override.
/// Thread-safe.
[[nodiscard]] LoadedSettings<EntrySettings> loadEntrySettings(std::string_view text, std::string_view file, const std::vector<SettingOverride> &overrides);
[[nodiscard]] LoadedSettings<AgentSettings> loadAgentSettings(std::string_view text, std::string_view file, const std::vector<SettingOverride> &overrides);

/// Overrides from environment variables: CAROBHALL_PROCESS__ZONE=… sets "process.zone". Must not run concurrently with setenv().
[[nodiscard]] std::vector<SettingOverride> overridesFromEnvironment();

} // namespace Carobhall
