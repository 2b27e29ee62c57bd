#include "relay/ServiceQueue.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Weight of the latest end of a call in the moving average of the rate of ends.
    constexpr double EndRateWeight = 0.05;
    /// Bounds on one sample of that rate, for calls that end at nearly the same time.
    constexpr double MaxEndsPerSecond = 200;
    constexpr double MinSecondsBetweenEnds = 1e-3;
    /// Bounds of an expected wait, while no calls end.
    constexpr double MinEndsPerSecond = 1e-6;
    constexpr double MaxExpectedWaitSeconds = 3600;
    /// A shortage is over when no call was refused for this long. Streams last about three seconds.
    constexpr Duration ShortageEndGap = std::chrono::seconds(2);

} // namespace

void ServiceQueue::arrived(int rank, bool isReturn, TimePoint now)
{
    m_mostUrgentRank = std::min(m_mostUrgentRank, rank);
    m_arrivals.add(now);
    if (!isReturn)
        m_newcomers.add(now);
}

ReturnSlots::Rates ServiceQueue::rates(TimePoint now) const
{
    return { m_ends.perSecond(now), m_newcomers.perSecond(now), m_arrivals.perSecond(now) };
}

std::optional<Duration> ServiceQueue::expectedWait(std::size_t ahead, TimePoint now) const
{
    if (!m_ends.isKnown())
        return std::nullopt;
    const std::chrono::duration<double> wait(std::min(
        MaxExpectedWaitSeconds, static_cast<double>(ahead) / std::max(MinEndsPerSecond, m_ends.perSecond(now))));
    return std::chrono::duration_cast<Duration>(wait);
}

void ServiceQueue::ended(TimePoint now, bool hadBegun)
{
    if (hadBegun)
        m_ends.add(now);
    m_running = std::max(0.0, m_running - 1);
    const double seconds = std::max(MinSecondsBetweenEnds, std::chrono::duration<double>(now - m_lastEnd).count());
    m_lastEnd = now;
    m_endsPerSecond += EndRateWeight * (std::min(1 / seconds, MaxEndsPerSecond) - m_endsPerSecond);
}

Duration ServiceQueue::refused(TimePoint now)
{
    if (now > m_lastRefusal + ShortageEndGap)
        m_shortageSince = now;
    m_lastRefusal = now;
    return now - m_shortageSince;
}

Duration ServiceQueue::expectedWait() const
{
    if (m_endsPerSecond <= 0)
        return Duration(0);
    const std::chrono::duration<double> wait(static_cast<double>(m_waiting.size()) / m_endsPerSecond);
    return std::chrono::duration_cast<Duration>(wait);
}

} // namespace crocusmount::relay
