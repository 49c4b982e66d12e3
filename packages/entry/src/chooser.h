#pragma once

// Which agent a request goes to.

#include "agent_links.h"
#include "caller_request.h"

#include <set>
#include <unordered_map>

namespace Carobhall
{

struct ChooseAsk {
    const CallerRequest &request;
    std::string weightsVersion;  ///< Of the answer so far; empty: any.
    std::set<std::string> avoid; ///< Addresses of agents that failed this request.
};

struct Choice {
    std::string address;
    ConnectionId connection = 0;
    Incarnation agent = 0;
    Incarnation upstream = 0;
    std::string upstreamName;
    std::string weightsVersion;
    bool avoided = false; ///< Only agents in ChooseAsk::avoid were left.
};

/// Not thread-safe.
class Chooser
{
public:
    virtual ~Chooser() = default;
    Chooser() = default;
    Chooser(const Chooser &) = delete;
    Chooser &operator=(const Chooser &) = delete;

    /// Finds an agent for a request. \p done is called exactly once, at once or later; without a choice no agent takes the request.
    virtual void choose(const ChooseAsk &ask, std::function<void(std::optional<Choice>)> done) = 0;
    /// A probe reply came in.
    virtual void replied(const AgentLink &link, const ProbeReply &reply) = 0;
    /// A connection is gone: its probes get no reply.
    virtual void lost(ConnectionId connection) = 0;
};

/// Probes every connected agent that serves the route and takes the one with the least expected wait. A call that must not
/// be repeated and has an Idempotency-Key goes to the agent that rendezvous hashing gives its key, where its claim is.
class ProbeAllChooser : public Chooser
{
public:
    /// Uses both by reference.
    ProbeAllChooser(AgentLinks &links, DocumentHolder &document, Micros probeTimeout);

    void choose(const ChooseAsk &ask, std::function<void(std::optional<Choice>)> done) override;
    void replied(const AgentLink &link, const ProbeReply &reply) override;
    void lost(ConnectionId connection) override;

private:
    struct Candidate {
        Choice choice;
        std::uint64_t probe = 0;
        bool accepting = false;
        Micros expectedWait = 0;
        std::uint64_t keyHash = 0; ///< Rendezvous hash of the idempotency key; 0 without one.
    };

    struct Ask {
        std::vector<Candidate> candidates;
        std::size_t outstanding = 0;
        std::function<void(std::optional<Choice>)> done;
        Timer timeout;
    };

    void settle(std::uint64_t ask);
    [[nodiscard]] bool isBetter(const Candidate &a, const Candidate &b) const;

    AgentLinks &links_;
    DocumentHolder &document_;
    Micros probeTimeout_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Ask>> asks_;
    std::unordered_map<std::uint64_t, std::uint64_t> probes_; ///< Probe to ask.
    std::uint64_t nextId_ = 1;
    std::size_t turn_ = 0; ///< Rotates the first candidate, so that ties are spread.
};

} // namespace Carobhall
