#include "relay/CrashEvidence.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocusmount::relay {

namespace {

    /// Delay before an end is classified. Servers that ended in the same group failure are detected by then.
    constexpr Duration SettleTime = std::chrono::milliseconds(300);
    /// Maximum time between the detected ends of two servers of one group failure.
    constexpr Duration GroupWindow = std::chrono::milliseconds(300);
    /// Maximum delay before an event relayed by a server that has since ended reaches this instance.
    constexpr Duration MaxEventDelay = std::chrono::milliseconds(40);
    /// Minimum number of other servers that must end together with a server for a group failure. A single other one may
    /// have been crashed by another request.
    constexpr std::size_t MinOthersInGroupFailure = 2;
    /// Covers three missed heartbeats, after which the registry shows the end of a server that could not be checked.
    constexpr Duration LostAttemptLifetime = std::chrono::seconds(6);
    constexpr Duration ServerEndLifetime = std::chrono::seconds(10);
    /// Limits memory. The end of one server loses a few dozen attempts.
    constexpr std::size_t MaxLostAttempts = 2048;

} // namespace

bool CrashEvidence::ServerEnd::hasSuspectLike(const CrashSuspect& suspect) const
{
    return std::any_of(
        suspects.begin(), suspects.end(), [&](const CrashSuspect& each) { return each.sharesTrait(suspect); });
}

void CrashEvidence::ServerEnd::addSuspect(const CrashSuspect& suspect)
{
    const auto existing = std::find_if(
        suspects.begin(), suspects.end(), [&](const CrashSuspect& each) { return each.traits == suspect.traits; });
    if (existing == suspects.end())
        suspects.push_back(suspect);
    else
        existing->sign = std::max(existing->sign, suspect.sign);
}

void CrashEvidence::noteLost(const CrashSuspect& suspect, std::vector<std::uint64_t> servers, TimePoint now)
{
    m_areOpenEndCountsOutdated = true;
    std::erase_if(servers, [&](std::uint64_t server) {
        const auto end = m_ends.find(server);
        const bool isConfirmed = end != m_ends.end() && end->second.confirmedAt;
        if (isConfirmed)
            addToConfirmed(end->second, suspect);
        return isConfirmed;
    });
    if (servers.empty())
        return;
    m_lostAttempts.push_back({ suspect, std::move(servers), now });
    if (m_lostAttempts.size() > MaxLostAttempts)
        m_lostAttempts.pop_front();
}

void CrashEvidence::addToConfirmed(ServerEnd& end, const CrashSuspect& suspect)
{
    if (end.isSettled && suspect.sign != CrashSign::JustBegun) {
        ++m_lateCount;
        return;
    }
    end.addSuspect(suspect);
    if (end.isSettled)
        end.lateSuspects.push_back(suspect);
}

std::size_t CrashEvidence::noteAlive(std::uint64_t server, TimePoint askedAt)
{
    m_areOpenEndCountsOutdated = true;
    std::size_t cleared = 0;
    for (LostAttempt& lost : m_lostAttempts)
        cleared += lost.lostAt <= askedAt ? std::erase(lost.servers, server) : 0;
    std::erase_if(m_lostAttempts, [](const LostAttempt& lost) { return lost.servers.empty(); });
    noteAnswered(server);
    return cleared;
}

void CrashEvidence::noteAnswered(std::uint64_t server)
{
    if (const auto end = m_ends.find(server); end != m_ends.end() && !end->second.confirmedAt)
        m_ends.erase(end);
}

bool CrashEvidence::ServerEnd::mayHaveEndedTogether(const ServerEnd& other) const
{
    const Duration distance = std::max(other.detectedAt - detectedAt, detectedAt - other.detectedAt);
    return distance <= GroupWindow
        && std::max(lastAliveAt, other.lastAliveAt) <= std::min(detectedAt, other.detectedAt) + MaxEventDelay;
}

void CrashEvidence::noteSilent(std::uint64_t server, TimePoint now, TimePoint lastAliveAt)
{
    m_ends.try_emplace(server, ServerEnd { now, lastAliveAt });
}

bool CrashEvidence::noteEnded(
    std::uint64_t server, std::vector<CrashSuspect> running, TimePoint now, TimePoint lastAliveAt)
{
    ServerEnd& end = m_ends.try_emplace(server, ServerEnd { now, lastAliveAt }).first->second;
    if (end.confirmedAt)
        return false;
    m_areOpenEndCountsOutdated = true;
    end.confirmedAt = now;
    end.suspects = std::move(running);
    std::erase_if(m_lostAttempts, [&](const LostAttempt& lost) {
        const bool mayHaveRunThere = std::find(lost.servers.begin(), lost.servers.end(), server) != lost.servers.end();
        if (mayHaveRunThere)
            end.addSuspect(lost.suspect);
        return mayHaveRunThere;
    });
    return true;
}

bool CrashEvidence::isGroupFailure(const ServerEnd& end, const CrashSuspect& suspect) const
{
    const auto endedTogether = std::count_if(m_ends.begin(), m_ends.end(), [&](const auto& each) {
        const ServerEnd& other = each.second;
        return &other != &end && end.mayHaveEndedTogether(other) && !other.hasSuspectLike(suspect);
    });
    return static_cast<std::size_t>(endedTogether) >= MinOthersInGroupFailure;
}

std::vector<CrashReport> CrashEvidence::classifyEnds(TimePoint now)
{
    std::vector<CrashReport> reports;
    for (auto& [server, end] : m_ends) {
        if (!end.confirmedAt || now < *end.confirmedAt + SettleTime)
            continue;
        const bool wasSettled = std::exchange(end.isSettled, true);
        m_areOpenEndCountsOutdated = m_areOpenEndCountsOutdated || !wasSettled;
        const std::vector<CrashSuspect> late = std::exchange(end.lateSuspects, {});
        const std::vector<CrashSuspect>& unreported = wasSettled ? late : end.suspects;
        for (const CrashSuspect& suspect : unreported)
            reports.push_back(
                { suspect, server, now - end.detectedAt, now - end.lastAliveAt, isGroupFailure(end, suspect) });
    }
    removeExpired(now);
    return reports;
}

std::size_t CrashEvidence::unclassifiedEndCount(const RequestTrait& trait) const
{
    if (std::exchange(m_areOpenEndCountsOutdated, false))
        updateOpenEndCounts();
    const auto count = m_openEndCounts.find(trait);
    return count == m_openEndCounts.end() ? 0 : count->second;
}

void CrashEvidence::updateOpenEndCounts() const
{
    m_openEndCounts.clear();
    for (const LostAttempt& lost : m_lostAttempts) {
        for (const RequestTrait& trait : lost.suspect.traits)
            ++m_openEndCounts[trait];
    }
    for (const auto& [server, end] : m_ends) {
        if (!end.confirmedAt || end.isSettled)
            continue;
        std::set<RequestTrait> traits;
        for (const CrashSuspect& suspect : end.suspects)
            traits.insert(suspect.traits.begin(), suspect.traits.end());
        for (const RequestTrait& trait : traits)
            ++m_openEndCounts[trait];
    }
}

std::map<std::uint64_t, TimePoint> CrashEvidence::unsettledServers() const
{
    std::map<std::uint64_t, TimePoint> servers;
    for (const LostAttempt& lost : m_lostAttempts) {
        for (const std::uint64_t server : lost.servers)
            servers[server] = lost.lostAt;
    }
    return servers;
}

void CrashEvidence::removeExpired(TimePoint now)
{
    while (!m_lostAttempts.empty() && now >= m_lostAttempts.front().lostAt + LostAttemptLifetime) {
        m_areOpenEndCountsOutdated = true;
        m_lostAttempts.pop_front();
        ++m_expiredCount;
    }
    std::erase_if(m_ends, [&](const auto& each) { return now >= each.second.detectedAt + ServerEndLifetime; });
}

} // namespace crocusmount::relay
