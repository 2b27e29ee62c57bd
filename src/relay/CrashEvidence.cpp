#include "relay/CrashEvidence.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// After this time from the end of one server all that ended with it have been found.
    constexpr Duration SettleTime = std::chrono::milliseconds(300);
    /// Servers that are found dead further apart than this did not end together.
    constexpr Duration GroupWindow = std::chrono::milliseconds(300);
    /// Maximum delay before an event relayed by a server that has since ended reaches this instance.
    constexpr Duration MaxEventDelay = std::chrono::milliseconds(40);
    /// So many others that end in the same moment have a cause of their own. A single one may be another request's.
    constexpr std::size_t GroupSize = 2;
    /// The registry shows the end of a server that nobody could ask after three heartbeats.
    constexpr Duration LostLifetime = std::chrono::seconds(6);
    constexpr Duration EndLifetime = std::chrono::seconds(10);
    /// Attempts that are remembered; a server that ends takes a few dozen along.
    constexpr std::size_t MostLost = 2048;

} // namespace

bool CrashEvidence::End::concerns(const RequestIdentity& request) const
{
    return std::any_of(
        suspects.begin(), suspects.end(), [&](const CrashSuspect& each) { return each.request == request; });
}

void CrashEvidence::End::add(const CrashSuspect& suspect)
{
    const auto known = std::find_if(
        suspects.begin(), suspects.end(), [&](const CrashSuspect& each) { return each.request == suspect.request; });
    if (known == suspects.end())
        suspects.push_back(suspect);
    else
        known->sign = std::max(known->sign, suspect.sign);
}

void CrashEvidence::noteLost(const CrashSuspect& suspect, std::vector<std::uint64_t> servers, TimePoint now)
{
    std::erase_if(servers, [&](std::uint64_t server) {
        const auto end = m_ends.find(server);
        const bool isCertain = end != m_ends.end() && end->second.certainAt;
        if (isCertain && !end->second.settled)
            end->second.add(suspect);
        return isCertain;
    });
    if (servers.empty())
        return;
    m_lost.push_back({ suspect, std::move(servers), now });
    if (m_lost.size() > MostLost)
        m_lost.pop_front();
}

void CrashEvidence::noteAlive(std::uint64_t server)
{
    for (Lost& lost : m_lost)
        std::erase(lost.servers, server);
    std::erase_if(m_lost, [](const Lost& lost) { return lost.servers.empty(); });
    if (const auto end = m_ends.find(server); end != m_ends.end() && !end->second.certainAt)
        m_ends.erase(end);
}

bool CrashEvidence::End::mayHaveEndedTogether(const End& other) const
{
    const Duration apart = std::max(other.foundAt - foundAt, foundAt - other.foundAt);
    return apart <= GroupWindow
        && std::max(lastAliveAt, other.lastAliveAt) <= std::min(foundAt, other.foundAt) + MaxEventDelay;
}

void CrashEvidence::noteSilent(std::uint64_t server, TimePoint now, TimePoint lastAliveAt)
{
    m_ends.try_emplace(server, End { now, lastAliveAt });
}

bool CrashEvidence::noteEnded(
    std::uint64_t server, std::vector<CrashSuspect> running, TimePoint now, TimePoint lastAliveAt)
{
    End& end = m_ends.try_emplace(server, End { now, lastAliveAt }).first->second;
    if (end.certainAt)
        return false;
    end.certainAt = now;
    end.suspects = std::move(running);
    std::erase_if(m_lost, [&](const Lost& lost) {
        const bool wasThere = std::find(lost.servers.begin(), lost.servers.end(), server) != lost.servers.end();
        if (wasThere)
            end.add(lost.suspect);
        return wasThere;
    });
    return true;
}

bool CrashEvidence::isOfGroup(const End& end, const RequestIdentity& request) const
{
    const auto others = std::count_if(m_ends.begin(), m_ends.end(), [&](const auto& each) {
        const End& other = each.second;
        return &other != &end && end.mayHaveEndedTogether(other) && !other.concerns(request);
    });
    return static_cast<std::size_t>(others) >= GroupSize;
}

CrashEvidence::Findings CrashEvidence::settle(TimePoint now)
{
    Findings findings;
    for (auto& [server, end] : m_ends) {
        if (end.settled || !end.certainAt || now < *end.certainAt + SettleTime)
            continue;
        end.settled = true;
        for (const CrashSuspect& suspect : end.suspects)
            (isOfGroup(end, suspect.request) ? findings.dismissed : findings.crashes).push_back({ suspect, server });
    }
    forgetOld(now);
    return findings;
}

std::size_t CrashEvidence::openCases(const RequestIdentity& request) const
{
    const auto lost = std::count_if(
        m_lost.begin(), m_lost.end(), [&](const Lost& each) { return each.suspect.request == request; });
    const auto ends = std::count_if(m_ends.begin(), m_ends.end(), [&](const auto& each) {
        const End& end = each.second;
        return end.certainAt && !end.settled && end.concerns(request);
    });
    return static_cast<std::size_t>(lost + ends);
}

std::map<std::uint64_t, TimePoint> CrashEvidence::unsettledServers() const
{
    std::map<std::uint64_t, TimePoint> servers;
    for (const Lost& lost : m_lost) {
        for (const std::uint64_t server : lost.servers)
            servers[server] = lost.at;
    }
    return servers;
}

void CrashEvidence::forgetOld(TimePoint now)
{
    while (!m_lost.empty() && now >= m_lost.front().at + LostLifetime)
        m_lost.pop_front();
    std::erase_if(m_ends, [&](const auto& each) { return now >= each.second.foundAt + EndLifetime; });
}

} // namespace crocusmount::relay
