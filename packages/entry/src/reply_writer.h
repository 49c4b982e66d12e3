#pragma once

// Writes the response to a caller: as server-sent events, as one JSON document, or as the unmodified bytes of a plain service.

#include "caller_request.h"

#include <deque>

namespace Carobhall
{

/// Destination of a request's answer. Pieces are appended without gaps and in order.
class ReplySink
{
public:
    virtual ~ReplySink() = default;
    ReplySink() = default;
    ReplySink(const ReplySink &) = delete;
    ReplySink &operator=(const ReplySink &) = delete;

    virtual void append(const Head &head, std::vector<std::string> pieces) = 0;
    virtual void finish(const Head &head, const std::string &finishReason) = 0;
    /// Before the first byte has been sent, responds with \p failure; after that, ends the response so that the caller can tell that it is
    /// incomplete.
    virtual void fail(const Failure &failure) = 0;
    /// Credit cost of the appended pieces that have not been consumed yet.
    [[nodiscard]] virtual std::uint64_t pendingCost() const = 0;
    /// Sets the function that receives the total credit cost of the pieces consumed so far. It may append more pieces.
    virtual void onConsumed(std::function<void(std::uint64_t)> listener) = 0;
};

class ReplyWriter : public ReplySink
{
public:
    ReplyWriter(SoupServerMessage *message, const CallerRequest &request, std::string id);
    ~ReplyWriter() override;

    void append(const Head &head, std::vector<std::string> pieces) override;
    void finish(const Head &head, const std::string &finishReason) override;
    void fail(const Failure &failure) override;
    [[nodiscard]] std::uint64_t pendingCost() const override;
    void onConsumed(std::function<void(std::uint64_t)> listener) override;

private:
    enum class Format : std::uint8_t {
        Events, ///< Server-sent events.
        Whole,  ///< One JSON document, sent when the answer is complete.
        Bytes   ///< Unmodified bytes from the upstream.
    };

    static void onWroteChunk(SoupServerMessage *message, gpointer self);

    void sendHead(const Head &head);
    void flush();
    void write(const std::string &bytes);
    void complete();
    void abortResponse();
    void sendWholeAnswer(const std::string &finishReason);
    [[nodiscard]] std::string makeEvent(const std::string *text, const std::string &finishReason) const;
    [[nodiscard]] Json::Value envelope(const char *object) const;

    ObjectRef<SoupServerMessage> message_;
    gulong wroteChunk_ = 0;
    RequestKind kind_;
    Format format_;
    std::string model_;
    std::string id_;
    std::int64_t created_ = 0; ///< Seconds since the Unix epoch.
    std::function<void(std::uint64_t)> onConsumed_;
    std::deque<std::string> pending_;
    std::uint64_t pendingCost_ = 0;
    std::uint64_t consumedCost_ = 0;
    std::string wholeText_;  ///< Format::Whole only: the answer so far.
    std::string finalBytes_; ///< Written after the last piece: the final events.
    std::uint64_t tokenCount_ = 0;
    bool headSent_ = false;  ///< Status and headers have been passed to libsoup.
    bool writing_ = false;   ///< libsoup is writing a chunk to the socket.
    bool ending_ = false;    ///< finish() or fail() was called.
    bool completed_ = false; ///< No more bytes will be passed to libsoup.
};

} // namespace Carobhall
