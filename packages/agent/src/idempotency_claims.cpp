#include "idempotency_claims.h"

#include "carobhall/document.h"

namespace Carobhall
{

namespace
{

ClaimKey keyOf(const Submit &submit)
{
    return { .account = submit.account, .service = submit.route, .key = submit.idempotencyKey };
}

std::string callDigest(const Submit &submit)
{
    return digestOf(submit.method + ' ' + submit.path + '\n' + submit.body);
}

std::string messageOf(const ClaimAnswer &answer)
{
    if (answer.error == Errc::PlatformUnavailable) {
        return "the Idempotency-Key could not be claimed in time";
    }
    if (answer.error == Errc::Conflict) {
        return "the Idempotency-Key was used for a different call";
    }
    if (answer.error == Errc::AlreadyExists) {
        return "a call with this Idempotency-Key is running or may have run";
    }
    if (answer.error == Errc::KeyExpired) {
        return "the Idempotency-Key has expired";
    }
    if (answer.error == Errc::TooLarge) {
        return "the call ran, but its answer was too large to be stored";
    }
    return answer.verdict == Verdict::NotRun ? "the Idempotency-Key could not be claimed" : "a call with this Idempotency-Key may have run";
}

/// The error that is reported to callers. A key that is in use is always a conflict, whether the other call is running or has
/// ended.
Errc errorOf(const ClaimAnswer &answer)
{
    if (answer.error == Errc::AlreadyExists) {
        return Errc::Conflict;
    }
    return answer.error.category() == errorCategory() ? static_cast<Errc>(answer.error.value()) : Errc::PlatformUnavailable;
}

ClaimOutcome outcomeOf(ClaimAnswer answer)
{
    switch (answer.decision) {
    case ClaimDecision::Run:
        return ClaimGranted{};
    case ClaimDecision::Replay:
        return StoredAnswer{ .status = answer.result.status, .contentType = std::move(answer.result.contentType), .body = std::move(answer.result.body) };
    case ClaimDecision::Refused:
        break;
    }
    return ClaimRefusal{ .verdict = answer.verdict, .error = errorOf(answer), .message = messageOf(answer), .retryAfter = answer.retryAfter };
}

} // namespace

// NoClaims ----------------------------------------------------------------------------------------

void NoClaims::claim(const Submit & /*submit*/, std::function<void(ClaimOutcome)> done)
{
    done(ClaimRefusal{
        .verdict = Verdict::NotRun, .error = Errc::PlatformUnavailable, .message = "the agent has no platform to store the Idempotency-Key", .retryAfter = 0 });
}

void NoClaims::release(const Submit & /*submit*/)
{
}

void NoClaims::finish(const Submit & /*submit*/, std::optional<StoredAnswer> /*answer*/)
{
}

void NoClaims::tick(Micros /*now*/)
{
}

bool NoClaims::isIdle() const
{
    return true;
}

// PlatformClaims ----------------------------------------------------------------------------------

PlatformClaims::PlatformClaims(PlatformClient &client, const std::string &environment, Incarnation holder)
    : claims_(client, { .environment = environment, .holder = holder, .seed = holder })
{
    claims_.tick(monotonicNow(), wallClockNow());
}

void PlatformClaims::claim(const Submit &submit, std::function<void(ClaimOutcome)> done)
{
    claims_.claim(keyOf(submit), callDigest(submit), monotonicNow(),
                  [done = std::move(done)](ClaimAnswer answer, Micros /*now*/) { done(outcomeOf(std::move(answer))); });
}

void PlatformClaims::release(const Submit &submit)
{
    claims_.release(keyOf(submit), monotonicNow());
}

void PlatformClaims::finish(const Submit &submit, std::optional<StoredAnswer> answer)
{
    if (!answer) {
        claims_.markOutcomeUnknown(keyOf(submit), monotonicNow());
        return;
    }
    claims_.finish(keyOf(submit), { .status = answer->status, .contentType = std::move(answer->contentType), .body = std::move(answer->body) }, monotonicNow());
}

void PlatformClaims::tick(Micros now)
{
    claims_.tick(now, wallClockNow());
}

bool PlatformClaims::isIdle() const
{
    return claims_.isIdle();
}

} // namespace Carobhall
