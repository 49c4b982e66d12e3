#include "caller_connection.h"

#include <utility>

namespace Carobhall
{

namespace
{

/// Retry-After, in seconds, of a request that was read in part when the process ends. New connections reach another process at once.
constexpr std::string_view RetryAfterStop = "0.150";
/// A caller that takes no bytes of its response for this long has stopped reading. The system of one that reads slowly through a large window
/// acknowledges bytes in steps, some tens of seconds apart at a few kilobytes a second.
constexpr Micros StallLimit = 60 * MicrosPerSecond;
/// Retry-After, in seconds, of a request for which there is no room: other clients take it for about so long.
constexpr std::string_view RetryAfterNoRoom = "1.000";
/// The next request of a connection waits while more bytes of the responses before it are unsent, so that a caller that sends many requests ahead
/// does not collect their responses here.
constexpr std::size_t MaxUnsentBeforeNextRequest = std::size_t{ 1 } << 20U;

/// What is held of a request besides its body: the fields of its head, and \p input that arrived behind it.
std::size_t heldBesidesBody(const RequestHead &head, std::string_view input)
{
    std::size_t bytes = input.size();
    for (const HeaderField &field : head.fields) {
        bytes += sizeof(HeaderField) + field.name.size() + field.value.size();
    }
    return bytes;
}

ReaderLimits readerLimits(const CallerLimits &limits)
{
    return { .maxHeaderBytes = limits.maxHeaderBytes, .maxBodyBytes = limits.maxBodyBytes };
}

} // namespace

CallerConnection::CallerConnection(CallerConnectionOptions options)
    : options_(std::move(options))
    , reader_(ReaderLimits{})
{
}

CallerConnection::~CallerConnection()
{
    if (channel_ && !closed_) {
        channel_->abort();
    }
}

void CallerConnection::open(Micros now)
{
    waitingSince_ = now;
    lastBytesAt_ = now;
    channel_ = Channel::adopt(options_.descriptor,
                              { .onData =
                                    [this] {
                                        lastBytesAt_ = monotonicNow();
                                        readRequests();
                                    },
                                .onEnd = [this](ChannelEnd) { close(ConnectionEnd::CallerLeft); },
                                .maxInputBytes = static_cast<std::size_t>(options_.limits->forRequest(now).maxBodyBytes) + (std::size_t{ 1 } << 20U),
                                .stallLimit = StallLimit });
}

void CallerConnection::readRequests()
{
    const std::shared_ptr<CallerConnection> self = shared_from_this();
    // Guards against recursion: a handler that responds immediately calls this function through apply(). The loop below
    // then continues with the next request.
    if (std::exchange(reading_, true)) {
        return;
    }
    while (writer_.canBeginRequest() && !closed_ && channel_->isOpen() && !channel_->input().empty()) {
        if (!reader_.hasStarted()) {
            waitingSince_ = monotonicNow();
            const CallerLimits limits = options_.limits->forRequest(waitingSince_);
            // A request that has waited behind the one before it was sent when that one's limits were known.
            requestLimits_ = std::exchange(nextHasWaited_, false) ? widest(limits, requestLimits_) : limits;
            reader_ = RequestReader(readerLimits(requestLimits_));
        }
        const ReadProgress progress = reader_.read(channel_->input());
        if (progress == ReadProgress::NeedsMore) {
            if (reader_.hasHead()) {
                (void)reserveBody();
            }
            break;
        }
        switch (progress) {
        case ReadProgress::Complete:
            break;
        case ReadProgress::HeadTooLarge:
            reject(431, "head_too_large");
            break;
        case ReadProgress::BodyTooLarge:
            reject(413, "body_too_large");
            break;
        default:
            reject(400, "malformed_request");
            break;
        }
        if (progress != ReadProgress::Complete) {
            break;
        }
        if (std::exchange(bodyHeldSince_, 0) > 0) {
            channel_->setInputHeld(false);
        }
        const std::size_t bytes = reader_.bodyBytes() + heldBesidesBody(reader_.head(), channel_->input());
        if (!grant_) {
            grant_ = options_.budget->take(bytes);
        }
        if (!grant_ || !grant_.resize(bytes)) {
            refuse("no_room");
            break;
        }
        RequestHead head = reader_.head();
        writer_.beginRequest(head.persistent);
        // Whatever ends the connection from here on, a further request is still unread then and the caller may send it again.
        channel_->setReading(false);
        std::string body = reader_.takeBody();
        reader_ = RequestReader(ReaderLimits{});
        continueChecked_ = false;
        if (channel_->input().empty()) {
            // The buffer of a connection that rests is not kept.
            std::string().swap(channel_->input());
        }
        options_.onRequest(self, { .head = std::move(head), .body = std::move(body), .grant = std::exchange(grant_, {}) });
    }
    reading_ = false;
}

bool CallerConnection::reserveBody()
{
    const auto announced = reader_.announcedBytes();
    const std::size_t received = reader_.bodyBytes();
    // The length of a body in chunks is not known: it counts as a small one until it is none.
    const std::size_t small = options_.budget->smallBytes();
    const std::size_t largest = static_cast<std::size_t>(requestLimits_.maxBodyBytes);
    const std::size_t body = announced ? static_cast<std::size_t>(*announced) : std::min(largest, received < small ? small : largest);
    const std::size_t needed = body + heldBesidesBody(reader_.head(), {});
    const bool hasRoom = grant_ ? needed <= grant_.bodyBytes() || grant_.resize(needed) : static_cast<bool>(grant_ = options_.budget->take(needed));
    if (!hasRoom) {
        bodyHeldSince_ = bodyHeldSince_ > 0 ? bodyHeldSince_ : monotonicNow();
        channel_->setInputHeld(true);
        return false;
    }
    if (!std::exchange(continueChecked_, true)) {
        if (const auto expect = findField(reader_.head().fields, "Expect"); expect && equalsIgnoringCase(*expect, "100-continue")) {
            channel_->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
    return true;
}

void CallerConnection::continueHeld()
{
    if (closed_ || bodyHeldSince_ == 0) {
        return;
    }
    const std::shared_ptr<CallerConnection> self = shared_from_this();
    if (!reserveBody()) {
        return;
    }
    // The caller could not send meanwhile, so that the time does not count against its rate.
    lastBytesAt_ = monotonicNow();
    waitingSince_ += lastBytesAt_ - std::exchange(bodyHeldSince_, 0);
    channel_->setInputHeld(false);
    readRequests();
}

ReceiveState CallerConnection::receiveState() const
{
    // A caller that does not read its last response may still hold room for its next request.
    const ReceivePhase phase = writer_.isBusy() ? ReceivePhase::Busy
        : bodyHeldSince_ > 0                    ? ReceivePhase::Held
        : reader_.hasStarted()                  ? ReceivePhase::Receiving
        : channel_->undelivered() > 0           ? ReceivePhase::Busy
                                                : ReceivePhase::Idle;
    return { .phase = phase,
             .lastBytesAt = lastBytesAt_,
             .since = bodyHeldSince_ > 0 ? bodyHeldSince_ : waitingSince_,
             .bytes = reader_.bodyBytes(),
             .grantedBytes = grant_.bodyBytes() };
}

void CallerConnection::refuseIncomplete()
{
    if (!closed_ && !writer_.isBusy() && reader_.hasStarted()) {
        const std::shared_ptr<CallerConnection> self = shared_from_this();
        refuse("no_room");
    }
}

void CallerConnection::refuse(std::string_view reason)
{
    writer_.beginRequest(false);
    options_.onRejected(*this, reason);
    grant_ = {};
    reader_ = RequestReader(ReaderLimits{});
    respond(503, { { "Retry-After", std::string(RetryAfterNoRoom) } }, {});
}

void CallerConnection::closeForRoom()
{
    const std::shared_ptr<CallerConnection> self = shared_from_this();
    channel_->abort();
    close(ConnectionEnd::NoRoom);
}

void CallerConnection::beginNextRequest()
{
    nextIsHeld_ = channel_->unsent() > MaxUnsentBeforeNextRequest;
    if (nextIsHeld_) {
        return;
    }
    nextHasWaited_ = !channel_->input().empty() || channel_->hasUnreadInput();
    channel_->setReading(true);
    readRequests();
}

void CallerConnection::reject(unsigned status, std::string_view reason)
{
    writer_.beginRequest(false);
    options_.onRejected(*this, reason);
    grant_ = {};
    reader_ = RequestReader(ReaderLimits{});
    respond(status, {}, {});
}

void CallerConnection::apply(const ResponseOutput &output)
{
    if (closed_) {
        return;
    }
    channel_->write(output.bytes);
    switch (output.end) {
    case ResponseEnd::None:
        return;
    case ResponseEnd::KeepAlive:
        waitingSince_ = monotonicNow();
        lastBytesAt_ = waitingSince_;
        beginNextRequest();
        return;
    case ResponseEnd::Close:
    case ResponseEnd::Truncated:
        // An orderly close also shows that a response is incomplete, and delivers the data that was written before; a reset would
        // discard it.
        channel_->close();
        close(output.end == ResponseEnd::Close ? ConnectionEnd::Complete : ConnectionEnd::Truncated);
        return;
    }
}

void CallerConnection::prepareHead()
{
    // A request that was read or waits in the socket is answered before the connection closes.
    if (shuttingDown_ && channel_->input().empty() && !channel_->hasUnreadInput()) {
        writer_.closeAfterResponse();
    }
}

void CallerConnection::respond(unsigned status, const std::vector<HeaderField> &fields, std::string_view body)
{
    prepareHead();
    apply(writer_.respond(status, fields, body));
}

void CallerConnection::respondHead(unsigned status, const std::vector<HeaderField> &fields, std::optional<std::string_view> length)
{
    prepareHead();
    apply(writer_.respondHead(status, fields, length));
}

void CallerConnection::startStream(unsigned status, const std::vector<HeaderField> &fields)
{
    prepareHead();
    apply(writer_.startStream(status, fields));
}

void CallerConnection::sendStream(std::string_view data)
{
    apply(writer_.sendStream(data));
}

void CallerConnection::finishStream()
{
    apply(writer_.finishStream());
}

void CallerConnection::abortResponse()
{
    apply(writer_.truncate());
}

void CallerConnection::beginShutdown()
{
    shuttingDown_ = true;
}

void CallerConnection::readWaiting()
{
    if (!closed_) {
        channel_->readWaiting();
    }
}

void CallerConnection::endForShutdown()
{
    const std::shared_ptr<CallerConnection> self = shared_from_this();
    readWaiting();
    if (closed_ || writer_.isBusy()) {
        return;
    }
    if (!reader_.hasStarted()) {
        channel_->closeUnread();
        close(ConnectionEnd::Stop);
        return;
    }
    // Not run, and told so: the rest of the request has not arrived.
    writer_.beginRequest(false);
    options_.onRejected(*this, "process_stopped");
    respond(503, { { "Retry-After", std::string(RetryAfterStop) } }, {});
}

void CallerConnection::checkTimeouts(Micros now)
{
    if (closed_) {
        return;
    }
    delivery_.note({ .written = channel_->written(), .undelivered = channel_->undelivered() }, now);
    if (delivery_.isStalled(StallLimit, now)) {
        channel_->abort();
        close(ConnectionEnd::Stalled);
        return;
    }
    if (writer_.isBusy()) {
        return;
    }
    if (nextIsHeld_) {
        beginNextRequest();
        return;
    }
    if (!reader_.hasStarted()) {
        if (!delivery_.isDelivered()) {
            waitingSince_ = now;
            return;
        }
        // A request that waits in the socket is served. One that crosses the close is reset unread, so that the caller may send it again.
        if (now - waitingSince_ > options_.limits->idleTimeout(now) && !channel_->hasUnreadInput()) {
            channel_->closeUnread();
            close(ConnectionEnd::Idle);
        }
        return;
    }
    if (bodyHeldSince_ > 0) {
        return;
    }
    const bool headLate = !reader_.hasHead() && now - waitingSince_ > requestLimits_.headerTimeout;
    if (headLate || now - lastBytesAt_ > requestLimits_.idleTimeout) {
        reject(408, headLate ? "header_timeout" : "body_timeout");
    }
}

bool CallerConnection::isBusy() const
{
    if (closed_) {
        return !isEnded() && channel_->undelivered() > 0;
    }
    return writer_.isBusy() || reader_.hasStarted() || channel_->undelivered() > 0 || channel_->hasUnreadInput();
}

ConnectionEnd CallerConnection::end() const
{
    return end_;
}

bool CallerConnection::isEnded() const
{
    return closed_ && channel_->isEnded();
}

std::size_t CallerConnection::undeliveredBytes() const
{
    return channel_->undelivered();
}

std::size_t CallerConnection::unsentBytes() const
{
    return channel_->isEnded() ? 0 : channel_->unsent();
}

bool CallerConnection::hasStartedStream() const
{
    return writer_.hasStartedStream();
}

bool CallerConnection::isClosed() const
{
    return closed_;
}

void CallerConnection::close(ConnectionEnd end)
{
    if (std::exchange(closed_, true)) {
        return;
    }
    end_ = end;
    grant_ = {};
    reader_ = RequestReader(ReaderLimits{});
    const std::shared_ptr<CallerConnection> self = shared_from_this();
    options_.onClosed(*this, end);
}

} // namespace Carobhall
