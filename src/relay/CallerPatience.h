#pragma once

#include "crocusmount/Time.h"

namespace crocusmount::relay {

/// @param shortest   for any stream
/// @param objective  of the route for a first event; zero if unknown
/// @param pauseAim   longest pause between events for which the route's answers are on time; zero if it names none
/// @return time without an event after which callers abandon a stream
Duration callerPatience(Duration shortest, Duration objective, Duration pauseAim);

} // namespace crocusmount::relay
