#include "admission/EventRate.h"

#include <algorithm>
#include <cmath>

namespace crocusmount {

namespace {

    /// Shortest time over which a rate is computed.
    constexpr double MinSeconds = 0.1;

    double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

} // namespace

void EventRate::add(TimePoint now)
{
    if (!m_count)
        m_first = now;
    m_weight = weight(now) + 1;
    m_last = std::max(m_last, now);
    m_count = std::min(m_count + 1, MinEvents);
}

double EventRate::weight(TimePoint now) const
{
    return m_weight * std::exp(-std::max(0.0, seconds(now - m_last)) / seconds(m_span));
}

double EventRate::perSecond(TimePoint now) const
{
    if (!m_count)
        return 0;
    // The weight that a rate of one a second would have reached since the first event.
    const double observed = std::max(MinSeconds, seconds(now - m_first));
    return weight(now) / (seconds(m_span) * (1 - std::exp(-observed / seconds(m_span))));
}

} // namespace crocusmount
