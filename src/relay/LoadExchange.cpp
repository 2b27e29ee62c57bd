#include "relay/LoadExchange.h"

#include <algorithm>
#include <xxhash.h>

namespace crocusmount::relay {

namespace {

    /// Collectors of each data centre. While one of them is dead but still listed, the sums of the other are used.
    constexpr std::size_t CollectorCount = 2;
    /// A member that has not reported for longer than this is assumed to be dead, and no callers are sent there. Twice
    /// the lifetime of a report, so that a few lost datagrams do not cost an instance its callers.
    constexpr Duration MaxMemberSilence = 2 * LoadExchange::ReportLifetime;

    /// Maximum encoded size of one EngineLoad.
    constexpr std::size_t MaxEngineLoadBytes = 20;
    /// Limits the overhead of report headers.
    constexpr std::size_t MinEnginesPerReport = 16;

    /// The hash is seeded with the number of slices, so that engines are distributed independently for each number.
    /// When the number changes, a sum may be only partly updated.
    /// @return the index of the slice to which an engine belongs
    std::uint32_t sliceOf(std::uint64_t engine, std::uint32_t slices)
    {
        return static_cast<std::uint32_t>(XXH3_64bits_withSeed(&engine, sizeof(engine), slices) % slices);
    }

    void addLoads(EngineLoads& sums, const EngineLoads& loads)
    {
        for (const auto& [engine, load] : loads) {
            EngineLoad& sum = sums[engine];
            sum.engine = engine;
            sum.tokenLayers += load.tokenLayers;
            sum.calls += load.calls;
            sum.avoiders += load.avoiders;
            sum.contacts += load.contacts;
        }
    }

    std::vector<EngineLoad> toVector(const EngineLoads& sums)
    {
        std::vector<EngineLoad> loads;
        loads.reserve(sums.size());
        for (const auto& [engine, load] : sums)
            loads.push_back(load);
        return loads;
    }

} // namespace

std::uint64_t engineKey(const BackendId& id, StartTime startedAt)
{
    return XXH3_64bits_withSeed(id.value().data(), id.value().size(), static_cast<XXH64_hash_t>(startedAt.value()));
}

std::uint64_t instanceKey(const InstanceId& id) { return XXH3_64bits(id.value().data(), id.value().size()); }

LoadExchange::LoadExchange(LoadPeer self, std::size_t bytesPerRound)
    : m_self(std::move(self))
    , m_bytesPerRound(bytesPerRound)
{
    m_peers[m_self.dataCentre].push_back(m_self);
}

void LoadExchange::setPeers(std::vector<LoadPeer> others, TimePoint now)
{
    std::erase_if(m_lastReports, [&](const auto& each) { return now - each.second > ReportLifetime; });
    std::vector<LoadPeer> known = std::move(m_unlisted);
    std::move(m_peers[m_self.dataCentre].begin(), m_peers[m_self.dataCentre].end(), std::back_inserter(known));
    m_peers.clear();
    if (!m_isLeaving)
        m_peers[m_self.dataCentre].push_back(m_self);
    for (LoadPeer& peer : others)
        m_peers[peer.dataCentre].push_back(std::move(peer));
    for (auto& [dataCentre, peers] : m_peers)
        std::sort(peers.begin(), peers.end(), [](const LoadPeer& a, const LoadPeer& b) { return a.id < b.id; });
    const std::vector<LoadPeer>& listed = m_peers[m_self.dataCentre];
    const auto isListed = [&](const LoadPeer& peer) {
        return std::any_of(listed.begin(), listed.end(),
            [&](const LoadPeer& other) { return other.id == peer.id || other.address == peer.address; });
    };
    m_unlisted.clear();
    std::copy_if(known.begin(), known.end(), std::back_inserter(m_unlisted),
        [&](const LoadPeer& peer) { return m_lastReports.count(peer.id) && !isListed(peer); });
}

std::vector<const LoadPeer*> LoadExchange::collectorsOf(const DataCentreId& dataCentre) const
{
    std::vector<const LoadPeer*> collectors;
    const auto peers = m_peers.find(dataCentre);
    if (peers == m_peers.end())
        return collectors;
    for (const LoadPeer& peer : peers->second) {
        if (collectors.size() < CollectorCount)
            collectors.push_back(&peer);
    }
    return collectors;
}

bool LoadExchange::hasLowestId() const
{
    const auto listed = m_peers.find(m_self.dataCentre);
    return listed != m_peers.end() && !listed->second.empty() && listed->second.front() == m_self;
}

bool LoadExchange::isCollector() const
{
    const auto collectors = collectorsOf(m_self.dataCentre);
    return std::any_of(collectors.begin(), collectors.end(), [&](const LoadPeer* each) { return *each == m_self; });
}

/// @param reportCount  the number of reports that share the byte limit of a round
/// @return a report of all engines, or of this round's slice if all engines would exceed the limit
LoadReport LoadExchange::makeReport(
    LoadScope scope, std::uint32_t instances, const std::vector<EngineLoad>& engines, std::size_t reportCount) const
{
    LoadReport report { m_self.id, m_self.dataCentre, m_sequence, scope, instances, {}, {} };
    if (m_bytesPerRound) {
        const std::size_t bytesPerReport = m_bytesPerRound / std::max<std::size_t>(1, reportCount);
        const std::size_t enginesPerReport = std::max(MinEnginesPerReport, bytesPerReport / MaxEngineLoadBytes);
        report.slices = static_cast<std::uint32_t>(
            std::max<std::size_t>(1, (engines.size() + enginesPerReport - 1) / enginesPerReport));
        report.slice = static_cast<std::uint32_t>(m_sequence % report.slices);
    }
    for (const EngineLoad& load : engines) {
        if (sliceOf(load.engine, report.slices) == report.slice)
            report.engines.push_back(load);
    }
    return report;
}

/// @return keys of the instances of this data centre that are listed and have not reported for MaxMemberSilence
std::vector<std::uint64_t> LoadExchange::silentMembers(TimePoint now)
{
    const std::vector<LoadPeer>& listed = m_peers[m_self.dataCentre];
    std::erase_if(m_lastHeard, [&](const auto& heard) {
        return std::none_of(listed.begin(), listed.end(), [&](const LoadPeer& peer) { return peer.id == heard.first; });
    });
    std::vector<std::uint64_t> silent;
    for (const LoadPeer& peer : listed) {
        const TimePoint lastHeard = m_lastHeard.try_emplace(peer.id, now).first->second;
        if (now - lastHeard > MaxMemberSilence)
            silent.push_back(instanceKey(peer.id));
    }
    return silent;
}

std::uint32_t LoadExchange::peerCount() const
{
    std::size_t count = m_unlisted.size() + (m_isLeaving ? 1 : 0);
    for (const auto& [dataCentre, peers] : m_peers)
        count += peers.size();
    return static_cast<std::uint32_t>(count);
}

std::vector<OutgoingLoadReport> LoadExchange::makeRound(std::vector<EngineLoad> own, TimePoint now)
{
    std::vector<OutgoingLoadReport> outgoing;
    ++m_sequence;
    const std::vector<LoadPeer>& listed = m_peers[m_self.dataCentre];
    const std::size_t memberCount = listed.size() + m_unlisted.size();
    // The limit is shared among all members, because a collector receives the reports of all of them in each round.
    LoadReport ownReport = makeReport(LoadScope::Instance, 1, own, memberCount);
    ownReport.promisedReturns = m_returns.announced(LoadScope::Instance);
    if (m_isCutOff)
        ownReport.cutOffInstances.push_back(instanceKey(m_self.id));
    m_ownLoads = std::move(own);
    for (const LoadPeer* collector : collectorsOf(m_self.dataCentre)) {
        if (!(*collector == m_self))
            outgoing.push_back({ collector->address, ownReport });
    }
    if (!isCollector()) {
        m_returns.endRound(now);
        m_lastHeard.clear();
        return outgoing;
    }
    // A collector always uses its own loads in full, even if its report covers only one slice.
    LoadReport fullReport = ownReport;
    fullReport.slice = 0;
    fullReport.slices = 1;
    fullReport.engines = m_ownLoads;
    receive(fullReport, now);
    const auto isFresh = [&](const Source& source) { return now - source.lastReceivedAt <= ReportLifetime; };
    EngineLoads sums;
    std::uint32_t instances = 0;
    std::vector<std::uint64_t> cutOff;
    const auto addFresh = [&](const Sources& sources) {
        for (const auto& [id, source] : sources) {
            if (!isFresh(source))
                continue;
            addLoads(sums, source.engines);
            instances += source.instances;
            cutOff.insert(cutOff.end(), source.cutOffInstances.begin(), source.cutOffInstances.end());
        }
    };
    addFresh(m_members);
    const std::size_t receiverCount = memberCount + (m_peers.size() - 1) * CollectorCount;
    LoadReport localReport = makeReport(LoadScope::DataCentre, instances, toVector(sums), receiverCount);
    localReport.silentInstances = silentMembers(now);
    localReport.cutOffInstances = cutOff;
    localReport.promisedReturns = m_returns.announced(LoadScope::DataCentre);
    for (const auto& [dataCentre, peers] : m_peers) {
        if (dataCentre == m_self.dataCentre)
            continue;
        for (const LoadPeer* collector : collectorsOf(dataCentre))
            outgoing.push_back({ collector->address, localReport });
    }
    addFresh(m_dataCentreSums);
    std::vector<EngineLoad> fleetLoads = toVector(sums);
    LoadReport fleetReport = makeReport(LoadScope::Fleet, instances, fleetLoads, receiverCount);
    fleetReport.silentInstances = localReport.silentInstances;
    fleetReport.cutOffInstances = std::move(cutOff);
    fleetReport.promisedReturns = m_returns.announced(LoadScope::Fleet);
    m_returns.endRound(now);
    for (const auto& [dataCentre, sum] : m_dataCentreSums) {
        const auto& silent = sum.silentInstances;
        if (isFresh(sum))
            fleetReport.silentInstances.insert(fleetReport.silentInstances.end(), silent.begin(), silent.end());
    }
    for (const auto* members : { &listed, &std::as_const(m_unlisted) }) {
        for (const LoadPeer& peer : *members) {
            if (!(peer == m_self))
                outgoing.push_back({ peer.address, fleetReport });
        }
    }
    // This instance uses the whole sum, even if the other instances receive only one slice of it.
    fleetReport.slice = 0;
    fleetReport.slices = 1;
    fleetReport.engines = std::move(fleetLoads);
    receive(fleetReport, now);
    return outgoing;
}

void LoadExchange::mergeReport(Sources& sources, const std::string& source, const LoadReport& report, TimePoint now)
{
    Source& state = sources[source];
    state.lastSequence = report.sequence;
    state.lastReceivedAt = now;
    state.instances = report.instances;
    if (report.slices == 1) {
        state.engines.clear();
    } else {
        std::erase_if(
            state.engines, [&](const auto& each) { return sliceOf(each.first, report.slices) == report.slice; });
    }
    for (const EngineLoad& load : report.engines)
        state.engines[load.engine] = load;
    if (std::exchange(state.sliceCount, report.slices) != report.slices)
        state.receivedSlices.clear();
    state.receivedSlices.insert(report.slice);
    state.isComplete = state.isComplete || state.receivedSlices.size() == report.slices;
    state.silentInstances = report.silentInstances;
    state.cutOffInstances = report.cutOffInstances;
    std::erase_if(sources, [&](const auto& each) { return now - each.second.lastReceivedAt > ReportLifetime; });
}

void LoadExchange::receive(const LoadReport& report, TimePoint now)
{
    if (report.sender != m_self.id)
        m_lastReports[report.sender] = now;
    m_returns.receive(report, report.sender == m_self.id, now);
    switch (report.scope) {
    case LoadScope::Instance:
    case LoadScope::Fleet: {
        if (report.dataCentre != m_self.dataCentre)
            return;
        Sources& sources = report.scope == LoadScope::Instance ? m_members : m_fleetSums;
        const auto known = sources.find(report.sender.value());
        if (known == sources.end() || known->second.lastSequence < report.sequence)
            mergeReport(sources, report.sender.value(), report, now);
        if (report.scope == LoadScope::Instance)
            m_lastHeard[report.sender] = now;
        return;
    }
    case LoadScope::DataCentre:
        // Both collectors of a data centre send nearly equal sums. The last one received counts.
        if (report.dataCentre != m_self.dataCentre)
            mergeReport(m_dataCentreSums, report.dataCentre.value(), report, now);
        return;
    }
}

/// @return the fresh and complete sum that includes the most instances, the latest of several; null if there is none
const LoadExchange::Source* LoadExchange::bestFleetSum(TimePoint now) const
{
    const Source* best = nullptr;
    for (const auto& [collector, sum] : m_fleetSums) {
        const bool isFresh = sum.isComplete && now - sum.lastReceivedAt <= ReportLifetime;
        if (isFresh
            && (!best
                || std::pair(sum.instances, sum.lastReceivedAt) > std::pair(best->instances, best->lastReceivedAt)))
            best = &sum;
    }
    return best;
}

std::set<std::uint64_t> LoadExchange::silentInstances(TimePoint now) const
{
    const Source* best = bestFleetSum(now);
    if (!best)
        return {};
    return { best->silentInstances.begin(), best->silentInstances.end() };
}

std::set<std::uint64_t> LoadExchange::cutOffInstances(TimePoint now) const
{
    std::set<std::uint64_t> cutOff;
    if (const Source* best = bestFleetSum(now))
        cutOff.insert(best->cutOffInstances.begin(), best->cutOffInstances.end());
    const std::uint64_t own = instanceKey(m_self.id);
    m_isCutOff ? static_cast<void>(cutOff.insert(own)) : static_cast<void>(cutOff.erase(own));
    return cutOff;
}

std::optional<EngineLoads> LoadExchange::loadOfOthers(TimePoint now) const
{
    const Source* best = bestFleetSum(now);
    const std::uint32_t listedCount = peerCount();
    if (!best || (best->instances < 2 && listedCount > 1))
        return std::nullopt;
    EngineLoads sums = best->engines;
    for (const EngineLoad& own : m_ownLoads) {
        const auto found = sums.find(own.engine);
        if (found == sums.end())
            continue;
        found->second.tokenLayers = std::max(0.0, found->second.tokenLayers - own.tokenLayers);
        found->second.calls = std::max(0.0, found->second.calls - own.calls);
        found->second.avoiders = std::max(0.0, found->second.avoiders - own.avoiders);
        found->second.contacts = std::max(0.0, found->second.contacts - own.contacts);
    }
    if (listedCount <= best->instances)
        return sums;
    const double scale = static_cast<double>(listedCount - 1) / (best->instances - 1);
    for (auto& [engine, load] : sums) {
        load.tokenLayers *= scale;
        load.calls *= scale;
    }
    return sums;
}

} // namespace crocusmount::relay
