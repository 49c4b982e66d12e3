#pragma once

// Types that all packages use: execution verdicts, error codes, identifiers, time, structured logging and metrics.
//
// Index
//   1. Name tables      nameOf() and fromName(), which convert enum values to and from their names
//   2. Verdict          whether an upstream may have executed a request
//   3. Errors           error codes and their std::error_category
//   4. Identities       identifiers of processes, requests and attempts
//   5. Time             clocks, in microseconds
//   6. Log lines        one line of key=value pairs per event
//   7. Metrics          counters, gauges and latency summaries in the Prometheus text format

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

/// A row of an enum's name table: a value and the name that it has in logs, metrics and JSON.
template<typename Enum>
struct EnumName {
    Enum value;
    std::string_view name;
};

// Deduction guide: Clang 14 does not support class template argument deduction for aggregates.
template<typename Enum>
EnumName(Enum, const char *) -> EnumName<Enum>;

/// Specialised for each enum class that has names, with a static `rows` array of EnumName.
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

/// The value named \p name, or std::nullopt if there is none. Thread-safe.
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

/// Whether an upstream may have executed a request, in ascending order of certainty that it did. NotRun is a guarantee on
/// which callers base retries; report it only when execution is ruled out.
enum class Verdict : std::uint8_t {
    NotRun,     ///< No upstream has started the request, and none will start this attempt later.
    MayHaveRun, ///< The request was sent to an upstream, and its outcome is unknown.
    Ran,        ///< An upstream has executed the request.
};

template<>
struct EnumNames<Verdict> {
    static constexpr std::array rows{
        EnumName{ Verdict::NotRun, "not-run" },
        EnumName{ Verdict::MayHaveRun, "may-have-run" },
        EnumName{ Verdict::Ran, "ran" },
    };
};

/// The verdict for a request with several attempts: the one closest to Ran. Thread-safe.
[[nodiscard]] constexpr Verdict combine(Verdict a, Verdict b)
{
    return a > b ? a : b;
}

// 3. Errors ---------------------------------------------------------------------------------------

enum class Errc {
    MalformedMessage = 1, ///< Input from a peer or caller could not be decoded.
    AuthenticationFailed, ///< The peer or caller has no valid key.
    ConnectionLost,       ///< The connection closed before the response arrived.
    Timeout,              ///< No response within the time limit.
    Overloaded,           ///< Rejected because of load.
    DeadlineUnreachable,  ///< Rejected because the deadline cannot be met.
    LimitExceeded,        ///< The account has exceeded its limit.
    NoUpstream,           ///< No upstream can accept the request.
    IncarnationMismatch,  ///< The peer or engine has restarted: it is not the incarnation that the request was addressed to.
    Leaving,              ///< The process is shutting down.
    Condemned,            ///< Rejected because earlier runs of the request crashed upstreams.
    UpstreamFailed,       ///< The upstream aborted the response or returned a server error.
    PlatformUnavailable,  ///< The platform does not respond.
    Conflict,             ///< A conditional update failed because the stored version differs.
    NotFound,
    AlreadyExists,
    TooLarge,
    StaleFencingToken,
    InvalidDocument,
    InvalidSettings,
    KeyExpired,   ///< The idempotency key is older than the retention window of claims.
    Cancelled,    ///< The caller disconnected.
    StreamBroken, ///< The response stream could not be completed.
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

/// The error category for Errc, named "carobhall". Thread-safe.
[[nodiscard]] const std::error_category &errorCategory();
[[nodiscard]] std::error_code make_error_code(Errc code);

// 4. Identities -----------------------------------------------------------------------------------

/// Identifies one run of a process or an engine: a random number chosen at its start. Zero means "unknown".
using Incarnation = std::uint64_t;

/// Generates a random 64-bit incarnation, never zero. Thread-safe.
[[nodiscard]] Incarnation drawIncarnation();

/// Identifies one attempt of one request. Unique across all processes of the fleet and their restarts.
struct AttemptId {
    Incarnation entry = 0;     ///< Incarnation of the entry process that accepted the request.
    std::uint64_t number = 0;  ///< Sequence number of the request in that process, from 1.
    std::uint32_t attempt = 0; ///< Sequence number of the attempt within the request, from 1.

    auto operator<=>(const AttemptId &) const = default;
};

/// "entry-number-attempt" for logs: the entry process in hexadecimal, the other two in decimal. Thread-safe.
[[nodiscard]] std::string toString(const AttemptId &id);

/// \p value as 16 hexadecimal digits, with leading zeros. Thread-safe.
[[nodiscard]] std::string toHex(std::uint64_t value);

// 5. Time -----------------------------------------------------------------------------------------

/// A duration, or a point in time on the monotonic clock, in microseconds. The origin of the clock is arbitrary.
using Micros = std::int64_t;

inline constexpr Micros MicrosPerMilli = 1'000;
inline constexpr Micros MicrosPerSecond = 1'000'000;

/// The monotonic clock. Code that makes decisions does not call it but takes `now` as an argument, so that tests control
/// the time. Thread-safe.
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

/// Initialises logging to standard error. Each line contains \p process as the name of the process. Call this once, before
/// the first log line. Not thread-safe.
void initLogging(std::string_view process, LogLevel level);

/// Initialises logging to standard output, for programs whose logs are collected by the platform. Writing never blocks: lines
/// that exceed \p linesPerSecond or do not fit into the pipe are dropped, and a later "log_lines_dropped" line counts them.
void initOutputLogging(std::string_view process, LogLevel level, unsigned linesPerSecond = 400);

/// Writes one line "time=… level=… process=… event=… key=value …". Values with spaces or quotes are quoted. Thread-safe.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// The part of a log line from "event=" on, without time, level and process. Thread-safe.
[[nodiscard]] std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields);

// 7. Metrics --------------------------------------------------------------------------------------

/// Metrics registry of a process. Not thread-safe: use it from the main loop's thread.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Increments a counter. \p labels is empty or in Prometheus syntax, for example `rank="paying"`.
    void count(std::string_view name, std::string_view labels = {}, std::uint64_t by = 1);
    /// Sets a gauge.
    void setGauge(std::string_view name, std::string_view labels, double value);
    /// Adds a sample to a latency summary, which estimates p50, p95 and p99.
    void observe(std::string_view name, std::string_view labels, Micros sample);

    /// The value of a counter; zero if it was never incremented.
    [[nodiscard]] std::uint64_t counter(std::string_view name, std::string_view labels = {}) const;
    /// All metrics in the Prometheus text format, latencies in seconds.
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
        // Multiplication by odd constants distributes consecutive request numbers over the buckets.
        return id.entry * 0x9E3779B97F4A7C15ULL ^ id.number * 0xC2B2AE3D27D4EB4FULL ^ id.attempt;
    }
};
