#pragma once

#include "crocusmount/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocusmount {

/// A record in the claim log: a request claims an idempotency key or releases its claim.
struct Claim {
    std::string keyHash; ///< 128-bit hash of workspace and idempotency key, as 32 hex digits
    std::string nonce; ///< identifies the claiming request; unique across all instances and their restarts
    bool released = false; ///< whether the claim is released because its request was never dispatched

    bool operator==(const Claim&) const = default;
};

/// The claims that one write appended to a shard of the claim log.
struct ClaimBatch {
    std::uint64_t sequence = 0; ///< position in the shard's log; consecutive batches differ by 1
    TimePoint writtenAt;
    std::vector<Claim> claims;
};

/// The outcome of a conditional write to the store, as far as the writer knows it.
enum class WriteOutcome {
    Committed,
    Conflict, ///< the condition did not hold; nothing was written
    Unknown, ///< no reply arrived; the write may have taken effect or may do so later
    NotSent, ///< no byte of the write was sent, or the store rejected it; nothing was written
};

} // namespace crocusmount
