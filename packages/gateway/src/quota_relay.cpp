#include "carobhall/quota_relay.h"

#include <cmath>
#include <utility>

namespace Carobhall
{

void QuotaRelay::note(QuotaReport report, Micros now)
{
    std::string gateway = report.gateway;
    reports_.insert_or_assign(std::move(gateway), Received{ .report = std::move(report), .at = now });
}

QuotaSums QuotaRelay::sumsFor(std::string_view gateway, Micros now) const
{
    QuotaSums sums;
    // Entries in different units cannot be added; the receiver ignores those that are not in its own.
    std::map<std::pair<std::string_view, std::uint8_t>, QuotaEntry> byAccount;
    for (const auto &[name, received] : reports_) {
        const bool isReceiver = name == gateway;
        if (now - received.at > (isReceiver ? QuotaDebtLifetime : QuotaReportLifetime)) {
            continue;
        }
        sums.gateways += isReceiver ? 0 : 1;
        for (const QuotaEntry &entry : received.report.entries) {
            QuotaEntry &sum = byAccount[{ entry.account, entry.unit }];
            if (isReceiver) {
                sum.debt = entry.debt;
            } else if (std::isfinite(entry.demand) && entry.demand > 0.0) {
                sum.demand += entry.demand;
            }
        }
    }
    for (const auto &[key, sum] : byAccount) {
        sums.entries.push_back({ .account = std::string(key.first), .unit = key.second, .demand = sum.demand, .debt = sum.debt });
    }
    return sums;
}

bool QuotaRelay::isEmpty() const
{
    return reports_.empty();
}

void QuotaRelay::expire(Micros now)
{
    std::erase_if(reports_, [now](const auto &entry) { return now - entry.second.at > QuotaDebtLifetime; });
}

} // namespace Carobhall
