#pragma once

// Types that every package uses: verdicts, errors, identities, time, log lines and metrics.
//
// Index
//   1. Name tables      nameOf(), fromName() for each enum class
//   2. Verdict          whether a request may have run
//   3. Errors           std::error_code values of the project
//   4. Identities       processes, requests and attempts
//   5. Time             monotonic microseconds
//   6. Log lines        one line of key=value pairs for each event
//   7. Metrics          counters, gauges and latency series, in the Prometheus text form

#include <array>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

namespace Carobhall
{

// 1. Name tables ----------------------------------------------------------------------------------

/// One row of an enum's name table.
template<typename Enum>
struct EnumName {
    Enum value;
    std::string_view name;
};

// Clang 14 does not deduce the arguments of aggregate templates by itself.
template<typename Enum>
EnumName(Enum, const char *) -> EnumName<Enum>;

/// Specialised with a `rows` array for each enum class that has names.
template<typename Enum>
struct EnumNames;

template<typename Enum>
concept NamedEnum = requires
{
    EnumNames<Enum>::rows;
};

/// The name of \p value, or "unknown" for a value outside the table. Thread-safe.
template<NamedEnum Enum>
[[nodiscard]] constexpr std::string_view nameOf(Enum value)
{
    for (const auto &row : EnumNames<Enum>::rows) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unknown";
}

/// The value called \p name, or nothing. Thread-safe.
template<NamedEnum Enum>
[[nodiscard]] constexpr std::optional<Enum> fromName(std::string_view name)
{
    for (const auto &row : EnumNames<Enum>::rows) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

// 2. Verdict --------------------------------------------------------------------------------------

/// Whether an upstream may have run a request. NotRun is a promise: it is used only where it is certain.
enum class Verdict : std::uint8_t {
    NotRun,     ///< No upstream has started the request, and none will start this attempt.
    MayHaveRun, ///< The request was handed to an upstream and its outcome is unknown.
    Ran,        ///< An upstream has run the request.
};

template<>
struct EnumNames<Verdict> {
    static constexpr std::array rows{
        EnumName{ Verdict::NotRun, "not-run" },
        EnumName{ Verdict::MayHaveRun, "may-have-run" },
        EnumName{ Verdict::Ran, "ran" },
    };
};

/// The verdict over several attempts of one request: the one that claims the most. Thread-safe.
[[nodiscard]] constexpr Verdict combine(Verdict a, Verdict b)
{
    return a > b ? a : b;
}

// 3. Errors ---------------------------------------------------------------------------------------

enum class Errc {
    MalformedMessage = 1, ///< Bytes from a peer or caller that do not decode.
    AuthenticationFailed, ///< A peer or caller without a valid key.
    ConnectionLost,       ///< The connection ended before the answer.
    Timeout,              ///< No answer within the time allowed.
    Overloaded,           ///< Refused because of load.
    DeadlineUnreachable,  ///< Refused because the deadline cannot be met.
    LimitExceeded,        ///< The account is over its limit.
    NoUpstream,           ///< No upstream can take the request.
    IncarnationMismatch,  ///< The peer or engine is not the one that was meant.
    Leaving,              ///< The process is shutting down.
    Condemned,            ///< The request crashed upstreams before.
    UpstreamFailed,       ///< The upstream broke off or answered with a server error.
    PlatformUnavailable,  ///< The platform does not answer.
    Conflict,             ///< A conditional update found another version.
    NotFound,
    AlreadyExists,
    TooLarge,
    StaleFencingToken,
    InvalidDocument,
    InvalidSettings,
    KeyExpired,   ///< An idempotency key older than the window in which claims are kept.
    Cancelled,    ///< The caller left.
    StreamBroken, ///< A stream could not be completed.
};

template<>
struct EnumNames<Errc> {
    static constexpr std::array rows{
        EnumName{ Errc::MalformedMessage, "malformed_message" },
        EnumName{ Errc::AuthenticationFailed, "authentication_failed" },
        EnumName{ Errc::ConnectionLost, "connection_lost" },
        EnumName{ Errc::Timeout, "timeout" },
        EnumName{ Errc::Overloaded, "overloaded" },
        EnumName{ Errc::DeadlineUnreachable, "deadline_unreachable" },
        EnumName{ Errc::LimitExceeded, "limit_exceeded" },
        EnumName{ Errc::NoUpstream, "no_upstream" },
        EnumName{ Errc::IncarnationMismatch, "incarnation_mismatch" },
        EnumName{ Errc::Leaving, "leaving" },
        EnumName{ Errc::Condemned, "condemned" },
        EnumName{ Errc::UpstreamFailed, "upstream_failed" },
        EnumName{ Errc::PlatformUnavailable, "platform_unavailable" },
        EnumName{ Errc::Conflict, "conflict" },
        EnumName{ Errc::NotFound, "not_found" },
        EnumName{ Errc::AlreadyExists, "already_exists" },
        EnumName{ Errc::TooLarge, "too_large" },
        EnumName{ Errc::StaleFencingToken, "stale_fencing_token" },
        EnumName{ Errc::InvalidDocument, "invalid_document" },
        EnumName{ Errc::InvalidSettings, "invalid_settings" },
        EnumName{ Errc::KeyExpired, "key_expired" },
        EnumName{ Errc::Cancelled, "cancelled" },
        EnumName{ Errc::StreamBroken, "stream_broken" },
    };
};

/// The category "carobhall". Thread-safe.
[[nodiscard]] const std::error_category &errorCategory();
[[nodiscard]] std::error_code make_error_code(Errc code);

// 4. Identities -----------------------------------------------------------------------------------

/// A number drawn at random when a process or an engine starts; zero means "not known".
using Incarnation = std::uint64_t;

/// Draws 64 random bits, never zero. Thread-safe.
[[nodiscard]] Incarnation drawIncarnation();

/// Names one attempt of one request for the lifetime of the fleet, also across restarts.
struct AttemptId {
    Incarnation entry = 0;     ///< Incarnation of the entry process that took the request.
    std::uint64_t number = 0;  ///< Counts that process's requests from 1.
    std::uint32_t attempt = 0; ///< Counts the request's attempts from 1.

    auto operator<=>(const AttemptId &) const = default;
};

/// "entry-number-attempt" in hexadecimal, for logs. Thread-safe.
[[nodiscard]] std::string toString(const AttemptId &id);

/// A 64-bit number as 16 hexadecimal digits. Thread-safe.
[[nodiscard]] std::string toHex(std::uint64_t value);

// 5. Time -----------------------------------------------------------------------------------------

/// Microseconds, of a duration or since an arbitrary monotonic origin.
using Micros = std::int64_t;

inline constexpr Micros MicrosPerMilli = 1'000;
inline constexpr Micros MicrosPerSecond = 1'000'000;

/// The monotonic clock. Decision code never calls it: it takes `now` as an argument. Thread-safe.
[[nodiscard]] Micros monotonicNow();

/// Microseconds since the Unix epoch. Thread-safe.
[[nodiscard]] Micros wallClockNow();

// 6. Log lines ------------------------------------------------------------------------------------

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

template<>
struct EnumNames<LogLevel> {
    static constexpr std::array rows{
        EnumName{ LogLevel::Debug, "debug" },
        EnumName{ LogLevel::Info, "info" },
        EnumName{ LogLevel::Warning, "warning" },
        EnumName{ LogLevel::Error, "error" },
    };
};

struct LogField {
    template<std::integral Integer>
    using Widest = std::conditional_t<std::same_as<Integer, bool>, bool, std::conditional_t<std::signed_integral<Integer>, std::int64_t, std::uint64_t>>;

    std::string_view key;
    std::variant<std::int64_t, std::uint64_t, double, bool, std::string_view> value;

    template<std::integral Integer>
    LogField(std::string_view k, Integer v)
        : key(k)
        , value(static_cast<Widest<Integer>>(v))
    {
    }
    LogField(std::string_view k, double v)
        : key(k)
        , value(v)
    {
    }
    LogField(std::string_view k, std::string_view v)
        : key(k)
        , value(v)
    {
    }
    LogField(std::string_view k, const char *v)
        : key(k)
        , value(std::string_view(v))
    {
    }
    LogField(std::string_view k, const std::string &v)
        : key(k)
        , value(std::string_view(v))
    {
    }
    LogField(std::string_view k, const std::error_code &v);
    template<NamedEnum Enum>
    LogField(std::string_view k, Enum v)
        : key(k)
        , value(nameOf(v))
    {
    }
};

/// Sets up logging to standard error. \p process goes into each line. Call once, before the first line. Not thread-safe.
void initLogging(std::string_view process, LogLevel level);

/// The same to standard output, for programs whose logs a platform collects. It never blocks: lines that the reader does not
/// take, or beyond \p linesPerSecond, are dropped and counted in a later "log_lines_dropped" line.
void initOutputLogging(std::string_view process, LogLevel level, unsigned linesPerSecond = 400);

/// Writes "level=… process=… event=… key=value …" as one line; values with spaces or quotes are quoted. Thread-safe.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// The fields of a log line, without level and process. Thread-safe.
[[nodiscard]] std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields);

// 7. Metrics --------------------------------------------------------------------------------------

/// A process's metrics. Not thread-safe: use it from the main loop's thread.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds to a counter. \p labels is empty or in the Prometheus form, for example `rank="paying"`.
    void count(std::string_view name, std::string_view labels = {}, std::uint64_t by = 1);
    /// Sets a gauge.
    void setGauge(std::string_view name, std::string_view labels, double value);
    /// Adds a sample, in microseconds, to a latency series that estimates p50, p95 and p99.
    void observe(std::string_view name, std::string_view labels, Micros sample);

    /// The value of a counter, zero when it was never counted.
    [[nodiscard]] std::uint64_t counter(std::string_view name, std::string_view labels = {}) const;
    /// All metrics in the Prometheus text form; latencies in seconds.
    [[nodiscard]] std::string prometheusText() const;

private:
    struct Series;
    std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>, std::less<>> counters_;
    std::map<std::string, std::map<std::string, double, std::less<>>, std::less<>> gauges_;
    std::map<std::string, std::map<std::string, std::unique_ptr<Series>, std::less<>>, std::less<>> series_;
};

} // namespace Carobhall

template<>
struct std::is_error_code_enum<Carobhall::Errc> : std::true_type {
};

template<>
struct std::hash<Carobhall::AttemptId> {
    std::size_t operator()(const Carobhall::AttemptId &id) const noexcept
    {
        // Multiplies by odd constants so that consecutive request numbers spread over the buckets.
        return id.entry * 0x9E3779B97F4A7C15ULL ^ id.number * 0xC2B2AE3D27D4EB4FULL ^ id.attempt;
    }
};
