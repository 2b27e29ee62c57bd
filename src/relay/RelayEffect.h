#pragma once

#include "crocusmount/Chain.h"
#include "crocusmount/Ids.h"
#include "crocusmount/Reason.h"
#include "crocusmount/RunState.h"
#include "crocusmount/Time.h"
#include "relay/AnswerEnding.h"
#include "relay/AttemptPurpose.h"
#include "relay/CancelCause.h"
#include "relay/ClearCause.h"
#include "relay/CrashReport.h"
#include "relay/EndProof.h"
#include "relay/PermitAnswer.h"
#include "relay/PermitRequest.h"
#include "relay/RetryLimit.h"
#include "relay/ServerPath.h"
#include "relay/SoundRun.h"
#include "relay/StartHoldEnd.h"
#include "relay/StartKnowledge.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocusmount::relay {

/// The actions that RelayReducer asks the shell to carry out.
namespace effect {

    /// Send the call to a backend server.
    struct StartAttempt {
        AttemptId attempt;
        RequestId call;
        BackendId server; ///< first stage, or the only server; no other server may accept the call
        std::string address; ///< of that server, "ip:port"
        Chain chain; ///< no hops for a plain service
        Duration remaining {}; ///< time until the call's deadline
        std::optional<std::uint64_t> resumeAfter; ///< id of the last event that the caller has received
        std::string route; ///< id of the call's route, for logs
        std::string workspace; ///< empty for an anonymous route
        bool stream = false; ///< whether the answer is a stream of events
        StartTime serverStart {}; ///< last known start of the server
        TimePoint startedAt {}; ///< when the attempt was started
        AttemptPurpose purpose = AttemptPurpose::First;
    };

    /// Close the attempt's connection, so that the server stops running the call.
    struct CancelAttempt {
        AttemptId attempt;
        CancelCause cause = CancelCause::Superseded; ///< for logs
    };

    /// Buffer the answer of an attempt until ContinueAnswer instead of delivering it. Another attempt resumes the
    /// stream after the last delivered event, so later events of this attempt would reach the caller twice.
    struct HoldAnswer {
        AttemptId attempt;
    };

    /// Deliver the answer that HoldAnswer buffered, and all further events of the attempt.
    struct ContinueAnswer {
        AttemptId attempt;
    };

    /// Ask the first stage at which stage a running stream is stalled.
    struct AskStalledStage {
        AttemptId attempt;
        RequestId call;
        BackendId server; ///< the first stage
        std::string address; ///< of the first stage
    };

    /// Send a health check to an engine, which reports whether it is alive and how slow it is.
    struct CheckEngine {
        BackendId engine;
        std::string address;
        StartTime startedAt {}; ///< last known start
    };

    /// Send a request to a server's health endpoint, whose answer names the id of the server that runs there.
    struct ProbeServer {
        BackendId server;
        std::string address;
        std::string path; ///< path of its service's health endpoint
        StartTime startedAt {}; ///< last known start
    };

    /// Report to the other instances which servers ended while they ran which requests.
    struct ShareCrashes {
        std::vector<CrashReport> crashes;
    };

    /// Report to the other instances that requests with traits that are suspected of crashing servers have run without
    /// a crash.
    struct ShareSoundRuns {
        std::vector<SoundRun> runs;
    };

    /// Log that a server ended while it ran a request.
    struct LogCrash {
        CrashReport crash;
    };

    /// Log that a server answered, so it had not ended under the requests that it was suspected to have ended under.
    struct LogSuspectsCleared {
        BackendId server;
        StartTime startedAt {}; ///< known start of the server; zero if none
        std::size_t suspects = 0; ///< attempts that had broken off
        EndProof proof = EndProof::None; ///< the answer
    };

    /// Quarantine a trait: from now on requests with it are sent to no server.
    struct QuarantineTrait {
        RequestTrait trait;
        std::uint32_t servers = 0; ///< servers known to this instance that ended while they ran such requests
        std::uint32_t points = 0; ///< points of evidence against the trait
        bool isOwn = false; ///< whether this instance's own observation led to this, so it writes the store entry first
    };

    /// Drop evidence against a trait.
    struct ClearTrait {
        RequestTrait trait;
        ClearCause cause = ClearCause::Run;
        std::uint32_t servers = 0; ///< ends of servers that no longer count
        std::uint32_t pointsLeft = 0; ///< points of evidence that remain
        bool endsQuarantine = false;
        bool isOwn = false; ///< whether this instance's own observation led to this, so it deletes the store entry
    };

    /// Report to the other instances what a health check of an engine found.
    struct ReportEngineState {
        enum class Finding {
            Dead, ///< the engine did not answer
            Closed, ///< the engine accepts no new calls despite free capacity, because it leaves or gives up layers
        };
        BackendId engine;
        StartTime startedAt {}; ///< start that was checked
        Finding finding = Finding::Dead;
    };

    /// Log that the assumed state of a backend server changed.
    struct LogServerState {
        enum class ServerStateChange {
            ProcessEnded, ///< no process listens at its address, or its entry was removed while it did not answer
            StartEnded, ///< a later start took its place, so all work that ran there is lost
            EntryOutdated, ///< its registry entry describes a start that has ended
            EntryUnusable, ///< its registry entry names a service or layers that the configuration does not have
            Reinstated, ///< it was removed, so the server that it had supposedly replaced is used again
            ReportedDead, ///< another instance found it dead, and a stream of this instance through it is silent
            Closed, ///< it rejected a call of this instance despite free capacity, so it accepts no new calls
            AnnouncedLeaving, ///< its answers say that it will exit
            ReportedClosed, ///< another instance reported that it accepts no new calls despite free capacity
        };
        ServerStateChange belief;
        BackendId server;
        StartTime startedAt {}; ///< start in the entry or report that caused the change; zero if unknown
    };

    /// Log that the limit that a backend server names has begun, changed or ended.
    struct LogServerLimit {
        BackendId server;
        std::optional<double> perSecond; ///< requests a second; nothing if the limit has ended
    };

    /// Log that this instance is cut off from the backend servers, or reaches them again.
    struct LogServerPath {
        ServerPath before = ServerPath::Unknown;
        ServerPath now = ServerPath::Unknown;
        PathEvidence evidence;
    };

    /// Log that a backend server asked this instance to send it nothing for a time.
    struct LogServerBackoff {
        BackendId server;
        Duration retryAfter {}; ///< as the server asked
        Duration remaining {}; ///< until this instance may send to the server again
    };

    /// Log that this instance's share of the retries of all has changed, see RetryShare.
    struct LogRetryShare {
        double capacity = 1; ///< retries of each service
        bool isGranted = false; ///< the instance may spend them in addition to those that its calls earn
        std::uint32_t instances = 0; ///< that share the retries; zero if not known
        Duration age {}; ///< of this process
    };

    /// Log what was spent of a service's retry budget, see RetryBudget.
    struct LogRetryBudget {
        std::string service;
        std::uint64_t spent = 0; ///< retries since the last such line
        std::uint64_t spentInTotal = 0; ///< retries since the start of this process
        double tokens = 0; ///< left
        double capacity = 0; ///< this instance's share of the retries beyond the ratio, in tokens
        std::uint32_t instances = 1; ///< that share the budget, as far as known
        Duration age {}; ///< of this process
    };

    /// Log that permits for a server were granted or denied.
    struct LogPermits {
        BackendId server;
        std::uint32_t granted = 0;
        Duration retryAfter {}; ///< when to ask for those that were not granted
    };

    /// Log that this instance knows more or less of a service than before, see StartAdmission.
    struct LogStartKnowledge {
        std::string service;
        StartKnowledge before = StartKnowledge::Complete;
        StartKnowledge now = StartKnowledge::Complete;
        Duration unknownFor {}; ///< how long too little has been known; zero if servers are known
        std::size_t held = 0; ///< calls held, of all services
        std::uint32_t instances = 1; ///< that share the servers, as far as known
        double carried = 0; ///< calls that the listed servers run at the same time
        double callsPerSecond = 0; ///< at which this instance lets calls go; infinite if there is no limit
    };

    /// Log how the time ended for which a call was held, see StartAdmission.
    struct LogStartHold {
        RequestId call;
        StartHoldEnd end = StartHoldEnd::Placed;
        StartKnowledge knowledge = StartKnowledge::Nothing; ///< of its service
        Duration waited {}; ///< from its arrival
        std::size_t held = 0; ///< other calls held, of all services
        Duration unknownFor {}; ///< how long too little has been known; zero if servers are known
        double callsPerSecond = 0; ///< at which this instance lets calls go; infinite if there is no limit
        Duration retryAfter {}; ///< that the caller was told; zero if it was not refused
    };

    /// Ask the coordinator of a server that names a limit for permits. The shell finds the coordinator and sets the
    /// sender.
    struct RequestPermits {
        PermitRequest request;
    };

    /// Answer an instance that asked for permits.
    struct AnswerPermits {
        InstanceId requester;
        PermitAnswer answer;
    };

    /// Report to the other instances that the limit of a server has begun or ended.
    struct ShareServerLimit {
        std::uint64_t server = 0; ///< key of one start of the server, see engineKey
        ServerLimit limit;
    };

    /// Order the first stage to continue a running stream over another chain that has the same first stage. Stages that
    /// are part of both chains keep their KV cache.
    struct RerouteAttempt {
        AttemptId attempt;
        RequestId call;
        std::string address; ///< of the first stage
        Chain chain;
        Duration silence {}; ///< time since the stream's last event if that is why it moves; else zero
    };

    /// Log why an engine that may be lost is checked.
    struct LogSuspicion {
        BackendId engine;
        std::uint32_t silentStreams = 0; ///< of this instance, which the loss of the engine would explain
        std::uint32_t overdueStreams = 0; ///< the same, for streams whose next event is late
        std::uint32_t progressingStreams = 0; ///< of this instance, through the engine
        Duration longestSilence {}; ///< of these streams
        Duration sinceAlive {}; ///< since the last sign of life of the engine
        double users = 0; ///< instances that may suspect the engine, by the last load reports
    };

    /// Refuse a call of which no part of an answer was delivered. This is its final answer.
    struct Refuse {
        RequestId call;
        Reason reason = Reason::NoCapacity;
        RunState run = RunState::NotRun; ///< whether the call may have run at a server
        Duration retryAfter {}; ///< when the caller should retry; zero if a retry is useless
        std::optional<RetryLimit> limit {}; ///< what prevented another attempt; nothing if no attempt failed
        std::optional<RequestTrait> quarantinedTrait {}; ///< with Reason::CrashesServers, the cause
        std::uint32_t crashedServers = 0; ///< servers known to this instance that ended under that trait
    };

    /// Deliver the failure that a server answered, which the shell has stored, as the final answer.
    struct DeliverServerFailure {
        RequestId call;
    };

    /// End a stream as complete whose last attempt ended as Unproven.
    struct CompleteAnswer {
        RequestId call;
    };

    /// Log what was found out about an unproven end.
    struct LogEndVerdict {
        RequestId call;
        BackendId server; ///< of the attempt that ended
        EndVerdict verdict = EndVerdict::Verified;
        EndProof proof = EndProof::None;
    };

    /// End a partly delivered answer in a way that the caller cannot mistake for its complete end.
    struct BreakAnswer {
        RequestId call;
        Reason reason = Reason::ConnectionLost;
        std::optional<RetryLimit> limit {}; ///< what prevented another attempt
    };

} // namespace effect

using RelayEffect = std::variant<effect::StartAttempt, effect::CancelAttempt, effect::HoldAnswer,
    effect::ContinueAnswer, effect::AskStalledStage, effect::CheckEngine, effect::ProbeServer, effect::ShareCrashes,
    effect::ShareSoundRuns, effect::LogCrash, effect::LogSuspectsCleared, effect::QuarantineTrait, effect::ClearTrait,
    effect::ReportEngineState, effect::LogServerPath, effect::LogServerState, effect::LogServerLimit,
    effect::LogServerBackoff, effect::LogRetryShare, effect::LogRetryBudget, effect::LogPermits,
    effect::LogStartKnowledge, effect::LogStartHold, effect::RequestPermits, effect::AnswerPermits,
    effect::ShareServerLimit, effect::RerouteAttempt, effect::LogSuspicion, effect::Refuse,
    effect::DeliverServerFailure, effect::CompleteAnswer, effect::LogEndVerdict, effect::BreakAnswer>;
using RelayEffects = std::vector<RelayEffect>;

} // namespace crocusmount::relay
