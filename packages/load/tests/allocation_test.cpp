#include <boost/test/unit_test.hpp>

#include "carobhall/admission.h"

#include <cstdlib>
#include <deque>
#include <new>

namespace
{

std::size_t allocationCount = 0;

} // namespace

void *operator new(std::size_t bytes)
{
    ++allocationCount;
    if (void *memory = std::malloc(bytes)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*bytes*/) noexcept
{
    std::free(memory);
}

using namespace Carobhall;

// Guards against memory allocations in the steady state of the queue: none may occur in the second half of the run, when all accounts
// and the maximum number of items have been seen.
BOOST_AUTO_TEST_CASE(steadyStateDoesNotAllocate)
{
    Admission<FairOrder> queue({ .slots = 32, .ranks = { RankSpec{ .floor = 0.5 }, RankSpec{ .floor = 0.2 } }, .reservedSlots = 2 }, 1);
    std::array<std::string, 64> names;
    for (std::size_t i = 0; i < names.size(); ++i) {
        names[i] = "an account with a name that does not fit into a short string " + std::to_string(i);
    }
    std::array<Ticket, 64> running{};
    std::size_t started = 0;
    std::size_t finished = 0;
    std::size_t allocationsAtHalf = 0;
    Random random(1);
    for (int round = 0; round < 20'000; ++round) {
        allocationsAtHalf = round == 10'000 ? allocationCount : allocationsAtHalf;
        const Micros now = (1 + round) * MicrosPerMilli;
        const Rank rank = random() % 2 == 0 ? Rank::Paying : Rank::Free;
        const AdmissionResult admitted = queue.offer({ .account = names[random() % names.size()], .rank = rank, .cost = 20, .deadline = now + MicrosPerSecond },
                                                     now);
        if (admitted && random() % 8 == 0) {
            queue.cancel(admitted.ticket);
        }
        while (queue.takeExpired(now) != 0) { }
        if (started - finished == 32 || random() % 2 == 0) {
            queue.finish(running[finished % running.size()], 20, now);
            finished += finished < started ? 1 : 0;
        }
        while (const Ticket next = queue.startNext(now)) {
            running[started++ % running.size()] = next;
        }
    }
    BOOST_TEST(started > 5'000U);
    BOOST_TEST(allocationCount == allocationsAtHalf);
}
