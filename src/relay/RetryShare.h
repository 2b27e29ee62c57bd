#pragma once

#include "crocusmount/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace crocusmount::relay {

/// Decides how many of the retries that all instances may make beyond the retry ratio this instance may make.
///
/// The total is divided by the number of instances. Processes do not remember what their predecessors spent, and
/// instances learn late how many there are, so three rules keep the sum of all shares within the total:
/// - A process is granted its share only once all that its predecessor spent has left the window. Until then it makes
///   the retries that its own calls earn.
/// - The largest number of instances of the last RetentionWindows windows counts. An instance that the others no longer
///   see may still spend its share.
/// - The share lapses when the store has not confirmed this instance's entry for LapseWindows windows. The others
///   divide it among themselves only later.
class RetryShare {
public:
    /// @param slack   retries that all instances may make beyond the ratio within one window
    /// @param window  over which retries are counted; zero: shares are granted at once and never lapse
    RetryShare(double slack, Duration window);

    /// Notes the number of instances in the store's list.
    /// @param isListed  whether this instance's own entry is in the list
    void instancesCounted(std::uint32_t instances, bool isListed, TimePoint now);
    /// Notes whether the copy of the store, and so the list, may lack changes. Until then it counts as current.
    void storeCopyChecked(bool isOutdated) { m_isCopyOutdated = isOutdated; }
    /// Updates the share at the time of an event.
    /// @return whether capacity() or isGranted() has changed since the last call
    bool advance(TimePoint now);

    /// @return the most retries that this instance may save up, at least 1
    double capacity() const { return m_capacity; }
    /// @return whether the instance may spend its share in addition to what its calls earn
    bool isGranted() const { return m_isGranted; }
    /// @return the number of instances by which the total is divided; zero if it is not known
    std::uint32_t instances() const { return m_instances; }

    /// Of these, RetentionWindows must be the larger by one: retries of a share that lapses count for a window more.
    static constexpr int LapseWindows = 2;
    static constexpr int RetentionWindows = 3;

private:
    void updateConfirmation(TimePoint now);
    void lapse();
    void updateInstances(TimePoint now);
    bool hasBeenConfirmedFor(Duration, TimePoint now) const;

    double m_slack;
    Duration m_window;
    double m_capacity;
    bool m_isGranted;
    std::uint32_t m_instances = 0;
    bool m_isSettled = false; ///< the list is complete enough to divide the total by its length
    bool m_isListed = false;
    bool m_isCopyOutdated = false;
    std::uint32_t m_counted = 0; ///< as reported last; zero if never
    std::map<std::uint32_t, TimePoint> m_lastCountedAt; ///< by number of instances, when it was in force last
    std::optional<TimePoint> m_advancedAt;
    std::optional<TimePoint> m_copyCurrentAt; ///< when the copy of the store was current last
    std::optional<TimePoint> m_confirmedAt; ///< when the list was current and contained this instance last
    std::optional<TimePoint> m_confirmedSince; ///< set while that is the case
    std::optional<TimePoint> m_countedSince; ///< from when on the others count this instance
};

} // namespace crocusmount::relay
