#include "relay/EngineCheckBudget.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Checks of one engine by all instances together, a second, beside the burst. The users' platforms price a probe
    /// like a hundredth to a fiftieth of a call: four times as many cost 0.02 of a day's worth on the dearest.
    constexpr double ChecksPerSecond = 0.5;

} // namespace

void EngineCheckBudget::earn(std::size_t engines, std::uint32_t instances, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_lastEarned).count();
    m_lastEarned = now;
    const double rate = ChecksPerSecond * static_cast<double>(engines) / std::max(1U, instances);
    m_saved = std::min(Burst, m_saved + std::max(0.0, seconds) * rate);
}

bool EngineCheckBudget::spend()
{
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

} // namespace crocusmount::relay
