#include "relay/EngineCheckBudget.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Refill rate of regular checks per engine and second, over all instances. The platforms charge a probe like 0.01
    /// to 0.02 of a call. Four times this rate costs 0.02 of a day's worth on the most expensive platform.
    constexpr double RegularChecksPerEngineSecond = 0.5;
    /// Time in seconds that refills the urgent bucket completely. The registry shows a dead engine after about 4 s.
    constexpr double UrgentRefillSeconds = 5;

    /// Refill rate of checks by evidence per engine and second, over all instances.
    constexpr double EvidenceChecksPerEngineSecond = 1;
    /// Checks of one engine within a window by the instances that suspect it.
    constexpr double ExpectedSuspectChecks = 20;

} // namespace

void EngineCheckBudget::refill(std::size_t engines, std::uint32_t instances, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_lastRefill).count();
    m_lastRefill = now;
    const double regularRate = RegularChecksPerEngineSecond * static_cast<double>(engines) / std::max(1U, instances);
    m_regularTokens = std::min(RegularBurst, m_regularTokens + std::max(0.0, seconds) * regularRate);
    const double evidenceRate = EvidenceChecksPerEngineSecond * static_cast<double>(engines) / std::max(1U, instances);
    m_evidenceTokens = std::min(EvidenceBurst, m_evidenceTokens + std::max(0.0, seconds) * evidenceRate);
    const double urgentBurst = std::max(RegularBurst, static_cast<double>(engines));
    m_urgentTokens = std::min(urgentBurst, m_urgentTokens + std::max(0.0, seconds) * urgentBurst / UrgentRefillSeconds);
}

bool EngineCheckBudget::spendUrgent()
{
    if (m_urgentTokens < 1)
        return spend();
    m_urgentTokens -= 1;
    return true;
}

double EngineCheckBudget::suspectCheckChance(double users) { return std::min(1.0, ExpectedSuspectChecks / users); }

bool EngineCheckBudget::spendByEvidence()
{
    if (m_evidenceTokens < 1)
        return spend();
    m_evidenceTokens -= 1;
    return true;
}

bool EngineCheckBudget::spend()
{
    if (m_regularTokens < 1)
        return false;
    m_regularTokens -= 1;
    return true;
}

} // namespace crocusmount::relay
