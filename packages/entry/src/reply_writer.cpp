#include "reply_writer.h"

namespace Carobhall
{

namespace
{

/// A write to the socket stops collecting pieces at this size. The remaining pieces stay queued as plain text, because an event is many
/// times as long as its token.
constexpr std::size_t WriteTargetBytes = 16384;
/// Size limit of an answer that is sent as one JSON document and buffered in memory until it is complete.
constexpr std::size_t MaxWholeAnswerBytes = std::size_t{ 8 } << 20U;
constexpr int FirstErrorStatus = 400;
constexpr int FirstServerErrorStatus = 500;

} // namespace

ReplyWriter::ReplyWriter(SoupServerMessage *message, const CallerRequest &request, std::string id)
    : message_(refObject(message))
    , kind_(request.kind)
    , format_(request.kind == RequestKind::Plain ? Format::Bytes : (request.stream ? Format::Events : Format::Whole))
    , model_(request.route)
    , id_(std::move(id))
    , created_(wallClockNow() / MicrosPerSecond)
{
    wroteChunk_ = g_signal_connect(message, "wrote-chunk", G_CALLBACK(&ReplyWriter::onWroteChunk), this);
}

ReplyWriter::~ReplyWriter()
{
    g_signal_handler_disconnect(message_.get(), wroteChunk_);
}

void ReplyWriter::onConsumed(std::function<void(std::uint64_t)> listener)
{
    onConsumed_ = std::move(listener);
}

std::uint64_t ReplyWriter::pendingCost() const
{
    return pendingCost_;
}

void ReplyWriter::append(const Head &head, std::vector<std::string> pieces)
{
    if (ending_) {
        return;
    }
    if (!headSent_ && head.status >= FirstErrorStatus) {
        format_ = Format::Bytes; // An error response of the upstream is passed through unchanged.
    }
    for (std::string &piece : pieces) {
        ++tokenCount_;
        pendingCost_ += creditCost(piece);
        pending_.push_back(std::move(piece));
    }
    if (format_ != Format::Whole && !headSent_) {
        sendHead(head);
    }
    flush();
}

void ReplyWriter::sendHead(const Head &head)
{
    headSent_ = true;
    soup_server_message_set_status(message_.get(), static_cast<guint>(head.status), nullptr);
    SoupMessageHeaders *const headers = soup_server_message_get_response_headers(message_.get());
    const bool isHttp10 = soup_server_message_get_http_version(message_.get()) == SOUP_HTTP_1_0;
    soup_message_headers_set_encoding(headers, isHttp10 ? SOUP_ENCODING_EOF : SOUP_ENCODING_CHUNKED);
    const std::string contentType = format_ == Format::Events ? "text/event-stream" : head.contentType;
    if (!contentType.empty()) {
        soup_message_headers_replace(headers, "Content-Type", contentType.c_str());
    }
    if (format_ == Format::Events) {
        soup_message_headers_replace(headers, "Cache-Control", "no-cache");
    }
    if (head.status >= FirstErrorStatus) {
        setVerdictHeader(message_.get(), head.status >= FirstServerErrorStatus ? Verdict::MayHaveRun : Verdict::Ran);
    }
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message_.get()), FALSE);
}

void ReplyWriter::flush()
{
    if (format_ != Format::Whole && (writing_ || completed_)) {
        return;
    }
    std::string bytes;
    while (!pending_.empty() && bytes.size() < WriteTargetBytes) {
        const std::string &piece = pending_.front();
        const std::uint64_t cost = creditCost(piece);
        if (format_ == Format::Events) {
            bytes += makeEvent(&piece, {});
        } else if (format_ == Format::Bytes) {
            bytes += piece;
        } else if (wholeText_.size() <= MaxWholeAnswerBytes) {
            wholeText_ += piece;
        }
        pendingCost_ -= cost;
        consumedCost_ += cost;
        pending_.pop_front();
    }
    if (pending_.empty() && ending_ && headSent_) {
        bytes += finalBytes_;
        finalBytes_.clear();
    }
    if (!bytes.empty()) {
        write(bytes);
    }
    if (pending_.empty() && ending_ && headSent_) {
        complete();
    }
    if (onConsumed_ && !ending_) {
        onConsumed_(consumedCost_);
    }
}

void ReplyWriter::write(const std::string &bytes)
{
    writing_ = true;
    soup_message_body_append(soup_server_message_get_response_body(message_.get()), SOUP_MEMORY_COPY, bytes.data(), bytes.size());
    soup_server_message_unpause(message_.get());
}

void ReplyWriter::onWroteChunk(SoupServerMessage * /*message*/, gpointer self)
{
    auto *const writer = static_cast<ReplyWriter *>(self);
    writer->writing_ = false;
    if (writer->headSent_) {
        writer->flush();
    }
}

void ReplyWriter::complete()
{
    completed_ = true;
    soup_message_body_complete(soup_server_message_get_response_body(message_.get()));
    soup_server_message_unpause(message_.get());
}

void ReplyWriter::finish(const Head &head, const std::string &finishReason)
{
    if (ending_) {
        return;
    }
    ending_ = true;
    if (!headSent_ && head.status >= FirstErrorStatus) {
        format_ = Format::Bytes;
    }
    if (format_ == Format::Whole) {
        sendWholeAnswer(finishReason);
        return;
    }
    if (!headSent_) {
        sendHead(head);
    }
    if (format_ == Format::Events) {
        finalBytes_ = makeEvent(nullptr, finishReason.empty() ? "stop" : finishReason) + "data: [DONE]\n\n";
    }
    flush();
}

void ReplyWriter::fail(const Failure &failure)
{
    if (ending_) {
        return;
    }
    ending_ = true;
    if (!headSent_) {
        answerFailure(message_.get(), failure);
        soup_server_message_unpause(message_.get());
        return;
    }
    if (format_ != Format::Events) {
        abortResponse();
        return;
    }
    finalBytes_ = "event: error\ndata: " + errorBody(failure) + "\n\n";
    flush();
}

void ReplyWriter::abortResponse()
{
    // Closing the socket before the terminating chunk lets the caller recognize the body as incomplete.
    completed_ = true;
    if (GSocket *const socket = soup_server_message_get_socket(message_.get()); socket != nullptr) {
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
    soup_server_message_unpause(message_.get());
}

Json::Value ReplyWriter::envelope(const char *object) const
{
    Json::Value body(Json::objectValue);
    body["id"] = id_;
    body["object"] = object;
    body["created"] = Json::Int64(created_);
    body["model"] = model_;
    return body;
}

std::string ReplyWriter::makeEvent(const std::string *text, const std::string &finishReason) const
{
    Json::Value choice(Json::objectValue);
    choice["index"] = 0;
    if (kind_ == RequestKind::Chat) {
        choice["delta"] = Json::Value(Json::objectValue);
        if (text != nullptr) {
            choice["delta"]["content"] = *text;
        }
    } else {
        choice["text"] = text == nullptr ? std::string() : *text;
    }
    choice["finish_reason"] = finishReason.empty() ? Json::Value() : Json::Value(finishReason);
    Json::Value body = envelope(kind_ == RequestKind::Chat ? "chat.completion.chunk" : "text_completion");
    body["choices"].append(choice);
    return "data: " + writeJson(body) + "\n\n";
}

void ReplyWriter::sendWholeAnswer(const std::string &finishReason)
{
    if (wholeText_.size() > MaxWholeAnswerBytes) {
        answerFailure(message_.get(),
                      { .error = Errc::StreamBroken, .verdict = Verdict::Ran, .message = "the answer is too long for a response that is not streamed" });
        soup_server_message_unpause(message_.get());
        return;
    }
    Json::Value choice(Json::objectValue);
    choice["index"] = 0;
    if (kind_ == RequestKind::Chat) {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = wholeText_;
    } else {
        choice["text"] = wholeText_;
    }
    choice["finish_reason"] = finishReason.empty() ? "stop" : finishReason;
    Json::Value body = envelope(kind_ == RequestKind::Chat ? "chat.completion" : "text_completion");
    body["choices"].append(choice);
    body["usage"]["completion_tokens"] = Json::UInt64(tokenCount_);
    const std::string text = writeJson(body);
    soup_server_message_set_status(message_.get(), SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message_.get(), "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
    soup_server_message_unpause(message_.get());
}

} // namespace Carobhall
