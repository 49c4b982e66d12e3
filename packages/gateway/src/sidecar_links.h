#pragma once

// A gateway's connections to the sidecars of the model servers that it knows.

#include "carobhall/config_pull_scheduler.h"
#include "carobhall/gateway.h"
#include "carobhall/upstream_table.h"
#include "carobhall/wire.h"

#include <set>

namespace Carobhall
{

struct SidecarLinksOptions {
    FleetKeys keys{};
    PeerInfo self{};
    std::uint16_t port = 0;
    UpstreamTable *upstreams = nullptr;
    std::function<std::uint64_t()> configurationVersion{};
    std::function<std::string()> configurationText{};
    std::function<bool()> platformAvailable{};
    std::function<void(std::string text)> onConfiguration{}; ///< A peer has sent a configuration.
    std::function<void(std::uint32_t gateways)> onGateways{};
    std::function<void(const std::vector<SuspectFact> &facts)> onSuspects{}; ///< Other gateways report requests that crash upstreams.
};

/// Not thread-safe.
class SidecarLinks
{
public:
    explicit SidecarLinks(SidecarLinksOptions options);

    /// Opens and closes connections to match the table's model servers. Call it every 100 ms.
    void tick(const RouteTable *routes, Micros now);
    /// Tells the sidecar at once what this gateway waits for at \p engine, so that the other gateways do not all choose it.
    void tellDemand(Upstream &engine);
    /// Tells all sidecars of a new configuration.
    void announce();
    /// Has the facts passed on to all gateways.
    void spread(std::vector<SuspectFact> facts);
    [[nodiscard]] std::size_t openCount() const;

private:
    /// A sidecar reports at least every second; a link that is silent for this long is replaced.
    static constexpr Micros SilenceLimit = 2500 * MicrosPerMilli;
    static constexpr std::uint64_t LeastDemandChange = 1'000; ///< Tokens; an engine reads them in 24 ms.
    /// Sidecars that pass facts on; the same ones for all gateways, and more than one in case one is gone.
    static constexpr std::size_t Relays = 3;
    /// How long a configuration that peers have is awaited from the platform, whose watches are answered every 200 ms.
    static constexpr Micros ConfigPatience = 350 * MicrosPerMilli;
    static constexpr Micros RedialDelay = 300 * MicrosPerMilli;

    struct Link {
        ConnectionId connection = 0;
        bool open = false;
        std::string zone{};
        Micros lastNewsAt = 0;
        Micros dialAfter = 0;
    };

    [[nodiscard]] KnownVersions known() const;
    void onMessage(ConnectionId connection, Message message);
    void onClosed(ConnectionId connection, std::error_code error);

    SidecarLinksOptions options_;
    Endpoint endpoint_;
    std::map<std::string, Link, std::less<>> links_; ///< By IP address.
    std::map<ConnectionId, std::string> ipOf_;
    ConfigPullScheduler pulls_;
    std::string model_; ///< The newest weights that any sidecar knows, to tell those that the platform turns away.
    std::uint64_t weights_ = 0;
};

} // namespace Carobhall
