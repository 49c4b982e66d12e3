#pragma once

// Infrastructure shared by the long-running programs: timers, JSON, HTTP listeners, the environment document, start-up.
// Unless stated otherwise, use it from the thread that iterates GLib's default main context.
//
// Index
//   1. GLib              smart pointers for GLib objects, timers, signal handlers
//   2. JSON              strict parsing with a depth limit, compact serialisation
//   3. HTTP              listening sockets, the admin listener
//   4. Document          the environment document in effect
//   5. Fleet keys        reading them from the settings
//   6. Start-up          command line, settings and initial document of a program

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

/// Smart pointer that owns one reference to a GObject.
template<typename Object>
using ObjectRef = std::unique_ptr<Object, ObjectUnref>;

/// Returns a new reference to \p object.
template<typename Object>
[[nodiscard]] ObjectRef<Object> refObject(Object *object)
{
    return ObjectRef<Object>(static_cast<Object *>(g_object_ref(object)));
}

/// Calls a function on the main loop after a delay or periodically. The destructor stops the timer and may be called from
/// within that function.
class Timer
{
public:
    Timer() = default;
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Calls \p action once after \p delay, which is rounded up to milliseconds, and after the input that waits in sockets when the delay has
    /// passed, so that \p action can rely on having seen it. Cancels an earlier start.
    void startOnce(Micros delay, std::function<void()> action);
    /// Calls \p action periodically, every \p interval, which is rounded up to milliseconds. Cancels an earlier start.
    void startRepeating(Micros interval, std::function<void()> action);
    void stop();
    [[nodiscard]] bool isActive() const;

private:
    void start(Micros delay, bool repeats, std::function<void()> action);
    /// Calls \p action in the next iteration of the main loop.
    void runAfterInput(std::function<void()> action);

    struct Slot;
    Slot *slot_ = nullptr;
};

/// Calls a function on the main loop each time the process receives a Unix signal.
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

/// Parses \p text. Returns std::nullopt if it is not strict JSON or is nested too deeply. Thread-safe.
[[nodiscard]] std::optional<Json::Value> parseJson(std::string_view text);
/// Name, without quotes and with its escapes, and text of a member of a JSON object.
using JsonMember = std::pair<std::string_view, std::string_view>;
/// Splits the JSON object \p text into the texts of its members, or the array \p text into those of its elements, without parsing them: one that
/// is nested too deeply or cannot be parsed does not affect the others. The results refer to \p text. Returns std::nullopt if it is no complete
/// object or array. Takes constant stack space and linear time. Thread-safe.
[[nodiscard]] std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);
[[nodiscard]] std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);
/// Serialises \p value to a single line of UTF-8. Thread-safe.
[[nodiscard]] std::string writeJson(const Json::Value &value);

// 3. HTTP -----------------------------------------------------------------------------------------

/// Exit codes of the programs.
enum class ExitCode : int {
    Success = 0,
    Failure = 1,
    InvalidSettings = 2, ///< The settings, the document or the command line are invalid.
    AddressInUse = 3,    ///< The address of a listener is in use by another process.
};

/// Makes \p server listen at \p address, "ip:port"; port 0 selects a free port. Stores the actual port in \p port.
std::error_code listenHttp(SoupServer *server, const std::string &address, std::uint16_t &port);
/// Makes \p server drop the bodies of requests as they arrive. For listeners whose requests have none, but to which anybody may send one.
void dropRequestBodies(SoupServer *server);

/// HTTP listener for operators and monitoring: /metrics, /dump, /healthz, /readyz.
class AdminListener
{
public:
    struct Options {
        std::function<std::string()> metrics; ///< The metrics in the Prometheus text format.
        std::function<Json::Value()> dump;
        std::function<bool()> ready; ///< False: /readyz answers 503, so that load balancers send no new requests here.
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

/// A valid environment document with its version on the platform; the version is 0 if the document was read from a file.
struct VersionedDocument {
    std::uint64_t version = 0;
    std::string digest;
    std::string text; ///< Unmodified, for transfer to peers.
    EnvironmentDocument document;

    /// False until the process has received a document.
    [[nodiscard]] bool isPresent() const
    {
        return !digest.empty();
    }
};

/// Holds the environment document in effect in this process.
class DocumentHolder
{
public:
    explicit DocumentHolder(VersionedDocument initial);

    /// The document in effect. A copy of the pointer keeps referring to the same version after replace().
    [[nodiscard]] const std::shared_ptr<const VersionedDocument> &current() const;
    /// Puts \p next into effect and notifies the listeners. Returns false, without effect, if a document is present and \p next
    /// is not newer.
    bool replace(VersionedDocument next);
    /// Registers \p listener, which is called after each replacement for the lifetime of the holder.
    void onReplaced(std::function<void(const VersionedDocument &)> listener);

private:
    std::shared_ptr<const VersionedDocument> current_;
    std::vector<std::function<void(const VersionedDocument &)>> listeners_;
};

/// What the environment document says about an upstream.
struct UpstreamRole {
    std::string route; ///< Name of the model or of the plain service.
    std::string zone;
    std::string weightsVersion; ///< Empty for a plain service.
    std::uint32_t slots = 1;    ///< Number of requests that the upstream processes at once.
    bool isModel = false;
};

/// Looks up the model server or plain server \p name; std::nullopt if the document does not contain it. Thread-safe.
[[nodiscard]] std::optional<UpstreamRole> findUpstream(const EnvironmentDocument &document, std::string_view name);

/// The region of an availability zone; empty if the document does not contain the zone. Thread-safe.
[[nodiscard]] std::string regionOf(const EnvironmentDocument &document, std::string_view zone);

// 5. Fleet keys -----------------------------------------------------------------------------------

/// The keys in \p settings; std::nullopt if there are none or if one is not 64 hexadecimal digits. Thread-safe.
[[nodiscard]] std::optional<FleetKeys> fleetKeysFrom(const std::vector<FleetKeySetting> &settings);

// 6. Start-up -------------------------------------------------------------------------------------

/// Settings and initial document of a program.
template<typename Settings>
struct StartUp {
    Settings settings;
    VersionedDocument document;
};

/// Parses "--settings FILE [--set PATH=VALUE]..." and the overrides from environment variables, and loads the settings and
/// the document that they refer to. On errors and for --help, prints to the terminal and returns the exit code instead.
[[nodiscard]] std::variant<StartUp<EntrySettings>, ExitCode> startUpEntry(int argc, char **argv);
[[nodiscard]] std::variant<StartUp<AgentSettings>, ExitCode> startUpAgent(int argc, char **argv);

/// Runs the main loop of a program until \p process has stopped. SIGTERM and SIGINT begin a graceful shutdown; SIGUSR1 writes
/// the state dump to the log. \p process must have start(), beginShutdown() and dump(), and its onStopped must quit \p loop.
template<typename Process>
[[nodiscard]] ExitCode runProcess(Process &process, GMainLoop *loop);

/// The exit code for an error that start() of a process returned.
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
