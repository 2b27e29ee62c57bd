#pragma once

#include "crocusmount/Chain.h"
#include "crocusmount/Time.h"
#include "relay/LoadReport.h"
#include "relay/RegisteredServer.h"
#include "relay/StartLedger.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace crocusmount::relay {

/// One backend server: what is registered, and what this instance has seen of it.
struct FleetServer {
    RegisteredServer entry;
    std::uint32_t ownCalls = 0; ///< of this instance, running there as first stage or alone
    double ownTokenLayers = 0; ///< KV cache that this instance's calls hold there, estimated
    EngineLoad reported; ///< what this instance's calls held when the other instances were last heard
    EngineLoad others; ///< what the other instances' calls held then
    double failureRate = 0; ///< moving average of failed over all attempts
    std::uint32_t failuresInRow = 0;
    std::uint32_t rejectionsInRow = 0; ///< calls turned away since the last event through it
    TimePoint avoidUntil; ///< no new work before, where another server will do
    TimePoint troubleUntil; ///< the same, but only after signs that no call at all gets through
    TimePoint lastProgress; ///< last event of any call through it
    TimePoint lastAliveAt; ///< last event, start of an answer, or sending of a check that it answered
    double slowness = 1; ///< its work takes this many times as long as its card's figures say, as it last reported
    TimePoint listedAt; ///< when its entry last changed: it wrote that shortly before
    TimePoint lastCheck; ///< when it was last asked
    bool beingChecked = false;
    std::optional<TimePoint> nextProbe; ///< its last probe did not tell whether it lives
    TimePoint sweptAt; ///< when it was last suspected for the death of another engine
    TimePoint deadUntil; ///< it did not answer a check; taken for dead until then
    std::uint32_t unansweredChecks = 0; ///< in a row
    bool refusedCheck = false; ///< its machine said that no process listens there: it is dead for certain

    TimePoint turnedAwayAt; ///< when it last turned a call of this instance away
    TimePoint acceptedAt; ///< when a new call through it last had its first event
    bool closedCheckDue = false; ///< it is to be asked whether it had room when it turned that call away
    TimePoint closedUntil; ///< it has room and takes no new work; none is sent before

    /// @return whether it runs a model; servers of plain services give no report
    bool isEngine() const { return !entry.accelerator.empty(); }
    bool isDead(TimePoint now) const { return now < deadUntil; }
    bool isClosed(TimePoint now) const { return now < closedUntil; }

    /// @return what this instance tells others of it
    EngineLoad ownLoad(TimePoint now) const;
};

/// What an entry of the registry changed.
struct Registration {
    bool changed = false; ///< anything that placement or routing depends on
    bool outdated = false; ///< it is of a start that has ended; it changed nothing
    std::vector<FleetServer> ended {}; ///< servers whose known start has ended: all that ran there is lost
};

/// All registered backend servers.
class ServerFleet {
public:
    /// Takes in an entry. What is known of a server is known of one start of it: a new start begins at nothing.
    Registration upsert(const RegisteredServer&, TimePoint now);
    /// @return whether another server takes its place, one whose entry was held to be outdated
    bool remove(const BackendId&, TimePoint now);

    /// @return whether a later start is known to have taken a server's place
    bool hasEnded(const BackendId& id) const { return m_starts.hasEnded(id); }

    /// @return whether a server has left: it said that it would, and then its entry ended
    bool hasLeft(const BackendId& id) const { return m_left.count(id) > 0; }

    const std::map<BackendId, FleetServer>& servers() const { return m_servers; }
    /// Returns the servers that may need a check. Removes those that no longer do from the index.
    /// @return ids of servers that are dead, slow, or have turned a call away since they were last checked for it
    const std::set<BackendId>& checkCandidates(TimePoint now);
    FleetServer* find(const BackendId&);
    FleetServer* findByAddress(const std::string& address);

    /// Books a call's KV cache on each stage. @param tokens  prompt and expected answer
    void book(const Chain&, double tokens);
    void unbook(const Chain&, double tokens);
    /// Takes in what the other instances hold on each engine, by engineKey; nothing: that is not known.
    void setOthersLoad(const std::optional<EngineLoads>&, TimePoint now);
    bool knowsOthersLoad() const { return m_knowsOthers; }
    /// @return what this instance's calls hold on each engine that they use
    std::vector<EngineLoad> ownLoads(TimePoint now) const;

    void progressed(const Chain&, TimePoint now);
    /// Notes that an attempt's answer began, which shows that its server and all stages of its chain were alive.
    void answerBegun(const BackendId&, const Chain&, TimePoint now);

    /// Notes a failed attempt: the server is avoided for a time that doubles with each failure in a row.
    void failed(const BackendId&, TimePoint now);
    void succeeded(const BackendId&);
    /// Notes that a server turned a call away. A full one has room again as soon as some streams end; one that turns
    /// call after call away while nothing comes from it, as in a drain that the list does not show yet, is avoided for
    /// a time that doubles.
    void turnedAway(const BackendId&, TimePoint now);
    /// Notes that a new call through a chain had its first event.
    void accepted(const Chain&, TimePoint now);
    /// Notes that an engine takes no new work though it has room.
    void closed(const BackendId&, TimePoint now);
    /// Notes that a server stands still. @param until  it is avoided so long
    void suspect(const BackendId&, TimePoint until);
    /// Notes that an engine answered a check. @param slowness  as it reports
    void answeredCheck(const BackendId&, double slowness);
    /// Notes that an engine did not answer a check. It is left alone for longer each time.
    /// @param refused  its machine says that no process listens there
    void missedCheck(const BackendId&, bool refused, TimePoint now);
    /// Notes that another instance found it dead, which what this one sees confirms.
    void reportedDead(const BackendId&, TimePoint now);

private:
    std::map<BackendId, FleetServer> m_servers;
    std::set<BackendId> m_checkCandidates; ///< index that avoids a scan of all servers on each tick
    std::map<BackendId, RegisteredServer> m_outdated; ///< entries that are listed, of starts that have ended
    std::map<BackendId, TimePoint> m_left; ///< servers that have left lately, with the time
    StartLedger m_starts;
    bool m_knowsOthers = false;
};

} // namespace crocusmount::relay
