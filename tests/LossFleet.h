#pragma once

#include "relay/RelayReducer.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace crocusmount::relay {

/// Runs the reducers of instances that share 93 engines on a virtual clock. Each stream passes through eight stages and
/// has an event each 35 to 70 ms. Engines can be lost: their hosts then answer nothing.
class LossFleet {
public:
    struct Options {
        std::size_t instances = 9;
        std::size_t streams = 600; ///< over all instances
        std::uint64_t seed = 7;
        DisabledMechanisms without {};
        std::size_t deafInstances = 0; ///< instances whose reports reach no other
    };
    static constexpr std::size_t Engines = 93;

    explicit LossFleet(Options);

    void run(Duration);
    /// Forgets the pauses and moves so far.
    void countFromNow();
    /// Ends one engine without a word.
    void lose(std::size_t engine);
    /// Lets an engine pass on no event and answer no check for a time.
    void pause(std::size_t engine, Duration);

    /// @return streams that had a pause of more than 250 ms
    std::size_t lateStreams() const;
    /// @return streams that were ordered onto another chain, or tried again
    std::size_t movedStreams() const { return m_moved.size(); }
    /// @return most checks that an engine that was not lost received within 80 ms
    std::size_t mostChecks() const { return m_mostChecks; }
    /// @return reports that an engine is dead that was not lost
    std::size_t falseReports() const { return m_falseReports; }
    std::size_t checks() const { return m_checks; }
    std::uint64_t refusedReroutes() const;

private:
    struct Stream {
        std::size_t instance = 0;
        AttemptId attempt;
        Chain chain;
        Duration gap {};
        TimePoint lastEvent;
        Duration longestPause {};
        std::uint64_t lastEventId = 0;
    };
    struct Engine {
        RegisteredServer entry;
        TimePoint silentFrom = TimePoint::max();
        TimePoint silentUntil = TimePoint::max();
        std::deque<TimePoint> checkedAt;
    };

    void at(Duration delay, std::function<void()> action) { m_actions.emplace(m_now + delay, std::move(action)); }
    void post(std::size_t instance, RelayEventBody);
    void apply(std::size_t instance, const RelayEffects&);
    void start(std::size_t instance, const effect::StartAttempt&);
    void sendEvent(RequestId, AttemptId);
    void reroute(std::size_t instance, const effect::RerouteAttempt&);
    void check(std::size_t instance, const effect::CheckEngine&);
    void report(std::size_t instance, const effect::ReportEngineState&);
    void exchangeLoads();
    void tick(std::size_t instance);
    bool isSilent(const BackendId&) const;
    const Hop* silentHop(const Chain&) const;
    double random();

    Options m_options;
    std::vector<std::unique_ptr<RelayReducer>> m_instances;
    std::map<BackendId, Engine> m_engines;
    std::vector<BackendId> m_ids;
    std::map<RequestId, Stream> m_streams;
    std::set<RequestId> m_moved;
    std::multimap<TimePoint, std::function<void()>> m_actions; ///< by due time
    TimePoint m_now = timePoint(1000000);
    TimePoint m_countedFrom;
    std::uint64_t m_randomState;
    std::size_t m_mostChecks = 0;
    std::size_t m_falseReports = 0;
    std::size_t m_checks = 0;
};

} // namespace crocusmount::relay
