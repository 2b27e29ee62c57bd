#pragma once

#include "admission/ConcurrencyLimit.h"
#include "admission/FairQueue.h"
#include "crocusmount/Time.h"

namespace crocusmount::relay {

/// The queue, the concurrency limit and the throughput of one service on this instance.
class ServiceQueue {
public:
    FairQueue& waiting() { return m_waiting; }
    const FairQueue& waiting() const { return m_waiting; }
    ConcurrencyLimit& limit() { return m_limit; }

    /// Notes that an attempt started.
    void started() { ++m_running; }
    /// Notes that an attempt ended, and updates the rate of ends.
    void ended(TimePoint now);
    /// @return running attempts
    double running() const { return m_running; }
    /// @return whether the concurrency limit allows one more stream
    bool hasRoom() const { return m_running < m_limit.value(); }
    /// @return how long a call that arrives now is expected to wait; zero before the first end of a call
    Duration expectedWait() const;

    /// Notes that a call was refused for lack of capacity.
    /// @return how long the shortage has lasted; a long enough pause between two refusals starts a new shortage
    Duration refused(TimePoint now);

private:
    FairQueue m_waiting;
    ConcurrencyLimit m_limit;
    double m_running = 0; ///< attempts, counted as a floating-point number like the limit
    double m_endsPerSecond = 0; ///< moving average; zero before the first end of a call
    TimePoint m_lastEnd;
    TimePoint m_shortageSince; ///< first refusal of the current or latest shortage
    TimePoint m_lastRefusal;
};

} // namespace crocusmount::relay
