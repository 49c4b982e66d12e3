#pragma once

// The requests in progress, each with its current attempt.

#include "carobhall/reassembly.h"
#include "chooser.h"
#include "reply_writer.h"

#include <unordered_map>

namespace Carobhall
{

enum class RequestPhase : std::uint8_t {
    Choosing,     ///< An agent is being chosen.
    BackingOff,   ///< Waiting for the backoff delay before the next agent is chosen.
    Submitted,    ///< The attempt has been submitted to an agent.
    Reconnecting, ///< The connection to that agent was lost; the attempt may be resumed on a new one.
    Ended,        ///< The outcome has been passed to the reply; response bytes may still be unsent.
};

template<>
struct EnumNames<RequestPhase> {
    static constexpr std::array rows{
        EnumName{ RequestPhase::Choosing, "choosing" },   EnumName{ RequestPhase::BackingOff, "backing-off" },
        EnumName{ RequestPhase::Submitted, "submitted" }, EnumName{ RequestPhase::Reconnecting, "reconnecting" },
        EnumName{ RequestPhase::Ended, "ended" },
    };
};

struct Request {
    std::uint64_t number = 0;
    CallerRequest call;
    std::unique_ptr<ReplySink> reply;
    RequestPhase phase = RequestPhase::Choosing;

    // The current attempt.
    AttemptId attempt;
    AgentChoice agent;
    bool countedInFlight = false;    ///< The chooser counts the attempt as in flight.
    Micros submittedAt = 0;          ///< Start of the current attempt.
    Micros disconnectedAt = 0;       ///< When the connection to the agent was lost.
    std::uint64_t creditBase = 0;    ///< Credit cost received before the current attempt was submitted; its credit counts from here.
    std::uint64_t creditGranted = 0; ///< Credit total last sent to the agent.

    // State over all attempts.
    Verdict verdict = Verdict::NotRun;
    std::uint32_t redirects = 0; ///< Attempts that were redirected before any work on an upstream.
    Reassembly answer;
    std::set<std::string> avoid; ///< Addresses of agents that failed this request.
    std::optional<Head> head;
    std::string pinnedVersion;      ///< Weights version that produced the answer so far; empty: none yet.
    std::string resumeText;         ///< Text of the tokens received so far, sent along to continue the answer on another upstream.
    std::uint64_t consumedCost = 0; ///< Credit cost of the pieces that the caller has consumed.
    Micros firstPieceAt = 0;
    Micros lastPieceAt = 0;
    Timer backoff;
    std::optional<Failure> lastFailure;
};

class RequestTable
{
public:
    Request &add(CallerRequest call);
    [[nodiscard]] Request *find(std::uint64_t number);
    void remove(std::uint64_t number);
    [[nodiscard]] std::size_t size() const;

    /// Calls \p visit for each request. The callback may remove requests.
    template<typename Visit>
    void each(Visit visit)
    {
        std::vector<std::uint64_t> numbers;
        numbers.reserve(requests_.size());
        for (const auto &[number, request] : requests_) {
            numbers.push_back(number);
        }
        for (const std::uint64_t number : numbers) {
            if (Request *const request = find(number); request != nullptr) {
                visit(*request);
            }
        }
    }

private:
    std::unordered_map<std::uint64_t, std::unique_ptr<Request>> requests_;
    std::uint64_t nextNumber_ = 1;
};

} // namespace Carobhall
