#pragma once

// Decides which upstream a request stays with when the one that runs it falls silent.
//
//     handover.noteSent(first);                       // the request was sent
//     if (handover.mayStartSuccessor()) { ... connect to another upstream, send the request there ...
//         handover.startOverlap(second, now); }       // both connections stay open; only the first one's response is forwarded
//     handover.onProgress()                           // the first one goes on: EndSuccessor
//     handover.onSuccessorHead(takes)                 // the second one answers: Replace, the first is reset and the second forwarded
//     handover.onSuccessorEnded(ending)               // the second one has refused: the first one keeps the request
//     handover.onOverlapTime(now)                     // no refusal for HandoverOverlap: Replace
//
// A silent upstream may be sound and go on, and a successor may refuse. So the silent attempt is given up only when the successor has
// shown that it takes the request. Once an attempt has been given up, a refusal of a later upstream does not end the request:
// upstreams that refused or were silent may be asked again until the deadline, see mayUse().
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/upstream_table.h"

namespace Carobhall
{

/// How long two upstreams may work on one request. At most 400 ms are allowed; the rest covers the transfer of the reset.
inline constexpr Micros HandoverOverlap = 250 * MicrosPerMilli;

/// How an attempt ended, as far as it matters for the choice of the next upstream.
enum class AttemptEnding : std::uint8_t {
    NotReceived, ///< The request has not reached the upstream.
    Refused,     ///< The upstream states that it has not run the request.
    Silent,      ///< Given up because nothing came; the upstream may be sound.
    Failed,      ///< A broken or invalid response: the upstream is not asked again.
};

template<>
struct EnumNames<AttemptEnding> {
    static constexpr std::array rows{
        EnumName{ AttemptEnding::NotReceived, "not-received" },
        EnumName{ AttemptEnding::Refused, "refused" },
        EnumName{ AttemptEnding::Silent, "silent" },
        EnumName{ AttemptEnding::Failed, "failed" },
    };
};

enum class HandoverStep : std::uint8_t {
    None,
    EndSuccessor, ///< Reset the successor's connection; the first attempt goes on.
    Replace,      ///< Reset the first attempt if it has not ended; the successor's response is forwarded from now on.
};

template<>
struct EnumNames<HandoverStep> {
    static constexpr std::array rows{
        EnumName{ HandoverStep::None, "none" },
        EnumName{ HandoverStep::EndSuccessor, "end-successor" },
        EnumName{ HandoverStep::Replace, "replace" },
    };
};

/// The attempts of one request. Not thread-safe.
class AttemptHandover
{
public:
    /// \p maxAttempts: number of upstreams that may receive the request.
    explicit AttemptHandover(std::uint32_t maxAttempts = 1);

    /// The request was sent to \p upstream. Not to be called for a successor, see startOverlap().
    void noteSent(const UpstreamRef &upstream);
    /// The attempt at \p upstream, not a successor's, has ended and no overlap is in progress.
    void noteEnded(const UpstreamRef &upstream, AttemptEnding ending);
    /// A request for which noteSent() was called has not left this process, or was refused after an attempt was given up.
    void noteNotSent();

    /// Whether the request may be sent to another upstream while the current attempt goes on.
    [[nodiscard]] bool mayStartSuccessor() const;
    /// The request was sent to \p successor, while the current attempt goes on. Requires mayStartSuccessor().
    void startOverlap(const UpstreamRef &successor, Micros now);
    [[nodiscard]] bool isOverlapping() const;

    /// The first attempt has made progress.
    [[nodiscard]] HandoverStep onProgress();
    /// The head of the successor's response; \p takes: the successor runs the request, neither refusing nor failing it.
    [[nodiscard]] HandoverStep onSuccessorHead(bool takes);
    /// The successor has ended without taking the request, so the first attempt keeps it.
    void onSuccessorEnded(AttemptEnding ending);
    /// The first attempt has ended without a result during an overlap.
    [[nodiscard]] HandoverStep onSilentEnded(AttemptEnding ending);
    /// HandoverOverlap may have passed.
    [[nodiscard]] HandoverStep onOverlapTime(Micros now);

    /// An attempt was given up although its upstream may be sound. The request is then not ended before its deadline while
    /// canBeServed().
    [[nodiscard]] bool hasAbandoned() const;
    /// Whether the next attempt may use \p upstream. \p again: also if it has refused or was silent, after an attempt was given up.
    [[nodiscard]] bool mayUse(const UpstreamRef &upstream, bool again) const;
    /// Whether an attempt at \p upstream was given up only because it was silent.
    [[nodiscard]] bool wasSilent(const UpstreamRef &upstream) const;
    /// Whether any upstream, now or later, may still get the request after an attempt was given up.
    [[nodiscard]] bool canBeServed() const;

    /// Number of requests sent, without those that were taken back by noteNotSent() or refused during an overlap.
    [[nodiscard]] std::uint32_t sent() const;
    /// Upstreams that have ended without a result, each once.
    [[nodiscard]] std::span<const UpstreamRef> tried() const;

private:
    struct Server {
        UpstreamRef upstream;
        AttemptEnding ending = AttemptEnding::Failed;
        bool mayHaveRun = false; ///< In any attempt there.
    };
    [[nodiscard]] const Server *find(const UpstreamRef &upstream) const;
    void record(const UpstreamRef &upstream, AttemptEnding ending);
    [[nodiscard]] std::uint32_t upstreamsThatMayHaveRun() const;
    HandoverStep replace(AttemptEnding ending);

    std::uint32_t maxAttempts_ = 1;
    std::uint32_t sent_ = 0;
    bool abandoned_ = false;
    UpstreamRef current_;   ///< Has the request; during an overlap the silent one. Null: none.
    UpstreamRef successor_; ///< Set while an overlap is in progress.
    Micros overlapSince_ = 0;
    bool declined_ = false; ///< The successor's head says that it does not take the request.
    std::vector<Server> servers_;
    std::vector<UpstreamRef> tried_;
};

} // namespace Carobhall
