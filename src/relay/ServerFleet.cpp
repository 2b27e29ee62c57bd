#include "relay/ServerFleet.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Weight of a new sample; about the last ten decide.
    constexpr double SampleWeight = 0.1;
    /// A failure's weight: three in a row bring the rate above a half.
    constexpr double FailureWeight = 0.25;
    constexpr Duration FirstAvoidance = std::chrono::milliseconds(500);
    /// How long a server is left alone after it turned a call away; some streams end within this time.
    constexpr Duration FullPause = std::chrono::milliseconds(250);
    /// Calls turned away in a row, without an event through the server, that are more than a full memory.
    constexpr std::uint32_t TroubleRejections = 3;
    /// How long an engine that did not answer a check is left alone; it is checked again before.
    constexpr Duration DeadPause = std::chrono::milliseconds(700);
    /// An engine behind a cut is back without a word; one whose process has ended registers again.
    constexpr std::uint32_t SilentDoublings = 1;
    /// How long an engine that takes no new work is sent none. The list shows a leaving one within a heartbeat, where
    /// the store answers; one that gives up layers is busy for seconds.
    constexpr Duration ClosedPause = std::chrono::milliseconds(2000);
    /// How long it is remembered that a server has left; calls last for less.
    constexpr Duration LeftMemory = std::chrono::minutes(1);
    constexpr std::uint32_t MostDoublings = 3; ///< longest avoidance: 4 s, about the time a dead server stays listed

} // namespace

EngineLoad FleetServer::ownLoad(TimePoint now) const
{
    return { others.engine, ownTokenLayers, static_cast<double>(ownCalls), now < troubleUntil ? 1.0 : 0.0 };
}

Registration ServerFleet::upsert(const RegisteredServer& entry, TimePoint now)
{
    Registration result;
    const BackendId before = m_starts.occupantOf(entry.address);
    const StartStanding standing = m_starts.note(entry, now);
    if (standing == StartStanding::Ended) {
        m_outdated[entry.id] = entry;
        result.outdated = true;
        return result;
    }
    m_outdated.erase(entry.id);
    m_left.erase(entry.id);
    if (before != entry.id) {
        const auto other = m_servers.find(before);
        if (other != m_servers.end() && other->second.entry.address == entry.address) {
            m_outdated[before] = other->second.entry;
            result.ended.push_back(std::move(other->second));
            m_servers.erase(other);
        }
    }
    if (const auto known = m_servers.find(entry.id); standing == StartStanding::New && known != m_servers.end()) {
        result.ended.push_back(std::move(known->second));
        m_servers.erase(known);
    }
    const auto [position, added] = m_servers.try_emplace(entry.id);
    result.changed = added || !(position->second.entry == entry);
    if (position->second.entry.layers != entry.layers)
        position->second.closedUntil = {};
    if (result.changed)
        position->second.listedAt = now;
    position->second.entry = entry;
    position->second.others.engine = engineKey(entry.id, entry.startedAt);
    return result;
}

bool ServerFleet::remove(const BackendId& id, TimePoint now)
{
    m_outdated.erase(id);
    const auto gone = m_servers.find(id);
    if (gone == m_servers.end())
        return false;
    const RegisteredServer last = gone->second.entry;
    m_servers.erase(gone);
    std::erase_if(m_left, [&](const auto& each) { return now > each.second + LeftMemory; });
    if (last.leaving)
        m_left[id] = now;
    // Where both say when they started, the outdated one has ended for certain.
    const auto next = std::find_if(m_outdated.begin(), m_outdated.end(), [&](const auto& each) {
        const bool certain = each.second.startedAt.value() && last.startedAt.value();
        return each.second.address == last.address && !certain;
    });
    if (next == m_outdated.end())
        return false;
    const RegisteredServer entry = next->second;
    m_starts.reinstate(entry, now);
    upsert(entry, now);
    return true;
}

FleetServer* ServerFleet::find(const BackendId& id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

const std::set<BackendId>& ServerFleet::checkCandidates(TimePoint now)
{
    std::erase_if(m_checkCandidates, [&](const BackendId& id) {
        const FleetServer* server = find(id);
        return !server || !(server->isDead(now) || server->slowness > 1 || server->closedCheckDue);
    });
    return m_checkCandidates;
}

FleetServer* ServerFleet::findByAddress(const std::string& address)
{
    const auto found = std::find_if(
        m_servers.begin(), m_servers.end(), [&](const auto& each) { return each.second.entry.address == address; });
    return found == m_servers.end() ? nullptr : &found->second;
}

void ServerFleet::book(const Chain& chain, double tokens)
{
    for (const Hop& hop : chain.hops()) {
        if (FleetServer* server = find(hop.backend))
            server->ownTokenLayers += tokens * hop.layers.size();
    }
    if (FleetServer* first = chain.hops().empty() ? nullptr : find(chain.hops().front().backend))
        ++first->ownCalls;
}

void ServerFleet::unbook(const Chain& chain, double tokens)
{
    for (const Hop& hop : chain.hops()) {
        if (FleetServer* server = find(hop.backend))
            server->ownTokenLayers = std::max(0.0, server->ownTokenLayers - tokens * hop.layers.size());
    }
    FleetServer* first = chain.hops().empty() ? nullptr : find(chain.hops().front().backend);
    if (first && first->ownCalls)
        --first->ownCalls;
}

void ServerFleet::setOthersLoad(const std::optional<EngineLoads>& loads, TimePoint now)
{
    m_knowsOthers = loads.has_value();
    for (auto& [id, server] : m_servers) {
        EngineLoad heard { server.others.engine };
        if (loads) {
            if (const auto found = loads->find(heard.engine); found != loads->end())
                heard = found->second;
        }
        server.others = heard;
        server.reported = server.ownLoad(now);
    }
}

std::vector<EngineLoad> ServerFleet::ownLoads(TimePoint now) const
{
    std::vector<EngineLoad> loads;
    for (const auto& [id, server] : m_servers) {
        const EngineLoad load = server.ownLoad(now);
        if (load.tokenLayers > 0 || load.avoiders > 0)
            loads.push_back(load);
    }
    return loads;
}

void ServerFleet::progressed(const Chain& chain, TimePoint now)
{
    for (const Hop& hop : chain.hops()) {
        if (FleetServer* server = find(hop.backend)) {
            server->lastProgress = now;
            server->lastAliveAt = now;
            server->rejectionsInRow = 0;
            server->troubleUntil = {};
        }
    }
}

void ServerFleet::answerBegun(const BackendId& id, const Chain& chain, TimePoint now)
{
    if (FleetServer* server = find(id))
        server->lastAliveAt = now;
    for (const Hop& hop : chain.hops()) {
        if (FleetServer* server = find(hop.backend))
            server->lastAliveAt = now;
    }
}

void ServerFleet::failed(const BackendId& id, TimePoint now)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->failureRate += FailureWeight * (1 - server->failureRate);
    const Duration avoidance = FirstAvoidance * (1U << std::min(server->failuresInRow, MostDoublings));
    server->avoidUntil = std::max(server->avoidUntil, now + avoidance);
    server->troubleUntil = server->avoidUntil;
    ++server->failuresInRow;
}

void ServerFleet::succeeded(const BackendId& id)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->failureRate -= SampleWeight * server->failureRate;
    server->failuresInRow = 0;
}

void ServerFleet::turnedAway(const BackendId& id, TimePoint now)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->turnedAwayAt = now;
    server->closedCheckDue = true;
    m_checkCandidates.insert(id);
    const TimePoint until = now + FullPause * (1U << std::min(server->rejectionsInRow, MostDoublings));
    server->avoidUntil = std::max(server->avoidUntil, until);
    if (++server->rejectionsInRow >= TroubleRejections)
        server->troubleUntil = server->avoidUntil;
}

void ServerFleet::accepted(const Chain& chain, TimePoint now)
{
    for (const Hop& hop : chain.hops()) {
        if (FleetServer* server = find(hop.backend))
            server->acceptedAt = now;
    }
}

void ServerFleet::closed(const BackendId& id, TimePoint now)
{
    if (FleetServer* server = find(id))
        server->closedUntil = now + ClosedPause;
}

void ServerFleet::answeredCheck(const BackendId& id, double slowness)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->beingChecked = false;
    server->lastAliveAt = std::max(server->lastAliveAt, server->lastCheck);
    server->slowness = std::max(1.0, slowness);
    m_checkCandidates.insert(id);
    server->deadUntil = {};
    server->unansweredChecks = 0;
    server->refusedCheck = false;
}

void ServerFleet::missedCheck(const BackendId& id, bool refused, TimePoint now)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->beingChecked = false;
    server->refusedCheck = refused;
    const std::uint32_t doublings = std::min(server->unansweredChecks, refused ? MostDoublings : SilentDoublings);
    ++server->unansweredChecks;
    server->deadUntil = now + DeadPause * (1U << doublings);
    m_checkCandidates.insert(id);
    suspect(id, server->deadUntil);
}

void ServerFleet::reportedDead(const BackendId& id, TimePoint now)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->deadUntil = now + DeadPause;
    m_checkCandidates.insert(id);
    suspect(id, server->deadUntil);
}

void ServerFleet::suspect(const BackendId& id, TimePoint until)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->avoidUntil = std::max(server->avoidUntil, until);
    server->troubleUntil = server->avoidUntil;
}

} // namespace crocusmount::relay
