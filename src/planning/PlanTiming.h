#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <set>

namespace crocusmount {

/// Delays the planning of a service's layers until the list of its engines has not changed for some time.
///
/// The engines of a starting service register over several seconds, with pauses in between. Each plan keeps the layers
/// that the previous one placed, so a plan that is made during a pause for only some of the engines leaves the fleet
/// badly placed until layers are moved.
class PlanTiming {
public:
    /// Updates the list of engines.
    /// @param engines   all listed engines of the service
    /// @param anyHolds  whether any of them holds layers or has been ordered to load some
    /// @return whether a plan may be made now
    bool isDue(std::set<BackendId> engines, bool anyHolds, TimePoint now);

private:
    std::set<BackendId> m_engines;
    TimePoint m_lastChangeAt; ///< when m_engines last changed
};

} // namespace crocusmount
