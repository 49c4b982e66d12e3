#pragma once

// Takes each request through its attempts: chooses an agent, submits, passes the answer on, and decides by the verdict
// whether a failed attempt is followed by another.

#include "carobhall/retries.h"
#include "request_table.h"

namespace Carobhall
{

/// Uses everything in the options by reference: it must outlive the dispatcher.
struct DispatcherOptions {
    const EntrySettings &settings;
    Incarnation incarnation = 0;
    AgentLinks &links;
    Chooser &chooser;
    Metrics &metrics;
    RetryOptions retries{};
};

class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);

    /// Puts a request into the table. Call start() when its reply is set.
    Request &add(CallerRequest call);
    void start(Request &request);
    /// The caller has the whole answer, or has left.
    void callerGone(std::uint64_t number);

    void received(const AgentLink &link, Message message);
    void linkOpened(const AgentLink &link);
    void linkLost(ConnectionId connection);
    void linkUnreachable(const AgentLink &link, ConnectionId connection);
    /// Whether an answer is expected from the agent.
    [[nodiscard]] bool expectsFrom(const AgentLink &link);
    /// Whether the request's outcome is still open.
    [[nodiscard]] bool isOpen(std::uint64_t number);
    /// Tokens that the request has cost so far, 0 while it certainly has not run; a call of a plain service counts as one.
    [[nodiscard]] double spentTokens(std::uint64_t number);
    /// Ends what is overdue. Call it every few tens of milliseconds.
    void tick(Micros now);
    /// The deadline of the shutdown has passed.
    void failAll(const std::string &reason);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] Json::Value dump();

private:
    void choose(Request &request);
    void chosen(std::uint64_t number, std::uint32_t attempt, ChooseResult result);
    void noCandidate(Request &request);
    void backOff(Request &request, Micros delay);
    void submit(Request &request);
    void sendSubmit(Request &request);
    [[nodiscard]] Submit makeSubmit(Request &request) const;
    [[nodiscard]] Request *owner(const AgentLink &link, const AttemptKey &key);
    void refused(Request &request, const Refused &message);
    void began(Request &request, Head head);
    void arrived(Request &request, Chunk chunk);
    void ended(Request &request, const End &message);
    void taken(std::uint64_t number, std::uint64_t cost);
    void attemptFailed(Request &request, Failure failure);
    [[nodiscard]] RetryDecision decide(const Request &request, const Failure &failure);
    void uncount(Request &request);
    void succeed(Request &request, const End &message);
    void fail(Request &request, Failure failure);
    void release(Request &request);
    void logEnd(const Request &request, Verdict verdict, std::error_code error);

    DispatcherOptions options_;
    RequestTable table_;
    RetryPolicy retries_;
};

} // namespace Carobhall
