#include "upstream_pool.h"

#include <utility>

namespace Carobhall
{

namespace
{

/// Upstream answers are bounded only against exhaustion of memory; streams are taken piece by piece.
constexpr ReaderLimits ResponseLimits{ .maxHeaderBytes = 32U << 10U, .maxBodyBytes = std::uint64_t{ 64 } << 20U };

} // namespace

UpstreamPool::UpstreamPool(const PoolOptions &options)
    : options_(options)
{
}

std::shared_ptr<Channel> UpstreamPool::takeIdle(const Upstream &upstream, Micros now)
{
    const auto found = idle_.find(upstream.number);
    if (found == idle_.end()) {
        return nullptr;
    }
    // The connection used last is the least likely to be closed by its upstream.
    while (!found->second.empty()) {
        Idle idle = std::move(found->second.back());
        found->second.pop_back();
        if (idle.channel->isOpen() && idle.channel->input().empty() && idle.usableUntil > now) {
            idle.channel->setCallbacks(nullptr, nullptr);
            return idle.channel;
        }
        idle.channel->close();
    }
    return nullptr;
}

void UpstreamPool::keep(const Upstream &upstream, std::shared_ptr<Channel> channel, std::optional<Micros> keepAlive, Micros now)
{
    std::list<Idle> &idle = idle_[upstream.number];
    const Micros lifetime = keepAlive ? static_cast<Micros>(static_cast<double>(*keepAlive) * options_.keepAliveShare) : options_.defaultKeepAlive;
    if (idle.size() >= options_.maxIdlePerUpstream || lifetime <= 0) {
        channel->close();
        return;
    }
    // Bytes on an idle connection belong to no request, so that it is not used again.
    Channel *const raw = channel.get();
    channel->setCallbacks([raw] { raw->close(); }, [](ChannelEnd) {});
    idle.push_back({ .channel = std::move(channel), .usableUntil = now + lifetime });
}

void UpstreamPool::expire(Micros now)
{
    for (auto it = idle_.begin(); it != idle_.end();) {
        it->second.remove_if([now](const Idle &idle) {
            const bool over = idle.usableUntil <= now || !idle.channel->isOpen();
            if (over) {
                idle.channel->close();
            }
            return over;
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

const PoolOptions &UpstreamPool::options() const
{
    return options_;
}

std::size_t UpstreamPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[number, idle] : idle_) {
        count += idle.size();
    }
    return count;
}

UpstreamCall::UpstreamCall(UpstreamCallOptions options)
    : options_(std::move(options))
    , reader_(ResponseLimits, options_.headOnly)
{
}

UpstreamCall::~UpstreamCall()
{
    cancel();
}

bool UpstreamCall::start(Micros now)
{
    channel_ = options_.pool->takeIdle(*options_.upstream, now);
    usedIdle_ = channel_ != nullptr;
    const auto onData = [this] { this->onData(); };
    const auto onEnd = [this](ChannelEnd reason) { onChannelEnd(reason); };
    if (channel_) {
        channel_->setCallbacks(onData, onEnd);
    } else {
        channel_ = Channel::connect(
            options_.upstream->record.address,
            { .onOpen = [this] { connectTimer_.stop(); }, .onData = onData, .onEnd = onEnd, .unackedTimeout = options_.pool->options().unackedTimeout });
        if (!channel_) {
            ended_ = true;
            return false;
        }
        connectTimer_.startOnce(options_.pool->options().connectTimeout, [this] { finish(CallEnd::NotSent); });
    }
    channel_->write(options_.bytes);
    options_.bytes.clear();
    return true;
}

void UpstreamCall::cancel()
{
    ended_ = true;
    connectTimer_.stop();
    if (channel_) {
        channel_->abort();
        channel_.reset();
    }
}

const ResponseHead &UpstreamCall::head() const
{
    return reader_.head();
}

const UpstreamResponse &UpstreamCall::response() const
{
    return response_;
}

std::string UpstreamCall::takeBody()
{
    return reader_.takeBody();
}

bool UpstreamCall::usedIdleConnection() const
{
    return usedIdle_;
}

void UpstreamCall::onData()
{
    const std::shared_ptr<UpstreamCall> keep = shared_from_this();
    readResponse();
}

void UpstreamCall::readResponse()
{
    while (!ended_) {
        const ReadProgress progress = reader_.read(channel_->input());
        if (!headSeen_ && !skipping_ && reader_.hasHead()) {
            response_ = options_.codec->decodeResponse(reader_.head());
            const bool success = reader_.head().status >= 200 && reader_.head().status < 300;
            const bool foreign = response_.requestId.empty() ? success || response_.authentic : response_.requestId != options_.requestId;
            if (foreign) {
                // A late second answer to an earlier request. The answer to this one may follow.
                skipping_ = true;
                reusable_ = false;
                ++strays_;
            } else {
                headSeen_ = true;
                options_.onHead();
                if (ended_) {
                    return;
                }
            }
        }
        if (progress == ReadProgress::NeedsMore) {
            if (headSeen_) {
                options_.onBody();
            }
            return;
        }
        if (progress != ReadProgress::Complete || (skipping_ && strays_ > MaxStrayResponses)) {
            finish(CallEnd::Broken);
            return;
        }
        if (!skipping_) {
            options_.onBody();
            finish(CallEnd::Complete);
            return;
        }
        skipping_ = false;
        reader_ = ResponseReader(ResponseLimits, options_.headOnly);
    }
}

void UpstreamCall::onChannelEnd(ChannelEnd reason)
{
    const std::shared_ptr<UpstreamCall> keep = shared_from_this();
    reusable_ = false;
    if (reason == ChannelEnd::ConnectFailed) {
        finish(CallEnd::NotSent);
        return;
    }
    const bool complete = reason == ChannelEnd::PeerFinished && headSeen_ && !skipping_ && reader_.readEof() == ReadProgress::Complete;
    if (complete) {
        options_.onBody();
    }
    finish(complete ? CallEnd::Complete : CallEnd::Broken);
}

void UpstreamCall::finish(CallEnd end)
{
    if (std::exchange(ended_, true)) {
        return;
    }
    connectTimer_.stop();
    const std::shared_ptr<Channel> channel = std::move(channel_);
    // Left-over bytes belong to no request, and a request that is still being sent would be read as the next one.
    const bool clean = end == CallEnd::Complete && reusable_ && reader_.head().persistent && channel->isOpen() && channel->input().empty()
        && channel->unsent() == 0;
    if (clean) {
        options_.pool->keep(*options_.upstream, channel, response_.keepAlive, monotonicNow());
    } else if (end == CallEnd::Complete) {
        channel->close();
    } else {
        channel->abort();
    }
    const auto onEnd = options_.onEnd;
    onEnd(end);
}

} // namespace Carobhall
