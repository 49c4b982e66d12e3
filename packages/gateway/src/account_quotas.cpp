#include "carobhall/account_quotas.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Carobhall
{

namespace
{

constexpr double MinRatePerSecond = 1e-3; ///< Keeps times to the next permit finite.

double toSeconds(Micros time)
{
    return static_cast<double>(time) / MicrosPerSecond;
}

} // namespace

AccountQuotas::AccountQuotas(AccountQuotasOptions options)
    : options_(std::move(options))
{
}

void AccountQuotas::configure(const std::vector<Account> &accounts, Micros now)
{
    std::map<std::string, Metered, std::less<>> configured;
    for (const Account &account : accounts) {
        if (!account.quota) {
            continue;
        }
        Metered metered{ .quota = *account.quota, .refilledAt = now };
        if (const auto known = accounts_.find(account.name); known != accounts_.end() && known->second.quota.unit == account.quota->unit) {
            // The permits so far are those of the share before.
            advance(account.name, known->second, now);
            metered = known->second;
            metered.quota = *account.quota;
        }
        configured.emplace(account.name, metered);
    }
    accounts_ = std::move(configured);
    if (!startedAt_ && !accounts_.empty()) {
        startedAt_ = now;
    }
}

double AccountQuotas::costOf(std::string_view account, std::optional<double> tokens) const
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end() || found->second.quota.unit == QuotaUnit::Requests) {
        return 1.0;
    }
    return tokens.value_or(found->second.quota.plainTokens);
}

const AccountQuotas::Relay *AccountQuotas::bestRelay(Micros now) const
{
    const Relay *best = nullptr;
    for (const auto &[name, relay] : relays_) {
        const bool isFresh = now - relay.at <= QuotaReportLifetime;
        if (isFresh && (best == nullptr || relay.gateways > best->gateways || (relay.gateways == best->gateways && relay.at > best->at))) {
            best = &relay;
        }
    }
    return best;
}

AccountQuotas::Fleet AccountQuotas::fleetOf(const std::string &account, const Metered &metered, Micros now) const
{
    const Relay *const relay = bestRelay(now);
    const std::uint32_t others = options_.gatewayCount - 1;
    const std::uint32_t heard = relay == nullptr ? 0 : std::min(relay->gateways, others);
    // What was asked since the last report counts as if the report came now, so that a surge ends the credit at once.
    const double latest = metered.demand + DemandSampleWeight * (metered.asked / toSeconds(QuotaReportInterval) - metered.demand);
    const double rate = metered.quota.perSecond * (1.0 + RateOvershoot * options_.tolerance.overshoot);
    Fleet fleet{ .available = rate * (heard + 1) / options_.gatewayCount, .demand = std::max(metered.demand, latest), .isHeard = heard > 0 || others == 0 };
    if (relay != nullptr) {
        const auto entry = relay->entries.find(account);
        if (entry != relay->entries.end() && entry->second.unit == static_cast<std::uint8_t>(metered.quota.unit)) {
            fleet.othersDemand = std::max(0.0, entry->second.demand);
            fleet.demand += fleet.othersDemand;
        }
    }
    return fleet;
}

double AccountQuotas::shareOf(const Metered &metered, const Fleet &fleet) const
{
    const double equalShare = metered.quota.perSecond / options_.gatewayCount;
    const double own = *std::ranges::min_element(metered.reported);
    const double total = fleet.othersDemand + own;
    if (total <= fleet.available) {
        const double equalParts = fleet.available / std::max(MinRatePerSecond, equalShare);
        return own + (fleet.available - total) / std::max(1.0, equalParts);
    }
    return std::max(fleet.available * own / total, MinShare * equalShare);
}

double AccountQuotas::toleranceOf(const AccountQuota &quota) const
{
    const QuotaTolerance &tolerance = options_.tolerance;
    // The slack of an installation whose quotas count tokens is far more than a quota of requests allows.
    const double slack = quota.unit == QuotaUnit::Tokens ? tolerance.slack : std::min(tolerance.slack, quota.perSecond);
    return tolerance.overshoot * (quota.perSecond * toSeconds(tolerance.window) + quota.burst) + slack;
}

double AccountQuotas::depthOf(const AccountQuota &quota) const
{
    return quota.burst + SavedTolerance * toleranceOf(quota);
}

bool AccountQuotas::isStarting(Micros now) const
{
    return !startedAt_ || now - *startedAt_ < StartTime;
}

double AccountQuotas::creditOf(const Metered &metered, const Fleet &fleet, Micros now) const
{
    if (isStarting(now)) {
        return 0.0;
    }
    const double tolerance = toleranceOf(metered.quota);
    if (!fleet.isHeard || metered.fleetLevel <= CalmLevel * depthOf(metered.quota)) {
        return ContendedTolerance * tolerance * fleet.share / metered.quota.perSecond;
    }
    const double saved = depthOf(metered.quota) * fleet.share / metered.quota.perSecond;
    const double unused = (fleet.available - fleet.demand) * toSeconds(CalmTime);
    return std::max({ CalmTolerance * tolerance / options_.gatewayCount, CalmRequests * usualCost(metered.quota) - saved, unused });
}

AccountQuotas::Fleet AccountQuotas::advance(const std::string &account, Metered &metered, Micros now) const
{
    Fleet fleet = fleetOf(account, metered, now);
    fleet.share = shareOf(metered, fleet);
    const double elapsed = toSeconds(now - std::exchange(metered.refilledAt, now));
    const double depth = depthOf(metered.quota);
    metered.permits = std::min(depth * fleet.share / metered.quota.perSecond, metered.permits + fleet.share * elapsed);
    metered.fleetLevel = std::clamp(metered.fleetLevel + (fleet.available - fleet.demand) * elapsed, 0.0, depth);
    return fleet;
}

double AccountQuotas::usualCost(const AccountQuota &quota) const
{
    // Weighted by cost, because one long request takes the permits of many short ones.
    const CostAverage &cost = costs_[static_cast<std::size_t>(quota.unit)];
    return cost.mean > 0.0 ? cost.square / cost.mean : 1.0;
}

bool AccountQuotas::mayExceedBucket(const Metered &metered, const Fleet &fleet, Micros now) const
{
    if (isStarting(now)) {
        return false;
    }
    // Gateways that hear no others may all admit such a request at once.
    return fleet.isHeard || options_.gatewayCount * usualCost(metered.quota) <= metered.quota.burst + toleranceOf(metered.quota);
}

QuotaDecision AccountQuotas::take(std::string_view account, double cost, Micros now)
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return {};
    }
    Metered &metered = found->second;
    const double most = metered.quota.perSecond * toSeconds(options_.tolerance.window) + metered.quota.burst + toleranceOf(metered.quota);
    if (cost > most) {
        // No window ever has room for it, and as a debt it would block the account.
        metered.refused += most;
        metered.refusedAt = now;
        return { .admitted = false, .retryAfter = options_.tolerance.window };
    }
    CostAverage &average = costs_[static_cast<std::size_t>(metered.quota.unit)];
    average.mean += CostSampleWeight * (cost - average.mean);
    average.square += CostSampleWeight * (cost * cost - average.square);
    metered.asked += cost;
    const Fleet fleet = advance(found->first, metered, now);
    // A request that is larger than the bucket is admitted when there are permits at all, and paid for afterwards.
    const double beyondCredit = cost - metered.permits - creditOf(metered, fleet, now);
    const double missing = mayExceedBucket(metered, fleet, now) ? std::min(beyondCredit, -metered.permits) : beyondCredit;
    if (missing <= 0.0) {
        metered.permits -= cost;
        metered.used += cost;
        return {};
    }
    metered.refused += cost;
    metered.refusedAt = now;
    const double rate = std::max(MinRatePerSecond, fleet.share);
    const auto wait = static_cast<Micros>(std::min(missing / rate, 3'600.0) * MicrosPerSecond);
    // Those that were refused return one after the other, in the order in which they came.
    const auto spacing = static_cast<Micros>(std::min(cost / rate, 3'600.0) * MicrosPerSecond);
    metered.returnAt = std::max(now + wait, std::min(metered.returnAt, now + options_.tolerance.window) + spacing);
    return { .admitted = false, .retryAfter = metered.returnAt - now };
}

void AccountQuotas::giveBack(std::string_view account, double cost, Micros now)
{
    if (const auto found = accounts_.find(account); found != accounts_.end()) {
        Metered &metered = found->second;
        advance(found->first, metered, now);
        metered.permits += cost;
        metered.used -= cost;
    }
}

void AccountQuotas::charge(std::string_view account, double cost, Micros now)
{
    if (const auto found = accounts_.find(account); found != accounts_.end()) {
        Metered &metered = found->second;
        advance(found->first, metered, now);
        metered.permits -= cost;
        metered.used += cost;
        metered.asked += cost;
    }
}

QuotaReport AccountQuotas::report(Micros now)
{
    QuotaReport report{ .gateway = options_.gateway, .entries = {} };
    constexpr double MinInterval = 0.1;
    constexpr double MinReportedDemand = 1e-3;
    const double elapsed = std::max(MinInterval, toSeconds(now - std::exchange(reportedAt_, now)));
    for (auto &[account, metered] : accounts_) {
        advance(account, metered, now);
        // The first intervals have equal weights, so that a gateway that has just started does not report too little. They are counted from when
        // a sidecar is heard, which may tell what the process before this one was in debt.
        metered.samples += isStarting(now) && relays_.empty() ? 0 : 1;
        const double weight = std::max(DemandSampleWeight, 1.0 / std::max(1U, metered.samples));
        metered.demand += weight * (std::exchange(metered.asked, 0.0) / elapsed - metered.demand);
        std::rotate(metered.reported.begin(), metered.reported.end() - 1, metered.reported.end());
        metered.reported.front() = metered.demand;
        if (metered.demand > MinReportedDemand || metered.permits < 0.0) {
            report.entries.push_back({ .account = account,
                                       .unit = static_cast<std::uint8_t>(metered.quota.unit),
                                       .demand = metered.demand,
                                       .debt = std::max(0.0, -metered.permits) });
        }
    }
    return report;
}

void AccountQuotas::merge(std::string_view relay, const QuotaSums &sums, Micros now)
{
    for (auto &[account, metered] : accounts_) {
        // The permits so far are those of the share before the sums.
        advance(account, metered, now);
    }
    std::erase_if(relays_, [now](const auto &entry) { return now - entry.second.at > QuotaReportLifetime; });
    Relay &merged = relays_[std::string(relay)];
    merged = { .gateways = sums.gateways, .at = now, .entries = {} };
    for (const QuotaEntry &entry : sums.entries) {
        if (!std::isfinite(entry.demand) || !std::isfinite(entry.debt)) {
            continue;
        }
        merged.entries.insert_or_assign(entry.account, entry);
        const auto metered = accounts_.find(entry.account);
        if (isStarting(now) && metered != accounts_.end() && entry.unit == static_cast<std::uint8_t>(metered->second.quota.unit)) {
            // Until this process has reported, the sidecars know what the one before it was in debt.
            double &restored = metered->second.restoredDebt;
            const double debt = metered->second.samples == 0 ? std::max(restored, entry.debt) : restored;
            metered->second.permits -= debt - std::exchange(restored, debt);
        }
    }
}

void AccountQuotas::setGatewayCount(std::uint32_t count, Micros now)
{
    const std::uint32_t counted = std::max<std::uint32_t>(1, count);
    if (!gatewaysCounted_ || counted >= options_.gatewayCount || now - gatewayCountAt_ > GatewayCountHold) {
        gatewaysCounted_ = true;
        options_.gatewayCount = counted;
        gatewayCountAt_ = now;
    }
}

bool AccountQuotas::hasQuotas() const
{
    return !accounts_.empty();
}

std::vector<QuotaState> AccountQuotas::states(Micros now)
{
    std::vector<QuotaState> states;
    for (auto &[account, metered] : accounts_) {
        const Fleet fleet = advance(account, metered, now);
        metered.limited = metered.refusedAt > 0 && now - metered.refusedAt <= LimitedHold;
        states.push_back({ .account = account,
                           .perSecond = metered.quota.perSecond,
                           .share = fleet.share,
                           .demand = fleet.demand,
                           .used = metered.used,
                           .refused = metered.refused,
                           .limited = metered.limited });
    }
    return states;
}

} // namespace Carobhall
