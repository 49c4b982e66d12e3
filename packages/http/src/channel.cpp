#include "carobhall/channel.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <fcntl.h>
#include <glib-unix.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Carobhall
{

namespace
{

constexpr std::size_t ReadBufferBytes = std::size_t{ 64 } << 10U;  ///< Large enough to receive a request of the usual size in one read.
constexpr std::size_t MaxKeptCapacity = std::size_t{ 128 } << 10U; ///< Memory for output that has been sent.
constexpr int ListenBacklog = 1024;                                ///< Pending connections; covers a burst from the clients of one zone.
constexpr Micros LingerTimeout = 1500 * MicrosPerMilli;            ///< Time that the peer gets to close its side after it has all data.
constexpr unsigned LingerCheckMs = 100;                            ///< Interval of checkLinger().

// TCP keep-alive detects a peer that disappeared without a reset. The resulting 3 s are below the time in which configuration
// changes and draining must be known.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbeCount = 2;

/// Event of poll() for a FIN of the peer, also behind bytes that were not read. GLib passes it through but has no name for it.
constexpr unsigned PeerFinishedEvent = POLLRDHUP;

std::optional<sockaddr_in> parseSocketAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *const end = address.data() + address.size();
    if (const auto [last, error] = std::from_chars(address.data() + colon + 1, end, port); error != std::errc() || last != end) {
        return std::nullopt;
    }
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1) {
        return std::nullopt;
    }
    return result;
}

void setOption(int descriptor, int level, int name, int value)
{
    // Errors are ignored: a socket without the option works, but detects failures later.
    (void)setsockopt(descriptor, level, name, &value, sizeof(value));
}

void configureSocket(int descriptor, Micros unackedTimeout)
{
    (void)fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK); // NOLINT: POSIX interface.
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbeCount);
    if (unackedTimeout > 0) {
        setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unackedTimeout / MicrosPerMilli));
    }
}

} // namespace

/// The GLib source of a channel. If a callback destroys the channel, the source outlives it until the dispatch returns.
struct Channel::Source {
    GSource base;
    Channel *owner;
    gpointer tag;

    static gboolean dispatch(GSource *source, GSourceFunc /*function*/, gpointer /*data*/)
    {
        auto *const self = reinterpret_cast<Source *>(source);
        if (self->owner != nullptr && self->tag != nullptr) {
            const std::shared_ptr<Channel> channel = self->owner->shared_from_this();
            channel->onReady(g_source_query_unix_fd(source, self->tag));
        }
        return G_SOURCE_CONTINUE;
    }
    static GSourceFuncs functions;
};

GSourceFuncs Channel::Source::functions = { nullptr, nullptr, &Channel::Source::dispatch, nullptr, nullptr, nullptr };

Channel::Channel(int descriptor, State state, ChannelOptions options)
    : descriptor_(descriptor)
    , state_(state)
    , options_(std::move(options))
{
}

Channel::~Channel()
{
    abort();
}

std::shared_ptr<Channel> Channel::connect(const std::string &address, ChannelOptions options)
{
    const std::optional<sockaddr_in> target = parseSocketAddress(address);
    if (!target) {
        return nullptr;
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return nullptr;
    }
    configureSocket(descriptor, options.unackedTimeout);
    const int result = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&*target), sizeof(*target));
    if (result != 0 && errno != EINPROGRESS) {
        ::close(descriptor);
        return nullptr;
    }
    std::shared_ptr<Channel> channel(new Channel(descriptor, State::Connecting, std::move(options)));
    channel->attach();
    return channel;
}

std::shared_ptr<Channel> Channel::adopt(int descriptor, ChannelOptions options)
{
    configureSocket(descriptor, options.unackedTimeout);
    std::shared_ptr<Channel> channel(new Channel(descriptor, State::Open, std::move(options)));
    channel->attach();
    return channel;
}

void Channel::attach()
{
    GSource *const source = g_source_new(&Source::functions, sizeof(Source));
    source_ = reinterpret_cast<Source *>(source);
    source_->owner = this;
    interest_ = state_ == State::Connecting ? G_IO_OUT : G_IO_IN;
    source_->tag = g_source_add_unix_fd(source, descriptor_, static_cast<GIOCondition>(interest_));
    g_source_attach(source, nullptr);
}

void Channel::updateInterest()
{
    if (source_ == nullptr || state_ == State::Connecting) {
        return;
    }
    if (peerFinished_ && unsent() == 0) {
        // Both directions are shut down, which poll() reports for as long as the socket is open. checkLinger() sees the end.
        if (gpointer const tag = std::exchange(source_->tag, nullptr)) {
            g_source_remove_unix_fd(&source_->base, tag);
        }
        return;
    }
    const bool mayRead = state_ == State::Closing || (!inputHeld_ && input_.size() < options_.maxInputBytes);
    const bool wantsInput = !pendingEnd_ && !peerFinished_ && mayRead;
    const unsigned inputEvent = inputWaits_ && !peerFinished_ ? PeerFinishedEvent : wantsInput ? unsigned{ G_IO_IN } : 0U;
    const unsigned events = inputEvent | (unsent() > 0 ? unsigned{ G_IO_OUT } : 0U);
    if (events != interest_) {
        interest_ = events;
        g_source_modify_unix_fd(&source_->base, source_->tag, static_cast<GIOCondition>(events));
    }
}

void Channel::setCallbacks(std::function<void()> onData, std::function<void(ChannelEnd)> onEnd)
{
    options_.onOpen = nullptr;
    options_.onData = std::move(onData);
    options_.onEnd = std::move(onEnd);
}

std::string &Channel::input()
{
    return input_;
}

std::size_t Channel::unsent() const
{
    return output_.size() - sent_;
}

std::size_t Channel::undelivered() const
{
    if (descriptor_ < 0) {
        return discarded_;
    }
    if (unsent() == 0 && dropped_ == 0 && delivered_ == written_) {
        return 0;
    }
    int unacknowledged = 0;
    // Where the system cannot tell, what the socket has accepted counts as delivered.
    if (state_ == State::Connecting || ioctl(descriptor_, SIOCOUTQ, &unacknowledged) != 0) {
        unacknowledged = 0;
    }
    // The end of the stream takes one place in the queue behind the data.
    const std::uint64_t waiting = std::min<std::uint64_t>(unsent() + dropped_ + static_cast<std::size_t>(std::max(0, unacknowledged)), written_);
    delivered_ = written_ - waiting;
    return waiting;
}

std::uint64_t Channel::written() const
{
    return written_;
}

bool Channel::hasUnreadInput() const
{
    char byte = 0;
    return descriptor_ >= 0 && recv(descriptor_, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool Channel::isOpen() const
{
    return state_ == State::Open || state_ == State::Connecting;
}

bool Channel::isConnecting() const
{
    return state_ == State::Connecting;
}

void Channel::readWaiting()
{
    const std::shared_ptr<Channel> self = shared_from_this();
    while (state_ == State::Open && reading_ && input_.size() < options_.maxInputBytes && hasUnreadInput()) {
        readAll();
    }
}

bool Channel::isEnded() const
{
    return state_ == State::Ended;
}

void Channel::write(std::string_view data)
{
    if (!isOpen()) {
        return;
    }
    output_.append(data);
    written_ += data.size();
    if (state_ == State::Open) {
        sendQueued();
    }
}

void Channel::sendQueued()
{
    while (unsent() > 0) {
        const ssize_t count = ::send(descriptor_, output_.data() + sent_, unsent(), MSG_NOSIGNAL);
        if (count > 0) {
            sent_ += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        if (state_ == State::Closing) {
            abort();
            return;
        }
        // The error is reported by readAll() in the next main loop iteration, after any data that the peer sent before it. This call has taken it
        // from the socket, which looks like a normal end afterwards.
        sendFailed_ = true;
        dropped_ += unsent();
        sent_ = output_.size();
    }
    if (unsent() == 0) {
        // The memory of a large response is released: the connection may stay open for long.
        output_.clear();
        if (output_.capacity() > MaxKeptCapacity) {
            output_.shrink_to_fit();
        }
        sent_ = 0;
        if (state_ == State::Closing) {
            (void)shutdown(descriptor_, SHUT_WR);
        }
    } else if (unsent() > options_.maxOutputBytes) {
        endOverflow();
        return;
    }
    if (sent_ > MaxKeptCapacity && sent_ > unsent()) {
        // A peer that never takes everything would otherwise have all that was ever written kept.
        output_ = output_.substr(sent_);
        sent_ = 0;
    }
    updateInterest();
}

void Channel::onReady(unsigned condition)
{
    if (state_ == State::Connecting) {
        finishConnect();
        return;
    }
    if ((condition & G_IO_OUT) != 0) {
        sendQueued();
    }
    if (state_ != State::Ended && (condition & (G_IO_IN | G_IO_HUP | G_IO_ERR | PeerFinishedEvent)) != 0) {
        if (reading_) {
            readAll();
        } else {
            checkEnd(condition);
        }
    }
}

void Channel::setReading(bool enabled)
{
    reading_ = enabled;
    inputWaits_ = inputWaits_ && !enabled;
    updateInterest();
}

void Channel::setInputHeld(bool held)
{
    if (inputHeld_ != held) {
        inputHeld_ = held;
        updateInterest();
    }
}

void Channel::checkEnd(unsigned condition)
{
    if ((condition & G_IO_ERR) != 0 || ((condition & G_IO_HUP) != 0 && state_ != State::Closing)) {
        end(ChannelEnd::Reset);
        return;
    }
    char byte = 0;
    const ssize_t count = recv(descriptor_, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (count == 0 || (condition & PeerFinishedEvent) != 0) {
        onPeerFinished();
    } else if (count > 0) {
        inputWaits_ = true;
        updateInterest();
    } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        end(ChannelEnd::Reset);
    }
}

void Channel::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof(error);
    if (getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        end(ChannelEnd::ConnectFailed);
        return;
    }
    state_ = State::Open;
    updateInterest();
    sendQueued();
    if (state_ == State::Open && options_.onOpen) {
        const auto onOpen = options_.onOpen;
        onOpen();
    }
}

void Channel::readAll()
{
    // All channels run on one thread and share the read buffer.
    static std::array<char, ReadBufferBytes> buffer;
    const ssize_t count = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return;
    }
    if (count == 0) {
        onPeerFinished();
        return;
    }
    if (count < 0) {
        end(ChannelEnd::Reset);
        return;
    }
    if (state_ == State::Closing) {
        return;
    }
    input_.append(buffer.data(), static_cast<std::size_t>(count));
    updateInterest();
    if (options_.onData) {
        const auto onData = options_.onData;
        onData();
    }
}

void Channel::onPeerFinished()
{
    if (sendFailed_) {
        end(ChannelEnd::Reset);
        return;
    }
    if (undelivered() == 0) {
        end(ChannelEnd::PeerFinished);
        return;
    }
    // A peer that sends nothing more may still read the rest.
    peerFinished_ = true;
    if (state_ == State::Closing) {
        updateInterest();
        return;
    }
    const auto onEnd = std::exchange(options_.onEnd, nullptr);
    std::string input = std::move(input_);
    close();
    input_ = std::move(input);
    if (onEnd) {
        onEnd(ChannelEnd::PeerFinished);
    }
}

void Channel::end(ChannelEnd reason)
{
    const bool closedLocally = state_ == State::Closing;
    state_ = State::Ended;
    release();
    if (!closedLocally && options_.onEnd) {
        const auto onEnd = std::exchange(options_.onEnd, nullptr);
        onEnd(reason);
    }
}

void Channel::endOverflow()
{
    logEvent(LogLevel::Warning, "output_overflow", { { "unsent_bytes", unsent() }, { "limit_bytes", options_.maxOutputBytes } });
    auto onEnd = std::move(options_.onEnd);
    abort();
    options_.onEnd = std::move(onEnd);
    // Callbacks are never invoked from within write().
    auto *const self = new std::weak_ptr<Channel>(weak_from_this());
    g_idle_add_full(
        G_PRIORITY_DEFAULT,
        [](gpointer data) -> gboolean {
            if (const std::shared_ptr<Channel> channel = static_cast<std::weak_ptr<Channel> *>(data)->lock(); channel && channel->options_.onEnd) {
                const auto callback = std::exchange(channel->options_.onEnd, nullptr);
                callback(ChannelEnd::Reset);
            }
            return G_SOURCE_REMOVE;
        },
        self, [](gpointer data) { delete static_cast<std::weak_ptr<Channel> *>(data); });
}

void Channel::close()
{
    if (state_ == State::Ended) {
        options_.onEnd = nullptr;
    }
    if (state_ == State::Connecting) {
        abort();
        return;
    }
    if (state_ != State::Open) {
        return;
    }
    state_ = State::Closing;
    options_.onData = nullptr;
    options_.onEnd = nullptr;
    input_.clear();
    // Lingering close: waits until the peer closes and, unless reading is off, reads until then, because closing a socket with unread
    // input sends a reset, which can discard the last response before the peer has read it.
    auto *const self = new std::shared_ptr<Channel>(shared_from_this());
    lingerSource_ = g_timeout_add_full(
        G_PRIORITY_DEFAULT, LingerCheckMs,
        [](gpointer data) -> gboolean {
            // Ending the connection removes this source and its reference to the channel.
            const std::shared_ptr<Channel> channel = *static_cast<std::shared_ptr<Channel> *>(data);
            channel->checkLinger();
            return G_SOURCE_CONTINUE;
        },
        self, [](gpointer data) { delete static_cast<std::shared_ptr<Channel> *>(data); });
    sendQueued();
    delivery_.note({ .written = written_, .undelivered = undelivered() }, monotonicNow());
}

void Channel::checkLinger()
{
    const Micros now = monotonicNow();
    delivery_.note({ .written = written_, .undelivered = undelivered() }, now);
    char byte = 0;
    const bool failed = peerFinished_ && recv(descriptor_, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0 && errno != EAGAIN && errno != EINTR;
    if (failed || delivery_.isStalled(options_.stallLimit, now)) {
        abort();
    } else if (delivery_.isDelivered() && (peerFinished_ || delivery_.timeWithoutProgress(now) > LingerTimeout)) {
        end(ChannelEnd::PeerFinished);
    }
}

void Channel::closeUnread()
{
    if (state_ != State::Open || undelivered() > 0) {
        setReading(false);
        close();
        return;
    }
    state_ = State::Ended;
    options_.onData = nullptr;
    options_.onEnd = nullptr;
    release();
}

void Channel::abort()
{
    if (descriptor_ >= 0) {
        const linger resetOnClose{ .l_onoff = 1, .l_linger = 0 };
        (void)setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    }
    state_ = State::Ended;
    options_.onData = nullptr;
    options_.onEnd = nullptr;
    release();
}

void Channel::release()
{
    if (source_ != nullptr) {
        source_->owner = nullptr;
        g_source_destroy(&source_->base);
        g_source_unref(&source_->base);
        source_ = nullptr;
    }
    if (descriptor_ >= 0) {
        discarded_ = undelivered();
        ::close(descriptor_);
        descriptor_ = -1;
    }
    if (const unsigned linger = std::exchange(lingerSource_, 0)) {
        g_source_remove(linger);
    }
}

ChannelListener::ChannelListener(std::function<void(int)> onAccept)
    : onAccept_(std::move(onAccept))
{
}

ChannelListener::~ChannelListener()
{
    stop();
}

std::error_code ChannelListener::listen(const std::string &address)
{
    const std::optional<sockaddr_in> local = parseSocketAddress(address);
    if (!local) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor_ < 0) {
        return { errno, std::generic_category() };
    }
    setOption(descriptor_, SOL_SOCKET, SO_REUSEADDR, 1);
    if (bind(descriptor_, reinterpret_cast<const sockaddr *>(&*local), sizeof(*local)) != 0 || ::listen(descriptor_, ListenBacklog) != 0) {
        const std::error_code error(errno, std::generic_category());
        stop();
        return error;
    }
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    if (getsockname(descriptor_, reinterpret_cast<sockaddr *>(&bound), &size) == 0) {
        port_ = ntohs(bound.sin_port);
    }
    source_ = g_unix_fd_add(
        descriptor_, G_IO_IN, [](gint fd, GIOCondition condition, gpointer self) -> gboolean { return onReady(fd, condition, self); }, this);
    return {};
}

std::uint16_t ChannelListener::port() const
{
    return port_;
}

void ChannelListener::acceptPending()
{
    if (descriptor_ >= 0) {
        onReady(descriptor_, 0, this);
    }
}

void ChannelListener::stop()
{
    if (const unsigned source = std::exchange(source_, 0)) {
        g_source_remove(source);
    }
    if (descriptor_ >= 0) {
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

int ChannelListener::onReady(int descriptor, unsigned /*condition*/, void *self)
{
    for (;;) {
        const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (accepted < 0) {
            return G_SOURCE_CONTINUE;
        }
        static_cast<ChannelListener *>(self)->onAccept_(accepted);
    }
}

} // namespace Carobhall
