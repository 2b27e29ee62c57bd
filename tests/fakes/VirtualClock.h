#pragma once

#include "crocusmount/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace crocusmount {

/// A clock that a test advances explicitly. Actions scheduled for the same time run in the order of scheduling.
class VirtualClock {
public:
    TimePoint now() const { return m_now; }

    /// Schedules an action; a time in the past counts as now.
    void at(TimePoint time, std::function<void()> action)
    {
        m_scheduled.push({ std::max(time, m_now), m_scheduledCount++, std::move(action) });
    }

    void after(Duration span, std::function<void()> action) { at(m_now + span, std::move(action)); }

    /// Runs every action scheduled up to and including a time, each at its own time, then sets the clock to that time.
    void advanceTo(TimePoint time)
    {
        while (!m_scheduled.empty() && m_scheduled.top().time <= time) {
            // top() returns a const reference, so moving the action out needs the cast. The entry is popped next.
            auto action = std::move(const_cast<ScheduledAction&>(m_scheduled.top()).action);
            m_now = m_scheduled.top().time;
            m_scheduled.pop();
            action();
        }
        m_now = time;
    }

    /// @return how many actions have been scheduled so far
    std::uint64_t steps() const { return m_scheduledCount; }

private:
    /// An action that has not run yet.
    struct ScheduledAction {
        TimePoint time;
        std::uint64_t order = 0; ///< number of actions scheduled before this one
        std::function<void()> action;

        /// Reversed, since std::priority_queue puts the greatest element first.
        bool operator<(const ScheduledAction& other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    TimePoint m_now = timePoint(1000000000);
    std::uint64_t m_scheduledCount = 0;
    std::priority_queue<ScheduledAction> m_scheduled;
};

} // namespace crocusmount
