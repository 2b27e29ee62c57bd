#pragma once

#include "crocusmount/Time.h"

namespace crocusmount {

/// An adaptive limit on the calls that one instance has in flight at a service, with additive increase and
/// multiplicative decrease (AIMD). The limit increases while answers begin early, and decreases when answers begin late
/// or servers reject calls.
///
/// If capacity is lost while calls keep arriving, admitting all of them would delay all of them. With the limit, the
/// admitted calls are on time, and the callers of the others are told at once when to retry. Instances do not have to
/// coordinate: all of them use the same engines, so their limits rise and fall together.
class ConcurrencyLimit {
public:
    /// Adjusts the limit to the time until an answer began.
    /// @param ratio     that time, divided by the service's objective for it
    /// @param inFlight  number of calls that this instance has in flight at the service
    void answered(double ratio, double inFlight, TimePoint now);
    /// Decreases the limit because a server rejected a call for lack of capacity.
    /// @param inFlight  number of calls that this instance has in flight at the service
    void rejected(double inFlight, TimePoint now);

    /// Sets the limit of an instance that has just started to its share of what the servers carry. Has no effect once
    /// the limit was decreased; a limit that answers have increased stays above a lower share.
    void setInitial(double share);

    /// @return the limit, in calls
    double value() const { return m_limit; }

private:
    void decrease(double inFlight, TimePoint now);

    double m_limit = 256;
    bool m_hasInitial = false; ///< whether setInitial() replaced the default
    bool m_wasDecreased = false;
    TimePoint m_lastDecrease;
};

} // namespace crocusmount
