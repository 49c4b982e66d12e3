#pragma once

// Handles one request of a caller: chooses upstreams, sends the request, retries failed attempts and responds to the caller.

#include "caller_connection.h"
#include "upstream_pool.h"

#include "carobhall/account_quotas.h"
#include "carobhall/attempt_handover.h"
#include "carobhall/event_stream.h"
#include "carobhall/poison_request_detector.h"
#include "carobhall/response_budget.h"
#include "carobhall/retry_budget.h"
#include "carobhall/shutdown_admission.h"

namespace Carobhall
{

/// Objects that all exchanges of the process share. They outlive the exchanges.
struct ExchangeContext {
    UpstreamTable *upstreams = nullptr;
    UpstreamPool *pool = nullptr;
    RetryBudget *retries = nullptr;
    AccountQuotas *quotas = nullptr;
    ResponseBudget *responseBudget = nullptr;
    PoisonRequestDetector *poisonRequests = nullptr;
    Metrics *metrics = nullptr;
    const ExchangeCodec *codec = nullptr;
    std::function<void(Upstream &)> onPrefillQueued{};                  ///< A prompt was sent to a model server and awaits prefill.
    std::function<void(const UpstreamRef &)> onConnectionLost{};        ///< A connection broke while the upstream may have been running a request.
    std::function<std::shared_ptr<const RouteTable>()> currentRoutes{}; ///< Of the newest configuration; null while none has arrived.
    const ShutdownAdmission *admission = nullptr;
    std::mt19937_64 *random = nullptr;
};

class Exchange;

struct ExchangeOptions {
    ExchangeContext *context = nullptr;
    std::shared_ptr<const RouteTable> routes{}; ///< Null while no configuration has arrived.
    std::shared_ptr<CallerConnection> caller{};
    RequestHead head{};
    std::string body{};
    ReceiveGrant grant{};                         ///< For the body.
    std::function<void(Exchange &)> onFinished{}; ///< Called once.
};

/// Held by shared_ptr. Not thread-safe.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    explicit Exchange(ExchangeOptions options);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void begin(Micros now);
    /// The caller closed its connection: cancels the attempt in progress.
    void onCallerDisconnected();
    /// The process exits before the request is complete: cancels the attempt, and responds with an error or truncates the started stream.
    void abortForShutdown();
    [[nodiscard]] const CallerConnection *caller() const;
    /// Call regularly: forwards and reads as much of the response as the response budget allows now.
    void checkBudget();
    /// Bytes of the response that were read and are not forwarded to the caller.
    [[nodiscard]] std::size_t heldBytes() const;

private:
    struct Attempt;
    /// Why there is no upstream for an attempt, and the base value for Retry-After.
    struct NoAttempt {
        std::string_view reason;
        Micros retryAfter = 0;
    };

    [[nodiscard]] NoAttempt noAttempt(RefusalReason reason, Micros retryAfterNoUpstream, Micros now) const;
    /// Chooses an upstream that is not in \p excluded. Sends nothing.
    [[nodiscard]] std::variant<std::unique_ptr<Attempt>, NoAttempt> planAttempt(std::span<const UpstreamRef> excluded, Micros now);
    /// Sends the request to an upstream; ends the exchange when there is none.
    void attempt();
    /// Takes or starts the connection of \p planned and accounts for it in the table of upstreams.
    /// \p mayReuse: also a kept connection may be used.
    [[nodiscard]] ConnectResult connect(Attempt &planned, Micros now, bool mayReuse = true);
    /// Sends the request on the connection of attempt_.
    void send(Micros now);
    void sendTo(Attempt &target, Micros now);
    /// Drops what was read of a response and not forwarded.
    void resetResponse();
    /// Connects to another upstream, if there is one, while the silent attempt continues.
    void prepareStandby(Micros now);
    /// The connection of the standby is established: sends the request there too, if the retry budget allows.
    void startOverlap();
    void onOverlapTime();
    /// Takes a retry from the budget for the return to a silent upstream, unless one is reserved. Returns whether one is.
    bool reserveRetry(Micros now);
    void onStandbyHead();
    void onStandbyEnd(CallEnd end);
    /// Resets the current attempt; the standby takes its place.
    void replaceAttempt(std::string_view reason, AttemptResult result);
    /// The current attempt goes on: the standby is not needed.
    void noteProgress();
    /// Upstreams that the next attempt must not use after one was given up.
    [[nodiscard]] std::vector<UpstreamRef> upstreamsNotToUse(bool again, bool onlySilent) const;
    /// Sends a request whose attempt was given up to any upstream that can take it, or waits until one can.
    /// \p mayAskAgain: also upstreams that have refused or were silent.
    void resume(std::string_view reason, bool mayAskAgain);
    /// Whether a listed upstream may still take a request whose attempt was given up.
    [[nodiscard]] bool mayBeServed() const;
    /// The silent attempt has made progress or has ended, or the standby is of no use: closes the standby's connection.
    void dropStandby(AttemptResult result);
    /// Draws a service of the route at random, by weight.
    [[nodiscard]] std::string chooseService() const;
    /// Whether the request may be sent to another upstream; takes a retry from the budget.
    bool mayRetry(Verdict lastVerdict, Micros now);
    /// How long the current attempt may be silent before another upstream is tried.
    [[nodiscard]] Micros inactivityLimit() const;
    void startInactivityTimer();
    void onInactivity();
    void onDeadline();
    void onHead();
    /// Notes what the head says about its upstream.
    void noteResponseHead(Attempt &answered);
    /// \p upstream has answered and named a limit, or none.
    void noteNamedLimit(Upstream &upstream, std::optional<double> requestsPerSecond);
    /// Another process or other weights are at the address of the upstream.
    void noteMisdirected(Attempt &answered);
    void onBody();
    /// The body of the response that is being read may reach the caller.
    [[nodiscard]] bool isBodyWanted() const;
    /// Passes on what was read of a response that is not streamed. The first call ends the choice of another upstream for the request.
    void forwardBody();
    /// Reads the upstream only while the caller has taken enough.
    void updatePause();
    void onEnd(CallEnd end);
    void forwardEvents();
    /// Sends \p events to the caller, after the head of the response if they are the first.
    void sendEvents(std::string_view events, Micros now);
    void onStreamEnd();
    void onAttemptFailed(Verdict verdict, AttemptResult result, std::string_view reason);
    /// Cancels the attempt in progress, if any: its result is not needed any more.
    void cancelAttempt();
    /// Removes \p ended from the accounts of its upstream.
    void endAttempt(Attempt &ended, AttemptResult result);
    void deliverResponse();
    /// Ends the exchange without a response of an upstream: truncates a stream that has started; otherwise responds that the request
    /// has not run and when to retry, or with \p failureStatus if it may have run.
    void giveUp(std::string_view reason, Micros retryAfter, unsigned failureStatus = 502);
    /// Responds with an error and a Retry-After header: the request has not run and can be sent again.
    void refuse(unsigned status, std::string_view reason, Micros retryAfter);
    /// Takes permits of the account's quota for the first attempt. Otherwise responds that the request is beyond the quota.
    [[nodiscard]] bool takeQuota(Micros now);
    /// The request is sent to an upstream, which may run it.
    void noteQuotaSent(Micros now);
    /// An upstream that the request was sent to has not run it and will not.
    void noteQuotaNotRun();
    /// Responds with an error without Retry-After.
    void fail(unsigned status, std::string_view reason);
    /// Logs and counts the result, and calls onFinished.
    void finish(unsigned status, std::string_view outcome);
    /// The longest time to the first token at which more urgent routes of the same service still meet their targets.
    [[nodiscard]] Micros waitLimitForUrgentRoutes() const;
    /// The scope in which an attempt that is sent now reads and makes cached prompt parts.
    [[nodiscard]] std::string cacheScope() const;
    /// By what requests that crash upstreams are recognised.
    [[nodiscard]] std::span<const RequestFeature> features();
    /// Whether earlier requests with the same features crashed upstreams.
    [[nodiscard]] bool isPoison(Micros now);
    /// The request has run without a crash.
    void noteSound(Micros now);
    /// The connection of \p lost broke while the upstream may have been running the request.
    void noteConnectionLost(const Attempt &lost);
    /// The response of \p broken was refused, or its connection was lost.
    void noteBroken(const Attempt &broken);
    [[nodiscard]] Micros retryDelay(Micros base) const;
    /// Headers of an upstream's response that are forwarded to the caller.
    [[nodiscard]] std::vector<HeaderField> forwardedFields(const ResponseHead &head) const;

    ExchangeOptions options_;
    CallerRequest request_;
    const Route *route_ = nullptr;
    const Account *account_ = nullptr;
    const Service *service_ = nullptr;
    Micros arrivedAt_ = 0;
    Micros deadline_ = 0;
    Verdict verdict_ = Verdict::NotRun; ///< Combined over all attempts.
    AttemptHandover handover_;
    std::unique_ptr<Attempt> attempt_;
    std::unique_ptr<Attempt> standby_; ///< Replaces the silent attempt_ once it has shown that it takes the request.
    Timer deadlineTimer_;
    Timer inactivityTimer_; ///< Also the wait of resume().
    Timer overlapTimer_;
    bool retryReserved_ = false; ///< See reserveRetry().
    double quotaCost_ = 0.0;
    unsigned quotaPermits_ = 0; ///< Permits of the account's quota, of quotaCost_ each, that were taken for attempts that have not been sent.
    bool isWaiting_ = false;    ///< resume() waits until an upstream can take the request.
    EventSplitter events_;
    bool attemptForwards_ = false; ///< The current attempt has contributed events to the response.
    std::string lastEventId_;
    Micros firstEventAt_ = 0;
    std::string body_;          ///< Body of a response that is not streamed, as far as it is not forwarded.
    std::size_t bodyBytes_ = 0; ///< Bytes that were read of that body.
    bool forwardsBody_ = false; ///< forwardBody() was called.
    bool isPaused_ = false;     ///< The upstream is not read.
    Micros pausedSince_ = 0;
    Micros pausedTime_ = 0;                ///< Sum of earlier pauses that have not extended the deadline.
    std::vector<RequestFeature> features_; ///< Computed by features().
    bool isSound_ = false;                 ///< noteSound() was called.
    bool finished_ = false;
};

} // namespace Carobhall
