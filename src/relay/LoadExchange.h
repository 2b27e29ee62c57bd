#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"
#include "relay/LoadReport.h"
#include "relay/ReturnAnnouncements.h"

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
    std::string address; ///< the address to which reports are sent as datagrams

    bool operator==(const LoadPeer&) const = default;
};

/// A report to send to another instance.
struct OutgoingLoadReport {
    std::string address;
    LoadReport report;
};

/// Tells each instance the load that the other instances put on the engines that they all share. Without the exchange,
/// an instance could only multiply its own load by the number of instances. With many instances that run a few streams
/// each, such an estimate makes engines look full or empty by chance, and streams crowd on some of them.
///
/// Each round has two stages. All instances of a data centre report to its collectors, the two instances of lowest id.
/// The collectors send the sum of their data centre to the collectors of the other data centres, and the sum of all
/// data centres to the instances of their own. Any instance can collect, and no state outlives the lifetime of a
/// report, so losing a collector costs at most one round.
///
/// The bytes sent per round grow with the product of instances and engines. Reports that would exceed the limit cover
/// one slice of the engines each, and consecutive rounds rotate through the slices.
class LoadExchange {
public:
    /// A report counts for this long. Covers several rounds, because some datagrams may be lost.
    static constexpr Duration ReportLifetime = std::chrono::milliseconds(900);

    /// @param bytesPerRound  approximate limit on the bytes of reports that an instance sends or a collector receives
    ///                       from its data centre in a round; 0: no limit
    explicit LoadExchange(LoadPeer self, std::size_t bytesPerRound = 0);

    /// Sets who takes part. An instance that has left the list stays as long as it reports, but collects nothing: while
    /// it drains, its calls load the servers, and callers still ask it which instances reach them.
    /// @param others  all other listed instances
    void setPeers(std::vector<LoadPeer> others, TimePoint now);

    /// Sets whether this instance reaches no backend server, although others do.
    void setCutOff(bool isCutOff) { m_isCutOff = isCutOff; }

    /// Sets whether this instance is shutting down, so that the others no longer list it. Applies from the next
    /// setPeers() on.
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }

    /// @return whether another instance has reported lately, as of the last setPeers()
    bool hearsOthers() const { return !m_lastReports.empty(); }

    /// Starts a round and returns the reports to send in it.
    /// @param own  the load that this instance puts on each engine
    std::vector<OutgoingLoadReport> makeRound(std::vector<EngineLoad> own, TimePoint now);

    /// Handles a received report. Reports of one instance and sums of the fleet are ignored unless their sequence
    /// number is higher than that of the sender's last report. The last received sum of a data centre always counts.
    void receive(const LoadReport&, TimePoint now);

    /// Instances that are listed but not included in the sum, for example because they are cut off from the collectors,
    /// are assumed to put as much load on each engine as the average of the included ones.
    /// @return the load that the other instances put on each engine, or nothing if no fresh sum is known
    std::optional<EngineLoads> loadOfOthers(TimePoint now) const;

    /// A dead instance stays listed until its lease ends. The collectors of its data centre notice its silence sooner.
    /// @return keys of instances that are listed but silent, see instanceKey; empty if no fresh sum is known
    std::set<std::uint64_t> silentInstances(TimePoint now) const;

    /// @return keys of the instances that reach no backend server, although others do, see instanceKey; only this
    ///         instance if no fresh sum is known
    std::set<std::uint64_t> cutOffInstances(TimePoint now) const;

    /// Announces that the caller of a refused call was given a time to return at.
    void announceReturn(const PromisedReturn& promise) { m_returns.add(promise); }
    /// @return such promises of other instances that arrived since the last call
    std::vector<PromisedReturn> takeReturns() { return m_returns.takeReceived(); }

    bool isCollector() const;
    /// @return whether this instance has the lowest id in its data centre
    bool hasLowestId() const;

private:
    /// The state of one source of reports: an instance or a data centre.
    struct Source {
        std::uint64_t lastSequence = 0;
        TimePoint lastReceivedAt;
        std::uint32_t instances = 1; ///< number of instances whose load is included
        EngineLoads engines; ///< merged from the latest report of each slice
        std::uint32_t sliceCount = 0;
        std::set<std::uint32_t> receivedSlices; ///< since sliceCount last changed
        bool isComplete = false; ///< all slices have been received at least once
        std::vector<std::uint64_t> silentInstances; ///< as of the last report
        std::vector<std::uint64_t> cutOffInstances; ///< as of the last report
    };
    using Sources = std::map<std::string, Source>; ///< by id of the instance or data centre

    /// Merges a report into the state of its source, and removes sources whose last report has expired.
    void mergeReport(Sources&, const std::string& source, const LoadReport&, TimePoint now);
    /// @return the collectors of a data centre: the first CollectorCount instances by id
    std::vector<const LoadPeer*> collectorsOf(const DataCentreId&) const;
    /// @return the number of instances that take part, this one included
    std::uint32_t peerCount() const;
    LoadReport makeReport(
        LoadScope, std::uint32_t instances, const std::vector<EngineLoad>&, std::size_t reportCount) const;
    const Source* bestFleetSum(TimePoint now) const;
    std::vector<std::uint64_t> silentMembers(TimePoint now);

    LoadPeer m_self;
    std::size_t m_bytesPerRound; ///< 0: no limit
    /// The listed instances sorted by id, this one included unless it is leaving.
    std::map<DataCentreId, std::vector<LoadPeer>> m_peers;
    std::vector<LoadPeer> m_unlisted; ///< instances of this data centre that still report, without this one
    std::map<InstanceId, TimePoint> m_lastReports; ///< when each of the other peers last sent a report of any scope
    ReturnAnnouncements m_returns;
    bool m_isCutOff = false; ///< see setCutOff()
    bool m_isLeaving = false; ///< see setLeaving()
    std::uint64_t m_sequence = 0; ///< number of the current round
    std::vector<EngineLoad> m_ownLoads; ///< as of the last round
    Sources m_members; ///< instances of this data centre; used only while this instance is a collector
    /// When each listed instance of this data centre last reported, or was first seen in the list. Used only while this
    /// instance is a collector.
    std::map<InstanceId, TimePoint> m_lastHeard;
    Sources m_dataCentreSums; ///< sums of the other data centres
    Sources m_fleetSums; ///< sums of all data centres, by the collector that made them
};

} // namespace crocusmount::relay
