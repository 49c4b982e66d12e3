#pragma once

// The gateway process: accepts callers' HTTP requests and forwards them to upstreams.
//
//     Gateway gateway({.settings = settings, .codec = codec, .objectCodec = objectCodec, .onStopped = ...});
//     gateway.start();
//
// It reads the configuration and the list of upstreams through a PlatformClient, and receives the load, the weights version and
// the cached prompt parts of each model server from the sidecar beside it. It keeps no state beyond the process's lifetime.
//
// Index
//   1. Settings
//   2. PlatformObjectCodec
//   3. Gateway

#include "carobhall/account_quotas.h"
#include "carobhall/cache_feed.h"
#include "carobhall/crash_evidence.h"
#include "carobhall/exchange_codec.h"
#include "carobhall/gateway_config.h"
#include "carobhall/platform.h"
#include "carobhall/runtime.h"
#include "carobhall/upstream_table.h"

namespace Carobhall
{

// 1. Settings -------------------------------------------------------------------------------------

/// Settings of the gateway and the sidecar, read from their settings file.
struct NodeSettings {
    std::string name{};
    std::string zone{};
    std::string ip{};
    std::map<std::string, std::string, std::less<>> regionOfZone{};
    std::string callerAddress{};    ///< Gateway: listener for callers.
    std::string readinessAddress{}; ///< Gateway: listener for the platform's readiness checks.
    std::string engineAddress{};    ///< Sidecar: its model server.
    std::string engineService{};    ///< Sidecar: the service of its model server.
    std::uint16_t peerPort = 0;     ///< Port on which sidecars listen for gateways; the same on all machines.
    std::uint16_t metricsPort = 0;  ///< 0: no listener.
    std::string platformAddress{};
    Micros stopGrace = 8 * MicrosPerSecond; ///< From SIGTERM until the process is killed.
    double retryRatio = 0.1;                ///< Fleet-wide limit of retries, see RetryBudgetOptions.
    double retryAllowance = 0.0;
    std::size_t memoryLimit = std::size_t{ 88 } << 20U; ///< Bytes that the process may use; a gateway bounds what it holds of responses by it.
    std::size_t maxDescriptors = 4'096;                 ///< Files and connections that the process may have open.
    Micros retryWindow = 10 * MicrosPerSecond;
    Micros drainTime = 4 * MicrosPerSecond;                         ///< An upstream gets no request this long after its entry says that it is draining.
    Micros weightsDeadline = UpstreamTable::DefaultWeightsDeadline; ///< No request starts on weights that were replaced this long ago.
    QuotaTolerance quotaTolerance{};                                ///< By how much accounts may exceed their quotas.
};

// 2. PlatformObjectCodec --------------------------------------------------------------------------

/// Names and decoders of the objects in the platform's store, provided by the adapter in platform/.
struct PlatformObjectCodec {
    std::string configKind{};
    std::string configName{};
    std::string upstreamKind{};
    std::string weightsKind{};
    std::string crashEvidenceKind{}; ///< Written by the gateways; one object per feature of requests that crash upstreams.
    std::string readinessPath{};
    /// Returns nothing when the object is not a valid configuration.
    std::optional<GatewayConfig> (*decodeConfig)(const Json::Value &spec) = nullptr;
    /// Returns nothing when the object does not describe a usable upstream.
    std::optional<UpstreamRecord> (*decodeUpstream)(const PlatformObject &object) = nullptr;
    /// The model and its current version from an object of weightsKind.
    std::optional<std::pair<std::string, std::uint64_t>> (*decodeWeights)(const PlatformObject &object) = nullptr;
    Json::Value (*encodeCrashEvidence)(const CrashEvidence &evidence) = nullptr;
    /// Returns nothing when the object is malformed.
    std::optional<CrashEvidence> (*decodeCrashEvidence)(const PlatformObject &object) = nullptr;
};

// 3. Gateway --------------------------------------------------------------------------------------

struct GatewayOptions {
    NodeSettings settings{};
    ExchangeCodec codec{};
    PlatformObjectCodec objectCodec{};
    CacheFeedCodec feed{};
    PlatformClient *platform = nullptr;
    std::function<void()> onStopped{}; ///< The shutdown begun by beginShutdown() is complete.
    /// The number of gateways that exchange configurations through the sidecars, this one included. May be empty.
    std::function<void(std::uint32_t count)> onFleetSize{};
    Metrics *metrics = nullptr; ///< Must outlive the gateway. Null: the gateway keeps its own.
};

/// Not thread-safe: use it from the thread that iterates the default main context. options.platform outlives it.
class Gateway
{
public:
    explicit Gateway(GatewayOptions options);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Starts the listeners and the watches on the platform's store. Errors: an address is malformed or in use.
    std::error_code start();
    /// Completes the requests in progress, refuses new ones after a grace period, then calls onStopped.
    void beginShutdown();
    [[nodiscard]] Json::Value dump() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

/// The key with which the processes of one installation identify each other. It keeps out processes of other installations but is
/// no secret, because the platform provides none. Thread-safe.
[[nodiscard]] FleetKeys installationKeys(const std::string &platformAddress);

} // namespace Carobhall
