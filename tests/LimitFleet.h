#pragma once

#include "relay/RelayReducer.h"
#include "tests/RelayHarness.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusmount::relay {

/// Simulates several instances, each with its own relay reducer, in front of backend servers that can name a limit in
/// their answers, on a virtual clock. "e0", "e1", ... hold the first half of the layers, and "f0", "f1", ... the second
/// half. "p0", "p1", ... serve the plain service.
class LimitFleet {
public:
    struct Options {
        std::size_t instances = 9;
        std::size_t firstStages = 2; ///< engines that hold the first half of the layers
        std::size_t plainServers = 2;
        double callsPerSecond = 60; ///< over all instances
        double shareOfFirstInstance = 0; ///< of the calls; the others arrive at a random instance
        double rejectionRate = 0; ///< share of the attempts that their server rejects, from 0 to 1
        double breakRate = 0; ///< share of the answers that break off midway, from 0 to 1
        double messageLossRate = 0; ///< share of the messages between instances that is lost, from 0 to 1
        std::string path = "/draft/1"; ///< "/look/1" for the plain service
    };

    explicit LimitFleet(Options);

    /// Advances the virtual clock while calls arrive.
    void run(Duration);
    /// Lets a server name a limit from now on, or none.
    void setLimit(const std::string& server, std::optional<double> perSecond);

    /// @return the most requests that a server received within any `span` that begins at `from` or later, from the
    ///         instances that had received an answer naming its limit half a second before or earlier
    std::size_t peakArrivals(const std::string& server, TimePoint from, Duration span) const;
    /// @return the requests that a server received from `from` on
    std::size_t arrivalsSince(const std::string& server, TimePoint from) const;
    /// @return calls that were answered completely
    std::size_t completed() const { return m_completed; }
    /// @return calls that were refused or broken off
    std::size_t failed() const { return m_failed; }
    /// @return the longest time that a call waited for its refusal
    Duration longestWaitForRefusal() const { return m_longestWaitForRefusal; }
    TimePoint now() const { return m_now; }

private:
    struct Arrival {
        TimePoint at;
        bool wasTold = false; ///< whether its instance had been told of the server's limit half a second before
    };
    struct Server {
        RegisteredServer entry;
        std::optional<double> limit;
        std::vector<Arrival> arrivals;
        std::map<std::size_t, TimePoint> toldAt; ///< when each instance first received the limit
    };
    struct Instance {
        std::unique_ptr<RelayReducer> reducer;
        std::map<RequestId, TimePoint> openCalls; ///< time of arrival
    };
    /// An attempt that a server runs.
    struct RunningAttempt {
        RequestId call;
        std::uint64_t nextEventId = 1;
        std::uint64_t lastEventId = 0; ///< the answer ends, or breaks off, after this event
        bool breaksOff = false;
    };
    using AttemptKey = std::pair<std::size_t, AttemptId>; ///< instance and attempt

    void addServer(const RegisteredServer&);
    void startInstance(std::size_t instance);
    void at(Duration delay, std::function<void()> action);
    void post(std::size_t instance, RelayEventBody);
    void apply(std::size_t instance, const RelayEffects&);
    void start(std::size_t instance, const effect::StartAttempt&);
    void beginAnswer(const AttemptKey&, const BackendId& server);
    void sendEvent(const AttemptKey&);
    void finishCall(std::size_t instance, RequestId, bool isCompleted);
    void sendCall();
    void tick(std::size_t instance);
    double random();

    Options m_options;
    std::map<BackendId, Server> m_servers;
    std::vector<Instance> m_instances;
    std::map<AttemptKey, RunningAttempt> m_attempts;
    std::multimap<TimePoint, std::function<void()>> m_actions; ///< by due time
    TimePoint m_now = timePoint(1000000);
    std::uint64_t m_randomState = 11;
    std::uint64_t m_nextCall = 1;
    std::size_t m_completed = 0;
    std::size_t m_failed = 0;
    Duration m_longestWaitForRefusal {};
};

} // namespace crocusmount::relay
