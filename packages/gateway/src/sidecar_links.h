#pragma once

// The gateway's connections to the sidecars of the listed model servers.

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
    std::function<ConfigStamp()> configuration{}; ///< What this gateway holds.
    std::function<std::string()> configurationText{};
    std::function<bool()> platformAvailable{};
    std::function<std::uint64_t()> platformEra{};                         ///< Newest era of the platform that this process knows of.
    std::function<void(std::uint64_t era)> onPlatformEra{};               ///< A peer knows of this era.
    std::function<void(const ConfigStamp &stamp)> onConfigurationOffer{}; ///< A peer holds this configuration.
    std::function<void(const ConfigData &data)> onConfiguration{};        ///< A peer sent a configuration.
    std::function<void(std::uint32_t count)> onGatewayCount{};            ///< A sidecar reported the number of connected gateways.
    std::function<void(const LimitReports &reports)> onLimitReports{};    ///< Other gateways reported limits that upstreams name.
    /// The sidecar at an address has summed the demand of accounts at the other gateways.
    std::function<void(std::string_view ip, const QuotaSums &sums)> onQuotaSums{};
    std::function<CrashEvidence()> crashEvidence{};                       ///< All that this gateway knows of requests that crash upstreams.
    std::function<void(const CrashEvidence &evidence)> onCrashEvidence{}; ///< Other gateways reported such requests.
};

/// Not thread-safe.
class SidecarLinks
{
public:
    explicit SidecarLinks(SidecarLinksOptions options);

    /// Opens and closes connections to match the model servers in the table, and requests newer configurations. Call every 50 to
    /// 100 ms.
    void tick(const RouteTable *routes, Micros now);
    /// Sends the pending prefill tokens of this gateway at \p engine to its sidecar immediately, so that the other gateways do not
    /// all choose the same engine.
    void reportPendingPrefill(Upstream &engine);
    /// Sends each sidecar the known versions of the configuration and of the weights of its model.
    void announceVersions();
    /// Sends \p message to a few sidecars, which pass its contents on to all gateways.
    void broadcast(const Message &message);
    [[nodiscard]] std::size_t openCount() const;
    /// Whether the table has model servers, whose sidecars are connected or will be.
    [[nodiscard]] bool hasLinks() const;

private:
    /// A link without a message for this long is reconnected. Sidecars report at least every second.
    static constexpr Micros InactivityTimeout = 2500 * MicrosPerMilli;
    /// Minimum change of the pending prefill tokens that is reported. An engine prefills this many in 24 ms.
    static constexpr std::uint64_t MinReportedTokenChange = 1'000;
    /// Number of sidecars that pass on what gateways tell each other. All gateways use the same ones; more than one in case one is down.
    static constexpr std::size_t MaxRelays = 3;
    /// How long to wait for the platform to deliver a configuration before it is requested from a peer. The platform answers watches
    /// every 200 ms.
    static constexpr Micros ConfigOfferDelay = 350 * MicrosPerMilli;
    static constexpr Micros ReconnectDelay = 300 * MicrosPerMilli;

    struct Link {
        ConnectionId connection = 0;
        bool open = false;
        std::string zone{};
        std::string model{}; ///< Model of the sidecar's server; empty until the sidecar has named it.
        Micros lastMessageAt = 0;
        Micros connectAfter = 0;
    };

    [[nodiscard]] KnownVersions knownVersions(const Link &link) const;
    /// The sidecar of \p link knows of \p version of the weights of its model.
    void onWeights(const Link &link, std::uint64_t version, Micros now);
    /// Adds and removes links to match the listed model servers.
    void updateLinks(const RouteTable *routes);
    void onMessage(ConnectionId connection, Message message);
    void onClosed(ConnectionId connection, std::error_code error);

    SidecarLinksOptions options_;
    Endpoint endpoint_;
    std::map<std::string, Link, std::less<>> links_; ///< By IP address.
    std::map<ConnectionId, std::string> ipOf_;
    std::uint64_t linkedRevision_ = 0;  ///< Revision of the table that links_ matches.
    ConfigStamp linkedConfiguration_{}; ///< Of the configuration that links_ matches.
    ConfigPullScheduler configPulls_;
    /// Newest weights version of each model known to any sidecar; announced to sidecars that the platform refuses to serve.
    std::map<std::string, std::uint64_t, std::less<>> weightsVersions_;
};

} // namespace Carobhall
