#include "upstream_pool.h"

#include <utility>

namespace Carobhall
{

namespace
{

/// Protects against memory exhaustion only. Streams do not accumulate, because their data is taken as it arrives.
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
    // The most recently used connection is the least likely to be closed by its upstream.
    while (!found->second.empty()) {
        IdleConnection idle = std::move(found->second.back());
        found->second.pop_back();
        if (idle.channel->isOpen() && idle.channel->input().empty() && idle.usableUntil > now) {
            idle.channel->setCallbacks(nullptr, nullptr);
            return idle.channel;
        }
        idle.channel->close();
    }
    return nullptr;
}

void UpstreamPool::release(const Upstream &upstream, std::shared_ptr<Channel> channel, std::optional<Micros> keepAlive, Micros now)
{
    std::list<IdleConnection> &idle = idle_[upstream.number];
    const Micros lifetime = keepAlive ? static_cast<Micros>(static_cast<double>(*keepAlive) * options_.keepAliveShare) : options_.defaultKeepAlive;
    if (idle.size() >= options_.maxIdlePerUpstream || lifetime <= 0) {
        channel->close();
        return;
    }
    // Bytes that arrive on an idle connection belong to no request; the connection is not reused.
    Channel *const raw = channel.get();
    channel->setCallbacks([raw] { raw->close(); }, [](ChannelEnd) {});
    idle.push_back({ .channel = std::move(channel), .usableUntil = now + lifetime });
}

void UpstreamPool::expire(Micros now)
{
    for (auto it = idle_.begin(); it != idle_.end();) {
        it->second.remove_if([now](const IdleConnection &idle) {
            const bool expired = idle.usableUntil <= now || !idle.channel->isOpen();
            if (expired) {
                idle.channel->close();
            }
            return expired;
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

ConnectResult UpstreamCall::connect(Micros now)
{
    channel_ = options_.mayReuseConnection ? options_.pool->takeIdle(*options_.upstream, now) : nullptr;
    usedIdle_ = channel_ != nullptr;
    const auto onData = [this] { this->onData(); };
    const auto onEnd = [this](ChannelEnd reason) { onChannelEnd(reason); };
    if (channel_) {
        isConnected_ = true;
        channel_->setCallbacks(onData, onEnd);
        return ConnectResult::Connected;
    }
    channel_ = Channel::connect(
        options_.upstream->record.address,
        { .onOpen = [this] { onOpen(); }, .onData = onData, .onEnd = onEnd, .unackedTimeout = options_.pool->options().unackedTimeout });
    if (!channel_) {
        ended_ = true;
        return ConnectResult::Failed;
    }
    connectTimer_.startOnce(options_.pool->options().connectTimeout, [this] { finish(CallEnd::NotSent); });
    return ConnectResult::Connecting;
}

void UpstreamCall::onOpen()
{
    const std::shared_ptr<UpstreamCall> self = shared_from_this();
    connectTimer_.stop();
    isConnected_ = true;
    if (const auto &maySend = options_.pool->options().maySend; maySend && !maySend(*options_.upstream)) {
        finish(CallEnd::NotSent);
    } else if (requestSent_) {
        channel_->write(std::exchange(unsentRequest_, {}));
    } else if (options_.onConnected) {
        options_.onConnected();
    }
}

void UpstreamCall::send(std::string_view bytes)
{
    requestSent_ = true;
    if (isConnected_) {
        channel_->write(bytes);
    } else {
        unsentRequest_ = bytes;
    }
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

bool UpstreamCall::isActive() const
{
    return !ended_;
}

bool UpstreamCall::mayHaveSent() const
{
    return requestSent_ && (!channel_ || !channel_->isConnecting());
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

ResponseFault UpstreamCall::fault() const
{
    return fault_;
}

void UpstreamCall::setPaused(bool paused)
{
    if (channel_) {
        channel_->setInputHeld(paused);
    }
}

bool UpstreamCall::usedIdleConnection() const
{
    return usedIdle_;
}

void UpstreamCall::onData()
{
    const std::shared_ptr<UpstreamCall> self = shared_from_this();
    if (!requestSent_) {
        // Bytes before the request belong to no request.
        finish(CallEnd::NotSent);
        return;
    }
    readResponse();
}

void UpstreamCall::readResponse()
{
    while (!ended_) {
        const ReadProgress progress = reader_.read(channel_->input());
        if (!headReceived_ && !skipping_ && reader_.hasHead()) {
            response_ = options_.codec->decodeResponse(reader_.head());
            const bool success = reader_.head().status >= 200 && reader_.head().status < 300;
            // On a connection that has carried an earlier request, a refusal without an id may be a copy of that request's.
            const bool mayBeCopy = usedIdle_ && !options_.requestId.empty() && (response_.rejected || response_.misdirected);
            const bool isStale = response_.requestId.empty() ? success || response_.authentic || mayBeCopy : response_.requestId != options_.requestId;
            if (isStale) {
                // A late duplicate response to an earlier request. The response to this request may follow.
                skipping_ = true;
                reusable_ = false;
                ++staleResponses_;
                logEvent(LogLevel::Info, "stale_response_skipped",
                         { { "id", options_.requestId },
                           { "upstream", options_.upstream->record.id },
                           { "response_id", response_.requestId },
                           { "status", reader_.head().status } });
            } else {
                headReceived_ = true;
                options_.onHead();
                if (ended_) {
                    return;
                }
            }
        }
        if (progress == ReadProgress::NeedsMore) {
            if (headReceived_) {
                options_.onBody();
            } else if (skipping_) {
                skippedBytes_ += reader_.takeBody().size();
                if (skippedBytes_ > MaxSkippedBytes) {
                    refuse(ResponseFault::Unrelated);
                }
            }
            return;
        }
        if (progress != ReadProgress::Complete) {
            refuse(reader_.fault());
            return;
        }
        if (skipping_ && staleResponses_ > MaxStaleResponses) {
            refuse(ResponseFault::Unrelated);
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
    const std::shared_ptr<UpstreamCall> self = shared_from_this();
    reusable_ = false;
    if (reason == ChannelEnd::ConnectFailed || !requestSent_) {
        finish(CallEnd::NotSent);
        return;
    }
    if (channel_->undelivered() > 0) {
        // A server that has not received the whole request may have failed within its response.
        refuse(ResponseFault::EarlyEnd);
        return;
    }
    if (reason != ChannelEnd::PeerFinished || !headReceived_ || skipping_ || reader_.readEof() != ReadProgress::Complete) {
        refuse(ResponseFault::EndOfConnection);
        return;
    }
    options_.onBody();
    finish(CallEnd::Complete);
}

void UpstreamCall::refuse(ResponseFault cause)
{
    fault_ = cause;
    finish(CallEnd::Broken);
}

void UpstreamCall::finish(CallEnd end)
{
    if (std::exchange(ended_, true)) {
        return;
    }
    connectTimer_.stop();
    const std::shared_ptr<Channel> channel = std::move(channel_);
    // A connection is not reused if bytes remain after the response, because they belong to no request, or if the request has not
    // been sent completely, because the upstream would read the rest of it as part of the next request.
    const bool reusable = end == CallEnd::Complete && reusable_ && reader_.head().persistent && channel->isOpen() && channel->input().empty()
        && channel->unsent() == 0;
    if (reusable) {
        channel->setInputHeld(false);
        options_.pool->release(*options_.upstream, channel, response_.keepAlive, monotonicNow());
    } else if (end == CallEnd::Complete) {
        channel->close();
    } else {
        channel->abort();
    }
    const auto onEnd = options_.onEnd;
    onEnd(end);
}

} // namespace Carobhall
