#include "handshake.h"

#include <cstring>

namespace Carobhall::WireInternal
{

namespace
{

constexpr std::string_view Magic = "CBH1";
constexpr std::string_view DiallerToListener = "dialler-to-listener";
constexpr std::string_view ListenerToDialler = "listener-to-dialler";
constexpr std::size_t KeyIdSize = sizeof(std::uint32_t);

template<std::size_t Size>
std::string_view asText(const std::array<unsigned char, Size> &bytes)
{
    return { reinterpret_cast<const char *>(bytes.data()), bytes.size() };
}

const unsigned char *asBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

Handshake::Handshake(const FleetKeys &keys, bool isDialler)
    : keys_(keys)
    , step_(isDialler ? Step::AwaitWelcome : Step::AwaitHello)
{
    if (isDialler) {
        keyId_ = keys_.entries.front().id;
        fleetKey_ = keys_.entries.front().key;
        randombytes_buf(diallerNonce_.data(), diallerNonce_.size());
    }
}

std::string Handshake::hello() const
{
    std::string frame(Magic);
    for (std::size_t i = 0; i < KeyIdSize; ++i) {
        frame += static_cast<char>(keyId_ >> (8U * i) & 0xFFU);
    }
    frame += asText(diallerNonce_);
    return frame;
}

std::optional<std::string> Handshake::receive(std::string_view frame)
{
    switch (step_) {
    case Step::AwaitHello:
        return receiveHello(frame);
    case Step::AwaitWelcome:
        return receiveWelcome(frame);
    case Step::AwaitBegin:
        return receiveBegin(frame);
    case Step::Established:
        break;
    }
    return std::nullopt;
}

std::optional<std::string> Handshake::receiveHello(std::string_view frame)
{
    if (frame.size() != Magic.size() + KeyIdSize + NonceSize || !frame.starts_with(Magic)) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < KeyIdSize; ++i) {
        keyId_ |= static_cast<std::uint32_t>(static_cast<unsigned char>(frame[Magic.size() + i])) << (8U * i);
    }
    const auto entry = std::find_if(keys_.entries.begin(), keys_.entries.end(), [this](const FleetKeys::Entry &candidate) { return candidate.id == keyId_; });
    if (entry == keys_.entries.end()) {
        return std::nullopt;
    }
    fleetKey_ = entry->key;
    std::memcpy(diallerNonce_.data(), frame.data() + Magic.size() + KeyIdSize, NonceSize);
    randombytes_buf(listenerNonce_.data(), listenerNonce_.size());
    std::array<unsigned char, StreamHeaderSize> header{};
    crypto_secretstream_xchacha20poly1305_init_push(&sendState_, header.data(), directionKey(ListenerToDialler).data());
    step_ = Step::AwaitBegin;
    std::string reply(Magic);
    reply += asText(listenerNonce_);
    reply += asText(header);
    return reply;
}

std::optional<std::string> Handshake::receiveWelcome(std::string_view frame)
{
    if (frame.size() != Magic.size() + NonceSize + StreamHeaderSize || !frame.starts_with(Magic)) {
        return std::nullopt;
    }
    std::memcpy(listenerNonce_.data(), frame.data() + Magic.size(), NonceSize);
    const std::string_view header = frame.substr(Magic.size() + NonceSize);
    if (crypto_secretstream_xchacha20poly1305_init_pull(&receiveState_, asBytes(header), directionKey(ListenerToDialler).data()) != 0) {
        return std::nullopt;
    }
    std::array<unsigned char, StreamHeaderSize> ownHeader{};
    crypto_secretstream_xchacha20poly1305_init_push(&sendState_, ownHeader.data(), directionKey(DiallerToListener).data());
    step_ = Step::Established;
    return std::string(asText(ownHeader));
}

std::optional<std::string> Handshake::receiveBegin(std::string_view frame)
{
    if (frame.size() != StreamHeaderSize) {
        return std::nullopt;
    }
    if (crypto_secretstream_xchacha20poly1305_init_pull(&receiveState_, asBytes(frame), directionKey(DiallerToListener).data()) != 0) {
        return std::nullopt;
    }
    step_ = Step::Established;
    return std::string();
}

Handshake::Key Handshake::directionKey(std::string_view direction) const
{
    std::string input(direction);
    input += asText(diallerNonce_);
    input += asText(listenerNonce_);
    Key key{};
    crypto_generichash(key.data(), key.size(), asBytes(input), input.size(), fleetKey_.data(), fleetKey_.size());
    return key;
}

std::string Handshake::seal(std::string_view plain)
{
    std::string sealed(plain.size() + RecordOverhead, '\0');
    crypto_secretstream_xchacha20poly1305_push(&sendState_, reinterpret_cast<unsigned char *>(sealed.data()), nullptr, asBytes(plain), plain.size(), nullptr, 0,
                                               0);
    return sealed;
}

bool Handshake::open(std::string_view sealed, std::string &plain)
{
    if (sealed.size() < RecordOverhead) {
        return false;
    }
    plain.resize(sealed.size() - RecordOverhead);
    return crypto_secretstream_xchacha20poly1305_pull(&receiveState_, reinterpret_cast<unsigned char *>(plain.data()), nullptr, nullptr, asBytes(sealed),
                                                      sealed.size(), nullptr, 0)
        == 0;
}

} // namespace Carobhall::WireInternal
