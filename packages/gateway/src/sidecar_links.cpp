#include "sidecar_links.h"

#include <algorithm>
#include <utility>

namespace Carobhall
{

SidecarLinks::SidecarLinks(SidecarLinksOptions options)
    : options_(std::move(options))
    , endpoint_({ .context = nullptr,
                  .keys = options_.keys,
                  .self = options_.self,
                  .onOpen =
                      [this](ConnectionId connection, const PeerInfo &peer) {
                          if (const auto found = ipOf_.find(connection); found != ipOf_.end()) {
                              Link &link = links_[found->second];
                              link.open = true;
                              link.model.clear();
                              link.zone = peer.zone;
                              link.lastMessageAt = monotonicNow();
                              // On a new connection the sidecar assumes that this gateway has no pending prefill tokens.
                              if (const UpstreamRef engine = options_.upstreams->engineAt(found->second)) {
                                  engine->reportedPrefillTokens = 0;
                              }
                              logEvent(LogLevel::Info, "sidecar_connected", { { "ip", found->second }, { "peer", peer.name } });
                              endpoint_.send(connection, knownVersions(link));
                              // The sidecar may have restarted and would have nothing to pass on to a gateway that starts.
                              if (const CrashEvidence evidence = options_.crashEvidence(); !evidence.crashes.empty()) {
                                  endpoint_.send(connection, evidence);
                              }
                          }
                      },
                  .onMessage = [this](ConnectionId connection, Message message) { onMessage(connection, std::move(message)); },
                  .onClosed = [this](ConnectionId connection, std::error_code error) { onClosed(connection, error); } })
{
}

void SidecarLinks::tick(const RouteTable *routes, Micros now)
{
    const Micros offerDelay = options_.platformAvailable() ? ConfigOfferDelay : 0;
    if (const auto peer = configPulls_.nextPeer(options_.configuration(), offerDelay, now)) {
        endpoint_.send(*peer, ConfigPull{ .heldVersion = options_.configuration().version });
    }
    const ConfigStamp configuration = options_.configuration();
    if (options_.upstreams->revision() != linkedRevision_ || configuration != linkedConfiguration_) {
        linkedRevision_ = options_.upstreams->revision();
        linkedConfiguration_ = configuration;
        updateLinks(routes);
    }
    for (auto &[ip, link] : links_) {
        if (link.connection != 0 && link.open && now - link.lastMessageAt > InactivityTimeout) {
            logEvent(LogLevel::Warning, "sidecar_silent", { { "ip", ip }, { "silent_ms", (now - link.lastMessageAt) / MicrosPerMilli } });
            const ConnectionId old = std::exchange(link.connection, 0);
            ipOf_.erase(old);
            configPulls_.removePeer(old);
            endpoint_.close(old);
            link.open = false;
        }
        if (link.open) {
            if (const UpstreamRef engine = options_.upstreams->engineAt(ip)) {
                reportPendingPrefill(*engine);
            }
        }
        if (link.connection == 0 && now >= link.connectAfter) {
            link.connectAfter = now + ReconnectDelay;
            link.connection = endpoint_.dial(ip + ":" + std::to_string(options_.port));
            ipOf_[link.connection] = ip;
        }
    }
}

void SidecarLinks::updateLinks(const RouteTable *routes)
{
    std::set<std::string, std::less<>> wanted;
    for (const auto &[id, upstream] : options_.upstreams->byId()) {
        const Service *const service = routes != nullptr ? routes->service(upstream->record.service) : nullptr;
        if (upstream->present && service != nullptr && service->engine) {
            wanted.insert(upstream->record.address.substr(0, upstream->record.address.rfind(':')));
        }
    }
    for (auto it = links_.begin(); it != links_.end();) {
        if (wanted.contains(it->first)) {
            ++it;
            continue;
        }
        ipOf_.erase(it->second.connection);
        configPulls_.removePeer(it->second.connection);
        if (it->second.connection != 0) {
            endpoint_.close(it->second.connection);
        }
        it = links_.erase(it);
    }
    for (const std::string &ip : wanted) {
        links_.try_emplace(ip);
    }
}

void SidecarLinks::reportPendingPrefill(Upstream &engine)
{
    const std::string_view address = engine.record.address;
    const auto link = links_.find(address.substr(0, address.rfind(':')));
    if (link == links_.end() || !link->second.open) {
        return;
    }
    const std::uint64_t current = engine.pendingPrefillTokens;
    const std::uint64_t reported = engine.reportedPrefillTokens;
    const std::uint64_t difference = current > reported ? current - reported : reported - current;
    if (difference >= MinReportedTokenChange || (current == 0 && reported != 0)) {
        engine.reportedPrefillTokens = current;
        endpoint_.send(link->second.connection, PendingPrefill{ .pendingPrefillTokens = current });
    }
}

void SidecarLinks::announceVersions()
{
    for (const auto &[ip, link] : links_) {
        if (link.open) {
            endpoint_.send(link.connection, knownVersions(link));
        }
    }
}

void SidecarLinks::broadcast(const Message &message)
{
    std::size_t relayCount = 0;
    for (const auto &[ip, link] : links_) {
        if (link.open && relayCount < MaxRelays) {
            endpoint_.send(link.connection, message);
            ++relayCount;
        }
    }
}

KnownVersions SidecarLinks::knownVersions(const Link &link) const
{
    const ConfigStamp held = options_.configuration();
    const auto weights = weightsVersions_.find(link.model);
    return { .configuration = held.version,
             .model = link.model,
             .weights = weights == weightsVersions_.end() ? 0 : weights->second,
             .platformEra = options_.platformEra(),
             .origin = originOf(held) };
}

void SidecarLinks::onWeights(const Link &link, std::uint64_t version, Micros now)
{
    std::uint64_t &newest = weightsVersions_[link.model];
    if (version < newest) {
        endpoint_.send(link.connection, knownVersions(link));
    }
    if (version <= newest) {
        return;
    }
    logEvent(LogLevel::Info, "weights_target", { { "model", link.model }, { "version", version }, { "before", newest } });
    newest = version;
    options_.upstreams->noteWeightsTarget(link.model, version, now);
    for (const auto &[ip, other] : links_) {
        if (other.open && other.model == link.model) {
            endpoint_.send(other.connection, knownVersions(other));
        }
    }
}

std::size_t SidecarLinks::openCount() const
{
    return static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), [](const auto &entry) { return entry.second.open; }));
}

bool SidecarLinks::hasLinks() const
{
    return !links_.empty();
}

void SidecarLinks::onMessage(ConnectionId connection, Message message)
{
    const auto found = ipOf_.find(connection);
    if (found == ipOf_.end()) {
        return;
    }
    const std::string &ip = found->second;
    const Micros now = monotonicNow();
    links_[ip].lastMessageAt = now;
    if (const auto *const status = std::get_if<EngineStatus>(&message)) {
        if (status->cacheReset) {
            options_.upstreams->clearCachedParts(ip);
        }
        const EngineLoad load{ .queued = status->queued,
                               .running = status->running,
                               .usedTokens = status->usedTokens,
                               .totalTokens = status->totalTokens,
                               .model = links_[ip].model,
                               .weightsVersion = status->weightsVersion,
                               .pendingPrefillTokens = status->pendingPrefillTokens,
                               .closing = status->closing,
                               .closed = status->closed };
        options_.upstreams->noteEngineLoad(ip, load, now);
        if (status->leavingStartMs != 0) {
            if (const UpstreamRef upstream = options_.upstreams->noteEngineLeaving(ip, status->leavingStartMs, now)) {
                logEvent(LogLevel::Info, "upstream_leaving", { { "upstream", upstream->record.id }, { "source", "sidecar" } });
            }
        }
        for (const CacheChange &change : status->changes) {
            options_.upstreams->noteCachedPart(ip, change.salt, change.part, change.held, now);
        }
        options_.onGatewayCount(status->gateways);
    } else if (const auto *const known = std::get_if<KnownVersions>(&message)) {
        options_.onPlatformEra(known->platformEra);
        const ConfigStamp offer = stampOf(known->configuration, known->origin);
        options_.onConfigurationOffer(offer);
        configPulls_.addOffer(connection, offer, options_.upstreams->distanceTo(links_[ip].zone));
        if (!known->model.empty()) {
            Link &link = links_[ip];
            link.model = known->model;
            onWeights(link, known->weights, now);
        }
    } else if (std::holds_alternative<ConfigPull>(message)) {
        const ConfigStamp held = options_.configuration();
        endpoint_.send(connection, ConfigData{ .version = held.version, .digest = {}, .text = options_.configurationText(), .origin = originOf(held) });
    } else if (const auto *const reports = std::get_if<LimitReports>(&message)) {
        options_.onLimitReports(*reports);
    } else if (const auto *const sums = std::get_if<QuotaSums>(&message)) {
        options_.onQuotaSums(ip, *sums);
    } else if (const auto *const evidence = std::get_if<CrashEvidence>(&message)) {
        options_.onCrashEvidence(*evidence);
    } else if (const auto *const data = std::get_if<ConfigData>(&message)) {
        options_.onConfiguration(*data);
    }
}

void SidecarLinks::onClosed(ConnectionId connection, std::error_code error)
{
    const auto found = ipOf_.find(connection);
    if (found == ipOf_.end()) {
        return;
    }
    Link &link = links_[found->second];
    if (link.open) {
        logEvent(LogLevel::Warning, "sidecar_lost", { { "ip", found->second }, { "error", error } });
    }
    configPulls_.removePeer(connection);
    link.open = false;
    link.connection = 0;
    link.connectAfter = monotonicNow() + ReconnectDelay;
    ipOf_.erase(found);
}

} // namespace Carobhall
