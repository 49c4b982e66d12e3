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
    , regionCut_(options.regions)
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
    Node &row = nodes[node];
    MembershipOptions options;
    options.self = { .name = "member-" + std::to_string(node),
                     .zone = zoneOf(row.region),
                     .address = row.address,
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
    row.membership = std::make_unique<Membership>(std::move(options));
    row.running = true;
    row.paused = false;
    row.inbox.clear();
}

void Cluster::submit(std::size_t from, const std::string &to, std::string_view payload)
{
    Node &sender = nodes[from];
    ++sender.sentDatagrams;
    sender.sentBytes += payload.size() + SealOverheadBytes;
    const auto found = addresses_.find(to);
    if (found == addresses_.end() || chance(options_.loss)) {
        return;
    }
    const Node &receiver = nodes[found->second];
    if (sender.region != receiver.region && (regionCut_[sender.region] || regionCut_[receiver.region])) {
        return;
    }
    if (const auto [one, other] = pathCut_; one != other && (std::pair(from, found->second) == pathCut_ || std::pair(found->second, from) == pathCut_)) {
        return;
    }
    const int copies = chance(options_.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const Micros spread = options_.maxDelay - options_.minDelay + 1;
        const Micros delay = options_.minDelay + static_cast<Micros>(random_() % static_cast<std::uint64_t>(spread));
        flying_.push({ .at = now_ + delay, .order = ++order_, .to = found->second, .from = sender.address, .payload = std::string(payload) });
    }
}

void Cluster::deliver(const Flying &flying)
{
    Node &node = nodes[flying.to];
    if (!node.running) {
        return;
    }
    if (keepHistory_ && history_.size() < HistoryLimit) {
        history_.push_back(flying);
    }
    node.receivedBytes += flying.payload.size() + SealOverheadBytes;
    if (node.paused && node.frozenVm) {
        return;
    }
    if (node.paused) {
        node.inbox.emplace_back(flying.from, flying.payload);
        return;
    }
    node.membership->receive(flying.payload, flying.from, now_);
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
        // Ticks of the nodes are spread over the tick period, as in separate processes.
        const Micros slice = TickPeriod / 5;
        const auto turn = static_cast<std::size_t>(now_ / slice % 5);
        now_ += slice;
        while (!flying_.empty() && flying_.top().at <= now_) {
            const Flying flying = flying_.top();
            flying_.pop();
            deliver(flying);
        }
        for (std::size_t i = turn; i < nodes.size(); i += 5) {
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

void Cluster::cutRegion(std::size_t region, bool cut)
{
    regionCut_[region] = cut;
}

void Cluster::cutPath(std::size_t one, std::size_t other)
{
    pathCut_ = { one, other };
}

void Cluster::replayHistory()
{
    for (const Flying &flying : std::exchange(history_, {})) {
        deliver(flying);
    }
    history_.clear();
}

bool Cluster::chance(double probability)
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

std::size_t Cluster::countNot(const std::function<bool(const Membership &)> &condition) const
{
    return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [&](const Node &node) { return node.running && !condition(*node.membership); }));
}

} // namespace Carobhall::Test
