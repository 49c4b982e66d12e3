#pragma once

// A small layer over libsoup's server: exchanges that are answered later, streamed or dropped, and a timer in microseconds.

#include "carobhall/base.h"

#include <json/json.h>
#include <libsoup/soup.h>

#include <functional>

namespace Carobhall::Standin
{

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
    std::string body;
    std::string idempotencyKey; ///< Of the header Idempotency-Key; empty: none.
};

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// One request and its answer. It lives at least until its answer is sent. Calls after the caller left have no effect.
class Exchange
{
public:
    [[nodiscard]] static std::shared_ptr<Exchange> make(SoupServerMessage *message, HttpRequest request);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    [[nodiscard]] const HttpRequest &request() const;
    /// The answer was sent, or the caller left. A caller that leaves is noticed at the next write.
    [[nodiscard]] bool finished() const;

    void reply(int status, const Json::Value &body, const HttpHeaders &headers = {});
    /// Starts a streamed answer; write() adds to it and end() completes it.
    void begin(int status, const char *contentType, const HttpHeaders &headers = {});
    void write(std::string_view text);
    void end();
    /// Closes the connection without an answer, or in the middle of one.
    void drop();

private:
    Exchange(SoupServerMessage *message, HttpRequest request);
    static void onFinished(SoupServerMessage *message, gpointer self);
    void setHeaders(const HttpHeaders &headers);

    SoupServerMessage *message_ = nullptr;
    gulong finishedSignal_ = 0;
    HttpRequest request_;
    bool finished_ = false;
    bool streaming_ = false;
    std::shared_ptr<Exchange> self_;
};

using ExchangePtr = std::shared_ptr<Exchange>;

class HttpServer
{
public:
    using Handler = std::function<void(const ExchangePtr &)>;

    explicit HttpServer(Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Takes a port of 127.0.0.1; 0 takes a free one. False when it is in use.
    bool listen(std::uint16_t port);
    [[nodiscard]] std::uint16_t port() const;
    /// Added to every answer.
    void setCommonHeader(const std::string &name, const std::string &value);

private:
    static void onRequest(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self);

    SoupServer *server_ = nullptr;
    Handler handler_;
    HttpHeaders common_;
};

/// Calls back once at a time that can be moved.
class Timer
{
public:
    explicit Timer(std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Replaces the time; nothing stops the timer.
    void setAt(std::optional<Micros> at);

private:
    static gboolean onReady(gpointer self);

    GSource *source_ = nullptr;
    std::function<void()> callback_;
};

/// Calls \p callback once after \p delay.
void callLater(Micros delay, std::function<void()> callback);

} // namespace Carobhall::Standin
