#pragma once

// Sums the reports that gateways make of the demand of accounts, for each gateway over all others. Kept by the sidecars, which pass them on.
//
//     relay.note(report, now);
//     send(relay.sumsFor("front-1", now));   // every QuotaReportInterval
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/account_quotas.h"

namespace Carobhall
{

/// Not thread-safe.
class QuotaRelay
{
public:
    /// The report of a gateway; it replaces the one before. It counts for QuotaReportLifetime, also if the gateway has ended meanwhile: what it
    /// has sent is still under way.
    void note(QuotaReport report, Micros now);
    /// The sums over all gateways but \p gateway.
    [[nodiscard]] QuotaSums sumsFor(std::string_view gateway, Micros now) const;
    [[nodiscard]] bool isEmpty() const;
    /// Removes the reports that no longer count.
    void expire(Micros now);

private:
    struct Received {
        QuotaReport report{};
        Micros at = 0;
    };
    std::map<std::string, Received, std::less<>> reports_; ///< By gateway.
};

} // namespace Carobhall
