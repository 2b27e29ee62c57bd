#pragma once

#include "edge/InstanceRegistry.h"
#include "relay/LoadExchange.h"
#include "relay/RelayReducer.h"
#include "tests/RelayHarness.h"
#include "tests/fakes/LockStore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace crocusmount::relay {

/// Simulates instances with their reducers, the exchange between them and the directory, on a virtual clock. Instances
/// can lose their path to all backend servers while callers and the other instances still reach them. Callers take
/// their instance from the directory, and use a directory answer for one second or for three.
///
/// "e0", "e1", ... hold the first half of the layers, "f0", "f1", ... the second half; "p0", "p1", ... are plain.
class CutFleet {
public:
    enum class CutKind {
        Hang, ///< packets to and from the servers are lost
        Reset, ///< connections are reset, new ones too
        RefuseNew, ///< open connections live on, and new ones are refused
    };
    struct Options {
        std::size_t instances = 9;
        std::size_t dataCentres = 3;
        std::size_t serversOfEachRole = 4;
        double callsPerSecond = 90; ///< over all instances
        double longCacheShare = 0.2; ///< share of the callers that use a directory answer for three seconds
        std::string path = "/draft/1"; ///< "/look/1" for the plain service, "/book/1" for calls that must not run twice
        DisabledMechanisms without {};
        std::uint64_t seed = 7;
    };
    /// First tries of callers, which are not repeated.
    struct FirstTries {
        std::size_t sent = 0;
        std::size_t served = 0; ///< answered completely, or still under way at instances that are not cut off
        double servedShare() const { return sent ? static_cast<double>(served) / static_cast<double>(sent) : 1; }
        std::size_t failed() const { return sent - served; }
    };

    explicit CutFleet(Options);
    ~CutFleet();

    /// Advances the virtual clock while calls arrive.
    void run(Duration);
    /// Cuts the first `count` instances off from all servers.
    void cut(std::size_t count, CutKind);
    /// Cuts all instances of a data centre off from all servers.
    void cutDataCentre(std::size_t dataCentre, CutKind);
    void heal();
    /// Takes an instance out of the list of the others, as when it drains. It goes on running.
    void unlist(std::size_t instance);
    /// Lets servers answer nothing for a time. Their streams go on after it.
    void freeze(const std::vector<std::string>& servers, Duration);
    /// Ends one server without notice. Its host answers nothing.
    void endServer(const std::string& server) { m_frozenUntil[BackendId(server)] = TimePoint::max(); }
    /// Stops the process of an instance for a time. What happens meanwhile reaches it afterwards.
    void pause(std::size_t instance, Duration);
    /// Ends all servers without notice. Their hosts refuse connections.
    void endAllServers();

    /// @return first tries sent from a time on, at the instances that are cut off or at the others
    FirstTries firstTries(TimePoint from, bool atCutOff) const;
    /// @return the number of instances that the directory of an instance names
    std::size_t directorySize(std::size_t instance) const;
    /// @return whether the directory of an instance names another one
    bool isNamed(std::size_t byInstance, std::size_t other) const;
    /// @return reports that an engine is dead, sent by any instance
    std::size_t deadReports() const { return m_deadReports; }
    /// @return requests that any instance has quarantined
    std::size_t quarantined() const;
    /// @return checks that servers were sent
    std::size_t checks() const { return m_checks; }
    /// @return calls that ran more than once
    std::size_t ranTwice() const { return m_ranTwice; }
    /// @return calls that were refused as "not run" and did run
    std::size_t falselyNotRun() const { return m_falselyNotRun; }
    const RelayReducer& reducer(std::size_t instance) const;
    TimePoint now() const { return m_now; }

private:
    struct Instance;
    struct Try {
        TimePoint at;
        std::size_t instance = 0;
        bool wasCutOff = false;
        bool isOpen = true;
        bool isServed = false;
        std::uint32_t runs = 0;
    };
    struct Caller {
        std::vector<std::string> addresses;
        TimePoint expiresAt;
        Duration cacheLifetime {};
    };
    struct RunningAttempt {
        RequestId call;
        BackendId server;
        Chain chain;
        std::uint64_t nextEventId = 1;
    };
    using AttemptKey = std::pair<std::size_t, AttemptId>;

    void at(Duration delay, std::function<void()> action);
    void post(std::size_t instance, RelayEventBody);
    void apply(std::size_t instance, const RelayEffects&);
    void start(std::size_t instance, const effect::StartAttempt&);
    void beginAnswer(const AttemptKey&);
    void sendEvent(const AttemptKey&);
    void endAttempt(const AttemptKey&, AttemptResult, ConnectFailure = ConnectFailure::Other);
    void check(std::size_t instance, const effect::CheckEngine&);
    void probe(std::size_t instance, const effect::ProbeServer&);
    void finish(std::size_t instance, RequestId, bool isServed, RunState);
    void sendCall();
    void tick(std::size_t instance);
    void makeRound(std::size_t instance);
    bool isSilent(const BackendId&) const;
    bool isSilent(const Chain&) const;
    double random();

    Options m_options;
    net::io_context m_context;
    LockStore m_store;
    std::map<BackendId, RegisteredServer> m_servers;
    std::map<BackendId, TimePoint> m_frozenUntil;
    bool m_areServersEnded = false;
    std::deque<std::unique_ptr<Instance>> m_instances;
    std::map<AttemptKey, RunningAttempt> m_attempts;
    std::multimap<TimePoint, std::function<void()>> m_actions; ///< by due time
    std::deque<Caller> m_callers;
    std::map<RequestId, Try> m_tries;
    TimePoint m_now = timePoint(1000000);
    std::uint64_t m_randomState;
    std::uint64_t m_nextCall = 1;
    std::size_t m_deadReports = 0;
    std::size_t m_checks = 0;
    std::size_t m_ranTwice = 0;
    std::size_t m_falselyNotRun = 0;
};

} // namespace crocusmount::relay
