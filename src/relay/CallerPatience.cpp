#include "relay/CallerPatience.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    constexpr int PatienceInObjectives = 4;
    constexpr int PatienceInPauseAims = 8;

} // namespace

Duration callerPatience(Duration shortest, Duration objective, Duration pauseAim)
{
    return std::max({ shortest, PatienceInObjectives * objective, PatienceInPauseAims * pauseAim });
}

} // namespace crocusmount::relay
