#pragma once

// An nng stream with its read and write loops. The nng callbacks run on nng's threads; they only move bytes under a lock and
// wake the main loop.

#include "carobhall/base.h"

#include <nng/nng.h>

#include <functional>
#include <mutex>

namespace Carobhall::WireInternal
{

/// A TCP stream. Thread-safe, except that it must be destroyed on the main loop's thread: the destructor waits for running nng
/// callbacks.
class Stream
{
public:
    /// \p wake is called on any thread, with the stream's lock held, when data has arrived or the stream has closed. Reading pauses
    /// while \p maxInboundBytes or more have been received but not taken.
    Stream(std::function<void()> wake, std::size_t maxInboundBytes);
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    /// Changes the limit that the constructor was given; takes effect when data is taken.
    void setMaxInboundBytes(std::size_t maxInboundBytes);

    /// Starts connecting to "ip:port". Precondition: neither dial() nor adopt() has been called.
    void dial(const std::string &address);
    /// Takes ownership of an accepted stream. Precondition: as for dial().
    void adopt(nng_stream *stream);

    /// Queues \p bytes for sending.
    void write(std::string_view bytes);
    /// Number of queued bytes that have not been sent.
    [[nodiscard]] std::size_t unsentBytes() const;

    /// Moves the received data to the end of \p bytes.
    void takeInbound(std::string &bytes);
    /// Whether the stream has been closed by the peer or by an error.
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
    nng_stream_dialer *dialer_ = nullptr;
    nng_aio *dialAio_ = nullptr;
    nng_aio *receiveAio_ = nullptr;
    nng_aio *sendAio_ = nullptr;

    mutable std::mutex mutex_; ///< Guards the members below.
    std::size_t maxInboundBytes_;
    nng_stream *stream_ = nullptr;
    bool closed_ = false;
    bool stopping_ = false; ///< The destructor is running.
    bool receiving_ = false;
    bool sending_ = false;
    std::string inbound_;          ///< Received and not yet taken.
    std::string outbound_;         ///< Queued, and not yet handed to nng.
    std::string inFlight_;         ///< Handed to nng for sending.
    std::size_t inFlightSent_ = 0; ///< Bytes of inFlight_ that have been sent.
    std::vector<char> readBuffer_;
};

} // namespace Carobhall::WireInternal
