#pragma once

// The state of a gateway process and what its parts share: gateway.cpp has the connections of callers and the life of the process,
// gateway_intake.cpp what arrives from the platform's store and from peers.

#include "carobhall/gateway.h"

#include "crash_evidence_store.h"
#include "crash_probe.h"
#include "exchange.h"
#include "sidecar_links.h"

#include <set>
#include <unordered_set>

namespace Carobhall
{

struct Gateway::Impl {
    explicit Impl(GatewayOptions gatewayOptions);

    std::error_code start();
    void beginShutdown();
    void tick();
    void checkStop(Micros now);
    /// Counts the bytes of responses that are held, and lets exchanges read and forward as much as that allows.
    void checkResponseBudget();
    /// \p elapsed: time since the beginning of the shutdown.
    void endProcess(Micros elapsed);
    void onAccept(int descriptor);
    /// Closes the connection that can best be spared if there are as many as there may be. Returns false if none can.
    bool makeRoomForCaller();
    /// Refuses requests that wait for room in the receive budget for too long, and those that hold it without need.
    void checkReceiveBudget(Micros now);
    void onRequest(const std::shared_ptr<CallerConnection> &caller, ReceivedRequest request);
    void onCallerClosed(CallerConnection &caller, ConnectionEnd end);
    /// Logs and counts a response that the caller has not taken whole, if there is one.
    void reportCut(const CallerConnection &caller);
    /// Forgets the closed connections that have ended, and logs those whose callers did not get all bytes.
    void removeEnded();
    /// Logs the idle connections that were closed since the last call, in one line.
    void reportIdleCloses(Micros now);
    /// Takes \p spec into use if it is newer than what is held. \p stamp: what the source tells of it; the version is that of the spec.
    void adoptConfig(const Json::Value &spec, ConfigStamp stamp, std::string_view source);
    void onConfigObject(const PlatformObject &object, bool isSettled);
    void onPeerConfig(const ConfigData &data);
    /// Uses the first configuration once peers have confirmed it, or after a limit.
    void confirmConfig(Micros now);
    void subscribeToCacheStore();
    void onUpstream(const PlatformObject &object, Micros now);
    /// The list shows a process of upstream \p id that started at \p startedAtMs, or nothing more of \p id. Reports a crash of the known one if
    /// that follows.
    void noteIfCrashed(const std::string &id, std::optional<std::int64_t> startedAtMs, Micros now);
    void noteCrashed(const UpstreamRecord &record, std::string_view evidence, Micros now);
    /// Sends the demand of the accounts to the other gateways, and reports accounts that begin or cease to be limited by their quotas.
    void shareQuotaDemand(Micros now);
    /// Sends what this gateway has learned of requests that crash upstreams to the others.
    void shareCrashEvidence(Micros now);
    /// Removes the features that had sound runs from the platform's store.
    void removeDisproved(const CrashEvidence &evidence, Micros now);
    [[nodiscard]] bool isReady() const;
    static void onReadiness(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self);

    GatewayOptions options;
    Metrics ownMetrics;
    Metrics &metrics;
    std::mt19937_64 random;
    UpstreamTable upstreams;
    UpstreamPool pool;
    RetryBudget retries;
    AccountQuotas quotas;
    ResponseBudget responseBudget;
    ReceiveBudget receiveBudget;
    bool wasReceiveTight = false;
    bool wasFull = false; ///< As many connections as there may be.
    bool wasBudgetTight = false;
    PoisonRequestDetector poisonRequests;
    CrashProbe crashProbe;
    ShutdownAdmission admission;
    ExchangeContext context;
    std::shared_ptr<const RouteTable> routes;
    CallerLimitHistory callerLimits;
    HeldConfig heldConfig; ///< Stamp of `routes`.
    /// `routes` may be the older copy of a restored store and are not used until then; 0: they are used.
    Micros configUnconfirmedUntil = 0;
    unsigned configConfirmations = 0; ///< Offers of peers that were not newer than `routes`.
    ChannelListener listener;
    ObjectRef<SoupServer> readiness;
    std::unique_ptr<AdminListener> admin;
    std::unordered_set<std::shared_ptr<CallerConnection>> callers;
    std::unordered_set<std::shared_ptr<CallerConnection>> closing; ///< Closed connections whose last bytes are in transit.
    std::unordered_set<std::shared_ptr<Exchange>> exchanges;
    std::unique_ptr<ObjectWatcher> configWatcher;
    std::unique_ptr<ObjectWatcher> upstreamWatcher;
    std::unique_ptr<SidecarLinks> links;
    std::unique_ptr<CrashEvidenceStore> crashEvidenceStore;
    Micros nextEvidenceSaveAt = 0;
    HttpClient http;
    std::unique_ptr<CacheFeed> cacheStoreFeed;
    std::string cacheStoreAddress;
    Timer ticker;
    Micros nextLimitReportAt = 0;
    Micros nextQuotaReportAt = 0;
    std::set<std::string, std::less<>> limitedAccounts; ///< By their quotas, as last logged.
    std::uint64_t idleCloses = 0;                       ///< Since the last line about them.
    std::uint64_t stopCloses = 0;
    Micros stoppingSince = 0;
    bool listenerStopped = false;
    bool stopped = false; ///< All connections were closed; their last bytes may be in transit.
    bool ended = false;   ///< onStopped was called.
    bool platformReachable = true;
    bool wasReady = false;
};

} // namespace Carobhall
