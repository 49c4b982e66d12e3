#include <boost/test/unit_test.hpp>

#include "carobhall/standins.h"

#include <rapidcheck.h>

#include <algorithm>

using namespace Carobhall;
using namespace Carobhall::Standin;

namespace
{

using Kind = EngineOutput::Kind;

constexpr Micros Forever = 1'000 * MicrosPerSecond;

std::string pieces(std::size_t count, char letter = 'p')
{
    return std::string(count * PieceBytes, letter);
}

std::string textOf(const std::vector<EngineOutput> &outputs, EngineHandle handle)
{
    std::string text;
    for (const EngineOutput &output : outputs) {
        if (output.handle == handle && output.kind == Kind::Token) {
            text += output.text;
        }
    }
    return text;
}

std::size_t positionOf(const std::vector<EngineOutput> &outputs, EngineHandle handle, Kind kind)
{
    const auto found = std::find_if(outputs.begin(), outputs.end(), [&](const EngineOutput &o) { return o.handle == handle && o.kind == kind; });
    BOOST_REQUIRE(found != outputs.end());
    return static_cast<std::size_t>(found - outputs.begin());
}

std::size_t cachedPiecesOf(EngineModel &engine, Micros now, const std::string &prompt, std::uint64_t salt)
{
    const auto handle = engine.submit(now, { .id = "probe", .prompt = prompt, .salt = salt, .maxTokens = 1 });
    const auto outputs = engine.advance(now + MicrosPerSecond);
    return outputs[positionOf(outputs, handle.value(), Kind::Started)].cachedPieces;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine)

// Guards against cache hits on pieces that were cached with another salt (another account) or after a different prefix.
BOOST_AUTO_TEST_CASE(hashesCoverSaltAndEverythingBefore)
{
    const std::string prompt = pieces(3) + "rest";
    const auto hashes = pieceHashes(prompt, 7);
    BOOST_TEST(hashes.size() == 3U);
    BOOST_TEST(hashes[0] != hashes[1]);
    BOOST_TEST(pieceHashes(prompt, 8)[0] != hashes[0]);
    BOOST_TEST(pieceHashes(pieces(1, 'q') + pieces(2), 7)[2] != hashes[2]);
    BOOST_TEST(pieceHashes(pieces(2), 7)[1] == hashes[1]);

    EngineModel engine({ .prefillPerPiece = 10, .decodePerToken = 10 }, 1);
    BOOST_TEST(cachedPiecesOf(engine, 0, prompt, 7) == 0U);
    BOOST_TEST(cachedPiecesOf(engine, MicrosPerSecond, prompt, 7) == 3U);
    BOOST_TEST(cachedPiecesOf(engine, 2 * MicrosPerSecond, prompt, 8) == 0U);
}

// Guards against an answer that changes when another engine resumes it in the middle.
BOOST_AUTO_TEST_CASE(continuedAnswersAreTheSame)
{
    BOOST_TEST(rc::check("an answer is the same whole and in two parts", [] {
        const auto prompt = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
        const auto length = *rc::gen::inRange<std::uint64_t>(1, 40);
        const auto cut = *rc::gen::inRange<std::uint64_t>(0, length + 1);
        EngineModel first({}, 1);
        EngineModel second({ .slots = 1, .decodePerToken = 7, .seed = 9 }, 2);
        const auto whole = first.submit(0, { .id = "a", .prompt = prompt, .maxTokens = length });
        const std::string text = textOf(first.advance(Forever), *whole);
        const std::string before = text.substr(0, cut * TokenBytes);
        const auto rest = second.submit(0, { .id = "a", .prompt = prompt, .salt = 5, .maxTokens = length, .resumeFrom = cut, .resumeText = before });
        const auto outputs = second.advance(Forever);
        RC_ASSERT(before + textOf(outputs, *rest) == text);
        RC_ASSERT(outputs.back().kind == Kind::Finished);
        RC_ASSERT(outputs.back().index == length);
    }));
}

// Guards against charging prefill time for cached pieces, which would hide the benefit of cache hits in measurements.
BOOST_AUTO_TEST_CASE(onlyUncachedPiecesCostPrefill)
{
    EngineModel engine({ .prefillPerPiece = 1'000, .decodePerToken = 10 }, 1);
    const auto miss = engine.submit(0, { .id = "a", .prompt = pieces(100), .maxTokens = 1 });
    BOOST_TEST(textOf(engine.advance(100'009), *miss).empty());
    BOOST_TEST(textOf(engine.advance(100'010), *miss).size() == TokenBytes);
    const auto hit = engine.submit(200'000, { .id = "b", .prompt = pieces(100) + pieces(2, 'q'), .maxTokens = 1 });
    BOOST_TEST(textOf(engine.advance(202'009), *hit).empty());
    BOOST_TEST(textOf(engine.advance(202'010), *hit).size() == TokenBytes);
}

// Guards against a cache that exceeds its capacity, and against evicting the start of a prompt before its end.
BOOST_AUTO_TEST_CASE(cacheIsBoundedAndEvictsTheLeastRecentEndsFirst)
{
    EngineModel engine({ .cacheBlocks = 10, .prefillPerPiece = 1, .decodePerToken = 1 }, 1);
    static_cast<void>(cachedPiecesOf(engine, 0, pieces(6, 'a'), 0));
    static_cast<void>(cachedPiecesOf(engine, MicrosPerSecond, pieces(6, 'b'), 0));
    BOOST_TEST(engine.cachedHashes().size() == 10U);
    BOOST_TEST(engine.cachedPrefix(pieceHashes(pieces(6, 'b'), 0)) == 6U);
    BOOST_TEST(engine.cachedPrefix(pieceHashes(pieces(6, 'a'), 0)) == 4U);

    // A longer prompt makes its already cached pieces the most recently used ones.
    EngineModel extended({ .cacheBlocks = 6, .prefillPerPiece = 1, .decodePerToken = 1 }, 1);
    static_cast<void>(cachedPiecesOf(extended, 0, pieces(3, 'a'), 0));
    static_cast<void>(cachedPiecesOf(extended, MicrosPerSecond, pieces(5, 'a'), 0));
    static_cast<void>(cachedPiecesOf(extended, 2 * MicrosPerSecond, pieces(4, 'b'), 0));
    BOOST_TEST(extended.cachedPrefix(pieceHashes(pieces(5, 'a'), 0)) == 2U);
}

// Guards against a high-priority request that waits behind lower-priority ones, either for a slot or for a long prefill.
BOOST_AUTO_TEST_CASE(higherPriorityRequestsRunFirst)
{
    EngineModel queued({ .slots = 1 }, 1);
    queued.submit(0, { .id = "running", .prompt = "x" });
    const auto normal = queued.submit(0, { .id = "normal", .prompt = "x", .priority = 1 });
    const auto urgent = queued.submit(0, { .id = "urgent", .prompt = "x", .priority = 0 });
    auto outputs = queued.advance(Forever);
    BOOST_TEST(positionOf(outputs, *urgent, Kind::Finished) < positionOf(outputs, *normal, Kind::Started));

    EngineModel batched({ .slots = 2, .prefillChunkPieces = 8 }, 1);
    const auto longPrefill = batched.submit(0, { .id = "long", .prompt = pieces(1000), .priority = 1 });
    const auto shortPrefill = batched.submit(1, { .id = "short", .prompt = pieces(1, 'q'), .priority = 0 });
    outputs = batched.advance(Forever);
    BOOST_TEST(positionOf(outputs, *shortPrefill, Kind::Finished) < positionOf(outputs, *longPrefill, Kind::Token));
}

// Guards against a batch that exceeds its slots, and against a cancelled request that keeps its slot.
BOOST_AUTO_TEST_CASE(slotsAreBoundedAndFreedByCancel)
{
    EngineModel engine({ .slots = 2, .maxWaiting = 1 }, 1);
    engine.submit(0, { .id = "a", .prompt = "x", .maxTokens = 1'000 });
    engine.submit(0, { .id = "b", .prompt = "x", .maxTokens = 1'000 });
    const auto third = engine.submit(0, { .id = "c", .prompt = "x", .maxTokens = 1 });
    BOOST_TEST(third.has_value());
    BOOST_TEST(!engine.submit(0, { .id = "d", .prompt = "x" }).has_value());
    BOOST_TEST(engine.load(0).running == 2U);
    BOOST_TEST(engine.load(0).waiting == 1U);
    BOOST_TEST(textOf(engine.advance(MicrosPerSecond), *third).empty());
    BOOST_TEST(engine.cancel(MicrosPerSecond, "a") == 1U);
    const auto outputs = engine.advance(2 * MicrosPerSecond);
    BOOST_TEST(outputs.front().text == "abort");
    BOOST_TEST(textOf(outputs, *third).size() == TokenBytes);
}

// Guards against cache events that do not reproduce the cache contents, and against lost events that leave no gap in the sequence
// numbers, so that a reader cannot detect the loss.
BOOST_AUTO_TEST_CASE(eventsReproduceTheCacheUnlessASequenceNumberIsMissing)
{
    BOOST_TEST(rc::check("events without a gap in their sequence numbers reproduce the cache", [] {
        const auto loss = *rc::gen::element(0.0, 0.2);
        EngineModel engine({ .cacheBlocks = 20, .eventLossShare = loss, .eventDuplicateShare = 0.3, .seed = *rc::gen::arbitrary<std::uint64_t>() }, 1);
        for (Micros now = 0; now < 20 * MicrosPerSecond; now += MicrosPerSecond) {
            const auto length = *rc::gen::inRange<std::size_t>(0, 12);
            engine.submit(now, { .id = "r", .prompt = pieces(length, *rc::gen::inRange('a', 'f')), .maxTokens = 1 });
            static_cast<void>(engine.advance(now + MicrosPerSecond));
        }
        std::set<std::uint64_t> held;
        std::uint64_t last = 0;
        bool gap = false;
        for (const CacheEvent &event : engine.events(Forever, 0)) {
            gap = gap || event.seq > last + 1;
            last = event.seq;
            for (const std::uint64_t hash : event.hashes) {
                if (event.stored) {
                    held.insert(hash);
                } else {
                    held.erase(hash);
                }
            }
        }
        gap = gap || last != engine.lastEvent();
        RC_ASSERT(loss > 0.0 || !gap);
        const auto cached = engine.cachedHashes();
        RC_ASSERT(gap || held == std::set<std::uint64_t>(cached.begin(), cached.end()));
    }));
}

// Guards against load reports and events that ignore their configured delays, so that tests of stale data would see current data.
BOOST_AUTO_TEST_CASE(eventsAndLoadReportsAreDelayed)
{
    EngineModel engine({ .prefillPerPiece = 1, .decodePerToken = 1'000'000, .loadReportLag = 500, .eventDelay = 300 }, 1);
    engine.submit(100, { .id = "a", .prompt = pieces(2) });
    static_cast<void>(engine.advance(102));
    BOOST_TEST(engine.load(599).running == 0U);
    BOOST_TEST(engine.load(600).running == 1U);
    BOOST_TEST(engine.events(401, 0).empty());
    BOOST_TEST(engine.events(402, 0).size() == 1U);
    BOOST_TEST(engine.nextAt().value() == 402);
}

// Guards against an order from a former lease holder that takes effect at an engine that checks fencing tokens, and against cache
// entries that outlive the weights that produced them.
BOOST_AUTO_TEST_CASE(ordersCheckFencingAndClearTheCache)
{
    EngineModel checks({ .weightsLoadTime = 1'000, .checksFencing = true }, 1);
    static_cast<void>(cachedPiecesOf(checks, 0, pieces(4), 0));
    const Micros now = 10 * MicrosPerSecond;
    BOOST_TEST((checks.order(now, { .id = "1", .fencing = 5, .action = "set_version", .value = "v2" }) == OrderResult::Accepted));
    BOOST_TEST((checks.order(now, { .id = "1", .fencing = 5, .action = "set_version", .value = "v2" }) == OrderResult::Repeated));
    BOOST_TEST((checks.order(now, { .id = "2", .fencing = 4, .action = "set_version", .value = "v1" }) == OrderResult::Stale));
    BOOST_TEST((checks.order(now, { .id = "3", .fencing = 6, .action = "explode", .value = "v1" }) == OrderResult::Malformed));
    static_cast<void>(checks.advance(now + 999));
    BOOST_TEST(checks.weightsVersion() == "1");
    BOOST_TEST(checks.loading());
    static_cast<void>(checks.advance(now + 1'000));
    BOOST_TEST(checks.weightsVersion() == "v2");
    BOOST_TEST(checks.cachedHashes().empty());
    BOOST_TEST(!checks.events(now + 1'000, 0).back().stored);

    EngineModel ignores({ .checksFencing = false }, 1);
    BOOST_TEST((ignores.order(0, { .id = "1", .fencing = 5, .action = "set_role", .value = "a" }) == OrderResult::Accepted));
    BOOST_TEST((ignores.order(0, { .id = "2", .fencing = 4, .action = "set_role", .value = "b" }) == OrderResult::Accepted));
    BOOST_TEST(ignores.role() == "b");
}

// Guards against a crash marker without effect, and against a crash that loses the tokens configured to come before it.
BOOST_AUTO_TEST_CASE(markedPromptsCrash)
{
    EngineModel atStart({ .crashMarker = "boom" }, 1);
    atStart.submit(0, { .id = "a", .prompt = "go boom now" });
    BOOST_TEST((atStart.advance(0).back().kind == Kind::Crashed));

    EngineModel later({ .crashMarker = "boom", .crashAfterTokens = 3 }, 1);
    const auto handle = later.submit(0, { .id = "a", .prompt = "go boom now" });
    auto outputs = later.advance(Forever);
    outputs.resize(positionOf(outputs, *handle, Kind::Crashed));
    BOOST_TEST(textOf(outputs, *handle).size() == 3 * TokenBytes);
}

BOOST_AUTO_TEST_SUITE_END()
