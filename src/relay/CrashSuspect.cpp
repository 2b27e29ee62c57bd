#include "relay/CrashSuspect.h"

#include <algorithm>

namespace crocusmount::relay {

bool CrashSuspect::hasRunLately(const RequestTrait& trait) const
{
    return std::find(ranLately.begin(), ranLately.end(), trait) != ranLately.end();
}

bool CrashSuspect::sharesTrait(const CrashSuspect& other) const
{
    return std::any_of(traits.begin(), traits.end(), [&](const RequestTrait& trait) {
        const bool isShared = std::find(other.traits.begin(), other.traits.end(), trait) != other.traits.end();
        return isShared && !hasRunLately(trait) && !other.hasRunLately(trait);
    });
}

} // namespace crocusmount::relay
