#include "relay/RetryShare.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// The delay until a share is granted exceeds the window by this fraction of it, for retries that arrive later than
    /// they were decided on and for instances that learn late of new ones.
    constexpr int GrantMarginDivisor = 5;
    /// All instances that start together are in the list after this fraction of the window.
    constexpr int SettleDivisor = 4;
    /// A copy of the store that lags behind by less than this fraction of the window counts as current.
    constexpr int CopyToleranceDivisor = 10;

} // namespace

RetryShare::RetryShare(double slack, Duration window)
    : m_slack(slack)
    , m_window(window)
    , m_capacity(window.count() > 0 ? 1 : std::max(1.0, slack))
    , m_isGranted(window.count() <= 0)
{
}

void RetryShare::instancesCounted(std::uint32_t instances, bool isListed, TimePoint now)
{
    if (m_counted)
        m_lastCountedAt[m_counted] = now;
    m_counted = std::max(1U, instances);
    m_isListed = isListed;
}

bool RetryShare::advance(TimePoint now)
{
    const double capacity = m_capacity;
    const bool wasGranted = m_isGranted;
    if (m_window.count() <= 0) {
        m_instances = std::max(1U, m_counted);
        m_capacity = std::max(1.0, m_slack / m_instances);
        return capacity != m_capacity;
    }
    updateConfirmation(now);
    updateInstances(now);
    const Duration settleTime = m_window / SettleDivisor;
    m_isSettled = m_isSettled || hasBeenConfirmedFor(settleTime, now);
    const Duration grantDelay = m_window + m_window / GrantMarginDivisor;
    if (!m_isGranted && hasBeenConfirmedFor(settleTime, now) && now - *m_countedSince >= grantDelay)
        m_isGranted = true;
    m_capacity = m_isSettled ? std::max(1.0, m_slack / m_instances) : 1;
    return capacity != m_capacity || wasGranted != m_isGranted;
}

void RetryShare::updateConfirmation(TimePoint now)
{
    const bool stoodStill = m_advancedAt && now - *m_advancedAt > m_window * LapseWindows;
    m_advancedAt = now;
    if (!m_isCopyOutdated)
        m_copyCurrentAt = now;
    const bool isCopyCurrent = m_copyCurrentAt && now - *m_copyCurrentAt <= m_window / CopyToleranceDivisor;
    if (stoodStill || (m_confirmedAt && now - *m_confirmedAt > m_window * LapseWindows))
        lapse();
    if (!m_isListed || !isCopyCurrent) {
        m_confirmedSince.reset();
        if (!m_isListed && !m_isGranted)
            m_countedSince.reset();
        return;
    }
    m_confirmedAt = now;
    m_confirmedSince = m_confirmedSince.value_or(now);
    m_countedSince = m_countedSince.value_or(now);
}

void RetryShare::lapse()
{
    m_isGranted = false;
    m_isSettled = false;
    m_confirmedAt.reset();
    m_confirmedSince.reset();
    m_countedSince.reset();
}

void RetryShare::updateInstances(TimePoint now)
{
    std::erase_if(m_lastCountedAt, [&](const auto& each) { return now - each.second > m_window * RetentionWindows; });
    const std::uint32_t largestLately = m_lastCountedAt.empty() ? 0 : m_lastCountedAt.rbegin()->first;
    m_instances = std::max(m_counted, largestLately);
}

bool RetryShare::hasBeenConfirmedFor(Duration span, TimePoint now) const
{
    return m_confirmedSince && now - *m_confirmedSince >= span;
}

} // namespace crocusmount::relay
