#include "relay/RequestQuarantine.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace crocusmount::relay {

namespace {

    /// The evidence against a trait is dropped if no crash has been reported for this long.
    constexpr Duration EvidenceLifetime = std::chrono::minutes(10);
    /// Gives the caller or the operators time to fix the cause. If they have not, one more crash quarantines the
    /// trait again.
    constexpr Duration QuarantineDuration = std::chrono::minutes(30);
    /// Limits memory. A malicious caller has to crash a server for each few dozen records.
    constexpr std::size_t MaxRecords = 4096;
    /// Servers that are remembered for one trait. Those that end before all instances know the verdict are explained by
    /// it, too.
    constexpr std::size_t MaxServersPerTrait = 16;
    /// Time in which the reports of all instances about one end arrive.
    constexpr Duration JudgementDelay = std::chrono::milliseconds(100);
    /// With less evidence, no trait is quarantined while another one has as much. The next crash shows which one it is.
    constexpr std::uint32_t MinPointsDespiteTie = 10;

} // namespace

std::uint32_t RequestQuarantine::pointsOf(CrashSign sign, bool isGroupFailure)
{
    switch (sign) {
    case CrashSign::None:
        return 0;
    case CrashSign::Waiting:
        return isGroupFailure ? 0 : 1;
    case CrashSign::JustBegun:
        return isGroupFailure ? 1 : 2;
    }
    return 0;
}

bool RequestQuarantine::Record::add(const End& end)
{
    const auto known
        = std::find_if(ends.begin(), ends.end(), [&](const End& each) { return each.server == end.server; });
    if (known != ends.end()) {
        const bool isStronger = known->points < end.points;
        known->points = std::max(known->points, end.points);
        return isStronger;
    }
    ends.push_back(end);
    if (ends.size() > MaxServersPerTrait)
        ends.erase(ends.begin());
    return true;
}

TraitEvidence RequestQuarantine::Record::evidence(const std::set<std::uint64_t>& explained) const
{
    TraitEvidence evidence { .points = carriedPoints, .isQuarantined = quarantinedUntil.has_value() };
    for (const End& end : ends) {
        if (explained.count(end.server) && !evidence.isQuarantined)
            ++evidence.explainedEnds;
        else
            evidence.points += end.points;
    }
    return evidence;
}

RequestQuarantine::Record& RequestQuarantine::touchRecord(const RequestTrait& trait, TimePoint now)
{
    if (!m_records.count(trait) && m_records.size() >= MaxRecords) {
        m_records.erase(std::min_element(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
            const auto rank
                = [](const Record& each) { return std::pair(each.quarantinedUntil.has_value(), each.lastEvidenceAt); };
            return rank(a.second) < rank(b.second);
        }));
    }
    Record& record = m_records[trait];
    record.lastEvidenceAt = now;
    return record;
}

bool RequestQuarantine::add(const CrashReport& report, bool isOwn, TimePoint now)
{
    const End end { report.server, pointsOf(report.suspect.sign, report.isGroupFailure) };
    if (!end.points)
        return false;
    bool isNews = false;
    for (std::size_t position = 0; position < report.suspect.traits.size(); ++position) {
        Record& record = touchRecord(report.suspect.traits[position], now);
        record.position = position;
        record.hasOwnEnd = record.hasOwnEnd || isOwn;
        if (!record.add(end))
            continue;
        isNews = true;
        if (record.quarantinedUntil)
            m_explainedServers.insert(end.server);
        if (!record.blockableSince && !missingPoints(record.evidence(m_explainedServers)))
            record.blockableSince = now;
    }
    return isNews;
}

std::pair<const RequestTrait, RequestQuarantine::Record>* RequestQuarantine::findBlockable(TimePoint now)
{
    // A content has position 0 and is narrower than any part.
    const auto rank = [&](const auto& each) {
        const TraitEvidence evidence = each.second.evidence(m_explainedServers);
        const std::size_t narrowness = each.first.isPromptPart() ? each.second.position : SIZE_MAX;
        return std::tuple(evidence.points, MaxServersPerTrait - evidence.explainedEnds, narrowness);
    };
    std::pair<const RequestTrait, Record>* best = nullptr;
    bool isTied = false;
    for (auto& each : m_records) {
        Record& record = each.second;
        if (!record.blockableSince || record.quarantinedUntil)
            continue;
        if (missingPoints(record.evidence(m_explainedServers)))
            record.blockableSince.reset();
        else if (now >= *record.blockableSince + JudgementDelay && (!best || rank(each) >= rank(*best))) {
            isTied = best && rank(each) == rank(*best);
            best = &each;
        }
    }
    const bool isDue = best && (!isTied || best->second.evidence(m_explainedServers).points >= MinPointsDespiteTie);
    return isDue ? best : nullptr;
}

std::vector<RequestQuarantine::Verdict> RequestQuarantine::judge(TimePoint now)
{
    std::vector<Verdict> verdicts;
    while (auto* blockable = findBlockable(now)) {
        blockable->second.quarantinedUntil = now + QuarantineDuration;
        verdicts.push_back({ blockable->first, blockable->second.hasOwnEnd });
        updateExplainedServers();
    }
    return verdicts;
}

void RequestQuarantine::updateExplainedServers()
{
    m_explainedServers.clear();
    for (const auto& [trait, record] : m_records) {
        for (const End& end : record.ends) {
            if (record.quarantinedUntil)
                m_explainedServers.insert(end.server);
        }
    }
}

bool RequestQuarantine::quarantine(const RequestTrait& trait, TimePoint now)
{
    Record& record = touchRecord(trait, now);
    if (record.quarantinedUntil)
        return false;
    record.quarantinedUntil = now + QuarantineDuration;
    updateExplainedServers();
    return true;
}

bool RequestQuarantine::clear(const RequestTrait& trait)
{
    const auto found = m_records.find(trait);
    if (found == m_records.end())
        return false;
    const bool wasQuarantined = found->second.quarantinedUntil.has_value();
    m_records.erase(found);
    if (wasQuarantined)
        updateExplainedServers();
    return true;
}

bool RequestQuarantine::isQuarantined(const RequestTrait& trait, TimePoint now) const
{
    const auto record = m_records.find(trait);
    return record != m_records.end() && record->second.quarantinedUntil && now < *record->second.quarantinedUntil;
}

const RequestTrait* RequestQuarantine::findQuarantined(const std::vector<RequestTrait>& traits, TimePoint now) const
{
    const auto found = std::find_if(
        traits.begin(), traits.end(), [&](const RequestTrait& trait) { return isQuarantined(trait, now); });
    return found == traits.end() ? nullptr : &*found;
}

TraitEvidence RequestQuarantine::evidence(const RequestTrait& trait, TimePoint now) const
{
    const auto record = m_records.find(trait);
    if (record == m_records.end())
        return {};
    TraitEvidence evidence = record->second.evidence(m_explainedServers);
    evidence.isQuarantined = isQuarantined(trait, now);
    return evidence;
}

std::size_t RequestQuarantine::serverCount(const RequestTrait& trait) const
{
    const auto record = m_records.find(trait);
    return record == m_records.end() ? 0 : record->second.ends.size();
}

std::size_t RequestQuarantine::quarantinedCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(),
        [&](const auto& each) { return each.second.quarantinedUntil && now < *each.second.quarantinedUntil; }));
}

void RequestQuarantine::removeExpired(TimePoint now)
{
    bool hasEnded = false;
    for (auto& [trait, record] : m_records) {
        if (!record.quarantinedUntil || now < *record.quarantinedUntil)
            continue;
        hasEnded = true;
        record.quarantinedUntil.reset();
        record.blockableSince.reset();
        record.lastEvidenceAt = now;
        record.ends.clear();
        record.carriedPoints = MinPointsToBlock - pointsOf(CrashSign::JustBegun);
    }
    std::erase_if(m_records, [&](const auto& each) {
        return !each.second.quarantinedUntil && now >= each.second.lastEvidenceAt + EvidenceLifetime;
    });
    if (hasEnded)
        updateExplainedServers();
}

} // namespace crocusmount::relay
