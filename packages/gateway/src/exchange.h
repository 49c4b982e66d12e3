#pragma once

// One request of a caller, from its arrival to its final answer: the choice of an upstream, attempts, and the answer.

#include "caller_connection.h"
#include "upstream_pool.h"

#include "carobhall/crash_watch.h"
#include "carobhall/event_stream.h"
#include "carobhall/retry_budget.h"

namespace Carobhall
{

/// What the exchanges of a process share. Everything outlives them.
struct ExchangeContext {
    UpstreamTable *upstreams = nullptr;
    UpstreamPool *pool = nullptr;
    RetryBudget *retries = nullptr;
    CrashWatch *crashes = nullptr;
    Metrics *metrics = nullptr;
    const ExchangeCodec *codec = nullptr;
    std::function<void(Upstream &)> onDemand{}; ///< A model server has a prompt more to read.
    std::mt19937_64 *random = nullptr;
};

class Exchange;

struct ExchangeOptions {
    ExchangeContext *context = nullptr;
    std::shared_ptr<const RouteTable> routes{}; ///< May be null: no configuration has arrived.
    std::shared_ptr<CallerConnection> caller{};
    RequestHead head{};
    std::string body{};
    bool refuseNew = false;                   ///< The process is about to stop.
    bool refuseStreams = false;               ///< It stops before a long response may have ended.
    std::function<void(Exchange &)> onDone{}; ///< Once.
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
    /// The caller has closed its connection: upstreams stop working for it.
    void callerLeft();
    /// The process stops before the request has ended.
    void processStops();
    [[nodiscard]] const CallerConnection *caller() const;

private:
    struct Attempt;

    void attempt();
    void send(const UpstreamRef &upstream, const UpstreamInstructions &given);
    [[nodiscard]] std::string chooseService() const;
    /// Whether the request may be sent to one more upstream; takes it from the budget.
    bool mayRetry(Verdict lastVerdict, Micros now);
    void armSilenceTimer();
    void onSilence();
    void onDeadline();
    void onHead();
    void onBody();
    void onEnd(CallEnd end);
    void forwardEvents();
    void onStreamEnd();
    void onAttemptFailed(Verdict verdict, AttemptResult result, std::string_view reason);
    void endAttempt(AttemptResult result);
    void deliver();
    void refuse(unsigned status, std::string_view reason, Micros retryAfter);
    void fail(unsigned status, std::string_view reason);
    void done(unsigned status, std::string_view outcome);
    /// How long its first token may take before the request is refused instead.
    [[nodiscard]] Micros longestWait() const;
    [[nodiscard]] std::uint64_t fingerprint() const;
    [[nodiscard]] Micros retryDelay(Micros base) const;
    [[nodiscard]] std::vector<HeaderField> answerFields(const ResponseHead &head) const;

    ExchangeOptions options_;
    CallerRequest request_;
    const Route *route_ = nullptr;
    const Account *account_ = nullptr;
    const Service *service_ = nullptr;
    Micros arrivedAt_ = 0;
    Micros deadline_ = 0;
    Verdict verdict_ = Verdict::NotRun; ///< Over all attempts.
    std::vector<UpstreamRef> tried_;    ///< Not chosen again for this request.
    std::uint32_t sent_ = 0;            ///< Upstreams that the request was sent to.
    std::unique_ptr<Attempt> attempt_;
    Timer deadlineTimer_;
    Timer silenceTimer_;
    EventSplitter events_;
    std::string lastEventId_;
    Micros firstEventAt_ = 0;
    std::string body_; ///< Of a response that is collected before it is delivered.
    bool streamStarted_ = false;
    bool over_ = false;
};

} // namespace Carobhall
