#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"
#include "relay/LoadReport.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusmount::relay {

/// An instance that takes part in the exchange.
struct LoadPeer {
    InstanceId id;
    DataCentreId dataCentre;
    std::string address; ///< for datagrams

    bool operator==(const LoadPeer&) const = default;
};

/// A report on its way to another instance.
struct OutgoingLoadReport {
    std::string address;
    LoadReport report;
};

/// How instances learn what the others have running on the engines they share. In each data centre the two instances
/// of lowest id collect the reports of all, tell each other's data centres the sums, and tell their own what all of
/// them together hold. Any instance can collect; nothing is kept, so that one that goes costs a round at most.
///
/// The bytes sent per round grow with the product of instances and engines. Reports that would exceed the limit cover
/// one slice of the engines each, and consecutive rounds rotate through the slices.
///
/// The load pattern that it answers: many instances with a few streams each. What one of them has running, times the
/// number of instances, is no estimate of the whole: engines look full or empty by chance, and streams crowd on some.
class LoadExchange {
public:
    /// @param bytesPerRound  approximate limit on the bytes of reports that an instance sends or a collector receives
    ///                       from its data centre in a round; 0: no limit
    explicit LoadExchange(LoadPeer self, std::size_t bytesPerRound = 0);

    /// @param others  all other live instances
    void setPeers(std::vector<LoadPeer> others);

    /// Makes the reports of one round.
    /// @param own  what this instance has running
    /// @return the reports to send
    std::vector<OutgoingLoadReport> makeRound(std::vector<EngineLoad> own, TimePoint now);

    /// Takes in a report. Reports that are older than one taken before are passed over.
    void take(const LoadReport&, TimePoint now);

    /// Instances that are listed but not heard, as those cut off from the collectors, are taken to hold as much as the
    /// others.
    /// @return what the other instances hold on each engine, by its key; nothing where no fresh sum is known
    std::optional<EngineLoads> others(TimePoint now) const;

    /// An instance that died stays listed until its lease ends; the collectors of its data centre miss it sooner.
    /// @return keys of instances that are listed and not heard; nothing where no fresh sum is known
    std::set<std::uint64_t> silentInstances(TimePoint now) const;

    bool isCollector() const;
    /// @return whether this instance comes first in its data centre
    bool isFirst() const { return m_peers.at(m_self.dataCentre).front() == m_self; }

private:
    struct Received {
        std::uint64_t sequence = 0;
        TimePoint at;
        std::uint32_t instances = 1;
        EngineLoads engines; ///< merged from the latest report of each slice
        std::uint32_t sliceCount = 0;
        std::set<std::uint32_t> receivedSlices; ///< since sliceCount last changed
        bool isComplete = false; ///< all slices have been received at least once
        std::vector<std::uint64_t> silentInstances;
    };
    using Sources = std::map<std::string, Received>; ///< by instance, or by data centre

    void note(Sources&, const std::string& source, const LoadReport&, TimePoint now);
    std::vector<const LoadPeer*> collectorsOf(const DataCentreId&) const;
    std::uint32_t peerCount() const;
    LoadReport report(
        LoadScope, std::uint32_t instances, const std::vector<EngineLoad>&, std::size_t reportCount) const;
    const Received* bestSum(TimePoint now) const;
    std::vector<std::uint64_t> missedMembers(TimePoint now);

    LoadPeer m_self;
    std::size_t m_bytesPerRound;
    std::map<DataCentreId, std::vector<LoadPeer>> m_peers; ///< this instance included; by id within a data centre
    std::uint64_t m_sequence = 0;
    std::vector<EngineLoad> m_own; ///< as last reported
    Sources m_members; ///< of this data centre, where this instance collects
    std::map<InstanceId, TimePoint> m_lastHeard; ///< members, where this instance collects; listed ones at first
    Sources m_dataCentres; ///< the other data centres' sums
    Sources m_fleet; ///< sums over all, by collector
};

} // namespace crocusmount::relay
