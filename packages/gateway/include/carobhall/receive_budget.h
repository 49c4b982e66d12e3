#pragma once

// Limits the bytes of requests that a gateway holds for all callers together.
//
//     ReceiveBudget budget({ .memoryLimit = settings.memoryLimit });
//     ReceiveGrant grant = budget.take(bodyBytes);      // once the head of a request is known, before its body is read
//     if (!grant) { ... hold the input of the connection, and try again ... }
//     grant.resize(bytes);                              // the body turns out longer, or is complete
//     // the grant is returned when it is destroyed, after the request has ended
//
// A request with a body takes ReceiveCopies times its size: the body is kept for a second attempt while a copy is sent. Small requests
// keep a reserve, so that large ones never take everything. A single large request is always admitted.
//
// Decision logic only: no I/O.

#include "carobhall/base.h"

namespace Carobhall
{

/// Bytes that are held for each byte of a body.
inline constexpr std::size_t ReceiveCopies = 2;

struct ReceiveBudgetOptions {
    std::size_t memoryLimit = std::size_t{ 88 } << 20U; ///< Of the process, in bytes.
    double share = 0.25;                                ///< Of the memory limit, for requests; responses have as much (ResponseBudget).
    double smallReserve = 0.25;                         ///< Part of the budget that only small requests may use.
    std::size_t smallBytes = std::size_t{ 64 } << 10U;  ///< Size of a body up to which a request is small.
};

class ReceiveBudget;

/// The bytes that one request may hold. Movable; empty after a move. Not thread-safe. The budget outlives it.
class ReceiveGrant
{
public:
    ReceiveGrant() = default;
    ~ReceiveGrant();
    ReceiveGrant(ReceiveGrant &&other) noexcept;
    ReceiveGrant &operator=(ReceiveGrant &&other) noexcept;
    ReceiveGrant(const ReceiveGrant &) = delete;
    ReceiveGrant &operator=(const ReceiveGrant &) = delete;

    /// Whether it was granted.
    explicit operator bool() const;
    /// Size of the body that is granted.
    [[nodiscard]] std::size_t bodyBytes() const;
    /// Changes the grant to a body of \p bodyBytes. Returns false, and changes nothing, if it cannot grow so far now. Precondition: it was granted.
    [[nodiscard]] bool resize(std::size_t bodyBytes);

private:
    friend class ReceiveBudget;
    ReceiveGrant(ReceiveBudget *budget, std::size_t bodyBytes);

    ReceiveBudget *budget_ = nullptr;
    std::size_t bodyBytes_ = 0;
};

/// Not thread-safe.
class ReceiveBudget
{
public:
    explicit ReceiveBudget(const ReceiveBudgetOptions &options);

    /// A grant for a body of \p bodyBytes, or an empty one if there is no room now.
    [[nodiscard]] ReceiveGrant take(std::size_t bodyBytes);
    /// Bytes that all grants together hold.
    [[nodiscard]] std::size_t held() const;
    [[nodiscard]] std::size_t limit() const;
    /// Whether a body of this size counts as small.
    [[nodiscard]] bool isSmall(std::size_t bodyBytes) const;
    [[nodiscard]] std::size_t smallBytes() const;

private:
    friend class ReceiveGrant;
    /// Whether a request that holds \p before may hold \p after.
    [[nodiscard]] bool allows(std::size_t before, std::size_t after) const;
    void change(std::size_t before, std::size_t after);

    ReceiveBudgetOptions options_;
    std::size_t held_ = 0;
    std::size_t large_ = 0; ///< Part of held_ of requests that are not small.
};

} // namespace Carobhall
