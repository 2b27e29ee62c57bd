#pragma once

#include "crocusmount/Chain.h"
#include "crocusmount/Time.h"
#include "relay/LoadReport.h"
#include "relay/RegisteredServer.h"
#include "relay/ServerBackoff.h"
#include "relay/ServerLimit.h"
#include "relay/ServerPermits.h"
#include "relay/ServerStartTracker.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace crocusmount::relay {

/// One backend server: its registry entry, and what this instance has observed about it.
struct FleetServer {
    RegisteredServer entry; ///< it also shows as leaving if the server said so in an answer
    std::uint32_t ownCalls = 0; ///< running calls of this instance with this server as first stage or only server
    double ownTokenLayers = 0; ///< estimated KV cache of this instance's calls on this server, in tokens times layers
    EngineLoad
        ownLoadAtLastReport; ///< load of this instance's calls when the last reports of other instances were applied
    EngineLoad othersLoad; ///< load of the other instances' calls by the last reports; its engine key is always set
    double failureRate = 0; ///< moving average of the fraction of attempts that failed
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t consecutiveRejections = 0; ///< calls rejected since the last event of any call through this server
    TimePoint avoidUntil; ///< until then, new work goes to other servers where possible
    /// End of the last avoidance due to a sign that this server accepts no calls at all, not just that it is full.
    /// Until then, this instance reports to others that it avoids the server.
    TimePoint unhealthyUntil;
    TimePoint lastProgress; ///< last event of any call through this server
    TimePoint lastContactAt; ///< when it last answered a new connection of this instance, see PathEvidence
    TimePoint lastAliveAt; ///< last event, start of an answer, or sending of a health check that was answered
    double slowness = 1; ///< last reported step time as a multiple of the usual one of its accelerator
    TimePoint listedAt; ///< last change of the registry entry, which the server wrote shortly before
    TimePoint lastCheckAt; ///< when the last health check or probe was sent
    bool beingChecked = false; ///< whether a health check or probe is in flight
    TimePoint lastProbeAt; ///< when the last probe was sent
    std::optional<TimePoint> nextProbe; ///< when to repeat a probe that could not tell whether the server is alive
    TimePoint checkDrawnAt; ///< when this instance last drew whether to check the server, or leave that to others
    TimePoint groupCheckedAt; ///< when this server was last suspected of having died together with another engine
    TimePoint deadUntil; ///< until then, considered dead after an unanswered health check or another instance's report
    std::uint32_t unansweredChecks = 0; ///< consecutive unanswered health checks
    bool refusedCheck = false; ///< the last health check was refused: no process listens there, so the server is dead

    ServerLimit limit; ///< rate of requests that this server accepts from all instances
    ServerBackoff backoff; ///< while the server wants no requests from this instance
    bool hasAnnouncedLeaving = false; ///< whether its answers said that it will exit
    ServerPermits permits; ///< of this instance to send requests to this server while it names a limit

    TimePoint lastRejectedAt; ///< when this server last rejected a call of this instance
    TimePoint lastAcceptedAt; ///< when a new call through this server last had its first event
    bool closedCheckDue = false; ///< whether to ask if this server had free capacity when it last rejected a call
    TimePoint closedUntil; ///< until then, no new calls are sent: the server rejects them despite free capacity

    /// @return whether this server runs a model, as opposed to a plain service, whose servers report no load
    bool isEngine() const { return !entry.accelerator.empty(); }
    bool isDead(TimePoint now) const { return now < deadUntil; }
    bool isClosed(TimePoint now) const { return now < closedUntil; }
    /// @return whether the server may be a stage of new chains, or run new calls
    bool isAvailable() const { return !entry.leaving && !refusedCheck; }
    /// @return whether this instance may send the server a new call now
    bool mayReceiveCall(TimePoint now) const { return isAvailable() && backoff.allowsAttempt(now) && !isLimited(now); }
    /// @return whether the server's limit keeps this instance from sending it a request now
    bool isLimited(TimePoint now) const { return limit.isNamed() && !permits.areAvailable(now); }

    /// Records the limit that the server named, or that it names none. Ignores what is older than the known limit.
    /// @return whether the limit began, changed or ended
    bool recordLimit(const ServerLimit&);
    /// @return the load report of this instance about this server
    EngineLoad ownLoad(TimePoint now) const;
};

/// Result of ServerFleet::upsert.
struct Registration {
    bool changed = false; ///< whether anything changed that placement or routing depends on
    bool outdated = false; ///< whether the entry was ignored because it describes an ended start
    std::vector<FleetServer> ended {}; ///< servers whose last known start has ended and whose work is lost
};

/// All registered backend servers.
class ServerFleet {
public:
    /// Adds or updates a server from its registry entry. A new start of a server begins with empty state, because all
    /// observations apply to one start only.
    Registration upsert(const RegisteredServer&, TimePoint now);
    /// Removes a server whose registry entry is gone.
    /// @return whether another server at its address, whose entry had been ignored as outdated, takes its place
    bool remove(const BackendId&, TimePoint now);

    /// @return whether a later start has replaced the latest known start of a server
    bool hasEnded(const BackendId& id) const { return m_starts.hasEnded(id); }

    /// @return whether a server announced that it was leaving and was then removed recently
    bool hasLeft(const BackendId& id) const { return m_leftAt.count(id) > 0; }

    const std::map<BackendId, FleetServer>& servers() const { return m_servers; }
    /// Returns the servers that may need a health check. Removes those that no longer do from the index.
    /// @return ids of servers that are dead, slow, or have closedCheckDue set
    const std::set<BackendId>& checkCandidates(TimePoint now);
    /// @return number of servers that want no requests from this instance
    std::size_t backoffCount(TimePoint now) const;
    /// @return number of servers that name a limit
    std::size_t limitedCount() const;
    FleetServer* find(const BackendId&);
    /// @return a start of a server, also if its entry was removed recently; null if it has ended or is not known
    FleetServer* findStart(const BackendId&, StartTime);
    /// @param key  of one start of the server, see engineKey
    FleetServer* findByKey(std::uint64_t key);
    FleetServer* findByAddress(const std::string& address);

    /// Adds a call's estimated KV cache to each stage of its chain, and the call to the first stage.
    /// @param tokens  prompt and expected answer
    void book(const Chain&, double tokens);
    /// Reverts book().
    void unbook(const Chain&, double tokens);
    /// Sets the load that the other instances report on each engine, by engineKey, or nothing if this load is unknown.
    void setOthersLoad(const std::optional<EngineLoads>&, TimePoint now);
    bool knowsOthersLoad() const { return m_knowsOthersLoad; }
    /// @return this instance's load reports about the engines that its calls use or that it avoids
    std::vector<EngineLoad> ownLoads(TimePoint now) const;

    /// Records an event of a call that runs through a chain.
    void recordProgress(const Chain&, TimePoint now);
    /// Records the start of an attempt's answer, which shows that its server and all stages of its chain were alive.
    void answerBegun(const BackendId&, const Chain&, TimePoint now);

    /// Records a failed attempt. The server is avoided for a time that doubles with each consecutive failure.
    void recordFailure(const BackendId&, TimePoint now);
    /// Records a successful attempt.
    void recordSuccess(const BackendId&);
    /// Records that a server rejected a call. The server is avoided for a short time, since a full server has free
    /// capacity again when a few streams end. This time doubles while the server rejects call after call without an
    /// event through it, as in a drain that the registry does not show yet.
    void recordRejection(const BackendId&, TimePoint now);
    /// Records the first event of a new call through a chain.
    void recordAccepted(const Chain&, TimePoint now);
    /// Records that an engine accepts no new calls despite free capacity.
    void markClosed(const BackendId&, TimePoint now);
    /// Avoids a server that has stalled or is expected to reject all calls.
    /// @param until  end of the avoidance
    void setAvoidedUntil(const BackendId&, TimePoint until);
    /// Records the answer of an engine to a health check.
    /// @param slowness  as reported by the engine
    void recordAnsweredCheck(const BackendId&, double slowness);
    /// Records an unanswered health check. The engine is considered dead for a time that grows with consecutive
    /// unanswered checks.
    /// @param refused  whether the connection was refused, which means that no process listens there
    void recordMissedCheck(const BackendId&, bool refused, TimePoint now);
    /// Forgets all failures, because they were due to the path to the servers.
    void forgetFailures();
    /// Records another instance's report that an engine is dead, if a silent stream of this instance confirms it.
    void recordReportedDead(const BackendId&, TimePoint now);

private:
    void retain(FleetServer&&, TimePoint now);

    std::map<BackendId, FleetServer> m_servers;
    std::set<BackendId> m_checkCandidates; ///< index that avoids a scan of all servers on each tick
    std::map<BackendId, RegisteredServer> m_outdatedEntries; ///< listed entries of ended starts
    std::map<BackendId, TimePoint> m_leftAt; ///< removal times of servers that left recently
    /// Servers whose entries were removed or replaced, by their keys, with the time of that. An entry may return, for
    /// example after an outage of the store, and what its server stated about itself still holds then.
    std::map<std::uint64_t, std::pair<FleetServer, TimePoint>> m_removed;
    ServerStartTracker m_starts;
    bool m_knowsOthersLoad = false;
};

} // namespace crocusmount::relay
