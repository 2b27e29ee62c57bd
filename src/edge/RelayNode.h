#pragma once

#include "edge/AnswerPipe.h"
#include "edge/EngineControl.h"
#include "edge/HeaderNames.h"
#include "edge/RelayMetrics.h"
#include "edge/UnknownHeaders.h"
#include "edge/UpstreamAttempt.h"
#include "relay/RelayReducer.h"
#include "shell/Net.h"

#include <absl/container/flat_hash_map.h>
#include <boost/json.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <pcg_random.hpp>

namespace crocusmount {
class PeerSink;
class QuarantineSink;
}

namespace crocusmount::relay {

/// Runs the relay's reducer: feeds it events, each with the current time and a random number, and carries out the
/// effects that it returns. Events that arrive while an event is reduced are queued. Not thread-safe: every function
/// runs on the thread of the io_context.
class RelayNode {
public:
    RelayNode(net::io_context&, RelayOptions, HeaderNames, EngineControl&);
    ~RelayNode();
    RelayNode(const RelayNode&) = delete;
    RelayNode& operator=(const RelayNode&) = delete;

    /// Refers to an open call on behalf of the caller's connection.
    struct CallHandle {
        RequestId id;
        std::shared_ptr<AnswerPipe> pipe; ///< delivers the answer
    };

    /// Starts to process a call.
    /// @param request  as the caller sent it
    /// @param spec     what the relay needs of the request; its content digest is computed here
    CallHandle openCall(std::shared_ptr<const CallerRequest> request, CallSpec spec);
    /// Ends a call whose caller is gone. Does nothing once the call has its final answer.
    /// @param cause  how that showed, for logs: "closed" or the error of a write
    void callerLeft(RequestId, const std::string& cause);
    /// Logs each open call as one that the end of the process cuts off.
    void recordProcessStop();
    /// @return whether a call has no final answer yet
    bool isOpen(RequestId id) const { return m_openCalls.contains(id); }
    /// Passes an event to the reducer and carries out the effects.
    void post(RelayEventBody);

    /// Sets where findings are sent that other instances need at once.
    /// @param peers  must outlive this
    void setPeers(PeerSink& peers) { m_peers = &peers; }
    /// Sets where quarantined and cleared traits are stored.
    /// @param quarantine  must outlive this
    void setQuarantine(QuarantineSink& quarantine) { m_quarantine = &quarantine; }

    const RelayReducer& reducer() const { return m_reducer; }
    const RelayLatencies& latencies() const { return m_latencies; }
    const UnknownHeaders& unknownHeaders() const { return m_unknownHeaders; }
    const HeaderNames& headerNames() const { return m_headerNames; }
    /// @return the limits of the configuration in force, or the defaults before the first configuration
    CallLimits limits() const;
    /// @return the time of the steady clock
    TimePoint now() const;
    /// @return the next random number
    std::uint64_t entropy();

private:
    /// A call without a final answer.
    struct OpenCall {
        std::string callId; ///< the caller's id of the call, for logs
        std::string digest; ///< digest of the request's content as hexadecimal text, for logs
        std::string promptParts; ///< the parts of the prompt that other requests may share, for logs
        std::shared_ptr<const CallerRequest> request;
        std::shared_ptr<AnswerPipe> pipe;
        TimePoint arrivedAt;
        std::optional<TimePoint> firstEventAt; ///< when the first event of a stream was delivered
        std::optional<TimePoint> lastEventAt; ///< when the latest event of a stream was delivered
        Duration longestGap {}; ///< longest time between two consecutive events
        std::uint32_t eventCount = 0; ///< events delivered to the caller, over all attempts
    };

    /// An attempt that has neither ended nor been cancelled.
    struct RunningAttempt {
        RequestId call;
        std::shared_ptr<UpstreamAttempt> attempt;
        BackendId server; ///< the plain server or the first stage
        Chain chain; ///< as of the last accepted reroute; no hops for a plain service
        TimePoint startedAt;
        std::optional<TimePoint> begunAt; ///< when the head of a successful answer arrived
    };

    /// A check or probe whose answer is awaited.
    struct PendingCheck {
        std::chrono::milliseconds timeout; ///< after which it counts as unanswered
        Timer timer; ///< until then
        std::function<void()> recordUnanswered;
        bool isSettled = false; ///< its result has been posted
    };

    /// Posts a Tick event at regular intervals.
    Awaitable<void> tickLoop();
    /// Records for how long this process handled no event.
    /// @param lateness  from the time at which a tick was due until it ran
    void recordStandstill(Duration lateness);
    void recordAnswerBegun(const event::AnswerBegun&);
    void recordEvent(const event::EventDelivered&);
    /// Removes the attempt. Ends its call if the answer is complete, and logs any other end.
    void recordAttemptEnd(const event::AttemptEnded&);
    void logCancelled(const RunningAttempt&, CancelCause);
    /// Asks for the stalled stage of a stream and posts StalledStageReported.
    Awaitable<void> askStalledStage(effect::AskStalledStage, std::string callId);
    /// Posts what the answer to a check or an order states about its server.
    /// @param startedAt  start of the server that answered, as far as known
    void postNotice(const BackendId& server, StartTime startedAt, TimePoint askedAt, const ServerNotice&);
    /// @return the last known start of a server; zero if it is not registered
    StartTime startOf(const BackendId&) const;
    /// Checks an engine and posts EngineChecked, and CheckAnsweredLate if the answer comes after that.
    Awaitable<void> checkEngine(effect::CheckEngine);
    /// Begins to wait for the answer to a check or probe.
    /// @param recordUnanswered  posts that there is no answer; called once the time is over
    std::shared_ptr<PendingCheck> awaitCheck(std::chrono::milliseconds timeout, std::function<void()> recordUnanswered);
    void awaitCheckTimeout(const std::shared_ptr<PendingCheck>&);
    void recordCheck(const effect::CheckEngine&, const EngineReport&, TimePoint askedAt);
    void recordProbe(const effect::ProbeServer&, const ServerIdentity&, TimePoint askedAt);
    void recordLateAnswer(const event::CheckAnsweredLate&);
    /// Probes a server and posts ServerProbed, and CheckAnsweredLate if the server names its id after that.
    Awaitable<void> probeServer(effect::ProbeServer);
    /// Sends a reroute order and posts RerouteAnswered and EngineStartSeen.
    Awaitable<void> sendReroute(effect::RerouteAttempt, std::string callId);
    void apply(const RelayEffects&);
    /// Each overload of on() carries out one kind of effect.
    void on(const effect::StartAttempt&);
    void on(const effect::CancelAttempt&);
    void on(const effect::HoldAnswer&);
    void on(const effect::ContinueAnswer&);
    void on(const effect::AskStalledStage&);
    void on(const effect::CheckEngine&);
    void on(const effect::ProbeServer&);
    void on(const effect::ShareCrashes&);
    void on(const effect::ShareSoundRuns&);
    void on(const effect::LogCrash&);
    void on(const effect::LogSuspectsCleared&);
    void on(const effect::QuarantineTrait&);
    void on(const effect::ClearTrait&);
    void on(const effect::ReportEngineState&);
    void on(const effect::LogServerState&);
    void on(const effect::LogServerPath&);
    void on(const effect::LogServerLimit&);
    void on(const effect::LogServerBackoff&);
    void on(const effect::LogRetryShare&);
    void on(const effect::LogRetryBudget&);
    void on(const effect::LogPermits&);
    void on(const effect::LogStartKnowledge&);
    void on(const effect::LogStartHold&);
    void on(const effect::RequestPermits&);
    void on(const effect::AnswerPermits&);
    void on(const effect::ShareServerLimit&);
    void on(const effect::RerouteAttempt&);
    void on(const effect::LogSuspicion&);
    void on(const effect::Refuse&);
    void on(const effect::DeliverServerFailure&);
    void on(const effect::CompleteAnswer&);
    void on(const effect::LogEndVerdict&);
    void on(const effect::BreakAnswer&);
    /// Logs the end of a call and adds its times to the latencies.
    /// @param outcome  "completed" counts as a success, every other value as a refusal
    /// @param fields   further fields of the log line
    void recordAnswer(const OpenCall&, std::string_view outcome, boost::json::object fields = {});

    net::io_context& m_context;
    HeaderNames m_headerNames;
    UnknownHeaders m_unknownHeaders;
    EngineControl& m_engineControl;
    PeerSink* m_peers = nullptr; ///< null: nothing is shared with other instances
    QuarantineSink* m_quarantine = nullptr; ///< null: nothing is stored, and verdicts end with this process
    RelayReducer m_reducer;
    RelayLatencies m_latencies;
    pcg64 m_random;
    Timer m_tickTimer;
    std::uint64_t m_nextRequestId = 1;
    absl::flat_hash_map<RequestId, OpenCall> m_openCalls;
    absl::flat_hash_map<AttemptId, RunningAttempt> m_runningAttempts;
    std::deque<RelayEventBody> m_pendingEvents; ///< not yet reduced, oldest first
    bool m_isReducing = false; ///< post() is running, and reduces events that are posted meanwhile
};

} // namespace crocusmount::relay
