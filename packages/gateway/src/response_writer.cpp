#include "carobhall/response_writer.h"

#include <utility>

namespace Carobhall
{

void ResponseWriter::beginRequest(bool persistent)
{
    state_ = State::Waiting;
    keepAlive_ = persistent;
}

void ResponseWriter::closeAfterResponse()
{
    closing_ = true;
}

std::string ResponseWriter::head(unsigned status, const std::vector<HeaderField> &fields, std::string_view framing, std::string_view value)
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

ResponseOutput ResponseWriter::complete(std::string bytes)
{
    state_ = keepAlive_ ? State::Idle : State::Ended;
    return { .bytes = std::move(bytes), .end = keepAlive_ ? ResponseEnd::KeepAlive : ResponseEnd::Close };
}

ResponseOutput ResponseWriter::respond(unsigned status, const std::vector<HeaderField> &fields, std::string_view body)
{
    if (state_ != State::Waiting) {
        return truncate();
    }
    return complete(head(status, fields, "Content-Length", std::to_string(body.size())).append(body));
}

ResponseOutput ResponseWriter::respondHead(unsigned status, const std::vector<HeaderField> &fields, std::optional<std::string_view> length)
{
    if (state_ != State::Waiting) {
        return truncate();
    }
    return complete(head(status, fields, length ? "Content-Length" : "", length.value_or("")));
}

ResponseOutput ResponseWriter::startStream(unsigned status, const std::vector<HeaderField> &fields)
{
    if (state_ != State::Waiting) {
        return {};
    }
    state_ = State::Streaming;
    return { .bytes = head(status, fields, "Transfer-Encoding", "chunked") };
}

ResponseOutput ResponseWriter::sendStream(std::string_view data)
{
    // An empty chunk would end the body.
    if (state_ != State::Streaming || data.empty()) {
        return {};
    }
    ResponseOutput output;
    appendChunk(output.bytes, data);
    return output;
}

ResponseOutput ResponseWriter::finishStream()
{
    if (state_ != State::Streaming) {
        return truncate();
    }
    return complete(std::string(LastChunk));
}

ResponseOutput ResponseWriter::truncate()
{
    if (!isBusy()) {
        return {};
    }
    state_ = State::Ended;
    return { .bytes = {}, .end = ResponseEnd::Truncated };
}

bool ResponseWriter::canBeginRequest() const
{
    return state_ == State::Idle;
}

bool ResponseWriter::isBusy() const
{
    return state_ == State::Waiting || state_ == State::Streaming;
}

bool ResponseWriter::hasStartedStream() const
{
    return state_ == State::Streaming;
}

} // namespace Carobhall
