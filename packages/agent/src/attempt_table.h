#pragma once

// The attempts that the agent knows: waiting, running, or ended but perhaps not received by the entry process yet.

#include "output_buffer.h"
#include "upstream_call.h"

#include <unordered_map>

namespace Carobhall
{

enum class AttemptState : std::uint8_t {
    Queued,
    Claiming,  ///< Has left the queue and waits for its Idempotency-Key.
    Following, ///< Waits in its slot while another attempt computes a prefix that both share.
    Running,
    Broken, ///< Its call broke off, and the engine is asked whether it is still there.
    Ended,
};

template<>
struct EnumNames<AttemptState> {
    static constexpr std::array rows{
        EnumName{ AttemptState::Queued, "queued" },   EnumName{ AttemptState::Claiming, "claiming" }, EnumName{ AttemptState::Following, "following" },
        EnumName{ AttemptState::Running, "running" }, EnumName{ AttemptState::Broken, "broken" },     EnumName{ AttemptState::Ended, "ended" },
    };
};

/// How an attempt ended, as it is told to the entry process.
using Outcome = std::variant<Refused, End>;

/// A model attempt's prompt and what the engine does with it.
struct PrefillWork {
    std::vector<PrefixSample> samples;
    std::uint32_t pieces = 0;          ///< Of the whole prompt.
    std::uint32_t cachedPieces = 0;    ///< That the engine found in its cache.
    std::uint32_t backlogPieces = 0;   ///< Counted in the engine's prefill backlog.
    std::uint64_t flight = 0;          ///< In single-flight; 0: none.
    std::uint32_t followedPieces = 0;  ///< Of the prefix that another attempt computes.
    Micros followUntil = 0;            ///< It waits for that no longer.
    std::uint64_t generatedTokens = 0; ///< By this attempt's engine.
};

struct Attempt {
    AttemptId id;
    Submit submit;
    OutputBuffer output;
    ConnectionId connection = 0; ///< 0: broken, and not established again yet.
    ConnectionId lastConnection = 0;
    AttemptState state = AttemptState::Queued;
    Micros receivedAt = 0;
    Micros startedAt = 0;  ///< Left the queue.
    Micros orphanedAt = 0; ///< The connection broke.
    Micros calledAt = 0;   ///< Handed to the upstream.
    Micros stalledAt = 0;  ///< Since then the entry process takes nothing of what waits; 0: it takes.
    Micros endedAt = 0;
    Incarnation engine = 0; ///< That it was handed to.
    bool runsAlone = false; ///< Holds the permit for the run of a suspected request.
    PrefillWork prefill{};
    std::optional<UpstreamResult> brokenResult{}; ///< In the state Broken.
    std::unique_ptr<UpstreamCall> call;
    std::optional<Head> head;
    bool headSent = false;
    std::optional<Outcome> outcome;
    bool outcomeSent = false;
    bool claimed = false;
    bool abandoned = false; ///< Nobody waits for the answer, but the call must not be broken off.
    std::string answerBody; ///< Of a claimed call, to answer its repeats.
};

/// Not thread-safe.
class AttemptTable
{
public:
    /// Precondition: the table does not know the attempt.
    Attempt &add(std::unique_ptr<Attempt> attempt);
    [[nodiscard]] Attempt *find(const AttemptId &id);

    /// Removes the attempt, and remembers it for a while with the verdict that a repeated Submit gets.
    void forget(const AttemptId &id, Verdict verdict, Micros now);
    /// The verdict of an attempt that was forgotten, or of one that was cancelled before it arrived.
    [[nodiscard]] std::optional<Verdict> forgotten(const AttemptId &id) const;
    void dropOldTombstones(Micros now);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t tombstoneCount() const;

    /// Calls \p visit with each attempt; it may forget attempts.
    template<typename Visit>
    void each(Visit visit)
    {
        std::vector<AttemptId> ids;
        ids.reserve(attempts_.size());
        for (const auto &[id, attempt] : attempts_) {
            ids.push_back(id);
        }
        for (const AttemptId &id : ids) {
            if (Attempt *const attempt = find(id); attempt != nullptr) {
                visit(*attempt);
            }
        }
    }

    template<typename Visit>
    void eachConst(Visit visit) const
    {
        for (const auto &[id, attempt] : attempts_) {
            visit(*attempt);
        }
    }

private:
    struct Tombstone {
        Verdict verdict = Verdict::MayHaveRun;
        Micros at = 0;
    };

    std::unordered_map<AttemptId, std::unique_ptr<Attempt>> attempts_;
    std::unordered_map<AttemptId, Tombstone> tombstones_;
    std::deque<std::pair<Micros, AttemptId>> tombstoneOrder_;
};

} // namespace Carobhall
