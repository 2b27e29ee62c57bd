#pragma once

#include "admission/RetryBudget.h"
#include "relay/Call.h"
#include "relay/CallPlacer.h"
#include "relay/CrashEvidence.h"
#include "relay/EndSign.h"
#include "relay/EngineCheckBudget.h"
#include "relay/HarmlessTraits.h"
#include "relay/LifeEvidence.h"
#include "relay/NamedStages.h"
#include "relay/PermitIssuer.h"
#include "relay/RelayCounters.h"
#include "relay/RelayEffect.h"
#include "relay/RelayEvent.h"
#include "relay/RelayOptions.h"
#include "relay/RequestQuarantine.h"
#include "relay/RetryShare.h"
#include "relay/RunTimes.h"
#include "relay/ServerContacts.h"
#include "relay/ServerFleet.h"
#include "relay/ServerPath.h"
#include "relay/ServiceQueue.h"
#include "relay/StartAdmission.h"
#include "relay/TrialRuns.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>
#include <set>

namespace crocusmount::relay {

class SilenceEvidence;
enum class StreamSilence;
struct SilenceSuspect;

/// Decides for each call whether it is admitted, how long it waits, on which backend servers it runs, whether it is
/// retried, and which final answer it gets.
///
/// The reducer is a deterministic state machine: reduce() takes an event, updates the state and appends the effects
/// that the caller has to carry out. It reads no clock, opens no socket and draws no random number. Time and entropy
/// come with each event.
///
/// Private functions are documented where they are defined:
/// - RelayReducer.cpp: admission, delivery, the end of attempts, retries and final answers
/// - RelayReducerPlacing.cpp: queues, placement, Retry-After times
/// - RelayReducerRetries.cpp: the retry budget
/// - RelayReducerStart.cpp: calls held while this instance knows too little
/// - RelayReducerTime.cpp: ticks, deadlines, stalls, reroutes and second attempts
/// - RelayReducerChecks.cpp: health checks of engines
/// - RelayReducerLosses.cpp: engines that are lost together, and refused reroutes
/// - RelayReducerServers.cpp: servers that register, restart or end
/// - RelayReducerMoves.cpp: answers that move off leaving servers or resume after a lost one
/// - RelayReducerNotices.cpp: what servers state about themselves in their answers
/// - RelayReducerLimits.cpp: limits that servers name
/// - RelayReducerPath.cpp: loss of the path to the servers
/// - RelayReducerCrashes.cpp: requests that crash servers, and their quarantine
class RelayReducer {
public:
    explicit RelayReducer(RelayOptions);
    RelayReducer(const RelayReducer&) = delete;
    RelayReducer& operator=(const RelayReducer&) = delete;

    /// Processes one event.
    /// @param event    what happened, with its time and entropy
    /// @param effects  effects are appended in the order in which they must be carried out
    void reduce(const RelayEvent& event, RelayEffects& effects);

    const RelayCounters& counters() const { return m_counters; }
    const ServerFleet& fleet() const { return m_fleet; }
    /// @return the routes of the current configuration, or null before the first configuration
    const std::shared_ptr<const RouteTable>& routes() const { return m_routes; }
    const RequestQuarantine& quarantine() const { return m_quarantine; }
    const RelayOptions& options() const { return m_options; }
    /// @return calls without a final answer, including those that arrived before the first configuration
    std::size_t openCalls() const { return m_calls.size() + m_earlyCalls.size(); }
    /// @return calls in the queues of all services
    std::size_t waitingCalls() const;
    /// @return whether this instance reaches no backend server, although others do; it then refuses all calls
    bool isCutOff() const { return m_path == ServerPath::CutOff; }
    /// @return whether this instance may be cut off, so that it must not take servers for dead that do not answer it
    bool isPathInDoubt() const;
    /// @return the retry budgets of the services that calls have arrived for
    const std::map<ServiceId, RetryBudget>& retryBudgets() const { return m_budgets; }
    /// @return this instance's load reports about the servers, for the other instances
    std::vector<EngineLoad> ownLoads(TimePoint now) const;
    bool isDraining() const { return m_drainRequestedAt.has_value(); }

private:
    /// The event under way, as far as all handlers need it.
    struct Context {
        TimePoint now; ///< time of the event
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
    void on(const event::ServerNoticeSeen&, Context&);
    void on(const event::ServerLimitReported&, Context&);
    void on(const event::PermitsRequested&, Context&);
    void on(const event::PermitsAnswered&, Context&);
    void on(const event::AnswerBegun&, Context&);
    void on(const event::EventDelivered&, Context&);
    void on(const event::AttemptEnded&, Context&);
    void on(const event::RerouteAnswered&, Context&);
    void on(const event::StalledStageReported&, Context&);
    void on(const event::EngineChecked&, Context&);
    void on(const event::CheckAnsweredLate&, Context&);
    void recordSilenceForAll(TimePoint now);
    void on(const event::EngineStartSeen&, Context&);
    void on(const event::EnginesReportedDead&, Context&);
    void on(const event::EnginesReportedClosed&, Context&);
    void on(const event::ServerProbed&, Context&);
    void on(const event::CrashesReported&, Context&);
    void on(const event::SoundRunsReported&, Context&);
    void on(const event::QuarantineListed&, Context&);
    void on(const event::QuarantineLifted&, Context&);
    void on(const event::DrainRequested&, Context&);
    void on(const event::CallsMustEnd&, Context&);
    void on(const event::MechanismsChanged&, Context&);
    void on(const event::Tick&, Context&);

    /// A call that arrived before the first configuration.
    struct EarlyCall {
        event::CallArrived arrival;
        TimePoint arrived;
        TimePoint until; ///< refused at this time if there is still no configuration
    };

    void admitOrRefuse(const event::CallArrived&, TimePoint arrived, Context&);
    bool isHoldingAtStart() const;
    bool keepEarlyCall(const event::CallArrived&, Context&);
    void refuseEarlyCall(const EarlyCall&, StartHoldEnd, Context&);
    void admitEarlyCalls(Context&);
    void updateStartKnowledge(const ServiceId&, Context&);
    void updateStart(Context&);
    bool holdAtStart(Call&, Context&);
    std::size_t heldBefore(const Call&, TimePoint now) const;
    std::vector<RequestId> orderHeld(TimePoint now) const;
    bool placeHeld(Call&, Context&);
    void refuseHeld(Call&, StartHoldEnd, Context&);
    void serveHeldAtStart(Context&);
    void logStartHold(const Call&, StartHoldEnd, Duration retryAfter, Context&);
    std::optional<Reason> admit(Call&, const Context&) const;
    bool canEndBeforeExit(const Route&, TimePoint now) const;
    void dispatchAll(Context&);
    void dispatch(FairQueue&, Context&);
    bool place(Call&, Context&);
    std::optional<Attempt> startAttempt(Call&, AttemptPurpose, Context&);
    void cancel(Call&, const Attempt&, CancelCause, Context&);
    void release(Call&, const Attempt&, Context&);
    void keepOnly(Call&, AttemptId, Context&);
    void countEnding(const AnswerEnding&);
    void completeCall(Call&, Context&);
    void awaitEndProof(Call&, Context&);
    void checkUnverified(const UnprovenEnd&, Context&);
    void requestLifeSign(FleetServer&, StartTime, Context&);
    void settleUnprovenEnds(
        const BackendId&, TimePoint askedAt, const LifeEvidence&, Context&, RequestId answered = {});
    bool hasProgressed(const UnverifiedServer&, const UnprovenEnd&) const;
    void settleOverdueEnds(Context&);
    void settleEnd(RequestId, EndVerdict, EndProof, Context&);
    void noteVerdict(Call&, EndVerdict, EndProof, Context&);
    void continueBeside(Call&, Context&);
    void replaceUnproven(Call&, Context&);
    BackendId blamedServer(const Attempt&, const event::AttemptEnded&);
    bool mayBeDead(const BackendId&, TimePoint now);
    void recordFailedAttempt(const Attempt&, const Call&, const event::AttemptEnded&, Context&);
    void retryOrFinish(Call&, Reason, Context&);
    std::uint32_t countedAttempts(const Call&) const;
    std::optional<RetryLimit> retryLimit(const Call&, const Context&) const;
    void finishUnanswered(Call&, Reason, Context&, std::optional<RetryLimit> = std::nullopt);
    void refuseOverdue(Context&);
    std::optional<RetryLimit> waitLimit(const Call&, const Context&);
    void recordLateFirstEvent(Call&, Context&);
    void checkRunning(Call&, Context&);
    void abandonStages(Call&, const std::vector<BackendId>&, Context&);
    void askStalledStage(Call&, Context&);
    void checkSilentStages(Call&, Context&);
    void checkEngine(FleetServer&, Context&);
    void checkUrgently(FleetServer&, Context&);
    bool mayCheck(const FleetServer&) const;
    void sendCheck(FleetServer&, Context&);
    void recheckDeadAndSlowEngines(Context&);
    void checkAvoidedEngines(Context&);
    void checkClosedEngines(Context&);
    void recordClosed(const event::EngineChecked&, Context&);
    void abandonDeadEngine(const BackendId&, Context&);
    void registerServer(const RegisteredServer&, Context&);
    bool isUsable(const RegisteredServer&) const;
    void keepUnusableEntry(const RegisteredServer&, Context&);
    bool applyReportedStart(const BackendId&, StartTime, const LayerRange&, Context&);
    void abandonEndedServer(const BackendId&, EndSign, Context&);
    bool isGone(const BackendId&) const;
    bool hasLostServer(const Attempt&) const;
    bool mayFinishCalls(const BackendId&) const;
    bool hasEndedStage(const Chain&) const;
    void handleLostStage(Call&, const BackendId& lost, EndSign, Context&);
    void retryLostStages(Context&);
    void replaceOrEndAttempt(Call&, Context&);
    void cancelLostAttempt(Call&, const Attempt&, Context&);
    bool hasSilentStreamThrough(const BackendId&, TimePoint now) const;
    void checkNamedEngine(const Attempt&, const event::AttemptEnded&, Context&);
    bool startSecondAttempt(Call&, AttemptPurpose, Context&);
    void endSecondAttempt(Call&, Context&);
    /// Result of trying to reroute a running call.
    enum class MoveResult {
        Ordered, ///< the first stage was told to continue on another chain
        Pending, ///< an earlier reroute is unanswered, or a stage of the new chain is being checked
        Impossible, ///< no chain was found, or the attempt may not be rerouted
    };
    MoveResult reroute(Call&, const std::vector<BackendId>& excluded, Context&);
    bool awaitsCheck(const Chain&, Context&);
    void checkForGroupFailure(FleetServer&, Context&);
    void checkEnginesAfterFailure(bool isCertain, Context&);
    bool findsGroupLosses() const;
    static StreamSilence silenceOf(const Call&, TimePoint now);
    static Duration firstEventSilence(const Call&);
    void searchLosses(Context&);
    void addSilentStream(SilenceEvidence&, const Call&, StreamSilence, TimePoint now);
    double estimatedUsers(const FleetServer&, std::uint32_t ownStreams) const;
    void checkSuspect(FleetServer&, const SilenceSuspect&, Context&);
    bool drawsCheck(FleetServer&, double chance, Context&) const;
    void recordRefusedReroute(
        const Call&, const Attempt&, const Chain& ordered, const event::RerouteAnswered&, Context&);
    void recordNamedStage(FleetServer&, const Call&, const BackendId& firstStage, Context&);
    bool rerouteAgain(Call&, const Attempt&, const event::RerouteAnswered&, Context&);
    void moveOffLeaving(Context&);
    bool mustLeave(const Hop&) const;
    bool isLeaving(const BackendId&) const;
    std::vector<BackendId> stagesToLeave(const Call&, TimePoint now) const;
    void moveOff(Call&, const std::vector<BackendId>& excluded, Context&);
    void holdAnswer(Call&, Context&);
    void continueAnswer(Call&, Context&);
    void releaseOverdueAnswer(Call&, Context&);
    void interrupt(Call&, Reason, Context&);
    bool resume(Call&, Context&);
    void resumeInterrupted(Context&);
    bool isRetryReserved(const ServiceId&) const;
    bool countsCrashes() const;
    std::vector<RequestTrait> traitsOf(const Call&) const;
    CrashSuspect suspectOf(const Call&, const Attempt&, TimePoint now) const;
    bool hasRunLately(const RequestTrait&, TimePoint now) const;
    void recordLostAttempt(const Call&, const Attempt&, Context&);
    void checkUnsettledServers(Context&);
    void probe(FleetServer&, Context&);
    void sendProbe(FleetServer&, Context&);
    bool canProbe(const FleetServer&) const;
    void recordLifeSign(FleetServer&, TimePoint askedAt, const LifeEvidence&, Context&);
    void recordServerEnded(const FleetServer&, EndSign, Context&);
    void settleCrashes(Context&);
    void countCrash(const CrashReport&, bool isOwn, Context&);
    void planSoundRuns(const std::vector<RequestTrait>&, Context&);
    std::optional<SoundRun> unsharedRun(const RequestTrait&, TimePoint now) const;
    void shareSoundRuns(Context&);
    void countSoundRun(const SoundRun&, ClearCause, Context&);
    void quarantine(const RequestTrait&, bool isOwn, Context&);
    void refuse(const Call&, Reason, RunState, Duration retryAfter, std::optional<RetryLimit>, Context&);
    void recordHarmlessRequest(Call&, Context&);
    bool awaitsCrashVerdict(const Call&) const;
    void holdCall(Call&, Context&);
    const RequestId* chooseTrial(Context&);
    std::size_t doubtfulTraitCount(const Call&) const;
    void releaseHeldCalls(Context&);
    void requeue(Call&, Context&);
    static bool isPause(const Call&, Duration sinceProgress);
    static bool isSilent(const Call&, TimePoint now);
    bool isStalled(const Call&, TimePoint now) const;
    std::vector<BackendId> stalledStages(const Call&) const;
    /// What a service's servers let through if each at which its calls can begin names a limit or wants no requests.
    struct RestrictedCapacity {
        TimePoint availableAt; ///< earliest time at which a call may start
        Duration interval {}; ///< expected time between two permits; nearly zero where no limit applies
        Reason reason = Reason::LimitReached; ///< why the server of this time cannot take a call before
    };
    std::optional<RestrictedCapacity> restrictedCapacity(const ServiceId&, TimePoint now) const;
    void applyBackoff(FleetServer&, const event::ServerNoticeSeen&, Context&);
    void withdrawUnsentAttempts(const BackendId&, Context&);
    void applyLeaving(FleetServer&, Context&);
    bool learnLimit(FleetServer&, const ServerLimit&, Context&);
    void sendPermitRequest(FleetServer&, std::uint32_t count, Context&);
    void requestPermits(const Call&, Context&);
    std::optional<Reason> restrictionOn(const Call&, std::size_t ahead, const Context&) const;
    void refuseBeyondRestrictions(Context&);
    Duration retryAfterBackoff(const ServiceId&, const Context&) const;
    Duration retryAfterFor(Reason, const Context&) const;
    Duration retryAfterShortage(ServiceQueue&, const Context&) const;
    void recordContactAnswered(const BackendId&, TimePoint askedAt, Context&);
    void recordContactFailed(const BackendId&, TimePoint askedAt, Context&);
    PathEvidence pathEvidence(TimePoint now) const;
    void updatePath(Context&);
    void checkPath(const PathEvidence&, Context&);
    bool mayContact(const FleetServer&) const;
    static bool needsOtherInstance(const Call&);
    void endCallsWithoutPath(Context&);
    void remove(RequestId);
    Call* findByAttempt(AttemptId);
    ServiceQueue& queueOf(const Call& call) { return m_services[call.service]; }
    void updateRetryShare(Context&);
    Duration processAge(TimePoint now) const;
    RetryBudget& budgetOf(const ServiceId&);
    void logRetryBudgets(Context&);
    bool isKnownFull(const Call&, const Chain&, TimePoint now) const;

    RelayOptions m_options;
    RelayCounters m_counters;
    ServerFleet m_fleet;
    CallPlacer m_placer;
    std::shared_ptr<const RouteTable> m_routes; ///< null before the first configuration
    bool m_isStoreCopyOutdated = false; ///< other instances may use a later configuration
    std::deque<EarlyCall> m_earlyCalls; ///< calls that arrived before the first configuration, oldest first
    StartAdmission m_start;
    std::map<ServiceId, StartKnowledge> m_startKnowledge; ///< as last logged
    std::set<RequestId> m_heldAtStart; ///< admitted calls that are kept out of the queues, see Call::startHoldUntil
    std::map<RequestId, Call> m_calls; ///< admitted calls without a final answer
    absl::flat_hash_map<AttemptId, RequestId> m_attempts; ///< the call of each running attempt
    std::set<RequestId> m_interrupted; ///< calls with a partial answer that wait for a server to resume at
    std::map<ServiceId, ServiceQueue> m_services;
    RetryShare m_retryShare;
    std::map<ServiceId, RetryBudget> m_budgets;
    /// The last log line about a service's retry budget.
    struct LoggedBudget {
        TimePoint at;
        std::uint64_t spent = 0; ///< see RetryBudget::spent()
    };
    std::map<ServiceId, LoggedBudget> m_loggedBudgets;
    std::map<BackendId, TimePoint> m_moveOffAt; ///< leaving servers, with the time from which streams are moved off
    std::map<BackendId, RegisteredServer> m_unusable; ///< entries that fit no service of the configuration
    CrashEvidence m_crashEvidence;
    RequestQuarantine m_quarantine;
    HarmlessTraits m_harmlessTraits;
    TrialRuns m_trialRuns;
    std::map<RequestTrait, TimePoint> m_soundRunsDue; ///< when to tell the other instances of runs with a trait
    PermitIssuer m_permitIssuer; ///< used for the servers that this instance coordinates
    std::uint64_t m_nextPermitRequest = 1;
    EngineCheckBudget m_checkBudget;
    NamedStages m_namedStages;
    std::set<BackendId>
        m_suspects; ///< engines that the latest search for losses suspects on account of several streams
    ServerContacts m_contacts;
    ServerPath m_path = ServerPath::Unknown;
    std::optional<TimePoint> m_loadsReportedAt; ///< when the loads of the others were reported last
    Duration m_silentForAll {}; ///< see PathEvidence
    TimePoint m_lastPathCheckAt;
    std::uint64_t m_nextAttempt = 1;
    std::optional<TimePoint> m_startedAt; ///< time of the first event
    std::optional<TimePoint> m_lastCertainFailureAt; ///< when a check last showed that an engine's process has ended
    TimePoint m_now; ///< time of the event under way
    std::optional<TimePoint> m_drainRequestedAt;
    std::optional<TimePoint> m_callsMustEndAt; ///< set while the end of the process is known
    RunTimes m_runTimes;
};

} // namespace crocusmount::relay
