#include "carobhall/http_client.h"

#include "carobhall/channel.h"
#include "carobhall/http_message.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <utility>

namespace Carobhall
{

namespace
{

constexpr std::uint32_t MaxHeadBytes = 32U << 10U;

/// The parts of a URL that begins with "http://".
struct Target {
    std::string address; ///< "ip:port".
    std::string path;
};

std::optional<Target> parseUrl(std::string_view url)
{
    constexpr std::string_view Scheme = "http://";
    if (!url.starts_with(Scheme)) {
        return std::nullopt;
    }
    url.remove_prefix(Scheme.size());
    const std::size_t slash = url.find('/');
    if (slash == 0) {
        return std::nullopt;
    }
    return Target{ .address = std::string(url.substr(0, slash)), .path = slash == std::string_view::npos ? "/" : std::string(url.substr(slash)) };
}

std::string requestBytes(const HttpCall &call, const Target &target)
{
    std::string bytes = std::string(call.method) + " " + target.path + " HTTP/1.1\r\n";
    appendField(bytes, "Host", target.address);
    for (const auto &[name, value] : call.headers) {
        appendField(bytes, name, value);
    }
    if (!call.contentType.empty()) {
        appendField(bytes, "Content-Type", call.contentType);
        appendField(bytes, "Content-Length", std::to_string(call.body.size()));
    }
    return bytes.append("\r\n").append(call.body);
}

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<Impl> {
    struct PendingCall {
        HttpCall call;
        Target target;
        std::function<void(HttpReply)> done;
        Timer timer;
        std::shared_ptr<Channel> channel; ///< Null while the call waits for a connection.
        std::optional<ResponseReader> reader{};
        std::string body{};
        bool usesKeptConnection = false;
        bool wasRepeated = false;
    };
    struct IdleConnection {
        std::string address;
        std::shared_ptr<Channel> channel;
        Micros usableUntil = 0;
    };

    explicit Impl(const HttpClientOptions &clientOptions)
        : options(clientOptions)
    {
    }

    /// Removes the kept connections that cannot be used any more. Bytes that wait on one would be taken for the next reply.
    void expireIdle()
    {
        idle.remove_if([now = monotonicNow()](const IdleConnection &connection) {
            const bool usable = connection.channel->isOpen() && connection.usableUntil > now && !connection.channel->hasUnreadInput();
            if (!usable) {
                connection.channel->close();
            }
            return !usable;
        });
    }

    /// A kept connection to \p address; null if there is none.
    std::shared_ptr<Channel> takeIdle(const std::string &address)
    {
        const auto found = std::ranges::find(idle, address, &IdleConnection::address);
        if (found == idle.end()) {
            return nullptr;
        }
        std::shared_ptr<Channel> channel = std::move(found->channel);
        idle.erase(found);
        return channel;
    }

    void release(const std::string &address, std::shared_ptr<Channel> channel)
    {
        // Bytes that arrive on an idle connection belong to no call; the connection is not used again.
        Channel *const raw = channel.get();
        channel->setCallbacks([raw] { raw->close(); }, [](ChannelEnd) {});
        idle.push_back({ .address = address, .channel = std::move(channel), .usableUntil = monotonicNow() + options.idleTimeout });
    }

    /// Gives the call \p id a connection, or lets it wait for one.
    void start(std::uint64_t id)
    {
        expireIdle();
        PendingCall &pending = *pendingCalls.at(id);
        const bool mayBeRepeated = std::string_view(pending.call.method) == "GET";
        pending.channel = mayBeRepeated && !pending.wasRepeated ? takeIdle(pending.target.address) : nullptr;
        pending.usesKeptConnection = pending.channel != nullptr;
        const auto onData = [weak = weak_from_this(), id] {
            if (const auto self = weak.lock()) {
                self->onData(id);
            }
        };
        const auto onEnd = [weak = weak_from_this(), id](ChannelEnd reason) {
            if (const auto self = weak.lock()) {
                self->onEnd(id, reason);
            }
        };
        if (pending.channel) {
            pending.channel->setCallbacks(onData, onEnd);
        } else {
            if (inUse + idle.size() >= options.maxConnections && !idle.empty()) {
                idle.front().channel->close();
                idle.pop_front();
            }
            if (inUse >= options.maxConnections) {
                waiting.push_back(id);
                return;
            }
            pending.channel = Channel::connect(pending.target.address, { .onData = onData, .onEnd = onEnd });
        }
        if (!pending.channel) {
            failLater(id, Errc::PlatformUnavailable);
            return;
        }
        ++inUse;
        pending.reader.emplace(ReaderLimits{ .maxHeaderBytes = MaxHeadBytes, .maxBodyBytes = options.maxReplyBytes },
                               std::string_view(pending.call.method) == "HEAD");
        pending.channel->write(requestBytes(pending.call, pending.target));
    }

    /// Ends the call \p id from the main loop.
    void failLater(std::uint64_t id, Errc error)
    {
        pendingCalls.at(id)->timer.startOnce(0, [this, id, error] { finish(id, { .error = error, .headers = {}, .body = {} }); });
    }

    void onData(std::uint64_t id)
    {
        PendingCall &pending = *pendingCalls.at(id);
        const ReadProgress progress = pending.reader->read(pending.channel->input());
        pending.body += pending.reader->takeBody();
        if (progress == ReadProgress::Complete) {
            complete(id);
        } else if (progress == ReadProgress::BodyTooLarge || pending.body.size() > options.maxReplyBytes) {
            // The body may have no end.
            refuse(id, ResponseFault::TooLarge, Errc::TooLarge);
        } else if (progress != ReadProgress::NeedsMore) {
            refuse(id, pending.reader->fault(), Errc::ConnectionLost);
        }
    }

    void onEnd(std::uint64_t id, ChannelEnd reason)
    {
        PendingCall &pending = *pendingCalls.at(id);
        if (reason == ChannelEnd::ConnectFailed) {
            finish(id, { .error = Errc::PlatformUnavailable, .headers = {}, .body = {} });
            return;
        }
        if (!pending.reader->hasStarted()) {
            if (pending.usesKeptConnection && !std::exchange(pending.wasRepeated, true)) {
                // The server has closed the connection while it was idle.
                --inUse;
                start(id);
                return;
            }
            finish(id, { .error = Errc::ConnectionLost, .headers = {}, .body = {} });
            return;
        }
        const bool wasWritten = pending.channel->undelivered() == 0;
        // A body without a length that is empty may have been cut before its first byte, and no call has a use for it.
        const bool mayBeWhole = reason == ChannelEnd::PeerFinished && wasWritten && !pending.body.empty();
        if (mayBeWhole && pending.reader->readEof() == ReadProgress::Complete) {
            complete(id);
            return;
        }
        refuse(id, wasWritten ? ResponseFault::EndOfConnection : ResponseFault::EarlyEnd, Errc::ConnectionLost);
    }

    void refuse(std::uint64_t id, ResponseFault cause, Errc error)
    {
        const PendingCall &pending = *pendingCalls.at(id);
        logEvent(LogLevel::Warning, "reply_refused",
                 { { "address", pending.target.address }, { "method", pending.call.method }, { "path", pending.target.path }, { "cause", cause } });
        if (options.metrics != nullptr) {
            options.metrics->count("carobhall_refused_replies_total", "cause=\"" + std::string(nameOf(cause)) + "\"");
        }
        finish(id, { .error = error, .headers = {}, .body = {} });
    }

    void complete(std::uint64_t id)
    {
        PendingCall &pending = *pendingCalls.at(id);
        const ResponseHead &head = pending.reader->head();
        HttpReply reply{ .error = {}, .status = head.status, .headers = {}, .body = std::move(pending.body) };
        for (const HeaderField &field : head.fields) {
            std::string key = field.name;
            std::ranges::transform(key, key.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
            reply.headers[key] = field.value;
        }
        Channel &channel = *pending.channel;
        // Bytes behind the reply belong to no call, and the rest of an unsent request would be read as the next one.
        if (head.persistent && channel.isOpen() && channel.input().empty() && channel.unsent() == 0) {
            release(pending.target.address, std::move(pending.channel));
            --inUse;
        }
        finish(id, std::move(reply));
    }

    /// Ends the call \p id, closes its connection if it still has one, and runs its handler.
    void finish(std::uint64_t id, HttpReply reply)
    {
        const auto self = shared_from_this();
        const std::unique_ptr<PendingCall> pending = take(id);
        startWaiting();
        pending->done(std::move(reply));
    }

    std::unique_ptr<PendingCall> take(std::uint64_t id)
    {
        const auto found = pendingCalls.find(id);
        std::unique_ptr<PendingCall> pending = std::move(found->second);
        pendingCalls.erase(found);
        pending->timer.stop();
        std::erase(waiting, id);
        if (const std::shared_ptr<Channel> channel = std::exchange(pending->channel, nullptr)) {
            channel->abort();
            --inUse;
        }
        return pending;
    }

    void startWaiting()
    {
        while (!waiting.empty() && inUse < options.maxConnections) {
            const std::uint64_t id = waiting.front();
            waiting.erase(waiting.begin());
            start(id);
        }
    }

    HttpClientOptions options;
    std::unordered_map<std::uint64_t, std::unique_ptr<PendingCall>> pendingCalls;
    std::vector<std::uint64_t> waiting; ///< Calls that wait for a connection, in the order in which they were sent.
    std::list<IdleConnection> idle;
    std::size_t inUse = 0; ///< Connections of calls.
    std::uint64_t lastCallId = 0;
};

HttpClient::HttpClient(const HttpClientOptions &options)
    : impl_(std::make_shared<Impl>(options))
{
}

HttpClient::~HttpClient()
{
    impl_->pendingCalls.clear();
}

std::uint64_t HttpClient::send(HttpCall call, std::function<void(HttpReply)> done)
{
    const std::uint64_t id = ++impl_->lastCallId;
    std::optional<Target> target = parseUrl(call.url);
    Impl::PendingCall &pending = *impl_->pendingCalls.emplace(id, std::make_unique<Impl::PendingCall>()).first->second;
    pending.call = std::move(call);
    pending.done = std::move(done);
    if (!target) {
        impl_->failLater(id, Errc::InvalidSettings);
        return id;
    }
    pending.target = std::move(*target);
    pending.timer.startOnce(pending.call.timeout, [impl = impl_.get(), id] { impl->finish(id, { .error = Errc::Timeout, .headers = {}, .body = {} }); });
    impl_->start(id);
    return id;
}

void HttpClient::cancel(std::uint64_t call)
{
    if (impl_->pendingCalls.contains(call)) {
        // Destroying the handler may be the last use of the client's owner.
        const auto impl = impl_;
        const std::unique_ptr<Impl::PendingCall> cancelled = impl->take(call);
        impl->startWaiting();
    }
}

} // namespace Carobhall
