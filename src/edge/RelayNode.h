#pragma once

#include "edge/AnswerPipe.h"
#include "edge/EngineControl.h"
#include "edge/HeaderNames.h"
#include "edge/RelayMetrics.h"
#include "edge/UpstreamAttempt.h"
#include "relay/RelayReducer.h"
#include "shell/Net.h"

#include <absl/container/flat_hash_map.h>
#include <boost/json.hpp>
#include <deque>
#include <memory>
#include <pcg_random.hpp>

namespace crocusmount {
class PeerSink;
class QuarantineSink;
}

namespace crocusmount::relay {

/// Runs the reducer: brings it events with time and entropy, and carries out its effects.
class RelayNode {
public:
    RelayNode(net::io_context&, RelayOptions, HeaderNames, EngineControl&);
    ~RelayNode();
    RelayNode(const RelayNode&) = delete;
    RelayNode& operator=(const RelayNode&) = delete;

    /// One call as its caller's connection sees it.
    struct OpenCall {
        RequestId id;
        std::shared_ptr<AnswerPipe> pipe;
    };

    /// Takes a call in; its answer comes through the pipe.
    OpenCall open(std::shared_ptr<const CallerRequest>, CallSpec);
    void callerLeft(RequestId);
    void post(RelayEventBody);

    /// Has the other instances told what they are to know at once. @param peers  must outlive this
    void setPeers(PeerSink& peers) { m_peers = &peers; }
    /// Has verdicts on requests written down. @param quarantine  must outlive this
    void setQuarantine(QuarantineSink& quarantine) { m_quarantine = &quarantine; }

    const RelayReducer& reducer() const { return m_reducer; }
    const RelayLatencies& latencies() const { return m_latencies; }
    const HeaderNames& names() const { return m_names; }
    CallLimits limits() const;
    TimePoint now() const;
    std::uint64_t entropy();

private:
    struct Open {
        std::string name; ///< the caller's id, for logs
        std::string content; ///< the digest of what it sent, for logs
        std::shared_ptr<const CallerRequest> request;
        std::shared_ptr<AnswerPipe> pipe;
        TimePoint arrived;
        std::optional<TimePoint> firstEvent;
        std::optional<TimePoint> lastEvent;
        Duration longestGap {}; ///< between two events
        std::uint32_t events = 0; ///< delivered, over all attempts
    };

    struct Running {
        RequestId call;
        std::shared_ptr<UpstreamAttempt> attempt;
        BackendId server;
        Chain chain; ///< after the last accepted reroute
        TimePoint started;
        std::optional<TimePoint> begun; ///< when the head of a success came
    };

    Awaitable<void> tickLoop();
    void noteBegun(const event::AnswerBegun&);
    void noteEvent(const event::EventDelivered&);
    void noteEnd(const event::AttemptEnded&);
    void noteCancelled(const Running&, CancelCause);
    Awaitable<void> askStalledStage(effect::AskStalledStage, std::string name);
    Awaitable<void> checkEngine(effect::CheckEngine);
    Awaitable<void> probeServer(effect::ProbeServer);
    Awaitable<void> giveReroute(effect::RerouteAttempt, std::string name);
    void apply(const RelayEffects&);
    void on(const effect::StartAttempt&);
    void on(const effect::CancelAttempt&);
    void on(const effect::HoldAnswer&);
    void on(const effect::ContinueAnswer&);
    void on(const effect::AskStalledStage&);
    void on(const effect::CheckEngine&);
    void on(const effect::ProbeServer&);
    void on(const effect::ShareCrashes&);
    void on(const effect::ShareSoundRequest&);
    void on(const effect::NoteCrash&);
    void on(const effect::QuarantineRequest&);
    void on(const effect::ClearRequest&);
    void on(const effect::ShareFinding&);
    void on(const effect::NoteBelief&);
    void on(const effect::RerouteAttempt&);
    void on(const effect::Refuse&);
    void on(const effect::DeliverServerFailure&);
    void on(const effect::BreakAnswer&);
    void noteAnswer(const Open&, std::string_view outcome, boost::json::object inputs = {});

    net::io_context& m_context;
    HeaderNames m_names;
    EngineControl& m_control;
    PeerSink* m_peers = nullptr; ///< none: this instance is alone
    QuarantineSink* m_quarantine = nullptr; ///< none: verdicts end with this instance
    RelayReducer m_reducer;
    RelayLatencies m_latencies;
    pcg64 m_random;
    Timer m_tick;
    std::uint64_t m_nextCall = 1;
    absl::flat_hash_map<RequestId, Open> m_open;
    absl::flat_hash_map<AttemptId, Running> m_attempts;
    std::deque<RelayEventBody> m_events;
    bool m_reducing = false;
};

} // namespace crocusmount::relay
