#include "carobhall/wire.h"
#include "handshake.h"
#include "stream.h"

#include <glib.h>
#include <sodium.h>

#include <algorithm>
#include <atomic>
#include <unordered_map>

namespace Carobhall
{

using WireInternal::Handshake;
using WireInternal::Stream;

namespace
{

constexpr std::size_t LengthPrefixSize = sizeof(std::uint32_t);
constexpr Micros SweepInterval = 250 * MicrosPerMilli;
/// A peer that has not shown that it belongs to the installation sends only the frames of the handshake.
constexpr std::size_t MaxFrameBytesBeforeOpen = std::size_t{ 16 } << 10U;
/// Reading from a connection pauses while this much received data waits for the main loop. Larger than the
/// largest frame.
constexpr std::size_t MaxInboundBytes = std::size_t{ 8 } << 20U;

std::string makeFrame(std::string_view payload)
{
    std::string frame;
    frame.reserve(LengthPrefixSize + payload.size());
    const auto size = static_cast<std::uint32_t>(payload.size());
    for (std::size_t i = 0; i < LengthPrefixSize; ++i) {
        frame += static_cast<char>(size >> (8U * i) & 0xFFU);
    }
    frame += payload;
    return frame;
}

std::size_t readLengthPrefix(std::string_view bytes)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < LengthPrefixSize; ++i) {
        size |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8U * i);
    }
    return size;
}

std::string packPeerInfo(const PeerInfo &info)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, info);
    return { buffer.data(), buffer.size() };
}

std::optional<PeerInfo> unpackPeerInfo(std::string_view bytes)
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<PeerInfo>();
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

struct Connection {
    std::unique_ptr<Stream> stream;
    Handshake handshake;
    std::string inbound;                     ///< Received bytes that do not form a complete frame yet.
    std::vector<std::string> handshakeQueue; ///< Encoded messages queued until the handshake is complete.
    std::size_t handshakeQueueBytes = 0;     ///< Total size of these messages.
    Micros handshakeDeadline = 0;            ///< The connection is closed at this time unless it is open.
    bool open = false;                       ///< The peer's first record, its PeerInfo, has been verified.
    bool closing = false;                    ///< Ends once all queued data has been sent.
};

} // namespace

struct Endpoint::Impl {
    explicit Impl(EndpointOptions endpointOptions)
        : options(std::move(endpointOptions))
    {
    }

    // Shared with nng's threads.
    std::mutex mutex;
    std::vector<nng_stream *> acceptedStreams; ///< Guarded by the mutex.
    std::atomic<bool> wakePending{ false };

    // Used on the main loop's thread. Of these, nng's threads only read `options.context`, `listener`, `acceptAio` and `self`.
    EndpointOptions options;
    std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections;
    ConnectionId nextId = 1;
    nng_stream_listener *listener = nullptr;
    nng_aio *acceptAio = nullptr;
    std::uint16_t port = 0;
    GSource *sweepSource = nullptr;
    std::weak_ptr<Impl> self;

    static gboolean dispatch(gpointer data);
    static void onAccepted(void *data);

    void wake();
    void acceptNext();
    void processConnections();
    ConnectionId addConnection(bool isDialler);
    void processConnection(ConnectionId id);
    bool processFrame(ConnectionId id, std::string_view frame);
    void sendHandshakeQueue(Connection &connection);
    void endConnection(ConnectionId id, std::error_code reason);
    /// Ends connections that have exceeded the handshake timeout, and closing ones that have sent everything.
    void sweep();
};

gboolean Endpoint::Impl::dispatch(gpointer data)
{
    if (const auto impl = static_cast<std::weak_ptr<Impl> *>(data)->lock()) {
        impl->wakePending = false;
        impl->processConnections();
    }
    return G_SOURCE_REMOVE;
}

void Endpoint::Impl::wake()
{
    if (wakePending.exchange(true)) {
        return;
    }
    GSource *source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(source, &Impl::dispatch, new std::weak_ptr<Impl>(self), [](gpointer data) { delete static_cast<std::weak_ptr<Impl> *>(data); });
    g_source_attach(source, options.context);
    g_source_unref(source);
}

void Endpoint::Impl::onAccepted(void *data)
{
    auto *const impl = static_cast<Impl *>(data);
    const int result = nng_aio_result(impl->acceptAio);
    if (result == NNG_ECLOSED || result == NNG_ECANCELED) {
        return;
    }
    if (result == 0) {
        const std::lock_guard lock(impl->mutex);
        impl->acceptedStreams.push_back(static_cast<nng_stream *>(nng_aio_get_output(impl->acceptAio, 0)));
    }
    impl->wake();
    impl->acceptNext();
}

void Endpoint::Impl::acceptNext()
{
    nng_stream_listener_accept(listener, acceptAio);
}

ConnectionId Endpoint::Impl::addConnection(bool isDialler)
{
    const ConnectionId id = nextId++;
    auto connection = std::make_unique<Connection>(Connection{
        .stream = std::make_unique<Stream>([this] { wake(); }, isDialler ? MaxInboundBytes : MaxFrameBytesBeforeOpen),
        .handshake = Handshake(options.keys, isDialler),
        .inbound = {},
        .handshakeQueue = {},
        .handshakeDeadline = monotonicNow() + options.handshakeTimeout,
    });
    if (isDialler) {
        connection->stream->write(makeFrame(connection->handshake.hello()));
    }
    connections.emplace(id, std::move(connection));
    return id;
}

void Endpoint::Impl::processConnections()
{
    std::vector<nng_stream *> newStreams;
    {
        const std::lock_guard lock(mutex);
        newStreams.swap(acceptedStreams);
    }
    for (nng_stream *newStream : newStreams) {
        const ConnectionId id = addConnection(false);
        connections.at(id)->stream->adopt(newStream);
    }
    // Callbacks may open and close connections, so the loop iterates over a copy of the identifiers.
    std::vector<ConnectionId> ids;
    ids.reserve(connections.size());
    for (const auto &[id, connection] : connections) {
        ids.push_back(id);
    }
    for (const ConnectionId id : ids) {
        processConnection(id);
    }
}

void Endpoint::Impl::processConnection(ConnectionId id)
{
    auto entry = connections.find(id);
    if (entry == connections.end()) {
        return;
    }
    // Must be read before the inbound data is taken: data that arrived before the stream closed is still processed.
    const bool closed = entry->second->stream->isClosed();
    entry->second->stream->takeInbound(entry->second->inbound);
    std::size_t consumed = 0;
    std::string inbound = std::move(entry->second->inbound);
    entry->second->inbound.clear();
    while (inbound.size() - consumed >= LengthPrefixSize) {
        const std::size_t length = readLengthPrefix(std::string_view(inbound).substr(consumed));
        entry = connections.find(id);
        if (length > (entry->second->open ? options.maxFrameBytes : MaxFrameBytesBeforeOpen)) {
            endConnection(id, Errc::MalformedMessage);
            return;
        }
        if (inbound.size() - consumed - LengthPrefixSize < length) {
            break;
        }
        const std::string_view frame = std::string_view(inbound).substr(consumed + LengthPrefixSize, length);
        consumed += LengthPrefixSize + length;
        if (!processFrame(id, frame)) {
            return;
        }
    }
    entry = connections.find(id);
    if (entry == connections.end()) {
        return;
    }
    entry->second->inbound = inbound.substr(consumed);
    if (closed) {
        endConnection(id, Errc::ConnectionLost);
    }
}

bool Endpoint::Impl::processFrame(ConnectionId id, std::string_view frame)
{
    Connection &connection = *connections.at(id);
    if (connection.handshake.step() != Handshake::Step::Established) {
        const auto reply = connection.handshake.receive(frame);
        if (!reply) {
            endConnection(id, Errc::AuthenticationFailed);
            return false;
        }
        if (!reply->empty()) {
            connection.stream->write(makeFrame(*reply));
        }
        if (connection.handshake.step() == Handshake::Step::Established) {
            sendHandshakeQueue(connection);
        }
        return true;
    }
    std::string plain;
    if (!connection.handshake.open(frame, plain)) {
        endConnection(id, Errc::AuthenticationFailed);
        return false;
    }
    if (!connection.open) {
        const auto peer = unpackPeerInfo(plain);
        if (!peer) {
            endConnection(id, Errc::MalformedMessage);
            return false;
        }
        connection.open = true;
        connection.stream->setMaxInboundBytes(MaxInboundBytes);
        options.onOpen(id, *peer);
        return connections.contains(id);
    }
    auto message = decode(plain);
    if (!message) {
        endConnection(id, Errc::MalformedMessage);
        return false;
    }
    options.onMessage(id, std::move(*message));
    return connections.contains(id);
}

void Endpoint::Impl::sendHandshakeQueue(Connection &connection)
{
    connection.stream->write(makeFrame(connection.handshake.seal(packPeerInfo(options.self))));
    for (const std::string &message : connection.handshakeQueue) {
        connection.stream->write(makeFrame(connection.handshake.seal(message)));
    }
    connection.handshakeQueue.clear();
    connection.handshakeQueueBytes = 0;
}

void Endpoint::Impl::endConnection(ConnectionId id, std::error_code reason)
{
    const auto entry = connections.find(id);
    if (entry == connections.end()) {
        return;
    }
    // Removed before the callback, because onClosed may call the endpoint.
    const std::unique_ptr<Connection> connection = std::move(entry->second);
    connections.erase(entry);
    options.onClosed(id, reason);
}

void Endpoint::Impl::sweep()
{
    const Micros now = monotonicNow();
    std::vector<std::pair<ConnectionId, std::error_code>> ended;
    for (const auto &[id, connection] : connections) {
        if (!connection->open && now > connection->handshakeDeadline) {
            ended.emplace_back(id, make_error_code(Errc::Timeout));
        } else if (connection->closing && connection->stream->unsentBytes() == 0) {
            ended.emplace_back(id, make_error_code(Errc::ConnectionLost));
        }
    }
    for (const auto &[id, reason] : ended) {
        endConnection(id, reason);
    }
}

Endpoint::Endpoint(EndpointOptions options)
    : impl_(std::make_shared<Impl>(std::move(options)))
{
    impl_->self = impl_;
    if (sodium_init() < 0) {
        g_error("cannot initialise libsodium");
    }
    impl_->sweepSource = g_timeout_source_new(static_cast<guint>(SweepInterval / MicrosPerMilli));
    g_source_set_callback(
        impl_->sweepSource,
        [](gpointer data) -> gboolean {
            static_cast<Impl *>(data)->sweep();
            return G_SOURCE_CONTINUE;
        },
        impl_.get(), nullptr);
    g_source_attach(impl_->sweepSource, impl_->options.context);
}

Endpoint::~Endpoint()
{
    g_source_destroy(impl_->sweepSource);
    g_source_unref(impl_->sweepSource);
    if (impl_->listener != nullptr) {
        nng_stream_listener_close(impl_->listener);
        nng_aio_stop(impl_->acceptAio);
        nng_stream_listener_free(impl_->listener);
        nng_aio_free(impl_->acceptAio);
    }
    impl_->connections.clear();
    for (nng_stream *stream : impl_->acceptedStreams) {
        nng_stream_free(stream);
    }
}

std::error_code Endpoint::listen(const std::string &address)
{
    const int allocResult = nng_stream_listener_alloc(&impl_->listener, ("tcp://" + address).c_str());
    if (allocResult != 0) {
        impl_->listener = nullptr;
        return std::make_error_code(std::errc::invalid_argument);
    }
    if (const int result = nng_stream_listener_listen(impl_->listener); result != 0) {
        nng_stream_listener_free(impl_->listener);
        impl_->listener = nullptr;
        return std::make_error_code(result == NNG_EADDRINUSE ? std::errc::address_in_use : std::errc::address_not_available);
    }
    int boundPort = 0;
    nng_stream_listener_get_int(impl_->listener, NNG_OPT_TCP_BOUND_PORT, &boundPort);
    impl_->port = static_cast<std::uint16_t>(boundPort);
    nng_aio_alloc(&impl_->acceptAio, &Impl::onAccepted, impl_.get());
    impl_->acceptNext();
    return {};
}

std::uint16_t Endpoint::port() const
{
    return impl_->port;
}

ConnectionId Endpoint::dial(const std::string &address)
{
    const ConnectionId id = impl_->addConnection(true);
    impl_->connections.at(id)->stream->dial(address);
    return id;
}

bool Endpoint::send(ConnectionId id, const Message &message)
{
    const auto entry = impl_->connections.find(id);
    if (entry == impl_->connections.end() || entry->second->closing) {
        return false;
    }
    Connection &connection = *entry->second;
    std::string bytes = encode(message);
    if (connection.handshake.step() != Handshake::Step::Established) {
        connection.handshakeQueueBytes += bytes.size();
        connection.handshakeQueue.push_back(std::move(bytes));
    } else {
        connection.stream->write(makeFrame(connection.handshake.seal(bytes)));
    }
    if (queuedBytes(id) > impl_->options.maxQueuedBytes) {
        logEvent(LogLevel::Warning, "connection_overflow", { { "connection", id }, { "queued_bytes", queuedBytes(id) } });
        impl_->endConnection(id, Errc::Overloaded);
        return false;
    }
    return true;
}

std::size_t Endpoint::queuedBytes(ConnectionId id) const
{
    const auto entry = impl_->connections.find(id);
    return entry == impl_->connections.end() ? 0 : entry->second->stream->unsentBytes() + entry->second->handshakeQueueBytes;
}

void Endpoint::close(ConnectionId id)
{
    if (const auto entry = impl_->connections.find(id); entry != impl_->connections.end()) {
        entry->second->closing = true;
    }
}

void Endpoint::setKeys(FleetKeys keys)
{
    impl_->options.keys = std::move(keys);
}

} // namespace Carobhall
