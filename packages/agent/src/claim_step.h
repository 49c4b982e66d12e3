#pragma once

// The step before a call that must not be repeated and carries an Idempotency-Key: claim the key, or get what became of it.

#include "carobhall/claims.h"
#include "carobhall/messages.h"

namespace Carobhall
{

/// The answer of an earlier call with the same key.
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

struct ClaimRefusal {
    Verdict verdict = Verdict::NotRun;
    Errc error = Errc::Conflict;
    std::string message;
    Micros retryAfter = 0; ///< 0: no advice.
};

/// The key is claimed: run the call, then call either finish() or release().
struct ClaimGranted {
};

using ClaimOutcome = std::variant<ClaimGranted, StoredAnswer, ClaimRefusal>;

/// Not thread-safe.
class ClaimStep
{
public:
    virtual ~ClaimStep() = default;
    ClaimStep() = default;
    ClaimStep(const ClaimStep &) = delete;
    ClaimStep &operator=(const ClaimStep &) = delete;

    /// Claims the key of \p submit for its account. \p done is called once, at once or later.
    virtual void claim(const Submit &submit, std::function<void(ClaimOutcome)> done) = 0;
    /// The claimed call was certainly not handed to the upstream: the key is free again.
    virtual void release(const Submit &submit) = 0;
    /// The claimed call has ended; without an answer it may have run.
    virtual void finish(const Submit &submit, std::optional<StoredAnswer> answer) = 0;
    /// Call it every 10 ms.
    virtual void tick(Micros now) = 0;
    /// Whether everything that was claimed is durable. A graceful shutdown waits for it.
    [[nodiscard]] virtual bool isIdle() const = 0;
};

/// Without a platform nothing can be claimed: each claim is refused as not run.
class NoClaims : public ClaimStep
{
public:
    void claim(const Submit &submit, std::function<void(ClaimOutcome)> done) override;
    void release(const Submit &submit) override;
    void finish(const Submit &submit, std::optional<StoredAnswer> answer) override;
    void tick(Micros now) override;
    [[nodiscard]] bool isIdle() const override;
};

/// Claims in shards on the platform, which outlive this process.
class PlatformClaims : public ClaimStep
{
public:
    /// \p client must outlive the claims and is ticked by its owner. \p environment is the name of the environment document.
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
