#include "relay/CrashSuspect.h"

#include <algorithm>

namespace crocusmount::relay {

bool CrashSuspect::hasTrait(const RequestTrait& trait) const
{
    return std::find(traits.begin(), traits.end(), trait) != traits.end();
}

bool CrashSuspect::sharesTrait(const CrashSuspect& other) const
{
    return std::any_of(traits.begin(), traits.end(), [&](const RequestTrait& trait) { return other.hasTrait(trait); });
}

} // namespace crocusmount::relay
