#pragma once

// Runs each request through its attempts: chooses an agent, submits the request, forwards the answer to the caller, and decides from the
// verdict of a failed attempt whether to retry.

#include "carobhall/retries.h"
#include "request_table.h"

namespace Carobhall
{

/// The members that are references must outlive the dispatcher.
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

    /// Adds a request to the table. Set its `reply`, then call start().
    Request &add(CallerRequest call);
    void start(Request &request);
    /// The response has been written in full, or the caller has disconnected. Cancels a running attempt and removes the request.
    void onCallerFinished(std::uint64_t number);

    // Events of AgentLinks.
    void received(const AgentLink &link, Message message);
    void linkOpened(const AgentLink &link);
    void linkLost(ConnectionId connection);
    void linkUnreachable(const AgentLink &link, ConnectionId connection);

    /// Whether an answer from the agent is pending.
    [[nodiscard]] bool expectsAnswerFrom(const AgentLink &link);
    /// Whether the request exists and has no outcome yet.
    [[nodiscard]] bool isOpen(std::uint64_t number);
    /// Tokens that the request has cost so far. 0 for an unknown request and for one that ended with the verdict not-run; a call to a plain
    /// service counts as one token.
    [[nodiscard]] double spentTokens(std::uint64_t number);
    /// Ends requests and reconnects that have timed out. Call this every few tens of milliseconds.
    void tick(Micros now);
    /// Fails all requests without an outcome, because the shutdown deadline has passed.
    void failAll(const std::string &reason);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] Json::Value dump();

private:
    void choose(Request &request);
    void onChosen(std::uint64_t number, std::uint32_t attempt, ChooseResult result);
    void onNoCandidate(Request &request);
    void backOff(Request &request, Micros delay);
    void submit(Request &request);
    void sendSubmit(Request &request);
    [[nodiscard]] Submit makeSubmit(Request &request) const;
    [[nodiscard]] Request *findCurrent(const AgentLink &link, const AttemptKey &key);
    void onRefused(Request &request, const Refused &message);
    void onHead(Request &request, Head head);
    void onChunk(Request &request, Chunk chunk);
    void onEnd(Request &request, const End &message);
    void onConsumed(std::uint64_t number, std::uint64_t cost);
    void attemptFailed(Request &request, Failure failure);
    [[nodiscard]] RetryDecision decide(const Request &request, const Failure &failure);
    void endInFlight(Request &request);
    void succeed(Request &request, const End &message);
    void fail(Request &request, Failure failure);
    void cancelAttempt(Request &request);
    void logEnd(const Request &request, Verdict verdict, std::error_code error);

    DispatcherOptions options_;
    RequestTable table_;
    RetryPolicy retries_;
};

} // namespace Carobhall
