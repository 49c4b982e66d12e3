#include <boost/test/unit_test.hpp>

#include "carobhall/limits.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>

#include <rapidcheck.h>

using namespace Carobhall;

namespace
{

constexpr Micros Tick = 20 * MicrosPerMilli;
constexpr Micros Delay = 12 * MicrosPerMilli; ///< Between the regions, one way.
constexpr double MeanCost = 330.0;
constexpr double MostCost = 1'000.0;

struct Trial {
    std::size_t entries = 3;
    AccountLimit limit{ .tokensPerSecond = 3'300.0, .maxConcurrent = 40 };
    double load = 3.0; ///< Demand as a multiple of the limit.
    double loss = 0.0; ///< Share of the messages that are lost.
    Micros restartAt = 0;
    Micros homeChangeAt = 0;
    Micros viewLag = 2 * MicrosPerSecond; ///< Until the last entry process knows the new home.
    Micros end = 40 * MicrosPerSecond;
    LimitOptions options{};
    std::uint64_t seed = 1;
};

struct Result {
    double excess = 0;      ///< Most tokens beyond L W in any window, in periods' worth of the limit.
    double use = 0;         ///< Share of the limit that was used over the last 20 s.
    std::uint32_t most = 0; ///< Most requests at once.
    std::uint64_t asks = 0;
    std::uint64_t requests = 0;
    double refused = 0;       ///< Share of the requests.
    double pendingMillis = 0; ///< Mean wait of allowed requests for a grant.
};

/// Several entry processes that share one account's limit, with messages that take time and get lost.
class Fleet
{
public:
    explicit Fleet(const Trial &trial)
        : trial_(trial)
        , random_(trial.seed)
    {
        start(1);
    }

    Result run()
    {
        const double perSecond = trial_.load * std::min(trial_.limit.tokensPerSecond / MeanCost, 1e9);
        std::exponential_distribution<double> gap(perSecond);
        Micros nextRequest = 1;
        for (now_ = 1; now_ < trial_.end; now_ += MicrosPerMilli) {
            disturb();
            for (; nextRequest <= now_; nextRequest += 1 + static_cast<Micros>(gap(random_) * MicrosPerSecond)) {
                ++result_.requests;
                offer({ .entry = random_() % entries_.size(),
                        .cost = std::min(MostCost, 1 + std::exponential_distribution<double>(1 / MeanCost)(random_)),
                        .arrival = now_ });
            }
            deliver();
            finish();
            retryPending();
            if (now_ / Tick != (now_ - MicrosPerMilli) / Tick) {
                sendAsks();
            }
        }
        result_.use = lateUse_ / (trial_.limit.tokensPerSecond * 20.0);
        result_.refused = static_cast<double>(refused_) / static_cast<double>(result_.requests);
        result_.pendingMillis = waited_ / std::max(1.0, allowed_) / MicrosPerMilli;
        return result_;
    }

private:
    struct Entry {
        Incarnation incarnation = 0;
        AccountLimits limits;
        GrantCoordinator home;
    };

    struct Request {
        std::size_t entry = 0;
        double cost = 0;
        Micros arrival = 0;
        std::uint64_t epoch = 0;
    };

    struct Packet {
        Micros at = 0;
        std::size_t to = 0;
        std::size_t from = 0;
        std::variant<GrantAsk, Grant> message;
    };

    void start(Incarnation first)
    {
        entries_.clear();
        std::vector<Incarnation> incarnations;
        for (std::size_t i = 0; i < trial_.entries; ++i) {
            entries_.push_back({ .incarnation = first + i, .limits = AccountLimits(trial_.options), .home = GrantCoordinator(trial_.options) });
            incarnations.push_back(first + i);
        }
        for (Entry &entry : entries_) {
            entry.limits.setEntryProcesses(incarnations);
        }
    }

    void disturb()
    {
        if (trial_.restartAt != 0 && now_ / MicrosPerMilli == trial_.restartAt / MicrosPerMilli) {
            ++epoch_; // The agents cancel what the old processes ran.
            running_ = {};
            pending_.clear();
            packets_.clear();
            atOnce_ = 0;
            start(1'000'000);
        }
        // Each entry process learns of the old home's departure at its own time; the old home itself goes on answering.
        if (trial_.homeChangeAt != 0 && now_ >= trial_.homeChangeAt && changed_ < entries_.size()) {
            const auto step = std::max<Micros>(1, trial_.viewLag / static_cast<Micros>(entries_.size()));
            while (changed_ < entries_.size() && now_ >= trial_.homeChangeAt + static_cast<Micros>(changed_) * step) {
                std::vector<Incarnation> others;
                for (const Entry &entry : entries_) {
                    others.push_back(entry.incarnation);
                }
                std::erase(others, coordinatorOf("account", others));
                entries_[changed_++].limits.setEntryProcesses(others);
            }
        }
    }

    void offer(Request request)
    {
        request.epoch = epoch_;
        const bool mayWait = now_ < request.arrival + 100 * MicrosPerMilli;
        const LimitResult answer = entries_[request.entry].limits.take("account", trial_.limit, request.cost, now_, mayWait);
        if (answer.decision == LimitDecision::Pending) {
            pending_.push_back(request);
        } else if (answer.decision == LimitDecision::Refused) {
            ++refused_;
        } else {
            allowed_ += 1;
            waited_ += static_cast<double>(now_ - request.arrival);
            running_.push({ now_ + static_cast<Micros>(request.cost * 0.01 * MicrosPerSecond), request });
            result_.most = std::max(result_.most, ++atOnce_);
            spend(request.cost);
        }
    }

    /// The excess of the worst window that ends now: a bucket that drains at the limit's rate.
    void spend(double cost)
    {
        bucket_ = std::max(0.0, bucket_ - trial_.limit.tokensPerSecond * static_cast<double>(now_ - bucketAt_) / MicrosPerSecond) + cost;
        bucketAt_ = now_;
        result_.excess = std::max(result_.excess, bucket_ / trial_.limit.tokensPerSecond);
        lateUse_ += now_ >= trial_.end - 20 * MicrosPerSecond ? cost : 0;
    }

    void finish()
    {
        while (!running_.empty() && running_.top().first <= now_) {
            const Request request = running_.top().second;
            running_.pop();
            entries_[request.entry].limits.settle("account", request.cost, request.cost);
            --atOnce_;
        }
    }

    void retryPending()
    {
        for (std::size_t i = pending_.size(); i > 0; --i) {
            const Request request = pending_.front();
            pending_.pop_front();
            if (granted_.contains(request.entry) || now_ >= request.arrival + 100 * MicrosPerMilli) {
                offer(request);
            } else {
                pending_.push_back(request);
            }
        }
        granted_.clear();
    }

    void sendAsks()
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            for (AddressedGrantRequest &ask : entries_[i].limits.takeGrantRequests(now_)) {
                ++result_.asks;
                const auto home = std::find_if(entries_.begin(), entries_.end(), [&](const Entry &entry) { return entry.incarnation == ask.coordinator; });
                send({ .to = static_cast<std::size_t>(home - entries_.begin()), .from = i, .message = ask.request });
            }
        }
    }

    void send(Packet packet)
    {
        packet.at = now_ + (packet.to == packet.from ? 0 : Delay);
        if (std::uniform_real_distribution<double>()(random_) >= trial_.loss) {
            packets_.push_back(packet);
        }
    }

    void deliver()
    {
        for (std::size_t i = packets_.size(); i > 0; --i) {
            const Packet packet = packets_.front();
            packets_.pop_front();
            if (packet.at > now_) {
                packets_.push_back(packet);
            } else if (const auto *ask = std::get_if<GrantAsk>(&packet.message)) {
                send({ .to = packet.from,
                       .from = packet.to,
                       .message = entries_[packet.to].home.grant(entries_[packet.from].incarnation, *ask, trial_.limit, now_) });
            } else {
                entries_[packet.to].limits.receive(std::get<Grant>(packet.message), now_);
                granted_.insert(packet.to);
            }
        }
    }

    struct Later {
        bool operator()(const auto &a, const auto &b) const
        {
            return a.first > b.first;
        }
    };

    Trial trial_;
    std::mt19937_64 random_;
    std::vector<Entry> entries_;
    std::deque<Packet> packets_;
    std::deque<Request> pending_;
    std::set<std::size_t> granted_;
    std::priority_queue<std::pair<Micros, Request>, std::vector<std::pair<Micros, Request>>, Later> running_;
    Result result_;
    Micros now_ = 0;
    Micros bucketAt_ = 0;
    double bucket_ = 0;
    double lateUse_ = 0;
    double waited_ = 0;
    double allowed_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t epoch_ = 0;
    std::uint32_t atOnce_ = 0;
    std::size_t changed_ = 0;
};

Result report(const char *name, const Trial &trial)
{
    const Result result = Fleet(trial).run();
    BOOST_TEST_MESSAGE(name << ": entries " << trial.entries << ", excess " << result.excess << " periods, use " << result.use << ", at once " << result.most
                            << " of " << trial.limit.maxConcurrent << ", asks per request " << double(result.asks) / double(result.requests) << ", asks/s "
                            << double(result.asks) * MicrosPerSecond / double(trial.end) << ", refused " << result.refused << ", mean wait "
                            << result.pendingMillis << " ms");
    return result;
}

// Below the bound of limits.h, which is 4 with one home, in periods' worth of tokens: 3 with one home, and for each change 1.1 for the new home, 1 for initial
// allowances, and the time with two homes. Requests that may run while no home answers: one for each entry process.
constexpr double OneHome = 3.0;
constexpr double NewHome = 2.1;

} // namespace

// Guards against an account that exceeds its limit by spreading requests over entry processes, and against a limit that
// keeps an account far below what it is entitled to.
BOOST_AUTO_TEST_CASE(anAccountKeepsItsLimitOverAllEntryProcesses)
{
    for (const std::size_t entries : { 3U, 350U }) {
        for (const double load : { 0.5, 3.0, 30.0 }) {
            const Result result = report("steady", { .entries = entries, .load = load });
            BOOST_TEST(result.excess <= OneHome + NewHome);
            BOOST_TEST(result.most <= 40);
            BOOST_TEST((load < 1.0 ? result.refused <= 0.05 : result.use >= 0.8));
        }
    }
}

// Guards against a restart of all entry processes, or a change of the home, that gives an account its allowance many times over.
BOOST_AUTO_TEST_CASE(restartsAndHomeChangesCostABoundedExcess)
{
    for (const std::size_t entries : { 3U, 350U }) {
        const Result restart = report("restart of all", { .entries = entries, .restartAt = 10 * MicrosPerSecond });
        BOOST_TEST(restart.excess <= OneHome + 2 * NewHome);
        BOOST_TEST(restart.most <= 40);
        const Result change = report("home change", { .entries = entries, .homeChangeAt = 10 * MicrosPerSecond });
        BOOST_TEST(change.excess <= OneHome + 2 * NewHome + 2.0);
        BOOST_TEST(change.most <= 80);
        const Result loss = report("a fifth of the messages lost", { .entries = entries, .loss = 0.2 });
        BOOST_TEST(loss.excess <= OneHome + NewHome + static_cast<double>(entries) * MostCost / 3'300.0);
        BOOST_TEST(loss.use >= 0.6);
    }
}

// Guards against a message for each request.
BOOST_AUTO_TEST_CASE(asksDoNotGrowWithRequests)
{
    const Result some = report("3,000 requests/s", { .limit = { .tokensPerSecond = 1e6 }, .load = 1.0 });
    const Result many = report("30,000 requests/s", { .limit = { .tokensPerSecond = 1e6 }, .load = 10.0 });
    BOOST_TEST(some.asks <= 40U * 10 * 3);
    BOOST_TEST(many.asks <= 40U * 10 * 3);
}

// Guards against limits that hold only for the orders of events above.
BOOST_AUTO_TEST_CASE(randomFleetsKeepTheBounds)
{
    const bool holds = rc::check([] {
        Trial trial{ .entries = *rc::gen::inRange<std::size_t>(1, 20), .end = 20 * MicrosPerSecond };
        trial.limit = { .tokensPerSecond = *rc::gen::element(330.0, 3'300.0, 33'000.0), .maxConcurrent = *rc::gen::inRange<std::uint32_t>(1, 60) };
        trial.load = *rc::gen::element(0.3, 2.0, 10.0);
        trial.restartAt = *rc::gen::inRange<Micros>(0, 2) * 5 * MicrosPerSecond;
        trial.seed = *rc::gen::arbitrary<std::uint64_t>();
        const Result result = Fleet(trial).run();
        RC_ASSERT(result.excess <= OneHome + 2 * NewHome + MostCost / trial.limit.tokensPerSecond);
        RC_ASSERT(result.most <= trial.limit.maxConcurrent);
    });
    BOOST_TEST(holds);
}
