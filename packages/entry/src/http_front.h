#pragma once

// The callers' HTTP listener: limits on what is read, authentication, and one reply for each request.

#include "caller_watch.h"
#include "dispatcher.h"
#include "limit_gate.h"

#include <list>

namespace Carobhall
{

/// Uses the document, dispatcher, limits and metrics by reference: they must outlive the front.
struct HttpFrontOptions {
    const EntrySettings &settings;
    DocumentHolder &document;
    Dispatcher &dispatcher;
    LimitGate &limits;
    Metrics &metrics;
    std::function<bool()> mayServe; ///< False: the document is not there or not confirmed after a pause. Requests wait a short time.
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
    /// Tries the account's requests again that wait for an allowance.
    void grantArrived(const std::string &account);
    /// Takes up the requests that wait for the document or for an allowance. Call it every few tens of milliseconds.
    void tick(Micros now);
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
        Timer timeout;     ///< Until the request has arrived whole.
        CallerWatch watch; ///< While the request is in work.
        std::string path;
        Micros waitUntil = 0;                ///< For the document; 0: does not wait.
        std::optional<CallerRequest> held{}; ///< Waits for an allowance of its account.
        Micros grantBy = 0;                  ///< The wait for an allowance ends.
        std::string charged{};               ///< Account that has been charged `cost`; empty: none.
        double cost = 0.0;                   ///< Tokens.
    };

    static void onStarted(SoupServer *server, SoupServerMessage *message, gpointer self);
    static void onHeaders(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self);
    static void onBodyPart(SoupServerMessage *message, GBytes *part, gpointer intake);
    static void onFinished(SoupServerMessage *message, gpointer intake);
    static void onRequest(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self);

    void checkHeaders(Intake &intake);
    void handle(Intake &intake);
    void wait(Intake &intake);
    void admit(Intake &intake, CallerRequest call, bool mayWait);
    void begin(Intake &intake, CallerRequest call);
    void callerLeft(SoupServerMessage *message, std::uint64_t number);
    void retryHeld(Intake &intake, bool mayWait);
    void refuse(const Intake &intake, const Failure &failure);
    [[nodiscard]] const AccountSpec *accountOf(SoupServerMessage *message) const;

    HttpFrontOptions options_;
    ObjectRef<SoupServer> server_;
    std::unique_ptr<AccountTable> accounts_;
    std::uint16_t port_ = 0;
    std::size_t openRequests_ = 0;
    std::list<Intake *> waiting_; ///< For the document, in the order of arrival.
    std::list<Intake *> inWork_;  ///< Watched until they have finished.
    std::list<Intake *> held_;    ///< For an allowance, in the order of arrival.
    bool leaving_ = false;
};

} // namespace Carobhall
