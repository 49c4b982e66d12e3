// Rate and concurrency limits of an account across all entry processes.
//
// Index
//   1. Coordinator of an account
//   2. AccountLimits: taking and settling
//   3. AccountLimits: grant requests and grants
//   4. GrantCoordinator

#include "carobhall/limits.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace Carobhall
{

namespace
{

// A grant request covers the expected demand of this many periods, so that the next grant arrives before the current one is spent.
constexpr double DemandHorizonPeriods = 2.0;

// Below a balance of this many periods of expected demand, an entry process sends its next grant request early.
constexpr double LowBalancePeriods = 0.5;

// Time constant of the moving average of an account's usage at one entry process. In a large fleet, one account's requests reach
// an entry process seconds apart. With a shorter time constant each request raises the average and the process requests tokens of
// which most expire unspent.
constexpr double UsageRateSeconds = 10.0;

// Added to a grant's validity at the coordinator, because the requester's validity period starts only when the grant arrives there.
constexpr Micros GrantExpiryMargin = 500 * MicrosPerMilli;

// An account that requests at most this share of its limit gets the long lease (LimitOptions::relaxedLease).
constexpr double RelaxedShare = 0.5;

double toSeconds(Micros time)
{
    return static_cast<double>(time) / static_cast<double>(MicrosPerSecond);
}

} // namespace

// 1. Coordinator of an account --------------------------------------------------------------------

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
    for (auto &[account, state] : accounts_) {
        const Incarnation coordinator = coordinatorOf(account, entries_);
        if (coordinator != state.coordinator) {
            state.coordinator = coordinator;
            state.grantRequestInFlight = false; // A grant from the previous coordinator is no longer awaited.
            state.nextGrantRequestAt = 0;
        }
    }
}

AccountLimits::AccountState &AccountLimits::stateOf(std::string_view account, const AccountLimit &limit, Micros now)
{
    const auto [found, isNew] = accounts_.try_emplace(std::string(account));
    AccountState &state = found->second;
    state.limit = limit;
    state.lastUsedAt = now;
    if (isNew) {
        state.coordinator = coordinatorOf(account, entries_);
        state.rateUpdatedAt = now;
        const double share = toSeconds(options_.period) / static_cast<double>(std::max<std::size_t>(1, entries_.size()));
        state.balance = options_.initialAllowance ? limit.tokensPerSecond * share : 0.0;
    }
    return state;
}

void AccountLimits::expireGrant(AccountState &state, Micros now) const
{
    if (state.grantExpiresAt != 0 && state.grantExpiresAt <= now) {
        state.grantExpiresAt = 0;
        state.balance = std::min(state.balance, 0.0);
    }
}

LimitResult AccountLimits::take(std::string_view account, const AccountLimit &limit, double cost, Micros now, bool mayWait)
{
    if (limit.tokensPerSecond <= 0.0 && limit.maxConcurrent == 0) {
        return { .decision = LimitDecision::Allowed };
    }
    AccountState &state = stateOf(account, limit, now);
    expireGrant(state, now);
    const bool grantValid = state.grantExpiresAt > now;
    const std::uint32_t concurrency = grantValid ? state.allowedConcurrency : 0;
    const bool tokensSuffice = limit.tokensPerSecond <= 0.0 || state.balance >= cost;
    const bool concurrencySuffices = limit.maxConcurrent == 0 || state.inFlight < concurrency;
    // No grant has arrived in time: one request may run without one, so that the loss of the coordinator does not block the account.
    const bool runsWithoutGrant = !mayWait && !grantValid && !state.ranWithoutGrant && options_.initialAllowance;
    if ((tokensSuffice && concurrencySuffices) || runsWithoutGrant) {
        state.ranWithoutGrant = state.ranWithoutGrant || !(tokensSuffice && concurrencySuffices);
        state.balance -= limit.tokensPerSecond > 0.0 ? cost : 0.0;
        state.usedSinceGrantRequest += cost;
        ++state.inFlight;
        if (state.balance < state.usageRate * LowBalancePeriods * toSeconds(options_.period)) {
            state.nextGrantRequestAt = std::min(state.nextGrantRequestAt, state.grantRequestedAt + options_.period / 2);
        }
        return { .decision = LimitDecision::Allowed };
    }
    if (mayWait && now >= state.exhaustedUntil) {
        state.pendingCost += cost;
        ++state.waitingRequests;
        state.urgent = true;
        return { .decision = LimitDecision::Pending };
    }
    state.waitingRequests += mayWait ? 1 : 0;
    const double missing = tokensSuffice ? 0.0 : (cost - state.balance) / limit.tokensPerSecond;
    const auto untilCovered = static_cast<Micros>(missing * static_cast<double>(MicrosPerSecond));
    return { .decision = LimitDecision::Refused, .retryAfter = std::clamp(untilCovered, options_.period, 30 * options_.period) };
}

void AccountLimits::settle(std::string_view account, double cost, double trueCost)
{
    const auto found = accounts_.find(std::string(account));
    if (found == accounts_.end() || found->second.inFlight == 0) {
        return;
    }
    AccountState &state = found->second;
    --state.inFlight;
    if (state.contended) {
        state.nextGrantRequestAt = std::min(state.nextGrantRequestAt, state.grantRequestedAt + options_.minGrantRequestInterval);
    }
    if (state.limit.tokensPerSecond > 0.0) {
        state.balance += cost - trueCost;
    }
}

std::size_t AccountLimits::size() const
{
    return accounts_.size();
}

std::uint32_t AccountLimits::inFlight(std::string_view account) const
{
    const auto found = accounts_.find(std::string(account));
    return found == accounts_.end() ? 0 : found->second.inFlight;
}

// 3. AccountLimits: grant requests and grants -----------------------------------------------------

bool AccountLimits::isGrantRequestDue(const AccountState &state, Micros now) const
{
    if (state.grantRequestedAt != 0 && now < state.grantRequestedAt + options_.minGrantRequestInterval) {
        return false;
    }
    if (state.grantRequestInFlight && now < state.grantRequestedAt + options_.grantRequestTimeout) {
        // A second request could cross the grant for the first one and return concurrency that this grant allows to be used.
        return false;
    }
    const bool active = state.inFlight > 0 || state.usedSinceGrantRequest > 0.0 || state.balance < 0.0 || state.waitingRequests > 0
        || (state.contended && (state.allowedConcurrency > state.inFlight || state.balance > 0.0));
    return active && (state.urgent || state.grantRequestInFlight || now >= state.nextGrantRequestAt);
}

GrantRequest AccountLimits::makeGrantRequest(const std::string &account, AccountState &state, Micros now) const
{
    const double elapsed = std::max(toSeconds(now - state.rateUpdatedAt), toSeconds(options_.minGrantRequestInterval));
    state.usageRate += (state.usedSinceGrantRequest / elapsed - state.usageRate) * (1.0 - std::exp(-elapsed / UsageRateSeconds));
    state.rateUpdatedAt = now;
    state.requestedTokens = std::max(0.0, state.usageRate * toSeconds(options_.period) * DemandHorizonPeriods + state.pendingCost - state.balance);
    const double surplus = state.balance - state.usageRate * toSeconds(options_.period) * DemandHorizonPeriods - state.pendingCost;
    const double returned = state.contended ? std::max(0.0, std::min(surplus, state.balance)) : 0.0;
    state.balance -= returned;
    state.requestedConcurrency = state.inFlight + state.waitingRequests;
    // The coordinator reclaims any concurrency that is not listed in the request, so it must not be used until the grant arrives.
    state.allowedConcurrency = std::min(state.allowedConcurrency, state.requestedConcurrency);
    GrantRequest request{
        .account = account, .used = state.usedSinceGrantRequest, .wanted = state.requestedTokens - returned, .concurrent = state.requestedConcurrency
    };
    state.usedSinceGrantRequest = 0.0;
    state.pendingCost = 0.0;
    state.waitingRequests = 0;
    state.urgent = false;
    state.grantRequestInFlight = true;
    state.grantRequestedAt = now;
    state.nextGrantRequestAt = now + options_.contendedLease / 2;
    return request;
}

std::vector<AddressedGrantRequest> AccountLimits::takeGrantRequests(Micros now)
{
    std::erase_if(accounts_, [this, now](const auto &entry) {
        const AccountState &state = entry.second;
        return state.inFlight == 0 && state.balance >= 0.0 && now > state.lastUsedAt + options_.idleRetention;
    });
    std::vector<AddressedGrantRequest> requests;
    for (auto &[account, state] : accounts_) {
        expireGrant(state, now);
        if (isGrantRequestDue(state, now)) {
            requests.push_back({ .coordinator = state.coordinator, .request = makeGrantRequest(account, state, now) });
        }
    }
    std::sort(requests.begin(), requests.end(), [](const AddressedGrantRequest &a, const AddressedGrantRequest &b) { return a.coordinator < b.coordinator; });
    return requests;
}

void AccountLimits::receive(const Grant &grant, Micros now)
{
    const auto found = accounts_.find(grant.account);
    if (found == accounts_.end() || grant.validFor <= 0) {
        return;
    }
    AccountState &state = found->second;
    expireGrant(state, now);
    state.balance += grant.tokens;
    state.allowedConcurrency = grant.concurrent;
    state.grantExpiresAt = now + grant.validFor;
    state.nextGrantRequestAt = std::max(state.grantRequestedAt + options_.minGrantRequestInterval, state.grantRequestedAt + grant.validFor / 2);
    state.grantRequestInFlight = false;
    state.ranWithoutGrant = false;
    state.contended = grant.validFor <= options_.contendedLease;
    const bool shortOfTokens = state.limit.tokensPerSecond > 0.0 && grant.tokens < state.requestedTokens;
    const bool shortOfConcurrency = state.limit.maxConcurrent > 0 && grant.concurrent < state.requestedConcurrency;
    if (shortOfTokens || shortOfConcurrency) {
        state.exhaustedUntil = now + options_.period / 4;
        state.nextGrantRequestAt = std::min(state.nextGrantRequestAt, state.grantRequestedAt + options_.period);
    }
}

// 4. GrantCoordinator -----------------------------------------------------------------------------

GrantCoordinator::GrantCoordinator(const LimitOptions &options)
    : options_(options)
{
}

void GrantCoordinator::refill(AccountPool &pool, const AccountLimit &limit, Micros now) const
{
    const double perPeriod = limit.tokensPerSecond * toSeconds(options_.period);
    const double yield = limit.tokensPerSecond * toSeconds(now - pool.refilledAt);
    pool.refilledAt = now;
    pool.level = std::min(pool.level + yield, perPeriod);
    std::erase_if(pool.requesters, [now](const Requester &requester) { return requester.grantsExpireAt <= now; });
    double totalRequested = 0.0;
    for (const Requester &requester : pool.requesters) {
        totalRequested += requester.requestedTokens;
    }
    for (Requester &requester : pool.requesters) {
        const double share = totalRequested > 0.0 ? requester.requestedTokens / totalRequested : 1.0 / static_cast<double>(pool.requesters.size());
        requester.credit = std::min(requester.credit + yield * share, perPeriod);
    }
}

double GrantCoordinator::grantTokens(AccountPool &pool, Requester &requester, const AccountLimit &limit) const
{
    const double perPeriod = limit.tokensPerSecond * toSeconds(options_.period);
    // A requester without credit gets tokens only when the bucket is at least half full: those with credit then leave some unused.
    if (limit.tokensPerSecond <= 0.0 || pool.level <= 0.0 || (requester.credit < 0.0 && pool.level < perPeriod / 2)) {
        return 0.0;
    }
    // Grants up to one period's worth at once, even if the level becomes negative. If the tokens were split among many requesters,
    // none of them could pay for a whole request.
    const double tokens = std::min(requester.requestedTokens, perPeriod);
    pool.level -= tokens;
    requester.credit -= tokens;
    return tokens;
}

void GrantCoordinator::grantConcurrent(const AccountPool &pool, Requester &requester, const AccountLimit &limit)
{
    if (limit.maxConcurrent == 0) {
        return;
    }
    std::uint32_t grantedToOthers = 0;
    double totalDemand = 0.0;
    for (const Requester &other : pool.requesters) {
        grantedToOthers += &other == &requester ? 0 : other.grantedConcurrency;
        totalDemand += other.concurrencyDemand;
    }
    const std::uint32_t available = limit.maxConcurrent > grantedToOthers ? limit.maxConcurrent - grantedToOthers : 0;
    const double share = totalDemand > 0.0 ? std::ceil(static_cast<double>(limit.maxConcurrent) * requester.concurrencyDemand / totalDemand) : 0.0;
    const std::uint32_t target = std::min({ available, requester.concurrencyDemand, static_cast<std::uint32_t>(share) });
    // A requester runs at most as many requests as it was granted and as it reports. That many may be in use and cannot be
    // reclaimed, even when its share is now smaller.
    requester.grantedConcurrency = std::max(target, std::min(requester.grantedConcurrency, requester.concurrencyDemand));
}

Grant GrantCoordinator::grant(Incarnation from, const GrantRequest &request, const AccountLimit &limit, Micros now)
{
    if (now > lastSweepAt_ + options_.idleRetention) {
        lastSweepAt_ = now;
        std::erase_if(pools_, [this, now](const auto &entry) { return now > entry.second.refilledAt + options_.idleRetention; });
    }
    const auto [found, isNew] = pools_.try_emplace(request.account);
    AccountPool &pool = found->second;
    if (isNew || now > pool.refilledAt + options_.idleRetention) {
        // Another process may have been the coordinator until now and granted the tokens of the same period.
        pool = { .level = limit.tokensPerSecond * toSeconds(options_.period) * options_.newCoordinatorLevel, .refilledAt = now, .requesters = {} };
    }
    refill(pool, limit, now);
    auto requester = std::find_if(pool.requesters.begin(), pool.requesters.end(), [from](const Requester &other) { return other.incarnation == from; });
    if (requester == pool.requesters.end()) {
        requester = pool.requesters.insert(pool.requesters.end(), { .incarnation = from });
    }
    pool.level += std::max(0.0, -request.wanted);
    requester->requestedTokens = std::max(0.0, request.wanted);
    requester->concurrencyDemand = request.concurrent;
    // Grants tokens and concurrency together: either one without the other would stay unused until the next grant request.
    const std::uint32_t grantedBefore = std::min(requester->grantedConcurrency, requester->concurrencyDemand);
    grantConcurrent(pool, *requester, limit);
    const bool noConcurrency = limit.maxConcurrent > 0 && requester->grantedConcurrency == 0;
    const double tokens = noConcurrency ? 0.0 : grantTokens(pool, *requester, limit);
    if (tokens <= 0.0 && requester->requestedTokens > 0.0 && limit.tokensPerSecond > 0.0) {
        requester->grantedConcurrency = grantedBefore;
    }
    double totalRequested = 0.0;
    std::uint32_t totalGranted = 0;
    for (const Requester &other : pool.requesters) {
        totalRequested += other.requestedTokens;
        totalGranted += other.grantedConcurrency;
    }
    const bool relaxed = totalRequested
            <= RelaxedShare * limit.tokensPerSecond * toSeconds(options_.period) + (limit.tokensPerSecond <= 0.0 ? totalRequested : 0.0)
        && (limit.maxConcurrent == 0 || totalGranted <= RelaxedShare * limit.maxConcurrent);
    const Micros validFor = relaxed ? options_.relaxedLease : options_.contendedLease;
    requester->grantsExpireAt = now + validFor + GrantExpiryMargin;
    return { .account = request.account, .tokens = tokens, .concurrent = requester->grantedConcurrency, .validFor = validFor };
}

void GrantCoordinator::forget(Incarnation requester)
{
    for (auto &[account, pool] : pools_) {
        std::erase_if(pool.requesters, [requester](const Requester &other) { return other.incarnation == requester; });
    }
}

std::uint32_t GrantCoordinator::grantedConcurrencyOf(const std::string &account) const
{
    const auto found = pools_.find(account);
    std::uint32_t totalGranted = 0;
    if (found != pools_.end()) {
        for (const Requester &requester : found->second.requesters) {
            totalGranted += requester.grantedConcurrency;
        }
    }
    return totalGranted;
}

} // namespace Carobhall
