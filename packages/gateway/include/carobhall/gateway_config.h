#pragma once

// The configuration of the gateways and the records of upstreams.
//
// The adapter in platform/ decodes both. Values of type Micros are in microseconds; the names of other quantities end with their
// unit.
//
// Index
//   1. Configuration   routes, services, client accounts, limits
//   2. Upstreams       one server process of a service
//   3. RouteTable      a configuration with indexes for look-ups

#include "carobhall/base.h"
#include "carobhall/cache_scopes.h"

#include <unordered_map>

namespace Carobhall
{

// 1. Configuration --------------------------------------------------------------------------------

/// Whether the requests of a route may be retried.
enum class RequestKind : std::uint8_t {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs at most once per attempt of a caller.
    Streaming,     ///< The response is an event stream; retryable only if Route::resumable is set.
};

template<>
struct EnumNames<RequestKind> {
    static constexpr std::array rows{
        EnumName{ RequestKind::Idempotent, "idempotent" },
        EnumName{ RequestKind::NonIdempotent, "non_idempotent" },
        EnumName{ RequestKind::Streaming, "streaming" },
    };
};

/// A service and its share of a route's requests.
struct RouteTarget {
    std::string service{};
    double weight = 1.0;
};

struct Route {
    std::string name{};
    std::string host{};
    std::string pathPrefix{}; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::NonIdempotent;
    bool resumable = false;        ///< A broken stream may resume at another upstream.
    Micros timeout = 0;            ///< Maximum duration of a request.
    Micros targetLatency = 0;      ///< Target for the time to the response, or to the first event of a stream.
    Micros targetGap = 0;          ///< Target for the maximum time between two events of a stream.
    std::uint32_t priority = 0;    ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Maximum number of upstreams that one attempt of a caller is sent to.
    bool needsKey = true;
    bool carriesPrompt = false; ///< Requests contain a model and a list of prompt parts.
    std::vector<RouteTarget> targets{};

    /// Whether a request may be sent again after it may have run.
    [[nodiscard]] bool isRetryable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && resumable);
    }
};

/// Capacities of a model server; the same for all servers of a service.
struct EngineTraits {
    std::uint32_t slots = 1;       ///< Maximum batch size in requests.
    std::uint64_t cacheTokens = 0; ///< KV cache memory, shared by running requests and cached prompt parts.
    double bytesPerToken = 0.0;    ///< KV cache size per token.
    double linkMbps = 0.0;         ///< Bandwidth for transfers of KV cache.
    std::vector<std::string> models{};
};

struct Service {
    std::string name{};
    std::string healthPath{};
    std::uint32_t maxConnections = 0;     ///< Per upstream, from all callers together; 0: unlimited.
    std::optional<EngineTraits> engine{}; ///< Set for model servers.
    std::string cacheStoreAddress{};      ///< Set only for a KV cache store, which accepts no callers' requests.
    std::string cacheStoreZone{};
    double cacheStoreLinkMbps = 0.0;
};

/// What the quota of an account counts.
enum class QuotaUnit : std::uint8_t {
    Requests,
    Tokens, ///< Of the prompt and the most that may be generated.
};

template<>
struct EnumNames<QuotaUnit> {
    static constexpr std::array rows{
        EnumName{ QuotaUnit::Requests, "requests" },
        EnumName{ QuotaUnit::Tokens, "tokens" },
    };
};

/// How much all gateways together may send to upstreams for an account.
struct AccountQuota {
    double perSecond = 0.0; ///< Above 0.
    double burst = 0.0;     ///< Beyond the rate, at once.
    QuotaUnit unit = QuotaUnit::Requests;
    double plainTokens = 1.0; ///< Cost of a request that names no tokens, if the unit is tokens.

    bool operator==(const AccountQuota &) const = default;
};

struct Account {
    std::string name{};
    std::vector<std::string> keys{};
    std::optional<std::uint32_t> priority{}; ///< Overrides the priority of the route.
    bool isolated = false;                   ///< Does not share cached prompt parts with other accounts.
    std::optional<AccountQuota> quota{};     ///< Empty: unlimited.
};

struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = std::uint64_t{ 4 } << 20U;
    Micros headerTimeout = 3 * MicrosPerSecond;
    Micros idleTimeout = 15 * MicrosPerSecond;
    bool operator==(const CallerLimits &) const = default;
};

struct GatewayConfig {
    std::uint64_t version = 0; ///< 0: no configuration has arrived.
    std::vector<Route> routes{};
    std::vector<Service> services{};
    std::vector<Account> accounts{};
    CallerLimits limits{};
    std::string text{}; ///< The JSON document, to forward to peers.
};

// 2. Upstreams ------------------------------------------------------------------------------------

struct UpstreamRecord {
    std::string id{};
    std::string service{};
    std::string address{}; ///< "ip:port".
    std::string zone{};
    bool draining = false;
    std::uint32_t slots = 1;
    std::int64_t startedAtMs = 0;     ///< Unix time; distinguishes successive processes with the same id.
    std::string model{};              ///< Of `weightsVersion`; empty for plain upstreams.
    std::uint64_t weightsVersion = 0; ///< 0 for plain upstreams.
    std::uint64_t sequence = 0;       ///< Number of the report of the process that the entry shows; starts anew with each process.
    /// The entry may come from the copy that the platform was restored from, so that what it says may be past.
    bool mayBeCopied = false;
};

// 3. RouteTable -----------------------------------------------------------------------------------

struct NameHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): the standard library requires this name.
    std::size_t operator()(std::string_view name) const
    {
        return std::hash<std::string_view>{}(name);
    }
};

template<typename Value>
using NameMap = std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

/// A configuration with indexes by host and API key. Immutable; a request uses the table that was current when it arrived.
class RouteTable
{
public:
    explicit RouteTable(GatewayConfig config);

    [[nodiscard]] const GatewayConfig &config() const;
    /// The route of \p host with the longest path prefix that matches \p target, or nullptr. Thread-safe.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view target) const;
    /// The account with the API key \p key, or nullptr. Thread-safe.
    [[nodiscard]] const Account *accountOf(std::string_view key) const;
    /// The service with this name, or nullptr. Thread-safe.
    [[nodiscard]] const Service *service(std::string_view name) const;
    /// The first KV cache store, or nullptr. Thread-safe.
    [[nodiscard]] const Service *cacheStore() const;
    /// Thread-safe.
    [[nodiscard]] const CacheScopes &cacheScopes() const;

private:
    GatewayConfig config_;
    CacheScopes cacheScopes_;
    NameMap<std::vector<const Route *>> byHost_; ///< Longest prefix first.
    NameMap<const Account *> byKey_;
    NameMap<const Service *> services_;
};

} // namespace Carobhall
