#pragma once

// The HTTP listener for callers: limits the size and duration of uploads, authenticates accounts, and admits requests.

#include "caller_watch.h"
#include "dispatcher.h"
#include "limit_gate.h"

#include <list>

namespace Carobhall
{

/// The members that are references must outlive the frontend.
struct HttpFrontendOptions {
    const EntrySettings &settings;
    DocumentHolder &document;
    Dispatcher &dispatcher;
    LimitGate &limits;
    Metrics &metrics;
    /// Returns false while there is no document, or the document has not been confirmed since a pause of the process. Requests wait for
    /// it for a short time.
    std::function<bool()> mayServe;
};

class HttpFrontend
{
public:
    explicit HttpFrontend(HttpFrontendOptions options);
    ~HttpFrontend();
    HttpFrontend(const HttpFrontend &) = delete;
    HttpFrontend &operator=(const HttpFrontend &) = delete;

    std::error_code listen();
    [[nodiscard]] std::uint16_t port() const;
    /// From now on, refuses new requests with the verdict not-run.
    void beginLeaving();
    /// An allowance for \p account has arrived: retries the admission of its waiting requests.
    void onGrant(const std::string &account);
    /// Handles waiting requests when a document is in effect or their wait has timed out. Call this every few tens of milliseconds.
    void tick(Micros now);
    /// Number of requests whose response has not been written in full.
    [[nodiscard]] std::size_t openRequests() const;

private:
    /// The state of a request until its response has been written. Owned by its SoupServerMessage.
    struct Intake {
        HttpFrontend *frontend = nullptr;
        SoupServerMessage *message = nullptr;
        std::string body;
        bool tooLarge = false;
        bool open = false;        ///< Counted in openRequests_.
        std::uint64_t number = 0; ///< Number in the dispatcher's request table; 0: not dispatched.
        Micros arrivedAt = 0;
        Timer timeout;     ///< Runs until the request has been received in full.
        CallerWatch watch; ///< Active from the dispatch of the request to its end.
        std::string path;
        Micros documentDeadline = 0;                  ///< End of the wait for a document; 0: not waiting.
        std::optional<CallerRequest> awaitingGrant{}; ///< The request, while it waits for an allowance of its account.
        Micros grantDeadline = 0;                     ///< End of the wait for an allowance; 0: never waited.
        std::string chargedAccount{};                 ///< Account that was charged `costTokens`; empty: none.
        double costTokens = 0.0;                      ///< Estimated cost of the request.
    };

    static void onStarted(SoupServer *server, SoupServerMessage *message, gpointer self);
    static void onHeaders(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self);
    static void onBodyPart(SoupServerMessage *message, GBytes *part, gpointer intake);
    static void onFinished(SoupServerMessage *message, gpointer intake);
    static void onRequest(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self);

    void checkHeaders(Intake &intake);
    void handle(Intake &intake);
    void waitForDocument(Intake &intake);
    void admit(Intake &intake, CallerRequest call, bool mayWait);
    void dispatch(Intake &intake, CallerRequest call);
    void onCallerDisconnected(SoupServerMessage *message, std::uint64_t number);
    void retryAdmission(Intake &intake, bool mayWait);
    void refuse(const Intake &intake, const Failure &failure);
    [[nodiscard]] const AccountSpec *authenticate(SoupServerMessage *message) const;

    HttpFrontendOptions options_;
    ObjectRef<SoupServer> server_;
    std::unique_ptr<AccountTable> accounts_;
    std::uint16_t port_ = 0;
    std::size_t openRequests_ = 0;
    std::list<Intake *> awaitingDocument_; ///< Requests waiting for a document, in order of arrival.
    std::list<Intake *> dispatched_;       ///< Dispatched requests whose response has not been written in full.
    std::list<Intake *> awaitingGrant_;    ///< Requests waiting for an allowance, in order of arrival.
    bool leaving_ = false;
};

} // namespace Carobhall
