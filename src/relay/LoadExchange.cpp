#include "relay/LoadExchange.h"

#include <algorithm>
#include <xxhash.h>

namespace crocusmount::relay {

namespace {

    /// Collectors of each data centre: while one of them is gone and still listed, the other's sums are used.
    constexpr std::size_t CollectorCount = 2;
    /// A sender that was silent this long no longer counts; some rounds may be lost on the way.
    constexpr Duration ReportLifetime = std::chrono::milliseconds(900);

    /// A member that was silent this long is taken for dead, and callers are not sent there. Twice the lifetime of a
    /// report, as a few lost datagrams must not cost an instance its callers.
    constexpr Duration MemberSilence = 2 * ReportLifetime;

    /// Maximum encoded size of an engine's load.
    constexpr std::size_t MaxEngineLoadBytes = 18;
    /// Limits the overhead of report headers.
    constexpr std::size_t MinEnginesPerReport = 16;

    /// @return the slice of an engine. The hash is seeded with the number of slices so that engines are distributed
    ///         independently for each number: a sum may be only partly updated when the number changes.
    std::uint32_t sliceOf(std::uint64_t engine, std::uint32_t slices)
    {
        return static_cast<std::uint32_t>(XXH3_64bits_withSeed(&engine, sizeof(engine), slices) % slices);
    }

    void add(EngineLoads& sums, const EngineLoads& loads)
    {
        for (const auto& [engine, load] : loads) {
            EngineLoad& sum = sums[engine];
            sum.engine = engine;
            sum.tokenLayers += load.tokenLayers;
            sum.calls += load.calls;
            sum.avoiders += load.avoiders;
        }
    }

    std::vector<EngineLoad> listOf(const EngineLoads& sums)
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

void LoadExchange::setPeers(std::vector<LoadPeer> others)
{
    m_peers.clear();
    m_peers[m_self.dataCentre].push_back(m_self);
    for (LoadPeer& peer : others)
        m_peers[peer.dataCentre].push_back(std::move(peer));
    for (auto& [dataCentre, peers] : m_peers)
        std::sort(peers.begin(), peers.end(), [](const LoadPeer& a, const LoadPeer& b) { return a.id < b.id; });
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

bool LoadExchange::isCollector() const
{
    const auto collectors = collectorsOf(m_self.dataCentre);
    return std::any_of(collectors.begin(), collectors.end(), [&](const LoadPeer* each) { return *each == m_self; });
}

/// @param reportCount  number of reports that share the byte limit of a round
/// @return a report of all engines, or of this round's slice if all would exceed the limit
LoadReport LoadExchange::report(
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

/// @return members of this data centre that are listed and have been silent for too long
std::vector<std::uint64_t> LoadExchange::missedMembers(TimePoint now)
{
    const std::vector<LoadPeer>& listed = m_peers[m_self.dataCentre];
    std::erase_if(m_lastHeard, [&](const auto& heard) {
        return std::none_of(listed.begin(), listed.end(), [&](const LoadPeer& peer) { return peer.id == heard.first; });
    });
    std::vector<std::uint64_t> missed;
    for (const LoadPeer& peer : listed) {
        const TimePoint heard = m_lastHeard.try_emplace(peer.id, now).first->second;
        if (now - heard > MemberSilence)
            missed.push_back(instanceKey(peer.id));
    }
    return missed;
}

std::uint32_t LoadExchange::peerCount() const
{
    std::size_t count = 0;
    for (const auto& [dataCentre, peers] : m_peers)
        count += peers.size();
    return static_cast<std::uint32_t>(count);
}

std::vector<OutgoingLoadReport> LoadExchange::makeRound(std::vector<EngineLoad> own, TimePoint now)
{
    std::vector<OutgoingLoadReport> out;
    ++m_sequence;
    const std::size_t members = m_peers[m_self.dataCentre].size();
    // A collector receives the reports of all members in each round.
    const LoadReport ownReport = report(LoadScope::Instance, 1, own, members);
    m_own = std::move(own);
    for (const LoadPeer* collector : collectorsOf(m_self.dataCentre)) {
        if (!(*collector == m_self))
            out.push_back({ collector->address, ownReport });
    }
    if (!isCollector()) {
        m_lastHeard.clear();
        return out;
    }
    LoadReport fullReport = ownReport;
    fullReport.slice = 0;
    fullReport.slices = 1;
    fullReport.engines = m_own;
    take(fullReport, now);
    const auto fresh = [&](const Received& received) { return now - received.at <= ReportLifetime; };
    EngineLoads sums;
    std::uint32_t instances = 0;
    const auto addFresh = [&](const Sources& sources) {
        for (const auto& [source, received] : sources) {
            if (!fresh(received))
                continue;
            add(sums, received.engines);
            instances += received.instances;
        }
    };
    addFresh(m_members);
    const std::size_t receivers = members + (m_peers.size() - 1) * CollectorCount;
    LoadReport localReport = report(LoadScope::DataCentre, instances, listOf(sums), receivers);
    localReport.silentInstances = missedMembers(now);
    for (const auto& [dataCentre, peers] : m_peers) {
        if (dataCentre == m_self.dataCentre)
            continue;
        for (const LoadPeer* collector : collectorsOf(dataCentre))
            out.push_back({ collector->address, localReport });
    }
    addFresh(m_dataCentres);
    std::vector<EngineLoad> fleetLoads = listOf(sums);
    LoadReport fleetReport = report(LoadScope::Fleet, instances, fleetLoads, receivers);
    fleetReport.silentInstances = localReport.silentInstances;
    for (const auto& [dataCentre, received] : m_dataCentres) {
        const auto& silent = received.silentInstances;
        if (fresh(received))
            fleetReport.silentInstances.insert(fleetReport.silentInstances.end(), silent.begin(), silent.end());
    }
    for (const LoadPeer& peer : m_peers[m_self.dataCentre]) {
        if (!(peer == m_self))
            out.push_back({ peer.address, fleetReport });
    }
    fleetReport.slice = 0;
    fleetReport.slices = 1;
    fleetReport.engines = std::move(fleetLoads);
    take(fleetReport, now);
    return out;
}

void LoadExchange::note(Sources& sources, const std::string& source, const LoadReport& report, TimePoint now)
{
    Received& received = sources[source];
    received.sequence = report.sequence;
    received.at = now;
    received.instances = report.instances;
    if (report.slices == 1) {
        received.engines.clear();
    } else {
        std::erase_if(
            received.engines, [&](const auto& each) { return sliceOf(each.first, report.slices) == report.slice; });
    }
    for (const EngineLoad& load : report.engines)
        received.engines[load.engine] = load;
    if (std::exchange(received.sliceCount, report.slices) != report.slices)
        received.receivedSlices.clear();
    received.receivedSlices.insert(report.slice);
    received.isComplete = received.isComplete || received.receivedSlices.size() == report.slices;
    received.silentInstances = report.silentInstances;
    std::erase_if(sources, [&](const auto& each) { return now - each.second.at > ReportLifetime; });
}

void LoadExchange::take(const LoadReport& report, TimePoint now)
{
    switch (report.scope) {
    case LoadScope::Instance:
    case LoadScope::Fleet: {
        if (report.dataCentre != m_self.dataCentre)
            return;
        Sources& sources = report.scope == LoadScope::Instance ? m_members : m_fleet;
        const auto known = sources.find(report.sender.value());
        if (known == sources.end() || known->second.sequence < report.sequence)
            note(sources, report.sender.value(), report, now);
        if (report.scope == LoadScope::Instance)
            m_lastHeard[report.sender] = now;
        return;
    }
    case LoadScope::DataCentre:
        // Both collectors of a data centre send nearly the same sum: the last one counts.
        if (report.dataCentre != m_self.dataCentre)
            note(m_dataCentres, report.dataCentre.value(), report, now);
        return;
    }
}

/// @return the freshest sum over the most instances, or null
const LoadExchange::Received* LoadExchange::bestSum(TimePoint now) const
{
    const Received* best = nullptr;
    for (const auto& [collector, received] : m_fleet) {
        const bool fresh = received.isComplete && now - received.at <= ReportLifetime;
        if (fresh && (!best || std::pair(received.instances, received.at) > std::pair(best->instances, best->at)))
            best = &received;
    }
    return best;
}

std::set<std::uint64_t> LoadExchange::silentInstances(TimePoint now) const
{
    const Received* best = bestSum(now);
    if (!best)
        return {};
    return { best->silentInstances.begin(), best->silentInstances.end() };
}

std::optional<EngineLoads> LoadExchange::others(TimePoint now) const
{
    const Received* best = bestSum(now);
    const std::uint32_t listed = peerCount();
    if (!best || (best->instances < 2 && listed > 1))
        return std::nullopt;
    EngineLoads sums = best->engines;
    for (const EngineLoad& own : m_own) {
        const auto found = sums.find(own.engine);
        if (found == sums.end())
            continue;
        found->second.tokenLayers = std::max(0.0, found->second.tokenLayers - own.tokenLayers);
        found->second.calls = std::max(0.0, found->second.calls - own.calls);
        found->second.avoiders = std::max(0.0, found->second.avoiders - own.avoiders);
    }
    if (listed <= best->instances)
        return sums;
    const double unheard = static_cast<double>(listed - 1) / (best->instances - 1);
    for (auto& [engine, load] : sums) {
        load.tokenLayers *= unheard;
        load.calls *= unheard;
    }
    return sums;
}

} // namespace crocusmount::relay
