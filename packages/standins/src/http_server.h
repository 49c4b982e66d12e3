#pragma once

// A thin layer over libsoup's server: exchanges whose answers can be delayed, streamed or dropped, and timers with microsecond
// resolution.

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
    std::string idempotencyKey; ///< Value of the header Idempotency-Key; empty: none.
};

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// One request and its answer. The object lives at least until the answer is sent or the caller disconnects; later calls have no
/// effect.
class Exchange
{
public:
    [[nodiscard]] static std::shared_ptr<Exchange> make(SoupServerMessage *message, HttpRequest request);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    [[nodiscard]] const HttpRequest &request() const;
    /// True when the answer was sent or the caller disconnected. A disconnect is detected at the next write.
    [[nodiscard]] bool finished() const;

    /// Sends a complete answer with a JSON body.
    void reply(int status, const Json::Value &body, const HttpHeaders &headers = {});
    /// Starts a streamed answer; write() appends to it and end() completes it.
    void begin(int status, const char *contentType, const HttpHeaders &headers = {});
    void write(std::string_view text);
    void end();
    /// Closes the connection, without an answer or in the middle of a streamed one.
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
    std::shared_ptr<Exchange> self_; ///< Keeps the object alive until the exchange is finished.
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

    /// Listens on a port of 127.0.0.1 (0: any free port). Returns false when the port is in use.
    bool listen(std::uint16_t port);
    [[nodiscard]] std::uint16_t port() const;
    /// Sets a header that every answer carries.
    void setCommonHeader(const std::string &name, const std::string &value);

private:
    static void onRequest(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self);

    SoupServer *server_ = nullptr;
    Handler handler_;
    HttpHeaders commonHeaders_;
};

/// A one-shot timer that can be set again.
class Timer
{
public:
    explicit Timer(std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Sets the time of the next callback, on the clock of monotonicNow(); nullopt stops the timer.
    void setAt(std::optional<Micros> at);

private:
    static gboolean onReady(gpointer self);

    GSource *source_ = nullptr;
    std::function<void()> callback_;
};

/// Calls \p callback once, after \p delay.
void callLater(Micros delay, std::function<void()> callback);

} // namespace Carobhall::Standin
