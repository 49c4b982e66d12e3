#pragma once

// Blocking access to the environments on the platform, for commands that do one thing and end.

#include "carobhall/platform.h"

#include <memory>

namespace Carobhall::Cli
{

struct PlatformSessionOptions {
    std::string address;                   ///< "ip:port".
    Micros timeout = 10 * MicrosPerSecond; ///< Of one read or one write with all of its retries.
};

/// What the platform holds under a name.
struct EnvironmentObject {
    std::error_code error; ///< Also InvalidDocument, when the object's digest does not match its text.
    PlatformObject object; ///< Without a version when the environment does not exist yet.
    std::string text;
};

/// Iterates the thread-default GMainContext while it waits. Not thread-safe.
class PlatformSession
{
public:
    explicit PlatformSession(PlatformSessionOptions options);
    ~PlatformSession();
    PlatformSession(const PlatformSession &) = delete;
    PlatformSession &operator=(const PlatformSession &) = delete;

    /// Reads an environment, and tries again while the platform does not answer. A missing one is no error.
    [[nodiscard]] EnvironmentObject read(const std::string &environment);
    /// Writes \p text on the version of \p base, as PlatformClient::update() does.
    [[nodiscard]] PlatformReply write(const PlatformObject &base, const std::string &text);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Carobhall::Cli
