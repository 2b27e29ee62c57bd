#include "relay/ServerFleet.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Weight of a success in the moving average of the failure rate. About the last ten attempts determine the rate.
    constexpr double SuccessWeight = 0.1;
    /// Weight of a failure in this moving average. Three consecutive failures raise the failure rate above 0.5.
    constexpr double FailureWeight = 0.25;
    /// How long a server is avoided after its first consecutive failure.
    constexpr Duration FirstFailureAvoidance = std::chrono::milliseconds(500);
    /// How long a server is avoided after it rejected a call. A few streams usually end within this time.
    constexpr Duration FirstRejectionAvoidance = std::chrono::milliseconds(250);
    /// Consecutive rejections without an event through the server after which it is not just out of memory.
    constexpr std::uint32_t UnhealthyRejections = 3;
    /// How long an engine counts as dead after an unanswered health check. The next check is sent before this ends.
    constexpr Duration DeadPause = std::chrono::milliseconds(700);
    /// Limit of doublings of DeadPause while health checks time out. An engine behind a network partition comes back
    /// without notice, so it must be checked often. An engine whose process has ended registers again.
    constexpr std::uint32_t MaxTimeoutDoublings = 1;
    /// How long an engine that accepts no new calls is sent none. If the store is available, the registry shows a
    /// leaving engine within one heartbeat. An engine that gives up layers is busy for seconds.
    constexpr Duration ClosedPause = std::chrono::milliseconds(2000);
    /// How long servers that left are remembered. Calls are shorter than this.
    constexpr Duration LeftServerRetention = std::chrono::minutes(1);
    /// How long removed servers are remembered in case their entries return.
    constexpr Duration RemovedServerRetention = std::chrono::minutes(10);
    /// How long an answered contact is reported to the other instances.
    constexpr Duration ContactLifetime = std::chrono::milliseconds(500);
    /// Limit of doublings of an avoidance. The longest one, 4 s, is about the time that a dead server stays registered.
    constexpr std::uint32_t MaxDoublings = 3;

} // namespace

bool FleetServer::recordLimit(const ServerLimit& named)
{
    if (named.askedAt < limit.askedAt)
        return false;
    const bool isChanged = limit.perSecond != named.perSecond;
    limit = named;
    return isChanged;
}

EngineLoad FleetServer::ownLoad(TimePoint now) const
{
    return { othersLoad.engine, ownTokenLayers, static_cast<double>(ownCalls), now < unhealthyUntil ? 1.0 : 0.0,
        now < lastContactAt + ContactLifetime ? 1.0 : 0.0 };
}

Registration ServerFleet::upsert(const RegisteredServer& entry, TimePoint now)
{
    Registration result;
    const BackendId previousId = m_starts.occupantOf(entry.address);
    const ServerStartStatus startStatus = m_starts.observe(entry, now);
    if (startStatus == ServerStartStatus::Ended) {
        m_outdatedEntries[entry.id] = entry;
        result.outdated = true;
        return result;
    }
    m_outdatedEntries.erase(entry.id);
    m_leftAt.erase(entry.id);
    if (previousId != entry.id) {
        const auto previous = m_servers.find(previousId);
        if (previous != m_servers.end() && previous->second.entry.address == entry.address) {
            m_outdatedEntries[previousId] = previous->second.entry;
            retain(FleetServer(previous->second), now);
            result.ended.push_back(std::move(previous->second));
            m_servers.erase(previous);
        }
    }
    if (const auto known = m_servers.find(entry.id);
        startStatus == ServerStartStatus::New && known != m_servers.end()) {
        result.ended.push_back(std::move(known->second));
        m_servers.erase(known);
    }
    const auto [position, added] = m_servers.try_emplace(entry.id);
    FleetServer& server = position->second;
    const std::uint64_t key = engineKey(entry.id, entry.startedAt);
    if (const auto removed = m_removed.find(key); added && removed != m_removed.end()) {
        const FleetServer& known = removed->second.first;
        server.limit = known.limit;
        server.backoff = known.backoff;
        server.hasAnnouncedLeaving = known.hasAnnouncedLeaving;
        m_removed.erase(removed);
    }
    RegisteredServer current = entry;
    current.leaving = entry.leaving || server.hasAnnouncedLeaving;
    result.changed = added || !(server.entry == current);
    if (server.entry.layers != current.layers)
        server.closedUntil = {};
    if (result.changed)
        server.listedAt = now;
    server.entry = current;
    server.othersLoad.engine = key;
    return result;
}

void ServerFleet::retain(FleetServer&& server, TimePoint now)
{
    std::erase_if(m_removed, [&](const auto& each) { return now > each.second.second + RemovedServerRetention; });
    const std::uint64_t key = server.othersLoad.engine;
    m_removed.insert_or_assign(key, std::make_pair(std::move(server), now));
}

bool ServerFleet::remove(const BackendId& id, TimePoint now)
{
    m_outdatedEntries.erase(id);
    const auto gone = m_servers.find(id);
    if (gone == m_servers.end())
        return false;
    const RegisteredServer last = gone->second.entry;
    retain(std::move(gone->second), now);
    m_servers.erase(gone);
    std::erase_if(m_leftAt, [&](const auto& each) { return now > each.second + LeftServerRetention; });
    if (last.leaving)
        m_leftAt[id] = now;
    // If both entries have a start time, the outdated start has certainly ended and must not be used again.
    const auto next = std::find_if(m_outdatedEntries.begin(), m_outdatedEntries.end(), [&](const auto& each) {
        const bool certain = each.second.startedAt.value() && last.startedAt.value();
        return each.second.address == last.address && !certain;
    });
    if (next == m_outdatedEntries.end())
        return false;
    const RegisteredServer entry = next->second;
    m_starts.reinstate(entry, now);
    upsert(entry, now);
    return true;
}

std::size_t ServerFleet::backoffCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_servers.begin(), m_servers.end(), [&](const auto& each) { return each.second.backoff.isActive(now); }));
}

std::size_t ServerFleet::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_servers.begin(), m_servers.end(), [](const auto& each) { return each.second.limit.isNamed(); }));
}

FleetServer* ServerFleet::find(const BackendId& id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

FleetServer* ServerFleet::findStart(const BackendId& id, StartTime startedAt)
{
    if (FleetServer* server = find(id); server && server->entry.startedAt == startedAt)
        return server;
    const auto removed = m_removed.find(engineKey(id, startedAt));
    return removed == m_removed.end() ? nullptr : &removed->second.first;
}

const std::set<BackendId>& ServerFleet::checkCandidates(TimePoint now)
{
    std::erase_if(m_checkCandidates, [&](const BackendId& id) {
        const FleetServer* server = find(id);
        return !server
            || !(server->isDead(now) || server->refusedCheck || server->slowness > 1 || server->closedCheckDue);
    });
    return m_checkCandidates;
}

FleetServer* ServerFleet::findByKey(std::uint64_t key)
{
    const auto found = std::find_if(
        m_servers.begin(), m_servers.end(), [&](const auto& each) { return each.second.othersLoad.engine == key; });
    return found == m_servers.end() ? nullptr : &found->second;
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
    m_knowsOthersLoad = loads.has_value();
    for (auto& [id, server] : m_servers) {
        EngineLoad load { server.othersLoad.engine };
        if (loads) {
            if (const auto found = loads->find(load.engine); found != loads->end())
                load = found->second;
        }
        server.othersLoad = load;
        server.ownLoadAtLastReport = server.ownLoad(now);
    }
}

std::vector<EngineLoad> ServerFleet::ownLoads(TimePoint now) const
{
    std::vector<EngineLoad> loads;
    for (const auto& [id, server] : m_servers) {
        const EngineLoad load = server.ownLoad(now);
        if (load.tokenLayers > 0 || load.avoiders > 0 || load.contacts > 0)
            loads.push_back(load);
    }
    return loads;
}

void ServerFleet::recordProgress(const Chain& chain, TimePoint now)
{
    for (const Hop& hop : chain.hops()) {
        if (FleetServer* server = find(hop.backend)) {
            server->lastProgress = now;
            server->lastAliveAt = now;
            server->consecutiveRejections = 0;
            server->unhealthyUntil = {};
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

void ServerFleet::recordFailure(const BackendId& id, TimePoint now)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->failureRate += FailureWeight * (1 - server->failureRate);
    const Duration avoidance = FirstFailureAvoidance * (1U << std::min(server->consecutiveFailures, MaxDoublings));
    server->avoidUntil = std::max(server->avoidUntil, now + avoidance);
    server->unhealthyUntil = server->avoidUntil;
    ++server->consecutiveFailures;
}

void ServerFleet::recordSuccess(const BackendId& id)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->failureRate -= SuccessWeight * server->failureRate;
    server->consecutiveFailures = 0;
}

void ServerFleet::recordRejection(const BackendId& id, TimePoint now)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->lastRejectedAt = now;
    server->closedCheckDue = true;
    m_checkCandidates.insert(id);
    const TimePoint until
        = now + FirstRejectionAvoidance * (1U << std::min(server->consecutiveRejections, MaxDoublings));
    server->avoidUntil = std::max(server->avoidUntil, until);
    if (++server->consecutiveRejections >= UnhealthyRejections)
        server->unhealthyUntil = server->avoidUntil;
}

void ServerFleet::recordAccepted(const Chain& chain, TimePoint now)
{
    for (const Hop& hop : chain.hops()) {
        if (FleetServer* server = find(hop.backend))
            server->lastAcceptedAt = now;
    }
}

void ServerFleet::markClosed(const BackendId& id, TimePoint now)
{
    if (FleetServer* server = find(id))
        server->closedUntil = now + ClosedPause;
}

void ServerFleet::recordAnsweredCheck(const BackendId& id, double slowness)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->beingChecked = false;
    server->lastAliveAt = std::max(server->lastAliveAt, server->lastCheckAt);
    server->slowness = std::max(1.0, slowness);
    m_checkCandidates.insert(id);
    server->deadUntil = {};
    server->unansweredChecks = 0;
    server->refusedCheck = false;
}

void ServerFleet::recordMissedCheck(const BackendId& id, bool refused, TimePoint now)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->beingChecked = false;
    server->refusedCheck = refused;
    const std::uint32_t doublings = std::min(server->unansweredChecks, refused ? MaxDoublings : MaxTimeoutDoublings);
    ++server->unansweredChecks;
    server->deadUntil = now + DeadPause * (1U << doublings);
    m_checkCandidates.insert(id);
    setAvoidedUntil(id, server->deadUntil);
}

void ServerFleet::forgetFailures()
{
    for (auto& [id, server] : m_servers) {
        server.failureRate = 0;
        server.consecutiveFailures = 0;
        server.avoidUntil = {};
        server.unhealthyUntil = {};
        server.deadUntil = {};
        server.unansweredChecks = 0;
        server.refusedCheck = false;
    }
}

void ServerFleet::recordReportedDead(const BackendId& id, TimePoint now)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->deadUntil = now + DeadPause;
    m_checkCandidates.insert(id);
    setAvoidedUntil(id, server->deadUntil);
}

void ServerFleet::setAvoidedUntil(const BackendId& id, TimePoint until)
{
    FleetServer* server = find(id);
    if (!server)
        return;
    server->avoidUntil = std::max(server->avoidUntil, until);
    server->unhealthyUntil = server->avoidUntil;
}

} // namespace crocusmount::relay
