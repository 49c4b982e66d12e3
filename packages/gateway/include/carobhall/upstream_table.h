#pragma once

// The upstreams that a gateway can call, their load and health as far as this process knows, and the choice of one for a request.
//
//     UpstreamTable table({ .zone = "zagreb-a", .regionOfZone = regionOfZone }, seed);
//     table.update(record);                                      // from the platform's list
//     table.noteEngineLoad(ip, load, now);                       // from the sidecar of a model server
//     if (auto upstream = table.choosePlainUpstream(service, tried, now)) { ... }
//     auto choice = table.chooseEngine(demand, service, tried, now);
//
// An engine is an upstream that serves a model; all others are plain upstreams. Engines prefill the parts of a prompt that they
// do not hold in their KV cache, one prompt after the other.
//
// Decision logic only: no I/O, and the caller passes the time.
//
// Index
//   1. Upstream        record, load, health
//   2. Choices
//   3. UpstreamTable

#include "carobhall/gateway_config.h"
#include "carobhall/prefix_cache_index.h"
#include "carobhall/queue_wait_limit.h"
#include "carobhall/upstream_availability.h"
#include "carobhall/upstream_limits.h"

#include <map>
#include <random>
#include <span>

namespace Carobhall
{

// 1. Upstream -------------------------------------------------------------------------------------

/// The load that the sidecar of a model server reports.
struct EngineLoad {
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint64_t usedTokens = 0;  ///< KV cache memory that cannot be freed.
    std::uint64_t totalTokens = 0; ///< KV cache memory in total; 0: not known.
    std::string model{};           ///< Of `weightsVersion`; empty: not known.
    std::uint64_t weightsVersion = 0;
    /// Prompt tokens that other gateways have sent and that await prefill, as far as the sidecar knows.
    std::uint64_t pendingPrefillTokens = 0;
    bool closing = false; ///< The engine closes soon; requests that are running then are disrupted.
    bool closed = false;  ///< The engine loads weights or is about to, and accepts no new requests.
};

struct Upstream {
    UpstreamNumber number = 0;
    Incarnation process = 0; ///< Identifies the process in messages to other gateways.
    UpstreamRecord record{};
    bool present = true;   ///< The platform's list contains it.
    Micros removedAt = 0;  ///< When it was removed from the list; 0: present.
    bool replaced = false; ///< Another process has its address: this one has ended, even if the list still contains it.

    bool earlierListed = false; ///< The list shows an earlier process under the id, in a copy that lacks this one.

    EngineLoad load{};
    Micros loadAt = 0; ///< When `load` was reported; 0: never.

    // Counted by this process.
    std::uint32_t inFlight = 0;
    std::uint64_t pendingPrefillTokens = 0;   ///< Prompt tokens of this process's requests that await their first token.
    std::uint64_t reportedPrefillTokens = 0;  ///< Value of pendingPrefillTokens last sent to the sidecar.
    std::uint64_t unreportedMemoryTokens = 0; ///< KV cache memory of requests sent since `load` was reported.
    std::uint32_t consecutiveFailures = 0;
    Micros avoidUntil = 0;              ///< Until then the upstream is chosen only if no other one is available.
    double failureShare = 0.0;          ///< Moving average over responses, 0 to 1.
    double latency = 0.0;               ///< Moving average of response times in microseconds.
    std::optional<double> namedLimit{}; ///< Requests a second from all gateways together, as its last answer to this process named it.

    [[nodiscard]] std::uint64_t weightsVersion() const
    {
        return load.weightsVersion != 0 ? load.weightsVersion : record.weightsVersion;
    }
    /// The model of the weights; empty: not known.
    [[nodiscard]] const std::string &model() const
    {
        return load.model.empty() ? record.model : load.model;
    }
};

using UpstreamRef = std::shared_ptr<Upstream>;

// 2. Choices --------------------------------------------------------------------------------------

/// The requirements of a request for a model server.
struct PromptDemand {
    std::string service{};
    std::vector<PromptPart> parts{}; ///< The last one is unique to the request; the others may be shared with other requests.
    std::uint64_t outputTokens = 0;  ///< Maximum.
    std::string cacheScope{};        ///< See CacheScopes.
    Micros overloadWaitLimit = 0;    ///< Maximum time to the first token under overload, in favour of more urgent requests.
    Micros normalWaitLimit = 0;      ///< Maximum time to the first token otherwise; at least overloadWaitLimit.
};

struct EngineChoice {
    UpstreamRef upstream{};
    std::string salt{};
    std::uint64_t weightsVersion = 0;
    std::string saveTo{};                     ///< Address of the KV cache store that prefilled parts are saved to; empty: none.
    std::string fetchFrom{};                  ///< Address of an upstream that holds more parts than `upstream` does; empty: none.
    std::uint64_t uncachedTokens = 0;         ///< Tokens of shared parts that the upstream does not hold.
    std::uint64_t duplicatePrefillTokens = 0; ///< Part of uncachedTokens that is prefilled although another upstream holds or prefills it.
    std::uint64_t prefillTokens = 0;          ///< Tokens that the upstream prefills after the transfer from `fetchFrom`.
    Micros queueDelay = 0;                    ///< Estimated time until the engine starts to prefill the request's prompt.
    Micros timeToFirstToken = 0;              ///< Estimate.
    EngineLoad load{};                        ///< The reported load on which the choice is based.
    Micros loadAge = 0;                       ///< Time since `load` was reported.
};

enum class RefusalReason : std::uint8_t {
    NoUpstream, ///< No upstream is listed, or all are closed.
    Full,       ///< No upstream can start the request within the wait limit.
    Limited,    ///< The upstreams that could are at the limits that they have named.
    Paused,     ///< All upstreams have asked for a pause.
};

template<>
struct EnumNames<RefusalReason> {
    static constexpr std::array rows{
        EnumName{ RefusalReason::NoUpstream, "no_upstream" },
        EnumName{ RefusalReason::Full, "full" },
        EnumName{ RefusalReason::Limited, "limited" },
        EnumName{ RefusalReason::Paused, "paused" },
    };
};

/// The result of an attempt at an upstream, for the upstream's health.
enum class AttemptResult : std::uint8_t {
    Served,
    Failed,      ///< A broken or invalid response, or no response in time.
    Rejected,    ///< The upstream states that it has not run the request.
    Unreachable, ///< No connection could be established.
    Abandoned,   ///< Cancelled for a reason that is unrelated to the upstream.
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

/// The zone of this process, and the region of each zone.
struct Locality {
    std::string zone{};
    std::map<std::string, std::string, std::less<>> regionOfZone{};
};

enum class Distance : std::uint8_t { SameZone, SameRegion, OtherRegion };

/// Thread-safe.
[[nodiscard]] Distance distanceBetween(const Locality &local, std::string_view zone);

/// Not thread-safe.
class UpstreamTable
{
public:
    /// The platform requires that no request starts on weights that were replaced this long ago.
    static constexpr Micros DefaultWeightsDeadline = 8 * MicrosPerSecond;

    /// \p gateway is the name of this process.
    UpstreamTable(Locality locality, std::uint64_t seed, Micros weightsDeadline = DefaultWeightsDeadline, std::string gateway = {});

    /// Adds or replaces a record of the platform's list. A process that was draining once stays so, whatever later records say.
    /// An entry that may be copied does not replace a process that started later, neither that of its id nor the one at its address.
    void update(UpstreamRecord record, Micros now = 0);
    /// The platform's list contains an entry that has not changed, except for its sequence.
    void noteUnchanged(const UpstreamRecord &record);
    /// A rollout of weights \p version of \p model has begun. Engines that keep older weights of that model for too long are no longer
    /// chosen. Versions of different models are not comparable. Ignored unless \p version is the newest of the model so far.
    void noteWeightsTarget(std::string_view model, std::uint64_t version, Micros now);
    /// Another process answered at the address of \p upstream.
    void noteReplaced(Upstream &upstream);
    /// \p upstream rejected a request because it has other weights than expected; \p weightsVersion is 0 if it did not say which.
    void noteWeightsMismatch(Upstream &upstream, std::uint64_t weightsVersion, Micros now);
    /// The record was removed from the platform's list.
    void remove(std::string_view id, Micros now);
    /// The sidecar at \p ip reported its engine's load. Returns false when no upstream is known there.
    bool noteEngineLoad(std::string_view ip, const EngineLoad &load, Micros now);
    /// The sidecar at \p ip reported that its engine has cached (\p held) or evicted a prompt part.
    void noteCachedPart(std::string_view ip, std::string_view salt, std::string_view partId, bool held, Micros now);
    /// The sidecar at \p ip has cleared its record of the engine's cache.
    void clearCachedParts(std::string_view ip);
    /// Sets the KV cache store for transfers. Entries of a previous store are removed.
    void setCacheStore(const Service &store);
    /// The KV cache store has added (\p held) or evicted a prompt part.
    void noteStoredPart(std::string_view salt, std::string_view partId, bool held, Micros now);
    void clearStoredParts();
    /// The listed upstream at \p ip that started last, or nullptr.
    [[nodiscard]] UpstreamRef engineAt(std::string_view ip) const;

    /// The plain upstream with the lowest cost, or nullptr. \p tried are the upstreams that the request has already been sent to. Takes a
    /// permit if the upstream has named a limit, and passes over those of which this gateway has none.
    [[nodiscard]] UpstreamRef choosePlainUpstream(const Service &service, std::span<const UpstreamRef> tried, Micros now);
    /// The engine with the lowest cost, as for choosePlainUpstream().
    [[nodiscard]] std::variant<EngineChoice, RefusalReason> chooseEngine(const PromptDemand &demand, const Service &service, std::span<const UpstreamRef> tried,
                                                                         Micros now);

    /// Time until the first upstream of \p service that has named a limit takes another request of this gateway.
    [[nodiscard]] Micros timeToPermit(std::string_view service, Micros now);
    [[nodiscard]] UpstreamLimits &limits();

    /// Which processes take requests. Those that do not are never chosen.
    [[nodiscard]] UpstreamAvailability &availability();
    /// The known process of upstream \p id, if it crashed: it was not shutting down, and the list shows a process that started later, at
    /// \p startedAtMs, or its entry was removed (empty). An earlier process, and the removal of its entry, come from a copy.
    [[nodiscard]] UpstreamRef crashedProcess(std::string_view id, std::optional<std::int64_t> startedAtMs) const;
    /// Whether the platform's list or the process itself has announced its shutdown, or the list has lacked its entry and shows a copy of it.
    [[nodiscard]] bool isShuttingDown(const Upstream &upstream) const;
    /// Whether requests may be sent to \p upstream if the platform lists it.
    [[nodiscard]] bool isUsable(const Upstream &upstream, Micros now) const;
    /// Time until the first of the upstreams of \p service that have asked for a pause takes requests again; 0 if one takes them now, or if
    /// none is paused.
    [[nodiscard]] Micros timeToAvailable(std::string_view service, Micros now) const;
    /// The process at \p ip that has started at \p startedAtMs (Unix time) shuts down. Returns the upstream if that was not known, or nullptr.
    UpstreamRef noteEngineLeaving(std::string_view ip, std::int64_t startedAtMs, Micros now);

    /// A request was sent to \p upstream. \p prefillTokens and \p memoryTokens are 0 for plain upstreams.
    void noteAttemptStarted(Upstream &upstream, std::uint64_t prefillTokens, std::uint64_t memoryTokens);
    /// The request produced its first token, or ended without one: its \p prefillTokens are no longer pending.
    void noteFirstToken(Upstream &upstream, std::uint64_t prefillTokens);
    void noteAttemptEnded(Upstream &upstream, AttemptResult result, Micros elapsed, Micros now);

    /// \p upstream has prefilled and cached the parts of a request.
    void notePromptCached(const Upstream &upstream, std::string_view salt, std::span<const PromptPart> parts, Micros now);
    /// \p upstream prefills those parts of a request that it does not hold.
    void notePrefillStarted(const Upstream &upstream, std::string_view salt, std::span<const PromptPart> parts, Micros now);

    [[nodiscard]] Distance distanceTo(std::string_view zone) const;
    [[nodiscard]] const std::map<std::string, UpstreamRef, std::less<>> &byId() const;
    /// Increases with each change of the list of upstreams.
    [[nodiscard]] std::uint64_t revision() const;
    /// Number of listed and running upstreams that do not shut down, of \p service; of all services when it is empty.
    [[nodiscard]] std::size_t readyCount(std::string_view service) const;
    [[nodiscard]] const PrefixCacheIndex &cacheIndex() const;
    [[nodiscard]] const QueueWaitLimit &queueWaitLimit() const;

private:
    /// An entry that expired while the platform's list was unavailable returns within two seconds if the upstream is alive.
    static constexpr Micros RemovalGracePeriod = 2 * MicrosPerSecond;

    /// The upstream with the lowest cost, whatever limits it has named.
    [[nodiscard]] UpstreamRef cheapestPlainUpstream(const Service &service, std::span<const UpstreamRef> tried, Micros now);
    [[nodiscard]] std::variant<EngineChoice, RefusalReason> cheapestEngine(const PromptDemand &demand, const Service &service,
                                                                           std::span<const UpstreamRef> tried, Micros now);
    void removeFromIpIndex(const UpstreamRef &upstream);
    /// Upstreams of \p service that are not in \p tried. If none is healthy, the upstreams to be avoided; if there are none of these
    /// either, those that were removed within the grace period.
    [[nodiscard]] std::vector<UpstreamRef> candidates(std::string_view service, std::span<const UpstreamRef> tried, Micros now) const;
    [[nodiscard]] bool sameRegion(std::string_view zone, std::string_view other) const;
    [[nodiscard]] double distancePenalty(std::string_view zone) const;
    /// Engines that are reserved for short prompts: one in five of each zone. The position in the zone's list differs between zones, so
    /// that the reserved engines do not change weights at the same time. All processes with the same list choose the same engines.
    [[nodiscard]] std::vector<const Upstream *> shortPromptEngines(std::string_view service) const;
    /// Id of the engine in this region that prefills \p part when none holds it, by rendezvous hashing. All processes of the region choose
    /// the same one.
    [[nodiscard]] std::string prefillOwner(const PromptPart &part, std::span<const UpstreamRef> among) const;
    struct Transfer;
    /// The transfer to \p target that provides most parts beyond the first \p held, which the target holds itself.
    [[nodiscard]] Transfer bestTransfer(const Upstream &target, std::span<const PartKey> keys, std::span<const std::uint32_t> tokens, std::size_t held,
                                        const EngineTraits &engine) const;

    /// The newest weights of a model.
    struct WeightsTarget {
        std::uint64_t version = 0;
        Micros since = 0; ///< When this process has learned of it.
    };
    /// How the weights of an engine compare with the target of its model.
    enum class WeightsAge : std::uint8_t {
        Current,
        Old,     ///< Older ones, within the time for the rollout.
        Expired, ///< Older ones, beyond that time.
    };
    [[nodiscard]] WeightsAge weightsAge(const Upstream &engine, Micros now) const;

    Locality locality_;
    std::mt19937_64 random_;
    Micros weightsDeadline_;
    std::map<std::string, UpstreamRef, std::less<>> byId_;
    std::vector<UpstreamRef> byNumber_;
    NameMap<std::vector<UpstreamRef>> byIp_; ///< The upstreams of byId_ by the IP of their address.
    std::uint64_t revision_ = 0;
    PrefixCacheIndex cacheIndex_;
    UpstreamLimits limits_;
    UpstreamAvailability availability_;
    QueueWaitLimit queueWaitLimit_; ///< Follows the queue delays of long prompts.
    UpstreamRef store_;             ///< The KV cache store. It holds parts like an upstream but is never chosen for requests.
    double storeLinkMbps_ = 0.0;
    std::map<std::string, WeightsTarget, std::less<>> weightsTargets_; ///< By model.
};

} // namespace Carobhall
