#include <boost/test/unit_test.hpp>

#include "carobhall/account_quotas.h"
#include "carobhall/quota_relay.h"

#include <algorithm>
#include <cstdlib>
#include <random>

// The load of one account that asks for more than its quota, or for less, at many gateways, in simulated time: costs as of long and short prompts,
// demand that moves between gateways, relays that pass reports on late, gateways that restart, are cut off or hold an older configuration. Nothing
// is sent over a network.

using namespace Carobhall;

namespace
{

constexpr Micros Milli = MicrosPerMilli;
constexpr Micros Second = MicrosPerSecond;
constexpr Micros Step = 10 * Milli;
constexpr Micros Window = 8 * Second;
constexpr double Overshoot = 0.1;
constexpr double Slack = 110'000.0;
constexpr std::size_t RelayCount = 3;
const std::string AccountName = "a";

struct QuotaLoadOptions {
    std::uint64_t seed = 1;
    std::size_t gateways = 32;
    double rate = 29'000.0;   ///< Of the quota; its burst is one second of it.
    double demand = 16'000.0; ///< Tokens a second that all gateways together are asked for.
    double surge = 1.0;       ///< Factor of the demand from SurgeStart to SurgeEnd.
    std::size_t surgeGateways = SIZE_MAX;
    bool shifts = false; ///< The demand moves from gateway to gateway.
    bool restarts = false;
    bool herdRestarts = false; ///< All gateways restart at once.
    bool cuts = false;         ///< Gateways lose the relays for seconds, and the relays are lost for all.
    double loweredTo = 1.0;    ///< Factor of the quota from LoweredAt on; each gateway learns of it within ApplyTime.
    Micros length = 40 * Second;
};

constexpr Micros SurgeStart = 15 * Second;
constexpr Micros SurgeEnd = 25 * Second;
constexpr Micros LoweredAt = 12 * Second;
constexpr Micros ApplyTime = 4 * Second;

/// One day of an account.
class QuotaLoad
{
public:
    explicit QuotaLoad(const QuotaLoadOptions &options)
        : options_(options)
        , random_(options.seed)
        , relays_(RelayCount)
    {
        for (std::size_t i = 0; i < options.gateways; ++i) {
            gateways_.push_back({ .quotas = newGateway(i, options_.rate),
                                  .weight = uniform(0.2, 1.0),
                                  .rate = options_.rate,
                                  .lowerAt = LoweredAt + between(0, ApplyTime),
                                  .reportAt = between(0, QuotaReportInterval) });
        }
    }

    void run()
    {
        // Before the first requests, the gateways run for some seconds, as processes do.
        for (now_ = -5 * Second; now_ < options_.length; now_ += Step) {
            injectFaults();
            if (now_ >= 0) {
                sendRequests();
            }
            exchangeReports();
        }
    }

    /// The highest use of a window as a part of what it may be. Above 1, the bound is broken.
    [[nodiscard]] double worstWindow() const
    {
        double worst = 0.0;
        double sum = 0.0;
        std::size_t first = 0;
        for (const auto &[at, cost] : admitted_) {
            sum += cost;
            while (at - admitted_[first].first >= Window) {
                sum -= admitted_[first++].second;
            }
            const bool isLowered = admitted_[first].first >= LoweredAt + ApplyTime + Window;
            const double rate = options_.rate * (isLowered ? std::min(1.0, options_.loweredTo) : 1.0);
            const double allowed = rate * (static_cast<double>(Window) / Second + 1.0) * (1.0 + Overshoot) + Slack;
            worst = std::max(worst, sum / allowed);
        }
        return worst;
    }
    [[nodiscard]] std::size_t windows() const
    {
        return admitted_.size();
    }
    [[nodiscard]] double admittedCost(Micros from, Micros to) const
    {
        double sum = 0.0;
        for (const auto &[at, cost] : admitted_) {
            sum += at >= from && at < to ? cost : 0.0;
        }
        return sum;
    }
    double asked = 0.0; ///< Cost of all requests.
    double refused = 0.0;

private:
    struct Gateway {
        std::unique_ptr<AccountQuotas> quotas;
        double weight = 1.0;
        double rate = 0.0;
        Micros lowerAt = 0;
        Micros reportAt = 0;
        Micros cutUntil = 0;
    };
    struct Delivery {
        Micros at = 0;
        std::size_t gateway = 0;
        std::size_t relay = 0;
        QuotaSums sums{};
    };

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    Micros between(Micros from, Micros to)
    {
        return std::uniform_int_distribution<Micros>(from, to)(random_);
    }
    bool happens(Micros meanInterval)
    {
        return uniform(0.0, 1.0) < static_cast<double>(Step) / static_cast<double>(meanInterval);
    }
    /// The cost of a request: 15 of 100 are long prompts.
    double drawCost()
    {
        const double kind = uniform(0.0, 1.0);
        return kind < 0.15 ? uniform(4'000.0, 14'400.0) : kind < 0.78 ? uniform(300.0, 1'400.0) : 200.0;
    }
    static constexpr double MeanCost = 0.15 * 9'200.0 + 0.63 * 850.0 + 0.22 * 200.0;

    [[nodiscard]] static std::string nameOf(std::size_t number)
    {
        return "front-" + std::to_string(number);
    }
    [[nodiscard]] static std::vector<Account> accountsWith(double rate)
    {
        return { { .name = AccountName,
                   .keys = {},
                   .priority = std::nullopt,
                   .isolated = false,
                   .quota = AccountQuota{ .perSecond = rate, .burst = rate, .unit = QuotaUnit::Tokens, .plainTokens = 200.0 } } };
    }

    std::unique_ptr<AccountQuotas> newGateway(std::size_t number, double rate)
    {
        auto quotas = std::make_unique<AccountQuotas>(
            AccountQuotasOptions{ .gateway = nameOf(number), .tolerance = { .window = Window, .overshoot = Overshoot, .slack = Slack } });
        quotas->setGatewayCount(static_cast<std::uint32_t>(options_.gateways), now_);
        quotas->configure(accountsWith(rate), now_);
        // The first report is made before any sidecar is connected, and reaches none.
        (void)quotas->report(now_);
        for (std::size_t i = 0; i < relays_.size(); ++i) {
            // A sidecar sends what it has on a new connection.
            quotas->merge(std::to_string(i), relays_[i].sumsFor(nameOf(number), now_), now_);
        }
        return quotas;
    }

    void sendRequests()
    {
        if (options_.shifts && happens(3 * Second)) {
            for (Gateway &gateway : gateways_) {
                gateway.weight = random_() % 3 == 0 ? uniform(0.0, 1.0) : 0.0;
            }
            gateways_[random_() % gateways_.size()].weight = 1.0;
        }
        const bool surges = now_ >= SurgeStart && now_ < SurgeEnd;
        double weights = 0.0;
        for (const Gateway &gateway : gateways_) {
            weights += gateway.weight;
        }
        const std::size_t surging = std::min(options_.surgeGateways, gateways_.size());
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            Gateway &gateway = gateways_[i];
            double tokens = options_.demand * gateway.weight / std::max(1e-9, weights);
            tokens += surges && i < surging ? options_.demand * (options_.surge - 1.0) / static_cast<double>(surging) : 0.0;
            const int requests = std::poisson_distribution<int>(tokens / MeanCost * static_cast<double>(Step) / Second)(random_);
            for (int k = 0; k < requests; ++k) {
                const double cost = drawCost();
                asked += cost;
                if (gateway.quotas->take(AccountName, cost, now_).admitted) {
                    admitted_.emplace_back(now_, cost);
                } else {
                    refused += cost;
                }
            }
        }
    }

    void injectFaults()
    {
        for (Gateway &gateway : gateways_) {
            if (options_.loweredTo != 1.0 && gateway.rate == options_.rate && now_ >= gateway.lowerAt) {
                gateway.rate = options_.rate * options_.loweredTo;
                gateway.quotas->configure(accountsWith(gateway.rate), now_);
            }
        }
        if (options_.restarts && happens(Second)) {
            const std::size_t number = random_() % gateways_.size();
            gateways_[number].quotas = newGateway(number, gateways_[number].rate);
        }
        if (options_.herdRestarts && happens(6 * Second)) {
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
                gateways_[i].quotas = newGateway(i, gateways_[i].rate);
            }
        }
        if (options_.cuts && happens(3 * Second)) {
            gateways_[random_() % gateways_.size()].cutUntil = now_ + between(Second, 12 * Second);
        }
        if (options_.cuts && happens(15 * Second)) {
            for (Gateway &gateway : gateways_) {
                gateway.cutUntil = now_ + 4 * Second;
            }
        }
    }

    void exchangeReports()
    {
        for (Gateway &gateway : gateways_) {
            if (now_ >= gateway.reportAt) {
                gateway.reportAt = now_ + QuotaReportInterval;
                const QuotaReport report = gateway.quotas->report(now_);
                for (QuotaRelay &relay : relays_) {
                    if (gateway.cutUntil <= now_) {
                        relay.note(report, now_);
                    }
                }
            }
        }
        if (now_ >= relayAt_) {
            relayAt_ = now_ + QuotaReportInterval;
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
                for (std::size_t relay = 0; relay < relays_.size(); ++relay) {
                    deliveries_.push_back(
                        { .at = now_ + between(Milli, 30 * Milli), .gateway = i, .relay = relay, .sums = relays_[relay].sumsFor(nameOf(i), now_) });
                }
            }
        }
        std::erase_if(deliveries_, [this](const Delivery &delivery) {
            if (delivery.at > now_) {
                return false;
            }
            if (Gateway &gateway = gateways_[delivery.gateway]; gateway.cutUntil <= now_) {
                gateway.quotas->merge(std::to_string(delivery.relay), delivery.sums, now_);
            }
            return true;
        });
    }

    QuotaLoadOptions options_;
    std::mt19937_64 random_;
    Micros now_ = -5 * Second;
    std::vector<QuotaRelay> relays_;
    std::vector<Gateway> gateways_;
    Micros relayAt_ = 0;
    std::vector<Delivery> deliveries_;
    std::vector<std::pair<Micros, double>> admitted_;
};

std::uint64_t seedCount()
{
    const char *const text = std::getenv("CAROBHALL_SEEDS");
    return text == nullptr ? 2 : std::strtoull(text, nullptr, 10);
}

/// Rates of quotas from the smallest account to the largest one, with the usual demand of each.
struct AccountSize {
    double rate;
    double demand;
};
constexpr std::array Sizes{ AccountSize{ 29'000.0, 12'000.0 }, AccountSize{ 60'000.0, 33'000.0 }, AccountSize{ 160'000.0, 89'000.0 },
                            AccountSize{ 600'000.0, 333'000.0 } };
constexpr std::array Fleets{ std::size_t{ 2 }, std::size_t{ 32 }, std::size_t{ 103 } };

enum class Fault : std::uint8_t { None, Shifts, Restarts, HerdRestarts, Cuts, FewGateways };

} // namespace

template<>
struct Carobhall::EnumNames<Fault> {
    static constexpr std::array rows{
        EnumName{ Fault::None, "none" },         EnumName{ Fault::Shifts, "shifts" },
        EnumName{ Fault::Restarts, "restarts" }, EnumName{ Fault::HerdRestarts, "herd-restarts" },
        EnumName{ Fault::Cuts, "cuts" },         EnumName{ Fault::FewGateways, "few-gateways" },
    };
};

namespace
{

QuotaLoadOptions loadOf(std::size_t gateways, const AccountSize &size, Fault fault, std::uint64_t seed)
{
    return { .seed = seed,
             .gateways = gateways,
             .rate = size.rate,
             .demand = size.demand,
             .surgeGateways = fault == Fault::FewGateways ? 5 : SIZE_MAX,
             .shifts = fault == Fault::Shifts,
             .restarts = fault == Fault::Restarts,
             .herdRestarts = fault == Fault::HerdRestarts,
             .cuts = fault == Fault::Cuts };
}

/// Calls \p check with a load for each fleet, size of account and fault.
template<typename Check>
void forEachLoad(Check check)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        for (const std::size_t gateways : Fleets) {
            for (const AccountSize &size : Sizes) {
                for (const auto &fault : EnumNames<Fault>::rows) {
                    // The largest fleet takes most of the time; the faults that concern all its gateways at once are enough.
                    if (gateways > 32 && fault.value != Fault::HerdRestarts && fault.value != Fault::Cuts) {
                        continue;
                    }
                    BOOST_TEST_CONTEXT("seed " << seed << ", gateways " << gateways << ", rate " << size.rate << ", fault " << fault.name)
                    {
                        check(loadOf(gateways, size, fault.value, seed));
                    }
                }
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(AccountQuotasLoad)

// Guards against more use than the quota allows, under faults, of an account that sends 7.5 times its usual, and against a quota that is hardly
// used then.
BOOST_AUTO_TEST_CASE(aSurgeUsesTheQuotaAndStaysWithinIt)
{
    std::size_t windows = 0;
    double used = 0.0;
    double owed = 0.0;
    forEachLoad([&](QuotaLoadOptions options) {
        options.surge = 7.5;
        QuotaLoad load(options);
        load.run();
        windows += load.windows();
        BOOST_TEST(load.worstWindow() <= 1.0);
        if (options.gateways == 32) {
            const double allowed = options.rate * (static_cast<double>(SurgeEnd - SurgeStart) / Second + 1.0);
            used += std::min(allowed, load.admittedCost(SurgeStart, SurgeEnd)) / allowed;
            owed += 1.0;
        }
    });
    BOOST_TEST(windows >= 10'000U);
    BOOST_TEST_MESSAGE("windows " << windows << ", used by 32 gateways " << used / owed);
    BOOST_TEST(used / owed >= 0.85);
}

// Guards against a lowered quota that does not bind, and a raised one that is not used.
BOOST_AUTO_TEST_CASE(changedQuotasTakeEffect)
{
    for (const double factor : { 0.3, 2.0 }) {
        double used = 0.0;
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            QuotaLoad load({ .seed = seed, .rate = 160'000.0, .demand = 300'000.0, .loweredTo = factor });
            load.run();
            BOOST_TEST(load.worstWindow() <= std::max(1.0, factor));
            const Micros from = LoweredAt + ApplyTime + Window;
            const double rate = load.admittedCost(from, 40 * Second) * Second / static_cast<double>(40 * Second - from);
            used += rate / std::min(300'000.0, 160'000.0 * factor) / static_cast<double>(seedCount());
        }
        BOOST_TEST_MESSAGE("factor " << factor << ", used " << used);
        BOOST_TEST(used >= 0.85);
    }
}

// Guards against refusals of an account that asks for less than its quota.
BOOST_AUTO_TEST_CASE(usualDemandIsHardlyRefused)
{
    constexpr double MaxRefused = 0.05; ///< Of the cost; restarts of all gateways every 6 s are not usual.
    double asked = 0.0;
    double refused = 0.0;
    forEachLoad([&](const QuotaLoadOptions &options) {
        QuotaLoad load(options);
        load.run();
        if (!options.herdRestarts) {
            asked += load.asked;
            refused += load.refused;
        }
    });
    BOOST_TEST_MESSAGE("refused " << refused / asked);
    BOOST_TEST(refused / asked <= MaxRefused);
}

// Guards against an account without a quota that is refused, and against costs of the wrong unit.
BOOST_AUTO_TEST_CASE(costsFollowTheUnitOfTheQuota)
{
    AccountQuotas quotas({ .gateway = "g" });
    Account account{ .name = "a" };
    quotas.configure({ account }, 0);
    BOOST_TEST(!quotas.hasQuotas());
    BOOST_TEST(quotas.take("a", 1e9, 0).admitted);
    account.quota = AccountQuota{ .perSecond = 10.0, .burst = 5.0 };
    quotas.configure({ account }, 0);
    BOOST_TEST(quotas.costOf("a", 500.0) == 1.0);
    account.quota->unit = QuotaUnit::Tokens;
    account.quota->plainTokens = 200.0;
    quotas.configure({ account }, 0);
    BOOST_TEST(quotas.costOf("a", 500.0) == 500.0);
    BOOST_TEST(quotas.costOf("a", std::nullopt) == 200.0);
    BOOST_TEST(quotas.costOf("other", 500.0) == 1.0);
}

// Guards against a request that names absurdly many tokens and, as a debt, blocks its account or distorts the usual cost of requests.
BOOST_AUTO_TEST_CASE(aRequestThatNeverFitsIsRefused)
{
    AccountQuotas quotas({ .gateway = "g", .gatewayCount = 1 });
    quotas.configure({ { .name = "a", .quota = AccountQuota{ .perSecond = 1'000.0, .burst = 1'000.0, .unit = QuotaUnit::Tokens } } }, 0);
    const Micros now = 10 * Second;
    BOOST_TEST(!quotas.take("a", 1e19, now).admitted);
    BOOST_TEST(quotas.take("a", 100.0, now).admitted);
}

// Guards against a slack in tokens that makes a quota of requests meaningless.
BOOST_AUTO_TEST_CASE(aQuotaOfRequestsBindsBesideASlackInTokens)
{
    AccountQuotas quotas({ .gateway = "g", .gatewayCount = 1, .tolerance = { .window = Window, .overshoot = Overshoot, .slack = Slack } });
    quotas.configure({ { .name = "a", .quota = AccountQuota{ .perSecond = 10.0, .burst = 10.0 } } }, 0);
    unsigned admitted = 0;
    for (Micros now = 10 * Second; now < 18 * Second; now += Step) {
        admitted += quotas.take("a", 1.0, now).admitted ? 1 : 0;
    }
    BOOST_TEST(admitted <= 10.0 * 9.0 * (1.0 + Overshoot) + 10.0);
}

// Guards against a permit that is lost with a request that has not run, and against a Retry-After that is too short.
BOOST_AUTO_TEST_CASE(permitsComeBackAndRetryAfterIsTrue)
{
    AccountQuotas quotas({ .gateway = "g", .gatewayCount = 1 });
    quotas.configure({ { .name = "a", .quota = AccountQuota{ .perSecond = 10.0, .burst = 10.0 } } }, 0);
    Micros now = 10 * Second;
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(quotas.take("a", 1.0, now).admitted);
    }
    while (quotas.take("a", 1.0, now).admitted) { }
    const QuotaDecision refused = quotas.take("a", 1.0, now);
    BOOST_TEST(!refused.admitted);
    BOOST_TEST(refused.retryAfter > 0);
    quotas.giveBack("a", 1.0, now);
    now += refused.retryAfter;
    BOOST_TEST(quotas.take("a", 1.0, now).admitted);
    // Those that were refused return one after the other.
    while (quotas.take("a", 1.0, now).admitted) { }
    const Micros first = quotas.take("a", 1.0, now).retryAfter;
    const Micros second = quotas.take("a", 1.0, now).retryAfter;
    BOOST_TEST(second > first);
}

BOOST_AUTO_TEST_SUITE_END()
