#pragma once

// The callers' HTTP listener: limits on what is read, authentication, and one reply for each request.

#include "dispatcher.h"

namespace Carobhall
{

/// Uses the document, dispatcher and metrics by reference: they must outlive the front.
struct HttpFrontOptions {
    const EntrySettings &settings;
    DocumentHolder &document;
    Dispatcher &dispatcher;
    Metrics &metrics;
};

class HttpFront
{
public:
    explicit HttpFront(HttpFrontOptions options);
    ~HttpFront();
    HttpFront(const HttpFront &) = delete;
    HttpFront &operator=(const HttpFront &) = delete;

    std::error_code listen();
    [[nodiscard]] std::uint16_t port() const;
    /// Refuses further requests as not run.
    void beginLeaving();
    /// Requests whose response has not been written in full.
    [[nodiscard]] std::size_t openRequests() const;

private:
    /// What has been read of a request. Belongs to its message.
    struct Intake {
        HttpFront *front = nullptr;
        SoupServerMessage *message = nullptr;
        std::string body;
        bool tooLarge = false;
        bool open = false;        ///< Counted in openRequests_.
        std::uint64_t number = 0; ///< In the request table; 0: not there.
        Micros arrivedAt = 0;
        Timer timeout; ///< Until the request has arrived whole.
    };

    static void onStarted(SoupServer *server, SoupServerMessage *message, gpointer self);
    static void onHeaders(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self);
    static void onBodyPart(SoupServerMessage *message, GBytes *part, gpointer intake);
    static void onFinished(SoupServerMessage *message, gpointer intake);
    static void onRequest(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self);

    void checkHeaders(Intake &intake);
    void handle(Intake &intake, const char *path);
    void refuse(const Intake &intake, const Failure &failure);
    [[nodiscard]] const AccountSpec *accountOf(SoupServerMessage *message) const;

    HttpFrontOptions options_;
    ObjectRef<SoupServer> server_;
    std::unique_ptr<AccountTable> accounts_;
    std::uint16_t port_ = 0;
    std::size_t openRequests_ = 0;
    bool leaving_ = false;
};

} // namespace Carobhall
