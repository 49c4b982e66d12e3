#include "carobhall/configuration.h"

#include <algorithm>
#include <xxhash.h>

namespace Carobhall
{

namespace
{

/// Peers that are asked at once to confirm the version after a pause.
constexpr std::size_t ConfirmFanOut = 3;

/// Only members that rank this high in their zone keep neighbours elsewhere, to save traffic between zones and regions.
constexpr std::size_t BridgesPerZone = 8;

/// A process that offers to this one counts as a neighbour until it has been silent for this many offer intervals.
constexpr int NeighbourSilence = 3;

std::uint64_t rankOf(const std::string &of, const std::string &member)
{
    return XXH3_64bits_withSeed(member.data(), member.size(), XXH3_64bits(of.data(), of.size()));
}

/// The \p count members that rank highest for \p of, best first.
std::vector<std::string> highest(const std::string &of, const std::vector<std::string> &members, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const std::string *>> ranked;
    ranked.reserve(members.size());
    for (const std::string &member : members) {
        ranked.emplace_back(rankOf(of, member), &member);
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
    enum class Standing : std::uint8_t { Starting, Serving, Confirming };

    Impl(ConfigHolder &configHolder, PlatformClient &platform, RelayOptions relayOptions)
        : holder(configHolder)
        , client(platform)
        , options(std::move(relayOptions))
        , generator(options.seed)
        , serves(options.servesPerSecond, options.serveBurst)
    {
    }

    void setMembers(const std::vector<RelayMember> &members, Micros now);
    void watchIf(bool wanted);
    void onObject(const PlatformObject &object, Micros now);
    void onOffer(const std::string &peer, const ConfigOffer &offer, Micros now);
    void onPull(const std::string &peer, const ConfigPull &pull, Micros now);
    void onData(const std::string &peer, const ConfigData &data, Micros now);
    void answerPull(const std::string &peer, const ConfigPull &pull, Micros now);
    bool acceptData(const std::string &peer, const ConfigData &data, Micros now);
    void heardOf(const std::string &peer, std::uint64_t version, Micros now);
    void spread(const std::string &except);
    void offerTo(const std::string &peer);
    void pullNext(Micros now);
    void tick(Micros now);
    void notePause(Micros now);
    void askToConfirm(Micros now);
    void serveOn(Micros now);
    std::optional<std::string> randomMember();
    Micros jitter(Micros bound);

    ConfigHolder &holder;
    PlatformClient &client;
    RelayOptions options;
    Generator generator;
    TokenBucket serves;
    RelayStats stats;
    std::unique_ptr<ObjectWatcher> watcher;

    std::vector<std::string> inZone; ///< Without this process.
    std::vector<std::string> elsewhere;
    std::set<std::string> neighbours;
    std::map<std::string, Micros> offerers; ///< Peers that count this process as a neighbour, and when they last offered.

    std::map<std::string, std::uint64_t> sources; ///< Peers that hold a newer version.
    std::string pulling;                          ///< The peer that was asked, while it has not answered.
    Micros pullDeadline = 0;
    Micros pullAt = 0;
    bool pullWhole = false; ///< A delta did not give the document; the next pull asks for the whole text.
    Micros nextOffer = 0;

    Standing standing = Standing::Starting;
    Micros confirmDeadline = 0;
    Micros nextConfirm = 0;
    std::set<std::string> confirmers;           ///< Peers that were asked since the pause.
    std::map<std::string, ConfigPull> deferred; ///< Pulls that wait until this process has confirmed its own version.
    Micros lastTick = 0;
};

Micros ConfigRelay::Impl::jitter(Micros bound)
{
    return std::uniform_int_distribution<Micros>(0, bound)(generator);
}

std::optional<std::string> ConfigRelay::Impl::randomMember()
{
    const std::vector<std::string> &from = inZone.empty() || (!elsewhere.empty() && jitter(7) == 0) ? elsewhere : inZone;
    if (from.empty()) {
        return std::nullopt;
    }
    return from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(generator)];
}

// Members and roles

void ConfigRelay::Impl::setMembers(const std::vector<RelayMember> &members, Micros now)
{
    inZone.clear();
    elsewhere.clear();
    for (const RelayMember &member : members) {
        if (member.name != options.self.name) {
            (member.zone == options.self.zone ? inZone : elsewhere).push_back(member.name);
        }
    }
    std::vector<std::string> zone = inZone;
    zone.push_back(options.self.name);
    const std::vector<std::string> ranked = highest(options.environment, zone, BridgesPerZone);
    const auto own = static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), options.self.name) - ranked.begin());
    watchIf(own < options.watchersPerZone);

    std::set<std::string> chosen;
    for (std::string &name : highest(options.self.name, inZone, options.neighboursInZone)) {
        chosen.insert(std::move(name));
    }
    if (own < ranked.size()) {
        for (std::string &name : highest(options.self.name, elsewhere, options.neighboursElsewhere)) {
            chosen.insert(std::move(name));
        }
    }
    for (const std::string &name : chosen) {
        if (!neighbours.contains(name)) {
            offerTo(name);
        }
    }
    neighbours = std::move(chosen);
    nextOffer = std::max(nextOffer, now);
}

void ConfigRelay::Impl::watchIf(bool wanted)
{
    if (wanted == (watcher != nullptr)) {
        return;
    }
    if (!wanted) {
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
        spread({});
    }
    if (standing != Standing::Serving && object.version == holder.held().version) {
        serveOn(now);
    }
}

// Spreading

void ConfigRelay::Impl::offerTo(const std::string &peer)
{
    ++stats.offersSent;
    options.send(peer, ConfigOffer{ .version = holder.held().version, .digest = holder.held().digest });
}

void ConfigRelay::Impl::spread(const std::string &except)
{
    std::set<std::string> targets = neighbours;
    for (const auto &[peer, heardAt] : offerers) {
        targets.insert(peer);
    }
    targets.erase(except);
    for (const std::string &peer : targets) {
        offerTo(peer);
    }
    if (options.onVersionChanged) {
        options.onVersionChanged(holder.held().version, holder.held().digest);
    }
}

void ConfigRelay::Impl::heardOf(const std::string &peer, std::uint64_t version, Micros now)
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
        offerers[peer] = now;
    }
    if (holder.acceptVersion(offer.version, offer.digest)) {
        spread(peer);
    } else if (offer.version < holder.held().version) {
        offerTo(peer);
    } else {
        heardOf(peer, offer.version, now);
    }
}

void ConfigRelay::Impl::pullNext(Micros now)
{
    if (!pulling.empty() && now < pullDeadline) {
        return;
    }
    if (!pulling.empty()) {
        sources.erase(pulling);
        pulling.clear();
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
    pulling = *peer;
    pullDeadline = now + options.pullTimeout + jitter(options.pullTimeout / 2);
    ++stats.pullsSent;
    options.send(pulling, ConfigPull{ .have = holder.held().version, .takesDelta = !pullWhole });
}

void ConfigRelay::Impl::onPull(const std::string &peer, const ConfigPull &pull, Micros now)
{
    if (standing == Standing::Confirming) {
        deferred[peer] = pull;
        return;
    }
    answerPull(peer, pull, now);
}

void ConfigRelay::Impl::answerPull(const std::string &peer, const ConfigPull &pull, Micros now)
{
    const HeldDocument &held = holder.held();
    if (pull.have >= held.version) {
        // Without a text this says that there is nothing newer here; only pulls are answered with it.
        options.send(peer, ConfigData{ .version = held.version, .digest = held.digest, .text = {} });
        heardOf(peer, pull.have, now);
        return;
    }
    if (!serves.take(now)) {
        ++stats.pullsUnanswered;
        return;
    }
    const std::shared_ptr<const std::string> base = pull.takesDelta ? holder.textOf(pull.have) : nullptr;
    ConfigData data = deltaOf(held, pull.have, base.get());
    ++stats.documentsSent;
    stats.deltasSent += data.base != 0 ? 1 : 0;
    options.send(peer, std::move(data));
}

/// Takes the document in \p data. Returns whether it is newer than what was held.
bool ConfigRelay::Impl::acceptData(const std::string &peer, const ConfigData &data, Micros now)
{
    const HeldDocument &held = holder.held();
    const bool hasDocument = data.base != 0 || !data.text.empty();
    if (!hasDocument || data.version <= held.version) {
        return false;
    }
    std::optional<std::string> text = applyDelta(data, held.version, held.text.get());
    if (text && holder.accept(data.version, data.digest, std::move(*text))) {
        pullWhole = false;
        return true;
    }
    if (data.base != 0) {
        ++stats.deltasUnfit;
        // A delta from a version that was held before says nothing about the one that is held now.
        pullWhole = data.base == held.version;
        sources[peer] = data.version;
        pullAt = now;
    }
    return false;
}

void ConfigRelay::Impl::onData(const std::string &peer, const ConfigData &data, Micros now)
{
    if (peer == pulling) {
        pulling.clear();
        sources.erase(peer);
        pullAt = sources.empty() ? now + jitter(options.pullTimeout) : now;
    }
    if (acceptData(peer, data, now)) {
        spread(peer);
    }
    const bool current = data.version <= holder.held().version;
    // After a start every answer is newer than the process.
    if (standing != Standing::Serving && current && (standing == Standing::Starting || confirmers.contains(peer))) {
        serveOn(now);
    }
}

// Pauses

void ConfigRelay::Impl::notePause(Micros now)
{
    const bool first = lastTick == 0;
    const bool paused = !first && now - lastTick > options.pauseThreshold;
    lastTick = now;
    if (!first && !paused) {
        return;
    }
    standing = first ? Standing::Starting : Standing::Confirming;
    confirmDeadline = now + (first ? options.startTimeout : options.confirmTimeout);
    nextConfirm = now;
    confirmers.clear();
    if (paused) {
        ++stats.pauses;
        logEvent(LogLevel::Warning, "config_confirming", { { "version", holder.held().version } });
    }
}

void ConfigRelay::Impl::askToConfirm(Micros now)
{
    if (standing == Standing::Serving) {
        return;
    }
    if (now >= confirmDeadline && holder.inEffect().text) {
        ++stats.unconfirmed;
        logEvent(LogLevel::Warning, "config_unconfirmed", { { "version", holder.held().version } });
        serveOn(now);
        return;
    }
    if (now < nextConfirm) {
        return;
    }
    if (inZone.empty() && elsewhere.empty()) {
        return; // The peers become known a few milliseconds after a start.
    }
    nextConfirm = now + options.pullTimeout;
    for (std::size_t i = 0; i < ConfirmFanOut; ++i) {
        const std::optional<std::string> peer = randomMember();
        // The answer to a pull from before the pause may still be on its way, and it confirms nothing.
        if (!peer || *peer == pulling || !confirmers.insert(*peer).second) {
            continue;
        }
        ++stats.pullsSent;
        options.send(*peer, ConfigPull{ .have = holder.held().version, .takesDelta = !pullWhole });
    }
}

void ConfigRelay::Impl::serveOn(Micros now)
{
    if (!holder.inEffect().text) {
        return;
    }
    standing = Standing::Serving;
    confirmers.clear();
    const std::map<std::string, ConfigPull> pulls = std::move(deferred);
    deferred.clear();
    for (const auto &[peer, pull] : pulls) {
        answerPull(peer, pull, now);
    }
}

void ConfigRelay::Impl::tick(Micros now)
{
    notePause(now);
    askToConfirm(now);
    if (watcher) {
        watcher->tick(now);
    }
    pullNext(now);
    if (now < nextOffer) {
        return;
    }
    nextOffer = now + options.offerEvery / 2 + jitter(options.offerEvery / 2);
    std::erase_if(offerers, [&](const auto &entry) { return now - entry.second > NeighbourSilence * options.offerEvery; });
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
    impl_->heardOf(peer, version, now);
}

void ConfigRelay::tick(Micros now)
{
    impl_->tick(now);
}

bool ConfigRelay::mayServe() const
{
    return impl_->standing == Impl::Standing::Serving && impl_->holder.inEffect().text != nullptr;
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
