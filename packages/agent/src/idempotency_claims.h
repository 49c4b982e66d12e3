#pragma once

// Claims the Idempotency-Key of a non-repeatable call before the call is sent to the upstream, or returns the result of the
// earlier call that claimed it.

#include "carobhall/claims.h"
#include "carobhall/messages.h"

namespace Carobhall
{

/// The stored answer of an earlier call with the same key.
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

struct ClaimRefusal {
    Verdict verdict = Verdict::NotRun;
    Errc error = Errc::Conflict;
    std::string message;
    Micros retryAfter = 0; ///< 0: no recommendation.
};

/// The key is claimed: run the call, then call either finish() or release().
struct ClaimGranted {
};

using ClaimOutcome = std::variant<ClaimGranted, StoredAnswer, ClaimRefusal>;

/// Not thread-safe.
class IdempotencyClaims
{
public:
    virtual ~IdempotencyClaims() = default;
    IdempotencyClaims() = default;
    IdempotencyClaims(const IdempotencyClaims &) = delete;
    IdempotencyClaims &operator=(const IdempotencyClaims &) = delete;

    /// Claims the key of \p submit for its account. \p done is called exactly once, possibly before claim() returns.
    virtual void claim(const Submit &submit, std::function<void(ClaimOutcome)> done) = 0;
    /// Withdraws the claim of a call that was certainly not sent to the upstream, so that a retry can run it.
    virtual void release(const Submit &submit) = 0;
    /// Ends the claim of a call that has ended. Without \p answer, the outcome counts as unknown.
    virtual void finish(const Submit &submit, std::optional<StoredAnswer> answer) = 0;
    /// Call it every 10 ms.
    virtual void tick(Micros now) = 0;
    /// Whether no claim is in progress and all results are durable. A graceful shutdown waits for this.
    [[nodiscard]] virtual bool isIdle() const = 0;
};

/// Used without a platform, where no claim can be stored: refuses every claim with Verdict::NotRun.
class NoClaims : public IdempotencyClaims
{
public:
    void claim(const Submit &submit, std::function<void(ClaimOutcome)> done) override;
    void release(const Submit &submit) override;
    void finish(const Submit &submit, std::optional<StoredAnswer> answer) override;
    void tick(Micros now) override;
    [[nodiscard]] bool isIdle() const override;
};

/// Stores claims in sharded objects of the platform, so that they outlive this process.
class PlatformClaims : public IdempotencyClaims
{
public:
    /// \p client must outlive this object, and its owner must call its tick(). \p environment is the name of the environment
    /// document. \p holder is the incarnation of this process.
    PlatformClaims(PlatformClient &client, const std::string &environment, Incarnation holder);

    void claim(const Submit &submit, std::function<void(ClaimOutcome)> done) override;
    void release(const Submit &submit) override;
    void finish(const Submit &submit, std::optional<StoredAnswer> answer) override;
    void tick(Micros now) override;
    [[nodiscard]] bool isIdle() const override;

private:
    Claims claims_;
};

} // namespace Carobhall
