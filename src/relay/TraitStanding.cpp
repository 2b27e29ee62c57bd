#include "relay/TraitStanding.h"

#include <algorithm>

namespace crocusmount::relay {

std::uint32_t missingPoints(const TraitEvidence& evidence)
{
    const bool isRareAfterRun = evidence.hasRun && evidence.isPartOfOneWorkspace;
    const std::uint32_t needed = (isRareAfterRun ? MinPointsAfterRunInOneWorkspace : MinPointsToBlock)
        + std::min(evidence.explainedEnds, MaxAddedPointsToBlock)
        + std::min(evidence.refutedEnds * AddedPointsPerRefutedEnd, MaxAddedPointsForRefutedEnds);
    if (evidence.isQuarantined)
        return 0;
    const std::uint32_t missing = needed - std::min(evidence.points, needed);
    const std::uint32_t independent = evidence.independentPoints.value_or(MinIndependentPointsToBlock);
    return std::max(missing, MinIndependentPointsToBlock - std::min(independent, MinIndependentPointsToBlock));
}

TraitStanding classifyTrait(const TraitEvidence& evidence)
{
    const bool isConclusive = !evidence.hasRun || evidence.span >= MinSpanAfterRun;
    if (evidence.isQuarantined || (!missingPoints(evidence) && isConclusive))
        return TraitStanding::Blocked;
    if (evidence.hasRun && evidence.points >= MinPointsToDoubt)
        return TraitStanding::Doubtful;
    if (evidence.points)
        return TraitStanding::Suspected;
    return evidence.hasRun ? TraitStanding::Harmless : TraitStanding::Unknown;
}

} // namespace crocusmount::relay
