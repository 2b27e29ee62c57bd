#pragma once

#include "crocusmount/Reason.h"

#include <array>
#include <cstdint>

namespace crocusmount {

/// Monotonic counters of the core. The shell exports them as metrics.
struct Counters {
    std::uint64_t requests = 0; ///< requests received
    std::uint64_t completed = 0; ///< requests answered completely
    std::uint64_t joined = 0; ///< requests that joined an open request with their idempotency key
    std::uint64_t replayed = 0; ///< requests answered from memory because their idempotency key was known
    std::uint64_t attempts = 0; ///< attempts started
    std::uint64_t tokens = 0; ///< tokens received and delivered; a token for several callers counts once
    std::uint64_t tokensWasted = 0; ///< tokens received but not delivered
    std::uint64_t resumed = 0; ///< attempts that continued a partly delivered answer
    std::uint64_t claimWrites = 0; ///< writes to the claim log
    std::uint64_t claimReads = 0; ///< reads of the claim log
    std::uint64_t claimsWon = 0; ///< idempotency keys claimed by requests of this instance
    std::uint64_t configurationsApplied = 0;
    std::uint64_t configurationsIgnored = 0; ///< changes that were outdated or lacked an earlier change
    std::uint64_t configurationObjectsRejected = 0; ///< configured objects that were invalid
    std::array<std::uint64_t, ReasonCount> refused {}; ///< requests refused or failed, by reason
    std::array<std::uint64_t, ReasonCount> retried {}; ///< attempts that failed, by reason
    std::array<std::uint64_t, ReasonCount> dropped {}; ///< frames dropped, by reason

    /// @return the counter of a reason in one of the arrays above
    static std::uint64_t& at(std::array<std::uint64_t, ReasonCount>& counts, Reason reason)
    {
        return counts[static_cast<std::size_t>(reason)];
    }
};

} // namespace crocusmount
