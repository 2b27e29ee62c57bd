#pragma once

#include "admission/RetryBudget.h"
#include "relay/Call.h"
#include "relay/CallPlacer.h"
#include "relay/CrashEvidence.h"
#include "relay/EngineCheckBudget.h"
#include "relay/RelayCounters.h"
#include "relay/RelayEffect.h"
#include "relay/RelayEvent.h"
#include "relay/RelayOptions.h"
#include "relay/RequestQuarantine.h"
#include "relay/ServerFleet.h"
#include "relay/ServiceQueue.h"
#include "relay/SoundRequests.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>
#include <set>

namespace crocusmount::relay {

/// The decisions of the relay, a function from events to effects over its own state: which calls are admitted, how
/// long they wait, where they run, what is tried again and what the final answer is. It reads no clock, opens no
/// socket and draws no random number.
class RelayReducer {
public:
    explicit RelayReducer(RelayOptions);
    RelayReducer(const RelayReducer&) = delete;
    RelayReducer& operator=(const RelayReducer&) = delete;

    /// Takes one event in.
    /// @param event    what happened
    /// @param effects  what is to be done is appended, in order
    void reduce(const RelayEvent& event, RelayEffects& effects);

    const RelayCounters& counters() const { return m_counters; }
    const ServerFleet& fleet() const { return m_fleet; }
    /// @return the configuration in force, or null before the first
    const std::shared_ptr<const RouteTable>& routes() const { return m_routes; }
    const RequestQuarantine& quarantine() const { return m_quarantine; }
    const RelayOptions& options() const { return m_options; }
    std::size_t openCalls() const { return m_calls.size() + m_unrouted.size(); }
    std::size_t waitingCalls() const;
    bool isDraining() const { return m_drainedAt.has_value(); }

private:
    struct Context {
        TimePoint now;
        std::uint64_t entropy = 0;
        RelayEffects& effects;
    };

    void on(const event::ConfigurationAccepted&, Context&);
    void on(const event::ServerRegistered&, Context&);
    void on(const event::ServerUnregistered&, Context&);
    void on(const event::InstancesCounted&, Context&);
    void on(const event::StoreCopyChecked&, Context&);
    void on(const event::LoadsReported&, Context&);
    void on(const event::CallArrived&, Context&);
    void on(const event::CallerLeft&, Context&);
    void on(const event::AttemptSent&, Context&);
    void on(const event::AnswerBegun&, Context&);
    void on(const event::EventDelivered&, Context&);
    void on(const event::AttemptEnded&, Context&);
    void on(const event::RerouteAnswered&, Context&);
    void on(const event::StalledStageNamed&, Context&);
    void on(const event::EngineChecked&, Context&);
    void on(const event::EngineStartSeen&, Context&);
    void on(const event::EnginesReportedDead&, Context&);
    void on(const event::EnginesReportedClosed&, Context&);
    void on(const event::ServerProbed&, Context&);
    void on(const event::CrashesReported&, Context&);
    void on(const event::SoundRequestsReported&, Context&);
    void on(const event::QuarantineListed&, Context&);
    void on(const event::QuarantineLifted&, Context&);
    void on(const event::DrainRequested&, Context&);
    void on(const event::Tick&, Context&);

    struct Unrouted {
        event::CallArrived arrival;
        TimePoint arrived;
        TimePoint until;
    };

    void admitOrRefuse(const event::CallArrived&, TimePoint arrived, Context&);
    void admitUnrouted(Context&);
    std::optional<Reason> admit(Call&, const Context&) const;
    void dispatchAll(Context&);
    void dispatch(FairQueue&, Context&);
    bool place(Call&, Context&);
    std::optional<Attempt> startAttempt(Call&, AttemptPurpose, Context&);
    void cancel(Call&, const Attempt&, CancelCause, Context&);
    void release(Call&, const Attempt&, Context&);
    void keepOnly(Call&, AttemptId, Context&);
    BackendId blamedFor(const Attempt&, const event::AttemptEnded&);
    bool mayBeDead(const BackendId&, TimePoint now);
    void noteOutcome(const Attempt&, const Call&, const event::AttemptEnded&, Context&);
    void retryOrFinish(Call&, Reason, Context&);
    std::uint32_t attemptsOf(const Call&) const;
    std::optional<RetryLimit> retryLimit(const Call&, const Context&) const;
    void finishUnanswered(Call&, Reason, Context&, std::optional<RetryLimit> = std::nullopt);
    void refuseOverdue(Context&);
    std::optional<RetryLimit> limitOfWait(const Call&, const Context&);
    void noteLateness(Call&, Context&);
    void checkRunning(Call&, Context&);
    void leaveStages(Call&, const std::vector<BackendId>&, Context&);
    void askStalledStage(Call&, Context&);
    void suspectSilentStages(Call&, Context&);
    void checkEngine(FleetServer&, Context&);
    void checkUrgently(FleetServer&, Context&);
    bool mayAsk(const FleetServer&) const;
    void ask(FleetServer&, Context&);
    void recheckSickEngines(Context&);
    void checkAvoidedEngines(Context&);
    void checkClosedEngines(Context&);
    void noteClosed(const event::EngineChecked&, Context&);
    void leaveDeadEngine(const BackendId&, Context&);
    void takeEntry(const RegisteredServer&, Context&);
    bool isUsable(const RegisteredServer&) const;
    void setAside(const RegisteredServer&, Context&);
    bool takeStart(const BackendId&, StartTime, const LayerRange&, Context&);
    void leaveEndedStart(const BackendId&, Context&);
    bool isGone(const BackendId&) const;
    bool hasLostServer(const Attempt&) const;
    bool finishesCalls(const BackendId&) const;
    bool hasEndedStage(const Chain&) const;
    void loseStage(Call&, const BackendId& lost, Context&);
    void leaveLostStages(Context&);
    void loseAttempt(Call&, Context&);
    void drop(Call&, const Attempt&, Context&);
    bool hasSilentStreamThrough(const BackendId&, TimePoint now) const;
    void checkNamedEngine(const Attempt&, const event::AttemptEnded&, Context&);
    bool startSecond(Call&, AttemptPurpose, Context&);
    void endSecond(Call&, Context&);
    /// What became of an attempt to move a running stream.
    enum class Moving {
        Ordered,
        Pending, ///< an order is under way, or stages that it would go to are being checked
        Impossible,
    };
    Moving reroute(Call&, const std::vector<BackendId>& away, Context&);
    bool awaitsCheck(const Chain&, Context&);
    void suspectOfDyingAlong(FleetServer&, Context&);
    void checkSilentEngines(bool isCertain, Context&);
    void moveOffLeaving(Context&);
    bool mustLeave(const Hop&) const;
    bool isLeaving(const BackendId&) const;
    std::vector<BackendId> stagesToLeave(const Call&, TimePoint now) const;
    void moveOff(Call&, const std::vector<BackendId>& away, Context&);
    void holdAnswer(Call&, Context&);
    void continueAnswer(Call&, Context&);
    void releaseOverdueAnswer(Call&, Context&);
    void interrupt(Call&, Reason, Context&);
    bool resume(Call&, Context&);
    void resumeInterrupted(Context&);
    bool isRetryTaken(const ServiceId&) const;
    bool countsCrashes() const;
    CrashSign crashSign(const Call&, const Attempt&) const;
    void noteLost(const Call&, const Attempt&, Context&);
    void askUnsettledServers(Context&);
    void probe(FleetServer&, Context&);
    void noteServerEnded(const FleetServer&, Context&);
    void settleCrashes(Context&);
    void countCrash(const CrashReport&, bool isOwn, Context&);
    void quarantine(const RequestIdentity&, bool isOwn, Context&);
    bool lift(const RequestIdentity&, bool isOwn, Context&);
    void noteSound(Call&, Context&);
    bool awaitsVerdict(const Call&) const;
    void hold(Call&, Context&);
    void releaseHeld(Context&);
    void enqueueAgain(Call&, Context&);
    bool isStalled(const Call&, TimePoint now) const;
    std::vector<BackendId> stalledStages(const Call&) const;
    Duration comeBackAfter(Reason, const Context&) const;
    Duration comeBackAfterShortage(ServiceQueue&, const Context&) const;
    void remove(RequestId);
    Call* findByAttempt(AttemptId);
    ServiceQueue& queueOf(const Call& call) { return m_services[call.service]; }
    double retryBurst() const;
    double ripeShare() const;
    RetryBudget& budgetOf(const ServiceId&);
    bool isKnownFull(const Call&, const Chain&, TimePoint now) const;

    RelayOptions m_options;
    RelayCounters m_counters;
    ServerFleet m_fleet;
    CallPlacer m_placer;
    std::shared_ptr<const RouteTable> m_routes;
    bool m_isStoreCopyOutdated = false; ///< other instances may use a later configuration
    std::deque<Unrouted> m_unrouted; ///< calls that came before the first configuration, oldest first
    std::map<RequestId, Call> m_calls;
    absl::flat_hash_map<AttemptId, RequestId> m_attempts;
    std::set<RequestId> m_interrupted; ///< calls whose answer waits for another server
    std::map<ServiceId, ServiceQueue> m_services;
    std::map<ServiceId, RetryBudget> m_budgets;
    std::map<BackendId, TimePoint> m_moveOffAt; ///< servers that leave, with the time from which streams are moved
    std::map<BackendId, RegisteredServer> m_unusable; ///< entries that fit no service of the configuration
    CrashEvidence m_crashEvidence;
    RequestQuarantine m_quarantine;
    SoundRequests m_soundRequests;
    EngineCheckBudget m_checkBudget;
    std::uint64_t m_nextAttempt = 1;
    std::optional<TimePoint> m_startedAt; ///< time of the first event
    std::optional<TimePoint> m_groupDiedAt; ///< when an engine was last found dead for certain
    TimePoint m_now; ///< time of the event under way
    std::optional<TimePoint> m_drainedAt;
};

} // namespace crocusmount::relay
