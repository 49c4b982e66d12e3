#include "chooser.h"

#include "carobhall/suspects.h"

#include <algorithm>

// Index
//   1. Servers           builds the routing table from membership and the document
//   2. Probing           selects candidates and sends them probes
//   3. Deciding          selects an agent from the replies
//   4. Accounting        requests in flight per upstream

namespace Carobhall
{

namespace
{

/// Round-trip time between two zones of one region (design.md section 1.7).
constexpr Micros ZoneRoundTrip = 2 * MicrosPerMilli;
constexpr double BitsPerByte = 8.0;
/// Number of agents probed for a request with an idempotency key, in the order of the key's hash.
constexpr std::size_t IdempotencyKeyProbes = 3;

LinkCost linkBetween(const EnvironmentDocument &document, const std::string &fromZone, const std::string &toZone)
{
    const std::string from = regionOf(document, fromZone);
    const std::string to = regionOf(document, toZone);
    if (fromZone == toZone) {
        return {};
    }
    for (const LinkSpec &link : document.links) {
        if (from != to && ((link.from == from && link.to == to) || (link.from == to && link.to == from))) {
            return { .roundTrip = 2 * link.latency,
                     .bytesPerSecond = static_cast<double>(link.bitsPerSecond) / BitsPerByte,
                     .pricePerGigabyte = link.pricePerGigabyte };
        }
    }
    return { .roundTrip = ZoneRoundTrip, .bytesPerSecond = 0.0, .pricePerGigabyte = 0.0 };
}

std::uint64_t idempotencyKeyHash(const CallerRequest &request, const std::string &upstream)
{
    const std::string digest = digestOf(request.account + '\n' + request.idempotencyKey + '\n' + upstream);
    return std::stoull(digest.substr(0, sizeof(std::uint64_t) * 2), nullptr, 16);
}

} // namespace

Chooser::Chooser(ChooserOptions options)
    : options_(std::move(options))
    , router_(std::make_unique<Router>(RouterOptions{ .policy = options_.policy, .options = {}, .region = {}, .seed = options_.seed, .transferLink = {} }))
    , random_(options_.seed)
{
}

// 1. Servers --------------------------------------------------------------------------------------

void Chooser::setAgents(const std::vector<AgentInfo> &agents, const EnvironmentDocument &document, const std::string &zone)
{
    if (const std::string region = regionOf(document, zone); region != region_) {
        // The region of a zone is unknown until a document has arrived.
        region_ = region;
        router_ = std::make_unique<Router>(
            RouterOptions{ .policy = options_.policy, .options = {}, .region = region, .seed = options_.seed, .transferLink = {} });
    }
    agents_.clear();
    for (const AgentInfo &agent : agents) {
        // While an upstream's agent is being replaced, membership lists both the old and the new one.
        if (const auto known = agents_.find(agent.upstream); known == agents_.end() || (agent.usable && !known->second.usable)) {
            agents_[agent.upstream] = agent;
        }
    }
    std::vector<Server> servers;
    for (const auto &[upstream, agent] : agents_) {
        const auto role = findUpstream(document, upstream);
        servers.push_back({
            .name = upstream,
            .zone = agent.zone,
            .region = regionOf(document, agent.zone),
            .route = agent.route,
            .weightsVersion = agent.weightsVersion,
            .adapters = {},
            .slots = role ? role->slots : 1,
            .accepting = agent.usable && role.has_value(),
            .link = linkBetween(document, zone, agent.zone),
        });
    }
    for (const ServerRow &row : router_->servers()) {
        // Keep upstreams whose agent has left membership until their requests in flight have ended.
        if (row.load.inFlight > 0 && !agents_.contains(row.server.name)) {
            servers.push_back(row.server);
            servers.back().accepting = false;
        }
    }
    router_->setServers(std::move(servers));
    indexes_.clear();
    const auto rows = router_->servers();
    for (std::size_t i = 0; i < rows.size(); ++i) {
        indexes_.emplace(rows[i].server.name, static_cast<ServerIndex>(i));
    }
}

ServerIndex Chooser::indexOf(const std::string &upstream) const
{
    const auto index = indexes_.find(upstream);
    return index == indexes_.end() ? NoServer : index->second;
}

bool Chooser::isUsable(const ServerRow &row, const RoutedPrompt &prompt) const
{
    return row.server.accepting && row.server.route == prompt.route && (prompt.weightsVersion.empty() || row.server.weightsVersion == prompt.weightsVersion);
}

// 2. Probing --------------------------------------------------------------------------------------

std::string Chooser::pickVersion(const std::string &route)
{
    // Prefix hashes depend on the weights version, so the version is picked before the server. It is picked at random, weighted by slots,
    // so that each server receives its share of the requests.
    std::uint64_t slots = 0;
    std::string picked;
    for (const ServerRow &row : router_->servers()) {
        if (row.server.accepting && row.server.route == route) {
            slots += row.server.slots;
            if (random_() % slots < row.server.slots) {
                picked = row.server.weightsVersion;
            }
        }
    }
    return picked;
}

std::shared_ptr<const RoutedPrompt> Chooser::makeRoutedPrompt(const ChooseQuery &query)
{
    const CallerRequest &request = query.request;
    auto prompt = std::make_shared<RoutedPrompt>();
    prompt->route = request.route;
    if (!request.isModel()) {
        prompt->fingerprint = fingerprintOf(request.account, request.method + ' ' + request.path + '\n' + request.body);
        return prompt;
    }
    prompt->weightsVersion = query.weightsVersion.empty() ? pickVersion(request.route) : query.weightsVersion;
    prompt->salt = saltOf({ .account = request.account, .model = request.route, .weightsVersion = prompt->weightsVersion, .adapter = {} });
    prompt->fingerprint = fingerprintOf(request.account, request.prompt);
    prompt->promptBytes = request.prompt.size();
    hashPrefix(request.prompt, prompt->salt, prompt->hashes);
    return prompt;
}

bool Chooser::addCandidate(PendingChoice &pending, const std::string &upstream)
{
    const auto agent = agents_.find(upstream);
    if (agent == agents_.end()) {
        return false;
    }
    Candidate candidate;
    candidate.upstream = upstream;
    candidate.address = agent->second.address;
    candidate.connection = options_.links.connect(candidate.address);
    candidate.unanswered = candidate.connection == 0;
    pending.candidates.push_back(std::move(candidate));
    return true;
}

bool Chooser::planProbes(PendingChoice &pending)
{
    // Router::plan() has no parameter for exclusions, so servers that failed this request are marked as not accepting while it runs.
    std::vector<ServerIndex> excluded;
    for (const auto &[upstream, agent] : agents_) {
        if (const ServerIndex index = indexOf(upstream); pending.avoid.contains(agent.address) && router_->servers()[index].server.accepting) {
            excluded.push_back(index);
            router_->setAccepting(index, false);
        }
    }
    Plan plan;
    const Micros now = monotonicNow();
    bool planned = router_->plan(pending.prompt->query(), now, plan);
    for (const ServerIndex index : excluded) {
        router_->setAccepting(index, true);
    }
    if (!planned && !excluded.empty()) {
        pending.onlyAvoidedLeft = true;
        planned = router_->plan(pending.prompt->query(), now, plan);
    }
    for (const ServerIndex index : plan.servers()) {
        addCandidate(pending, router_->servers()[index].server.name);
    }
    return planned;
}

void Chooser::planByIdempotencyKey(PendingChoice &pending, const CallerRequest &request)
{
    std::vector<std::pair<std::uint64_t, std::string>> order;
    for (const ServerRow &row : router_->servers()) {
        if (isUsable(row, *pending.prompt)) {
            order.emplace_back(idempotencyKeyHash(request, row.server.name), row.server.name);
        }
    }
    std::sort(order.begin(), order.end(), std::greater<>());
    // Move the agents that failed this request to the end.
    std::stable_partition(order.begin(), order.end(), [&](const auto &entry) { return !pending.avoid.contains(agents_.at(entry.second).address); });
    order.resize(std::min(order.size(), IdempotencyKeyProbes));
    for (const auto &[hash, upstream] : order) {
        addCandidate(pending, upstream);
    }
    pending.onlyAvoidedLeft = !order.empty() && pending.avoid.contains(pending.candidates.front().address);
}

void Chooser::choose(const ChooseQuery &query, std::function<void(ChooseResult)> done)
{
    auto pending = std::make_unique<PendingChoice>();
    pending->prompt = makeRoutedPrompt(query);
    pending->avoid = query.avoid;
    pending->byIdempotencyKey = !query.request.repeatable && !query.request.idempotencyKey.empty();
    pending->done = std::move(done);
    bool planned = true;
    if (pending->byIdempotencyKey) {
        planByIdempotencyKey(*pending, query.request);
        planned = !pending->candidates.empty();
    } else {
        planned = planProbes(*pending);
    }
    if (!planned) {
        pending->done({});
        return;
    }
    const std::uint64_t id = nextId_++;
    PendingChoice &stored = *pendingChoices_.emplace(id, std::move(pending)).first->second;
    sendProbes(id, stored, query.request);
    if (stored.outstanding == 0) {
        finishProbing(id);
        return;
    }
    stored.timeout.startOnce(options_.probeTimeout, [this, id] { finishProbing(id); });
}

void Chooser::sendProbes(std::uint64_t id, PendingChoice &pending, const CallerRequest &request)
{
    Probe probe;
    probe.route = pending.prompt->route;
    probe.weightsVersion = pending.prompt->weightsVersion;
    probe.saltCheck = pending.prompt->salt.check;
    probe.fingerprint = pending.prompt->fingerprint;
    probe.promptPieces = static_cast<std::uint32_t>(pending.prompt->hashes.size());
    probe.samples = sampleHashes(pending.prompt->hashes);
    probe.account = request.account;
    probe.rank = static_cast<std::uint8_t>(request.rank);
    for (Candidate &candidate : pending.candidates) {
        if (candidate.unanswered) {
            continue;
        }
        probe.id = candidate.probe = nextId_++;
        candidate.unanswered = !options_.links.send(candidate.connection, probe);
        if (!candidate.unanswered) {
            probes_.emplace(probe.id, id);
            ++pending.outstanding;
        }
    }
}

void Chooser::onProbeReply(const AgentLink &link, const ProbeReply &reply)
{
    if (reply.configVersion > 0) {
        options_.onConfigVersion(link, reply.configVersion);
    }
    const auto probe = probes_.find(reply.id);
    if (probe == probes_.end()) {
        return;
    }
    const std::uint64_t id = probe->second;
    probes_.erase(probe);
    PendingChoice &pending = *pendingChoices_.at(id);
    for (Candidate &candidate : pending.candidates) {
        if (candidate.probe == reply.id && candidate.connection == link.connection) {
            candidate.reply = reply;
        }
    }
    if (--pending.outstanding == 0) {
        finishProbing(id);
    }
}

void Chooser::onConnectionLost(ConnectionId connection)
{
    std::vector<std::uint64_t> complete;
    for (const auto &[id, pending] : pendingChoices_) {
        for (Candidate &candidate : pending->candidates) {
            if (candidate.connection == connection && probes_.erase(candidate.probe) > 0 && --pending->outstanding == 0) {
                complete.push_back(id);
            }
        }
    }
    for (const std::uint64_t id : complete) {
        finishProbing(id);
    }
}

// 3. Deciding -------------------------------------------------------------------------------------

void Chooser::finishProbing(std::uint64_t id)
{
    const auto entry = pendingChoices_.find(id);
    if (entry == pendingChoices_.end()) {
        return;
    }
    const std::unique_ptr<PendingChoice> pending = std::move(entry->second);
    pendingChoices_.erase(entry);
    for (Candidate &candidate : pending->candidates) {
        const bool timedOut = probes_.erase(candidate.probe) > 0;
        candidate.unanswered = !candidate.reply;
        if (const AgentLink *const link = options_.links.find(candidate.address); timedOut && link != nullptr) {
            options_.onProbeTimeout(*link);
        }
    }
    pending->done(decide(*pending));
}

ChooseResult Chooser::decide(PendingChoice &pending)
{
    Suspicion suspicion = options_.suspicion(pending.prompt->fingerprint);
    for (const Candidate &candidate : pending.candidates) {
        if (candidate.reply) {
            suspicion = combine(suspicion, static_cast<Suspicion>(candidate.reply->suspicion));
        }
    }
    if (suspicion == Suspicion::Condemned) {
        return { .choice = std::nullopt, .error = Errc::Condemned };
    }
    if (suspicion == Suspicion::Suspected) {
        return { .choice = chooseExclusive(pending), .error = {} };
    }
    return { .choice = pending.byIdempotencyKey ? chooseByIdempotencyKey(pending) : chooseRouted(pending), .error = {} };
}

bool Chooser::isKnownDown(const PendingChoice &pending, const std::string &upstream) const
{
    for (const Candidate &candidate : pending.candidates) {
        if (candidate.upstream == upstream && candidate.reply) {
            return static_cast<UpstreamState>(candidate.reply->state) != UpstreamState::Accepting;
        }
    }
    return pending.avoid.contains(agents_.at(upstream).address);
}

std::optional<AgentChoice> Chooser::chooseExclusive(const PendingChoice &pending)
{
    // All entry processes must pick the same target, so load and cache contents are ignored. Probe replies and failed attempts show that
    // an upstream is down earlier than membership does.
    std::vector<std::string> names;
    for (const ServerRow &row : router_->servers()) {
        if (isUsable(row, *pending.prompt) && !isKnownDown(pending, row.server.name)) {
            names.push_back(row.server.name);
        }
    }
    const std::size_t target = exclusiveRunTarget(pending.prompt->fingerprint, names);
    if (target == NoCandidate) {
        return std::nullopt;
    }
    Choice routed;
    routed.server = indexOf(names[target]);
    routed.withoutQuotes = true;
    auto choice = makeChoice(pending, routed);
    if (choice) {
        choice->exclusive = true;
    }
    return choice;
}

std::optional<AgentChoice> Chooser::chooseByIdempotencyKey(const PendingChoice &pending)
{
    for (const Candidate &candidate : pending.candidates) {
        if (candidate.reply && static_cast<UpstreamState>(candidate.reply->state) == UpstreamState::Accepting) {
            Choice routed;
            routed.server = indexOf(candidate.upstream);
            routed.withoutQuotes = true;
            return makeChoice(pending, routed);
        }
    }
    return std::nullopt;
}

std::optional<AgentChoice> Chooser::chooseRouted(const PendingChoice &pending)
{
    // The servers may have changed while the probes were outstanding.
    Plan plan;
    std::vector<Quote> quotes;
    std::vector<ServerIndex> exclude;
    for (const Candidate &candidate : pending.candidates) {
        const ServerIndex index = indexOf(candidate.upstream);
        if (index == NoServer) {
            continue;
        }
        plan.add(index);
        if (!candidate.reply) {
            exclude.push_back(index);
            continue;
        }
        quotes.push_back(quoteOf(*candidate.reply, index));
        if (!quotes.back().accepting) {
            exclude.push_back(index);
        }
    }
    for (const auto &[upstream, agent] : agents_) {
        if (!pending.onlyAvoidedLeft && pending.avoid.contains(agent.address)) {
            exclude.push_back(indexOf(upstream));
        }
    }
    const Choice routed = router_->choose(pending.prompt->query(), plan, quotes, monotonicNow(), exclude);
    return routed.server == NoServer ? std::nullopt : makeChoice(pending, routed);
}

std::optional<AgentChoice> Chooser::makeChoice(const PendingChoice &pending, const Choice &routed)
{
    if (routed.server == NoServer) {
        return std::nullopt;
    }
    const Server &server = router_->servers()[routed.server].server;
    const auto agent = agents_.find(server.name);
    if (agent == agents_.end()) {
        return std::nullopt;
    }
    AgentChoice choice;
    choice.address = agent->second.address;
    choice.connection = options_.links.connect(choice.address);
    choice.agentIncarnation = agent->second.incarnation;
    choice.upstreamName = server.name;
    choice.weightsVersion = server.weightsVersion;
    choice.onlyAvoidedLeft = pending.onlyAvoidedLeft;
    choice.routed = routed;
    choice.prompt = pending.prompt;
    for (const Candidate &candidate : pending.candidates) {
        if (candidate.upstream == server.name && candidate.reply) {
            choice.connection = candidate.connection;
            choice.agentIncarnation = candidate.reply->agent;
            choice.upstreamIncarnation = candidate.reply->upstream;
            choice.weightsVersion = candidate.reply->weightsVersion;
        }
    }
    return choice;
}

// 4. Accounting -----------------------------------------------------------------------------------

void Chooser::onDispatched(const AgentChoice &choice, Micros now)
{
    Choice routed = choice.routed;
    routed.server = indexOf(choice.upstreamName);
    if (routed.server != NoServer) {
        router_->onDispatched(choice.prompt->query(), routed, now);
    }
}

void Chooser::onFirstToken(const AgentChoice &choice, Micros elapsed, Micros now)
{
    Choice routed = choice.routed;
    routed.server = indexOf(choice.upstreamName);
    if (routed.server != NoServer) {
        router_->onFirstToken(choice.prompt->query(), routed, elapsed, now);
    }
}

void Chooser::onEnded(const AgentChoice &choice, Micros now)
{
    Choice routed = choice.routed;
    routed.server = indexOf(choice.upstreamName);
    // The upstream may have left the table and come back since this request was counted; its new row then counts no requests.
    if (routed.server != NoServer && router_->servers()[routed.server].load.inFlight > 0) {
        router_->onEnded(routed, now);
    }
}

} // namespace Carobhall
