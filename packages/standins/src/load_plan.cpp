#include "load_plan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Carobhall::Standin
{

namespace
{

constexpr std::size_t LargeAccounts = 2;
constexpr std::size_t PayingAccounts = 5;
constexpr std::array Accounts{
    LoadAccount{ .name = "zagreb-chamber", .rank = "paying", .large = true },
    LoadAccount{ .name = "port-of-rijeka", .rank = "paying", .large = true },
    LoadAccount{ .name = "osijek-workshop", .rank = "paying" },
    LoadAccount{ .name = "split-lighthouses", .rank = "paying" },
    LoadAccount{ .name = "zadar-ferries", .rank = "paying" },
    LoadAccount{ .name = "apprentices-zagreb", .rank = "free" },
    LoadAccount{ .name = "apprentices-rijeka", .rank = "free" },
    LoadAccount{ .name = "public-desk", .rank = "free" },
};
/// The account prefix and the group prefix each take 1 / PrefixLevelDivisor of a dossier.
constexpr std::size_t PrefixLevelDivisor = 8;

using Random = std::mt19937_64;

std::size_t drawIndex(Random &random, std::size_t first, std::size_t end)
{
    return std::uniform_int_distribution<std::size_t>(first, end - 1)(random);
}

/// Generates readable filler text of \p bytes bytes, which depends on \p label only.
std::string fillText(const std::string &label, std::size_t bytes)
{
    std::string text;
    for (std::size_t line = 0; text.size() < bytes; ++line) {
        text += label + " reading " + std::to_string(line) + ": needle 0." + std::to_string(line * 31 % 1000) + " mm\n";
    }
    text.resize(bytes);
    return text;
}

std::string dossierText(const PlanOptions &options, std::size_t account, std::size_t dossier)
{
    const std::string owner(Accounts[account].name);
    const std::size_t levelBytes = options.dossierBytes / PrefixLevelDivisor;
    const std::string group = owner + " group " + std::to_string(dossier / std::max<std::size_t>(options.dossiersPerGroup, 1));
    return fillText(owner + " handbook", levelBytes) + fillText(group, levelBytes)
        + fillText(owner + " dossier " + std::to_string(dossier), options.dossierBytes - 2 * levelBytes);
}

class Planner
{
public:
    explicit Planner(const PlanOptions &options)
        : options_(options)
        , random_(options.seed)
    {
        std::vector<double> weights;
        for (std::size_t dossierRank = 1; dossierRank <= options.dossiers; ++dossierRank) {
            weights.push_back(1.0 / std::pow(static_cast<double>(dossierRank), options.zipfExponent));
        }
        dossierRanks_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    void addArrivals(WorkKind kind, double perSecond, Micros from, Micros until)
    {
        if (perSecond <= 0.0) {
            return;
        }
        std::exponential_distribution<double> gap(perSecond);
        for (double at = static_cast<double>(from);;) {
            at += gap(random_) * MicrosPerSecond;
            if (at >= static_cast<double>(until)) {
                return;
            }
            plan_.push_back(draw(kind, static_cast<Micros>(at)));
        }
    }

    std::vector<PlannedRequest> take()
    {
        std::stable_sort(plan_.begin(), plan_.end(), [](const PlannedRequest &a, const PlannedRequest &b) { return a.at < b.at; });
        return std::move(plan_);
    }

private:
    PlannedRequest draw(WorkKind kind, Micros at)
    {
        const std::string unique = "Request " + std::to_string(options_.seed) + "-" + std::to_string(plan_.size()) + ". ";
        if (kind == WorkKind::Verdict) {
            const bool large = std::bernoulli_distribution(options_.largeShare)(random_);
            const std::size_t account = large ? drawIndex(random_, 0, LargeAccounts) : drawIndex(random_, LargeAccounts, PayingAccounts);
            // Each shift rotates the ranking by half the number of dossiers plus one, so that the most used dossiers become rarely used.
            const auto shifts = options_.shiftEvery > 0 ? static_cast<std::size_t>(at / options_.shiftEvery) : 0;
            const std::size_t dossier = (dossierRanks_(random_) + shifts * (options_.dossiers / 2 + 1)) % options_.dossiers;
            return { .at = at,
                     .kind = kind,
                     .account = account,
                     .prompt = dossierText(options_, account, dossier) + unique + "Verdict:",
                     .maxTokens = options_.verdictTokens };
        }
        const std::size_t first = kind == WorkKind::Surge ? PayingAccounts : LargeAccounts;
        return { .at = at,
                 .kind = kind,
                 .account = drawIndex(random_, first, Accounts.size()),
                 .prompt = unique + "Which way does the needle turn before a storm?",
                 .maxTokens = options_.chatTokens };
    }

    const PlanOptions &options_;
    Random random_;
    std::discrete_distribution<std::size_t> dossierRanks_;
    std::vector<PlannedRequest> plan_;
};

} // namespace

std::span<const LoadAccount> loadAccounts()
{
    return Accounts;
}

std::vector<PlannedRequest> makePlan(const PlanOptions &options)
{
    Planner planner(options);
    planner.addArrivals(WorkKind::Verdict, options.verdictsPerSecond, 0, options.duration);
    planner.addArrivals(WorkKind::Chat, options.chatsPerSecond, 0, options.duration);
    planner.addArrivals(WorkKind::Surge, options.surgePerSecond, options.duration / 3, options.duration * 2 / 3);
    return planner.take();
}

} // namespace Carobhall::Standin
