#include "relay/ServerStartTracker.h"

#include "relay/RegisteredServer.h"

namespace crocusmount::relay {

namespace {

    /// How long an ended start is remembered. Its entries reappear up to about four seconds late, and much later after
    /// an outage of the store.
    constexpr Duration EndedStartRetention = std::chrono::minutes(10);
    constexpr Duration ForgetInterval = std::chrono::minutes(1);

    bool bothKnown(StartTime one, StartTime other) { return one.value() && other.value(); }

} // namespace

ServerStartStatus ServerStartTracker::observe(const RegisteredServer& server, TimePoint now)
{
    forgetEnded(now);
    const auto known = m_starts.find(server.id);
    const bool isNewId = known == m_starts.end();
    bool isLaterStart = false;
    if (!isNewId) {
        Start& start = known->second;
        start.lastSeen = now;
        isLaterStart = server.startedAt.value() && start.time < server.startedAt;
        // A server that has published a start time always publishes one, so an entry without a start time is from an
        // earlier start.
        if (server.startedAt < start.time || (start.ended && !isLaterStart))
            return ServerStartStatus::Ended;
    }
    const auto occupant = m_occupants.find(server.address);
    if (occupant != m_occupants.end() && occupant->second != server.id) {
        Start& other = m_starts[occupant->second];
        if (!isSuccessor(server, other, isNewId)) {
            m_starts[server.id] = { server.startedAt, server.address, now, true };
            return ServerStartStatus::Ended;
        }
        if (other.address == server.address) {
            other.ended = true;
            other.lastSeen = now;
        }
    }
    m_occupants[server.address] = server.id;
    m_starts[server.id] = { server.startedAt, server.address, now, false };
    return isNewId || isLaterStart ? ServerStartStatus::New : ServerStartStatus::Known;
}

bool ServerStartTracker::isSuccessor(const RegisteredServer& server, const Start& occupant, bool isNewId) const
{
    if (occupant.address != server.address)
        return true; // The occupant has moved to another address.
    return bothKnown(server.startedAt, occupant.time) ? occupant.time < server.startedAt : isNewId;
}

void ServerStartTracker::reinstate(const RegisteredServer& server, TimePoint now)
{
    m_occupants[server.address] = server.id;
    m_starts[server.id] = { server.startedAt, server.address, now, false };
}

bool ServerStartTracker::hasEnded(const BackendId& id) const
{
    const auto start = m_starts.find(id);
    return start != m_starts.end() && start->second.ended;
}

BackendId ServerStartTracker::occupantOf(const std::string& address) const
{
    const auto occupant = m_occupants.find(address);
    return occupant == m_occupants.end() ? BackendId() : occupant->second;
}

void ServerStartTracker::forgetEnded(TimePoint now)
{
    if (now < m_lastForgotten + ForgetInterval)
        return;
    m_lastForgotten = now;
    std::erase_if(m_starts,
        [&](const auto& each) { return each.second.ended && each.second.lastSeen + EndedStartRetention < now; });
}

} // namespace crocusmount::relay
