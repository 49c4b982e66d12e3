#include "carobhall/weights_rollout.h"

#include <algorithm>
#include <map>

namespace Carobhall
{

std::optional<std::uint32_t> waveOf(std::vector<RolloutMember> members, std::string_view address)
{
    std::ranges::sort(members, [](const RolloutMember &a, const RolloutMember &b) { return a.id < b.id; });
    std::map<std::string, std::vector<const RolloutMember *>, std::less<>> zones;
    for (const RolloutMember &member : members) {
        zones[member.zone].push_back(&member);
    }
    const std::size_t serversPerWave = std::max(MinServersPerWave, (members.size() + MaxWaves - 1) / MaxWaves);
    std::size_t index = 0;
    for (std::size_t round = 0; round < members.size(); ++round) {
        for (const auto &[zone, zoneMembers] : zones) {
            if (round >= zoneMembers.size()) {
                continue;
            }
            if (zoneMembers[round]->address == address) {
                return static_cast<std::uint32_t>(index / serversPerWave);
            }
            ++index;
        }
    }
    return std::nullopt;
}

WeightsRollout::WeightsRollout(const RolloutOptions &options)
    : options_(options)
{
}

void WeightsRollout::setTarget(std::uint64_t version, std::uint32_t wave, Micros now)
{
    if (version <= target_) {
        return;
    }
    target_ = version;
    if (phase_ == Phase::UpToDate || phase_ == Phase::Waiting) {
        phase_ = Phase::Waiting;
        waveStart_ = now + static_cast<Micros>(wave) * options_.waveInterval;
    }
}

std::uint64_t WeightsRollout::target() const
{
    return target_;
}

RolloutStep WeightsRollout::step(const EngineReport &report, Micros now)
{
    RolloutStep result{ .version = target_, .sequence = report.sequence, .instance = report.instance };
    if (target_ == 0 || report.weightsVersion >= target_) {
        phase_ = Phase::UpToDate;
        result.closed = report.busy;
        return result;
    }
    if (phase_ == Phase::UpToDate) {
        // The server restarted with older weights, or a newer version was announced while it was loading.
        phase_ = Phase::Waiting;
        waveStart_ = std::max(waveStart_, now);
    }
    if (phase_ == Phase::Waiting && now >= waveStart_) {
        phase_ = Phase::Closing;
        phaseStart_ = now;
    }
    if (phase_ == Phase::Closing) {
        const bool idle = report.running == 0 && report.queued == 0;
        if (idle || now - phaseStart_ >= options_.drainTimeout) {
            phase_ = Phase::Closed;
            phaseStart_ = now;
        }
    } else if (phase_ == Phase::Closed) {
        result.order = !report.busy && now >= nextOrderAt_ && now - phaseStart_ >= options_.orderDelay;
        if (result.order) {
            phase_ = Phase::Ordering;
        }
    } else if (phase_ == Phase::Loading && !report.busy && now - phaseStart_ >= options_.loadTimeout) {
        phase_ = Phase::Closed;
        phaseStart_ = now;
    }
    result.closing = phase_ == Phase::Closing;
    result.closed = phase_ == Phase::Closed || phase_ == Phase::Ordering || phase_ == Phase::Loading || report.busy;
    return result;
}

void WeightsRollout::onOrderResult(OrderResult result, Micros now)
{
    switch (result) {
    case OrderResult::Accepted:
    case OrderResult::AlreadyHolds:
        phase_ = Phase::Loading;
        phaseStart_ = now;
        return;
    case OrderResult::Misdirected:
        // The reply names the process that answered, so the next order can be sent immediately.
        phase_ = Phase::Closed;
        nextOrderAt_ = now;
        return;
    case OrderResult::Conflict:
    case OrderResult::Rejected:
    case OrderResult::Unknown:
        // An order whose reply was lost may still be executed; the sequence in the next order ensures that at most one of them is.
        phase_ = Phase::Closed;
        nextOrderAt_ = now + options_.orderRetryDelay;
        return;
    }
}

} // namespace Carobhall
