#pragma once

#include "crocusmount/Counters.h"
#include "crocusmount/Effect.h"
#include "crocusmount/Event.h"
#include "crocusmount/ReducerOptions.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <vector>

namespace crocusmount {

/// Outcome of the claim of an idempotency key.
enum class ClaimResult {
    Won, ///< the key belongs to this request
    Taken, ///< the key belongs to another request
    Unavailable, ///< the store did not confirm the claim within the claim timeout; nothing was dispatched
};

/// The outcome of one request's claim.
struct ClaimDecision {
    RequestId request;
    ClaimResult result = ClaimResult::Unavailable;
};

/// Claims idempotency keys in the log of claims in the store, so that at most one instance runs a request that must not
/// run twice. The log consists of append-only shards. The head of a shard is moved by compare-and-swap, so an instance
/// can append a batch only after it has read all earlier batches. Each key is therefore won only once, even if
/// instances disagree about which of them are alive (docs/decisions/0003-claims.md).
class ClaimLog {
public:
    ClaimLog(const ReducerOptions&, Counters&);

    /// Queues the claim of a key. A later call of another method returns the decision.
    /// @param keyHash  see hashKey
    /// @param nonce    identifies the request, unique over all instances and their restarts
    void requestClaim(RequestId, std::string keyHash, std::string nonce, TimePoint now);
    /// Queues the release of a key whose request was never dispatched.
    void release(const std::string& keyHash, const std::string& nonce);
    /// Cancels the claim of a request, and releases the key in case the claim was or will be committed.
    void withdraw(RequestId);

    /// Processes the result of a read of a shard and appends the decisions that follow from it.
    void applyRead(const event::ClaimsRead&, TimePoint now, std::vector<ClaimDecision>&);
    /// Processes the result of a write to a shard and appends the decisions that follow from it.
    void applyAppend(const event::ClaimsAppended&, TimePoint now, std::vector<ClaimDecision>&);
    /// Starts the reads and writes that are due, and appends a decision of Unavailable for each request that exceeded
    /// the claim timeout.
    void advance(TimePoint now, Effects&, std::vector<ClaimDecision>&);

    /// @return the number of claimed keys that this instance knows of, over all shards
    std::size_t claimedKeyCount() const;

private:
    /// The store call in progress for a shard; there is at most one.
    enum class ShardState {
        Idle,
        Reading,
        Writing,
    };
    /// A claim or release that is not yet committed.
    struct Pending {
        RequestId request; ///< zero: no request waits for the result
        Claim claim;
        TimePoint requestedAt; ///< the claim timeout counts from here
    };
    /// The keys claimed by one batch of the log.
    struct BatchKeys {
        std::uint64_t sequence = 0;
        TimePoint writtenAt;
        std::vector<std::string> keyHashes;
    };
    /// This instance's copy of one shard of the log, and the claims and releases that it has yet to write there.
    struct Shard {
        ShardState state = ShardState::Idle;
        bool isCurrent = false; ///< the log was read, and every write since then was committed
        bool hasUnknownWrite = false; ///< an earlier write may still be committed, until a later one moves the head
        std::int64_t headRevision = 0; ///< store revision of the head, the condition of the next write
        std::uint64_t headSequence = 0; ///< sequence of the last known batch
        TimePoint lastStoreCallAt; ///< start of the last read or write
        std::deque<Pending> pending; ///< waits for the next write
        std::vector<Pending> writing; ///< in the write in progress
        /// Nonce of the request that has each key, by the key's hash.
        absl::flat_hash_map<std::string, std::string> nonceByKey;
        std::deque<BatchKeys> batches; ///< within the retention time, oldest first
    };

    Shard& shardOf(const std::string& keyHash);
    ShardId idOf(const Shard&) const;
    /// Applies the claims and releases of a committed batch.
    void applyBatch(Shard&, const ClaimBatch&);
    /// Decides the pending claims whose key is in the log, and drops the releases that are no longer needed.
    void resolvePending(Shard&, std::vector<ClaimDecision>&);
    /// Fails the claims that exceeded the claim timeout and releases their keys.
    void expirePending(Shard&, TimePoint now, std::vector<ClaimDecision>&);
    /// Removes the claims of batches older than the retention time.
    void removeExpired(Shard&, TimePoint now);
    /// Starts a read if the shard's log is not current, else a write of all pending claims and releases.
    void startStoreCall(Shard&, TimePoint now, Effects&);

    const ReducerOptions& m_options;
    Counters& m_counters;
    std::vector<Shard> m_shards; ///< by ShardId
};

} // namespace crocusmount
