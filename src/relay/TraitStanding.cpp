#include "relay/TraitStanding.h"

#include <algorithm>

namespace crocusmount::relay {

std::uint32_t missingPoints(const TraitEvidence& evidence)
{
    const std::uint32_t needed = MinPointsToBlock + std::min(evidence.explainedEnds, MaxAddedPointsToBlock);
    return evidence.isQuarantined ? 0 : needed - std::min(evidence.points, needed);
}

TraitStanding classifyTrait(const TraitEvidence& evidence)
{
    if (!missingPoints(evidence))
        return TraitStanding::Blocked;
    if (evidence.points)
        return TraitStanding::Suspected;
    return evidence.hasRun ? TraitStanding::Harmless : TraitStanding::Unknown;
}

} // namespace crocusmount::relay
