#pragma once

// Command-line options of the commands that use the platform, and their error reports.

#include "commands.h"
#include "platform_session.h"

namespace Carobhall::Cli
{

struct PlatformOptions {
    std::string address;
    std::uint32_t timeoutMillis = 10'000;

    void addTo(CommandLine &line);
    /// Writes an error when the address is missing or malformed.
    [[nodiscard]] bool isValid(std::ostream &errors) const;
    [[nodiscard]] PlatformSessionOptions session() const;
};

/// Whether \p text is "ip:port".
[[nodiscard]] bool isAddressAndPort(const std::string &text);

/// Writes why an environment could not be read, or that it does not exist.
CliExit reportRead(const std::string &environment, const EnvironmentObject &found, std::ostream &errors);

} // namespace Carobhall::Cli
