#pragma once

// The arrivals of a load run: which request is sent when, by which account. No I/O and no clock; the same options give the
// same plan.

#include "carobhall/base.h"

#include <span>

namespace Carobhall::Standin
{

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

/// An account of examples/guild.json.
struct LoadAccount {
    std::string_view name;
    std::string_view rank;
    bool large = false; ///< Sends far more verdicts than the small accounts.
};

/// The two large accounts, then the six small ones, the paying before the free.
[[nodiscard]] std::span<const LoadAccount> loadAccounts();

struct PlanOptions {
    std::uint64_t seed = 1;
    Micros duration = 20 * MicrosPerSecond;
    double verdictsPerSecond = 20.0;
    double chatsPerSecond = 10.0;
    double surgePerSecond = 0.0;             ///< Free chats in the second third of the run.
    double largeShare = 0.6;                 ///< Share of the verdicts that the two large accounts send.
    std::size_t dossiers = 12;               ///< Of each account.
    std::size_t dossiersPerGroup = 4;        ///< Dossiers that share a second level of prefix.
    std::size_t dossierBytes = 8192;         ///< Shared prefix of a verdict. An eighth is the account's, another eighth the group's.
    double zipfExponent = 1.0;               ///< Skew over the dossiers of an account.
    Micros shiftEvery = 5 * MicrosPerSecond; ///< The hot dossiers change this often; 0: never.
    std::uint64_t verdictTokens = 8;
    std::uint64_t chatTokens = 24;
};

struct PlannedRequest {
    Micros at = 0; ///< From the start of the run.
    WorkKind kind = WorkKind::Verdict;
    std::size_t account = 0; ///< Index in loadAccounts().
    std::string prompt;      ///< Unique in the run. The content of the only message of a chat.
    std::uint64_t maxTokens = 0;
};

/// Poisson arrivals of each kind, in the order of time.
[[nodiscard]] std::vector<PlannedRequest> makePlan(const PlanOptions &options);

} // namespace Carobhall::Standin
