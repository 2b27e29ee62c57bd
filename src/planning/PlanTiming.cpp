#include "planning/PlanTiming.h"

#include <utility>

namespace crocusmount {

namespace {

    /// How long the list must not have changed before a plan is made.
    constexpr Duration SettleTime = std::chrono::milliseconds(350);
    /// How long the list must not have changed before the first plan is made. About one heartbeat, by which a running
    /// engine has registered. Nothing is served before the first plan, so a longer delay would cost callers more than a
    /// plan that lacks a few engines.
    constexpr Duration FirstPlanSettleTime = std::chrono::milliseconds(1000);

} // namespace

bool PlanTiming::isDue(std::set<BackendId> engines, bool anyHolds, TimePoint now)
{
    if (engines != m_engines) {
        m_engines = std::move(engines);
        m_lastChangeAt = now;
    }
    return now - m_lastChangeAt >= (anyHolds ? SettleTime : FirstPlanSettleTime);
}

} // namespace crocusmount
