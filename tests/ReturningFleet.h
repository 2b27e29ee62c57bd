#pragma once

#include "relay/RelayReducer.h"
#include "tests/RelayHarness.h"

#include <functional>
#include <map>
#include <vector>

namespace crocusmount::relay {

/// Simulates instances in front of engines with room for a number of streams, on a virtual clock. The demand exceeds
/// the room for some seconds. Callers that are refused return once, at any instance.
///
/// Streams take 1 to 3 s. Beyond the room of the engines first events are late, and well beyond it calls are rejected.
class ReturningFleet {
public:
    struct Options {
        std::size_t instances = 9;
        double usualDemand = 0.8; ///< as a share of the room
        double peakDemand = 1.55; ///< as a share of the room
        Duration peak = std::chrono::seconds(6);
        double lostNews = 0.02; ///< share of the instances that miss a round's news of times given to callers
        double ignoringShare = 0; ///< share of the callers that return at once instead of when told
        DisabledMechanisms without {};
        std::uint64_t seed = 3;
    };
    struct Returns {
        std::size_t told = 0; ///< callers that returned when told
        std::size_t refusedAgain = 0; ///< of these
        double refusedAgainShare() const { return told ? double(refusedAgain) / double(told) : 0; }
    };

    explicit ReturningFleet(Options);

    /// Plays usual demand for 10 s, then the peak, then usual demand for 12 s.
    void play();

    /// @return callers that returned when they were told, and those that returned at once instead
    const Returns& keeping() const { return m_keeping; }
    const Returns& ignoring() const { return m_ignoring; }
    std::size_t calls() const { return m_callCount; }
    std::size_t completed() const { return m_completed; }
    /// @return callers that were refused and told that a return is useless
    std::size_t toldUseless() const { return m_toldUseless; }
    /// @return refusals of calls for which the end of their longest wait was awaited
    std::size_t waitedTooLong() const;
    /// @return all refusals for lack of capacity
    std::size_t shortages() const;
    /// @return the most calls that waited at an instance, beyond those whose turn was due within their longest wait at
    ///         the rate at which the room is used over all instances
    double worstQueueExcess() const { return m_worstQueueExcess; }
    /// @return the most streams at the engines, as a share of their room
    double peakUse() const { return m_peakUse; }

private:
    struct Caller {
        bool isIgnoring = false;
        bool hasReturned = false;
        bool wasTold = false; ///< it returned at a time that it was given
        TimePoint deadline;
        std::uint64_t content = 0;
    };

    double random();
    void at(Duration delay, std::function<void()> action);
    void run(Duration);
    void setDemand(double share) { m_demand = share; }
    void sendCalls();
    void send(const Caller&);
    void post(std::size_t instance, RelayEventBody);
    void start(std::size_t instance, const effect::StartAttempt&);
    void finish(std::size_t instance, AttemptId, AttemptResult);
    void refused(std::size_t instance, const effect::Refuse&);
    void tick(std::size_t instance);
    void shareReturns();

    Options m_options;
    std::vector<std::unique_ptr<RelayReducer>> m_instances;
    std::vector<std::map<RequestId, Caller>> m_open;
    std::map<std::pair<std::size_t, AttemptId>, RequestId> m_attempts; ///< accepted by the engines
    std::multimap<TimePoint, std::function<void()>> m_actions;
    TimePoint m_now = timePoint(1000000);
    std::uint64_t m_randomState;
    std::uint64_t m_nextCall = 1;
    double m_callsPerSecond; ///< that the engines can serve
    double m_demand = 0;
    std::vector<PromisedReturn> m_newReturns; ///< promises since the last round
    Returns m_keeping;
    Returns m_ignoring;
    std::size_t m_callCount = 0;
    std::size_t m_completed = 0;
    std::size_t m_toldUseless = 0;
    double m_worstQueueExcess = 0;
    double m_peakUse = 0;
};

} // namespace crocusmount::relay
