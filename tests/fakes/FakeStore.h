#pragma once

#include "crocusmount/Claim.h"
#include "crocusmount/ConfigurationChange.h"
#include "crocusmount/Effect.h"
#include "crocusmount/Event.h"
#include "tests/fakes/VirtualClock.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace crocusmount {

/// In-memory store in virtual time. It holds one log of claims per shard, appended to by compare-and-swap on the head
/// revision, and the configuration. It can simulate outages, lost replies and delayed writes.
class FakeStore {
public:
    using Reply = std::function<void(EventBody)>;

    explicit FakeStore(VirtualClock&);

    /// Replies with event::ClaimsRead after the latency, or with a failure after the call timeout while it is down.
    void read(const effect::ReadClaims&, const Reply&);
    /// Replies with event::ClaimsAppended. The outcome is Unknown, after the call timeout, if the store is down, the
    /// write is delayed or its reply is lost.
    void append(const effect::AppendClaims&, const Reply&);
    /// Writes entries of the configuration.
    /// @param base the revision that the configuration must have
    /// @return the new revision, or 0 on conflict or while the store is down
    Revision writeConfiguration(Revision base, std::vector<ConfigurationEntry>);
    /// @return the whole configuration
    ConfigurationChange configuration() const;
    Revision revision() const { return m_configurationRevision; }

    void setDownUntil(TimePoint time) { m_downUntil = time; }
    /// @return the end of the latest outage, in the future during an outage
    TimePoint upSince() const { return m_downUntil; }
    bool down() const { return m_clock.now() < m_downUntil; }
    /// The next writes of claims are applied, but their replies are lost.
    void loseNextReplies(std::uint32_t count) { m_loseReplies = count; }
    /// The next write of claims is applied only after this span; its caller gets a timeout.
    void delayNextWrite(Duration span) { m_delayWrite = span; }
    /// The reply to the next read of the configuration holds the state at the time of the read, but arrives after this
    /// span.
    void delayNextConfigurationRead(Duration span) { m_delayRead = span; }
    /// @return the delay for the next read of the configuration, which is reset to 0
    Duration takeReadDelay() { return std::exchange(m_delayRead, Duration(0)); }
    void setLatency(Duration latency) { m_latency = latency; }

    /// @return number of reads of claims, including failed ones
    std::uint64_t reads() const { return m_reads; }
    /// @return number of writes of claims, including failed ones
    std::uint64_t writes() const { return m_writes; }

private:
    /// The log of one shard of the claims.
    struct Shard {
        std::int64_t headRevision = 0; ///< store revision of the latest append; 0: none
        std::vector<ClaimBatch> batches;
    };

    /// Appends the batch if the head still has the expected revision.
    event::ClaimsAppended apply(const effect::AppendClaims&);

    VirtualClock& m_clock;
    std::map<ShardId, Shard> m_shards;
    std::map<std::string, ConfigurationEntry> m_configuration;
    Revision m_configurationRevision;
    std::int64_t m_revision = 1; ///< of the latest write, whether of claims or configuration
    TimePoint m_downUntil;
    std::uint32_t m_loseReplies = 0; ///< number of replies still to lose
    Duration m_delayWrite {}; ///< delay of the next write of claims; 0: none
    Duration m_delayRead {}; ///< delay of the next read of the configuration; 0: none
    Duration m_latency = std::chrono::milliseconds(3);
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

} // namespace crocusmount
