#define BOOST_TEST_MODULE load
#include <boost/test/unit_test.hpp>

#include "carobhall/admission.h"

#include <rapidcheck.h>

using namespace Carobhall;

namespace
{

constexpr std::array<RankSpec, RankCount> Ranks{ RankSpec{ .floor = 0.5 }, RankSpec{ .floor = 0.2 } };

/// One random action on the queue.
struct Step {
    int action = 0; ///< 0-3 offer, 4 cancel, 5 correct the cost, 6-8 finish.
    int account = 0;
    bool free = false;
    bool exclusive = false;
    int cost = 1;
    int pick = 0;    ///< Selects a ticket; also the deadline of an offer, in 10 ms.
    int pauseMs = 0; ///< Before the step.
};

rc::Gen<Step> anyStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::action, rc::gen::inRange(0, 9)), rc::gen::set(&Step::account, rc::gen::inRange(0, 6)),
                                rc::gen::set(&Step::free), rc::gen::set(&Step::exclusive, rc::gen::map(rc::gen::inRange(0, 12), [](int n) { return n == 0; })),
                                rc::gen::set(&Step::cost, rc::gen::inRange(1, 400)), rc::gen::set(&Step::pick, rc::gen::inRange(0, 1000)),
                                rc::gen::set(&Step::pauseMs, rc::gen::inRange(0, 300)));
}

std::ostream &operator<<(std::ostream &out, const Step &s)
{
    return out << '{' << s.action << ' ' << s.account << ' ' << s.free << ' ' << s.exclusive << ' ' << s.cost << ' ' << s.pick << ' ' << s.pauseMs << '}';
}

/// Applies steps to a queue and asserts the invariants after each of them.
template<typename Order>
class Checker
{
public:
    explicit Checker(const AdmissionOptions &options)
        : slots_(options.slots)
        , queue_(options, 1)
    {
    }

    void apply(const Step &step)
    {
        now_ += step.pauseMs * MicrosPerMilli;
        if (step.action < 4) {
            offer(step);
        } else if (step.action == 4 && !waiting_.empty()) {
            const Ticket ticket = pick(waiting_, step.pick);
            RC_ASSERT(queue_.cancel(ticket));
            RC_ASSERT(!queue_.cancel(ticket));
            removeTicket(waiting_, ticket);
        } else if (step.action == 5 && !waiting_.empty()) {
            queue_.correctCost(pick(waiting_, step.pick), step.cost);
        } else if (!running_.empty()) {
            const Ticket ticket = pick(running_, step.pick);
            RC_ASSERT(!queue_.cancel(ticket));
            queue_.finish(ticket, step.cost, now_);
            removeTicket(running_, ticket);
        }
        expireAndStart();
    }

    void drain()
    {
        for (int i = 0; !running_.empty() || !waiting_.empty(); ++i) {
            RC_ASSERT(i < 10'000);
            apply({ .action = 6, .pauseMs = 10 });
        }
        RC_ASSERT(queue_.nextDeadline() == 0);
    }

private:
    void offer(const Step &step)
    {
        const std::string account = "account" + std::to_string(step.account);
        const Work work{ .account = account,
                         .rank = step.free ? Rank::Free : Rank::Paying,
                         .share = 1.0 + step.account % 3,
                         .cost = double(step.cost),
                         .deadline = now_ + Micros{ 10 } * step.pick * MicrosPerMilli,
                         .exclusive = step.exclusive };
        if (const AdmissionResult admitted = queue_.offer(work, now_)) {
            RC_ASSERT(deadlineByTicket_.insert({ admitted.ticket, work.deadline }).second);
            waiting_.push_back(admitted.ticket);
        } else {
            RC_ASSERT(admitted.retryAfter > 0);
        }
    }

    /// Removes expired work and starts all work that may start. Afterwards no slot may be free while work waits.
    void expireAndStart()
    {
        while (const Ticket ticket = queue_.takeExpired(now_)) {
            RC_ASSERT(deadlineByTicket_.at(ticket) < now_);
            removeTicket(waiting_, ticket);
        }
        while (const Ticket ticket = queue_.startNext(now_)) {
            RC_ASSERT(deadlineByTicket_.at(ticket) >= now_);
            removeTicket(waiting_, ticket);
            running_.push_back(ticket);
        }
        RC_ASSERT(queue_.violation() == "");
        RC_ASSERT(queue_.running() == running_.size());
        RC_ASSERT(running_.size() <= slots_);
        // The queue is work-conserving: while work waits, the upstream is never idle.
        RC_ASSERT(waiting_.empty() || !running_.empty());
        if (!hasExclusiveWork_) {
            RC_ASSERT(waiting_.empty() || running_.size() == slots_);
        }
    }

    static Ticket pick(const std::vector<Ticket> &from, int n)
    {
        return from[static_cast<std::size_t>(n) % from.size()];
    }

    static void removeTicket(std::vector<Ticket> &from, Ticket ticket)
    {
        const auto found = std::find(from.begin(), from.end(), ticket);
        RC_ASSERT(found != from.end());
        from.erase(found);
    }

public:
    bool hasExclusiveWork_ = false;

private:
    std::size_t slots_;
    Admission<Order> queue_;
    Micros now_ = 1;
    std::map<Ticket, Micros> deadlineByTicket_; ///< Of all tickets issued so far.
    std::vector<Ticket> waiting_;
    std::vector<Ticket> running_;
};

template<typename Order>
bool holdsInvariants()
{
    return rc::check([] {
        Checker<Order> checker({ .slots = *rc::gen::inRange<std::uint32_t>(1, 5), .ranks = Ranks });
        const auto steps = *rc::gen::container<std::vector<Step>>(200, anyStep());
        checker.hasExclusiveWork_ = std::any_of(steps.begin(), steps.end(), [](const Step &step) { return step.exclusive; });
        for (const Step &step : steps) {
            checker.apply(step);
        }
        checker.drain();
    });
}

/// Serves \p demands from one slot with a constant backlog of each account. Returns the tokens that each account was served.
template<typename Order>
std::map<std::string, double> serveBacklog(const std::vector<Work> &demands, int rounds, double trueCostFactor = 1.0)
{
    Admission<Order> queue({ .slots = 1, .ranks = Ranks, .refuseEarly = false }, 1);
    std::map<Ticket, Work> works;
    std::map<std::string, double> served;
    const auto offer = [&](const Work &work) { works[queue.offer(work, 1).ticket] = work; };
    for (const Work &work : demands) {
        for (int i = 0; i < 4; ++i) {
            offer(work);
        }
    }
    for (int i = 0; i < rounds; ++i) {
        const Ticket ticket = queue.startNext(1);
        const Work work = works[ticket];
        // Only the estimates of the first account are wrong.
        const double trueCost = work.cost * (work.account == demands[0].account ? trueCostFactor : 1.0);
        served[std::string(work.account)] += trueCost;
        queue.finish(ticket, trueCost, 1);
        offer(work);
    }
    return served;
}

} // namespace

// Guards against work that is lost or ends twice, cancellation of running work, idle slots while work waits, and other work that runs
// beside exclusive work. Random offers, cancellations, cost corrections and completions are applied to each order policy.
BOOST_AUTO_TEST_CASE(randomStepsKeepInvariants)
{
    BOOST_TEST(holdsInvariants<FairOrder>());
    BOOST_TEST(holdsInvariants<FifoOrder>());
    BOOST_TEST(holdsInvariants<PriorityOrder>());
}

// Guards against a surge of paying work that starves free work, and against free work that takes more than its floor from paying work.
BOOST_AUTO_TEST_CASE(freeRankGetsItsFloorAndNoMore)
{
    const bool holds = rc::check([] {
        const double payingCost = *rc::gen::inRange(10, 500);
        const double freeCost = *rc::gen::inRange(10, 500);
        auto served = serveBacklog<FairOrder>({ { .account = "paying", .rank = Rank::Paying, .cost = payingCost }, { .account = "free", .cost = freeCost } },
                                              3000);
        const double share = served["free"] / (served["free"] + served["paying"]);
        RC_ASSERT(share >= 0.19);
        RC_ASSERT(share <= 0.23);
    });
    BOOST_TEST(holds);
}

// Guards against an account that gets more than its share by sending more or larger requests, or requests with wrong cost estimates.
BOOST_AUTO_TEST_CASE(accountsShareByWeightAndTrueCost)
{
    const bool holds = rc::check([] {
        const double factor = *rc::gen::inRange(1, 8);
        const double small = *rc::gen::inRange(10, 100);
        const double large = *rc::gen::inRange(100, 1000);
        auto served = serveBacklog<FairOrder>(
            { { .account = "wrong", .cost = small }, { .account = "large", .cost = large }, { .account = "double", .share = 2.0, .cost = small } }, 5000,
            factor);
        const double total = served["wrong"] + served["large"] + served["double"];
        RC_ASSERT(std::abs(served["wrong"] / total - 0.25) < 0.02);
        RC_ASSERT(std::abs(served["large"] / total - 0.25) < 0.02);
        RC_ASSERT(std::abs(served["double"] / total - 0.5) < 0.02);
    });
    BOOST_TEST(holds);
}

// Guards against a queue that is bounded by length instead of waiting time: work is refused if, and only if, it cannot start by its
// deadline.
BOOST_AUTO_TEST_CASE(refusesWorkThatCannotMeetItsDeadline)
{
    Admission<FairOrder> queue({ .slots = 1, .ranks = Ranks, .tokensPerSlotSecond = 100.0 }, 1);
    const Micros deadline = 1 + 3 * MicrosPerSecond;
    const Work work{ .account = "a", .rank = Rank::Paying, .cost = 100, .deadline = deadline };
    BOOST_TEST(bool(queue.offer(work, 1)));
    BOOST_TEST((queue.startNext(1) != 0));
    BOOST_TEST(bool(queue.offer(work, 1))); // Waits 1 s.
    BOOST_TEST(bool(queue.offer(work, 1))); // Waits 2 s.
    BOOST_TEST(bool(queue.offer(work, 1))); // Waits 3 s.
    const AdmissionResult refused = queue.offer(work, 1);
    BOOST_TEST(!bool(refused));
    BOOST_TEST((refused.error == Errc::DeadlineUnreachable));
    BOOST_TEST(refused.retryAfter >= MicrosPerSecond);
    // An item of another account would start before the second waiting item of this account.
    BOOST_TEST(queue.expectedWait(Rank::Paying, "b", 1) < queue.expectedWait(Rank::Paying, "a", 1));
}

// Guards against refused callers that all return at the same time.
BOOST_AUTO_TEST_CASE(retryAfterSpreadsRefusedCallers)
{
    Admission<FairOrder> queue({ .slots = 1, .ranks = Ranks, .tokensPerSlotSecond = 100.0 }, 1);
    const Work work{ .account = "a", .rank = Rank::Paying, .cost = 100, .deadline = 1 + MicrosPerSecond };
    std::vector<int> perSecond(60);
    for (int i = 0; i < 20; ++i) {
        if (const AdmissionResult admitted = queue.offer(work, 1); !admitted) {
            ++perSecond.at(static_cast<std::size_t>(admitted.retryAfter / MicrosPerSecond));
        }
        queue.startNext(1);
    }
    BOOST_TEST(*std::max_element(perSecond.begin(), perSecond.end()) <= 4);
}

// Guards against an upstream that is overloaded after a document change has reduced its slots: running work counts against the new limit.
BOOST_AUTO_TEST_CASE(reducedSlotsTakeEffectAsWorkEnds)
{
    Admission<FairOrder> queue({ .slots = 2, .ranks = Ranks }, 1);
    for (int i = 0; i < 4; ++i) {
        queue.offer({ .account = "a" }, 1);
    }
    const Ticket first = queue.startNext(1);
    queue.startNext(1);
    queue.configure(1, Ranks);
    queue.finish(first, 1, 2);
    BOOST_TEST(queue.startNext(2) == 0);
}

// Guards against free work that occupies all slots, so that paying work has to wait for a running request to end, and against slots
// that stay reserved although there is no paying work any more.
BOOST_AUTO_TEST_CASE(freeWorkLeavesReservedSlotsWhilePayingWorkIsPresent)
{
    Admission<FairOrder> queue({ .slots = 8, .ranks = Ranks, .reservedSlots = 2 }, 1);
    const Work paying{ .account = "p", .rank = Rank::Paying, .cost = 100 };
    queue.offer(paying, 1);
    const Ticket first = queue.startNext(1);
    for (int i = 0; i < 20; ++i) {
        queue.offer({ .account = "f", .cost = 100 }, 1);
    }
    while (queue.startNext(1) != 0) { }
    BOOST_TEST(queue.running() == 6U);
    BOOST_TEST(queue.expectedWait(Rank::Paying, "p", 1) == 0);
    BOOST_TEST(queue.expectedWait(Rank::Free, "f", 1) > 0);
    const Micros endedAt = 2 * MicrosPerSecond;
    queue.finish(first, 100, endedAt);
    BOOST_TEST(bool(queue.offer(paying, endedAt)));
    while (queue.startNext(endedAt) != 0) { }
    BOOST_TEST(queue.running(Rank::Paying) == 1U);
    BOOST_TEST(queue.running() == 6U);

    const Micros later = 30 * MicrosPerSecond;
    BOOST_TEST(queue.expectedWait(Rank::Free, "f", later) > 0);
    while (queue.startNext(later) != 0) { }
    BOOST_TEST(queue.running() == 8U);
}

// Guards against free work that gains precedence from bursts of paying work although it already runs on more slots than its floor.
BOOST_AUTO_TEST_CASE(freeWorkAboveItsFloorHasNoPrecedence)
{
    Admission<FairOrder> queue({ .slots = 8, .ranks = Ranks, .refuseEarly = false }, 1);
    const Work paying{ .account = "p", .rank = Rank::Paying, .cost = 100 };
    for (int i = 0; i < 20; ++i) {
        queue.offer({ .account = "f", .cost = 100 }, 1);
    }
    for (int i = 0; i < 5; ++i) {
        queue.startNext(1);
    }
    for (int i = 0; i < 200; ++i) {
        queue.offer(paying, 1);
        queue.offer(paying, 1);
        const Ticket ticket = queue.startNext(1);
        BOOST_REQUIRE(queue.running(Rank::Free) == 5U);
        queue.finish(ticket, 100, 1);
    }
}
