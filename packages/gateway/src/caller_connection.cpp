#include "caller_connection.h"

#include <utility>

namespace Carobhall
{

namespace
{

ReaderLimits readerLimits(const CallerLimits &limits)
{
    return { .maxHeaderBytes = limits.maxHeaderBytes, .maxBodyBytes = limits.maxBodyBytes };
}

} // namespace

CallerConnection::CallerConnection(CallerConnectionOptions options)
    : options_(std::move(options))
    , reader_(readerLimits(options_.limits))
{
}

CallerConnection::~CallerConnection()
{
    if (channel_) {
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
                                .onEnd = [this](ChannelEnd) { close(); },
                                .maxInputBytes = static_cast<std::size_t>(options_.limits.maxBodyBytes) + (std::size_t{ 1 } << 20U) });
}

void CallerConnection::readRequests()
{
    const std::shared_ptr<CallerConnection> self = shared_from_this();
    // Guards against recursion: a handler that responds immediately calls this function through finishResponse(). The loop below
    // then continues with the next request.
    if (std::exchange(reading_, true)) {
        return;
    }
    while (!busy_ && !closed_ && channel_->isOpen() && !channel_->input().empty()) {
        if (!reader_.hasStarted()) {
            waitingSince_ = monotonicNow();
        }
        const ReadProgress progress = reader_.read(channel_->input());
        if (progress == ReadProgress::NeedsMore) {
            if (reader_.hasHead() && !continueChecked_) {
                continueChecked_ = true;
                if (const auto expect = findField(reader_.head().fields, "Expect"); expect && equalsIgnoringCase(*expect, "100-continue")) {
                    channel_->write("HTTP/1.1 100 Continue\r\n\r\n");
                }
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
        busy_ = true;
        RequestHead head = reader_.head();
        keepAlive_ = head.persistent;
        std::string body = reader_.takeBody();
        reader_ = RequestReader(readerLimits(options_.limits));
        continueChecked_ = false;
        options_.onRequest(self, std::move(head), std::move(body));
    }
    reading_ = false;
}

void CallerConnection::reject(unsigned status, std::string_view reason)
{
    keepAlive_ = false;
    busy_ = true;
    options_.onRejected(*this, reason);
    respond(status, {}, {});
}

std::string CallerConnection::responseHead(unsigned status, const std::vector<HeaderField> &fields, std::string_view framing, std::string_view value)
{
    std::string out = "HTTP/1.1 " + std::to_string(status);
    out.append(" ").append(reasonPhrase(status)).append("\r\n");
    for (const HeaderField &field : fields) {
        appendField(out, field.name, field.value);
    }
    if (!framing.empty()) {
        appendField(out, framing, value);
    }
    keepAlive_ = keepAlive_ && !closing_;
    if (!keepAlive_) {
        appendField(out, "Connection", "close");
    }
    return out.append("\r\n");
}

void CallerConnection::respond(unsigned status, const std::vector<HeaderField> &fields, std::string_view body)
{
    if (closed_) {
        return;
    }
    channel_->write(responseHead(status, fields, "Content-Length", std::to_string(body.size())).append(body));
    finishResponse();
}

void CallerConnection::respondHead(unsigned status, const std::vector<HeaderField> &fields, std::optional<std::string_view> length)
{
    if (closed_) {
        return;
    }
    channel_->write(responseHead(status, fields, length ? "Content-Length" : "", length.value_or("")));
    finishResponse();
}

void CallerConnection::startStream(unsigned status, const std::vector<HeaderField> &fields)
{
    if (closed_) {
        return;
    }
    channel_->write(responseHead(status, fields, "Transfer-Encoding", "chunked"));
}

void CallerConnection::sendStream(std::string_view data)
{
    if (closed_ || data.empty()) {
        return;
    }
    std::string out;
    appendChunk(out, data);
    channel_->write(out);
}

void CallerConnection::finishStream()
{
    if (closed_) {
        return;
    }
    channel_->write(LastChunk);
    finishResponse();
}

void CallerConnection::finishResponse()
{
    busy_ = false;
    waitingSince_ = monotonicNow();
    lastBytesAt_ = waitingSince_;
    if (!keepAlive_) {
        channel_->close();
        close();
        return;
    }
    readRequests();
}

void CallerConnection::abortResponse()
{
    if (closed_) {
        return;
    }
    // An orderly close without the last chunk marks the response as incomplete, and delivers the data that was written before;
    // a reset would discard it.
    channel_->close();
    close();
}

void CallerConnection::beginShutdown()
{
    closing_ = true;
}

void CallerConnection::closeIfIdle()
{
    if (!busy_ && !reader_.hasStarted() && !closed_) {
        channel_->close();
        close();
    }
}

void CallerConnection::checkTimeouts(Micros now)
{
    if (busy_ || closed_) {
        return;
    }
    if (!reader_.hasStarted()) {
        if (now - waitingSince_ > options_.limits.idleTimeout) {
            channel_->close();
            close();
        }
        return;
    }
    const bool headLate = !reader_.hasHead() && now - waitingSince_ > options_.limits.headerTimeout;
    if (headLate || now - lastBytesAt_ > options_.limits.idleTimeout) {
        reject(408, headLate ? "header_timeout" : "body_timeout");
    }
}

bool CallerConnection::isBusy() const
{
    return busy_ || reader_.hasStarted();
}

bool CallerConnection::isClosed() const
{
    return closed_;
}

void CallerConnection::close()
{
    if (std::exchange(closed_, true)) {
        return;
    }
    const std::shared_ptr<CallerConnection> self = shared_from_this();
    options_.onClosed(*this);
}

} // namespace Carobhall
