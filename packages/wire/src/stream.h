#pragma once

// One nng stream with its read and write loops. The nng callbacks run on nng's threads; they only move bytes under a lock
// and ask the main loop for attention.

#include "carobhall/base.h"

#include <nng/nng.h>

#include <functional>
#include <mutex>

namespace Carobhall::WireInternal
{

/// A TCP stream. Thread-safe. Destroy it from the main loop's thread only, because destruction waits for nng's callbacks.
class Stream
{
public:
    /// \p wake is called from any thread when there is something to collect.
    Stream(std::function<void()> wake, std::size_t maxInboundBytes);
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    /// Starts to dial "ip:port". Precondition: neither dialled nor adopted yet.
    void dial(const std::string &address);
    /// Takes over an accepted stream. Precondition: as for dial().
    void adopt(nng_stream *stream);

    /// Queues bytes to send.
    void write(std::string_view bytes);
    /// Bytes that wait to be sent.
    [[nodiscard]] std::size_t unsent() const;

    /// Moves what was received to the end of \p bytes.
    void collect(std::string &bytes);
    /// Whether the stream has ended, by the peer or by an error.
    [[nodiscard]] bool isClosed() const;

private:
    static void onDialled(void *self);
    static void onReceived(void *self);
    static void onSent(void *self);

    void startLocked(nng_stream *stream);
    void receiveLocked();
    void sendLocked();
    void failLocked();

    static constexpr std::size_t ReadBytes = std::size_t{ 64 } << 10U;

    std::function<void()> wake_;
    std::size_t maxInboundBytes_;
    nng_stream_dialer *dialer_ = nullptr;
    nng_aio *dialAio_ = nullptr;
    nng_aio *receiveAio_ = nullptr;
    nng_aio *sendAio_ = nullptr;

    mutable std::mutex mutex_; ///< Guards all that follows.
    nng_stream *stream_ = nullptr;
    bool closed_ = false;
    bool stopping_ = false;
    bool receiving_ = false;
    bool sending_ = false;
    std::string inbound_;
    std::string outbound_;
    std::string inFlight_; ///< Bytes that nng is sending.
    std::size_t inFlightSent_ = 0;
    std::vector<char> readBuffer_;
};

} // namespace Carobhall::WireInternal
