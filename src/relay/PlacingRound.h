#pragma once

#include "relay/Call.h"

#include <absl/container/flat_hash_set.h>
#include <limits>

namespace crocusmount::relay {

/// What came of trying to start a waiting call.
enum class PlaceResult {
    Started,
    LimitReached, ///< the concurrency limit allows no further stream
    NoServer, ///< no server or chain has capacity for the call
};

/// Decides which calls behind one that fits nowhere are tried in one pass over a queue.
///
/// Load pattern: demand above the room for seconds. A call that waits for a server of its own, or that is too large for
/// what is left, must not hold calls that fit. What it waits for is kept for it nevertheless:
/// - no less urgent call passes it, unless it waits only because servers failed or rejected it before
/// - no call of at least its size is tried, as it would not fit either
/// - at most MaxOvertakes smaller calls pass it, so that small calls cannot use up room again and again that a large
///   one waits for
class PlacingRound {
public:
    /// Maximum number of unsuccessful searches for a server in one pass. A search costs time in proportion to the
    /// engines, and a pass follows each end of a call.
    static constexpr std::size_t MaxFailedSearches = 4;
    /// Maximum number of calls passed over in one pass, searched for or not.
    static constexpr std::size_t MaxPassedOver = 64;
    /// Maximum number of calls that pass one that waits for room.
    static constexpr std::uint32_t MaxOvertakes = 8;

    /// @return the calls passed over so far
    const absl::flat_hash_set<RequestId>& passedOver() const { return m_passedOver; }
    /// @return whether no further call may be tried in this pass
    bool isOver() const { return m_isOver; }
    /// @param isLimited  whether the concurrency limit applies to the call
    /// @return whether a server is to be searched for the call; if not, it has been passed over
    bool shouldTry(const Call&, bool isLimited);
    /// Notes that a call was not started, and passes over it.
    /// @param dependsOnSize  whether a smaller call may fit where this one does not
    void failed(Call&, PlaceResult, bool dependsOnSize);
    /// Notes that a call was started.
    void started();

private:
    void passOver(const Call&);

    absl::flat_hash_set<RequestId> m_passedOver;
    std::vector<Call*> m_waitingForRoom; ///< calls passed over that wait for room which later calls would use
    std::size_t m_failedSearches = 0;
    double m_tooLarge = std::numeric_limits<double>::infinity(); ///< calls of this size in tokens do not fit
    int m_leastUrgent = std::numeric_limits<int>::max(); ///< calls of a higher rank are not tried
    bool m_isLimitReached = false;
    bool m_isOver = false;
};

} // namespace crocusmount::relay
