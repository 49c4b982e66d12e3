#pragma once

// Command-line options and error reports of the commands that access the platform.

#include "commands.h"
#include "platform_session.h"

namespace Carobhall::Cli
{

struct PlatformOptions {
    std::string address;
    std::uint32_t timeoutMillis = 10'000;

    void addTo(CommandLine &commandLine);
    /// Writes an error and returns false if the address is missing or malformed.
    [[nodiscard]] bool isValid(std::ostream &errors) const;
    [[nodiscard]] PlatformSessionOptions session() const;
};

/// Whether \p text is "ip:port" with a port from 1 to 65535.
[[nodiscard]] bool isAddressAndPort(const std::string &text);

/// Writes why an environment could not be read, or that it does not exist, and returns the exit code.
CliExit reportReadFailure(const std::string &environment, const EnvironmentObject &found, std::ostream &errors);

} // namespace Carobhall::Cli
