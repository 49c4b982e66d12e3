#pragma once

// Blocking access to the environment objects on the platform.

#include "carobhall/platform.h"

#include <memory>

namespace Carobhall::Cli
{

struct PlatformSessionOptions {
    std::string address;                   ///< "ip:port".
    Micros timeout = 10 * MicrosPerSecond; ///< For one read or one write, including its retries.
};

/// Result of reading an environment.
struct EnvironmentObject {
    std::error_code error; ///< Error of the read; InvalidDocument if the object's digest does not match its text.
    PlatformObject object; ///< Version 0 if the environment does not exist.
    std::string text;
};

/// Connection of one command to the platform. Iterates the thread-default GMainContext while it waits. Not thread-safe.
class PlatformSession
{
public:
    explicit PlatformSession(PlatformSessionOptions options);
    ~PlatformSession();
    PlatformSession(const PlatformSession &) = delete;
    PlatformSession &operator=(const PlatformSession &) = delete;

    /// Reads an environment, and retries transient errors until the timeout. A missing environment is not an error.
    [[nodiscard]] EnvironmentObject read(const std::string &environment);
    /// Replaces the version of the environment in \p base by \p text; see PlatformClient::update().
    [[nodiscard]] PlatformReply write(const PlatformObject &base, const std::string &text);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Carobhall::Cli
