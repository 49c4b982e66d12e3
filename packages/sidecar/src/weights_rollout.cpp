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
    const std::size_t serversPerWave = std::max(LeastServersPerWave, (members.size() + MaxWaves - 1) / MaxWaves);
    std::size_t position = 0;
    for (std::size_t round = 0; round < members.size(); ++round) {
        for (const auto &[zone, list] : zones) {
            if (round >= list.size()) {
                continue;
            }
            if (list[round]->address == address) {
                return static_cast<std::uint32_t>(position / serversPerWave);
            }
            ++position;
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
    if (phase_ == Phase::Current || phase_ == Phase::Waiting) {
        phase_ = Phase::Waiting;
        closeAt_ = now + static_cast<Micros>(wave) * options_.waveInterval;
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
        phase_ = Phase::Current;
        result.closed = report.busy;
        return result;
    }
    if (phase_ == Phase::Current) {
        // The server came back with older weights, or a newer version was named during a load.
        phase_ = Phase::Waiting;
        closeAt_ = std::max(closeAt_, now);
    }
    if (phase_ == Phase::Waiting && now >= closeAt_) {
        phase_ = Phase::Closing;
        phaseSince_ = now;
    }
    if (phase_ == Phase::Closing) {
        const bool idle = report.running == 0 && report.queued == 0;
        if (idle || now - phaseSince_ >= options_.closeTime) {
            phase_ = Phase::Closed;
            phaseSince_ = now;
        }
    } else if (phase_ == Phase::Closed) {
        result.order = !report.busy && now >= retryAt_ && now - phaseSince_ >= options_.closedTime;
        if (result.order) {
            phase_ = Phase::Ordering;
        }
    } else if (phase_ == Phase::Loading && !report.busy && now - phaseSince_ >= options_.loadTimeout) {
        phase_ = Phase::Closed;
        phaseSince_ = now;
    }
    result.closing = phase_ == Phase::Closing;
    result.closed = phase_ == Phase::Closed || phase_ == Phase::Ordering || phase_ == Phase::Loading || report.busy;
    return result;
}

void WeightsRollout::ordered(OrderResult result, Micros now)
{
    switch (result) {
    case OrderResult::Accepted:
    case OrderResult::AlreadyHolds:
        phase_ = Phase::Loading;
        phaseSince_ = now;
        return;
    case OrderResult::Misdirected:
        // The name of the process is known from its answer: the next order can follow at once.
        phase_ = Phase::Closed;
        retryAt_ = now;
        return;
    case OrderResult::Conflict:
    case OrderResult::Rejected:
    case OrderResult::Unknown:
        // An order whose answer was lost may still come into effect; the sequence in the next one keeps both from doing so.
        phase_ = Phase::Closed;
        retryAt_ = now + options_.orderRetry;
        return;
    }
}

} // namespace Carobhall
