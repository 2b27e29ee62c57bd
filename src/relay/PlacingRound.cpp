#include "relay/PlacingRound.h"

namespace crocusmount::relay {

bool PlacingRound::shouldTry(const Call& call, bool isLimited)
{
    if (call.rank > m_leastUrgent) {
        // The queue is in order of rank.
        m_isOver = true;
        return false;
    }
    const bool isUseless = (isLimited && m_isLimitReached) || (!call.hasAvoidedServers() && call.tokens >= m_tooLarge);
    if (isUseless)
        passOver(call);
    return !isUseless;
}

void PlacingRound::failed(Call& call, PlaceResult result, bool dependsOnSize)
{
    passOver(call);
    if (result == PlaceResult::LimitReached) {
        m_isLimitReached = true;
        m_leastUrgent = std::min(m_leastUrgent, call.rank);
        return;
    }
    if (++m_failedSearches >= MaxFailedSearches)
        m_isOver = true;
    // A caller that returned on time was promised room, wherever it is.
    if (call.hasAvoidedServers() && !call.isReturnOnTime)
        return;
    m_leastUrgent = std::min(m_leastUrgent, call.rank);
    m_tooLarge = std::min(m_tooLarge, call.tokens);
    m_waitingForRoom.push_back(&call);
    if (!dependsOnSize || call.isReturnOnTime || call.overtakenBy >= MaxOvertakes)
        m_isOver = true;
}

void PlacingRound::started()
{
    for (Call* call : m_waitingForRoom) {
        if (++call->overtakenBy >= MaxOvertakes)
            m_isOver = true;
    }
}

void PlacingRound::passOver(const Call& call)
{
    m_passedOver.insert(call.id);
    if (m_passedOver.size() >= MaxPassedOver)
        m_isOver = true;
}

} // namespace crocusmount::relay
