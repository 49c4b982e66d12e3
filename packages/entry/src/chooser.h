#pragma once

// Which agent a request goes to: the routing library's decision, made over probes.

#include "agent_links.h"
#include "caller_request.h"
#include "carobhall/routing.h"

#include <set>
#include <unordered_map>

namespace Carobhall
{

struct ChooseAsk {
    const CallerRequest &request;
    std::string weightsVersion;  ///< Of the answer so far; empty: any.
    std::set<std::string> avoid; ///< Addresses of agents that failed this request.
};

/// A request as the routing library sees it, under the weights version that was picked for it.
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
    Incarnation agent = 0;
    Incarnation upstream = 0; ///< 0: not known, any.
    std::string upstreamName;
    std::string weightsVersion;
    bool avoided = false; ///< Only agents in ChooseAsk::avoid were left.
    bool alone = false;   ///< The request is suspected: it runs with nothing else beside it.
    Choice routed;        ///< Its server index is valid only until the servers change; upstreamName stays.
    std::shared_ptr<const RoutedPrompt> prompt;
};

/// Without a choice and an error, no agent takes the request at present.
struct ChooseResult {
    std::optional<AgentChoice> choice;
    std::error_code error; ///< Errc::Condemned: the request is not run any more.
};

/// Everything by reference must outlive the chooser.
struct ChooserOptions {
    AgentLinks &links;
    PolicyKind policy = PolicyKind::Probe;
    std::uint64_t seed = 1;
    Micros probeTimeout = 50 * MicrosPerMilli;
    std::function<Suspicion(std::uint64_t fingerprint)> suspicion;           ///< What membership's facts say.
    std::function<void(const AgentLink &)> onNoAnswer;                       ///< A probe was not answered in time.
    std::function<void(const AgentLink &, std::uint64_t version)> onVersion; ///< A probe reply named the version of its agent's document.
};

/// Not thread-safe.
class Chooser
{
public:
    explicit Chooser(ChooserOptions options);

    /// The agents, and what the document says of their upstreams and of the way to them. \p zone is that of this process.
    void setAgents(const std::vector<AgentInfo> &agents, const EnvironmentDocument &document, const std::string &zone);

    /// Finds an agent for a request. \p done is called exactly once, at once or later.
    void choose(const ChooseAsk &ask, std::function<void(ChooseResult)> done);
    /// A probe reply came in.
    void replied(const AgentLink &link, const ProbeReply &reply);
    /// A connection is gone: its probes get no reply.
    void lost(ConnectionId connection);

    // Each choice that was used: dispatched once, perhaps its first token, and its end once.
    void dispatched(const AgentChoice &choice, Micros now);
    void firstToken(const AgentChoice &choice, Micros elapsed, Micros now);
    void ended(const AgentChoice &choice, Micros now);

private:
    struct Candidate {
        std::string upstream;
        std::string address;
        ConnectionId connection = 0;
        std::uint64_t probe = 0;
        std::optional<ProbeReply> reply;
        bool unanswered = false; ///< No reply within the time, or the connection ended.
    };

    struct Ask {
        std::shared_ptr<const RoutedPrompt> prompt;
        std::set<std::string> avoid;
        std::vector<Candidate> candidates;
        bool keyed = false;   ///< The candidates are in the order of the idempotency key's hash, and the first that accepts is taken.
        bool avoided = false; ///< Only agents in `avoid` could be asked.
        std::size_t outstanding = 0;
        std::function<void(ChooseResult)> done;
        Timer timeout;
    };

    [[nodiscard]] std::shared_ptr<const RoutedPrompt> promptFor(const ChooseAsk &ask);
    [[nodiscard]] std::string pickVersion(const std::string &route);
    bool planProbes(Ask &ask);
    void planKeyed(Ask &ask, const CallerRequest &request);
    bool addCandidate(Ask &ask, const std::string &upstream);
    void sendProbes(std::uint64_t id, Ask &ask, const CallerRequest &request);
    void settle(std::uint64_t id);
    [[nodiscard]] ChooseResult decide(Ask &ask);
    [[nodiscard]] bool isKnownDown(const Ask &ask, const std::string &upstream) const;
    [[nodiscard]] std::optional<AgentChoice> chooseAlone(const Ask &ask);
    [[nodiscard]] std::optional<AgentChoice> chooseKeyed(const Ask &ask);
    [[nodiscard]] std::optional<AgentChoice> chooseRouted(const Ask &ask);
    [[nodiscard]] std::optional<AgentChoice> choiceOf(const Ask &ask, const Choice &routed);
    [[nodiscard]] bool isUsable(const ServerRow &row, const RoutedPrompt &prompt) const;
    [[nodiscard]] ServerIndex indexOf(const std::string &upstream) const;

    ChooserOptions options_;
    std::unique_ptr<Router> router_;
    std::string region_; ///< Of this process.
    std::mt19937_64 random_;
    std::unordered_map<std::string, ServerIndex> indexes_; ///< By upstream.
    std::unordered_map<std::string, AgentInfo> agents_;    ///< By upstream.
    std::unordered_map<std::uint64_t, std::unique_ptr<Ask>> asks_;
    std::unordered_map<std::uint64_t, std::uint64_t> probes_; ///< Probe to ask.
    std::uint64_t nextId_ = 1;
};

} // namespace Carobhall
