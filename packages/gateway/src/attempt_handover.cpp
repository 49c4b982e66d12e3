#include "carobhall/attempt_handover.h"

#include <algorithm>
#include <utility>

namespace Carobhall
{

AttemptHandover::AttemptHandover(std::uint32_t maxAttempts)
    : maxAttempts_(maxAttempts)
{
}

const AttemptHandover::Server *AttemptHandover::find(const UpstreamRef &upstream) const
{
    const auto found = std::ranges::find(servers_, upstream, &Server::upstream);
    return found == servers_.end() ? nullptr : &*found;
}

void AttemptHandover::record(const UpstreamRef &upstream, AttemptEnding ending)
{
    const bool mayHaveRun = ending == AttemptEnding::Silent || ending == AttemptEnding::Failed;
    if (const auto found = std::ranges::find(servers_, upstream, &Server::upstream); found != servers_.end()) {
        found->ending = ending;
        found->mayHaveRun = found->mayHaveRun || mayHaveRun;
        return;
    }
    servers_.push_back({ .upstream = upstream, .ending = ending, .mayHaveRun = mayHaveRun });
    tried_.push_back(upstream);
}

std::uint32_t AttemptHandover::upstreamsThatMayHaveRun() const
{
    const auto ended = static_cast<std::uint32_t>(std::ranges::count_if(servers_, &Server::mayHaveRun));
    const Server *const earlier = current_ ? find(current_) : nullptr;
    return ended + (current_ && (earlier == nullptr || !earlier->mayHaveRun) ? 1U : 0U);
}

void AttemptHandover::noteSent(const UpstreamRef &upstream)
{
    current_ = upstream;
    ++sent_;
}

void AttemptHandover::noteEnded(const UpstreamRef &upstream, AttemptEnding ending)
{
    current_.reset();
    record(upstream, ending);
}

void AttemptHandover::noteNotSent()
{
    sent_ -= std::min<std::uint32_t>(sent_, 1);
}

bool AttemptHandover::mayStartSuccessor() const
{
    return !isOverlapping() && (abandoned_ ? canBeServed() : sent_ < maxAttempts_);
}

void AttemptHandover::startOverlap(const UpstreamRef &successor, Micros now)
{
    successor_ = successor;
    declined_ = false;
    overlapSince_ = now;
    ++sent_;
}

bool AttemptHandover::isOverlapping() const
{
    return successor_ != nullptr;
}

HandoverStep AttemptHandover::onProgress()
{
    if (!isOverlapping()) {
        return HandoverStep::None;
    }
    // The successor may have begun to run the request.
    record(std::exchange(successor_, nullptr), AttemptEnding::Silent);
    abandoned_ = true;
    return HandoverStep::EndSuccessor;
}

HandoverStep AttemptHandover::onSuccessorHead(bool takes)
{
    if (!takes) {
        declined_ = true;
        return HandoverStep::None;
    }
    return replace(AttemptEnding::Silent);
}

void AttemptHandover::onSuccessorEnded(AttemptEnding ending)
{
    record(std::exchange(successor_, nullptr), ending);
    if (ending == AttemptEnding::Refused) {
        noteNotSent();
    }
}

HandoverStep AttemptHandover::onSilentEnded(AttemptEnding ending)
{
    if (isOverlapping() && declined_) {
        // Part of its answer was dropped.
        onSuccessorEnded(AttemptEnding::Failed);
    }
    return isOverlapping() ? replace(ending) : HandoverStep::None;
}

HandoverStep AttemptHandover::onOverlapTime(Micros now)
{
    if (!isOverlapping() || now - overlapSince_ < HandoverOverlap) {
        return HandoverStep::None;
    }
    if (declined_) {
        onSuccessorEnded(AttemptEnding::Failed);
        return HandoverStep::EndSuccessor;
    }
    return replace(AttemptEnding::Silent);
}

HandoverStep AttemptHandover::replace(AttemptEnding ending)
{
    abandoned_ = abandoned_ || ending == AttemptEnding::Silent;
    record(std::exchange(current_, std::exchange(successor_, nullptr)), ending);
    return HandoverStep::Replace;
}

bool AttemptHandover::hasAbandoned() const
{
    return abandoned_;
}

bool AttemptHandover::mayUse(const UpstreamRef &upstream, bool again) const
{
    const Server *const server = find(upstream);
    if (!abandoned_) {
        return server == nullptr;
    }
    const bool mayAddUpstream = upstreamsThatMayHaveRun() < maxAttempts_;
    if (server == nullptr) {
        return mayAddUpstream;
    }
    return again && server->ending != AttemptEnding::Failed && (server->mayHaveRun || mayAddUpstream);
}

bool AttemptHandover::wasSilent(const UpstreamRef &upstream) const
{
    const Server *const server = find(upstream);
    return server != nullptr && server->ending == AttemptEnding::Silent;
}

bool AttemptHandover::canBeServed() const
{
    return upstreamsThatMayHaveRun() < maxAttempts_
        || std::ranges::any_of(servers_, [](const Server &server) { return server.mayHaveRun && server.ending != AttemptEnding::Failed; });
}

std::uint32_t AttemptHandover::sent() const
{
    return sent_;
}

std::span<const UpstreamRef> AttemptHandover::tried() const
{
    return tried_;
}

} // namespace Carobhall
