#include "cluster.h"

#include <algorithm>

namespace Carobhall::Test
{

namespace
{

constexpr Micros TickPeriod = 50 * MicrosPerMilli;
constexpr std::size_t HistoryLimit = 20'000;

std::string zoneOf(std::size_t region)
{
    return "zone-" + std::to_string(region) + "-a";
}

} // namespace

Cluster::Cluster(ClusterOptions options)
    : options_(options)
    , random_(options.seed)
    , regionPartitioned_(options.regions)
    , keepHistory_(options.nodes <= 10)
{
    nodes.resize(options_.nodes);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        nodes[i].address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7101";
        nodes[i].region = i % options_.regions;
        addresses_[nodes[i].address] = i;
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        start(i);
    }
}

void Cluster::start(std::size_t node)
{
    Node &target = nodes[node];
    MembershipOptions options;
    options.self = { .name = "member-" + std::to_string(node),
                     .zone = zoneOf(target.region),
                     .address = target.address,
                     .incarnation = random_() | 1U,
                     .kind = static_cast<std::uint8_t>(node % 4 == 0 ? ProcessKind::Entry : ProcessKind::Agent),
                     .upstream = node % 4 == 0 ? std::string() : "engine-" + std::to_string(node),
                     .upstreamIncarnation = node % 4 == 0 ? 0 : random_(),
                     .upstreamState = 0,
                     .route = node % 4 == 0 ? std::string() : "needle-large-70b",
                     .weightsVersion = node % 4 == 0 ? std::string() : "2026-11-03",
                     .configVersion = 1 };
    options.seeds = { nodes[0].address, nodes[nodes.size() / 2].address, nodes[nodes.size() - 1].address };
    options.randomSeed = random_();
    options.regionOf = [](std::string_view zone) { return std::string(zone.substr(0, zone.rfind('-'))); };
    options.mechanisms = options_.mechanisms;
    options.send = [this, node](const std::string &to, std::string_view payload) { submit(node, to, payload); };
    options.onEvent = [this, node](const MemberEvent &event) { nodes[node].events.push_back(event.kind); };
    target.membership = std::make_unique<Membership>(std::move(options));
    target.running = true;
    target.paused = false;
    target.inbox.clear();
}

void Cluster::submit(std::size_t from, const std::string &to, std::string_view payload)
{
    Node &sender = nodes[from];
    ++sender.sentDatagrams;
    sender.sentBytes += payload.size() + SealOverheadBytes;
    const auto found = addresses_.find(to);
    if (found == addresses_.end() || randomChance(options_.loss)) {
        return;
    }
    const Node &receiver = nodes[found->second];
    if (sender.region != receiver.region && (regionPartitioned_[sender.region] || regionPartitioned_[receiver.region])) {
        return;
    }
    if (const auto [one, other] = blockedPath_;
        one != other && (std::pair(from, found->second) == blockedPath_ || std::pair(found->second, from) == blockedPath_)) {
        return;
    }
    const int copies = randomChance(options_.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const Micros spread = options_.maxDelay - options_.minDelay + 1;
        const Micros delay = options_.minDelay + static_cast<Micros>(random_() % static_cast<std::uint64_t>(spread));
        inFlight_.push({ .at = now_ + delay, .order = ++order_, .to = found->second, .from = sender.address, .payload = std::string(payload) });
    }
}

void Cluster::deliver(const InFlightDatagram &datagram)
{
    Node &node = nodes[datagram.to];
    if (!node.running) {
        return;
    }
    if (keepHistory_ && history_.size() < HistoryLimit) {
        history_.push_back(datagram);
    }
    node.receivedBytes += datagram.payload.size() + SealOverheadBytes;
    if (node.paused && node.frozenVm) {
        return;
    }
    if (node.paused) {
        node.inbox.emplace_back(datagram.from, datagram.payload);
        return;
    }
    node.membership->receive(datagram.payload, datagram.from, now_);
}

void Cluster::run(Micros duration)
{
    runUntil([] { return false; }, duration);
}

Micros Cluster::runUntil(const std::function<bool()> &condition, Micros limit)
{
    const Micros begin = now_;
    const Micros end = now_ + limit;
    while (now_ < end) {
        // The nodes tick in five groups at different times within the tick period, because separate processes do not tick in step.
        const Micros slice = TickPeriod / 5;
        const auto tickGroup = static_cast<std::size_t>(now_ / slice % 5);
        now_ += slice;
        while (!inFlight_.empty() && inFlight_.top().at <= now_) {
            const InFlightDatagram datagram = inFlight_.top();
            inFlight_.pop();
            deliver(datagram);
        }
        for (std::size_t i = tickGroup; i < nodes.size(); i += 5) {
            if (nodes[i].running && !nodes[i].paused) {
                nodes[i].membership->tick(now_);
            }
        }
        if (condition()) {
            return now_ - begin;
        }
    }
    return -1;
}

void Cluster::crash(std::size_t node)
{
    nodes[node].running = false;
}

void Cluster::restart(std::size_t node)
{
    start(node);
}

void Cluster::pause(std::size_t node, bool frozenVm)
{
    nodes[node].paused = true;
    nodes[node].frozenVm = frozenVm;
}

void Cluster::resume(std::size_t node)
{
    nodes[node].paused = false;
    for (const auto &[from, payload] : std::exchange(nodes[node].inbox, {})) {
        nodes[node].membership->receive(payload, from, now_);
    }
}

void Cluster::setRegionPartitioned(std::size_t region, bool partitioned)
{
    regionPartitioned_[region] = partitioned;
}

void Cluster::blockPath(std::size_t one, std::size_t other)
{
    blockedPath_ = { one, other };
}

void Cluster::replayHistory()
{
    for (const InFlightDatagram &datagram : std::exchange(history_, {})) {
        deliver(datagram);
    }
    history_.clear();
}

bool Cluster::randomChance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

Incarnation Cluster::incarnationOf(std::size_t node) const
{
    return nodes[node].membership->self().info.incarnation;
}

MemberState Cluster::stateAt(std::size_t observer, std::size_t subject) const
{
    const Member *member = nodes[observer].membership->find(incarnationOf(subject));
    return member == nullptr ? MemberState::Dead : member->state;
}

bool Cluster::converged() const
{
    const auto running = static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](const Node &node) { return node.running; }));
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (!nodes[i].running) {
            continue;
        }
        if (nodes[i].membership->aliveCount() != running) {
            return false;
        }
        for (const Member &member : nodes[i].membership->members()) {
            if (member.state != MemberState::Dead && !member.reachable) {
                return false;
            }
        }
        for (std::size_t j = 0; j < nodes.size(); ++j) {
            if (nodes[j].running && stateAt(i, j) != MemberState::Alive) {
                return false;
            }
        }
    }
    return true;
}

std::size_t Cluster::countFailing(const std::function<bool(const Membership &)> &condition) const
{
    return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [&](const Node &node) { return node.running && !condition(*node.membership); }));
}

} // namespace Carobhall::Test
