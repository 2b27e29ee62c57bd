#include "relay/TrialRuns.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Average time between two trials of all instances. A server that ends is known to all of them by then.
    constexpr Duration TrialInterval = std::chrono::milliseconds(150);
    /// From the end of a server until all instances have classified and judged it.
    constexpr Duration MaxJudgementTime = std::chrono::milliseconds(500);

} // namespace

void TrialRuns::noteEnd(TimePoint now)
{
    m_judgedAt = now + MaxJudgementTime;
    m_nextAt.reset();
}

void TrialRuns::plan(TimePoint now, std::uint64_t entropy, std::uint32_t instances)
{
    if (m_nextAt)
        return;
    const auto range = static_cast<std::uint64_t>((2 * TrialInterval * instances).count());
    m_nextAt = std::max(now, m_judgedAt) + Duration(entropy % range);
}

} // namespace crocusmount::relay
