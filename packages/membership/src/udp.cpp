// Runs a Membership over GLib's UDP sockets.

#include "carobhall/membership_udp.h"

#include "ensure.h"

#include <gio/gio.h>
#include <sodium.h>

namespace Carobhall
{

namespace
{

constexpr std::size_t KeyIdBytes = 4;
constexpr std::size_t NonceBytes = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
constexpr std::size_t TagBytes = crypto_aead_xchacha20poly1305_ietf_ABYTES;
static_assert(KeyIdBytes + NonceBytes + TagBytes <= SealOverheadBytes);
// Larger than MaxDatagramBytes, so that a datagram that is too long is detected and rejected instead of truncated.
constexpr std::size_t ReceiveBufferBytes = 2048;
// Datagrams received per wake-up of the socket source, so that a flood of datagrams does not starve the main loop.
constexpr int MaxDatagramsPerWakeup = 256;

struct Unref {
    void operator()(gpointer object) const
    {
        g_object_unref(object);
    }
    void operator()(GError *error) const
    {
        g_error_free(error);
    }
};
template<typename Object>
using Owned = std::unique_ptr<Object, Unref>;

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

unsigned char *bytesOf(std::string &text)
{
    return reinterpret_cast<unsigned char *>(text.data());
}

Owned<GSocketAddress> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return nullptr;
    }
    gchar *end = nullptr;
    const std::string portText = address.substr(colon + 1);
    const guint64 port = g_ascii_strtoull(portText.c_str(), &end, 10);
    if (portText.empty() || *end != '\0' || port > G_MAXUINT16) {
        return nullptr;
    }
    return Owned<GSocketAddress>(g_inet_socket_address_new_from_string(address.substr(0, colon).c_str(), static_cast<guint>(port)));
}

std::string formatAddress(GSocketAddress *address)
{
    GInetSocketAddress *inet = G_INET_SOCKET_ADDRESS(address);
    gchar *host = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
    std::string text = std::string(host) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
    g_free(host);
    return text;
}

} // namespace

// Sealing -----------------------------------------------------------------------------------------

std::string sealDatagram(std::string_view payload, const FleetKeys &keys)
{
    ensure(!keys.entries.empty(), "at least one fleet key is configured");
    const FleetKeys::Entry &entry = keys.entries.front();
    std::string sealed(KeyIdBytes + NonceBytes + payload.size() + TagBytes, '\0');
    for (std::size_t i = 0; i < KeyIdBytes; ++i) {
        sealed[i] = static_cast<char>(entry.id >> (8U * i));
    }
    randombytes_buf(sealed.data() + KeyIdBytes, NonceBytes);
    unsigned char *bytes = bytesOf(sealed);
    crypto_aead_xchacha20poly1305_ietf_encrypt(bytes + KeyIdBytes + NonceBytes, nullptr, bytesOf(payload), payload.size(), bytes, KeyIdBytes, nullptr,
                                               bytes + KeyIdBytes, entry.key.data());
    return sealed;
}

std::optional<std::string> openDatagram(std::string_view sealed, const FleetKeys &keys)
{
    if (sealed.size() < KeyIdBytes + NonceBytes + TagBytes || sealed.size() > MaxDatagramBytes) {
        return std::nullopt;
    }
    std::uint32_t id = 0;
    for (std::size_t i = 0; i < KeyIdBytes; ++i) {
        id |= static_cast<std::uint32_t>(static_cast<unsigned char>(sealed[i])) << (8U * i);
    }
    const unsigned char *bytes = bytesOf(sealed);
    for (const FleetKeys::Entry &entry : keys.entries) {
        if (entry.id != id) {
            continue;
        }
        std::string payload(sealed.size() - KeyIdBytes - NonceBytes - TagBytes, '\0');
        const int failed = crypto_aead_xchacha20poly1305_ietf_decrypt(bytesOf(payload), nullptr, nullptr, bytes + KeyIdBytes + NonceBytes,
                                                                      sealed.size() - KeyIdBytes - NonceBytes, bytes, KeyIdBytes, bytes + KeyIdBytes,
                                                                      entry.key.data());
        if (failed == 0) {
            return payload;
        }
    }
    return std::nullopt;
}

// Driver ------------------------------------------------------------------------------------------

struct MembershipUdp::Impl {
    explicit Impl(MembershipUdpOptions initialOptions)
        : options(std::move(initialOptions))
    {
        ensure(!options.keys.entries.empty(), "at least one fleet key is configured");
        ensure(sodium_init() >= 0, "libsodium can be initialized");
    }
    ~Impl()
    {
        destroySource(receiveSource);
        destroySource(tickSource);
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    static void destroySource(GSource *&source)
    {
        if (source != nullptr) {
            g_source_destroy(source);
            g_source_unref(source);
            source = nullptr;
        }
    }

    void attach(GSource *source, GSourceFunc callback)
    {
        g_source_set_callback(source, callback, this, nullptr);
        g_source_attach(source, options.context);
    }

    void send(const std::string &to, std::string_view payload)
    {
        const Owned<GSocketAddress> address = parseAddress(to);
        if (!address) {
            ++rejected;
            return;
        }
        const std::string sealed = sealDatagram(payload, options.keys);
        // A send error is ignored: the protocol treats the datagram as lost and tolerates that.
        g_socket_send_to(socket.get(), address.get(), sealed.data(), sealed.size(), nullptr, nullptr);
    }

    void receiveAll()
    {
        std::array<char, ReceiveBufferBytes> buffer{};
        for (int i = 0; i < MaxDatagramsPerWakeup; ++i) {
            GSocketAddress *rawFrom = nullptr;
            const gssize size = g_socket_receive_from(socket.get(), &rawFrom, buffer.data(), buffer.size(), nullptr, nullptr);
            const Owned<GSocketAddress> from(rawFrom);
            if (size < 0 || !from) {
                return;
            }
            const auto payload = openDatagram({ buffer.data(), static_cast<std::size_t>(size) }, options.keys);
            if (!payload) {
                ++rejected;
                continue;
            }
            membership->receive(*payload, formatAddress(from.get()), monotonicNow());
        }
    }

    static gboolean onReadable(GSocket * /*socket*/, GIOCondition /*condition*/, gpointer data)
    {
        static_cast<Impl *>(data)->receiveAll();
        return G_SOURCE_CONTINUE;
    }

    static gboolean onTick(gpointer data)
    {
        static_cast<Impl *>(data)->membership->tick(monotonicNow());
        return G_SOURCE_CONTINUE;
    }

    MembershipUdpOptions options;
    Owned<GSocket> socket;
    std::unique_ptr<Membership> membership;
    GSource *receiveSource = nullptr;
    GSource *tickSource = nullptr;
    std::uint16_t port = 0;
    std::uint64_t rejected = 0;
};

MembershipUdp::MembershipUdp(MembershipUdpOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

MembershipUdp::~MembershipUdp() = default;

std::error_code MembershipUdp::start(const std::string &address)
{
    Impl &impl = *impl_;
    ensure(!impl.socket, "MembershipUdp::start() succeeds at most once");
    const Owned<GSocketAddress> local = parseAddress(address);
    if (!local) {
        return make_error_code(std::errc::invalid_argument);
    }
    Owned<GSocket> socket(g_socket_new(g_socket_address_get_family(local.get()), G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, nullptr));
    if (!socket) {
        return make_error_code(std::errc::io_error);
    }
    g_socket_set_blocking(socket.get(), FALSE);
    GError *error = nullptr;
    if (g_socket_bind(socket.get(), local.get(), FALSE, &error) == FALSE) {
        const Owned<GError> owned(error);
        return make_error_code(g_error_matches(error, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE) != FALSE ? std::errc::address_in_use : std::errc::io_error);
    }
    const Owned<GSocketAddress> bound(g_socket_get_local_address(socket.get(), nullptr));
    impl.port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get()));
    impl.socket = std::move(socket);
    MembershipOptions options = impl.options.membership;
    if (options.self.address.empty() || options.self.address.ends_with(":0")) {
        options.self.address = formatAddress(bound.get());
    }
    options.send = [&impl](const std::string &to, std::string_view payload) { impl.send(to, payload); };
    impl.membership = std::make_unique<Membership>(std::move(options));
    impl.receiveSource = g_socket_create_source(impl.socket.get(), G_IO_IN, nullptr);
    // G_SOURCE_FUNC: GLib calls the callback of a socket source as a GSocketSourceFunc, with the socket and the condition.
    impl.attach(impl.receiveSource, G_SOURCE_FUNC(&Impl::onReadable));
    impl.tickSource = g_timeout_source_new(static_cast<guint>(impl.options.tickPeriod / MicrosPerMilli));
    impl.attach(impl.tickSource, &Impl::onTick);
    // The first tick pings the seeds at once, so that a restarted process quickly learns of the other members.
    impl.membership->tick(monotonicNow());
    return {};
}

Membership &MembershipUdp::membership()
{
    ensure(impl_->membership != nullptr, "MembershipUdp::start() has succeeded");
    return *impl_->membership;
}

std::uint16_t MembershipUdp::port() const
{
    return impl_->port;
}

std::uint64_t MembershipUdp::rejectedDatagrams() const
{
    return impl_->rejected;
}

void MembershipUdp::setKeys(FleetKeys keys)
{
    ensure(!keys.entries.empty(), "at least one fleet key is configured");
    impl_->options.keys = std::move(keys);
}

} // namespace Carobhall
