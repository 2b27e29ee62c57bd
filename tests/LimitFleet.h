#pragma once

#include "relay/LimitCoordinators.h"
#include "relay/RelayReducer.h"
#include "tests/RelayHarness.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusmount::relay {

/// Simulates several instances, each with its own relay reducer, in front of backend servers that can state in their
/// answers that they accept a limited rate of requests, want none for a time, or leave, on a virtual clock. "e0", "e1",
/// ... hold the first half of the layers, and "f0", "f1", ... the second half. "p0", "p1", ... serve the plain service.
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
        Duration maxConnectTime {}; ///< connections take up to this time
        std::string path = "/draft/1"; ///< "/look/1" for the plain service
        std::uint64_t seed = 11;
    };

    explicit LimitFleet(Options);

    /// Advances the virtual clock while calls arrive.
    void run(Duration);
    /// Lets a server name a limit from now on, or none.
    void setLimit(const std::string& server, std::optional<double> perSecond);
    /// Lets a server reject what it receives beyond a rate, and ask each instance whose call it rejects to send it
    /// nothing for a time.
    void setCapacity(const std::string& server, double perSecond, Duration retryAfter);
    /// Lets a server state in all its answers that it leaves, until it restarts. Its entry does not show it.
    void announceLeaving(const std::string& server);
    /// Lets all instances read the entry of a server again, as after an outage of the store.
    /// @param isMissing  whether the entry is missing in between
    void rereadEntry(const std::string& server, bool isMissing);
    /// Ends a server, and starts it again under its id without a limit.
    void restartServer(const std::string& server);
    /// Ends an instance without notice. Its peers notice it after MaxMemberSilence, at slightly different times.
    /// @param downtime  time until it starts again under another id
    void restartInstance(std::size_t instance, Duration downtime);
    /// Ends the entries of all instances in the store at once, until each has registered again.
    void loseInstanceList(Duration span);
    /// @return a random number from 0 to 1
    double random();
    /// @return the instance that coordinates the limit of a server
    std::size_t coordinatorOf(const std::string& server);

    /// @return the most requests that a server received, from all instances, within any `span` that begins at `from` or
    ///         later
    std::size_t peakArrivals(const std::string& server, TimePoint from, Duration span) const;
    /// Compares the requests that a server received from the instances that it had told of its limit half a second
    /// before with its limits, wherever it has named one for longer than `settling`. Within `span` it may receive one
    /// and a half times what its limit allows, and five requests. A limit that is lowered counts from the time at which
    /// the instances must have been told.
    /// @return the most requests beyond that; negative if there are none
    double worstExcess(const std::string& server, Duration settling, Duration span) const;
    /// @return the requests that a server received from `from` on
    std::size_t arrivalsSince(const std::string& server, TimePoint from) const;
    /// @return the most requests that a server received from one instance between half a second after it rejected a
    /// call
    ///         and the end of the time that it asked for
    std::size_t mostDuringBackoff(const std::string& server) const;
    /// @return the requests that a server received from instances more than `grace` after they had passed on an answer
    ///         that said that it leaves
    std::size_t arrivalsAfterLeaving(const std::string& server, Duration grace) const;
    /// @return instances to which a server has said that it leaves, in an answer that they passed on
    std::size_t toldOfLeaving(const std::string& server) const
    {
        return m_servers.at(BackendId(server)).toldOfLeavingAt.size();
    }
    /// @return the requests that a server accepted, and rejected, from `from` on
    std::size_t acceptedSince(const std::string& server, TimePoint from) const;
    std::size_t rejectedSince(const std::string& server, TimePoint from) const;
    /// @return permits that instances requested so far
    std::uint64_t permitRequests() const;
    /// @return calls that were answered completely
    std::size_t completed() const { return m_completed; }
    /// @return calls that were refused or broken off
    std::size_t failed() const { return m_failed; }
    /// @return the longest and the mean time that calls waited for their refusal
    Duration longestWaitForRefusal() const { return m_longestWaitForRefusal; }
    Duration meanWaitForRefusal() const;
    TimePoint now() const { return m_now; }

private:
    struct Arrival {
        TimePoint at;
        std::size_t instance = 0;
        std::pair<int, int> starts; ///< of the instance and of the server
        bool wasTold = false; ///< whether its instance had been told of the server's limit half a second before
    };
    struct Rejection {
        TimePoint at;
        Duration retryAfter {}; ///< that the server asked for
        std::size_t instance = 0;
        std::pair<int, int> starts; ///< of the instance and of the server
    };
    struct Server {
        RegisteredServer entry;
        std::optional<double> limit;
        std::vector<std::pair<TimePoint, std::optional<double>>> limits; ///< time and value of each change
        int starts = 1;
        std::vector<Arrival> arrivals;
        std::map<std::size_t, TimePoint> toldAt; ///< when each instance first received the limit
        double capacity = 0; ///< requests a second that it accepts; 0: all
        double tokens = 0; ///< requests that it accepts at once
        TimePoint tokensAt; ///< when `tokens` was updated
        Duration retryAfter {}; ///< that it asks for with each rejection
        std::vector<Rejection> rejections;
        bool isLeaving = false;
        std::map<std::size_t, TimePoint> toldOfLeavingAt; ///< when each instance passed on an answer that says so
    };
    struct Instance {
        std::unique_ptr<RelayReducer> reducer; ///< null while the instance is down
        LimitCoordinators coordinators; ///< by its own copy of the list
        int starts = 0;
        bool isListed = false;
        bool isSilent = false; ///< the other instances have noticed that it is down
        std::map<RequestId, TimePoint> openCalls; ///< time of arrival
    };
    /// An attempt that a server runs.
    struct RunningAttempt {
        RequestId call;
        StartTime serverStart;
        TimePoint startedAt;
        std::uint64_t nextEventId = 1;
        std::uint64_t lastEventId = 0; ///< the answer ends, or breaks off, after this event
        bool breaksOff = false;
    };
    using AttemptKey = std::pair<std::size_t, AttemptId>; ///< instance and attempt

    void addServer(const RegisteredServer&);
    InstanceId instanceId(std::size_t instance) const;
    /// @return the instance with an id, or nothing if that start of it has ended
    std::optional<std::size_t> findInstance(const InstanceId&) const;
    void startInstance(std::size_t instance);
    void registerServers(std::size_t instance);
    /// Lets all instances read the list of instances within the next rounds.
    void publishInstances();
    void readInstances(std::size_t reader);
    void readListRegularly();
    void at(Duration delay, std::function<void()> action);
    void post(std::size_t instance, RelayEventBody);
    void apply(std::size_t instance, const RelayEffects&);
    void start(std::size_t instance, const effect::StartAttempt&);
    /// @return the number of the present start of an instance and of a server
    std::pair<int, int> startsOf(std::size_t instance, const Server&) const;
    void arrive(const AttemptKey&, const BackendId& server);
    /// @return whether a server accepts one more request now
    bool accepts(Server&);
    void reject(const AttemptKey&, const BackendId& server);
    /// @return what an answer of a server states about it
    static ServerNotice noticeOf(const Server&, bool isRejection);
    void postNotice(const AttemptKey&, const BackendId& server, const ServerNotice&);
    void beginAnswer(const AttemptKey&, const BackendId& server);
    void sendEvent(const AttemptKey&);
    void finishCall(std::size_t instance, RequestId, bool isCompleted);
    /// Delivers an event to another instance, or loses it.
    void sendMessage(std::size_t to, RelayEventBody);
    void sendCall();
    void tick(std::size_t instance);
    Options m_options;
    std::map<BackendId, Server> m_servers;
    std::vector<Instance> m_instances;
    std::map<AttemptKey, RunningAttempt> m_attempts;
    std::multimap<TimePoint, std::function<void()>> m_actions; ///< by due time
    TimePoint m_now = timePoint(1000000);
    std::uint64_t m_randomState;
    std::uint64_t m_nextCall = 1;
    std::size_t m_completed = 0;
    std::size_t m_failed = 0;
    Duration m_longestWaitForRefusal {};
    Duration m_totalWaitForRefusal {};
};

} // namespace crocusmount::relay
