#include <boost/test/unit_test.hpp>

#include "carobhall/reassembly.h"

#include <rapidcheck.h>

#include <numeric>

using namespace Carobhall;

namespace
{

constexpr std::size_t AnswerLength = 40;

/// The unit at an offset. It differs between the attempts, so that data of the wrong attempt is detected.
std::string unitAt(std::uint64_t offset, std::uint32_t attempt)
{
    return std::string(1, static_cast<char>((attempt == 1 ? 'a' : 'A') + offset % 26));
}

std::string concatenate(const std::vector<std::string> &pieces)
{
    return std::accumulate(pieces.begin(), pieces.end(), std::string());
}

struct Delivery {
    std::uint32_t attempt = 1;
    std::uint64_t offset = 0;
    std::uint64_t length = 1;
};

} // namespace

// Guards against answers with pieces that are missing, duplicated, out of order or from another attempt, when chunks arrive in random
// order, overlap, repeat or belong to either attempt.
BOOST_AUTO_TEST_CASE(anyOrderOfChunksGivesTheAnswerOnce)
{
    const bool holds = rc::check([] {
        const auto unit = *rc::gen::element(AnswerUnit::Pieces, AnswerUnit::Bytes);
        const std::size_t maxHeldBytes = *rc::gen::inRange<std::size_t>(0, 2000);
        Reassembly answer({ .unit = unit, .maxHeldBytes = maxHeldBytes });
        answer.beginAttempt(1);
        const auto seeds = *rc::gen::container<std::vector<int>>(120, rc::gen::inRange(0, 100'000));
        const auto secondAttemptAt = *rc::gen::inRange<std::size_t>(0, 120);
        std::string taken;
        std::uint64_t secondAttemptOffset = AnswerLength;
        for (std::size_t i = 0; i < seeds.size(); ++i) {
            if (i == secondAttemptAt) {
                secondAttemptOffset = answer.beginAttempt(2);
            }
            const std::uint32_t current = i >= secondAttemptAt ? 2 : 1;
            const auto seed = static_cast<std::uint64_t>(seeds[i]);
            const Delivery chunk{ .attempt = seed % 5 == 0 ? 3 - current : current, .offset = seed / 5 % AnswerLength, .length = 1 + seed / 200 % 6 };
            std::vector<std::string> pieces;
            for (std::uint64_t k = chunk.offset; k < std::min<std::uint64_t>(chunk.offset + chunk.length, AnswerLength); ++k) {
                pieces.push_back(unitAt(k, chunk.attempt));
            }
            answer.accept(chunk.attempt, chunk.offset, std::move(pieces));
            taken += concatenate(answer.takeReady());
            RC_ASSERT(answer.heldBytes() <= maxHeldBytes);
            RC_ASSERT(taken.size() == answer.nextOffset());
            RC_ASSERT(!answer.complete());
        }
        // A resumed connection sends the remaining units from the next offset.
        const std::uint32_t last = secondAttemptAt < seeds.size() ? 2 : 1;
        RC_ASSERT(answer.end(last, AnswerLength));
        for (std::uint64_t k = answer.nextOffset(); k < AnswerLength; ++k) {
            answer.accept(last, k, { unitAt(k, last) });
        }
        taken += concatenate(answer.takeReady());
        RC_ASSERT(answer.complete());
        RC_ASSERT(taken.size() == AnswerLength);
        for (std::uint64_t k = 0; k < AnswerLength; ++k) {
            RC_ASSERT(taken.substr(k, 1) == unitAt(k, k < secondAttemptOffset ? 1 : 2));
        }
    });
    BOOST_TEST(holds);
}

// Guards against a stream with a gap that is reported as complete, and against an upstream that sends data beyond its final offset.
BOOST_AUTO_TEST_CASE(answerWithGapIsNotComplete)
{
    Reassembly answer;
    answer.beginAttempt(1);
    BOOST_TEST((answer.accept(1, 0, { "x" }) == ChunkResult::Ready));
    BOOST_TEST(concatenate(answer.takeReady()) == "x");
    BOOST_TEST((answer.accept(1, 2, { "z" }) == ChunkResult::Held));
    BOOST_TEST(!answer.end(1, 2));
    BOOST_TEST(!answer.end(2, 3));
    BOOST_TEST(answer.end(1, 3));
    BOOST_TEST((answer.accept(1, 3, { "!" }) == ChunkResult::PastEnd));
    BOOST_TEST(!answer.complete());
    BOOST_TEST((answer.accept(1, 1, { "y" }) == ChunkResult::Ready));
    BOOST_TEST(!answer.complete()); // Not taken yet.
    BOOST_TEST(concatenate(answer.takeReady()) == "yz");
    BOOST_TEST(answer.complete());
    BOOST_TEST((answer.accept(1, 1, { "y" }) == ChunkResult::Duplicate));
    BOOST_TEST(answer.takeReady().empty());
}
