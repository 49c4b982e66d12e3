#pragma once

// Chooses the agent for each request: probes candidate agents and passes their replies to the routing library.

#include "agent_links.h"
#include "caller_request.h"
#include "carobhall/routing.h"

#include <set>
#include <unordered_map>

namespace Carobhall
{

/// Input of Chooser::choose().
struct ChooseQuery {
    const CallerRequest &request;
    std::string weightsVersion;  ///< Weights version that produced the answer so far; empty: any.
    std::set<std::string> avoid; ///< Addresses of agents that failed this request.
};

/// The routing properties of a request, computed for the weights version that was selected for it.
struct RoutedPrompt {
    std::string route;
    std::string weightsVersion; ///< Empty for a plain service.
    Salt salt;
    std::uint64_t fingerprint = 0;
    std::uint64_t promptBytes = 0;
    std::vector<PrefixHash> hashes;

    [[nodiscard]] RouteQuery query() const
    {
        return { .route = route, .weightsVersion = weightsVersion, .adapter = {}, .promptBytes = promptBytes, .hashes = hashes };
    }
};

struct AgentChoice {
    std::string address;
    ConnectionId connection = 0;
    Incarnation agentIncarnation = 0;
    Incarnation upstreamIncarnation = 0; ///< 0: unknown; any incarnation is accepted.
    std::string upstreamName;
    std::string weightsVersion;
    bool onlyAvoidedLeft = false; ///< Only agents in ChooseQuery::avoid were available.
    bool exclusive = false;       ///< The request is suspected of crashing upstreams and must run alone on its upstream.
    Choice routed;                ///< `server` is an index that is valid only until the servers change; use upstreamName afterwards.
    std::shared_ptr<const RoutedPrompt> prompt;
};

/// If neither `choice` nor `error` is set, no agent accepts the request at present.
struct ChooseResult {
    std::optional<AgentChoice> choice;
    std::error_code error; ///< Errc::Condemned: the request has crashed upstreams and must not run again.
};

/// The members that are references must outlive the chooser.
struct ChooserOptions {
    AgentLinks &links;
    PolicyKind policy = PolicyKind::Probe;
    std::uint64_t seed = 1;
    Micros probeTimeout = 50 * MicrosPerMilli;
    std::function<Suspicion(std::uint64_t fingerprint)> suspicion;                 ///< Known from the crash facts that membership distributes.
    std::function<void(const AgentLink &)> onProbeTimeout;                         ///< No probe reply arrived within probeTimeout.
    std::function<void(const AgentLink &, std::uint64_t version)> onConfigVersion; ///< A probe reply reported the agent's document version.
};

/// Not thread-safe.
class Chooser
{
public:
    explicit Chooser(ChooserOptions options);

    /// Replaces the agents, and reads their upstreams and network links from \p document. \p zone is the zone of this process.
    void setAgents(const std::vector<AgentInfo> &agents, const EnvironmentDocument &document, const std::string &zone);

    /// Finds an agent for a request. \p done is called exactly once, either before this function returns or later.
    void choose(const ChooseQuery &query, std::function<void(ChooseResult)> done);
    /// Handles a probe reply.
    void onProbeReply(const AgentLink &link, const ProbeReply &reply);
    /// Handles the loss of a connection: the probes sent over it stay unanswered.
    void onConnectionLost(ConnectionId connection);

    // In-flight accounting. For each choice that is used, call onDispatched() once, onFirstToken() at most once and onEnded() once.
    void onDispatched(const AgentChoice &choice, Micros now);
    void onFirstToken(const AgentChoice &choice, Micros elapsed, Micros now);
    void onEnded(const AgentChoice &choice, Micros now);

private:
    /// An upstream that is probed for a choice.
    struct Candidate {
        std::string upstream;
        std::string address;
        ConnectionId connection = 0;
        std::uint64_t probe = 0;
        std::optional<ProbeReply> reply;
        bool unanswered = false; ///< No reply arrived in time, or the connection was lost.
    };

    /// A choice whose probes are outstanding.
    struct PendingChoice {
        std::shared_ptr<const RoutedPrompt> prompt;
        std::set<std::string> avoid;
        std::vector<Candidate> candidates;
        /// The candidates are ordered by a hash of the idempotency key, and the first one that accepts requests is chosen.
        bool byIdempotencyKey = false;
        bool onlyAvoidedLeft = false; ///< Only agents in `avoid` could be probed.
        std::size_t outstanding = 0;  ///< Probes without a reply.
        std::function<void(ChooseResult)> done;
        Timer timeout;
    };

    [[nodiscard]] std::shared_ptr<const RoutedPrompt> makeRoutedPrompt(const ChooseQuery &query);
    [[nodiscard]] std::string pickVersion(const std::string &route);
    bool planProbes(PendingChoice &pending);
    void planByIdempotencyKey(PendingChoice &pending, const CallerRequest &request);
    bool addCandidate(PendingChoice &pending, const std::string &upstream);
    void sendProbes(std::uint64_t id, PendingChoice &pending, const CallerRequest &request);
    void finishProbing(std::uint64_t id);
    [[nodiscard]] ChooseResult decide(PendingChoice &pending);
    [[nodiscard]] bool isKnownDown(const PendingChoice &pending, const std::string &upstream) const;
    [[nodiscard]] std::optional<AgentChoice> chooseExclusive(const PendingChoice &pending);
    [[nodiscard]] std::optional<AgentChoice> chooseByIdempotencyKey(const PendingChoice &pending);
    [[nodiscard]] std::optional<AgentChoice> chooseRouted(const PendingChoice &pending);
    [[nodiscard]] std::optional<AgentChoice> makeChoice(const PendingChoice &pending, const Choice &routed);
    [[nodiscard]] bool isUsable(const ServerRow &row, const RoutedPrompt &prompt) const;
    [[nodiscard]] ServerIndex indexOf(const std::string &upstream) const;

    ChooserOptions options_;
    std::unique_ptr<Router> router_;
    std::string region_; ///< Region of this process.
    std::mt19937_64 random_;
    std::unordered_map<std::string, ServerIndex> indexes_; ///< Keyed by upstream name.
    std::unordered_map<std::string, AgentInfo> agents_;    ///< Keyed by upstream name.
    std::unordered_map<std::uint64_t, std::unique_ptr<PendingChoice>> pendingChoices_;
    std::unordered_map<std::uint64_t, std::uint64_t> probes_; ///< Probe id to the id of its pending choice.
    std::uint64_t nextId_ = 1;
};

} // namespace Carobhall
