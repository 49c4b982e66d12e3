#pragma once

// The sidecar: one process beside each model server. It orders the server's weights, follows its cache and load, and tells the
// gateways; it also passes on configurations that the platform withholds from some of them.

#include "carobhall/cache_feed.h"
#include "carobhall/gateway.h"
#include "carobhall/http_client.h"
#include "carobhall/weights_rollout.h"

namespace Carobhall
{

/// How an installation's model servers are called; provided by the adapter in platform/. Paths begin with a slash.
struct EngineCodec {
    HttpCall (*reportCall)(const std::string &address) = nullptr;
    std::optional<EngineReport> (*decodeReport)(const HttpReply &reply) = nullptr;
    CacheFeedCodec feed{};
    /// The order of \p step, which counts only if the server has accepted step.sequence orders. \p token never decreases for one
    /// server.
    HttpCall (*orderCall)(const std::string &address, const std::string &holder, const std::string &model, const RolloutStep &step, std::uint64_t token)
        = nullptr;
    OrderResult (*decodeOrder)(const HttpReply &reply) = nullptr;
    /// The process that answered; empty when the reply does not name it.
    std::string (*decodeInstance)(const HttpReply &reply) = nullptr;
};

struct SidecarOptions {
    NodeSettings settings{};
    PlatformObjectCodec objectCodec{};
    EngineCodec engine{};
    PlatformClient *platform = nullptr;
    std::function<void()> onStopped{};
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
