#pragma once

// The requests in work, each with its current attempt.

#include "carobhall/reassembly.h"
#include "chooser.h"
#include "reply_writer.h"

#include <unordered_map>

namespace Carobhall
{

enum class RequestPhase : std::uint8_t {
    Choosing,     ///< Waits for an agent to be chosen.
    BackingOff,   ///< Waits before the next choice.
    Submitted,    ///< An agent has the attempt.
    Reconnecting, ///< The connection to that agent broke; the attempt may be resumed.
    Ended,        ///< The outcome is with the reply; bytes may still be on their way to the caller.
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
    bool counted = false;            ///< The chooser counts the attempt as in flight.
    Micros submittedAt = 0;          ///< Of the current attempt.
    Micros lostAt = 0;               ///< The connection broke.
    std::uint64_t creditBase = 0;    ///< Cost received from earlier attempts, where this one's credit began.
    std::uint64_t creditGranted = 0; ///< Last total told to the agent.

    // The request over all attempts.
    Verdict verdict = Verdict::NotRun;
    std::uint32_t redirects = 0; ///< Attempts that were sent elsewhere without upstream work.
    Reassembly answer;
    std::set<std::string> avoid;
    std::optional<Head> head;
    std::string pinnedVersion; ///< Weights version of the answer so far.
    std::string text;          ///< Of the tokens received, to continue elsewhere.
    std::uint64_t takenCost = 0;
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

    /// Calls \p visit with each request; it may remove requests.
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
