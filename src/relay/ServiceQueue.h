#pragma once

#include "admission/ConcurrencyLimit.h"
#include "admission/EventRate.h"
#include "admission/FairQueue.h"
#include "admission/ReturnSlots.h"
#include "crocusmount/Time.h"

#include <limits>
#include <optional>

namespace crocusmount::relay {

/// The queue, the concurrency limit and the throughput of one service on this instance.
class ServiceQueue {
public:
    FairQueue& waiting() { return m_waiting; }
    const FairQueue& waiting() const { return m_waiting; }
    ConcurrencyLimit& limit() { return m_limit; }

    /// Notes that an attempt started.
    void started() { ++m_running; }
    /// Notes that an attempt ended, and updates the rates of ends.
    /// @param hadBegun  whether the answer had begun, so that the end makes room for another call
    void ended(TimePoint now, bool hadBegun);
    /// Notes the arrival of a call.
    /// @param rank      calls with a lower rank are placed first
    /// @param isReturn  whether its caller returned at the time that it was given
    void arrived(int rank, bool isReturn, TimePoint now);
    /// @return running attempts
    double running() const { return m_running; }
    /// A caller that returns on time may exceed the limit by one: its slot was taken off the room of newcomers, while
    /// an instance with few streams has no end of its own within the longest wait.
    /// @param isReturn  whether the caller returned at the time that it was given
    /// @return whether the concurrency limit allows one more stream
    bool hasRoom(bool isReturn) const { return m_running < m_limit.value() + (isReturn ? 1 : 0); }
    /// @return how long a call that arrives now is expected to wait; zero before the first end of a call
    Duration expectedWait() const;

    /// @param ahead  calls that will be placed before
    /// @return how long a call is expected to wait for its turn; nothing while too few calls have ended
    std::optional<Duration> expectedWait(std::size_t ahead, TimePoint now) const;
    /// @return whether enough calls have ended to tell rates
    bool knowsRates() const { return m_ends.isKnown(); }
    ReturnSlots::Rates rates(TimePoint now) const;
    ReturnSlots& returnSlots() { return m_returnSlots; }
    /// @return whether no more urgent call than of this rank has arrived so far
    bool isMostUrgent(int rank) const { return rank <= m_mostUrgentRank; }

    /// Notes that a call was refused for lack of capacity.
    /// @return how long the shortage has lasted; a long enough pause between two refusals starts a new shortage
    Duration refused(TimePoint now);

private:
    FairQueue m_waiting;
    ConcurrencyLimit m_limit;
    ReturnSlots m_returnSlots;
    /// Averaged over about the length of a stream, so that the rate follows a loss of capacity.
    EventRate m_ends { std::chrono::seconds(3) };
    EventRate m_arrivals { std::chrono::seconds(3) };
    /// Calls that are not returns. Averaged over longer than a peak of the demand, to tell what arrives after it.
    EventRate m_newcomers { std::chrono::seconds(20) };
    int m_mostUrgentRank = std::numeric_limits<int>::max();
    double m_running = 0; ///< attempts, counted as a floating-point number like the limit
    double m_endsPerSecond = 0; ///< moving average; zero before the first end of a call
    TimePoint m_lastEnd;
    TimePoint m_shortageSince; ///< first refusal of the current or latest shortage
    TimePoint m_lastRefusal;
};

} // namespace crocusmount::relay
