#pragma once

// The sidecar: a process that runs next to each model server. It orders the server to load new weights, tracks its KV cache and load,
// and publishes both to the gateways. It also relays configurations to gateways that cannot get them from the platform.

#include "carobhall/cache_feed.h"
#include "carobhall/gateway.h"
#include "carobhall/http_client.h"
#include "carobhall/weights_rollout.h"

namespace Carobhall
{

/// How the model servers of an installation are called. Provided by the adapter in platform/.
struct EngineCodec {
    HttpCall (*reportCall)(const std::string &address) = nullptr;
    std::optional<EngineReport> (*decodeReport)(const HttpReply &reply) = nullptr;
    CacheFeedCodec feed{};
    /// The order for \p step, which the server rejects unless it has accepted exactly step.sequence orders. \p token is the fencing
    /// token, which never decreases for one server.
    HttpCall (*orderCall)(const std::string &address, const std::string &holder, const std::string &model, const RolloutStep &step, std::uint64_t token)
        = nullptr;
    OrderResult (*decodeOrder)(const HttpReply &reply) = nullptr;
    /// Id of the server process that answered; empty if the reply does not name it.
    std::string (*decodeInstance)(const HttpReply &reply) = nullptr;
    /// Whether the process that answered shuts down and takes no new requests.
    bool (*decodeLeaving)(const HttpReply &reply) = nullptr;
};

struct SidecarOptions {
    NodeSettings settings{};
    PlatformObjectCodec objectCodec{};
    EngineCodec engine{};
    PlatformClient *platform = nullptr;
    Metrics *metrics = nullptr;        ///< Must outlive the sidecar. Null: nothing is counted.
    std::function<void()> onStopped{}; ///< Called when the shutdown is complete.
    /// The number of model servers of the service, each with a sidecar. May be empty.
    std::function<void(std::uint32_t count)> onFleetSize{};
};

/// Not thread-safe: use it from the thread that iterates the default main context. options.platform outlives it.
class Sidecar
{
public:
    explicit Sidecar(SidecarOptions options);
    ~Sidecar();
    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;

    std::error_code start();
    void beginShutdown();
    [[nodiscard]] Json::Value dump() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace Carobhall
