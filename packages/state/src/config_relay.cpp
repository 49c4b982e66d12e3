#include "carobhall/configuration.h"

#include <algorithm>
#include <xxhash.h>

namespace Carobhall
{

namespace
{

/// Number of peers asked at the same time to confirm the version after a start or a pause.
constexpr std::size_t ConfirmFanOut = 3;

/// Number of top-ranked members per zone that have neighbours outside the zone. Limits traffic between zones and regions.
constexpr std::size_t BridgesPerZone = 8;

/// A peer that sends offers counts as an inbound neighbour until it has sent none for this many offer intervals.
constexpr int NeighbourTimeoutIntervals = 3;

std::uint64_t rankOf(const std::string &key, const std::string &member)
{
    return XXH3_64bits_withSeed(member.data(), member.size(), XXH3_64bits(key.data(), key.size()));
}

/// The \p count members that rank highest for \p key by rendezvous hashing, best first.
std::vector<std::string> highestRanked(const std::string &key, const std::vector<std::string> &members, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const std::string *>> ranked;
    ranked.reserve(members.size());
    for (const std::string &member : members) {
        ranked.emplace_back(rankOf(key, member), &member);
    }
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), std::greater<>());
    std::vector<std::string> best;
    for (std::size_t i = 0; i < count; ++i) {
        best.push_back(*ranked[i].second);
    }
    return best;
}

} // namespace

struct ConfigRelay::Impl : std::enable_shared_from_this<Impl> {
    enum class ServingState : std::uint8_t { Starting, Serving, Confirming };

    Impl(ConfigHolder &configHolder, PlatformClient &platform, RelayOptions relayOptions)
        : holder(configHolder)
        , client(platform)
        , options(std::move(relayOptions))
        , generator(options.seed)
        , documentBudget(options.documentsPerSecond, options.documentBurst)
    {
    }

    void setMembers(const std::vector<RelayMember> &members, Micros now);
    void setWatching(bool enabled);
    void onObject(const PlatformObject &object, Micros now);
    void onOffer(const std::string &peer, const ConfigOffer &offer, Micros now);
    void onPull(const std::string &peer, const ConfigPull &pull, Micros now);
    void onData(const std::string &peer, const ConfigData &data, Micros now);
    void answerPull(const std::string &peer, const ConfigPull &pull, Micros now);
    bool acceptData(const std::string &peer, const ConfigData &data, Micros now);
    void noteSource(const std::string &peer, std::uint64_t version, Micros now);
    void announce(const std::string &exceptPeer);
    void offerTo(const std::string &peer);
    void pullNext(Micros now);
    void tick(Micros now);
    void detectPause(Micros now);
    void requestConfirmation(Micros now);
    void resumeServing(Micros now);
    std::optional<std::string> randomMember();
    Micros jitter(Micros bound);

    ConfigHolder &holder;
    PlatformClient &client;
    RelayOptions options;
    Generator generator;
    TokenBucket documentBudget;
    RelayStats stats;
    std::unique_ptr<ObjectWatcher> watcher;

    std::vector<std::string> inZone; ///< Members of this zone, without this process.
    std::vector<std::string> outsideZone;
    std::set<std::string> neighbours;
    std::map<std::string, Micros> inboundNeighbours; ///< Peers that have this process as a neighbour, and the time of their last offer.

    std::map<std::string, std::uint64_t> sources; ///< Peers known to hold a newer version.
    std::string pullPeer;                         ///< The peer whose reply to a pull is pending; empty if none.
    Micros pullDeadline = 0;
    Micros pullAt = 0;
    bool pullFullText = false; ///< A delta did not yield the document; the next pull requests the full text.
    Micros nextOffer = 0;

    ServingState servingState = ServingState::Starting;
    Micros confirmDeadline = 0;
    Micros nextConfirm = 0;
    std::set<std::string> confirmingPeers;           ///< Peers asked to confirm since the start or pause.
    std::map<std::string, ConfigPull> deferredPulls; ///< Pulls to answer once the version of this process is confirmed.
    Micros lastTick = 0;
};

Micros ConfigRelay::Impl::jitter(Micros bound)
{
    return std::uniform_int_distribution<Micros>(0, bound)(generator);
}

std::optional<std::string> ConfigRelay::Impl::randomMember()
{
    const std::vector<std::string> &from = inZone.empty() || (!outsideZone.empty() && jitter(7) == 0) ? outsideZone : inZone;
    if (from.empty()) {
        return std::nullopt;
    }
    return from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(generator)];
}

// Membership and roles

void ConfigRelay::Impl::setMembers(const std::vector<RelayMember> &members, Micros now)
{
    inZone.clear();
    outsideZone.clear();
    for (const RelayMember &member : members) {
        if (member.name != options.self.name) {
            (member.zone == options.self.zone ? inZone : outsideZone).push_back(member.name);
        }
    }
    std::vector<std::string> zone = inZone;
    zone.push_back(options.self.name);
    const std::vector<std::string> ranked = highestRanked(options.environment, zone, BridgesPerZone);
    const auto ownRank = static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), options.self.name) - ranked.begin());
    setWatching(ownRank < options.watchersPerZone);

    std::set<std::string> selected;
    for (std::string &name : highestRanked(options.self.name, inZone, options.neighboursInZone)) {
        selected.insert(std::move(name));
    }
    if (ownRank < ranked.size()) {
        for (std::string &name : highestRanked(options.self.name, outsideZone, options.neighboursOutsideZone)) {
            selected.insert(std::move(name));
        }
    }
    for (const std::string &name : selected) {
        if (!neighbours.contains(name)) {
            offerTo(name);
        }
    }
    neighbours = std::move(selected);
    nextOffer = std::max(nextOffer, now);
}

void ConfigRelay::Impl::setWatching(bool enabled)
{
    if (enabled == (watcher != nullptr)) {
        return;
    }
    if (!enabled) {
        watcher.reset();
        return;
    }
    WatcherOptions watch{ .kind = EnvironmentKind, .name = options.environment, .onObject = {}, .onDeleted = {} };
    watch.onObject = [this](const PlatformObject &object, Micros now) { onObject(object, now); };
    watcher = std::make_unique<ObjectWatcher>(client, std::move(watch));
}

void ConfigRelay::Impl::onObject(const PlatformObject &object, Micros now)
{
    std::optional<std::string> text = decodeEnvironment(object.spec);
    if (!text) {
        logEvent(LogLevel::Error, "config_malformed", { { "object", object.name }, { "version", object.version } });
        return;
    }
    const std::string digest = documentDigest(*text);
    if (holder.acceptVersion(object.version, digest) || holder.accept(object.version, digest, std::move(*text))) {
        announce({});
    }
    if (servingState != ServingState::Serving && object.version == holder.held().version) {
        resumeServing(now);
    }
}

// Dissemination

void ConfigRelay::Impl::offerTo(const std::string &peer)
{
    ++stats.offersSent;
    options.send(peer, ConfigOffer{ .version = holder.held().version, .digest = holder.held().digest });
}

void ConfigRelay::Impl::announce(const std::string &exceptPeer)
{
    std::set<std::string> targets = neighbours;
    for (const auto &[peer, heardAt] : inboundNeighbours) {
        targets.insert(peer);
    }
    targets.erase(exceptPeer);
    for (const std::string &peer : targets) {
        offerTo(peer);
    }
    if (options.onVersionChanged) {
        options.onVersionChanged(holder.held().version, holder.held().digest);
    }
}

void ConfigRelay::Impl::noteSource(const std::string &peer, std::uint64_t version, Micros now)
{
    if (version <= holder.held().version) {
        return;
    }
    if (sources.empty()) {
        pullAt = now + jitter(options.pullJitter);
    }
    sources[peer] = version;
}

void ConfigRelay::Impl::onOffer(const std::string &peer, const ConfigOffer &offer, Micros now)
{
    if (!neighbours.contains(peer)) {
        inboundNeighbours[peer] = now;
    }
    if (holder.acceptVersion(offer.version, offer.digest)) {
        announce(peer);
    } else if (offer.version < holder.held().version) {
        offerTo(peer);
    } else {
        noteSource(peer, offer.version, now);
    }
}

void ConfigRelay::Impl::pullNext(Micros now)
{
    if (!pullPeer.empty() && now < pullDeadline) {
        return;
    }
    if (!pullPeer.empty()) {
        sources.erase(pullPeer);
        pullPeer.clear();
    }
    std::erase_if(sources, [&](const auto &source) { return source.second <= holder.held().version; });
    const bool empty = holder.held().version == 0;
    if ((sources.empty() && !empty) || now < pullAt) {
        return;
    }
    std::optional<std::string> peer;
    if (sources.empty()) {
        peer = randomMember();
    } else {
        const auto skip = static_cast<std::ptrdiff_t>(std::uniform_int_distribution<std::size_t>(0, sources.size() - 1)(generator));
        peer = std::next(sources.begin(), skip)->first;
    }
    if (!peer) {
        return;
    }
    pullPeer = *peer;
    pullDeadline = now + options.pullTimeout + jitter(options.pullTimeout / 2);
    ++stats.pullsSent;
    options.send(pullPeer, ConfigPull{ .heldVersion = holder.held().version, .acceptsDelta = !pullFullText });
}

void ConfigRelay::Impl::onPull(const std::string &peer, const ConfigPull &pull, Micros now)
{
    if (servingState == ServingState::Confirming) {
        deferredPulls[peer] = pull;
        return;
    }
    answerPull(peer, pull, now);
}

void ConfigRelay::Impl::answerPull(const std::string &peer, const ConfigPull &pull, Micros now)
{
    const HeldDocument &held = holder.held();
    if (pull.heldVersion >= held.version) {
        // Data without a text tells the puller that there is no newer version here. It is sent only in reply to a pull.
        options.send(peer, ConfigData{ .version = held.version, .digest = held.digest, .text = {} });
        noteSource(peer, pull.heldVersion, now);
        return;
    }
    if (!documentBudget.take(now)) {
        ++stats.pullsDropped;
        return;
    }
    const std::shared_ptr<const std::string> base = pull.acceptsDelta ? holder.textOf(pull.heldVersion) : nullptr;
    ConfigData data = deltaOf(held, pull.heldVersion, base.get());
    ++stats.documentsSent;
    stats.deltasSent += data.base != 0 ? 1 : 0;
    options.send(peer, std::move(data));
}

/// Accepts the document in \p data if it is newer than the held one. Returns whether it was accepted.
bool ConfigRelay::Impl::acceptData(const std::string &peer, const ConfigData &data, Micros now)
{
    const HeldDocument &held = holder.held();
    const bool hasDocument = data.base != 0 || !data.text.empty();
    if (!hasDocument || data.version <= held.version) {
        return false;
    }
    std::optional<std::string> text = applyDelta(data, held.version, held.text.get());
    if (text && holder.accept(data.version, data.digest, std::move(*text))) {
        pullFullText = false;
        return true;
    }
    if (data.base != 0) {
        ++stats.deltasRejected;
        // The full text is needed only if the delta was relative to the version held now. A delta relative to an earlier version is
        // merely outdated.
        pullFullText = data.base == held.version;
        sources[peer] = data.version;
        pullAt = now;
    }
    return false;
}

void ConfigRelay::Impl::onData(const std::string &peer, const ConfigData &data, Micros now)
{
    if (peer == pullPeer) {
        pullPeer.clear();
        sources.erase(peer);
        pullAt = sources.empty() ? now + jitter(options.pullTimeout) : now;
    }
    if (acceptData(peer, data, now)) {
        announce(peer);
    }
    const bool current = data.version <= holder.held().version;
    // After a start every reply counts as a confirmation, because all pulls were sent after the start.
    if (servingState != ServingState::Serving && current && (servingState == ServingState::Starting || confirmingPeers.contains(peer))) {
        resumeServing(now);
    }
}

// Confirmation after a start or a pause

void ConfigRelay::Impl::detectPause(Micros now)
{
    const bool first = lastTick == 0;
    const bool paused = !first && now - lastTick > options.pauseThreshold;
    lastTick = now;
    if (!first && !paused) {
        return;
    }
    servingState = first ? ServingState::Starting : ServingState::Confirming;
    confirmDeadline = now + (first ? options.startTimeout : options.confirmTimeout);
    nextConfirm = now;
    confirmingPeers.clear();
    if (paused) {
        ++stats.pauses;
        logEvent(LogLevel::Warning, "config_confirming", { { "version", holder.held().version } });
    }
}

void ConfigRelay::Impl::requestConfirmation(Micros now)
{
    if (servingState == ServingState::Serving) {
        return;
    }
    if (now >= confirmDeadline && holder.inEffect().text) {
        ++stats.confirmTimeouts;
        logEvent(LogLevel::Warning, "config_unconfirmed", { { "version", holder.held().version } });
        resumeServing(now);
        return;
    }
    if (now < nextConfirm) {
        return;
    }
    if (inZone.empty() && outsideZone.empty()) {
        return; // Peers become known a few milliseconds after a start.
    }
    nextConfirm = now + options.pullTimeout;
    for (std::size_t i = 0; i < ConfirmFanOut; ++i) {
        const std::optional<std::string> peer = randomMember();
        // The peer with a pending pull is skipped, because its reply may date from before the pause and would not confirm anything.
        if (!peer || *peer == pullPeer || !confirmingPeers.insert(*peer).second) {
            continue;
        }
        ++stats.pullsSent;
        options.send(*peer, ConfigPull{ .heldVersion = holder.held().version, .acceptsDelta = !pullFullText });
    }
}

void ConfigRelay::Impl::resumeServing(Micros now)
{
    if (!holder.inEffect().text) {
        return;
    }
    servingState = ServingState::Serving;
    confirmingPeers.clear();
    const std::map<std::string, ConfigPull> pulls = std::move(deferredPulls);
    deferredPulls.clear();
    for (const auto &[peer, pull] : pulls) {
        answerPull(peer, pull, now);
    }
}

void ConfigRelay::Impl::tick(Micros now)
{
    detectPause(now);
    requestConfirmation(now);
    if (watcher) {
        watcher->tick(now);
    }
    pullNext(now);
    if (now < nextOffer) {
        return;
    }
    nextOffer = now + options.offerEvery / 2 + jitter(options.offerEvery / 2);
    std::erase_if(inboundNeighbours, [&](const auto &entry) { return now - entry.second > NeighbourTimeoutIntervals * options.offerEvery; });
    for (const std::string &peer : neighbours) {
        offerTo(peer);
    }
}

// Public interface

ConfigRelay::ConfigRelay(ConfigHolder &holder, PlatformClient &client, RelayOptions options)
    : impl_(std::make_shared<Impl>(holder, client, std::move(options)))
{
}

ConfigRelay::~ConfigRelay() = default;

void ConfigRelay::setMembers(const std::vector<RelayMember> &members, Micros now)
{
    impl_->setMembers(members, now);
}

void ConfigRelay::onMessage(const std::string &peer, const Message &message, Micros now)
{
    if (const auto *offer = std::get_if<ConfigOffer>(&message)) {
        impl_->onOffer(peer, *offer, now);
    } else if (const auto *pull = std::get_if<ConfigPull>(&message)) {
        impl_->onPull(peer, *pull, now);
    } else if (const auto *data = std::get_if<ConfigData>(&message)) {
        impl_->onData(peer, *data, now);
    }
}

void ConfigRelay::onPeerVersion(const std::string &peer, std::uint64_t version, Micros now)
{
    impl_->noteSource(peer, version, now);
}

void ConfigRelay::tick(Micros now)
{
    impl_->tick(now);
}

bool ConfigRelay::mayServe() const
{
    return impl_->servingState == Impl::ServingState::Serving && impl_->holder.inEffect().text != nullptr;
}

bool ConfigRelay::isWatcher() const
{
    return impl_->watcher != nullptr;
}

const RelayStats &ConfigRelay::stats() const
{
    return impl_->stats;
}

} // namespace Carobhall
