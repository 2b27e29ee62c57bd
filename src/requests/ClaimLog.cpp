#include "requests/ClaimLog.h"

#include <algorithm>
#include <xxhash.h>

namespace crocusmount {

ClaimLog::ClaimLog(const ReducerOptions& options, Counters& counters)
    : m_options(options)
    , m_counters(counters)
    , m_shards(options.claimShards)
{
}

ClaimLog::Shard& ClaimLog::shardOf(const std::string& keyHash)
{
    return m_shards[XXH3_64bits(keyHash.data(), keyHash.size()) % m_shards.size()];
}

ShardId ClaimLog::idOf(const Shard& shard) const
{
    return ShardId(static_cast<std::uint32_t>(&shard - m_shards.data()));
}

void ClaimLog::requestClaim(RequestId request, std::string keyHash, std::string nonce, TimePoint now)
{
    Shard& shard = shardOf(keyHash);
    shard.pending.push_back({ request, Claim { std::move(keyHash), std::move(nonce), false }, now });
}

void ClaimLog::release(const std::string& keyHash, const std::string& nonce)
{
    shardOf(keyHash).pending.push_back({ RequestId(), Claim { keyHash, nonce, true }, TimePoint() });
}

void ClaimLog::withdraw(RequestId request)
{
    const auto belongsToRequest = [&](const Pending& pending) { return pending.request == request; };
    for (Shard& shard : m_shards) {
        const auto waiting = std::find_if(shard.pending.begin(), shard.pending.end(), belongsToRequest);
        if (waiting != shard.pending.end()) {
            // An earlier write of this claim may still be committed, so the claim becomes a release of the key.
            waiting->request = RequestId();
            waiting->claim.released = true;
            return;
        }
        const auto inWrite = std::find_if(shard.writing.begin(), shard.writing.end(), belongsToRequest);
        if (inWrite != shard.writing.end()) {
            inWrite->request = RequestId();
            release(inWrite->claim.keyHash, inWrite->claim.nonce);
            return;
        }
    }
}

void ClaimLog::applyBatch(Shard& shard, const ClaimBatch& batch)
{
    BatchKeys batchKeys { batch.sequence, batch.writtenAt, {} };
    for (const Claim& claim : batch.claims) {
        const auto found = shard.nonceByKey.find(claim.keyHash);
        if (claim.released) {
            if (found != shard.nonceByKey.end() && found->second == claim.nonce)
                shard.nonceByKey.erase(found);
            continue;
        }
        shard.nonceByKey.try_emplace(claim.keyHash, claim.nonce);
        batchKeys.keyHashes.push_back(claim.keyHash);
    }
    shard.batches.push_back(std::move(batchKeys));
    shard.headSequence = batch.sequence;
}

void ClaimLog::resolvePending(Shard& shard, std::vector<ClaimDecision>& decisions)
{
    std::deque<Pending> remaining;
    const auto isBeingReleased = [&remaining](const std::string& keyHash, const std::string& nonce) {
        return std::any_of(remaining.begin(), remaining.end(), [&](const Pending& each) {
            return each.claim.released && each.claim.keyHash == keyHash && each.claim.nonce == nonce;
        });
    };
    for (Pending& pending : shard.pending) {
        const auto found = shard.nonceByKey.find(pending.claim.keyHash);
        const bool isClaimed = found != shard.nonceByKey.end();
        const bool isOwnClaim = isClaimed && found->second == pending.claim.nonce;
        if (pending.claim.released) {
            if (isOwnClaim || shard.hasUnknownWrite)
                remaining.push_back(std::move(pending));
            continue;
        }
        if (isOwnClaim) {
            ++m_counters.claimsWon;
            decisions.push_back({ pending.request, ClaimResult::Won });
        } else if (isClaimed && !isBeingReleased(pending.claim.keyHash, found->second)) {
            decisions.push_back({ pending.request, ClaimResult::Taken });
        } else {
            remaining.push_back(std::move(pending));
        }
    }
    shard.pending = std::move(remaining);
}

void ClaimLog::applyRead(const event::ClaimsRead& event, TimePoint now, std::vector<ClaimDecision>& decisions)
{
    Shard& shard = m_shards.at(event.shard.value());
    if (shard.state != ShardState::Reading)
        return;
    shard.state = ShardState::Idle;
    if (!event.available)
        return;
    const bool isContiguous = event.batches.empty() || event.batches.front().sequence == shard.headSequence + 1;
    if (!isContiguous) {
        // The batches between the known ones and these were trimmed. These are all that remain of the log.
        shard.nonceByKey.clear();
        shard.batches.clear();
    }
    for (const ClaimBatch& batch : event.batches)
        applyBatch(shard, batch);
    shard.headRevision = event.headRevision;
    shard.headSequence = event.headSequence;
    shard.isCurrent = true;
    removeExpired(shard, now);
    resolvePending(shard, decisions);
}

void ClaimLog::applyAppend(const event::ClaimsAppended& event, TimePoint now, std::vector<ClaimDecision>& decisions)
{
    Shard& shard = m_shards.at(event.shard.value());
    if (shard.state != ShardState::Writing)
        return;
    shard.state = ShardState::Idle;
    ClaimBatch batch { shard.headSequence + 1, now, {} };
    for (const Pending& pending : shard.writing)
        batch.claims.push_back(pending.claim);
    const bool assumeCommitted = event.outcome == WriteOutcome::Unknown && !m_options.guards.settleUnknownClaims;
    if (event.outcome == WriteOutcome::Committed) {
        applyBatch(shard, batch);
        shard.headRevision = event.revision;
        shard.hasUnknownWrite = false;
    } else {
        // After Unknown, the write may still be committed at any time. A read of the log that contains the write
        // settles its outcome. If the read does not contain it, only a further committed write rules it out.
        shard.isCurrent = false;
        shard.hasUnknownWrite = shard.hasUnknownWrite || event.outcome == WriteOutcome::Unknown;
    }
    for (Pending& pending : shard.writing) {
        const bool isSettled = event.outcome == WriteOutcome::Committed || assumeCommitted;
        if (isSettled && pending.claim.released)
            continue;
        if (isSettled && pending.request != RequestId()) {
            ++m_counters.claimsWon;
            decisions.push_back({ pending.request, ClaimResult::Won });
            continue;
        }
        if (!isSettled)
            shard.pending.push_front(std::move(pending));
    }
    shard.writing.clear();
    // A claim that was withdrawn while it was being written must not be written again.
    std::erase_if(shard.pending,
        [](const Pending& pending) { return pending.request == RequestId() && !pending.claim.released; });
}

void ClaimLog::expirePending(Shard& shard, TimePoint now, std::vector<ClaimDecision>& decisions)
{
    for (Pending& pending : shard.pending) {
        if (pending.request == RequestId() || now - pending.requestedAt < m_options.claimTimeout)
            continue;
        decisions.push_back({ pending.request, ClaimResult::Unavailable });
        pending.request = RequestId();
        pending.claim.released = true;
    }
    for (Pending& pending : shard.writing) {
        if (pending.request == RequestId() || now - pending.requestedAt < m_options.claimTimeout)
            continue;
        decisions.push_back({ pending.request, ClaimResult::Unavailable });
        pending.request = RequestId();
        release(pending.claim.keyHash, pending.claim.nonce);
    }
}

void ClaimLog::removeExpired(Shard& shard, TimePoint now)
{
    while (!shard.batches.empty() && now - shard.batches.front().writtenAt > m_options.claimRetention) {
        for (const std::string& keyHash : shard.batches.front().keyHashes)
            shard.nonceByKey.erase(keyHash);
        shard.batches.pop_front();
    }
}

void ClaimLog::startStoreCall(Shard& shard, TimePoint now, Effects& effects)
{
    shard.lastStoreCallAt = now;
    if (!shard.isCurrent) {
        shard.state = ShardState::Reading;
        ++m_counters.claimReads;
        effects.push_back(effect::ReadClaims { idOf(shard), shard.headSequence });
        return;
    }
    shard.state = ShardState::Writing;
    ++m_counters.claimWrites;
    removeExpired(shard, now);
    effect::AppendClaims append { idOf(shard), shard.headRevision, shard.headSequence + 1,
        shard.batches.empty() ? 0 : shard.batches.front().sequence, now, {} };
    for (Pending& pending : shard.pending) {
        append.claims.push_back(pending.claim);
        shard.writing.push_back(std::move(pending));
    }
    shard.pending.clear();
    effects.push_back(std::move(append));
}

void ClaimLog::advance(TimePoint now, Effects& effects, std::vector<ClaimDecision>& decisions)
{
    for (Shard& shard : m_shards) {
        expirePending(shard, now, decisions);
        if (shard.state == ShardState::Idle && shard.isCurrent)
            resolvePending(shard, decisions);
        if (shard.state == ShardState::Idle && !shard.pending.empty()
            && now - shard.lastStoreCallAt >= m_options.minClaimCallInterval)
            startStoreCall(shard, now, effects);
    }
}

std::size_t ClaimLog::claimedKeyCount() const
{
    std::size_t count = 0;
    for (const Shard& shard : m_shards)
        count += shard.nonceByKey.size();
    return count;
}

} // namespace crocusmount
