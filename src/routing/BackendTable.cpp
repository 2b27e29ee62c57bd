#include "routing/BackendTable.h"

#include "crocusmount/Chain.h"
#include "membership/WatchPlan.h"

#include <algorithm>

namespace crocusmount {

namespace {

    constexpr double SlownessGain = 0.2; ///< weight of a new sample in the moving average of the slowness
    constexpr double ToleratedSlowness = 1.5; ///< servers with a lower ratio of token gaps keep their full weight
    /// Weight of a new sample in the moving average of the streams of other instances. An average is used because
    /// streams may be shorter than the lag of a report.
    constexpr double OthersStreamsGain = 0.3;
    constexpr double MinWeight = 0.05; ///< lower limit for slow and recovering servers

    /// Computes how many streams keep all slots of a server busy. If all stages run equally fast, a stream spends a
    /// fraction of its time at each stage that equals the stage's fraction of the layers. The latency of the hop to the
    /// next stage adds to the time of a step.
    /// @param layerCount  layers of the model
    /// @return the number of streams, at least 1
    double streamLimitOf(const BackendReport& report, std::uint32_t layerCount, Duration hopLatency)
    {
        const double step = static_cast<double>(std::max<std::int64_t>(1, report.stepMicros));
        const double hop = static_cast<double>(hopLatency.count());
        const double stages = static_cast<double>(layerCount) / std::max(1U, report.layers.size());
        return std::max(1.0, report.slots * stages * (1 + hop / step));
    }

    /// @return whether two reports agree in all but the load
    bool isSameExceptLoad(const BackendReport& a, const BackendReport& b)
    {
        return a.model == b.model && a.layers == b.layers && a.generation == b.generation && a.leaving == b.leaving;
    }

} // namespace

BackendTable::BackendTable(const ReducerOptions& options)
    : m_options(options)
{
}

BackendTable::Entry* BackendTable::find(const BackendId& id)
{
    const auto found = m_indexes.find(id);
    return found == m_indexes.end() ? nullptr : &m_entries[found->second];
}

const BackendTable::Entry* BackendTable::find(const BackendId& id) const
{
    const auto found = m_indexes.find(id);
    return found == m_indexes.end() ? nullptr : &m_entries[found->second];
}

void BackendTable::apply(const Configuration& configuration)
{
    ++m_version;
    for (Entry& entry : m_entries)
        entry.isConfigured = false;
    for (const auto& [id, server] : configuration.backends) {
        const auto [position, added] = m_indexes.try_emplace(id, static_cast<std::uint32_t>(m_entries.size()));
        if (added)
            m_entries.emplace_back();
        Entry& entry = m_entries[position->second];
        entry.config = server;
        entry.isConfigured = true;
    }
}

bool BackendTable::report(const BackendReport& report, TimePoint asked, TimePoint now, std::uint64_t sequence)
{
    Entry* entry = find(report.backend);
    if (!entry || asked < entry->reportedAt || (sequence && sequence < entry->sequence))
        return false;
    const bool hadReport = entry->report.has_value();
    const bool changed = !entry->isReachable || !entry->report || !isSameExceptLoad(*entry->report, report);
    if (!entry->isReachable)
        entry->reachableSince = entry->report ? now : now - m_options.recoveryRamp;
    entry->reportedAt = asked;
    entry->report = report;
    entry->isReachable = true;
    entry->missedProbes = 0;
    const double othersNow = report.running > entry->ownStreams ? report.running - entry->ownStreams : 0;
    const double gain = entry->report ? OthersStreamsGain : 1;
    entry->othersStreams += gain * (othersNow - entry->othersStreams);
    entry->sequence = sequence ? sequence : entry->sequence + (changed ? 1 : 0);
    m_version += changed ? 1 : 0;
    return changed && hadReport;
}

bool BackendTable::recordMissedProbe(const BackendId& id)
{
    Entry* entry = find(id);
    if (!entry || ++entry->missedProbes < m_options.unreachableAfter || !entry->isReachable)
        return false;
    suspect(id);
    ++entry->sequence;
    return true;
}

void BackendTable::markUnreachableByPeer(const BackendId& id, std::uint64_t sequence)
{
    Entry* entry = find(id);
    if (!entry || sequence < entry->sequence)
        return;
    entry->sequence = sequence;
    suspect(id);
}

void BackendTable::suspect(const BackendId& id)
{
    if (Entry* entry = find(id)) {
        m_version += entry->isReachable ? 1 : 0;
        entry->isReachable = false;
    }
}

void BackendTable::expireReports()
{
    for (Entry& entry : m_entries)
        entry.reportedAt = TimePoint();
}

void BackendTable::streamStarted(const Chain& chain)
{
    for (const Hop& hop : chain.hops()) {
        if (Entry* entry = find(hop.backend))
            ++entry->ownStreams;
    }
}

void BackendTable::streamEnded(const Chain& chain)
{
    for (const Hop& hop : chain.hops()) {
        Entry* entry = find(hop.backend);
        if (!entry)
            continue;
        --entry->ownStreams;
    }
}

void BackendTable::observeSlowness(const Chain& chain, double ratio)
{
    for (const Hop& hop : chain.hops()) {
        if (Entry* entry = find(hop.backend))
            entry->slowness += SlownessGain * (std::clamp(ratio, 0.1, 100.0) - entry->slowness);
    }
}

bool BackendTable::isUsable(const Entry& entry, const Pipeline& pipeline, TimePoint now) const
{
    if (!entry.isConfigured || !entry.isReachable || !entry.report || !entry.isUsed)
        return false;
    const bool leaving = entry.config.leaving || entry.report->leaving;
    if (leaving && m_options.guards.refuseLeaving)
        return false;
    return entry.report->model == pipeline.model && now - entry.reportedAt < m_options.reportLifetime
        && matches(pipeline.selector, entry.config.labels);
}

double BackendTable::weightOf(const Entry& entry, TimePoint now) const
{
    const auto reachableTime = std::chrono::duration<double>(now - entry.reachableSince);
    const double ramp = std::min(1.0, reachableTime / std::chrono::duration<double>(m_options.recoveryRamp));
    const double speed = std::min(1.0, ToleratedSlowness / entry.slowness);
    return std::max(MinWeight, ramp * speed);
}

std::vector<Stage> BackendTable::stagesFor(
    const Pipeline& pipeline, TimePoint now, const std::vector<BackendId>& avoid, double headroom) const
{
    std::vector<Stage> stages;
    for (std::uint32_t index = 0; index < m_entries.size(); ++index) {
        const Entry& entry = m_entries[index];
        if (!isUsable(entry, pipeline, now))
            continue;
        const BackendReport& report = *entry.report;
        Stage stage;
        stage.streams = entry.ownStreams + entry.othersStreams;
        stage.streamLimit = streamLimitOf(report, pipeline.layers, m_options.hopLatency);
        stage.weight = weightOf(entry, now);
        if (stage.streams + 1 > std::max(1.0, stage.streamLimit * headroom))
            continue;
        stage.hop = Hop { entry.config.id, entry.config.address, report.layers, report.generation };
        stage.index = index;
        stage.reportedStreams = report.running;
        stage.avoid = std::find(avoid.begin(), avoid.end(), entry.config.id) != avoid.end();
        stages.push_back(std::move(stage));
    }
    return stages;
}

BackendNews BackendTable::newsOf(const Entry& entry, TimePoint now)
{
    BackendNews news;
    if (entry.report)
        news.report = *entry.report;
    news.report.backend = entry.config.id;
    news.reachable = entry.isReachable;
    news.sequence = entry.sequence;
    news.age = now - entry.reportedAt;
    return news;
}

std::optional<BackendNews> BackendTable::newsOf(const BackendId& id, TimePoint now) const
{
    const Entry* entry = find(id);
    return entry ? std::optional(newsOf(*entry, now)) : std::nullopt;
}

std::vector<BackendNews> BackendTable::news(TimePoint now) const
{
    std::vector<BackendNews> all;
    for (const auto& [id, index] : m_indexes) {
        if (m_entries[index].isConfigured)
            all.push_back(newsOf(m_entries[index], now));
    }
    return all;
}

void BackendTable::setSubset(const WatchPlan& plan)
{
    for (const auto& [id, index] : m_indexes)
        m_entries[index].isUsed = plan.uses(id);
}

bool BackendTable::isStale(const BackendId& id, TimePoint now) const
{
    const Entry* entry = find(id);
    if (!entry || (!entry->isUsed && entry->report))
        return false;
    return now - entry->reportedAt > m_options.reportLifetime * 3 / 5;
}

} // namespace crocusmount
