#pragma once

// The upstreams that a gateway may call, what is known of their load and health, and the choice among them.
//
//     UpstreamTable table(zoneMap, "zagreb-a");
//     table.update(record, now);                                 // from the platform's list
//     table.noteEngine(address, news, now);                      // from the agent beside an engine
//     if (auto choice = table.choosePlain("guild", tried, now)) { ... }
//     if (auto choice = table.chooseEngine(demand, tried, now)) { ... }
//
// Decisions only: no I/O and no clock.
//
// Index
//   1. Upstream        record, load, health
//   2. Choices
//   3. UpstreamTable

#include "carobhall/gateway_config.h"
#include "carobhall/patience_limit.h"
#include "carobhall/prompt_directory.h"

#include <map>
#include <random>
#include <span>

namespace Carobhall
{

// 1. Upstream -------------------------------------------------------------------------------------

/// What the agent beside a model server reports.
struct EngineLoad {
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint64_t usedTokens = 0;  ///< Memory that cannot be freed.
    std::uint64_t totalTokens = 0; ///< 0: not known.
    std::uint64_t weightsVersion = 0;
    std::uint64_t unreadTokens = 0; ///< Prompt tokens that the other gateways wait for, as far as the agent knows.
    bool closing = false;           ///< It closes soon: what runs there then is disturbed.
    bool closed = false;            ///< It is about to load or is loading weights and takes no new requests.
};

struct Upstream {
    UpstreamNumber number = 0;
    UpstreamRecord record{};
    bool present = true;   ///< In the platform's list.
    Micros vanishedAt = 0; ///< When it left the list.
    bool replaced = false; ///< Another process has its address: it ended, though the list still shows it.

    EngineLoad load{};
    Micros loadAt = 0; ///< 0: the agent has never reported.

    // Counted by this process.
    std::uint32_t inFlight = 0;
    std::uint64_t unreadTokens = 0;   ///< Prompt tokens of its requests that have produced nothing yet.
    std::uint64_t reportedUnread = 0; ///< Value of unreadTokens that the agent was told last.
    std::uint64_t recentTokens = 0;   ///< Memory of requests sent since the last report.
    std::uint32_t failuresInRow = 0;
    Micros avoidUntil = 0;
    double failureShare = 0.0; ///< Moving average over responses, 0 to 1.
    double latency = 0.0;      ///< Moving average of response times, microseconds.

    [[nodiscard]] std::uint64_t weightsVersion() const
    {
        return load.weightsVersion != 0 ? load.weightsVersion : record.weightsVersion;
    }
};

using UpstreamRef = std::shared_ptr<Upstream>;

// 2. Choices --------------------------------------------------------------------------------------

/// What a request for a model server needs.
struct PromptDemand {
    std::string service{};
    std::vector<PromptPart> parts{}; ///< The last one belongs to the request alone.
    std::uint64_t outputTokens = 0;
    std::string isolatedAccount{}; ///< Empty: shares parts with others.
    Micros shortLimit = 0;         ///< Longest wait for the first token in a flood, for the sake of more urgent requests.
    Micros longLimit = 0;          ///< The same in calm times. At least shortLimit.
};

struct EngineChoice {
    UpstreamRef upstream{};
    std::string salt{};
    std::uint64_t weightsVersion = 0;
    std::string saveTo{};            ///< Address of the store that takes what is read; empty: none.
    std::string fetchFrom{};         ///< Address of a holder of more parts than `upstream` holds; empty: none.
    std::uint64_t missingTokens = 0; ///< Shared tokens that the upstream does not hold.
    std::uint64_t rereadTokens = 0;  ///< Of these, tokens that another upstream holds or is reading.
    std::uint64_t readTokens = 0;    ///< Tokens that it is expected to read, after the transfer.
    Micros queue = 0;                ///< Estimated time until the engine begins to read the request's prompt.
    Micros expected = 0;             ///< Estimated time to the first token.
    EngineLoad load{};               ///< What the decision went by.
    Micros loadAge = 0;              ///< Since the agent reported it.
};

enum class RefusalReason : std::uint8_t {
    NoUpstream, ///< None is listed, or all are closed.
    Full,       ///< None has room in time.
};

template<>
struct EnumNames<RefusalReason> {
    static constexpr std::array rows{
        EnumName{ RefusalReason::NoUpstream, "no_upstream" },
        EnumName{ RefusalReason::Full, "full" },
    };
};

/// What an attempt at an upstream came to, for its health.
enum class AttemptResult : std::uint8_t {
    Served,
    Failed,      ///< A server error, a broken or wrong answer, or silence.
    Rejected,    ///< It said that it has not run the request.
    Unreachable, ///< No connection.
    Abandoned,   ///< Given up for a reason that says nothing of the upstream.
};

template<>
struct EnumNames<AttemptResult> {
    static constexpr std::array rows{
        EnumName{ AttemptResult::Served, "served" },       EnumName{ AttemptResult::Failed, "failed" },
        EnumName{ AttemptResult::Rejected, "rejected" },   EnumName{ AttemptResult::Unreachable, "unreachable" },
        EnumName{ AttemptResult::Abandoned, "abandoned" },
    };
};

// 3. UpstreamTable --------------------------------------------------------------------------------

/// Where this process stands, and which region each zone belongs to.
struct Locality {
    std::string zone{};
    std::map<std::string, std::string, std::less<>> regionOfZone{};
};

enum class Distance : std::uint8_t { SameZone, SameRegion, OtherRegion };

/// Thread-safe.
[[nodiscard]] Distance distanceBetween(const Locality &here, std::string_view zone);

/// Not thread-safe.
class UpstreamTable
{
public:
    /// From the platform's pages: a request must not begin on weights that were replaced this long ago.
    static constexpr Micros DefaultWeightsDeadline = 8 * MicrosPerSecond;

    UpstreamTable(Locality locality, std::uint64_t seed, Micros weightsDeadline = DefaultWeightsDeadline);

    void update(UpstreamRecord record);
    /// The newest weights that have been named. Servers that stay on older ones for too long are not used.
    void noteWeightsTarget(std::uint64_t version, Micros now);
    /// Another process answered at the address of \p upstream, or it said that its weights are other ones (\p weightsVersion; 0: it
    /// did not say which).
    void noteReplaced(Upstream &upstream);
    void noteOtherWeights(Upstream &upstream, std::uint64_t weightsVersion, Micros now);
    /// The record left the platform's list.
    void remove(std::string_view id, Micros now);
    /// The agent at \p ip reported. Returns false when no engine is known there.
    bool noteEngine(std::string_view ip, const EngineLoad &load, Micros now);
    void noteCached(std::string_view ip, std::string_view salt, std::string_view partId, bool held, Micros now);
    /// The agent's record of the cache starts anew.
    void clearCached(std::string_view ip);
    /// The store of KV cache that transfers may come from and go to. Replaces what was known of another one.
    void setCacheStore(const Service &store);
    void noteStored(std::string_view salt, std::string_view partId, bool held, Micros now);
    void clearStored();
    /// The model server at \p ip, or nullptr.
    [[nodiscard]] UpstreamRef engineAt(std::string_view ip) const;

    /// \p tried are upstreams that the request has been sent to.
    [[nodiscard]] UpstreamRef choosePlain(const Service &service, std::span<const UpstreamRef> tried, Micros now);
    [[nodiscard]] std::variant<EngineChoice, RefusalReason> chooseEngine(const PromptDemand &demand, const Service &service, std::span<const UpstreamRef> tried,
                                                                         Micros now);

    /// A request was handed to an upstream; \p readTokens and \p memoryTokens are 0 for plain services.
    void began(Upstream &upstream, std::uint64_t readTokens, std::uint64_t memoryTokens);
    /// It produced its first token: what it had to read has been read.
    void firstToken(Upstream &upstream, std::uint64_t readTokens);
    void ended(Upstream &upstream, AttemptResult result, Micros elapsed, Micros now);

    /// The parts of a request are cached at \p upstream now.
    void notePrompt(const Upstream &upstream, std::string_view salt, std::span<const PromptPart> parts, Micros now);
    void noteReading(const Upstream &upstream, std::string_view salt, std::span<const PromptPart> parts, Micros now);

    [[nodiscard]] Distance distanceTo(std::string_view zone) const;
    [[nodiscard]] const std::map<std::string, UpstreamRef, std::less<>> &byId() const;
    [[nodiscard]] std::size_t readyCount(std::string_view service) const;
    [[nodiscard]] const PromptDirectory &directory() const;
    [[nodiscard]] const PatienceLimit &patience() const;

private:
    [[nodiscard]] std::vector<UpstreamRef> candidates(std::string_view service, std::span<const UpstreamRef> tried, Micros now) const;
    [[nodiscard]] bool sameRegion(std::string_view zone, std::string_view other) const;
    [[nodiscard]] double distancePenalty(std::string_view zone) const;
    /// Model servers that are kept free of long prompts: one in five of each zone, at a different place in each zone's list, so
    /// that they do not change weights at the same time. The same in all processes with the same list.
    [[nodiscard]] std::vector<const Upstream *> shortLane(std::string_view service) const;
    /// The upstream of this region that reads \p part first when none has it; the same in all processes of the region.
    [[nodiscard]] std::string homeOf(const PromptPart &part, std::span<const UpstreamRef> among) const;
    struct Fetch;
    [[nodiscard]] Fetch bestFetch(const Upstream &target, std::span<const PartKey> keys, std::span<const std::uint32_t> tokens, std::size_t held,
                                  const EngineTraits &engine) const;

    Locality locality_;
    std::mt19937_64 random_;
    Micros weightsDeadline_;
    std::map<std::string, UpstreamRef, std::less<>> byId_;
    std::vector<UpstreamRef> byNumber_;
    PromptDirectory directory_;
    PatienceLimit patience_; ///< For long prompts.
    UpstreamRef store_;      ///< Holds parts like an upstream, but takes no requests.
    double storeLinkMbps_ = 0.0;
    std::uint64_t weightsTarget_ = 0;
    Micros weightsTargetSince_ = 0;
};

} // namespace Carobhall
