#include "chooser.h"

#include "carobhall/suspects.h"

#include <algorithm>

// Index
//   1. Servers           the routing table from membership and document
//   2. Probing           whom to ask
//   3. Deciding          over the replies
//   4. Accounting

namespace Carobhall
{

namespace
{

/// Round trip between two zones of one region, as design.md section 1.7 states it.
constexpr Micros ZoneRoundTrip = 2 * MicrosPerMilli;
constexpr double BitsPerByte = 8.0;
/// A keyed call asks this many agents, in the order of its key's hash.
constexpr std::size_t KeyedProbes = 3;

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

std::uint64_t keyHashOf(const CallerRequest &request, const std::string &upstream)
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
        // The region is known once there is a document.
        region_ = region;
        router_ = std::make_unique<Router>(
            RouterOptions{ .policy = options_.policy, .options = {}, .region = region, .seed = options_.seed, .transferLink = {} });
    }
    agents_.clear();
    for (const AgentInfo &agent : agents) {
        // While an upstream's agent is being replaced, both are known.
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
        // The requests in flight at an agent that is gone have yet to end.
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
    // Prefix hashes depend on the version, so one is picked before the servers are. Each server gets its share of the requests.
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

std::shared_ptr<const RoutedPrompt> Chooser::promptFor(const ChooseAsk &ask)
{
    const CallerRequest &request = ask.request;
    auto prompt = std::make_shared<RoutedPrompt>();
    prompt->route = request.route;
    if (!request.isModel()) {
        prompt->fingerprint = fingerprintOf(request.account, request.method + ' ' + request.path + '\n' + request.body);
        return prompt;
    }
    prompt->weightsVersion = ask.weightsVersion.empty() ? pickVersion(request.route) : ask.weightsVersion;
    prompt->salt = saltOf({ .account = request.account, .model = request.route, .weightsVersion = prompt->weightsVersion, .adapter = {} });
    prompt->fingerprint = fingerprintOf(request.account, request.prompt);
    prompt->promptBytes = request.prompt.size();
    hashPrefix(request.prompt, prompt->salt, prompt->hashes);
    return prompt;
}

bool Chooser::addCandidate(Ask &ask, const std::string &upstream)
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
    ask.candidates.push_back(std::move(candidate));
    return true;
}

bool Chooser::planProbes(Ask &ask)
{
    // The plan has no exclusions of its own, so servers that failed the request are hidden from it.
    std::vector<ServerIndex> hidden;
    for (const auto &[upstream, agent] : agents_) {
        if (const ServerIndex index = indexOf(upstream); ask.avoid.contains(agent.address) && router_->servers()[index].server.accepting) {
            hidden.push_back(index);
            router_->setAccepting(index, false);
        }
    }
    Plan plan;
    const Micros now = monotonicNow();
    bool planned = router_->plan(ask.prompt->query(), now, plan);
    for (const ServerIndex index : hidden) {
        router_->setAccepting(index, true);
    }
    if (!planned && !hidden.empty()) {
        ask.avoided = true;
        planned = router_->plan(ask.prompt->query(), now, plan);
    }
    for (const ServerIndex index : plan.servers()) {
        addCandidate(ask, router_->servers()[index].server.name);
    }
    return planned;
}

void Chooser::planKeyed(Ask &ask, const CallerRequest &request)
{
    std::vector<std::pair<std::uint64_t, std::string>> order;
    for (const ServerRow &row : router_->servers()) {
        if (isUsable(row, *ask.prompt)) {
            order.emplace_back(keyHashOf(request, row.server.name), row.server.name);
        }
    }
    std::sort(order.begin(), order.end(), std::greater<>());
    // Agents that failed the request come last.
    std::stable_partition(order.begin(), order.end(), [&](const auto &entry) { return !ask.avoid.contains(agents_.at(entry.second).address); });
    order.resize(std::min(order.size(), KeyedProbes));
    for (const auto &[hash, upstream] : order) {
        addCandidate(ask, upstream);
    }
    ask.avoided = !order.empty() && ask.avoid.contains(ask.candidates.front().address);
}

void Chooser::choose(const ChooseAsk &ask, std::function<void(ChooseResult)> done)
{
    auto made = std::make_unique<Ask>();
    made->prompt = promptFor(ask);
    made->avoid = ask.avoid;
    made->keyed = !ask.request.repeatable && !ask.request.idempotencyKey.empty();
    made->done = std::move(done);
    bool planned = true;
    if (made->keyed) {
        planKeyed(*made, ask.request);
        planned = !made->candidates.empty();
    } else {
        planned = planProbes(*made);
    }
    if (!planned) {
        made->done({});
        return;
    }
    const std::uint64_t id = nextId_++;
    Ask &kept = *asks_.emplace(id, std::move(made)).first->second;
    sendProbes(id, kept, ask.request);
    if (kept.outstanding == 0) {
        settle(id);
        return;
    }
    kept.timeout.startOnce(options_.probeTimeout, [this, id] { settle(id); });
}

void Chooser::sendProbes(std::uint64_t id, Ask &ask, const CallerRequest &request)
{
    Probe probe;
    probe.route = ask.prompt->route;
    probe.weightsVersion = ask.prompt->weightsVersion;
    probe.saltCheck = ask.prompt->salt.check;
    probe.fingerprint = ask.prompt->fingerprint;
    probe.promptPieces = static_cast<std::uint32_t>(ask.prompt->hashes.size());
    probe.samples = sampleHashes(ask.prompt->hashes);
    probe.account = request.account;
    probe.rank = static_cast<std::uint8_t>(request.rank);
    for (Candidate &candidate : ask.candidates) {
        if (candidate.unanswered) {
            continue;
        }
        probe.id = candidate.probe = nextId_++;
        candidate.unanswered = !options_.links.send(candidate.connection, probe);
        if (!candidate.unanswered) {
            probes_.emplace(probe.id, id);
            ++ask.outstanding;
        }
    }
}

void Chooser::replied(const AgentLink &link, const ProbeReply &reply)
{
    if (reply.configVersion > 0) {
        options_.onVersion(link, reply.configVersion);
    }
    const auto probe = probes_.find(reply.id);
    if (probe == probes_.end()) {
        return;
    }
    const std::uint64_t id = probe->second;
    probes_.erase(probe);
    Ask &ask = *asks_.at(id);
    for (Candidate &candidate : ask.candidates) {
        if (candidate.probe == reply.id && candidate.connection == link.connection) {
            candidate.reply = reply;
        }
    }
    if (--ask.outstanding == 0) {
        settle(id);
    }
}

void Chooser::lost(ConnectionId connection)
{
    std::vector<std::uint64_t> complete;
    for (const auto &[id, ask] : asks_) {
        for (Candidate &candidate : ask->candidates) {
            if (candidate.connection == connection && probes_.erase(candidate.probe) > 0 && --ask->outstanding == 0) {
                complete.push_back(id);
            }
        }
    }
    for (const std::uint64_t id : complete) {
        settle(id);
    }
}

// 3. Deciding -------------------------------------------------------------------------------------

void Chooser::settle(std::uint64_t id)
{
    const auto entry = asks_.find(id);
    if (entry == asks_.end()) {
        return;
    }
    const std::unique_ptr<Ask> ask = std::move(entry->second);
    asks_.erase(entry);
    for (Candidate &candidate : ask->candidates) {
        const bool timedOut = probes_.erase(candidate.probe) > 0;
        candidate.unanswered = !candidate.reply;
        if (const AgentLink *const link = options_.links.find(candidate.address); timedOut && link != nullptr) {
            options_.onNoAnswer(*link);
        }
    }
    ask->done(decide(*ask));
}

ChooseResult Chooser::decide(Ask &ask)
{
    Suspicion suspicion = options_.suspicion(ask.prompt->fingerprint);
    for (const Candidate &candidate : ask.candidates) {
        if (candidate.reply) {
            suspicion = combine(suspicion, static_cast<Suspicion>(candidate.reply->suspicion));
        }
    }
    if (suspicion == Suspicion::Condemned) {
        return { .choice = std::nullopt, .error = Errc::Condemned };
    }
    if (suspicion == Suspicion::Suspected) {
        return { .choice = chooseAlone(ask), .error = {} };
    }
    return { .choice = ask.keyed ? chooseKeyed(ask) : chooseRouted(ask), .error = {} };
}

bool Chooser::isKnownDown(const Ask &ask, const std::string &upstream) const
{
    for (const Candidate &candidate : ask.candidates) {
        if (candidate.upstream == upstream && candidate.reply) {
            return static_cast<UpstreamState>(candidate.reply->state) != UpstreamState::Accepting;
        }
    }
    return ask.avoid.contains(agents_.at(upstream).address);
}

std::optional<AgentChoice> Chooser::chooseAlone(const Ask &ask)
{
    // All entry processes must pick the same home, so that load and cache play no part. Membership tells later than a reply or a
    // failed attempt that an upstream is down.
    std::vector<std::string> names;
    for (const ServerRow &row : router_->servers()) {
        if (isUsable(row, *ask.prompt) && !isKnownDown(ask, row.server.name)) {
            names.push_back(row.server.name);
        }
    }
    const std::size_t home = exclusiveRunTarget(ask.prompt->fingerprint, names);
    if (home == NoCandidate) {
        return std::nullopt;
    }
    Choice routed;
    routed.server = indexOf(names[home]);
    routed.withoutQuotes = true;
    auto choice = choiceOf(ask, routed);
    if (choice) {
        choice->alone = true;
    }
    return choice;
}

std::optional<AgentChoice> Chooser::chooseKeyed(const Ask &ask)
{
    for (const Candidate &candidate : ask.candidates) {
        if (candidate.reply && static_cast<UpstreamState>(candidate.reply->state) == UpstreamState::Accepting) {
            Choice routed;
            routed.server = indexOf(candidate.upstream);
            routed.withoutQuotes = true;
            return choiceOf(ask, routed);
        }
    }
    return std::nullopt;
}

std::optional<AgentChoice> Chooser::chooseRouted(const Ask &ask)
{
    // The servers may have changed while the probes were under way.
    Plan plan;
    std::vector<Quote> quotes;
    std::vector<ServerIndex> exclude;
    for (const Candidate &candidate : ask.candidates) {
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
        if (!ask.avoided && ask.avoid.contains(agent.address)) {
            exclude.push_back(indexOf(upstream));
        }
    }
    const Choice routed = router_->choose(ask.prompt->query(), plan, quotes, monotonicNow(), exclude);
    return routed.server == NoServer ? std::nullopt : choiceOf(ask, routed);
}

std::optional<AgentChoice> Chooser::choiceOf(const Ask &ask, const Choice &routed)
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
    choice.agent = agent->second.incarnation;
    choice.upstreamName = server.name;
    choice.weightsVersion = server.weightsVersion;
    choice.avoided = ask.avoided;
    choice.routed = routed;
    choice.prompt = ask.prompt;
    for (const Candidate &candidate : ask.candidates) {
        if (candidate.upstream == server.name && candidate.reply) {
            choice.connection = candidate.connection;
            choice.agent = candidate.reply->agent;
            choice.upstream = candidate.reply->upstream;
            choice.weightsVersion = candidate.reply->weightsVersion;
        }
    }
    return choice;
}

// 4. Accounting -----------------------------------------------------------------------------------

void Chooser::dispatched(const AgentChoice &choice, Micros now)
{
    Choice routed = choice.routed;
    routed.server = indexOf(choice.upstreamName);
    if (routed.server != NoServer) {
        router_->onDispatched(choice.prompt->query(), routed, now);
    }
}

void Chooser::firstToken(const AgentChoice &choice, Micros elapsed, Micros now)
{
    Choice routed = choice.routed;
    routed.server = indexOf(choice.upstreamName);
    if (routed.server != NoServer) {
        router_->onFirstToken(choice.prompt->query(), routed, elapsed, now);
    }
}

void Chooser::ended(const AgentChoice &choice, Micros now)
{
    Choice routed = choice.routed;
    routed.server = indexOf(choice.upstreamName);
    // A row whose requests have all ended may have left the table and come back.
    if (routed.server != NoServer && router_->servers()[routed.server].load.inFlight > 0) {
        router_->onEnded(routed, now);
    }
}

} // namespace Carobhall
