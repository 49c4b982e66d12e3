#pragma once

// The step before a call that must not be repeated and carries an Idempotency-Key: claim the key, or get what became of it.

#include "carobhall/messages.h"

#include <functional>

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
};

/// The key is claimed: run the call, then finish().
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
};

/// Claims in this process's memory: lost when the agent ends.
class MemoryClaims : public ClaimStep
{
public:
    void claim(const Submit &submit, std::function<void(ClaimOutcome)> done) override;
    void release(const Submit &submit) override;
    void finish(const Submit &submit, std::optional<StoredAnswer> answer) override;

private:
    enum class Stage : std::uint8_t { Running, Ended };

    struct Claim {
        std::string digest; ///< Of method, path and body.
        Stage stage = Stage::Running;
        std::optional<StoredAnswer> answer;
    };

    std::map<std::pair<std::string, std::string>, Claim> claims_; ///< By account and key.
};

} // namespace Carobhall
