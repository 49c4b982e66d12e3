#include "chooser.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

std::uint64_t keyHashOf(const CallerRequest &request, const std::string &upstreamName)
{
    if (request.repeatable || request.idempotencyKey.empty()) {
        return 0;
    }
    const std::string digest = digestOf(request.account + '\n' + request.idempotencyKey + '\n' + upstreamName);
    return std::stoull(digest.substr(0, sizeof(std::uint64_t) * 2), nullptr, 16);
}

} // namespace

ProbeAllChooser::ProbeAllChooser(AgentLinks &links, DocumentHolder &document, Micros probeTimeout)
    : links_(links)
    , document_(document)
    , probeTimeout_(probeTimeout)
{
}

void ProbeAllChooser::choose(const ChooseAsk &ask, std::function<void(std::optional<Choice>)> done)
{
    const EnvironmentDocument &document = document_.current()->document;
    auto made = std::make_unique<Ask>();
    links_.each([&](const AgentLink &link) {
        const auto role = link.open ? findUpstream(document, link.peer.upstream) : std::nullopt;
        if (!role || role->route != ask.request.route || role->isModel != ask.request.isModel()) {
            return;
        }
        made->candidates.push_back({
            .choice = { .address = link.address,
                        .connection = link.connection,
                        .agent = link.peer.incarnation,
                        .upstream = 0,
                        .upstreamName = link.peer.upstream,
                        .weightsVersion = {},
                        .avoided = ask.avoid.contains(link.address) },
            .keyHash = keyHashOf(ask.request, link.peer.upstream),
        });
    });
    if (made->candidates.empty()) {
        done(std::nullopt);
        return;
    }
    std::rotate(made->candidates.begin(), made->candidates.begin() + static_cast<std::ptrdiff_t>(turn_++ % made->candidates.size()), made->candidates.end());
    const std::uint64_t id = nextId_++;
    made->done = std::move(done);
    made->outstanding = made->candidates.size();
    made->timeout.startOnce(probeTimeout_, [this, id] { settle(id); });
    Ask &kept = *asks_.emplace(id, std::move(made)).first->second;
    for (Candidate &candidate : kept.candidates) {
        Probe probe;
        probe.id = candidate.probe = nextId_++;
        probe.route = ask.request.route;
        probe.weightsVersion = ask.weightsVersion;
        probe.account = ask.request.account;
        probe.rank = static_cast<std::uint8_t>(ask.request.rank);
        probes_.emplace(probe.id, id);
        links_.send(candidate.choice.connection, probe);
    }
}

void ProbeAllChooser::replied(const AgentLink &link, const ProbeReply &reply)
{
    const auto probe = probes_.find(reply.id);
    if (probe == probes_.end()) {
        return;
    }
    const std::uint64_t id = probe->second;
    probes_.erase(probe);
    Ask &ask = *asks_.at(id);
    for (Candidate &candidate : ask.candidates) {
        if (candidate.probe == reply.id && candidate.choice.connection == link.connection) {
            candidate.accepting = static_cast<UpstreamState>(reply.state) == UpstreamState::Accepting;
            candidate.expectedWait = reply.expectedWait;
            candidate.choice.agent = reply.agent;
            candidate.choice.upstream = reply.upstream;
            candidate.choice.weightsVersion = reply.weightsVersion;
        }
    }
    if (--ask.outstanding == 0) {
        settle(id);
    }
}

void ProbeAllChooser::lost(ConnectionId connection)
{
    std::vector<std::uint64_t> complete;
    for (const auto &[id, ask] : asks_) {
        for (Candidate &candidate : ask->candidates) {
            if (candidate.choice.connection == connection && probes_.erase(candidate.probe) > 0 && --ask->outstanding == 0) {
                complete.push_back(id);
            }
        }
    }
    for (const std::uint64_t id : complete) {
        settle(id);
    }
}

bool ProbeAllChooser::isBetter(const Candidate &a, const Candidate &b) const
{
    if (a.choice.avoided != b.choice.avoided) {
        return b.choice.avoided;
    }
    return a.keyHash != b.keyHash ? a.keyHash > b.keyHash : a.expectedWait < b.expectedWait;
}

void ProbeAllChooser::settle(std::uint64_t id)
{
    const auto entry = asks_.find(id);
    if (entry == asks_.end()) {
        return;
    }
    const std::unique_ptr<Ask> ask = std::move(entry->second);
    asks_.erase(entry);
    const Candidate *best = nullptr;
    for (const Candidate &candidate : ask->candidates) {
        probes_.erase(candidate.probe);
        if (candidate.accepting && (best == nullptr || isBetter(candidate, *best))) {
            best = &candidate;
        }
    }
    ask->done(best == nullptr ? std::nullopt : std::optional(best->choice));
}

} // namespace Carobhall
