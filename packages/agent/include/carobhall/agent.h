#pragma once

// The agent: a process that runs beside one upstream, queues the attempts sent to it and forwards them to the upstream.
// It is the authoritative source for what is queued and running there.
//
//     Agent agent({.settings = settings, .document = document, .onStopped = [] { ... }});
//     if (const std::error_code error = agent.start()) { ... }
//     // iterate the default main context
//     agent.beginShutdown();      // onStopped is called once the accepted attempts have been delivered
//
// Not thread-safe. All functions must be called from the thread that iterates GLib's default main context.

#include "carobhall/runtime.h"

namespace Carobhall
{

struct AgentOptions {
    AgentSettings settings;
    VersionedDocument document;               ///< If empty, the agent waits for one from a peer or the platform.
    std::function<void()> onStopped;          ///< Called when a graceful shutdown is complete or its deadline has passed.
    Micros stallLimit = 30 * MicrosPerSecond; ///< Attempts whose receiver accepts no output for this long are cancelled.
};

class Agent
{
public:
    /// Precondition: the settings hold at least one valid fleet key.
    explicit Agent(AgentOptions options);
    ~Agent();
    Agent(const Agent &) = delete;
    Agent &operator=(const Agent &) = delete;

    /// Starts listening. Fails with std::errc::address_in_use when an address is in use, and with Errc::InvalidSettings when a
    /// document is present that does not contain the upstream.
    std::error_code start();

    /// Refuses new attempts with Verdict::NotRun, completes the accepted ones, then calls onStopped. Repeated calls have no
    /// effect.
    void beginShutdown();

    [[nodiscard]] std::uint16_t wirePort() const;
    [[nodiscard]] std::uint16_t adminPort() const;
    [[nodiscard]] Incarnation incarnation() const;
    [[nodiscard]] DocumentHolder &document();
    [[nodiscard]] const Metrics &metrics() const;
    /// The state as served under /dump.
    [[nodiscard]] Json::Value dump() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Carobhall
