#include "admission/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusmount {

namespace {

    /// One call is enough to detect the end of an overload. Many instances share few engines, so that a higher minimum
    /// would keep these overloaded.
    constexpr double MinLimit = 1;
    constexpr double MaxLimit = 512;
    /// An answer that takes more than this share of the objective to begin is late. The next ones may miss the
    /// objective.
    constexpr double LateRatio = 0.8;
    /// An answer that takes less than this share of the objective to begin is early. There is room for more calls.
    constexpr double EarlyRatio = 0.5;
    /// The limit increases only if the calls in flight use at least this share of it.
    constexpr double MinUseForIncrease = 0.8;
    /// Each early answer admits one more call. With a smaller step, the limit would admit no further call until streams
    /// end, which takes seconds.
    constexpr double IncreaseStep = 1;
    /// A limit far above the number of calls in flight would have no effect until after many decreases, so a decrease
    /// first lowers the limit to near that number. The number varies randomly with a standard deviation of its square
    /// root. The limit stays this many standard deviations above the number.
    constexpr double HeadroomDeviations = 2;
    constexpr double DecreaseFactor = 0.95;
    /// Minimum time between decreases. The number of calls in flight follows a lower limit only after some of them have
    /// ended, and further decreases until then would overshoot.
    constexpr Duration MinDecreaseInterval = std::chrono::milliseconds(150);

} // namespace

void ConcurrencyLimit::answered(double ratio, double inFlight, TimePoint now)
{
    if (ratio > LateRatio)
        decrease(inFlight, now);
    else if (ratio < EarlyRatio && inFlight >= MinUseForIncrease * m_limit)
        m_limit = std::min(MaxLimit, m_limit + IncreaseStep);
}

void ConcurrencyLimit::rejected(double inFlight, TimePoint now) { decrease(inFlight, now); }

void ConcurrencyLimit::setInitial(double share)
{
    if (m_wasDecreased)
        return;
    const double wanted = std::clamp(share, MinLimit, MaxLimit);
    m_limit = std::exchange(m_hasInitial, true) ? std::max(m_limit, wanted) : wanted;
}

void ConcurrencyLimit::decrease(double inFlight, TimePoint now)
{
    if (now < m_lastDecrease + MinDecreaseInterval)
        return;
    m_wasDecreased = true;
    m_lastDecrease = now;
    m_limit = std::max(
        MinLimit, std::min(m_limit, inFlight + HeadroomDeviations * std::sqrt(inFlight + 1)) * DecreaseFactor);
}

} // namespace crocusmount
