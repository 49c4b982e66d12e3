#include "stream.h"

namespace Carobhall::WireInternal
{

Stream::Stream(std::function<void()> wake, std::size_t maxInboundBytes)
    : wake_(std::move(wake))
    , maxInboundBytes_(maxInboundBytes)
    , readBuffer_(ReadBytes)
{
    nng_aio_alloc(&dialAio_, &Stream::onDialled, this);
    nng_aio_alloc(&receiveAio_, &Stream::onReceived, this);
    nng_aio_alloc(&sendAio_, &Stream::onSent, this);
}

void Stream::setMaxInboundBytes(std::size_t maxInboundBytes)
{
    const std::lock_guard lock(mutex_);
    maxInboundBytes_ = maxInboundBytes;
}

Stream::~Stream()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        closed_ = true;
    }
    if (dialer_ != nullptr) {
        nng_stream_dialer_close(dialer_);
    }
    // nng_aio_stop waits for a running callback, which takes the lock, so the lock is not held here.
    nng_aio_stop(dialAio_);
    if (stream_ != nullptr) {
        nng_stream_close(stream_);
    }
    nng_aio_stop(receiveAio_);
    nng_aio_stop(sendAio_);
    if (stream_ != nullptr) {
        nng_stream_free(stream_);
    }
    if (dialer_ != nullptr) {
        nng_stream_dialer_free(dialer_);
    }
    nng_aio_free(dialAio_);
    nng_aio_free(receiveAio_);
    nng_aio_free(sendAio_);
}

void Stream::dial(const std::string &address)
{
    const std::lock_guard lock(mutex_);
    if (nng_stream_dialer_alloc(&dialer_, ("tcp://" + address).c_str()) != 0) {
        failLocked();
        return;
    }
    nng_stream_dialer_set_bool(dialer_, NNG_OPT_TCP_NODELAY, true);
    nng_stream_dialer_dial(dialer_, dialAio_);
}

void Stream::adopt(nng_stream *stream)
{
    const std::lock_guard lock(mutex_);
    startLocked(stream);
}

void Stream::write(std::string_view bytes)
{
    const std::lock_guard lock(mutex_);
    outbound_ += bytes;
    sendLocked();
}

std::size_t Stream::unsentBytes() const
{
    const std::lock_guard lock(mutex_);
    return outbound_.size() + inFlight_.size() - inFlightSent_;
}

void Stream::takeInbound(std::string &bytes)
{
    const std::lock_guard lock(mutex_);
    bytes += inbound_;
    inbound_.clear();
    receiveLocked();
}

bool Stream::isClosed() const
{
    const std::lock_guard lock(mutex_);
    return closed_;
}

void Stream::onDialled(void *self)
{
    auto *const stream = static_cast<Stream *>(self);
    const std::lock_guard lock(stream->mutex_);
    if (nng_aio_result(stream->dialAio_) != 0) {
        stream->failLocked();
        return;
    }
    stream->startLocked(static_cast<nng_stream *>(nng_aio_get_output(stream->dialAio_, 0)));
}

void Stream::onReceived(void *self)
{
    auto *const stream = static_cast<Stream *>(self);
    const std::lock_guard lock(stream->mutex_);
    stream->receiving_ = false;
    const std::size_t count = nng_aio_count(stream->receiveAio_);
    if (nng_aio_result(stream->receiveAio_) != 0 || count == 0) {
        stream->failLocked();
        return;
    }
    stream->inbound_.append(stream->readBuffer_.data(), count);
    stream->receiveLocked();
    stream->wake_();
}

void Stream::onSent(void *self)
{
    auto *const stream = static_cast<Stream *>(self);
    const std::lock_guard lock(stream->mutex_);
    stream->sending_ = false;
    if (nng_aio_result(stream->sendAio_) != 0) {
        stream->failLocked();
        return;
    }
    stream->inFlightSent_ += nng_aio_count(stream->sendAio_);
    stream->sendLocked();
}

void Stream::startLocked(nng_stream *stream)
{
    stream_ = stream;
    nng_stream_set_bool(stream_, NNG_OPT_TCP_NODELAY, true);
    receiveLocked();
    sendLocked();
}

void Stream::receiveLocked()
{
    // While the main loop is behind, reading pauses, so that TCP flow control slows down the peer.
    if (stream_ == nullptr || receiving_ || closed_ || stopping_ || inbound_.size() >= maxInboundBytes_) {
        return;
    }
    receiving_ = true;
    nng_iov iov{ readBuffer_.data(), readBuffer_.size() };
    nng_aio_set_iov(receiveAio_, 1, &iov);
    nng_stream_recv(stream_, receiveAio_);
}

void Stream::sendLocked()
{
    if (stream_ == nullptr || sending_ || closed_ || stopping_) {
        return;
    }
    if (inFlightSent_ == inFlight_.size()) {
        inFlight_.clear();
        inFlightSent_ = 0;
        std::swap(inFlight_, outbound_);
    }
    if (inFlight_.empty()) {
        return;
    }
    sending_ = true;
    nng_iov iov{ inFlight_.data() + inFlightSent_, inFlight_.size() - inFlightSent_ };
    nng_aio_set_iov(sendAio_, 1, &iov);
    nng_stream_send(stream_, sendAio_);
}

void Stream::failLocked()
{
    closed_ = true;
    if (!stopping_) {
        wake_();
    }
}

} // namespace Carobhall::WireInternal
