#pragma once

// Writes the answer to a caller: server-sent events, a whole JSON answer, or a plain service's bytes.

#include "caller_request.h"

#include <deque>

namespace Carobhall
{

/// Where a request's answer goes. Pieces arrive complete and in order.
class ReplySink
{
public:
    virtual ~ReplySink() = default;
    ReplySink() = default;
    ReplySink(const ReplySink &) = delete;
    ReplySink &operator=(const ReplySink &) = delete;

    virtual void append(const Head &head, std::vector<std::string> pieces) = 0;
    virtual void finish(const Head &head, const std::string &finishReason) = 0;
    /// Before the first byte this is the whole answer; later the caller sees that the stream is broken.
    virtual void fail(const Failure &failure) = 0;
    /// Credit cost of the pieces that the caller has not taken yet.
    [[nodiscard]] virtual std::uint64_t pendingCost() const = 0;
    /// \p listener gets the credit cost that the caller has taken in total. It may append more.
    virtual void onTaken(std::function<void(std::uint64_t)> listener) = 0;
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
    void onTaken(std::function<void(std::uint64_t)> listener) override;

private:
    enum class Shape : std::uint8_t { Events, Whole, Bytes };

    static void onWroteChunk(SoupServerMessage *message, gpointer self);

    void begin(const Head &head);
    void flush();
    void write(const std::string &bytes);
    void complete();
    void breakOff();
    void answerWhole(const std::string &finishReason);
    [[nodiscard]] std::string event(const std::string *text, const std::string &finishReason) const;
    [[nodiscard]] Json::Value envelope(const char *object) const;

    ObjectRef<SoupServerMessage> message_;
    gulong wroteChunk_ = 0;
    RequestKind kind_;
    Shape shape_;
    std::string model_;
    std::string id_;
    std::int64_t created_ = 0; ///< Seconds since the Unix epoch.
    std::function<void(std::uint64_t)> onTaken_;
    std::deque<std::string> pending_;
    std::uint64_t pendingCost_ = 0;
    std::uint64_t takenCost_ = 0;
    std::string whole_;
    std::string lastBytes_; ///< Written after the last piece.
    std::uint64_t tokenCount_ = 0;
    bool begun_ = false;   ///< The response's head has been handed over.
    bool writing_ = false; ///< A chunk is on its way to the socket.
    bool ending_ = false;
    bool completed_ = false;
};

} // namespace Carobhall
