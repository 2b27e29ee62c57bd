#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <set>

namespace crocusmount {

/// Tells when the list of a service's engines is whole enough to plan for. Each plan keeps what the one before placed,
/// so one made for a part of the engines fits badly until layers are moved.
///
/// The load pattern that it answers: engines of a service that starts register over some seconds, with pauses among
/// them. A first plan for those before a pause leaves the fleet badly placed for as long as nothing moves.
class PlanTiming {
public:
    /// Takes in the list.
    /// @param engines     all that are listed
    /// @param anyHolds    whether any of them holds layers, or has been ordered to
    /// @return whether a plan may be made now
    bool isDue(std::set<BackendId> engines, bool anyHolds, TimePoint now);

private:
    std::set<BackendId> m_engines;
    TimePoint m_since; ///< since when the list stands as it does
};

} // namespace crocusmount
