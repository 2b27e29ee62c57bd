#include "relay/EngineCheckBudget.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Checks of one engine by all instances together, a second, beside the burst. The users' platforms price a probe
    /// like a hundredth to a fiftieth of a call: four times as many cost 0.02 of a day's worth on the dearest.
    constexpr double ChecksPerSecond = 0.5;
    /// Urgent checks of all engines are saved up in this time; a registry shows a dead engine after some four.
    constexpr double SweepSeconds = 5;

} // namespace

void EngineCheckBudget::earn(std::size_t engines, std::uint32_t instances, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_lastEarned).count();
    m_lastEarned = now;
    const double rate = ChecksPerSecond * static_cast<double>(engines) / std::max(1U, instances);
    m_saved = std::min(Burst, m_saved + std::max(0.0, seconds) * rate);
    const double most = std::max(Burst, static_cast<double>(engines));
    m_urgent = std::min(most, m_urgent + std::max(0.0, seconds) * most / SweepSeconds);
}

bool EngineCheckBudget::spendUrgent()
{
    if (m_urgent < 1)
        return spend();
    m_urgent -= 1;
    return true;
}

bool EngineCheckBudget::spend()
{
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

} // namespace crocusmount::relay
