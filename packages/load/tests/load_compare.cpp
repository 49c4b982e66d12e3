// Compares the order policies of the admission queue in virtual time: four engines with an agent's queue each, two ranks
// with two large and six small accounts each, surges of either rank. Deterministic for a given seed.
//
//     load_compare [seeds] [slots] [mean generated tokens]
//
// Requests go to the engine with the least expected wait, as routing with fresh probes does. Refused and expired requests
// are not sent again.

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

constexpr std::size_t Engines = 4;
constexpr std::size_t AccountsPerRank = 8;
constexpr std::size_t LargeAccounts = 2; // The first of each rank.
constexpr double SecondsPerToken = 0.043;
constexpr Micros SurgeStart = 60 * MicrosPerSecond;
constexpr Micros SurgeEnd = 660 * MicrosPerSecond;
constexpr Micros End = 720 * MicrosPerSecond;
constexpr Micros MeasuredFrom = 90 * MicrosPerSecond;           // Two service times after the start, so that the figures show the surge and not its onset.
constexpr std::array<double, RankCount> BaseDemand{ 0.5, 0.3 }; // Shares of the capacity.
constexpr std::array<double, RankCount> SmallDemand{ 0.2, 0.12 };
constexpr std::array<RankSpec, RankCount> Ranks{ RankSpec{ .floor = 0.5, .firstTokenTarget = 400 * MicrosPerMilli, .deadline = 2 * MicrosPerSecond },
                                                 RankSpec{ .floor = 0.2, .deadline = 10 * MicrosPerSecond } };

struct Scenario {
    Rank surging = Rank::Free;
    double load = 1.0;          ///< Demand of both ranks during the surge, in capacities.
    bool largeAccounts = true;  ///< False: the small accounts alone.
    std::uint32_t reserved = 0; ///< Slots that free work leaves free.
    std::array<Micros, RankCount> deadlines{ Ranks[0].deadline, Ranks[1].deadline };
};

struct Request {
    std::size_t account = 0; ///< Rank * AccountsPerRank + number in the rank.
    std::size_t engine = 0;
    Micros arrival = 0;
    Micros prefill = 0;
    double cost = 0.0; ///< True cost in tokens.
    Micros deadline = 0;
    Micros started = 0; ///< 0: refused or expired.
};

struct Outcome {
    double payingOnTarget = 0, servedOnTarget = 0, otherRank = 0, jain = 0, leastSmall = 0, smallP99 = 0, smallWhole = 0, goodput = 0, idleRefusals = 0,
           wrongRefusals = 0, expired = 0, recovery = 0;
};

/// Shape of the engines, from the command line.
struct Shape {
    std::uint32_t slots = 32;
    double tokens = 330.0; ///< Mean generated tokens of a request.
};

template<typename Order>
class Run
{
public:
    Run(const Scenario &scenario, const Shape &shape, std::uint64_t seed)
        : scenario_(scenario)
        , shape_(shape)
        , random_(seed)
    {
        for (std::size_t i = 0; i < Engines; ++i) {
            engines_.emplace_back(
                AdmissionOptions{ .slots = shape.slots, .ranks = Ranks, .tokensPerSlotSecond = 1.0 / SecondsPerToken, .reservedSlots = scenario.reserved },
                seed + i);
        }
        running_.resize(Engines);
    }

    Outcome measure()
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
                startOn(request.engine, event.at);
            }
        }
        return evaluate();
    }

private:
    static constexpr std::size_t None = SIZE_MAX;

    struct Event {
        Micros at = 0;
        std::size_t request = None; ///< None: the next arrival of `account`.
        std::size_t account = 0;
        Ticket ticket = 0;

        bool operator<(const Event &other) const
        {
            return at > other.at; // The earliest first in a priority_queue.
        }
    };

    [[nodiscard]] double capacity() const
    {
        return Engines * shape_.slots / SecondsPerToken;
    }

    /// Tokens per second that an account asks for.
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
        // Arrivals come at the highest rate that the account ever has and are thinned out to the present one.
        const double highest = std::max(demandOf(account, 0), demandOf(account, SurgeStart));
        do {
            now += 1 + static_cast<Micros>(std::exponential_distribution<double>(highest / shape_.tokens)(random_) * MicrosPerSecond);
        } while (std::uniform_real_distribution<double>(0, highest)(random_) > demandOf(account, now));
        if (now < End) {
            events_.push({ .at = now, .account = account });
        }
    }

    void arrive(std::size_t account, Micros now)
    {
        const Rank rank = static_cast<Rank>(account / AccountsPerRank);
        const std::string name = "account" + std::to_string(account);
        const double cost = 1 + std::exponential_distribution<double>(1 / shape_.tokens)(random_);
        const double estimate = cost * std::lognormal_distribution<double>(0, 0.3)(random_);
        const Micros prefill = std::uniform_int_distribution<Micros>(10, 100)(random_) * MicrosPerMilli;
        std::size_t best = std::uniform_int_distribution<std::size_t>(0, Engines - 1)(random_);
        for (std::size_t i = 0; i < Engines; ++i) {
            best = engines_[i].expectedWait(rank, name, now) < engines_[best].expectedWait(rank, name, now) ? i : best;
        }
        const Micros deadline = now + scenario_.deadlines[account / AccountsPerRank];
        requests_.push_back({ .account = account, .engine = best, .arrival = now, .prefill = prefill, .cost = cost, .deadline = deadline });
        if (const AdmissionResult admitted = engines_[best].offer({ .account = name, .rank = rank, .cost = estimate, .deadline = deadline }, now)) {
            running_[best][admitted.ticket] = requests_.size() - 1;
        } else {
            const std::uint32_t usable = shape_.slots - (rank == Rank::Free ? engines_[best].reservedSlots() : 0);
            idleRefusals_ += engines_[best].running() < usable ? 1 : 0;
            refused_.insert(requests_.size() - 1);
        }
        startOn(best, now);
    }

    void startOn(std::size_t engine, Micros now)
    {
        while (const Ticket ticket = engines_[engine].takeExpired(now)) {
            running_[engine].erase(ticket);
        }
        while (const Ticket ticket = engines_[engine].startNext(now)) {
            const std::size_t index = running_[engine].at(ticket);
            running_[engine].erase(ticket);
            Request &request = requests_[index];
            request.started = now;
            events_.push(
                { .at = now + request.prefill + static_cast<Micros>(request.cost * SecondsPerToken * MicrosPerSecond), .request = index, .ticket = ticket });
        }
    }

    /// Refusals of requests that would have started in time: one of the same account that came later to the same engine did.
    [[nodiscard]] double wrongRefusals() const
    {
        std::map<std::pair<std::size_t, std::size_t>, Micros> firstStart; // Of the requests that come after.
        std::size_t wrong = 0;
        for (std::size_t i = requests_.size(); i-- > 0;) {
            const Request &request = requests_[i];
            Micros &first = firstStart.try_emplace({ request.engine, request.account }, INT64_MAX).first->second;
            wrong += refused_.contains(i) && first <= request.deadline ? 1 : 0;
            first = request.started > 0 ? std::min(first, request.started) : first;
        }
        return refused_.empty() ? 0.0 : static_cast<double>(wrong) / static_cast<double>(refused_.size());
    }

    [[nodiscard]] Outcome evaluate() const
    {
        const std::size_t surging = static_cast<std::size_t>(scenario_.surging);
        std::array<double, RankCount * AccountsPerRank> asked{}, served{};
        std::array<double, RankCount> busy{};
        std::vector<double> firstTokens, whole;
        double paying = 0, payingServed = 0, onTarget = 0, expired = 0, all = 0;
        std::array<std::array<double, 2>, (End - SurgeEnd) / MicrosPerSecond> after{}; // Requests that met and missed, by second.
        for (std::size_t i = 0; i < requests_.size(); ++i) {
            const Request &request = requests_[i];
            const std::size_t rank = request.account / AccountsPerRank;
            const Micros end = request.started + request.prefill + static_cast<Micros>(request.cost * SecondsPerToken * MicrosPerSecond);
            const Micros overlap = std::min(end, SurgeEnd) - std::max(request.started, MeasuredFrom);
            busy[rank] += request.started > 0 ? std::max<Micros>(0, overlap) : 0;
            const Micros firstToken = request.started + request.prefill - request.arrival;
            const bool met = request.started > 0 && (rank == 1 || firstToken <= Ranks[0].firstTokenTarget);
            if (request.arrival >= SurgeEnd) {
                ++after.at((request.arrival - SurgeEnd) / MicrosPerSecond)[met ? 0 : 1];
            }
            if (request.arrival < MeasuredFrom || request.arrival >= SurgeEnd) {
                continue;
            }
            all += 1;
            expired += request.started == 0 && !refused_.contains(i) ? 1 : 0;
            paying += rank == 0 ? 1 : 0;
            payingServed += rank == 0 && request.started > 0 ? 1 : 0;
            onTarget += rank == 0 && met ? 1 : 0;
            asked[request.account] += request.cost;
            served[request.account] += request.started > 0 ? request.cost : 0;
            if (rank == surging && request.account % AccountsPerRank >= LargeAccounts && request.started > 0) {
                firstTokens.push_back(static_cast<double>(firstToken) / MicrosPerMilli);
                whole.push_back(static_cast<double>(end - request.arrival) / MicrosPerMilli);
            }
        }
        double sum = 0, squares = 0, least = 1;
        for (std::size_t i = LargeAccounts; i < AccountsPerRank; ++i) {
            const std::size_t account = surging * AccountsPerRank + i;
            const double share = served[account] / std::max(1.0, asked[account]);
            sum += share;
            squares += share * share;
            least = std::min(least, share);
        }
        std::sort(firstTokens.begin(), firstTokens.end());
        std::sort(whole.begin(), whole.end());
        const double available = static_cast<double>(Engines * shape_.slots) * (SurgeEnd - MeasuredFrom);
        return { .payingOnTarget = onTarget / paying,
                 .servedOnTarget = onTarget / std::max(1.0, payingServed),
                 .otherRank = busy[1 - surging] / available,
                 .jain = sum * sum / (6 * std::max(squares, 1e-9)),
                 .leastSmall = least,
                 .smallP99 = firstTokens.empty() ? 0 : firstTokens[firstTokens.size() * 99 / 100],
                 .smallWhole = whole.empty() ? 0 : whole[whole.size() * 99 / 100],
                 .goodput = (busy[0] + busy[1]) / available,
                 .idleRefusals = idleRefusals_,
                 .wrongRefusals = wrongRefusals(),
                 .expired = expired / all,
                 .recovery = recovery(after) };
    }

    /// Seconds until 95% of the requests of a 5 s window meet their target or deadline.
    static double recovery(std::span<const std::array<double, 2>> after)
    {
        for (std::size_t from = 0; from + 5 <= after.size(); ++from) {
            std::array<double, 2> sum{};
            for (std::size_t i = from; i < from + 5; ++i) {
                sum = { sum[0] + after[i][0], sum[1] + after[i][1] };
            }
            if (sum[0] >= 0.95 * (sum[0] + sum[1])) {
                return static_cast<double>(from);
            }
        }
        return static_cast<double>(after.size());
    }

    Scenario scenario_;
    Shape shape_;
    Random random_;
    std::vector<Admission<Order>> engines_;
    std::vector<std::map<Ticket, std::size_t>> running_; ///< Request by ticket, while it is queued.
    std::vector<Request> requests_;
    std::set<std::size_t> refused_;
    double idleRefusals_ = 0; ///< While the engine had a slot for the work.
    std::priority_queue<Event> events_;
};

void print(double Outcome::*field, std::vector<Outcome> &outcomes, double scale)
{
    std::sort(outcomes.begin(), outcomes.end(), [field](const Outcome &a, const Outcome &b) { return a.*field < b.*field; });
    std::printf(" %.3g/%.3g/%.3g |", outcomes.front().*field * scale, outcomes[outcomes.size() / 2].*field * scale, outcomes.back().*field * scale);
}

template<typename Order>
void compare(const char *name, std::uint32_t reserved, const Shape &shape, std::uint64_t seeds, Micros payingDeadline = Ranks[0].deadline)
{
    for (const Rank surging : { Rank::Free, Rank::Paying }) {
        for (const double load : { 1.0, 3.0, 10.0 }) {
            std::vector<Outcome> outcomes;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                Scenario scenario{ .surging = surging, .load = load, .reserved = reserved, .deadlines = { payingDeadline, Ranks[1].deadline } };
                outcomes.push_back(Run<Order>(scenario, shape, seed).measure());
                scenario.largeAccounts = false;
                const Outcome alone = Run<Order>(scenario, shape, seed).measure();
                outcomes.back().smallP99 /= alone.smallP99;
                outcomes.back().smallWhole /= alone.smallWhole;
            }
            std::printf("| %s, %u reserved | %s %gx |", name, reserved, std::string(nameOf(surging)).c_str(), load);
            print(&Outcome::payingOnTarget, outcomes, 100);
            print(&Outcome::servedOnTarget, outcomes, 100);
            print(&Outcome::otherRank, outcomes, 100);
            print(&Outcome::jain, outcomes, 1);
            print(&Outcome::leastSmall, outcomes, 100);
            print(&Outcome::smallP99, outcomes, 1);
            print(&Outcome::smallWhole, outcomes, 1);
            print(&Outcome::goodput, outcomes, 1);
            print(&Outcome::idleRefusals, outcomes, 1);
            print(&Outcome::wrongRefusals, outcomes, 100);
            print(&Outcome::expired, outcomes, 100);
            print(&Outcome::recovery, outcomes, 1);
            std::printf("\n");
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 5;
    Shape shape;
    shape.slots = argc > 2 ? static_cast<std::uint32_t>(std::strtoul(argv[2], nullptr, 10)) : shape.slots;
    shape.tokens = argc > 3 ? std::strtod(argv[3], nullptr) : shape.tokens;
    std::printf("min/median/max of %llu seeds\n\n", static_cast<unsigned long long>(seeds));
    std::printf("| policy | surge | paying on target %% | served on target %% | other rank's share of capacity %% | Jain, small | least served small %% | "
                "small p99 first token / alone | small p99 whole / alone | goodput | "
                "refusals beside idle slots | wrong refusals %% | expired %% | recovery s |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    compare<FifoOrder>("FIFO", 0, shape, seeds);
    compare<PriorityOrder>("priority", 0, shape, seeds);
    for (const std::uint32_t reserved : { 0U, 1U, 2U, 3U }) {
        compare<FairOrder>("fair", reserved, shape, seeds);
    }
    compare<FairOrder>("fair, paying deadline 0.3 s", 2, shape, seeds, 300 * MicrosPerMilli);
}
