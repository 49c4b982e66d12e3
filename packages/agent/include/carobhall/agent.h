#pragma once

// The agent: the process beside one upstream. It is the authoritative source of what is queued and runs there.
//
//     Agent agent({.settings = settings, .document = document, .onStopped = [] { ... }});
//     if (const std::error_code error = agent.start()) { ... }
//     // iterate the default main context
//     agent.beginShutdown();      // onStopped follows when what was accepted has been delivered
//
// Everything is used from the thread that iterates GLib's default main context.

#include "carobhall/runtime.h"

namespace Carobhall
{

struct AgentOptions {
    AgentSettings settings;
    VersionedDocument document;               ///< Empty: the agent waits for one from a peer or the platform.
    std::function<void()> onStopped;          ///< A graceful shutdown is complete, or its deadline has passed.
    Micros stallLimit = 30 * MicrosPerSecond; ///< An answer of which nothing is taken this long is cancelled.
};

class Agent
{
public:
    /// Precondition: the settings hold at least one valid fleet key.
    explicit Agent(AgentOptions options);
    ~Agent();
    Agent(const Agent &) = delete;
    Agent &operator=(const Agent &) = delete;

    /// Starts listening. Fails with std::errc::address_in_use when an address is taken, and with Errc::InvalidSettings when
    /// there is a document that does not contain the upstream.
    std::error_code start();

    /// Refuses new work as not run, finishes what was accepted, then calls onStopped. Repeated calls do nothing.
    void beginShutdown();

    [[nodiscard]] std::uint16_t wirePort() const;
    [[nodiscard]] std::uint16_t adminPort() const;
    [[nodiscard]] Incarnation incarnation() const;
    [[nodiscard]] DocumentHolder &document();
    [[nodiscard]] const Metrics &metrics() const;
    /// The state that /dump shows.
    [[nodiscard]] Json::Value dump() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Carobhall
