#pragma once

// Keeps what all gateways together send to upstreams for an account within the account's quota.
//
//     AccountQuotas quotas({ .gateway = "front-1", .tolerance = settings.quotaTolerance });
//     quotas.configure(config.accounts, now);
//     if (const QuotaDecision decision = quotas.take(account, cost, now); !decision.admitted) { ... decision.retryAfter ... }
//     quotas.giveBack(account, cost, now);                     // the request has not run and will not
//     send(quotas.report(now)); quotas.merge(relay, sums, now); // report() every QuotaReportInterval
//
// Each gateway has a bucket of permits for each account, which is filled with a share of the quota's rate. The shares add up to the rate:
// gateways report their demand to a few sidecars, which pass on the sums; under contention a share is the gateway's part of the demand.
// A gateway that is not heard counts as one that uses an equal share, and one that hears nothing uses no more than that.
//
// While the known demand of all gateways is below the quota, requests are admitted on credit, because a bucket of a small account that is
// shared by many gateways holds less than one long request.
//
// Bound. What an account uses in a window exceeds rate x window by at most the permits that all buckets hold at its start and the debts that
// they have at its end. The buckets together hold the burst and SavedTolerance of the tolerance. The debt of one gateway is limited by
// CalmTolerance, CalmRequests and CalmTime until contention is known, which takes two report intervals, and by ContendedTolerance and one
// request from then on. The debts of all gateways stay within the tolerance for the loads of account_quotas_test.cpp; an account whose quota
// is small beside one long request at each gateway can exceed it in a surge that is larger than those.
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/gateway_config.h"
#include "carobhall/messages.h"

#include <array>

namespace Carobhall
{

/// Interval of the reports of a gateway, and of their distribution by the sidecars.
inline constexpr Micros QuotaReportInterval = 250 * MicrosPerMilli;
/// How long a report counts. Covers both intervals and the transfer.
inline constexpr Micros QuotaReportLifetime = 4 * QuotaReportInterval;

/// How long a sidecar keeps what a gateway was in debt, so that a restart does not cancel it.
inline constexpr Micros QuotaDebtLifetime = 10 * MicrosPerSecond;

/// In any window, an account may use (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaTolerance {
    Micros window = 8 * MicrosPerSecond;
    double overshoot = 0.0;
    double slack = 0.0; ///< In the unit of the quota.
};

struct AccountQuotasOptions {
    std::string gateway{};          ///< Name of this gateway, the same after a restart.
    std::uint32_t gatewayCount = 8; ///< Until setGatewayCount() is called.
    QuotaTolerance tolerance{};
};

struct QuotaDecision {
    bool admitted = true;
    Micros retryAfter = 0; ///< If not admitted: when the share of this gateway allows the request, after those that were refused before it.
};

/// What an operator sees of an account.
struct QuotaState {
    std::string account{};
    double perSecond = 0.0; ///< The quota, in its unit.
    double share = 0.0;     ///< The part of this gateway.
    double demand = 0.0;    ///< Of all gateways that are heard.
    double used = 0.0;      ///< Cost of the requests that this gateway has admitted, since it started.
    double refused = 0.0;   ///< Cost of the requests that it has refused.
    bool limited = false;   ///< It has refused one within the last seconds.
};

/// Not thread-safe.
class AccountQuotas
{
public:
    explicit AccountQuotas(AccountQuotasOptions options);

    /// Takes the quotas of a new configuration into use. Accounts keep what they have used, unless the unit changes.
    void configure(const std::vector<Account> &accounts, Micros now);
    /// The cost of a request in the unit of the account's quota. \p tokens: what the request names, if it does.
    [[nodiscard]] double costOf(std::string_view account, std::optional<double> tokens) const;
    /// Takes permits for a request that costs \p cost. Accounts without a quota are always admitted.
    [[nodiscard]] QuotaDecision take(std::string_view account, double cost, Micros now);
    /// A request whose permits were taken has not run and never will.
    void giveBack(std::string_view account, double cost, Micros now);
    /// A request is sent once more while the first one may have run: it counts whether or not there are permits.
    void charge(std::string_view account, double cost, Micros now);

    /// The demand at this gateway. Call every QuotaReportInterval while hasQuotas().
    [[nodiscard]] QuotaReport report(Micros now);
    /// The sums that the sidecar \p relay has sent. Of several relays, the one that hears most gateways counts.
    void merge(std::string_view relay, const QuotaSums &sums, Micros now);
    /// The number of gateways, this one included, as a sidecar counts them. A lower number counts only after GatewayCountHold: a gateway that
    /// is cut off may still send.
    void setGatewayCount(std::uint32_t count, Micros now);
    [[nodiscard]] bool hasQuotas() const;
    /// The accounts with quotas. \p now also ends `limited` of those that are no longer refused.
    [[nodiscard]] std::vector<QuotaState> states(Micros now);

private:
    static constexpr Micros GatewayCountHold = 60 * MicrosPerSecond;
    /// Weight of the last interval in the moving average of the demand, which then covers a second.
    static constexpr double DemandSampleWeight = 0.25;
    /// Level of the fleet's bucket, as a part of its depth, above which requests are admitted on credit.
    static constexpr double CalmLevel = 0.25;
    /// Part of the overshoot by which the shares together exceed the rate: it makes up for what lies unused in buckets without demand.
    static constexpr double RateOvershoot = 0.5;
    /// Parts of the tolerance: saved up in the buckets, and given on credit while there is no contention and under it. The rest covers demand
    /// that moves between gateways faster than the reports.
    static constexpr double SavedTolerance = 0.15;
    static constexpr double CalmTolerance = 0.5;
    static constexpr double ContendedTolerance = 0.3;
    /// Usual requests that a gateway may have on credit while there is no contention.
    static constexpr double CalmRequests = 8.0;
    /// Time for which a gateway may use the whole unused rate on credit, so that demand may move to it before the others have heard of that.
    static constexpr Micros CalmTime = 200 * MicrosPerMilli;
    /// For so long after its start a gateway admits only what its bucket holds: it does not know what it has used before.
    static constexpr Micros StartTime = MicrosPerSecond;
    /// Weight of one request in the moving averages of costs.
    static constexpr double CostSampleWeight = 0.02;
    /// Part of an equal share that a gateway has under contention before its demand is known to the others.
    static constexpr double MinShare = 0.1;
    /// An account counts as limited until this long after the last refusal.
    static constexpr Micros LimitedHold = 3 * MicrosPerSecond;
    /// Reports in which the demand must have been as high before a share grows: by then the other gateways have heard of it.
    static constexpr std::size_t ReportsHeld = 2;

    struct Relay {
        std::uint32_t gateways = 0;
        Micros at = 0;
        std::map<std::string, QuotaEntry, std::less<>> entries{};
    };
    struct Metered {
        AccountQuota quota{};
        double permits = 0.0;    ///< Negative: used on credit.
        double fleetLevel = 0.0; ///< What the known demand of all gateways leaves of the rate, up to the depth of one bucket for all.
        Micros refilledAt = 0;
        double asked = 0.0;   ///< Cost of all calls of take() since the last report.
        double demand = 0.0;  ///< Moving average of it, a second.
        unsigned samples = 0; ///< Intervals in the average.
        std::array<double, ReportsHeld> reported{};
        double restoredDebt = 0.0; ///< Of the process before this one.
        Micros returnAt = 0;       ///< When the last one of those that were refused may return.
        Micros refusedAt = 0;
        bool limited = false;
        double used = 0.0;
        double refused = 0.0;
    };
    /// What is known about the whole fleet's use of an account.
    struct Fleet {
        double available = 0.0; ///< Of the rate, for the gateways that are heard, this one included.
        double demand = 0.0;    ///< Of these gateways.
        double othersDemand = 0.0;
        bool isHeard = false; ///< Any other gateway is heard, or there is none.
        double share = 0.0;   ///< Of this gateway, a second.
    };

    [[nodiscard]] const Relay *bestRelay(Micros now) const;
    [[nodiscard]] Fleet fleetOf(const std::string &account, const Metered &metered, Micros now) const;
    [[nodiscard]] double shareOf(const Metered &metered, const Fleet &fleet) const;
    [[nodiscard]] double toleranceOf(const AccountQuota &quota) const;
    /// Of one bucket for all gateways.
    [[nodiscard]] double depthOf(const AccountQuota &quota) const;
    /// Fills the bucket up to \p now, with the share that the gateway has had since the last call.
    Fleet advance(const std::string &account, Metered &metered, Micros now) const;
    /// The most that the bucket of this gateway may be in debt now.
    [[nodiscard]] double creditOf(const Metered &metered, const Fleet &fleet, Micros now) const;
    /// Of the requests of all accounts whose quotas have the same unit.
    [[nodiscard]] double usualCost(const AccountQuota &quota) const;
    /// Whether a request may cost more than the bucket holds.
    [[nodiscard]] bool mayExceedBucket(const Metered &metered, const Fleet &fleet, Micros now) const;
    [[nodiscard]] bool isStarting(Micros now) const;
    AccountQuotasOptions options_;
    std::map<std::string, Metered, std::less<>> accounts_;
    std::map<std::string, Relay, std::less<>> relays_;
    /// Moving averages over requests of all accounts by unit: of the cost, and of its square.
    struct CostAverage {
        double mean = 0.0;
        double square = 0.0;
    };
    std::array<CostAverage, EnumNames<QuotaUnit>::rows.size()> costs_{};
    bool gatewaysCounted_ = false;
    Micros gatewayCountAt_ = 0; ///< When the count was last reported as high as it is.
    Micros reportedAt_ = 0;
    std::optional<Micros> startedAt_{}; ///< First call of configure() with quotas.
};

} // namespace Carobhall
