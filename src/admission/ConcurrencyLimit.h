#pragma once

#include "crocusmount/Time.h"

namespace crocusmount {

/// An adaptive bound on the calls that one instance keeps in flight at a service: additive increase while answers begin
/// early, multiplicative decrease when they begin late or servers turn calls away.
///
/// The load that it answers: capacity is lost while calls keep coming. Without a bound all of them are taken and all
/// are late; with it, those taken are on time, and the others learn at once when to come back. Instances need not
/// agree: each sees the same engines, so their bounds shrink and grow alike.
class ConcurrencyLimit {
public:
    /// Takes in how long an answer took to begin.
    /// @param ratio     time over the objective
    /// @param inFlight  calls of this instance at the service
    void answered(double ratio, double inFlight, TimePoint now);
    /// Takes in that a server turned a call away for want of room.
    void rejected(double inFlight, TimePoint now);

    double value() const { return m_limit; }

private:
    void decrease(double inFlight, TimePoint now);

    double m_limit = 256;
    TimePoint m_lastDecrease;
};

} // namespace crocusmount
