#include "relay/StartLedger.h"

#include "relay/RegisteredServer.h"

namespace crocusmount::relay {

namespace {

    /// How long an ended start is remembered. Entries come back some four seconds late; ten minutes leave room for an
    /// outage of the store.
    constexpr Duration Memory = std::chrono::minutes(10);
    constexpr Duration ForgetInterval = std::chrono::minutes(1);

    bool bothKnown(StartTime one, StartTime other) { return one.value() && other.value(); }

} // namespace

StartStanding StartLedger::note(const RegisteredServer& server, TimePoint now)
{
    forgetEnded(now);
    const auto known = m_starts.find(server.id);
    const bool isFirstWord = known == m_starts.end();
    bool isLaterStart = false;
    if (!isFirstWord) {
        Start& start = known->second;
        start.lastSeen = now;
        isLaterStart = server.startedAt.value() && start.time < server.startedAt;
        // A server that once said when it started always does: an entry without it is not its own.
        if (server.startedAt < start.time || (start.ended && !isLaterStart))
            return StartStanding::Ended;
    }
    const auto occupant = m_occupants.find(server.address);
    if (occupant != m_occupants.end() && occupant->second != server.id) {
        Start& other = m_starts[occupant->second];
        if (!followsOccupant(server, other, isFirstWord)) {
            m_starts[server.id] = { server.startedAt, server.address, now, true };
            return StartStanding::Ended;
        }
        if (other.address == server.address) {
            other.ended = true;
            other.lastSeen = now;
        }
    }
    m_occupants[server.address] = server.id;
    m_starts[server.id] = { server.startedAt, server.address, now, false };
    return isFirstWord || isLaterStart ? StartStanding::New : StartStanding::Known;
}

bool StartLedger::followsOccupant(const RegisteredServer& server, const Start& occupant, bool isFirstWord) const
{
    if (occupant.address != server.address)
        return true; // It moved elsewhere.
    return bothKnown(server.startedAt, occupant.time) ? occupant.time < server.startedAt : isFirstWord;
}

void StartLedger::reinstate(const RegisteredServer& server, TimePoint now)
{
    m_occupants[server.address] = server.id;
    m_starts[server.id] = { server.startedAt, server.address, now, false };
}

bool StartLedger::hasEnded(const BackendId& id) const
{
    const auto start = m_starts.find(id);
    return start != m_starts.end() && start->second.ended;
}

BackendId StartLedger::occupantOf(const std::string& address) const
{
    const auto occupant = m_occupants.find(address);
    return occupant == m_occupants.end() ? BackendId() : occupant->second;
}

void StartLedger::forgetEnded(TimePoint now)
{
    if (now < m_lastForgotten + ForgetInterval)
        return;
    m_lastForgotten = now;
    std::erase_if(m_starts, [&](const auto& each) { return each.second.ended && each.second.lastSeen + Memory < now; });
}

} // namespace crocusmount::relay
