#pragma once

// Plans the arrivals of a load run: when each request is sent and by which account. It does no I/O and reads no clock; the same
// options always give the same plan.

#include "carobhall/base.h"

#include <span>

namespace Carobhall::Standin
{

/// Verdict: a completion with a long shared prefix. Chat: a short chat. Surge: a chat of the temporary extra load.
enum class WorkKind : std::uint8_t { Verdict, Chat, Surge };

} // namespace Carobhall::Standin

template<>
struct Carobhall::EnumNames<Carobhall::Standin::WorkKind> {
    static constexpr std::array rows{
        EnumName{ Standin::WorkKind::Verdict, "verdict" },
        EnumName{ Standin::WorkKind::Chat, "chat" },
        EnumName{ Standin::WorkKind::Surge, "surge" },
    };
};

namespace Carobhall::Standin
{

/// A client account of examples/guild.json.
struct LoadAccount {
    std::string_view name;
    std::string_view rank;
    bool large = false; ///< Sends a larger share of the verdicts than the small accounts.
};

/// The two large accounts, followed by the six small ones: first the paying, then the free ones.
[[nodiscard]] std::span<const LoadAccount> loadAccounts();

struct PlanOptions {
    std::uint64_t seed = 1;
    Micros duration = 20 * MicrosPerSecond;
    double verdictsPerSecond = 20.0;
    double chatsPerSecond = 10.0;
    double surgePerSecond = 0.0;             ///< Additional chats of free accounts in the second third of the run.
    double largeShare = 0.6;                 ///< Share of the verdicts sent by the two large accounts.
    std::size_t dossiers = 12;               ///< Number of dossiers per account.
    std::size_t dossiersPerGroup = 4;        ///< Dossiers that share a group prefix after the account's prefix.
    std::size_t dossierBytes = 8192;         ///< Length of a verdict's dossier: an eighth is shared by the account, another eighth by the group.
    double zipfExponent = 1.0;               ///< Exponent of the Zipf distribution over an account's dossiers.
    Micros shiftEvery = 5 * MicrosPerSecond; ///< Time between changes of the most used dossiers; 0: never.
    std::uint64_t verdictTokens = 8;
    std::uint64_t chatTokens = 24;
};

struct PlannedRequest {
    Micros at = 0; ///< Time of sending, from the start of the run.
    WorkKind kind = WorkKind::Verdict;
    std::size_t account = 0; ///< Index in loadAccounts().
    std::string prompt;      ///< Unique within the run. For a chat, the content of its only message.
    std::uint64_t maxTokens = 0;
};

/// Returns Poisson arrivals of all kinds, ordered by time.
[[nodiscard]] std::vector<PlannedRequest> makePlan(const PlanOptions &options);

} // namespace Carobhall::Standin
