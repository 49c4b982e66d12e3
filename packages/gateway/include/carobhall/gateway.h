#pragma once

// The gateway: takes callers' requests at an address of the platform and calls upstreams directly.
//
//     Gateway gateway({.settings = settings, .codec = codec, .objectCodec = objectCodec, .onStopped = ...});
//     gateway.start();
//
// It learns the configuration and the upstreams through a PlatformClient, and the load, the weights and the cache of model
// servers from the sidecar beside each. It keeps no state that outlives the process.
//
// Index
//   1. Settings
//   2. PlatformObjectCodec
//   3. Gateway

#include "carobhall/cache_feed.h"
#include "carobhall/exchange_codec.h"
#include "carobhall/gateway_config.h"
#include "carobhall/platform.h"
#include "carobhall/runtime.h"
#include "carobhall/upstream_table.h"

namespace Carobhall
{

// 1. Settings -------------------------------------------------------------------------------------

/// What both programs of an installation read from their settings file.
struct NodeSettings {
    std::string name{};
    std::string zone{};
    std::string ip{};
    std::map<std::string, std::string, std::less<>> regionOfZone{};
    std::string callerAddress{};    ///< Gateway: where callers connect.
    std::string readinessAddress{}; ///< Gateway: where the platform asks whether it is ready.
    std::string engineAddress{};    ///< Sidecar: the model server beside it.
    std::string engineService{};    ///< Sidecar: that server's service.
    std::uint16_t peerPort = 0;     ///< Sidecars listen here for gateways; the same on all machines.
    std::uint16_t metricsPort = 0;  ///< 0: no listener.
    std::string platformAddress{};
    Micros stopGrace = 8 * MicrosPerSecond; ///< From SIGTERM until the process is killed.
    double retryRatio = 0.1;
    double retryAllowance = 0.0;
    Micros retryWindow = 10 * MicrosPerSecond;
    Micros weightsDeadline = UpstreamTable::DefaultWeightsDeadline; ///< No request begins on weights that were replaced this long ago.
};

// 2. PlatformObjectCodec --------------------------------------------------------------------------

/// Names and decoders of the platform's objects, provided by the adapter in platform/.
struct PlatformObjectCodec {
    std::string configKind{};
    std::string configName{};
    std::string upstreamKind{};
    std::string weightsKind{};
    std::string readinessPath{};
    /// Nothing when the object is not a valid configuration.
    std::optional<GatewayConfig> (*decodeConfig)(const Json::Value &spec) = nullptr;
    /// Nothing when the object names no usable upstream.
    std::optional<UpstreamRecord> (*decodeUpstream)(const PlatformObject &object) = nullptr;
    /// Model and version that an object of weightsKind names.
    std::optional<std::pair<std::string, std::uint64_t>> (*decodeWeights)(const PlatformObject &object) = nullptr;
};

// 3. Gateway --------------------------------------------------------------------------------------

struct GatewayOptions {
    NodeSettings settings{};
    ExchangeCodec codec{};
    PlatformObjectCodec objectCodec{};
    CacheFeedCodec feed{};
    PlatformClient *platform = nullptr;
    std::function<void()> onStopped{}; ///< All callers have their answers after beginShutdown().
};

/// Not thread-safe: use it from the thread that iterates the default main context. options.platform outlives it.
class Gateway
{
public:
    explicit Gateway(GatewayOptions options);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Listens and begins to follow the platform. Errors: an address is malformed or in use.
    std::error_code start();
    /// Answers what is in progress, refuses what comes late, and calls onStopped.
    void beginShutdown();
    [[nodiscard]] Json::Value dump() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

/// The key by which the processes of one installation recognise each other. It keeps other installations' processes out; it
/// is no secret, as the platform hands out none. Thread-safe.
[[nodiscard]] FleetKeys installationKeys(const std::string &platformAddress);

} // namespace Carobhall
