#pragma once

#include "crocusmount/Time.h"

#include <cstdint>
#include <optional>

namespace crocusmount::relay {

/// Decides when an instance sends the next request with a doubtful trait to a server, as a trial. If the request runs
/// well, it refutes what is held against its traits. All instances together begin one trial in each TrialInterval on
/// average, and none while the last end of a server is being judged, so the cause ends few servers more.
class TrialRuns {
public:
    /// Records that a server has ended.
    void noteEnd(TimePoint now);
    /// Chooses a random time for the next trial of this instance, unless there is one.
    /// @param instances  number of instances that share the servers
    void plan(TimePoint now, std::uint64_t entropy, std::uint32_t instances);
    /// @return whether a trial may begin
    bool isDue(TimePoint now) const { return m_nextAt && now >= *m_nextAt; }
    /// Records that a trial begins, or that none is needed.
    void reset() { m_nextAt.reset(); }

private:
    std::optional<TimePoint> m_nextAt; ///< empty if no trial is planned
    TimePoint m_judgedAt; ///< when the last end of a server will have been judged
};

} // namespace crocusmount::relay
