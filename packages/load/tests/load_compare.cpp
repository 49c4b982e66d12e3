// Compares the order policies of the admission queue by simulation in virtual time. There are four engines with one queue each, two
// ranks with two large and six small accounts each, and a surge of either rank. The result is deterministic for a given seed.
//
//     load_compare [seeds] [slots] [mean generated tokens]
//
// Each request goes to the engine with the shortest expected wait, as with routing by fresh probes. Refused and expired requests are
// not sent again.

#include "carobhall/admission.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <queue>
#include <set>
#include <span>

using namespace Carobhall;

namespace
{

constexpr std::size_t EngineCount = 4;
constexpr std::size_t AccountsPerRank = 8;
constexpr std::size_t LargeAccounts = 2; // The first accounts of each rank.
constexpr double SecondsPerToken = 0.043;
constexpr Micros SurgeStart = 60 * MicrosPerSecond;
constexpr Micros SurgeEnd = 660 * MicrosPerSecond;
constexpr Micros End = 720 * MicrosPerSecond;
constexpr Micros MeasuredFrom = 90 * MicrosPerSecond;             // Two service times after the start of the surge, to exclude its onset.
constexpr std::array<double, RankCount> BaseDemand{ 0.5, 0.3 };   // As fractions of the capacity; all accounts of a rank.
constexpr std::array<double, RankCount> SmallDemand{ 0.2, 0.12 }; // Part of BaseDemand; the small accounts of a rank.
constexpr std::array<RankSpec, RankCount> Ranks{ RankSpec{ .floor = 0.5, .firstTokenTarget = 400 * MicrosPerMilli, .deadline = 2 * MicrosPerSecond },
                                                 RankSpec{ .floor = 0.2, .deadline = 10 * MicrosPerSecond } };

struct Scenario {
    Rank surging = Rank::Free;
    double load = 1.0;               ///< Demand of both ranks during the surge, as a multiple of the capacity.
    bool largeAccounts = true;       ///< False: only the small accounts send requests.
    std::uint32_t reservedSlots = 0; ///< Slots that free work leaves idle for paying work.
    std::array<Micros, RankCount> deadlines{ Ranks[0].deadline, Ranks[1].deadline };
};

struct Request {
    std::size_t account = 0; ///< Rank * AccountsPerRank + number within the rank.
    std::size_t engine = 0;
    Micros arrival = 0;
    Micros prefill = 0;
    double cost = 0.0; ///< True cost in tokens.
    Micros deadline = 0;
    Micros startedAt = 0; ///< 0 if the request was refused or has expired.
};

/// Results of one run. "On target": a paying request that got its first token in time, as a share of all paying requests or of those that
/// were started. "Small" refers to the small accounts of the surging rank. P99 values are in milliseconds. goodput is the share of busy
/// slots.
struct Outcome {
    double payingOnTarget = 0, servedOnTarget = 0, otherRankShare = 0, jainIndex = 0, minSmallServed = 0, smallFirstTokenP99 = 0, smallTotalP99 = 0,
           goodput = 0, refusalsWithFreeSlots = 0, wrongRefusalShare = 0, expiredShare = 0, recoverySeconds = 0;
};

/// Engine parameters from the command line.
struct EngineShape {
    std::uint32_t slots = 32;
    double meanTokens = 330.0; ///< Mean number of generated tokens of a request.
};

template<typename Order>
class Simulation
{
public:
    Simulation(const Scenario &scenario, const EngineShape &shape, std::uint64_t seed)
        : scenario_(scenario)
        , shape_(shape)
        , random_(seed)
    {
        for (std::size_t i = 0; i < EngineCount; ++i) {
            engines_.emplace_back(
                AdmissionOptions{ .slots = shape.slots, .ranks = Ranks, .tokensPerSlotSecond = 1.0 / SecondsPerToken, .reservedSlots = scenario.reservedSlots },
                seed + i);
        }
        queuedRequests_.resize(EngineCount);
    }

    Outcome run()
    {
        for (std::size_t account = 0; account < RankCount * AccountsPerRank; ++account) {
            if (scenario_.largeAccounts || account % AccountsPerRank >= LargeAccounts) {
                scheduleArrival(account, 0);
            }
        }
        while (!events_.empty()) {
            const Event event = events_.top();
            events_.pop();
            if (event.request == None) {
                arrive(event.account, event.at);
                scheduleArrival(event.account, event.at);
            } else {
                const Request &request = requests_[event.request];
                engines_[request.engine].finish(event.ticket, request.cost, event.at);
                startQueued(request.engine, event.at);
            }
        }
        return evaluate();
    }

private:
    static constexpr std::size_t None = SIZE_MAX;

    struct Event {
        Micros at = 0;
        std::size_t request = None; ///< The request that ends; None: the next arrival of `account`.
        std::size_t account = 0;
        Ticket ticket = 0;

        bool operator<(const Event &other) const
        {
            return at > other.at; // Inverted, so that priority_queue returns the earliest event.
        }
    };

    [[nodiscard]] double capacity() const
    {
        return EngineCount * shape_.slots / SecondsPerToken;
    }

    /// Demand of an account in tokens per second.
    [[nodiscard]] double demandOf(std::size_t account, Micros now) const
    {
        const std::size_t rank = account / AccountsPerRank;
        const std::size_t number = account % AccountsPerRank;
        if (number >= LargeAccounts) {
            return SmallDemand[rank] * capacity() * static_cast<double>(number - LargeAccounts + 1) / 21.0; // 1 + 2 + ... + 6
        }
        const std::size_t surging = static_cast<std::size_t>(scenario_.surging);
        const bool surge = rank == surging && now >= SurgeStart && now < SurgeEnd;
        const double total = surge ? scenario_.load - BaseDemand[1 - rank] : BaseDemand[rank];
        return (total - SmallDemand[rank]) * capacity() / LargeAccounts;
    }

    void scheduleArrival(std::size_t account, Micros now)
    {
        // Poisson process with a varying rate, by thinning: arrivals are drawn at the highest rate and accepted in proportion to the
        // current rate.
        const double maxDemand = std::max(demandOf(account, 0), demandOf(account, SurgeStart));
        do {
            now += 1 + static_cast<Micros>(std::exponential_distribution<double>(maxDemand / shape_.meanTokens)(random_) * MicrosPerSecond);
        } while (std::uniform_real_distribution<double>(0, maxDemand)(random_) > demandOf(account, now));
        if (now < End) {
            events_.push({ .at = now, .account = account });
        }
    }

    void arrive(std::size_t account, Micros now)
    {
        const Rank rank = static_cast<Rank>(account / AccountsPerRank);
        const std::string name = "account" + std::to_string(account);
        const double cost = 1 + std::exponential_distribution<double>(1 / shape_.meanTokens)(random_);
        const double estimate = cost * std::lognormal_distribution<double>(0, 0.3)(random_);
        const Micros prefill = std::uniform_int_distribution<Micros>(10, 100)(random_) * MicrosPerMilli;
        std::size_t best = std::uniform_int_distribution<std::size_t>(0, EngineCount - 1)(random_);
        for (std::size_t i = 0; i < EngineCount; ++i) {
            best = engines_[i].expectedWait(rank, name, now) < engines_[best].expectedWait(rank, name, now) ? i : best;
        }
        const Micros deadline = now + scenario_.deadlines[account / AccountsPerRank];
        requests_.push_back({ .account = account, .engine = best, .arrival = now, .prefill = prefill, .cost = cost, .deadline = deadline });
        if (const AdmissionResult admitted = engines_[best].offer({ .account = name, .rank = rank, .cost = estimate, .deadline = deadline }, now)) {
            queuedRequests_[best][admitted.ticket] = requests_.size() - 1;
        } else {
            const std::uint32_t usable = shape_.slots - (rank == Rank::Free ? engines_[best].reservedSlots() : 0);
            refusalsWithFreeSlots_ += engines_[best].running() < usable ? 1 : 0;
            refused_.insert(requests_.size() - 1);
        }
        startQueued(best, now);
    }

    void startQueued(std::size_t engine, Micros now)
    {
        while (const Ticket ticket = engines_[engine].takeExpired(now)) {
            queuedRequests_[engine].erase(ticket);
        }
        while (const Ticket ticket = engines_[engine].startNext(now)) {
            const std::size_t index = queuedRequests_[engine].at(ticket);
            queuedRequests_[engine].erase(ticket);
            Request &request = requests_[index];
            request.startedAt = now;
            events_.push(
                { .at = now + request.prefill + static_cast<Micros>(request.cost * SecondsPerToken * MicrosPerSecond), .request = index, .ticket = ticket });
        }
    }

    /// Share of refusals that were wrong: a request of the same account that arrived later at the same engine started before the deadline
    /// of the refused one.
    [[nodiscard]] double wrongRefusalShare() const
    {
        std::map<std::pair<std::size_t, std::size_t>, Micros> firstStart; // Of the later requests, by engine and account.
        std::size_t wrongCount = 0;
        for (std::size_t i = requests_.size(); i-- > 0;) {
            const Request &request = requests_[i];
            Micros &first = firstStart.try_emplace({ request.engine, request.account }, INT64_MAX).first->second;
            wrongCount += refused_.contains(i) && first <= request.deadline ? 1 : 0;
            first = request.startedAt > 0 ? std::min(first, request.startedAt) : first;
        }
        return refused_.empty() ? 0.0 : static_cast<double>(wrongCount) / static_cast<double>(refused_.size());
    }

    [[nodiscard]] Outcome evaluate() const
    {
        const std::size_t surging = static_cast<std::size_t>(scenario_.surging);
        std::array<double, RankCount * AccountsPerRank> demanded{}, served{};
        std::array<double, RankCount> busyTime{};
        std::vector<double> firstTokenMs, totalMs;
        double paying = 0, payingServed = 0, onTarget = 0, expired = 0, requestCount = 0;
        std::array<std::array<double, 2>, (End - SurgeEnd) / MicrosPerSecond> afterSurge{}; // Requests that met and missed their target, by second.
        for (std::size_t i = 0; i < requests_.size(); ++i) {
            const Request &request = requests_[i];
            const std::size_t rank = request.account / AccountsPerRank;
            const Micros end = request.startedAt + request.prefill + static_cast<Micros>(request.cost * SecondsPerToken * MicrosPerSecond);
            const Micros overlap = std::min(end, SurgeEnd) - std::max(request.startedAt, MeasuredFrom);
            busyTime[rank] += request.startedAt > 0 ? std::max<Micros>(0, overlap) : 0;
            const Micros firstToken = request.startedAt + request.prefill - request.arrival;
            const bool met = request.startedAt > 0 && (rank == 1 || firstToken <= Ranks[0].firstTokenTarget);
            if (request.arrival >= SurgeEnd) {
                ++afterSurge.at((request.arrival - SurgeEnd) / MicrosPerSecond)[met ? 0 : 1];
            }
            if (request.arrival < MeasuredFrom || request.arrival >= SurgeEnd) {
                continue;
            }
            requestCount += 1;
            expired += request.startedAt == 0 && !refused_.contains(i) ? 1 : 0;
            paying += rank == 0 ? 1 : 0;
            payingServed += rank == 0 && request.startedAt > 0 ? 1 : 0;
            onTarget += rank == 0 && met ? 1 : 0;
            demanded[request.account] += request.cost;
            served[request.account] += request.startedAt > 0 ? request.cost : 0;
            if (rank == surging && request.account % AccountsPerRank >= LargeAccounts && request.startedAt > 0) {
                firstTokenMs.push_back(static_cast<double>(firstToken) / MicrosPerMilli);
                totalMs.push_back(static_cast<double>(end - request.arrival) / MicrosPerMilli);
            }
        }
        double sum = 0, squares = 0, minShare = 1;
        for (std::size_t i = LargeAccounts; i < AccountsPerRank; ++i) {
            const std::size_t account = surging * AccountsPerRank + i;
            const double share = served[account] / std::max(1.0, demanded[account]);
            sum += share;
            squares += share * share;
            minShare = std::min(minShare, share);
        }
        std::sort(firstTokenMs.begin(), firstTokenMs.end());
        std::sort(totalMs.begin(), totalMs.end());
        const double available = static_cast<double>(EngineCount * shape_.slots) * (SurgeEnd - MeasuredFrom);
        return { .payingOnTarget = onTarget / paying,
                 .servedOnTarget = onTarget / std::max(1.0, payingServed),
                 .otherRankShare = busyTime[1 - surging] / available,
                 .jainIndex = sum * sum / (6 * std::max(squares, 1e-9)),
                 .minSmallServed = minShare,
                 .smallFirstTokenP99 = firstTokenMs.empty() ? 0 : firstTokenMs[firstTokenMs.size() * 99 / 100],
                 .smallTotalP99 = totalMs.empty() ? 0 : totalMs[totalMs.size() * 99 / 100],
                 .goodput = (busyTime[0] + busyTime[1]) / available,
                 .refusalsWithFreeSlots = refusalsWithFreeSlots_,
                 .wrongRefusalShare = wrongRefusalShare(),
                 .expiredShare = expired / requestCount,
                 .recoverySeconds = recoverySeconds(afterSurge) };
    }

    /// Seconds after the surge until 95% of the requests within a 5 s window meet their target or deadline.
    static double recoverySeconds(std::span<const std::array<double, 2>> afterSurge)
    {
        for (std::size_t from = 0; from + 5 <= afterSurge.size(); ++from) {
            std::array<double, 2> sum{};
            for (std::size_t i = from; i < from + 5; ++i) {
                sum = { sum[0] + afterSurge[i][0], sum[1] + afterSurge[i][1] };
            }
            if (sum[0] >= 0.95 * (sum[0] + sum[1])) {
                return static_cast<double>(from);
            }
        }
        return static_cast<double>(afterSurge.size());
    }

    Scenario scenario_;
    EngineShape shape_;
    Random random_;
    std::vector<Admission<Order>> engines_;
    std::vector<std::map<Ticket, std::size_t>> queuedRequests_; ///< Index of the queued request by ticket, for each engine.
    std::vector<Request> requests_;
    std::set<std::size_t> refused_;
    double refusalsWithFreeSlots_ = 0; ///< Refusals while the engine had a free slot that the request could have used.
    std::priority_queue<Event> events_;
};

void print(double Outcome::*field, std::vector<Outcome> &outcomes, double scale)
{
    std::sort(outcomes.begin(), outcomes.end(), [field](const Outcome &a, const Outcome &b) { return a.*field < b.*field; });
    std::printf(" %.3g/%.3g/%.3g |", outcomes.front().*field * scale, outcomes[outcomes.size() / 2].*field * scale, outcomes.back().*field * scale);
}

template<typename Order>
void compare(const char *name, std::uint32_t reserved, const EngineShape &shape, std::uint64_t seeds, Micros payingDeadline = Ranks[0].deadline)
{
    for (const Rank surging : { Rank::Free, Rank::Paying }) {
        for (const double load : { 1.0, 3.0, 10.0 }) {
            std::vector<Outcome> outcomes;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                Scenario scenario{ .surging = surging, .load = load, .reservedSlots = reserved, .deadlines = { payingDeadline, Ranks[1].deadline } };
                outcomes.push_back(Simulation<Order>(scenario, shape, seed).run());
                scenario.largeAccounts = false;
                const Outcome baseline = Simulation<Order>(scenario, shape, seed).run();
                outcomes.back().smallFirstTokenP99 /= baseline.smallFirstTokenP99;
                outcomes.back().smallTotalP99 /= baseline.smallTotalP99;
            }
            std::printf("| %s, %u reserved | %s %gx |", name, reserved, std::string(nameOf(surging)).c_str(), load);
            print(&Outcome::payingOnTarget, outcomes, 100);
            print(&Outcome::servedOnTarget, outcomes, 100);
            print(&Outcome::otherRankShare, outcomes, 100);
            print(&Outcome::jainIndex, outcomes, 1);
            print(&Outcome::minSmallServed, outcomes, 100);
            print(&Outcome::smallFirstTokenP99, outcomes, 1);
            print(&Outcome::smallTotalP99, outcomes, 1);
            print(&Outcome::goodput, outcomes, 1);
            print(&Outcome::refusalsWithFreeSlots, outcomes, 1);
            print(&Outcome::wrongRefusalShare, outcomes, 100);
            print(&Outcome::expiredShare, outcomes, 100);
            print(&Outcome::recoverySeconds, outcomes, 1);
            std::printf("\n");
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 5;
    EngineShape shape;
    shape.slots = argc > 2 ? static_cast<std::uint32_t>(std::strtoul(argv[2], nullptr, 10)) : shape.slots;
    shape.meanTokens = argc > 3 ? std::strtod(argv[3], nullptr) : shape.meanTokens;
    std::printf("min/median/max of %llu seeds\n\n", static_cast<unsigned long long>(seeds));
    std::printf("| policy | surge | paying on target %% | served on target %% | other rank's share of capacity %% | Jain index, small | "
                "lowest served share, small %% | "
                "small p99 first token / without large | small p99 total / without large | goodput | "
                "refusals with free slots | wrong refusals %% | expired %% | recovery s |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    compare<FifoOrder>("FIFO", 0, shape, seeds);
    compare<PriorityOrder>("priority", 0, shape, seeds);
    for (const std::uint32_t reserved : { 0U, 1U, 2U, 3U }) {
        compare<FairOrder>("fair", reserved, shape, seeds);
    }
    compare<FairOrder>("fair, paying deadline 0.3 s", 2, shape, seeds, 300 * MicrosPerMilli);
}
