#pragma once

#include "relay/RelayReducer.h"
#include "tests/RelayHarness.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusmount::relay {

/// Simulates instances that all start at once while the store is silent, on a virtual clock. When the store is back,
/// they read the configuration, the servers list themselves again, and then the instances hear each other's loads.
///
/// Engines "e0", "e1", ... hold the first half of the layers and "f0", ... the second. They read one prompt after
/// another and reject what exceeds their slots. Callers leave after two seconds without an event, and come back once
/// when they are refused.
class StartFleet {
public:
    struct Options {
        std::size_t instances = 9;
        Duration silence = std::chrono::seconds(4); ///< from the start of the instances to the return of the store
        double peak = 1; ///< demand as a multiple of the usual one, from a second before the return on
        double repeaterShare = 0; ///< share of the callers that ignore Retry-After and come back four times at once
        double lateShare = 0; ///< share of the instances that the store serves two seconds later
        bool isGoneAgain = false; ///< the store served a part of the instances a second before, for a moment
        Duration listDelay = std::chrono::milliseconds(300); ///< from the return until servers list themselves
        std::size_t deafInstances = 0; ///< instances that never hear loads
        DisabledMechanisms without {};
        std::uint64_t seed = 1;
    };

    explicit StartFleet(Options);

    /// Plays the silence and eight seconds after the return.
    void play();

    /// @return the share of the requests that were made within a time after the return whose first event came within
    ///         the objective
    double shareInAim(Duration from, Duration to) const;
    /// @return the most streams that were sent to an engine at a time, as a multiple of what it carries
    double worstLoad() const { return m_worstLoad; }
    std::size_t made() const { return m_requests.size(); }
    /// @return the share of all requests that had a first event
    double answeredShare() const;
    /// @return callers that left without an event while no attempt at their call was under way
    std::size_t leftWhileHeld() const { return m_leftWhileHeld; }
    /// @return calls that were refused by a hold's end
    std::uint64_t holds(StartHoldEnd) const;
    /// @return what happened, for a failed check
    std::string describe() const;

private:
    struct Engine {
        RegisteredServer entry;
        std::size_t streams = 0; ///< that entered here
        TimePoint readsUntil;
    };
    struct Request {
        TimePoint madeAt;
        std::size_t triesLeft = 1;
        bool isRepeater = false;
        bool isAnswered = false;
        bool isInAim = false;
    };
    struct Try {
        RequestId request;
        std::size_t instance = 0;
        bool isRunning = false;
        bool hasEvent = false;
    };
    struct Stream {
        RequestId call;
        BackendId first;
        std::uint64_t events = 0;
    };
    using AttemptKey = std::pair<std::size_t, AttemptId>;

    void at(Duration delay, std::function<void()> action);
    void post(std::size_t instance, RelayEventBody);
    void apply(std::size_t instance, const RelayEffects&);
    void start(std::size_t instance, const effect::StartAttempt&);
    void sendEvent(const AttemptKey&);
    void endStream(const AttemptKey&);
    void refused(const effect::Refuse&);
    void makeRequest();
    void makeTry(RequestId request);
    void leave(RequestId call);
    void returnStore();
    void readStore(std::size_t instance);
    void exchangeLoads();
    void tick(std::size_t instance);
    double random();
    Duration randomTime(Duration most);

    Options m_options;
    std::vector<std::unique_ptr<RelayReducer>> m_instances;
    std::vector<bool> m_hasRead; ///< whether each instance has read the store
    std::map<BackendId, Engine> m_engines;
    std::map<BackendId, RegisteredServer> m_listed;
    std::map<AttemptKey, Stream> m_streams;
    std::map<RequestId, Request> m_requests;
    std::map<RequestId, Try> m_tries; ///< by call
    std::multimap<TimePoint, std::function<void()>> m_actions;
    TimePoint m_now = timePoint(1000000);
    TimePoint m_returnAt;
    TimePoint m_endAt;
    std::uint64_t m_randomState;
    std::uint64_t m_nextId = 1;
    std::size_t m_leftWhileHeld = 0;
    std::size_t m_left = 0;
    std::map<std::int64_t, std::size_t> m_rejected; ///< attempts by the second after the return
    double m_worstLoad = 0;
};

} // namespace crocusmount::relay
