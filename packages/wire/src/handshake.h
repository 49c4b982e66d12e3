#pragma once

// Key agreement and record encryption of a connection, without I/O.
//
//   dialler -> listener   Hello     identifier of the fleet key, dialler's nonce
//   listener -> dialler   Welcome   listener's nonce, header of the listener's record stream
//   dialler -> listener   Begin     header of the dialler's record stream; records follow
//
// The key of each direction is derived with BLAKE2b from both nonces, keyed with the fleet key. Fresh nonces prevent the replay
// of a recorded connection. A peer is authenticated by its first record, which cannot be decrypted if the peer lacks the fleet
// key.

#include "carobhall/wire.h"

#include <sodium.h>

namespace Carobhall::WireInternal
{

inline constexpr std::size_t NonceSize = 32; ///< Bytes.
inline constexpr std::size_t StreamHeaderSize = crypto_secretstream_xchacha20poly1305_HEADERBYTES;
inline constexpr std::size_t RecordOverhead = crypto_secretstream_xchacha20poly1305_ABYTES; ///< Bytes that encryption adds.

/// One end's handshake state, and its record encryption once the handshake is complete. Not thread-safe.
class Handshake
{
public:
    enum class Step : std::uint8_t { AwaitHello, AwaitWelcome, AwaitBegin, Established };

    /// Precondition: \p keys holds at least one key.
    Handshake(const FleetKeys &keys, bool isDialler);

    [[nodiscard]] Step step() const
    {
        return step_;
    }

    /// The dialler's first frame.
    [[nodiscard]] std::string hello() const;

    /// Processes a handshake frame and returns the reply frame, which is empty if there is none. Returns std::nullopt if the frame
    /// is malformed or refers to an unknown key. Precondition: step() is not Established.
    std::optional<std::string> receive(std::string_view frame);

    /// Encrypts and authenticates one record. Precondition: step() is Established.
    [[nodiscard]] std::string seal(std::string_view plain);

    /// Decrypts one record into \p plain; false if it is forged, replayed or out of order. Precondition: step() is Established.
    [[nodiscard]] bool open(std::string_view sealed, std::string &plain);

private:
    using Nonce = std::array<unsigned char, NonceSize>;
    using Key = std::array<unsigned char, FleetKeySize>;

    std::optional<std::string> receiveHello(std::string_view frame);
    std::optional<std::string> receiveWelcome(std::string_view frame);
    std::optional<std::string> receiveBegin(std::string_view frame);
    [[nodiscard]] Key directionKey(std::string_view direction) const;

    FleetKeys keys_;
    std::uint32_t keyId_ = 0;
    Key fleetKey_{};
    Nonce diallerNonce_{};
    Nonce listenerNonce_{};
    Step step_;
    crypto_secretstream_xchacha20poly1305_state sendState_{};
    crypto_secretstream_xchacha20poly1305_state receiveState_{};
};

} // namespace Carobhall::WireInternal
