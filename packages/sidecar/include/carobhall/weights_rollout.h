#pragma once

// When one model server takes new weights.
//
// Each server is ordered by the sidecar beside it alone, so that no two holders ever order one server and no lease is needed.
// All sidecars of a service spread their orders over waves, which they compute from the same list, because loading slows
// when many servers load at once and a server that loads serves nothing. Before its order a server is closed for a moment, so that the gateways send
// elsewhere what the load would reject.
//
//     WeightsRollout rollout;
//     rollout.setTarget(7, wave, now);
//     RolloutStep step = rollout.step(view, now);
//     if (step.order) { send the order, then rollout.ordered(...) }
//
// Decisions only: no I/O and no clock.

#include "carobhall/base.h"

#include <span>

namespace Carobhall
{

/// What the server reports of itself.
struct EngineReport {
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint64_t usedTokens = 0;
    std::uint64_t totalTokens = 0;
    std::string model{};
    std::uint64_t weightsVersion = 0;
    bool busy = false;          ///< An order is being carried out.
    std::uint64_t sequence = 0; ///< Orders accepted since the server's start.
    std::string instance{};     ///< Names the running process of the server; empty: not known.
};

enum class OrderResult : std::uint8_t {
    Accepted,
    AlreadyHolds,
    Conflict,    ///< Another order is in progress, or the sequence differs.
    Misdirected, ///< Another process than the one that was named has the address.
    Rejected,    ///< The server does not know the version, or the order is not valid.
    Unknown,     ///< No answer: it may be carried out, now or later.
};

template<>
struct EnumNames<OrderResult> {
    static constexpr std::array rows{
        EnumName{ OrderResult::Accepted, "accepted" }, EnumName{ OrderResult::AlreadyHolds, "already-holds" },
        EnumName{ OrderResult::Conflict, "conflict" }, EnumName{ OrderResult::Rejected, "rejected" },
        EnumName{ OrderResult::Unknown, "unknown" },   EnumName{ OrderResult::Misdirected, "misdirected" },
    };
};

/// One server of the service, for the order of waves.
struct RolloutMember {
    std::string id{};
    std::string zone{};
    std::string address{};
};

/// The wave of the server at \p address: members are taken zone by zone in turn, so that no zone loses all its servers at
/// once. Nothing when the list does not contain it. Thread-safe.
[[nodiscard]] std::optional<std::uint32_t> waveOf(std::vector<RolloutMember> members, std::string_view address);

/// Waves of one rollout at most, so that its length does not grow with the fleet: a sixth of the servers load at a time, and
/// the last ones begin after 2.3 s.
inline constexpr std::size_t MaxWaves = 6;
/// Servers that load at a time in a small fleet; loading slows there when more do.
inline constexpr std::size_t LeastServersPerWave = 2;

struct RolloutOptions {
    Micros waveInterval = 450 * MicrosPerMilli; ///< A load takes 0.38 s; the rest covers the delay of its report.
    Micros closeTime = 900 * MicrosPerMilli;    ///< Longest wait for running requests to end; most streams take less.
    Micros closedTime = 130 * MicrosPerMilli;   ///< From closing to the order: until all gateways know, and what is on its way has begun.
    Micros orderRetry = 300 * MicrosPerMilli;   ///< After an order that was not accepted.
    Micros loadTimeout = 3 * MicrosPerSecond;   ///< An accepted order whose effect does not show by now is given again.
};

struct RolloutStep {
    bool closing = false; ///< Gateways prefer other servers, so that running requests end before the order.
    bool closed = false;  ///< Gateways send no new requests.
    bool order = false;   ///< Order `version` now, if the server's sequence is still `sequence`.
    std::uint64_t version = 0;
    std::uint64_t sequence = 0;
    std::string instance{}; ///< Only this process of the server may take the order.
};

/// Not thread-safe.
class WeightsRollout
{
public:
    explicit WeightsRollout(const RolloutOptions &options = {});

    /// The newest version that has been named. Older ones are ignored.
    void setTarget(std::uint64_t version, std::uint32_t wave, Micros now);
    [[nodiscard]] std::uint64_t target() const;
    /// What to do, given the latest report. An order must be followed by ordered().
    [[nodiscard]] RolloutStep step(const EngineReport &report, Micros now);
    void ordered(OrderResult result, Micros now);

private:
    enum class Phase : std::uint8_t { Current, Waiting, Closing, Closed, Ordering, Loading };

    RolloutOptions options_;
    Phase phase_ = Phase::Current;
    std::uint64_t target_ = 0;
    Micros closeAt_ = 0; ///< When this server's wave begins.
    Micros phaseSince_ = 0;
    Micros retryAt_ = 0;
};

} // namespace Carobhall
