#pragma once

// Keeps the requests that all gateways together send to an upstream under the rate that the upstream names in its answers.
//
//     UpstreamLimits limits({ .gateway = "front-1", .seed = seed });
//     limits.noteAnswer(process, answer.requestsPerSecond, now);
//     if (limits.take(process, now)) { ... send the request ... }
//     send(limits.report(now)); limits.merge(reports, now);      // report() every LimitReportInterval
//
// Each gateway uses a share of the limit; the shares of all add up to the limit. Gateways report how much they want to send; a
// gateway that wants less than an equal share leaves the rest to the others. A gateway of which nothing was heard for
// LimitReportLifetime counts as one that wants all it can get, so that its equal share stays free for it. A gateway uses more than it has reported only when its lower
// reports have expired at the others, which therefore hold back at least what it uses, also when it is cut off from them. No share is
// granted by anybody, and nothing has to be agreed on.
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/messages.h"

#include <array>
#include <random>
#include <unordered_map>

namespace Carobhall
{

/// Interval of the reports of a gateway, and of their distribution by the sidecars.
inline constexpr Micros LimitReportInterval = 500 * MicrosPerMilli;
/// How long a report counts. Covers both intervals and the transfer.
inline constexpr Micros LimitReportLifetime = 3 * LimitReportInterval;

struct UpstreamLimitsOptions {
    std::string gateway{};          ///< Name of this gateway, the same after a restart.
    std::uint64_t seed = 1;         ///< Spreads the first permits of the gateways over time.
    std::uint32_t gatewayCount = 8; ///< Until setGatewayCount() is called.
};

/// Not thread-safe.
class UpstreamLimits
{
public:
    explicit UpstreamLimits(UpstreamLimitsOptions options);

    /// \p process has answered a request and named \p requestsPerSecond, or no limit.
    void noteAnswer(Incarnation process, std::optional<double> requestsPerSecond, Micros now);
    /// Takes a permit for one request to \p process. False: the request must not be sent there now. Call it only for the upstream that
    /// suits the request best, because refused calls count as demand.
    [[nodiscard]] bool take(Incarnation process, Micros now);
    /// Time until this gateway has the next permit for \p process; 0 if it has no limit.
    [[nodiscard]] Micros timeToPermit(Incarnation process, Micros now);
    /// The share of this gateway in requests a second; empty: \p process has no limit.
    [[nodiscard]] std::optional<double> shareOf(Incarnation process, Micros now) const;

    /// The report of this gateway, without entries if it knows of no limit. Call every LimitReportInterval.
    [[nodiscard]] LimitReport report(Micros now);
    /// Adds the reports of other gateways.
    void merge(const LimitReports &reports, Micros now);
    /// The number of gateways, this one included, as a sidecar counts them. A lower number counts only after GatewayCountHold: a gateway that
    /// is cut off may still send.
    void setGatewayCount(std::uint32_t count, Micros now);

private:
    static constexpr Micros GatewayCountHold = 60 * MicrosPerSecond;
    /// How long a limit holds without an answer. Permits are given out all the while, so that answers come as long as there is demand.
    static constexpr Micros LimitLifetime = 60 * MicrosPerSecond;
    /// Used for lower limits: one of 0 could never be lifted, because nobody would get an answer.
    static constexpr double MinRequestsPerSecond = 0.2;
    /// Permits that a share may save up, in seconds of its rate, if this is more than one.
    static constexpr double BurstSeconds = 0.25;
    /// After so long without demand a gateway's saved permits are drawn anew, so that gateways that become busy at the same time have
    /// about IdlePermits together at once and get the others one after the other.
    static constexpr Micros IdleTime = 5 * MicrosPerSecond;
    static constexpr double IdlePermits = 4.0;
    /// Reported in excess of the measured demand, so that growing demand is not held back.
    static constexpr double DemandHeadroom = 1.25;
    /// Weight of the last interval in the moving average of the demand.
    static constexpr double DemandSampleWeight = 0.25;
    static constexpr std::size_t ReportsHeld = LimitReportLifetime / LimitReportInterval + 1;

    struct PeerDemand {
        double requestsPerSecond = 0.0;
        Micros at = 0;
    };
    struct Limited {
        std::optional<double> limit{}; ///< Empty: the upstream has stopped naming one.
        Micros observedAt = 0;         ///< When an answer last said so, at any gateway.
        double permits = 0.0;
        Micros refilledAt = 0;
        Micros lastTakeAt = 0;
        std::uint32_t takes = 0; ///< Calls of take() since the last report, also refused ones.
        double demand = 0.0;     ///< Moving average of the calls of take(), per second.
        Micros reportedAt = 0;
        std::array<double, ReportsHeld> reported{}; ///< The demand in the last reports; infinite: not reported.
        std::map<std::string, PeerDemand, std::less<>> peers{};
    };

    Limited &addLimited(Incarnation process, Micros now);
    /// Sets the limit that the upstream named at \p observedAt, or none.
    void setLimit(Limited &limited, std::optional<double> requestsPerSecond, Micros observedAt, Micros now);
    [[nodiscard]] double shareOf(const Limited &limited, Micros now) const;
    void refill(Limited &limited, Micros now);
    [[nodiscard]] double drawPermitPart();
    void expire(Micros now);

    UpstreamLimitsOptions options_;
    std::mt19937_64 random_;
    std::unordered_map<Incarnation, Limited> limited_;
    bool gatewaysCounted_ = false;
    Micros gatewayCountAt_ = 0; ///< When the count was last reported as high as it is.
};

} // namespace Carobhall
