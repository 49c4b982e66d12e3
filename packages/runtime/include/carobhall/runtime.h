#pragma once

// What both long-running processes need around their own work: timers, JSON, HTTP listeners, the current document.
// Everything here is used from the thread that iterates GLib's default main context.
//
// Index
//   1. GLib              owners for GLib objects, timers, signal watches
//   2. JSON              strict parsing with a depth limit, compact writing
//   3. HTTP              listening, operators' listener
//   4. Document          the environment document in effect
//   5. Fleet keys        from settings
//   6. Start-up          command line, settings and first document of a program

#include "carobhall/document.h"
#include "carobhall/settings.h"
#include "carobhall/wire.h"

#include <glib-object.h>
#include <json/value.h>
#include <libsoup/soup.h>

#include <csignal>
#include <functional>

namespace Carobhall
{

// 1. GLib -----------------------------------------------------------------------------------------

struct ObjectUnref {
    void operator()(gpointer object) const
    {
        g_object_unref(object);
    }
};

/// Owns one reference to a GObject.
template<typename Object>
using ObjectRef = std::unique_ptr<Object, ObjectUnref>;

/// Takes a further reference to \p object.
template<typename Object>
[[nodiscard]] ObjectRef<Object> refObject(Object *object)
{
    return ObjectRef<Object>(static_cast<Object *>(g_object_ref(object)));
}

/// Calls a function later on the main loop. Stops when destroyed, also from within its own function.
class Timer
{
public:
    Timer() = default;
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Calls \p action once after \p delay microseconds, rounded up to milliseconds. Replaces what was set before.
    void startOnce(Micros delay, std::function<void()> action);
    /// Calls \p action every \p interval microseconds.
    void startRepeating(Micros interval, std::function<void()> action);
    void stop();
    [[nodiscard]] bool isActive() const;

private:
    void start(Micros delay, bool repeats, std::function<void()> action);

    struct Slot;
    Slot *slot_ = nullptr;
};

/// Calls a function on the main loop each time the process gets a Unix signal.
class SignalWatch
{
public:
    SignalWatch(int signalNumber, std::function<void()> action);
    ~SignalWatch();
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;

private:
    std::function<void()> action_;
    guint source_ = 0;
};

// 2. JSON -----------------------------------------------------------------------------------------

/// The value in \p text, or nothing when it is not strict JSON or is nested too deeply. Thread-safe.
[[nodiscard]] std::optional<Json::Value> parseJson(std::string_view text);
/// One line of UTF-8. Thread-safe.
[[nodiscard]] std::string writeJson(const Json::Value &value);

// 3. HTTP -----------------------------------------------------------------------------------------

/// Process exit codes of both programs.
enum class ExitCode : int {
    Success = 0,
    Failure = 1,
    InvalidSettings = 2, ///< Settings, document or command line are not valid.
    AddressInUse = 3,    ///< A listener's address is taken by another process.
};

/// Makes \p server listen at \p address, "ip:port"; port 0 takes a free one. Sets \p port to the port taken.
std::error_code listenHttp(SoupServer *server, const std::string &address, std::uint16_t &port);

/// Operators' HTTP listener: /metrics, /dump, /healthz, /readyz.
class AdminListener
{
public:
    struct Options {
        std::function<std::string()> metrics; ///< Prometheus text.
        std::function<Json::Value()> dump;
        std::function<bool()> ready; ///< False: load balancers send no new work here.
    };

    explicit AdminListener(Options options);
    ~AdminListener();
    AdminListener(const AdminListener &) = delete;
    AdminListener &operator=(const AdminListener &) = delete;

    std::error_code listen(const std::string &address);
    [[nodiscard]] std::uint16_t port() const;

private:
    static void onRequest(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self);

    Options options_;
    ObjectRef<SoupServer> server_;
    std::uint16_t port_ = 0;
};

// 4. Document -------------------------------------------------------------------------------------

/// An accepted document with its version on the platform; 0 for one that was read from a file.
struct VersionedDocument {
    std::uint64_t version = 0;
    std::string digest;
    std::string text; ///< Byte for byte, to pass on to peers.
    EnvironmentDocument document;

    /// False in a process that has not received a document yet.
    [[nodiscard]] bool isPresent() const
    {
        return !digest.empty();
    }
};

/// The one place in a process that holds the environment document in effect.
class DocumentHolder
{
public:
    explicit DocumentHolder(VersionedDocument initial);

    /// The document in effect. A holder of the pointer keeps that version.
    [[nodiscard]] const std::shared_ptr<const VersionedDocument> &current() const;
    /// Puts \p next into effect and tells the listeners. Returns false when it is not newer than a document that is present.
    bool replace(VersionedDocument next);
    /// \p listener is called after each replacement, as long as the holder lives.
    void onReplaced(std::function<void(const VersionedDocument &)> listener);

private:
    std::shared_ptr<const VersionedDocument> current_;
    std::vector<std::function<void(const VersionedDocument &)>> listeners_;
};

/// What an upstream serves, looked up in a document by the upstream's name.
struct UpstreamRole {
    std::string route; ///< Model name, or name of a plain service.
    std::string zone;
    std::string weightsVersion; ///< Empty for a plain service.
    std::uint32_t slots = 1;
    bool isModel = false;
};

/// The role of the model server or plain server \p name, or nothing when the document has none. Thread-safe.
[[nodiscard]] std::optional<UpstreamRole> findUpstream(const EnvironmentDocument &document, std::string_view name);

/// The region of an availability zone; empty for a zone that the document does not have. Thread-safe.
[[nodiscard]] std::string regionOf(const EnvironmentDocument &document, std::string_view zone);

// 5. Fleet keys -----------------------------------------------------------------------------------

/// The keys in \p settings, or nothing when there is none or one is not 64 hexadecimal digits. Thread-safe.
[[nodiscard]] std::optional<FleetKeys> fleetKeysFrom(const std::vector<FleetKeySetting> &settings);

// 6. Start-up -------------------------------------------------------------------------------------

/// What a program starts from.
template<typename Settings>
struct StartUp {
    Settings settings;
    VersionedDocument document;
};

/// Reads "--settings FILE [--set PATH=VALUE]...", the environment's overrides, the settings and the document that they
/// name. Writes errors and help to the terminal and then returns the exit code instead.
[[nodiscard]] std::variant<StartUp<EntrySettings>, ExitCode> startUpEntry(int argc, char **argv);
[[nodiscard]] std::variant<StartUp<AgentSettings>, ExitCode> startUpAgent(int argc, char **argv);

/// Runs the main loop of a program until \p process has stopped. SIGTERM and SIGINT begin a graceful shutdown, SIGUSR1
/// writes the dump to the log. \p process has start(), beginShutdown() and dump(); its onStopped quits \p loop.
template<typename Process>
[[nodiscard]] ExitCode runProcess(Process &process, GMainLoop *loop);

[[nodiscard]] ExitCode exitCodeOf(std::error_code startError);

template<typename Process>
ExitCode runProcess(Process &process, GMainLoop *loop)
{
    const SignalWatch terminate(SIGTERM, [&] { process.beginShutdown(); });
    const SignalWatch interrupt(SIGINT, [&] { process.beginShutdown(); });
    const SignalWatch dump(SIGUSR1, [&] { logEvent(LogLevel::Info, "dump", { { "state", writeJson(process.dump()) } }); });
    if (const std::error_code error = process.start()) {
        logEvent(LogLevel::Error, "start_failed", { { "error", error } });
        return exitCodeOf(error);
    }
    g_main_loop_run(loop);
    return ExitCode::Success;
}

} // namespace Carobhall
