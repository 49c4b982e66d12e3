#pragma once

// Decides when one model server loads a new version of the weights.
//
// Only the sidecar of a server sends orders to it, so there is a single writer for each server and no lease is needed. The sidecars
// of a service spread the loads over waves, because loading slows down when many servers load at once and a loading server serves no
// requests. They compute the waves independently from the same list of servers. A server is closed shortly before its order, so that
// the gateways route elsewhere the requests that it would reject during the load.
//
//     WeightsRollout rollout;
//     rollout.setTarget(7, wave, now);
//     RolloutStep step = rollout.step(report, now);
//     if (step.order) { send the order, then rollout.onOrderResult(...) }
//
// Pure decision logic: no I/O, and the caller passes the time.

#include "carobhall/base.h"

#include <span>

namespace Carobhall
{

/// The state that a model server reports.
struct EngineReport {
    std::uint32_t queued = 0;      ///< Number of waiting requests.
    std::uint32_t running = 0;     ///< Number of requests being executed.
    std::uint64_t usedTokens = 0;  ///< KV cache in use, in tokens.
    std::uint64_t totalTokens = 0; ///< KV cache capacity, in tokens.
    std::string model{};
    std::uint64_t weightsVersion = 0;
    bool busy = false;            ///< An order is being executed.
    std::uint64_t sequence = 0;   ///< Number of orders accepted since the server process started.
    std::string instance{};       ///< Id of the running server process; empty: unknown.
    std::int64_t startedAtMs = 0; ///< Start time (Unix) of the server process; 0: unknown.
};

enum class OrderResult : std::uint8_t {
    Accepted,
    AlreadyHolds, ///< The server already has the ordered version.
    Conflict,     ///< Another order is in progress, or the sequence differs.
    Misdirected,  ///< The address belongs to a process other than the one that the order names.
    Rejected,     ///< The server does not know the version, or the order is invalid.
    Unknown,      ///< No valid reply: the order may be executed now, later or never.
};

template<>
struct EnumNames<OrderResult> {
    static constexpr std::array rows{
        EnumName{ OrderResult::Accepted, "accepted" }, EnumName{ OrderResult::AlreadyHolds, "already-holds" },
        EnumName{ OrderResult::Conflict, "conflict" }, EnumName{ OrderResult::Rejected, "rejected" },
        EnumName{ OrderResult::Unknown, "unknown" },   EnumName{ OrderResult::Misdirected, "misdirected" },
    };
};

/// One server of the service, for the assignment to waves.
struct RolloutMember {
    std::string id{};
    std::string zone{};
    std::string address{};
};

/// The 0-based wave of the server at \p address, or nothing if \p members does not contain it. Servers are assigned round-robin over
/// the zones, so that no zone loses all its servers at once. Thread-safe.
[[nodiscard]] std::optional<std::uint32_t> waveOf(std::vector<RolloutMember> members, std::string_view address);

/// Limits the number of waves, so that the duration of a rollout does not grow with the fleet: a sixth of the servers load at a time,
/// and the last wave begins after 2.3 s.
inline constexpr std::size_t MaxWaves = 6;
/// Servers per wave in a small fleet, where more concurrent loads slow each other down.
inline constexpr std::size_t MinServersPerWave = 2;

struct RolloutOptions {
    Micros waveInterval = 450 * MicrosPerMilli;    ///< A load takes 0.38 s; the rest covers the delay until it is reported.
    Micros drainTimeout = 900 * MicrosPerMilli;    ///< Time that running requests get to finish; most streams take less.
    Micros orderDelay = 130 * MicrosPerMilli;      ///< From closed to the order: gateways learn of it, and requests in transit start.
    Micros orderRetryDelay = 300 * MicrosPerMilli; ///< Delay after an order that was not accepted.
    Micros loadTimeout = 3 * MicrosPerSecond;      ///< An accepted order that has had no effect by then is sent again.
};

struct RolloutStep {
    bool closing = false; ///< Draining: gateways prefer other servers, so that running requests finish before the order.
    bool closed = false;  ///< Gateways send no new requests.
    bool order = false;   ///< Order the server to load `version` now, provided that its sequence is still `sequence`.
    std::uint64_t version = 0;
    std::uint64_t sequence = 0;
    std::string instance{}; ///< Only this server process may accept the order; empty: any.
};

/// State machine of the weights rollout of one server. Not thread-safe.
class WeightsRollout
{
public:
    explicit WeightsRollout(const RolloutOptions &options = {});

    /// Sets the version to load, in \p wave. Ignored if \p version is not newer than the current target.
    void setTarget(std::uint64_t version, std::uint32_t wave, Micros now);
    [[nodiscard]] std::uint64_t target() const;
    /// The action to take, given the server's latest report. If it has `order` set, onOrderResult() must be called with the result.
    [[nodiscard]] RolloutStep step(const EngineReport &report, Micros now);
    void onOrderResult(OrderResult result, Micros now);

private:
    enum class Phase : std::uint8_t { UpToDate, Waiting, Closing, Closed, Ordering, Loading };

    RolloutOptions options_;
    Phase phase_ = Phase::UpToDate;
    std::uint64_t target_ = 0;
    Micros waveStart_ = 0;
    Micros phaseStart_ = 0;
    Micros nextOrderAt_ = 0; ///< No order is sent before this time.
};

} // namespace Carobhall
