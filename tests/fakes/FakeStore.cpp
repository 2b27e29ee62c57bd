#include "tests/fakes/FakeStore.h"

namespace crocusmount {

namespace {

    constexpr Duration CallTimeout = std::chrono::milliseconds(1500); ///< after which a caller gets an error

} // namespace

FakeStore::FakeStore(VirtualClock& clock)
    : m_clock(clock)
{
}

void FakeStore::read(const effect::ReadClaims& read, const Reply& reply)
{
    ++m_reads;
    if (down()) {
        m_clock.after(CallTimeout, [=] { reply(event::ClaimsRead { read.shard, false, 0, 0, {} }); });
        return;
    }
    m_clock.after(m_latency, [this, read, reply] {
        const Shard& shard = m_shards[read.shard];
        event::ClaimsRead event { read.shard, true, shard.headRevision, read.afterSequence, {} };
        for (const ClaimBatch& batch : shard.batches) {
            if (batch.sequence > read.afterSequence)
                event.batches.push_back(batch);
            event.headSequence = batch.sequence;
        }
        reply(event);
    });
}

event::ClaimsAppended FakeStore::apply(const effect::AppendClaims& append)
{
    Shard& shard = m_shards[append.shard];
    if (shard.headRevision != append.expectedHeadRevision)
        return { append.shard, WriteOutcome::Conflict, 0 };
    shard.headRevision = ++m_revision;
    shard.batches.push_back({ append.sequence, append.writtenAt, append.claims });
    return { append.shard, WriteOutcome::Committed, shard.headRevision };
}

void FakeStore::append(const effect::AppendClaims& append, const Reply& reply)
{
    ++m_writes;
    if (down()) {
        m_clock.after(CallTimeout, [=] { reply(event::ClaimsAppended { append.shard, WriteOutcome::Unknown, 0 }); });
        return;
    }
    if (m_delayWrite > Duration(0)) {
        // Simulates a write delayed in the network: the caller gets a timeout, and the write is still applied.
        m_clock.after(m_delayWrite, [this, append] { apply(append); });
        m_delayWrite = Duration(0);
        m_clock.after(CallTimeout, [=] { reply(event::ClaimsAppended { append.shard, WriteOutcome::Unknown, 0 }); });
        return;
    }
    const bool lose = m_loseReplies > 0;
    m_loseReplies -= lose ? 1 : 0;
    m_clock.after(m_latency, [this, append, reply, lose] {
        const auto result = apply(append);
        if (!lose)
            reply(result);
        else
            m_clock.after(CallTimeout, [=] {
                reply(event::ClaimsAppended { append.shard, WriteOutcome::Unknown, 0 });
            });
    });
}

Revision FakeStore::writeConfiguration(Revision base, std::vector<ConfigurationEntry> entries)
{
    if (down() || base != m_configurationRevision)
        return Revision();
    m_configurationRevision = Revision(++m_revision);
    for (ConfigurationEntry& entry : entries) {
        entry.modified = m_configurationRevision;
        m_configuration[entry.key] = entry;
    }
    return m_configurationRevision;
}

ConfigurationChange FakeStore::configuration() const
{
    ConfigurationChange change { Revision(), m_configurationRevision, {} };
    for (const auto& [key, entry] : m_configuration)
        change.entries.push_back(entry);
    return change;
}

} // namespace crocusmount
