#pragma once

#include "admission/ConcurrencyLimit.h"
#include "admission/FairQueue.h"
#include "crocusmount/Time.h"

namespace crocusmount::relay {

/// The calls of one service on this instance: which wait, how many run, how fast they end.
class ServiceQueue {
public:
    FairQueue& waiting() { return m_waiting; }
    const FairQueue& waiting() const { return m_waiting; }
    ConcurrencyLimit& limit() { return m_limit; }

    void started() { ++m_running; }
    void ended(TimePoint now);
    double running() const { return m_running; }
    /// @return whether one more stream may run
    bool hasRoom() const { return m_running < m_limit.value(); }
    /// @return the expected wait of a call that comes now
    Duration expectedWait() const;

    /// Notes that a call was refused for want of room.
    /// @return how long the shortage has lasted: refusals without a longer pause between them
    Duration refused(TimePoint now);

private:
    FairQueue m_waiting;
    ConcurrencyLimit m_limit;
    double m_running = 0;
    double m_endsPerSecond = 0; ///< moving average; zero before the first end
    TimePoint m_lastEnd;
    TimePoint m_shortageSince; ///< first refusal of the present or last shortage
    TimePoint m_lastRefusal;
};

} // namespace crocusmount::relay
