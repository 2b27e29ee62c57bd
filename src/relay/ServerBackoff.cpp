#include "relay/ServerBackoff.h"

#include "relay/ScaledDuration.h"
#include "relay/Spread.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Largest delay of the end after the first rejection, as a share of the time that the server asked for. It doubles
    /// with each return that the server rejects.
    constexpr double FirstDelayShare = 0.5;
    constexpr std::uint32_t MaxDoublings = 2;
    /// Attempts that may be started for each accepted one.
    constexpr std::uint32_t AttemptsPerAcceptance = 2;
    /// Accepted attempts after which the server counts as recovered.
    constexpr std::uint32_t AcceptancesToRecover = 8;
    /// Time after which another attempt may be started although the last one has not been accepted. It may have ended
    /// without an answer.
    constexpr Duration UnansweredPause = std::chrono::milliseconds(1000);

} // namespace

void ServerBackoff::requested(Duration retryAfter, TimePoint askedAt, TimePoint now, std::uint64_t entropy)
{
    if (retryAfter.count() <= 0)
        return;
    // Attempts that were under way together are rejected together, which shows no more than one rejection does.
    const bool isRejectedReturn = m_attemptsLeft && !m_accepted && askedAt >= m_endsAt;
    if (isRejectedReturn)
        ++m_rejectedReturns;
    else if (!isActive(now))
        m_rejectedReturns = 0;
    const double maxShare = FirstDelayShare * (1U << std::min(m_rejectedReturns, MaxDoublings));
    const double share = maxShare * uniformFraction(entropy, static_cast<std::uint64_t>(retryAfter.count()));
    m_endsAt = std::max(m_endsAt, now + retryAfter + scaled(retryAfter, share));
    m_attemptsLeft = 1;
    m_accepted = 0;
}

void ServerBackoff::attemptStarted(TimePoint now)
{
    m_lastAttemptAt = now;
    if (m_attemptsLeft && *m_attemptsLeft)
        --*m_attemptsLeft;
}

void ServerBackoff::attemptAccepted(TimePoint startedAt)
{
    if (!m_attemptsLeft || startedAt < m_endsAt)
        return;
    *m_attemptsLeft += AttemptsPerAcceptance;
    if (++m_accepted >= AcceptancesToRecover)
        m_attemptsLeft.reset();
}

bool ServerBackoff::allowsAttempt(TimePoint now) const
{
    if (isActive(now))
        return false;
    return !m_attemptsLeft || *m_attemptsLeft || now >= m_lastAttemptAt + UnansweredPause;
}

} // namespace crocusmount::relay
