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

constexpr std::size_t LengthSize = sizeof(std::uint32_t);
constexpr Micros SweepInterval = 250 * MicrosPerMilli;
/// Reading from a connection pauses while this much waits for the main loop. Larger than the largest frame.
constexpr std::size_t MaxInboundBytes = std::size_t{ 8 } << 20U;

std::string frameOf(std::string_view payload)
{
    std::string frame;
    frame.reserve(LengthSize + payload.size());
    const auto size = static_cast<std::uint32_t>(payload.size());
    for (std::size_t i = 0; i < LengthSize; ++i) {
        frame += static_cast<char>(size >> (8U * i) & 0xFFU);
    }
    frame += payload;
    return frame;
}

std::size_t lengthAt(std::string_view bytes)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < LengthSize; ++i) {
        size |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8U * i);
    }
    return size;
}

std::string packed(const PeerInfo &info)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, info);
    return { buffer.data(), buffer.size() };
}

std::optional<PeerInfo> unpackedPeer(std::string_view bytes)
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
    std::string inbound;              ///< Bytes that do not make a whole frame yet.
    std::vector<std::string> waiting; ///< Encoded messages that wait for the handshake.
    std::size_t waitingBytes = 0;
    Micros openBy = 0;    ///< The handshake's time limit.
    bool open = false;    ///< The peer's first record has been verified.
    bool closing = false; ///< Ends when everything queued has been sent.
};

} // namespace

struct Endpoint::Impl {
    explicit Impl(EndpointOptions endpointOptions)
        : options(std::move(endpointOptions))
    {
    }

    // State shared with nng's threads.
    std::mutex mutex;
    std::vector<nng_stream *> accepted; ///< Guarded by the mutex.
    std::atomic<bool> wakePending{ false };

    // State of the main loop's thread.
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
    void process();
    ConnectionId add(bool isDialler);
    void processConnection(ConnectionId id);
    bool processFrame(ConnectionId id, std::string_view frame);
    void flushWaiting(Connection &connection);
    void end(ConnectionId id, std::error_code reason);
    void sweep();
};

gboolean Endpoint::Impl::dispatch(gpointer data)
{
    if (const auto impl = static_cast<std::weak_ptr<Impl> *>(data)->lock()) {
        impl->wakePending = false;
        impl->process();
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
        impl->accepted.push_back(static_cast<nng_stream *>(nng_aio_get_output(impl->acceptAio, 0)));
    }
    impl->wake();
    impl->acceptNext();
}

void Endpoint::Impl::acceptNext()
{
    nng_stream_listener_accept(listener, acceptAio);
}

ConnectionId Endpoint::Impl::add(bool isDialler)
{
    const ConnectionId id = nextId++;
    auto connection = std::make_unique<Connection>(Connection{
        .stream = std::make_unique<Stream>([this] { wake(); }, MaxInboundBytes),
        .handshake = Handshake(options.keys, isDialler),
        .inbound = {},
        .waiting = {},
        .openBy = monotonicNow() + options.handshakeTimeout,
    });
    if (isDialler) {
        connection->stream->write(frameOf(connection->handshake.hello()));
    }
    connections.emplace(id, std::move(connection));
    return id;
}

void Endpoint::Impl::process()
{
    std::vector<nng_stream *> arrivals;
    {
        const std::lock_guard lock(mutex);
        arrivals.swap(accepted);
    }
    for (nng_stream *arrival : arrivals) {
        const ConnectionId id = add(false);
        connections.at(id)->stream->adopt(arrival);
    }
    // Callbacks may open and close connections, so the walk is over a copy of the identifiers.
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
    // Read before collecting: bytes that arrived before the end of the stream are still handled.
    const bool closed = entry->second->stream->isClosed();
    entry->second->stream->collect(entry->second->inbound);
    std::size_t consumed = 0;
    std::string inbound = std::move(entry->second->inbound);
    entry->second->inbound.clear();
    while (inbound.size() - consumed >= LengthSize) {
        const std::size_t length = lengthAt(std::string_view(inbound).substr(consumed));
        if (length > options.maxFrameBytes) {
            end(id, Errc::MalformedMessage);
            return;
        }
        if (inbound.size() - consumed - LengthSize < length) {
            break;
        }
        const std::string_view frame = std::string_view(inbound).substr(consumed + LengthSize, length);
        consumed += LengthSize + length;
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
        end(id, Errc::ConnectionLost);
    }
}

bool Endpoint::Impl::processFrame(ConnectionId id, std::string_view frame)
{
    Connection &connection = *connections.at(id);
    if (connection.handshake.step() != Handshake::Step::Established) {
        const auto answer = connection.handshake.receive(frame);
        if (!answer) {
            end(id, Errc::AuthenticationFailed);
            return false;
        }
        if (!answer->empty()) {
            connection.stream->write(frameOf(*answer));
        }
        if (connection.handshake.step() == Handshake::Step::Established) {
            flushWaiting(connection);
        }
        return true;
    }
    std::string plain;
    if (!connection.handshake.open(frame, plain)) {
        end(id, Errc::AuthenticationFailed);
        return false;
    }
    if (!connection.open) {
        const auto peer = unpackedPeer(plain);
        if (!peer) {
            end(id, Errc::MalformedMessage);
            return false;
        }
        connection.open = true;
        options.onOpen(id, *peer);
        return connections.contains(id);
    }
    auto message = decode(plain);
    if (!message) {
        end(id, Errc::MalformedMessage);
        return false;
    }
    options.onMessage(id, std::move(*message));
    return connections.contains(id);
}

void Endpoint::Impl::flushWaiting(Connection &connection)
{
    connection.stream->write(frameOf(connection.handshake.seal(packed(options.self))));
    for (const std::string &message : connection.waiting) {
        connection.stream->write(frameOf(connection.handshake.seal(message)));
    }
    connection.waiting.clear();
    connection.waitingBytes = 0;
}

void Endpoint::Impl::end(ConnectionId id, std::error_code reason)
{
    const auto entry = connections.find(id);
    if (entry == connections.end()) {
        return;
    }
    // Taken out first: onClosed may call back into the endpoint.
    const std::unique_ptr<Connection> connection = std::move(entry->second);
    connections.erase(entry);
    options.onClosed(id, reason);
}

void Endpoint::Impl::sweep()
{
    const Micros now = monotonicNow();
    std::vector<std::pair<ConnectionId, std::error_code>> ended;
    for (const auto &[id, connection] : connections) {
        if (!connection->open && now > connection->openBy) {
            ended.emplace_back(id, make_error_code(Errc::Timeout));
        } else if (connection->closing && connection->stream->unsent() == 0) {
            ended.emplace_back(id, make_error_code(Errc::ConnectionLost));
        }
    }
    for (const auto &[id, reason] : ended) {
        end(id, reason);
    }
}

Endpoint::Endpoint(EndpointOptions options)
    : impl_(std::make_shared<Impl>(std::move(options)))
{
    impl_->self = impl_;
    if (sodium_init() < 0) {
        g_error("libsodium could not be initialised");
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
    for (nng_stream *stream : impl_->accepted) {
        nng_stream_free(stream);
    }
}

std::error_code Endpoint::listen(const std::string &address)
{
    const int allocated = nng_stream_listener_alloc(&impl_->listener, ("tcp://" + address).c_str());
    if (allocated != 0) {
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
    const ConnectionId id = impl_->add(true);
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
        connection.waitingBytes += bytes.size();
        connection.waiting.push_back(std::move(bytes));
    } else {
        connection.stream->write(frameOf(connection.handshake.seal(bytes)));
    }
    if (queuedBytes(id) > impl_->options.maxQueuedBytes) {
        logEvent(LogLevel::Warning, "connection_overflow", { { "connection", id }, { "queued_bytes", queuedBytes(id) } });
        impl_->end(id, Errc::Overloaded);
        return false;
    }
    return true;
}

std::size_t Endpoint::queuedBytes(ConnectionId id) const
{
    const auto entry = impl_->connections.find(id);
    return entry == impl_->connections.end() ? 0 : entry->second->stream->unsent() + entry->second->waitingBytes;
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
