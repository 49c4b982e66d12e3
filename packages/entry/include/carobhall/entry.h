#pragma once

// The entry process: HTTP for callers, and the way of each request to an agent and back.
//
//     Entry entry({.settings = settings, .document = document, .onStopped = [] { ... }});
//     if (const std::error_code error = entry.start()) { ... }
//     // iterate the default main context
//     entry.beginShutdown();      // onStopped follows when all requests have ended
//
// Everything is used from the thread that iterates GLib's default main context.

#include "carobhall/runtime.h"

namespace Carobhall
{

struct EntryOptions {
    EntrySettings settings;
    VersionedDocument document;      ///< Empty: the process waits for one from a peer or the platform.
    std::function<void()> onStopped; ///< A graceful shutdown is complete, or its deadline has passed.
};

class Entry
{
public:
    /// Precondition: the settings hold at least one valid fleet key.
    explicit Entry(EntryOptions options);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /// Starts listening and connects to the agents. Fails with std::errc::address_in_use when an address is taken.
    std::error_code start();

    /// Refuses new requests as not run, finishes the running ones, then calls onStopped. Repeated calls do nothing.
    void beginShutdown();

    [[nodiscard]] std::uint16_t wirePort() const;
    [[nodiscard]] std::uint16_t callerPort() const;
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
