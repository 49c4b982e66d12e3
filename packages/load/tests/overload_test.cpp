#include <boost/test/unit_test.hpp>

#include "carobhall/admission.h"
#include "carobhall/overload.h"

#include <algorithm>
#include <cmath>
#include <queue>

using namespace Carobhall;

namespace
{

constexpr std::size_t Engines = 8;
constexpr std::uint32_t Slots = 32;
constexpr double MeanCost = 60.0;
constexpr double SecondsPerToken = 0.043;
constexpr double Capacity = Engines * Slots / SecondsPerToken / MeanCost; ///< Requests per second.
constexpr Micros Step = 100 * MicrosPerMilli;
constexpr Micros ReportLag = 500 * MicrosPerMilli;
constexpr Micros RestartAt = 40 * MicrosPerSecond;
constexpr Micros End = 60 * MicrosPerSecond;
constexpr Micros Deadline = 2 * MicrosPerSecond;

enum class Control { BestReported, Threshold, Throttled };

struct Figures {
    double offers = 0;     ///< At the agents, in capacities, while in overload.
    double goodput = 0;    ///< Share of the slots that were busy.
    double swing = 0;      ///< Standard deviation over mean of the work that an engine accepts in 100 ms steps.
    double herd = 0;       ///< Most offers at one engine within 100 ms in the second after the restart, over its even share of all requests.
    double afterSurge = 0; ///< Share refused from 5 s after the end of the overload.
};

/// Twenty entry processes in front of eight engines in virtual time. Reports reach all of them 500 ms late, every 500 ms. The
/// load is `load` capacities until 50 s and half of the capacity afterwards; at 40 s all entry processes restart.
class Trial
{
public:
    Trial(Control control, double load, std::uint64_t seed)
        : control_(control)
        , load_(load)
        , random_(seed)
    {
        for (std::size_t i = 0; i < Engines; ++i) {
            agents_.emplace_back(AdmissionOptions{ .slots = Slots, .ranks = { RankSpec{ .floor = 0.5 }, RankSpec{ .floor = 0.2 } } }, seed + i);
            names_.push_back(i + 1);
        }
        restart();
    }

    Figures run()
    {
        std::exponential_distribution<double> gap(Capacity);
        double due = gap(random_);
        double elapsed = 0;
        for (now_ = MicrosPerMilli; now_ < End; now_ += MicrosPerMilli) {
            elapsed += 0.001 * (now_ < 50 * MicrosPerSecond ? load_ : 0.5);
            for (; due <= elapsed; due += gap(random_)) {
                arrive();
            }
            while (!running_.empty() && running_.top().at <= now_) {
                agents_[running_.top().engine].finish(running_.top().ticket, running_.top().cost, now_);
                running_.pop();
            }
            for (std::size_t i = 0; i < Engines; ++i) {
                startOn(i);
            }
            tick();
        }
        return figures();
    }

private:
    struct Entry {
        UpstreamLoads loads;
        Throttle throttle;
    };

    struct Running {
        Micros at = 0;
        std::size_t engine = 0;
        Ticket ticket = 0;
        double cost = 0;

        bool operator<(const Running &other) const
        {
            return at > other.at;
        }
    };

    void restart()
    {
        entries_.clear();
        for (std::size_t i = 0; i < 20; ++i) {
            entries_.push_back({ .loads = UpstreamLoads({}, random_()), .throttle = Throttle({}, random_()) });
        }
    }

    void arrive()
    {
        Entry &entry = entries_[random_() % entries_.size()];
        const double cost = 1 + std::exponential_distribution<double>(1 / MeanCost)(random_);
        const bool late = now_ >= 55 * MicrosPerSecond;
        lateRequests_ += late ? 1 : 0;
        std::size_t engine = 0;
        if (control_ != Control::BestReported) {
            engine = entry.loads.choose(names_, now_);
        } else {
            for (std::size_t i = 1; i < Engines; ++i) {
                engine = entry.loads.expectedWait(names_[i], now_) < entry.loads.expectedWait(names_[engine], now_) ? i : engine;
            }
        }
        const bool refused = (control_ == Control::Throttled && entry.throttle.refuse(now_) > 0)
            || (control_ == Control::Threshold && entry.loads.expectedWait(names_[engine], now_) > Deadline / 2);
        const bool accepted = !refused && offer(entry, engine, cost);
        lateRefused_ += late && !accepted ? 1 : 0;
    }

    bool offer(Entry &entry, std::size_t engine, double cost)
    {
        ++offers_[engine];
        const AdmissionResult admitted = agents_[engine].offer({ .account = "a", .rank = Rank::Paying, .cost = cost, .deadline = now_ + Deadline }, now_);
        entry.throttle.note(bool(admitted), now_);
        if (admitted) {
            ++accepted_[engine];
            costs_[engine][admitted.ticket] = cost;
            if (control_ == Control::Throttled) {
                entry.loads.sent(names_[engine], cost, now_);
            }
        }
        return bool(admitted);
    }

    void startOn(std::size_t engine)
    {
        while (const Ticket ticket = agents_[engine].takeExpired(now_)) {
            costs_[engine].erase(ticket);
        }
        while (const Ticket ticket = agents_[engine].startNext(now_)) {
            const double cost = costs_[engine].at(ticket);
            costs_[engine].erase(ticket);
            running_.push({ now_ + static_cast<Micros>(cost * SecondsPerToken * MicrosPerSecond), engine, ticket, cost });
        }
    }

    void tick()
    {
        if (now_ == RestartAt) {
            restart();
        }
        if (now_ >= 20 * MicrosPerSecond && now_ < RestartAt) {
            busy_ += static_cast<double>(running_.size()) / (Engines * Slots) / 20'000.0;
        }
        if (now_ % Step == 0) {
            endStep();
        }
        if (now_ % ReportLag == 0) {
            for (std::size_t i = 0; i < Engines; ++i) {
                for (Entry &entry : entries_) {
                    entry.loads.report(names_[i], delayed_[i], now_ - ReportLag);
                }
                delayed_[i] = { .wait = agents_[i].expectedWait(Rank::Paying, "a", now_), .microsPerToken = SecondsPerToken * MicrosPerSecond / Slots };
            }
        }
    }

    void endStep()
    {
        for (std::size_t i = 0; i < Engines; ++i) {
            if (now_ > 20 * MicrosPerSecond && now_ <= RestartAt) {
                steadyOffers_ += offers_[i];
                accepts_.push_back(accepted_[i]);
            } else if (now_ > RestartAt && now_ <= RestartAt + MicrosPerSecond) {
                herd_ = std::max(herd_, offers_[i]);
            }
        }
        offers_ = {};
        accepted_ = {};
    }

    [[nodiscard]] Figures figures() const
    {
        double sum = 0;
        double squares = 0;
        for (const double n : accepts_) {
            sum += n;
            squares += n * n;
        }
        const double count = static_cast<double>(accepts_.size());
        const double mean = sum / count;
        return { .offers = steadyOffers_ / (Capacity * 20),
                 .goodput = busy_,
                 .swing = std::sqrt(squares / count - mean * mean) / mean,
                 .herd = herd_ / (load_ * Capacity * 0.1 / Engines),
                 .afterSurge = lateRefused_ / lateRequests_ };
    }

    Control control_;
    double load_;
    std::mt19937_64 random_;
    std::vector<Admission<FairOrder>> agents_;
    std::vector<Incarnation> names_;
    std::vector<Entry> entries_;
    std::array<std::map<Ticket, double>, Engines> costs_; ///< Of queued work.
    std::array<LoadReport, Engines> delayed_;
    std::priority_queue<Running> running_;
    std::array<double, Engines> offers_{};
    std::array<double, Engines> accepted_{};
    std::vector<double> accepts_;
    double steadyOffers_ = 0, busy_ = 0, herd_ = 0, lateRequests_ = 0, lateRefused_ = 0;
    Micros now_ = 0;
};

Figures report(const char *name, Control control, double load)
{
    std::vector<Figures> runs;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        runs.push_back(Trial(control, load, seed).run());
    }
    const auto median = [&runs](double Figures::*field) {
        std::sort(runs.begin(), runs.end(), [field](const Figures &a, const Figures &b) { return a.*field < b.*field; });
        return runs[2].*field;
    };
    const Figures f{ median(&Figures::offers), median(&Figures::goodput), median(&Figures::swing), median(&Figures::herd), median(&Figures::afterSurge) };
    BOOST_TEST_MESSAGE(name << " at " << load << "x: offers " << f.offers << " of capacity, goodput " << f.goodput << ", swing " << f.swing << ", herd "
                            << f.herd << ", refused after the surge " << f.afterSurge);
    return f;
}

} // namespace

// Guards against entry processes that stop and start together on the same outdated reports, against useless offers to
// agents, and against a control that leaves capacity unused or goes on refusing after an overload.
BOOST_AUTO_TEST_CASE(theThrottleNeitherOscillatesNorWastes)
{
    for (const double load : { 0.8, 3.0, 10.0 }) {
        const Figures best = report("best reported", Control::BestReported, load);
        const Figures threshold = report("threshold on reports", Control::Threshold, load);
        const Figures throttled = report("throttle", Control::Throttled, load);
        BOOST_TEST(throttled.goodput >= std::min(load, 1.0) * 0.95);
        BOOST_TEST(throttled.offers <= 1.7); // The headroom of 1.2, and more because single processes count few offers.
        BOOST_TEST(throttled.swing <= threshold.swing + 0.05);
        BOOST_TEST(throttled.swing <= best.swing / 2);
        BOOST_TEST(throttled.afterSurge <= 0.01);
        BOOST_TEST(throttled.herd <= best.herd / 2);
        BOOST_TEST(best.offers >= load * 0.9);
    }
}

// Guards against a wait estimate that ignores own work sent since the report, or counts it twice once a report contains it.
BOOST_AUTO_TEST_CASE(ownWorkCountsUntilAReportContainsIt)
{
    UpstreamLoads loads({}, 1);
    loads.report(7, { .wait = 500 * MicrosPerMilli, .microsPerToken = 1'000.0 }, MicrosPerSecond);
    loads.sent(7, 200, MicrosPerSecond + 1);
    BOOST_TEST(loads.expectedWait(7, MicrosPerSecond + 100 * MicrosPerMilli) == 600 * MicrosPerMilli);
    loads.report(7, { .wait = 650 * MicrosPerMilli, .microsPerToken = 1'000.0 }, MicrosPerSecond + 200 * MicrosPerMilli);
    BOOST_TEST(loads.expectedWait(7, MicrosPerSecond + 200 * MicrosPerMilli) == 650 * MicrosPerMilli);
}
