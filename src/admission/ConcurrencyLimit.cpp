#include "admission/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace crocusmount {

namespace {

    /// Enough to notice that an overload is over. Many instances share few engines: more would keep these overloaded.
    constexpr double Least = 1;
    constexpr double Most = 512;
    /// An answer that begins this late, as part of the objective, shows that the next ones may miss it.
    constexpr double LateRatio = 0.8;
    /// Below this part of the objective there is room for more.
    constexpr double EarlyRatio = 0.5;
    /// The bound grows only while it binds: in flight at least this part of it.
    constexpr double BindingShare = 0.8;
    /// An early answer makes room for one more. With less the bound would stand still until streams end, which takes
    /// seconds.
    constexpr double Increase = 1;
    /// A bound far above what is in flight would take many steps to bind. The number of calls varies by chance, by the
    /// square root of their mean, so the bound keeps this many such deviations above it.
    constexpr double Headroom = 2;
    constexpr double DecreaseFactor = 0.95;
    /// Calls in flight answer to a smaller bound only after some of them ended; until then further decreases overshoot.
    constexpr Duration DecreaseInterval = std::chrono::milliseconds(150);

} // namespace

void ConcurrencyLimit::answered(double ratio, double inFlight, TimePoint now)
{
    if (ratio > LateRatio)
        decrease(inFlight, now);
    else if (ratio < EarlyRatio && inFlight >= BindingShare * m_limit)
        m_limit = std::min(Most, m_limit + Increase);
}

void ConcurrencyLimit::rejected(double inFlight, TimePoint now) { decrease(inFlight, now); }

void ConcurrencyLimit::decrease(double inFlight, TimePoint now)
{
    if (now < m_lastDecrease + DecreaseInterval)
        return;
    m_lastDecrease = now;
    m_limit = std::max(Least, std::min(m_limit, inFlight + Headroom * std::sqrt(inFlight + 1)) * DecreaseFactor);
}

} // namespace crocusmount
