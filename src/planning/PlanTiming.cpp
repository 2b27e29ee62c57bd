#include "planning/PlanTiming.h"

#include <utility>

namespace crocusmount {

namespace {

    /// No plan is made while engines come and go faster than this.
    constexpr Duration SettleTime = std::chrono::milliseconds(350);
    /// The same for the first plan. About a heartbeat: an engine that runs has registered by then. Nothing is served
    /// before it, so that a longer wait would cost callers more than a plan for a few engines less.
    constexpr Duration FirstSettleTime = std::chrono::milliseconds(1000);

} // namespace

bool PlanTiming::isDue(std::set<BackendId> engines, bool anyHolds, TimePoint now)
{
    if (engines != m_engines) {
        m_engines = std::move(engines);
        m_since = now;
    }
    return now - m_since >= (anyHolds ? SettleTime : FirstSettleTime);
}

} // namespace crocusmount
