#pragma once

// The entry process: accepts HTTP requests from callers, dispatches each one to an agent and returns the answer.
//
//     Entry entry({.settings = settings, .document = document, .onStopped = [] { ... }});
//     if (const std::error_code error = entry.start()) { ... }
//     // iterate the default main context
//     entry.beginShutdown();      // onStopped is called once all requests have ended
//
// Not thread-safe: call everything from the thread that iterates GLib's default main context.

#include "carobhall/runtime.h"

namespace Carobhall
{

struct EntryOptions {
    EntrySettings settings;
    VersionedDocument document;      ///< If empty, the process waits to receive a document from a peer or the platform.
    std::function<void()> onStopped; ///< Called when a graceful shutdown is complete or its deadline has passed.
};

class Entry
{
public:
    /// Precondition: the settings hold at least one valid fleet key.
    explicit Entry(EntryOptions options);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /// Starts listening and joins the fleet. Returns std::errc::address_in_use if an address is already in use.
    std::error_code start();

    /// Refuses new requests with the verdict not-run, lets the requests in flight finish, then calls onStopped. Further calls have no
    /// effect.
    void beginShutdown();

    [[nodiscard]] std::uint16_t wirePort() const;
    [[nodiscard]] std::uint16_t callerPort() const;
    [[nodiscard]] std::uint16_t adminPort() const;
    [[nodiscard]] Incarnation incarnation() const;
    [[nodiscard]] DocumentHolder &document();
    [[nodiscard]] const Metrics &metrics() const;
    /// The state that the admin endpoint /dump returns.
    [[nodiscard]] Json::Value dump() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Carobhall
