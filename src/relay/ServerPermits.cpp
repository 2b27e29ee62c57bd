#include "relay/ServerPermits.h"

#include "relay/PermitAnswer.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Counted from the request, so that a late answer does not extend it.
    constexpr Duration PermitLifetime = std::chrono::milliseconds(500);
    /// A request that is not answered within this time was lost, or the coordinator has ended.
    constexpr Duration AnswerTimeout = std::chrono::milliseconds(100);
    /// Time from an unanswered request to the next one.
    constexpr Duration UnansweredPause = std::chrono::milliseconds(250);

} // namespace

bool ServerPermits::isPending(TimePoint now) const { return m_pendingNumber && now < m_requestedAt + AnswerTimeout; }

TimePoint ServerPermits::nextRequestAt() const
{
    return m_pendingNumber ? m_requestedAt + UnansweredPause : m_nextRequestAt;
}

bool ServerPermits::shouldRequest(TimePoint now) const { return !areAvailable(now) && now >= nextRequestAt(); }

void ServerPermits::requested(std::uint64_t number, TimePoint now)
{
    m_pendingNumber = number;
    m_requestedAt = now;
}

void ServerPermits::answered(const PermitAnswer& answer, TimePoint now)
{
    if (m_pendingNumber != answer.number)
        return;
    m_pendingNumber.reset();
    m_available = answer.granted;
    m_expiresAt = m_requestedAt + PermitLifetime;
    m_nextRequestAt = now + answer.retryAfter;
    m_interval = answer.retryAfter / std::max(1U, answer.granted);
}

Duration ServerPermits::interval(TimePoint now) const
{
    const bool isUnanswered = m_pendingNumber && !isPending(now);
    return isUnanswered ? std::max(m_interval, UnansweredPause) : m_interval;
}

TimePoint ServerPermits::availableAt(TimePoint now) const
{
    return areAvailable(now) || isPending(now) ? now : std::max(now, nextRequestAt());
}

} // namespace crocusmount::relay
