#pragma once

#include "crocusmount/Time.h"

#include <cstdint>
#include <optional>

namespace crocusmount::relay {

/// When this instance may send requests to one backend server that asked, in a rejection, to be sent none for a time.
///
/// Instances that were rejected together must not return together, so the end is delayed by a random share of the time,
/// which grows while a server rejects one return after the other. Calls return slowly: first one, then two more for
/// each that the server accepted, until it has accepted several.
class ServerBackoff {
public:
    /// Records a rejection. The latest end counts.
    /// @param retryAfter  time for which the server wants no requests
    /// @param askedAt     when the rejected attempt was started
    /// @param entropy     uniformly random
    void requested(Duration retryAfter, TimePoint askedAt, TimePoint now, std::uint64_t entropy);
    /// Records the start of an attempt at the server.
    void attemptStarted(TimePoint now);
    /// Records that the server accepted an attempt. Those that were started before the end of the backoff show nothing.
    void attemptAccepted(TimePoint startedAt);

    /// @return whether the server must be sent no requests of any kind
    bool isActive(TimePoint now) const { return now < m_endsAt; }
    TimePoint endsAt() const { return m_endsAt; }
    /// @return whether an attempt may be started now; false during the backoff, and in between the first ones after it
    bool allowsAttempt(TimePoint now) const;

private:
    TimePoint m_endsAt; ///< including the delay of this instance
    std::uint32_t m_rejectedReturns = 0; ///< consecutive backoffs without an accepted attempt in between
    std::optional<std::uint32_t>
        m_attemptsLeft; ///< that may be started without another acceptance; nothing: any number
    std::uint32_t m_accepted = 0; ///< attempts since the end of the backoff
    TimePoint m_lastAttemptAt;
};

} // namespace crocusmount::relay
