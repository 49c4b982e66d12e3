#pragma once

// What a gateway knows of its installation: the configuration in effect and the upstreams that the platform lists.
//
// The adapter in platform/ decodes both once. Times are in microseconds, sizes in the unit that the field's name ends with.
//
// Index
//   1. Configuration   routes, services, client accounts, limits
//   2. Upstreams       one server process behind a service
//   3. RouteTable      a configuration prepared for look-ups

#include "carobhall/base.h"

#include <unordered_map>

namespace Carobhall
{

// 1. Configuration --------------------------------------------------------------------------------

/// What a route's requests allow.
enum class RequestKind : std::uint8_t {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs at most once for each attempt of a caller.
    Streaming,     ///< The response is a sequence of events; repeatable only where Route::resumable says so.
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
    bool resumable = false;        ///< A broken stream may go on at another upstream.
    Micros timeout = 0;            ///< The longest time a request is kept waiting.
    Micros targetLatency = 0;      ///< To the response, or to the first event of a stream.
    Micros targetGap = 0;          ///< The longest pause between two events that is still on time.
    std::uint32_t priority = 0;    ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Upstreams to which one attempt of a caller may be sent.
    bool needsKey = true;
    bool carriesPrompt = false; ///< Requests name a model and the parts of their prompt.
    std::vector<RouteTarget> targets{};

    /// Whether a request may run a second time.
    [[nodiscard]] bool isRetryable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && resumable);
    }
};

/// A model server's sizes; the same for all servers of a service.
struct EngineTraits {
    std::uint32_t slots = 1;       ///< Requests in one batch.
    std::uint64_t cacheTokens = 0; ///< Memory for running requests and cached prompt parts together.
    double bytesPerToken = 0.0;    ///< Of KV cache.
    double linkMbps = 0.0;         ///< For transfers of KV cache.
    std::vector<std::string> models{};
};

struct Service {
    std::string name{};
    std::string healthPath{};
    std::uint32_t maxConnections = 0;     ///< Of one upstream, from all callers together. 0: not limited.
    std::optional<EngineTraits> engine{}; ///< Set for model servers.
    std::string cacheStoreAddress{};      ///< Set for a store of KV cache, which takes no requests of callers.
    std::string cacheStoreZone{};
    double cacheStoreLinkMbps = 0.0;
};

struct Account {
    std::string name{};
    std::vector<std::string> keys{};
    std::optional<std::uint32_t> priority{}; ///< Goes before a route's.
    bool isolated = false;                   ///< Shares no cached prompt part with other accounts.
};

struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = std::uint64_t{ 4 } << 20U;
    Micros headerTimeout = 3 * MicrosPerSecond;
    Micros idleTimeout = 15 * MicrosPerSecond;
};

struct GatewayConfig {
    std::uint64_t version = 0; ///< 0: none has arrived yet.
    std::vector<Route> routes{};
    std::vector<Service> services{};
    std::vector<Account> accounts{};
    CallerLimits limits{};
    std::string text{}; ///< As the operator wrote it, to pass on to peers.
};

// 2. Upstreams ------------------------------------------------------------------------------------

struct UpstreamRecord {
    std::string id{};
    std::string service{};
    std::string address{}; ///< "ip:port".
    std::string zone{};
    bool draining = false;
    std::uint32_t slots = 1;
    std::int64_t startedAtMs = 0;     ///< Unix time; tells two processes of one id apart.
    std::uint64_t weightsVersion = 0; ///< 0 for plain services.
};

// 3. RouteTable -----------------------------------------------------------------------------------

struct NameHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): the name that the standard library looks for.
    std::size_t operator()(std::string_view name) const
    {
        return std::hash<std::string_view>{}(name);
    }
};

template<typename Value>
using NameMap = std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

/// A configuration with indexes by host and key. Immutable; requests under way keep the table they started with.
class RouteTable
{
public:
    explicit RouteTable(GatewayConfig config);

    [[nodiscard]] const GatewayConfig &config() const;
    /// The route of \p host with the longest prefix that begins \p target's path, or nullptr. Thread-safe.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view target) const;
    /// The account that holds \p key, or nullptr. Thread-safe.
    [[nodiscard]] const Account *accountOf(std::string_view key) const;
    /// nullptr when the configuration has no such service. Thread-safe.
    [[nodiscard]] const Service *service(std::string_view name) const;
    /// The first store of KV cache, or nullptr. Thread-safe.
    [[nodiscard]] const Service *cacheStore() const;

private:
    GatewayConfig config_;
    NameMap<std::vector<const Route *>> byHost_; ///< Longest prefix first.
    NameMap<const Account *> byKey_;
    NameMap<const Service *> services_;
};

} // namespace Carobhall
