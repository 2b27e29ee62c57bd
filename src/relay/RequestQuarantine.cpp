#include "relay/RequestQuarantine.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
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
    /// Time in which the reports of all instances about one end arrive.
    constexpr Duration JudgementDelay = std::chrono::milliseconds(100);
    /// With less evidence, no trait is quarantined while another one has as much. The next crash shows which one it is.
    constexpr std::uint32_t MinPointsDespiteTie = 10;
    /// Two servers.
    constexpr std::uint32_t MinPointsOfLikelierCause = 4;

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

TraitEvidence RequestQuarantine::evidenceOf(const RequestTrait& trait, const Record& record) const
{
    TraitEvidence evidence { .points = record.carriedPoints, .isQuarantined = record.quarantinedUntil.has_value() };
    evidence.hasRun = hasRun(trait, record);
    evidence.refutedEnds = record.refutedCount();
    evidence.isPartOfOneWorkspace = trait.isPromptPart() && !trait.isOfAllWorkspaces();
    std::map<WorkspaceId, std::uint32_t> pointsByWorkspace;
    TimePoint firstDetectedAt = TimePoint::max();
    TimePoint lastAliveAt = TimePoint::min();
    std::set<RequestTrait::Value> countedContents;
    for (const End& end : record.ends) {
        if (!end.isRefuted && isExplained(end.server, trait.value) && !evidence.isQuarantined) {
            ++evidence.explainedEnds;
            if (!isFirstOfContents(end, trait, record, countedContents))
                continue;
        } else if (!counts(end, trait, record)) {
            continue;
        }
        evidence.points += end.points;
        firstDetectedAt = std::min(firstDetectedAt, end.detectedAt);
        lastAliveAt = std::max(lastAliveAt, end.lastAliveAt);
        for (const WorkspaceId& workspace : end.workspaces)
            pointsByWorkspace[workspace] += end.points;
    }
    // A run in one workspace refutes no end in another one, but shows that the part is on crashed servers by chance.
    if (const auto all = m_records.find(trait.ofAllWorkspaces());
        evidence.isPartOfOneWorkspace && all != m_records.end())
        evidence.refutedEnds = std::max(evidence.refutedEnds, all->second.refutedCount());
    evidence.span = std::max(lastAliveAt, firstDetectedAt) - firstDetectedAt;
    if (trait.isOfAllWorkspaces()) {
        std::uint32_t most = 0;
        for (const auto& [workspace, points] : pointsByWorkspace)
            most = std::max(most, points);
        evidence.independentPoints = evidence.points - most;
    }
    return evidence;
}

bool RequestQuarantine::hasRun(const RequestTrait& trait, const Record& record) const
{
    return record.hasRun || (trait.isPromptPart() && trait.workspace && isKnownToHaveRun(trait.ofAllWorkspaces()));
}

bool RequestQuarantine::hasLikelierCause(const End& end, const RequestTrait& trait, const Record& record) const
{
    return trait.isPromptPart() && hasRun(trait, record) && m_serversOfNewParts.count(end.server);
}

bool RequestQuarantine::counts(const End& end, const RequestTrait& trait, const Record& record) const
{
    return !end.isRefuted
        && (record.quarantinedUntil
            || (!hasLikelierCause(end, trait, record) && !isExplained(end.server, trait.value)));
}

void RequestQuarantine::updateServersOfNewParts()
{
    m_serversOfNewParts.clear();
    for (const auto& [trait, record] : m_records) {
        if (!trait.isPromptPart() || hasRun(trait, record)
            || evidenceOf(trait, record).points < MinPointsOfLikelierCause)
            continue;
        for (const End& end : record.ends) {
            if (!end.isRefuted)
                m_serversOfNewParts.insert(end.server);
        }
    }
}

bool RequestQuarantine::isBlocked(const RequestTrait& trait, const Record& record) const
{
    return classifyTrait(evidenceOf(trait, record)) == TraitStanding::Blocked;
}

bool RequestQuarantine::isExplained(std::uint64_t server, const RequestTrait::Value& value) const
{
    const auto found = m_explainedServers.find(server);
    return found != m_explainedServers.end()
        && std::any_of(found->second.begin(), found->second.end(),
            [&](const RequestTrait::Value& quarantined) { return quarantined != value; });
}

bool RequestQuarantine::isFirstOfContents(const End& end, const RequestTrait& trait, const Record& record,
    std::set<RequestTrait::Value>& countedContents) const
{
    if (!trait.isPromptPart() || hasLikelierCause(end, trait, record))
        return false;
    const std::set<RequestTrait::Value>& causes = m_explainedServers.at(end.server);
    const bool isFirst = std::all_of(causes.begin(), causes.end(),
        [&](const RequestTrait::Value& cause) { return end.contents.count(cause) && !countedContents.count(cause); });
    if (!isFirst)
        return false;
    countedContents.insert(causes.begin(), causes.end());
    return true;
}

bool RequestQuarantine::isCovered(const RequestTrait& trait) const
{
    const auto record
        = trait.isPromptPart() && trait.workspace ? m_records.find(trait.ofAllWorkspaces()) : m_records.end();
    return record != m_records.end() && record->second.quarantinedUntil;
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
    End end { report.server, pointsOf(report.suspect.sign, report.isGroupFailure), now - report.age,
        now - report.ageOfLife, false, { report.suspect.workspace() } };
    if (!end.points)
        return false;
    if (!report.suspect.traits.empty())
        end.contents.insert(report.suspect.traits.front().value);
    bool isNews = false;
    for (std::size_t position = 0; position < report.suspect.traits.size(); ++position) {
        const RequestTrait& trait = report.suspect.traits[position];
        Record& record = touchRecord(trait, now);
        record.position = position;
        record.hasOwnEnd = record.hasOwnEnd || isOwn;
        record.hasRun = record.hasRun || report.suspect.hasRunLately(trait);
        if (!record.add(end))
            continue;
        isNews = true;
        if (record.quarantinedUntil)
            m_explainedServers[end.server].insert(trait.value);
        if (!record.blockableSince && isBlocked(trait, record))
            record.blockableSince = now;
    }
    return isNews;
}

std::size_t RequestQuarantine::narrownessOf(const Candidate& candidate)
{
    // A content has position 0 and is narrower than any part.
    return candidate.first.isPromptPart() ? candidate.second.position : SIZE_MAX;
}

bool RequestQuarantine::covers(const Candidate& candidate, const Candidate& other) const
{
    return std::all_of(other.second.ends.begin(), other.second.ends.end(), [&](const End& end) {
        return !counts(end, other.first, other.second)
            || std::any_of(candidate.second.ends.begin(), candidate.second.ends.end(), [&](const End& each) {
                   return each.server == end.server && counts(each, candidate.first, candidate.second);
               });
    });
}

bool RequestQuarantine::hasStrongerSuspect(const Candidate& candidate) const
{
    const TraitEvidence evidence = evidenceOf(candidate.first, candidate.second);
    return evidence.hasRun
        && std::any_of(m_doubtfulTraits.begin(), m_doubtfulTraits.end(), [&](const RequestTrait& trait) {
               const auto other = m_records.find(trait);
               return other != m_records.end() && trait.value != candidate.first.value
                   && evidenceOf(trait, other->second).points > evidence.points && covers(*other, candidate);
           });
}

std::vector<RequestQuarantine::Candidate*> RequestQuarantine::findCandidates(TimePoint now)
{
    std::vector<Candidate*> candidates;
    for (auto& each : m_records) {
        Record& record = each.second;
        if (record.quarantinedUntil || isCovered(each.first))
            continue;
        // A trait may also become blockable without a new end, because less speaks for another cause.
        const bool isCandidate = record.pointsOfAllEnds() >= MinPointsToBlock && isBlocked(each.first, record);
        record.blockableSince = isCandidate ? record.blockableSince.value_or(now) : std::optional<TimePoint>();
        if (isCandidate && !hasStrongerSuspect(each))
            candidates.push_back(&each);
    }
    std::vector<Candidate*> narrowest;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(narrowest), [&](const Candidate* wide) {
        return std::none_of(candidates.begin(), candidates.end(),
            [&](const Candidate* each) { return narrownessOf(*each) > narrownessOf(*wide) && covers(*each, *wide); });
    });
    return narrowest;
}

RequestQuarantine::Candidate* RequestQuarantine::findBlockable(TimePoint now)
{
    const auto rank = [&](const Candidate& each) {
        const TraitEvidence evidence = evidenceOf(each.first, each.second);
        return std::tuple(evidence.points, MaxServersPerTrait - evidence.explainedEnds, narrownessOf(each));
    };
    Candidate* best = nullptr;
    bool isTied = false;
    for (Candidate* each : findCandidates(now)) {
        if (best && rank(*each) < rank(*best))
            continue;
        isTied = best && rank(*each) == rank(*best);
        best = each;
    }
    // While the best one waits for reports, no other one is blocked, as it may turn out to explain the others' ends.
    const bool isDue = best && now >= *best->second.blockableSince + JudgementDelay
        && (!isTied || evidenceOf(best->first, best->second).points >= MinPointsDespiteTie);
    return isDue ? best : nullptr;
}

std::vector<RequestQuarantine::Verdict> RequestQuarantine::judge(TimePoint now)
{
    updateServersOfNewParts();
    std::vector<Verdict> verdicts;
    while (auto* blockable = findBlockable(now)) {
        blockable->second.quarantinedUntil = now + QuarantineDuration;
        verdicts.push_back({ blockable->first, blockable->second.hasOwnEnd });
        updateExplainedServers();
    }
    updateDoubtfulTraits();
    return verdicts;
}

void RequestQuarantine::updateDoubtfulTraits()
{
    m_doubtfulTraits.clear();
    for (const auto& [trait, record] : m_records) {
        if (record.pointsOfAllEnds() < MinPointsToDoubt)
            continue;
        // A trait that is to be blocked stays doubtful until the other instances' reports have arrived.
        const TraitEvidence evidence = evidenceOf(trait, record);
        if (evidence.hasRun && !evidence.isQuarantined && !isCovered(trait)
            && classifyTrait(evidence) >= TraitStanding::Doubtful)
            m_doubtfulTraits.insert(trait);
    }
}

void RequestQuarantine::updateExplainedServers()
{
    m_explainedServers.clear();
    for (const auto& [trait, record] : m_records) {
        for (const End& end : record.ends) {
            if (record.quarantinedUntil && !end.isRefuted)
                m_explainedServers[end.server].insert(trait.value);
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

RequestQuarantine::Refutation RequestQuarantine::refute(const SoundRun& run, TimePoint now)
{
    const auto known = m_records.find(run.trait);
    if (known == m_records.end() && run.refutedEnds.empty())
        return {};
    Record& record = known == m_records.end() ? touchRecord(run.trait, now) : known->second;
    record.hasRun = true;
    Refutation refutation;
    for (const std::uint64_t server : run.refutedEnds) {
        if (!record.find(server))
            record.add({ server });
        End* end = record.find(server);
        refutation.servers += end->points && !end->isRefuted ? 1 : 0;
        end->isRefuted = true;
    }
    refutation.liftsQuarantine
        = refutation.servers && record.quarantinedUntil && evidenceOf(run.trait, record).points < MinPointsToBlock;
    if (refutation.liftsQuarantine) {
        record.quarantinedUntil.reset();
        record.blockableSince.reset();
    }
    if (refutation.servers)
        updateExplainedServers();
    return refutation;
}

std::vector<std::uint64_t> RequestQuarantine::endsBefore(const RequestTrait& trait, TimePoint begunAt) const
{
    std::vector<std::uint64_t> servers;
    if (const auto record = m_records.find(trait); record != m_records.end()) {
        for (const End& end : record->second.ends) {
            if (!end.isRefuted && end.detectedAt < begunAt)
                servers.push_back(end.server);
        }
    }
    return servers;
}

bool RequestQuarantine::isKnownToHaveRun(const RequestTrait& trait) const
{
    const auto record = m_records.find(trait);
    return record != m_records.end() && record->second.hasRun;
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
    TraitEvidence evidence = evidenceOf(trait, record->second);
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
        record.hasRun = false;
        record.carriedPoints = MinPointsToBlock - pointsOf(CrashSign::JustBegun);
    }
    std::erase_if(m_records, [&](const auto& each) {
        return !each.second.quarantinedUntil && now >= each.second.lastEvidenceAt + EvidenceLifetime;
    });
    if (hasEnded)
        updateExplainedServers();
}

} // namespace crocusmount::relay
