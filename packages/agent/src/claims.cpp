#include "claims.h"

#include "carobhall/document.h"

namespace Carobhall
{

namespace
{

std::pair<std::string, std::string> keyOf(const Submit &submit)
{
    return { submit.account, submit.idempotencyKey };
}

std::string callDigest(const Submit &submit)
{
    return digestOf(submit.method + ' ' + submit.path + '\n' + submit.body);
}

} // namespace

void MemoryClaims::claim(const Submit &submit, std::function<void(ClaimOutcome)> done)
{
    const std::string digest = callDigest(submit);
    const auto [entry, isNew] = claims_.try_emplace(keyOf(submit), Claim{ .digest = digest, .stage = Stage::Running, .answer = {} });
    const Claim &claim = entry->second;
    if (isNew) {
        done(ClaimGranted{});
    } else if (claim.digest != digest) {
        done(ClaimRefusal{ .verdict = Verdict::NotRun, .error = Errc::Conflict, .message = "the Idempotency-Key was used for another call" });
    } else if (claim.answer) {
        done(StoredAnswer(*claim.answer));
    } else if (claim.stage == Stage::Running) {
        done(ClaimRefusal{ .verdict = Verdict::MayHaveRun, .error = Errc::Conflict, .message = "a call with this Idempotency-Key is running" });
    } else {
        done(ClaimRefusal{ .verdict = Verdict::MayHaveRun, .error = Errc::Conflict, .message = "a call with this Idempotency-Key may have run" });
    }
}

void MemoryClaims::release(const Submit &submit)
{
    claims_.erase(keyOf(submit));
}

void MemoryClaims::finish(const Submit &submit, std::optional<StoredAnswer> answer)
{
    if (const auto entry = claims_.find(keyOf(submit)); entry != claims_.end()) {
        entry->second.stage = Stage::Ended;
        entry->second.answer = std::move(answer);
    }
}

} // namespace Carobhall
