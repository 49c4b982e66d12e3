#include "crash_probe.h"

#include <iterator>
#include <utility>

namespace Carobhall
{

CrashProbe::CrashProbe(std::function<void(const Upstream &)> onCrashed)
    : onCrashed_(std::move(onCrashed))
{
}

void CrashProbe::start(const UpstreamRef &upstream, Micros now)
{
    const UpstreamNumber number = upstream->number;
    if (const auto [probe, isNew] = probes_.try_emplace(number, Probe{ .channel = nullptr, .startedAt = now }); !isNew) {
        if (probe->second.channel || now - probe->second.startedAt < MinInterval) {
            return;
        }
        probe->second.startedAt = now;
    }
    const auto finish = [this, number] { return std::exchange(probes_[number].channel, nullptr); };
    probes_[number].channel = Channel::connect(upstream->record.address,
                                               { .onOpen =
                                                     [finish] {
                                                         // The process runs.
                                                         finish()->abort();
                                                     },
                                                 .onData = [] {},
                                                 .onEnd =
                                                     [this, finish, upstream](ChannelEnd end) {
                                                         const std::shared_ptr<Channel> channel = finish();
                                                         if (end == ChannelEnd::ConnectFailed) {
                                                             onCrashed_(*upstream);
                                                         }
                                                     } });
}

void CrashProbe::expire(Micros now)
{
    for (auto it = probes_.begin(); it != probes_.end();) {
        if (it->second.channel && now - it->second.startedAt > Timeout) {
            it->second.channel->abort();
            it->second.channel.reset();
        }
        it = !it->second.channel && now - it->second.startedAt > MinInterval ? probes_.erase(it) : std::next(it);
    }
}

} // namespace Carobhall
