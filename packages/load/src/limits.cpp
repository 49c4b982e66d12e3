// Limits of an account over all entry processes.
//
// Index
//   1. Home
//   2. AccountLimits: taking and settling
//   3. AccountLimits: asks and grants
//   4. GrantCoordinator

#include "carobhall/limits.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace Carobhall
{

namespace
{

// An ask covers the demand of this many periods, so that the next grant arrives before the last one is spent.
constexpr double AskHorizon = 2.0;

// With less than this many periods' worth left an entry process asks again before its turn.
constexpr double LowBalance = 0.5;

// Time constant of an entry process's demand. In a large fleet one account's requests reach an entry process seconds apart;
// a shorter memory asks for more after each of them, and most of it expires unspent.
constexpr double RateSeconds = 10.0;

// An asker's grants expire at its own clock, which starts when the grant arrives.
constexpr Micros GrantDelay = 500 * MicrosPerMilli;

// A limit of which less is wanted than this counts as relaxed.
constexpr double RelaxedUse = 0.5;

double toSeconds(Micros time)
{
    return static_cast<double>(time) / static_cast<double>(MicrosPerSecond);
}

} // namespace

// 1. Home -----------------------------------------------------------------------------------------

Incarnation coordinatorOf(std::string_view account, std::span<const Incarnation> entries)
{
    Incarnation best = 0;
    std::uint64_t bestScore = 0;
    for (const Incarnation entry : entries) {
        const std::uint64_t score = XXH3_64bits_withSeed(account.data(), account.size(), entry);
        if (best == 0 || score > bestScore || (score == bestScore && entry > best)) {
            best = entry;
            bestScore = score;
        }
    }
    return best;
}

// 2. AccountLimits: taking and settling -----------------------------------------------------------

AccountLimits::AccountLimits(const LimitOptions &options)
    : options_(options)
{
}

void AccountLimits::setEntryProcesses(std::vector<Incarnation> entries)
{
    entries_ = std::move(entries);
    for (auto &[account, row] : rows_) {
        const Incarnation home = coordinatorOf(account, entries_);
        if (home != row.home) {
            row.home = home;
            row.asking = false; // The old home's answer no longer matters.
            row.nextAsk = 0;
        }
    }
}

AccountLimits::Row &AccountLimits::rowOf(std::string_view account, const AccountLimit &limit, Micros now)
{
    const auto [found, isNew] = rows_.try_emplace(std::string(account));
    Row &row = found->second;
    row.limit = limit;
    row.usedAt = now;
    if (isNew) {
        row.home = coordinatorOf(account, entries_);
        row.rateAt = now;
        const double share = toSeconds(options_.period) / static_cast<double>(std::max<std::size_t>(1, entries_.size()));
        row.balance = options_.initialAllowance ? limit.tokensPerSecond * share : 0.0;
    }
    return row;
}

void AccountLimits::expire(Row &row, Micros now) const
{
    if (row.grantedUntil != 0 && row.grantedUntil <= now) {
        row.grantedUntil = 0;
        row.balance = std::min(row.balance, 0.0);
    }
}

LimitResult AccountLimits::take(std::string_view account, const AccountLimit &limit, double cost, Micros now, bool mayWait)
{
    if (limit.tokensPerSecond <= 0.0 && limit.maxConcurrent == 0) {
        return { .decision = LimitDecision::Allowed };
    }
    Row &row = rowOf(account, limit, now);
    expire(row, now);
    const bool granted = row.grantedUntil > now;
    const std::uint32_t slots = granted ? row.allowed : 0;
    const bool tokensSuffice = limit.tokensPerSecond <= 0.0 || row.balance >= cost;
    const bool slotsSuffice = limit.maxConcurrent == 0 || row.inFlight < slots;
    // Nobody answers: one request may run, so that a lost home does not stop an account.
    const bool permitted = !mayWait && !granted && !row.permitUsed && options_.initialAllowance;
    if ((tokensSuffice && slotsSuffice) || permitted) {
        row.permitUsed = row.permitUsed || !(tokensSuffice && slotsSuffice);
        row.balance -= limit.tokensPerSecond > 0.0 ? cost : 0.0;
        row.used += cost;
        ++row.inFlight;
        if (row.balance < row.rate * LowBalance * toSeconds(options_.period)) {
            row.nextAsk = std::min(row.nextAsk, row.askedAt + options_.period / 2);
        }
        return { .decision = LimitDecision::Allowed };
    }
    if (mayWait && now >= row.deniedUntil) {
        row.pending += cost;
        ++row.waiting;
        row.urgent = true;
        return { .decision = LimitDecision::Pending };
    }
    row.waiting += mayWait ? 1 : 0;
    const double missing = tokensSuffice ? 0.0 : (cost - row.balance) / limit.tokensPerSecond;
    const auto untilPaid = static_cast<Micros>(missing * static_cast<double>(MicrosPerSecond));
    return { .decision = LimitDecision::Refused, .retryAfter = std::clamp(untilPaid, options_.period, 30 * options_.period) };
}

void AccountLimits::settle(std::string_view account, double cost, double trueCost)
{
    const auto found = rows_.find(std::string(account));
    if (found == rows_.end() || found->second.inFlight == 0) {
        return;
    }
    Row &row = found->second;
    --row.inFlight;
    if (row.contended) {
        row.nextAsk = std::min(row.nextAsk, row.askedAt + options_.leastAskGap);
    }
    if (row.limit.tokensPerSecond > 0.0) {
        row.balance += cost - trueCost;
    }
}

std::size_t AccountLimits::size() const
{
    return rows_.size();
}

std::uint32_t AccountLimits::inFlight(std::string_view account) const
{
    const auto found = rows_.find(std::string(account));
    return found == rows_.end() ? 0 : found->second.inFlight;
}

// 3. AccountLimits: asks and grants ---------------------------------------------------------------

bool AccountLimits::due(const Row &row, Micros now) const
{
    if (row.askedAt != 0 && now < row.askedAt + options_.leastAskGap) {
        return false;
    }
    if (row.asking && now < row.askedAt + options_.askTimeout) {
        return false; // A second ask could cross the first one's grant and give back what that grant lets run.
    }
    const bool active = row.inFlight > 0 || row.used > 0.0 || row.balance < 0.0 || row.waiting > 0
        || (row.contended && (row.allowed > row.inFlight || row.balance > 0.0));
    return active && (row.urgent || row.asking || now >= row.nextAsk);
}

GrantAsk AccountLimits::makeAsk(const std::string &account, Row &row, Micros now) const
{
    const double elapsed = std::max(toSeconds(now - row.rateAt), toSeconds(options_.leastAskGap));
    row.rate += (row.used / elapsed - row.rate) * (1.0 - std::exp(-elapsed / RateSeconds));
    row.rateAt = now;
    row.wanted = std::max(0.0, row.rate * toSeconds(options_.period) * AskHorizon + row.pending - row.balance);
    const double surplus = row.balance - row.rate * toSeconds(options_.period) * AskHorizon - row.pending;
    const double returned = row.contended ? std::max(0.0, std::min(surplus, row.balance)) : 0.0;
    row.balance -= returned;
    row.asked = row.inFlight + row.waiting;
    // The home takes back what the ask does not name, so it must not be used while the answer is on its way.
    row.allowed = std::min(row.allowed, row.asked);
    GrantAsk ask{ .account = account, .used = row.used, .wanted = row.wanted - returned, .concurrent = row.asked };
    row.used = 0.0;
    row.pending = 0.0;
    row.waiting = 0;
    row.urgent = false;
    row.asking = true;
    row.askedAt = now;
    row.nextAsk = now + options_.contendedLease / 2;
    return ask;
}

std::vector<AddressedGrantRequest> AccountLimits::takeGrantRequests(Micros now)
{
    std::erase_if(rows_, [this, now](const auto &entry) {
        const Row &row = entry.second;
        return row.inFlight == 0 && row.balance >= 0.0 && now > row.usedAt + options_.idleRetention;
    });
    std::vector<AddressedGrantRequest> asks;
    for (auto &[account, row] : rows_) {
        expire(row, now);
        if (due(row, now)) {
            asks.push_back({ .coordinator = row.home, .request = makeAsk(account, row, now) });
        }
    }
    std::sort(asks.begin(), asks.end(), [](const AddressedGrantRequest &a, const AddressedGrantRequest &b) { return a.coordinator < b.coordinator; });
    return asks;
}

void AccountLimits::receive(const Grant &grant, Micros now)
{
    const auto found = rows_.find(grant.account);
    if (found == rows_.end() || grant.validFor <= 0) {
        return;
    }
    Row &row = found->second;
    expire(row, now);
    row.balance += grant.tokens;
    row.allowed = grant.concurrent;
    row.grantedUntil = now + grant.validFor;
    row.nextAsk = std::max(row.askedAt + options_.leastAskGap, row.askedAt + grant.validFor / 2);
    row.asking = false;
    row.permitUsed = false;
    row.contended = grant.validFor <= options_.contendedLease;
    const bool shortOfTokens = row.limit.tokensPerSecond > 0.0 && grant.tokens < row.wanted;
    const bool shortOfSlots = row.limit.maxConcurrent > 0 && grant.concurrent < row.asked;
    if (shortOfTokens || shortOfSlots) {
        row.deniedUntil = now + options_.period / 4;
        row.nextAsk = std::min(row.nextAsk, row.askedAt + options_.period);
    }
}

// 4. GrantCoordinator ------------------------------------------------------------------------------------

GrantCoordinator::GrantCoordinator(const LimitOptions &options)
    : options_(options)
{
}

void GrantCoordinator::refill(Row &row, const AccountLimit &limit, Micros now) const
{
    const double perPeriod = limit.tokensPerSecond * toSeconds(options_.period);
    const double yield = limit.tokensPerSecond * toSeconds(now - row.refilledAt);
    row.refilledAt = now;
    row.level = std::min(row.level + yield, perPeriod);
    std::erase_if(row.askers, [now](const Asker &asker) { return asker.until <= now; });
    double wanted = 0.0;
    for (const Asker &asker : row.askers) {
        wanted += asker.wanted;
    }
    for (Asker &asker : row.askers) {
        const double part = wanted > 0.0 ? asker.wanted / wanted : 1.0 / static_cast<double>(row.askers.size());
        asker.credit = std::min(asker.credit + yield * part, perPeriod);
    }
}

double GrantCoordinator::grantTokens(Row &row, Asker &asker, const AccountLimit &limit) const
{
    const double perPeriod = limit.tokensPerSecond * toSeconds(options_.period);
    // A level that is half full means that the askers with credit leave something over.
    if (limit.tokensPerSecond <= 0.0 || row.level <= 0.0 || (asker.credit < 0.0 && row.level < perPeriod / 2)) {
        return 0.0;
    }
    // Up to a whole period's worth at once, even beyond the level: parts of a request's cost at many askers serve nobody.
    const double tokens = std::min(asker.wanted, perPeriod);
    row.level -= tokens;
    asker.credit -= tokens;
    return tokens;
}

void GrantCoordinator::grantConcurrent(const Row &row, Asker &asker, const AccountLimit &limit)
{
    if (limit.maxConcurrent == 0) {
        return;
    }
    std::uint32_t others = 0;
    double demand = 0.0;
    for (const Asker &other : row.askers) {
        others += &other == &asker ? 0 : other.held;
        demand += other.demand;
    }
    const std::uint32_t available = limit.maxConcurrent > others ? limit.maxConcurrent - others : 0;
    const double share = demand > 0.0 ? std::ceil(static_cast<double>(limit.maxConcurrent) * asker.demand / demand) : 0.0;
    const std::uint32_t target = std::min({ available, asker.demand, static_cast<std::uint32_t>(share) });
    // What it runs is at most what it held and at most what it says: that much is in use, whatever its share is now.
    asker.held = std::max(target, std::min(asker.held, asker.demand));
}

Grant GrantCoordinator::grant(Incarnation from, const GrantAsk &ask, const AccountLimit &limit, Micros now)
{
    if (now > sweptAt_ + options_.idleRetention) {
        sweptAt_ = now;
        std::erase_if(rows_, [this, now](const auto &entry) { return now > entry.second.refilledAt + options_.idleRetention; });
    }
    const auto [found, isNew] = rows_.try_emplace(ask.account);
    Row &row = found->second;
    if (isNew || now > row.refilledAt + options_.idleRetention) {
        // Another process may have been the home until now and handed out the same time's tokens.
        row = { .level = limit.tokensPerSecond * toSeconds(options_.period) * options_.newHomeLevel, .refilledAt = now, .askers = {} };
    }
    refill(row, limit, now);
    auto asker = std::find_if(row.askers.begin(), row.askers.end(), [from](const Asker &a) { return a.incarnation == from; });
    if (asker == row.askers.end()) {
        asker = row.askers.insert(row.askers.end(), { .incarnation = from });
    }
    row.level += std::max(0.0, -ask.wanted);
    asker->wanted = std::max(0.0, ask.wanted);
    asker->demand = ask.concurrent;
    // Tokens without a slot, or a slot without tokens, would lie unused until the next ask.
    const std::uint32_t heldBefore = std::min(asker->held, asker->demand);
    grantConcurrent(row, *asker, limit);
    const bool noSlot = limit.maxConcurrent > 0 && asker->held == 0;
    const double tokens = noSlot ? 0.0 : grantTokens(row, *asker, limit);
    if (tokens <= 0.0 && asker->wanted > 0.0 && limit.tokensPerSecond > 0.0) {
        asker->held = heldBefore;
    }
    double wanted = 0.0;
    std::uint32_t held = 0;
    for (const Asker &other : row.askers) {
        wanted += other.wanted;
        held += other.held;
    }
    const bool relaxed = wanted <= RelaxedUse * limit.tokensPerSecond * toSeconds(options_.period) + (limit.tokensPerSecond <= 0.0 ? wanted : 0.0)
        && (limit.maxConcurrent == 0 || held <= RelaxedUse * limit.maxConcurrent);
    const Micros validFor = relaxed ? options_.relaxedLease : options_.contendedLease;
    asker->until = now + validFor + GrantDelay;
    return { .account = ask.account, .tokens = tokens, .concurrent = asker->held, .validFor = validFor };
}

void GrantCoordinator::forget(Incarnation asker)
{
    for (auto &[account, row] : rows_) {
        std::erase_if(row.askers, [asker](const Asker &a) { return a.incarnation == asker; });
    }
}

std::uint32_t GrantCoordinator::heldOf(const std::string &account) const
{
    const auto found = rows_.find(account);
    std::uint32_t held = 0;
    if (found != rows_.end()) {
        for (const Asker &asker : found->second.askers) {
            held += asker.held;
        }
    }
    return held;
}

} // namespace Carobhall
